//! Routing of reads and writes, and the detection of stalled connections.

use std::time::{Duration, Instant};

use coordination::liveness::{ProbeOutcome, StallDetector};
use coordination::routing::{
    choose_read, choose_write, ReadRequest, RefusalReason, ReplicaPosition, RouteChoice,
};
use coordination::view::{GroupView, GroupWatermark, MemberView};
use googletest::prelude::*;
use slotmap::SlotMap;
use state::keys::MemberKey;
use state::log::{LogPosition, Term};
use state::member::{MemberReport, MemberRole};

fn milliseconds(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[derive(Clone, Copy)]
struct MemberSetup {
    role: MemberRole,
    term: u64,
    applied: u64,
    reachable: bool,
    leaving: bool,
    busy: u32,
}

const PRIMARY: MemberSetup = MemberSetup {
    role: MemberRole::Primary,
    term: 2,
    applied: 100,
    reachable: true,
    leaving: false,
    busy: 0,
};
const REPLICA: MemberSetup = MemberSetup {
    role: MemberRole::Replica,
    ..PRIMARY
};
const DOWN: MemberSetup = MemberSetup {
    reachable: false,
    ..REPLICA
};

/// Member 0 is in data centre a and member 1 in data centre b, both in region x.
/// Members 2 to 4 are in data centre c in region y. The reads come from data
/// centre b.
fn group_view(setups: &[MemberSetup], base: Instant) -> (GroupView, Vec<MemberKey>) {
    let mut members = SlotMap::with_key();
    let places = [("a", "x"), ("b", "x"), ("c", "y"), ("c", "y"), ("c", "y")];
    let mut keys = Vec::new();
    for (member, (data_centre, region)) in setups.iter().zip(places) {
        let address = std::net::SocketAddr::from(([127, 0, 0, 1], 5432));
        let position = LogPosition::new(member.term, member.applied);
        let report = MemberReport {
            promised_term: Term(member.term),
            role: member.role,
            log: position,
            applied: position,
            primary_heartbeat_age: None,
        };
        keys.push(members.insert(MemberView {
            name: "member".to_owned(),
            data_centre: data_centre.to_owned(),
            region: region.to_owned(),
            address,
            control_address: address,
            slots: 1,
            connection_limit: 1,
            leaving: member.leaving,
            reachable: member.reachable,
            report: Some(report),
            reported_at: Some(base),
        }));
    }
    let watermark = |at, offset| GroupWatermark {
        asked_at: base + milliseconds(at),
        position: LogPosition::new(2, offset),
    };
    let view = GroupView {
        name: "group".to_owned(),
        members,
        watermarks: vec![watermark(0, 50), watermark(1_000, 90)],
    };
    (view, keys)
}

/// Expected routing decision; members are named by index.
#[derive(Clone, Copy)]
enum Expected {
    Member(usize),
    WaitUntil(u64),
    Refuse(RefusalReason),
}

fn expected_choice(expected: Expected, keys: &[MemberKey], base: Instant) -> RouteChoice {
    match expected {
        Expected::Member(index) => RouteChoice::Member(keys[index]),
        Expected::WaitUntil(at) => RouteChoice::WaitUntil(base + milliseconds(at)),
        Expected::Refuse(reason) => RouteChoice::Refuse(reason),
    }
}

/// Guards against reads that violate the session bound or the staleness, that
/// reach a leaving, unreachable or superseded member, or that miss a nearer
/// replica, and against reads that are refused before their deadline.
#[googletest::test]
fn reads_go_to_the_nearest_member_that_qualifies() {
    struct Case {
        name: &'static str,
        setups: Vec<MemberSetup>,
        bound: u64,
        staleness_ms: u64,
        now_ms: u64,
        confirmed: Option<usize>,
        expected: Expected,
    }
    let case = |name, setups, expected| Case {
        name,
        setups,
        bound: 80,
        staleness_ms: 2_000,
        now_ms: 1_100,
        confirmed: None,
        expected,
    };
    let behind = MemberSetup {
        applied: 60,
        ..REPLICA
    };
    // Below the second newest watermark, which is at 50.
    let far_behind = MemberSetup {
        applied: 40,
        ..REPLICA
    };
    let leaving = MemberSetup {
        leaving: true,
        ..REPLICA
    };
    let superseded = MemberSetup {
        term: 1,
        applied: 500,
        ..PRIMARY
    };
    let busy = MemberSetup { busy: 9, ..REPLICA };
    let no_primary = Expected::WaitUntil(5_000);
    let cases = [
        case(
            "own data centre",
            vec![REPLICA, busy, PRIMARY],
            Expected::Member(1),
        ),
        case(
            "own region",
            vec![busy, DOWN, REPLICA, PRIMARY],
            Expected::Member(0),
        ),
        case(
            "least in flight",
            vec![PRIMARY, DOWN, busy, REPLICA],
            Expected::Member(3),
        ),
        Case {
            now_ms: 1_105,
            ..case(
                "waits for a replica that may catch up",
                vec![behind, DOWN, PRIMARY],
                Expected::WaitUntil(1_120),
            )
        },
        Case {
            now_ms: 1_105,
            ..case(
                "does not wait for a replica far behind",
                vec![far_behind, DOWN, PRIMARY],
                Expected::Member(2),
            )
        },
        case(
            "leaving replica gets no read",
            vec![REPLICA, leaving, PRIMARY],
            Expected::Member(0),
        ),
        case(
            "unreachable replica gets no read",
            vec![REPLICA, DOWN, PRIMARY],
            Expected::Member(0),
        ),
        case(
            "waits briefly for a replica",
            vec![PRIMARY, behind, behind],
            Expected::WaitUntil(1_120),
        ),
        case(
            "no wait without a usable replica",
            vec![PRIMARY, DOWN, leaving],
            Expected::Member(0),
        ),
        Case {
            now_ms: 1_120,
            ..case(
                "primary after the wait for a replica",
                vec![PRIMARY, behind, behind],
                Expected::Member(0),
            )
        },
        Case {
            now_ms: 1_120,
            ..case(
                "superseded primary gets no read",
                vec![superseded, behind, behind],
                no_primary,
            )
        },
        Case {
            now_ms: 1_120,
            ..case(
                "waits for a failover without a primary",
                vec![DOWN, behind, behind],
                no_primary,
            )
        },
        Case {
            now_ms: 5_000,
            ..case(
                "refused at the deadline",
                vec![DOWN, behind, behind],
                Expected::Refuse(RefusalReason::NoMemberSatisfies),
            )
        },
        Case {
            now_ms: 2_050,
            bound: 10,
            staleness_ms: 2_100,
            ..case(
                "older watermark is sufficient",
                vec![DOWN, behind, PRIMARY],
                Expected::Member(1),
            )
        },
        Case {
            now_ms: 1_120,
            staleness_ms: 50,
            ..case(
                "no watermark is recent enough",
                vec![PRIMARY, REPLICA, REPLICA],
                no_primary,
            )
        },
        Case {
            bound: 90,
            confirmed: Some(1),
            ..case(
                "replica that confirmed the write",
                vec![PRIMARY, behind, behind],
                Expected::Member(1),
            )
        },
    ];
    let base = Instant::now();
    for case in cases {
        let (view, keys) = group_view(&case.setups, base);
        let request = ReadRequest {
            bound: LogPosition::new(2, case.bound),
            max_staleness: milliseconds(case.staleness_ms),
            arrived_at: base + milliseconds(1_100),
            deadline: base + milliseconds(5_000),
            replica_wait: milliseconds(20),
            data_centre: "b",
            region: "x",
            confirming_replica: case.confirmed.map(|index| ReplicaPosition {
                member: keys[index],
                position: LogPosition::new(2, 95),
            }),
        };
        let in_flight = |key| {
            let index = keys.iter().position(|known| *known == key);
            index.map_or(0, |index| case.setups[index].busy)
        };
        let choice = choose_read(&view, &request, base + milliseconds(case.now_ms), in_flight);
        expect_that!(
            choice,
            eq(expected_choice(case.expected, &keys, base)),
            "{}",
            case.name
        );
    }
}

/// Guards against writes to a superseded primary or without a reachable majority,
/// and against a leaving primary that gets no writes before the failover.
#[googletest::test]
fn writes_go_to_the_primary_of_the_highest_term() {
    struct Case {
        name: &'static str,
        setups: Vec<MemberSetup>,
        now_ms: u64,
        expected: Expected,
    }
    let leaving = MemberSetup {
        leaving: true,
        ..PRIMARY
    };
    let newer = MemberSetup { term: 3, ..PRIMARY };
    let fenced = MemberSetup { term: 3, ..REPLICA };
    let wait = Expected::WaitUntil(5_000);
    let case = |name, setups, expected| Case {
        name,
        setups,
        now_ms: 0,
        expected,
    };
    let cases = [
        case(
            "the primary",
            vec![REPLICA, PRIMARY, REPLICA],
            Expected::Member(1),
        ),
        case(
            "the newer primary",
            vec![PRIMARY, newer, REPLICA],
            Expected::Member(1),
        ),
        case(
            "a leaving primary",
            vec![leaving, REPLICA, REPLICA],
            Expected::Member(0),
        ),
        case("no majority reachable", vec![PRIMARY, DOWN, DOWN], wait),
        case("fenced, not promoted", vec![PRIMARY, fenced, fenced], wait),
        Case {
            now_ms: 5_000,
            ..case(
                "refused at the deadline",
                vec![DOWN, REPLICA, REPLICA],
                Expected::Refuse(RefusalReason::NoPrimary),
            )
        },
    ];
    let base = Instant::now();
    for case in cases {
        let (view, keys) = group_view(&case.setups, base);
        let deadline = base + milliseconds(5_000);
        let choice = choose_write(&view, deadline, base + milliseconds(case.now_ms));
        expect_that!(
            choice,
            eq(expected_choice(case.expected, &keys, base)),
            "{}",
            case.name
        );
    }
}

/// Guards against closing a connection that works, against keeping a stalled one,
/// and against closing connections while the member itself is down.
#[googletest::test]
fn only_stalled_and_older_idle_connections_are_closed() {
    struct Case {
        name: &'static str,
        /// When the first connection receives a byte after its exchange began.
        received_ms: Option<u64>,
        outcome: ProbeOutcome,
        probe_due: bool,
        closed: Vec<usize>,
    }
    let cases = [
        Case {
            name: "stalled connection and older idle connection",
            received_ms: None,
            outcome: ProbeOutcome::Alive,
            probe_due: true,
            closed: vec![0, 1],
        },
        Case {
            name: "member down",
            received_ms: None,
            outcome: ProbeOutcome::NoAnswer,
            probe_due: true,
            closed: vec![],
        },
        Case {
            name: "a byte shows that the connection works",
            received_ms: Some(300),
            outcome: ProbeOutcome::Alive,
            probe_due: false,
            closed: vec![],
        },
    ];
    let base = Instant::now();
    let at = |ms| base + milliseconds(ms);
    for case in cases {
        let mut detector = StallDetector::new();
        let keys: Vec<_> = (0..4).map(|_| detector.add(base)).collect();
        // 0: stalled; 1: idle, older; 2: idle, newer; 3: older, but in use.
        detector.record_received(keys[0], at(50));
        detector.record_received(keys[2], at(60));
        detector.begin_exchange(keys[3], at(90), at(60_000));
        detector.begin_exchange(keys[0], at(100), at(1_100));
        if let Some(received) = case.received_ms {
            detector.record_received(keys[0], at(received));
        }
        expect_that!(
            detector.begin_probe(at(599)),
            eq(false),
            "{}: early",
            case.name
        );
        expect_that!(
            detector.begin_probe(at(600)),
            eq(case.probe_due),
            "{}",
            case.name
        );
        expect_that!(
            detector.begin_probe(at(610)),
            eq(false),
            "{}: second",
            case.name
        );
        let closed = detector.end_probe(case.outcome);
        let expected: Vec<_> = case.closed.iter().map(|index| keys[*index]).collect();
        expect_that!(closed, eq(&expected), "{}", case.name);
    }
}
