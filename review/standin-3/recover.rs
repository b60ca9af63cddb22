//! RECOVER: a service whose only member left is the former primary stays without one.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::group::{GroupOptions, SERVICE};
use crate::record::Record;
use crate::site::{Answer, Client, Site};
use crate::{configuration, has_trouble, Route};

const TIMEOUT_MS: u64 = 1_000;
const RECOVERY: Duration = Duration::from_secs(15);
/// Time for which the primary answers nothing.
const DARK: Duration = Duration::from_secs(6);
/// Time for which the processes are down after they were killed.
const DOWN: Duration = Duration::from_millis(970);
const CLIENTS: usize = 6;

/// When a request was sent, and whether it was served.
struct Sent {
    at_ms: u64,
    is_served: bool,
}

pub fn run(record: &Arc<Record>) -> Result<Vec<String>, String> {
    let options = GroupOptions {
        slots: 5,
        work: Duration::from_millis(8),
        rows: 1,
        row_bytes: 0,
        lag: Duration::from_millis(12),
    };
    let route = Route {
        kind: "primary",
        service: SERVICE,
        timeout_ms: TIMEOUT_MS,
        tenants: None,
    };
    let mut site = Site::start(2, options, &configuration(1, route), record.clone());
    if !site.await_ready(Duration::from_secs(30)) {
        return Err("the daemons did not become ready".to_owned());
    }
    thread::sleep(Duration::from_secs(3));
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let stopped = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let front = site.daemons[number % site.daemons.len()].front;
        let (sent, stopped, record) = (sent.clone(), stopped.clone(), record.clone());
        clients.push(thread::spawn(move || {
            work(number, front, &sent, &stopped, &record)
        }));
    }
    thread::sleep(Duration::from_secs(12));
    let fault_ms = record.now_ms();
    record.line("the final fault: all daemons are killed");
    for index in 0..2 {
        site.await_end(index, Duration::ZERO);
    }
    if has_trouble() {
        site.group.set_dark(0, true, &site.store);
        let (group, store) = (site.group.clone(), site.store.clone());
        thread::spawn(move || {
            thread::sleep(DARK);
            group.set_dark(0, false, &store);
        });
    }
    thread::sleep(DOWN);
    for index in 0..2 {
        site.start_daemon(index);
    }
    for index in [1, 2] {
        site.group.lose_member(index, &site.store);
    }
    let back = Instant::now();
    while back.elapsed() < RECOVERY {
        thread::sleep(Duration::from_millis(100));
    }
    let recovered_ms = record.now_ms();
    thread::sleep(Duration::from_secs(15));
    stopped.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().ok();
    }
    let share = |from: u64, to: u64| {
        let sent = sent.lock().unwrap();
        let all: Vec<&Sent> = sent
            .iter()
            .filter(|one| (from..to).contains(&one.at_ms))
            .collect();
        let served = all.iter().filter(|one| one.is_served).count();
        (served, all.len())
    };
    let (before, after) = (share(0, fault_ms), share(recovered_ms, u64::MAX));
    record.line(&format!(
        "served before the fault {before:?}, later than recoveryS {after:?}"
    ));
    let is_low = |(served, all): (usize, usize)| served * 4 < all;
    Ok(match is_low(after) && !is_low(before) && after.1 > 0 {
        true => vec![format!(
            "RECOVER: {} of {} requests were served before the final fault, and {} of {} later than {} s after \
             the machines were back",
            before.0,
            before.1,
            after.0,
            after.1,
            RECOVERY.as_secs()
        )],
        false => Vec::new(),
    })
}

/// Sends a write and a read by turns, an operation every 0.1 s.
fn work(
    number: usize,
    front: SocketAddr,
    sent: &Mutex<Vec<Sent>>,
    stopped: &AtomicBool,
    record: &Arc<Record>,
) {
    let mut count = 0;
    while !stopped.load(Ordering::Relaxed) {
        let Ok(mut client) = Client::connect(&format!("c{number}"), front, "lepu270 u3f1", record)
        else {
            thread::sleep(Duration::from_millis(200));
            continue;
        };
        while !stopped.load(Ordering::Relaxed) {
            count += 1;
            let text = match count % 2 {
                0 => format!("READ item{number}"),
                _ => format!("WRITE item{number} value{count}"),
            };
            let at_ms = record.now_ms();
            let answer = client.query(
                &format!("{number:02}{count:06}"),
                &text,
                Duration::from_secs(3),
            );
            let is_served = matches!(answer, Answer::Done { .. });
            sent.lock().unwrap().push(Sent { at_ms, is_served });
            thread::sleep(Duration::from_millis(100));
            if matches!(answer, Answer::Cut | Answer::Silent) {
                break;
            }
        }
    }
}
