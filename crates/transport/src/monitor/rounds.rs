//! Watermark rounds: the requests that wait for them, and the watermarks that
//! they produced.

use std::time::{Duration, Instant};

use coordination::view::GroupWatermark;
use coordination::watermark::{WatermarkHistory, WatermarkRound};
use state::keys::MemberKey;
use state::member::MemberReport;
use tokio::sync::oneshot;

/// Minimum age of the newest round before waiting requests start another one.
/// Rounds may overlap, so that on a slow network new requests do not wait for the
/// previous round to end.
const ROUND_SPACING: Duration = Duration::from_millis(5);
/// Maximum number of rounds in flight, since each one calls all members.
const ROUND_LIMIT: usize = 16;

type WatermarkReply = oneshot::Sender<GroupWatermark>;

/// Watermark rounds of one group.
#[derive(Debug, Default)]
pub(super) struct WatermarkRounds {
    history: WatermarkHistory,
    /// Requests that arrived after the last round started.
    waiting: Vec<WatermarkReply>,
    /// Oldest first.
    in_flight: Vec<PendingRound>,
}

#[derive(Debug)]
struct PendingRound {
    round: WatermarkRound,
    waiters: Vec<WatermarkReply>,
}

impl WatermarkRounds {
    /// Adds a request, which the next round to start will serve.
    pub(super) fn request(&mut self, reply: WatermarkReply) {
        self.waiting.push(reply);
    }

    /// Returns whether requests wait and a round may start now.
    pub(super) fn wants_round(&self, now: Instant) -> bool {
        !self.waiting.is_empty() && self.spacing_end().is_none_or(|end| end <= now)
    }

    /// Returns the earliest instant of the next round, if requests wait for one
    /// and another round is in flight.
    pub(super) fn next_start(&self) -> Option<Instant> {
        if self.waiting.is_empty() {
            return None;
        }
        self.spacing_end()
    }

    fn spacing_end(&self) -> Option<Instant> {
        let newest = self.in_flight.last()?;
        Some(newest.round.asked_at() + ROUND_SPACING)
    }

    /// Starts a round that serves all requests received so far. `now` must lie
    /// before the calls to the members are sent.
    pub(super) fn start(&mut self, members: usize, now: Instant) {
        if self.in_flight.len() >= ROUND_LIMIT {
            self.drop_oldest();
        }
        self.in_flight.push(PendingRound {
            round: WatermarkRound::start(now, members),
            waiters: std::mem::take(&mut self.waiting),
        });
    }

    /// Applies a report; returns whether it completed a round.
    pub(super) fn report(
        &mut self,
        member: MemberKey,
        report: &MemberReport,
        sent_at: Instant,
    ) -> bool {
        let mut completed = None;
        for (index, pending) in self.in_flight.iter_mut().enumerate() {
            if let Some(watermark) = pending.round.reply(member, report, sent_at) {
                completed = Some((index, watermark));
            }
        }
        // A later round covers every write that an earlier one covers, so its
        // watermark also answers the requests of the earlier rounds.
        let Some((index, watermark)) = completed else {
            return false;
        };
        for pending in self.in_flight.drain(..=index) {
            for waiter in pending.waiters {
                let _ = waiter.send(watermark);
            }
        }
        self.history.push(watermark);
        true
    }

    /// Ends the rounds that started more than `timeout` ago and moves their
    /// requests to the next round. Drops waiting requests that were
    /// cancelled.
    pub(super) fn expire(&mut self, timeout: Duration, now: Instant) {
        while self.in_flight.first().is_some_and(|pending| {
            now.saturating_duration_since(pending.round.asked_at()) > timeout
        }) {
            self.drop_oldest();
        }
        self.waiting.retain(|waiter| !waiter.is_closed());
    }

    /// Ends all rounds after a change of the members; their requests wait for the
    /// next round.
    pub(super) fn restart(&mut self) {
        while !self.in_flight.is_empty() {
            self.drop_oldest();
        }
    }

    /// Ends the oldest round. Its requests move to the next round in flight, which
    /// started later and so covers them, or else wait for a new round.
    fn drop_oldest(&mut self) {
        let oldest = self.in_flight.remove(0);
        let successor = match self.in_flight.first_mut() {
            Some(next) => &mut next.waiters,
            None => &mut self.waiting,
        };
        successor.extend(oldest.waiters);
    }

    /// Returns the watermarks of recent rounds, which bound the age of log
    /// positions.
    pub(super) fn watermarks(&self) -> &[GroupWatermark] {
        self.history.watermarks()
    }
}
