//! Check of the accounts under which members run statements.
//!
//! An item whose name begins with the name of an account and a slash belongs to this
//! account: each statement on it must run on a connection of the account.

use std::collections::BTreeSet;

use serde_json::Value;

/// What the members saw of the callers' accounts.
#[derive(Debug, Default)]
pub(super) struct IdentityCheck {
    /// Names of all accounts that a configuration ever had.
    names: BTreeSet<String>,
    /// All keys that a configuration ever had.
    keys: BTreeSet<String>,
    /// Names in the greetings of connections, in order.
    pub(super) greeted: Vec<String>,
    pub(super) violations: Vec<String>,
}

impl IdentityCheck {
    /// Records the accounts of a configuration.
    pub(super) fn observe(&mut self, configuration: &Value) {
        for tenant in configuration["tenants"].as_array().into_iter().flatten() {
            self.names
                .extend(tenant["name"].as_str().map(str::to_owned));
            let keys = tenant["apiKeys"].as_array().into_iter().flatten();
            self.keys
                .extend(keys.filter_map(Value::as_str).map(str::to_owned));
        }
    }

    pub(super) fn check_greeting(&mut self, client: &str) {
        if self.keys.contains(client) {
            self.violations.push("a greeting with a key".to_owned());
        }
        self.greeted.push(client.to_owned());
    }

    pub(super) fn check_statement(&mut self, client: &str, text: &str) {
        if text.split(' ').any(|word| self.keys.contains(word)) {
            self.violations.push("a statement with a key".to_owned());
        }
        let owner = text.split(' ').find_map(|word| {
            let (owner, _) = word.split_once('/')?;
            self.names.get(owner)
        });
        if let Some(owner) = owner.filter(|owner| *owner != client) {
            let violation = format!("a statement of {owner} on a connection of {client}");
            self.violations.push(violation);
        }
    }
}
