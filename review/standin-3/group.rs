//! A service of members that speak the wire protocol.

use std::collections::{BTreeMap, HashMap};
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::json::quote;
use crate::record::Record;
use crate::store::Store;

/// The service of the first group, and that of a second one.
pub const SERVICE: &str = "birds";
pub const OTHER_SERVICE: &str = "quilts";

/// Zones of the members; the daemons are in the second one.
const ZONES: [&str; 3] = ["cp-a", "na-a", "wc-a"];

/// What a case needs of the members.
#[derive(Clone, Copy)]
pub struct GroupOptions {
    /// Statements that a member runs at the same time.
    pub slots: usize,
    /// Time that a read, write or commit takes in its slot.
    pub work: Duration,
    /// Rows of a read's answer, and the length of all but the first.
    pub rows: usize,
    pub row_bytes: usize,
    /// Time after which a replica applies a commit that it received.
    pub lag: Duration,
}

/// Position and number of the entries that a member has applied.
struct Applied {
    position: String,
    count: usize,
}

#[derive(Clone)]
struct Entry {
    committed_at: Instant,
    term: u64,
    item: String,
    data: String,
}

struct MemberState {
    is_primary: bool,
    term: u64,
    log: Vec<Entry>,
    /// Entries of the log that were applied so far.
    applied: usize,
    sequence: u64,
}

pub struct Member {
    pub id: String,
    /// Whether the process runs.
    is_running: AtomicBool,
    /// Whether the process runs and answers nothing.
    is_dark: AtomicBool,
    /// Open connections.
    streams: Mutex<Vec<TcpStream>>,
    zone: &'static str,
    pub address: SocketAddr,
    slots: Mutex<usize>,
    freed: Condvar,
    /// Statements that wait for a slot.
    waiting: Mutex<usize>,
}

pub struct Group {
    pub name: &'static str,
    pub members: Vec<Member>,
    states: Mutex<Vec<MemberState>>,
    options: GroupOptions,
    lag: Mutex<Duration>,
    record: Arc<Record>,
}

impl Group {
    pub fn start(
        name: &'static str,
        count: usize,
        options: GroupOptions,
        record: Arc<Record>,
    ) -> Arc<Group> {
        let mut listeners = Vec::new();
        let mut members = Vec::new();
        let mut states = Vec::new();
        for index in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port");
            members.push(Member {
                id: format!("i-{}{:06x}", &name[..2], 0x7a1000 + index * 4099),
                is_dark: AtomicBool::new(false),
                streams: Mutex::default(),
                is_running: AtomicBool::new(true),
                zone: ZONES[index % ZONES.len()],
                address: listener.local_addr().expect("an address"),
                slots: Mutex::new(options.slots),
                freed: Condvar::new(),
                waiting: Mutex::new(0),
            });
            states.push(MemberState {
                is_primary: index == 0,
                term: 1,
                log: vec![Entry {
                    committed_at: Instant::now() - options.lag,
                    term: 1,
                    item: "begin".to_owned(),
                    data: "-".to_owned(),
                }],
                applied: 1,
                sequence: 0,
            });
            listeners.push(listener);
        }
        let group = Arc::new(Group {
            name,
            members,
            states: Mutex::new(states),
            options,
            lag: Mutex::new(options.lag),
            record,
        });
        for (index, listener) in listeners.into_iter().enumerate() {
            let group = group.clone();
            thread::spawn(move || {
                listener.set_nonblocking(true).expect("a listener");
                // A member that is lost closes its port, so that connections are refused.
                while group.is_running(index) {
                    let Ok((stream, _)) = listener.accept() else {
                        thread::sleep(Duration::from_millis(1));
                        continue;
                    };
                    stream.set_nonblocking(false).ok();
                    if let Ok(copy) = stream.try_clone() {
                        group.members[index].streams.lock().unwrap().push(copy);
                    }
                    let group = group.clone();
                    thread::spawn(move || group.serve(index, stream));
                }
            });
        }
        group
    }

    /// Writes the entries of all members to the store every second.
    pub fn register(self: &Arc<Self>, store: &Arc<Store>) {
        let (group, store) = (self.clone(), store.clone());
        group.write_entries(&store);
        thread::spawn(move || loop {
            thread::sleep(Duration::from_secs(1));
            group.write_entries(&store);
        });
    }

    fn is_running(&self, index: usize) -> bool {
        self.members[index].is_running.load(Ordering::Relaxed)
    }

    /// Lets a member answer nothing, or answer again. Its entry goes after three heartbeats.
    pub fn set_dark(self: &Arc<Self>, index: usize, is_dark: bool, store: &Arc<Store>) {
        let id = &self.members[index].id;
        self.record.line(&format!(
            "member {id} {}",
            if is_dark { "goes dark" } else { "is back" }
        ));
        self.members[index]
            .is_dark
            .store(is_dark, Ordering::Relaxed);
        if is_dark {
            self.remove_later(index, store);
        } else {
            self.write_entries(store);
        }
    }

    /// Ends a member for good: its connections break, and new ones are refused. Its entry goes
    /// after three heartbeats.
    pub fn lose_member(self: &Arc<Self>, index: usize, store: &Arc<Store>) {
        let member = &self.members[index];
        self.record
            .line(&format!("member {} is lost for good", member.id));
        member.is_running.store(false, Ordering::Relaxed);
        for stream in member.streams.lock().unwrap().drain(..) {
            stream.shutdown(Shutdown::Both).ok();
        }
        self.remove_later(index, store);
    }

    /// Removes a member's entry after three heartbeats, unless it has answered again.
    fn remove_later(self: &Arc<Self>, index: usize, store: &Arc<Store>) {
        let (group, store) = (self.clone(), store.clone());
        thread::spawn(move || {
            thread::sleep(Duration::from_secs(3));
            let member = &group.members[index];
            if member.is_dark.load(Ordering::Relaxed) || !group.is_running(index) {
                group
                    .record
                    .line(&format!("the entry of member {} is removed", member.id));
                store.remove("servers", &member.id);
            }
        });
    }

    fn write_entries(&self, store: &Store) {
        let mut entries = Vec::new();
        {
            let mut states = self.states.lock().unwrap();
            for (member, state) in self.members.iter().zip(states.iter_mut()) {
                let is_dark = member.is_dark.load(Ordering::Relaxed);
                if is_dark || !member.is_running.load(Ordering::Relaxed) {
                    continue;
                }
                state.sequence += 1;
                let role = if state.is_primary {
                    "primary"
                } else {
                    "replica"
                };
                let entry = format!(
                    "{{\"service\":{},\"endpoint\":{},\"zone\":{},\"version\":\"1\",\
                     \"capacity\":{},\"state\":\"ready\",\"coldLeftMs\":0,\"sequence\":{},\
                     \"dbRole\":{},\"born\":1700000000000}}",
                    quote(self.name),
                    quote(&member.address.to_string()),
                    quote(member.zone),
                    self.options.slots,
                    state.sequence,
                    quote(role)
                );
                entries.push((member.id.clone(), entry));
            }
        }
        for (id, entry) in entries {
            store.put("servers", &id, &entry);
        }
    }

    /// Carries out a failover some hundred milliseconds later. Returns the status.
    pub fn promote(self: &Arc<Self>, id: &str) -> u16 {
        let found = self.members.iter().position(|member| member.id == id);
        let Some(index) = found.filter(|index| self.is_running(*index)) else {
            return 409;
        };
        let group = self.clone();
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(400));
            let mut states = group.states.lock().unwrap();
            if states[index].is_primary {
                return;
            }
            let term = states.iter().map(|state| state.term).max().unwrap_or(1) + 1;
            for state in states.iter_mut() {
                state.is_primary = false;
            }
            states[index].is_primary = true;
            states[index].term = term;
            replicate(&mut states);
        });
        200
    }

    /// Waits for a slot and returns whether the member had one for the statement.
    fn occupy(&self, index: usize) -> bool {
        let member = &self.members[index];
        {
            let mut waiting = member.waiting.lock().unwrap();
            if *waiting >= 24 {
                return false;
            }
            *waiting += 1;
        }
        let mut slots = member.slots.lock().unwrap();
        while *slots == 0 {
            slots = member.freed.wait(slots).unwrap();
        }
        *slots -= 1;
        drop(slots);
        *member.waiting.lock().unwrap() -= 1;
        true
    }

    fn leave(&self, index: usize) {
        let member = &self.members[index];
        *member.slots.lock().unwrap() += 1;
        member.freed.notify_one();
    }

    fn position(&self, index: usize) -> String {
        let mut states = self.states.lock().unwrap();
        self.applied(&mut states[index]).position
    }

    /// Lets the replicas apply commits only `lag` after they were made.
    pub fn set_lag(&self, lag: Duration) {
        let mut states = self.states.lock().unwrap();
        for state in states.iter_mut() {
            self.applied(state);
        }
        *self.lag.lock().unwrap() = lag;
    }

    fn applied(&self, state: &mut MemberState) -> Applied {
        let lag = *self.lag.lock().unwrap();
        let is_applied = |entry: &&Entry| state.is_primary || entry.committed_at.elapsed() >= lag;
        let count = state.log.iter().take_while(is_applied).count();
        state.applied = state.applied.max(count).min(state.log.len());
        Applied {
            position: position(&state.log[..state.applied]),
            count: state.applied,
        }
    }

    fn serve(&self, index: usize, stream: TcpStream) {
        stream.set_nodelay(true).ok();
        let Ok(mut output) = stream.try_clone() else {
            return;
        };
        let mut input = BufReader::new(stream);
        let mut session = Session::default();
        loop {
            let Some(line) = read_line(&mut input).filter(|_| self.is_running(index)) else {
                return;
            };
            if self.members[index].is_dark.load(Ordering::Relaxed) {
                // What reaches a dark member is not run, and its connection breaks later.
                while self.members[index].is_dark.load(Ordering::Relaxed) {
                    thread::sleep(Duration::from_millis(20));
                }
                return;
            }
            let mut fields = line.splitn(3, ' ');
            let (word, first) = (fields.next().unwrap_or(""), fields.next().unwrap_or(""));
            let rest = fields.next().unwrap_or("");
            let answer = match word {
                "CONNECT" => {
                    let mut names = rest.split(' ');
                    session.caller = names.next().unwrap_or("").to_owned();
                    let expected = names.next().unwrap_or("");
                    let id = &self.members[index].id;
                    if first != self.name || (!expected.is_empty() && expected != id) {
                        let refusal = format!("ERROR MOVED {id}\r\n");
                        output.write_all(refusal.as_bytes()).ok();
                        return;
                    }
                    format!("READY I {}\r\n", self.position(index)).into_bytes()
                }
                "QUERY" => self.run(index, &mut session, first, rest),
                _ => return,
            };
            if output.write_all(&answer).is_err() {
                return;
            }
        }
    }

    fn run(&self, index: usize, session: &mut Session, id: &str, text: &str) -> Vec<u8> {
        let is_own = id == "-";
        let result = self.execute(index, session, id, text);
        let state = if session.writes.is_some() { "T" } else { "I" };
        let ready = format!("READY {state} {}\r\n", self.position(index));
        let mut answer = Vec::new();
        match result {
            Ok(rows) => {
                for row in rows {
                    answer.extend_from_slice(b"ROW ");
                    answer.extend_from_slice(&row);
                    answer.extend_from_slice(b"\r\n");
                }
                let mac = match is_own {
                    true => "-".to_owned(),
                    false => format!("7.{id}.{}", self.record.next_number()),
                };
                answer.extend_from_slice(format!("COMPLETE {mac}\r\n").as_bytes());
            }
            Err(code) => {
                let line = format!("ERROR {code} {}\r\n", self.members[index].id);
                answer.extend_from_slice(line.as_bytes());
            }
        }
        answer.extend_from_slice(ready.as_bytes());
        answer
    }

    fn execute(
        &self,
        index: usize,
        session: &mut Session,
        id: &str,
        text: &str,
    ) -> Result<Vec<Vec<u8>>, &'static str> {
        let mut words = text.splitn(3, ' ');
        let mut word = words.next().unwrap_or("");
        let mut text = text;
        if word == "SINCE" {
            let since = words.next().unwrap_or("");
            text = words.next().unwrap_or("");
            let mut states = self.states.lock().unwrap();
            if number(&self.applied(&mut states[index]).position) < number(since) {
                return Err("LAGGING");
            }
            drop(states);
            words = text.splitn(3, ' ');
            word = words.next().unwrap_or("");
        }
        let item = words.next().unwrap_or("").to_owned();
        let data = words.next().unwrap_or("").to_owned();
        let is_primary = || self.states.lock().unwrap()[index].is_primary;
        match word {
            "STATUS" | "STEPDOWN" | "PAUSE" | "RESUME" => {
                // `STATUS` needs a free slot, the others do not.
                if word == "STATUS" && *self.members[index].slots.lock().unwrap() == 0 {
                    return Err("BUSY");
                }
                let mut states = self.states.lock().unwrap();
                let state = &mut states[index];
                if word == "STEPDOWN" && state.term < item.parse().unwrap_or(0) {
                    state.is_primary = false;
                }
                let role = if state.is_primary {
                    "primary"
                } else {
                    "replica"
                };
                let row = format!("{role} {} {} 0 0 1 1", state.term, position(&state.log));
                Ok(vec![row.into_bytes()])
            }
            "BEGIN" if item != "READ" && !is_primary() => Err("READONLY"),
            "BEGIN" => {
                session.writes = Some(Vec::new());
                Ok(Vec::new())
            }
            "ROLLBACK" => {
                session.writes = None;
                Ok(Vec::new())
            }
            "SET" => {
                session.values.insert(item, data);
                Ok(Vec::new())
            }
            "PREPARE" => {
                session.prepared.insert(item, data);
                Ok(Vec::new())
            }
            "DEALLOC" => match session.prepared.remove(&item) {
                Some(_) => Ok(Vec::new()),
                None => Err("NOSTMT"),
            },
            "RESET" => {
                session.values.clear();
                session.prepared.clear();
                Ok(Vec::new())
            }
            "READ" | "WRITE" | "EXECUTE" | "COMMIT" => {
                if !self.occupy(index) {
                    return Err("BUSY");
                }
                self.record
                    .ran(&self.members[index].id, &session.caller, id, text);
                thread::sleep(self.options.work);
                let result = self.apply(index, session, word, item, data);
                self.leave(index);
                result
            }
            _ => Err("MALFORMED"),
        }
    }

    fn apply(
        &self,
        index: usize,
        session: &mut Session,
        word: &str,
        item: String,
        data: String,
    ) -> Result<Vec<Vec<u8>>, &'static str> {
        let (mut word, mut item, mut data) = (word.to_owned(), item, data);
        if word == "EXECUTE" {
            let shape = session.prepared.get(&item).ok_or("NOSTMT")?;
            word = shape.split(' ').next().unwrap_or("").to_owned();
            let rest = data.clone();
            let (first, second) = rest.split_once(' ').unwrap_or((&rest, ""));
            (item, data) = (first.to_owned(), second.to_owned());
        }
        let mut states = self.states.lock().unwrap();
        match word.as_str() {
            "READ" => {
                let count = self.applied(&mut states[index]).count;
                let log = &states[index].log[..count];
                let found = log.iter().rev().find(|entry| entry.item == item);
                let value = found.map_or("", |entry| entry.data.as_str()).to_owned();
                drop(states);
                let mut rows = vec![value.into_bytes()];
                rows.extend((1..self.options.rows).map(|_| vec![b'x'; self.options.row_bytes]));
                Ok(rows)
            }
            "WRITE" if !states[index].is_primary => Err("READONLY"),
            "WRITE" => {
                let term = states[index].term;
                let committed_at = Instant::now();
                let entry = Entry {
                    committed_at,
                    term,
                    item,
                    data,
                };
                match &mut session.writes {
                    Some(writes) => writes.push(entry),
                    None => {
                        states[index].log.push(entry);
                        replicate(&mut states);
                    }
                }
                Ok(Vec::new())
            }
            "COMMIT" => {
                let writes = session.writes.take().unwrap_or_default();
                if !writes.is_empty() && !states[index].is_primary {
                    return Err("READONLY");
                }
                states[index].log.extend(writes);
                replicate(&mut states);
                Ok(Vec::new())
            }
            _ => Err("MALFORMED"),
        }
    }
}

#[derive(Default)]
struct Session {
    caller: String,
    /// Writes of the open transaction.
    writes: Option<Vec<Entry>>,
    values: BTreeMap<String, String>,
    prepared: HashMap<String, String>,
}

fn replicate(states: &mut [MemberState]) {
    let Some(primary) = states.iter().position(|state| state.is_primary) else {
        return;
    };
    let (log, term) = (states[primary].log.clone(), states[primary].term);
    for state in states.iter_mut() {
        state.log.clone_from(&log);
        state.term = term;
    }
}

fn position(log: &[Entry]) -> String {
    let term = log.last().map_or(1, |entry| entry.term);
    format!("{term}.{}", log.len())
}

fn number(position: &str) -> (u64, u64) {
    let (term, number) = position.split_once('.').unwrap_or(("0", "0"));
    (term.parse().unwrap_or(0), number.parse().unwrap_or(0))
}

/// Reads a message up to its CR LF.
pub fn read_line(input: &mut impl BufRead) -> Option<String> {
    let mut line = Vec::new();
    loop {
        if input.read_until(b'\n', &mut line).ok()? == 0 {
            return None;
        }
        if line.ends_with(b"\r\n") {
            line.truncate(line.len() - 2);
            return Some(String::from_utf8_lossy(&line).into_owned());
        }
    }
}
