//! Carries out a change of primary: takes the duty, announces the change, lets
//! the former primary step down, orders the promotion and writes the new row.

use std::sync::Arc;
use std::time::{Duration, Instant};

use coordination::managed::change::{decide_survey, ChangeReason, SurveyDecision, SurveyReply};
use coordination::managed::duty::{self, DutyDecision, DutyReading, DutyRow, HeldDuty};
use coordination::managed::reign::{AnnouncedChange, ReignRow, ASSURANCE};
use futures::future::join_all;
use state::clock::MonotonicClock;
use state::keys::MemberKey;
use state::log::{LogPosition, Term};
use state::member::MemberRole;
use tokio::time::sleep;

use super::codec::StatementCodec;
use super::group_runtime::GroupRuntime;
use super::seam::{
    ControlTable, ControlWrite, HostPlatform, PromotionAnswer, PromotionOrder, SeamError,
};
use super::store_follower::{encode, write_reign};
use crate::seam::WriteAnswer;

/// Key of the duty's row.
const DUTY_KEY: &str = "duty";
/// Time from the announcement of an orderly change to the step-down. With a
/// promotion of some hundred milliseconds behind it, the successor leads about
/// when the last assurance ends; hosts still assure the primary until then.
const ORDERLY_NOTICE: Duration = Duration::from_millis(400);
/// Wait beyond the last assurance before a promotion whose former primary did
/// not step down: a commit may be on its way to it.
const FENCE_MARGIN: Duration = Duration::from_millis(100);
/// Time that a member gets to answer a question of a change.
const QUESTION_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest wait for the successor to receive what the former primary held when
/// it stepped down: replicas are tens of milliseconds behind.
const CATCH_UP: Duration = Duration::from_millis(500);
/// Interval of questions to a member that is expected to lead soon.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Longest wait for an ordered promotion to take effect. The platform states
/// some hundred milliseconds.
const PROMOTION_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Pause after a step that failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(200);

/// Result of a step.
type Result<T> = std::result::Result<T, ChangeError>;

/// Why a change of primary did not finish. It is taken up again.
#[derive(Clone, Debug, PartialEq, Eq)]
enum ChangeError {
    /// Another host holds the duty.
    HeldElsewhere(String),
    /// The store or the promotion service did not answer as expected.
    Platform(SeamError),
    /// Another host wrote first.
    Conflict,
    /// The duty ended.
    DutyEnded,
    /// No member can take over.
    NoCandidate,
    /// The promotion did not take effect in time.
    NotPromoted,
}

impl From<SeamError> for ChangeError {
    fn from(error: SeamError) -> Self {
        Self::Platform(error)
    }
}

impl std::fmt::Display for ChangeError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::HeldElsewhere(host) => write!(formatter, "the duty is held by {host}"),
            Self::Platform(error) => error.fmt(formatter),
            Self::Conflict => formatter.write_str("another host wrote the row first"),
            Self::DutyEnded => formatter.write_str("the duty has ended"),
            Self::NoCandidate => formatter.write_str("no member can take over"),
            Self::NotPromoted => formatter.write_str("the promotion did not take effect"),
        }
    }
}

/// An announced change.
#[derive(Debug)]
struct RunningChange {
    /// Row before the change.
    former: ReignRow,
    /// Revision of the announcement.
    revision: u64,
    /// Instant after the announcement was acknowledged.
    announced_at: Instant,
    duty: HeldDuty,
}

/// Changes primaries on behalf of one host.
#[derive(Clone, Debug)]
pub(super) struct ChangeDriver<P, K, C> {
    platform: P,
    host: String,
    incarnation: u64,
    clock: C,
    codec: std::marker::PhantomData<K>,
}

impl<P: HostPlatform, K: StatementCodec, C: MonotonicClock> ChangeDriver<P, K, C> {
    pub(super) fn new(platform: P, host: &str, clock: C) -> Self {
        Self {
            platform,
            host: host.to_owned(),
            incarnation: rand::random(),
            clock,
            codec: std::marker::PhantomData,
        }
    }

    /// Changes the primary of a group, as far as this host may.
    pub(super) async fn run(&self, group: &Arc<GroupRuntime<K, C>>, reason: ChangeReason) {
        let name = group.name.as_str();
        let started = self.clock.now();
        match self.change(group, reason).await {
            Ok((member, term)) => {
                let elapsed = self.clock.now().saturating_duration_since(started);
                log::info!(
                    group = name, member = member.as_str(), term = term.0,
                    reason = reason.name(), elapsed_ms = elapsed.as_millis() as u64;
                    "primary changed"
                );
            }
            Err(ChangeError::HeldElsewhere(host)) => {
                log::debug!(group = name, host = host.as_str(); "another host changes primaries");
                sleep(FAILURE_PAUSE).await;
            }
            Err(error) => {
                let (reason, error) = (reason.name(), error.to_string());
                log::warn!(group = name, reason, error = error.as_str(); "change of primary failed");
                sleep(FAILURE_PAUSE).await;
            }
        }
    }

    async fn change(
        &self,
        group: &Arc<GroupRuntime<K, C>>,
        reason: ChangeReason,
    ) -> Result<(String, Term)> {
        let duty = self.take_duty().await?;
        let change = self.announce(group, duty, reason).await?;
        let former = group.with(|group| group.find(&change.former.primary));
        if reason == ChangeReason::Draining {
            self.wait_until(change.announced_at + ORDERLY_NOTICE).await;
        }
        let stepped = self
            .step_down(group, former, change.former.term.next())
            .await;
        match self.survey(group, former, stepped).await? {
            SurveyDecision::Settle { member, term } => {
                self.settle(group, &change, member, term).await
            }
            SurveyDecision::Promote { member } => {
                if stepped.is_none() {
                    self.wait_until(change.announced_at + ASSURANCE + FENCE_MARGIN)
                        .await;
                }
                self.promote(group, &change, member).await?;
                let term = self.await_promotion(group, &change, member).await?;
                self.settle(group, &change, member, term).await
            }
            SurveyDecision::Wait => Err(ChangeError::NoCandidate),
        }
    }

    async fn take_duty(&self) -> Result<HeldDuty> {
        let asked_at = self.clock.now();
        let reading = self.platform.read_table(ControlTable::Reigns).await?;
        let row = reading.rows.iter().find(|row| row.key == DUTY_KEY);
        let reading = DutyReading {
            row: row.and_then(|row| decode_duty(&row.value)),
            revision: row.map_or(0, |row| row.revision),
            store_time: reading.store_time,
            asked_at,
        };
        match duty::decide(&reading, &self.host, self.incarnation) {
            DutyDecision::HeldElsewhere { host } => Err(ChangeError::HeldElsewhere(host)),
            DutyDecision::Write { row, held } => {
                let value = encode(&row);
                let write = ControlWrite {
                    table: ControlTable::Reigns,
                    key: DUTY_KEY,
                    expected_revision: reading.revision,
                    value: &value,
                };
                written(self.platform.write_row(&write).await?)?;
                log::info!(fencing_token = held.fencing_token; "duty taken");
                Ok(held)
            }
        }
    }

    async fn announce(
        &self,
        group: &GroupRuntime<K, C>,
        duty: HeldDuty,
        reason: ChangeReason,
    ) -> Result<RunningChange> {
        let known = group.with(|group| {
            let row = group.reign.row().cloned();
            row.map(|row| (row, group.reign.revision()))
        });
        let Some((former, revision)) = known else {
            return Err(ChangeError::Conflict);
        };
        let row = ReignRow {
            change: Some(AnnouncedChange {
                host: self.host.clone(),
                fencing_token: duty.fencing_token,
                orderly: reason == ChangeReason::Draining,
            }),
            ..former.clone()
        };
        let asked_at = self.clock.now();
        let answer = write_reign(&self.platform, &group.name, revision, &row).await?;
        let revision = written(answer)?;
        log::info!(
            group = group.name.as_str(), member = former.primary.as_str(),
            reason = reason.name(), fencing_token = duty.fencing_token;
            "change of primary begins"
        );
        group.observe_row(&row, revision, asked_at);
        Ok(RunningChange {
            former,
            revision,
            announced_at: self.clock.now(),
            duty,
        })
    }

    /// Lets the former primary step down; returns where its log ended.
    async fn step_down(
        &self,
        group: &GroupRuntime<K, C>,
        former: Option<MemberKey>,
        term: Term,
    ) -> Option<LogPosition> {
        let status = group
            .step_down(former?, term, QUESTION_TIMEOUT)
            .await
            .ok()?;
        (status.role == MemberRole::Replica).then_some(status.received)
    }

    /// Asks the members who can take over. After an orderly step-down, waits
    /// until one of them holds the whole log.
    async fn survey(
        &self,
        group: &GroupRuntime<K, C>,
        former: Option<MemberKey>,
        stepped: Option<LogPosition>,
    ) -> Result<SurveyDecision> {
        let give_up = self.clock.now() + CATCH_UP;
        loop {
            let replies = self.ask_members(group, former).await;
            let decision = group.with(|group| decide_survey(group, &replies, former));
            let SurveyDecision::Promote { member } = decision else {
                return Ok(decision);
            };
            let received = replies.iter().find(|reply| reply.member == member);
            let is_complete = match (stepped, received) {
                (Some(end), Some(reply)) => reply.received >= end,
                _ => true,
            };
            if is_complete || self.clock.now() >= give_up {
                return Ok(decision);
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    async fn ask_members(
        &self,
        group: &GroupRuntime<K, C>,
        former: Option<MemberKey>,
    ) -> Vec<SurveyReply> {
        let members: Vec<MemberKey> = group.with(|group| group.members.keys().collect());
        let questions = members
            .into_iter()
            .filter(|member| Some(*member) != former)
            .map(|member| async move {
                let status = group.ask_status(member, QUESTION_TIMEOUT).await.ok()?;
                Some(SurveyReply {
                    member,
                    role: status.role,
                    term: status.term,
                    received: status.received,
                })
            });
        join_all(questions).await.into_iter().flatten().collect()
    }

    async fn promote(
        &self,
        group: &GroupRuntime<K, C>,
        change: &RunningChange,
        member: MemberKey,
    ) -> Result<()> {
        let id = member_id(group, member)?;
        loop {
            if !change.duty.allows_call(self.clock.now()) {
                return Err(ChangeError::DutyEnded);
            }
            let order = PromotionOrder {
                group: &group.name,
                member: &id,
                holder: &self.host,
                fencing_token: change.duty.fencing_token,
            };
            let answer = self.platform.promote(&order).await;
            let outcome = format!("{answer:?}");
            log::info!(
                group = group.name.as_str(), member = id.as_str(),
                fencing_token = change.duty.fencing_token, outcome = outcome.as_str();
                "promotion ordered"
            );
            match answer {
                Ok(PromotionAnswer::Accepted) => return Ok(()),
                Ok(PromotionAnswer::Rejected) => return Err(ChangeError::NoCandidate),
                // A lost answer is asked for again: the order changes nothing
                // when the member leads already.
                Ok(PromotionAnswer::Unavailable) | Err(_) => sleep(FAILURE_PAUSE).await,
            }
        }
    }

    async fn await_promotion(
        &self,
        group: &GroupRuntime<K, C>,
        change: &RunningChange,
        member: MemberKey,
    ) -> Result<Term> {
        let give_up = self.clock.now() + PROMOTION_TIMEOUT;
        while self.clock.now() < give_up {
            let status = group.ask_status(member, QUESTION_TIMEOUT).await;
            let leads = status.ok().filter(|status| {
                status.role == MemberRole::Primary && status.term > change.former.term
            });
            if let Some(status) = leads {
                return Ok(status.term);
            }
            sleep(POLL_INTERVAL).await;
        }
        Err(ChangeError::NotPromoted)
    }

    /// Writes the row of the next primary once all assurances of the former one
    /// have ended.
    async fn settle(
        &self,
        group: &GroupRuntime<K, C>,
        change: &RunningChange,
        member: MemberKey,
        term: Term,
    ) -> Result<(String, Term)> {
        self.wait_until(change.announced_at + ASSURANCE).await;
        let row = ReignRow {
            primary: member_id(group, member)?,
            term,
            change: None,
        };
        let asked_at = self.clock.now();
        let answer = write_reign(&self.platform, &group.name, change.revision, &row).await?;
        let revision = written(answer)?;
        group.observe_row(&row, revision, asked_at);
        Ok((row.primary, term))
    }

    async fn wait_until(&self, instant: Instant) {
        let left = instant.saturating_duration_since(self.clock.now());
        if !left.is_zero() {
            sleep(left).await;
        }
    }
}

fn decode_duty(value: &[u8]) -> Option<DutyRow> {
    match serde_json::from_slice(value) {
        Ok(row) => Some(row),
        Err(error) => {
            log::error!(reason = error.to_string().as_str(); "bad duty row");
            None
        }
    }
}

fn member_id<K: StatementCodec, C: MonotonicClock>(
    group: &GroupRuntime<K, C>,
    member: MemberKey,
) -> Result<String> {
    let id = group.with(|group| {
        let member = group.members.get(member);
        member.map(|member| member.server.id.clone())
    });
    id.ok_or(ChangeError::NoCandidate)
}

fn written(answer: WriteAnswer) -> Result<u64> {
    match answer {
        WriteAnswer::Written { revision } => Ok(revision),
        WriteAnswer::Conflict { .. } => Err(ChangeError::Conflict),
    }
}
