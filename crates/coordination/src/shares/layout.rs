//! How a member's connection limit is divided, and who may inherit a share.

use crate::rendezvous;

/// An entry host that serves a member.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServingHost {
    /// Name of the host.
    pub name: String,
    /// Name of its data centre.
    pub data_centre: String,
}

/// The division of one member's connection limit, from the intent document.
///
/// # Invariants
///
/// `hosts` is in order of name without duplicates. The shares of all hosts add
/// up to `limit`. Each connection of a share has one fixed heir or none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberLayout {
    data_centre: String,
    limit: u32,
    hosts: Vec<ServingHost>,
}

impl MemberLayout {
    /// Builds the layout of a member in `data_centre`.
    pub fn new(data_centre: &str, limit: u32, mut hosts: Vec<ServingHost>) -> Self {
        hosts.sort();
        hosts.dedup_by(|left, right| left.name == right.name);
        Self {
            data_centre: data_centre.to_owned(),
            limit,
            hosts,
        }
    }

    /// Returns the names of the hosts.
    pub fn hosts(&self) -> impl Iterator<Item = &str> {
        self.hosts.iter().map(|host| host.name.as_str())
    }

    /// Returns a host's share: the limit divided by the number of hosts, with
    /// the remainder assigned by order of name.
    pub fn share_of(&self, name: &str) -> u32 {
        self.index_of(name).map_or(0, |index| self.share_at(index))
    }

    /// Returns the heir of each connection of a host's share.
    ///
    /// At a member of the host's own data centre only hosts of that data centre
    /// inherit: when the data centre is cut off, its hosts still reach the
    /// member, and nobody outside can tell. At other members hosts of other
    /// data centres inherit, which survive the loss of a data centre. The heirs
    /// follow the host in order of name, so that few peers must be asked.
    pub fn heirs_of(&self, name: &str) -> Vec<Option<&str>> {
        let Some(index) = self.index_of(name) else {
            return Vec::new();
        };
        let home = &self.hosts[index];
        let local = home.data_centre == self.data_centre;
        let order = self.hosts[index + 1..].iter().chain(&self.hosts[..index]);
        let eligible: Vec<&str> = order
            .filter(|host| local == (host.data_centre == home.data_centre))
            .map(|host| host.name.as_str())
            .collect();
        (0..self.share_at(index) as usize)
            .map(|unit| match eligible.len() {
                0 => None,
                count => Some(eligible[unit % count]),
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

/// Chooses which hosts of one data centre connect to a group.
///
/// A member accepts 20 to 30 connections, so only a few of the 2,800 daemons
/// can hold one. Rendezvous hashing over the document's hosts gives each host
/// about the same number of groups, and a host that is added or removed moves
/// only its own groups.
pub fn serving_hosts<'a>(
    group: &str,
    hosts: impl IntoIterator<Item = &'a str>,
    count: usize,
) -> Vec<&'a str> {
    let mut chosen = rendezvous::choose(&format!("serving/{group}"), hosts, count);
    chosen.sort_unstable();
    chosen
}
