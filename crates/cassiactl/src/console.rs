//! The web console: server-rendered pages with forms that edit the intent
//! document.

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
use transport::services::{ObjectStore, TableService};

use crate::archive::DocumentArchive;
use operator::SessionTable;

/// State that all requests share.
#[derive(Debug)]
pub struct ConsoleContext<T, O> {
    /// Access to the accepted versions.
    pub archive: DocumentArchive<T, O>,
    /// Operators that may sign in.
    pub credentials: Vec<UserCredential>,
    /// Peer address of the daemon that reports the status of all daemons, if
    /// set.
    pub daemon: Option<SocketAddr>,
    /// Sessions of the signed-in operators.
    pub sessions: Mutex<SessionTable>,
    /// Clock for the expiry of sessions.
    pub clock: SystemClock,
}

impl<T: TableService, O: ObjectStore> ConsoleContext<T, O> {
    /// Creates a context without sessions.
    pub fn new(
        archive: DocumentArchive<T, O>,
        credentials: Vec<UserCredential>,
        daemon: Option<SocketAddr>,
    ) -> Self {
        Self {
            archive,
            credentials,
            daemon,
            sessions: Mutex::default(),
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
