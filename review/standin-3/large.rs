//! Fault: daemons exceed their memory while they pass on the answer to one read, and end.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::group::{GroupOptions, SERVICE};
use crate::record::Record;
use crate::site::{Answer, Client, Site};
use crate::{configuration, has_trouble, Route};

/// `memoryMb` of the two machines of anikapoa in zone nbo-a.
const MEMORY_MB: f64 = 390.0;
const TIMEOUT_MS: u64 = 1_500;
/// Machines, and ends of processes on each, that make the day count 0.
const MACHINES: usize = 2;
const ENDS: usize = 3;
/// Rows of the large answer, of less than 1 MiB each.
const ROWS: usize = 200;
const ROW_BYTES: usize = 1_000_000;
const LASTS: Duration = Duration::from_secs(40);

pub fn run(record: &Arc<Record>) -> Result<Vec<String>, String> {
    let options = GroupOptions {
        slots: 2,
        work: Duration::from_millis(5),
        rows: ROWS,
        row_bytes: ROW_BYTES,
        lag: Duration::from_millis(20),
    };
    let route = Route {
        kind: "primary",
        service: SERVICE,
        timeout_ms: TIMEOUT_MS,
        tenants: None,
    };
    let mut site = Site::start(MACHINES, options, &configuration(1, route), record.clone());
    if !site.await_ready(Duration::from_secs(30)) {
        return Err("the daemons did not become ready".to_owned());
    }
    thread::sleep(Duration::from_secs(2));
    let stopped = Arc::new(AtomicBool::new(false));
    let cut = Arc::new(AtomicUsize::new(0));
    let fronts: Vec<SocketAddr> = site.daemons.iter().map(|daemon| daemon.front).collect();
    let mut clients: Vec<_> = (0..4)
        .map(|number| {
            let (stopped, cut, record) = (stopped.clone(), cut.clone(), record.clone());
            let front = fronts[number % fronts.len()];
            thread::spawn(move || write(number, front, &stopped, &cut, &record))
        })
        .collect();
    if has_trouble() {
        let (stopped, record) = (stopped.clone(), record.clone());
        clients.push(thread::spawn(move || read(&fronts, &stopped, &record)));
    }
    let end = Instant::now() + LASTS;
    let mut ends = [0; MACHINES];
    let mut peak = [0.0f64; MACHINES];
    while Instant::now() < end && ends.iter().any(|count| *count < ENDS) {
        for index in 0..MACHINES {
            let memory = site.memory_mb(index).unwrap_or(0.0);
            peak[index] = peak[index].max(memory);
            if memory > MEMORY_MB {
                record.line(&format!("{} has {memory:.0} MB", site.daemons[index].name));
                // The platform kills a process that exceeds its memory, and starts it again.
                site.await_end(index, Duration::ZERO);
                ends[index] += 1;
                thread::sleep(Duration::from_millis(300));
                site.start_daemon(index);
            }
        }
        thread::sleep(Duration::from_millis(2));
    }
    stopped.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().ok();
    }
    record.line(&format!("peak memory {peak:.0?} MB, ends {ends:?}"));
    Ok(match ends.iter().all(|count| *count >= ENDS) {
        true => vec![format!(
            "Fault: processes on {MACHINES} machines ended {ends:?} times over memoryMb {MEMORY_MB}, with no \
             disturbance; {} writes of other clients were cut without an answer",
            cut.load(Ordering::Relaxed)
        )],
        false => Vec::new(),
    })
}

/// Reads one item, which has a large answer. The operation only reads, so that it is repeated
/// after a broken connection; repetitions reach other daemons.
fn read(fronts: &[SocketAddr], stopped: &AtomicBool, record: &Arc<Record>) {
    let mut count = 0;
    while !stopped.load(Ordering::Relaxed) {
        count += 1;
        let front = fronts[count % fronts.len()];
        if let Ok(mut client) = Client::connect("reader", front, "lepu270 u3f1", record) {
            client.query(&format!("r{count:06}"), "READ 1a4", Duration::from_secs(3));
        }
        thread::sleep(Duration::from_millis(500));
    }
}

/// Sends small writes.
fn write(
    number: usize,
    front: SocketAddr,
    stopped: &AtomicBool,
    cut: &AtomicUsize,
    record: &Arc<Record>,
) {
    let mut count = 0;
    while !stopped.load(Ordering::Relaxed) {
        let Ok(mut client) = Client::connect(&format!("w{number}"), front, "lepu270 u3f1", record)
        else {
            thread::sleep(Duration::from_millis(200));
            continue;
        };
        while !stopped.load(Ordering::Relaxed) {
            count += 1;
            let id = format!("w{number}{count:06}");
            match client.query(
                &id,
                &format!("WRITE item{number} value{count}"),
                Duration::from_secs(3),
            ) {
                Answer::Done { .. } => thread::sleep(Duration::from_millis(20)),
                Answer::Refused(_) => thread::sleep(Duration::from_millis(200)),
                Answer::Cut | Answer::Silent => {
                    cut.fetch_add(1, Ordering::Relaxed);
                    break;
                }
            }
        }
    }
}
