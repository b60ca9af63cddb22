//! Carries out the steps of a change of primary at the store, the members and the
//! platform. `coordination::managed::change_steps` decides on the next step.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use coordination::managed::change::{CandidateStatus, ChangeReason};
use coordination::managed::change_steps::{
    ChangeFailure, ChangeProcedure, ChangeStep, OrderOutcome, StatusQuestion, StepOutcome,
};
use coordination::managed::era::EraMarker;
use coordination::managed::primary_view::{GroupRow, RowReading};
use coordination::managed::promotion_lease::{LeaseReading, PromotionLease};
use futures::future::join_all;
use protocol::statement::MemberStatus;
use state::clock::MonotonicClock;
use state::keys::MemberKey;
use state::log::Term;
use tokio::time::sleep;

use super::codec::StatementCodec;
use super::context::HostContext;
use super::group_runtime::{AskError, GroupRuntime};
use super::host_platform::{
    ControlTable, HostPlatform, PromotionAnswer, PromotionOrder, ServiceError, StoreRevision,
};
use super::store_follower::{
    apply_group_rows, apply_server_list, encode_row, group_key, mark_era, write_group_row,
    write_in_era,
};
use crate::services::WriteAnswer;

/// Key of the promotion lease's row.
const LEASE_KEY: &str = "duty";
/// Time in which a member has to answer a request.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// The same for a member whose answer decides whether acknowledged commits are kept.
const REPLICA_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Refusals of a row's write in a row from which on operators should look at it.
const REFUSALS_TO_WARN: i64 = 4;
/// Pause after a failed change, before the next attempt may start.
const FAILURE_PAUSE: Duration = Duration::from_millis(200);

/// Result of a step.
type Result<T> = std::result::Result<T, ChangeError>;

/// Why a change of primary did not finish. A later attempt takes the change up
/// again.
#[derive(Clone, Debug, PartialEq, Eq)]
enum ChangeError {
    /// The procedure ended the change.
    Failed(ChangeFailure),
    /// A call to the store failed.
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
            Self::Failed(failure) => failure.fmt(formatter),
            Self::Store(error) => error.fmt(formatter),
        }
    }
}

/// Carries out changes of primary for one entry host.
#[derive(Debug)]
pub(super) struct ChangeDriver<P, K: StatementCodec, C> {
    context: Arc<HostContext<K, C>>,
    platform: P,
    incarnation: u64,
}

impl<P: Clone, K: StatementCodec, C> Clone for ChangeDriver<P, K, C> {
    fn clone(&self) -> Self {
        Self {
            context: self.context.clone(),
            platform: self.platform.clone(),
            incarnation: self.incarnation,
        }
    }
}

impl<P: HostPlatform, K: StatementCodec, C: MonotonicClock> ChangeDriver<P, K, C> {
    pub(super) fn new(context: Arc<HostContext<K, C>>, platform: P) -> Self {
        Self {
            context,
            platform,
            incarnation: rand::random(),
        }
    }

    fn host(&self) -> &str {
        &self.context.settings.host
    }

    /// Makes one attempt to change the primary of a group, and logs the result.
    pub(super) async fn run(&self, group: &Arc<GroupRuntime<K, C>>, reason: ChangeReason) {
        let name = group.name.as_str();
        let started = self.context.clock.now();
        match self.change(group, reason).await {
            Ok((member, term)) => {
                let elapsed = self.context.clock.now().saturating_duration_since(started);
                log::info!(
                    group = name, member = member.as_str(), term = term.0,
                    reason = reason.name(), elapsed_ms = elapsed.as_millis() as u64;
                    "primary changed"
                );
            }
            Err(ChangeError::Failed(ChangeFailure::HeldElsewhere(host))) => {
                log::debug!(group = name, host = host.as_str(); "another host changes primaries");
                sleep(FAILURE_PAUSE).await;
            }
            Err(error) => {
                let (reason, error) = (reason.name(), error.to_string());
                log::warn!(
                    group = name, reason, error = error.as_str();
                    "change of primary failed"
                );
                sleep(FAILURE_PAUSE).await;
            }
        }
    }

    async fn change(
        &self,
        group: &Arc<GroupRuntime<K, C>>,
        reason: ChangeReason,
    ) -> Result<(String, Term)> {
        let mut procedure = ChangeProcedure::new(self.host(), self.incarnation, reason);
        let mut outcome = StepOutcome::Started;
        // All writes of the attempt are conditional on the era in which it began.
        let mut marker: Option<EraMarker> = None;
        let mut poll_log = PollLog::default();
        loop {
            let now = self.context.clock.now();
            self.context.settle_sync_replicas(group);
            outcome = match group.with(|group| procedure.next(group, outcome, now)) {
                ChangeStep::ReadLease => {
                    let is_confirming = procedure.is_confirming();
                    let reading = self.read_lease_or_wait(group, is_confirming).await?;
                    if let Some(reading) = &reading {
                        marker.get_or_insert(reading.marker);
                    }
                    reading.map_or(StepOutcome::LeaseUnknown, StepOutcome::Lease)
                }
                ChangeStep::WriteLease {
                    row,
                    expected_revision,
                } => {
                    let marker = marker.ok_or(ChangeError::Failed(ChangeFailure::EraEnded))?;
                    self.write_lease(&row, expected_revision, &marker).await?
                }
                ChangeStep::WriteGroupRow {
                    row,
                    expected_revision,
                } => {
                    log_announcement(group, &row, reason);
                    let marker = marker.ok_or(ChangeError::Failed(ChangeFailure::EraEnded))?;
                    self.write_group_row(group, &row, expected_revision, &marker)
                        .await?
                }
                ChangeStep::StepDown { member, term } => {
                    StepOutcome::SteppedDown(step_down(group, member, term).await)
                }
                ChangeStep::PollMembers { members, question } => {
                    let replies = poll_members(group, &members, question, &mut poll_log).await;
                    StepOutcome::Polled(replies)
                }
                ChangeStep::ResumeMembers { members } => StepOutcome::Resumed {
                    silent: resume_members(group, members).await,
                },
                ChangeStep::ReadMembers => self.read_members(group).await,
                ChangeStep::Promote {
                    member,
                    fencing_token,
                } => StepOutcome::Ordered(self.promote(group, member, fencing_token).await),
                ChangeStep::AskStatus { member, question } => {
                    let status = ask_candidate(group, member, question).await;
                    StepOutcome::Status(status.ok().map(|status| (status.role, status.term)))
                }
                ChangeStep::Wait { until } => {
                    self.wait_until(until).await;
                    StepOutcome::Waited
                }
                ChangeStep::Done { primary, term } => return Ok((primary, term)),
                ChangeStep::Fail(failure) => return Err(ChangeError::Failed(failure)),
            };
        }
    }

    /// Reads the lease row. While the era is confirmed before an order, a store that does
    /// not answer is waited for, and `None` is returned.
    async fn read_lease_or_wait(
        &self,
        group: &GroupRuntime<K, C>,
        is_confirming: bool,
    ) -> Result<Option<LeaseReading>> {
        match self.read_lease().await {
            Ok(reading) => Ok(Some(reading)),
            Err(error) if is_confirming => {
                let error = error.to_string();
                log::warn!(
                    group = group.name.as_str(), error = error.as_str();
                    "promotion waits for the store"
                );
                Ok(None)
            }
            Err(error) => Err(error),
        }
    }

    async fn read_lease(&self) -> Result<LeaseReading> {
        let asked_at = self.context.clock.now();
        let reading = self.platform.read_table(ControlTable::Groups).await?;
        if !self.context.admit_era(reading.revision) {
            return Err(ChangeError::Failed(ChangeFailure::EraEnded));
        }
        apply_group_rows(&self.context, &reading, asked_at);
        let marker = mark_era(&self.context, &self.platform, &reading).await;
        let marker = marker.ok_or(ChangeError::Failed(ChangeFailure::Conflict))?;
        let row = reading.rows.iter().find(|row| row.key == LEASE_KEY);
        Ok(LeaseReading {
            row: row.and_then(|row| decode_lease(&row.value)),
            revision: row.map_or(0, |row| row.revision),
            marker,
            store_time: reading.store_time,
            asked_at,
        })
    }

    async fn read_members(&self, group: &GroupRuntime<K, C>) -> StepOutcome {
        self.context.metrics.count_store_call("servers");
        match self.platform.list_servers().await {
            Ok(reading) if self.context.admit_era(StoreRevision::new(reading.era, 0)) => {
                apply_server_list(&self.context, &reading);
                StepOutcome::MembersRead
            }
            Ok(_) => StepOutcome::MembersUnknown,
            Err(error) => {
                self.context.metrics.count_store_failure("servers");
                let error = error.to_string();
                log::warn!(
                    group = group.name.as_str(), error = error.as_str();
                    "promotion waits for the server list"
                );
                StepOutcome::MembersUnknown
            }
        }
    }

    async fn write_lease(
        &self,
        row: &PromotionLease,
        expected_revision: u64,
        marker: &EraMarker,
    ) -> Result<StepOutcome> {
        let value = encode_row(row);
        let platform = &self.platform;
        let answer = write_in_era(platform, LEASE_KEY, expected_revision, marker, &value).await?;
        self.record_write(LEASE_KEY, expected_revision, &answer);
        let outcome = write_outcome(&answer);
        if outcome != StepOutcome::Conflict {
            log::info!(fencing_token = row.fencing_token; "duty taken");
        }
        Ok(outcome)
    }

    async fn write_group_row(
        &self,
        group: &GroupRuntime<K, C>,
        row: &GroupRow,
        expected_revision: u64,
        marker: &EraMarker,
    ) -> Result<StepOutcome> {
        let asked_at = self.context.clock.now();
        let name = &group.name;
        let answer = write_group_row(&self.platform, name, expected_revision, marker, row).await?;
        self.record_write(&group_key(&group.name), expected_revision, &answer);
        let outcome = write_outcome(&answer);
        if let StepOutcome::Written { revision } = outcome {
            let newest = self.context.relay.marker();
            group.observe_row(&RowReading {
                row,
                revision: StoreRevision::new(marker.era, revision),
                asked_at,
                is_settled: newest.is_some_and(|marker| marker.is_settled()),
            });
        }
        Ok(outcome)
    }

    /// Counts a refused write of a row, and logs what the store has instead.
    fn record_write(&self, key: &str, expected_revision: u64, answer: &WriteAnswer) {
        let WriteAnswer::Conflict { row } = answer else {
            return self.context.metrics.reset_refused_writes(key);
        };
        let refusals = self.context.metrics.count_refused_write(key);
        // Hosts that compete for a change refuse each other once or twice.
        let level = match refusals < REFUSALS_TO_WARN {
            true => log::Level::Info,
            false => log::Level::Warn,
        };
        log::log!(
            level, key, expected_revision, stored_revision = row.revision,
            stored = row.value.as_str(), refusals;
            "conditional write refused"
        );
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
            holder: self.host(),
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
        let left = instant.saturating_duration_since(self.context.clock.now());
        if !left.is_zero() {
            sleep(left).await;
        }
    }
}

/// Logs the begin of a change of primary if `row` announces one.
fn log_announcement<K: StatementCodec, C: MonotonicClock>(
    group: &GroupRuntime<K, C>,
    row: &GroupRow,
    reason: ChangeReason,
) {
    if let Some(change) = &row.change {
        log::info!(
            group = group.name.as_str(), member = row.primary.as_str(),
            reason = reason.name(), fencing_token = change.fencing_token;
            "change of primary begins"
        );
    }
}

/// Makes a member step down. Returns its status after that.
async fn step_down<K: StatementCodec, C: MonotonicClock>(
    group: &GroupRuntime<K, C>,
    member: MemberKey,
    term: Term,
) -> Option<CandidateStatus> {
    // `GroupRuntime::step_down` records and logs a failure.
    let status = group.step_down(member, term, REQUEST_TIMEOUT).await.ok()?;
    log::info!(
        group = group.name.as_str(), role = status.role.name(), term = status.term.0,
        received = status.received.to_string().as_str();
        "former primary answered"
    );
    Some(candidate_status(member, status))
}

/// Asks a member for its status.
async fn ask_candidate<K: StatementCodec, C: MonotonicClock>(
    group: &GroupRuntime<K, C>,
    member: MemberKey,
    question: StatusQuestion,
) -> std::result::Result<MemberStatus, AskError> {
    match question {
        StatusQuestion::Status => group.ask_status(member, REQUEST_TIMEOUT).await,
        StatusQuestion::StepDownBelow(term) => group.step_down(member, term, REPLICA_TIMEOUT).await,
        StatusQuestion::PauseBelow(term) => {
            match group.pause(member, term, REPLICA_TIMEOUT).await {
                Err(AskError::Refused(refusal)) => {
                    log::warn!(
                        group = group.name.as_str(), reason = refusal.name();
                        "replica does not pause"
                    );
                    group.step_down(member, term, REPLICA_TIMEOUT).await
                }
                answer => answer,
            }
        }
    }
}

/// Asks members to receive again. Returns those that did not answer.
async fn resume_members<K: StatementCodec, C: MonotonicClock>(
    group: &GroupRuntime<K, C>,
    members: Vec<MemberKey>,
) -> Vec<MemberKey> {
    let questions = members
        .iter()
        .map(|member| group.resume(*member, REQUEST_TIMEOUT));
    let answers = join_all(questions).await;
    let is_silent = |answer: &std::result::Result<_, AskError>| {
        !matches!(answer, Ok(_) | Err(AskError::Refused(_)))
    };
    let answered = members.iter().zip(&answers);
    answered
        .filter(|(_, answer)| is_silent(answer))
        .map(|(member, _)| *member)
        .collect()
}

fn candidate_status(member: MemberKey, status: MemberStatus) -> CandidateStatus {
    CandidateStatus {
        member,
        role: status.role,
        term: status.term,
        received: status.received,
    }
}

/// The outcomes of one attempt's polls that were logged. A poll is repeated often, and
/// only an outcome that the member has not had before is logged.
type PollLog = HashSet<(MemberKey, &'static str)>;

/// Asks members for their status; returns the answers.
async fn poll_members<K: StatementCodec, C: MonotonicClock>(
    group: &GroupRuntime<K, C>,
    members: &[MemberKey],
    question: StatusQuestion,
    poll_log: &mut PollLog,
) -> Vec<CandidateStatus> {
    let members: Vec<(MemberKey, String)> = group.with(|group| {
        let known = members.iter().filter_map(|key| {
            let member = group.members.get(*key)?;
            Some((*key, member.server.id.clone()))
        });
        known.collect()
    });
    let questions = members
        .iter()
        .map(|(key, _)| ask_candidate(group, *key, question));
    let answers = join_all(questions).await;
    let mut replies = Vec::new();
    for ((key, id), answer) in members.iter().zip(answers) {
        let outcome = answer
            .as_ref()
            .map_or_else(|error| error.name(), |_| "answered");
        let status = answer.ok();
        if poll_log.insert((*key, outcome)) {
            let received = status.map_or_else(String::new, |status| status.received.to_string());
            log::info!(
                group = group.name.as_str(), member = id.as_str(), outcome,
                role = status.map_or("", |status| status.role.name()),
                term = status.map_or(0, |status| status.term.0),
                received = received.as_str();
                "member polled"
            );
        }
        replies.extend(status.map(|status| candidate_status(*key, status)));
    }
    replies
}

fn decode_lease(value: &[u8]) -> Option<PromotionLease> {
    match serde_json::from_slice(value) {
        Ok(row) => Some(row),
        Err(error) => {
            log::error!(
                reason = error.to_string().as_str();
                "cannot decode the row of the promotion lease"
            );
            None
        }
    }
}

fn write_outcome(answer: &WriteAnswer) -> StepOutcome {
    match answer {
        WriteAnswer::Written { revision } => StepOutcome::Written {
            revision: *revision,
        },
        WriteAnswer::Conflict { .. } => StepOutcome::Conflict,
    }
}
