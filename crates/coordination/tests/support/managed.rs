//! Builders of managed groups for tests.
#![allow(dead_code, reason = "each test file uses a part of this module")]

use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use coordination::managed::era::{EraMarker, SETTLE_TIME};
use coordination::managed::group::ManagedGroup;
use coordination::managed::primary_view::{AnnouncedChange, GroupRow, RowReading};
use state::log::{LogPosition, Term};
use state::member::MemberRole;
use state::reading::{StoreEra, StoreRevision};
use state::server_list::{ListedServer, ServerState};

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn server(id: &str, data_centre: &str) -> ListedServer {
    ListedServer {
        id: id.to_owned(),
        group: "birds".to_owned(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 5432)),
        data_centre: data_centre.to_owned(),
        state: ServerState::Ready,
        role: MemberRole::Replica,
        slots: 3,
        warm_up_left: Duration::ZERO,
        started_ms: 1,
        heartbeat: 1,
    }
}

pub fn group_row(primary: &str, term: u64) -> GroupRow {
    GroupRow {
        primary: primary.to_owned(),
        term: Term(term),
        change: None,
    }
}

/// Returns a revision of the store's first era.
pub fn revision(number: u64) -> StoreRevision {
    StoreRevision::new(StoreEra(0), number)
}

/// Returns a reading of a row in an era that is settled.
pub fn reading(row: &GroupRow, revision: StoreRevision, asked_at: Instant) -> RowReading<'_> {
    RowReading {
        row,
        revision,
        asked_at,
        is_settled: true,
    }
}

/// Returns the marker of the store's first era, which is settled.
pub fn marker() -> EraMarker {
    EraMarker {
        era: StoreEra(0),
        revision: 1,
        age: SETTLE_TIME,
    }
}

pub fn announcement() -> AnnouncedChange {
    AnnouncedChange {
        host: "host-1".to_owned(),
        fencing_token: 1,
        orderly: false,
    }
}

/// Records a read of the group's row without an announced change. The revision of
/// the row is the same as its term.
pub fn observe_primary(group: &mut ManagedGroup, primary: &str, term: u64, asked_at: Instant) {
    let row = group_row(primary, term);
    group.observe_row(&reading(&row, revision(term), asked_at), asked_at);
}

/// Returns a group with the primary `a` in `dc-1` and the replicas `b` and `c` in
/// `dc-2` and `dc-3`. All are listed, and the row was read at `now`.
pub fn group_of_three(now: Instant) -> ManagedGroup {
    let mut group = ManagedGroup::default();
    group.set_sync_replicas(0);
    let list = [
        server("a", "dc-1"),
        server("b", "dc-2"),
        server("c", "dc-3"),
    ];
    group.apply_list(&list, None, now);
    observe_primary(&mut group, "a", 1, now);
    group
}

/// Records an answer of the primary, which adds a watermark.
pub fn answer_primary(group: &mut ManagedGroup, term: u64, offset: u64, asked_at: Instant) {
    let key = group.primary().expect("the group has a primary");
    let position = LogPosition::new(term, offset);
    group.record_answer(key, Some(position), asked_at, asked_at + ms(5));
}
