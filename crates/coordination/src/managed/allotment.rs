//! Usage caps of client accounts across entry hosts.
//!
//! The first hosts by rendezvous hashing of an account's name are its allocators.
//! Each has a pool of tokens, one token per operation, and grants them to the hosts
//! that ask ([`AllotmentLedger`]). A host takes a token before it sends an operation
//! ([`AllotmentBook`]). A small part of the cap, the floor, is divided evenly between
//! the hosts and needs no message.
//!
//! # Bound
//!
//! In a window of 5 s at most `(5 r + b) * 1.1 + 20 = 5.5 r + 1.1 b + 20` operations
//! may be sent, with `r` the rate and `b` the burst of the cap.
//!
//! A pool `i` with refill rate `p_i` and depth `D_i` keeps `level + outstanding <= D_i`,
//! where the outstanding tokens are those that a host may still use or has used
//! without having reported it. The level rises only by the refill, and by outstanding
//! tokens that can no longer be used. The operations of a window are therefore among
//! the tokens of its begin, at most `D_i`, and the refill of 5 s, at most `5 p_i`. The
//! validity of grants does not enter the bound.
//!
//! A new pool begins with level 0 after [`GRANT_FREE`], when its predecessor has
//! stopped refilling, so that both together refill at most `p_i`. If the predecessor was
//! an earlier process of the same host, which the first list of live hosts shows by
//! naming the host, it has stopped already, and the pool begins at once.
//!
//! The cap of a window is `5 r + b`. So that an account can use more than its rate in
//! every window, half of the burst is given out with the refill, at
//! `k = min(b / 10, 0.3 r)` per second.
//!
//! | part | refill per s | depth |
//! |---|---|---|
//! | all pools together | 0.96 (r + k) | 0.40 r + 1.06 b - 5 k + 12 |
//! | all floors together | 0.02 (r + k) | 0.05 r + 0.02 b + 4 |
//!
//! Hosts that are cut off divide the floor by an older number of hosts. Their floors
//! and those of the remaining hosts are together at most twice the floor, so that it is
//! counted twice. The refill is `5 * (0.96 + 2 * 0.02) (r + k) = 5 r + 5 k`, and the depth
//! with `2 * (0.05 r + 0.02 b + 4)` of the floors is `0.5 r + 1.1 b - 5 k + 20`. The sum
//! is the bound, for every rate, burst and number of hosts.

mod book;
mod ledger;

use std::time::Duration;

use state::account::UsageCap;

pub use book::{AllotmentBook, DueRequest, TakeOutcome, REQUEST_TIMEOUT};
pub use ledger::AllotmentLedger;

use crate::rendezvous;

/// Number of allocators of an account. With three, the loss of one leaves two thirds
/// of the cap until it is removed from the live hosts (22 s).
pub const ALLOCATORS: usize = 3;
/// Time for which granted tokens are valid, from the instant at which their request was
/// sent. A lowered cap has to be binding 5 s after its acknowledgement, and hosts learn
/// of a plan within 3 s.
pub const VALIDITY: Duration = Duration::from_secs(2);
/// Hosts for which there is one group of allocators. With a request each 250 ms from each
/// of them, an allocator answers about 130 requests a second.
const HOSTS_PER_GROUP: usize = 32;
/// Time for which a new allocator grants nothing. Changes of the live hosts reach all
/// connected hosts within 1 s.
pub const GRANT_FREE: Duration = Duration::from_millis(1_500);
/// Age of the last news from the store above which an allocator grants nothing. A host
/// that is cut off is removed from the live hosts 12 s after the cut at the earliest:
/// the lifetime of its entry (22 s) less the interval of its renewal (8 s) and 2 s for
/// renewals that are late.
pub const LIST_VALIDITY: Duration = Duration::from_secs(10);

/// Window over which a cap is counted, in seconds.
const WINDOW_S: f64 = 5.0;
/// Part of the burst that is given out with the refill of each window. The rest is the
/// depth of the pools, for operations that come at once.
const BURST_REFILL: f64 = 0.5;
/// Largest addition to the refill for it, as a part of the rate.
const BURST_REFILL_MAX: f64 = 0.3;
/// Part of the refill that goes to all pools together.
const POOL_REFILL: f64 = 0.96;
/// Part of the refill that goes to all floors together.
const FLOOR_REFILL: f64 = 0.02;
/// Depth of all pools together: seconds of the rate, and tokens.
const POOL_DEPTH: (f64, f64) = (0.40, 12.0);
/// Depth of all floors together: seconds of the rate, part of the burst, and tokens.
const FLOOR_DEPTH: (f64, f64, f64) = (0.05, 0.02, 4.0);
/// Tolerance of comparisons with whole tokens, for rounding in sums of refills.
const EPSILON: f64 = 1e-9;

/// Times and initial levels. The defaults are the ones for which the bound is derived;
/// the model test shows that others break it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AllotmentRules {
    /// Time for which the requesting side uses granted tokens.
    pub validity: Duration,
    /// Time for which a new allocator grants nothing.
    pub grant_free: Duration,
    /// Level of new buckets, as a part of their depth.
    pub initial_level: f64,
}

impl Default for AllotmentRules {
    fn default() -> Self {
        Self {
            validity: VALIDITY,
            grant_free: GRANT_FREE,
            initial_level: 0.0,
        }
    }
}

/// Refill rate and depth of a bucket.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct BucketSize {
    /// Tokens per second.
    rate: f64,
    /// Largest number of tokens.
    depth: f64,
}

impl BucketSize {
    /// Returns the size of each pool of an account with `pools` allocators.
    fn of_pool(cap: &UsageCap, pools: usize) -> Self {
        let (seconds, tokens) = POOL_DEPTH;
        let burst_refill = burst_refill(cap);
        let burst = (1.1 - 2.0 * FLOOR_DEPTH.1) * cap.burst - WINDOW_S * burst_refill;
        let depth = seconds * cap.rate_per_s + burst + tokens;
        let pools = pools.max(1) as f64;
        Self {
            rate: POOL_REFILL * (cap.rate_per_s + burst_refill) / pools,
            depth: depth / pools,
        }
    }

    /// Returns the size of the floor of each of `hosts` hosts. A depth of less than one
    /// token is useless, and the size then is zero.
    fn of_floor(cap: &UsageCap, hosts: usize) -> Self {
        let (seconds, burst, tokens) = FLOOR_DEPTH;
        let depth = seconds * cap.rate_per_s + burst * cap.burst + tokens;
        let hosts = hosts.max(1) as f64;
        if depth < hosts {
            return Self::default();
        }
        Self {
            rate: FLOOR_REFILL * (cap.rate_per_s + burst_refill(cap)) / hosts,
            depth: depth / hosts,
        }
    }
}

/// Returns the tokens per second with which the burst of each window is given out.
fn burst_refill(cap: &UsageCap) -> f64 {
    (BURST_REFILL * cap.burst / WINDOW_S).min(BURST_REFILL_MAX * cap.rate_per_s)
}

/// Returns the allocators of an account among the live hosts.
///
/// Accounts are divided into groups with common allocators, one group for each
/// [`HOSTS_PER_GROUP`] hosts, so that a host sends few requests for many accounts.
pub fn allocators_of<'a>(account: &str, hosts: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    let hosts: Vec<&str> = hosts.into_iter().collect();
    let groups = hosts.len().div_ceil(HOSTS_PER_GROUP).max(1) as u64;
    let group = rendezvous::weight("account group", account) % groups;
    rendezvous::choose(&group.to_string(), hosts, ALLOCATORS)
}

/// Returns the number of whole tokens of a level.
fn whole(level: f64) -> u64 {
    // A cast from a float saturates.
    (level + EPSILON).max(0.0) as u64
}
