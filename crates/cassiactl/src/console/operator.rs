//! Sessions of signed-in operators and their drafts, in memory only.

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

/// Time without a request after which a session expires.
const SESSION_IDLE_TIMEOUT: Duration = Duration::from_secs(12 * 3600);
/// Largest number of sessions.
const MAX_SESSIONS: usize = 1_000;
/// Random bytes in a session id or form token.
const TOKEN_BYTES: usize = 24;

/// A draft of the intent document and the version that it is based on.
#[derive(Clone, Debug)]
pub struct DocumentDraft {
    /// Version that the draft is based on; the default value if no version was
    /// accepted yet.
    pub base_version: DocumentVersion,
    /// Document of that version.
    pub base: IntentDocument,
    /// Edited document as JSON, which may be invalid.
    pub value: Value,
}

/// Session of a signed-in operator.
#[derive(Clone, Debug)]
pub struct OperatorSession {
    /// Name of the operator.
    pub operator: String,
    /// Token that each posted form must contain, against cross-site request
    /// forgery.
    pub form_token: String,
    /// Draft, if the operator has started one.
    pub draft: Option<DocumentDraft>,
    last_request: Instant,
}

/// Sessions of all signed-in operators, by session id.
#[derive(Debug, Default)]
pub struct SessionTable {
    sessions: HashMap<String, OperatorSession>,
}

impl SessionTable {
    /// Starts a session and returns its id. Returns `None` if the name or
    /// password is wrong or the table is full.
    pub fn sign_in(
        &mut self,
        credentials: &[UserCredential],
        operator: &str,
        password: &str,
        now: Instant,
    ) -> Option<String> {
        if !credentials_match(credentials, operator, password) {
            return None;
        }
        self.remove_expired(now);
        if self.sessions.len() >= MAX_SESSIONS {
            return None;
        }
        let id = random_token();
        let session = OperatorSession {
            operator: operator.to_owned(),
            form_token: random_token(),
            draft: None,
            last_request: now,
        };
        self.sessions.insert(id.clone(), session);
        Some(id)
    }

    /// Finds the session of an id, unless it has expired, and restarts its idle
    /// time.
    pub fn find(&mut self, id: &str, now: Instant) -> Option<&mut OperatorSession> {
        self.remove_expired(now);
        let session = self.sessions.get_mut(id)?;
        session.last_request = now;
        Some(session)
    }

    /// Ends a session.
    pub fn sign_out(&mut self, id: &str) {
        self.sessions.remove(id);
    }

    fn remove_expired(&mut self, now: Instant) {
        self.sessions.retain(|_, session| {
            now.saturating_duration_since(session.last_request) < SESSION_IDLE_TIMEOUT
        });
    }
}

impl OperatorSession {
    /// Returns whether `token` is the form token of this session. Compares in
    /// constant time.
    pub fn form_token_matches(&self, token: &str) -> bool {
        constant_time_eq(&self.form_token, token)
    }
}

/// Returns whether a credential has this name and password. Compares all
/// credentials, so that the time taken does not reveal which part was wrong.
fn credentials_match(credentials: &[UserCredential], operator: &str, password: &str) -> bool {
    let mut matched = false;
    for credential in credentials {
        let name_matches = constant_time_eq(&credential.user, operator);
        let password_matches = constant_time_eq(&credential.password, password);
        matched |= name_matches & password_matches;
    }
    matched
}

fn constant_time_eq(left: &str, right: &str) -> bool {
    left.as_bytes().ct_eq(right.as_bytes()).into()
}

fn random_token() -> String {
    let mut bytes = [0; TOKEN_BYTES];
    rand::rng().fill_bytes(&mut bytes);
    URL_SAFE_NO_PAD.encode(bytes)
}
