//! The key that a caller presented, and the account that it identifies.

use state::account::{AccountKey, ClientAccount};
use state::plan::RoutePlan;

/// The caller's key identifies no account of the plan, and the route needs one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct KeyUnknown;

/// Identity of a session's caller.
#[derive(Debug, Default)]
pub(super) struct CallerIdentity {
    /// Digest of the key that the caller presented, if any.
    key: Option<AccountKey>,
    /// Account of the key in the newest plan that was looked at; `None` if the route
    /// needs no key.
    account: Option<ClientAccount>,
}

impl CallerIdentity {
    pub(super) fn new(key: Option<AccountKey>) -> Self {
        Self { key, account: None }
    }

    /// Returns the account as of the last [`update`](Self::update).
    pub(super) fn account(&self) -> Option<&ClientAccount> {
        self.account.as_ref()
    }

    /// Returns the name of the account for log lines; empty if there is none.
    pub(super) fn account_name(&self) -> &str {
        self.account().map_or("", |account| &account.name)
    }

    /// Returns the fingerprint of the key for log lines; empty if there is none.
    pub(super) fn fingerprint(&self) -> String {
        self.key.map_or_else(String::new, |key| key.fingerprint())
    }

    /// Looks the account up again. Returns whether the session now belongs to another
    /// account than before. If the key is unknown, the former account stays recorded.
    pub(super) fn update(
        &mut self,
        plan: &RoutePlan,
        database: &str,
    ) -> std::result::Result<bool, KeyUnknown> {
        let account = self.find(plan, database)?;
        if account == self.account() {
            return Ok(false);
        }
        let name = |account: Option<&ClientAccount>| account.map(|account| account.name.clone());
        let is_other = name(account) != name(self.account());
        self.account = account.cloned();
        Ok(is_other)
    }

    fn find<'a>(
        &self,
        plan: &'a RoutePlan,
        database: &str,
    ) -> std::result::Result<Option<&'a ClientAccount>, KeyUnknown> {
        if plan.accounts.is_empty() {
            return Ok(None);
        }
        let found = self.key.and_then(|key| plan.accounts.identify(&key));
        match plan.route(database) {
            Some(route) if route.is_public => Ok(None),
            // The session began without an account. Its statements are refused because
            // the route is gone.
            None if found.is_none() && self.account.is_none() => Ok(None),
            _ => found.map(Some).ok_or(KeyUnknown),
        }
    }
}
