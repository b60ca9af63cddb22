//! Chooses the entry host from which a host fetches readings of the store.
//!
//! Every host ranks the live hosts in the same way: those that joined first come
//! first. In a data centre the hosts form a tree below the first one, in which each
//! host passes readings on to at most [`FAN_OUT`] others. The first host of a data
//! centre fetches readings from the first host of its region, which reads the
//! store. A host only ever fetches from one that ranks before it, so that hosts
//! with the same list of live hosts cannot wait for each other; hosts with
//! different lists may, and then read the store themselves.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use state::reading::LiveHost;

/// Time for which a reader that did not answer is not asked again. It is doubled
/// with each further failure, up to [`FAILED_PAUSE_MAX`].
const FAILED_PAUSE: Duration = Duration::from_secs(3);
/// Longest such pause, as long as a dead host stays in the list of live hosts.
const FAILED_PAUSE_MAX: Duration = Duration::from_secs(24);
/// Largest number of hosts that fetch readings from one host, unless others fail.
/// Answering that many takes the host less than 1% of a core.
pub const FAN_OUT: usize = 32;
/// Number of hosts at the front of the ranking that a host tries when the hosts
/// above it in the tree fail.
const DEPUTIES: usize = 4;
/// Time that a newly chosen reader has for its first answer. The store is not read
/// meanwhile.
const JOIN_WAIT: Duration = Duration::from_millis(400);
/// Expected number of hosts of a data centre that read the store while their
/// reader answers without readings, which it does when it cannot reach the store.
const FALLBACK_READERS: f64 = 3.0;

/// Time after which a reading that is late is overdue.
const OVERDUE_AFTER: Duration = Duration::from_millis(1_500);
/// Readers without an answer from which on a host relies on no other host: more than
/// one of them hardly fails at the same time, but a partition cuts many off.
const LOST_READERS: usize = 2;

/// How a reader failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReaderFailure {
    /// It did not answer.
    Lost,
    /// It answered, but had no new reading in time.
    Late,
}

/// Age of the last reading that came from a reader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadingAge {
    /// The next one is not due yet.
    Recent,
    /// The next one should have come.
    Late,
    /// So old that this host reads the store in any case.
    Overdue,
}

/// How old the readings of one kind are that came from readers.
///
/// # Invariants
///
/// `read_at` is an instant at which the store was read. When a reading arrives says
/// nothing: a reader without a path to the store repeats its last one to each host that
/// turns to it.
#[derive(Clone, Copy, Debug, Default)]
pub struct RelayedAge {
    read_at: Option<Instant>,
}

impl RelayedAge {
    /// Records a reading that was read from the store at `read_at`.
    pub fn record(&mut self, read_at: Instant) {
        self.read_at = self.read_at.max(Some(read_at));
    }

    /// Returns whether there is a reading.
    pub fn is_known(&self) -> bool {
        self.read_at.is_some()
    }

    /// Returns the age of the newest reading of a host that started at `started_at`. The
    /// next one is due after `max_age`, and overdue after [`OVERDUE_AFTER`] more.
    pub fn age(&self, started_at: Instant, max_age: Duration, now: Instant) -> ReadingAge {
        let since = self.read_at.unwrap_or(started_at);
        match now.saturating_duration_since(since) {
            elapsed if self.read_at.is_some() && elapsed < max_age => ReadingAge::Recent,
            elapsed if elapsed < max_age + OVERDUE_AFTER => ReadingAge::Late,
            _ => ReadingAge::Overdue,
        }
    }
}

/// Where a host gets a reading from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadingSource {
    /// The host reads the store.
    Store,
    /// The reader passes the reading on.
    Reader,
    /// The reader is late. Another host of the data centre reads the store.
    Skip,
}

/// Failures of a reader since its last new reading.
#[derive(Clone, Copy, Debug)]
struct FailedReader {
    failure: ReaderFailure,
    count: u32,
    retry_at: Instant,
}

/// One host's choice of its reader.
#[derive(Clone, Debug)]
pub struct ReaderChoice {
    own_name: String,
    /// The hosts to ask, in this order.
    candidates: Vec<LiveHost>,
    /// Number of live hosts in the data centre, this one included.
    local_hosts: usize,
    /// Readers that did not answer.
    failed: HashMap<String, FailedReader>,
    /// The reader that was chosen last and since when.
    chosen: Option<(String, Instant)>,
}

impl ReaderChoice {
    /// Creates the choice of a host that knows no other host yet.
    pub fn new(own_name: &str) -> Self {
        Self {
            own_name: own_name.to_owned(),
            candidates: Vec::new(),
            local_hosts: 1,
            failed: HashMap::new(),
            chosen: None,
        }
    }

    /// Replaces the live hosts. `data_centre` is that of this host, and `region`
    /// holds the data centres of its region.
    pub fn set_hosts(&mut self, live: &[LiveHost], data_centre: &str, region: &[String]) {
        let mut local: Vec<&LiveHost> = live
            .iter()
            .filter(|host| host.data_centre == data_centre)
            .collect();
        local.sort_by_key(|host| host.seniority());
        let own = local.iter().position(|host| host.name == self.own_name);
        self.local_hosts = local.len() + usize::from(own.is_none());
        // A host that is not listed yet joins at the end.
        let rank = own.unwrap_or(local.len());
        let mut order = ancestors(rank);
        order.extend((0..rank.min(DEPUTIES)).filter(|deputy| !ancestors(rank).contains(deputy)));
        let mut candidates: Vec<LiveHost> =
            order.iter().map(|index| local[*index].clone()).collect();
        let own_host = own.map(|index| local[index]);
        candidates.extend(region_heads(live, data_centre, region, own_host));
        self.failed
            .retain(|name, _| candidates.iter().any(|host| host.name == *name));
        self.candidates = candidates;
    }

    /// Records that a reader failed.
    pub fn record_failure(&mut self, name: &str, failure: ReaderFailure, now: Instant) {
        let count = self.failed.get(name).map_or(1, |reader| reader.count + 1);
        let doubled = FAILED_PAUSE.saturating_mul(1 << (count - 1).min(8));
        let retry_at = now + doubled.min(FAILED_PAUSE_MAX);
        self.failed.insert(
            name.to_owned(),
            FailedReader {
                failure,
                count,
                retry_at,
            },
        );
    }

    /// Records that a reader passed a new reading on.
    pub fn record_success(&mut self, name: &str) {
        self.failed.remove(name);
    }

    /// Returns the host to ask, or `None` if this host has to read the store.
    pub fn reader(&self, now: Instant) -> Option<&LiveHost> {
        self.candidates.iter().find(|host| {
            let failed = self.failed.get(&host.name);
            failed.is_none_or(|reader| now >= reader.retry_at)
        })
    }

    /// Records that this host begins to ask a reader.
    pub fn record_chosen(&mut self, name: &str, now: Instant) {
        if self.chosen.as_ref().is_none_or(|(known, _)| known != name) {
            self.chosen = Some((name.to_owned(), now));
        }
    }

    /// Returns since when this host asks a reader, if it was the last one chosen.
    pub fn chosen_at(&self, name: &str) -> Option<Instant> {
        let (known, at) = self.chosen.as_ref()?;
        (known == name).then_some(*at)
    }

    /// Returns where a reading comes from. `age` is that of the last one that came from
    /// a reader, and `chance` a random fraction below 1.
    pub fn source(&self, age: ReadingAge, chance: f64, now: Instant) -> ReadingSource {
        let Some(reader) = self.reader(now) else {
            return ReadingSource::Store;
        };
        if age == ReadingAge::Recent {
            return ReadingSource::Reader;
        }
        if age == ReadingAge::Overdue || self.lost_readers() >= LOST_READERS {
            return ReadingSource::Store;
        }
        let is_joining = self.chosen.as_ref().is_none_or(|(name, at)| {
            *name != reader.name || now.saturating_duration_since(*at) < JOIN_WAIT
        });
        if is_joining {
            return ReadingSource::Reader;
        }
        if chance * (self.local_hosts as f64) < FALLBACK_READERS {
            return ReadingSource::Store;
        }
        ReadingSource::Skip
    }

    fn lost_readers(&self) -> usize {
        let failed = self.failed.values();
        failed
            .filter(|reader| reader.failure == ReaderFailure::Lost)
            .count()
    }
}

/// Returns the ranks above `rank` in the tree, the nearest first.
fn ancestors(rank: usize) -> Vec<usize> {
    let parent = |rank: &usize| rank.checked_sub(1).map(|index| index / FAN_OUT);
    std::iter::successors(parent(&rank), parent).collect()
}

/// Returns the first hosts of the region's other data centres that rank before
/// `own`, in order of their rank.
fn region_heads(
    live: &[LiveHost],
    data_centre: &str,
    region: &[String],
    own: Option<&LiveHost>,
) -> Vec<LiveHost> {
    let mut heads: Vec<LiveHost> = region
        .iter()
        .filter(|other| *other != data_centre)
        .filter_map(|other| {
            live.iter()
                .filter(|host| host.data_centre == *other)
                .min_by_key(|host| host.seniority())
        })
        .filter(|head| own.is_none_or(|own| head.seniority() < own.seniority()))
        .cloned()
        .collect();
    heads.sort_by(|left, right| left.seniority().cmp(&right.seniority()));
    heads
}
