//! Serving callers of managed groups: sessions, connections to members, and
//! the tasks that follow the platform's store.
//!
//! Borders: generic over the codec of statements and over the platform; carries
//! out what `coordination::managed` decides. Ages of beliefs come from a clock
//! that counts suspension, deadlines of sockets from the runtime's clock.

mod acceptor;
mod change_driver;
pub mod codec;
mod context;
mod group_runtime;
mod group_watch;
mod link;
mod metrics;
mod plan_follower;
mod relay;
pub mod runtime;
pub mod seam;
mod session;
mod statement;
mod statement_order;
mod store_follower;
mod transaction;
