//! Detection of stalled connections: connections that stop responding for good
//! while new connections to the same member work.

use std::time::{Duration, Instant};

use slotmap::SlotMap;

/// Shortest time between two probes of a member, so that many overdue exchanges
/// with a dead member do not open many connections.
const PROBE_SPACING: Duration = Duration::from_millis(250);

slotmap::new_key_type! {
    /// Key of a watched connection.
    pub struct ConnectionKey;
}

/// Outcome of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// The new connection got an answer.
    Alive,
    /// The new connection got no answer in time.
    NoAnswer,
}

#[derive(Clone, Copy, Debug)]
struct OpenExchange {
    /// Instant halfway between the start of the exchange and its deadline.
    stalled_at: Instant,
    started_at: Instant,
}

#[derive(Clone, Copy, Debug)]
struct WatchedConnection {
    last_received: Instant,
    exchange: Option<OpenExchange>,
}

impl WatchedConnection {
    /// Returns when the connection counts as stalled, or `None` if it has no open
    /// exchange or received a byte since the exchange began.
    fn stalled_at(&self) -> Option<Instant> {
        let exchange = self.exchange?;
        (self.last_received <= exchange.started_at).then_some(exchange.stalled_at)
    }
}

/// Detects stalled connections of one member.
///
/// A connection is stalled if it has received no byte of an exchange by half of
/// the exchange's deadline. The member is then probed with a new connection. If
/// the probe is answered, the member is alive and the stalled connection is
/// closed.
///
/// # Invariants
///
/// At most one probe is open. A probe does not close a connection that stalled
/// only after the probe began.
#[derive(Clone, Debug, Default)]
pub struct StallDetector {
    connections: SlotMap<ConnectionKey, WatchedConnection>,
    probe_started_at: Option<Instant>,
    probe_allowed_at: Option<Instant>,
}

impl StallDetector {
    /// Creates a detector without connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a connection that has just finished its start-up.
    pub fn add(&mut self, now: Instant) -> ConnectionKey {
        self.connections.insert(WatchedConnection {
            last_received: now,
            exchange: None,
        })
    }

    /// Removes a connection that was closed.
    pub fn remove(&mut self, connection: ConnectionKey) {
        self.connections.remove(connection);
    }

    /// Records that the request of an exchange was sent.
    pub fn begin_exchange(&mut self, connection: ConnectionKey, now: Instant, deadline: Instant) {
        let Some(watched) = self.connections.get_mut(connection) else {
            return;
        };
        let half_deadline = deadline.saturating_duration_since(now) / 2;
        watched.exchange = Some(OpenExchange {
            stalled_at: now + half_deadline,
            started_at: now,
        });
    }

    /// Records that bytes were received.
    pub fn record_received(&mut self, connection: ConnectionKey, now: Instant) {
        if let Some(watched) = self.connections.get_mut(connection) {
            watched.last_received = watched.last_received.max(now);
        }
    }

    /// Records that the answer of an exchange is complete.
    pub fn end_exchange(&mut self, connection: ConnectionKey, now: Instant) {
        self.record_received(connection, now);
        if let Some(watched) = self.connections.get_mut(connection) {
            watched.exchange = None;
        }
    }

    /// Returns whether to open a probe now. If so, the outcome must be reported
    /// with [`Self::end_probe`].
    #[must_use]
    pub fn begin_probe(&mut self, now: Instant) -> bool {
        let due = self.next_probe().is_some_and(|at| at <= now);
        if due {
            assert!(self.probe_started_at.is_none(), "one probe at a time");
            self.probe_started_at = Some(now);
            self.probe_allowed_at = Some(now + PROBE_SPACING);
        }
        due
    }

    /// Returns the instant at which [`Self::begin_probe`] is due, if any.
    pub fn next_probe(&self) -> Option<Instant> {
        if self.probe_started_at.is_some() {
            return None;
        }
        let watched = self.connections.values();
        let earliest = watched.filter_map(WatchedConnection::stalled_at).min()?;
        Some(earliest.max(self.probe_allowed_at.unwrap_or(earliest)))
    }

    /// Ends the probe and returns the connections to close.
    ///
    /// These are the stalled connections, and the idle connections that last
    /// received a byte earlier than some stalled connection did. The same fault is
    /// likely to have broken them, and closing an idle connection harms no request.
    /// A connection with an open exchange is kept until half of its own deadline,
    /// because its statement may just take longer.
    pub fn end_probe(&mut self, outcome: ProbeOutcome) -> Vec<ConnectionKey> {
        let Some(started_at) = self.probe_started_at.take() else {
            return Vec::new();
        };
        if outcome == ProbeOutcome::NoAnswer {
            return Vec::new();
        }
        let is_stalled =
            |watched: &WatchedConnection| watched.stalled_at().is_some_and(|at| at <= started_at);
        let newest_stalled = self
            .connections
            .values()
            .filter(|watched| is_stalled(watched))
            .map(|watched| watched.last_received)
            .max();
        let Some(newest_stalled) = newest_stalled else {
            return Vec::new();
        };
        let should_close = |watched: &WatchedConnection| match watched.exchange {
            Some(_) => is_stalled(watched),
            None => watched.last_received < newest_stalled,
        };
        let closed: Vec<ConnectionKey> = self
            .connections
            .iter()
            .filter(|(_, watched)| should_close(watched))
            .map(|(key, _)| key)
            .collect();
        for key in &closed {
            self.connections.remove(*key);
        }
        closed
    }
}
