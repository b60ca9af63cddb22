//! Collects the grants of one fence and selects the member to promote.

use slotmap::{SecondaryMap, SparseSecondaryMap};
use state::keys::MemberKey;
use state::log::{LogPosition, Term};
use state::member::majority;

/// Answers of the members to the fence of one term.
#[derive(Clone, Debug)]
pub(super) struct FenceRound {
    pub(super) term: Term,
    members: usize,
    grants: SecondaryMap<MemberKey, LogPosition>,
    refused: SparseSecondaryMap<MemberKey, ()>,
}

impl FenceRound {
    pub(super) fn new(term: Term, members: usize) -> Self {
        Self {
            term,
            members,
            grants: SecondaryMap::new(),
            refused: SparseSecondaryMap::new(),
        }
    }

    pub(super) fn grant(&mut self, member: MemberKey, log: LogPosition) {
        let known = self.grants.get(member).copied().unwrap_or_default();
        self.grants.insert(member, log.max(known));
    }

    pub(super) fn refuse(&mut self, member: MemberKey) {
        self.refused.insert(member, ());
    }

    pub(super) fn has_granted(&self, member: MemberKey) -> bool {
        self.grants.contains_key(member)
    }

    /// Returns whether so many members refused that no majority can grant.
    pub(super) fn cannot_succeed(&self) -> bool {
        self.members - self.refused.len().min(self.members) < majority(self.members)
    }

    /// Selects the member to promote, or returns `None` while no member may be
    /// promoted.
    ///
    /// The highest log of any majority of grants holds every accepted write.
    /// Members to `avoid` (the suspected primary and leaving members) are
    /// therefore skipped if the other grants are a majority. As long as further
    /// grants may arrive, the selection waits for such a majority;
    /// `deadline_passed` ends the wait.
    pub(super) fn choose_candidate(
        &self,
        avoid: impl Fn(MemberKey) -> bool,
        deadline_passed: bool,
    ) -> Option<MemberKey> {
        let quorum = majority(self.members);
        let preferred_grants = self.grants.keys().filter(|member| !avoid(*member)).count();
        let candidate = if preferred_grants >= quorum {
            self.member_with_highest_log(|member| !avoid(member), &avoid)
        } else if self.grants.len() >= quorum && (deadline_passed || self.all_answered()) {
            self.member_with_highest_log(|_| true, &avoid)
        } else {
            None
        }?;
        let log = self.grants[candidate];
        let covered = self.grants.values().filter(|other| log.reaches(**other));
        assert!(
            covered.count() >= quorum,
            "the promoted log must reach the logs of a majority"
        );
        Some(candidate)
    }

    fn all_answered(&self) -> bool {
        self.grants.len() + self.refused.len() >= self.members
    }

    fn member_with_highest_log(
        &self,
        allowed: impl Fn(MemberKey) -> bool,
        avoid: impl Fn(MemberKey) -> bool,
    ) -> Option<MemberKey> {
        self.grants
            .iter()
            .filter(|(member, _)| allowed(*member))
            .max_by_key(|(member, log)| (**log, !avoid(*member)))
            .map(|(member, _)| member)
    }
}
