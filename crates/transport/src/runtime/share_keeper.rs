//! Maintains the connection shares: requests grants, takes over shares of failed
//! hosts, borrows connections and sets the limits of the pools.

use std::time::{Duration, Instant};

use coordination::connection_shares::{GrantedLoan, LoanId, ShareAction, TakeoverRow};
use protocol::peer::BorrowRequest;
use tokio::task::JoinSet;

use super::callers::CallerRuntime;
use super::share_hub::ShareHub;
use super::takeover;
use crate::document_follower::FollowerHandle;
use crate::membership_hub::MembershipHub;
use crate::peer::{ClientCache, OwnDigest, PeerClient, PeerFactory};
use crate::pool::MemberPool;
use crate::services::{Result, TableService};

/// Interval between two rounds of maintenance. When a share shrinks, the surplus
/// connections must be closed within the margin of 1 s.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(200);
/// Time after which an unused connection is closed, so that it can be lent to a
/// peer. Opening a connection takes about 10 ms.
const IDLE_CONNECTION_LIMIT: Duration = Duration::from_secs(30);
/// Number of connections that one request borrows.
const BORROW_COUNT: u32 = 2;
/// Maximal age of a peer's digest that is used to choose a lender.
const MAX_DIGEST_AGE_MS: u64 = 3_000;

/// The parts of a daemon that the maintenance of shares uses.
pub(super) struct MaintainerContext<T, P> {
    pub(super) shares: ShareHub,
    pub(super) callers: CallerRuntime,
    pub(super) follower: FollowerHandle,
    pub(super) hub: MembershipHub,
    pub(super) table: T,
    pub(super) peers: P,
    pub(super) digest: OwnDigest,
}

/// Maintains the shares until the returned future is dropped or the document
/// channel closes.
pub(super) async fn maintain_shares<T: TableService, P: PeerFactory>(
    context: MaintainerContext<T, P>,
) {
    let mut maintainer = ShareMaintainer {
        clients: ClientCache::new(context.peers.clone()),
        context,
        calls: JoinSet::new(),
        last_loan: 0,
        borrowing: false,
    };
    let mut documents = maintainer.context.follower.documents.clone();
    loop {
        maintainer.tick();
        tokio::select! {
            () = tokio::time::sleep(MAINTENANCE_INTERVAL) => {}
            changed = documents.changed() => if changed.is_err() { return },
            Some(ended) = maintainer.calls.join_next(), if !maintainer.calls.is_empty() => {
                if matches!(ended, Ok(EndedCall::Borrowed)) {
                    maintainer.borrowing = false;
                }
            }
        }
    }
}

/// The kind of a call that has ended.
enum EndedCall {
    Borrowed,
    Other,
}

/// The maintenance task of the shares, with its calls in flight.
struct ShareMaintainer<T, P: PeerFactory> {
    context: MaintainerContext<T, P>,
    calls: JoinSet<EndedCall>,
    clients: ClientCache<P>,
    /// Number of the last loan that was requested.
    last_loan: u64,
    /// Whether a request for a loan is in flight.
    borrowing: bool,
}

impl<T: TableService, P: PeerFactory> ShareMaintainer<T, P> {
    /// Runs one round of maintenance.
    fn tick(&mut self) {
        let now = Instant::now();
        let Some(callers) = self.context.callers.context().cloned() else {
            return;
        };
        for group in callers.groups() {
            for pool in group.pools() {
                if let Some(limit) = now.checked_sub(IDLE_CONNECTION_LIMIT) {
                    pool.close_idle_before(limit);
                }
                let open = u32::try_from(pool.open()).unwrap_or(u32::MAX);
                self.context.shares.set_open(pool.name(), open);
                if let Some(accepted) = pool.take_limit_refusal() {
                    self.context
                        .shares
                        .record_limit_refusal(pool.name(), accepted, now);
                }
                if pool.spare() == 0 && pool.gate().queued() > 0 {
                    self.borrow(&pool);
                }
            }
        }
        callers.observe_queues();
        for action in self.context.shares.due(now) {
            self.perform(action, now);
        }
        for group in callers.groups() {
            self.context.shares.apply_to(&group);
        }
        self.context.digest.set_idle(self.context.shares.idle(now));
    }

    fn perform(&mut self, action: ShareAction, now: Instant) {
        let shares = self.context.shares.clone();
        let table = self.context.table.clone();
        let own = self.context.digest.host().to_owned();
        match action {
            ShareAction::RequestGrant { host } => self.request_grant(host, now),
            ShareAction::ReadOwnRow => {
                self.calls.spawn(async move {
                    record_row(&shares, takeover::read(&table, &own).await, now);
                    EndedCall::Other
                });
            }
            ShareAction::WriteOwnRow { row } => {
                self.calls.spawn(async move {
                    record_row(&shares, takeover::write(&table, &own, row).await, now);
                    EndedCall::Other
                });
            }
            ShareAction::WriteTakeover { host, attempt } => {
                self.calls.spawn(async move {
                    let written = takeover::claim(&table, &host, &own).await;
                    if matches!(written, Ok(true)) {
                        log::warn!("taking over the connection shares of host {host}");
                    }
                    let written = written.unwrap_or(false);
                    shares.end_takeover(&host, attempt, written, Instant::now());
                    EndedCall::Other
                });
            }
        }
    }

    /// Asks a peer for a grant.
    fn request_grant(&mut self, host: String, now: Instant) {
        let Some(client) = self.client_of(&host) else {
            return;
        };
        let shares = self.context.shares.clone();
        let request = shares.grant_request();
        self.calls.spawn(async move {
            if let Ok(reply) = client.grant_shares(request).await {
                shares.record_grant_reply(&host, &reply, now);
            }
            EndedCall::Other
        });
    }

    /// Requests a loan of connections to the pool's server from the peer with the
    /// most idle ones.
    fn borrow(&mut self, pool: &MemberPool) {
        if self.borrowing {
            return;
        }
        let Some(position) = self.context.shares.position(pool.name()) else {
            return;
        };
        let document = self.context.digest.current().document;
        let now = Instant::now();
        let peers = self.context.hub.peers(now).into_iter();
        let recent = peers.filter(|peer| peer.age_ms <= MAX_DIGEST_AGE_MS && !peer.digest.leaving);
        let lenders = recent.filter_map(|peer| {
            let count = peer.digest.idle_at(&document, position)?;
            Some((count, peer.digest.host.clone()))
        });
        let Some((_, lender)) = lenders.max() else {
            return;
        };
        let Some(client) = self.client_of(&lender) else {
            return;
        };
        self.borrowing = true;
        self.last_loan += 1;
        let request = BorrowRequest {
            host: self.context.digest.host().to_owned(),
            incarnation: self.context.digest.incarnation(),
            loan: self.last_loan,
            member: pool.name().to_owned(),
            count: BORROW_COUNT,
        };
        let shares = self.context.shares.clone();
        self.calls.spawn(async move {
            let (member, id) = (request.member.clone(), LoanId(request.loan));
            if let Ok(reply) = client.borrow_connections(request).await {
                let loan = GrantedLoan {
                    lender: &lender,
                    incarnation: reply.incarnation,
                    id,
                    count: reply.count,
                    sent_at: now,
                };
                shares.record_loan(&member, &loan);
            }
            EndedCall::Borrowed
        });
    }

    fn client_of(&mut self, host: &str) -> Option<P::Client> {
        let adopted = self.context.follower.current()?;
        let mut hosts = adopted.document.entry_host.iter();
        let entry = hosts.find(|entry| entry.name == host)?;
        Some(self.clients.client(entry.peer_address))
    }
}

/// Records the own takeover row, as it was at some time after `sent_at`. If the
/// answer was lost, the row is read again when that is due.
fn record_row(shares: &ShareHub, row: Result<TakeoverRow>, sent_at: Instant) {
    match row {
        Ok(row) => shares.record_own_row(row, sent_at),
        Err(error) => log::debug!("cannot read or write the own takeover row: {error}"),
    }
}
