//! Which daemons read the store, and which are told of a new version.
//!
//! A daemon that learns of a version pushes it once to a few random peers of
//! its data centre and to one of each other data centre; periodic exchanges
//! with random peers reach those that the pushes missed. A push or an exchange
//! carries only the version; whoever hears of a newer one fetches its body from
//! that peer and repeats a failed fetch. Two readers per data centre poll the store, and all others read it rarely, so that a version is
//! learned even when all readers of a data centre die at once.

use std::time::{Duration, Instant};

use rand::seq::IndexedRandom;
use rand::Rng;

/// Peers of the own data centre that a new version is pushed to.
pub const PUSH_OWN_DATA_CENTRE: usize = 4;
/// Interval of exchanges with a random peer.
pub const EXCHANGE_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of an exchange or fetch between daemons. It allows for a busy host: a
/// round trip takes up to 22 ms without load. With 500 ms and 30% loss the last
/// daemon needed up to 8.1 s in five runs, because each fetch fails half the time.
pub const PEER_CALL_TIMEOUT: Duration = Duration::from_millis(300);
/// One exchange in this many goes to another data centre, so that a version
/// crosses even when each push across was lost.
pub const CROSS_EXCHANGE_PERIOD: u32 = 4;
/// Interval at which a reader polls the store.
pub const READER_INTERVAL: Duration = Duration::from_secs(1);
/// Mean interval at which the other daemons read the store. 2,800 daemons then
/// cause 23 reads/s, about 1% of what the store handles.
pub const FALLBACK_INTERVAL: Duration = Duration::from_secs(120);
/// Longest wait between two reads while the store is down. It leaves more than
/// half of the 9 s in which a version must be in force everywhere.
pub const STORE_BACKOFF_MAX: Duration = Duration::from_secs(4);

/// Live peers of one data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerGroup<'a> {
    /// Name of the data centre.
    pub data_centre: &'a str,
    /// Names of its live hosts, without the daemon's own.
    pub hosts: Vec<&'a str>,
}

/// The live peers of a daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SpreadTargets<'a> {
    /// Peers of the own data centre.
    pub own: PeerGroup<'a>,
    /// Peers of each other data centre.
    pub others: Vec<PeerGroup<'a>>,
    /// Whether this daemon is a configuration reader.
    pub reader: bool,
}

/// A step that is due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SpreadAction {
    /// Exchange versions with this peer.
    Exchange {
        /// Name of the peer's host.
        host: String,
    },
    /// Fetch the body of this version, or of a newer one, from this peer.
    Fetch {
        /// Name of the peer's host.
        host: String,
        /// Version that the peer has at least.
        version: u64,
    },
    /// Read the head from the store.
    ReadStore,
}

#[derive(Clone, Debug)]
struct WantedVersion {
    version: u64,
    /// Peer that told of it last; the next repetition asks this one.
    host: String,
    in_flight: bool,
    /// A repetition waits until then, so that a peer that refuses connections
    /// is not asked in a tight loop.
    repeat_at: Instant,
}

/// Schedules one daemon's part in the distribution of versions. `rng` is a
/// parameter of each call so that runs can be repeated.
///
/// # Invariants
///
/// Each version is pushed at most once, and pushed versions rise. At most one
/// fetch is pending. A failed exchange causes at most one more per interval, so
/// traffic at most doubles when peers do not answer.
#[derive(Clone, Debug)]
pub struct SpreadPlan {
    pushed_version: u64,
    wanted: Option<WantedVersion>,
    exchange_at: Instant,
    /// Whether the exchange that is due repeats a failed one.
    repeat_due: bool,
    last_was_repeat: bool,
    exchanges: u32,
    read_at: Instant,
    /// Whether `read_at` was planned as a reader's poll.
    planned_as_reader: bool,
    read_pending: bool,
    failures: u32,
}

impl SpreadPlan {
    /// Builds the plan of a daemon that has just started. The first exchange
    /// and read are spread over their intervals; the start itself reads the
    /// store once, outside this plan.
    pub fn new(now: Instant, rng: &mut impl Rng) -> Self {
        Self {
            pushed_version: 0,
            wanted: None,
            exchange_at: now + EXCHANGE_INTERVAL.mul_f64(rng.random()),
            repeat_due: false,
            last_was_repeat: false,
            exchanges: rng.random_range(0..CROSS_EXCHANGE_PERIOD),
            read_at: now + FALLBACK_INTERVAL.mul_f64(rng.random()),
            planned_as_reader: false,
            read_pending: false,
            failures: 0,
        }
    }

    /// Returns whom to push a newly adopted version to.
    pub fn learned<'a>(
        &mut self,
        version: u64,
        targets: &SpreadTargets<'a>,
        rng: &mut impl Rng,
    ) -> Vec<&'a str> {
        if version <= self.pushed_version {
            return Vec::new();
        }
        self.pushed_version = version;
        let own = targets.own.hosts.choose_multiple(rng, PUSH_OWN_DATA_CENTRE);
        let mut hosts: Vec<&str> = own.copied().collect();
        let across = targets
            .others
            .iter()
            .filter_map(|group| group.hosts.choose(rng));
        hosts.extend(across);
        hosts
    }

    /// Notes a peer's version, from its push, exchange or reply; returns the
    /// fetch to make if it is newer and no fetch is wanted already.
    pub fn heard(&mut self, version: u64, host: &str, now: Instant) -> Option<SpreadAction> {
        let known = self.wanted.as_ref().map(|wanted| wanted.version);
        if version <= self.pushed_version || known.is_some_and(|known| version < known) {
            return None;
        }
        if let Some(wanted) = &mut self.wanted {
            wanted.version = version;
            wanted.host.clear();
            wanted.host.push_str(host);
            return None;
        }
        let wanted = self.wanted.insert(WantedVersion {
            version,
            host: host.to_owned(),
            in_flight: true,
            repeat_at: now + PEER_CALL_TIMEOUT,
        });
        Some(wanted.fetch())
    }

    /// Notes that the pending fetch has ended, after `learned` if its body was
    /// adopted. If a version is still wanted, `due` repeats the fetch.
    pub fn fetch_ended(&mut self) {
        let pushed_version = self.pushed_version;
        self.wanted = self
            .wanted
            .take()
            .filter(|wanted| wanted.version > pushed_version);
        if let Some(wanted) = &mut self.wanted {
            wanted.in_flight = false;
        }
    }

    /// Gives up the wanted version, because its body was refused.
    pub fn fetch_abandoned(&mut self) {
        self.wanted = None;
    }

    /// Notes that an exchange failed: the next one, with another random peer,
    /// is due at once, unless it is itself a repetition.
    pub fn exchange_failed(&mut self, now: Instant) {
        if !self.last_was_repeat {
            self.repeat_due = true;
            self.exchange_at = now;
        }
    }

    /// Returns the steps that are due.
    pub fn due(
        &mut self,
        targets: &SpreadTargets<'_>,
        rng: &mut impl Rng,
        now: Instant,
    ) -> Vec<SpreadAction> {
        let mut actions = Vec::new();
        if now >= self.exchange_at {
            self.exchange_at = now + EXCHANGE_INTERVAL.mul_f64(rng.random_range(0.9..1.1));
            self.last_was_repeat = std::mem::take(&mut self.repeat_due);
            actions.extend(self.choose_partner(targets, rng));
        }
        actions.extend(self.repeat_fetch(now));
        self.note_role(targets.reader, rng, now);
        if now >= self.read_at && !self.read_pending {
            self.read_pending = true;
            actions.push(SpreadAction::ReadStore);
        }
        actions
    }

    /// Returns the instant at which `due` must be called next. It is also
    /// called when the daemon's role as a reader changes.
    pub fn next_due(&self) -> Instant {
        let read_at = (!self.read_pending).then_some(self.read_at);
        let waiting = self.wanted.as_ref().filter(|wanted| !wanted.in_flight);
        let repeat_at = waiting.map(|wanted| wanted.repeat_at);
        let others = read_at.into_iter().chain(repeat_at);
        others.fold(self.exchange_at, Instant::min)
    }

    /// Notes the end of a read of the store.
    pub fn read_ended(&mut self, succeeded: bool, rng: &mut impl Rng, now: Instant) {
        self.read_pending = false;
        self.failures = match succeeded {
            true => 0,
            false => self.failures.saturating_add(1),
        };
        self.read_at = now + self.read_interval(rng);
    }

    fn repeat_fetch(&mut self, now: Instant) -> Option<SpreadAction> {
        let wanted = self.wanted.as_mut()?;
        if wanted.in_flight || now < wanted.repeat_at {
            return None;
        }
        wanted.in_flight = true;
        wanted.repeat_at = now + PEER_CALL_TIMEOUT;
        Some(wanted.fetch())
    }

    /// A daemon that becomes a reader polls soon instead of at its distant
    /// fallback read; the jitter keeps daemons that all become readers in one
    /// instant, as with a wrong list, from reading together.
    fn note_role(&mut self, reader: bool, rng: &mut impl Rng, now: Instant) {
        if reader && !self.planned_as_reader && !self.read_pending && self.failures == 0 {
            let soon = now + READER_INTERVAL.mul_f64(rng.random());
            self.read_at = self.read_at.min(soon);
        }
        self.planned_as_reader = reader;
    }

    fn read_interval(&self, rng: &mut impl Rng) -> Duration {
        if !self.planned_as_reader {
            // Daemons that are not readers never hasten a failed read: when the
            // store returns, their reads are spread over the whole interval.
            return FALLBACK_INTERVAL.mul_f64(rng.random_range(0.5..1.5));
        }
        if self.failures == 0 {
            return READER_INTERVAL;
        }
        let doubled = READER_INTERVAL.saturating_mul(1 << self.failures.min(10));
        doubled
            .min(STORE_BACKOFF_MAX)
            .mul_f64(rng.random_range(0.5..1.0))
    }

    fn choose_partner(
        &mut self,
        targets: &SpreadTargets<'_>,
        rng: &mut impl Rng,
    ) -> Option<SpreadAction> {
        self.exchanges = self.exchanges.wrapping_add(1);
        let across = self.exchanges.is_multiple_of(CROSS_EXCHANGE_PERIOD);
        let other = targets
            .others
            .choose(rng)
            .filter(|group| !group.hosts.is_empty());
        let group = match other {
            Some(other) if across || targets.own.hosts.is_empty() => other,
            _ => &targets.own,
        };
        let host = group.hosts.choose(rng)?;
        Some(SpreadAction::Exchange {
            host: (*host).to_owned(),
        })
    }
}

impl WantedVersion {
    fn fetch(&self) -> SpreadAction {
        SpreadAction::Fetch {
            host: self.host.clone(),
            version: self.version,
        }
    }
}
