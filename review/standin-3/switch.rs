//! STALE: a session's read on a `read_your_writes` route misses the session's own commit.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::group::{GroupOptions, OTHER_SERVICE, SERVICE};
use crate::record::Record;
use crate::site::{Answer, Client, Site};
use crate::{configuration, has_trouble, Route};

const TIMEOUT_MS: u64 = 800;
/// Lag of the replicas: 20 ms behind, and 150 times as late under `replica_lag`.
const LAG: Duration = Duration::from_millis(20);
const LAG_FACTOR: u32 = 150;
/// Duration of `replica_lag`.
const LAG_LASTS: Duration = Duration::from_secs(6);
/// Time in which the daemons have applied a configuration here; `configApplyMs` is 3 s.
const APPLIED: Duration = Duration::from_millis(250);

pub fn run(record: &Arc<Record>) -> Result<Vec<String>, String> {
    let options = GroupOptions {
        slots: 2,
        work: Duration::from_millis(5),
        rows: 1,
        row_bytes: 0,
        lag: LAG,
    };
    let route = Route {
        kind: "read_your_writes",
        service: SERVICE,
        timeout_ms: TIMEOUT_MS,
        tenants: None,
    };
    let other = Route {
        service: OTHER_SERVICE,
        ..route
    };
    let mut version = 1;
    let site = Site::start(2, options, &configuration(version, route), record.clone());
    if !site.await_ready(Duration::from_secs(30)) {
        return Err("the daemons did not become ready".to_owned());
    }
    thread::sleep(Duration::from_secs(2));
    let limit = Duration::from_secs(2);
    let mut client = Client::connect("c1", site.daemons[0].front, "lepu270 u3f1", record)?;
    for number in 0..40 {
        client.query(&format!("w{number}"), "WRITE 9f9 earlier", limit);
    }
    // The reads show the daemon that the replicas answer.
    thread::sleep(Duration::from_secs(3));
    for number in 0..40 {
        client.query(&format!("r{number}"), "READ 9f9", limit);
    }
    let mut change = |to: Route<'_>| {
        version += 1;
        record.line(&format!(
            "the operator writes version {version}: the route leads to {}",
            to.service
        ));
        site.store.put("op", "config", &configuration(version, to));
        thread::sleep(APPLIED);
    };
    let mut broken = Vec::new();
    for round in 0..4 {
        let value = format!("value-{round}");
        if has_trouble() {
            record.line("replica_lag begins");
            site.group.set_lag(LAG * LAG_FACTOR);
        }
        let write = client.query(&format!("a{round}"), &format!("WRITE 1a4 {value}"), limit);
        change(other);
        let elsewhere = client.query(&format!("b{round}"), "WRITE 2b5 elsewhere", limit);
        change(route);
        let read = client.query(&format!("c{round}"), "READ 1a4", limit);
        let is_acknowledged = |answer: &Answer| matches!(answer, Answer::Done { .. });
        if !is_acknowledged(&write) || !is_acknowledged(&elsewhere) {
            record.line("the round does not count: a write was not accepted");
        } else if let Answer::Done { rows } = &read {
            if rows.first() != Some(&value) {
                broken.push(format!(
                    "STALE: the session's write {value} was acknowledged, and its read c{round} on the same route \
                     returned {rows:?}"
                ));
            }
        }
        thread::sleep(LAG_LASTS);
        record.line("the replicas are 20 ms behind again");
        site.group.set_lag(LAG);
        thread::sleep(Duration::from_secs(3));
    }
    Ok(broken)
}
