//! Loans of idle connections between hosts.

use std::collections::BTreeMap;
use std::time::Instant;

use super::{LOAN_DURATION, SHARE_MARGIN};

/// Number of a loan, chosen by the borrower and unique among its loans from one
/// lender, so that a repeated request does not lend twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LoanId(pub u64);

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct LoanName {
    peer: String,
    incarnation: u64,
    id: LoanId,
}

#[derive(Clone, Copy, Debug)]
struct LoanEntry {
    count: u32,
    until: Instant,
}

/// Loans at one member, given and taken.
#[derive(Clone, Debug, Default)]
pub(super) struct LoanBook {
    given: BTreeMap<LoanName, LoanEntry>,
    taken: BTreeMap<LoanName, LoanEntry>,
}

impl LoanBook {
    pub(super) fn forget_expired(&mut self, now: Instant) {
        self.given.retain(|_, loan| now < loan.until);
        self.taken.retain(|_, loan| now < loan.until);
    }

    pub(super) fn given(&self, now: Instant) -> u32 {
        sum(&self.given, now)
    }

    pub(super) fn taken(&self, now: Instant) -> u32 {
        sum(&self.taken, now)
    }

    /// Lends up to `count`, of `free` connections. A request with a known id
    /// prolongs its loan by the count that was lent.
    pub(super) fn lend(&mut self, request: &LoanRequest<'_>, free: u32, now: Instant) -> u32 {
        let name = LoanName {
            peer: request.borrower.to_owned(),
            incarnation: request.incarnation,
            id: request.id,
        };
        let known = self.given.get(&name).filter(|loan| now < loan.until);
        let count = known.map_or(request.count.min(free), |loan| loan.count);
        if count > 0 {
            // The borrower stops two margins earlier, counted from before it
            // sent its request.
            let until = now + LOAN_DURATION + SHARE_MARGIN;
            self.given.insert(name, LoanEntry { count, until });
        }
        count
    }

    pub(super) fn take(&mut self, loan: &GrantedLoan<'_>) {
        let name = LoanName {
            peer: loan.lender.to_owned(),
            incarnation: loan.incarnation,
            id: loan.id,
        };
        let until = loan.sent_at + LOAN_DURATION - SHARE_MARGIN;
        let count = loan.count;
        self.taken.insert(name, LoanEntry { count, until });
    }

    /// Ends all loans from a lender whose process has changed, because the
    /// present one does not know of them.
    pub(super) fn end_taken_from(&mut self, lender: &str) {
        self.taken.retain(|name, _| name.peer != lender);
    }
}

fn sum(loans: &BTreeMap<LoanName, LoanEntry>, now: Instant) -> u32 {
    let active = loans.values().filter(|loan| now < loan.until);
    active.map(|loan| loan.count).sum()
}

/// A borrower's request for connections of a member.
#[derive(Clone, Copy, Debug)]
pub struct LoanRequest<'a> {
    /// Name of the borrower's host.
    pub borrower: &'a str,
    /// Random number of the borrower's process.
    pub incarnation: u64,
    /// Number of the loan.
    pub id: LoanId,
    /// Connections wanted.
    pub count: u32,
}

/// A loan that a lender granted to this host.
#[derive(Clone, Copy, Debug)]
pub struct GrantedLoan<'a> {
    /// Name of the lender's host.
    pub lender: &'a str,
    /// Random number of the lender's process, from its answer.
    pub incarnation: u64,
    /// Number of the loan.
    pub id: LoanId,
    /// Connections lent.
    pub count: u32,
    /// Instant before the request was sent.
    pub sent_at: Instant,
}
