//! Stand-ins for the cases of this review: the platform's store and `/failover`, members
//! that speak the line protocol, and a client. All on loopback, one process, standard
//! library only. The daemons under test are started as separate processes.
#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// `heartbeatMs` of the small sheets' settings.
pub const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Largest message of the line protocol.
const MESSAGE_MAX: usize = 1 << 20;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}
pub fn pause(n: u64) {
    thread::sleep(ms(n));
}

// ---------------------------------------------------------------- JSON and base64

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    List(Vec<Json>),
    Map(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Map(m) => m.iter().find(|(k, _)| k == name).map_or(&Json::Null, |(_, v)| v),
            _ => &Json::Null,
        }
    }
    pub fn text(&self) -> String {
        match self {
            Json::Str(s) => s.clone(),
            _ => String::new(),
        }
    }
    pub fn num(&self) -> u64 {
        match self {
            Json::Num(n) => *n as u64,
            _ => 0,
        }
    }
    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(l) => l,
            _ => &[],
        }
    }
    pub fn parse(bytes: &[u8]) -> Option<Json> {
        let mut at = 0;
        let value = parse_value(bytes, &mut at)?;
        Some(value)
    }
}

fn skip(b: &[u8], at: &mut usize) {
    while *at < b.len() && b[*at].is_ascii_whitespace() {
        *at += 1;
    }
}

fn parse_value(b: &[u8], at: &mut usize) -> Option<Json> {
    skip(b, at);
    match *b.get(*at)? {
        b'{' => {
            *at += 1;
            let mut map = Vec::new();
            loop {
                skip(b, at);
                match *b.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Map(map));
                    }
                    b',' => *at += 1,
                    _ => {
                        let key = parse_value(b, at)?.text();
                        skip(b, at);
                        *at += 1; // the colon
                        map.push((key, parse_value(b, at)?));
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip(b, at);
                match *b.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(list));
                    }
                    b',' => *at += 1,
                    _ => list.push(parse_value(b, at)?),
                }
            }
        }
        b'"' => {
            *at += 1;
            let mut out = Vec::new();
            loop {
                match *b.get(*at)? {
                    b'"' => {
                        *at += 1;
                        return Some(Json::Str(String::from_utf8(out).ok()?));
                    }
                    b'\\' => {
                        let c = *b.get(*at + 1)?;
                        *at += 2;
                        match c {
                            b'n' => out.push(b'\n'),
                            b'r' => out.push(b'\r'),
                            b't' => out.push(b'\t'),
                            b'u' => {
                                let hex = std::str::from_utf8(b.get(*at..*at + 4)?).ok()?;
                                *at += 4;
                                let c = char::from_u32(u32::from_str_radix(hex, 16).ok()?)?;
                                out.extend_from_slice(c.to_string().as_bytes());
                            }
                            other => out.push(other),
                        }
                    }
                    c => {
                        out.push(c);
                        *at += 1;
                    }
                }
            }
        }
        b't' => {
            *at += 4;
            Some(Json::Bool(true))
        }
        b'f' => {
            *at += 5;
            Some(Json::Bool(false))
        }
        b'n' => {
            *at += 4;
            Some(Json::Null)
        }
        _ => {
            let start = *at;
            while *at < b.len() && b"+-.eE0123456789".contains(&b[*at]) {
                *at += 1;
            }
            std::str::from_utf8(&b[start..*at]).ok()?.parse().ok().map(Json::Num)
        }
    }
}

const B64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn encode64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let n = (u32::from(part[0]) << 16)
            | (u32::from(*part.get(1).unwrap_or(&0)) << 8)
            | u32::from(*part.get(2).unwrap_or(&0));
        for i in 0..4 {
            match i <= part.len() {
                true => out.push(B64[(n >> (18 - 6 * i)) as usize & 63] as char),
                false => out.push('='),
            }
        }
    }
    out
}

pub fn decode64(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let (mut n, mut bits) = (0u32, 0);
    for c in text.bytes().filter(|c| *c != b'=') {
        let Some(v) = B64.iter().position(|b| *b == c) else { continue };
        n = (n << 6) | v as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            out.push((n >> bits) as u8);
            n &= (1 << bits) - 1;
        }
    }
    out
}

// ---------------------------------------------------------------- state

#[derive(Clone, Debug)]
pub struct Row {
    pub value: Vec<u8>,
    pub version: u64,
    pub deleted: bool,
}

#[derive(Default)]
pub struct Store {
    pub rows: BTreeMap<(String, String, String), Row>,
    pub version: u64,
}

impl Store {
    pub fn put(&mut self, table: &str, part: &str, key: &str, value: &[u8]) -> u64 {
        self.version += 1;
        self.write(table, part, key, value);
        self.version
    }
    fn write(&mut self, table: &str, part: &str, key: &str, value: &[u8]) {
        let row = Row { value: value.to_vec(), version: self.version, deleted: false };
        self.rows.insert((table.into(), part.into(), key.into()), row);
    }
    pub fn remove(&mut self, table: &str, part: &str, key: &str) {
        if let Some(row) = self.rows.get_mut(&(table.into(), part.into(), key.into())) {
            if !row.deleted {
                self.version += 1;
                row.version = self.version;
                row.deleted = true;
            }
        }
    }
    fn version_of(&self, table: &str, part: &str, key: &str) -> u64 {
        let row = self.rows.get(&(table.into(), part.into(), key.into()));
        row.filter(|r| !r.deleted).map_or(0, |r| r.version)
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Commit {
    pub term: u64,
    /// Item, data and statement id of each write.
    pub writes: Vec<(String, String, String)>,
}

pub struct Member {
    pub id: String,
    pub zone: String,
    pub port: u16,
    pub alive: bool,
    pub primary: bool,
    pub term: u64,
    pub log: Vec<Commit>,
    /// When each commit was received.
    pub received_at: Vec<Instant>,
    /// The member receives nothing from the primary.
    pub deaf: bool,
    /// Time from receipt to application at a replica.
    pub lag: Duration,
    pub draining: bool,
    pub listed: bool,
    pub sequence: u64,
    pub born: u64,
    pub dead_since: Option<Instant>,
    pub superseded_since: Option<Instant>,
    pub connections: usize,
}

impl Member {
    fn applied(&self) -> usize {
        match self.primary {
            true => self.log.len(),
            false => self.received_at.iter().take_while(|at| at.elapsed() >= self.lag).count(),
        }
    }
    fn position(&self, length: usize) -> String {
        match length {
            0 => "-".into(),
            n => format!("{}.{}", self.log[n - 1].term, n),
        }
    }
    fn status(&self) -> String {
        let role = if self.primary { "primary" } else { "replica" };
        let received = self.position(self.log.len());
        format!("{role} {} {received} 0 {} 0 {}", self.term, self.lag.as_millis(), self.connections)
    }
    fn holds(&self, position: &str) -> bool {
        let n = self.applied();
        let want = position.split_once('.').and_then(|(t, n)| {
            Some((t.parse::<u64>().ok()?, n.parse::<usize>().ok()?))
        });
        let Some(want) = want else { return true };
        n > 0 && (self.log[n - 1].term, n) >= want
    }
}

/// A statement that a member ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub member: String,
    pub connection: u64,
    pub caller: String,
    pub id: String,
    /// The statement; an EXECUTE is written out as `EXECUTE[access shape] item data`.
    pub text: String,
    pub mac: String,
}

pub struct State {
    pub store: Store,
    pub members: Vec<Member>,
    pub service: String,
    pub sync_replicas: u64,
    pub promote_after: Duration,
    pub runs: Vec<Run>,
    /// Member, term and instant of each promote that took effect.
    pub promotes: Vec<(String, u64, Instant)>,
    pub orders: Vec<String>,
    pub started: Instant,
    pub record: Option<File>,
}

impl State {
    pub fn note(&mut self, line: &str) {
        let at = self.started.elapsed().as_secs_f64();
        if let Some(file) = &mut self.record {
            let _ = writeln!(file, "{at:9.4} {line}");
        }
    }
    pub fn index(&self, id: &str) -> usize {
        self.members.iter().position(|m| m.id == id).expect("a member of this name")
    }
}

/// How the store answers one host.
#[derive(Clone, Copy, PartialEq)]
pub enum StoreMode {
    Serving,
    Busy,
}

#[derive(Clone)]
pub struct World {
    pub state: Arc<Mutex<State>>,
    pub stop: Arc<AtomicBool>,
    pub next: Arc<AtomicU64>,
}

impl World {
    pub fn new(record: &str, sync_replicas: u64) -> World {
        let state = State {
            store: Store::default(),
            members: Vec::new(),
            service: "dele69a".into(),
            sync_replicas,
            promote_after: ms(1000),
            runs: Vec::new(),
            promotes: Vec::new(),
            orders: Vec::new(),
            started: Instant::now(),
            record: File::create(record).ok(),
        };
        World {
            state: Arc::new(Mutex::new(state)),
            stop: Arc::default(),
            next: Arc::new(AtomicU64::new(1)),
        }
    }
    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }
    pub fn note(&self, line: &str) {
        self.lock().note(line);
    }
    pub fn id(&self) -> String {
        let n = self.next.fetch_add(1, Ordering::Relaxed);
        format!("{:016x}", 0x5c0e_7a21_0000_0000u64 + n)
    }

    /// Writes a configuration. `routes` are hostname, type, maxStalenessMs.
    pub fn configure(&self, version: u64, routes: &[(&str, &str, u64)]) {
        self.configure_with(version, routes, None);
    }

    /// Writes a configuration; with `tenants`, their list, and routes that need a key.
    pub fn configure_with(&self, version: u64, routes: &[(&str, &str, u64)], tenants: Option<&str>) {
        let public = if tenants.is_some() { ",\"public\":false" } else { "" };
        let tenants = tenants.map_or(String::new(), |list| format!("\"tenants\":{list},"));
        let mut state = self.lock();
        let service = state.service.clone();
        let routes: Vec<String> = routes
            .iter()
            .map(|(host, kind, stale)| {
                let stale = match stale {
                    0 => String::new(),
                    n => format!(",\"maxStalenessMs\":{n}"),
                };
                format!(
                    "{{\"name\":\"r-{host}\",\"hostname\":\"{host}\",\"prefix\":\"/\",\"type\":\"{kind}\",\
                     \"timeoutMs\":800,\"targetLatencyMs\":400,\"priority\":1,\"service\":\"{service}\",\
                     \"maxAttempts\":2{stale}{public}}}"
                )
            })
            .collect();
        let text = format!(
            "{{\"version\":{version},{tenants}\"routes\":[{}],\"services\":[{{\"name\":\"{service}\",\
             \"healthPath\":\"/health\",\"maxConns\":28,\"protocol\":\"h1\",\"tls\":false,\
             \"syncReplicas\":{}}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\
             \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000,\"txIdleMs\":3000}}}}",
            routes.join(","),
            state.sync_replicas
        );
        state.note(&format!("operator writes op/config {text}"));
        state.store.put("op", "", "config", text.as_bytes());
    }

    /// Starts a member. The first one leads term 3.
    pub fn add_member(&self, id: &str, zone: &str) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let port = listener.local_addr().expect("an address").port();
        let mut state = self.lock();
        let leader = state.members.iter().position(|m| m.primary && m.alive);
        // A new member starts with the log that was transferred to it.
        let log = leader.map_or(Vec::new(), |i| state.members[i].log.clone());
        let term = leader.map_or(3, |i| state.members[i].term);
        let now = Instant::now();
        state.note(&format!("member {id} starts ({})", if leader.is_none() { "primary" } else { "replica" }));
        let born = 1_790_000_000_000 + self.next.fetch_add(1, Ordering::Relaxed);
        state.members.push(Member {
            id: id.into(),
            zone: zone.into(),
            port,
            alive: true,
            primary: leader.is_none(),
            term,
            received_at: vec![now; log.len()],
            log,
            deaf: false,
            lag: ms(20),
            draining: false,
            listed: true,
            sequence: 0,
            born,
            dead_since: None,
            superseded_since: None,
            connections: 0,
        });
        let index = state.members.len() - 1;
        beat(&mut state, index);
        drop(state);
        let world = self.clone();
        thread::spawn(move || world.serve_member(index, listener));
    }

    /// Starts heartbeats and replication.
    pub fn start_clockwork(&self) {
        let world = self.clone();
        thread::spawn(move || {
            let mut beaten = Instant::now();
            while !world.stop.load(Ordering::Relaxed) {
                pause(2);
                let mut state = world.lock();
                let due = beaten.elapsed() >= HEARTBEAT;
                if due {
                    beaten = Instant::now();
                }
                for i in 0..state.members.len() {
                    if due && state.members[i].alive {
                        beat(&mut state, i);
                    }
                    // The entry goes after three intervals of silence.
                    let gone = state.members[i].dead_since.is_some_and(|at| at.elapsed() > HEARTBEAT * 3);
                    if gone && state.members[i].listed {
                        state.members[i].listed = false;
                        let id = state.members[i].id.clone();
                        state.note(&format!("entry of {id} expires"));
                        state.store.remove("servers", "", &id);
                    }
                    replicate(&mut state, i);
                }
            }
        });
    }

    pub fn crash(&self, id: &str) {
        let mut state = self.lock();
        let i = state.index(id);
        state.members[i].alive = false;
        state.members[i].dead_since = Some(Instant::now());
        state.note(&format!("member {id} crashes"));
    }
    pub fn drain(&self, id: &str) {
        let mut state = self.lock();
        let i = state.index(id);
        state.members[i].draining = true;
        beat(&mut state, i);
        state.note(&format!("member {id} reports draining"));
    }
    pub fn set_deaf(&self, id: &str, deaf: bool) {
        let mut state = self.lock();
        let i = state.index(id);
        state.members[i].deaf = deaf;
        state.note(&format!("member {id} {}", if deaf { "receives nothing from here on" } else { "receives again" }));
    }

    fn serve_member(&self, index: usize, listener: TcpListener) {
        listener.set_nonblocking(true).expect("non-blocking");
        while !self.stop.load(Ordering::Relaxed) && self.lock().members[index].alive {
            match listener.accept() {
                Ok((stream, _)) => {
                    let world = self.clone();
                    thread::spawn(move || {
                        world.lock().members[index].connections += 1;
                        let _ = world.serve_connection(index, stream);
                        world.lock().members[index].connections -= 1;
                    });
                }
                Err(_) => pause(1),
            }
        }
    }

    fn serve_connection(&self, index: usize, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_nonblocking(false)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(ms(10)))?;
        let connection = self.next.fetch_add(1, Ordering::Relaxed);
        let mut session = Session { connection, ..Session::default() };
        let mut input = Vec::new();
        let mut buffer = [0; 65536];
        loop {
            while let Some(line) = take_line(&mut input) {
                let Some(reply) = self.answer(index, &mut session, &line) else {
                    return Ok(()); // the member crashed or the caller quit
                };
                stream.write_all(reply.as_bytes())?;
                if session.closed {
                    return Ok(());
                }
            }
            if self.stop.load(Ordering::Relaxed) || !self.lock().members[index].alive {
                return Ok(());
            }
            match stream.read(&mut buffer) {
                Ok(0) => return Ok(()),
                Ok(n) => input.extend_from_slice(&buffer[..n]),
                Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
                Err(e) => return Err(e),
            }
        }
    }

    fn answer(&self, index: usize, session: &mut Session, line: &str) -> Option<String> {
        let (word, rest) = line.split_once(' ').unwrap_or((line, ""));
        if word == "QUIT" {
            return None;
        }
        if !session.greeted {
            let fields: Vec<&str> = rest.split(' ').collect();
            let state = self.lock();
            let member = &state.members[index];
            let right = word == "CONNECT"
                && fields.first() == Some(&state.service.as_str())
                && fields.get(2).is_none_or(|id| *id == member.id);
            session.greeted = right;
            session.closed = !right;
            session.caller = fields.get(1).map_or(String::new(), |name| (*name).to_owned());
            return Some(match right {
                true => format!("READY I {}\r\n", member.position(member.applied())),
                false => format!("ERROR MOVED {}\r\n", member.id),
            });
        }
        let (id, text) = rest.split_once(' ').unwrap_or((rest, ""));
        if word != "QUERY" {
            session.closed = true;
            return Some("ERROR MALFORMED word\r\n".into());
        }
        let done = self.execute(index, session, id, text)?;
        let mut reply = String::new();
        match done {
            Ok((rows, mac)) => {
                for row in rows {
                    reply += &format!("ROW {row}\r\n");
                }
                reply += &format!("COMPLETE {mac}\r\n");
            }
            Err(code) => {
                let state = self.lock();
                reply += &format!("ERROR {code} {}\r\n", state.members[index].id);
                session.failed |= session.open.is_some();
            }
        }
        let state = self.lock();
        let member = &state.members[index];
        let letter = match (&session.open, session.failed) {
            (None, _) => 'I',
            (Some(_), false) => 'T',
            (Some(_), true) => 'E',
        };
        reply += &format!("READY {letter} {}\r\n", member.position(member.applied()));
        Some(reply)
    }

    /// Runs a statement. `None`: the member crashed before it could answer.
    #[allow(clippy::type_complexity)]
    fn execute(
        &self,
        index: usize,
        session: &mut Session,
        id: &str,
        text: &str,
    ) -> Option<Result<(Vec<String>, String), &'static str>> {
        let mut text = text.to_owned();
        let mut since = None;
        if let Some(rest) = text.strip_prefix("SINCE ") {
            let (position, rest) = rest.split_once(' ').unwrap_or((rest, ""));
            since = Some(position.to_owned());
            text = rest.to_owned();
        }
        let (word, rest) = text.split_once(' ').map_or((text.clone(), String::new()), |(a, b)| (a.into(), b.into()));
        let none = || Some(Ok((Vec::new(), "-".to_owned())));
        match word.as_str() {
            "STATUS" => return Some(Ok((vec![self.lock().members[index].status()], "-".into()))),
            "STEPDOWN" => {
                let mut state = self.lock();
                let term: u64 = rest.trim().parse().unwrap_or(0);
                let member = &mut state.members[index];
                if member.primary && member.term < term {
                    member.primary = false;
                    let id = member.id.clone();
                    state.note(&format!("member {id} steps down (STEPDOWN {term})"));
                }
                return Some(Ok((vec![state.members[index].status()], "-".into())));
            }
            "RESET" => {
                session.values.clear();
                session.prepared.clear();
                return none();
            }
            "SET" => {
                let (name, value) = rest.split_once(' ').unwrap_or((&rest, ""));
                session.values.insert(name.into(), value.into());
                return none();
            }
            "PREPARE" => {
                // PREPARE name READ|WRITE shape; the shape extends to the end of the line.
                let mut fields = rest.splitn(3, ' ');
                let (name, access, shape) = (fields.next(), fields.next(), fields.next());
                let (Some(name), Some(access @ ("READ" | "WRITE")), Some(shape)) = (name, access, shape) else {
                    return Some(Err("MALFORMED"));
                };
                session.prepared.insert(name.into(), (access.into(), shape.into()));
                return none();
            }
            "DEALLOC" => {
                return match session.prepared.remove(&rest) {
                    Some(_) => none(),
                    None => Some(Err("NOSTMT")),
                }
            }
            "ROLLBACK" => {
                session.open = None;
                session.failed = false;
                return none();
            }
            _ => {}
        }
        if session.failed && word != "COMMIT" {
            return Some(Err("MALFORMED"));
        }
        thread::sleep(ms(2));
        let state = self.lock();
        if !state.members[index].alive {
            return None;
        }
        if since.is_some_and(|position| !state.members[index].holds(&position)) {
            return Some(Err("LAGGING"));
        }
        let leads = state.members[index].primary;
        if word == "BEGIN" {
            if rest != "READ" && !leads {
                return Some(Err("READONLY"));
            }
            session.open = Some(Vec::new());
            session.read_only = rest == "READ";
            return none();
        }
        let lost_lead = session.open.is_some() && !session.read_only && !leads;
        if word == "COMMIT" {
            let Some(writes) = session.open.take() else { return Some(Err("MALFORMED")) };
            if std::mem::take(&mut session.failed) {
                return Some(Err("ABORTED"));
            }
            if lost_lead && !writes.is_empty() {
                return Some(Err("READONLY"));
            }
            return self.finish(state, index, session, id, &text, writes, Vec::new());
        }
        // READ, WRITE and EXECUTE.
        let (access, target, shown) = match word.as_str() {
            "READ" | "WRITE" => (word.clone(), rest.clone(), text.clone()),
            "EXECUTE" => {
                let (name, tail) = rest.split_once(' ').unwrap_or((&rest, ""));
                let Some((access, shape)) = session.prepared.get(name).cloned() else {
                    return Some(Err("NOSTMT"));
                };
                let shown = format!("EXECUTE[{access} {shape}] {tail}");
                (access, tail.to_owned(), shown)
            }
            _ => return Some(Err("MALFORMED")),
        };
        if lost_lead || (access == "WRITE" && !leads) {
            return Some(Err("READONLY"));
        }
        let (item, data) = target.split_once(' ').unwrap_or((&target, ""));
        if access == "WRITE" {
            let write = (item.to_owned(), data.to_owned(), id.to_owned());
            if let Some(open) = &mut session.open {
                open.push(write);
                return self.finish(state, index, session, id, &shown, Vec::new(), Vec::new());
            }
            return self.finish(state, index, session, id, &shown, vec![write], Vec::new());
        }
        let member = &state.members[index];
        let commits = &member.log[..member.applied()];
        let found = commits.iter().rev().find_map(|c| c.writes.iter().rev().find(|w| w.0 == item));
        let row = found.map_or("none".to_owned(), |w| w.1.clone());
        self.finish(state, index, session, id, &shown, Vec::new(), vec![row])
    }

    /// Appends a commit, waits for a replica if the service asks for it, and signs.
    #[allow(clippy::too_many_arguments, clippy::type_complexity)]
    fn finish(
        &self,
        mut state: MutexGuard<'_, State>,
        index: usize,
        session: &Session,
        id: &str,
        shown: &str,
        writes: Vec<(String, String, String)>,
        rows: Vec<String>,
    ) -> Option<Result<(Vec<String>, String), &'static str>> {
        let member = &mut state.members[index];
        let name = member.id.clone();
        let term = member.term;
        let mac = format!("{term}.{}.{}", session.connection, self.next.fetch_add(1, Ordering::Relaxed));
        let wrote = !writes.is_empty();
        if wrote {
            member.log.push(Commit { term, writes });
            member.received_at.push(Instant::now());
        }
        let number = member.log.len();
        let shown_rows = rows.join("|");
        let line = match wrote {
            true => format!("{name} conn {} ({}) runs {id} {shown:?} as commit {term}.{number}", session.connection, session.caller),
            false => format!("{name} conn {} ({}) runs {id} {shown:?} rows {shown_rows:?}", session.connection, session.caller),
        };
        state.note(&line);
        state.runs.push(Run {
            member: name,
            connection: session.connection,
            caller: session.caller.clone(),
            id: id.into(),
            text: shown.into(),
            mac: mac.clone(),
        });
        let wait_for = state.sync_replicas;
        drop(state);
        while wrote && wait_for > 0 {
            let state = self.lock();
            let leader = &state.members[index];
            if !leader.alive {
                return None;
            }
            let entry = leader.log.get(number - 1).cloned();
            let held = |m: &Member| m.alive && m.id != leader.id && m.log.get(number - 1) == entry.as_ref();
            if state.members.iter().filter(|m| held(m)).count() as u64 >= wait_for {
                break;
            }
            drop(state);
            pause(1);
        }
        match self.lock().members[index].alive {
            true => Some(Ok((rows, mac))),
            false => None,
        }
    }

    /// Opens a port of the store and of `/failover`; `mode` can change while it serves.
    pub fn open_store(&self, mode: Arc<Mutex<StoreMode>>) -> u16 {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let port = listener.local_addr().expect("an address").port();
        let world = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (world, mode) = (world.clone(), mode.clone());
                thread::spawn(move || {
                    let _ = world.serve_http(stream, &mode);
                });
            }
        });
        port
    }

    fn serve_http(&self, mut stream: TcpStream, mode: &Mutex<StoreMode>) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut input: Vec<u8> = Vec::new();
        let mut buffer = [0; 65536];
        loop {
            let end = loop {
                if let Some(at) = input.windows(4).position(|w| w == b"\r\n\r\n") {
                    break at + 4;
                }
                match stream.read(&mut buffer)? {
                    0 => return Ok(()),
                    n => input.extend_from_slice(&buffer[..n]),
                }
            };
            let head = String::from_utf8_lossy(&input[..end]).into_owned();
            let header = |name: &str| {
                head.lines().find_map(|l| {
                    let (k, v) = l.split_once(':')?;
                    k.eq_ignore_ascii_case(name).then(|| v.trim().to_owned())
                })
            };
            let length: usize = header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
            while input.len() < end + length {
                match stream.read(&mut buffer)? {
                    0 => return Ok(()),
                    n => input.extend_from_slice(&buffer[..n]),
                }
            }
            let body: Vec<u8> = input[end..end + length].to_vec();
            input.drain(..end + length);
            let mut words = head.split(' ');
            let (_method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
            let (path, query) = target.split_once('?').unwrap_or((target, ""));
            let query: HashMap<String, String> = query
                .split('&')
                .filter_map(|p| p.split_once('='))
                .map(|(k, v)| (unescape(k), unescape(v)))
                .collect();
            let refused = path != "/failover" && *mode.lock().expect("mode") == StoreMode::Busy;
            let (status, reply) = match refused {
                true => (503, "{}".to_owned()),
                false => {
                    let holder = (header("lease-holder"), header("fence-token"));
                    self.call(path, &query, &body, holder, mode)
                }
            };
            let text = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{reply}",
                reply.len()
            );
            stream.write_all(text.as_bytes())?;
        }
    }

    fn call(
        &self,
        path: &str,
        query: &HashMap<String, String>,
        body: &[u8],
        holder: (Option<String>, Option<String>),
        mode: &Mutex<StoreMode>,
    ) -> (u16, String) {
        let get = |name: &str| query.get(name).cloned().unwrap_or_default();
        match path {
            "/v1/rows-get" => {
                pause(4);
                let state = self.lock();
                let from = get("fromRev");
                let rows = state.store.rows.iter().filter(|((t, p, k), r)| {
                    *t == get("table") && *p == get("part") && !r.deleted && *k >= from
                });
                let rows: Vec<String> = rows.map(|(key, row)| row_json(key, row)).collect();
                (200, page(&state, &rows, true))
            }
            "/v1/rows-feed" => {
                let after: u64 = get("after").parse().unwrap_or(0);
                let wait: u64 = get("waitTimeoutMs").parse().unwrap_or(0);
                let until = Instant::now() + ms(wait);
                loop {
                    if *mode.lock().expect("mode") == StoreMode::Busy {
                        return (503, "{}".into());
                    }
                    let state = self.lock();
                    let rows = state.store.rows.iter().filter(|((t, _, _), r)| *t == get("table") && r.version > after);
                    let mut rows: Vec<_> = rows.collect();
                    rows.sort_by_key(|(_, r)| r.version);
                    if !rows.is_empty() || Instant::now() >= until || self.stop.load(Ordering::Relaxed) {
                        let rows: Vec<String> = rows.iter().map(|(k, r)| row_json(k, r)).collect();
                        return (200, page(&state, &rows, false));
                    }
                    drop(state);
                    pause(5);
                }
            }
            "/v1/rows-tx" => {
                pause(4);
                let Some(body) = Json::parse(body) else { return (400, "{}".into()) };
                let mut state = self.lock();
                let key = |j: &Json| (j.get("table").text(), j.get("part").text(), j.get("key").text());
                let differs = body.get("expected").list().iter().any(|j| {
                    let (t, p, k) = key(j);
                    state.store.version_of(&t, &p, &k) != j.get("rowVersion").num()
                });
                if differs {
                    let rows: Vec<String> = body
                        .get("expected")
                        .list()
                        .iter()
                        .filter_map(|j| {
                            let row = state.store.rows.get(&key(j)).filter(|r| !r.deleted)?;
                            Some(row_json(&key(j), row))
                        })
                        .collect();
                    return (412, page(&state, &rows, false));
                }
                for j in body.get("remove").list() {
                    let (t, p, k) = key(j);
                    state.store.remove(&t, &p, &k);
                }
                state.store.version += 1;
                for j in body.get("puts").list() {
                    let (t, p, k) = key(j);
                    let value = decode64(&j.get("value").text());
                    let text = String::from_utf8_lossy(&value).into_owned();
                    state.store.write(&t, &p, &k, &value);
                    if !t.contains("presence") {
                        state.note(&format!("store: {t}/{k} = {text}"));
                    }
                }
                (200, page(&state, &[], false))
            }
            "/failover" => {
                let Some(body) = Json::parse(body) else { return (400, "{}".into()) };
                let id = body.get("id").text();
                let (name, token) = (holder.0.unwrap_or_default(), holder.1.unwrap_or_default());
                let mut state = self.lock();
                let line = format!("POST /failover {id} by {name} token {token}");
                state.note(&line);
                state.orders.push(line);
                let found = state.members.iter().position(|m| m.id == id && m.alive);
                let Some(index) = found else { return (409, "{}".into()) };
                if !state.members[index].primary {
                    let wait = state.promote_after;
                    let world = self.clone();
                    thread::spawn(move || {
                        thread::sleep(wait);
                        world.promote(index);
                    });
                }
                (200, "{}".into())
            }
            _ => (404, "{}".into()),
        }
    }

    fn promote(&self, index: usize) {
        let mut state = self.lock();
        if !state.members[index].alive || state.members[index].primary {
            return;
        }
        let term = state.members.iter().map(|m| m.term).max().unwrap_or(0) + 1;
        let member = &mut state.members[index];
        member.primary = true;
        member.term = term;
        let (id, length) = (member.id.clone(), member.log.len());
        state.note(&format!("member {id} leads term {term} with {length} commits"));
        state.promotes.push((id, term, Instant::now()));
        beat(&mut state, index);
    }
}

fn page(state: &State, rows: &[String], more: bool) -> String {
    let more = if more { ",\"hasMore\":false" } else { "" };
    let time = state.started.elapsed().as_secs_f64() * 1000.0 + 51_000.0;
    format!(
        "{{\"rows\":[{}]{more},\"rowVersion\":{},\"serverTimeMs\":{time:.3}}}",
        rows.join(","),
        state.store.version
    )
}

fn row_json(key: &(String, String, String), row: &Row) -> String {
    let deleted = if row.deleted { ",\"deleted\":true" } else { "" };
    format!(
        "{{\"table\":\"{}\",\"part\":\"{}\",\"key\":\"{}\",\"value\":\"{}\",\"rowVersion\":{}{deleted}}}",
        key.0,
        key.1,
        key.2,
        encode64(&row.value),
        row.version
    )
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        match bytes[at] {
            b'%' if at + 2 < bytes.len() => {
                let hex = std::str::from_utf8(&bytes[at + 1..at + 3]).unwrap_or("20");
                out.push(u8::from_str_radix(hex, 16).unwrap_or(b' '));
                at += 3;
            }
            b'+' => {
                out.push(b' ');
                at += 1;
            }
            other => {
                out.push(other);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Writes the member's entry.
fn beat(state: &mut State, index: usize) {
    let service = state.service.clone();
    let member = &mut state.members[index];
    member.sequence += 1;
    let (word, role) = (
        if member.draining { "draining" } else { "ready" },
        if member.primary { "primary" } else { "replica" },
    );
    let entry = format!(
        "{{\"service\":\"{service}\",\"endpoint\":\"127.0.0.1:{}\",\"zone\":\"{}\",\"version\":\"v1\",\
         \"capacity\":2,\"state\":\"{word}\",\"coldLeftMs\":0,\"dbRole\":\"{role}\",\"sequence\":{},\
         \"born\":{}}}",
        member.port, member.zone, member.sequence, member.born
    );
    let id = member.id.clone();
    state.store.put("servers", "", &id, entry.as_bytes());
}

/// Lets a replica receive from the primary of the newest term, and a superseded primary
/// become a replica one second after it can reach its successor.
fn replicate(state: &mut State, index: usize) {
    let leader = state
        .members
        .iter()
        .enumerate()
        .filter(|(_, m)| m.alive && m.primary)
        .max_by_key(|(_, m)| m.term)
        .map(|(i, _)| i);
    let Some(leader) = leader.filter(|i| *i != index) else { return };
    let (term, log) = (state.members[leader].term, state.members[leader].log.clone());
    let member = &mut state.members[index];
    if !member.alive || member.deaf || member.term > term {
        return;
    }
    if member.primary {
        let since = *member.superseded_since.get_or_insert_with(Instant::now);
        if since.elapsed() >= ms(1000) {
            member.primary = false;
            member.superseded_since = None;
        }
        return;
    }
    member.term = term;
    let common = member.log.iter().zip(&log).take_while(|(a, b)| a == b).count();
    let dropped = member.log.len() - common;
    member.log.truncate(common);
    member.received_at.truncate(common);
    for commit in &log[common..] {
        member.log.push(commit.clone());
        member.received_at.push(Instant::now());
    }
    if dropped > 0 {
        let id = member.id.clone();
        state.note(&format!("member {id} rolls {dropped} commits back"));
    }
}

#[derive(Default)]
struct Session {
    connection: u64,
    greeted: bool,
    closed: bool,
    /// Who connects, as the greeting says.
    caller: String,
    values: HashMap<String, String>,
    prepared: HashMap<String, (String, String)>,
    /// Writes of the open transaction.
    open: Option<Vec<(String, String, String)>>,
    read_only: bool,
    failed: bool,
}

/// Takes one message: a line that ends with CR LF.
pub fn take_line(input: &mut Vec<u8>) -> Option<String> {
    let end = input.windows(2).position(|w| w == b"\r\n")?;
    let line: Vec<u8> = input.drain(..end + 2).take(end).collect();
    Some(String::from_utf8_lossy(&line).into_owned())
}

// ---------------------------------------------------------------- daemons

pub struct Host {
    pub name: String,
    pub front: u16,
    pub ready: u16,
    pub child: Child,
    pub store_mode: Arc<Mutex<StoreMode>>,
}

pub struct Site {
    pub world: World,
    pub hosts: Vec<Host>,
    pub folder: std::path::PathBuf,
}

/// Returns a free port below the range from which outgoing connections get theirs.
fn free_port() -> u16 {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    loop {
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = 12_000 + ((u64::from(std::process::id()) * 41 + step * 7) % 18_000) as u16;
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

impl Site {
    /// Starts one daemon in each of `zones` with the command of the deploy file and
    /// settings as its template gives them.
    pub fn start(world: World, folder: &str, zones: &[&str]) -> Option<Site> {
        let mut site = Site { world: world.clone(), hosts: Vec::new(), folder: folder.into() };
        let failover = world.open_store(Arc::new(Mutex::new(StoreMode::Serving)));
        for (index, zone) in zones.iter().enumerate() {
            let store_mode = Arc::new(Mutex::new(StoreMode::Serving));
            let store = world.open_store(store_mode.clone());
            let name = format!("edge-{zone}-{}", index + 1);
            let ports = [free_port(), free_port(), free_port(), free_port()];
            let settings = format!(
                "host = \"{name}\"\ndata_centre = \"{zone}\"\ncaller_address = \"127.0.0.1:{}\"\n\
                 readiness_address = \"127.0.0.1:{}\"\nmetrics_address = \"127.0.0.1:{}\"\n\
                 relay_address = \"127.0.0.1:{}\"\ngrace_s = 6\ndescriptor_limit = 6450\n\
                 promotion_address = \"127.0.0.1:{failover}\"\n\n[regions]\n\
                 nbo-a = \"nairobi\"\nmba-a = \"mombasa\"\nksm-a = \"kisumu\"\n\n[store]\naddress = \"127.0.0.1:{store}\"\n",
                ports[0], ports[1], ports[2], ports[3]
            );
            let path = site.folder.join(format!("{name}.toml"));
            std::fs::write(&path, settings).ok()?;
            let log = File::create(site.folder.join(format!("{name}.log"))).ok()?;
            let errors = log.try_clone().ok()?;
            let child = Command::new("target/release/cassiad")
                .args(["--managed", "--settings"])
                .arg(&path)
                .env("CASSIATRESTLE_NODE_FILE", &path)
                .stdin(Stdio::null())
                .stdout(log)
                .stderr(errors)
                .spawn()
                .ok()?;
            let pids = std::fs::OpenOptions::new().create(true).append(true).open(site.folder.join("pids"));
            writeln!(pids.ok()?, "{}", child.id()).ok()?;
            world.note(&format!("start {name}: target/release/cassiad --managed --settings {name}.toml"));
            site.hosts.push(Host { name, front: ports[0], ready: ports[1], child, store_mode });
        }
        Some(site)
    }

    /// Waits until all daemons are ready.
    pub fn await_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            if self.hosts.iter().all(|h| is_ready(h.ready)) {
                self.world.note("all daemons are ready");
                return true;
            }
            pause(100);
        }
        false
    }

    pub fn set_store(&self, host: usize, mode: StoreMode) {
        *self.hosts[host].store_mode.lock().expect("mode") = mode;
        let word = if mode == StoreMode::Busy { "answers 503" } else { "serves" };
        self.world.note(&format!("the store {word} to {}", self.hosts[host].name));
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for host in &mut self.hosts {
            let _ = host.child.kill();
            let _ = host.child.wait();
        }
        self.world.stop.store(true, Ordering::Relaxed);
    }
}

fn is_ready(port: u16) -> bool {
    let ask = || -> std::io::Result<String> {
        let mut stream = TcpStream::connect(("127.0.0.1", port))?;
        stream.set_read_timeout(Some(ms(500)))?;
        stream.write_all(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
        let mut text = String::new();
        stream.read_to_string(&mut text)?;
        Ok(text)
    };
    ask().is_ok_and(|text| text.starts_with("HTTP/1.1 200"))
}

// ---------------------------------------------------------------- clients

#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub rows: Vec<String>,
    /// The member's MAC, if the statement succeeded.
    pub mac: Option<String>,
    /// Code and text of the error.
    pub error: Option<String>,
    pub state: String,
}

pub struct Client {
    pub world: World,
    name: String,
    stream: TcpStream,
    input: Vec<u8>,
}

impl Client {
    pub fn connect(world: &World, name: &str, host: &Host, database: &str) -> Option<Client> {
        Client::connect_with(world, name, host, database, "u3f1")
    }

    /// Opens a session with a key; `None` if the daemon refuses it.
    pub fn connect_with(world: &World, name: &str, host: &Host, database: &str, key: &str) -> Option<Client> {
        let stream = TcpStream::connect(("127.0.0.1", host.front)).ok()?;
        stream.set_nodelay(true).ok()?;
        let mut client = Client { world: world.clone(), name: name.into(), stream, input: Vec::new() };
        client.send(&format!("CONNECT {database} {key}"));
        let line = client.line(ms(2000))?;
        world.note(&format!("client {name} at {}: CONNECT {database} {key} -> {line}", host.name));
        line.starts_with("READY").then_some(client)
    }

    fn send(&mut self, line: &str) {
        debug_assert!(line.len() < MESSAGE_MAX);
        let _ = self.stream.write_all(format!("{line}\r\n").as_bytes());
    }

    fn line(&mut self, wait: Duration) -> Option<String> {
        let until = Instant::now() + wait;
        let mut buffer = [0; 65536];
        loop {
            if let Some(line) = take_line(&mut self.input) {
                return Some(line);
            }
            let left = until.saturating_duration_since(Instant::now()).max(ms(1));
            self.stream.set_read_timeout(Some(left)).ok()?;
            match self.stream.read(&mut buffer) {
                Ok(0) | Err(_) => return None,
                Ok(n) => self.input.extend_from_slice(&buffer[..n]),
            }
        }
    }

    /// Sends a statement and waits for its answer; `None` if the connection ends first.
    pub fn query(&mut self, id: &str, text: &str) -> Option<Answer> {
        self.world.note(&format!("client {} sends {id} {text:?}", self.name));
        self.send(&format!("QUERY {id} {text}"));
        let mut answer = Answer::default();
        loop {
            let Some(line) = self.line(ms(4000)) else {
                self.world.note(&format!("client {} gets no answer to {id}", self.name));
                return None;
            };
            let (word, rest) = line.split_once(' ').unwrap_or((&line, ""));
            match word {
                "ROW" => answer.rows.push(rest.into()),
                "COMPLETE" => answer.mac = Some(rest.into()),
                "ERROR" => answer.error = Some(rest.into()),
                _ => {
                    answer.state = rest.into();
                    let shown = format!("{:?} mac {:?} error {:?}", answer.rows, answer.mac, answer.error);
                    self.world.note(&format!("client {} gets {id}: {shown}", self.name));
                    return Some(answer);
                }
            }
        }
    }
}
