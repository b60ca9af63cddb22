//! Client accounts of managed groups: their keys and usage caps.

use std::collections::{BTreeMap, HashMap};
use std::fmt::{self, Write as _};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Number of bytes of a digest that a fingerprint shows.
const FINGERPRINT_BYTES: usize = 4;

/// Digest of a key with which callers identify their account.
///
/// Only the digest is stored, compared and passed on, so that no key can appear in
/// logs, metrics or messages, and the time of a lookup tells nothing about a key.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AccountKey([u8; 32]);

impl AccountKey {
    /// Returns the digest of a presented key.
    pub fn of(presented: &[u8]) -> Self {
        Self(Sha256::digest(presented).into())
    }

    /// Returns the text by which operators recognise a key: the first bytes of the
    /// digest in hexadecimal digits.
    pub fn fingerprint(&self) -> String {
        let mut text = String::new();
        for byte in &self.0[..FINGERPRINT_BYTES] {
            let _ = write!(text, "{byte:02x}");
        }
        text
    }
}

impl fmt::Debug for AccountKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "AccountKey({})", self.fingerprint())
    }
}

/// Limit on the operations of an account, over all entry hosts. An operation is a
/// statement outside of transactions, or a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct UsageCap {
    /// Operations per second; finite, 0 or more.
    pub rate_per_s: f64,
    /// Operations that may run at once in addition; finite, 0 or more.
    pub burst: f64,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct ClientAccount {
    /// Name, unique among the accounts. Members are told the name.
    pub name: String,
    /// Priority; 0 is the highest, 9 the lowest.
    pub priority: u8,
    /// Usage cap; `None` if the account has none.
    pub cap: Option<UsageCap>,
}

/// The client accounts of a plan.
///
/// # Invariants
///
/// Each key in `keys` belongs to an account in `accounts`. A key that was inserted
/// for two accounts belongs to none.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct AccountTable {
    accounts: BTreeMap<String, ClientAccount>,
    /// Names of the accounts by key; `None` for a key of several accounts.
    keys: HashMap<AccountKey, Option<String>>,
    /// Whether the configuration has accounts that cannot be served.
    has_rejected: bool,
}

impl AccountTable {
    /// Adds an account with its keys. Returns the keys that also belong to another
    /// account and therefore identify none.
    pub fn insert(&mut self, account: ClientAccount, keys: &[AccountKey]) -> Vec<AccountKey> {
        let mut shared = Vec::new();
        for key in keys {
            let holder = self
                .keys
                .entry(*key)
                .or_insert_with(|| Some(account.name.clone()));
            if holder.as_ref() != Some(&account.name) {
                *holder = None;
                shared.push(*key);
            }
        }
        self.accounts.insert(account.name.clone(), account);
        shared
    }

    /// Records an account that cannot be served. Its keys identify no account, also if
    /// another account has one of them.
    pub fn reject(&mut self, keys: &[AccountKey]) {
        self.has_rejected = true;
        self.keys.extend(keys.iter().map(|key| (*key, None)));
    }

    /// Returns whether the configuration has no accounts. Callers then need no key. A
    /// table whose accounts were all rejected is not empty: otherwise a mistake in the
    /// configuration would serve callers without a key.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty() && !self.has_rejected
    }

    /// Returns the account that a key identifies.
    pub fn identify(&self, key: &AccountKey) -> Option<&ClientAccount> {
        let name = self.keys.get(key)?.as_ref()?;
        self.accounts.get(name)
    }

    /// Returns the account with a name.
    pub fn get(&self, name: &str) -> Option<&ClientAccount> {
        self.accounts.get(name)
    }

    /// Returns all accounts, sorted by name.
    pub fn iter(&self) -> impl Iterator<Item = &ClientAccount> {
        self.accounts.values()
    }
}
