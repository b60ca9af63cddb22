//! In-memory group of members and in-memory table service, with faults that the
//! tests set.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use protocol::member_control::{ControlRefusal, ProposerId};
use state::document::{DatabaseGroup, FailoverTiming, GroupMember};
use state::log::{LogPosition, Term};
use state::member::{MemberReport, MemberRole};
use transport::monitor::MonitorConfig;
use transport::services::{
    ControlFactory, MemberControl, Result, ServiceError, TableRow, TableService, WriteAnswer,
};

/// Fault of a member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum MemberFault {
    /// No fault.
    #[default]
    None,
    /// The member neither answers calls nor replicates.
    Frozen,
    /// The member's process has ended, so connections are refused.
    Dead,
    /// This daemon cannot reach the member, but the other members can.
    CutFromDaemon,
    /// The other members cannot reach the member, but this daemon can.
    CutFromMembers,
}

#[derive(Clone, Copy, Debug)]
struct FakeMember {
    promised: Term,
    proposer: Option<ProposerId>,
    role: MemberRole,
    following: Option<SocketAddr>,
    log: LogPosition,
    heartbeat_at: Option<Instant>,
    fault: MemberFault,
    lost_answers: u32,
}

/// Members and call counters, shared by all control clients.
#[derive(Clone, Debug)]
pub struct FakeGroup {
    members: Arc<Mutex<BTreeMap<SocketAddr, FakeMember>>>,
    reports: Arc<AtomicU64>,
    long_polls: Arc<AtomicU64>,
}

pub fn address(index: u16) -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 7_000 + index).into()
}

impl FakeGroup {
    /// Returns a group of `count` members, with member 0 as primary at term 1.
    pub fn new(count: u16) -> Self {
        let member = |index| FakeMember {
            promised: Term(1),
            proposer: None,
            role: if index == 0 {
                MemberRole::Primary
            } else {
                MemberRole::Replica
            },
            following: (index > 0).then(|| address(0)),
            log: LogPosition::new(1, 1),
            heartbeat_at: Some(Instant::now()),
            fault: MemberFault::None,
            lost_answers: 0,
        };
        let members = (0..count).map(|index| (address(index), member(index)));
        Self {
            members: Arc::new(Mutex::new(members.collect())),
            reports: Arc::default(),
            long_polls: Arc::default(),
        }
    }

    pub fn config(&self, timing: FailoverTiming) -> MonitorConfig {
        let count = self.lock().len() as u16;
        let member = |index: u16| GroupMember {
            name: format!("member-{index}"),
            data_centre: "here".to_owned(),
            address: (Ipv4Addr::LOCALHOST, 6_000 + index).into(),
            control_address: address(index),
            slots: 2,
            connection_limit: 20,
            leaving: false,
        };
        MonitorConfig {
            host: "entry-1".to_owned(),
            group: DatabaseGroup {
                name: "airing".to_owned(),
                member: (0..count).map(member).collect(),
            },
            regions: BTreeMap::from([("here".to_owned(), "nairobi".to_owned())]),
            timing,
            leaving: Default::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, FakeMember>> {
        self.members.lock().unwrap()
    }

    pub fn set_fault(&self, index: u16, fault: MemberFault) {
        self.lock().get_mut(&address(index)).unwrap().fault = fault;
    }

    /// Loses the answers of the next `count` fence, promote and follow calls to a
    /// member. The calls still take effect.
    pub fn lose_answers(&self, index: u16, count: u32) {
        self.lock().get_mut(&address(index)).unwrap().lost_answers = count;
    }

    /// Appends an entry to the log of member `index` at its term and copies it to
    /// the followers that can reach the member.
    pub fn write(&self, index: u16) -> LogPosition {
        let mut members = self.lock();
        let primary = members.get_mut(&address(index)).unwrap();
        primary.log = LogPosition::new(primary.promised.0, primary.log.offset + 1);
        let position = primary.log;
        drop(members);
        self.replicate();
        position
    }

    /// Returns the index and term of the primary with the highest term.
    pub fn primary(&self) -> Option<(u16, Term)> {
        let members = self.lock();
        let is_primary = |member: &&FakeMember| member.role == MemberRole::Primary;
        let term = members
            .values()
            .filter(is_primary)
            .map(|member| member.promised);
        let term = term.max()?;
        let found = members
            .iter()
            .find(|(_, member)| is_primary(member) && member.promised == term);
        found.map(|(found, _)| (found.port() - 7_000, term))
    }

    pub fn highest_promise(&self) -> Term {
        let members = self.lock();
        members
            .values()
            .map(|member| member.promised)
            .max()
            .unwrap()
    }

    pub fn report_count(&self) -> u64 {
        self.reports.load(Ordering::Relaxed)
    }

    pub fn long_poll_count(&self) -> u64 {
        self.long_polls.load(Ordering::Relaxed)
    }

    fn replicate(&self) {
        let mut members = self.lock();
        let all = members.clone();
        for member in members.values_mut() {
            let Some(primary) = member.following.and_then(|at| all.get(&at)) else {
                continue;
            };
            let linked = [member.fault, primary.fault]
                .iter()
                .all(|fault| matches!(fault, MemberFault::None | MemberFault::CutFromDaemon));
            let agrees = primary.promised == member.promised;
            if linked && agrees && primary.role == MemberRole::Primary {
                member.heartbeat_at = Some(Instant::now());
                member.log = primary.log;
            }
        }
    }

    fn report(&self, at: SocketAddr) -> MemberReport {
        self.replicate();
        let member = self.lock()[&at];
        MemberReport {
            promised_term: member.promised,
            role: member.role,
            log: member.log,
            applied: member.log,
            primary_heartbeat_age: member.heartbeat_at.map(|heartbeat| heartbeat.elapsed()),
        }
    }
}

/// Creates the control clients of the members.
#[derive(Clone, Debug)]
pub struct FakeFactory(pub FakeGroup);

impl ControlFactory for FakeFactory {
    type Control = FakeControl;

    fn control(&self, address: SocketAddr, timeout: Duration) -> FakeControl {
        FakeControl {
            group: self.0.clone(),
            address,
            timeout,
        }
    }
}

/// Control client of one member.
#[derive(Clone, Debug)]
pub struct FakeControl {
    group: FakeGroup,
    address: SocketAddr,
    timeout: Duration,
}

impl FakeControl {
    async fn contact(&self) -> Result<()> {
        tokio::time::sleep(Duration::from_micros(200)).await;
        let fault = self.group.lock()[&self.address].fault;
        match fault {
            MemberFault::Dead => Err(ServiceError::Unreachable("fake".to_owned())),
            MemberFault::Frozen | MemberFault::CutFromDaemon => {
                tokio::time::sleep(self.timeout).await;
                Err(ServiceError::NoAnswer("fake".to_owned()))
            }
            MemberFault::None | MemberFault::CutFromMembers => Ok(()),
        }
    }

    /// Applies an order to the member and returns its report, unless the answer is
    /// to be lost.
    async fn run_order(
        &self,
        apply: impl FnOnce(&mut FakeMember) -> std::result::Result<(), ControlRefusal>,
    ) -> Result<MemberReport> {
        self.contact().await?;
        let (applied, lost) = {
            let mut members = self.group.lock();
            let member = members.get_mut(&self.address).unwrap();
            let applied = apply(member);
            let lost = member.lost_answers > 0;
            member.lost_answers = member.lost_answers.saturating_sub(1);
            (applied, lost)
        };
        if lost {
            tokio::time::sleep(self.timeout).await;
            return Err(ServiceError::NoAnswer("lost".to_owned()));
        }
        applied.map_err(ServiceError::Refused)?;
        Ok(self.group.report(self.address))
    }
}

impl MemberControl for FakeControl {
    async fn report(&self) -> Result<MemberReport> {
        self.group.reports.fetch_add(1, Ordering::Relaxed);
        self.contact().await?;
        Ok(self.group.report(self.address))
    }

    async fn await_position(
        &self,
        position: LogPosition,
        max_wait: Duration,
    ) -> Result<MemberReport> {
        self.group.long_polls.fetch_add(1, Ordering::Relaxed);
        self.contact().await?;
        let end = Instant::now() + max_wait;
        let term = self.group.report(self.address).promised_term;
        loop {
            let report = self.group.report(self.address);
            let ended = report.promised_term != term || Instant::now() >= end;
            if report.confirms(position) || ended {
                return Ok(report);
            }
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }

    async fn fence(&self, term: Term, proposer: ProposerId) -> Result<MemberReport> {
        self.run_order(|member| {
            let is_repeat = term == member.promised && member.proposer == Some(proposer);
            if term <= member.promised && !is_repeat {
                let promised = member.promised;
                return Err(ControlRefusal::StaleTerm { promised });
            }
            if !is_repeat {
                member.role = MemberRole::Replica;
                member.following = None;
                member.heartbeat_at = None;
            }
            member.promised = term;
            member.proposer = Some(proposer);
            Ok(())
        })
        .await
    }

    async fn promote(&self, term: Term, proposer: ProposerId) -> Result<MemberReport> {
        self.run_order(|member| {
            if member.promised != term || member.proposer != Some(proposer) {
                return Err(ControlRefusal::WrongProposer);
            }
            if member.role == MemberRole::Replica {
                member.role = MemberRole::Primary;
                member.log = LogPosition::new(term.0, member.log.offset + 1);
            }
            Ok(())
        })
        .await
    }

    async fn follow(&self, term: Term, primary: SocketAddr) -> Result<MemberReport> {
        self.run_order(|member| {
            if term < member.promised {
                let promised = member.promised;
                return Err(ControlRefusal::StaleTerm { promised });
            }
            member.promised = term;
            member.role = MemberRole::Replica;
            member.following = Some(primary);
            Ok(())
        })
        .await
    }
}

/// Fault of the table service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TableFault {
    /// No fault: it answers at once.
    #[default]
    None,
    /// It never answers.
    Silent,
    /// Writes take effect, but their answers are lost. Reads are answered.
    LostAnswers,
}

/// In-memory table service.
#[derive(Clone, Debug, Default)]
pub struct FakeTable {
    rows: Arc<Mutex<BTreeMap<String, TableRow>>>,
    pub fault: TableFault,
}

impl FakeTable {
    pub fn with_fault(fault: TableFault) -> Self {
        Self {
            fault,
            ..Self::default()
        }
    }

    pub fn row(&self, key: &str) -> TableRow {
        self.rows
            .lock()
            .unwrap()
            .get(key)
            .cloned()
            .unwrap_or_default()
    }
}

impl TableService for FakeTable {
    async fn read(&self, key: &str) -> Result<TableRow> {
        if self.fault == TableFault::Silent {
            std::future::pending::<()>().await;
        }
        Ok(self.row(key))
    }

    async fn write_if(&self, key: &str, expected: u64, value: &str) -> Result<WriteAnswer> {
        if self.fault == TableFault::Silent {
            std::future::pending::<()>().await;
        }
        let answer = {
            let mut rows = self.rows.lock().unwrap();
            let row = rows.entry(key.to_owned()).or_default();
            if row.revision == expected {
                row.revision += 1;
                row.value = value.to_owned();
                WriteAnswer::Written {
                    revision: row.revision,
                }
            } else {
                WriteAnswer::Conflict { row: row.clone() }
            }
        };
        if self.fault == TableFault::LostAnswers {
            return Err(ServiceError::NoAnswer("lost".to_owned()));
        }
        Ok(answer)
    }
}
