//! Carries out the steps of a change of primary.
//!
//! Borders: asks the store, the members and the platform; what comes next is
//! decided by `coordination::managed::change_steps`.

use std::sync::Arc;
use std::time::{Duration, Instant};

use coordination::managed::change::{CandidateStatus, ChangeReason};
use coordination::managed::change_steps::{
    ChangeFailure, ChangeProcedure, ChangeStep, OrderOutcome, StepOutcome,
};
use coordination::managed::primary_view::GroupRow;
use coordination::managed::promotion_lease::{LeaseReading, PromotionLease};
use futures::future::join_all;
use state::clock::MonotonicClock;
use state::keys::MemberKey;
use state::log::{LogPosition, Term};
use state::member::MemberRole;
use tokio::time::sleep;

use super::codec::StatementCodec;
use super::group_runtime::GroupRuntime;
use super::seam::{
    ControlTable, ControlWrite, HostPlatform, PromotionAnswer, PromotionOrder, ServiceError,
};
use super::store_follower::{encode, write_reign};
use crate::services::WriteAnswer;

/// Key of the duty's row.
const DUTY_KEY: &str = "duty";
/// Time that a member gets to answer a question of a change.
const QUESTION_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause after a step that failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(200);

/// Result of a step.
type Result<T> = std::result::Result<T, ChangeError>;

/// Why a change of primary did not finish. It is taken up again.
#[derive(Clone, Debug, PartialEq, Eq)]
enum ChangeError {
    /// It was decided so.
    GivenUp(ChangeFailure),
    /// The store did not answer as expected.
    Store(ServiceError),
}

impl From<ServiceError> for ChangeError {
    fn from(error: ServiceError) -> Self {
        Self::Store(error)
    }
}

impl std::fmt::Display for ChangeError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::GivenUp(failure) => failure.fmt(formatter),
            Self::Store(error) => error.fmt(formatter),
        }
    }
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
            Err(ChangeError::GivenUp(ChangeFailure::HeldElsewhere(host))) => {
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
        let mut procedure = ChangeProcedure::new(&self.host, self.incarnation, reason);
        let mut outcome = StepOutcome::Started;
        loop {
            let now = self.clock.now();
            outcome = match group.with(|group| procedure.next(group, outcome, now)) {
                ChangeStep::ReadLease => StepOutcome::Lease(self.read_duty().await?),
                ChangeStep::WriteLease {
                    row,
                    expected_revision,
                } => self.write_duty(&row, expected_revision).await?,
                ChangeStep::WriteGroupRow {
                    row,
                    expected_revision,
                } => {
                    if let Some(change) = &row.change {
                        log::info!(
                            group = group.name.as_str(), member = row.primary.as_str(),
                            reason = reason.name(), fencing_token = change.fencing_token;
                            "change of primary begins"
                        );
                    }
                    self.write_reign(group, &row, expected_revision).await?
                }
                ChangeStep::StepDown { member, term } => {
                    StepOutcome::SteppedDown(step_down(group, member, term).await)
                }
                ChangeStep::PollMembers { former } => {
                    StepOutcome::Polled(ask_members(group, former).await)
                }
                ChangeStep::Promote {
                    member,
                    fencing_token,
                } => StepOutcome::Ordered(self.promote(group, member, fencing_token).await),
                ChangeStep::AskStatus { member } => {
                    let status = group.ask_status(member, QUESTION_TIMEOUT).await;
                    StepOutcome::Status(status.ok().map(|status| (status.role, status.term)))
                }
                ChangeStep::Wait { until } => {
                    self.wait_until(until).await;
                    StepOutcome::Waited
                }
                ChangeStep::Done { primary, term } => return Ok((primary, term)),
                ChangeStep::Fail(failure) => return Err(ChangeError::GivenUp(failure)),
            };
        }
    }

    async fn read_duty(&self) -> Result<LeaseReading> {
        let asked_at = self.clock.now();
        let reading = self.platform.read_table(ControlTable::Reigns).await?;
        let row = reading.rows.iter().find(|row| row.key == DUTY_KEY);
        Ok(LeaseReading {
            row: row.and_then(|row| decode_duty(&row.value)),
            revision: row.map_or(0, |row| row.revision),
            store_time: reading.store_time,
            asked_at,
        })
    }

    async fn write_duty(
        &self,
        row: &PromotionLease,
        expected_revision: u64,
    ) -> Result<StepOutcome> {
        let value = encode(row);
        let write = ControlWrite {
            table: ControlTable::Reigns,
            key: DUTY_KEY,
            expected_revision,
            value: &value,
        };
        let outcome = written(&self.platform.write_row(&write).await?);
        if outcome != StepOutcome::Conflict {
            log::info!(fencing_token = row.fencing_token; "duty taken");
        }
        Ok(outcome)
    }

    async fn write_reign(
        &self,
        group: &GroupRuntime<K, C>,
        row: &GroupRow,
        expected_revision: u64,
    ) -> Result<StepOutcome> {
        let asked_at = self.clock.now();
        let answer = write_reign(&self.platform, &group.name, expected_revision, row).await?;
        let outcome = written(&answer);
        if let StepOutcome::Written { revision } = outcome {
            group.observe_row(row, revision, asked_at);
        }
        Ok(outcome)
    }

    async fn promote(
        &self,
        group: &GroupRuntime<K, C>,
        member: MemberKey,
        fencing_token: u64,
    ) -> OrderOutcome {
        let id = group.with(|group| {
            let member = group.members.get(member);
            member.map(|member| member.server.id.clone())
        });
        let Some(id) = id else {
            return OrderOutcome::Rejected;
        };
        let order = PromotionOrder {
            group: &group.name,
            member: &id,
            holder: &self.host,
            fencing_token,
        };
        let answer = self.platform.promote(&order).await;
        let outcome = format!("{answer:?}");
        log::info!(
            group = group.name.as_str(), member = id.as_str(), fencing_token,
            outcome = outcome.as_str();
            "promotion ordered"
        );
        match answer {
            Ok(PromotionAnswer::Accepted) => OrderOutcome::Accepted,
            Ok(PromotionAnswer::Rejected) => OrderOutcome::Rejected,
            Ok(PromotionAnswer::Unavailable) | Err(_) => OrderOutcome::Unknown,
        }
    }

    async fn wait_until(&self, instant: Instant) {
        let left = instant.saturating_duration_since(self.clock.now());
        if !left.is_zero() {
            sleep(left).await;
        }
    }
}

/// Lets a member step down; returns where its log ended.
async fn step_down<K: StatementCodec, C: MonotonicClock>(
    group: &GroupRuntime<K, C>,
    member: MemberKey,
    term: Term,
) -> Option<LogPosition> {
    // A failed question is entered and logged by the question itself.
    let status = group.step_down(member, term, QUESTION_TIMEOUT).await.ok()?;
    (status.role == MemberRole::Replica).then_some(status.received)
}

/// Asks all members but one; returns those that answered.
async fn ask_members<K: StatementCodec, C: MonotonicClock>(
    group: &GroupRuntime<K, C>,
    former: Option<MemberKey>,
) -> Vec<CandidateStatus> {
    let members: Vec<MemberKey> = group.with(|group| group.members.keys().collect());
    let questions = members
        .into_iter()
        .filter(|member| Some(*member) != former)
        .map(|member| async move {
            let status = group.ask_status(member, QUESTION_TIMEOUT).await.ok()?;
            Some(CandidateStatus {
                member,
                role: status.role,
                term: status.term,
                received: status.received,
            })
        });
    join_all(questions).await.into_iter().flatten().collect()
}

fn decode_duty(value: &[u8]) -> Option<PromotionLease> {
    match serde_json::from_slice(value) {
        Ok(row) => Some(row),
        Err(error) => {
            log::error!(reason = error.to_string().as_str(); "bad duty row");
            None
        }
    }
}

fn written(answer: &WriteAnswer) -> StepOutcome {
    match answer {
        WriteAnswer::Written { revision } => StepOutcome::Written {
            revision: *revision,
        },
        WriteAnswer::Conflict { .. } => StepOutcome::Conflict,
    }
}
