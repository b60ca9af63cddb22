//! Attempts to open connections to one server, and the pause after the server refused
//! one at its connection limit.

use std::time::{Duration, Instant};

/// Pause after the server refused a connection at its limit. It is doubled with each
/// refusal since the last connection that was opened.
const REFUSAL_PAUSE: Duration = Duration::from_millis(50);
/// Longest such pause before jitter.
const REFUSAL_PAUSE_MAX: Duration = Duration::from_millis(800);

/// What a pool did since it was last asked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionCounts {
    /// Connections that were opened.
    pub opened: u64,
    /// Connections that were closed by either side.
    pub closed: u64,
    /// Attempts that the server refused at its connection limit.
    pub turned_away: u64,
    /// Idle connections on which the server sent bytes that nothing was waiting for.
    pub surplus: u64,
    /// Connections that broke because an answer may belong to another request.
    pub mismatched: u64,
    /// Time that requests spent until they had a connection or gave up.
    pub waited: Duration,
}

/// The attempts to open connections to one server.
///
/// # Invariants
///
/// Every attempt that began ends once.
#[derive(Debug, Default)]
pub(super) struct ConnectAttempts {
    running: usize,
    /// Refusals since the last connection that was opened. Refusals of attempts that
    /// ran at the same time count once.
    refusals: u32,
    paused_until: Option<Instant>,
    opened_total: u64,
    closed_total: u64,
    counts: ConnectionCounts,
}

impl ConnectAttempts {
    /// Returns the number of attempts that are under way.
    pub(super) fn running(&self) -> usize {
        self.running
    }

    /// Returns the end of the pause, if there is one at `now`.
    pub(super) fn paused_until(&self, now: Instant) -> Option<Instant> {
        self.paused_until.filter(|until| *until > now)
    }

    /// Records that an attempt begins.
    pub(super) fn begin(&mut self) {
        self.running += 1;
    }

    /// Records the end of an attempt.
    pub(super) fn end(&mut self, succeeded: bool) {
        self.running -= 1;
        if succeeded {
            self.refusals = 0;
            self.paused_until = None;
            self.opened_total += 1;
            self.counts.opened += 1;
        }
    }

    /// Records that the server refused a connection at its limit. `jitter` is a factor
    /// of the pause.
    pub(super) fn record_refusal(&mut self, jitter: f64, now: Instant) {
        self.counts.turned_away += 1;
        if self.paused_until(now).is_some() {
            return;
        }
        let doubled = REFUSAL_PAUSE.saturating_mul(1 << self.refusals.min(8));
        self.paused_until = Some(now + doubled.min(REFUSAL_PAUSE_MAX).mul_f64(jitter));
        self.refusals += 1;
    }

    /// Records that an idle connection had bytes to read.
    pub(super) fn record_surplus(&mut self) {
        self.counts.surplus += 1;
    }

    /// Records that a connection broke because of an answer that was not attributed.
    pub(super) fn record_mismatch(&mut self) {
        self.counts.mismatched += 1;
    }

    /// Records how long a request waited for a connection.
    pub(super) fn record_wait(&mut self, waited: Duration) {
        self.counts.waited += waited;
    }

    /// Returns what was counted since the last call. `open` is the number of connections
    /// that are open or being opened.
    pub(super) fn take_counts(&mut self, open: usize) -> ConnectionCounts {
        let established = open.saturating_sub(self.running) as u64;
        let closed = self.opened_total.saturating_sub(established);
        self.counts.closed = closed.saturating_sub(self.closed_total);
        self.closed_total = self.closed_total.max(closed);
        std::mem::take(&mut self.counts)
    }
}
