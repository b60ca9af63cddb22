//! The share that a host holds of each member's connection limit.
//!
//! The sum of the shares in use stays within the limit although hosts have
//! different live lists, because no right to a connection depends on a list:
//!
//! - The limit is divided over the hosts of the intent document, which all
//!   hosts agree on, and not over the live list. While a document changes, a
//!   host uses the smaller of its old and new allowance for [`DOCUMENT_SETTLE`].
//! - Each connection of a share has one heir. The home host may use it only with
//!   recent evidence: a grant from the heir, or a read of its own takeover row
//!   in the table service that does not name the heir. The heir enters its name
//!   there only `takeover_after` after its last grant, and uses the connection
//!   only when every earlier read of the row has lapsed. The home host removes
//!   a name only with a grant of that heir. Each takeover writes the row anew,
//!   so a removal that arrives late conflicts.
//! - A host that returns gets a connection back when its heir grants again,
//!   which the heir does only after it has closed down to its remaining
//!   allowance.
//! - A loan counts as used by the lender until after the borrower has stopped.
//! - A host that has started remembers nothing: it has no evidence and counts its
//!   start as a grant to every peer. It uses its share only when no peer can have
//!   a loan of its earlier process, since all have granted or the time of a loan
//!   has passed, and when no peer can use an older document.
//!
//! The live list only starts takeovers. A takeover needs about 1.5 times
//! `takeover_after`. While the table service is down nothing is taken over, and
//! a host loses the use of those connections whose heirs are dead as well.
//!
//! Not safe, and left to the backend server's own limit, whose refusal (53300)
//! shrinks the share for a while: a process that is paused for longer than
//! [`SHARE_MARGIN`] with connections open, a host that dies without closing its
//! connections and is replaced within the server's keep-alive time, a host that
//! has not adopted the document after [`DOCUMENT_SETTLE`], all hosts restarting
//! while a document that replaces a host spreads, and clocks whose rates differ
//! by more than the margins.

mod layout;
mod leases;
mod loans;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

pub use layout::{serving_hosts, MemberLayout, ServingHost};
use leases::LeaseTable;
use loans::LoanBook;
pub use loans::{GrantedLoan, LoanId, LoanRequest};

/// Duration of a loan. It is short, because a host that restarts waits as long
/// when a peer does not answer.
pub const LOAN_DURATION: Duration = Duration::from_secs(4);
/// Safety margin: time to close connections when an allowance falls, and for
/// clocks that run at different rates.
pub const SHARE_MARGIN: Duration = Duration::from_secs(1);
/// Time after the adoption of a document until all hosts have adopted it: 9 s
/// by the target, with a reserve.
pub const DOCUMENT_SETTLE: Duration = Duration::from_secs(15);
/// Time for which a refusal by the backend server at its limit shrinks the
/// share.
pub const REFUSAL_HOLD: Duration = Duration::from_secs(5);
/// Renewals of evidence per `takeover_after`.
const RENEWALS: u32 = 5;
/// Interval of requests for grants while a host starts or a peer releases.
const QUICK_RENEWAL: Duration = Duration::from_millis(250);

/// The takeover row of a host, as read. A missing row has revision 0.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct TakeoverRow {
    /// Revision in the table service.
    pub revision: u64,
    /// Names of the hosts that use, or may use, connections of the host.
    pub takers: Vec<String>,
}

/// A step that is due.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShareAction {
    /// Ask this peer for a grant; it answers with [`ShareTable::answer_grant`].
    AskGrant {
        /// Name of the peer's host.
        host: String,
    },
    /// Read the own takeover row from the table service.
    ReadOwnRow,
    /// Write the own takeover row if it still has this revision. It lacks the
    /// hosts that have granted since. Then note it with its new revision.
    WriteOwnRow {
        /// Takers that remain, with the expected revision.
        row: TakeoverRow,
    },
    /// Read the takeover row of this host, add this daemon's host to the takers
    /// and write it, even if it is among them already, so that the revision
    /// rises. Ends with [`ShareTable::end_takeover_attempt`].
    WriteTakeover {
        /// Name of the host that is taken over.
        host: String,
        /// Number of the attempt.
        attempt: u64,
    },
}

/// Answer to a peer that asks for a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantAnswer {
    /// The peer may use the connections that this host is heir of.
    Granted {
        /// Whether, as far as this host knows, no host that its document does
        /// not list can still hold a share.
        layout_settled: bool,
    },
    /// This host still has connections open that it must close first.
    Releasing,
}

/// A grant that a peer gave this host.
#[derive(Clone, Copy, Debug)]
pub struct GrantNote<'a> {
    /// Name of the peer's host.
    pub peer: &'a str,
    /// Instant before the peer was asked.
    pub sent_at: Instant,
    /// Whether the peer's document version in force is at least this host's,
    /// and the peer knows no share of a removed host.
    pub same_document: bool,
    /// Whether the peer has had this host's version for [`DOCUMENT_SETTLE`].
    pub settled: bool,
}

/// Returns the key of a host's takeover row.
pub fn takeover_key(host: &str) -> String {
    format!("takeover/{host}")
}

#[derive(Clone, Debug)]
struct MemberShare {
    layout: MemberLayout,
    /// Layout of the document before, until all hosts have adopted the new one.
    previous: Option<MemberLayout>,
    settled_at: Instant,
    loans: LoanBook,
    in_use: u32,
    refused_at: Option<Instant>,
    refused_in_use: u32,
}

impl MemberShare {
    /// Tells whether no host of the document before, which the present one does
    /// not list, can still hold a share.
    fn layout_settled(&self, now: Instant) -> bool {
        let Some(previous) = &self.previous else {
            return true;
        };
        let listed = |host: &str| self.layout.hosts().any(|name| name == host);
        now >= self.settled_at || previous.hosts().all(listed)
    }
}

/// The shares of one host at all members that it serves.
#[derive(Clone, Debug)]
pub struct ShareTable {
    own_host: String,
    started_at: Instant,
    renew_every: Duration,
    renew_at: Instant,
    /// Whether a peer told that the document of the start is settled.
    document_settled: bool,
    leases: LeaseTable,
    members: BTreeMap<String, MemberShare>,
}

impl ShareTable {
    /// Builds the table of a daemon that has just started.
    pub fn new(own_host: &str, takeover_after: Duration, now: Instant) -> Self {
        Self {
            own_host: own_host.to_owned(),
            started_at: now,
            renew_every: takeover_after / RENEWALS,
            renew_at: now,
            document_settled: false,
            leases: LeaseTable::new(takeover_after, now),
            members: BTreeMap::new(),
        }
    }

    /// Takes over the layout of a member from a newly adopted document.
    pub fn set_member(&mut self, member: &str, layout: MemberLayout, now: Instant) {
        let Some(share) = self.members.get_mut(member) else {
            self.members.insert(
                member.to_owned(),
                MemberShare {
                    layout,
                    previous: None,
                    settled_at: now,
                    loans: LoanBook::default(),
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

    /// Forgets a member that a newly adopted document does not have.
    pub fn remove_member(&mut self, member: &str) {
        self.members.remove(member);
    }

    /// Returns how many connections to a member may be open. When it falls,
    /// the difference is closed within [`SHARE_MARGIN`].
    pub fn allowance(&self, member: &str, now: Instant) -> u32 {
        let Some(share) = self.members.get(member) else {
            return 0;
        };
        let right = self.right(share, now);
        let given = share.loans.given(now);
        let allowance = right.saturating_sub(given) + share.loans.taken(now);
        let refused = share
            .refused_at
            .is_some_and(|at| now.saturating_duration_since(at) < REFUSAL_HOLD);
        match refused {
            true => allowance.min(share.refused_in_use),
            false => allowance,
        }
    }

    /// Notes how many connections to a member are open or being opened.
    pub fn set_in_use(&mut self, member: &str, count: u32) {
        if let Some(share) = self.members.get_mut(member) {
            share.in_use = count;
        }
    }

    /// Notes that the backend server refused a connection at its limit
    /// (53300). `in_use` counts the connections that it did accept.
    pub fn refused_at_limit(&mut self, member: &str, in_use: u32, now: Instant) {
        if let Some(share) = self.members.get_mut(member) {
            share.refused_at = Some(now);
            share.refused_in_use = in_use;
        }
    }

    /// Notes a peer's grant.
    pub fn note_grant(&mut self, grant: &GrantNote<'_>) {
        self.document_settled |= grant.settled;
        self.leases.note_grant(grant);
    }

    /// Notes that a peer still releases: it is asked again soon.
    pub fn note_releasing(&mut self, now: Instant) {
        self.renew_at = self.renew_at.min(now + QUICK_RENEWAL);
    }

    /// Notes the own takeover row as read or written; `sent_at` is the instant
    /// before the request was sent.
    pub fn note_own_row(&mut self, row: TakeoverRow, sent_at: Instant) {
        self.leases.note_own_row(row, sent_at);
    }

    /// Notes the end of an attempt to write a takeover row. `written` says that
    /// the write certainly took effect; after a lost answer it is false, and
    /// the next attempt writes at the row's new revision.
    pub fn end_takeover_attempt(&mut self, host: &str, attempt: u64, written: bool, now: Instant) {
        self.leases.end_attempt(host, attempt, written, now);
    }

    /// Answers a peer that asks for a grant. It ends a takeover of the peer's
    /// share at once and grants as soon as the connections are closed.
    pub fn answer_grant(&mut self, peer: &str, incarnation: u64, now: Instant) -> GrantAnswer {
        if self.leases.note_request(peer, incarnation, now) {
            for share in self.members.values_mut() {
                share.loans.end_taken_from(peer);
            }
        }
        if self.over_allowance(now) {
            return GrantAnswer::Releasing;
        }
        self.leases.note_given(peer, now);
        GrantAnswer::Granted {
            layout_settled: self.members.values().all(|share| share.layout_settled(now)),
        }
    }

    /// Tells whether a live peer still waits for its first grant of this
    /// process. A host that leaves without it keeps such a peer, which has just
    /// started, from its own share until `takeover_after` has passed.
    pub fn owes_grant(&self, is_live: impl Fn(&str) -> bool) -> bool {
        self.all_peers()
            .iter()
            .any(|peer| is_live(peer) && !self.leases.was_given(peer))
    }

    /// Lends idle connections of the own share; returns how many. Nothing is
    /// lent whose evidence might end before the loan does, and nothing to hosts
    /// that the document does not list: after a restart this host asks only
    /// listed ones whether they still have a loan.
    pub fn lend(&mut self, member: &str, request: &LoanRequest<'_>, now: Instant) -> u32 {
        let loan_end = now + LOAN_DURATION + SHARE_MARGIN;
        let Some(share) = self.members.get(member) else {
            return 0;
        };
        if !share.layout.hosts().any(|host| host == request.borrower) {
            return 0;
        }
        let lasting = self.own_units(share, loan_end, now);
        let spare = self.allowance(member, now).saturating_sub(share.in_use);
        let free = lasting.saturating_sub(share.loans.given(now)).min(spare);
        let known_lasts = lasting >= share.loans.given(now);
        let share = self.members.get_mut(member).expect("found above");
        share.loans.forget_expired(now);
        match known_lasts {
            true => share.loans.lend(request, free, now),
            false => 0,
        }
    }

    /// Notes a loan that a peer granted. A late answer of an earlier process of
    /// the peer is ignored, because the present one does not know of it.
    pub fn note_loan(&mut self, member: &str, loan: &GrantedLoan<'_>) {
        if !self.leases.is_from_present(loan.lender, loan.sent_at) {
            return;
        }
        if let Some(share) = self.members.get_mut(member) {
            share.loans.take(loan);
        }
    }

    /// Returns the steps that are due. `is_gone` tells whether membership holds
    /// a host for suspected or absent; it only starts takeovers and is not what
    /// makes them safe.
    pub fn due(&mut self, is_gone: impl Fn(&str) -> bool, now: Instant) -> Vec<ShareAction> {
        if now < self.renew_at {
            return Vec::new();
        }
        let heirs = self.own_heirs();
        let starting = !self
            .members
            .values()
            .all(|share| self.has_started(&share.layout, now));
        let asked = if starting {
            self.all_peers()
        } else {
            heirs.clone()
        };
        self.renew_at = now
            + if starting {
                QUICK_RENEWAL
            } else {
                self.renew_every
            };
        let mut actions: Vec<ShareAction> = asked
            .into_iter()
            .map(|host| ShareAction::AskGrant { host })
            .collect();
        // The row is read before a grant lapses, early enough for a second try.
        let ahead = now + self.renew_every * 2;
        let all_granted = heirs.iter().all(|heir| self.leases.is_granted(heir, ahead));
        if !all_granted {
            actions.push(ShareAction::ReadOwnRow);
        }
        if let Some(row) = self.leases.released_row(now) {
            actions.push(ShareAction::WriteOwnRow { row });
        }
        for host in self.bequeathing_hosts() {
            if !is_gone(&host) {
                continue;
            }
            if let Some(attempt) = self.leases.begin_takeover(&host, now) {
                actions.push(ShareAction::WriteTakeover { host, attempt });
            }
        }
        actions
    }

    /// Returns when `due` is to be called next.
    pub fn next_due(&self) -> Instant {
        self.renew_at
    }

    fn right(&self, share: &MemberShare, now: Instant) -> u32 {
        let own = self.own_units(share, now, now);
        let inherited = |layout: &MemberLayout| self.inherited_units(layout, now);
        let current = own + inherited(&share.layout);
        match &share.previous {
            Some(previous) if now < share.settled_at => current.min(own + inherited(previous)),
            _ => current,
        }
    }

    /// Counts the connections of the own share with evidence until `until`.
    fn own_units(&self, share: &MemberShare, until: Instant, now: Instant) -> u32 {
        let count = |layout: &MemberLayout| {
            if !self.has_started(layout, now) {
                return 0;
            }
            let heirs = layout.heirs_of(&self.own_host);
            let usable = heirs.iter().filter(|heir| match heir {
                None => true,
                Some(heir) => self
                    .leases
                    .evidence_until(heir)
                    .is_some_and(|evidence| until < evidence),
            });
            usable.count() as u32
        };
        let current = count(&share.layout);
        match &share.previous {
            Some(previous) if now < share.settled_at => current.min(count(previous)),
            _ => current,
        }
    }

    fn inherited_units(&self, layout: &MemberLayout, now: Instant) -> u32 {
        let taken = layout
            .hosts()
            .filter(|home| self.leases.has_taken(home, now));
        let units = taken.flat_map(|home| layout.heirs_of(home));
        let own = units.filter(|heir| *heir == Some(self.own_host.as_str()));
        own.count() as u32
    }

    /// Tells whether no peer can still act on what this host's earlier process
    /// lent or on a document without this host's present share.
    fn has_started(&self, layout: &MemberLayout, now: Instant) -> bool {
        let running = now.saturating_duration_since(self.started_at);
        let loans_over = running >= LOAN_DURATION + SHARE_MARGIN
            || self
                .peers_of(layout)
                .all(|peer| self.leases.was_granted(peer));
        let settled = self.document_settled
            || running >= DOCUMENT_SETTLE
            || self
                .peers_of(layout)
                .all(|peer| self.leases.has_same_document(peer));
        loans_over && settled
    }

    fn peers_of<'a>(&'a self, layout: &'a MemberLayout) -> impl Iterator<Item = &'a str> {
        layout.hosts().filter(|host| *host != self.own_host)
    }

    fn over_allowance(&self, now: Instant) -> bool {
        let mut members = self.members.iter();
        members.any(|(name, share)| share.in_use > self.allowance(name, now))
    }

    fn own_heirs(&self) -> BTreeSet<String> {
        let heirs = self.layouts().flat_map(|layout| {
            let heirs = layout.heirs_of(&self.own_host).into_iter().flatten();
            heirs.map(str::to_owned).collect::<Vec<_>>()
        });
        heirs.collect()
    }

    fn all_peers(&self) -> BTreeSet<String> {
        let hosts = self.layouts().flat_map(MemberLayout::hosts);
        let peers = hosts.filter(|host| *host != self.own_host);
        peers.map(str::to_owned).collect()
    }

    fn bequeathing_hosts(&self) -> BTreeSet<String> {
        let own = Some(self.own_host.as_str());
        let mut hosts = BTreeSet::new();
        for layout in self.layouts() {
            let homes = layout.hosts();
            let bequeathing = homes.filter(|home| layout.heirs_of(home).contains(&own));
            hosts.extend(bequeathing.map(str::to_owned));
        }
        hosts
    }

    fn layouts(&self) -> impl Iterator<Item = &MemberLayout> {
        let members = self.members.values();
        members.flat_map(|share| std::iter::once(&share.layout).chain(&share.previous))
    }
}
