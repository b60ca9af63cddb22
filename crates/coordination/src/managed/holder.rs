//! Which entry hosts hold connections to the members of a group, if a member takes
//! fewer connections than there are hosts.
//!
//! The other hosts pass their statements on to a holder, in their own data centre
//! first. All hosts that know the same live hosts compute the same holders, without
//! messages.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use state::reading::LiveHost;

use crate::rendezvous;

/// Connections per live host, in hundredths, below which hosts share connections: one
/// for each host, and a quarter more for hosts that join.
const SHARING_PERCENT: usize = 125;
/// Smallest number of connections of a holder: two for transactions of which one
/// waits between its statements, and one for status questions.
const HOLDER_CONNECTIONS_MIN: usize = 3;
/// Part of a member's connections that stays unassigned, for holders that leave and
/// join at the same time and for changes of the primary.
const RESERVE_DIVISOR: usize = 10;
/// Smallest such reserve.
const RESERVE_MIN: usize = 2;
/// Name of the area of all hosts.
const WHOLE_SITE: &str = "";
/// Number of hosts that is assumed until the live hosts are known: the most that one
/// site has.
const ASSUMED_HOSTS: u32 = 300;
/// Time after the first list of live hosts from which on a list without any other host
/// is believed. Hosts that start together are written to the list within two of its
/// renewals, which are 1.2 s apart.
const ALONE_AFTER: Duration = Duration::from_millis(2_400);

/// The live entry hosts as one host knows them, itself included.
#[derive(Clone, Debug)]
pub struct HostRoster {
    own: LiveHost,
    hosts: Vec<LiveHost>,
    first_list_at: Option<Instant>,
    is_settled: bool,
}

impl HostRoster {
    /// Creates the roster of a host that knows no list of live hosts yet.
    pub fn new(own: LiveHost) -> Self {
        Self {
            hosts: vec![own.clone()],
            own,
            first_list_at: None,
            is_settled: false,
        }
    }

    /// Sets the live hosts.
    pub fn set_hosts(&mut self, live: &[LiveHost], now: Instant) {
        self.first_list_at.get_or_insert(now);
        self.hosts = live.to_vec();
        if !live.iter().any(|host| host.name == self.own.name) {
            self.hosts.push(self.own.clone());
        }
        self.settle(now);
    }

    /// Returns whether the live hosts have become known since the last call: other hosts
    /// are listed, or the list has had time to name those that started together.
    pub fn settle(&mut self, now: Instant) -> bool {
        let was_settled = self.is_settled;
        let has_others = self.first_list_at.is_some() && self.hosts.len() > 1;
        let is_alone = self
            .first_list_at
            .is_some_and(|at| now.saturating_duration_since(at) >= ALONE_AFTER);
        self.is_settled |= has_others || is_alone;
        self.is_settled && !was_settled
    }

    /// Returns the live hosts, or `None` until they are known.
    pub fn hosts(&self) -> Option<&[LiveHost]> {
        self.is_settled.then_some(self.hosts.as_slice())
    }

    /// Returns the number of hosts in the list.
    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    /// Returns `false`: the roster has at least its own host.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}

/// Names of the data centres and their regions, and the live hosts.
#[derive(Clone, Copy, Debug)]
pub struct HostLayout<'a> {
    /// Name of the region of each data centre.
    pub regions: &'a BTreeMap<String, String>,
    /// The live hosts.
    pub hosts: &'a [LiveHost],
}

impl<'a> HostLayout<'a> {
    fn region_of(&self, data_centre: &'a str) -> &'a str {
        self.regions
            .get(data_centre)
            .map_or(data_centre, String::as_str)
    }
}

/// The holders of one group's connections.
///
/// # Invariants
///
/// The sum of the shares of all holders is at most `limit` if hosts share connections.
/// Every live host has a holder in its area: its data centre, or its region if the
/// members take too few connections for that, or the whole site.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HolderMap {
    group: String,
    /// Holders of each area; empty if every host holds connections.
    areas: BTreeMap<String, Vec<LiveHost>>,
    /// Area of each data centre.
    area_of: BTreeMap<String, String>,
    share: usize,
    holder_count: u32,
}

impl HolderMap {
    /// Returns the map of a host that does not know the live hosts or the connection
    /// limit yet. It counts as one of many, with one connection to each member.
    pub fn unknown(group: &str) -> Self {
        Self {
            group: group.to_owned(),
            share: 1,
            holder_count: ASSUMED_HOSTS,
            ..Self::default()
        }
    }

    /// Computes the holders of `group`, whose members take `limit` connections each.
    pub fn compute(group: &str, limit: u32, layout: &HostLayout<'_>) -> Self {
        let host_count = layout.hosts.len().max(1);
        let is_limited = is_limited(limit, host_count);
        let limit = limit as usize;
        if !is_limited {
            return Self {
                group: group.to_owned(),
                share: (limit / host_count).max(1),
                holder_count: count(host_count),
                ..Self::default()
            };
        }
        let mut by_data_centre: BTreeMap<String, Vec<&LiveHost>> = BTreeMap::new();
        for host in layout.hosts {
            let area = by_data_centre.entry(host.data_centre.clone());
            area.or_default().push(host);
        }
        let reserve = (limit / RESERVE_DIVISOR).max(RESERVE_MIN);
        let assignable = limit.saturating_sub(reserve).max(1);
        let holders_max = (assignable / HOLDER_CONNECTIONS_MIN).max(1);
        let mut area_of = BTreeMap::new();
        let mut by_area: BTreeMap<String, Vec<&LiveHost>> = BTreeMap::new();
        let regions: BTreeSet<&str> = by_data_centre
            .values()
            .map(|hosts| layout.region_of(&hosts[0].data_centre))
            .collect();
        let has_data_centre_holders = by_data_centre.len() <= holders_max;
        let has_regional_holders = regions.len() <= assignable;
        for (data_centre, hosts) in by_data_centre {
            let area = match (has_data_centre_holders, has_regional_holders) {
                (true, _) => data_centre.clone(),
                (false, true) => layout.region_of(&hosts[0].data_centre).to_owned(),
                (false, false) => WHOLE_SITE.to_owned(),
            };
            area_of.insert(data_centre, area.clone());
            by_area.entry(area).or_default().extend(hosts);
        }
        let per_area = (holders_max / by_area.len()).max(1);
        let areas: BTreeMap<String, Vec<LiveHost>> = by_area
            .into_iter()
            .map(|(area, hosts)| (area, choose(group, &hosts, per_area)))
            .collect();
        let holder_count: usize = areas.values().map(Vec::len).sum();
        Self {
            group: group.to_owned(),
            areas,
            area_of,
            share: (assignable / holder_count.max(1)).max(1),
            holder_count: count(holder_count),
        }
    }

    /// Returns whether hosts share the holders' connections.
    pub fn is_sharing(&self) -> bool {
        !self.areas.is_empty()
    }

    /// Returns whether a host holds connections.
    pub fn holds(&self, host: &str) -> bool {
        let mut holders = self.areas.values().flatten();
        !self.is_sharing() || holders.any(|holder| holder.name == host)
    }

    /// Returns the holders that a host passes statements on to, in the order in which
    /// it tries them. Hosts of an area try them in different orders.
    pub fn holders_for(&self, host: &str, data_centre: &str) -> Vec<&LiveHost> {
        let area = self.area_of.get(data_centre);
        let Some(holders) = area.and_then(|area| self.areas.get(area)) else {
            // The live hosts have no host of this data centre yet.
            return self.areas.values().flatten().collect();
        };
        let key = format!("{}/{host}", self.group);
        let names = holders.iter().map(|holder| holder.name.as_str());
        rendezvous::choose(&key, names, holders.len())
            .into_iter()
            .filter_map(|name| holders.iter().find(|holder| holder.name == name))
            .collect()
    }

    /// Returns the number of connections to each member that a holder may open.
    pub fn share(&self) -> usize {
        self.share
    }

    /// Returns the number of hosts that hold connections.
    pub fn holder_count(&self) -> u32 {
        self.holder_count
    }
}

fn choose(group: &str, hosts: &[&LiveHost], holder_count: usize) -> Vec<LiveHost> {
    let names = hosts.iter().map(|host| host.name.as_str());
    rendezvous::choose(group, names, holder_count)
        .into_iter()
        .filter_map(|name| hosts.iter().find(|host| host.name == name))
        .map(|host| LiveHost::clone(host))
        .collect()
}

fn count(hosts: usize) -> u32 {
    u32::try_from(hosts).unwrap_or(u32::MAX)
}

/// Returns whether a member takes too few connections for every host to hold its own.
pub fn is_limited(limit: u32, host_count: usize) -> bool {
    limit as usize * 100 < host_count * SHARING_PERCENT
}
