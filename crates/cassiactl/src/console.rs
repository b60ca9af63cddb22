//! The console of forms: server-rendered pages that edit the intent document.

pub mod form;
pub mod operator;
pub mod page;
mod routes;
pub mod status;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use state::clock::{MonotonicClock, SystemClock};
use state::settings::UserCredential;
use tokio::net::TcpListener;
use transport::seam::{ObjectStore, TableService};

use crate::archive::DocumentArchive;
use operator::OperatorTable;

/// Everything that the pages need.
#[derive(Debug)]
pub struct ConsoleContext<T, O> {
    /// Where accepted versions live.
    pub archive: DocumentArchive<T, O>,
    /// Operators that may sign in.
    pub credentials: Vec<UserCredential>,
    /// A daemon that is asked for the status of all, if set.
    pub daemon: Option<SocketAddr>,
    /// Signed-in operators.
    pub operators: Mutex<OperatorTable>,
    /// Clock.
    pub clock: SystemClock,
}

impl<T: TableService, O: ObjectStore> ConsoleContext<T, O> {
    /// Builds a context with no signed-in operators.
    pub fn new(
        archive: DocumentArchive<T, O>,
        credentials: Vec<UserCredential>,
        daemon: Option<SocketAddr>,
    ) -> Self {
        Self {
            archive,
            credentials,
            daemon,
            operators: Mutex::default(),
            clock: SystemClock,
        }
    }

    fn now(&self) -> std::time::Instant {
        self.clock.now()
    }
}

/// Serves the console until the listener fails.
pub async fn serve<T: TableService, O: ObjectStore>(
    listener: TcpListener,
    context: ConsoleContext<T, O>,
) -> std::io::Result<()> {
    axum::serve(listener, routes::router(Arc::new(context))).await
}
