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

    /// Returns whether no majority can grant any more. A member for which `is_down`
    /// holds gives no grant.
    pub(super) fn cannot_succeed(
        &self,
        members: impl Iterator<Item = MemberKey>,
        is_down: impl Fn(MemberKey) -> bool,
    ) -> bool {
        let may_grant = |member: &MemberKey| {
            let refused = self.refused.contains_key(*member);
            self.has_granted(*member) || (!refused && !is_down(*member))
        };
        members.filter(may_grant).count() < majority(self.members)
    }

    /// Returns whether another proposer may have been granted this term by a
    /// majority. A member grants a term to one proposer only.
    pub(super) fn rival_may_win(
        &self,
        members: impl Iterator<Item = MemberKey>,
        is_down: impl Fn(MemberKey) -> bool,
    ) -> bool {
        let may_be_rivals = |member: &MemberKey| !self.has_granted(*member) && !is_down(*member);
        !self.refused.is_empty() && members.filter(may_be_rivals).count() >= majority(self.members)
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
