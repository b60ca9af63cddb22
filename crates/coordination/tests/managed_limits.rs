//! Tests of managed groups with stored numbers at the ends of their ranges.

#[path = "support/managed.rs"]
mod managed_support;

use std::time::{Duration, Instant};

use coordination::managed::change::ChangeReason;
use coordination::managed::change_steps::{ChangeProcedure, ChangeStep, StepOutcome};
use coordination::managed::group::ManagedGroup;
use coordination::managed::probe::{needs_round, primary_to_probe, ProbeDuty};
use coordination::managed::promotion_lease::{self, AcquireDecision, LeaseReading, PromotionLease};
use coordination::managed::store_clock::StoreClock;
use googletest::prelude::*;
use managed_support::{
    group_of_three, group_row, marker, ms, observe_primary, reading, revision, server,
};
use state::log::{LogPosition, Term};
use state::reading::{GroupDigest, StoreEra, WatermarkDigest};
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

/// Returns the longest whole number of seconds that can be added to an instant.
fn seconds_left(now: Instant) -> Duration {
    let bits = (0..64).rev().map(|bit| 1 << bit);
    let seconds = bits.fold(0_u64, |sum, bit| {
        let fits = |seconds| now.checked_add(Duration::from_secs(seconds)).is_some();
        sum + if fits(sum + bit) { bit } else { 0 }
    });
    Duration::from_secs(seconds)
}

/// Guards against a task that ends because a time that another host passed on does not
/// fit an instant.
#[gtest]
fn relayed_times_at_the_ends_of_their_ranges_end_no_task() {
    let now = Instant::now();
    let longest = seconds_left(now);
    let times = [
        Duration::ZERO,
        STORE_TIME,
        longest,
        longest + STORE_TIME,
        longest + STORE_TIME * 2,
        Duration::MAX,
    ];
    for time in times {
        let mut clock = StoreClock::default();
        clock.record_relayed(now, STORE_TIME, now, Some(STORE_TIME));
        clock.record_relayed(now, time, now + ms(1), Some(time));
        for latest in times {
            clock.latest_time_at(now + ms(2));
            clock.earliest_time_at(now + ms(2));
            let mut group = group_of_three(now);
            let row = group_row("a", 2);
            if let Some(asked_at) = clock.instant_of(latest) {
                group.observe_row(&reading(&row, revision(2), asked_at), now);
            }
            let digest = GroupDigest {
                group: "birds".to_owned(),
                primary: "a".to_owned(),
                term: Term(2),
                assured_until: Some(latest),
                watermark: Some(WatermarkDigest {
                    asked_at: latest,
                    position: LogPosition::new(u64::MAX, u64::MAX),
                }),
            };
            group.observe_digest(&digest, |time| clock.instant_of(time));
            for duty in [ProbeDuty::Alone, ProbeDuty::ForOthers, ProbeDuty::Served] {
                needs_round(&group, duty, now);
                primary_to_probe(&group, duty, now);
            }
            group.digest("birds", |instant| clock.earliest_time_at(instant));
        }
    }
}
