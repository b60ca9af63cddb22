//! The scripts' cases. Usage: `cases NAME RECORD`. Exits with 1 if the rule was broken, 0 if it
//! held, and 2 if the case could not run. With `TROUBLE=0` the disruption is left out.

mod world;

use std::collections::HashSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use world::{next_number, pause, Answer, Client, World, ANIKAPOA, FERNWAKE};


fn main() {
    let mut arguments = std::env::args().skip(1);
    let (name, record) = (arguments.next().unwrap_or_default(), arguments.next().unwrap_or_default());
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let code = match name.as_str() {
        "lost" => lost(&record, trouble),
        "one" => one(&record, trouble),
        "memory" => memory(&record, trouble),
        "pinned" => pinned(&record, trouble),
        _ => 2,
    };
    std::process::exit(code);
}

/// Runs readers of the bounded route on all daemons until `stop`.
fn start_readers(fronts: &[std::net::SocketAddr], count: usize, stop: &Arc<AtomicBool>) -> Vec<thread::JoinHandle<()>> {
    (0..count)
        .map(|index| {
            let (front, stop) = (fronts[index % fronts.len()], stop.clone());
            thread::spawn(move || {
                let mut client = None;
                while !stop.load(Ordering::Relaxed) {
                    let Some(open) = client.as_mut() else {
                        client = Client::connect(front, "bounded");
                        pause(20);
                        continue;
                    };
                    if open.send(&format!("r{:x}", next_number()), &format!("READ k{}", next_number() % 50)) == Answer::Lost {
                        client = None;
                    }
                    pause(10);
                }
            })
        })
        .collect()
}

/// A replica receives nothing, and the primary crashes meanwhile. The other replica has all
/// acknowledged commits, and its slots are in use by reads.
fn lost(record: &str, trouble: bool) -> i32 {
    let world = World::start(record, 1, FERNWAKE, 40);
    world.configure(1);
    let daemons = world.start_daemons();
    let fronts: Vec<_> = daemons.iter().map(|daemon| daemon.front).collect();
    let stop = Arc::new(AtomicBool::new(false));
    pause(3_000);
    let mut tasks = start_readers(&fronts, 16, &stop);
    // Ids of acknowledged writes, with the time of the answer.
    let acknowledged: Arc<Mutex<Vec<(String, u64)>>> = Arc::default();
    for index in 0..6 {
        let (front, stop, acknowledged, world) = (fronts[index % fronts.len()], stop.clone(), acknowledged.clone(), world.clone());
        tasks.push(thread::spawn(move || {
            let mut client = None;
            while !stop.load(Ordering::Relaxed) {
                let Some(open) = client.as_mut() else {
                    client = Client::connect(front, "current");
                    pause(20);
                    continue;
                };
                let id = format!("w{:x}", next_number());
                let answer = open.send(&id, &format!("WRITE k{} d{id}", next_number() % 50));
                world.note(&format!("write {id}: {answer:?}"));
                match answer {
                    Answer::Done(_) => acknowledged.lock().unwrap().push((id, world.now_ms())),
                    Answer::Lost => client = None,
                    Answer::Error(_) => {}
                }
                pause(30);
            }
        }));
    }
    pause(2_500);
    if trouble {
        world.note("the third member receives nothing from now on");
        world.state.lock().unwrap().members[2].deaf = true;
        pause(2_000);
        world.note("the primary crashes");
        world.crash(0);
    } else {
        pause(2_000);
    }
    let deadline = Instant::now() + Duration::from_secs(12);
    while trouble && Instant::now() < deadline && world.state.lock().unwrap().promotions.is_empty() {
        pause(50);
        // Within the 6.5 s of the site file, also if no member is promoted.
        if trouble && Instant::now() + Duration::from_millis(7_800) > deadline {
            world.state.lock().unwrap().members[2].deaf = false;
        }
    }
    world.state.lock().unwrap().members[2].deaf = false;
    pause(2_000);
    stop.store(true, Ordering::Relaxed);
    tasks.into_iter().for_each(|task| task.join().unwrap());
    world.finish(daemons);
    let acknowledged = acknowledged.lock().unwrap().clone();
    let result = {
        let state = world.state.lock().unwrap();
        let promoted_at = state.promotions.first().map_or(u64::MAX, |promotion| promotion.at_ms);
        let kept: Vec<String> =
            acknowledged.into_iter().filter(|(_, at)| *at < promoted_at).map(|(id, _)| id).collect();
        match state.promotions.first() {
            None if trouble => Err("no member was promoted".to_owned()),
            None => Ok(format!("{} writes acknowledged, no promotion", kept.len())),
            Some(promotion) => {
                let ids: HashSet<&str> = promotion.log.iter().flat_map(|entry| &entry.writes).map(|(id, _, _)| id.as_str()).collect();
                let missing: Vec<&String> = kept.iter().filter(|id| !ids.contains(id.as_str())).collect();
                let text = format!(
                    "{} writes acknowledged; {} was promoted without {} of them {:?}",
                    kept.len(), promotion.member, missing.len(), &missing[..missing.len().min(5)]
                );
                match missing.is_empty() {
                    true => Ok(text),
                    false => broken(&text),
                }
            }
        }
    };
    conclude(&world, "LOST", result)
}

/// Marks a text as that of a broken rule.
fn broken(text: &str) -> Result<String, String> {
    Ok(format!("BROKEN {text}"))
}

fn conclude(world: &World, rule: &str, result: Result<String, String>) -> i32 {
    let (code, text) = match result {
        Ok(text) if text.starts_with("BROKEN ") => (1, text),
        Ok(text) => (0, format!("held: {text}")),
        Err(text) => (2, format!("could not run: {text}")),
    };
    world.note(&format!("{rule} {text}"));
    println!("{rule} {text}");
    code
}

/// A client sets a session value inside its transaction, directly before it commits. Without the
/// trouble it sets the value before the transaction.
fn pinned(record: &str, trouble: bool) -> i32 {
    let world = World::start(record, 0, FERNWAKE, 8);
    world.configure(1);
    let daemons = world.start_daemons();
    pause(3_000);
    let mut commits = Vec::new();
    let mut is_sound = true;
    for (index, daemon) in daemons.iter().enumerate() {
        let Some(mut client) = Client::connect(daemon.front, "current") else {
            is_sound = false;
            continue;
        };
        let mut send = |text: &str| {
            let id = format!("p{:x}", next_number());
            let answer = client.send(&id, text);
            world.note(&format!("{}: {id} {text}: {answer:?}", daemon.name));
            is_sound &= matches!(answer, Answer::Done(_));
            id
        };
        send("SET mode before");
        if !trouble {
            send("SET mode after");
        }
        send("BEGIN");
        send(&format!("WRITE k{index} d{index}"));
        if trouble {
            send("SET mode after");
        }
        commits.push(send("COMMIT"));
    }
    world.finish(daemons);
    let wrong: Vec<String> = {
        let state = world.state.lock().unwrap();
        let ran = state.ran.iter().filter(|ran| commits.contains(&ran.id));
        ran.filter(|ran| ran.values.get("mode").map(String::as_str) != Some("after"))
            .map(|ran| format!("{} {} ran with {:?}", ran.id, ran.text, ran.values))
            .collect()
    };
    wrong.iter().for_each(|text| world.note(text));
    let result = match (is_sound, wrong.is_empty()) {
        (false, _) => Err("a statement did not succeed".to_owned()),
        (true, true) => Ok(format!("{} commits ran with the acknowledged value", commits.len())),
        (true, false) => broken(&format!("{} of {} commits ran with a value that the client had replaced", wrong.len(), commits.len())),
    };
    conclude(&world, "PINNED", result)
}

/// Memory of a machine of the Fernwake sheet (`memoryMb`).
const MEMORY_MB: u64 = 520;
/// Statements that a client prepares in a session at most.
const PREPARED_MAX: u64 = 700;

/// One client of each of two machines prepares statements and never drops them. The platform kills
/// a process whose memory exceeds the limit, and starts it again. Without the trouble the client
/// drops each statement before it prepares the next one.
fn memory(record: &str, trouble: bool) -> i32 {
    let world = World::start(record, 0, FERNWAKE, 8);
    world.configure(1);
    let mut daemons = world.start_daemons();
    pause(2_000);
    // The longest message is 1 MiB.
    let shape = "q".repeat((1 << 20) - 200);
    let mut ends = [0; 2];
    let mut highest = 0;
    let mut is_sound = true;
    for _ in 0..3 {
        for (index, end) in ends.iter_mut().enumerate() {
            let daemon = &mut daemons[index];
            let deadline = Instant::now() + Duration::from_secs(10);
            let mut client = None;
            while client.is_none() && Instant::now() < deadline {
                client = Client::connect(daemon.front, "bounded");
                pause(50);
            }
            let Some(mut client) = client else {
                is_sound = false;
                continue;
            };
            for number in 0..PREPARED_MAX {
                let id = format!("p{:x}", next_number());
                let answer = client.send(&id, &format!("PREPARE s{number} READ {number}{shape}"));
                let memory = daemon.memory_mb();
                highest = highest.max(memory);
                if number % 50 == 0 || memory > MEMORY_MB || !matches!(answer, Answer::Done(_)) {
                    world.note(&format!(
                        "{}: {id} PREPARE s{number} READ {number}q... ({} bytes): {answer:?}; {memory} MB",
                        daemon.name, shape.len()
                    ));
                }
                if !matches!(answer, Answer::Done(_)) {
                    break;
                }
                if memory > MEMORY_MB {
                    *end += 1;
                    world.note(&format!("{} is over {MEMORY_MB} MB: killed and started again", daemon.name));
                    world.restart_daemon(daemon);
                    break;
                }
                if !trouble && client.send(&format!("p{:x}", next_number()), &format!("DEALLOC s{number}")) == Answer::Lost {
                    is_sound = false;
                }
            }
        }
    }
    world.finish(daemons);
    let text = format!("two of four machines ended {} and {} times for their memory; at most {highest} MB", ends[0], ends[1]);
    let result = match (is_sound, ends.iter().all(|end| *end >= 3)) {
        (_, true) => broken(&text),
        (true, false) => Ok(text),
        (false, false) => Err(text),
    };
    conclude(&world, "FAULT", result)
}

/// The primary is replaced by a new member. The store turns one machine away, which does not know
/// the new member; the primary is cut off from the other members, the machine that changes it and
/// one more, and its replicas receive nothing. Without the trouble there is only the planned replacement.
fn one(record: &str, trouble: bool) -> i32 {
    let world = World::start(record, 0, ANIKAPOA, 8);
    world.configure(1);
    let daemons = world.start_daemons();
    pause(4_000);
    let stop = Arc::new(AtomicBool::new(false));
    // Acknowledged writes with the times at which they were sent and answered.
    let acknowledged: Arc<Mutex<Vec<(String, u64, u64)>>> = Arc::default();
    let mut tasks = Vec::new();
    for index in [0, 3, 3] {
        let (front, name) = (daemons[index].front, daemons[index].name.clone());
        let (stop, acknowledged, world) = (stop.clone(), acknowledged.clone(), world.clone());
        tasks.push(thread::spawn(move || {
            let mut client = None;
            while !stop.load(Ordering::Relaxed) {
                let Some(open) = client.as_mut() else {
                    client = Client::connect(front, "current");
                    pause(20);
                    continue;
                };
                let id = format!("w{:x}", next_number());
                let sent_at = world.now_ms();
                let answer = open.send(&id, &format!("WRITE k{} d{id}", next_number() % 50));
                let answered_at = world.now_ms();
                world.note(&format!("{name}: {id} WRITE sent at {sent_at} ms: {answer:?}"));
                match answer {
                    Answer::Done(_) => acknowledged.lock().unwrap().push((id, sent_at, answered_at)),
                    Answer::Lost => client = None,
                    Answer::Error(_) => {}
                }
                pause(40);
            }
        }));
    }
    pause(2_000);
    if trouble {
        world.note("the store turns edge-wc-a-1 away");
        world.state.lock().unwrap().turned_away.push("wc-a".to_owned());
    }
    pause(300);
    world.note("a new member starts");
    world.add_member("na-a");
    pause(200);
    world.note("the primary is about to stop");
    world.drain(0);
    if trouble {
        // The machine that acts, and one more: two of four.
        let deadline = Instant::now() + Duration::from_secs(5);
        let mut leader = None;
        while leader.is_none() && Instant::now() < deadline {
            pause(5);
            leader = world.state.lock().unwrap().leader.clone();
        }
        let leader = leader.unwrap_or_default();
        let others = ["edge-na-a-1", "edge-na-a-2", "edge-cp-a-1"].map(str::to_owned).into_iter();
        let other = others.filter(|name| *name != leader).next().unwrap_or_default();
        world.note(&format!("the primary is cut off from the members, {leader} and {other}; the replicas receive nothing"));
        let mut state = world.state.lock().unwrap();
        state.members[0].cut_from = vec![leader, other];
        state.members[1].deaf = true;
        state.members[2].deaf = true;
    }
    pause(4_900);
    {
        let mut state = world.state.lock().unwrap();
        state.members[0].cut_from.clear();
        state.members[1].deaf = false;
        state.members[2].deaf = false;
        state.turned_away.clear();
    }
    world.note("all links and the store are back");
    pause(3_000);
    stop.store(true, Ordering::Relaxed);
    tasks.into_iter().for_each(|task| task.join().unwrap());
    world.finish(daemons);
    let result = {
        let state = world.state.lock().unwrap();
        match state.promotions.first() {
            None => Err("no member was promoted".to_owned()),
            Some(promotion) => {
                let old = &state.members[0].id;
                let at_old = |id: &str| state.ran.iter().any(|ran| ran.id == id && ran.member == *old);
                let acknowledged = acknowledged.lock().unwrap();
                let late: Vec<&str> = acknowledged
                    .iter()
                    .filter(|(id, sent_at, _)| *sent_at > promotion.at_ms && at_old(id))
                    .map(|(id, ..)| id.as_str())
                    .collect();
                let log = &state.members[state.newest].log;
                let kept: HashSet<&str> = log.iter().flat_map(|entry| &entry.writes).map(|(id, ..)| id.as_str()).collect();
                let lost = late.iter().filter(|id| !kept.contains(*id)).count();
                let text = format!(
                    "{} leads from {} ms on; {} writes were sent, committed at {old} and acknowledged after that, {lost} of them are gone at the end; {} acknowledged in all",
                    promotion.member, promotion.at_ms, late.len(), acknowledged.len()
                );
                match late.is_empty() {
                    true => Ok(text),
                    false => broken(&text),
                }
            }
        }
    };
    conclude(&world, "ONE", result)
}
