//! Division of a member's connection limit into shares, and the successor of
//! each connection.

use crate::rendezvous;

/// An entry host that serves a member.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServingHost {
    /// Name of the host.
    pub name: String,
    /// Name of its data centre.
    pub data_centre: String,
}

/// Division of one member's connection limit between its serving hosts, derived
/// from the intent document.
///
/// # Invariants
///
/// `hosts` is sorted by name without duplicates. The shares of all hosts add up
/// to `limit`. Each connection of a share has one fixed successor or none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShareLayout {
    data_centre: String,
    limit: u32,
    hosts: Vec<ServingHost>,
}

impl ShareLayout {
    /// Creates the layout of a member in `data_centre` that accepts `limit`
    /// connections.
    pub fn new(data_centre: &str, limit: u32, mut hosts: Vec<ServingHost>) -> Self {
        hosts.sort();
        hosts.dedup_by(|left, right| left.name == right.name);
        Self {
            data_centre: data_centre.to_owned(),
            limit,
            hosts,
        }
    }

    /// Returns the names of the serving hosts in order.
    pub fn hosts(&self) -> impl Iterator<Item = &str> {
        self.hosts.iter().map(|host| host.name.as_str())
    }

    /// Returns the number of connections in a host's share, or 0 for a host
    /// that does not serve the member. The limit is divided equally; the first
    /// hosts by name get one more connection each for the remainder.
    pub fn share_of(&self, name: &str) -> u32 {
        self.index_of(name).map_or(0, |index| self.share_at(index))
    }

    /// Returns the successor of each connection of a host's share.
    ///
    /// At a member in the host's own data centre, the successors are hosts of
    /// that data centre. If the data centre is cut off, its hosts still reach the
    /// member, and hosts outside cannot detect that. At other members, the
    /// successors are hosts of other data centres, which survive the loss of the
    /// owner's data centre. The successors follow the host in order of name, so
    /// that few peers must be asked for grants.
    pub fn successors_of(&self, name: &str) -> Vec<Option<&str>> {
        let Some(index) = self.index_of(name) else {
            return Vec::new();
        };
        let owner = &self.hosts[index];
        let local = owner.data_centre == self.data_centre;
        let order = self.hosts[index + 1..].iter().chain(&self.hosts[..index]);
        let eligible: Vec<&str> = order
            .filter(|host| local == (host.data_centre == owner.data_centre))
            .map(|host| host.name.as_str())
            .collect();
        (0..self.share_at(index) as usize)
            .map(|connection| match eligible.len() {
                0 => None,
                count => Some(eligible[connection % count]),
            })
            .collect()
    }

    fn index_of(&self, name: &str) -> Option<usize> {
        self.hosts
            .binary_search_by(|host| host.name.as_str().cmp(name))
            .ok()
    }

    fn share_at(&self, index: usize) -> u32 {
        let count = self.hosts.len() as u32;
        let remainder = self.limit % count;
        self.limit / count + u32::from((index as u32) < remainder)
    }
}

/// Selects the `count` hosts of one data centre that connect to a group, sorted
/// by name.
///
/// A member accepts 20 to 30 connections, so only a few of the 2,800 daemons
/// can connect to it. Rendezvous hashing over the document's hosts gives each
/// host about the same number of groups. Adding or removing a host moves only
/// that host's groups.
pub fn serving_hosts<'a>(
    group: &str,
    hosts: impl IntoIterator<Item = &'a str>,
    count: usize,
) -> Vec<&'a str> {
    let mut chosen = rendezvous::choose(&format!("serving/{group}"), hosts, count);
    chosen.sort_unstable();
    chosen
}
