//! DRAIN: a member that leaves is made the primary by a daemon that knows an old list.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::group::{Group, GroupOptions, OTHER_SERVICE, SERVICE};
use crate::record::Record;
use crate::site::{Answer, Client, Site};
use crate::{configuration_of, has_trouble, Route};

const TIMEOUT_MS: u64 = 1_000;
/// `drainTimeoutMs`, and the time after which the member exits.
const DRAIN_TIMEOUT_MS: u64 = 7_000;
const EXIT_AFTER: Duration = Duration::from_millis(9_000);
/// Time for which the store turns one machine away, and when, from then on, the new members
/// start and the former primaries drain.
const TURNED_AWAY: Duration = Duration::from_millis(7_000);
const START_AFTER: Duration = Duration::from_millis(700);
const DRAIN_AFTER: Duration = Duration::from_millis(1_700);
const ROUNDS: usize = 3;
const PAUSE: Duration = Duration::from_secs(6);
const CLIENTS: usize = 2;
const DATABASES: [&str; 2] = ["lepu270", "mida641"];

/// A member that left.
struct Leaving {
    member: String,
    accepted_ms: u64,
}

pub fn run(record: &Arc<Record>) -> Result<Vec<String>, String> {
    let options = GroupOptions {
        slots: 3,
        work: Duration::from_millis(8),
        lag: Duration::from_millis(8),
    };
    let routes = [SERVICE, OTHER_SERVICE].map(|service| Route {
        kind: "primary",
        service,
        timeout_ms: TIMEOUT_MS,
        tenants: None,
    });
    let config = configuration_of(1, &[(DATABASES[0], routes[0]), (DATABASES[1], routes[1])]);
    let site = Site::start(2, options, &config, record.clone());
    if !site.await_ready(Duration::from_secs(30)) {
        return Err("the daemons did not become ready".to_owned());
    }
    thread::sleep(Duration::from_secs(4));
    let stopped = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for daemon in &site.daemons {
        for database in DATABASES {
            for _ in 0..CLIENTS {
                let (front, number) = (daemon.front, clients.len());
                let (stopped, record) = (stopped.clone(), record.clone());
                clients.push(thread::spawn(move || {
                    work(number, front, database, &stopped, &record)
                }));
            }
        }
    }
    let mut leaving = Vec::new();
    for round in 0..ROUNDS {
        thread::sleep(PAUSE);
        leaving.extend(release(&site, round));
    }
    stopped.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().ok();
    }
    let calm = &site.daemons[0].name;
    let mut broken = Vec::new();
    for run in record.runs() {
        let left = leaving.iter().find(|one| one.member == run.member);
        let Some(left) = left.filter(|one| run.at_ms > one.accepted_ms + DRAIN_TIMEOUT_MS) else {
            continue;
        };
        // Only what the machine sent that was in touch all the while.
        if run.caller == *calm {
            broken.push(format!(
                "DRAIN: {} of {calm} reached member {} {} ms after the store had accepted that it leaves",
                run.id,
                run.member,
                run.at_ms - left.accepted_ms
            ));
        }
    }
    Ok(broken)
}

/// Replaces the primaries of both services while the store turns the second machine away.
fn release(site: &Site, round: usize) -> Vec<Leaving> {
    let groups: [&Arc<Group>; 2] = [&site.group, &site.other];
    let away = &site.daemons[1];
    if has_trouble() {
        site.record
            .line(&format!("the store turns {} away", away.name));
        site.store.turn_away(away.store, true);
    }
    thread::sleep(START_AFTER);
    for group in groups {
        group.start_member(3 + round, &site.store);
    }
    thread::sleep(DRAIN_AFTER - START_AFTER);
    let former = groups.map(|group| group.primary());
    let mut leaving = Vec::new();
    for (group, index) in groups.iter().zip(former) {
        leaving.push(Leaving {
            member: group.members[index].id.clone(),
            accepted_ms: group.drain_member(index, &site.store),
        });
    }
    thread::sleep(TURNED_AWAY - DRAIN_AFTER);
    if has_trouble() {
        site.record
            .line(&format!("the store serves {} again", away.name));
        site.store.turn_away(away.store, false);
    }
    thread::sleep(EXIT_AFTER + DRAIN_AFTER - TURNED_AWAY);
    for (group, index) in groups.iter().zip(former) {
        group.end_member(index, &site.store);
    }
    leaving
}

/// Sends a write and a read by turns.
fn work(
    number: usize,
    front: SocketAddr,
    database: &str,
    stopped: &AtomicBool,
    record: &Arc<Record>,
) {
    let mut count = 0;
    while !stopped.load(Ordering::Relaxed) {
        let start = format!("{database} u3f1");
        let Ok(mut client) = Client::connect(&format!("c{number}"), front, &start, record) else {
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
                Answer::Done { .. } => thread::sleep(Duration::from_millis(50)),
                Answer::Refused(_) => thread::sleep(Duration::from_millis(200)),
                Answer::Cut | Answer::Silent => break,
            }
        }
    }
}
