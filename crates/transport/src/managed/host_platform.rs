//! The interface to the platform that an entry host runs on.

use std::future::Future;
use std::time::Duration;

use crate::services::WriteAnswer;

pub use crate::services::{Result, ServiceError};
pub use state::reading::{
    PlanReading, RejectedEntry, ServerListReading, StoreEra, StoreRevision, StoredRow, TableReading,
};

/// Tables in the platform's store that entry hosts own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ControlTable {
    /// Rows of the groups, which name their primaries, and the row of the
    /// promotion lease.
    Groups,
    /// Rows of the data centres, which name their live entry hosts.
    Presence,
}

/// A revision that a row must have for a write to take effect.
#[derive(Clone, Copy, Debug)]
pub struct RowCondition<'a> {
    /// Key of the row.
    pub key: &'a str,
    /// Number of the revision; 0 if the row must not exist.
    pub revision: u64,
}

/// A conditional write of one row.
#[derive(Clone, Copy, Debug)]
pub struct ControlWrite<'a> {
    /// Table of the row.
    pub table: ControlTable,
    /// Key of the row.
    pub key: &'a str,
    /// Revision that the row must have; 0 if the row must not exist.
    pub expected_revision: u64,
    /// Conditions on other rows of the table.
    pub conditions: &'a [RowCondition<'a>],
    /// New value of the row.
    pub value: &'a [u8],
    /// Keys of other rows of the table that are deleted with the write.
    pub removed: &'a [&'a str],
}

/// An order to promote a member.
#[derive(Clone, Copy, Debug)]
pub struct PromotionOrder<'a> {
    /// Name of the group.
    pub group: &'a str,
    /// Identity of the member to promote.
    pub member: &'a str,
    /// Host that holds the promotion lease.
    pub holder: &'a str,
    /// Fencing token of the promotion lease.
    pub fencing_token: u64,
}

/// The platform's answer to a promotion order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromotionAnswer {
    /// The member becomes the primary soon, or is the primary already.
    Accepted,
    /// The member cannot take over.
    Rejected,
    /// The platform did not accept the call, and nothing was done.
    Unavailable,
}

/// The platform's services: the store and the promotion of members.
///
/// # Errors
///
/// Each call fails with a [`ServiceError`] if the service gives no usable answer.
pub trait HostPlatform: Clone + Send + Sync + 'static {
    /// Reads all rows of a table.
    fn read_table(&self, table: ControlTable) -> impl Future<Output = Result<TableReading>> + Send;
    /// Writes one row if it has the expected revision.
    fn write_row(
        &self,
        write: &ControlWrite<'_>,
    ) -> impl Future<Output = Result<WriteAnswer>> + Send;
    /// Reads the list of backend servers.
    fn list_servers(&self) -> impl Future<Output = Result<ServerListReading>> + Send;
    /// Reads the newest plan; the reading has no plan if none was written yet.
    fn read_plan(&self) -> impl Future<Output = Result<PlanReading>> + Send;
    /// Waits up to `max_wait` for a plan that was written after the revision
    /// `after`. Returns `None` if the store's history no longer reaches back to
    /// that revision.
    fn await_plan(
        &self,
        after: u64,
        max_wait: Duration,
    ) -> impl Future<Output = Result<Option<PlanReading>>> + Send;
    /// Orders the promotion of a member to primary.
    fn promote(
        &self,
        order: &PromotionOrder<'_>,
    ) -> impl Future<Output = Result<PromotionAnswer>> + Send;
}
