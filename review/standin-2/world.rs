//! A small site on loopback for the scripts of the second review: the platform's store and
//! promotion call, the members of one service, and clients. Only the standard library is used.
//!
//! The members follow PROTOCOL.md: a statement occupies a slot while it runs, statements wait in
//! a short queue, STATUS is answered with BUSY while no slot is free, a commit is acknowledged
//! once `syncReplicas` replicas have received it, a promoted member leads with what it had
//! received, and replicas that were ahead are rolled back.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const SERVICE: &str = "birds-db";
const PARENT_DEATH_SIGNAL: i32 = 1;
const SIGKILL: u64 = 9;

extern "C" {
    fn prctl(option: i32, argument: u64, ...) -> i32;
}

/// Statements that wait for a slot of a member, as in the site file (`queue`).
const QUEUE: usize = 24;
/// Interval of the members' heartbeats (`heartbeatMs`).
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Figures of a site file.
#[derive(Clone, Copy)]
pub struct Figures {
    /// Slots of a member.
    pub slots: usize,
    /// Connections that a member takes.
    pub connections: usize,
    /// Time from the call to the effect of a promotion (`promote_ms`).
    pub promote: Duration,
    /// Time by which replicas are behind (`lag_ms`).
    pub lag: Duration,
}

/// Those of sites/fernwake-sightings.toml.
pub const FERNWAKE: Figures = Figures {
    slots: 3,
    connections: 22,
    promote: Duration::from_millis(600),
    lag: Duration::from_millis(8),
};

/// Those of sites/anikapoa.toml.
pub const ANIKAPOA: Figures = Figures {
    slots: 2,
    connections: 28,
    promote: Duration::from_millis(1_000),
    lag: Duration::from_millis(20),
};

pub fn pause(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// One commit in a member's log: the ids of its writes.
#[derive(Clone, PartialEq)]
pub struct Entry {
    pub term: u64,
    pub writes: Vec<(String, String, String)>,
}

pub struct Member {
    pub id: String,
    pub address: SocketAddr,
    pub zone: String,
    pub alive: bool,
    pub leads: bool,
    pub term: u64,
    pub log: Vec<Entry>,
    /// Receives nothing.
    pub deaf: bool,
    /// Machines that a partition cuts off from the member; if there is one, the other members are
    /// cut off, too.
    pub cut_from: Vec<String>,
    pub draining: bool,
    pub sequence: u64,
    pub born: u64,
    pub slots: usize,
    pub running: usize,
    pub waiting: usize,
    pub superseded_at: Option<Instant>,
    /// Open connections, which `maxConns` limits.
    pub connections: usize,
    pub crashed_at: Option<Instant>,
}

impl Member {
    pub fn position(&self) -> String {
        match self.log.last() {
            Some(entry) => format!("{}.{}", entry.term, self.log.len()),
            None => "-".to_owned(),
        }
    }

    fn holds(&self, position: &str) -> bool {
        let Some((term, number)) = position.split_once('.') else {
            return position == "-";
        };
        let (Ok(term), Ok(number)) = (term.parse::<u64>(), number.parse::<usize>()) else {
            return false;
        };
        number > 0 && self.log.get(number - 1).is_some_and(|entry| entry.term == term)
    }
}

/// A promotion and the log of the promoted member when it took effect.
pub struct Promotion {
    pub member: String,
    pub at_ms: u64,
    pub log: Vec<Entry>,
}

/// A statement that a member ran, with the session values of its connection.
pub struct Ran {
    pub member: String,
    pub at_ms: u64,
    pub id: String,
    pub text: String,
    pub values: BTreeMap<String, String>,
}

pub struct Row {
    pub version: u64,
    pub value: Option<Vec<u8>>,
}

pub struct State {
    pub rows: BTreeMap<(String, String), Row>,
    pub version: u64,
    pub members: Vec<Member>,
    pub newest: usize,
    pub sync: usize,
    pub promotions: Vec<Promotion>,
    pub ran: Vec<Ran>,
    /// Length of the newest primary's log, by time.
    history: VecDeque<(Instant, usize, usize)>,
    /// Zones whose machines the store turns away with 503.
    pub turned_away: Vec<String>,
    /// The machine that last wrote a row with its name under a condition.
    pub leader: Option<String>,
    record: File,
}

#[derive(Clone)]
pub struct World {
    pub state: Arc<Mutex<State>>,
    pub started: Instant,
    pub stores: HashMap<String, SocketAddr>,
    folder: PathBuf,
    figures: Figures,
    /// Mean work of a read in milliseconds (`work_ms`).
    pub work_ms: u64,
}

fn listen() -> TcpListener {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port")
}

/// Returns a free port for a daemon. Each daemon has a loopback address of its own, whose ports
/// no outgoing connection uses.
fn free_port(daemon: u64) -> TcpListener {
    let process = std::process::id();
    let ip = Ipv4Addr::new(127, 64 + (process % 64) as u8, (process / 64 % 250) as u8, daemon as u8);
    TcpListener::bind((ip, 0)).expect("a free port")
}

impl World {
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn note(&self, text: &str) {
        let line = format!("{:8} ms  {text}\n", self.now_ms());
        let mut state = self.state.lock().unwrap();
        let _ = state.record.write_all(line.as_bytes());
    }

    /// Starts the store and three members. The first one leads.
    pub fn start(record: &str, sync: usize, figures: Figures, work_ms: u64) -> Self {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let mut listeners = Vec::new();
        let mut stores = HashMap::new();
        for zone in ["na-a", "cp-a", "wc-a"] {
            let listener = listen();
            stores.insert(zone.to_owned(), listener.local_addr().unwrap());
            listeners.push((zone, listener));
        }
        let world = Self {
            stores,
            started: Instant::now(),
            folder,
            figures,
            work_ms,
            state: Arc::new(Mutex::new(State {
                rows: BTreeMap::new(),
                version: 0,
                members: Vec::new(),
                newest: 0,
                sync,
                promotions: Vec::new(),
                ran: Vec::new(),
                history: VecDeque::new(),
                turned_away: Vec::new(),
                leader: None,
                record: File::create(record).expect("record.txt"),
            })),
        };
        for zone in ["na-a", "cp-a", "wc-a"] {
            world.add_member(zone);
        }
        for (zone, listener) in listeners {
            let server = world.clone();
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let server = server.clone();
                    thread::spawn(move || server.serve_store(zone, stream));
                }
            });
        }
        let beats = world.clone();
        thread::spawn(move || loop {
            thread::sleep(HEARTBEAT);
            let count = beats.state.lock().unwrap().members.len();
            (0..count).for_each(|index| beats.report(index));
            // An entry is removed after three intervals of silence.
            let silent: Vec<String> = {
                let mut state = beats.state.lock().unwrap();
                let members = state.members.iter_mut();
                let silent = members.filter(|one| one.crashed_at.is_some_and(|at| at.elapsed() > HEARTBEAT * 3));
                silent.map(|one| { one.crashed_at = None; one.id.clone() }).collect()
            };
            silent.iter().for_each(|id| beats.put("servers", id, None));
        });
        let links = world.clone();
        thread::spawn(move || loop {
            pause(4);
            links.replicate();
        });
        world
    }

    /// Starts another member and returns its index. The first one leads, and a later one begins
    /// with the log of the primary.
    pub fn add_member(&self, zone: &str) -> usize {
        let slots = self.figures.slots;
        let socket = listen();
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        let index = {
            let mut state = self.state.lock().unwrap();
            let index = state.members.len();
            let newest = state.newest;
            let source = state.members.get(newest);
            let (log, term) = source.map_or((Vec::new(), 1), |one| (one.log.clone(), one.term));
            state.members.push(Member {
                // The first one in order of the ids is the newest one.
                id: format!("i-{:04x}", 0x51a0 + (9 - index) * 0x111),
                address: socket.local_addr().unwrap(),
                zone: zone.to_owned(),
                alive: true,
                leads: index == 0,
                term,
                log,
                deaf: false,
                cut_from: Vec::new(),
                draining: false,
                sequence: 1,
                born,
                slots,
                running: 0,
                waiting: 0,
                superseded_at: None,
                connections: 0,
                crashed_at: None,
            });
            index
        };
        self.report(index);
        let world = self.clone();
        thread::spawn(move || world.serve_member(index, socket));
        index
    }

    /// Reports a member as about to stop.
    pub fn drain(&self, index: usize) {
        self.state.lock().unwrap().members[index].draining = true;
        self.report(index);
    }

    pub fn put(&self, table: &str, key: &str, value: Option<Vec<u8>>) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let version = state.version;
        let place = (table.to_owned(), key.to_owned());
        state.rows.insert(place, Row { version, value });
    }

    /// Writes the entry of a member that runs.
    pub fn report(&self, index: usize) {
        let (id, value) = {
            let mut state = self.state.lock().unwrap();
            let member = &mut state.members[index];
            if !member.alive {
                return;
            }
            member.sequence += 1;
            let value = format!(
                "{{\"service\":\"{SERVICE}\",\"endpoint\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
                 \"capacity\":{},\"state\":\"{}\",\"coldLeftMs\":0,\"dbRole\":\"{}\",\"sequence\":{},\
                 \"born\":{}}}",
                member.address,
                member.zone,
                member.slots,
                if member.draining { "draining" } else { "ready" },
                if member.leads { "primary" } else { "replica" },
                member.sequence,
                member.born
            );
            (member.id.clone(), value)
        };
        self.put("servers", &id, Some(value.into_bytes()));
    }

    /// Writes the configuration: one route of each kind, named as its kind.
    pub fn configure(&self, version: u64) {
        let connections = self.figures.connections;
        let sync = self.state.lock().unwrap().sync;
        let route = |name: &str, kind: &str, timeout: u64, extra: &str| {
            format!(
                "{{\"name\":\"r-{name}\",\"hostname\":\"{name}\",\"prefix\":\"/\",\"type\":\"{kind}\",\
                 \"timeoutMs\":{timeout},\"targetLatencyMs\":800,\"priority\":1,\
                 \"service\":\"{SERVICE}\",\"maxAttempts\":2{extra}}}"
            )
        };
        let routes = [
            route("current", "primary", 1000, ""),
            route("bounded", "bounded_stale", 2000, ",\"maxStalenessMs\":1500"),
            route("own", "read_your_writes", 1000, ",\"maxStalenessMs\":2500"),
        ];
        let text = format!(
            "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"{SERVICE}\",\
             \"healthPath\":\"/health\",\"maxConns\":{connections},\"protocol\":\"h1\",\"tls\":false,\
             \"syncReplicas\":{sync}}}],\"limits\":{{\"txIdleMs\":3000}}}}",
            routes.join(",")
        );
        self.put("op", "config", Some(text.into_bytes()));
    }

    /// Starts a daemon with the command of the deploy file.
    pub fn start_daemon(&self, name: &str, zone: &str) -> Daemon {
        static DAEMONS: AtomicU64 = AtomicU64::new(0);
        let number = DAEMONS.fetch_add(1, Ordering::Relaxed) % 250 + 1;
        // All are held until the last one is found, so that they differ.
        let held: Vec<TcpListener> = (0..4).map(|_| free_port(number)).collect();
        let addresses: Vec<SocketAddr> = held.iter().map(|one| one.local_addr().expect("an address")).collect();
        drop(held);
        let settings = format!(
            "host = \"{name}\"\ndata_centre = \"{zone}\"\ncaller_address = \"{}\"\n\
             readiness_address = \"{}\"\nmetrics_address = \"{}\"\nrelay_address = \"{}\"\n\
             grace_s = 6\ndescriptor_limit = 8400\npromotion_address = \"{}\"\n[regions]\n\
             na-a = \"north-atlantic\"\ncp-a = \"central-plains\"\nwc-a = \"west-coast\"\n\
             [store]\naddress = \"{}\"\n",
            addresses[0], addresses[1], addresses[2], addresses[3], self.stores[zone], self.stores[zone]
        );
        let file = self.folder.join(format!("{name}.toml"));
        std::fs::write(&file, settings).expect("a settings file");
        let child = self.run_daemon(name);
        Daemon { name: name.to_owned(), front: addresses[0], ready: addresses[1], child }
    }

    fn run_daemon(&self, name: &str) -> Child {
        let log = File::options().create(true).append(true).open(self.folder.join(format!("{name}.log")));
        let log = log.expect("a log file");
        let mut command = Command::new("target/release/cassiad");
        command
            .args(["--managed", "--settings"])
            .arg(self.folder.join(format!("{name}.toml")))
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log);
        // SAFETY: the call only tells the kernel to kill the daemon if this program is killed.
        unsafe {
            command.pre_exec(|| {
                prctl(PARENT_DEATH_SIGNAL, SIGKILL);
                Ok(())
            });
        }
        command.spawn().expect("target/release/cassiad starts")
    }

    /// Kills a daemon as the platform does, and starts it again after a short delay.
    pub fn restart_daemon(&self, daemon: &mut Daemon) {
        let _ = daemon.child.kill();
        let _ = daemon.child.wait();
        pause(500);
        daemon.child = self.run_daemon(&daemon.name);
    }

    /// The machines of the Fernwake sheet.
    pub fn start_daemons(&self) -> Vec<Daemon> {
        let places = [("edge-na-a-1", "na-a"), ("edge-na-a-2", "na-a"), ("edge-cp-a-1", "cp-a"), ("edge-wc-a-1", "wc-a")];
        let daemons: Vec<Daemon> =
            places.iter().map(|(name, zone)| self.start_daemon(name, zone)).collect();
        let deadline = Instant::now() + Duration::from_secs(20);
        for daemon in &daemons {
            while !daemon.is_ready() {
                if Instant::now() > deadline {
                    self.note(&format!("{} is not ready", daemon.name));
                    drop(daemons);
                    std::process::exit(2);
                }
                pause(50);
            }
        }
        daemons
    }

    fn replicate(&self) {
        let mut state = self.state.lock().unwrap();
        let newest = state.newest;
        let now = Instant::now();
        let length = state.members[newest].log.len();
        state.history.push_back((now, newest, length));
        while state.history.get(1).is_some_and(|(at, ..)| now - *at >= self.figures.lag) {
            state.history.pop_front();
        }
        let sent = state.history.front().filter(|(_, source, _)| *source == newest).map(|(.., length)| *length);
        let (log, term, reaches) = {
            let source = &state.members[newest];
            let log = source.log[..sent.unwrap_or(0).min(length)].to_vec();
            // What was committed before a step-down still arrives.
            (log, source.term, source.alive && source.cut_from.is_empty() && sent.is_some())
        };
        for (index, member) in state.members.iter_mut().enumerate() {
            if index == newest || !member.alive || !reaches || !member.cut_from.is_empty() {
                continue;
            }
            if member.leads {
                let since = *member.superseded_at.get_or_insert_with(Instant::now);
                if since.elapsed() < Duration::from_secs(1) {
                    continue;
                }
                member.leads = false;
            }
            if !member.deaf {
                member.log.clone_from(&log);
                member.term = term;
            }
        }
    }

    /// Kills a member: its connections end and new ones are refused.
    pub fn crash(&self, index: usize) {
        let mut state = self.state.lock().unwrap();
        state.members[index].alive = false;
        state.members[index].crashed_at = Some(Instant::now());
    }

    fn is_cut(&self, index: usize, machine: &str) -> bool {
        self.state.lock().unwrap().members[index].cut_from.iter().any(|name| name == machine)
    }

    fn is_alive(&self, index: usize) -> bool {
        self.state.lock().unwrap().members[index].alive
    }

    fn serve_member(&self, index: usize, listener: TcpListener) {
        listener.set_nonblocking(true).unwrap();
        while self.is_alive(index) {
            match listener.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(false).unwrap();
                    let world = self.clone();
                    thread::spawn(move || {
                        world.state.lock().unwrap().members[index].connections += 1;
                        world.serve_connection(index, stream);
                        world.state.lock().unwrap().members[index].connections -= 1;
                    });
                }
                Err(_) => pause(1),
            }
        }
    }

    fn serve_connection(&self, index: usize, stream: TcpStream) {
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(Duration::from_millis(20))).unwrap();
        let mut output = stream.try_clone().unwrap();
        let mut lines = Lines::new(stream);
        let mut session = Session::default();
        let mut client = String::new();
        let mut is_lost = false;
        loop {
            let line = match lines.next() {
                Next::Line(line) => line,
                Next::Wait if self.is_alive(index) => continue,
                Next::Wait | Next::End => return,
            };
            if let Some(rest) = line.strip_prefix("CONNECT ") {
                // A connection names its machine.
                client = rest.split(' ').nth(1).unwrap_or("").to_owned();
            }
            // Behind a partition nothing arrives, and the connection is lost.
            while self.is_cut(index, &client) {
                pause(10);
                is_lost = true;
            }
            if is_lost {
                return;
            }
            let answer = self.answer(index, &mut session, &line);
            while self.is_cut(index, &client) {
                pause(10);
                is_lost = true;
            }
            if is_lost || !self.is_alive(index) {
                return;
            }
            let moved = answer.starts_with("ERROR MOVED") || answer.starts_with("ERROR CONNLIMIT");
            if output.write_all(answer.as_bytes()).is_err() || moved {
                return;
            }
        }
    }

    fn answer(&self, index: usize, session: &mut Session, line: &str) -> String {
        let mut fields = line.splitn(3, ' ');
        let (word, id, text) =
            (fields.next().unwrap_or(""), fields.next().unwrap_or(""), fields.next().unwrap_or(""));
        if word == "CONNECT" {
            // A new connection occupies a slot for some time.
            pause(12);
            let state = self.state.lock().unwrap();
            let member = &state.members[index];
            let expected = text.split(' ').nth(1);
            if id != SERVICE || expected.is_some_and(|expected| expected != member.id) {
                return format!("ERROR MOVED {}\r\n", member.id);
            }
            if member.connections > self.figures.connections {
                return "ERROR CONNLIMIT\r\n".to_owned();
            }
            return format!("READY I {}\r\n", member.position());
        }
        let result = self.run(index, session, id, text);
        let state = self.state.lock().unwrap();
        let member = &state.members[index];
        let letter = match (&session.writes, session.failed) {
            (Some(_), true) => "E",
            (Some(_), false) => "T",
            (None, _) => "I",
        };
        let ready = format!("READY {letter} {}\r\n", member.position());
        match result {
            Ok(rows) => {
                let rows: String = rows.iter().map(|row| format!("ROW {row}\r\n")).collect();
                let mac = match id {
                    "-" => "-".to_owned(),
                    id => format!("mac.{id}.{}", next_number()),
                };
                format!("{rows}COMPLETE {mac}\r\n{ready}")
            }
            Err(code) => format!("ERROR {code} {}\r\n{ready}", member.id),
        }
    }

    /// Occupies a slot for the work of a statement, and returns the value of `item` as of the
    /// begin of the work.
    fn work(&self, index: usize, item: &str) -> Result<String, &'static str> {
        {
            let mut state = self.state.lock().unwrap();
            let member = &mut state.members[index];
            if member.waiting >= QUEUE {
                return Err("BUSY");
            }
            member.waiting += 1;
        }
        loop {
            {
                let mut state = self.state.lock().unwrap();
                let member = &mut state.members[index];
                if member.running < member.slots {
                    member.running += 1;
                    member.waiting -= 1;
                    break;
                }
                if !member.alive {
                    member.waiting -= 1;
                    return Err("BUSY");
                }
            }
            pause(1);
        }
        let found = {
            let state = self.state.lock().unwrap();
            let mut writes = state.members[index].log.iter().rev().flat_map(|entry| entry.writes.iter().rev());
            writes.find(|(_, known, _)| known == item).map_or(String::new(), |(_, _, data)| data.clone())
        };
        let jitter = next_number() % self.work_ms.max(1);
        pause(self.work_ms / 2 + jitter);
        self.state.lock().unwrap().members[index].running -= 1;
        Ok(found)
    }

    fn run(&self, index: usize, session: &mut Session, id: &str, text: &str) -> Result<Vec<String>, &'static str> {
        let mut text = text;
        if let Some(rest) = text.strip_prefix("SINCE ") {
            let (position, rest) = rest.split_once(' ').ok_or("MALFORMED")?;
            if !self.state.lock().unwrap().members[index].holds(position) {
                return Err("LAGGING");
            }
            text = rest;
        }
        let sent = text.to_owned();
        let resolved = match text.strip_prefix("EXECUTE ") {
            Some(rest) => {
                let (name, arguments) = rest.split_once(' ').ok_or("MALFORMED")?;
                let kind = session.prepared.get(name).ok_or("NOSTMT")?;
                format!("{kind} {arguments}")
            }
            None => sent.clone(),
        };
        let mut words = resolved.splitn(3, ' ');
        let (word, item, data) =
            (words.next().unwrap_or(""), words.next().unwrap_or(""), words.next().unwrap_or(""));
        if word == "STATUS" && std::env::var("STATUS_WAITS").is_ok() {
            // A trial only: STATUS waits for a slot like other statements.
            self.work(index, "")?;
        }
        let leads = self.state.lock().unwrap().members[index].leads;
        let mut found = String::new();
        if matches!(word, "READ" | "WRITE" | "COMMIT") {
            if word != "READ" && !leads && (word == "WRITE" || session.wrote()) {
                session.failed = session.writes.is_some();
                return Err("READONLY");
            }
            found = self.work(index, item)?;
            let values = session.values.clone();
            let at_ms = self.now_ms();
            let mut state = self.state.lock().unwrap();
            let member = state.members[index].id.clone();
            state.ran.push(Ran { member, at_ms, id: id.to_owned(), text: sent, values });
        }
        match word {
            "STATUS" | "STEPDOWN" => {
                let mut state = self.state.lock().unwrap();
                let member = &mut state.members[index];
                if word == "STEPDOWN" {
                    member.leads &= item.parse::<u64>().is_ok_and(|term| term <= member.term);
                } else if member.running >= member.slots && std::env::var("STATUS_WAITS").is_err() {
                    return Err("BUSY");
                }
                let role = if member.leads { "primary" } else { "replica" };
                return Ok(vec![format!("{role} {} {} {} 0 {} 1", member.term, member.position(), member.term, member.running)]);
            }
            "BEGIN" if item != "READ" && !leads => return Err("READONLY"),
            "BEGIN" => session.writes = Some(Vec::new()),
            "ROLLBACK" => {
                session.writes = None;
                session.failed = false;
            }
            "READ" => return Ok(vec![found]),
            "WRITE" => {
                let write = (id.to_owned(), item.to_owned(), data.to_owned());
                match &mut session.writes {
                    Some(writes) => writes.push(write),
                    None => return self.append(index, vec![write]),
                }
            }
            "COMMIT" => {
                let writes = session.writes.take().unwrap_or_default();
                if !writes.is_empty() {
                    return self.append(index, writes);
                }
            }
            "SET" => {
                session.values.insert(item.to_owned(), data.to_owned());
            }
            "PREPARE" => {
                let kind = data.split(' ').next().unwrap_or("").to_owned();
                session.prepared.insert(item.to_owned(), kind);
            }
            "DEALLOC" => {
                session.prepared.remove(item).ok_or("NOSTMT")?;
            }
            "RESET" => {
                session.values.clear();
                session.prepared.clear();
            }
            _ => return Err("MALFORMED"),
        }
        Ok(Vec::new())
    }

    /// Appends a commit and waits until `syncReplicas` replicas have received it.
    fn append(&self, index: usize, writes: Vec<(String, String, String)>) -> Result<Vec<String>, &'static str> {
        let (number, sync) = {
            let mut state = self.state.lock().unwrap();
            let sync = state.sync;
            let member = &mut state.members[index];
            if !member.leads || !member.alive {
                return Err("READONLY");
            }
            let term = member.term;
            member.log.push(Entry { term, writes });
            (member.log.len(), sync)
        };
        loop {
            {
                let state = self.state.lock().unwrap();
                let member = &state.members[index];
                let others = state.members.iter().enumerate();
                let received = others
                    .filter(|(other, one)| *other != index && one.alive && one.log.len() >= number && one.term == member.term)
                    .count();
                // A crashed member answers nothing.
                if received >= sync || !member.alive {
                    return Ok(Vec::new());
                }
            }
            pause(1);
        }
    }

    fn promote(&self, id: &str) -> bool {
        let found = {
            let state = self.state.lock().unwrap();
            let mut members = state.members.iter();
            members.position(|member| member.id == id && member.alive)
        };
        let Some(index) = found else {
            return false;
        };
        let world = self.clone();
        thread::spawn(move || {
            thread::sleep(world.figures.promote);
            let mut state = world.state.lock().unwrap();
            if !state.members[index].alive || (state.newest == index && state.members[index].leads) {
                return;
            }
            let term = state.members.iter().map(|member| member.term).max().unwrap_or(0) + 1;
            let member = &mut state.members[index];
            member.leads = true;
            member.term = term;
            member.superseded_at = None;
            let promotion = Promotion {
                member: member.id.clone(),
                at_ms: world.now_ms(),
                log: member.log.clone(),
            };
            state.newest = index;
            let text = format!("{} leads term {term} with {} commits", promotion.member, promotion.log.len());
            state.promotions.push(promotion);
            drop(state);
            world.report(index);
            world.note(&text);
        });
        true
    }

    /// Answers the calls of the machines of a zone.
    fn serve_store(&self, zone: &str, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut output = stream.try_clone().unwrap();
        let mut input = BufReader::new(stream);
        loop {
            let mut line = String::new();
            if input.read_line(&mut line).unwrap_or(0) == 0 {
                return;
            }
            let mut words = line.split_whitespace();
            let (method, target) = (words.next().unwrap_or("").to_owned(), words.next().unwrap_or("").to_owned());
            let mut length = 0;
            let mut headers = HashMap::new();
            loop {
                let mut header = String::new();
                if input.read_line(&mut header).unwrap_or(0) == 0 {
                    return;
                }
                let Some((name, value)) = header.trim_end().split_once(':') else {
                    break;
                };
                let (name, value) = (name.to_ascii_lowercase(), value.trim().to_owned());
                if name == "content-length" {
                    length = value.parse().unwrap_or(0);
                }
                headers.insert(name, value);
            }
            let mut body = vec![0; length];
            if input.read_exact(&mut body).is_err() {
                return;
            }
            let is_turned_away = || self.state.lock().unwrap().turned_away.iter().any(|one| one == zone);
            let called_away = is_turned_away();
            let (mut status, mut text) = match called_away {
                true => (503, "{}".to_owned()),
                false => self.call(&method, &target, &headers, &String::from_utf8_lossy(&body)),
            };
            if method == "GET" && is_turned_away() {
                (status, text) = (503, "{}".to_owned());
            }
            let answer = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
                text.len()
            );
            if output.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn rows(&self, table: &str, after: u64) -> (Vec<String>, u64) {
        let state = self.state.lock().unwrap();
        let rows = state.rows.iter().filter(|((known, _), row)| known == table && row.version > after);
        let mut rows: Vec<(u64, String)> = rows
            .filter(|(_, row)| after > 0 || row.value.is_some())
            .map(|((table, key), row)| (row.version, row_text(table, key, row)))
            .collect();
        if after > 0 {
            rows.sort();
        }
        (rows.into_iter().map(|(_, text)| text).collect(), state.version)
    }

    fn call(&self, method: &str, target: &str, headers: &HashMap<String, String>, body: &str) -> (u16, String) {
        // `txLatencyMs`.
        pause(4);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: HashMap<&str, &str> = query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        let table = query.get("table").copied().unwrap_or("");
        let page = |rows: &[String], version: u64| {
            let rows = rows.join(",");
            format!("{{\"rows\":[{rows}],\"hasMore\":false,\"rowVersion\":{version},\"serverTimeMs\":{}}}", self.now_ms())
        };
        match (method, path) {
            ("GET", "/v1/rows-get") => {
                let (rows, version) = self.rows(table, 0);
                (200, page(&rows, version))
            }
            ("GET", "/v1/rows-feed") => {
                let after: u64 = query.get("after").and_then(|text| text.parse().ok()).unwrap_or(0);
                let wait: u64 = query.get("waitTimeoutMs").and_then(|text| text.parse().ok()).unwrap_or(0);
                let deadline = Instant::now() + Duration::from_millis(wait);
                loop {
                    let (rows, version) = self.rows(table, after.max(1));
                    if !rows.is_empty() || Instant::now() >= deadline {
                        return (200, page(&rows, version));
                    }
                    pause(10);
                }
            }
            ("POST", "/v1/rows-tx") => self.transact(body),
            ("POST", "/failover") => {
                let order = Json::parse(body);
                let id = order.get("id").text();
                let done = self.promote(&id);
                self.note(&format!(
                    "failover to {id} by {} with token {}: {}",
                    headers.get("lease-holder").map_or("", String::as_str),
                    headers.get("fence-token").map_or("", String::as_str),
                    if done { "200" } else { "409" }
                ));
                (if done { 200 } else { 409 }, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn transact(&self, body: &str) -> (u16, String) {
        let body = Json::parse(body);
        let mut state = self.state.lock().unwrap();
        let place = |entry: &Json| (entry.get("table").text(), entry.get("key").text());
        let holds = body.get("expected").list().iter().all(|entry| {
            let row = state.rows.get(&place(entry)).filter(|row| row.value.is_some());
            row.map_or(0, |row| row.version) == entry.get("rowVersion").number()
        });
        let now = self.now_ms();
        if !holds {
            let expected = body.get("expected");
            let rows: Vec<String> = expected.list().iter().filter_map(|entry| {
                let (table, key) = place(entry);
                let row = state.rows.get(&(table.clone(), key.clone()))?;
                row.value.is_some().then(|| row_text(&table, &key, row))
            }).collect();
            return (412, format!("{{\"rows\":[{}],\"rowVersion\":{},\"serverTimeMs\":{now}}}", rows.join(","), state.version));
        }
        state.version += 1;
        let version = state.version;
        for entry in body.get("puts").list() {
            let value = decode(&entry.get("value").text());
            if entry.get("key").text() == "duty" {
                state.leader = Some(Json::parse(&String::from_utf8_lossy(&value)).get("host").text());
            }
            let value = Some(value);
            state.rows.insert(place(entry), Row { version, value });
        }
        for entry in body.get("remove").list() {
            state.rows.insert(place(entry), Row { version, value: None });
        }
        (200, format!("{{\"rowVersion\":{version},\"serverTimeMs\":{now}}}"))
    }

    /// Ends the daemons, and records what the members ran.
    pub fn finish(&self, daemons: Vec<Daemon>) {
        drop(daemons);
        let mut state = self.state.lock().unwrap();
        let (ran, reads): (Vec<&Ran>, Vec<&Ran>) = state.ran.iter().partition(|ran| !ran.text.starts_with("READ"));
        let mut text = format!("members ran {} reads and these statements:\n", reads.len());
        for Ran { member, at_ms, id, text: statement, values } in ran {
            text += &format!("{at_ms:8} ms  {member} ran {id} {statement} with {values:?}\n");
        }
        let _ = state.record.write_all(text.as_bytes());
        drop(state);
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

fn row_text(table: &str, key: &str, row: &Row) -> String {
    let value = match &row.value {
        Some(value) => format!("\"value\":\"{}\"", encode(value)),
        None => "\"deleted\":true".to_owned(),
    };
    format!("{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",{value},\"rowVersion\":{}}}", row.version)
}

/// Returns a number that no earlier call returned.
pub fn next_number() -> u64 {
    static LAST: AtomicU64 = AtomicU64::new(0);
    LAST.fetch_add(1, Ordering::Relaxed) + 1
}

#[derive(Default)]
struct Session {
    values: BTreeMap<String, String>,
    prepared: HashMap<String, String>,
    /// Writes of the open transaction.
    writes: Option<Vec<(String, String, String)>>,
    failed: bool,
}

impl Session {
    fn wrote(&self) -> bool {
        self.writes.as_ref().is_some_and(|writes| !writes.is_empty())
    }
}

enum Next {
    Line(String),
    Wait,
    End,
}

struct Lines {
    stream: TcpStream,
    bytes: Vec<u8>,
}

impl Lines {
    fn new(stream: TcpStream) -> Self {
        Self { stream, bytes: Vec::new() }
    }

    fn next(&mut self) -> Next {
        loop {
            if let Some(end) = self.bytes.windows(2).position(|pair| pair == b"\r\n") {
                let line: Vec<u8> = self.bytes.drain(..end + 2).collect();
                return Next::Line(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            let mut buffer = [0; 16384];
            match self.stream.read(&mut buffer) {
                Ok(0) => return Next::End,
                Ok(count) => self.bytes.extend_from_slice(&buffer[..count]),
                Err(error) if matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => return Next::Wait,
                Err(_) => return Next::End,
            }
        }
    }
}

/// A daemon, which is killed when it is dropped.
pub struct Daemon {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub child: Child,
}

impl Daemon {
    /// Returns the memory of the process in MB.
    pub fn memory_mb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or("0");
        line.trim().trim_end_matches("kB").trim().parse::<u64>().unwrap_or(0) / 1_024
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect_timeout(&self.ready, Duration::from_millis(500)) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        let _ = stream.write_all(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        let mut buffer = [0; 12];
        stream.read_exact(&mut buffer).is_ok() && buffer.ends_with(b"200")
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// What a client received for a statement.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Done(Vec<String>),
    Error(String),
    /// The connection ended or nothing came.
    Lost,
}

pub struct Client {
    output: TcpStream,
    lines: Lines,
}

impl Client {
    pub fn connect(address: SocketAddr, database: &str) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        stream.set_nodelay(true).ok()?;
        // A client waits 2 s for the greeting's answer.
        stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
        let mut client = Self { output: stream.try_clone().ok()?, lines: Lines::new(stream) };
        client.output.write_all(format!("CONNECT {database} u{}\r\n", next_number()).as_bytes()).ok()?;
        match client.lines.next() {
            Next::Line(line) if line.starts_with("READY") => {
                client.output.set_read_timeout(Some(Duration::from_secs(4))).ok()?;
                Some(client)
            }
            _ => None,
        }
    }

    pub fn send(&mut self, id: &str, text: &str) -> Answer {
        if self.output.write_all(format!("QUERY {id} {text}\r\n").as_bytes()).is_err() {
            return Answer::Lost;
        }
        let mut rows = Vec::new();
        let mut result = None;
        loop {
            let Next::Line(line) = self.lines.next() else {
                return Answer::Lost;
            };
            let (word, rest) = line.split_once(' ').unwrap_or((&line, ""));
            match word {
                "ROW" => rows.push(rest.to_owned()),
                "COMPLETE" => result = Some(Answer::Done(Vec::new())),
                "ERROR" => result = Some(Answer::Error(rest.split(' ').next().unwrap_or("").to_owned())),
                "READY" => {
                    return match result {
                        Some(Answer::Done(_)) => Answer::Done(rows),
                        Some(other) => other,
                        None => Answer::Lost,
                    }
                }
                _ => return Answer::Lost,
            }
        }
    }
}

#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Self {
        let mut bytes = text.as_bytes();
        value(&mut bytes)
    }

    pub fn get(&self, name: &str) -> Json {
        match self {
            Self::Object(fields) => fields.iter().find(|(key, _)| key == name).map_or(Json::Null, |(_, value)| value.clone()),
            _ => Json::Null,
        }
    }

    pub fn text(&self) -> String {
        match self {
            Self::Text(text) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Self::Number(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Self::List(list) => list,
            _ => &[],
        }
    }
}

fn skip(bytes: &mut &[u8]) {
    while bytes.first().is_some_and(|byte| b" \t\r\n,:".contains(byte)) {
        *bytes = &bytes[1..];
    }
}

fn value(bytes: &mut &[u8]) -> Json {
    skip(bytes);
    match bytes.first() {
        Some(b'{') => {
            *bytes = &bytes[1..];
            let mut fields = Vec::new();
            loop {
                skip(bytes);
                match bytes.first() {
                    Some(b'}') | None => {
                        *bytes = bytes.get(1..).unwrap_or(&[]);
                        return Json::Object(fields);
                    }
                    Some(_) => {
                        let key = value(bytes).text();
                        fields.push((key, value(bytes)));
                    }
                }
            }
        }
        Some(b'[') => {
            *bytes = &bytes[1..];
            let mut list = Vec::new();
            loop {
                skip(bytes);
                match bytes.first() {
                    Some(b']') | None => {
                        *bytes = bytes.get(1..).unwrap_or(&[]);
                        return Json::List(list);
                    }
                    Some(_) => list.push(value(bytes)),
                }
            }
        }
        Some(b'"') => {
            *bytes = &bytes[1..];
            let mut text = Vec::new();
            while let Some(byte) = bytes.first().copied() {
                *bytes = &bytes[1..];
                match byte {
                    b'"' => break,
                    b'\\' => {
                        text.push(bytes.first().copied().unwrap_or(b'\\'));
                        *bytes = bytes.get(1..).unwrap_or(&[]);
                    }
                    other => text.push(other),
                }
            }
            Json::Text(String::from_utf8_lossy(&text).into_owned())
        }
        Some(_) => {
            let end = bytes.iter().position(|byte| b",]} \r\n".contains(byte)).unwrap_or(bytes.len());
            let word = String::from_utf8_lossy(&bytes[..end]).into_owned();
            *bytes = &bytes[end.max(1).min(bytes.len())..];
            word.parse().map_or(Json::Null, Json::Number)
        }
        None => Json::Null,
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn encode(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let padded = [chunk[0], chunk.get(1).copied().unwrap_or(0), chunk.get(2).copied().unwrap_or(0)];
        let number = u32::from(padded[0]) << 16 | u32::from(padded[1]) << 8 | u32::from(padded[2]);
        for place in 0..4 {
            match place <= chunk.len() {
                true => text.push(ALPHABET[(number >> (18 - 6 * place)) as usize & 63] as char),
                false => text.push('='),
            }
        }
    }
    text
}

fn decode(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut number, mut bits) = (0u32, 0);
    for symbol in text.bytes() {
        let Some(index) = ALPHABET.iter().position(|known| *known == symbol) else {
            continue;
        };
        number = number << 6 | index as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((number >> bits) as u8);
            number &= (1 << bits) - 1;
        }
    }
    bytes
}
