//! Divides each member's connection limit between the hosts.
//!
//! Each host has a share of the limit. The sum of the shares in use stays within
//! the limit although hosts have different live lists, because no host derives
//! the right to a connection from its live list:
//!
//! - The limit is divided over the hosts of the intent document, on which all
//!   hosts agree, and not over the live list. While a document changes, a host
//!   uses the smaller of its old and new allowance for [`DOCUMENT_SETTLE`].
//! - Each connection of a share has an owner and at most one successor, which may
//!   take the connection over when the owner fails. The owner may use a connection
//!   with a successor only while it holds a lease on it. A lease is either a grant
//!   from the successor, or a read of the owner's takeover row in the table service
//!   that does not name the successor as a claimant. The successor enters its name
//!   there only `takeover_after` after its last grant, and uses the connection
//!   only when the lease of every earlier read of the row has expired. The owner
//!   removes a claimant only while it holds a grant from it. Each takeover
//!   rewrites the row, so that a removal that arrives late conflicts.
//! - An owner that returns gets a connection back when the successor grants
//!   again. The successor grants only after it has closed its connections above
//!   its remaining allowance.
//! - The lender counts a loan as used until after the borrower has stopped using
//!   it.
//! - A restarted host has no record of earlier grants and loans. It holds no
//!   lease and treats its start as a grant to every peer. It uses its share only
//!   when no peer can have a loan from its earlier process, because all peers
//!   have granted or the duration of a loan has passed, and when no peer can use
//!   an older document.
//!
//! The live list only triggers takeovers. A takeover needs about 1.5 times
//! `takeover_after`. While the table service is down, no share is taken over,
//! and a host cannot use connections whose successor is also dead.
//!
//! The following cases are not covered. They are left to the backend server's
//! own limit; when it refuses a connection (53300), the share is reduced for a
//! while:
//!
//! - a process that is paused for longer than [`SHARE_MARGIN`] with connections
//!   open;
//! - a host that dies without closing its connections and is replaced within the
//!   server's keep-alive time;
//! - a host that has not adopted the document after [`DOCUMENT_SETTLE`];
//! - a restart of all hosts while a document that replaces a host is being
//!   distributed;
//! - clocks whose rates differ by more than the margins.

mod layout;
mod lease_table;
mod loan_table;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

pub use layout::{serving_hosts, ServingHost, ShareLayout};
use lease_table::LeaseTable;
use loan_table::LoanTable;
pub use loan_table::{GrantedLoan, LoanId, LoanRequest};

/// Duration of a loan. It is short because a restarted host waits for this long
/// if a peer does not answer.
pub const LOAN_DURATION: Duration = Duration::from_secs(4);
/// Safety margin. It covers the time to close connections after an allowance
/// falls, and clocks that run at different rates.
pub const SHARE_MARGIN: Duration = Duration::from_secs(1);
/// Time after this host adopts a document by which all hosts are assumed to have
/// adopted it. The target is 9 s; the rest is a reserve.
pub const DOCUMENT_SETTLE: Duration = Duration::from_secs(15);
/// Time for which the allowance stays reduced after the backend server refused a
/// connection because its limit was reached.
pub const REFUSAL_HOLD: Duration = Duration::from_secs(5);
/// Number of lease renewals per `takeover_after`.
const RENEWALS_PER_TAKEOVER: u32 = 5;
/// Interval between requests for grants while this host starts up or a peer is
/// still closing connections.
const STARTUP_RENEWAL_INTERVAL: Duration = Duration::from_millis(250);

/// A host's takeover row as read from the table service. A missing row has
/// revision 0.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct TakeoverRow {
    /// Revision in the table service.
    pub revision: u64,
    /// Names of the successors that use, or may use, connections from the
    /// host's share.
    pub claimants: Vec<String>,
}

/// A step that the daemon must carry out now.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShareAction {
    /// Ask this peer for a grant. The peer computes its answer with
    /// [`ShareTable::answer_grant`].
    RequestGrant {
        /// Name of the peer's host.
        host: String,
    },
    /// Read this host's takeover row from the table service.
    ReadOwnRow,
    /// Write this host's takeover row if the stored row still has this
    /// revision. The new row omits the claimants whose grants are valid again.
    /// Then record the row with its new revision.
    WriteOwnRow {
        /// Remaining claimants, with the expected revision.
        row: TakeoverRow,
    },
    /// Read the takeover row of `host`, add this daemon's host to its claimants
    /// and write the row. Write it even if the claimant is already listed, so
    /// that the revision rises. Report the result with
    /// [`ShareTable::end_takeover_attempt`].
    WriteTakeover {
        /// Name of the host whose share is taken over.
        host: String,
        /// Number of the attempt.
        attempt: u64,
    },
}

/// Answer to a peer's request for a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantAnswer {
    /// The peer may use those connections of its share whose successor is this
    /// host.
    Granted {
        /// Whether every host that may still hold a share is listed in this
        /// host's document, as far as this host knows.
        layout_settled: bool,
    },
    /// This host must first close connections above its allowance.
    Releasing,
}

/// A grant that this host received from a peer.
#[derive(Clone, Copy, Debug)]
pub struct ReceivedGrant<'a> {
    /// Name of the peer's host.
    pub peer: &'a str,
    /// Instant before the request was sent.
    pub sent_at: Instant,
    /// Whether the peer's document version is at least this host's, and the
    /// peer knows of no removed host that may still hold a share.
    pub same_document: bool,
    /// Whether the peer adopted this host's document version at least
    /// [`DOCUMENT_SETTLE`] ago.
    pub settled: bool,
}

/// Returns the key of a host's takeover row in the table service.
pub fn takeover_key(host: &str) -> String {
    format!("takeover/{host}")
}

#[derive(Clone, Debug)]
struct MemberShare {
    layout: ShareLayout,
    /// Layout from the previous document. It limits the allowance until all
    /// hosts have adopted the new document.
    previous: Option<ShareLayout>,
    settled_at: Instant,
    loans: LoanTable,
    in_use: u32,
    refused_at: Option<Instant>,
    refused_in_use: u32,
}

impl MemberShare {
    /// Returns whether every host that may still hold a share is listed in the
    /// current document.
    fn layout_settled(&self, now: Instant) -> bool {
        let Some(previous) = &self.previous else {
            return true;
        };
        let listed = |host: &str| self.layout.hosts().any(|name| name == host);
        now >= self.settled_at || previous.hosts().all(listed)
    }
}

/// One host's shares of the connection limits of all members that it serves.
#[derive(Clone, Debug)]
pub struct ShareTable {
    own_host: String,
    started_at: Instant,
    renewal_interval: Duration,
    renew_at: Instant,
    /// Whether a peer reported that all hosts have adopted the document that
    /// this host started with.
    document_settled: bool,
    leases: LeaseTable,
    members: BTreeMap<String, MemberShare>,
}

impl ShareTable {
    /// Creates the table of a daemon that has just started, without members.
    pub fn new(own_host: &str, takeover_after: Duration, now: Instant) -> Self {
        Self {
            own_host: own_host.to_owned(),
            started_at: now,
            renewal_interval: takeover_after / RENEWALS_PER_TAKEOVER,
            renew_at: now,
            document_settled: false,
            leases: LeaseTable::new(takeover_after, now),
            members: BTreeMap::new(),
        }
    }

    /// Sets the layout of a member from a newly adopted document.
    pub fn set_member(&mut self, member: &str, layout: ShareLayout, now: Instant) {
        let Some(share) = self.members.get_mut(member) else {
            self.members.insert(
                member.to_owned(),
                MemberShare {
                    layout,
                    previous: None,
                    settled_at: now,
                    loans: LoanTable::default(),
                    in_use: 0,
                    refused_at: None,
                    refused_in_use: 0,
                },
            );
            return;
        };
        if share.layout != layout {
            share.previous = Some(std::mem::replace(&mut share.layout, layout));
            share.settled_at = now + DOCUMENT_SETTLE;
        }
    }

    /// Removes a member that a newly adopted document no longer contains.
    pub fn remove_member(&mut self, member: &str) {
        self.members.remove(member);
    }

    /// Returns how many connections to a member may be open. After the number
    /// falls, the caller must close the excess within [`SHARE_MARGIN`].
    pub fn allowance(&self, member: &str, now: Instant) -> u32 {
        let Some(share) = self.members.get(member) else {
            return 0;
        };
        let entitlement = self.entitlement(share, now);
        let lent = share.loans.lent_count(now);
        let allowance = entitlement.saturating_sub(lent) + share.loans.borrowed_count(now);
        let refused = share
            .refused_at
            .is_some_and(|at| now.saturating_duration_since(at) < REFUSAL_HOLD);
        match refused {
            true => allowance.min(share.refused_in_use),
            false => allowance,
        }
    }

    /// Sets how many connections to a member are open or being opened.
    pub fn set_in_use(&mut self, member: &str, count: u32) {
        if let Some(share) = self.members.get_mut(member) {
            share.in_use = count;
        }
    }

    /// Records that the backend server refused a connection because its limit
    /// was reached (53300). `in_use` counts the connections that it accepted.
    pub fn refused_at_limit(&mut self, member: &str, in_use: u32, now: Instant) {
        if let Some(share) = self.members.get_mut(member) {
            share.refused_at = Some(now);
            share.refused_in_use = in_use;
        }
    }

    /// Records a grant from a peer.
    pub fn record_grant(&mut self, grant: &ReceivedGrant<'_>) {
        self.document_settled |= grant.settled;
        self.leases.record_grant(grant);
    }

    /// Records that a peer must close connections before it can grant. The next
    /// request for a grant is made soon.
    pub fn record_releasing(&mut self, now: Instant) {
        self.renew_at = self.renew_at.min(now + STARTUP_RENEWAL_INTERVAL);
    }

    /// Records this host's takeover row as read or written. `sent_at` is the
    /// instant before the request was sent.
    pub fn record_own_row(&mut self, row: TakeoverRow, sent_at: Instant) {
        self.leases.record_own_row(row, sent_at);
    }

    /// Records the end of an attempt to write a takeover row. `written` is true
    /// only if the write is known to have taken effect. After a lost answer it is
    /// false, and the next attempt writes at the row's new revision.
    pub fn end_takeover_attempt(&mut self, host: &str, attempt: u64, written: bool, now: Instant) {
        self.leases.end_attempt(host, attempt, written, now);
    }

    /// Answers a peer's request for a grant. The request ends a takeover of the
    /// peer's share immediately. The grant is given once this host has closed
    /// the connections above its reduced allowance.
    pub fn answer_grant(&mut self, peer: &str, incarnation: u64, now: Instant) -> GrantAnswer {
        if self.leases.record_request(peer, incarnation, now) {
            for share in self.members.values_mut() {
                share.loans.remove_borrowed_from(peer);
            }
        }
        if self.over_allowance(now) {
            return GrantAnswer::Releasing;
        }
        self.leases.record_granted_to(peer, now);
        GrantAnswer::Granted {
            layout_settled: self.members.values().all(|share| share.layout_settled(now)),
        }
    }

    /// Returns whether this process has not yet given some live peer a grant.
    /// If this host leaves before it gives that grant, a peer that has just
    /// started cannot use its own share until `takeover_after` has passed.
    pub fn has_ungranted_peer(&self, is_live: impl Fn(&str) -> bool) -> bool {
        self.all_peers()
            .iter()
            .any(|peer| is_live(peer) && !self.leases.has_granted_to(peer))
    }

    /// Lends idle connections of this host's share and returns how many. A
    /// connection whose lease may expire before the loan is not lent. Hosts that
    /// the document does not list get no loan: after a restart this host waits
    /// only for answers from listed hosts before it reuses its share.
    pub fn lend(&mut self, member: &str, request: &LoanRequest<'_>, now: Instant) -> u32 {
        let loan_end = now + LOAN_DURATION + SHARE_MARGIN;
        let Some(share) = self.members.get(member) else {
            return 0;
        };
        if !share.layout.hosts().any(|host| host == request.borrower) {
            return 0;
        }
        let lendable = self.leased_own_connections(share, loan_end, now);
        let idle = self.allowance(member, now).saturating_sub(share.in_use);
        let free = lendable
            .saturating_sub(share.loans.lent_count(now))
            .min(idle);
        let covers_loans = lendable >= share.loans.lent_count(now);
        let share = self.members.get_mut(member).expect("found above");
        share.loans.remove_expired(now);
        match covers_loans {
            true => share.loans.lend(request, free, now),
            false => 0,
        }
    }

    /// Records a loan that a peer granted. A late answer from an earlier process
    /// of the peer is ignored because the current process does not count that
    /// loan.
    pub fn record_loan(&mut self, member: &str, loan: &GrantedLoan<'_>) {
        if !self
            .leases
            .is_from_current_process(loan.lender, loan.sent_at)
        {
            return;
        }
        if let Some(share) = self.members.get_mut(member) {
            share.loans.record_borrowed(loan);
        }
    }

    /// Returns the steps that are due. `is_gone` returns whether a host is
    /// suspected or absent according to the membership table. It only triggers
    /// takeovers; their safety does not depend on it.
    pub fn due(&mut self, is_gone: impl Fn(&str) -> bool, now: Instant) -> Vec<ShareAction> {
        if now < self.renew_at {
            return Vec::new();
        }
        let successors = self.own_successors();
        let starting = !self
            .members
            .values()
            .all(|share| self.is_startup_complete(&share.layout, now));
        let grantors = if starting {
            self.all_peers()
        } else {
            successors.clone()
        };
        self.renew_at = now
            + if starting {
                STARTUP_RENEWAL_INTERVAL
            } else {
                self.renewal_interval
            };
        let mut actions: Vec<ShareAction> = grantors
            .into_iter()
            .map(|host| ShareAction::RequestGrant { host })
            .collect();
        // Reads the row before a grant expires, early enough for a second try.
        let lookahead = now + self.renewal_interval * 2;
        let all_granted = successors
            .iter()
            .all(|successor| self.leases.holds_grant_from(successor, lookahead));
        if !all_granted {
            actions.push(ShareAction::ReadOwnRow);
        }
        if let Some(row) = self.leases.row_without_released_claims(now) {
            actions.push(ShareAction::WriteOwnRow { row });
        }
        for host in self.predecessor_hosts() {
            if !is_gone(&host) {
                continue;
            }
            if let Some(attempt) = self.leases.begin_takeover(&host, now) {
                actions.push(ShareAction::WriteTakeover { host, attempt });
            }
        }
        actions
    }

    /// Returns the instant at which [`Self::due`] must be called next.
    pub fn next_due(&self) -> Instant {
        self.renew_at
    }

    fn entitlement(&self, share: &MemberShare, now: Instant) -> u32 {
        let own = self.leased_own_connections(share, now, now);
        let taken_over = |layout: &ShareLayout| self.taken_over_connections(layout, now);
        let current = own + taken_over(&share.layout);
        match &share.previous {
            Some(previous) if now < share.settled_at => current.min(own + taken_over(previous)),
            _ => current,
        }
    }

    /// Counts the connections of this host's share whose lease is valid beyond
    /// `until`.
    fn leased_own_connections(&self, share: &MemberShare, until: Instant, now: Instant) -> u32 {
        let count_leased = |layout: &ShareLayout| {
            if !self.is_startup_complete(layout, now) {
                return 0;
            }
            let successors = layout.successors_of(&self.own_host);
            let usable = successors.iter().filter(|successor| match successor {
                None => true,
                Some(successor) => self
                    .leases
                    .lease_expires_at(successor)
                    .is_some_and(|lease_expires_at| until < lease_expires_at),
            });
            usable.count() as u32
        };
        let current = count_leased(&share.layout);
        match &share.previous {
            Some(previous) if now < share.settled_at => current.min(count_leased(previous)),
            _ => current,
        }
    }

    fn taken_over_connections(&self, layout: &ShareLayout, now: Instant) -> u32 {
        let taken = layout
            .hosts()
            .filter(|owner| self.leases.has_taken_over(owner, now));
        let connections = taken.flat_map(|owner| layout.successors_of(owner));
        let own = connections.filter(|successor| *successor == Some(self.own_host.as_str()));
        own.count() as u32
    }

    /// Returns whether no peer can still use a loan from this host's earlier
    /// process, or a document that does not contain this host's current share.
    fn is_startup_complete(&self, layout: &ShareLayout, now: Instant) -> bool {
        let running = now.saturating_duration_since(self.started_at);
        let earlier_loans_ended = running >= LOAN_DURATION + SHARE_MARGIN
            || self
                .peers_of(layout)
                .all(|peer| self.leases.has_grant_from(peer));
        let document_settled = self.document_settled
            || running >= DOCUMENT_SETTLE
            || self
                .peers_of(layout)
                .all(|peer| self.leases.has_same_document(peer));
        earlier_loans_ended && document_settled
    }

    fn peers_of<'a>(&'a self, layout: &'a ShareLayout) -> impl Iterator<Item = &'a str> {
        layout.hosts().filter(|host| *host != self.own_host)
    }

    fn over_allowance(&self, now: Instant) -> bool {
        let mut members = self.members.iter();
        members.any(|(name, share)| share.in_use > self.allowance(name, now))
    }

    fn own_successors(&self) -> BTreeSet<String> {
        let successors = self.layouts().flat_map(|layout| {
            let successors = layout.successors_of(&self.own_host).into_iter().flatten();
            successors.map(str::to_owned).collect::<Vec<_>>()
        });
        successors.collect()
    }

    fn all_peers(&self) -> BTreeSet<String> {
        let hosts = self.layouts().flat_map(ShareLayout::hosts);
        let peers = hosts.filter(|host| *host != self.own_host);
        peers.map(str::to_owned).collect()
    }

    fn predecessor_hosts(&self) -> BTreeSet<String> {
        let own = Some(self.own_host.as_str());
        let mut hosts = BTreeSet::new();
        for layout in self.layouts() {
            let owners = layout.hosts();
            let predecessors = owners.filter(|owner| layout.successors_of(owner).contains(&own));
            hosts.extend(predecessors.map(str::to_owned));
        }
        hosts
    }

    fn layouts(&self) -> impl Iterator<Item = &ShareLayout> {
        let members = self.members.values();
        members.flat_map(|share| std::iter::once(&share.layout).chain(&share.previous))
    }
}
