//! The scripts' cases. Usage: `cases NAME RECORD`. Exits with 1 if the rule was broken, 0 if it
//! held, and 2 if the case could not run. With `TROUBLE=0` the disruption is left out.

mod world;

use std::collections::HashSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use world::{next_number, pause, Answer, Client, World};

/// Items that the case `stale` writes and reads.
const ITEMS: usize = 4;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (name, record) = (arguments.next().unwrap_or_default(), arguments.next().unwrap_or_default());
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let code = match name.as_str() {
        "lost" => lost(&record, trouble),
        "stale" => stale(&record, trouble),
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
    let world = World::start(record, 1, 3, 40);
    world.configure(1, 22);
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
    let world = World::start(record, 0, 3, 8);
    world.configure(1, 22);
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

/// The primary is replaced by a new member while the store turns one machine away and the two
/// replicas receive nothing. Callers of that machine read on the route `current`.
fn stale(record: &str, trouble: bool) -> i32 {
    let world = World::start(record, 0, 3, 8);
    world.configure(1, 22);
    let daemons = world.start_daemons();
    let (writing, reading) = (daemons[0].front, daemons[3].front);
    let stop = Arc::new(AtomicBool::new(false));
    pause(4_000);
    // For each item the numbers of its acknowledged writes.
    let acknowledged: Arc<Mutex<[u64; ITEMS]>> = Arc::default();
    let answered: Arc<Mutex<u64>> = Arc::default();
    // Item of each read that lacks an acknowledged write, and the number of that write.
    let behind: Arc<Mutex<Vec<(usize, u64)>>> = Arc::default();
    let mut tasks = Vec::new();
    for item in 0..ITEMS {
        let (stop, acknowledged, world) = (stop.clone(), acknowledged.clone(), world.clone());
        tasks.push(thread::spawn(move || {
            let (mut client, mut number) = (None, 0);
            while !stop.load(Ordering::Relaxed) {
                let Some(open) = client.as_mut() else {
                    client = Client::connect(writing, "current");
                    pause(20);
                    continue;
                };
                number += 1;
                let id = format!("w{:x}", next_number());
                let answer = open.send(&id, &format!("WRITE k{item} {number}"));
                world.note(&format!("edge-na-a-1: {id} WRITE k{item} {number}: {answer:?}"));
                match answer {
                    Answer::Done(_) => acknowledged.lock().unwrap()[item] = number,
                    Answer::Lost => client = None,
                    Answer::Error(_) => {}
                }
                pause(15);
            }
        }));
    }
    for reader in 0..ITEMS {
        let (stop, acknowledged, world) = (stop.clone(), acknowledged.clone(), world.clone());
        let (answered, behind) = (answered.clone(), behind.clone());
        let item = reader % ITEMS;
        tasks.push(thread::spawn(move || {
            let mut client = None;
            while !stop.load(Ordering::Relaxed) {
                let Some(open) = client.as_mut() else {
                    client = Client::connect(reading, "current");
                    pause(20);
                    continue;
                };
                // The newest write that was acknowledged before the first byte of the read.
                let known = acknowledged.lock().unwrap()[item];
                let id = format!("r{:x}", next_number());
                let answer = open.send(&id, &format!("READ k{item}"));
                let mut text = format!("edge-wc-a-1: {id} READ k{item}: {answer:?}");
                match answer {
                    Answer::Done(rows) => {
                        let seen: u64 = rows.first().and_then(|row| row.parse().ok()).unwrap_or(0);
                        *answered.lock().unwrap() += 1;
                        if seen < known {
                            behind.lock().unwrap().push((item, known));
                            text += &format!(" BEHIND: {known} was acknowledged before the read was sent");
                        }
                    }
                    Answer::Lost => client = None,
                    Answer::Error(_) => {}
                }
                world.note(&text);
                pause(15);
            }
        }));
    }
    pause(2_000);
    if trouble {
        world.note("the store turns edge-wc-a-1 away; the replicas receive nothing");
        let mut state = world.state.lock().unwrap();
        state.turned_away.push("wc-a".to_owned());
        state.members[1].deaf = true;
        state.members[2].deaf = true;
    }
    pause(500);
    let added = world.add_member("na-a", 3);
    world.note("a new member starts, and the primary is about to stop");
    pause(200);
    world.drain(0);
    pause(5_700);
    {
        let mut state = world.state.lock().unwrap();
        state.members[1].deaf = false;
        state.members[2].deaf = false;
        state.turned_away.clear();
    }
    world.note("the replicas receive again, and the store serves edge-wc-a-1");
    pause(1_500);
    stop.store(true, Ordering::Relaxed);
    tasks.into_iter().for_each(|task| task.join().unwrap());
    world.finish(daemons);
    let promoted = world.state.lock().unwrap().promotions.first().map(|one| one.member.clone());
    let added = world.state.lock().unwrap().members[added].id.clone();
    // Commits that a promote rolled back don't count.
    let kept: HashSet<(String, String)> = {
        let state = world.state.lock().unwrap();
        let log = state.members[state.newest].log.iter();
        log.flat_map(|entry| &entry.writes).map(|(_, item, data)| (item.clone(), data.clone())).collect()
    };
    let behind = behind.lock().unwrap();
    let is_kept = |(item, known): &&(usize, u64)| kept.contains(&(format!("k{item}"), known.to_string()));
    let stale = behind.iter().filter(is_kept).count();
    let all = *answered.lock().unwrap();
    let text = format!("{stale} of {all} reads were stale; promoted: {promoted:?}, the new member is {added}");
    let result = match stale {
        _ if promoted.is_none() => Err(text),
        0 => Ok(text),
        _ => broken(&text),
    };
    conclude(&world, "STALE", result)
}
