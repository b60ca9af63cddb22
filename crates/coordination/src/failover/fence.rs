//! The grants of one fence and the choice of the member to promote.

use slotmap::{SecondaryMap, SparseSecondaryMap};
use state::keys::MemberKey;
use state::log::{LogPosition, Term};
use state::member::majority;

/// The answers of the members to one fence.
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

    /// Tells whether a majority can no longer grant the fence.
    pub(super) fn is_lost(&self) -> bool {
        self.members - self.refused.len().min(self.members) < majority(self.members)
    }

    /// Chooses the member to promote, or `None` while none may be promoted.
    ///
    /// The highest log of any majority of grants holds every accepted write, so
    /// members to `avoid` (leaving, or not heard by the others) are left out if
    /// the remaining grants are a majority. While more grants may come, the
    /// choice waits for that; `last_chance` ends the wait.
    pub(super) fn choose(
        &self,
        avoid: impl Fn(MemberKey) -> bool,
        last_chance: bool,
    ) -> Option<MemberKey> {
        let quorum = majority(self.members);
        let preferred = self.grants.keys().filter(|member| !avoid(*member)).count();
        let chosen = if preferred >= quorum {
            self.highest(|member| !avoid(member), &avoid)
        } else if self.grants.len() >= quorum && (last_chance || self.is_complete()) {
            self.highest(|_| true, &avoid)
        } else {
            None
        }?;
        let log = self.grants[chosen];
        let covered = self.grants.values().filter(|other| log.reaches(**other));
        assert!(
            covered.count() >= quorum,
            "the promoted log reaches those of a majority"
        );
        Some(chosen)
    }

    fn is_complete(&self) -> bool {
        self.grants.len() + self.refused.len() >= self.members
    }

    fn highest(
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
