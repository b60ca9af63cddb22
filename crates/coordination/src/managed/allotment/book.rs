//! The requesting side of usage caps.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use state::account::UsageCap;
use state::allotment::{AccountDemand, AllotmentReply, AllotmentRequest};

use super::{allocators_of, whole, AllotmentRules, BucketSize, ALLOCATORS};
use crate::rendezvous;

/// Shortest interval between two requests to an allocator.
const REQUEST_INTERVAL: Duration = Duration::from_millis(250);
/// The same limit while an operation waits for a token.
const URGENT_INTERVAL: Duration = Duration::from_millis(50);
/// Time without a reply after which a request counts as lost.
pub const REQUEST_TIMEOUT: Duration = Duration::from_millis(300);
/// Pause before a further request to an allocator that did not reply.
const FAILURE_PAUSE: Duration = Duration::from_millis(500);
/// Time of expected demand for which tokens are requested ahead.
const AHEAD: Duration = Duration::from_millis(500);
/// Age at which tokens are requested anew, before their validity ends.
const RENEWAL_AGE: Duration = Duration::from_millis(1_000);
/// Time after its last operation for which a host keeps tokens of an account.
const KEEP_IDLE: Duration = Duration::from_secs(10);
/// Demand in operations per second below which no token is kept in advance: about 2 s
/// after a single operation.
const DEMAND_MIN: f64 = 0.1;
/// Time constant of the estimate of an account's demand.
const DEMAND_AVERAGE_S: f64 = 1.0;
/// Time for which a host that is not yet an allocator by its own list is not expected to
/// grant tokens.
const ROLE_PAUSE: Duration = Duration::from_millis(200);
/// Shortest and longest delay after which a refused caller is told to come back.
const RETRY_RANGE: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(5));

/// Result of an attempt to take a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakeOutcome {
    /// The operation may be sent.
    Taken,
    /// No token is at hand, but an allocator may grant one soon. The caller reports the
    /// end of its wait with [`AllotmentBook::end_wait`].
    Waiting,
    /// The account has used up its cap.
    Refused {
        /// Time until there may be tokens.
        retry_after: Duration,
    },
}

/// A request that is due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DueRequest {
    /// Name of the allocator.
    pub allocator: String,
    /// The request.
    pub request: AllotmentRequest,
}

/// The tokens of one allocator.
#[derive(Debug, Default)]
struct HeldTokens {
    tokens: u64,
    /// End of the validity of the tokens; `None` before the first grant.
    expires_at: Option<Instant>,
    /// Never falls while the allocator may remember an earlier value.
    used_total: u64,
    /// Whether tokens were used or given up since the last request.
    has_news: bool,
    /// Instant up to which the allocator has no token for this host.
    short_until: Option<Instant>,
}

impl HeldTokens {
    fn drop_expired(&mut self, now: Instant) {
        if self.tokens > 0 && self.expires_at.is_none_or(|end| end <= now) {
            self.tokens = 0;
            self.has_news = true;
        }
    }
}

/// The part of an account's floor that belongs to this host.
#[derive(Debug)]
struct FloorBucket {
    size: BucketSize,
    level: f64,
    refilled_at: Instant,
}

impl FloorBucket {
    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.level += self.size.rate * elapsed.as_secs_f64();
        self.level = self.level.min(self.size.depth);
        self.refilled_at = self.refilled_at.max(now);
    }

    fn take(&mut self, now: Instant) -> bool {
        self.refill(now);
        let has_token = whole(self.level) > 0 && self.refilled_at <= now;
        if has_token {
            self.level -= 1.0;
        }
        has_token
    }
}

/// What the host knows of one account.
#[derive(Debug)]
struct AccountBook {
    cap: UsageCap,
    allocators: Vec<String>,
    held: BTreeMap<String, HeldTokens>,
    floor: FloorBucket,
    /// Operations per second, at `demand_at`.
    demand: f64,
    demand_at: Instant,
    last_used: Option<Instant>,
    waiting: u64,
}

impl AccountBook {
    fn demand(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.demand_at).as_secs_f64();
        self.demand * (-elapsed / DEMAND_AVERAGE_S).exp()
    }

    fn count_demand(&mut self, now: Instant) {
        self.demand = self.demand(now) + 1.0 / DEMAND_AVERAGE_S;
        self.demand_at = now;
        self.last_used = Some(now);
    }

    fn is_idle(&self, now: Instant) -> bool {
        let is_old = |at: Instant| now.saturating_duration_since(at) >= KEEP_IDLE;
        self.waiting == 0 && self.last_used.is_none_or(is_old)
    }

    fn take(&mut self, now: Instant) -> bool {
        for held in self.held.values_mut() {
            held.drop_expired(now);
        }
        // The fullest first, so that all allocators' tokens last equally long.
        let fullest = self.held.values_mut().max_by_key(|held| held.tokens);
        if let Some(held) = fullest.filter(|held| held.tokens > 0) {
            held.tokens -= 1;
            held.used_total += 1;
            held.has_news = true;
            return true;
        }
        self.floor.take(now)
    }

    /// Returns how many tokens the account should have at one of `count` allocators.
    /// `index` is that of the allocator, counted from one that differs between hosts.
    ///
    /// The need is rounded once and then divided: rounding it up at each allocator would
    /// lock tokens that other hosts need, most of all if many hosts have a small demand.
    fn wanted(&self, index: usize, count: usize, now: Instant) -> u64 {
        if self.is_idle(now) {
            return 0;
        }
        let count = count.max(1) as u64;
        let depth = BucketSize::of_pool(&self.cap, self.allocators.len()).depth;
        let demand = self.demand(now);
        let expected = demand * AHEAD.as_secs_f64();
        let is_short = |held: &HeldTokens| held.short_until.is_some_and(|until| now < until);
        // A token in advance saves the first operation a round trip. Where tokens are
        // scarce, it would be kept from a host that needs it.
        let expected = match self.held.values().any(is_short) {
            true => expected.round(),
            false if demand >= DEMAND_MIN => expected.ceil(),
            false => 0.0,
        };
        let total = expected as u64 + self.waiting;
        let part = total / count + u64::from((index as u64) < total % count);
        part.min(whole(depth))
    }
}

/// A host's connection to an allocator.
#[derive(Debug, Default)]
struct AllocatorLink {
    /// The request without a reply, and when it was sent.
    in_flight: Option<(u64, Instant)>,
    sent_at: Option<Instant>,
    /// Instant before which no request is sent, after one without a reply.
    failed_until: Option<Instant>,
    is_failing: bool,
}

impl AllocatorLink {
    fn may_send(&self, is_urgent: bool, now: Instant) -> bool {
        let interval = match is_urgent {
            true => URGENT_INTERVAL,
            false => REQUEST_INTERVAL,
        };
        self.in_flight.is_none()
            && self.failed_until.is_none_or(|until| until <= now)
            && self
                .sent_at
                .is_none_or(|at| now.saturating_duration_since(at) >= interval)
    }
}

/// The tokens that a host has for operations of client accounts.
#[derive(Debug)]
pub struct AllotmentBook {
    host: String,
    incarnation: u64,
    /// Distance by which the host's first allocator is moved, so that small demands of
    /// many hosts go to different allocators.
    rotation: usize,
    rules: AllotmentRules,
    sequence: u64,
    hosts: Vec<String>,
    /// When the live hosts became known.
    hosts_since: Option<Instant>,
    accounts: HashMap<String, AccountBook>,
    links: HashMap<String, AllocatorLink>,
}

impl AllotmentBook {
    /// Creates the book of a process that knows neither caps nor live hosts.
    /// `incarnation` is a random number of the process.
    pub fn new(host: &str, incarnation: u64, rules: AllotmentRules) -> Self {
        Self {
            host: host.to_owned(),
            incarnation,
            rotation: rendezvous::weight("rotation", host) as usize % ALLOCATORS,
            rules,
            sequence: 0,
            hosts: Vec::new(),
            hosts_since: None,
            accounts: HashMap::new(),
            links: HashMap::new(),
        }
    }

    /// Applies the caps of the plan in force. Unused tokens are reduced to a lower cap.
    pub fn set_plan<'a>(
        &mut self,
        caps: impl IntoIterator<Item = (&'a str, UsageCap)>,
        now: Instant,
    ) {
        let mut former = std::mem::take(&mut self.accounts);
        for (name, cap) in caps {
            let account = match former.remove(name) {
                Some(mut account) => {
                    account.cap = cap;
                    account
                }
                None => self.new_account(cap, now),
            };
            self.accounts.insert(name.to_owned(), account);
        }
        self.assign_allocators(now);
    }

    fn new_account(&self, cap: UsageCap, now: Instant) -> AccountBook {
        let since = self.hosts_since.unwrap_or(now);
        let size = BucketSize::of_floor(&cap, self.host_count());
        let level = size.depth * self.rules.initial_level;
        AccountBook {
            cap,
            allocators: Vec::new(),
            held: BTreeMap::new(),
            floor: FloorBucket {
                size,
                level,
                refilled_at: now.max(since + self.rules.grant_free),
            },
            demand: 0.0,
            demand_at: now,
            last_used: None,
            waiting: 0,
        }
    }

    /// Applies the names of the live hosts.
    pub fn set_hosts(&mut self, hosts: &[&str], now: Instant) {
        self.hosts = hosts.iter().map(|&host| host.to_owned()).collect();
        if self.hosts_since.is_none() && !hosts.is_empty() {
            self.hosts_since = Some(now);
            // The first lists after a start may lack hosts, whose number divides the floor.
            for account in self.accounts.values_mut() {
                account.floor.refilled_at = now + self.rules.grant_free;
            }
        }
        self.links.retain(|name, _| hosts.contains(&name.as_str()));
        self.assign_allocators(now);
    }

    fn host_count(&self) -> usize {
        let is_listed = self.hosts.contains(&self.host);
        self.hosts.len() + usize::from(!is_listed)
    }

    fn assign_allocators(&mut self, now: Instant) {
        let count = self.host_count();
        let is_known = self.hosts_since.is_some();
        for (name, account) in &mut self.accounts {
            account.floor.refill(now);
            account.floor.size = match is_known {
                true => BucketSize::of_floor(&account.cap, count),
                false => BucketSize::default(),
            };
            account.floor.level = account.floor.level.min(account.floor.size.depth);
            let hosts = self.hosts.iter().map(String::as_str);
            account.allocators = allocators_of(name, hosts)
                .into_iter()
                .map(str::to_owned)
                .collect();
            let pool = BucketSize::of_pool(&account.cap, account.allocators.len());
            let max_tokens = whole(pool.depth);
            // A former allocator remembers the use for as long as its grants are valid.
            let retention = 2 * self.rules.validity;
            account.held.retain(|allocator, held| {
                held.drop_expired(now);
                held.tokens = held.tokens.min(max_tokens);
                account.allocators.contains(allocator)
                    || held.expires_at.is_some_and(|end| now < end + retention)
            });
            for allocator in &account.allocators {
                account.held.entry(allocator.clone()).or_default();
            }
        }
    }

    /// Returns whether any account has a cap.
    pub fn has_caps(&self) -> bool {
        !self.accounts.is_empty()
    }

    /// Takes a token for a new operation of an account. Accounts without a cap need
    /// none.
    pub fn try_take(&mut self, account: &str, now: Instant) -> TakeOutcome {
        let Some(entry) = self.accounts.get_mut(account) else {
            return TakeOutcome::Taken;
        };
        entry.count_demand(now);
        if entry.take(now) {
            return TakeOutcome::Taken;
        }
        let refused = self.refusal(account, now);
        if refused.is_none() {
            if let Some(entry) = self.accounts.get_mut(account) {
                entry.waiting += 1;
            }
        }
        refused.map_or(TakeOutcome::Waiting, |retry_after| TakeOutcome::Refused {
            retry_after,
        })
    }

    /// Takes a token for an operation that waits for one.
    pub fn retry_take(&mut self, account: &str, now: Instant) -> TakeOutcome {
        let Some(entry) = self.accounts.get_mut(account) else {
            return TakeOutcome::Taken;
        };
        if entry.take(now) {
            return TakeOutcome::Taken;
        }
        let refused = self.refusal(account, now);
        refused.map_or(TakeOutcome::Waiting, |retry_after| TakeOutcome::Refused {
            retry_after,
        })
    }

    /// Records that an operation no longer waits.
    pub fn end_wait(&mut self, account: &str) {
        if let Some(entry) = self.accounts.get_mut(account) {
            entry.waiting = entry.waiting.saturating_sub(1);
        }
    }

    /// Returns the time until there may be tokens again, for a caller whose wait has
    /// ended without one.
    pub fn retry_after(&self, account: &str, now: Instant) -> Duration {
        let (shortest, longest) = RETRY_RANGE;
        let Some(entry) = self.accounts.get(account) else {
            return shortest;
        };
        let ends = entry.allocators.iter().filter_map(|allocator| {
            let until = entry.held.get(allocator)?.short_until?;
            Some(until.saturating_duration_since(now))
        });
        ends.min()
            .unwrap_or(REQUEST_INTERVAL)
            .clamp(shortest, longest)
    }

    /// Returns the time until there may be tokens if no allocator is expected to grant
    /// one soon, so that an operation need not wait.
    fn refusal(&self, account: &str, now: Instant) -> Option<Duration> {
        let entry = self.accounts.get(account)?;
        let may_grant = entry.allocators.iter().any(|allocator| {
            let held = entry.held.get(allocator);
            let short_until = held.and_then(|held| held.short_until);
            let is_short = short_until.is_some_and(|until| now < until);
            !is_short && !self.is_failing(allocator)
        });
        (!may_grant).then(|| self.retry_after(account, now))
    }

    fn is_failing(&self, allocator: &str) -> bool {
        let link = self.links.get(allocator);
        link.is_some_and(|link| link.is_failing)
    }

    /// Returns the requests to send now. Each is answered by
    /// [`record_grant`](Self::record_grant) or [`record_failure`](Self::record_failure).
    pub fn requests_due(&mut self, now: Instant) -> Vec<DueRequest> {
        let mut due: BTreeMap<String, bool> = BTreeMap::new();
        for entry in self.accounts.values_mut() {
            for (allocator, held) in &mut entry.held {
                held.drop_expired(now);
                due.entry(allocator.clone()).or_default();
            }
            for allocator in entry.allocators.iter().filter(|_| entry.waiting > 0) {
                due.insert(allocator.clone(), true);
            }
        }
        let mut requests = Vec::new();
        for (allocator, is_urgent) in due {
            let link = self.links.get(&allocator);
            if link.is_some_and(|link| !link.may_send(is_urgent, now)) {
                continue;
            }
            let demands = self.demands(&allocator, now);
            if demands.is_empty() {
                continue;
            }
            self.sequence += 1;
            let link = self.links.entry(allocator.clone()).or_default();
            link.in_flight = Some((self.sequence, now));
            link.sent_at = Some(now);
            requests.push(DueRequest {
                allocator,
                request: AllotmentRequest {
                    incarnation: self.incarnation,
                    sequence: self.sequence,
                    demands,
                },
            });
        }
        requests
    }

    /// Returns the demands at an allocator; empty if none of its accounts needs tokens
    /// or has news.
    fn demands(&mut self, allocator: &str, now: Instant) -> Vec<AccountDemand> {
        let mut demands = Vec::new();
        let links = &self.links;
        let renew_before = now + self.rules.validity.saturating_sub(RENEWAL_AGE);
        for (name, entry) in &mut self.accounts {
            let is_usable = |other: &&String| links.get(*other).is_none_or(|link| !link.is_failing);
            let usable: Vec<&String> = entry.allocators.iter().filter(is_usable).collect();
            let position = entry.allocators.iter().position(|one| one == allocator);
            let is_allocator = position.is_some();
            let index = usable.iter().position(|one| *one == allocator);
            let index = index.or(position).unwrap_or(0) + self.rotation;
            let needed = match is_allocator {
                true => entry.wanted(index % usable.len().max(1), usable.len(), now),
                false => 0,
            };
            let is_idle = entry.is_idle(now);
            let Some(held) = entry.held.get_mut(allocator) else {
                continue;
            };
            if is_idle && held.tokens > 0 {
                held.tokens = 0;
                held.has_news = true;
            }
            if is_idle && !held.has_news {
                continue;
            }
            let is_ending = held.expires_at.is_none_or(|end| end <= renew_before);
            let is_low = held.tokens < needed;
            // Accounts that need nothing are left out: their tokens stay valid, and their use
            // is reported with the next need.
            let is_included = match is_idle || !is_allocator {
                true => held.has_news,
                false => is_low || (is_ending && held.tokens > 0),
            };
            if !is_included {
                continue;
            }
            let missing = needed.saturating_sub(held.tokens);
            demands.push(AccountDemand {
                account: name.clone(),
                used_total: held.used_total,
                // Unneeded tokens go back, so that they do not keep the allocator from
                // granting them to a host that needs them.
                held: held.tokens.min(needed),
                needed: missing,
                spare: 0,
            });
        }
        for demand in &demands {
            let entry = self.accounts.get_mut(&demand.account);
            if let Some(held) = entry.and_then(|entry| entry.held.get_mut(allocator)) {
                held.tokens = demand.held;
                held.has_news = false;
            }
        }
        demands
    }

    /// Records the reply to `request`, which was sent at `sent_at`. Returns the number
    /// of tokens that can be used; a reply to another request than the last one to the
    /// allocator is ignored.
    pub fn record_grant(
        &mut self,
        due: &DueRequest,
        sent_at: Instant,
        reply: &AllotmentReply,
        now: Instant,
    ) -> u64 {
        let sequence = due.request.sequence;
        let Some(link) = self.links.get_mut(&due.allocator) else {
            return 0;
        };
        if link.in_flight.is_none_or(|(last, _)| last != sequence) {
            return 0;
        }
        link.in_flight = None;
        link.is_failing = false;
        link.failed_until = None;
        let expires_at = sent_at + self.rules.validity;
        let mut usable = 0;
        for demand in &due.request.demands {
            let Some(entry) = self.accounts.get_mut(&demand.account) else {
                continue;
            };
            let Some(held) = entry.held.get_mut(&due.allocator) else {
                continue;
            };
            held.drop_expired(now);
            let mut grants = reply.grants.iter();
            let Some(grant) = grants.find(|grant| grant.account == demand.account) else {
                held.short_until = Some(now + ROLE_PAUSE);
                continue;
            };
            held.short_until = grant.next_in.map(|next_in| now + next_in);
            if now < expires_at {
                held.tokens += grant.tokens;
                held.expires_at = Some(expires_at);
                usable += grant.tokens;
            }
        }
        usable
    }

    /// Records that a request got no reply within [`REQUEST_TIMEOUT`]
    /// or could not be sent.
    pub fn record_failure(&mut self, due: &DueRequest, now: Instant) {
        let Some(link) = self.links.get_mut(&due.allocator) else {
            return;
        };
        if link
            .in_flight
            .is_some_and(|(last, _)| last == due.request.sequence)
        {
            link.in_flight = None;
            link.is_failing = true;
            link.failed_until = Some(now + FAILURE_PAUSE);
        }
    }
}
