//! The connection shares of a daemon, which the share maintainer and the handler
//! of peer calls use.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use coordination::connection_shares::{
    GrantAnswer, GrantedLoan, LoanId, LoanRequest, ReceivedGrant, ServingHost, ShareAction,
    ShareLayout, ShareTable, TakeoverRow, DOCUMENT_SETTLE,
};
use coordination::membership::MembershipState;
use protocol::peer::{BorrowReply, BorrowRequest, GrantReply, GrantRequest};
use state::document::{GroupMember, IntentDocument};

use crate::caller::context::{GroupContext, MemberShare};
use crate::document_follower::AdoptedDocument;
use crate::membership_hub::MembershipHub;
use crate::peer::OwnDigest;

/// Statements in flight per slot of the host's share. With 2, one statement
/// executes while the next one is on its way.
const IN_FLIGHT_PER_SLOT: u64 = 2;

/// The share table, which exists once the daemon has a document. Clones share the
/// table.
#[derive(Clone, Debug)]
pub(super) struct ShareHub {
    digest: OwnDigest,
    hub: MembershipHub,
    state: Arc<Mutex<Option<HubState>>>,
}

#[derive(Debug)]
struct HubState {
    table: ShareTable,
    version: u64,
    adopted_at: Instant,
    members: BTreeMap<String, GroupMember>,
    /// Entry hosts of the document, with their data centre.
    hosts: Vec<ServingHost>,
    /// Number of open connections by member.
    open_counts: BTreeMap<String, u32>,
}

impl ShareHub {
    /// Creates the hub of a daemon that has no document yet.
    pub(super) fn new(digest: OwnDigest, hub: MembershipHub) -> Self {
        Self {
            digest,
            hub,
            state: Arc::default(),
        }
    }

    /// Applies a document if its version differs from the one in force.
    pub(super) fn apply_document(&self, adopted: &AdoptedDocument, now: Instant) {
        let document = &adopted.document;
        let takeover_after = Duration::from_secs(document.limits.takeover_after_s);
        let mut state = self.lock();
        let state = state.get_or_insert_with(|| HubState {
            table: ShareTable::new(self.digest.host(), takeover_after, now),
            version: 0,
            adopted_at: now,
            members: BTreeMap::new(),
            hosts: Vec::new(),
            open_counts: BTreeMap::new(),
        });
        if state.version != adopted.stamp.version {
            state.version = adopted.stamp.version;
            state.adopted_at = now;
            state.apply(document, now);
        }
    }

    /// Sets the shares of all members of a group.
    pub(super) fn apply_to(&self, group: &GroupContext) {
        let now = Instant::now();
        let view = group.handle.view();
        let state = self.lock();
        let Some(state) = state.as_ref() else {
            return;
        };
        for member in view.members.values() {
            let share = state.share_of(&member.name, self.live_hosts(now), now);
            group.set_share(&member.name, share);
        }
    }

    /// Records how many connections to a member are open.
    pub(super) fn set_open(&self, member: &str, count: u32) {
        if let Some(state) = self.lock().as_mut() {
            state.table.set_in_use(member, count);
            state.open_counts.insert(member.to_owned(), count);
        }
    }

    /// Records that a member refused a connection at its limit after it had
    /// accepted `accepted` connections.
    pub(super) fn record_limit_refusal(&self, member: &str, accepted: u32, now: Instant) {
        log::info!(
            "backend server {member} accepts no more than {accepted} connections of this host"
        );
        if let Some(state) = self.lock().as_mut() {
            state.table.refused_at_limit(member, accepted, now);
        }
    }

    /// Returns how many connections to a member this host may have open.
    pub(super) fn allowance(&self, member: &str, now: Instant) -> u32 {
        let state = self.lock();
        let allowance = state
            .as_ref()
            .map(|state| state.table.allowance(member, now));
        allowance.unwrap_or(0)
    }

    /// Returns for each member, in order of name, how many connections of the own
    /// share are not open.
    pub(super) fn idle(&self, now: Instant) -> Vec<u32> {
        let state = self.lock();
        let Some(state) = state.as_ref() else {
            return Vec::new();
        };
        let idle = |member: &String| {
            let open = state.open_counts.get(member).copied().unwrap_or(0);
            state.table.allowance(member, now).saturating_sub(open)
        };
        state.members.keys().map(idle).collect()
    }

    /// Returns the index of a member in [`Self::idle`].
    pub(super) fn position(&self, member: &str) -> Option<usize> {
        let state = self.lock();
        let mut names = state.as_ref()?.members.keys();
        names.position(|name| name == member)
    }

    /// Returns the actions that are due.
    pub(super) fn due(&self, now: Instant) -> Vec<ShareAction> {
        let is_gone = |host: &str| {
            let state = self.hub.state(host, now);
            matches!(state, MembershipState::Suspected | MembershipState::Absent)
        };
        let mut state = self.lock();
        let due = state.as_mut().map(|state| state.table.due(is_gone, now));
        due.unwrap_or_default()
    }

    /// Returns whether a live peer still waits for its first grant of this host.
    pub(super) fn has_ungranted_peer(&self, now: Instant) -> bool {
        let is_live = |host: &str| self.hub.state(host, now) == MembershipState::Live;
        let state = self.lock();
        state
            .as_ref()
            .is_some_and(|state| state.table.has_ungranted_peer(is_live))
    }

    /// Answers a peer's request for a grant.
    pub(super) fn grant(&self, request: &GrantRequest, now: Instant) -> GrantReply {
        let mut state = self.lock();
        let mut reply = GrantReply {
            incarnation: self.digest.incarnation(),
            granted: false,
            layout_settled: false,
            version: 0,
            settled: false,
        };
        let Some(state) = state.as_mut() else {
            return reply;
        };
        let answer = state
            .table
            .answer_grant(&request.host, request.incarnation, now);
        let waited = now.saturating_duration_since(state.adopted_at);
        reply.version = state.version;
        reply.settled = state.version == request.version && waited >= DOCUMENT_SETTLE;
        if let GrantAnswer::Granted { layout_settled } = answer {
            reply.granted = true;
            reply.layout_settled = layout_settled;
        }
        reply
    }

    /// Records a peer's reply to a request for a grant, which was sent at
    /// `sent_at`.
    pub(super) fn record_grant_reply(&self, peer: &str, reply: &GrantReply, sent_at: Instant) {
        let mut state = self.lock();
        let Some(state) = state.as_mut() else {
            return;
        };
        if !reply.granted {
            state.table.record_releasing(Instant::now());
            return;
        }
        state.table.record_grant(&ReceivedGrant {
            peer,
            sent_at,
            same_document: reply.layout_settled && reply.version >= state.version,
            settled: reply.settled,
        });
    }

    /// Lends idle connections to a peer; the reply says how many.
    pub(super) fn lend(&self, request: &BorrowRequest, now: Instant) -> BorrowReply {
        let loan = LoanRequest {
            borrower: &request.host,
            incarnation: request.incarnation,
            id: LoanId(request.loan),
            count: request.count,
        };
        let mut state = self.lock();
        let lent = state
            .as_mut()
            .map(|state| state.table.lend(&request.member, &loan, now));
        BorrowReply {
            incarnation: self.digest.incarnation(),
            count: lent.unwrap_or(0),
        }
    }

    /// Records a loan that a peer granted.
    pub(super) fn record_loan(&self, member: &str, loan: &GrantedLoan<'_>) {
        if let Some(state) = self.lock().as_mut() {
            state.table.record_loan(member, loan);
        }
    }

    /// Records the own takeover row, as it was at some time after `sent_at`.
    pub(super) fn record_own_row(&self, row: TakeoverRow, sent_at: Instant) {
        if let Some(state) = self.lock().as_mut() {
            state.table.record_own_row(row, sent_at);
        }
    }

    /// Records the end of an attempt to take over a peer's share.
    pub(super) fn end_takeover(&self, host: &str, attempt: u64, written: bool, now: Instant) {
        if let Some(state) = self.lock().as_mut() {
            state
                .table
                .end_takeover_attempt(host, attempt, written, now);
        }
    }

    /// Builds the request that asks a peer for a grant.
    pub(super) fn grant_request(&self) -> GrantRequest {
        GrantRequest {
            host: self.digest.host().to_owned(),
            incarnation: self.digest.incarnation(),
            version: self.lock().as_ref().map_or(0, |state| state.version),
        }
    }

    /// Returns the number of live entry hosts, this one included.
    fn live_hosts(&self, now: Instant) -> usize {
        let live = self.hub.live_peers(now);
        let others = live.others.iter().map(|(_, hosts)| hosts.len());
        1 + live.own.len() + others.sum::<usize>()
    }

    fn lock(&self) -> MutexGuard<'_, Option<HubState>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl HubState {
    fn apply(&mut self, document: &IntentDocument, now: Instant) {
        let hosts = document.entry_host.iter().map(|host| ServingHost {
            name: host.name.clone(),
            data_centre: host.data_centre.clone(),
        });
        self.hosts = hosts.collect();
        let members = document.group.iter().flat_map(|group| &group.member);
        let members: BTreeMap<String, GroupMember> = members
            .map(|member| (member.name.clone(), member.clone()))
            .collect();
        for name in self
            .members
            .keys()
            .filter(|name| !members.contains_key(*name))
        {
            self.table.remove_member(name);
            self.open_counts.remove(name);
        }
        for member in members.values() {
            let limit = u32::try_from(member.connection_limit).unwrap_or(u32::MAX);
            let layout = ShareLayout::new(&member.data_centre, limit, self.hosts.clone());
            self.table.set_member(&member.name, layout, now);
        }
        self.members = members;
    }

    fn share_of(&self, member: &str, live_hosts: usize, now: Instant) -> MemberShare {
        let slots = self.members.get(member).map_or(1, |member| member.slots);
        let in_flight = (slots * IN_FLIGHT_PER_SLOT).div_ceil(live_hosts as u64);
        MemberShare {
            connections: self.table.allowance(member, now) as usize,
            in_flight: in_flight as usize,
        }
    }
}
