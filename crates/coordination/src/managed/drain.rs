//! What a stopping entry host still does, and until when.

use std::time::{Duration, Instant};

/// Time before the platform kills the process at which the process exits by itself.
const EXIT_RESERVE: Duration = Duration::from_millis(500);
/// Time before the exit at which the last statement is answered. It is for answers that are
/// still to be written, and statements that arrive in it are refused at once.
const ANSWER_RESERVE: Duration = Duration::from_millis(250);

/// The end of each kind of work on a host that was told to stop.
///
/// # Invariants
///
/// `transactions_end` is at or before `answers_end`, which is at or before `exit_at`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainSchedule {
    /// Instant from which on open transactions end after a short time without a statement.
    pub transactions_end: Instant,
    /// Instant by which every statement has an answer.
    pub answers_end: Instant,
    /// Instant at which the process exits.
    pub exit_at: Instant,
}

impl DrainSchedule {
    /// Creates the schedule of a host that was told to stop at `started`, and is killed
    /// after `grace`.
    pub fn new(started: Instant, grace: Duration) -> Self {
        let exit_after = grace.saturating_sub(EXIT_RESERVE);
        let answers_after = exit_after.saturating_sub(ANSWER_RESERVE);
        Self {
            transactions_end: started + (grace / 2).min(answers_after),
            answers_end: started + answers_after,
            exit_at: started + exit_after,
        }
    }
}
