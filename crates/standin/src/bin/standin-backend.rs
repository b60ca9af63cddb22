//! Runs one backend server of a database group for tests.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;
use standin::backend::{BackendServer, BackendSettings, ReplicationRoutes};

/// A backend server of a database group, for tests.
#[derive(Debug, FromArgs)]
struct BackendArguments {
    /// address for statements
    #[argh(option)]
    address: SocketAddr,
    /// address for member control and replication
    #[argh(option)]
    control_address: SocketAddr,
    /// statements that execute at the same time (default 3)
    #[argh(option, default = "3")]
    slots: usize,
    /// connections that are accepted (default 20)
    #[argh(option, default = "20")]
    connection_limit: usize,
    /// cost of a new connection in ms (default 10)
    #[argh(option, default = "10")]
    connection_delay_ms: u64,
    /// time that a statement holds its slot in ms (default 0)
    #[argh(option, default = "0")]
    service_time_ms: u64,
    /// additional replication lag in ms (default 0)
    #[argh(option, default = "0")]
    lag_ms: u64,
    /// additional lag of applying received entries in ms (default 0)
    #[argh(option, default = "0")]
    apply_lag_ms: u64,
    /// directory that keeps the promised term, the grant and the log
    #[argh(option)]
    data_dir: Option<PathBuf>,
    /// start a new group as its primary at term 1
    #[argh(switch)]
    bootstrap_primary: bool,
    /// follow the primary of term 1 at this control address
    #[argh(option)]
    follow: Option<SocketAddr>,
}

impl From<BackendArguments> for BackendSettings {
    fn from(arguments: BackendArguments) -> Self {
        Self {
            address: arguments.address,
            control_address: arguments.control_address,
            slots: arguments.slots,
            connection_limit: arguments.connection_limit,
            connection_delay: Duration::from_millis(arguments.connection_delay_ms),
            service_time: Duration::from_millis(arguments.service_time_ms),
            lag: Duration::from_millis(arguments.lag_ms),
            apply_lag: Duration::from_millis(arguments.apply_lag_ms),
            routes: ReplicationRoutes::default(),
            data_dir: arguments.data_dir,
            bootstrap_primary: arguments.bootstrap_primary,
            follow: arguments.follow,
        }
    }
}

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let arguments: BackendArguments = argh::from_env();
    let server = BackendServer::start(arguments.into()).await?;
    // The line tells the parent process that both ports are open, and which
    // ones port 0 became.
    println!(
        "listening address={} control_address={}",
        server.address(),
        server.control_address()
    );
    server.run().await;
    Ok(())
}
