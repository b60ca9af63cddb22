//! Tests of managed groups with stored numbers at the ends of their ranges.

#[path = "support/managed.rs"]
mod managed_support;

use std::time::{Duration, Instant};

use coordination::managed::change::ChangeReason;
use coordination::managed::change_steps::{ChangeProcedure, ChangeStep, StepOutcome};
use coordination::managed::group::ManagedGroup;
use coordination::managed::promotion_lease::{self, AcquireDecision, LeaseReading, PromotionLease};
use googletest::prelude::*;
use managed_support::{group_of_three, marker, ms, observe_primary, server};
use state::log::Term;
use state::reading::StoreEra;
use state::server_list::{ListedServer, ServerState};

const STORE_TIME: Duration = Duration::from_secs(60);

fn lease_reading(row: Option<PromotionLease>, era: u64, asked_at: Instant) -> LeaseReading {
    let mut marker = marker();
    marker.era = StoreEra(era);
    LeaseReading {
        row,
        revision: 4,
        marker,
        store_time: STORE_TIME,
        asked_at,
    }
}

/// Guards against a task that ends because the next fencing token overflows: the groups
/// of the host then keep their failed primaries.
#[gtest]
fn a_fencing_token_at_its_limit_ends_no_task() {
    struct TokenCase {
        name: &'static str,
        row_token: u64,
        era: u64,
    }
    let cases = [
        TokenCase {
            name: "the token of the row",
            row_token: u64::MAX,
            era: 1,
        },
        TokenCase {
            name: "the first token of the era",
            row_token: 1,
            era: u64::MAX,
        },
    ];
    for case in cases {
        let row = PromotionLease {
            host: "host-2".to_owned(),
            incarnation: 5,
            fencing_token: case.row_token,
            until_ms: 0,
        };
        let reading = lease_reading(Some(row), case.era, Instant::now());
        let decision = promotion_lease::decide(&reading, "host-1", 11);
        let AcquireDecision::Write { row, .. } = decision else {
            panic!("{}: the lease has ended", case.name);
        };
        expect_that!(row.fencing_token, eq(u64::MAX), "{}", case.name);
    }
}

/// Guards against a task that ends because the term after the row's overflows.
#[gtest]
fn a_term_at_its_limit_ends_no_task() {
    let started = Instant::now();
    let mut group = group_of_three(started);
    observe_primary(&mut group, "a", u64::MAX, started);
    let former = group.find("a").unwrap();
    let mut procedure = ChangeProcedure::new("host-1", 11, ChangeReason::Unreachable);
    let now = started + ms(20);
    let reading = lease_reading(None, 0, started);
    let outcomes = [
        StepOutcome::Started,
        StepOutcome::Lease(reading),
        StepOutcome::Written { revision: 8 },
    ];
    for outcome in outcomes {
        procedure.next(&group, outcome, now);
    }
    let step = procedure.next(&group, StepOutcome::Written { revision: 9 }, now);
    let term = Term(u64::MAX);
    expect_that!(
        step,
        eq(&ChangeStep::StepDown {
            member: former,
            term
        })
    );
}

/// Guards against a member whose later entries are ignored until it restarts, because
/// another writer once replaced its entry by one with a higher count, and against an
/// older copy of an entry that counts as the newest one.
#[gtest]
fn a_member_whose_count_was_outranked_is_followed_again() {
    struct CountCase {
        name: &'static str,
        /// Counts of the entries that follow, one in each reading. The member is about to
        /// stop in all of them but the first five.
        counts: &'static [u64],
        is_draining: bool,
    }
    let cases = [
        CountCase {
            name: "the member goes on below the count",
            counts: &[11, 12, 14, 15, 17, 18],
            is_draining: true,
        },
        CountCase {
            name: "an older copy of the entry",
            counts: &[11, 11, 11, 11, 11, 11],
            is_draining: false,
        },
        CountCase {
            name: "older and newer copies of the entry from several hosts",
            counts: &[11, 5_000_001, 12, 5_000_002, 13, 14],
            is_draining: false,
        },
    ];
    let interval = ms(1_500);
    let entry = |heartbeat, state| ListedServer {
        heartbeat,
        state,
        ..server("d", "dc-1")
    };
    for case in cases {
        let mut group = ManagedGroup::default();
        let mut now = Instant::now();
        group.apply_list(&[entry(10, ServerState::Ready)], None, now);
        group.apply_list(&[entry(5_000_000, ServerState::Ready)], None, now);
        for (index, count) in case.counts.iter().enumerate() {
            now += interval;
            let state = match index {
                0..5 => ServerState::Ready,
                _ => ServerState::Draining,
            };
            group.apply_list(&[entry(*count, state)], None, now);
        }
        let state = group.members.values().next().unwrap().server.state;
        let is_draining = state == ServerState::Draining;
        expect_that!(is_draining, eq(case.is_draining), "{}", case.name);
    }
}
