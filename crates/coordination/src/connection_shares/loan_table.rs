//! Loans of idle connections between hosts.

use std::collections::BTreeMap;
use std::time::Instant;

use super::{LOAN_DURATION, SHARE_MARGIN};

/// Number of a loan, assigned by the borrower. It is unique among the borrower's
/// loans from one lender, so that a repeated request does not lend twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LoanId(pub u64);

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct LoanKey {
    peer: String,
    incarnation: u64,
    id: LoanId,
}

#[derive(Clone, Copy, Debug)]
struct LoanEntry {
    count: u32,
    expires_at: Instant,
}

/// Loans of connections to one member: `lent` to peers and `borrowed` from peers.
#[derive(Clone, Debug, Default)]
pub(super) struct LoanTable {
    lent: BTreeMap<LoanKey, LoanEntry>,
    borrowed: BTreeMap<LoanKey, LoanEntry>,
}

impl LoanTable {
    pub(super) fn remove_expired(&mut self, now: Instant) {
        self.lent.retain(|_, loan| now < loan.expires_at);
        self.borrowed.retain(|_, loan| now < loan.expires_at);
    }

    pub(super) fn lent_count(&self, now: Instant) -> u32 {
        active_count(&self.lent, now)
    }

    pub(super) fn borrowed_count(&self, now: Instant) -> u32 {
        active_count(&self.borrowed, now)
    }

    /// Lends the requested number of connections, at most `free`. A repeated
    /// request renews its loan with the count that was lent before.
    pub(super) fn lend(&mut self, request: &LoanRequest<'_>, free: u32, now: Instant) -> u32 {
        let key = LoanKey {
            peer: request.borrower.to_owned(),
            incarnation: request.incarnation,
            id: request.id,
        };
        let active = self.lent.get(&key).filter(|loan| now < loan.expires_at);
        let count = active.map_or(request.count.min(free), |loan| loan.count);
        if count > 0 {
            // The borrower's entry expires at least two margins earlier, because
            // it counts from before the request was sent.
            let expires_at = now + LOAN_DURATION + SHARE_MARGIN;
            self.lent.insert(key, LoanEntry { count, expires_at });
        }
        count
    }

    pub(super) fn record_borrowed(&mut self, loan: &GrantedLoan<'_>) {
        let key = LoanKey {
            peer: loan.lender.to_owned(),
            incarnation: loan.incarnation,
            id: loan.id,
        };
        let expires_at = loan.sent_at + LOAN_DURATION - SHARE_MARGIN;
        let count = loan.count;
        self.borrowed.insert(key, LoanEntry { count, expires_at });
    }

    /// Removes all loans from a lender that has restarted, because its current
    /// process does not count them.
    pub(super) fn remove_borrowed_from(&mut self, lender: &str) {
        self.borrowed.retain(|key, _| key.peer != lender);
    }
}

fn active_count(loans: &BTreeMap<LoanKey, LoanEntry>, now: Instant) -> u32 {
    let active = loans.values().filter(|loan| now < loan.expires_at);
    active.map(|loan| loan.count).sum()
}

/// A peer's request to borrow connections to a member.
#[derive(Clone, Copy, Debug)]
pub struct LoanRequest<'a> {
    /// Name of the borrower's host.
    pub borrower: &'a str,
    /// Random number that identifies the borrower's process.
    pub incarnation: u64,
    /// Number of the loan, assigned by the borrower.
    pub id: LoanId,
    /// Number of connections requested.
    pub count: u32,
}

/// A loan that a lender granted to this host.
#[derive(Clone, Copy, Debug)]
pub struct GrantedLoan<'a> {
    /// Name of the lender's host.
    pub lender: &'a str,
    /// Random number that identifies the lender's process, from its answer.
    pub incarnation: u64,
    /// Number of the loan.
    pub id: LoanId,
    /// Number of connections lent.
    pub count: u32,
    /// Instant before the request was sent.
    pub sent_at: Instant,
}
