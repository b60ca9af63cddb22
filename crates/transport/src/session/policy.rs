//! Limits that the intent document sets for a statement.

use std::time::{Duration, Instant};

use coordination::admission::AdmissionRequest;
use protocol::result_code::ResultCode;
use state::keys::ClassKey;

use super::refusal::{refuse, Result};
use super::CallerSession;
use crate::caller::context::DocumentInForce;

/// Class name of reads when the document has no class.
const NO_CLASS: &str = "none";
/// Priority of reads when the document has no class.
const NO_CLASS_PRIORITY: u8 = 1;

/// Limits of one statement.
#[derive(Clone, Debug)]
pub(super) struct ReadPolicy {
    class: Option<String>,
    class_key: Option<ClassKey>,
    priority: u8,
    weight: u64,
    /// Age of data that a read tolerates.
    pub(super) max_staleness: Duration,
    /// Time for the whole statement.
    pub(super) statement: Duration,
    /// Longest wait for a confirmation.
    pub(super) confirm: Duration,
    /// Longest wait of a read for a replica.
    pub(super) replica_wait: Duration,
}

impl ReadPolicy {
    /// Returns the name of the read class.
    pub(super) fn class_name(&self) -> &str {
        self.class.as_deref().unwrap_or(NO_CLASS)
    }
}

impl CallerSession {
    /// Reads the limits of a statement. The class comes from its mark, from
    /// the session's variable, or is the document's first one.
    pub(super) fn read_policy(
        &self,
        in_force: &DocumentInForce,
        marked: Option<&str>,
    ) -> Result<ReadPolicy> {
        let document = &in_force.document;
        let wanted = marked.or(self.variables.read_class.as_deref());
        let class = match wanted {
            Some(name) => match document.find_class(name) {
                Some(class) => Some(class),
                None => {
                    let reason = format!("unknown read class {name:?}");
                    return refuse(ResultCode::BadVariable, reason);
                }
            },
            None => document.read_class.first(),
        };
        let customer = document
            .customer
            .iter()
            .find(|entry| entry.name == self.customer);
        Ok(ReadPolicy {
            class: class.map(|class| class.name.clone()),
            class_key: class.map(|class| self.context.class_key(&class.name)),
            priority: class.map_or(NO_CLASS_PRIORITY, |class| class.priority.min(9) as u8),
            weight: customer.map_or(1, |customer| customer.weight),
            max_staleness: class.map_or(Duration::ZERO, |class| {
                Duration::from_millis(class.max_staleness_ms)
            }),
            statement: self.deadline_of(in_force),
            confirm: Duration::from_millis(document.deadlines.confirm_ms),
            replica_wait: Duration::from_millis(document.deadlines.replica_wait_ms),
        })
    }

    /// Builds the request for admission.
    pub(super) fn admission(
        &self,
        policy: &ReadPolicy,
        is_read: bool,
        deadline: Instant,
    ) -> AdmissionRequest {
        AdmissionRequest {
            customer: self.customer_key,
            class: policy.class_key.filter(|_| is_read),
            weight: policy.weight.max(1),
            priority: if is_read { policy.priority } else { 0 },
            deadline,
        }
    }
}
