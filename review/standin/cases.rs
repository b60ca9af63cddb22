//! The cases of this review that are scripts. Usage: `cases NAME FOLDER RECORD`, run in
//! the root of the repository. Exit code: 0 the rule held, 1 it was broken, 2 the case
//! could not run. `TROUBLE=0` leaves the disruption out.

mod world;

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use world::{pause, Client, Site, StoreMode, World};

const ZONES: [&str; 4] = ["nbo-a", "nbo-a", "mba-a", "ksm-a"];

fn main() {
    let words: Vec<String> = std::env::args().collect();
    let trouble = std::env::var("TROUBLE").unwrap_or_else(|_| "1".into());
    let [_, name, folder, record] = &words[..] else {
        eprintln!("usage: cases NAME FOLDER RECORD");
        std::process::exit(2);
    };
    // `run.sh` ends the daemons that are left then.
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(100));
        println!("the case took too long");
        std::process::exit(2);
    });
    let outcome = match name.as_str() {
        "lost" => lost(folder, record, &trouble),
        "newline" => newline(folder, record, &trouble),
        "shape" => shape(folder, record, &trouble),
        "revoked" => revoked(folder, record, &trouble),
        "stale" => stale(folder, record, &trouble),
        _ => None,
    };
    let code = match outcome {
        Some(true) => 0,
        Some(false) => 1,
        None => 2,
    };
    println!("{name}: {}", ["the rule held", "the rule was broken", "the case could not run"][code]);
    std::process::exit(code as i32);
}

fn start(folder: &str, record: &str, sync: u64, routes: &[(&str, &str, u64)]) -> Option<(World, Site)> {
    start_with(folder, record, sync, routes, None)
}

fn start_with(
    folder: &str,
    record: &str,
    sync: u64,
    routes: &[(&str, &str, u64)],
    tenants: Option<&str>,
) -> Option<(World, Site)> {
    let world = World::new(record, sync);
    world.add_member("i-7f3a91c2", "nbo-a");
    world.add_member("i-9046ff59", "mba-a");
    world.add_member("i-f773b3f1", "ksm-a");
    world.configure_with(7, routes, tenants);
    world.start_clockwork();
    let site = Site::start(world.clone(), folder, &ZONES)?;
    if !site.await_ready() {
        world.note("the daemons did not become ready");
        return None;
    }
    pause(3000);
    Some((world, site))
}

/// Reports the verdict in the record and on standard output.
fn verdict(world: &World, faults: &[String]) -> Option<bool> {
    for fault in faults {
        world.note(&format!("BROKEN {fault}"));
        println!("{fault}");
    }
    if faults.is_empty() {
        world.note("the rule held");
    }
    Some(faults.is_empty())
}

/// LOST: with `syncReplicas` 1, the member that is promoted lacks acknowledged commits.
fn lost(folder: &str, record: &str, trouble: &str) -> Option<bool> {
    let (world, site) = start(folder, record, 1, &[("nofi621", "primary", 0)])?;
    let acknowledged: Arc<Mutex<Vec<(String, String)>>> = Arc::default();
    let done = Arc::new(AtomicBool::new(false));
    let mut writer = Client::connect(&world, "writer", &site.hosts[0], "nofi621")?;
    let (list, end, clock) = (acknowledged.clone(), done.clone(), world.clone());
    let writing = thread::spawn(move || {
        let mut number = 0;
        while !end.load(Ordering::Relaxed) {
            number += 1;
            let id = clock.id();
            let Some(answer) = writer.query(&id, &format!("WRITE item{number} data{number}")) else { return };
            if answer.mac.is_some() {
                list.lock().expect("list").push((id, format!("item{number}")));
            }
            pause(20);
        }
    });
    pause(1000);
    if trouble != "0" {
        if trouble != "no-drain" {
            world.drain("i-9046ff59");
        }
        pause(2000);
        world.set_deaf("i-f773b3f1", true);
        pause(1500);
        world.crash("i-7f3a91c2");
        let until = Instant::now() + Duration::from_secs(25);
        while world.lock().promotes.is_empty() && Instant::now() < until {
            pause(1);
        }
    } else {
        pause(5000);
    }
    let (promotes, logs): (Vec<_>, HashMap<String, Vec<String>>) = {
        let state = world.lock();
        let ids = |m: &world::Member| m.log.iter().flat_map(|c| c.writes.iter().map(|w| w.2.clone())).collect();
        (state.promotes.clone(), state.members.iter().map(|m| (m.id.clone(), ids(m))).collect())
    };
    let acked = acknowledged.lock().expect("list").clone();
    done.store(true, Ordering::Relaxed);
    let _ = writing.join();
    if trouble != "0" && promotes.is_empty() {
        world.note("no member was promoted");
        return None;
    }
    let mut faults = Vec::new();
    for (member, term, _) in &promotes {
        let lost: Vec<_> = acked.iter().filter(|(id, _)| !logs[member].contains(id)).collect();
        if let Some((id, item)) = lost.last() {
            let others: Vec<_> = logs.iter().filter(|(_, log)| log.contains(id)).map(|(m, _)| m.as_str()).collect();
            faults.push(format!(
                "LOST: {} of {} acknowledged commits are not in the log of {member}, promoted for term {term}; \
                 the last of them ({id}, {item}) is in the log of {others:?}",
                lost.len(),
                acked.len()
            ));
            // What a client sees.
            pause(1500);
            if let Some(mut reader) = Client::connect(&world, "reader", &site.hosts[1], "nofi621") {
                let _ = reader.query(&world.id(), &format!("READ {item}"));
            }
        }
    }
    println!("{} writes were acknowledged", acked.len());
    verdict(&world, &faults)
}

/// Compares what the members ran with what the clients sent.
fn unasked(world: &World, sent: &HashMap<String, String>) -> Vec<String> {
    let state = world.lock();
    let runs = state.runs.iter().filter(|run| run.id != "-");
    runs.filter_map(|run| match sent.get(&run.id) {
        None => Some(format!("{} ran {} {:?}, whose id no client sent", run.member, run.id, run.text)),
        Some(text) if *text != run.text => {
            Some(format!("{} ran {} as {:?}; its client sent {text:?}", run.member, run.id, run.text))
        }
        Some(_) => None,
    })
    .collect()
}

/// UNASKED: a text field with a line feed is cut at it, and what follows runs as a
/// statement of its own.
fn newline(folder: &str, record: &str, trouble: &str) -> Option<bool> {
    let (world, site) = start(folder, record, 0, &[("nofi621", "primary", 0)])?;
    let mut sent = HashMap::new();
    let separator = if trouble == "0" { " " } else { "\n" };
    let texts = [
        format!("WRITE note1 snowy owl on the ridge{separator}seen twice, far away"),
        format!("WRITE note2 as of today{separator}QUERY 00000000000000aa WRITE balance 0"),
    ];
    for text in texts {
        let mut client = Client::connect(&world, "birder", &site.hosts[0], "nofi621")?;
        let id = world.id();
        sent.insert(id.clone(), text.clone());
        let _ = client.query(&id, &text);
        pause(300);
    }
    let mut reader = Client::connect(&world, "reader", &site.hosts[1], "nofi621")?;
    for item in ["note1", "note2", "balance"] {
        let id = world.id();
        let text = format!("READ {item}");
        sent.insert(id.clone(), text.clone());
        let _ = reader.query(&id, &text);
    }
    let faults: Vec<String> = unasked(&world, &sent).iter().map(|f| format!("UNASKED: {f}")).collect();
    verdict(&world, &faults)
}

/// PINNED: a shape with blanks is unusable at the member though its preparing was
/// acknowledged, or redefines the name that another client's shape has there.
fn shape(folder: &str, record: &str, trouble: &str) -> Option<bool> {
    let (world, site) = start(folder, record, 0, &[("nofi621", "primary", 0)])?;
    let mut sent = HashMap::new();
    let mut faults = Vec::new();
    let mut first = Client::connect(&world, "first", &site.hosts[0], "nofi621")?;
    let mut second = Client::connect(&world, "second", &site.hosts[0], "nofi621")?;
    let mut run = |client: &mut Client, name: &str, shape: &str, tail: &str| {
        let id = world.id();
        sent.insert(id.clone(), format!("EXECUTE[WRITE {shape}] {tail}"));
        client.query(&id, &format!("EXECUTE {name} {tail}"))
    };
    let (plain, other) = match trouble {
        "0" => ("by-date", "q2d"),
        _ => ("by date", "q2c WRITE or READ"),
    };
    let prepared = first.query(&world.id(), &format!("PREPARE s0 WRITE {plain}"))?;
    let answer = run(&mut first, "s0", plain, "item0 data0")?;
    if prepared.mac.is_some() && answer.mac.is_none() {
        faults.push(format!(
            "PINNED: PREPARE s0 WRITE {plain} was acknowledged, and EXECUTE s0 fails: {}",
            answer.error.unwrap_or_default()
        ));
    }
    first.query(&world.id(), "PREPARE s1 WRITE q2c")?;
    run(&mut first, "s1", "q2c", "item1 data1")?;
    second.query(&world.id(), &format!("PREPARE s1 WRITE {other}"))?;
    run(&mut second, "s1", other, "item2 data2")?;
    run(&mut first, "s1", "q2c", "item3 data3")?;
    pause(200);
    faults.extend(unasked(&world, &sent).iter().map(|f| format!("PINNED: {f}")));
    verdict(&world, &faults)
}

/// ROUTE: once the last tenant's keys are taken away, every key is served.
fn revoked(folder: &str, record: &str, trouble: &str) -> Option<bool> {
    let routes = [("kafi500", "primary", 0)];
    // All configurations have the list of tenants, as the pages say.
    let tenant = r#"[{"name":"club-tema","apiKeys":["u3f1"],"ratePerS":50,"burst":50,"priority":1}]"#;
    let (world, site) = start_with(folder, record, 0, &routes, Some(tenant))?;
    let host = &site.hosts[0];
    let mut member = Client::connect_with(&world, "member", host, "kafi500", "u3f1")?;
    member.query(&world.id(), "WRITE medal gold")?.mac?;
    if Client::connect_with(&world, "stranger", host, "kafi500", "no-such-key").is_some() {
        world.note("the stranger got in before the disruption");
        return None;
    }
    if trouble != "0" {
        world.configure_with(9, &routes, Some("[]"));
    }
    // `configApplyMs` of the sheets with tenants is 5,000.
    pause(6000);
    let mut faults = Vec::new();
    let mut run = |client: &mut Client, name: &str, why: &str, text: &str| {
        let id = world.id();
        let answer = client.query(&id, text);
        let state = world.lock();
        for run in state.runs.iter().filter(|run| run.id == id) {
            faults.push(format!(
                "{why}: {} ran {id} {text:?} of client {name}, told as of {:?}; the client got {:?}",
                run.member,
                run.caller,
                answer.as_ref().map(|answer| &answer.rows)
            ));
        }
    };
    if let Some(mut stranger) = Client::connect_with(&world, "stranger", host, "kafi500", "no-such-key") {
        run(&mut stranger, "stranger", "ROUTE (no configuration ever held its key)", "READ medal");
        run(&mut stranger, "stranger", "ROUTE (no configuration ever held its key)", "WRITE medal stolen");
    }
    if trouble != "0" {
        run(&mut member, "member", "CONFIG (its key was dropped 6 s before)", "READ medal");
    }
    verdict(&world, &faults)
}

/// STALE: a host that the store turns away takes the members of its last list for all
/// members, so that a primary that joined since then goes unnoticed.
fn stale(folder: &str, record: &str, trouble: &str) -> Option<bool> {
    let (world, site) = start(folder, record, 0, &[("nofi621", "primary", 0)])?;
    let acknowledged: Arc<Mutex<(u32, String)>> = Arc::default();
    let done = Arc::new(AtomicBool::new(false));
    let mut writer = Client::connect(&world, "writer", &site.hosts[0], "nofi621")?;
    let (newest, end, clock) = (acknowledged.clone(), done.clone(), world.clone());
    let writing = thread::spawn(move || {
        let mut number = 0;
        while !end.load(Ordering::Relaxed) {
            number += 1;
            let id = clock.id();
            let Some(answer) = writer.query(&id, &format!("WRITE slot {number}")) else { return };
            if answer.mac.is_some() {
                *newest.lock().expect("newest") = (number, id);
            }
            pause(60);
        }
    });
    // The only host of its region, which has no other host to get readings from.
    let mut reader = Client::connect(&world, "reader", &site.hosts[2], "nofi621")?;
    let (newest, end, clock) = (acknowledged.clone(), done.clone(), world.clone());
    let reading = thread::spawn(move || {
        let (mut reads, mut faults) = (0, Vec::new());
        while !end.load(Ordering::Relaxed) {
            let (value, by) = newest.lock().expect("newest").clone();
            let id = clock.id();
            let Some(answer) = reader.query(&id, "READ slot") else { break };
            if answer.mac.is_some() {
                reads += 1;
                let seen: u32 = answer.rows.first().and_then(|row| row.parse().ok()).unwrap_or(0);
                if seen < value {
                    faults.push(format!(
                        "STALE: read {id} on a primary route returned value {seen} of the item, though value \
                         {value} ({by}) was acknowledged before the read was sent"
                    ));
                }
            }
            pause(20);
        }
        (reads, faults)
    });
    pause(1000);
    if trouble != "0" {
        if trouble != "no-cut" {
            site.set_store(2, StoreMode::Busy);
        }
        pause(1000);
        if trouble != "no-deaf" {
            world.set_deaf("i-9046ff59", true);
            world.set_deaf("i-f773b3f1", true);
        }
        pause(300);
        // The primary is replaced: the new member starts first, the old one drains.
        world.add_member("i-c40e11d7", "nbo-a");
        world.drain("i-7f3a91c2");
    }
    pause(6000);
    done.store(true, Ordering::Relaxed);
    let _ = writing.join();
    let (reads, mut faults) = reading.join().ok()?;
    if trouble != "0" && world.lock().promotes.is_empty() {
        world.note("no member was promoted");
        return None;
    }
    println!("{reads} reads were answered, {} of them stale", faults.len());
    world.note(&format!("{reads} reads were answered, {} of them stale", faults.len()));
    faults.truncate(3);
    verdict(&world, &faults)
}
