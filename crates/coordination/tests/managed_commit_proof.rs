//! Tests which members are shown to hold every acknowledged commit of a group with
//! synchronous replicas, and the steps of a change of primary that depends on it.

#[path = "support/managed.rs"]
mod managed_support;

use std::time::{Duration, Instant};

use coordination::managed::change::{CandidateStatus, ChangeReason};
use coordination::managed::change_steps::{
    ChangeFailure, ChangeProcedure, ChangeStep, StatusQuestion, StepOutcome,
};
use coordination::managed::commit_proof::{find_holders, former_holds_all, LogEvidence};
use coordination::managed::group::ManagedGroup;
use coordination::managed::primary_view::ASSURANCE_DURATION;
use coordination::managed::probe::{replicas_to_resume, ProbeDuty};
use coordination::managed::promotion_lease::{LeaseReading, LEASE_DURATION};
use googletest::prelude::*;
use managed_support::{answer_primary, group_of_three, marker, ms, server};
use state::log::{LogPosition, Term};
use state::member::MemberRole;
use state::server_list::{ListedServer, ServerState};

/// Index of a member, its newest term, and the term and offset that it received.
type Reply = (&'static str, u64, (u64, u64));

fn status(group: &ManagedGroup, reply: &Reply) -> CandidateStatus {
    let (id, term, (log_term, offset)) = *reply;
    CandidateStatus {
        member: group.find(id).expect("a listed member"),
        role: MemberRole::Replica,
        term: Term(term),
        received: LogPosition::new(log_term, offset),
    }
}

fn list(ids: &[&str]) -> Vec<ListedServer> {
    let ports = 5_432..;
    let entries = ids.iter().zip(ports);
    entries
        .map(|(id, port)| {
            let mut entry = server(id, "dc");
            entry.address.set_port(port);
            entry
        })
        .collect()
}

struct ProofCase {
    name: &'static str,
    /// Number of synchronous replicas.
    required: u32,
    /// Changes the group after its primary showed position 1:50.
    disturb: fn(&mut ManagedGroup, Instant),
    stepped_down: Option<Reply>,
    replies: &'static [Reply],
    /// The members that are shown to hold all commits; `None` if none is.
    expected: Option<&'static [&'static str]>,
}

const BOTH: [Reply; 2] = [("b", 1, (1, 60)), ("c", 1, (1, 40))];

/// Guards against the promotion of a member that lacks an acknowledged commit, and against
/// a group that waits although one is shown to have all.
#[gtest]
fn a_member_is_shown_to_hold_all_commits() {
    let cases = [
        ProofCase {
            name: "all replicas answered",
            required: 1,
            disturb: |_, _| {},
            stepped_down: None,
            replies: &BOTH,
            expected: Some(&["b"]),
        },
        ProofCase {
            name: "the replica without an answer may hold more",
            required: 1,
            disturb: |_, _| {},
            stepped_down: None,
            replies: &[("c", 1, (1, 60))],
            expected: None,
        },
        ProofCase {
            name: "with two synchronous replicas one may be silent",
            required: 2,
            disturb: |_, _| {},
            stepped_down: None,
            replies: &[("c", 1, (1, 60))],
            expected: Some(&["c"]),
        },
        ProofCase {
            name: "no answer",
            required: 2,
            disturb: |_, _| {},
            stepped_down: None,
            replies: &[],
            expected: None,
        },
        ProofCase {
            name: "a replica that has the whole log of the former primary",
            required: 1,
            disturb: |_, _| {},
            stepped_down: Some(("a", 1, (1, 60))),
            replies: &[("b", 1, (1, 60))],
            expected: Some(&["b"]),
        },
        ProofCase {
            name: "a former primary that has lost its log shows nothing",
            required: 1,
            disturb: |_, _| {},
            stepped_down: Some(("a", 1, (0, 0))),
            replies: &[("b", 1, (1, 60))],
            expected: None,
        },
        ProofCase {
            name: "a later primary may have acknowledged more than the former one",
            required: 1,
            disturb: |_, _| {},
            stepped_down: Some(("a", 2, (1, 60))),
            replies: &[("b", 1, (1, 60))],
            expected: None,
        },
        ProofCase {
            name: "a replica that shows less than before has lost its data",
            required: 1,
            disturb: |group, now| {
                let key = group.find("c").unwrap();
                group.record_answer(key, Some(LogPosition::new(1, 45)), now, now);
            },
            stepped_down: None,
            replies: &BOTH,
            expected: None,
        },
        ProofCase {
            name: "a replica that left may have held more",
            required: 1,
            disturb: |group, now| {
                group.apply_list(&list(&["a", "b"]), None, now + ms(4_000));
            },
            stepped_down: None,
            replies: &[("b", 1, (1, 60))],
            expected: None,
        },
        ProofCase {
            name: "a replica that left held no more than the primary showed since",
            required: 1,
            disturb: |group, now| {
                group.apply_list(&list(&["a", "b"]), None, now + ms(4_000));
                managed_support::observe_primary(group, "a", 1, now + ms(4_500));
                answer_primary(group, 1, 60, now + ms(4_600));
            },
            stepped_down: None,
            replies: &[("b", 1, (1, 60))],
            expected: Some(&["b"]),
        },
        ProofCase {
            name: "a replica that was about to stop handed its log on",
            required: 1,
            disturb: |group, now| {
                let mut entries = list(&["a", "b", "c"]);
                entries[2].state = ServerState::Draining;
                entries[2].heartbeat = 2;
                group.apply_list(&entries, None, now + ms(1_000));
                group.apply_list(&list(&["a", "b", "d"]), None, now + ms(5_000));
            },
            stepped_down: None,
            replies: &[("b", 1, (1, 60)), ("d", 1, (1, 61))],
            expected: Some(&["d"]),
        },
        ProofCase {
            name: "a replica that joined may hold more",
            required: 1,
            disturb: |group, now| {
                group.apply_list(&list(&["a", "b", "c", "d"]), None, now + ms(1_000));
            },
            stepped_down: None,
            replies: &BOTH,
            expected: None,
        },
        ProofCase {
            name: "the store has just returned and may lack members",
            required: 1,
            disturb: |group, now| {
                group.apply_list(&list(&["a", "b", "c"]), Some(now), now + ms(100));
            },
            stepped_down: None,
            replies: &BOTH,
            expected: None,
        },
    ];
    for case in cases {
        let now = Instant::now();
        let mut group = group_of_three(now);
        group.apply_list(&list(&["a", "b", "c"]), None, now);
        answer_primary(&mut group, 1, 50, now);
        (case.disturb)(&mut group, now);
        let replies: Vec<CandidateStatus> =
            case.replies.iter().map(|one| status(&group, one)).collect();
        let evidence = LogEvidence {
            former: "a",
            former_term: Term(1),
            stepped_down: case.stepped_down.map(|reply| status(&group, &reply)),
            replies: &replies,
        };
        let found = find_holders(&group, case.required, &evidence).ok();
        let expected = case.expected.map(|ids| {
            let keys = ids.iter().map(|id| group.find(id).unwrap());
            keys.collect::<Vec<_>>()
        });
        let members = found.map(|holders| holders.members);
        expect_that!(members, eq(&expected), "{}", case.name);
    }
}

/// Guards against a former primary that takes over again after it lost its data.
#[gtest]
fn a_former_primary_holds_all_only_with_its_log() {
    for (offset, expected) in [(50, true), (49, false)] {
        let now = Instant::now();
        let mut group = group_of_three(now);
        answer_primary(&mut group, 1, 50, now);
        let evidence = LogEvidence {
            former: "a",
            former_term: Term(1),
            stepped_down: Some(status(&group, &("a", 1, (1, offset)))),
            replies: &[],
        };
        expect_that!(former_holds_all(&group, &evidence), eq(expected));
    }
}

/// A change in a group with one synchronous replica.
struct SyncDriver {
    group: ManagedGroup,
    procedure: ChangeProcedure,
    started: Instant,
}

impl SyncDriver {
    /// Drives a change up to the answer of the former primary to the request to step down.
    fn start(reason: ChangeReason, former: Option<Reply>) -> (Self, ChangeStep) {
        let started = Instant::now();
        let mut group = group_of_three(started);
        group.set_sync_replicas(1);
        group.apply_list(&list(&["a", "b", "c"]), None, started);
        answer_primary(&mut group, 1, 50, started);
        let mut driver = Self {
            group,
            procedure: ChangeProcedure::new("host-1", 11, reason),
            started,
        };
        driver.next(StepOutcome::Started, 0);
        let lease = StepOutcome::Lease(LeaseReading {
            row: None,
            revision: 4,
            marker: marker(),
            store_time: Duration::from_secs(60),
            asked_at: started,
        });
        driver.next(lease, 5);
        driver.next(StepOutcome::Written { revision: 8 }, 10);
        let mut step = driver.next(StepOutcome::Written { revision: 9 }, 20);
        if matches!(step, ChangeStep::Wait { .. }) {
            step = driver.next(StepOutcome::Waited, 420);
        }
        assert!(matches!(step, ChangeStep::StepDown { .. }));
        let former = former.map(|reply| status(&driver.group, &reply));
        let step = driver.next(StepOutcome::SteppedDown(former), 500);
        (driver, step)
    }

    fn next(&mut self, outcome: StepOutcome, millis: u64) -> ChangeStep {
        let now = self.started + ms(millis);
        self.procedure.next(&self.group, outcome, now)
    }

    fn polled(&self, replies: &[Reply]) -> StepOutcome {
        let replies = replies.iter().map(|reply| status(&self.group, reply));
        StepOutcome::Polled(replies.collect())
    }

    fn asks(&self, ids: &[&str], question: StatusQuestion) -> ChangeStep {
        let members = ids.iter().map(|id| self.group.find(id).unwrap());
        ChangeStep::PollMembers {
            members: members.collect(),
            question,
        }
    }
}

/// Guards against a commit that is acknowledged between the poll and the promotion: members
/// are asked only after the last assurance, and receive nothing from then on.
#[gtest]
fn members_are_paused_and_asked_after_the_last_assurance() {
    let (mut driver, step) = SyncDriver::start(ChangeReason::Unreachable, None);
    let ChangeStep::Wait { until } = step else {
        panic!("the last assurance has to end first: {step:?}");
    };
    expect_that!(until, gt(driver.started + ms(20) + ASSURANCE_DURATION));
    let paused = StatusQuestion::PauseBelow(Term(2));
    let step = driver.next(StepOutcome::Waited, 1_150);
    expect_that!(step, eq(&driver.asks(&["b", "c"], paused)));
    // Only the one without an answer is asked again.
    let polled = driver.polled(&[("c", 1, (1, 60))]);
    expect_that!(
        driver.next(polled, 1_200),
        matches_pattern!(ChangeStep::Wait { .. })
    );
    let step = driver.next(StepOutcome::Waited, 1_250);
    expect_that!(step, eq(&driver.asks(&["b"], paused)));
    let polled = driver.polled(&[("b", 1, (1, 61))]);
    expect_that!(driver.next(polled, 1_300), eq(&ChangeStep::ReadMembers));
    expect_that!(
        driver.next(StepOutcome::MembersRead, 1_310),
        eq(&ChangeStep::ReadLease)
    );
}

/// Guards against a member that joined after the list which the poll was based on, and holds
/// the only copy of a commit.
#[gtest]
fn a_member_that_joined_meanwhile_is_asked_as_well() {
    let (mut driver, _) = SyncDriver::start(ChangeReason::Unreachable, None);
    driver.next(StepOutcome::Waited, 1_150);
    let polled = driver.polled(&BOTH);
    driver.next(polled, 1_200);
    let now = driver.started + ms(1_210);
    driver
        .group
        .apply_list(&list(&["a", "b", "c", "d"]), None, now);
    expect_that!(
        driver.next(StepOutcome::MembersRead, 1_210),
        matches_pattern!(ChangeStep::Wait { .. })
    );
    let paused = StatusQuestion::PauseBelow(Term(2));
    let step = driver.next(StepOutcome::Waited, 1_260);
    expect_that!(step, eq(&driver.asks(&["d"], paused)));
}

/// Guards against a silent choice of a loss: an attempt without proof ends with its lease and
/// names the copies that are missing.
#[gtest]
fn a_change_without_proof_fails_with_the_missing_members() {
    let (mut driver, _) = SyncDriver::start(ChangeReason::Unreachable, None);
    driver.next(StepOutcome::Waited, 1_150);
    let polled = driver.polled(&[("c", 1, (1, 60))]);
    let end = LEASE_DURATION.as_millis() as u64;
    let ChangeStep::Fail(ChangeFailure::CommitsMissing(missing)) = driver.next(polled, end) else {
        panic!("the attempt ends with its lease");
    };
    expect_that!(missing.silent, elements_are![eq("b")]);
    expect_that!(missing.lost, is_empty());
}

/// Guards against an attempt without end while the store cannot be read.
#[gtest]
fn a_change_ends_with_its_lease_if_the_list_cannot_be_read() {
    let (mut driver, _) = SyncDriver::start(ChangeReason::Unreachable, None);
    driver.next(StepOutcome::Waited, 1_150);
    let polled = driver.polled(&BOTH);
    expect_that!(driver.next(polled, 1_200), eq(&ChangeStep::ReadMembers));
    expect_that!(
        driver.next(StepOutcome::MembersUnknown, 1_700),
        matches_pattern!(ChangeStep::Wait { .. })
    );
    driver.next(StepOutcome::Waited, 1_750);
    let end = LEASE_DURATION.as_millis() as u64;
    let polled = driver.polled(&BOTH);
    driver.next(polled, end);
    expect_that!(
        driver.next(StepOutcome::MembersUnknown, end),
        eq(&ChangeStep::Fail(ChangeFailure::LeaseEnded))
    );
}

/// Guards against a group that stays without a primary because the only member with all
/// commits is the one that stepped down.
#[gtest]
fn the_former_primary_takes_over_again_if_no_other_holds_its_commits() {
    let former = ("a", 1, (1, 60));
    let (mut driver, step) = SyncDriver::start(ChangeReason::Draining, Some(former));
    let question = StatusQuestion::StepDownBelow(Term(1));
    expect_that!(step, eq(&driver.asks(&["b", "c"], question)));
    let behind = [("c", 1, (1, 40))];
    let polled = driver.polled(&behind);
    expect_that!(
        driver.next(polled, 550),
        matches_pattern!(ChangeStep::Wait { .. })
    );
    driver.next(StepOutcome::Waited, 1_010);
    let polled = driver.polled(&behind);
    expect_that!(driver.next(polled, 1_020), eq(&ChangeStep::ReadMembers));
    driver.next(StepOutcome::MembersRead, 1_030);
    let lease = StepOutcome::Lease(LeaseReading {
        row: None,
        revision: 4,
        marker: marker(),
        store_time: Duration::from_secs(61),
        asked_at: driver.started + ms(1_030),
    });
    let step = driver.next(lease, 1_040);
    let former = driver.group.find("a").unwrap();
    expect_that!(
        step,
        matches_pattern!(ChangeStep::Promote {
            member: eq(&former),
            ..
        })
    );
}

/// Guards against replicas that stay paused, and commits that are never acknowledged, when a
/// host takes over a change whose promotion another host had ordered.
#[gtest]
fn paused_members_resume_before_a_member_that_leads_gets_its_row() {
    let (mut driver, _) = SyncDriver::start(ChangeReason::Unfinished, None);
    driver.next(StepOutcome::Waited, 1_150);
    let leading = CandidateStatus {
        role: MemberRole::Primary,
        ..status(&driver.group, &("b", 2, (1, 60)))
    };
    let step = driver.next(StepOutcome::Polled(vec![leading]), 1_200);
    let others: Vec<_> = ["a", "c"].map(|id| driver.group.find(id).unwrap()).into();
    let resume = ChangeStep::ResumeMembers {
        members: others.clone(),
    };
    expect_that!(step, eq(&resume));
    let silent = vec![others[1]];
    expect_that!(
        driver.next(StepOutcome::Resumed { silent }, 1_250),
        matches_pattern!(ChangeStep::Wait { .. })
    );
    let again = ChangeStep::ResumeMembers {
        members: vec![others[1]],
    };
    expect_that!(driver.next(StepOutcome::Waited, 1_300), eq(&again));
    let silent = Vec::new();
    driver.next(StepOutcome::Resumed { silent }, 1_310);
    expect_that!(
        driver.next(StepOutcome::Waited, 1_310),
        matches_pattern!(ChangeStep::WriteGroupRow { .. })
    );
}

/// Guards against questions to members of a group without synchronous replicas.
#[gtest]
fn replicas_are_asked_for_a_pause_only_where_one_is_used() {
    struct PauseCase {
        name: &'static str,
        sync_replicas: Option<u32>,
        duty: ProbeDuty,
        checked_before: Option<u64>,
        expected: usize,
    }
    let cases = [
        PauseCase {
            name: "no synchronous replica",
            sync_replicas: Some(0),
            duty: ProbeDuty::Alone,
            checked_before: None,
            expected: 0,
        },
        PauseCase {
            name: "the plan is not known",
            sync_replicas: None,
            duty: ProbeDuty::Alone,
            checked_before: None,
            expected: 0,
        },
        PauseCase {
            name: "one synchronous replica",
            sync_replicas: Some(1),
            duty: ProbeDuty::Alone,
            checked_before: None,
            expected: 2,
        },
        PauseCase {
            name: "another host asks",
            sync_replicas: Some(1),
            duty: ProbeDuty::Served,
            checked_before: None,
            expected: 0,
        },
        PauseCase {
            name: "asked a second ago",
            sync_replicas: Some(1),
            duty: ProbeDuty::ForOthers,
            checked_before: Some(1_000),
            expected: 0,
        },
        PauseCase {
            name: "asked long ago",
            sync_replicas: Some(1),
            duty: ProbeDuty::ForOthers,
            checked_before: Some(3_000),
            expected: 2,
        },
    ];
    for case in cases {
        let started = Instant::now();
        let mut group = ManagedGroup::default();
        if let Some(count) = case.sync_replicas {
            group.set_sync_replicas(count);
        }
        group.apply_list(&list(&["a", "b", "c"]), None, started);
        managed_support::observe_primary(&mut group, "a", 1, started);
        let now = started + ms(5_000);
        group.pauses_checked_at = case.checked_before.map(|millis| now - ms(millis));
        let due = replicas_to_resume(&group, case.duty, now);
        let count = due.map_or(0, |(replicas, _)| replicas.len());
        expect_that!(count, eq(case.expected), "{}", case.name);
    }
}
