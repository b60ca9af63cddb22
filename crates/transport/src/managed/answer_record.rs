//! Which statement an answer of a member belongs to.
//!
//! An answer names no statement, and a member may send one a second time at any later
//! time. Only a signature identifies a caller's statement.

use std::collections::hash_map::RandomState;
use std::collections::HashSet;
use std::hash::BuildHasher;

use bytes::Bytes;
use protocol::statement::{ForwardBody, MemberStatement, TransactionState};
use state::log::LogPosition;

/// Result of comparing an answer with its statement. The error says why the answer cannot
/// be attributed to the statement.
pub(super) type Result<T> = std::result::Result<T, &'static str>;

/// What the answer to a statement must be like.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AwaitedAnswer {
    /// The answer to a statement of a caller.
    Signed {
        /// Whether the statement ends the transaction.
        is_end: bool,
        /// Whether a refusal that belongs to another statement does no harm: a read outside
        /// of a transaction may be repeated, and its connection is closed.
        is_repeatable: bool,
    },
    /// The answer to a statement of this host. The state is the one after a success;
    /// `None` if the statement does not change it.
    Own { state: Option<TransactionState> },
    /// The row that answers a status question or a step-down.
    Status,
}

impl AwaitedAnswer {
    /// Returns what the answer must be like if the statement is a read outside of a
    /// transaction.
    pub(super) fn of_repeatable(self) -> Self {
        match self {
            Self::Signed { is_end, .. } => Self::Signed {
                is_end,
                is_repeatable: true,
            },
            other => other,
        }
    }

    /// Returns whether the member may refuse the statement of this host: BEGIN depends on
    /// its role and log, and a status question needs a slot.
    fn may_be_refused(self) -> bool {
        match self {
            Self::Own { state } => state == Some(TransactionState::Open),
            Self::Signed { .. } | Self::Status => true,
        }
    }
}

/// A complete answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReceivedAnswer<'a> {
    pub(super) rows: &'a [Bytes],
    /// The signature of a success, if it has one; `None` for a refusal.
    pub(super) success: Option<Option<&'a Bytes>>,
    pub(super) state: TransactionState,
    pub(super) position: Option<LogPosition>,
}

/// The answers that a connection has delivered.
///
/// # Invariants
///
/// `signatures` holds the hash of every signature that was delivered, and `own` that of every
/// answer without one: a second answer has the same bytes as the first. `is_aligned` is set
/// while no answer was delivered that may have been a second one and in the place of a refusal.
#[derive(Debug)]
pub(super) struct AnswerRecord {
    hasher: RandomState,
    signatures: HashSet<u64>,
    own: HashSet<u64>,
    has_refusal: bool,
    is_aligned: bool,
}

impl AnswerRecord {
    pub(super) fn new() -> Self {
        Self {
            hasher: RandomState::new(),
            signatures: HashSet::new(),
            own: HashSet::new(),
            has_refusal: false,
            is_aligned: true,
        }
    }

    /// Returns what the answer to a statement must be like.
    pub(super) fn expect(statement: &MemberStatement<'_>) -> AwaitedAnswer {
        match statement {
            MemberStatement::Forward { body, .. } => AwaitedAnswer::Signed {
                is_end: *body == ForwardBody::Commit,
                is_repeatable: false,
            },
            MemberStatement::Begin { .. } => AwaitedAnswer::Own {
                state: Some(TransactionState::Open),
            },
            MemberStatement::Rollback => AwaitedAnswer::Own {
                state: Some(TransactionState::Idle),
            },
            MemberStatement::Set { .. }
            | MemberStatement::Prepare { .. }
            | MemberStatement::Deallocate { .. }
            | MemberStatement::Reset => AwaitedAnswer::Own { state: None },
            MemberStatement::Status
            | MemberStatement::Pause { .. }
            | MemberStatement::Resume
            | MemberStatement::StepDown { .. } => AwaitedAnswer::Status,
        }
    }

    /// Returns whether a refusal was delivered. The second answer to it could not be
    /// told from the refusal of another statement.
    pub(super) fn has_refusal(&self) -> bool {
        self.has_refusal
    }

    /// Compares an answer with the statement that waits for it, and records it. `before`
    /// is the state of the connection before the answer. Returns whether the answer is
    /// certainly no second one.
    ///
    /// # Errors
    ///
    /// Fails if the answer may belong to an earlier statement.
    pub(super) fn admit(
        &mut self,
        awaited: AwaitedAnswer,
        answer: &ReceivedAnswer<'_>,
        before: TransactionState,
    ) -> Result<bool> {
        let Some(signature) = answer.success else {
            return self.admit_refusal(awaited).map(|()| true);
        };
        let state = match awaited {
            AwaitedAnswer::Signed { is_end: true, .. } => TransactionState::Idle,
            AwaitedAnswer::Own { state: Some(state) } => state,
            _ => before,
        };
        if answer.state != state {
            return Err("a success that leads to another transaction state");
        }
        match (awaited, signature) {
            (AwaitedAnswer::Signed { .. }, Some(signature)) => {
                self.admit_signature(signature).map(|()| true)
            }
            (AwaitedAnswer::Signed { .. }, None) => Err("a success without a signature"),
            (_, Some(_)) => Err("a signature for a statement of this host"),
            (_, None) => self.admit_own(awaited, answer),
        }
    }

    fn admit_refusal(&mut self, awaited: AwaitedAnswer) -> Result<()> {
        if self.has_refusal {
            return Err("a second refusal on the connection");
        }
        // A refusal of a statement of this host is no statement about one of a caller.
        let is_certain = match awaited {
            AwaitedAnswer::Signed { is_repeatable, .. } => self.is_aligned || is_repeatable,
            AwaitedAnswer::Own { .. } | AwaitedAnswer::Status => true,
        };
        if !is_certain {
            return Err("a refusal that may belong to an earlier statement");
        }
        self.has_refusal = true;
        Ok(())
    }

    /// Admits a signature that was not delivered before. Also a caller that gives several
    /// statements one id gets another signature for each.
    fn admit_signature(&mut self, signature: &Bytes) -> Result<()> {
        if !self.signatures.insert(self.hasher.hash_one(signature)) {
            return Err("a signature that was delivered before");
        }
        self.is_aligned = true;
        Ok(())
    }

    /// Admits a success without a signature. One that differs from all former ones is
    /// certainly no second answer.
    fn admit_own(&mut self, awaited: AwaitedAnswer, answer: &ReceivedAnswer<'_>) -> Result<bool> {
        if awaited != AwaitedAnswer::Status && !answer.rows.is_empty() {
            return Err("rows for a statement without rows");
        }
        let content = (answer.rows, answer.state as u8, answer.position);
        let is_first = self.own.insert(self.hasher.hash_one(content));
        // The answers to other statements of this host need no slot and no role, so that
        // none of them is a refusal that is still on its way.
        self.is_aligned &= is_first || !awaited.may_be_refused();
        Ok(is_first)
    }
}
