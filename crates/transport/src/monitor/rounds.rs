//! Watermark rounds: who waits for which one, and the freshness anchors.

use std::time::{Duration, Instant};

use coordination::view::GroupWatermark;
use coordination::watermark::{WatermarkHistory, WatermarkRound};
use state::keys::MemberKey;
use state::member::MemberReport;
use tokio::sync::oneshot;

/// Age of the youngest round after which a further one may be sent. On a slow
/// network new requests then need not wait for the round before theirs.
const ROUND_SPACING: Duration = Duration::from_millis(5);
/// Rounds in flight at most, since each asks all members.
const ROUND_LIMIT: usize = 16;

type WatermarkReply = oneshot::Sender<GroupWatermark>;

/// The rounds of one group.
#[derive(Debug, Default)]
pub(super) struct WatermarkRounds {
    history: WatermarkHistory,
    /// Requests that arrived after the youngest round was sent.
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
    /// Adds a request; the next round that starts serves it.
    pub(super) fn request(&mut self, reply: WatermarkReply) {
        self.waiting.push(reply);
    }

    /// Tells whether a round should start before the next probe is due.
    pub(super) fn wants_round(&self, now: Instant) -> bool {
        !self.waiting.is_empty() && self.spacing_end().is_none_or(|end| end <= now)
    }

    /// Returns the instant at which waiting requests may start a round.
    pub(super) fn next_start(&self) -> Option<Instant> {
        if self.waiting.is_empty() {
            return None;
        }
        self.spacing_end()
    }

    fn spacing_end(&self) -> Option<Instant> {
        let youngest = self.in_flight.last()?;
        Some(youngest.round.asked_at() + ROUND_SPACING)
    }

    /// Starts a round at `now`, before its questions are sent. It serves all
    /// requests that have arrived.
    pub(super) fn start(&mut self, members: usize, now: Instant) {
        if self.in_flight.len() >= ROUND_LIMIT {
            self.drop_oldest();
        }
        self.in_flight.push(PendingRound {
            round: WatermarkRound::start(now, members),
            waiters: std::mem::take(&mut self.waiting),
        });
    }

    /// Enters a report; returns whether it finished a round.
    pub(super) fn report(
        &mut self,
        member: MemberKey,
        report: &MemberReport,
        sent_at: Instant,
    ) -> bool {
        let mut finished = None;
        for (index, pending) in self.in_flight.iter_mut().enumerate() {
            if let Some(watermark) = pending.round.reply(member, report, sent_at) {
                finished = Some((index, watermark));
            }
        }
        // A younger round covers everything that an older one covers, so its
        // watermark serves the older rounds' requests too.
        let Some((index, watermark)) = finished else {
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

    /// Ends rounds that were asked more than `timeout` ago; their requests wait
    /// for the next one.
    pub(super) fn expire(&mut self, timeout: Duration, now: Instant) {
        while self.in_flight.first().is_some_and(|pending| {
            now.saturating_duration_since(pending.round.asked_at()) > timeout
        }) {
            self.drop_oldest();
        }
        self.waiting.retain(|waiter| !waiter.is_closed());
    }

    /// Ends all rounds, because the members changed.
    pub(super) fn restart(&mut self) {
        while !self.in_flight.is_empty() {
            self.drop_oldest();
        }
    }

    /// A round asked later serves the requests of an older one as well, so they
    /// move to the next one if there is any.
    fn drop_oldest(&mut self) {
        let oldest = self.in_flight.remove(0);
        let heir = match self.in_flight.first_mut() {
            Some(next) => &mut next.waiters,
            None => &mut self.waiting,
        };
        heir.extend(oldest.waiters);
    }

    /// Returns the freshness anchors.
    pub(super) fn anchors(&self) -> &[GroupWatermark] {
        self.history.watermarks()
    }
}
