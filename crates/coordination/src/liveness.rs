//! Detection of connections that stop responding for good while new
//! connections to the same member work.

use std::time::{Duration, Instant};

use slotmap::SlotMap;

/// Shortest time between two probes of a member, so that many overdue
/// exchanges of a dead member do not open many connections.
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
    /// It got none in time.
    NoAnswer,
}

#[derive(Clone, Copy, Debug)]
struct OpenExchange {
    /// Half of the way to the deadline.
    silent_at: Instant,
    started_at: Instant,
}

#[derive(Clone, Copy, Debug)]
struct WatchedConnection {
    last_received: Instant,
    exchange: Option<OpenExchange>,
}

impl WatchedConnection {
    /// Returns when the connection counts as silent. A byte received since the
    /// exchange began shows that the connection works.
    fn silent_at(&self) -> Option<Instant> {
        let exchange = self.exchange?;
        (self.last_received <= exchange.started_at).then_some(exchange.silent_at)
    }
}

/// Watches the connections of one member.
///
/// An exchange that has passed half its deadline without a byte received calls
/// for a probe with a new connection. If the probe is answered, the member is
/// alive, so the connection is at fault and is closed.
///
/// # Invariants
///
/// At most one probe is open. A connection that was silent only after the probe
/// began is not closed by it.
#[derive(Clone, Debug, Default)]
pub struct SilenceDetector {
    connections: SlotMap<ConnectionKey, WatchedConnection>,
    probe_started_at: Option<Instant>,
    probe_allowed_at: Option<Instant>,
}

impl SilenceDetector {
    /// Creates a detector without connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a connection whose start-up has just ended.
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

    /// Notes that an exchange was sent.
    pub fn begin_exchange(&mut self, connection: ConnectionKey, now: Instant, deadline: Instant) {
        let Some(watched) = self.connections.get_mut(connection) else {
            return;
        };
        let half = deadline.saturating_duration_since(now) / 2;
        watched.exchange = Some(OpenExchange {
            silent_at: now + half,
            started_at: now,
        });
    }

    /// Notes that bytes arrived.
    pub fn note_received(&mut self, connection: ConnectionKey, now: Instant) {
        if let Some(watched) = self.connections.get_mut(connection) {
            watched.last_received = watched.last_received.max(now);
        }
    }

    /// Notes that an exchange has its whole answer.
    pub fn end_exchange(&mut self, connection: ConnectionKey, now: Instant) {
        self.note_received(connection, now);
        if let Some(watched) = self.connections.get_mut(connection) {
            watched.exchange = None;
        }
    }

    /// Tells whether to open a probe now. The caller reports its outcome with
    /// [`Self::end_probe`].
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

    /// Returns the instant at which [`Self::begin_probe`] is due.
    pub fn next_probe(&self) -> Option<Instant> {
        if self.probe_started_at.is_some() {
            return None;
        }
        let silent = self.connections.values();
        let earliest = silent.filter_map(WatchedConnection::silent_at).min()?;
        Some(earliest.max(self.probe_allowed_at.unwrap_or(earliest)))
    }

    /// Ends the probe and returns the connections to close.
    ///
    /// They are the silent ones and, of their idle siblings, those that last
    /// received a byte earlier than a silent one did: whatever broke the silent
    /// connection is as likely to have broken them, and closing an idle
    /// connection harms no request. A sibling with an open exchange is left to
    /// its own half deadline, since its statement may just take longer.
    pub fn end_probe(&mut self, outcome: ProbeOutcome) -> Vec<ConnectionKey> {
        let Some(started_at) = self.probe_started_at.take() else {
            return Vec::new();
        };
        if outcome == ProbeOutcome::NoAnswer {
            return Vec::new();
        }
        let is_silent =
            |watched: &WatchedConnection| watched.silent_at().is_some_and(|at| at <= started_at);
        let newest_silent = self
            .connections
            .values()
            .filter(|watched| is_silent(watched))
            .map(|watched| watched.last_received)
            .max();
        let Some(newest_silent) = newest_silent else {
            return Vec::new();
        };
        let at_fault = |watched: &WatchedConnection| match watched.exchange {
            Some(_) => is_silent(watched),
            None => watched.last_received < newest_silent,
        };
        let closed: Vec<ConnectionKey> = self
            .connections
            .iter()
            .filter(|(_, watched)| at_fault(watched))
            .map(|(key, _)| key)
            .collect();
        for key in &closed {
            self.connections.remove(*key);
        }
        closed
    }
}
