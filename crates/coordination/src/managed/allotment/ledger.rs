//! The granting side of usage caps.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use state::account::UsageCap;
use state::allotment::{AccountDemand, AccountGrant, AllotmentReply, AllotmentRequest};

use super::{allocators_of, whole, AllotmentRules, BucketSize, LIST_VALIDITY, VALIDITY};

/// Time for which a host's demand counts when scarce tokens are divided.
const DEMAND_AGE: Duration = Duration::from_millis(500);
/// Time for which the last request of a process is remembered, so that a copy of an
/// earlier one has no effect. Connections of hosts end long before.
const SEQUENCE_AGE: Duration = Duration::from_secs(60);
/// Longest reported time until the next token.
const NEXT_MAX: Duration = Duration::from_secs(5);

/// The tokens of a process at one pool.
#[derive(Clone, Copy, Debug)]
struct Holder {
    /// Tokens that the process may still use, or has used without reporting it.
    outstanding: u64,
    used_total: u64,
    /// End of the validity of all its tokens.
    expires_at: Instant,
    needed: u64,
    asked_at: Instant,
}

/// An account's pool at this allocator.
///
/// # Invariants
///
/// `level` and the outstanding tokens together are at most `size.depth`, except directly
/// after a change that lowered the depth, while the level is 0.
#[derive(Debug)]
struct TokenPool {
    cap: UsageCap,
    pools: usize,
    size: BucketSize,
    /// A larger share of the cap, and when it takes effect.
    raise: Option<(Instant, usize)>,
    level: f64,
    refilled_at: Instant,
    holders: HashMap<u64, Holder>,
}

impl TokenPool {
    fn new(cap: UsageCap, pools: usize, start_at: Instant, rules: &AllotmentRules) -> Self {
        let size = BucketSize::of_pool(&cap, pools);
        Self {
            cap,
            pools,
            size,
            raise: None,
            level: size.depth * rules.initial_level,
            refilled_at: start_at,
            holders: HashMap::new(),
        }
    }

    fn outstanding(&self) -> u64 {
        self.holders.values().map(|holder| holder.outstanding).sum()
    }

    /// Removes expired tokens and refills the pool.
    fn refill(&mut self, now: Instant) {
        self.holders.retain(|_, holder| now < holder.expires_at);
        if let Some((raise_at, pools)) = self.raise {
            if raise_at <= now {
                self.add_refill(raise_at);
                self.raise = None;
                self.set_size(self.cap, pools);
            }
        }
        self.add_refill(now);
    }

    fn add_refill(&mut self, until: Instant) {
        let elapsed = until.saturating_duration_since(self.refilled_at);
        let room = (self.size.depth - self.outstanding() as f64).max(0.0);
        self.level = (self.level + self.size.rate * elapsed.as_secs_f64()).min(room);
        self.refilled_at = self.refilled_at.max(until);
    }

    fn set_size(&mut self, cap: UsageCap, pools: usize) {
        self.cap = cap;
        self.pools = pools;
        self.size = BucketSize::of_pool(&cap, pools);
    }

    /// Applies a change of the number of pools. A larger share takes effect when the
    /// other allocators know of the change.
    fn set_pools(&mut self, pools: usize, now: Instant, rules: &AllotmentRules) {
        let known = self.raise.map_or(self.pools, |(_, pools)| pools);
        if known == pools {
            return;
        }
        self.refill(now);
        self.raise = None;
        match pools < self.pools {
            true => self.raise = Some((now + rules.grant_free, pools)),
            false => self.set_size(self.cap, pools),
        }
    }

    /// Releases the tokens that the process has used or will never use.
    fn settle(&mut self, incarnation: u64, demand: &AccountDemand, now: Instant) {
        self.holders.retain(|_, holder| now < holder.expires_at);
        let known = self.holders.get(&incarnation);
        let unusable = known.map_or(0, |holder| {
            // A counter that fell says nothing about the use.
            let used = demand.used_total.checked_sub(holder.used_total);
            let used = used.unwrap_or(holder.outstanding);
            holder.outstanding.saturating_sub(used + demand.held)
        });
        let holder = Holder {
            outstanding: demand.held,
            used_total: demand.used_total,
            expires_at: now + VALIDITY,
            needed: demand.needed,
            asked_at: now,
        };
        self.holders.insert(incarnation, holder);
        self.level += unusable as f64;
    }

    /// Returns the tokens for a process, and the time until the next one if they are
    /// fewer than it needs.
    fn grant(&mut self, incarnation: u64, demand: &AccountDemand) -> (u64, Option<Duration>) {
        let needed = demand.needed;
        let total = self.recent_demand(incarnation);
        let mut tokens = needed.min(self.fair_part(needed, total));
        let next_in = (tokens < needed).then(|| self.next_in(total));
        if next_in.is_none() {
            // Tokens ahead of demand must not keep others from tokens that they need.
            let free = self.size.depth / 2.0 - self.outstanding() as f64 - tokens as f64;
            let rest = whole(self.level - tokens as f64 - self.size.depth / 4.0);
            tokens += demand.spare.min(whole(free)).min(rest);
        }
        self.level -= tokens as f64;
        if let Some(holder) = self.holders.get_mut(&incarnation) {
            holder.outstanding += tokens;
        }
        (tokens, next_in)
    }

    /// Returns what the hosts that asked lately need, with the request at hand.
    fn recent_demand(&self, incarnation: u64) -> u64 {
        let Some(own) = self.holders.get(&incarnation) else {
            return 0;
        };
        let is_recent = |holder: &&Holder| own.asked_at <= holder.asked_at + DEMAND_AGE;
        let recent = self.holders.values().filter(is_recent);
        recent.map(|holder| holder.needed).sum()
    }

    /// Returns the part of the level that is due to a process, in proportion to the
    /// recent demands.
    fn fair_part(&self, needed: u64, total: u64) -> u64 {
        let available = whole(self.level);
        if total <= available {
            return available;
        }
        // Rounded up, so that a single token goes to the first that asks.
        let part = available as f64 * needed as f64 / total as f64;
        (part.ceil() as u64).min(available)
    }

    /// Returns the time until the recent demands can be met.
    fn next_in(&self, total: u64) -> Duration {
        let missing = (total as f64 - self.level).max(0.0);
        let seconds = missing / self.size.rate;
        match seconds.is_finite() && seconds < NEXT_MAX.as_secs_f64() {
            true => Duration::from_secs_f64(seconds),
            false => NEXT_MAX,
        }
    }
}

/// Grants the tokens of the accounts of which this host is an allocator.
#[derive(Debug)]
pub struct AllotmentLedger {
    host: String,
    rules: AllotmentRules,
    /// Names of the live hosts.
    hosts: Vec<String>,
    /// Whether all live hosts so far named this host, from the first list on. An earlier
    /// process of the host then had the same pools, and no other host has them.
    is_resuming: bool,
    caps: BTreeMap<String, UsageCap>,
    pools: HashMap<String, TokenPool>,
    /// Last sequence number of each requesting process, and when it arrived.
    sequences: HashMap<u64, (u64, Instant)>,
    /// When a reading of the store last confirmed that the host is not cut off.
    confirmed_at: Option<Instant>,
}

impl AllotmentLedger {
    /// Creates the ledger of a host that knows neither caps nor live hosts.
    pub fn new(host: &str, rules: AllotmentRules) -> Self {
        Self {
            host: host.to_owned(),
            rules,
            hosts: Vec::new(),
            is_resuming: false,
            caps: BTreeMap::new(),
            pools: HashMap::new(),
            sequences: HashMap::new(),
            confirmed_at: None,
        }
    }

    /// Applies the caps of the plan in force.
    pub fn set_plan<'a>(
        &mut self,
        caps: impl IntoIterator<Item = (&'a str, UsageCap)>,
        now: Instant,
    ) {
        self.caps = caps
            .into_iter()
            .map(|(name, cap)| (name.to_owned(), cap))
            .collect();
        self.assign_pools(now);
    }

    /// Applies the names of the live hosts.
    pub fn set_hosts(&mut self, hosts: &[&str], now: Instant) {
        let is_first = self.hosts.is_empty();
        let is_same = self.hosts.len() == hosts.len()
            && hosts
                .iter()
                .all(|host| self.hosts.iter().any(|one| one == host));
        self.is_resuming = match is_first {
            true => hosts.contains(&self.host.as_str()),
            false => self.is_resuming && is_same,
        };
        self.hosts = hosts.iter().map(|&host| host.to_owned()).collect();
        self.assign_pools(now);
    }

    /// Records that the store, or a host that reads it, confirmed the plan at `instant`.
    pub fn record_confirmation(&mut self, instant: Instant) {
        self.confirmed_at = self.confirmed_at.max(Some(instant));
    }

    fn assign_pools(&mut self, now: Instant) {
        let count = self.hosts.len().min(super::ALLOCATORS);
        let mut former = std::mem::take(&mut self.pools);
        for (account, cap) in &self.caps {
            let hosts = self.hosts.iter().map(String::as_str);
            if !allocators_of(account, hosts).contains(&self.host.as_str()) {
                continue;
            }
            let pool = match former.remove(account) {
                Some(mut pool) => {
                    pool.set_pools(count, now, &self.rules);
                    if pool.cap != *cap {
                        pool.refill(now);
                        pool.set_size(*cap, pool.pools);
                    }
                    pool
                }
                // A predecessor on another host may still refill the pool.
                None => {
                    let grant_free = match self.is_resuming {
                        true => Duration::ZERO,
                        false => self.rules.grant_free,
                    };
                    TokenPool::new(*cap, count, now + grant_free, &self.rules)
                }
            };
            self.pools.insert(account.clone(), pool);
        }
    }

    /// Answers a request that arrived at `now`. A request that is repeated or older
    /// than another one of the process is granted nothing.
    pub fn grant(&mut self, request: &AllotmentRequest, now: Instant) -> AllotmentReply {
        self.sequences
            .retain(|_, (_, at)| now.saturating_duration_since(*at) < SEQUENCE_AGE);
        let known = self.sequences.get(&request.incarnation);
        if known.is_some_and(|(sequence, _)| *sequence >= request.sequence) {
            return AllotmentReply::default();
        }
        self.sequences
            .insert(request.incarnation, (request.sequence, now));
        let is_current = self
            .confirmed_at
            .is_some_and(|at| now.saturating_duration_since(at) < LIST_VALIDITY);
        let mut grants = Vec::new();
        for demand in &request.demands {
            let Some(pool) = self.pools.get_mut(&demand.account) else {
                continue;
            };
            // The tokens that were used make room for the refill since the last request.
            pool.settle(request.incarnation, demand, now);
            pool.refill(now);
            if !is_current || now < pool.refilled_at {
                continue;
            }
            let (tokens, next_in) = pool.grant(request.incarnation, demand);
            grants.push(AccountGrant {
                account: demand.account.clone(),
                tokens,
                next_in,
            });
        }
        AllotmentReply { grants }
    }
}
