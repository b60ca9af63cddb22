//! Tests the steps of a change of primary, in order and after each kind of
//! failure.

#[path = "support/managed.rs"]
mod managed_support;

use std::time::{Duration, Instant};

use coordination::managed::change::{CandidateStatus, ChangeReason};
use coordination::managed::change_steps::{
    ChangeFailure, ChangeProcedure, ChangeStep, OrderOutcome, StatusQuestion, StepOutcome,
};
use coordination::managed::group::ManagedGroup;
use coordination::managed::primary_view::ASSURANCE_DURATION;
use coordination::managed::promotion_lease::{LeaseReading, PromotionLease};
use googletest::prelude::*;
use managed_support::{group_of_three, marker, ms};
use state::keys::MemberKey;
use state::log::{LogPosition, Term};
use state::member::MemberRole;

/// A change in progress, whose steps the test drives at chosen times.
struct StepDriver {
    group: ManagedGroup,
    procedure: ChangeProcedure,
    started: Instant,
}

impl StepDriver {
    fn new(reason: ChangeReason) -> Self {
        let started = Instant::now();
        Self {
            group: group_of_three(started),
            procedure: ChangeProcedure::new("host-1", 11, reason),
            started,
        }
    }

    /// Passes an outcome to the procedure, `millis` milliseconds after the start.
    fn next(&mut self, outcome: StepOutcome, millis: u64) -> ChangeStep {
        let now = self.started + ms(millis);
        self.procedure.next(&self.group, outcome, now)
    }

    /// Passes an outcome that leads to a promotion order, and confirms the era.
    fn next_confirmed(&mut self, outcome: StepOutcome, millis: u64) -> ChangeStep {
        assert_eq!(self.next(outcome, millis), ChangeStep::ReadLease);
        let lease = self.lease_at(None, millis);
        self.next(lease, millis)
    }

    fn lease(&self, row: Option<PromotionLease>) -> StepOutcome {
        self.lease_at(row, 0)
    }

    /// Returns a reading of the lease row that was asked for `millis` milliseconds after
    /// the start.
    fn lease_at(&self, row: Option<PromotionLease>, millis: u64) -> StepOutcome {
        StepOutcome::Lease(LeaseReading {
            row,
            revision: 4,
            marker: marker(),
            store_time: Duration::from_secs(60),
            asked_at: self.started + ms(millis),
        })
    }

    /// Drives a change up to its announcement, which is acknowledged after 20 ms
    /// with revision 9, and returns the step that follows.
    fn announce(&mut self) -> ChangeStep {
        assert_eq!(self.next(StepOutcome::Started, 0), ChangeStep::ReadLease);
        let lease = self.lease(None);
        let step = self.next(lease, 5);
        assert!(matches!(
            step,
            ChangeStep::WriteLease {
                expected_revision: 4,
                ..
            }
        ));
        let step = self.next(StepOutcome::Written { revision: 8 }, 10);
        let ChangeStep::WriteGroupRow {
            row,
            expected_revision,
        } = step
        else {
            panic!("the announcement follows the lease");
        };
        assert_eq!(expected_revision, self.group.primary_view.revision().number);
        assert!(row.change.is_some());
        self.next(StepOutcome::Written { revision: 9 }, 20)
    }

    fn candidate(&self, id: &str, role: MemberRole, term: u64, offset: u64) -> CandidateStatus {
        CandidateStatus {
            member: self.group.find(id).expect("a listed member"),
            role,
            term: Term(term),
            received: LogPosition::new(1, offset),
        }
    }

    /// Returns the step that asks all members but the primary for their status.
    fn ask_replicas(&self, question: StatusQuestion) -> ChangeStep {
        let replicas = ["b", "c"].map(|id| self.group.find(id).expect("a listed member"));
        ChangeStep::PollMembers {
            members: replicas.to_vec(),
            question,
        }
    }

    /// The former primary has stepped down, with a log of `offset` commits.
    fn stepped_down(&self, offset: u64) -> StepOutcome {
        let status = self.candidate("a", MemberRole::Replica, 1, offset);
        StepOutcome::SteppedDown(Some(status))
    }

    fn replicas(&self) -> StepOutcome {
        StepOutcome::Polled(vec![
            self.candidate("b", MemberRole::Replica, 1, 40),
            self.candidate("c", MemberRole::Replica, 1, 41),
        ])
    }

    fn wait(&self, millis: u64) -> ChangeStep {
        ChangeStep::Wait {
            until: self.started + ms(millis),
        }
    }
}

fn ask(member: MemberKey) -> ChangeStep {
    ChangeStep::AskStatus {
        member,
        question: StatusQuestion::Status,
    }
}

/// Milliseconds from the start of a test to the acknowledgement of its
/// announcement: 20 ms.
const ANNOUNCED: u64 = 20;

#[gtest]
fn without_a_step_down_the_promotion_waits_for_all_assurances() {
    let mut driver = StepDriver::new(ChangeReason::Unreachable);
    let asked = driver.ask_replicas(StatusQuestion::Status);
    let former = driver.group.find("a").unwrap();
    let successor = driver.group.find("c").unwrap();
    let assurance = ASSURANCE_DURATION.as_millis() as u64;
    expect_that!(
        driver.announce(),
        eq(&ChangeStep::StepDown {
            member: former,
            term: Term(2)
        })
    );
    expect_that!(driver.next(StepOutcome::SteppedDown(None), 520), eq(&asked));
    let replicas = driver.replicas();
    let ChangeStep::Wait { until } = driver.next(replicas, 525) else {
        panic!("the procedure waits for the assurances to end");
    };
    let end = driver.started + ms(ANNOUNCED) + ASSURANCE_DURATION;
    expect_that!(until, gt(end));
    let order = ChangeStep::Promote {
        member: successor,
        fencing_token: 1,
    };
    expect_that!(
        driver.next_confirmed(StepOutcome::Waited, assurance + 150),
        eq(&order)
    );
    expect_that!(
        driver.next(
            StepOutcome::Ordered(OrderOutcome::Accepted),
            assurance + 160
        ),
        eq(&ask(successor))
    );
    let leads = StepOutcome::Status(Some((MemberRole::Primary, Term(2))));
    expect_that!(
        driver.next(leads, assurance + 500),
        eq(&driver.wait(ANNOUNCED + assurance))
    );
    let ChangeStep::WriteGroupRow {
        row,
        expected_revision,
    } = driver.next(StepOutcome::Waited, assurance + 500)
    else {
        panic!("the successor's row is written once it leads");
    };
    expect_that!(
        (row.primary.as_str(), row.term, expected_revision),
        eq(("c", Term(2), 9))
    );
    expect_that!(row.change, none());
    let done = ChangeStep::Done {
        primary: "c".to_owned(),
        term: Term(2),
    };
    expect_that!(
        driver.next(StepOutcome::Written { revision: 10 }, assurance + 510),
        eq(&done)
    );
}

#[gtest]
fn after_a_step_down_the_promotion_does_not_wait_for_assurances() {
    let mut driver = StepDriver::new(ChangeReason::Draining);
    let asked = driver.ask_replicas(StatusQuestion::Status);
    let former = driver.group.find("a").unwrap();
    let successor = driver.group.find("c").unwrap();
    let notice = driver.announce();
    expect_that!(notice, matches_pattern!(ChangeStep::Wait { .. }));
    expect_that!(
        driver.next(StepOutcome::Waited, 420),
        eq(&ChangeStep::StepDown {
            member: former,
            term: Term(2)
        })
    );
    let stepped_down = driver.stepped_down(42);
    expect_that!(driver.next(stepped_down, 430), eq(&asked));
    // The replicas have not received the last commits yet.
    let behind = driver.replicas();
    expect_that!(
        driver.next(behind, 435),
        matches_pattern!(ChangeStep::Wait { .. })
    );
    expect_that!(driver.next(StepOutcome::Waited, 485), eq(&asked));
    let complete = StepOutcome::Polled(vec![driver.candidate("c", MemberRole::Replica, 1, 42)]);
    expect_that!(
        driver.next_confirmed(complete, 490),
        eq(&ChangeStep::Promote {
            member: successor,
            fencing_token: 1
        })
    );
}

#[gtest]
fn a_replica_that_does_not_catch_up_is_promoted_after_a_timeout() {
    let mut driver = StepDriver::new(ChangeReason::Draining);
    driver.announce();
    driver.next(StepOutcome::Waited, 420);
    let stepped_down = driver.stepped_down(99);
    driver.next(stepped_down, 430);
    let behind = driver.replicas();
    expect_that!(
        driver.next_confirmed(behind, 940),
        matches_pattern!(ChangeStep::Promote { .. })
    );
}

/// Guards against a second promotion when the former lease holder failed between
/// its promotion order and the write of the successor's row.
#[gtest]
fn a_member_that_leads_already_only_gets_its_row() {
    let mut driver = StepDriver::new(ChangeReason::Unfinished);
    driver.announce();
    driver.next(StepOutcome::SteppedDown(None), 30);
    let leads = StepOutcome::Polled(vec![driver.candidate("b", MemberRole::Primary, 2, 40)]);
    let end = ANNOUNCED + ASSURANCE_DURATION.as_millis() as u64;
    expect_that!(driver.next(leads, 40), eq(&driver.wait(end)));
    let step = driver.next(StepOutcome::Waited, end);
    expect_that!(step, matches_pattern!(ChangeStep::WriteGroupRow { .. }));
}

#[gtest]
fn an_unanswered_order_is_sent_again_while_the_lease_lasts() {
    let mut driver = StepDriver::new(ChangeReason::Unreachable);
    driver.announce();
    let stepped_down = driver.stepped_down(1);
    driver.next(stepped_down, 30);
    let replicas = driver.replicas();
    let order = driver.next_confirmed(replicas, 40);
    expect_that!(order, matches_pattern!(ChangeStep::Promote { .. }));
    let unknown = || StepOutcome::Ordered(OrderOutcome::Unknown);
    expect_that!(
        driver.next(unknown(), 840),
        matches_pattern!(ChangeStep::Wait { .. })
    );
    expect_that!(
        driver.next_confirmed(StepOutcome::Waited, 1_040),
        eq(&order)
    );
    expect_that!(
        driver.next(unknown(), 2_700),
        matches_pattern!(ChangeStep::Wait { .. })
    );
    expect_that!(
        driver.next(StepOutcome::Waited, 2_900),
        eq(&ChangeStep::Fail(ChangeFailure::LeaseEnded))
    );
}

#[gtest]
fn a_change_fails_with_its_cause() {
    struct FailureCase {
        name: &'static str,
        scenario: fn(&mut StepDriver) -> ChangeStep,
        expected: ChangeFailure,
    }
    let cases = [
        FailureCase {
            name: "another host holds the lease",
            scenario: |driver| {
                driver.next(StepOutcome::Started, 0);
                let row = PromotionLease {
                    host: "host-2".to_owned(),
                    incarnation: 5,
                    fencing_token: 3,
                    until_ms: 61_000,
                };
                let lease = driver.lease(Some(row));
                driver.next(lease, 5)
            },
            expected: ChangeFailure::HeldElsewhere("host-2".to_owned()),
        },
        FailureCase {
            name: "another host took the lease first",
            scenario: |driver| {
                driver.next(StepOutcome::Started, 0);
                let lease = driver.lease(None);
                driver.next(lease, 5);
                driver.next(StepOutcome::Conflict, 10)
            },
            expected: ChangeFailure::Conflict,
        },
        FailureCase {
            name: "no polled member answers",
            scenario: |driver| {
                driver.announce();
                driver.next(StepOutcome::SteppedDown(None), 520);
                driver.next(StepOutcome::Polled(Vec::new()), 1_020)
            },
            expected: ChangeFailure::NoCandidate,
        },
        FailureCase {
            name: "the platform rejects the member",
            scenario: |driver| {
                driver.announce();
                let stepped_down = driver.stepped_down(0);
                driver.next(stepped_down, 30);
                let replicas = driver.replicas();
                driver.next_confirmed(replicas, 40);
                driver.next(StepOutcome::Ordered(OrderOutcome::Rejected), 50)
            },
            expected: ChangeFailure::NoCandidate,
        },
        FailureCase {
            name: "the member does not lead in time",
            scenario: |driver| {
                driver.announce();
                let stepped_down = driver.stepped_down(0);
                driver.next(stepped_down, 30);
                let replicas = driver.replicas();
                driver.next_confirmed(replicas, 40);
                driver.next(StepOutcome::Ordered(OrderOutcome::Accepted), 50);
                driver.next(StepOutcome::Status(None), 2_600)
            },
            expected: ChangeFailure::NotPromoted,
        },
        FailureCase {
            name: "another host has written the group's row",
            scenario: |driver| {
                driver.announce();
                driver.next(StepOutcome::SteppedDown(None), 30);
                let leads = driver.candidate("b", MemberRole::Primary, 2, 40);
                driver.next(StepOutcome::Polled(vec![leads]), 40);
                driver.next(StepOutcome::Waited, 1_100);
                driver.next(StepOutcome::Conflict, 1_110)
            },
            expected: ChangeFailure::Conflict,
        },
    ];
    for case in cases {
        let mut driver = StepDriver::new(ChangeReason::Unreachable);
        let step = (case.scenario)(&mut driver);
        expect_that!(step, eq(&ChangeStep::Fail(case.expected)), "{}", case.name);
    }
}

/// Guards against a promotion order from a holder that was suspended after it
/// polled the members.
#[gtest]
fn no_promotion_is_ordered_after_the_end_of_the_lease() {
    let mut driver = StepDriver::new(ChangeReason::Unreachable);
    driver.announce();
    let stepped_down = driver.stepped_down(0);
    driver.next(stepped_down, 30);
    let replicas = driver.replicas();
    expect_that!(
        driver.next(replicas, 9_000),
        eq(&ChangeStep::Fail(ChangeFailure::LeaseEnded))
    );
}
