//! Who may use a session: the checks of the caller's key.

use std::io::Result as IoResult;
use std::time::Duration;

use protocol::result_code::ResultCode;
use state::account::AccountKey;
use state::clock::MonotonicClock;

use super::super::caller_identity::KeyUnknown;
use super::super::codec::StatementCodec;
use super::super::statement_request::{fail, Result};
use super::super::transaction::TransactionHealth;
use super::ManagedSession;

impl<K: StatementCodec, C: MonotonicClock> ManagedSession<K, C> {
    pub(super) fn log_refused_session(&self, database: &str, code: ResultCode) {
        let plan = self.context.plan();
        let (version, has_accounts) = match &plan {
            Some(plan) => (plan.version, !plan.accounts.is_empty()),
            None => (0, false),
        };
        let code = code.number();
        if !has_accounts {
            log::info!(database, code, plan = version; "session refused");
            return;
        }
        let key = self.identity.fingerprint();
        log::info!(database, code, plan = version, key = key.as_str(); "session refused");
    }

    /// Looks up the route and the account of a greeting.
    pub(super) fn identify(&mut self, database: &str) -> Result<()> {
        self.find_route(database)?;
        let Some(plan) = self.context.plan() else {
            return Ok(());
        };
        if self.identity.update(&plan, database).is_ok() {
            return Ok(());
        }
        let metrics = &self.context.metrics;
        if self.context.is_plan_fresh() {
            metrics.count_refused_key("unknown");
            return fail(ResultCode::AuthenticationFailed, "the key is unknown");
        }
        metrics.count_refused_key("unconfirmed");
        let detail = "the keys may have changed; retry in 500 ms";
        fail(ResultCode::NoPrimary, detail)
    }

    /// Returns whether a text is the key of an account. A caller may send its key in the
    /// place of the database.
    pub(super) fn is_key(&self, text: &str) -> bool {
        let key = AccountKey::of(text.as_bytes());
        let plan = self.context.plan();
        plan.is_some_and(|plan| plan.accounts.identify(&key).is_some())
    }

    /// Looks up the account again, since the plan may have changed. A transaction on a
    /// connection of the former account is rolled back.
    pub(super) fn renew_identity(&mut self) -> std::result::Result<(), KeyUnknown> {
        let Some(plan) = self.context.plan() else {
            return Ok(());
        };
        let is_other = self.identity.update(&plan, &self.database)?;
        if let Some(transaction) = self.transaction.as_mut().filter(|_| is_other) {
            if transaction.connection.take().is_some() {
                let reason = "the key belongs to another account";
                transaction.state = TransactionHealth::Lost(reason);
            }
        }
        Ok(())
    }

    /// Refuses a statement because the session's key was removed. The open transaction
    /// is rolled back when its connection returns to the pool.
    pub(super) async fn end_denied(&mut self, id: &str) -> IoResult<()> {
        let had_transaction = self.transaction.take().is_some();
        let key = self.identity.fingerprint();
        log::info!(
            request = id,
            database = self.database.as_str(),
            account = self.identity.account_name(),
            key = key.as_str(),
            had_transaction;
            "session ended because its key was removed"
        );
        self.context.metrics.count_refused_key("removed");
        let denied = fail(ResultCode::AuthenticationFailed, "the key was removed");
        self.record_result(id, &denied, Duration::ZERO);
        if let Err(failure) = denied {
            K::put_error(&mut self.output, failure.code, &failure.detail);
        }
        self.flush().await
    }

    /// Refuses a message that the codec could not parse. Where callers have keys, the
    /// message may contain one, so that nothing of it is logged.
    pub(super) async fn reject_unparsed(&mut self, reason: &str) -> IoResult<()> {
        let plan = self.context.plan();
        match plan.filter(|plan| plan.accounts.is_empty()) {
            Some(_) => self.reject_malformed(reason).await,
            None => {
                let reason = "unknown message; allowed: a greeting, then statements";
                self.reject_malformed(reason).await
            }
        }
    }
}
