//! Membership from a lagging list, the daemon's own observations and peer reports.

use std::time::{Duration, Instant};

use coordination::membership::{
    HostObservation, KnownHost, ListedHost, MembershipState, MembershipTable, PeerReport,
};
use googletest::prelude::*;

const HOSTS: [&str; 6] = ["h1", "h2", "h3", "h4", "h5", "h6"];

fn known(name: &str, entry: bool) -> KnownHost {
    KnownHost {
        name: name.to_owned(),
        data_centre: "dc1".to_owned(),
        entry,
    }
}

fn listed(name: &str, leaving: bool) -> ListedHost {
    ListedHost {
        name: name.to_owned(),
        leaving,
    }
}

fn table(own: &str) -> MembershipTable {
    let mut table = MembershipTable::new(own);
    let mut hosts: Vec<KnownHost> = HOSTS.iter().map(|name| known(name, true)).collect();
    hosts.push(known("db1", false));
    table.apply_document(&hosts);
    table
}

fn full_list(server_leaving: bool) -> Vec<ListedHost> {
    let mut list: Vec<ListedHost> = HOSTS.iter().map(|name| listed(name, false)).collect();
    list.push(listed("db1", server_leaving));
    list
}

fn peer_report<'a>(leaving: bool, incarnation: u64, servers: &'a [String]) -> PeerReport<'a> {
    PeerReport {
        host: "h2",
        incarnation,
        leaving,
        leaving_servers: servers,
    }
}

/// Guards against new work for a leaving server while this daemon cannot read the
/// list, and against peers that keep reporting a server as leaving for ever.
#[gtest]
fn leaving_is_learned_from_the_list_and_from_peers() {
    let now = Instant::now();
    let mut table = table("h1");
    table.apply_list(&full_list(false));
    expect_that!(table.state("db1", now), eq(MembershipState::Live));
    table.apply_peer_report(&peer_report(false, 7, &["db1".to_owned()]), now);
    expect_that!(table.state("db1", now), eq(MembershipState::Leaving));
    expect_that!(table.leaving_servers(), is_empty());
    // Reports of peers that a server is leaving expire after 10 s.
    let later = now + Duration::from_secs(11);
    expect_that!(table.state("db1", later), eq(MembershipState::Live));
    table.apply_list(&full_list(true));
    expect_that!(table.state("db1", later), eq(MembershipState::Leaving));
    expect_that!(table.leaving_servers(), elements_are![eq("db1")]);
    table.apply_peer_report(&peer_report(true, 7, &[]), later);
    expect_that!(table.state("h2", later), eq(MembershipState::Leaving));
    // A new incarnation shows that the peer has restarted.
    table.apply_peer_report(&peer_report(false, 8, &[]), later);
    expect_that!(table.state("h2", later), eq(MembershipState::Live));
}

/// Guards against a stale list that overrides the daemon's own observations.
#[gtest]
fn own_observations_take_precedence_for_suspicion() {
    let now = Instant::now();
    let mut table = table("h1");
    table.apply_list(&full_list(false));
    table.observe("h2", HostObservation::TimedOut, now);
    expect_that!(table.state("h2", now), eq(MembershipState::Live));
    table.observe("h2", HostObservation::TimedOut, now);
    expect_that!(table.state("h2", now), eq(MembershipState::Suspected));
    table.apply_list(&full_list(false));
    expect_that!(table.state("h2", now), eq(MembershipState::Suspected));
    table.observe("h2", HostObservation::Answered, now);
    expect_that!(table.state("h2", now), eq(MembershipState::Live));
    table.observe("h3", HostObservation::Refused, now);
    expect_that!(table.state("h3", now), eq(MembershipState::Suspected));
    table.apply_list(&[listed("h1", false)]);
    expect_that!(table.state("h4", now), eq(MembershipState::Absent));
    expect_that!(table.state("h2", now), eq(MembershipState::Live));
    expect_that!(table.state("h1", now), eq(MembershipState::Live));
}

/// Guards against a data centre without configuration readers after a reader
/// died.
#[gtest]
fn next_host_in_order_replaces_a_suspected_reader() {
    let now = Instant::now();
    let mut tables: Vec<MembershipTable> = HOSTS.iter().map(|name| table(name)).collect();
    let readers: Vec<String> = tables[0]
        .readers("dc1", now)
        .iter()
        .map(|name| (*name).to_owned())
        .collect();
    expect_that!(readers.len(), eq(2));
    for table in &tables {
        expect_that!(table.readers("dc1", now), eq(&readers));
    }
    let count = |tables: &[MembershipTable]| tables.iter().filter(|t| t.is_reader(now)).count();
    expect_that!(count(&tables), eq(2));
    // The first four hosts in reader order watch the hosts before them.
    let watched_counts: Vec<usize> = tables
        .iter()
        .map(|t| t.watched_readers(now).len())
        .collect();
    expect_that!(
        watched_counts,
        unordered_elements_are![eq(&0), eq(&0), eq(&0), eq(&1), eq(&2), eq(&3)]
    );
    for table in &mut tables {
        table.observe(&readers[0], HostObservation::Refused, now);
    }
    // The suspected reader still considers itself a reader; the next host in
    // order becomes one as well.
    expect_that!(count(&tables), eq(3));
}

/// Guards against losing a list that was read before the document that names its
/// hosts. If the platform then failed, the daemon would know no live peer until the
/// end of the outage.
#[gtest]
fn a_list_applies_to_hosts_of_a_later_document() {
    let now = Instant::now();
    let mut table = MembershipTable::new("h1");
    table.apply_list(&full_list(true));
    let mut hosts: Vec<KnownHost> = HOSTS.iter().map(|name| known(name, true)).collect();
    hosts.push(known("db1", false));
    table.apply_document(&hosts);
    expect_that!(table.state("h2", now), eq(MembershipState::Live));
    expect_that!(table.state("db1", now), eq(MembershipState::Leaving));
}
