//! Measures the size and parse time of the intent document for different numbers
//! of database groups.
//!
//! ```sh
//! cargo run --release -p standin --example document_cost
//! ```

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Instant;

use state::document::{
    CustomerEntry, DataCentreEntry, DatabaseGroup, EntryHost, GroupMember, IntentDocument,
    ReadClass, RegionEntry,
};

/// Number of data centres at the target size.
const DATA_CENTRES: usize = 6;
/// Measured numbers of groups. The last is the target size.
const GROUP_COUNTS: [usize; 5] = [3, 30, 300, 1_450, 2_900];
/// Number of entry hosts at the target size.
const TARGET_HOSTS: usize = 2_800;
/// Number of groups at the target size.
const TARGET_GROUPS: usize = 2_900;

fn main() {
    println!("| groups | entry hosts | document KiB | parse and validate ms |");
    println!("|---|---|---|---|");
    for groups in GROUP_COUNTS {
        let hosts = (groups * TARGET_HOSTS / TARGET_GROUPS).max(4);
        let text = document(groups, hosts).render();
        let start = Instant::now();
        let parsed = IntentDocument::parse(&text);
        let elapsed = start.elapsed();
        assert!(parsed.is_ok(), "{:?}", parsed.err());
        println!(
            "| {groups} | {hosts} | {} | {:.1} |",
            text.len() / 1_024,
            elapsed.as_secs_f64() * 1_000.0
        );
    }
}

fn document(groups: usize, hosts: usize) -> IntentDocument {
    IntentDocument {
        region: (0..2).map(region).collect(),
        data_centre: (0..DATA_CENTRES).map(data_centre).collect(),
        entry_host: (0..hosts).map(entry_host).collect(),
        group: (0..groups).map(|index| group(index, hosts)).collect(),
        customer: vec![CustomerEntry {
            name: "customer".to_owned(),
            weight: 1,
            user: vec!["app".to_owned()],
            group: (0..groups).map(group_name).collect(),
        }],
        read_class: vec![ReadClass {
            name: "browse".to_owned(),
            max_staleness_ms: 5_000,
            priority: 5,
        }],
        ..IntentDocument::default()
    }
}

fn region(index: usize) -> RegionEntry {
    RegionEntry {
        name: format!("region-{index}"),
    }
}

fn data_centre(index: usize) -> DataCentreEntry {
    DataCentreEntry {
        name: data_centre_name(index),
        region: format!("region-{}", index % 2),
    }
}

fn entry_host(index: usize) -> EntryHost {
    EntryHost {
        name: format!("entry-{index}"),
        data_centre: data_centre_name(index),
        peer_address: address(index, 7_400),
    }
}

fn group(index: usize, hosts: usize) -> DatabaseGroup {
    let member = |number: usize| GroupMember {
        name: format!("server-{index}-{number}"),
        data_centre: data_centre_name(index + number),
        address: address(index * 3 + number, 5_432),
        control_address: address(index * 3 + number, 7_500),
        slots: 3,
        // The document check requires at least one connection per entry host.
        connection_limit: hosts.max(20) as u64,
        leaving: false,
    };
    DatabaseGroup {
        name: group_name(index),
        member: (0..3).map(member).collect(),
    }
}

fn group_name(index: usize) -> String {
    format!("group-{index}")
}

fn data_centre_name(index: usize) -> String {
    format!("centre-{}", index % DATA_CENTRES)
}

fn address(index: usize, port: u16) -> SocketAddr {
    let [_, second, third, fourth] = (index as u32).to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(10, second, third, fourth), port))
}
