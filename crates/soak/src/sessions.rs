//! A session of a caller: the statements that it sends, and the checks of their
//! answers.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::Rng;
use standin::managed::{LineCaller, NOT_APPLIED_CODES};
use tokio::time::sleep;

use crate::callers::{CallerPool, WriteData, ANSWER_LIMIT};
use crate::findings::{excerpt, FindingKind, ReadRecord, SentStatement, WriteOutcome, WriteRecord};
use crate::texts::SHAPES;

/// Maximal staleness that the routes of the stand-in allow for reads of
/// replicas.
const MAX_STALENESS: Duration = Duration::from_millis(1_500);
/// Number of items that callers write and read.
const ITEMS: usize = 6;
/// Names of prepared statements. All sessions use the same ones, as names collide
/// between clients.
const PREPARED_NAMES: [&str; 3] = ["s0", "s1", "s2"];
/// Names of session values, the same ones in all sessions.
const VALUE_NAMES: [&str; 2] = ["zone", "lang"];

/// Route of a session, which determines what its reads must see.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Route {
    /// All writes that were accepted before the read started.
    Current,
    /// All writes that were accepted [`MAX_STALENESS`] before the read started.
    Bounded,
    /// As for `Bounded`, and the accepted writes of the same session.
    Own,
}

impl Route {
    pub(crate) const fn database(self) -> &'static str {
        match self {
            Self::Current => "current",
            Self::Bounded => "bounded",
            Self::Own => "own",
        }
    }
}

/// A prepared statement whose preparing was acknowledged.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PreparedStatement {
    name: &'static str,
    /// `READ` or `WRITE`.
    kind: &'static str,
    shape: &'static str,
}

/// A connection of a caller, the writes that it made and its session state.
pub(crate) struct CallerSession<'a> {
    pool: &'a CallerPool,
    caller: LineCaller,
    route: Route,
    /// Highest number in an accepted write of this session, by item.
    own_writes: [Option<u64>; ITEMS],
    /// Prepared statements and values that were acknowledged.
    prepared: Vec<PreparedStatement>,
    values: HashMap<&'static str, String>,
    /// Whether nothing more is sent, because an answer is missing or a request for
    /// session state was refused. A late answer would be taken for the next one.
    is_closed: bool,
}

impl<'a> CallerSession<'a> {
    pub(crate) fn new(pool: &'a CallerPool, caller: LineCaller, route: Route) -> Self {
        Self {
            pool,
            caller,
            route,
            own_writes: [None; ITEMS],
            prepared: Vec::new(),
            values: HashMap::new(),
            is_closed: false,
        }
    }

    /// Runs `statements` statements and transactions. Stops early if the connection
    /// fails, session state is not acknowledged, or the run stops.
    pub(crate) async fn run(&mut self, random: &mut StdRng, statements: u32) {
        for _ in 0..statements {
            if self.pool.is_stopped() {
                return;
            }
            let item = random.random_range(0..ITEMS);
            let is_usable = match random.random_range(0..20) {
                0 => self.set_value(random).await,
                1 | 2 => self.read_value(random).await,
                3 => self.prepare(random).await,
                4 => self.deallocate(random).await,
                5..=7 => self.read(random, item).await,
                _ if self.route == Route::Bounded => self.read(random, item).await,
                8..=13 => self.write_drawn(random, item).await,
                14 | 15 => self.write_pair(random, item).await,
                _ => self.read(random, item).await,
            };
            if !is_usable {
                return;
            }
            sleep(Duration::from_millis(random.random_range(0..20))).await;
        }
    }

    fn add_finding(&self, kind: FindingKind, detail: &str) {
        let detail = format!("id {}: {detail}", self.caller.last_id());
        self.pool
            .with_record(|record| record.add_finding(kind, detail));
    }

    /// Returns the line that ends the success of the last statement.
    fn own_signature(&self) -> String {
        format!("COMPLETE mac-{}", self.caller.last_id())
    }

    /// Sends a text and returns the lines of its answer, or `None` if the answer is
    /// missing or incomplete.
    async fn exchange(&mut self, text: &str) -> Option<Vec<String>> {
        if self.is_closed {
            return None;
        }
        let answer = self.caller.run(text, ANSWER_LIMIT).await;
        let is_complete = |lines: &Vec<String>| {
            let last = lines.last();
            last.is_some_and(|line| line.starts_with("READY"))
        };
        let answer = answer.ok().filter(is_complete);
        self.is_closed = answer.is_none();
        answer
    }

    /// Sends a text that the host may answer itself. Returns the answer if it is a
    /// success; otherwise the session is closed.
    async fn exchange_control(&mut self, text: &str) -> Option<Vec<String>> {
        let answer = self.exchange(text).await?;
        let first = answer.first()?;
        if first.starts_with("ERROR") {
            self.is_closed = true;
            return None;
        }
        if answer.len() != 2 || first != "COMPLETE -" && *first != self.own_signature() {
            let detail = format!("{} was answered {answer:?}", excerpt(text));
            self.add_finding(FindingKind::MixedAnswer, &excerpt(&detail));
        }
        Some(answer)
    }

    /// Sends a read, a write or a commit, directly or as a prepared statement, and
    /// checks that a success has the member's signature and `rows` rows.
    async fn exchange_statement(
        &mut self,
        kind: &str,
        prepared: Option<PreparedStatement>,
        arguments: &str,
        rows: usize,
    ) -> Option<Vec<String>> {
        let text = match prepared {
            Some(prepared) => format!("EXECUTE {} {arguments}", prepared.name),
            None if arguments.is_empty() => kind.to_owned(),
            None => format!("{kind} {arguments}"),
        };
        if self.is_closed {
            return None;
        }
        let answer = self.exchange(&text).await;
        let sent = SentStatement {
            kind: kind.to_owned(),
            shape: prepared.map(|prepared| prepared.shape.to_owned()),
            arguments: arguments.to_owned(),
        };
        let id = self.caller.last_id();
        self.pool.with_record(|record| record.sent.insert(id, sent));
        let answer = answer?;
        match error_code(&answer) {
            None => self.check_success(&answer, rows),
            Some("NOSTMT" | "MALFORMED") if prepared.is_some() => {
                let detail = format!("{prepared:?}: {} was answered {answer:?}", excerpt(&text));
                self.add_finding(FindingKind::SessionState, &detail);
            }
            Some(_) => {}
        }
        Some(answer)
    }

    fn check_success(&self, answer: &[String], rows: usize) {
        let expected = self.own_signature();
        let signature = answer.iter().find(|line| line.starts_with("COMPLETE"));
        if signature != Some(&expected) {
            let detail = format!(
                "answer {}, expected {expected:?}",
                excerpt(&answer.join(" | "))
            );
            self.add_finding(FindingKind::BadSignature, &detail);
            return;
        }
        let count = answer
            .iter()
            .filter(|line| line.starts_with("ROW "))
            .count();
        if count != rows || answer.len() != rows + 2 {
            let detail = format!(
                "answer {}, expected {rows} rows",
                excerpt(&answer.join(" | "))
            );
            self.add_finding(FindingKind::MixedAnswer, &detail);
        }
    }

    /// Sets a session value; returns whether the session is still usable.
    async fn set_value(&mut self, random: &mut StdRng) -> bool {
        let name = VALUE_NAMES[random.random_range(0..VALUE_NAMES.len())];
        let value = self.pool.draw_value(random);
        let answer = self.exchange_control(&format!("SET {name} {value}")).await;
        self.values.insert(name, value);
        answer.is_some()
    }

    /// Reads a session value; returns whether the session is still usable.
    async fn read_value(&mut self, random: &mut StdRng) -> bool {
        let name = VALUE_NAMES[random.random_range(0..VALUE_NAMES.len())];
        let item = format!("@{name}");
        let Some(answer) = self.exchange_statement("READ", None, &item, 1).await else {
            return false;
        };
        // The row of an answer to another statement says nothing about the session, and
        // the answer is a finding already.
        let is_own = answer.contains(&self.own_signature());
        if let Some(seen) = answer[0].strip_prefix("ROW ").filter(|_| is_own) {
            let expected = self.values.get(name).map_or("", String::as_str);
            if seen != expected {
                let (seen, expected) = (excerpt(seen), excerpt(expected));
                let detail = format!("the value {name} is {seen}, expected {expected}");
                self.add_finding(FindingKind::SessionState, &detail);
            }
        }
        true
    }

    /// Prepares a statement under a free name, or deallocates one if there is no free
    /// name. Returns whether the session is still usable.
    async fn prepare(&mut self, random: &mut StdRng) -> bool {
        let is_used = |name| self.prepared.iter().any(|one| one.name == name);
        let Some(name) = PREPARED_NAMES.into_iter().find(|name| !is_used(*name)) else {
            return self.deallocate(random).await;
        };
        let is_read = self.route == Route::Bounded || random.random_bool(0.5);
        let prepared = PreparedStatement {
            name,
            kind: if is_read { "READ" } else { "WRITE" },
            shape: SHAPES[random.random_range(0..SHAPES.len())],
        };
        let text = format!("PREPARE {name} {} {}", prepared.kind, prepared.shape);
        let answer = self.exchange_control(&text).await;
        self.prepared.push(prepared);
        answer.is_some()
    }

    /// Deallocates a prepared statement, if there is one; returns whether the session
    /// is still usable.
    async fn deallocate(&mut self, random: &mut StdRng) -> bool {
        if self.prepared.is_empty() {
            return true;
        }
        let index = random.random_range(0..self.prepared.len());
        let prepared = self.prepared.swap_remove(index);
        let text = format!("DEALLOC {}", prepared.name);
        self.exchange_control(&text).await.is_some()
    }

    /// Draws a prepared statement of a kind. Returns `None` for a direct statement.
    fn draw_prepared(&self, random: &mut StdRng, kind: &str) -> Option<PreparedStatement> {
        let index = random.random_range(0..PREPARED_NAMES.len() + 1);
        let prepared = self.prepared.get(index).copied()?;
        (prepared.kind == kind).then_some(prepared)
    }

    fn write_outcome(answer: Option<&[String]>) -> WriteOutcome {
        let Some(answer) = answer else {
            return WriteOutcome::Unknown;
        };
        match error_code(answer) {
            None => WriteOutcome::Accepted { at: Instant::now() },
            Some(code) if NOT_APPLIED_CODES.contains(&code) => WriteOutcome::Refused,
            Some(_) => WriteOutcome::Unknown,
        }
    }

    fn record_write(&mut self, write: WriteRecord) {
        if matches!(write.outcome, WriteOutcome::Accepted { .. }) {
            let own = &mut self.own_writes[write.item];
            *own = (*own).max(Some(write.number));
        }
        self.pool.with_record(|record| record.writes.push(write));
    }

    async fn write_drawn(&mut self, random: &mut StdRng, item: usize) -> bool {
        let prepared = self.draw_prepared(random, "WRITE");
        let data = self.pool.draw_data(random, item);
        self.write(item, &data, prepared).await
    }

    /// Writes an item; returns whether the session is still usable.
    pub(crate) async fn write(
        &mut self,
        item: usize,
        data: &WriteData,
        prepared: Option<PreparedStatement>,
    ) -> bool {
        let arguments = format!("i{item} {}", data.text);
        let answer = self
            .exchange_statement("WRITE", prepared, &arguments, 0)
            .await;
        self.record_write(WriteRecord {
            item,
            number: data.number,
            outcome: Self::write_outcome(answer.as_deref()),
            is_first_of_pair: false,
            is_single: true,
        });
        answer.is_some()
    }

    /// Records both writes of a transaction with the same outcome.
    fn record_pair(&mut self, item: usize, data: &[WriteData; 2], outcome: WriteOutcome) {
        for (index, one) in data.iter().enumerate() {
            self.record_write(WriteRecord {
                item,
                number: one.number,
                outcome,
                is_first_of_pair: index == 0,
                is_single: false,
            });
        }
    }

    /// Writes an item twice in one transaction, which prepares statements of its own or
    /// is rolled back at times. Returns whether the session is still usable.
    async fn write_pair(&mut self, random: &mut StdRng, item: usize) -> bool {
        let data = self.pool.draw_pair(random, item);
        if !self.fill_transaction(random, item, &data).await {
            // A transaction without COMMIT must leave no effect.
            self.record_pair(item, &data, WriteOutcome::Refused);
            return self.exchange_control("ROLLBACK").await.is_some();
        }
        if random.random_bool(0.15) {
            self.record_pair(item, &data, WriteOutcome::Refused);
            return self.exchange_control("ROLLBACK").await.is_some();
        }
        let answer = self.exchange_statement("COMMIT", None, "", 0).await;
        let outcome = Self::write_outcome(answer.as_deref());
        self.record_pair(item, &data, outcome);
        answer.is_some()
    }

    /// Opens a transaction and sends its writes; returns whether it is still open.
    async fn fill_transaction(
        &mut self,
        random: &mut StdRng,
        item: usize,
        data: &[WriteData; 2],
    ) -> bool {
        if !is_open(self.exchange_control("BEGIN").await.as_deref()) {
            return false;
        }
        for one in data {
            let is_usable = match random.random_range(0..6) {
                0 => self.prepare(random).await,
                1 => self.deallocate(random).await,
                _ => true,
            };
            if !is_usable {
                return false;
            }
            let prepared = self.draw_prepared(random, "WRITE");
            let arguments = format!("i{item} {}", one.text);
            let answer = self
                .exchange_statement("WRITE", prepared, &arguments, 0)
                .await;
            if !is_open(answer.as_deref()) {
                return false;
            }
        }
        true
    }

    /// Reads an item; returns whether the session is still usable.
    async fn read(&mut self, random: &mut StdRng, item: usize) -> bool {
        let prepared = self.draw_prepared(random, "READ");
        let started_at = Instant::now();
        let arguments = format!("i{item}");
        let answer = self
            .exchange_statement("READ", prepared, &arguments, 1)
            .await;
        let Some(lines) = answer else {
            return false;
        };
        if let Some(data) = lines[0].strip_prefix("ROW ") {
            self.record_read(item, started_at, data);
        }
        true
    }

    fn record_read(&self, item: usize, started_at: Instant, data: &str) {
        let key = self
            .pool
            .with_record(|record| record.keys.get(data).copied());
        let seen = match key {
            None if data.is_empty() => 0,
            Some(key) if key.item == item => key.number,
            other => {
                let row = excerpt(data);
                let detail = match other {
                    Some(key) => format!("row {row} of i{item}, which was written to {key:?}"),
                    None => format!("row {row} of i{item}, which nobody wrote"),
                };
                self.add_finding(FindingKind::MixedAnswer, &detail);
                return;
            }
        };
        let must_see_before = match self.route {
            Route::Current => Some(started_at),
            Route::Bounded | Route::Own => started_at.checked_sub(MAX_STALENESS),
        };
        let read = ReadRecord {
            item,
            must_see_before: must_see_before.unwrap_or(started_at),
            own_write: self.own_writes[item].filter(|_| self.route == Route::Own),
            seen,
        };
        self.pool.with_record(|record| record.reads.push(read));
    }
}

/// Returns the code of a refused or failed statement.
fn error_code(answer: &[String]) -> Option<&str> {
    let rest = answer.iter().find_map(|line| line.strip_prefix("ERROR "));
    rest.map(|rest| rest.split(' ').next().unwrap_or(rest))
}

/// Returns whether an answer leaves a transaction open.
fn is_open(answer: Option<&[String]>) -> bool {
    let last = answer.and_then(<[String]>::last);
    last.is_some_and(|line| line.starts_with("READY T"))
}
