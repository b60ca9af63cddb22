//! Which entry hosts are live.
//!
//! Each data centre has one row in the store that names its live hosts. The hosts
//! that read the store themselves renew the row; the others report to the host
//! from which they fetch readings. Two hosts that both renew the row merge what
//! they know, so neither has to know of the other.
//!
//! The number of live hosts divides the members' connections and slots. A host
//! that reports nothing for [`HOST_LIFETIME`] no longer counts; its connections
//! have been closed by the members long before.

use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use state::reading::{HostReport, LiveHost};

/// Time without a report after which a host counts as dead. Two renewals of its
/// data centre's row may be lost without that.
pub const HOST_LIFETIME: Duration = Duration::from_secs(22);
/// Interval between two renewals of a data centre's row.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(8);
/// Interval between two renewals after a host joined: hosts that join at the same
/// time are written together.
const JOIN_INTERVAL: Duration = Duration::from_millis(1_200);
/// Number of renewals at that interval. The rows of other data centres, whose hosts
/// may have joined at the same time, are read with each of them.
const JOIN_RENEWALS: u32 = 3;
/// Age up to which a host passes the report of another host on.
const REPORT_MAX_AGE: Duration = Duration::from_secs(4);

/// What a data centre's row says about one host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct HostPresence {
    /// Random number of the host's process.
    pub incarnation: u64,
    /// Address at which the host passes readings on.
    pub relay_address: SocketAddr,
    /// Time on the store's clock, in milliseconds, at which the process was first
    /// written to the row.
    pub joined_ms: u64,
    /// Time on the store's clock, in milliseconds, of the host's last report.
    pub seen_ms: u64,
}

/// Value of a data centre's row.
///
/// # Invariants
///
/// Merging is commutative: of two entries with the same name, the one that was
/// seen later stays, with the earlier `joined_ms` if both are of one process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct PresenceRow {
    /// The hosts by name.
    pub hosts: BTreeMap<String, HostPresence>,
}

impl PresenceRow {
    /// Adds what another copy of the row says about a host.
    fn merge(&mut self, name: &str, presence: HostPresence) {
        let Some(known) = self.hosts.get_mut(name) else {
            self.hosts.insert(name.to_owned(), presence);
            return;
        };
        let joined_ms = match known.incarnation == presence.incarnation {
            true => known.joined_ms.min(presence.joined_ms),
            false => presence.joined_ms,
        };
        if presence.seen_ms >= known.seen_ms {
            *known = HostPresence {
                joined_ms,
                ..presence
            };
        }
    }

    /// Removes the hosts that count as dead at `store_time`.
    fn remove_dead(&mut self, store_time: Duration) {
        let now_ms = millis(store_time);
        let lifetime_ms = millis(HOST_LIFETIME);
        self.hosts
            .retain(|_, host| now_ms.saturating_sub(host.seen_ms) < lifetime_ms);
    }

    /// Returns the hosts of `data_centre` that are live at `store_time`, those that
    /// joined first at the front.
    pub fn live_hosts(&self, data_centre: &str, store_time: Duration) -> Vec<LiveHost> {
        let mut row = self.clone();
        row.remove_dead(store_time);
        let mut live: Vec<LiveHost> = row
            .hosts
            .into_iter()
            .map(|(name, host)| LiveHost {
                name,
                data_centre: data_centre.to_owned(),
                relay_address: host.relay_address,
                joined_ms: host.joined_ms,
            })
            .collect();
        live.sort_by(|left, right| left.seniority().cmp(&right.seniority()));
        live
    }
}

/// Returns the live hosts of a reading together with the known hosts that it lacks. Used
/// while hosts renew their presence after the store returned from an older copy, so that
/// the limits that the hosts share are not exceeded meanwhile.
pub fn with_known_hosts(live: &[LiveHost], known: &[LiveHost]) -> Vec<LiveHost> {
    let listed: HashSet<&str> = live.iter().map(|host| host.name.as_str()).collect();
    let missing = known
        .iter()
        .filter(|host| !listed.contains(host.name.as_str()));
    live.iter().chain(missing).cloned().collect()
}

/// One host's part in keeping its data centre's row.
#[derive(Clone, Debug)]
pub struct PresenceKeeper {
    own: HostReport,
    /// The newest report of each other host and when it arrived.
    reports: BTreeMap<String, (HostReport, Instant)>,
    /// When the rows were read last in order to renew this data centre's.
    renewed_at: Option<Instant>,
    /// Number of renewals that are still due at [`JOIN_INTERVAL`].
    join_renewals: u32,
}

impl PresenceKeeper {
    /// Creates the state of a host that knows no other host.
    pub fn new(own: HostReport) -> Self {
        Self {
            own,
            reports: BTreeMap::new(),
            renewed_at: None,
            join_renewals: JOIN_RENEWALS,
        }
    }

    /// Records the report of another host. Those of other data centres are ignored.
    pub fn record_report(&mut self, report: HostReport, now: Instant) {
        if report.host == self.own.host || report.data_centre != self.own.data_centre {
            return;
        }
        let incarnation = report.incarnation;
        let known = self.reports.insert(report.host.clone(), (report, now));
        if known.is_none_or(|(known, _)| known.incarnation != incarnation) {
            self.join_renewals = JOIN_RENEWALS;
        }
    }

    /// Returns the reports that this host passes on: its own and the recent ones of
    /// the hosts that report to it.
    pub fn recent_reports(&self, now: Instant) -> Vec<HostReport> {
        let recent = self
            .reports
            .values()
            .filter(|(_, at)| now.saturating_duration_since(*at) < REPORT_MAX_AGE)
            .map(|(report, _)| report.clone());
        std::iter::once(self.own.clone()).chain(recent).collect()
    }

    /// Returns when the row has to be renewed next, if this host reads the store.
    pub fn renewal_due(&self) -> Option<Instant> {
        let interval = match self.join_renewals {
            0 => RENEWAL_INTERVAL,
            _ => JOIN_INTERVAL,
        };
        self.renewed_at.map(|instant| instant + interval)
    }

    /// Lets the row be renewed at once, because the store returned from an older copy of
    /// it.
    pub fn restart_renewals(&mut self) {
        self.join_renewals = JOIN_RENEWALS;
        self.renewed_at = None;
    }

    /// Records that the rows were read in order to renew this data centre's.
    pub fn record_renewal(&mut self, now: Instant) {
        self.join_renewals = self.join_renewals.saturating_sub(1);
        self.renewed_at = Some(now);
        self.reports
            .retain(|_, (_, at)| now.saturating_duration_since(*at) < HOST_LIFETIME);
    }

    /// Returns the row with this host's knowledge added. `store_time` is the time on
    /// the store's clock when `row` was read.
    pub fn renewed_row(
        &self,
        row: &PresenceRow,
        store_time: Duration,
        now: Instant,
    ) -> PresenceRow {
        let mut renewed = row.clone();
        let seen_now = [(&self.own, store_time)];
        let seen_before = self.reports.values().map(|(report, at)| {
            let age = now.saturating_duration_since(*at);
            (report, store_time.saturating_sub(age))
        });
        for (report, seen_at) in seen_now.into_iter().chain(seen_before) {
            let presence = HostPresence {
                incarnation: report.incarnation,
                relay_address: report.relay_address,
                joined_ms: millis(store_time),
                seen_ms: millis(seen_at),
            };
            renewed.merge(&report.host, presence);
        }
        renewed.remove_dead(store_time);
        renewed
    }

    /// Returns whether the renewed row has to be written: it names other processes
    /// than the known one, or the known one is about to become too old.
    pub fn has_to_write(&self, known: &PresenceRow, renewed: &PresenceRow) -> bool {
        let same_processes = known.hosts.len() == renewed.hosts.len()
            && known.hosts.iter().all(|(name, host)| {
                let other = renewed.hosts.get(name);
                other.is_some_and(|other| other.incarnation == host.incarnation)
            });
        let seen_ms = |row: &PresenceRow| row.hosts.get(&self.own.host).map(|host| host.seen_ms);
        let age_ms = seen_ms(renewed)
            .zip(seen_ms(known))
            .map(|(new, old)| new.saturating_sub(old));
        !same_processes || age_ms.is_none_or(|age_ms| age_ms >= millis(RENEWAL_INTERVAL) / 2)
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
