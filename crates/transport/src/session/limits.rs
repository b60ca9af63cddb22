//! Limits of a statement, from the intent document and the session's variables.

use std::time::{Duration, Instant};

use coordination::admission::AdmissionRequest;
use protocol::result_code::ResultCode;
use state::keys::ClassKey;

use super::refusal::{refuse, Result};
use super::CallerSession;
use crate::caller::context::DocumentInForce;

/// Name of the read class in metrics when the document defines no read class.
const NO_CLASS: &str = "none";
/// Priority of reads when the document defines no read class.
const DEFAULT_PRIORITY: u8 = 1;

/// Time limits, read class, priority and weight of one statement.
#[derive(Clone, Debug)]
pub(super) struct StatementLimits {
    class: Option<String>,
    class_key: Option<ClassKey>,
    priority: u8,
    weight: u64,
    /// Maximum age of the data that a read may return.
    pub(super) max_staleness: Duration,
    /// Time limit for the whole statement.
    pub(super) statement_timeout: Duration,
    /// Longest wait for the confirmation of a commit.
    pub(super) confirm_timeout: Duration,
    /// Longest time that a read waits for a suitable replica.
    pub(super) replica_wait: Duration,
}

impl StatementLimits {
    /// Returns the name of the read class, or `none` if the document defines none.
    pub(super) fn class_name(&self) -> &str {
        self.class.as_deref().unwrap_or(NO_CLASS)
    }
}

impl CallerSession {
    /// Determines the limits of a statement. The read class comes from the comment
    /// mark, else from the session's variable, else it is the first one of the
    /// document. An unknown name is refused.
    pub(super) fn statement_limits(
        &self,
        in_force: &DocumentInForce,
        from_comment: Option<&str>,
    ) -> Result<StatementLimits> {
        let document = &in_force.document;
        let requested = from_comment.or(self.variables.read_class.as_deref());
        let class = match requested {
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
        Ok(StatementLimits {
            class: class.map(|class| class.name.clone()),
            class_key: class.map(|class| self.context.class_key(&class.name)),
            priority: class.map_or(DEFAULT_PRIORITY, |class| class.priority.min(9) as u8),
            weight: customer.map_or(1, |customer| customer.weight),
            max_staleness: class.map_or(Duration::ZERO, |class| {
                Duration::from_millis(class.max_staleness_ms)
            }),
            statement_timeout: self.statement_timeout(in_force),
            confirm_timeout: Duration::from_millis(document.deadlines.confirm_ms),
            replica_wait: Duration::from_millis(document.deadlines.replica_wait_ms),
        })
    }

    /// Builds the admission request of a statement. Writes have no read class and
    /// priority 0.
    pub(super) fn admission(
        &self,
        limits: &StatementLimits,
        is_read: bool,
        deadline: Instant,
    ) -> AdmissionRequest {
        AdmissionRequest {
            customer: self.customer_key,
            class: limits.class_key.filter(|_| is_read),
            weight: limits.weight.max(1),
            priority: if is_read { limits.priority } else { 0 },
            deadline,
            target: None,
        }
    }
}
