//! The proxy's variables of a session.

use std::time::{Duration, Instant};

use coordination::session_bound::SessionBound;
use protocol::classify::StatementKind;
use protocol::frame;
use protocol::options::{SessionVariable, VariableChange};
use protocol::result_code::ResultCode;
use state::request::RequestId;

use super::refusal::{refuse, Refusal, Result};
use super::route;
use super::CallerSession;

/// Values of the variables.
#[derive(Debug, Default)]
pub(super) struct SessionVariables {
    /// Request id of the next write; cleared when a write with it has ended.
    pub(super) request_id: Option<RequestId>,
    /// Request id of the last write that had one.
    pub(super) last_request_id: Option<RequestId>,
    pub(super) read_class: Option<String>,
    pub(super) deadline: Option<Duration>,
}

impl SessionVariables {
    /// Applies a change. A session token of another group is refused.
    pub(super) fn apply(
        &mut self,
        change: VariableChange,
        group: &str,
        bound: &mut SessionBound,
    ) -> std::result::Result<(), Refusal> {
        match change {
            VariableChange::RequestId(id) => self.request_id = id,
            VariableChange::ReadClass(class) => self.read_class = class,
            VariableChange::Deadline(deadline) => self.deadline = deadline,
            // A session bound never decreases, so a reset has no effect.
            VariableChange::SessionToken(None) => {}
            VariableChange::SessionToken(Some(token)) if token.group == group => {
                bound.record_token(token.position);
            }
            VariableChange::SessionToken(Some(token)) => {
                let reason = format!("the token belongs to group {:?}", token.group);
                return Err(Refusal::new(ResultCode::BadSessionToken, reason));
            }
        }
        Ok(())
    }

    /// Records that a write with this id has ended, and clears the id, so that the
    /// next write does not conflict with it.
    pub(super) fn consume_request_id(&mut self, id: &RequestId) {
        if self.request_id.as_ref() == Some(id) {
            self.request_id = None;
        }
        self.last_request_id = Some(id.clone());
    }
}

impl CallerSession {
    /// Runs a statement that sets or shows a variable and adds the answer to the
    /// output. With `describe` a RowDescription precedes the row, as a simple query
    /// requires.
    pub(super) async fn evaluate(&mut self, kind: &StatementKind, describe: bool) -> Result<()> {
        match kind {
            StatementKind::SetVariable(change) => {
                let group = &self.group.name;
                self.variables
                    .apply(change.clone(), group, &mut self.bound)?;
                frame::put_complete(&mut self.io.output, "SET");
            }
            StatementKind::ShowVariable(variable) => {
                let value = self.variable_value(*variable).await?;
                let out = &mut self.io.output;
                if describe {
                    frame::put_text_description(out, variable.name());
                }
                frame::put_text_row(out, &value);
                frame::put_complete(out, "SHOW");
            }
            _ => {}
        }
        Ok(())
    }

    async fn variable_value(&mut self, variable: SessionVariable) -> Result<String> {
        let document = self.context.current_document();
        let deadline = Instant::now() + self.statement_timeout(&document);
        match variable {
            SessionVariable::RequestId => {
                let id = self.variables.request_id.as_ref();
                Ok(id.map(ToString::to_string).unwrap_or_default())
            }
            SessionVariable::ReadClass => Ok(self.variables.read_class.clone().unwrap_or_default()),
            SessionVariable::DeadlineMs => {
                Ok(self.statement_timeout(&document).as_millis().to_string())
            }
            SessionVariable::SessionToken => {
                self.ensure_bound(deadline).await?;
                let token = self.bound.token(&self.group.name);
                Ok(token.map(|token| token.to_string()).unwrap_or_default())
            }
            SessionVariable::Outcome => {
                let id = self.variables.request_id.clone();
                let Some(id) = id.or_else(|| self.variables.last_request_id.clone()) else {
                    return refuse(ResultCode::BadVariable, "cassia.request_id is not set");
                };
                self.show_outcome(&id, deadline).await
            }
        }
    }

    /// Waits until the session bound is known.
    pub(super) async fn ensure_bound(&mut self, deadline: Instant) -> Result<()> {
        while self.bound.needs_watermark() {
            let watermark = route::watermark(&self.group, deadline).await?;
            if !self.bound.record_watermark(&watermark) && Instant::now() >= deadline {
                return refuse(ResultCode::NoFreshMember, "no majority answered");
            }
        }
        Ok(())
    }
}
