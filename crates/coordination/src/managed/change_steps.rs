//! The steps of a change of primary, from the duty to the row of the successor.
//!
//! Borders: decides what comes next. Whoever carries the steps out asks the
//! store, the members and the platform, and enters what came of it.

use std::fmt;
use std::time::{Duration, Instant};

use state::keys::MemberKey;
use state::log::{LogPosition, Term};
use state::member::MemberRole;

use crate::managed::change::{decide_survey, ChangeReason, SurveyDecision, SurveyReply};
use crate::managed::duty::{self, DutyDecision, DutyReading, DutyRow, HeldDuty};
use crate::managed::group::ManagedGroup;
use crate::managed::reign::{AnnouncedChange, ReignRow, ASSURANCE};

/// Time from the announcement of an orderly change to the step-down. With a
/// promotion of some hundred milliseconds behind it, the successor leads about
/// when the last assurance ends; hosts still assure the primary until then.
const ORDERLY_NOTICE: Duration = Duration::from_millis(400);
/// Wait beyond the last assurance before a promotion whose former primary did
/// not step down: a commit may be on its way to it.
const FENCE_MARGIN: Duration = Duration::from_millis(100);
/// Longest wait for the successor to receive what the former primary held when
/// it stepped down: replicas are tens of milliseconds behind.
const CATCH_UP: Duration = Duration::from_millis(500);
/// Interval of questions to a member that is expected to lead soon.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Longest wait for an ordered promotion to take effect. The platform states
/// some hundred milliseconds.
const PROMOTION_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Pause before an order to promote without an answer is sent again.
const ORDER_PAUSE: Duration = Duration::from_millis(200);

/// Why a change of primary did not finish. It is taken up again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeFailure {
    /// Another host holds the duty.
    HeldElsewhere(String),
    /// Another host wrote a row first.
    Conflict,
    /// The duty ended.
    DutyEnded,
    /// No member can take over.
    NoCandidate,
    /// The promotion did not take effect in time.
    NotPromoted,
}

impl fmt::Display for ChangeFailure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::HeldElsewhere(host) => write!(formatter, "the duty is held by {host}"),
            Self::Conflict => formatter.write_str("another host wrote the row first"),
            Self::DutyEnded => formatter.write_str("the duty has ended"),
            Self::NoCandidate => formatter.write_str("no member can take over"),
            Self::NotPromoted => formatter.write_str("the promotion did not take effect"),
        }
    }
}

/// What is to be done next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeStep {
    /// Read the row of the duty.
    ReadDuty,
    /// Write the row of the duty.
    WriteDuty {
        /// New value.
        row: DutyRow,
        /// Revision that the row must have.
        expected_revision: u64,
    },
    /// Write the row of the group and enter it in the group.
    WriteReign {
        /// New value.
        row: ReignRow,
        /// Revision that the row must have.
        expected_revision: u64,
    },
    /// Let a member step down if it leads a term below `term`.
    StepDown {
        /// The former primary.
        member: MemberKey,
        /// The term.
        term: Term,
    },
    /// Ask the listed members for their status.
    Survey {
        /// The former primary, which is not asked.
        former: Option<MemberKey>,
    },
    /// Order the promotion of a member.
    Promote {
        /// The member.
        member: MemberKey,
        /// Fencing token of the duty.
        fencing_token: u64,
    },
    /// Ask a member for its status.
    AskStatus {
        /// The member.
        member: MemberKey,
    },
    /// Wait until an instant; it may have passed.
    Wait {
        /// The instant.
        until: Instant,
    },
    /// The change is done.
    Done {
        /// Identity of the primary.
        primary: String,
        /// Its term.
        term: Term,
    },
    /// The change is given up for now.
    Fail(ChangeFailure),
}

/// What came of an order to promote.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The member takes over soon, or leads already.
    Accepted,
    /// The member cannot take over.
    Rejected,
    /// It is not known whether the order was received.
    Unknown,
}

/// What came of a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StepOutcome {
    /// No step was taken yet.
    Started,
    /// The row of the duty.
    Duty(DutyReading),
    /// A row was written.
    Written {
        /// Its revision.
        revision: u64,
    },
    /// A row had another revision; nothing was written.
    Conflict,
    /// Where the log of the former primary ended as it stepped down; nothing if
    /// it did not say so.
    SteppedDown(Option<LogPosition>),
    /// The members that answered a survey.
    Surveyed(Vec<SurveyReply>),
    /// The answer to an order.
    Ordered(OrderOutcome),
    /// Role and term of a member; nothing if it did not answer.
    Status(Option<(MemberRole, Term)>),
    /// The instant was reached.
    Waited,
}

/// An announced change.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Announcement {
    /// Row before the change.
    former: ReignRow,
    /// Revision of the announcement.
    revision: u64,
    /// Instant after the announcement was acknowledged.
    announced_at: Instant,
}

/// The step whose outcome is awaited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StepPhase {
    Start,
    ReadingDuty,
    TakingDuty,
    Announcing,
    /// Hosts get time to see the announcement of an orderly change.
    Noticing,
    SteppingDown,
    Surveying,
    /// No replica holds the whole log yet.
    CatchingUp,
    /// The assurances of a primary that did not step down have to end.
    AwaitingFence(MemberKey),
    Ordering(MemberKey),
    /// An order had no answer and is about to be sent again.
    AwaitingRepeat(MemberKey),
    AskingSuccessor(MemberKey),
    /// The successor does not lead yet.
    AwaitingSuccessor(MemberKey),
    /// The successor leads; all assurances have to end before its row.
    AwaitingEnd(MemberKey, Term),
    Settling,
}

/// One attempt of a host to change the primary of a group.
///
/// # Invariants
///
/// A promotion is ordered only under the duty, after the announcement was
/// acknowledged, and either after the former primary stepped down or after
/// every assurance of it has ended. The row of the successor is written only
/// after the latter.
#[derive(Clone, Debug)]
pub struct ChangeProcedure {
    host: String,
    /// Random number of the host's process.
    incarnation: u64,
    reason: ChangeReason,
    phase: StepPhase,
    duty: Option<HeldDuty>,
    announcement: Option<Announcement>,
    /// Where the log of the former primary ended as it stepped down.
    stepped: Option<LogPosition>,
    /// End of the present step's patience.
    give_up: Option<Instant>,
    /// The row that is being written.
    pending: Option<ReignRow>,
}

impl ChangeProcedure {
    /// Starts an attempt.
    pub fn new(host: &str, incarnation: u64, reason: ChangeReason) -> Self {
        Self {
            host: host.to_owned(),
            incarnation,
            reason,
            phase: StepPhase::Start,
            duty: None,
            announcement: None,
            stepped: None,
            give_up: None,
            pending: None,
        }
    }

    /// Enters what came of the last step and returns the next one.
    ///
    /// # Panics
    ///
    /// Panics if the outcome does not belong to the last step.
    pub fn next(&mut self, group: &ManagedGroup, outcome: StepOutcome, now: Instant) -> ChangeStep {
        use StepOutcome as Outcome;
        use StepPhase as Phase;
        match (self.phase, outcome) {
            (Phase::Start, Outcome::Started) => {
                self.enter(Phase::ReadingDuty, ChangeStep::ReadDuty)
            }
            (Phase::ReadingDuty, Outcome::Duty(reading)) => self.take_duty(&reading),
            (Phase::TakingDuty, Outcome::Written { .. }) => self.announce(group),
            (Phase::Announcing, Outcome::Written { revision }) => {
                self.note_announced(group, revision, now)
            }
            (Phase::TakingDuty | Phase::Announcing | Phase::Settling, Outcome::Conflict) => {
                ChangeStep::Fail(ChangeFailure::Conflict)
            }
            (Phase::Noticing, Outcome::Waited) => self.step_down(group, now),
            (Phase::SteppingDown, Outcome::SteppedDown(end)) => {
                self.stepped = end;
                self.give_up = Some(now + CATCH_UP);
                self.survey(group)
            }
            (Phase::CatchingUp, Outcome::Waited) => self.survey(group),
            (Phase::Surveying, Outcome::Surveyed(replies)) => self.judge(group, &replies, now),
            (Phase::AwaitingFence(member) | Phase::AwaitingRepeat(member), Outcome::Waited) => {
                self.order(member, now)
            }
            (Phase::Ordering(member), Outcome::Ordered(outcome)) => {
                self.note_order(member, outcome, now)
            }
            (Phase::AwaitingSuccessor(member), Outcome::Waited) => self.ask_successor(member),
            (Phase::AskingSuccessor(member), Outcome::Status(status)) => {
                self.note_successor(member, status, now)
            }
            (Phase::AwaitingEnd(member, term), Outcome::Waited) => self.settle(group, member, term),
            (Phase::Settling, Outcome::Written { .. }) => match self.pending.take() {
                Some(row) => ChangeStep::Done {
                    primary: row.primary,
                    term: row.term,
                },
                None => ChangeStep::Fail(ChangeFailure::Conflict),
            },
            (phase, outcome) => panic!("{outcome:?} does not follow {phase:?}"),
        }
    }

    fn enter(&mut self, phase: StepPhase, step: ChangeStep) -> ChangeStep {
        self.phase = phase;
        step
    }

    fn take_duty(&mut self, reading: &DutyReading) -> ChangeStep {
        match duty::decide(reading, &self.host, self.incarnation) {
            DutyDecision::HeldElsewhere { host } => {
                ChangeStep::Fail(ChangeFailure::HeldElsewhere(host))
            }
            DutyDecision::Write { row, held } => {
                self.duty = Some(held);
                let expected_revision = reading.revision;
                let step = ChangeStep::WriteDuty {
                    row,
                    expected_revision,
                };
                self.enter(StepPhase::TakingDuty, step)
            }
        }
    }

    fn announce(&mut self, group: &ManagedGroup) -> ChangeStep {
        let (Some(former), Some(duty)) = (group.reign.row(), self.duty) else {
            return ChangeStep::Fail(ChangeFailure::Conflict);
        };
        let row = ReignRow {
            change: Some(AnnouncedChange {
                host: self.host.clone(),
                fencing_token: duty.fencing_token,
                orderly: self.reason == ChangeReason::Draining,
            }),
            ..former.clone()
        };
        self.pending = Some(former.clone());
        let expected_revision = group.reign.revision();
        let step = ChangeStep::WriteReign {
            row,
            expected_revision,
        };
        self.enter(StepPhase::Announcing, step)
    }

    fn note_announced(&mut self, group: &ManagedGroup, revision: u64, now: Instant) -> ChangeStep {
        let Some(former) = self.pending.take() else {
            return ChangeStep::Fail(ChangeFailure::Conflict);
        };
        self.announcement = Some(Announcement {
            former,
            revision,
            announced_at: now,
        });
        if self.reason == ChangeReason::Draining {
            let until = now + ORDERLY_NOTICE;
            return self.enter(StepPhase::Noticing, ChangeStep::Wait { until });
        }
        self.step_down(group, now)
    }

    fn former_key(&self, group: &ManagedGroup) -> Option<MemberKey> {
        let announcement = self.announcement.as_ref()?;
        group.find(&announcement.former.primary)
    }

    fn step_down(&mut self, group: &ManagedGroup, now: Instant) -> ChangeStep {
        let former = self.former_key(group).zip(self.announcement.as_ref());
        let Some((member, announcement)) = former else {
            self.give_up = Some(now + CATCH_UP);
            return self.survey(group);
        };
        let term = announcement.former.term.next();
        let step = ChangeStep::StepDown { member, term };
        self.enter(StepPhase::SteppingDown, step)
    }

    fn survey(&mut self, group: &ManagedGroup) -> ChangeStep {
        let former = self.former_key(group);
        self.enter(StepPhase::Surveying, ChangeStep::Survey { former })
    }

    /// After an orderly step-down, a member is promoted only when it holds the
    /// whole log, as long as there is patience.
    fn judge(&mut self, group: &ManagedGroup, replies: &[SurveyReply], now: Instant) -> ChangeStep {
        let member = match decide_survey(group, replies, self.former_key(group)) {
            SurveyDecision::Settle { member, term } => return self.await_end(member, term),
            SurveyDecision::Promote { member } => member,
            SurveyDecision::Wait => return ChangeStep::Fail(ChangeFailure::NoCandidate),
        };
        let received = replies.iter().find(|reply| reply.member == member);
        let is_complete = match (self.stepped, received) {
            (Some(end), Some(reply)) => reply.received >= end,
            _ => true,
        };
        if !is_complete && self.give_up.is_some_and(|instant| now < instant) {
            let until = now + POLL_INTERVAL;
            return self.enter(StepPhase::CatchingUp, ChangeStep::Wait { until });
        }
        if self.stepped.is_some() {
            return self.order(member, now);
        }
        let until = self.end_of_assurances(now) + FENCE_MARGIN;
        self.enter(StepPhase::AwaitingFence(member), ChangeStep::Wait { until })
    }

    fn end_of_assurances(&self, now: Instant) -> Instant {
        let announced_at = self.announcement.as_ref().map(|known| known.announced_at);
        announced_at.unwrap_or(now) + ASSURANCE
    }

    fn order(&mut self, member: MemberKey, now: Instant) -> ChangeStep {
        let Some(duty) = self.duty.filter(|duty| duty.allows_call(now)) else {
            return ChangeStep::Fail(ChangeFailure::DutyEnded);
        };
        let step = ChangeStep::Promote {
            member,
            fencing_token: duty.fencing_token,
        };
        self.enter(StepPhase::Ordering(member), step)
    }

    /// An order without an answer is sent again: it changes nothing when the
    /// member leads already.
    fn note_order(&mut self, member: MemberKey, outcome: OrderOutcome, now: Instant) -> ChangeStep {
        match outcome {
            OrderOutcome::Accepted => {
                self.give_up = Some(now + PROMOTION_TIMEOUT);
                self.ask_successor(member)
            }
            OrderOutcome::Rejected => ChangeStep::Fail(ChangeFailure::NoCandidate),
            OrderOutcome::Unknown => {
                let until = now + ORDER_PAUSE;
                self.enter(
                    StepPhase::AwaitingRepeat(member),
                    ChangeStep::Wait { until },
                )
            }
        }
    }

    fn ask_successor(&mut self, member: MemberKey) -> ChangeStep {
        let step = ChangeStep::AskStatus { member };
        self.enter(StepPhase::AskingSuccessor(member), step)
    }

    fn note_successor(
        &mut self,
        member: MemberKey,
        status: Option<(MemberRole, Term)>,
        now: Instant,
    ) -> ChangeStep {
        let former = self.announcement.as_ref().map(|known| known.former.term);
        if let Some((MemberRole::Primary, term)) = status {
            if Some(term) > former {
                return self.await_end(member, term);
            }
        }
        if self.give_up.is_none_or(|instant| now >= instant) {
            return ChangeStep::Fail(ChangeFailure::NotPromoted);
        }
        let until = now + POLL_INTERVAL;
        self.enter(
            StepPhase::AwaitingSuccessor(member),
            ChangeStep::Wait { until },
        )
    }

    fn await_end(&mut self, member: MemberKey, term: Term) -> ChangeStep {
        let Some(announcement) = &self.announcement else {
            return ChangeStep::Fail(ChangeFailure::Conflict);
        };
        let until = announcement.announced_at + ASSURANCE;
        self.enter(
            StepPhase::AwaitingEnd(member, term),
            ChangeStep::Wait { until },
        )
    }

    fn settle(&mut self, group: &ManagedGroup, member: MemberKey, term: Term) -> ChangeStep {
        let (Some(known), Some(announcement)) = (group.members.get(member), &self.announcement)
        else {
            return ChangeStep::Fail(ChangeFailure::NoCandidate);
        };
        let row = ReignRow {
            primary: known.server.id.clone(),
            term,
            change: None,
        };
        self.pending = Some(row.clone());
        let expected_revision = announcement.revision;
        let step = ChangeStep::WriteReign {
            row,
            expected_revision,
        };
        self.enter(StepPhase::Settling, step)
    }
}
