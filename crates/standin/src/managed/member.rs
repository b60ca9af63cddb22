//! Members of a group that speak the line protocol.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Mutex as AsyncMutex;
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::framing::MessageReader;
use super::{lock, SiteState};

/// Id of statements that the proxy sends on its own behalf. Their answers have no
/// signature.
const OWN_ID: &str = "-";

/// Slots of a member until a test sets others.
const DEFAULT_SLOTS: u32 = 4;
/// Time after which a superseded primary becomes a replica of its successor.
const SUPERSEDED_AFTER: Duration = Duration::from_secs(1);

/// A write in a member's log: `data` is the new value of `item`.
#[derive(Clone, Debug, PartialEq, Eq)]
struct LogEntry {
    term: u64,
    item: String,
    data: String,
}

/// A copy of a member's state, for tests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberSnapshot {
    /// Id of the member in the server list.
    pub id: String,
    /// Whether the member acts as primary.
    pub is_primary: bool,
    /// Data of all log entries, in log order.
    pub data: Vec<String>,
    /// Ids of the statements that the member executed, in order.
    pub ran: Vec<String>,
    /// The callers' statements that the member executed, in order.
    pub statements: Vec<RanStatement>,
    /// Largest number of prepared statements that one connection had at the same time.
    pub most_prepared: usize,
    /// Names of prepared statements that a connection used again for another statement.
    pub reused_names: Vec<String>,
    /// The rows of the callers' statements that succeeded, by id and in order.
    pub rows: Vec<(String, String)>,
    /// The session values with which the callers' statements ran, by id and in order.
    pub values: Vec<(String, BTreeMap<String, String>)>,
}

/// A caller's statement as a member executed it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RanStatement {
    /// The caller's id.
    pub id: String,
    /// `READ`, `WRITE` or `COMMIT`.
    pub kind: String,
    /// Shape of the prepared statement; `None` for a direct statement.
    pub shape: Option<String>,
    /// Item and data, as the member parsed them.
    pub arguments: String,
}

/// Which answers members send twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerRepeat {
    /// Every answer, the second time this long after the first.
    All(Duration),
    /// Refusals only, the second time this long after the first.
    Refusals(Duration),
    /// Every answer, the second time when the next statement has arrived and before its
    /// answer.
    AllBeforeNext,
    /// Refusals only, the second time as for `AllBeforeNext`.
    RefusalsBeforeNext,
    /// Answers to status questions, the second time as for `AllBeforeNext`.
    StatusBeforeNext,
}

/// When an answer is sent the second time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RepeatTime {
    After(Duration),
    BeforeNext,
}

impl AnswerRepeat {
    /// Returns when the answer to a statement is sent again.
    fn time_of(self, text: &str, answer: &str) -> Option<RepeatTime> {
        let is_refusal = answer.starts_with("ERROR");
        match self {
            Self::All(delay) => Some(RepeatTime::After(delay)),
            Self::Refusals(delay) => is_refusal.then_some(RepeatTime::After(delay)),
            Self::AllBeforeNext => Some(RepeatTime::BeforeNext),
            Self::RefusalsBeforeNext => is_refusal.then_some(RepeatTime::BeforeNext),
            Self::StatusBeforeNext => (text == "STATUS").then_some(RepeatTime::BeforeNext),
        }
    }
}

/// Where a member is in the state of the site.
#[derive(Clone, Copy, Debug)]
pub(super) struct MemberPlace {
    pub(super) group: usize,
    pub(super) index: usize,
}

/// State of one member.
#[derive(Debug)]
pub(super) struct MemberState {
    pub(super) id: String,
    /// Name of the member's group.
    service: String,
    pub(super) alive: bool,
    pub(super) draining: bool,
    /// Whether the member has no room for new connections and resets them.
    pub(super) full: bool,
    pub(super) heartbeat: u64,
    /// Number of starts. The member's entry gives it as its start time, so
    /// that each restart is visible.
    starts: u64,
    /// When the member was first seen to act as primary beside a successor.
    superseded_at: Option<Instant>,
    pub(super) address: SocketAddr,
    zone: String,
    is_primary: bool,
    term: u64,
    log: Vec<LogEntry>,
    ran: Vec<String>,
    statements: Vec<RanStatement>,
    most_prepared: usize,
    reused_names: Vec<String>,
    rows: Vec<(String, String)>,
    values: Vec<(String, BTreeMap<String, String>)>,
    /// Whether the member receives nothing.
    pub(super) deaf: bool,
    /// Whether all slots are in use, so that status questions are refused.
    pub(super) busy: bool,
    /// Time that the member takes to answer a question of a host about itself.
    pub(super) question_delay: Duration,
    /// Term below which the member receives nothing; 0 if it is not paused.
    paused_below: u64,
}

impl MemberState {
    pub(super) fn new(place: MemberPlace, service: &str, address: SocketAddr) -> Self {
        let MemberPlace { group, index } = place;
        let id = match group {
            0 => format!("i-{index}"),
            _ => format!("i-{group}-{index}"),
        };
        Self {
            id,
            service: service.to_owned(),
            alive: true,
            draining: false,
            full: false,
            heartbeat: 0,
            starts: 1,
            superseded_at: None,
            address,
            zone: format!("zone-{index}"),
            is_primary: index == 0,
            term: 1,
            log: Vec::new(),
            ran: Vec::new(),
            statements: Vec::new(),
            most_prepared: 0,
            reused_names: Vec::new(),
            rows: Vec::new(),
            values: Vec::new(),
            deaf: false,
            busy: false,
            question_delay: Duration::ZERO,
            paused_below: 0,
        }
    }

    pub(super) fn entry(&self, slots: u32) -> String {
        self.entry_at(self.address, slots)
    }

    /// Returns the server entry with `endpoint` as its address.
    pub(super) fn entry_at(&self, endpoint: SocketAddr, slots: u32) -> String {
        let state = if self.draining { "draining" } else { "ready" };
        let role = if self.is_primary {
            "primary"
        } else {
            "replica"
        };
        json!({
            "service": self.service, "endpoint": endpoint.to_string(), "zone": self.zone,
            "version": "v1", "capacity": slots, "state": state, "coldLeftMs": 0,
            "dbRole": role, "sequence": self.heartbeat, "born": self.starts,
        })
        .to_string()
    }

    pub(super) fn snapshot(&self) -> MemberSnapshot {
        MemberSnapshot {
            id: self.id.clone(),
            is_primary: self.is_primary,
            data: self.log.iter().map(|entry| entry.data.clone()).collect(),
            ran: self.ran.clone(),
            statements: self.statements.clone(),
            most_prepared: self.most_prepared,
            reused_names: self.reused_names.clone(),
            rows: self.rows.clone(),
            values: self.values.clone(),
        }
    }

    /// Records a caller's statement that this member is about to execute. A replica
    /// executes only reads.
    fn record_statement(&mut self, id: &str, shape: Option<String>, resolved: &str) {
        let (kind, arguments) = resolved.split_once(' ').unwrap_or((resolved, ""));
        let is_executed = kind == "READ" || matches!(kind, "WRITE" | "COMMIT") && self.is_primary;
        if is_executed {
            self.statements.push(RanStatement {
                id: id.to_owned(),
                kind: kind.to_owned(),
                shape,
                arguments: arguments.to_owned(),
            });
        }
    }

    /// Carries out a request that concerns the member itself, and returns its status.
    fn control(&mut self, word: &str, term: u64) -> String {
        match word {
            "STEPDOWN" if self.term < term => self.is_primary = false,
            "PAUSE" if !self.is_primary && self.term < term => self.paused_below = term,
            "RESUME" => self.paused_below = 0,
            _ => {}
        }
        status_row(self)
    }

    fn position(&self) -> String {
        match self.log.last() {
            Some(entry) => format!("{}.{}", entry.term, self.log.len()),
            None => "-".to_owned(),
        }
    }

    /// Returns whether the log contains the position, which is written
    /// `TERM.NUMBER`.
    fn contains_position(&self, position: &str) -> bool {
        let Some((term, number)) = position.split_once('.') else {
            return false;
        };
        let (Ok(term), Ok(number)) = (term.parse::<u64>(), number.parse::<usize>()) else {
            return false;
        };
        let entry = number.checked_sub(1).and_then(|index| self.log.get(index));
        entry.is_some_and(|entry| entry.term == term)
    }
}

/// State of the group.
#[derive(Debug, Default)]
pub(super) struct GroupState {
    pub(super) name: String,
    pub(super) members: Vec<MemberState>,
    pub(super) replication_held: bool,
    /// Time from the effect of a write to its answer.
    pub(super) write_delay: Duration,
    /// Time that a member takes to run a caller's statement.
    pub(super) work_time: Duration,
    /// Slots of each member in its entry. The members do not enforce them.
    pub(super) slots: u32,
    pub(super) repeat: Option<AnswerRepeat>,
    /// Whether a signature also names the run, so that statements with one id differ.
    pub(super) signs_runs: bool,
    /// Number of the callers' statements that ran.
    runs: u64,
    /// Number of the callers' next statements that are refused as busy.
    pub(super) busy_left: u32,
    /// Index of the member that was promoted last.
    primary: usize,
    pub(super) promotions: Vec<u64>,
    /// Data of the commits that promotions rolled back.
    pub(super) rolled_back: Vec<String>,
}

impl GroupState {
    /// Creates a group without members.
    pub(super) fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            slots: DEFAULT_SLOTS,
            ..Self::default()
        }
    }

    /// Returns the index of the member that was promoted last.
    pub(super) fn primary(&self) -> usize {
        self.primary
    }

    /// Copies the primary's log to the running replicas, unless replication is
    /// held.
    pub(super) fn replicate(&mut self) {
        let source = &self.members[self.primary];
        if self.replication_held || !source.alive || !source.is_primary {
            return;
        }
        let (log, term) = (source.log.clone(), source.term);
        for (index, member) in self.members.iter_mut().enumerate() {
            let receives = !member.deaf && member.paused_below == 0;
            if index != self.primary && member.alive && !member.is_primary && receives {
                member.log.clone_from(&log);
                member.term = term;
            }
        }
    }

    /// Returns a statement's text without its required position, or the code of the
    /// refusal.
    fn admit<'t>(
        &mut self,
        index: usize,
        id: &str,
        text: &'t str,
    ) -> Result<&'t str, &'static str> {
        let text = match text.strip_prefix("SINCE ") {
            Some(rest) => {
                let (position, rest) = rest.split_once(' ').ok_or("MALFORMED")?;
                if !self.members[index].contains_position(position) {
                    return Err("LAGGING");
                }
                rest
            }
            None => text,
        };
        if id != OWN_ID && self.busy_left > 0 {
            self.busy_left -= 1;
            return Err("BUSY");
        }
        Ok(text)
    }

    pub(super) fn promote(&mut self, id: &str) {
        let previous = self.primary;
        let Some(index) = self
            .members
            .iter()
            .position(|one| one.id == id && one.alive)
        else {
            return;
        };
        if index == previous && self.members[index].is_primary {
            return;
        }
        let kept = self.members[index].log.len();
        let dropped = self.members[previous].log.iter().skip(kept);
        self.rolled_back
            .extend(dropped.map(|entry| entry.data.clone()));
        let term = self.members.iter().map(|one| one.term).max().unwrap_or(0) + 1;
        self.members[index].is_primary = true;
        self.members[index].term = term;
        self.primary = index;
        for member in &mut self.members {
            member.paused_below = 0;
        }
        self.replicate();
    }

    /// Marks a member as running again, with its log. It is a primary only if no
    /// other member was promoted meanwhile.
    pub(super) fn restart(&mut self, index: usize) {
        let member = &mut self.members[index];
        member.alive = true;
        member.draining = false;
        member.starts += 1;
        member.paused_below = 0;
        member.is_primary &= index == self.primary;
    }

    /// Demotes each superseded primary that has stopped or that was superseded
    /// at least [`SUPERSEDED_AFTER`] ago.
    pub(super) fn demote_superseded(&mut self) {
        let newest = self.primary;
        for (index, member) in self.members.iter_mut().enumerate() {
            if index == newest || !member.is_primary {
                member.superseded_at = None;
                continue;
            }
            let since = *member.superseded_at.get_or_insert_with(Instant::now);
            if since.elapsed() >= SUPERSEDED_AFTER || !member.alive {
                member.is_primary = false;
            }
        }
        self.replicate();
    }
}

/// State of one connection.
#[derive(Debug, Default)]
struct MemberConnection {
    /// Name in the greeting: of an account or of an entry host.
    client: String,
    /// Writes of the open transaction; `None` outside of a transaction.
    transaction: Option<Vec<LogEntry>>,
    prepared: HashMap<String, StatementShape>,
    /// The last statement of each name that the connection ever prepared.
    named: HashMap<String, StatementShape>,
    /// Session variables. `READ @name` returns the value of one.
    values: BTreeMap<String, String>,
}

/// The statement that a prepared name stands for.
#[derive(Clone, Debug, PartialEq, Eq)]
struct StatementShape {
    kind: String,
    shape: String,
}

/// Serves a member until the future is dropped, which closes its connections.
pub(super) async fn serve(
    listener: Arc<TcpListener>,
    place: MemberPlace,
    state: Arc<Mutex<SiteState>>,
) {
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        let is_full = lock(&state).groups[place.group].members[place.index].full;
        match is_full {
            true => reset(&stream),
            false => {
                connections.spawn(serve_connection(stream, place, state.clone()));
            }
        }
    }
}

/// Resets each new connection to a killed member until the future is dropped.
pub(super) async fn reset_connections(listener: Arc<TcpListener>) {
    while let Ok((stream, _)) = listener.accept().await {
        reset(&stream);
    }
}

/// Lets a connection be reset when it is dropped.
fn reset(stream: &TcpStream) {
    if let Err(error) = stream.set_zero_linger() {
        log::warn!("cannot reset a connection to a member: {error}");
    }
}

async fn serve_connection(
    stream: TcpStream,
    place: MemberPlace,
    state: Arc<Mutex<SiteState>>,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let (input, output) = stream.into_split();
    let output = Arc::new(AsyncMutex::new(output));
    let mut messages = MessageReader::new(input);
    let mut connection = MemberConnection::default();
    // Dropped with the connection.
    let mut repeats = JoinSet::new();
    let mut held: Option<String> = None;
    while let Some(line) = messages.next().await? {
        if let Some(second) = held.take() {
            output.lock().await.write_all(second.as_bytes()).await?;
        }
        let mut fields = line.splitn(3, ' ');
        let (word, id, text) = (fields.next(), fields.next(), fields.next());
        let answer = match (word, id, text) {
            (Some("CONNECT"), Some(group), rest) => {
                let client = rest.and_then(|rest| rest.split(' ').next());
                connection.client = client.unwrap_or("").to_owned();
                lock(&state).identity.check_greeting(&connection.client);
                open_session(&state, place, group, rest)
            }
            (Some("QUERY"), Some(id), Some(text)) => {
                let work_time = lock(&state).groups[place.group].work_time;
                if id != OWN_ID && !work_time.is_zero() {
                    sleep(work_time).await;
                }
                let mut site = lock(&state);
                site.identity.check_statement(&connection.client, text);
                connection.run(&mut site.groups[place.group], place.index, id, text)
            }
            _ => return Ok(()),
        };
        let question_delay = lock(&state).groups[place.group].members[place.index].question_delay;
        let is_question = id == Some(OWN_ID) && text.is_some_and(is_about_member);
        if is_question && !question_delay.is_zero() {
            sleep(question_delay).await;
        }
        let is_write = text.is_some_and(|text| text.contains("WRITE"));
        let delay = lock(&state).groups[place.group].write_delay;
        if is_write && !delay.is_zero() {
            sleep(delay).await;
        }
        output.lock().await.write_all(answer.as_bytes()).await?;
        let repeat = lock(&state).groups[place.group]
            .repeat
            .filter(|_| word == Some("QUERY"));
        match repeat.and_then(|repeat| repeat.time_of(text.unwrap_or(""), &answer)) {
            Some(RepeatTime::After(delay)) => {
                repeats.spawn(repeat_answer(output.clone(), answer.clone(), delay));
            }
            Some(RepeatTime::BeforeNext) => held = Some(answer.clone()),
            None => {}
        }
        if answer.starts_with("ERROR MOVED") {
            return Ok(());
        }
    }
    Ok(())
}

fn is_about_member(text: &str) -> bool {
    let words = ["STATUS", "STEPDOWN", "PAUSE", "RESUME"];
    words.iter().any(|word| text.starts_with(word))
}

/// Sends an answer again after `delay`.
async fn repeat_answer(output: Arc<AsyncMutex<OwnedWriteHalf>>, answer: String, delay: Duration) {
    sleep(delay).await;
    // The proxy may have closed the connection.
    let _sent = output.lock().await.write_all(answer.as_bytes()).await;
}

fn open_session(
    state: &Mutex<SiteState>,
    place: MemberPlace,
    group: &str,
    rest: Option<&str>,
) -> String {
    let site = lock(state);
    let member = &site.groups[place.group].members[place.index];
    let expected = rest.and_then(|rest| rest.split(' ').nth(1));
    if group != member.service || expected.is_some_and(|id| id != member.id) {
        return format!("ERROR MOVED {}\r\n", member.id);
    }
    format!("READY I {}\r\n", member.position())
}

impl MemberConnection {
    fn run(&mut self, group: &mut GroupState, index: usize, id: &str, text: &str) -> String {
        let result = self.execute(group, index, id, text);
        if let Some(rows) = result.as_ref().ok().filter(|_| id != OWN_ID) {
            let rows = (id.to_owned(), rows.trim_end_matches("\r\n").to_owned());
            group.members[index].rows.push(rows);
        }
        let member = &group.members[index];
        let state = if self.transaction.is_some() { "T" } else { "I" };
        let ready = format!("READY {state} {}\r\n", member.position());
        match result {
            Ok(rows) if id == OWN_ID => format!("{rows}COMPLETE -\r\n{ready}"),
            Ok(rows) if group.signs_runs => {
                group.runs += 1;
                format!("{rows}COMPLETE mac-{id}-{}\r\n{ready}", group.runs)
            }
            Ok(rows) => format!("{rows}COMPLETE mac-{id}\r\n{ready}"),
            Err(code) => format!("ERROR {code} {}\r\n{ready}", member.id),
        }
    }

    fn execute(
        &mut self,
        group: &mut GroupState,
        index: usize,
        id: &str,
        text: &str,
    ) -> Result<String, &'static str> {
        let text = group.admit(index, id, text)?;
        let (shape, resolved) = self.resolve_prepared(text)?;
        let mut words = resolved.splitn(3, ' ');
        let word = words.next().unwrap_or("");
        let item = words.next().unwrap_or("").to_owned();
        let data = words.next().unwrap_or("").to_owned();
        let is_primary = group.members[index].is_primary;
        group.members[index].record_statement(id, shape, &resolved);
        if id != OWN_ID {
            let values = (id.to_owned(), self.values.clone());
            group.members[index].values.push(values);
        }
        match word {
            "STATUS" if group.members[index].busy => return Err("BUSY"),
            "STATUS" => return Ok(status_row(&group.members[index])),
            "STEPDOWN" | "PAUSE" | "RESUME" => {
                let term = item.parse().unwrap_or(0);
                return Ok(group.members[index].control(word, term));
            }
            "BEGIN" if item != "READ" && !is_primary => return Err("READONLY"),
            "BEGIN" => self.transaction = Some(Vec::new()),
            "ROLLBACK" => self.transaction = None,
            "WRITE" if !is_primary => return Err("READONLY"),
            "WRITE" => {
                group.members[index].ran.push(id.to_owned());
                let term = group.members[index].term;
                let entry = LogEntry { term, item, data };
                match &mut self.transaction {
                    Some(writes) => writes.push(entry),
                    None => {
                        group.members[index].log.push(entry);
                        group.replicate();
                    }
                }
            }
            "COMMIT" => {
                let writes = self.transaction.take().unwrap_or_default();
                if !writes.is_empty() && !is_primary {
                    return Err("READONLY");
                }
                group.members[index].log.extend(writes);
                group.replicate();
            }
            "READ" if item.starts_with('@') => {
                let value = self.values.get(&item[1..]);
                return Ok(format!("ROW {}\r\n", value.map_or("", String::as_str)));
            }
            "READ" => {
                let member = &mut group.members[index];
                member.ran.push(id.to_owned());
                let found = member.log.iter().rev().find(|entry| entry.item == item);
                return Ok(format!("ROW {}\r\n", found.map_or("", |entry| &entry.data)));
            }
            "SET" => {
                self.values.insert(item, data);
            }
            "PREPARE" => self.record_prepared(&item, &mut group.members[index]),
            "DEALLOC" => {
                self.prepared.remove(&item).ok_or("NOSTMT")?;
            }
            "RESET" => self.values.clear(),
            _ => return Err("MALFORMED"),
        }
        Ok(String::new())
    }

    fn record_prepared(&mut self, name: &str, member: &mut MemberState) {
        member.most_prepared = member.most_prepared.max(self.prepared.len());
        let shape = &self.prepared[name];
        let former = self.named.insert(name.to_owned(), shape.clone());
        if former.is_some_and(|former| former != *shape) {
            member.reused_names.push(name.to_owned());
        }
    }

    /// Stores the shape of a `PREPARE`, and replaces an `EXECUTE` by the kind and the
    /// arguments of the statement that it runs. Also returns the shape of an `EXECUTE`.
    fn resolve_prepared(&mut self, text: &str) -> Result<(Option<String>, String), &'static str> {
        if let Some(rest) = text.strip_prefix("PREPARE ") {
            let mut fields = rest.splitn(3, ' ');
            let (name, kind, shape) = (fields.next(), fields.next(), fields.next());
            let (Some(name), Some(kind @ ("READ" | "WRITE")), Some(shape)) = (name, kind, shape)
            else {
                return Err("MALFORMED");
            };
            let shape = StatementShape {
                kind: kind.to_owned(),
                shape: shape.to_owned(),
            };
            self.prepared.insert(name.to_owned(), shape);
        }
        if text == "RESET" {
            self.prepared.clear();
        }
        let Some(rest) = text.strip_prefix("EXECUTE ") else {
            return Ok((None, text.to_owned()));
        };
        let (name, arguments) = rest.split_once(' ').ok_or("MALFORMED")?;
        let StatementShape { kind, shape } = self.prepared.get(name).ok_or("NOSTMT")?;
        Ok((Some(shape.clone()), format!("{kind} {arguments}")))
    }
}

fn status_row(member: &MemberState) -> String {
    let role = if member.is_primary {
        "primary"
    } else {
        "replica"
    };
    let position = member.position();
    let held = member.paused_below;
    format!("ROW {role} {} {position} {held} 0 0 1\r\n", member.term)
}
