//! Runs one backend server of a database group for tests.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;
use standin::backend::{BackendServer, BackendSettings, ReplicationRoutes};

/// A backend server of a database group, for tests.
#[derive(Debug, FromArgs)]
struct BackendArguments {
    /// statement address
    #[argh(option)]
    address: SocketAddr,
    /// address for member control and replication
    #[argh(option)]
    control_address: SocketAddr,
    /// maximum number of statements that execute at the same time (default 3)
    #[argh(option, default = "3")]
    slots: usize,
    /// maximum number of open statement connections (default 20)
    #[argh(option, default = "20")]
    connection_limit: usize,
    /// delay before a new connection is accepted, in ms (default 10)
    #[argh(option, default = "10")]
    connection_delay_ms: u64,
    /// time for which each statement occupies its slot, in ms (default 0)
    #[argh(option, default = "0")]
    service_time_ms: u64,
    /// age in ms that an entry must reach before the primary sends it (default 0)
    #[argh(option, default = "0")]
    lag_ms: u64,
    /// delay in ms before a received entry is applied (default 0)
    #[argh(option, default = "0")]
    apply_lag_ms: u64,
    /// directory in which the promised term, the grant and the log are stored
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
            receive_lag: Duration::from_millis(arguments.lag_ms),
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
    // The parent process waits for this line: it says that both ports are open,
    // and which ports were assigned for port 0.
    println!(
        "listening address={} control_address={}",
        server.address(),
        server.control_address()
    );
    server.run().await;
    Ok(())
}
