//! Tests what a host keeps and what it takes over when the store returns from an older
//! copy, in which acknowledged writes are lost and revisions are given out again.
//! Failure pattern: the store returns while a primary, a plan or the list of members
//! changes, and some hosts do not see it.

#[path = "support/managed.rs"]
mod managed_support;

use std::time::{Duration, Instant};

use coordination::managed::change::{reason_to_change, CandidateStatus, ChangeReason};
use coordination::managed::change_steps::{
    ChangeFailure, ChangeProcedure, ChangeStep, StatusQuestion, StepOutcome,
};
use coordination::managed::era::{
    marked_era, marker_key, EraMarker, EraRow, ORDER_DELAY, SETTLE_TIME,
};
use coordination::managed::group::{ListEvent, ManagedGroup, RELIST_GRACE};
use coordination::managed::plan_view::{PlanCursor, PlanRead, PlanView};
use coordination::managed::presence::{with_known_hosts, PresenceKeeper};
use coordination::managed::primary_view::{GroupRow, PrimaryView, RoundReply, RowReading};
use coordination::managed::probe::{may_restore, ProbeDuty};
use coordination::managed::promotion_lease::{self, AcquireDecision, LeaseReading, PromotionLease};
use googletest::prelude::*;
use managed_support::{announcement, group_of_three, group_row, ms, reading, server};
use state::log::{LogPosition, Term};
use state::member::MemberRole;
use state::plan::RoutePlan;
use state::reading::{HostReport, LiveHost, PlanReading, StoreEra, StoreRevision};
use state::server_list::{ListedServer, ServerState};

const FIRST: StoreEra = StoreEra(1);
const SECOND: StoreEra = StoreEra(2);

const fn first(number: u64) -> StoreRevision {
    StoreRevision::new(FIRST, number)
}

const fn second(number: u64) -> StoreRevision {
    StoreRevision::new(SECOND, number)
}

/// Guards against a group without a primary: the row of the last change is lost, and a
/// write on condition of its revision is refused for ever.
#[gtest]
fn the_next_write_is_conditional_on_the_row_that_the_store_has() {
    let now = Instant::now();
    let mut view = PrimaryView::default();
    view.observe_row(&reading(&group_row("a", 1), first(9), now));
    view.observe_row(&reading(&group_row("b", 2), first(29), now));
    view.observe_row(&reading(&group_row("a", 1), second(9), now + ms(500)));
    expect_that!(view.revision(), eq(second(9)));
    expect_that!(view.row(), some(eq(&group_row("b", 2))));
}

/// Guards against a row that is chosen by its number, and against a host that forgets a
/// term or an announcement that the store lost.
#[gtest]
fn rows_are_ordered_by_era_and_progress() {
    struct RowCase {
        name: &'static str,
        known: (GroupRow, StoreRevision),
        read: (GroupRow, StoreRevision),
        expected: (GroupRow, StoreRevision),
    }
    let announced = GroupRow {
        change: Some(announcement()),
        ..group_row("a", 1)
    };
    let cases = [
        RowCase {
            name: "a late reading of the former era",
            known: (group_row("a", 1), second(9)),
            read: (group_row("b", 2), first(29)),
            expected: (group_row("a", 1), second(9)),
        },
        RowCase {
            name: "the store lost a change",
            known: (group_row("b", 2), first(29)),
            read: (group_row("a", 1), second(9)),
            expected: (group_row("b", 2), second(9)),
        },
        RowCase {
            name: "the store lost an announcement",
            known: (announced.clone(), first(29)),
            read: (group_row("a", 1), second(9)),
            expected: (announced.clone(), second(9)),
        },
        RowCase {
            name: "a later row with a smaller number",
            known: (group_row("a", 1), first(29)),
            read: (group_row("b", 2), second(9)),
            expected: (group_row("b", 2), second(9)),
        },
        RowCase {
            name: "another row with the same number",
            known: (group_row("a", 1), first(9)),
            read: (announced.clone(), second(9)),
            expected: (announced, second(9)),
        },
    ];
    for case in cases {
        let now = Instant::now();
        let mut view = PrimaryView::default();
        view.observe_row(&reading(&case.known.0, case.known.1, now));
        view.observe_row(&reading(&case.read.0, case.read.1, now));
        let found = (view.row().cloned(), view.revision());
        let expected = (Some(case.expected.0), case.expected.1);
        expect_that!(found, eq(&expected), "{}", case.name);
    }
}

/// Guards against an assurance from a row whose announcement may have been lost: the
/// holder of the lost lease may promote another member soon after the return.
#[gtest]
fn a_row_assures_its_primary_only_in_a_settled_era() {
    let now = Instant::now();
    for (is_settled, expected) in [(false, false), (true, true)] {
        let mut view = PrimaryView::default();
        view.observe_row(&RowReading {
            row: &group_row("a", 1),
            revision: second(9),
            asked_at: now,
            is_settled,
        });
        expect_that!(view.is_assured(now), eq(expected), "settled: {is_settled}");
    }
    let marker = |age| EraMarker {
        era: SECOND,
        revision: 30,
        age,
    };
    expect_that!(marker(SETTLE_TIME - ms(1)).is_settled(), eq(false));
    expect_that!(marker(SETTLE_TIME).is_settled(), eq(true));
}

/// Guards against an assurance from asking nobody, by a host that has not read the list
/// of members yet. The model found it with seed 1794 of the returning store.
#[gtest]
fn a_round_without_members_assures_nothing() {
    let now = Instant::now();
    let mut view = PrimaryView::default();
    view.observe_row(&RowReading {
        row: &group_row("a", 1),
        revision: second(9),
        asked_at: now,
        is_settled: false,
    });
    view.observe_round(&[], now, now);
    expect_that!(view.is_assured(now), eq(false));
    let replica = RoundReply {
        member: "b",
        answer: Some((MemberRole::Replica, Term(1))),
    };
    view.observe_round(&[replica], now, now);
    expect_that!(view.is_assured(now), eq(true));
}

/// Guards against a marker whose age is counted on the clock of another era.
#[gtest]
fn a_marker_names_its_era_and_counts_its_age() {
    let row = EraRow::new(ms(14_300));
    let marker = EraMarker::new(SECOND, 30, row, ms(14_900));
    expect_that!(marker.age, eq(ms(600)));
    expect_that!(marker.order_wait(), eq(ORDER_DELAY - ms(600)));
    expect_that!(EraMarker::new(SECOND, 30, row, ms(9_000)).age, eq(ms(0)));
    expect_that!(marked_era(&marker_key(SECOND)), some(eq(SECOND)));
    expect_that!(marked_era("duty"), none());
    expect_that!(marked_era("era/x"), none());
}

/// Returns a group whose hosts saw the change from `a` to `b` and then, in a new era,
/// the row before it.
fn group_ahead_of_store(now: Instant) -> ManagedGroup {
    let mut group = group_of_three(now);
    let changed = group_row("b", 2);
    group.observe_row(&reading(&changed, first(29), now), now);
    let lost = group_row("a", 1);
    group.observe_row(&reading(&lost, second(9), now), now);
    group.primary_view.update_change_times(now);
    group
}

/// Guards against a row that stays lost until the next change of primary, so that a host
/// that starts later uses the former primary.
#[gtest]
fn a_lost_row_is_written_again_by_the_hosts_that_read_the_store() {
    let now = Instant::now();
    let mut group = group_ahead_of_store(now);
    expect_that!(
        reason_to_change(&group, now),
        some(eq(ChangeReason::Restored))
    );
    expect_that!(may_restore(&group, ProbeDuty::ForOthers, now), eq(true));
    expect_that!(may_restore(&group, ProbeDuty::Served, now), eq(false));
    expect_that!(
        may_restore(&group, ProbeDuty::Served, now + ms(3_000)),
        eq(true)
    );
    let restored = group_row("b", 2);
    group.observe_row(&reading(&restored, second(31), now), now);
    expect_that!(reason_to_change(&group, now), none());
}

/// A change in progress in the second era.
struct EraDriver {
    group: ManagedGroup,
    procedure: ChangeProcedure,
    started: Instant,
}

impl EraDriver {
    fn new(group: ManagedGroup, reason: ChangeReason, started: Instant) -> Self {
        Self {
            group,
            procedure: ChangeProcedure::new("host-1", 11, reason),
            started,
        }
    }

    fn next(&mut self, outcome: StepOutcome, millis: u64) -> ChangeStep {
        let now = self.started + ms(millis);
        self.procedure.next(&self.group, outcome, now)
    }

    fn lease(&self, era: StoreEra, age: Duration, millis: u64) -> StepOutcome {
        StepOutcome::Lease(LeaseReading {
            row: None,
            revision: 4,
            marker: EraMarker {
                era,
                revision: 30,
                age,
            },
            store_time: ms(60_000 + millis),
            asked_at: self.started + ms(millis),
        })
    }

    /// Drives the change up to the step after its announcement, which the store
    /// acknowledges after 20 ms, and returns the row that was announced.
    fn announce(&mut self) -> (GroupRow, ChangeStep) {
        self.next(StepOutcome::Started, 0);
        let lease = self.lease(SECOND, ms(500), 0);
        self.next(lease, 5);
        let ChangeStep::WriteGroupRow { row, .. } =
            self.next(StepOutcome::Written { revision: 40 }, 10)
        else {
            panic!("the announcement follows the lease");
        };
        (row, self.next(StepOutcome::Written { revision: 41 }, 20))
    }

    fn status(&self, id: &str, role: MemberRole, term: u64) -> CandidateStatus {
        CandidateStatus {
            member: self.group.find(id).expect("a listed member"),
            role,
            term: Term(term),
            received: LogPosition::new(term, 40),
        }
    }
}

/// Guards against two primaries: hosts that know only the store's row may hold
/// assurances of the former primary, so these end before the lost row is written.
#[gtest]
fn a_lost_row_is_written_after_the_assurances_of_the_stored_one() {
    let now = Instant::now();
    let group = group_ahead_of_store(now);
    let mut driver = EraDriver::new(group, ChangeReason::Restored, now);
    let (announced, step) = driver.announce();
    expect_that!(announced.primary.as_str(), eq("a"));
    expect_that!(announced.progress(), eq((Term(1), true)));
    let asked = ChangeStep::PollMembers {
        members: driver.group.members.keys().collect(),
        question: StatusQuestion::Status,
    };
    expect_that!(step, eq(&asked));
    let replies = vec![
        driver.status("a", MemberRole::Replica, 2),
        driver.status("b", MemberRole::Primary, 2),
    ];
    let step = driver.next(StepOutcome::Polled(replies), 30);
    let ChangeStep::Wait { until } = step else {
        panic!("the assurances have to end");
    };
    expect_that!(until, ge(now + ms(1_020)));
    let ChangeStep::WriteGroupRow {
        row,
        expected_revision,
    } = driver.next(StepOutcome::Waited, 1_030)
    else {
        panic!("the lost row is written again");
    };
    expect_that!(row, eq(&group_row("b", 2)));
    expect_that!(expected_revision, eq(41));
}

/// Guards against a promotion order of a holder whose announcement the store lost.
#[gtest]
fn a_promotion_is_ordered_only_in_the_era_of_its_announcement() {
    struct ConfirmCase {
        name: &'static str,
        era: StoreEra,
        age: Duration,
        /// Time from the read to its answer, in milliseconds.
        answered_after: u64,
        expected: fn(&ChangeStep) -> bool,
    }
    let cases = [
        ConfirmCase {
            name: "the same era",
            era: SECOND,
            age: ms(1_700),
            answered_after: 10,
            expected: |step| matches!(step, ChangeStep::Promote { .. }),
        },
        ConfirmCase {
            name: "the host was suspended after the read",
            era: SECOND,
            age: ms(1_700),
            answered_after: 600,
            expected: |step| matches!(step, ChangeStep::Wait { .. }),
        },
        ConfirmCase {
            name: "orders of the former era may still arrive",
            era: SECOND,
            age: ms(800),
            answered_after: 10,
            expected: |step| matches!(step, ChangeStep::Wait { .. }),
        },
        ConfirmCase {
            name: "the store returned since",
            era: StoreEra(3),
            age: ms(1_700),
            answered_after: 10,
            expected: |step| *step == ChangeStep::Fail(ChangeFailure::EraEnded),
        },
    ];
    for case in cases {
        let now = Instant::now();
        let mut group = group_of_three(now);
        let row = group_row("a", 1);
        group.observe_row(&reading(&row, second(9), now), now);
        let mut driver = EraDriver::new(group, ChangeReason::Unreachable, now);
        driver.announce();
        let stepped_down = driver.status("a", MemberRole::Replica, 1);
        driver.next(StepOutcome::SteppedDown(Some(stepped_down)), 30);
        let replies = vec![driver.status("b", MemberRole::Replica, 1)];
        let step = driver.next(StepOutcome::Polled(replies), 40);
        expect_that!(step, eq(&ChangeStep::ReadLease), "{}", case.name);
        let unknown = driver.next(StepOutcome::LeaseUnknown, 50);
        expect_that!(
            unknown,
            matches_pattern!(ChangeStep::Wait { .. }),
            "{}",
            case.name
        );
        driver.next(StepOutcome::Waited, 250);
        let lease = driver.lease(case.era, case.age, 250);
        let step = driver.next(lease, 250 + case.answered_after);
        expect_that!((case.expected)(&step), eq(true), "{}: {step:?}", case.name);
    }
}

/// Guards against a fencing token that is given out twice because the store lost the
/// lease, and against a smaller one after it.
#[gtest]
fn the_tokens_of_an_era_begin_after_those_of_the_eras_before() {
    let token_of = |era, row: Option<PromotionLease>| {
        let reading = LeaseReading {
            row,
            revision: 4,
            marker: EraMarker {
                era,
                revision: 30,
                age: ms(0),
            },
            store_time: ms(60_000),
            asked_at: Instant::now(),
        };
        match promotion_lease::decide(&reading, "host-1", 11) {
            AcquireDecision::Write { row, held } => {
                expect_that!(held.era, eq(era));
                row
            }
            AcquireDecision::HeldElsewhere { host } => panic!("held by {host}"),
        }
    };
    let lost = token_of(FIRST, None);
    let newest = token_of(
        FIRST,
        Some(PromotionLease {
            until_ms: 0,
            host: "host-2".to_owned(),
            ..lost.clone()
        }),
    );
    expect_that!(newest.fencing_token, gt(lost.fencing_token));
    // The copy has no lease, the former lease of another host, or its own one.
    for row in [
        None,
        Some(lost.clone()),
        Some(PromotionLease {
            until_ms: 0,
            incarnation: 5,
            ..lost
        }),
    ] {
        expect_that!(
            token_of(SECOND, row).fencing_token,
            gt(newest.fencing_token)
        );
    }
}

fn plan(version: u64) -> RoutePlan {
    RoutePlan {
        version,
        ..RoutePlan::default()
    }
}

fn plan_reading(plan: Option<RoutePlan>, revision: StoreRevision) -> PlanReading {
    PlanReading {
        stored_version: plan.as_ref().map(|plan| plan.version),
        plan,
        rejected: Vec::new(),
        revision,
        store_time: ms(1_000),
    }
}

/// Guards against a configuration that is never read because it was written below a
/// revision of the lost history.
#[gtest]
fn changes_are_read_on_from_a_revision_only_in_its_era() {
    let mut cursor = PlanCursor::default();
    expect_that!(cursor.next_read(FIRST), eq(PlanRead::Whole));
    expect_that!(cursor.record(PlanRead::Whole, first(25)), eq(true));
    let after = PlanRead::After(first(25));
    expect_that!(cursor.next_read(FIRST), eq(after));
    // Another call showed the new era.
    expect_that!(cursor.next_read(SECOND), eq(PlanRead::Whole));
    // The answer itself shows it: changes below revision 25 are missing from it.
    expect_that!(cursor.record(after, second(27)), eq(false));
    expect_that!(cursor.next_read(SECOND), eq(PlanRead::Whole));
    expect_that!(cursor.record(PlanRead::Whole, second(27)), eq(true));
    expect_that!(cursor.next_read(SECOND), eq(PlanRead::After(second(27))));
}

/// Guards against a plan that comes back older, and against one that counts as
/// confirmed although the store may have lost a newer one.
#[gtest]
fn a_lost_plan_stays_in_force_and_is_awaited() {
    let now = Instant::now();
    let mut view = PlanView::default();
    view.observe(&plan_reading(Some(plan(13)), first(25)), now);
    expect_that!(view.is_fresh(now), eq(true));
    let later = now + ms(4_000);
    view.observe(&plan_reading(Some(plan(5)), second(21)), later);
    expect_that!(view.plan().map(|plan| plan.version), some(eq(13)));
    expect_that!((view.is_awaited(), view.is_fresh(later)), eq((true, false)));
    // No newer plan than version 5 says nothing about version 13.
    view.observe(&plan_reading(None, second(22)), later);
    expect_that!(view.is_fresh(later), eq(false));
    // A late reading of the former era.
    view.observe(&plan_reading(Some(plan(13)), first(25)), later);
    expect_that!(view.is_fresh(later), eq(false));
    view.observe(&plan_reading(Some(plan(13)), second(23)), later);
    expect_that!((view.is_awaited(), view.is_fresh(later)), eq((false, true)));
    view.observe(&plan_reading(Some(plan(15)), second(24)), later);
    expect_that!(view.plan().map(|plan| plan.version), some(eq(15)));
}

/// Guards against two plans of one version: the first was read but never acknowledged.
#[gtest]
fn a_version_that_is_used_again_replaces_the_lost_one() {
    let now = Instant::now();
    let mut view = PlanView::default();
    view.observe(&plan_reading(Some(plan(13)), first(25)), now);
    let other = RoutePlan {
        transaction_idle: ms(900),
        ..plan(13)
    };
    let change = view.observe(&plan_reading(Some(other.clone()), second(23)), now);
    expect_that!(
        change.map(|change| RoutePlan::clone(&change.plan)),
        some(eq(&other))
    );
}

/// Guards against a member that left, restarted or is about to stop and is in use again
/// by way of its entry in the older copy.
#[gtest]
fn an_older_entry_of_a_member_changes_nothing() {
    struct EntryCase {
        name: &'static str,
        newest: Option<ListedServer>,
        copied: ListedServer,
        /// Whether the member is used after the return.
        is_ready: bool,
    }
    let entry = |started_ms, heartbeat, state| ListedServer {
        started_ms,
        heartbeat,
        state,
        ..server("d", "dc-1")
    };
    let cases = [
        EntryCase {
            name: "about to stop",
            newest: Some(entry(1, 9, ServerState::Draining)),
            copied: entry(1, 4, ServerState::Ready),
            is_ready: false,
        },
        EntryCase {
            name: "left",
            newest: None,
            copied: entry(1, 4, ServerState::Ready),
            is_ready: false,
        },
        EntryCase {
            name: "restarted",
            newest: Some(entry(7, 1, ServerState::Draining)),
            copied: entry(1, 4, ServerState::Ready),
            is_ready: false,
        },
        EntryCase {
            name: "wrote its entry again",
            newest: Some(entry(1, 5, ServerState::Ready)),
            copied: entry(1, 6, ServerState::Ready),
            is_ready: true,
        },
    ];
    for case in cases {
        let now = Instant::now();
        let mut group = ManagedGroup::default();
        group.apply_list(&[entry(1, 4, ServerState::Ready)], None, now);
        let newest: Vec<ListedServer> = case.newest.into_iter().collect();
        group.apply_list(&newest, None, now + ms(1_500));
        group.apply_list(&newest, None, now + RELIST_GRACE + ms(1_500));
        let returned = now + ms(6_000);
        group.apply_list(&[case.copied], Some(returned), returned);
        let is_ready = group.members.values().any(|one| one.takes_reads(returned));
        expect_that!(is_ready, eq(case.is_ready), "{}", case.name);
    }
}

/// Guards against a member that stays out of use after it wrote its entry again.
#[gtest]
fn a_departed_member_that_writes_again_is_added() {
    let now = Instant::now();
    let mut group = ManagedGroup::default();
    group.apply_list(&[server("d", "dc-1")], None, now);
    group.apply_list(&[], None, now);
    group.apply_list(&[], None, now + RELIST_GRACE);
    let back = ListedServer {
        heartbeat: 2,
        ..server("d", "dc-1")
    };
    let events = group.apply_list(&[back], None, now + ms(4_000));
    expect_that!(events, elements_are![eq(&ListEvent::Added("d".to_owned()))]);
}

/// Guards against limits that are divided by too few hosts while these renew their
/// presence, and against a renewal that waits for its interval.
#[gtest]
fn hosts_that_the_store_lost_count_until_they_had_time_to_renew() {
    let host = |name: &str| LiveHost {
        name: name.to_owned(),
        data_centre: "a".to_owned(),
        relay_address: ([127, 0, 0, 1], 7_000).into(),
        joined_ms: 1,
    };
    let known = [host("edge-1"), host("edge-2")];
    let live = with_known_hosts(&[host("edge-2"), host("edge-3")], &known);
    let names: Vec<&str> = live.iter().map(|host| host.name.as_str()).collect();
    expect_that!(
        names,
        elements_are![eq(&"edge-2"), eq(&"edge-3"), eq(&"edge-1")]
    );
    let now = Instant::now();
    let mut keeper = PresenceKeeper::new(HostReport {
        host: "edge-1".to_owned(),
        data_centre: "a".to_owned(),
        incarnation: 1,
        relay_address: ([127, 0, 0, 1], 7_000).into(),
    });
    keeper.record_renewal(now);
    expect_that!(keeper.renewal_due(), some(gt(now)));
    keeper.restart_renewals();
    expect_that!(keeper.renewal_due(), none());
}
