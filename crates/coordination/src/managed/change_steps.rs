//! The steps of a change of primary, from taking the promotion lease to writing
//! the successor's row.
//!
//! This module decides on the next step and does no input or output. Its caller
//! carries out each step at the store, the members or the platform, and passes
//! the outcome back.

use std::fmt;
use std::time::{Duration, Instant};

use state::keys::MemberKey;
use state::log::Term;
use state::member::MemberRole;
use state::reading::StoreRevision;

use crate::managed::change::{
    choose_holder, choose_successor, find_leading, CandidateStatus, ChangeReason, SuccessorDecision,
};
use crate::managed::commit_proof::{find_holders, former_holds_all, LogEvidence, MissingCopies};
use crate::managed::era::CONFIRMATION_MAX_AGE;
use crate::managed::group::ManagedGroup;
use crate::managed::primary_view::{AnnouncedChange, GroupRow, ASSURANCE_DURATION};
use crate::managed::promotion_lease::{
    self, AcquireDecision, HeldLease, LeaseReading, PromotionLease,
};

/// Time from the announcement of an orderly change to the step-down. A promotion
/// of some hundred milliseconds follows, so that the successor leads at about the
/// end of the last assurance. Until then hosts still hold assurances of the former
/// primary, and they use it until it steps down.
const ORDERLY_NOTICE: Duration = Duration::from_millis(400);
/// Wait after the end of the last assurance before the promotion if the former
/// primary did not confirm that it stepped down: a commit may still be on its way
/// to that primary.
const FENCE_MARGIN: Duration = Duration::from_millis(100);
/// Longest wait until a candidate has received the whole log that the former
/// primary held when it stepped down. Replicas are normally tens of milliseconds
/// behind.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between status questions to members that are expected to catch up or
/// to lead soon.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Longest wait until an ordered promotion takes effect. The platform states some
/// hundred milliseconds.
const PROMOTION_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Pause before a promotion order that was not answered is sent again.
const RESEND_PAUSE: Duration = Duration::from_millis(200);

/// Why an attempt to change the primary ended early. A later attempt takes the
/// change up again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeFailure {
    /// Another host, named here, holds the promotion lease.
    HeldElsewhere(String),
    /// Another host wrote the lease row or the group's row first.
    Conflict,
    /// The promotion lease ended.
    LeaseEnded,
    /// The store returned from an older copy since the attempt began.
    EraEnded,
    /// No member can take over.
    NoCandidate,
    /// No member that answered is shown to hold every acknowledged commit.
    CommitsMissing(MissingCopies),
    /// The promotion did not take effect in time.
    NotPromoted,
}

/// Operators match these texts, in which the promotion lease is called the duty.
impl fmt::Display for ChangeFailure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::HeldElsewhere(host) => write!(formatter, "the duty is held by {host}"),
            Self::Conflict => formatter.write_str("another host wrote the row first"),
            Self::LeaseEnded => formatter.write_str("the duty has ended"),
            Self::EraEnded => formatter.write_str("the store returned from an older copy"),
            Self::NoCandidate => formatter.write_str("no member can take over"),
            Self::CommitsMissing(missing) => write!(
                formatter,
                "no member is shown to hold every acknowledged commit: {missing}"
            ),
            Self::NotPromoted => formatter.write_str("the promotion did not take effect"),
        }
    }
}

/// How members are asked for their status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatusQuestion {
    /// A status question. It takes a slot of the member, which may refuse it as busy.
    Status,
    /// A request to step down below the given term. It takes no slot and changes nothing
    /// but a primary of an earlier term.
    StepDownBelow(Term),
    /// A request to receive nothing from a primary below the given term, until a promotion.
    PauseBelow(Term),
}

/// The next step, which the caller has to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeStep {
    /// Read the lease row.
    ReadLease,
    /// Write the lease row.
    WriteLease {
        /// New value.
        row: PromotionLease,
        /// Revision that the row must have.
        expected_revision: u64,
    },
    /// Write the group's row and record it with
    /// [`ManagedGroup::observe_row`].
    WriteGroupRow {
        /// New value.
        row: GroupRow,
        /// Revision that the row must have.
        expected_revision: u64,
    },
    /// Ask the former primary to step down if its term is below `term`.
    StepDown {
        /// Key of the former primary.
        member: MemberKey,
        /// First term in which it must not lead.
        term: Term,
    },
    /// Ask members for their status.
    PollMembers {
        /// Keys of the members.
        members: Vec<MemberKey>,
        /// How they are asked.
        question: StatusQuestion,
    },
    /// Read the list of backend servers from the store and apply it to the group.
    ReadMembers,
    /// Let members receive again that may have been paused.
    ResumeMembers {
        /// Keys of the members.
        members: Vec<MemberKey>,
    },
    /// Order the promotion of a member.
    Promote {
        /// Key of the member.
        member: MemberKey,
        /// Fencing token of the promotion lease.
        fencing_token: u64,
    },
    /// Ask a member for its status.
    AskStatus {
        /// Key of the member.
        member: MemberKey,
        /// How it is asked.
        question: StatusQuestion,
    },
    /// Wait until an instant, which may be in the past.
    Wait {
        /// End of the wait.
        until: Instant,
    },
    /// The change is finished.
    Done {
        /// Identity of the new primary.
        primary: String,
        /// Term of the new primary.
        term: Term,
    },
    /// This attempt has failed.
    Fail(ChangeFailure),
}

/// The platform's answer to a promotion order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The member is going to be promoted, or leads already.
    Accepted,
    /// The member cannot be promoted.
    Rejected,
    /// It is not known whether the platform received the order.
    Unknown,
}

/// The outcome of a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StepOutcome {
    /// The attempt begins; there was no step before.
    Started,
    /// The lease row was read.
    Lease(LeaseReading),
    /// The lease row could not be read.
    LeaseUnknown,
    /// A row was written.
    Written {
        /// Revision of the row after the write.
        revision: u64,
    },
    /// A row did not have the expected revision; nothing was written.
    Conflict,
    /// The answer of the former primary to the request to step down, or `None` if it did not
    /// answer.
    SteppedDown(Option<CandidateStatus>),
    /// The status of each polled member that answered.
    Polled(Vec<CandidateStatus>),
    /// The list of backend servers was read and applied.
    MembersRead,
    /// The list could not be read.
    MembersUnknown,
    /// Members received a request to go on receiving, or did not answer it.
    Resumed {
        /// Keys of the members that did not answer.
        silent: Vec<MemberKey>,
    },
    /// The answer to a promotion order.
    Ordered(OrderOutcome),
    /// Role and term of a member, or `None` if it did not answer.
    Status(Option<(MemberRole, Term)>),
    /// The end of a wait was reached.
    Waited,
}

/// An announcement that the store has acknowledged.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Announcement {
    /// The group's row before the change.
    former: GroupRow,
    /// Revision of the row with the announcement.
    revision: StoreRevision,
    /// Instant after the store acknowledged the announcement.
    announced_at: Instant,
}

/// The step whose outcome is awaited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StepPhase {
    Start,
    ReadingLease,
    TakingLease,
    Announcing,
    /// The other hosts get time to read the announcement of an orderly change.
    AwaitingNotice,
    SteppingDown,
    /// All assurances of a primary that did not step down have to end before the members
    /// are asked which commits they hold.
    AwaitingLastCommit,
    Polling,
    /// The best candidate has not received the whole log yet.
    AwaitingCatchUp,
    /// The list is read after the answers of a poll: a member that has restarted without
    /// its data, or that has joined, must not be missed.
    ReadingMembers,
    /// All assurances of a primary that did not step down have to end before this
    /// member is promoted.
    AwaitingFence(MemberKey),
    /// The lease row is read again: the order is sent only in the era of the
    /// announcement.
    Confirming(MemberKey),
    Ordering(MemberKey),
    /// The era could not be confirmed yet, or a promotion order was not answered and is
    /// about to be sent again.
    AwaitingResend(MemberKey),
    AskingSuccessor(MemberKey),
    /// The successor does not lead yet and is about to be asked again.
    AwaitingSuccessor(MemberKey),
    /// A member leads that this attempt did not promote; the others may still be paused.
    Resuming(MemberKey, Term),
    /// Some of them did not answer and are about to be asked again.
    AwaitingResume(MemberKey, Term),
    /// The successor leads; all assurances of the former primary have to end
    /// before its row is written.
    AwaitingEnd(MemberKey, Term),
    /// The successor's row is being written.
    Finishing,
}

/// What the choice among members that hold every acknowledged commit is based on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HolderCheck {
    /// The members' answers.
    Answered,
    /// The answers and a list of the members that was read after them.
    Listed,
}

/// One attempt of a host to change the primary of a group.
///
/// # Invariants
///
/// A promotion is ordered only while the host holds the promotion lease, after
/// the store acknowledged the announcement, and either after the former primary
/// stepped down or after every assurance of it has ended. The successor's row is
/// written only after every assurance of the former primary has ended.
///
/// If commits are acknowledged once replicas have received them, a member is promoted only
/// if `commit_proof` shows that it holds all of them, by answers that were asked for after
/// the former primary stepped down or after every assurance of it had ended, and by a list
/// of the members that was read after these answers.
#[derive(Clone, Debug)]
pub struct ChangeProcedure {
    host: String,
    /// Random number of the host's process.
    incarnation: u64,
    reason: ChangeReason,
    phase: StepPhase,
    lease: Option<HeldLease>,
    announcement: Option<Announcement>,
    /// Status of the former primary after it stepped down.
    stepped_down: Option<CandidateStatus>,
    /// Newest answer of each member in the polls so far.
    replies: Vec<CandidateStatus>,
    /// Term below which members that were asked receive nothing; above every term that an
    /// answer showed.
    pause_term: Term,
    /// Members that may still be paused although a primary leads.
    paused: Vec<MemberKey>,
    /// Instant until which the procedure waits for a candidate to catch up, or for
    /// the successor to lead.
    phase_deadline: Option<Instant>,
    /// While the announcement is written: the row before it. While the successor's
    /// row is written: that row.
    pending_row: Option<GroupRow>,
}

impl ChangeProcedure {
    /// Creates an attempt of `host`, whose process has the random number
    /// `incarnation`.
    pub fn new(host: &str, incarnation: u64, reason: ChangeReason) -> Self {
        Self {
            host: host.to_owned(),
            incarnation,
            reason,
            phase: StepPhase::Start,
            lease: None,
            announcement: None,
            stepped_down: None,
            replies: Vec::new(),
            pause_term: Term::default(),
            paused: Vec::new(),
            phase_deadline: None,
            pending_row: None,
        }
    }

    /// Takes the outcome of the last step and returns the next one.
    ///
    /// # Panics
    ///
    /// Panics if the outcome does not belong to the last step.
    pub fn next(&mut self, group: &ManagedGroup, outcome: StepOutcome, now: Instant) -> ChangeStep {
        use StepOutcome as Outcome;
        use StepPhase as Phase;
        match (self.phase, outcome) {
            (Phase::Start, Outcome::Started) => {
                self.enter(Phase::ReadingLease, ChangeStep::ReadLease)
            }
            (Phase::ReadingLease, Outcome::Lease(reading)) => self.take_lease(&reading),
            (Phase::TakingLease, Outcome::Written { .. }) => self.announce(group),
            (Phase::Announcing, Outcome::Written { revision }) => {
                self.handle_announcement(group, revision, now)
            }
            (Phase::TakingLease | Phase::Announcing | Phase::Finishing, Outcome::Conflict) => {
                ChangeStep::Fail(ChangeFailure::Conflict)
            }
            (Phase::AwaitingNotice, Outcome::Waited) => self.step_down(group, now),
            (Phase::SteppingDown, Outcome::SteppedDown(status)) => {
                self.handle_step_down(group, status, now)
            }
            (Phase::AwaitingLastCommit | Phase::AwaitingCatchUp, Outcome::Waited) => {
                self.poll_members(group)
            }
            (Phase::Polling, Outcome::Polled(replies)) => self.evaluate_poll(group, &replies, now),
            (Phase::ReadingMembers, Outcome::MembersRead) => {
                self.evaluate_holders(group, HolderCheck::Listed, now)
            }
            (Phase::ReadingMembers, Outcome::MembersUnknown) => match self.holds_lease(now) {
                true => self.poll_again(now),
                false => ChangeStep::Fail(ChangeFailure::LeaseEnded),
            },
            (Phase::AwaitingFence(member) | Phase::AwaitingResend(member), Outcome::Waited) => {
                self.confirm(member, now)
            }
            (Phase::Confirming(member), Outcome::Lease(reading)) => {
                self.handle_confirmation(member, &reading, now)
            }
            (Phase::Confirming(member), Outcome::LeaseUnknown) => self.wait_to_confirm(member, now),
            (Phase::Ordering(member), Outcome::Ordered(outcome)) => {
                self.handle_order_outcome(group, member, outcome, now)
            }
            (Phase::AwaitingSuccessor(member), Outcome::Waited) => {
                self.ask_successor(group, member)
            }
            (Phase::AskingSuccessor(member), Outcome::Status(status)) => {
                self.handle_successor_status(member, status, now)
            }
            (Phase::Resuming(member, term), Outcome::Resumed { silent }) => {
                self.handle_resumed(group, member, term, silent, now)
            }
            (Phase::AwaitingResume(member, term), Outcome::Waited) => {
                self.resume_members(member, term)
            }
            (Phase::AwaitingEnd(member, term), Outcome::Waited) => self.finish(group, member, term),
            (Phase::Finishing, Outcome::Written { .. }) => match self.pending_row.take() {
                Some(row) => ChangeStep::Done {
                    primary: row.primary,
                    term: row.term,
                },
                None => ChangeStep::Fail(ChangeFailure::Conflict),
            },
            (phase, outcome) => panic!("{outcome:?} does not follow {phase:?}"),
        }
    }

    /// Returns whether the lease row is read to confirm the era before an order.
    pub fn is_confirming(&self) -> bool {
        matches!(self.phase, StepPhase::Confirming(_))
    }

    fn enter(&mut self, phase: StepPhase, step: ChangeStep) -> ChangeStep {
        self.phase = phase;
        step
    }

    fn take_lease(&mut self, reading: &LeaseReading) -> ChangeStep {
        match promotion_lease::decide(reading, &self.host, self.incarnation) {
            AcquireDecision::HeldElsewhere { host } => {
                ChangeStep::Fail(ChangeFailure::HeldElsewhere(host))
            }
            AcquireDecision::Write { row, held } => {
                self.lease = Some(held);
                let expected_revision = reading.revision;
                let step = ChangeStep::WriteLease {
                    row,
                    expected_revision,
                };
                self.enter(StepPhase::TakingLease, step)
            }
        }
    }

    fn announce(&mut self, group: &ManagedGroup) -> ChangeStep {
        let view = &group.primary_view;
        let (Some(known), Some(lease)) = (view.row(), self.lease) else {
            return ChangeStep::Fail(ChangeFailure::Conflict);
        };
        if view.revision().era != lease.era {
            return ChangeStep::Fail(ChangeFailure::EraEnded);
        }
        let expected_revision = view.revision().number;
        let former = match (self.reason, view.stored()) {
            // Hosts that know only the stored row may hold assurances of its primary.
            (ChangeReason::Restored, Some(stored)) => stored,
            (ChangeReason::Restored, None) => {
                return self.write_final_row(known.clone(), expected_revision);
            }
            _ => known,
        };
        let row = GroupRow {
            change: Some(AnnouncedChange {
                host: self.host.clone(),
                fencing_token: lease.fencing_token,
                orderly: self.reason == ChangeReason::Draining,
            }),
            ..former.clone()
        };
        self.pending_row = Some(former.clone());
        let step = ChangeStep::WriteGroupRow {
            row,
            expected_revision,
        };
        self.enter(StepPhase::Announcing, step)
    }

    fn handle_announcement(
        &mut self,
        group: &ManagedGroup,
        revision: u64,
        now: Instant,
    ) -> ChangeStep {
        let (Some(former), Some(lease)) = (self.pending_row.take(), self.lease) else {
            return ChangeStep::Fail(ChangeFailure::Conflict);
        };
        self.announcement = Some(Announcement {
            former,
            revision: StoreRevision::new(lease.era, revision),
            announced_at: now,
        });
        match self.reason {
            ChangeReason::Draining => {
                let until = now + ORDERLY_NOTICE;
                self.enter(StepPhase::AwaitingNotice, ChangeStep::Wait { until })
            }
            ChangeReason::Restored => {
                let step = ChangeStep::PollMembers {
                    members: group.members.keys().collect(),
                    question: StatusQuestion::Status,
                };
                self.enter(StepPhase::Polling, step)
            }
            _ => self.step_down(group, now),
        }
    }

    fn former_key(&self, group: &ManagedGroup) -> Option<MemberKey> {
        let announcement = self.announcement.as_ref()?;
        group.find(&announcement.former.primary)
    }

    fn step_down(&mut self, group: &ManagedGroup, now: Instant) -> ChangeStep {
        let former = self.former_key(group).zip(self.announcement.as_ref());
        let Some((member, announcement)) = former else {
            return self.begin_polls(group, now);
        };
        // A stored row may hold any term. A primary of the largest one does not step down,
        // so that all assurances have to end first.
        let term = Term(announcement.former.term.0.saturating_add(1));
        let step = ChangeStep::StepDown { member, term };
        self.enter(StepPhase::SteppingDown, step)
    }

    fn handle_step_down(
        &mut self,
        group: &ManagedGroup,
        status: Option<CandidateStatus>,
        now: Instant,
    ) -> ChangeStep {
        if let Some(status) = status.filter(|status| status.role == MemberRole::Primary) {
            // An earlier attempt let the former primary take over again.
            let former = self.announcement.as_ref().map(|known| known.former.term);
            if group.required_copies() > 0 && Some(status.term) > former {
                return self.follow(group, status.member, status.term);
            }
        }
        self.stepped_down = status.filter(|status| status.role == MemberRole::Replica);
        self.begin_polls(group, now)
    }

    fn begin_polls(&mut self, group: &ManagedGroup, now: Instant) -> ChangeStep {
        if self.stepped_down.is_none() && group.required_copies() > 0 {
            let until = self.end_of_assurances(now) + FENCE_MARGIN;
            return self.enter(StepPhase::AwaitingLastCommit, ChangeStep::Wait { until });
        }
        self.phase_deadline = Some(now + CATCH_UP_TIMEOUT);
        self.poll_members(group)
    }

    /// Asks all members but the former primary. While the former primary may go on, the
    /// answers of members that receive nothing stay valid, and only the others are asked.
    fn poll_members(&mut self, group: &ManagedGroup) -> ChangeStep {
        let former = self.former_key(group);
        let question = self.poll_question(group);
        let keeps_answers = matches!(question, StatusQuestion::PauseBelow(_));
        let is_known = |key| keeps_answers && self.replies.iter().any(|one| one.member == key);
        let members = group.members.keys();
        let members = members
            .filter(|key| Some(*key) != former && !is_known(*key))
            .collect();
        let step = ChangeStep::PollMembers { members, question };
        self.enter(StepPhase::Polling, step)
    }

    /// Returns how the members are polled. Where none may be replaced by another one, the
    /// question must not depend on a free slot.
    fn poll_question(&mut self, group: &ManagedGroup) -> StatusQuestion {
        match self.successor_question(group) {
            StatusQuestion::StepDownBelow(term) if self.stepped_down.is_none() => {
                let next = Term(term.0.saturating_add(1));
                self.pause_term = self.pause_term.max(next);
                StatusQuestion::PauseBelow(self.pause_term)
            }
            question => question,
        }
    }

    fn successor_question(&self, group: &ManagedGroup) -> StatusQuestion {
        match &self.announcement {
            Some(announcement) if group.required_copies() > 0 => {
                StatusQuestion::StepDownBelow(announcement.former.term)
            }
            _ => StatusQuestion::Status,
        }
    }

    /// Chooses the successor. If the former primary stepped down, a candidate that
    /// has not received its whole log gets time to catch up, until
    /// `phase_deadline`.
    fn evaluate_poll(
        &mut self,
        group: &ManagedGroup,
        replies: &[CandidateStatus],
        now: Instant,
    ) -> ChangeStep {
        if self.reason == ChangeReason::Restored {
            return self.evaluate_restored(group, replies);
        }
        if group.required_copies() > 0 {
            for reply in replies {
                self.replies.retain(|known| known.member != reply.member);
                self.replies.push(*reply);
            }
            return self.evaluate_holders(group, HolderCheck::Answered, now);
        }
        let member = match choose_successor(group, replies, self.former_key(group)) {
            SuccessorDecision::Leading { member, term } => return self.await_end(member, term),
            SuccessorDecision::Promote { member } => member,
            SuccessorDecision::NoCandidate => return ChangeStep::Fail(ChangeFailure::NoCandidate),
        };
        let received = replies.iter().find(|reply| reply.member == member);
        let is_complete = match (&self.stepped_down, received) {
            (Some(former), Some(reply)) => reply.received >= former.received,
            _ => true,
        };
        if !is_complete && self.may_catch_up(now) {
            return self.poll_again(now);
        }
        if self.stepped_down.is_some() {
            return self.confirm(member, now);
        }
        let until = self.end_of_assurances(now) + FENCE_MARGIN;
        self.enter(StepPhase::AwaitingFence(member), ChangeStep::Wait { until })
    }

    /// Chooses the successor among the members that hold every acknowledged commit. Until
    /// one is found, the members are asked again while the lease lasts. The former primary
    /// takes over again if it stepped down and no other member holds its commits.
    fn evaluate_holders(
        &mut self,
        group: &ManagedGroup,
        check: HolderCheck,
        now: Instant,
    ) -> ChangeStep {
        let Some(announcement) = &self.announcement else {
            return ChangeStep::Fail(ChangeFailure::Conflict);
        };
        if let Some(SuccessorDecision::Leading { member, term }) =
            find_leading(group, &self.replies)
        {
            return self.follow(group, member, term);
        }
        let newest = self.replies.iter().map(|reply| reply.term).max();
        let is_unpaused = self.stepped_down.is_none() && newest >= Some(self.pause_term);
        if is_unpaused || self.stepped_down.is_some() && newest > Some(announcement.former.term) {
            // Another member was promoted meanwhile, which may go on instead of the former
            // primary.
            self.pause_term = newest.map_or(self.pause_term, |term| Term(term.0.saturating_add(1)));
            self.stepped_down = None;
            self.replies.clear();
            return match self.holds_lease(now) {
                true => self.begin_polls(group, now),
                false => ChangeStep::Fail(ChangeFailure::LeaseEnded),
            };
        }
        let evidence = LogEvidence {
            former: &announcement.former.primary,
            former_term: announcement.former.term,
            stepped_down: self.stepped_down,
            replies: &self.replies,
        };
        let found = find_holders(group, group.required_copies(), &evidence);
        let may_catch_up = self.may_catch_up(now);
        if let Ok(holders) = &found {
            let successor = choose_holder(group, &holders.members);
            let successor = successor.filter(|(_, is_ready)| {
                let is_preferred = holders.is_whole_log && *is_ready;
                is_preferred || !may_catch_up
            });
            if let Some((member, _)) = successor {
                return self.take_holder(member, check, now);
            }
        }
        if may_catch_up {
            return self.poll_again(now);
        }
        let holds_all = former_holds_all(group, &evidence);
        let former = self.stepped_down.map(|status| status.member);
        if let Some(member) = former.filter(|key| holds_all && group.members.contains_key(*key)) {
            return self.take_holder(member, check, now);
        }
        match found {
            Err(missing) if !self.holds_lease(now) => {
                ChangeStep::Fail(ChangeFailure::CommitsMissing(missing))
            }
            _ => self.poll_again(now),
        }
    }

    /// Takes over a primary that this attempt did not promote. Members that were paused
    /// without its promotion have to go on receiving.
    fn follow(&mut self, group: &ManagedGroup, member: MemberKey, term: Term) -> ChangeStep {
        let others = group.members.keys();
        self.paused = others.filter(|key| *key != member).collect();
        self.resume_members(member, term)
    }

    fn resume_members(&mut self, member: MemberKey, term: Term) -> ChangeStep {
        let members = self.paused.clone();
        self.enter(
            StepPhase::Resuming(member, term),
            ChangeStep::ResumeMembers { members },
        )
    }

    fn handle_resumed(
        &mut self,
        group: &ManagedGroup,
        member: MemberKey,
        term: Term,
        silent: Vec<MemberKey>,
        now: Instant,
    ) -> ChangeStep {
        self.paused = silent;
        self.paused.retain(|key| group.members.contains_key(*key));
        if self.paused.is_empty() || !self.holds_lease(now) {
            return self.await_end(member, term);
        }
        let until = now + POLL_INTERVAL;
        self.enter(
            StepPhase::AwaitingResume(member, term),
            ChangeStep::Wait { until },
        )
    }

    fn take_holder(&mut self, member: MemberKey, check: HolderCheck, now: Instant) -> ChangeStep {
        match check {
            HolderCheck::Answered => self.enter(StepPhase::ReadingMembers, ChangeStep::ReadMembers),
            HolderCheck::Listed => self.confirm(member, now),
        }
    }

    /// Returns whether members may still receive the rest of the log of a primary that
    /// stepped down.
    fn may_catch_up(&self, now: Instant) -> bool {
        self.stepped_down.is_some() && self.phase_deadline.is_some_and(|instant| now < instant)
    }

    fn poll_again(&mut self, now: Instant) -> ChangeStep {
        let until = now + POLL_INTERVAL;
        self.enter(StepPhase::AwaitingCatchUp, ChangeStep::Wait { until })
    }

    fn holds_lease(&self, now: Instant) -> bool {
        self.lease.is_some_and(|lease| lease.allows_call(now))
    }

    /// Lets the row of the newest primary that answered be written again; it must not be
    /// behind the one that this host knows.
    fn evaluate_restored(
        &mut self,
        group: &ManagedGroup,
        replies: &[CandidateStatus],
    ) -> ChangeStep {
        let known = group.primary_view.term();
        let leading = replies
            .iter()
            .filter(|reply| reply.role == MemberRole::Primary && reply.term >= known)
            .max_by_key(|reply| reply.term);
        match leading {
            Some(reply) => self.await_end(reply.member, reply.term),
            None => ChangeStep::Fail(ChangeFailure::NoCandidate),
        }
    }

    fn end_of_assurances(&self, now: Instant) -> Instant {
        let announced_at = self.announcement.as_ref().map(|known| known.announced_at);
        announced_at.unwrap_or(now) + ASSURANCE_DURATION
    }

    /// Reads the lease row before an order: if the store returned from an older copy
    /// since the announcement, other hosts may not know of the change any more.
    fn confirm(&mut self, member: MemberKey, now: Instant) -> ChangeStep {
        if !self.holds_lease(now) {
            return ChangeStep::Fail(ChangeFailure::LeaseEnded);
        }
        self.enter(StepPhase::Confirming(member), ChangeStep::ReadLease)
    }

    fn handle_confirmation(
        &mut self,
        member: MemberKey,
        reading: &LeaseReading,
        now: Instant,
    ) -> ChangeStep {
        let announced_in = self.announcement.as_ref().map(|known| known.revision.era);
        if announced_in != Some(reading.marker.era) {
            return ChangeStep::Fail(ChangeFailure::EraEnded);
        }
        if now.saturating_duration_since(reading.asked_at) > CONFIRMATION_MAX_AGE {
            return self.wait_to_confirm(member, now);
        }
        let order_wait = reading.marker.order_wait();
        if !order_wait.is_zero() {
            let until = reading.asked_at + order_wait;
            return self.enter(
                StepPhase::AwaitingResend(member),
                ChangeStep::Wait { until },
            );
        }
        self.order(member, now)
    }

    fn wait_to_confirm(&mut self, member: MemberKey, now: Instant) -> ChangeStep {
        let until = now + RESEND_PAUSE;
        self.enter(
            StepPhase::AwaitingResend(member),
            ChangeStep::Wait { until },
        )
    }

    fn order(&mut self, member: MemberKey, now: Instant) -> ChangeStep {
        let Some(lease) = self.lease.filter(|lease| lease.allows_call(now)) else {
            return ChangeStep::Fail(ChangeFailure::LeaseEnded);
        };
        let step = ChangeStep::Promote {
            member,
            fencing_token: lease.fencing_token,
        };
        self.enter(StepPhase::Ordering(member), step)
    }

    /// Handles the answer to a promotion order. An order that was not answered is
    /// sent again, which has no effect if the member leads already.
    fn handle_order_outcome(
        &mut self,
        group: &ManagedGroup,
        member: MemberKey,
        outcome: OrderOutcome,
        now: Instant,
    ) -> ChangeStep {
        match outcome {
            OrderOutcome::Accepted => {
                self.phase_deadline = Some(now + PROMOTION_TIMEOUT);
                self.ask_successor(group, member)
            }
            OrderOutcome::Rejected => ChangeStep::Fail(ChangeFailure::NoCandidate),
            OrderOutcome::Unknown => self.wait_to_confirm(member, now),
        }
    }

    fn ask_successor(&mut self, group: &ManagedGroup, member: MemberKey) -> ChangeStep {
        let question = self.successor_question(group);
        let step = ChangeStep::AskStatus { member, question };
        self.enter(StepPhase::AskingSuccessor(member), step)
    }

    fn handle_successor_status(
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
        if self.phase_deadline.is_none_or(|instant| now >= instant) {
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
        let until = announcement.announced_at + ASSURANCE_DURATION;
        self.enter(
            StepPhase::AwaitingEnd(member, term),
            ChangeStep::Wait { until },
        )
    }

    fn finish(&mut self, group: &ManagedGroup, member: MemberKey, term: Term) -> ChangeStep {
        let (Some(known), Some(announcement)) = (group.members.get(member), &self.announcement)
        else {
            return ChangeStep::Fail(ChangeFailure::NoCandidate);
        };
        let row = GroupRow {
            primary: known.server.id.clone(),
            term,
            change: None,
        };
        let expected_revision = announcement.revision.number;
        self.write_final_row(row, expected_revision)
    }

    fn write_final_row(&mut self, row: GroupRow, expected_revision: u64) -> ChangeStep {
        self.pending_row = Some(row.clone());
        let step = ChangeStep::WriteGroupRow {
            row,
            expected_revision,
        };
        self.enter(StepPhase::Finishing, step)
    }
}
