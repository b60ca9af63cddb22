//! One backend server: a member of a database group.
//!
//! The server speaks the PostgreSQL protocol on its statement address, and
//! member control and replication on its control address. SQL statements run in
//! an in-memory SQLite database, and the log of committed transactions is
//! replicated to the other members.

mod clock;
mod control;
mod disk;
mod entry;
mod member;
mod replication;
mod session;
mod settings;
mod sql;
mod startup;
mod statement;
mod store;
mod type_inference;
mod value;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use state::member::MemberReport;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

pub use settings::{BackendSettings, ReplicationRoutes};

use member::GroupMemberState;
use session::StatementServer;

/// A running backend server. Dropping it has the effect of a crash: connections
/// close without an answer and open transactions are lost.
#[derive(Debug)]
pub struct BackendServer {
    address: SocketAddr,
    control_address: SocketAddr,
    member: Arc<GroupMemberState>,
    statements: Arc<StatementServer>,
    tasks: Vec<JoinHandle<()>>,
}

impl BackendServer {
    /// Starts a server on the addresses in `settings`. Fails if an address cannot
    /// be bound or the data directory cannot be opened.
    pub async fn start(settings: BackendSettings) -> io::Result<Self> {
        let listener = TcpListener::bind(settings.address).await?;
        let control_listener = TcpListener::bind(settings.control_address).await?;
        Self::start_on(listener, control_listener, settings)
    }

    /// Starts a server on listeners that are already bound; the addresses in
    /// `settings` are ignored. Fails if the data directory cannot be opened.
    pub fn start_on(
        listener: TcpListener,
        control_listener: TcpListener,
        settings: BackendSettings,
    ) -> io::Result<Self> {
        let address = listener.local_addr()?;
        let control_address = control_listener.local_addr()?;
        let member = GroupMemberState::open(&settings)?;
        let statements = StatementServer::new(member.clone(), &settings);
        let tasks = vec![
            tokio::spawn(statements.clone().serve(listener)),
            tokio::spawn(control::serve(member.clone(), control_listener)),
            tokio::spawn(replication::follow_primary(
                member.clone(),
                settings.routes.clone(),
            )),
            tokio::spawn(replication::apply_due_entries(member.clone())),
        ];
        Ok(Self {
            address,
            control_address,
            member,
            statements,
            tasks,
        })
    }

    /// Returns the statement address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address for member control and replication.
    pub fn control_address(&self) -> SocketAddr {
        self.control_address
    }

    /// Returns the member's state, as the `report` control call does.
    pub fn report(&self) -> MemberReport {
        self.member.report()
    }

    /// Sets the age that an entry must reach before the primary sends it to this
    /// replica. Delays both `log` and `applied`, but not the heartbeats.
    pub fn set_receive_lag(&self, lag: Duration) {
        self.member.set_receive_lag(lag);
    }

    /// Sets the delay between the arrival of an entry at this replica and its
    /// application. Delays only `applied`.
    pub fn set_apply_lag(&self, lag: Duration) {
        self.member.set_apply_lag(lag);
    }

    /// Sets the time for which each statement occupies its slot.
    pub fn set_service_time(&self, time: Duration) {
        self.statements.set_service_time(time);
    }

    /// Returns the number of open statement connections.
    pub fn connection_count(&self) -> usize {
        self.statements.connection_count()
    }

    /// Returns the number of statements that have been executed.
    pub fn statement_count(&self) -> u64 {
        self.statements.statement_count()
    }

    /// Waits until the task that accepts statement connections ends, which only a
    /// panic causes.
    pub async fn run(mut self) {
        if let Some(task) = self.tasks.first_mut() {
            let _ = task.await;
        }
    }
}

impl Drop for BackendServer {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
        self.member.close_connections();
    }
}
