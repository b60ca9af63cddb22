//! What an entry host needs of the platform.

use std::future::Future;
use std::time::Duration;

use crate::services::WriteAnswer;

pub use crate::services::{Result, ServiceError};
pub use state::reading::{PlanReading, RejectedEntry, ServerListReading, StoredRow, TableReading};

/// Tables of the product in the platform's store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ControlTable {
    /// Primaries of the groups, and the duty to change them.
    Reigns,
    /// Live entry hosts.
    Hosts,
}

/// A conditional write of one row.
#[derive(Clone, Copy, Debug)]
pub struct ControlWrite<'a> {
    /// Table.
    pub table: ControlTable,
    /// Key.
    pub key: &'a str,
    /// Revision that the row must have; 0 means that it must not exist.
    pub expected_revision: u64,
    /// New value.
    pub value: &'a [u8],
}

/// An order to promote a member.
#[derive(Clone, Copy, Debug)]
pub struct PromotionOrder<'a> {
    /// Group.
    pub group: &'a str,
    /// Identity of the member.
    pub member: &'a str,
    /// Host that holds the duty.
    pub holder: &'a str,
    /// Fencing token of the duty.
    pub fencing_token: u64,
}

/// Answer to an order to promote.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromotionAnswer {
    /// The member takes over soon, or leads already.
    Accepted,
    /// The member cannot take over.
    Rejected,
    /// The platform turned the call away; nothing was done.
    Unavailable,
}

/// The platform's services.
pub trait HostPlatform: Clone + Send + Sync + 'static {
    /// Reads all rows of a table of the product.
    fn read_table(&self, table: ControlTable) -> impl Future<Output = Result<TableReading>> + Send;
    /// Writes one row under a condition.
    fn write_row(
        &self,
        write: &ControlWrite<'_>,
    ) -> impl Future<Output = Result<WriteAnswer>> + Send;
    /// Reads the list of backend servers.
    fn list_servers(&self) -> impl Future<Output = Result<ServerListReading>> + Send;
    /// Reads the newest plan.
    fn read_plan(&self) -> impl Future<Output = Result<PlanReading>> + Send;
    /// Waits for a plan that was written after a revision. Returns nothing when
    /// the store's history no longer reaches back to it.
    fn await_plan(
        &self,
        after: u64,
        max_wait: Duration,
    ) -> impl Future<Output = Result<Option<PlanReading>>> + Send;
    /// Orders the promotion of a member.
    fn promote(
        &self,
        order: &PromotionOrder<'_>,
    ) -> impl Future<Output = Result<PromotionAnswer>> + Send;
}
