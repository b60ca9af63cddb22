//! Time per routing decision in nanoseconds, by the number of members, of
//! watermarks and of groups between which the decisions alternate.

use std::hint::black_box;
use std::time::{Duration, Instant};

use coordination::routing::{choose_read, choose_write, ReadRequest};
use coordination::view::{GroupView, GroupWatermark, MemberView};
use criterion::{criterion_main, Criterion};
use slotmap::SlotMap;
use state::keys::MemberKey;
use state::log::{LogPosition, Term};
use state::member::{MemberReport, MemberRole};

struct ViewShape {
    members: usize,
    watermarks: u64,
    groups: usize,
}

/// Returns the benchmark id of a shape. The id calls the watermarks anchors, so that
/// stored baselines still match.
fn shape_name(shape: &ViewShape) -> String {
    let ViewShape {
        members,
        watermarks,
        groups,
    } = shape;
    format!("{members} members, {watermarks} anchors, {groups} groups")
}

fn member_view(index: usize, offset: u64, now: Instant) -> MemberView {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 5432));
    let role = match index {
        0 => MemberRole::Primary,
        _ => MemberRole::Replica,
    };
    let position = LogPosition::new(7, offset);
    MemberView {
        name: format!("sightings-{index}"),
        data_centre: format!("north-atlantic-{index}"),
        region: format!("region-{}", index % 3),
        address,
        control_address: address,
        slots: 3,
        connection_limit: 20,
        leaving: false,
        reachable: true,
        report: Some(MemberReport {
            promised_term: Term(7),
            role,
            log: position,
            applied: position,
            primary_heartbeat_age: None,
        }),
        reported_at: Some(now),
    }
}

fn group_view(shape: &ViewShape, now: Instant) -> GroupView {
    let mut members: SlotMap<MemberKey, MemberView> = SlotMap::with_key();
    for index in 0..shape.members {
        members.insert(member_view(index, 1_000_000, now));
    }
    let watermarks = (0..shape.watermarks).map(|index| GroupWatermark {
        asked_at: now - Duration::from_millis(100) * (shape.watermarks - index) as u32,
        position: LogPosition::new(7, 1_000 + index),
    });
    GroupView {
        name: "sightings".to_owned(),
        members,
        watermarks: watermarks.collect(),
    }
}

fn read_request(now: Instant) -> ReadRequest<'static> {
    ReadRequest {
        bound: LogPosition::new(7, 900_000),
        max_staleness: Duration::from_secs(5),
        arrived_at: now,
        deadline: now + Duration::from_secs(10),
        replica_wait: Duration::from_millis(20),
        data_centre: "north-atlantic-1",
        region: "region-1",
        confirming_replica: None,
    }
}

fn routing(criterion: &mut Criterion) {
    let now = Instant::now() + Duration::from_secs(100);
    let request = read_request(now);
    let shapes = [
        (3, 40, 1),
        (3, 350, 1),
        (5, 40, 1),
        (9, 40, 1),
        (3, 40, 100),
        (3, 40, 2_900),
    ];
    for (members, watermarks, groups) in shapes {
        let shape = ViewShape {
            members,
            watermarks,
            groups,
        };
        let views: Vec<GroupView> = (0..groups).map(|_| group_view(&shape, now)).collect();
        let mut last_index = 0;
        let mut next_view = || {
            last_index = (last_index + 1) % views.len();
            &views[last_index]
        };
        let id = format!("choose_read: {}", shape_name(&shape));
        criterion.bench_function(&id, |bencher| {
            bencher.iter(|| choose_read(next_view(), black_box(&request), now, |_| 0));
        });
        let id = format!("choose_write: {}", shape_name(&shape));
        criterion.bench_function(&id, |bencher| {
            bencher.iter(|| choose_write(next_view(), black_box(request.deadline), now));
        });
    }
}

mod group {
    #![allow(missing_docs, reason = "the macro makes an undocumented function")]

    use super::routing;

    criterion::criterion_group!(benches, routing);
}

criterion_main!(group::benches);
