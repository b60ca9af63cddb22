//! Simulated group member with its log, promises, replication and restarts.

use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::Rng;
use state::log::{LogPosition, Term};
use state::member::{MemberReport, MemberRole};

use super::invariants::InvariantChecker;
use super::{ControlAnswer, ControlRequest, Endpoint, Message, Outbox, Result, StatementAnswer};

/// Interval at which a primary sends its log and a replica applies its own.
pub const MEMBER_TICK: Duration = Duration::from_millis(50);
/// Maximum wait of an `await_position` call.
const AWAIT_LIMIT: Duration = Duration::from_millis(200);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    pub term: Term,
    /// Number of the write, or 0 for the entry that a promotion appends.
    pub write: u64,
}

pub type Log = Rc<Vec<Entry>>;

struct AwaitCall {
    caller: Endpoint,
    call: u64,
    position: LogPosition,
    promised: Term,
    until: Instant,
}

pub struct Member {
    pub index: usize,
    pub up: bool,
    /// Rises each time the statement connections are closed.
    pub epoch: u64,
    pub promised: Term,
    pub role: MemberRole,
    pub log: Log,
    pub applied: usize,
    /// Whether the member receives and applies only a few entries at a time.
    pub lagging: bool,
    append_count: u64,
    /// Ticks between two replays of a replica's log; at 0 it applies entries when
    /// it receives them.
    pub replay_ticks: u64,
    ticks: u64,
    /// Entries applied per replay; few after a restart.
    entries_per_tick: usize,
    granted_to: Option<u64>,
    following: Option<usize>,
    heartbeat_at: Option<Instant>,
    awaits: Vec<AwaitCall>,
}

pub fn position_at(log: &Log, length: usize) -> LogPosition {
    match length {
        0 => LogPosition::START,
        length => LogPosition {
            term: log[length - 1].term,
            offset: length as u64,
        },
    }
}

impl Member {
    pub fn new(index: usize) -> Self {
        Self {
            index,
            up: true,
            epoch: 1,
            promised: Term(0),
            role: MemberRole::Replica,
            log: Log::default(),
            applied: 0,
            lagging: false,
            append_count: 0,
            replay_ticks: 0,
            ticks: 0,
            entries_per_tick: usize::MAX,
            granted_to: None,
            following: None,
            heartbeat_at: None,
            awaits: Vec::new(),
        }
    }

    pub fn report(&self, now: Instant) -> MemberReport {
        MemberReport {
            promised_term: self.promised,
            role: self.role,
            log: position_at(&self.log, self.log.len()),
            applied: position_at(&self.log, self.applied),
            primary_heartbeat_age: self.heartbeat_at.map(|at| now - at),
        }
    }

    pub fn crash(&mut self) {
        self.up = false;
        self.awaits.clear();
    }

    /// Restarts the member with its log, promise and role. The restart closes the
    /// connections, so reads may see an older state than before.
    pub fn restart(&mut self, rng: &mut StdRng) {
        self.up = true;
        self.epoch += 1;
        self.heartbeat_at = None;
        if self.role == MemberRole::Replica {
            self.applied = rng.random_range(self.applied * 3 / 4..=self.applied);
            self.entries_per_tick = rng.random_range(1..10);
        }
        if rng.random_bool(0.5) {
            self.following = None;
        }
    }

    pub fn handle(
        &mut self,
        from: Endpoint,
        message: Message,
        now: Instant,
        checker: &mut InvariantChecker,
        out: &mut Outbox,
    ) -> Result {
        match message {
            Message::Control { call, request } => {
                self.control(from, call, request, now, checker, out)?;
            }
            Message::Append { term, primary, log } => {
                self.append(term, primary, &log, now, checker)?
            }
            Message::Statement { call, epoch, write } => {
                self.statement(from, call, epoch, write, now, out)
            }
            other => panic!("member got {other:?}"),
        }
        self.answer_awaits(now, out);
        Ok(())
    }

    pub fn tick(&mut self, now: Instant, members: usize, out: &mut Outbox) {
        self.ticks += 1;
        match self.role {
            MemberRole::Primary => self.replicate(members, out),
            MemberRole::Replica if self.ticks.is_multiple_of(self.replay_ticks.max(1)) => {
                self.apply();
            }
            MemberRole::Replica => {}
        }
        self.answer_awaits(now, out);
    }

    fn apply(&mut self) {
        let step = if self.lagging {
            1
        } else {
            self.entries_per_tick
        };
        self.applied = self.log.len().min(self.applied.saturating_add(step));
        if self.applied == self.log.len() {
            self.entries_per_tick = usize::MAX;
        }
    }

    fn replicate(&self, members: usize, out: &mut Outbox) {
        for member in (0..members).filter(|member| *member != self.index) {
            let append = Message::Append {
                term: self.promised,
                primary: self.index,
                log: self.log.clone(),
            };
            out.send(Endpoint::Member(member), append);
        }
    }

    fn append(
        &mut self,
        term: Term,
        primary: usize,
        log: &Log,
        now: Instant,
        checker: &mut InvariantChecker,
    ) -> Result {
        let follows = self.role == MemberRole::Replica && self.following == Some(primary);
        if term != self.promised || !follows {
            return Ok(());
        }
        self.heartbeat_at = Some(now);
        let pairs = self.log.iter().zip(log.iter());
        let common = pairs.take_while(|(own, other)| own == other).count();
        let own = Rc::make_mut(&mut self.log);
        if common < log.len() && common < own.len() {
            checker.check_dropped(&own[common..])?;
            own.truncate(common);
        }
        self.append_count += 1;
        let limit = match self.lagging {
            true => usize::from(self.append_count.is_multiple_of(8)),
            false => usize::MAX,
        };
        let have = own.len();
        if have < log.len() {
            own.extend(log[have..].iter().take(limit));
        }
        self.applied = self.applied.min(own.len());
        if !self.lagging && self.replay_ticks == 0 {
            self.apply();
        }
        Ok(())
    }

    fn statement(
        &mut self,
        from: Endpoint,
        call: u64,
        epoch: u64,
        write: Option<u64>,
        now: Instant,
        out: &mut Outbox,
    ) {
        let answer = match write {
            _ if epoch != self.epoch => StatementAnswer::Closed,
            Some(_) if self.role != MemberRole::Primary => StatementAnswer::ReadOnly,
            Some(write) => {
                self.write(write, out);
                StatementAnswer::Written {
                    report: self.report(now),
                }
            }
            None => StatementAnswer::ReadResult {
                report: self.report(now),
                log: self.log.clone(),
                visible: self.applied,
            },
        };
        out.send(from, Message::StatementReply { call, answer });
    }

    fn write(&mut self, write: u64, out: &mut Outbox) {
        let term = self.promised;
        Rc::make_mut(&mut self.log).push(Entry { term, write });
        self.applied = self.log.len();
        out.replicate = true;
    }

    fn control(
        &mut self,
        from: Endpoint,
        call: u64,
        request: ControlRequest,
        now: Instant,
        checker: &mut InvariantChecker,
        out: &mut Outbox,
    ) -> Result {
        let refusal = match request {
            ControlRequest::Report => None,
            ControlRequest::Await { position } => {
                self.awaits.push(AwaitCall {
                    caller: from,
                    call,
                    position,
                    promised: self.promised,
                    until: now + AWAIT_LIMIT,
                });
                return Ok(());
            }
            ControlRequest::Fence { term, proposer } => self.fence(term, proposer),
            ControlRequest::Promote { term, proposer } => {
                self.promote(term, proposer, checker, out)?
            }
            ControlRequest::Follow { term, primary } => self.follow(term, primary),
        };
        let answer = refusal.unwrap_or(ControlAnswer::Report(self.report(now)));
        let epoch = self.epoch;
        out.send(
            from,
            Message::ControlReply {
                call,
                epoch,
                answer,
            },
        );
        Ok(())
    }

    fn fence(&mut self, term: Term, proposer: u64) -> Option<ControlAnswer> {
        if term == self.promised && self.granted_to == Some(proposer) {
            return None;
        }
        if term <= self.promised {
            return Some(ControlAnswer::StaleTerm(self.promised));
        }
        self.promise(term);
        self.granted_to = Some(proposer);
        None
    }

    fn promote(
        &mut self,
        term: Term,
        proposer: u64,
        checker: &mut InvariantChecker,
        out: &mut Outbox,
    ) -> Result<Option<ControlAnswer>> {
        if term < self.promised {
            return Ok(Some(ControlAnswer::StaleTerm(self.promised)));
        }
        if term != self.promised || self.granted_to != Some(proposer) {
            return Ok(Some(ControlAnswer::WrongProposer));
        }
        if self.role == MemberRole::Replica {
            checker.check_promotion(self.index, term, &self.log)?;
            self.role = MemberRole::Primary;
            self.following = None;
            self.heartbeat_at = None;
            Rc::make_mut(&mut self.log).push(Entry { term, write: 0 });
            self.applied = self.log.len();
            out.replicate = true;
        }
        Ok(None)
    }

    fn follow(&mut self, term: Term, primary: usize) -> Option<ControlAnswer> {
        if term < self.promised {
            return Some(ControlAnswer::StaleTerm(self.promised));
        }
        if term == self.promised && self.role == MemberRole::Primary {
            return Some(ControlAnswer::WrongProposer);
        }
        if term > self.promised {
            self.promise(term);
        }
        self.following = Some(primary);
        None
    }

    fn promise(&mut self, term: Term) {
        assert!(term > self.promised);
        self.promised = term;
        self.granted_to = None;
        self.following = None;
        self.heartbeat_at = None;
        if self.role == MemberRole::Primary {
            self.role = MemberRole::Replica;
            self.epoch += 1;
        }
    }

    fn answer_awaits(&mut self, now: Instant, out: &mut Outbox) {
        let report = self.report(now);
        let epoch = self.epoch;
        self.awaits.retain(|wait| {
            let reached = report.confirms(wait.position);
            let open = !reached && report.promised_term == wait.promised && now < wait.until;
            if !open {
                let reply = Message::ControlReply {
                    call: wait.call,
                    epoch,
                    answer: ControlAnswer::Report(report),
                };
                out.send(wait.caller, reply);
            }
            open
        });
    }
}
