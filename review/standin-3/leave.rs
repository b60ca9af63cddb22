//! DRAIN: a member that leaves is made the primary by a daemon that knows an old list.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::group::{GroupOptions, SERVICE};
use crate::record::Record;
use crate::site::{Answer, Client, Site};
use crate::{configuration, has_trouble, Route};

const TIMEOUT_MS: u64 = 1_000;
/// `drainTimeoutMs`, and how much longer the member serves.
const DRAIN_TIMEOUT_MS: u64 = 7_000;
const EXIT_AFTER: Duration = Duration::from_millis(9_000);
/// Time for which the store turns one machine away.
const TURNED_AWAY: Duration = Duration::from_millis(7_000);
const CLIENTS: usize = 3;

pub fn run(record: &Arc<Record>) -> Result<Vec<String>, String> {
    let options = GroupOptions {
        slots: 3,
        work: Duration::from_millis(8),
        rows: 1,
        row_bytes: 0,
        lag: Duration::from_millis(8),
    };
    let route = Route {
        kind: "primary",
        service: SERVICE,
        timeout_ms: TIMEOUT_MS,
        tenants: None,
    };
    let site = Site::start(2, options, &configuration(1, route), record.clone());
    if !site.await_ready(Duration::from_secs(30)) {
        return Err("the daemons did not become ready".to_owned());
    }
    thread::sleep(Duration::from_secs(4));
    let stopped = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = site
        .daemons
        .iter()
        .flat_map(|daemon| (0..CLIENTS).map(move |index| (daemon.front, index)))
        .enumerate()
        .map(|(number, (front, _))| {
            let (stopped, record) = (stopped.clone(), record.clone());
            thread::spawn(move || work(number, front, &stopped, &record))
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    let away = site.daemons[1].store;
    if has_trouble() {
        record.line("the store turns edge-cp-a-1 away");
        site.store.turn_away(away, true);
    }
    thread::sleep(Duration::from_millis(700));
    site.group.start_member(3, &site.store);
    thread::sleep(Duration::from_millis(1_000));
    let draining_ms = site.group.drain_member(0, &site.store);
    thread::sleep(TURNED_AWAY - Duration::from_millis(1_700));
    if has_trouble() {
        record.line("the store serves edge-cp-a-1 again");
        site.store.turn_away(away, false);
    }
    thread::sleep(EXIT_AFTER - (TURNED_AWAY - Duration::from_millis(1_700)));
    site.group.end_member(0, &site.store);
    thread::sleep(Duration::from_secs(1));
    stopped.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().ok();
    }
    let leaving = &site.group.members[0].id;
    let calm = &site.daemons[0].name;
    let mut broken = Vec::new();
    for run in record.runs() {
        // Only what the machine sent that was in touch all the while.
        let is_late = run.at_ms > draining_ms + DRAIN_TIMEOUT_MS;
        if is_late && run.member == *leaving && run.caller == *calm {
            broken.push(format!(
                "DRAIN: {} of {calm} reached member {leaving} {} ms after the store had accepted that it leaves",
                run.id,
                run.at_ms - draining_ms
            ));
        }
    }
    Ok(broken)
}

/// Sends a write and a read by turns.
fn work(number: usize, front: SocketAddr, stopped: &AtomicBool, record: &Arc<Record>) {
    let mut count = 0;
    while !stopped.load(Ordering::Relaxed) {
        let Ok(mut client) = Client::connect(&format!("c{number}"), front, "lepu270 u3f1", record)
        else {
            thread::sleep(Duration::from_millis(200));
            continue;
        };
        while !stopped.load(Ordering::Relaxed) {
            count += 1;
            let id = format!("{number:02}{count:06}");
            let text = match count % 2 {
                0 => format!("READ item{number}"),
                _ => format!("WRITE item{number} value{count}"),
            };
            match client.query(&id, &text, Duration::from_secs(3)) {
                Answer::Done { .. } => thread::sleep(Duration::from_millis(30)),
                Answer::Refused(_) => thread::sleep(Duration::from_millis(200)),
                Answer::Cut | Answer::Silent => break,
            }
        }
    }
}
