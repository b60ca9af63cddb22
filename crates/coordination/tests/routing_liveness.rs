//! Routing of reads and writes, and the detection of silent connections.

use std::time::{Duration, Instant};

use coordination::liveness::{ProbeOutcome, SilenceDetector};
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
struct Seen {
    role: MemberRole,
    term: u64,
    applied: u64,
    reachable: bool,
    leaving: bool,
    busy: u32,
}

const PRIMARY: Seen = Seen {
    role: MemberRole::Primary,
    term: 2,
    applied: 100,
    reachable: true,
    leaving: false,
    busy: 0,
};
const REPLICA: Seen = Seen {
    role: MemberRole::Replica,
    ..PRIMARY
};
const DOWN: Seen = Seen {
    reachable: false,
    ..REPLICA
};

/// Member 0 is in data centre a, 1 in b (both region x), 2 and up in c
/// (region y). The read comes from data centre b.
fn group_view(seen: &[Seen], base: Instant) -> (GroupView, Vec<MemberKey>) {
    let mut members = SlotMap::with_key();
    let places = [("a", "x"), ("b", "x"), ("c", "y"), ("c", "y"), ("c", "y")];
    let mut keys = Vec::new();
    for (member, (data_centre, region)) in seen.iter().zip(places) {
        let address = std::net::SocketAddr::from(([127, 0, 0, 1], 5432));
        let position = LogPosition::new(member.term, member.applied);
        let report = MemberReport {
            promised_term: Term(member.term),
            role: member.role,
            log: position,
            applied: position,
            primary_heard: None,
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
    let anchor = |at, offset| GroupWatermark {
        asked_at: base + milliseconds(at),
        position: LogPosition::new(2, offset),
    };
    let view = GroupView {
        name: "group".to_owned(),
        members,
        watermarks: vec![anchor(0, 50), anchor(1_000, 90)],
    };
    (view, keys)
}

/// Where a read or write is expected to go.
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

/// Guards against reads that miss the bound or the staleness, that reach a
/// leaving, unreachable or superseded member, or that pass over a near replica;
/// and against reads refused while they may still wait.
#[googletest::test]
fn reads_go_to_the_nearest_member_that_satisfies_them() {
    struct Case {
        name: &'static str,
        seen: Vec<Seen>,
        bound: u64,
        staleness_ms: u64,
        now_ms: u64,
        confirmed: Option<usize>,
        expected: Expected,
    }
    let case = |name, seen, expected| Case {
        name,
        seen,
        bound: 80,
        staleness_ms: 2_000,
        now_ms: 1_100,
        confirmed: None,
        expected,
    };
    let behind = Seen {
        applied: 60,
        ..REPLICA
    };
    // Below the second newest anchor, at 50.
    let far_behind = Seen {
        applied: 40,
        ..REPLICA
    };
    let leaving = Seen {
        leaving: true,
        ..REPLICA
    };
    let superseded = Seen {
        term: 1,
        applied: 500,
        ..PRIMARY
    };
    let busy = Seen { busy: 9, ..REPLICA };
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
                "a replica that may catch up is waited for",
                vec![behind, DOWN, PRIMARY],
                Expected::WaitUntil(1_120),
            )
        },
        Case {
            now_ms: 1_105,
            ..case(
                "a replica far behind is not waited for",
                vec![far_behind, DOWN, PRIMARY],
                Expected::Member(2),
            )
        },
        case(
            "leaving gets none",
            vec![REPLICA, leaving, PRIMARY],
            Expected::Member(0),
        ),
        case(
            "unreachable gets none",
            vec![REPLICA, DOWN, PRIMARY],
            Expected::Member(0),
        ),
        case(
            "a short wait for a replica",
            vec![PRIMARY, behind, behind],
            Expected::WaitUntil(1_120),
        ),
        case(
            "no usable replica, no wait",
            vec![PRIMARY, DOWN, leaving],
            Expected::Member(0),
        ),
        Case {
            now_ms: 1_120,
            ..case(
                "then the primary",
                vec![PRIMARY, behind, behind],
                Expected::Member(0),
            )
        },
        Case {
            now_ms: 1_120,
            ..case(
                "the superseded primary gets none",
                vec![superseded, behind, behind],
                no_primary,
            )
        },
        Case {
            now_ms: 1_120,
            ..case(
                "no primary: wait for a failover",
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
                "the older anchor suffices",
                vec![DOWN, behind, PRIMARY],
                Expected::Member(1),
            )
        },
        Case {
            now_ms: 1_120,
            staleness_ms: 50,
            ..case(
                "no anchor is young enough",
                vec![PRIMARY, REPLICA, REPLICA],
                no_primary,
            )
        },
        Case {
            bound: 90,
            confirmed: Some(1),
            ..case(
                "the confirming replica",
                vec![PRIMARY, behind, behind],
                Expected::Member(1),
            )
        },
    ];
    let base = Instant::now();
    for case in cases {
        let (view, keys) = group_view(&case.seen, base);
        let request = ReadRequest {
            bound: LogPosition::new(2, case.bound),
            max_staleness: milliseconds(case.staleness_ms),
            arrived_at: base + milliseconds(1_100),
            deadline: base + milliseconds(5_000),
            replica_wait: milliseconds(20),
            data_centre: "b",
            region: "x",
            confirmed_at: case.confirmed.map(|index| ReplicaPosition {
                member: keys[index],
                position: LogPosition::new(2, 95),
            }),
        };
        let in_flight = |key| {
            let index = keys.iter().position(|known| *known == key);
            index.map_or(0, |index| case.seen[index].busy)
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

/// Guards against writes to a superseded primary or without a majority, and
/// against a leaving primary that stops writes before a failover.
#[googletest::test]
fn writes_go_to_the_primary_of_the_highest_term() {
    struct Case {
        name: &'static str,
        seen: Vec<Seen>,
        now_ms: u64,
        expected: Expected,
    }
    let leaving = Seen {
        leaving: true,
        ..PRIMARY
    };
    let newer = Seen { term: 3, ..PRIMARY };
    let fenced = Seen { term: 3, ..REPLICA };
    let wait = Expected::WaitUntil(5_000);
    let case = |name, seen, expected| Case {
        name,
        seen,
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
        let (view, keys) = group_view(&case.seen, base);
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

/// Guards against closing a connection that works, keeping one that does not,
/// and closing anything while the member itself is down.
#[googletest::test]
fn only_connections_at_fault_are_closed() {
    struct Case {
        name: &'static str,
        /// Byte received on the first connection after its exchange began.
        received_ms: Option<u64>,
        outcome: ProbeOutcome,
        probes: bool,
        closed: Vec<usize>,
    }
    let cases = [
        Case {
            name: "silent connection and older idle sibling",
            received_ms: None,
            outcome: ProbeOutcome::Alive,
            probes: true,
            closed: vec![0, 1],
        },
        Case {
            name: "member down",
            received_ms: None,
            outcome: ProbeOutcome::NoAnswer,
            probes: true,
            closed: vec![],
        },
        Case {
            name: "a byte shows that the connection works",
            received_ms: Some(300),
            outcome: ProbeOutcome::Alive,
            probes: false,
            closed: vec![],
        },
    ];
    let base = Instant::now();
    let at = |ms| base + milliseconds(ms);
    for case in cases {
        let mut detector = SilenceDetector::new();
        let keys: Vec<_> = (0..4).map(|_| detector.add(base)).collect();
        // 0: silent; 1: idle, older; 2: idle, younger; 3: older, but in use.
        detector.note_received(keys[0], at(50));
        detector.note_received(keys[2], at(60));
        detector.begin_exchange(keys[3], at(90), at(60_000));
        detector.begin_exchange(keys[0], at(100), at(1_100));
        if let Some(received) = case.received_ms {
            detector.note_received(keys[0], at(received));
        }
        expect_that!(
            detector.begin_probe(at(599)),
            eq(false),
            "{}: early",
            case.name
        );
        expect_that!(
            detector.begin_probe(at(600)),
            eq(case.probes),
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
