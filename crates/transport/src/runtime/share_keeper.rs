//! Keeps the connection shares: grants, takeovers, loans and the pools' limits.

use std::time::{Duration, Instant};

use coordination::connection_shares::{GrantedLoan, LoanId, ShareAction, TakeoverRow};
use protocol::peer::BorrowRequest;
use tokio::task::JoinSet;

use super::callers::CallerSide;
use super::share_hub::ShareHub;
use super::takeover;
use crate::document_follower::FollowerHandle;
use crate::membership_hub::MembershipHub;
use crate::peer::{ClientCache, OwnDigest, PeerClient, PeerFactory};
use crate::pool::MemberPool;
use crate::services::{Result, TableService};

/// Interval at which shares are looked after. A share that falls must be closed
/// down to within the margin of 1 s.
const KEEPER_INTERVAL: Duration = Duration::from_millis(200);
/// Time after which an unused connection is closed, so that its share can be
/// lent. Opening one costs about 10 ms.
const IDLE_CONNECTION_LIMIT: Duration = Duration::from_secs(30);
/// Connections that are borrowed at once.
const BORROW_COUNT: u32 = 2;
/// Age up to which a peer's digest tells what can be borrowed.
const DIGEST_AGE_MS: u64 = 3_000;

/// What the keeper works with.
pub(super) struct KeeperSeams<T, P> {
    pub(super) shares: ShareHub,
    pub(super) callers: CallerSide,
    pub(super) follower: FollowerHandle,
    pub(super) hub: MembershipHub,
    pub(super) table: T,
    pub(super) peers: P,
    pub(super) digest: OwnDigest,
}

/// Keeps the shares until the returned future is dropped.
pub(super) async fn keep_shares<T: TableService, P: PeerFactory>(seams: KeeperSeams<T, P>) {
    let mut keeper = ShareKeeper {
        clients: ClientCache::new(seams.peers.clone()),
        seams,
        calls: JoinSet::new(),
        loans: 0,
        borrowing: false,
    };
    let mut documents = keeper.seams.follower.documents.clone();
    loop {
        keeper.tick();
        tokio::select! {
            () = tokio::time::sleep(KEEPER_INTERVAL) => {}
            changed = documents.changed() => if changed.is_err() { return },
            Some(ended) = keeper.calls.join_next(), if !keeper.calls.is_empty() => {
                if matches!(ended, Ok(CallEnd::Borrowed)) {
                    keeper.borrowing = false;
                }
            }
        }
    }
}

/// Which kind of call has ended.
enum CallEnd {
    Borrowed,
    Other,
}

struct ShareKeeper<T, P: PeerFactory> {
    seams: KeeperSeams<T, P>,
    calls: JoinSet<CallEnd>,
    clients: ClientCache<P>,
    /// Number of the last loan.
    loans: u64,
    borrowing: bool,
}

impl<T: TableService, P: PeerFactory> ShareKeeper<T, P> {
    fn tick(&mut self) {
        let now = Instant::now();
        let Some(context) = self.seams.callers.context().cloned() else {
            return;
        };
        for group in context.groups() {
            for pool in group.pools() {
                if let Some(limit) = now.checked_sub(IDLE_CONNECTION_LIMIT) {
                    pool.close_idle_before(limit);
                }
                let open = u32::try_from(pool.open()).unwrap_or(u32::MAX);
                self.seams.shares.set_open(pool.name(), open);
                if let Some(accepted) = pool.take_limit_refusal() {
                    self.seams
                        .shares
                        .note_limit_refusal(pool.name(), accepted, now);
                }
                if pool.spare() == 0 && pool.gate().queued() > 0 {
                    self.borrow(&pool);
                }
            }
        }
        context.observe_queues();
        for action in self.seams.shares.due(now) {
            self.perform(action, now);
        }
        for group in context.groups() {
            self.seams.shares.apply_to(&group);
        }
        self.seams.digest.set_idle(self.seams.shares.idle(now));
    }

    fn perform(&mut self, action: ShareAction, now: Instant) {
        let shares = self.seams.shares.clone();
        let table = self.seams.table.clone();
        let own = self.seams.digest.host().to_owned();
        match action {
            ShareAction::RequestGrant { host } => self.ask_grant(host, now),
            ShareAction::ReadOwnRow => {
                self.calls.spawn(async move {
                    note_row(&shares, takeover::read(&table, &own).await, now);
                    CallEnd::Other
                });
            }
            ShareAction::WriteOwnRow { row } => {
                self.calls.spawn(async move {
                    note_row(&shares, takeover::write(&table, &own, row).await, now);
                    CallEnd::Other
                });
            }
            ShareAction::WriteTakeover { host, attempt } => {
                self.calls.spawn(async move {
                    let written = takeover::take(&table, &host, &own).await;
                    if matches!(written, Ok(true)) {
                        log::warn!("taking over the connection shares of host {host}");
                    }
                    let written = written.unwrap_or(false);
                    shares.end_takeover(&host, attempt, written, Instant::now());
                    CallEnd::Other
                });
            }
        }
    }

    fn ask_grant(&mut self, host: String, now: Instant) {
        let Some(client) = self.client_of(&host) else {
            return;
        };
        let shares = self.seams.shares.clone();
        let request = shares.grant_request();
        self.calls.spawn(async move {
            if let Ok(reply) = client.grant_shares(request).await {
                shares.note_grant(&host, &reply, now);
            }
            CallEnd::Other
        });
    }

    /// Borrows from the peer that has most to lend.
    fn borrow(&mut self, pool: &MemberPool) {
        if self.borrowing {
            return;
        }
        let Some(position) = self.seams.shares.position(pool.name()) else {
            return;
        };
        let document = self.seams.digest.current().document;
        let now = Instant::now();
        let peers = self.seams.hub.peers(now).into_iter();
        let fresh = peers.filter(|peer| peer.age_ms <= DIGEST_AGE_MS && !peer.digest.leaving);
        let offers = fresh.filter_map(|peer| {
            let count = peer.digest.idle_at(&document, position)?;
            Some((count, peer.digest.host.clone()))
        });
        let Some((_, lender)) = offers.max() else {
            return;
        };
        let Some(client) = self.client_of(&lender) else {
            return;
        };
        self.borrowing = true;
        self.loans += 1;
        let request = BorrowRequest {
            host: self.seams.digest.host().to_owned(),
            incarnation: self.seams.digest.incarnation(),
            loan: self.loans,
            member: pool.name().to_owned(),
            count: BORROW_COUNT,
        };
        let shares = self.seams.shares.clone();
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
                shares.note_loan(&member, &loan);
            }
            CallEnd::Borrowed
        });
    }

    fn client_of(&mut self, host: &str) -> Option<P::Client> {
        let adopted = self.seams.follower.current()?;
        let mut hosts = adopted.document.entry_host.iter();
        let entry = hosts.find(|entry| entry.name == host)?;
        Some(self.clients.client(entry.peer_address))
    }
}

/// Notes the own takeover row as it was at some time after `sent_at`. After a
/// lost answer it is read again when that is due.
fn note_row(shares: &ShareHub, row: Result<TakeoverRow>, sent_at: Instant) {
    match row {
        Ok(row) => shares.note_own_row(row, sent_at),
        Err(error) => log::debug!("own takeover row: {error}"),
    }
}
