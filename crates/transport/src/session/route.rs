//! Choice of a member for a statement, admission, and check-out of a connection.

use std::sync::Arc;
use std::time::{Duration, Instant};

use coordination::admission::AdmissionRequest;
use coordination::routing::{
    choose_read, choose_write, needs_watermark, ReadRequest, RefusalReason, RouteChoice,
};
use coordination::view::{GroupView, GroupWatermark};
use protocol::result_code::ResultCode;
use state::keys::MemberKey;
use state::log::{LogPosition, Term};
use tokio::sync::oneshot;
use tokio::time::{sleep_until, timeout_at};

use super::exchange::{read_position, POSITION_QUERY};
use super::refusal::{refuse, Refusal, Result};
use crate::caller::context::GroupContext;
use crate::group_handle::{GroupHandle, MonitorStopped};
use crate::pool::{AdmissionPermit, MemberPool, PoolError, PooledConnection};

/// Minimum time between two watermark requests for the same read.
const WATERMARK_INTERVAL: Duration = Duration::from_millis(50);

/// A member that was chosen for a statement.
#[derive(Debug)]
pub(super) struct RoutedMember {
    pub(super) key: MemberKey,
    pub(super) pool: Arc<MemberPool>,
    /// Highest known term when the member was chosen.
    pub(super) term: Term,
    pub(super) is_primary: bool,
    /// Applied position on which the choice is based.
    applied: LogPosition,
    /// Instant of the report with that position.
    reported_at: Option<Instant>,
}

/// A connection to the chosen member, with the statement's admission.
#[derive(Debug)]
pub(super) struct AcquiredConnection {
    pub(super) member: RoutedMember,
    pub(super) permit: Option<AdmissionPermit>,
    pub(super) connection: PooledConnection,
}

/// Why no connection was acquired. Nothing was sent.
#[derive(Debug)]
pub(super) enum AcquireFailure {
    /// The statement is refused.
    Refused(Refusal),
    /// The member could not be reached; another attempt may succeed.
    Unreachable,
}

impl From<Refusal> for AcquireFailure {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}

/// Chooses the member for a read; waits for a new view or a watermark while none
/// qualifies.
pub(super) async fn route_read(
    group: &GroupContext,
    request: &ReadRequest<'_>,
) -> std::result::Result<RoutedMember, Refusal> {
    let mut handle = group.handle.clone();
    let mut watermark_wait = WatermarkWait::default();
    loop {
        let view = handle.view_and_mark_seen();
        let now = Instant::now();
        let in_flight = |key| group.in_use(key);
        let until = match choose_read(&view, request, now, in_flight) {
            RouteChoice::Member(key) => return Ok(routed(group, &view, key)),
            RouteChoice::Refuse(reason) => return Err(refusal_for(reason)),
            RouteChoice::WaitUntil(until) => until,
        };
        if needs_watermark(&view, request, now) {
            watermark_wait.request(&group.handle, now);
        }
        await_change(&mut handle, until, &mut watermark_wait).await?;
    }
}

/// The watermark request of a waiting read. It stays pending while the view
/// changes.
#[derive(Default)]
struct WatermarkWait {
    answer: Option<oneshot::Receiver<GroupWatermark>>,
    next_request_at: Option<Instant>,
}

impl WatermarkWait {
    fn request(&mut self, handle: &GroupHandle, now: Instant) {
        if self.answer.is_some() || self.next_request_at.is_some_and(|next| now < next) {
            return;
        }
        self.next_request_at = Some(now + WATERMARK_INTERVAL);
        self.answer = handle.request_watermark().ok();
    }

    /// Waits until the pending request has ended. After a failure, or when the
    /// monitor was busy, a later call of [`WatermarkWait::request`] asks again.
    async fn arrived(&mut self) {
        match self.answer.as_mut() {
            Some(answer) => {
                let _ = answer.await;
                self.answer = None;
            }
            None => std::future::pending().await,
        }
    }
}

/// Chooses the member for a write or a transaction. The primary's term must be at
/// least `min_term`: a primary of a lower term lacks accepted writes that the
/// session must see.
pub(super) async fn route_write(
    group: &GroupContext,
    min_term: Term,
    deadline: Instant,
) -> std::result::Result<RoutedMember, Refusal> {
    let mut handle = group.handle.clone();
    loop {
        let view = handle.view_and_mark_seen();
        let until = match choose_write(&view, deadline, Instant::now()) {
            RouteChoice::Member(key) if view.highest_term() >= min_term => {
                return Ok(routed(group, &view, key));
            }
            RouteChoice::Refuse(reason) => return Err(refusal_for(reason)),
            RouteChoice::Member(_) if Instant::now() >= deadline => {
                return Err(refusal_for(RefusalReason::NoPrimary));
            }
            RouteChoice::Member(_) => deadline,
            RouteChoice::WaitUntil(until) => until,
        };
        await_change(&mut handle, until, &mut WatermarkWait::default()).await?;
    }
}

/// Waits for a new view, a watermark or the instant `until`.
async fn await_change(
    handle: &mut GroupHandle,
    until: Instant,
    watermark_wait: &mut WatermarkWait,
) -> std::result::Result<(), Refusal> {
    let changed = tokio::select! {
        view = handle.next_view() => view.map(|_| ()),
        () = watermark_wait.arrived() => Ok(()),
        () = sleep_until(until.into()) => Ok(()),
    };
    changed
        .map_err(|MonitorStopped| Refusal::new(ResultCode::UnknownGroup, "the group was removed"))
}

fn routed(group: &GroupContext, view: &GroupView, key: MemberKey) -> RoutedMember {
    let member = &view.members[key];
    RoutedMember {
        key,
        pool: group.pool_of(key, member),
        term: view.highest_term(),
        is_primary: view.primary() == Some(key),
        applied: member
            .report
            .map(|report| report.applied)
            .unwrap_or_default(),
        reported_at: member.reported_at,
    }
}

fn refusal_for(reason: RefusalReason) -> Refusal {
    let code = match reason {
        RefusalReason::NoMemberSatisfies => ResultCode::NoFreshMember,
        RefusalReason::NoPrimary => ResultCode::NoPrimary,
    };
    Refusal::new(code, "")
}

/// Waits for admission and a connection at a chosen member.
pub(super) async fn acquire(
    group: &GroupContext,
    member: RoutedMember,
    request: &AdmissionRequest,
) -> std::result::Result<AcquiredConnection, AcquireFailure> {
    let permit = admit(group, &member, request).await?;
    let mut connection = match member.pool.check_out(&(), request.deadline).await {
        Ok(connection) => connection,
        Err(PoolError::Exhausted | PoolError::AtLimit { .. }) => {
            let reason = "no connection became free";
            return Err(Refusal::new(ResultCode::DeadlineTooShort, reason).into());
        }
        Err(PoolError::Connect(error)) => {
            log::debug!("cannot connect to member {}: {error}", member.pool.name());
            group.handle.suspect(member.key);
            return Err(AcquireFailure::Unreachable);
        }
    };
    if member.is_primary {
        connection.set_term(Some(group.handle.watch_term(member.term)));
    }
    Ok(AcquiredConnection {
        member,
        permit: Some(permit),
        connection,
    })
}

/// Waits in the member's admission queue. When the member becomes unreachable, or
/// is no longer the primary for which it was chosen, the wait fails, so that the
/// statement is routed again.
async fn admit(
    group: &GroupContext,
    member: &RoutedMember,
    request: &AdmissionRequest,
) -> std::result::Result<AdmissionPermit, AcquireFailure> {
    let mut handle = group.handle.clone();
    if !still_usable(&handle.view_and_mark_seen(), member) {
        return Err(AcquireFailure::Unreachable);
    }
    let entering = member.pool.gate().enter(request);
    tokio::pin!(entering);
    loop {
        tokio::select! {
            biased;
            entered = &mut entering => return Ok(entered.map_err(Refusal::from)?),
            view = handle.next_view() => {
                let view = view.map_err(|MonitorStopped| AcquireFailure::Unreachable)?;
                if !still_usable(&view, member) {
                    return Err(AcquireFailure::Unreachable);
                }
            }
        }
    }
}

fn still_usable(view: &GroupView, member: &RoutedMember) -> bool {
    let reachable = view
        .members
        .get(member.key)
        .is_some_and(|found| found.reachable);
    reachable && (!member.is_primary || view.primary() == Some(member.key))
}

/// Returns whether the server on this connection has the applied position on which
/// the choice is based. The member may have restarted with an older state after its
/// newest report and before the connection was opened.
pub(super) async fn verify_position(acquired: &mut AcquiredConnection, deadline: Instant) -> bool {
    let member = &acquired.member;
    let connection = &mut acquired.connection;
    let reported_after_opening = member
        .reported_at
        .is_some_and(|reported_at| reported_at >= connection.opened_at());
    if reported_after_opening || connection.known_position().reaches(member.applied) {
        return true;
    }
    connection.compose_query(POSITION_QUERY);
    if connection.send(deadline).await.is_err() {
        return false;
    }
    let reading = read_position(connection, deadline).await;
    matches!(reading, Ok(Some(reading)) if reading.position.reaches(member.applied))
}

/// Waits for a watermark that is requested after this call.
pub(super) async fn watermark(group: &GroupContext, deadline: Instant) -> Result<GroupWatermark> {
    match timeout_at(deadline.into(), group.handle.watermark()).await {
        Ok(Ok(watermark)) => Ok(watermark),
        Ok(Err(MonitorStopped)) => refuse(ResultCode::UnknownGroup, "the group was removed"),
        Err(_) => refuse(ResultCode::NoFreshMember, "no majority answered"),
    }
}
