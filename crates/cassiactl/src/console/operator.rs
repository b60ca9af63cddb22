//! Signed-in operators and their drafts, in memory only.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use protocol::peer::DocumentVersion;
use rand::RngCore;
use serde_json::Value;
use state::document::IntentDocument;
use state::settings::UserCredential;
use subtle::ConstantTimeEq;

/// Time without a request after which an operator must sign in again.
const SIGN_IN_LIFETIME: Duration = Duration::from_secs(12 * 3600);
/// Largest number of signed-in operators.
const OPERATOR_LIMIT: usize = 1_000;
/// Bytes of a session id or form token.
const TOKEN_BYTES: usize = 24;

/// A draft with the version that it started from.
#[derive(Clone, Debug)]
pub struct DocumentDraft {
    /// Version that the draft started from; the default before the first.
    pub base_version: DocumentVersion,
    /// Document of that version.
    pub base: IntentDocument,
    /// Edited value.
    pub value: Value,
}

/// One signed-in operator.
#[derive(Clone, Debug)]
pub struct OperatorSession {
    /// Name of the operator.
    pub operator: String,
    /// Token that each form must carry, against cross-site posts.
    pub form_token: String,
    /// Draft, if one was begun.
    pub draft: Option<DocumentDraft>,
    last_seen: Instant,
}

/// All signed-in operators, by session id.
#[derive(Debug, Default)]
pub struct OperatorTable {
    sessions: HashMap<String, OperatorSession>,
}

impl OperatorTable {
    /// Checks a name and password and returns a new session id.
    pub fn sign_in(
        &mut self,
        credentials: &[UserCredential],
        operator: &str,
        password: &str,
        now: Instant,
    ) -> Option<String> {
        if !is_known(credentials, operator, password) {
            return None;
        }
        self.drop_expired(now);
        if self.sessions.len() >= OPERATOR_LIMIT {
            return None;
        }
        let id = random_token();
        let session = OperatorSession {
            operator: operator.to_owned(),
            form_token: random_token(),
            draft: None,
            last_seen: now,
        };
        self.sessions.insert(id.clone(), session);
        Some(id)
    }

    /// Returns the session of an id that has not expired.
    pub fn find(&mut self, id: &str, now: Instant) -> Option<&mut OperatorSession> {
        self.drop_expired(now);
        let session = self.sessions.get_mut(id)?;
        session.last_seen = now;
        Some(session)
    }

    /// Ends a session.
    pub fn sign_out(&mut self, id: &str) {
        self.sessions.remove(id);
    }

    fn drop_expired(&mut self, now: Instant) {
        self.sessions.retain(|_, session| {
            now.saturating_duration_since(session.last_seen) < SIGN_IN_LIFETIME
        });
    }
}

impl OperatorSession {
    /// Compares a posted form token in constant time.
    pub fn accepts_form(&self, token: &str) -> bool {
        same_text(&self.form_token, token)
    }
}

/// Compares all credentials, so that the time does not tell which part was
/// wrong.
fn is_known(credentials: &[UserCredential], operator: &str, password: &str) -> bool {
    let mut known = false;
    for credential in credentials {
        let same_name = same_text(&credential.user, operator);
        let same_password = same_text(&credential.password, password);
        known |= same_name & same_password;
    }
    known
}

fn same_text(left: &str, right: &str) -> bool {
    left.as_bytes().ct_eq(right.as_bytes()).into()
}

fn random_token() -> String {
    let mut bytes = [0; TOKEN_BYTES];
    rand::rng().fill_bytes(&mut bytes);
    URL_SAFE_NO_PAD.encode(bytes)
}
