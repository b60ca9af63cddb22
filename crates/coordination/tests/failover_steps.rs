//! Single steps of the failover machine, the lease and the repair orders.

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

struct Bench {
    base: Instant,
    keys: Vec<MemberKey>,
    machine: FailoverMachine,
    now_ms: u64,
}

fn report(role: MemberRole, promised: u64, offset: u64, heard_ms: Option<u64>) -> MemberReport {
    let log = LogPosition::new(1, offset);
    MemberReport {
        promised_term: Term(promised),
        role,
        log,
        applied: log,
        primary_heartbeat_age: heard_ms.map(Duration::from_millis),
    }
}

fn primary(offset: u64) -> MemberReport {
    report(MemberRole::Primary, 1, offset, None)
}

fn replica(offset: u64, heard_ms: u64) -> MemberReport {
    report(MemberRole::Replica, 1, offset, Some(heard_ms))
}

impl Bench {
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

    /// A group of three whose primary 0 then refuses connections and has not
    /// been heard for a second; the lease is held, and the fence is sent.
    fn fencing(logs: [u64; 2]) -> Self {
        let mut bench = Self::new(3);
        bench.report(0, primary(9));
        bench.report(1, replica(logs[0], 10));
        bench.report(2, replica(logs[1], 10));
        bench.now_ms = 1_000;
        bench.refuse_connection(0);
        bench.silent_replicas(logs);
        let until = bench.at(3_000);
        bench.handle(FailoverEvent::Lease(LeaseAnswer::HeldByUs { until }));
        bench.silent_replicas(logs);
        bench
    }

    fn silent_replicas(&mut self, logs: [u64; 2]) -> Vec<FailoverAction> {
        self.report(1, replica(logs[0], 1_000));
        self.report(2, replica(logs[1], 1_000))
    }
}

fn fenced(term: u64, offset: u64) -> StepAnswer {
    StepAnswer::Accepted(report(MemberRole::Replica, term, offset, None))
}

fn promoted(actions: &[FailoverAction]) -> Option<MemberKey> {
    actions.iter().find_map(|action| match action {
        FailoverAction::Promote { member, .. } => Some(*member),
        _ => None,
    })
}

/// Guards against a promotion because only this daemon is cut off, or without a
/// recent answer of a majority.
#[googletest::test]
fn no_attempt_without_a_majority_that_misses_the_primary() {
    struct Case {
        name: &'static str,
        reports: Vec<(usize, MemberReport)>,
        expected: FailoverPhase,
    }
    let cases = [
        Case {
            name: "one replica hears the primary",
            reports: vec![(1, replica(9, 100)), (2, replica(9, 1_000))],
            expected: FailoverPhase::Suspect,
        },
        Case {
            name: "one of three answers",
            reports: vec![(1, replica(9, 1_000))],
            expected: FailoverPhase::Suspect,
        },
        Case {
            name: "no replica hears it",
            reports: vec![(1, replica(9, 1_000)), (2, replica(9, 1_000))],
            expected: FailoverPhase::Lease,
        },
        Case {
            name: "it comes back",
            reports: vec![(1, replica(9, 100)), (0, primary(9))],
            expected: FailoverPhase::Steady,
        },
    ];
    for case in cases {
        let mut bench = Bench::new(3);
        bench.report(0, primary(9));
        bench.now_ms = 1_000;
        bench.refuse_connection(0);
        for (member, report) in &case.reports {
            bench.report(*member, *report);
        }
        expect_that!(bench.machine.phase(), eq(case.expected), "{}", case.name);
    }
}

/// Guards against waiting for a lease that no one gives, and against acting
/// while another daemon holds it.
#[googletest::test]
fn the_lease_delays_an_attempt_but_does_not_stop_it() {
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
        let mut bench = Bench::new(3);
        bench.report(0, primary(9));
        bench.now_ms = 1_000;
        bench.refuse_connection(0);
        bench.silent_replicas([9, 9]);
        let answer = match case.answer {
            None => LeaseAnswer::NoAnswer,
            Some(until) => LeaseAnswer::HeldByOther {
                until: bench.at(until),
            },
        };
        bench.handle(FailoverEvent::Lease(answer));
        bench.now_ms += case.wait_ms - 1;
        bench.silent_replicas([9, 9]);
        let early = bench.machine.phase() == FailoverPhase::Fencing;
        expect_that!(early, eq(case.fences_before), "{}", case.name);
        bench.now_ms += 1;
        bench.silent_replicas([9, 9]);
        let due = [FailoverPhase::Fencing, FailoverPhase::Lease];
        expect_that!(
            due.contains(&bench.machine.phase()),
            eq(true),
            "{}",
            case.name
        );
    }
}

/// Guards against promoting a member whose log may lack accepted writes, without
/// a majority of grants, or at a term that another proposer has passed.
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
            answers: vec![(1, fenced(2, 5)), (2, fenced(2, 8))],
            wait_ms: 0,
            promoted: Some(2),
            phase: FailoverPhase::Promoting,
        },
        Case {
            name: "one grant is no majority",
            answers: vec![(2, fenced(2, 8))],
            wait_ms: 0,
            promoted: None,
            phase: FailoverPhase::Fencing,
        },
        Case {
            name: "the avoided primary grants: wait for the other replica",
            answers: vec![(0, fenced(2, 9)), (1, fenced(2, 5))],
            wait_ms: 0,
            promoted: None,
            phase: FailoverPhase::Fencing,
        },
        Case {
            name: "at the end of the wait it is promoted again",
            answers: vec![(0, fenced(2, 9)), (1, fenced(2, 5))],
            wait_ms: 300,
            promoted: Some(0),
            phase: FailoverPhase::Promoting,
        },
        Case {
            name: "a higher term ends the attempt",
            answers: vec![(1, fenced(2, 5)), (2, StepAnswer::StaleTerm(Term(4)))],
            wait_ms: 0,
            promoted: None,
            phase: FailoverPhase::Backoff,
        },
        Case {
            name: "a majority granted another proposer",
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
            name: "resumes past the lease",
            answers: vec![(1, fenced(2, 5))],
            wait_ms: 2_500,
            promoted: None,
            phase: FailoverPhase::Backoff,
        },
    ];
    for case in cases {
        let mut bench = Bench::fencing([5, 8]);
        expect_that!(
            bench.machine.phase(),
            eq(FailoverPhase::Fencing),
            "{}",
            case.name
        );
        let mut actions = Vec::new();
        for (member, answer) in &case.answers {
            actions.extend(bench.fence_answer(*member, 2, *answer));
        }
        bench.now_ms += case.wait_ms;
        actions.extend(bench.handle(FailoverEvent::Timer));
        let expected = case.promoted.map(|index| bench.keys[index]);
        expect_that!(promoted(&actions), eq(expected), "{}", case.name);
        expect_that!(bench.machine.phase(), eq(case.phase), "{}", case.name);
    }
}

/// Guards against a lost answer of `promote` that leaves the group without a
/// primary, and against a lease that is kept after the end.
#[googletest::test]
fn a_lost_promotion_is_repeated_at_the_same_member() {
    let mut bench = Bench::fencing([5, 8]);
    bench.fence_answer(1, 2, fenced(2, 5));
    let first = bench.fence_answer(2, 2, fenced(2, 8));
    bench.now_ms += 150;
    let again = bench.handle(FailoverEvent::Timer);
    expect_that!(promoted(&first), some(eq(bench.keys[2])));
    expect_that!(promoted(&again), some(eq(bench.keys[2])));
    let done = bench.report(2, report(MemberRole::Primary, 2, 8, None));
    let follows = done
        .iter()
        .filter(|action| matches!(action, FailoverAction::Follow(_)));
    expect_that!(follows.count(), eq(2));
    expect_that!(done.contains(&FailoverAction::ReleaseLease), eq(true));
    expect_that!(bench.machine.phase(), eq(FailoverPhase::Steady));
}

/// Guards against a primary that no majority hears, or that is leaving, and
/// still stays primary; and against a needless failover for one lost member.
#[googletest::test]
fn a_primary_that_answers_is_suspected_only_when_it_cannot_serve() {
    struct Case {
        name: &'static str,
        replicas: Vec<MemberReport>,
        leaving: Option<usize>,
        expected: Option<SuspicionReason>,
    }
    let heard = replica(9, 10);
    let unheard = replica(9, 1_000);
    let key = Bench::new(1).keys[0];
    let unfollowed = Some(SuspicionReason::Unfollowed(key));
    let case = |name, replicas, leaving, expected| Case {
        name,
        replicas,
        leaving,
        expected,
    };
    let cases = [
        case("all hear it", vec![heard, heard], None, None),
        case("one of two hears it", vec![heard, unheard], None, None),
        case("none hears it", vec![unheard, unheard], None, unfollowed),
        case(
            "one of four",
            vec![heard, unheard, unheard, unheard],
            None,
            unfollowed,
        ),
        case(
            "two of four",
            vec![heard, heard, unheard, unheard],
            None,
            None,
        ),
        case("a leaving replica", vec![heard, heard], Some(1), None),
        case(
            "a leaving primary",
            vec![heard, heard],
            Some(0),
            Some(SuspicionReason::Leaving(key)),
        ),
    ];
    for case in cases {
        let mut bench = Bench::new(case.replicas.len() + 1);
        for (index, report) in case.replicas.iter().enumerate() {
            bench.report(index + 1, *report);
        }
        bench.report(0, primary(9));
        if let Some(member) = case.leaving {
            let member = bench.keys[member];
            let leaving = true;
            bench.handle(FailoverEvent::Leaving { member, leaving });
        }
        let suspicion = bench.machine.suspicion(bench.at(1));
        expect_that!(suspicion, eq(case.expected), "{}", case.name);
    }
}

/// Guards against a lease that is taken over before it lapsed, and one that a
/// dead holder keeps for ever.
#[googletest::test]
fn a_lease_of_another_is_taken_over_once_it_lapsed() {
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
            LeaseDecision::Mine { .. } => panic!("this host never wrote the row"),
        };
        let expected = case.waits_until_ms.map(at);
        expect_that!(waits, eq(expected), "at {} ms", case.at_ms);
    }
}
