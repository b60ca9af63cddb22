//! Single steps of the failover machine and decisions of the failover lease.

use std::time::{Duration, Instant};

use coordination::failover::{
    FailoverAction, FailoverEvent, FailoverMachine, FailoverPhase, FailoverTimes, JitterFraction,
    LeaseAnswer, ProposerNumber, StepAnswer, SuspicionReason,
};
use coordination::lease::{LeaseDecision, LeaseRow, LeaseValue, LeaseView};
use googletest::prelude::*;
use slotmap::SlotMap;
use state::document::FailoverTiming;
use state::keys::MemberKey;
use state::log::{LogPosition, Term};
use state::member::{MemberReport, MemberRole};

const PROPOSER: ProposerNumber = ProposerNumber(7);

struct Harness {
    base: Instant,
    keys: Vec<MemberKey>,
    machine: FailoverMachine,
    now_ms: u64,
}

fn report(
    role: MemberRole,
    promised: u64,
    offset: u64,
    heartbeat_age_ms: Option<u64>,
) -> MemberReport {
    let log = LogPosition::new(1, offset);
    MemberReport {
        promised_term: Term(promised),
        role,
        log,
        applied: log,
        primary_heartbeat_age: heartbeat_age_ms.map(Duration::from_millis),
    }
}

fn primary(offset: u64) -> MemberReport {
    report(MemberRole::Primary, 1, offset, None)
}

fn replica(offset: u64, heartbeat_age_ms: u64) -> MemberReport {
    report(MemberRole::Replica, 1, offset, Some(heartbeat_age_ms))
}

impl Harness {
    fn new(members: usize) -> Self {
        let mut map = SlotMap::with_key();
        let keys: Vec<MemberKey> = (0..members).map(|_| map.insert(())).collect();
        let base = Instant::now();
        let times = FailoverTimes::from(&FailoverTiming::default());
        Self {
            base,
            machine: FailoverMachine::new(keys.iter().copied(), times, PROPOSER, base),
            keys,
            now_ms: 0,
        }
    }

    fn at(&self, milliseconds: u64) -> Instant {
        self.base + Duration::from_millis(milliseconds)
    }

    fn handle(&mut self, event: FailoverEvent) -> Vec<FailoverAction> {
        let now = self.at(self.now_ms);
        self.machine.handle(event, now, JitterFraction::new(0.5))
    }

    fn report(&mut self, member: usize, report: MemberReport) -> Vec<FailoverAction> {
        let asked_at = self.at(self.now_ms);
        self.handle(FailoverEvent::Report {
            member: self.keys[member],
            report,
            asked_at,
        })
    }

    fn refuse_connection(&mut self, member: usize) -> Vec<FailoverAction> {
        let asked_at = self.at(self.now_ms);
        self.handle(FailoverEvent::CallFailed {
            member: self.keys[member],
            asked_at,
            refused: true,
        })
    }

    fn fence_answer(
        &mut self,
        member: usize,
        term: u64,
        answer: StepAnswer,
    ) -> Vec<FailoverAction> {
        let asked_at = self.at(self.now_ms);
        self.handle(FailoverEvent::Fence {
            member: self.keys[member],
            term: Term(term),
            answer,
            asked_at,
        })
    }

    /// Creates a group of three in the fencing phase: primary 0 refuses
    /// connections, the replicas received its last heartbeat a second ago, and
    /// this daemon holds the lease.
    fn fencing(logs: [u64; 2]) -> Self {
        let mut harness = Self::new(3);
        harness.report(0, primary(9));
        harness.report(1, replica(logs[0], 10));
        harness.report(2, replica(logs[1], 10));
        harness.now_ms = 1_000;
        harness.refuse_connection(0);
        harness.replicas_without_heartbeat(logs);
        let until = harness.at(3_000);
        harness.handle(FailoverEvent::Lease(LeaseAnswer::HeldByUs { until }));
        harness.replicas_without_heartbeat(logs);
        harness
    }

    fn replicas_without_heartbeat(&mut self, logs: [u64; 2]) -> Vec<FailoverAction> {
        self.report(1, replica(logs[0], 1_000));
        self.report(2, replica(logs[1], 1_000))
    }
}

fn granted(term: u64, offset: u64) -> StepAnswer {
    StepAnswer::Accepted(report(MemberRole::Replica, term, offset, None))
}

fn promoted(actions: &[FailoverAction]) -> Option<MemberKey> {
    actions.iter().find_map(|action| match action {
        FailoverAction::Promote { member, .. } => Some(*member),
        _ => None,
    })
}

/// Guards against an attempt when only this daemon has lost the primary, and
/// against an attempt without recent answers of a majority.
#[googletest::test]
fn an_attempt_needs_a_majority_without_heartbeats() {
    struct Case {
        name: &'static str,
        reports: Vec<(usize, MemberReport)>,
        expected: FailoverPhase,
    }
    let cases = [
        Case {
            name: "one replica receives heartbeats",
            reports: vec![(1, replica(9, 100)), (2, replica(9, 1_000))],
            expected: FailoverPhase::Suspect,
        },
        Case {
            name: "one of three answers",
            reports: vec![(1, replica(9, 1_000))],
            expected: FailoverPhase::Suspect,
        },
        Case {
            name: "no replica receives heartbeats",
            reports: vec![(1, replica(9, 1_000)), (2, replica(9, 1_000))],
            expected: FailoverPhase::Lease,
        },
        Case {
            name: "the primary answers again",
            reports: vec![(1, replica(9, 100)), (0, primary(9))],
            expected: FailoverPhase::Steady,
        },
    ];
    for case in cases {
        let mut harness = Harness::new(3);
        harness.report(0, primary(9));
        harness.now_ms = 1_000;
        harness.refuse_connection(0);
        for (member, report) in &case.reports {
            harness.report(*member, *report);
        }
        expect_that!(harness.machine.phase(), eq(case.expected), "{}", case.name);
    }
}

/// Guards against a machine that waits for ever when the table service does not
/// answer, and against one that acts while another daemon holds the lease.
#[googletest::test]
fn a_missing_lease_delays_an_attempt_but_does_not_prevent_it() {
    struct Case {
        name: &'static str,
        answer: Option<u64>,
        wait_ms: u64,
        fences_before: bool,
    }
    let cases = [
        Case {
            name: "no answer: half of the jitter of 200 ms",
            answer: None,
            wait_ms: 100,
            fences_before: false,
        },
        Case {
            name: "held by another until 1,500 ms",
            answer: Some(1_500),
            wait_ms: 500,
            fences_before: false,
        },
    ];
    for case in cases {
        let mut harness = Harness::new(3);
        harness.report(0, primary(9));
        harness.now_ms = 1_000;
        harness.refuse_connection(0);
        harness.replicas_without_heartbeat([9, 9]);
        let answer = match case.answer {
            None => LeaseAnswer::NoAnswer,
            Some(until) => LeaseAnswer::HeldByOther {
                until: harness.at(until),
            },
        };
        harness.handle(FailoverEvent::Lease(answer));
        harness.now_ms += case.wait_ms - 1;
        harness.replicas_without_heartbeat([9, 9]);
        let early = harness.machine.phase() == FailoverPhase::Fencing;
        expect_that!(early, eq(case.fences_before), "{}", case.name);
        harness.now_ms += 1;
        harness.replicas_without_heartbeat([9, 9]);
        let due = [FailoverPhase::Fencing, FailoverPhase::Lease];
        expect_that!(
            due.contains(&harness.machine.phase()),
            eq(true),
            "{}",
            case.name
        );
    }
}

/// Guards against promoting a member whose log may lack accepted writes, promoting
/// without a majority of grants, and promoting at a term below one that another
/// proposer has reached.
#[googletest::test]
fn the_highest_log_of_a_granting_majority_is_promoted() {
    struct Case {
        name: &'static str,
        answers: Vec<(usize, StepAnswer)>,
        wait_ms: u64,
        promoted: Option<usize>,
        phase: FailoverPhase,
    }
    let cases = [
        Case {
            name: "both replicas grant",
            answers: vec![(1, granted(2, 5)), (2, granted(2, 8))],
            wait_ms: 0,
            promoted: Some(2),
            phase: FailoverPhase::Promoting,
        },
        Case {
            name: "one grant is not a majority",
            answers: vec![(2, granted(2, 8))],
            wait_ms: 0,
            promoted: None,
            phase: FailoverPhase::Fencing,
        },
        Case {
            name: "the suspected primary grants: wait for the other replica",
            answers: vec![(0, granted(2, 9)), (1, granted(2, 5))],
            wait_ms: 0,
            promoted: None,
            phase: FailoverPhase::Fencing,
        },
        Case {
            name: "at the end of the wait the suspected primary is promoted again",
            answers: vec![(0, granted(2, 9)), (1, granted(2, 5))],
            wait_ms: 300,
            promoted: Some(0),
            phase: FailoverPhase::Promoting,
        },
        Case {
            name: "a higher term ends the attempt",
            answers: vec![(1, granted(2, 5)), (2, StepAnswer::StaleTerm(Term(4)))],
            wait_ms: 0,
            promoted: None,
            phase: FailoverPhase::Backoff,
        },
        Case {
            name: "a majority granted the term to another proposer",
            answers: vec![
                (1, StepAnswer::WrongProposer),
                (2, StepAnswer::StaleTerm(Term(2))),
            ],
            wait_ms: 0,
            promoted: None,
            phase: FailoverPhase::Backoff,
        },
        Case {
            name: "lost answers",
            answers: vec![(1, StepAnswer::NoAnswer), (2, StepAnswer::NoAnswer)],
            wait_ms: 300,
            promoted: None,
            phase: FailoverPhase::Backoff,
        },
        Case {
            name: "the machine resumes after the end of its lease",
            answers: vec![(1, granted(2, 5))],
            wait_ms: 2_500,
            promoted: None,
            phase: FailoverPhase::Backoff,
        },
    ];
    for case in cases {
        let mut harness = Harness::fencing([5, 8]);
        expect_that!(
            harness.machine.phase(),
            eq(FailoverPhase::Fencing),
            "{}",
            case.name
        );
        let mut actions = Vec::new();
        for (member, answer) in &case.answers {
            actions.extend(harness.fence_answer(*member, 2, *answer));
        }
        harness.now_ms += case.wait_ms;
        actions.extend(harness.handle(FailoverEvent::Timer));
        let expected = case.promoted.map(|index| harness.keys[index]);
        expect_that!(promoted(&actions), eq(expected), "{}", case.name);
        expect_that!(harness.machine.phase(), eq(case.phase), "{}", case.name);
    }
}

/// Guards against a group that stays without a primary because the answer to
/// `promote` was lost, and against a lease that is not released after a failover.
#[googletest::test]
fn a_lost_promotion_is_repeated_at_the_same_member() {
    let mut harness = Harness::fencing([5, 8]);
    harness.fence_answer(1, 2, granted(2, 5));
    let first = harness.fence_answer(2, 2, granted(2, 8));
    harness.now_ms += 150;
    let again = harness.handle(FailoverEvent::Timer);
    expect_that!(promoted(&first), some(eq(harness.keys[2])));
    expect_that!(promoted(&again), some(eq(harness.keys[2])));
    let done = harness.report(2, report(MemberRole::Primary, 2, 8, None));
    let follows = done
        .iter()
        .filter(|action| matches!(action, FailoverAction::Follow(_)));
    expect_that!(follows.count(), eq(2));
    expect_that!(done.contains(&FailoverAction::ReleaseLease), eq(true));
    expect_that!(harness.machine.phase(), eq(FailoverPhase::Steady));
}

/// Guards against keeping a primary that is leaving or whose heartbeats reach no
/// majority, and against a needless failover for one unreachable replica.
#[googletest::test]
fn a_responsive_primary_is_suspected_only_when_leaving_or_without_quorum() {
    struct Case {
        name: &'static str,
        replicas: Vec<MemberReport>,
        leaving: Option<usize>,
        expected: Option<SuspicionReason>,
    }
    let with_heartbeat = replica(9, 10);
    let without_heartbeat = replica(9, 1_000);
    let key = Harness::new(1).keys[0];
    let quorum_lost = Some(SuspicionReason::QuorumLost(key));
    let case = |name, replicas, leaving, expected| Case {
        name,
        replicas,
        leaving,
        expected,
    };
    let cases = [
        case(
            "all replicas receive heartbeats",
            vec![with_heartbeat, with_heartbeat],
            None,
            None,
        ),
        case(
            "one of two replicas receives heartbeats",
            vec![with_heartbeat, without_heartbeat],
            None,
            None,
        ),
        case(
            "neither of two replicas receives heartbeats",
            vec![without_heartbeat, without_heartbeat],
            None,
            quorum_lost,
        ),
        case(
            "one of four replicas receives heartbeats",
            vec![
                with_heartbeat,
                without_heartbeat,
                without_heartbeat,
                without_heartbeat,
            ],
            None,
            quorum_lost,
        ),
        case(
            "two of four replicas receive heartbeats",
            vec![
                with_heartbeat,
                with_heartbeat,
                without_heartbeat,
                without_heartbeat,
            ],
            None,
            None,
        ),
        case(
            "a leaving replica",
            vec![with_heartbeat, with_heartbeat],
            Some(1),
            None,
        ),
        case(
            "a leaving primary",
            vec![with_heartbeat, with_heartbeat],
            Some(0),
            Some(SuspicionReason::Leaving(key)),
        ),
    ];
    for case in cases {
        let mut harness = Harness::new(case.replicas.len() + 1);
        for (index, report) in case.replicas.iter().enumerate() {
            harness.report(index + 1, *report);
        }
        harness.report(0, primary(9));
        if let Some(member) = case.leaving {
            let member = harness.keys[member];
            let leaving = true;
            harness.handle(FailoverEvent::Leaving { member, leaving });
        }
        let suspicion = harness.machine.suspicion(harness.at(1));
        expect_that!(suspicion, eq(case.expected), "{}", case.name);
    }
}

/// Guards against taking over a lease before it expires, and against a lease that
/// a dead holder keeps for ever.
#[googletest::test]
fn another_daemons_lease_is_taken_over_once_it_expires() {
    struct Case {
        at_ms: u64,
        revision: u64,
        holder: &'static str,
        waits_until_ms: Option<u64>,
    }
    let base = Instant::now();
    let at = |ms| base + Duration::from_millis(ms);
    let case = |at_ms, revision, holder, waits_until_ms| Case {
        at_ms,
        revision,
        holder,
        waits_until_ms,
    };
    let cases = [
        case(0, 3, "entry-2", Some(2_000)),
        case(1_999, 3, "entry-2", Some(2_000)),
        case(2_000, 3, "entry-2", None),
        case(2_100, 4, "entry-2", Some(4_100)),
        case(2_200, 5, "", None),
    ];
    let mut view = LeaseView::new("entry-1", 7, Duration::from_millis(2_000));
    for case in cases {
        let value = LeaseValue {
            holder: case.holder.to_owned(),
            incarnation: 8,
            term: Term(2),
            duration_ms: 2_000,
        };
        let row = LeaseRow {
            revision: case.revision,
            value: Some(value),
        };
        view.observe(row, at(case.at_ms));
        let waits = match view.decide(Term(2), at(case.at_ms)) {
            LeaseDecision::Wait { until } => Some(until),
            LeaseDecision::Write {
                expected_revision, ..
            } => {
                expect_that!(expected_revision, eq(case.revision));
                None
            }
            LeaseDecision::Held { .. } => panic!("this host never wrote the row"),
        };
        let expected = case.waits_until_ms.map(at);
        expect_that!(waits, eq(expected), "at {} ms", case.at_ms);
    }
}
