//! The connections of this host to one member: those for statements, and one for
//! status questions and changes of primary.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::codec::StatementCodec;
use super::hop::{LinkIdentity, MemberLink};
use super::metrics::EntryMetrics;
use crate::pool::{AdmissionGate, MemberPool};

/// Time without use after which a connection for statements is closed. Opening another
/// one costs 12 ms, and connections under load are used several times a second.
const UNUSED_AFTER: Duration = Duration::from_secs(3);
/// The same time for the connection for status questions, which counts against the
/// reserve of the member's connections. A host that asks for others does so every
/// 400 ms.
const STATUS_UNUSED_AFTER: Duration = Duration::from_secs(1);
/// Connections for status questions: a host asks a member one question at a time.
const STATUS_SHARE: usize = 1;
/// Shortest time between two log lines about connections that a member turned away.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// The links to one member.
pub(crate) type ConnectionPool<K> = Arc<MemberPool<MemberLink<K>>>;

/// The pools of one member.
#[derive(Debug)]
pub(super) struct MemberPools<K: StatementCodec> {
    /// Connections for statements, within the host's share.
    pub(super) statements: ConnectionPool<K>,
    /// Connection for status questions and changes of primary, which must not wait for
    /// a statement to end.
    pub(super) status: ConnectionPool<K>,
    /// Refusals that were not logged yet.
    turned_away: u64,
    logged_at: Option<Instant>,
}

impl<K: StatementCodec> MemberPools<K> {
    /// Creates pools without open connections.
    pub(super) fn new(
        name: &str,
        address: SocketAddr,
        identity: &LinkIdentity,
        share: usize,
        gate: &Arc<AdmissionGate>,
    ) -> Self {
        let pool = |share| {
            let (identity, gate) = (identity.clone(), gate.clone());
            MemberPool::new(name, address, identity, share, gate)
        };
        Self {
            statements: pool(share),
            status: pool(STATUS_SHARE),
            turned_away: 0,
            logged_at: None,
        }
    }

    /// Closes the idle connections that last received a byte before `instant`.
    pub(super) fn close_idle_before(&self, instant: Instant) {
        self.statements.close_idle_before(instant);
        self.status.close_idle_before(instant);
    }

    /// Closes unused connections, and counts and logs what happened since the last call.
    /// `holds` tells whether the host holds connections of the group.
    pub(super) fn maintain(
        &mut self,
        group: &str,
        holds: bool,
        metrics: &EntryMetrics,
        now: Instant,
    ) {
        match now.checked_sub(UNUSED_AFTER) {
            Some(instant) if holds => self.statements.close_unused_before(instant),
            // The holders share all connections but a reserve.
            Some(instant) => self.statements.close_idle_before(instant),
            None => {}
        }
        if let Some(instant) = now.checked_sub(STATUS_UNUSED_AFTER) {
            self.status.close_idle_before(instant);
        }
        for pool in [&self.statements, &self.status] {
            let counts = pool.take_counts();
            self.turned_away += counts.turned_away;
            metrics.count_connections(pool.name(), &counts);
        }
        let is_due = self
            .logged_at
            .is_none_or(|at| now.saturating_duration_since(at) >= LOG_INTERVAL);
        if self.turned_away > 0 && is_due {
            log::info!(
                group, member = self.statements.name(), count = self.turned_away,
                open = self.statements.open(), share = self.statements.share();
                "connections turned away"
            );
            self.turned_away = 0;
            self.logged_at = Some(now);
        }
    }
}
