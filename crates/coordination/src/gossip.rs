//! Distribution of document versions to all daemons by gossip and store reads.
//!
//! A daemon that learns of a version pushes it once to a few random peers of its
//! data centre and to one peer of each other data centre. Periodic exchanges with
//! random peers reach daemons that the pushes missed. A push or an exchange
//! carries only the version number. A daemon that receives a newer number fetches
//! the body from that peer, and retries a failed fetch.
//!
//! Two readers per data centre poll the store. All other daemons read it rarely,
//! so that a version is found even if all readers of a data centre die at once.

use std::time::{Duration, Instant};

use rand::seq::IndexedRandom;
use rand::Rng;

/// Number of peers in the daemon's own data centre to which a new version is
/// pushed.
pub const PUSH_OWN_DATA_CENTRE: usize = 4;
/// Interval between exchanges with a random peer.
pub const EXCHANGE_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of an exchange or fetch between daemons. It leaves time for a busy
/// host; without load, a round trip takes up to 22 ms. With a timeout of 500 ms
/// and 30% loss, the last daemon received a version after up to 8.1 s in five
/// runs, because half of the fetches fail.
pub const PEER_CALL_TIMEOUT: Duration = Duration::from_millis(300);
/// One exchange in this many goes to another data centre, so that a version
/// reaches the other data centres even if all pushes to them were lost.
pub const CROSS_EXCHANGE_PERIOD: u32 = 4;
/// Interval at which a reader polls the store.
pub const READER_INTERVAL: Duration = Duration::from_secs(1);
/// Mean interval at which daemons that are not readers read the store. With
/// 2,800 daemons that is 23 reads/s, about 1% of the store's capacity.
pub const FALLBACK_INTERVAL: Duration = Duration::from_secs(120);
/// Longest delay between two reads by a reader while the store is down. It leaves
/// more than half of the 9 s within which a version must be in force everywhere.
pub const STORE_BACKOFF_MAX: Duration = Duration::from_secs(4);

/// Live peers of one data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DataCentrePeers<'a> {
    /// Name of the data centre.
    pub data_centre: &'a str,
    /// Names of its live hosts, without the daemon's own host.
    pub hosts: Vec<&'a str>,
}

/// The live peers of a daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GossipPeers<'a> {
    /// Peers in the daemon's own data centre.
    pub own: DataCentrePeers<'a>,
    /// Peers in each of the other data centres.
    pub others: Vec<DataCentrePeers<'a>>,
    /// Whether this daemon is a configuration reader.
    pub reader: bool,
}

/// A step that the daemon must carry out now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GossipAction {
    /// Exchange versions with this peer.
    Exchange {
        /// Name of the peer's host.
        host: String,
    },
    /// Fetch the body of this version, or of a newer one, from this peer.
    Fetch {
        /// Name of the peer's host.
        host: String,
        /// Lowest version that the peer is known to have.
        version: u64,
    },
    /// Read the head row, which names the current version, from the store.
    ReadStore,
}

#[derive(Clone, Debug)]
struct WantedVersion {
    version: u64,
    /// Peer that announced the version last. The next retry asks this peer.
    host: String,
    in_flight: bool,
    /// Earliest instant of a retry, so that a peer that refuses connections is
    /// not asked in a tight loop.
    retry_at: Instant,
}

/// Schedules the pushes, exchanges, fetches and store reads of one daemon.
///
/// `rng` is a parameter of each method so that runs are reproducible.
///
/// # Invariants
///
/// Each version is pushed at most once, and pushed versions rise. At most one
/// fetch is pending. A failed exchange causes at most one retry per interval, so
/// traffic at most doubles when peers do not answer.
#[derive(Clone, Debug)]
pub struct GossipSchedule {
    pushed_version: u64,
    wanted: Option<WantedVersion>,
    exchange_at: Instant,
    /// Whether the next exchange is the retry of a failed one.
    retry_due: bool,
    last_was_retry: bool,
    exchange_count: u32,
    read_at: Instant,
    /// Whether `read_at` was scheduled as a reader's poll.
    scheduled_as_reader: bool,
    read_pending: bool,
    read_failures: u32,
}

impl GossipSchedule {
    /// Creates the schedule of a daemon that has just started. The first exchange
    /// and read happen at random points of their intervals. The daemon also reads
    /// the store once at its start, outside this schedule.
    pub fn new(now: Instant, rng: &mut impl Rng) -> Self {
        Self {
            pushed_version: 0,
            wanted: None,
            exchange_at: now + EXCHANGE_INTERVAL.mul_f64(rng.random()),
            retry_due: false,
            last_was_retry: false,
            exchange_count: rng.random_range(0..CROSS_EXCHANGE_PERIOD),
            read_at: now + FALLBACK_INTERVAL.mul_f64(rng.random()),
            scheduled_as_reader: false,
            read_pending: false,
            read_failures: 0,
        }
    }

    /// Records an adopted version and returns the peers to push it to. Returns
    /// none if this version or a later one was already pushed.
    pub fn version_adopted<'a>(
        &mut self,
        version: u64,
        peers: &GossipPeers<'a>,
        rng: &mut impl Rng,
    ) -> Vec<&'a str> {
        if version <= self.pushed_version {
            return Vec::new();
        }
        self.pushed_version = version;
        let own = peers.own.hosts.choose_multiple(rng, PUSH_OWN_DATA_CENTRE);
        let mut hosts: Vec<&str> = own.copied().collect();
        let remote = peers
            .others
            .iter()
            .filter_map(|group| group.hosts.choose(rng));
        hosts.extend(remote);
        hosts
    }

    /// Records the version of a peer from its push, exchange or reply. Returns the
    /// fetch to make if the version is newer and no fetch is pending.
    pub fn version_announced(
        &mut self,
        version: u64,
        host: &str,
        now: Instant,
    ) -> Option<GossipAction> {
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
            retry_at: now + PEER_CALL_TIMEOUT,
        });
        Some(wanted.fetch())
    }

    /// Records that the pending fetch has ended. If its body was adopted, call
    /// [`Self::version_adopted`] first. If a version is still wanted,
    /// [`Self::due`] retries the fetch.
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

    /// Gives up the wanted version because its body was rejected.
    pub fn fetch_abandoned(&mut self) {
        self.wanted = None;
    }

    /// Records that an exchange failed. A retry with another random peer is due
    /// immediately, unless the failed exchange was itself a retry.
    pub fn exchange_failed(&mut self, now: Instant) {
        if !self.last_was_retry {
            self.retry_due = true;
            self.exchange_at = now;
        }
    }

    /// Returns the steps that are due.
    pub fn due(
        &mut self,
        peers: &GossipPeers<'_>,
        rng: &mut impl Rng,
        now: Instant,
    ) -> Vec<GossipAction> {
        let mut actions = Vec::new();
        if now >= self.exchange_at {
            self.exchange_at = now + EXCHANGE_INTERVAL.mul_f64(rng.random_range(0.9..1.1));
            self.last_was_retry = std::mem::take(&mut self.retry_due);
            actions.extend(self.choose_exchange_peer(peers, rng));
        }
        actions.extend(self.retry_fetch(now));
        self.update_reader_role(peers.reader, rng, now);
        if now >= self.read_at && !self.read_pending {
            self.read_pending = true;
            actions.push(GossipAction::ReadStore);
        }
        actions
    }

    /// Returns the instant at which [`Self::due`] must be called next. `due` must
    /// also be called when the daemon becomes a reader or ceases to be one.
    pub fn next_due(&self) -> Instant {
        let read_at = (!self.read_pending).then_some(self.read_at);
        let waiting = self.wanted.as_ref().filter(|wanted| !wanted.in_flight);
        let retry_at = waiting.map(|wanted| wanted.retry_at);
        let others = read_at.into_iter().chain(retry_at);
        others.fold(self.exchange_at, Instant::min)
    }

    /// Records the end of a read of the store and schedules the next one.
    pub fn read_ended(&mut self, succeeded: bool, rng: &mut impl Rng, now: Instant) {
        self.read_pending = false;
        self.read_failures = match succeeded {
            true => 0,
            false => self.read_failures.saturating_add(1),
        };
        self.read_at = now + self.read_interval(rng);
    }

    fn retry_fetch(&mut self, now: Instant) -> Option<GossipAction> {
        let wanted = self.wanted.as_mut()?;
        if wanted.in_flight || now < wanted.retry_at {
            return None;
        }
        wanted.in_flight = true;
        wanted.retry_at = now + PEER_CALL_TIMEOUT;
        Some(wanted.fetch())
    }

    /// Moves the next read forward when the daemon becomes a reader. The jitter
    /// prevents simultaneous reads when many daemons become readers at the same
    /// instant, for example because of a wrong list.
    fn update_reader_role(&mut self, reader: bool, rng: &mut impl Rng, now: Instant) {
        if reader && !self.scheduled_as_reader && !self.read_pending && self.read_failures == 0 {
            let soon = now + READER_INTERVAL.mul_f64(rng.random());
            self.read_at = self.read_at.min(soon);
        }
        self.scheduled_as_reader = reader;
    }

    fn read_interval(&self, rng: &mut impl Rng) -> Duration {
        if !self.scheduled_as_reader {
            // Daemons that are not readers do not retry a failed read early, so
            // that their reads stay distributed over the whole interval when the
            // store is available again.
            return FALLBACK_INTERVAL.mul_f64(rng.random_range(0.5..1.5));
        }
        if self.read_failures == 0 {
            return READER_INTERVAL;
        }
        let doubled = READER_INTERVAL.saturating_mul(1 << self.read_failures.min(10));
        doubled
            .min(STORE_BACKOFF_MAX)
            .mul_f64(rng.random_range(0.5..1.0))
    }

    fn choose_exchange_peer(
        &mut self,
        peers: &GossipPeers<'_>,
        rng: &mut impl Rng,
    ) -> Option<GossipAction> {
        self.exchange_count = self.exchange_count.wrapping_add(1);
        let to_other_data_centre = self.exchange_count.is_multiple_of(CROSS_EXCHANGE_PERIOD);
        let other = peers
            .others
            .choose(rng)
            .filter(|group| !group.hosts.is_empty());
        let group = match other {
            Some(other) if to_other_data_centre || peers.own.hosts.is_empty() => other,
            _ => &peers.own,
        };
        let host = group.hosts.choose(rng)?;
        Some(GossipAction::Exchange {
            host: (*host).to_owned(),
        })
    }
}

impl WantedVersion {
    fn fetch(&self) -> GossipAction {
        GossipAction::Fetch {
            host: self.host.clone(),
            version: self.version,
        }
    }
}
