//! Runs the stand-in for the platform's services.

use std::net::SocketAddr;

use argh::FromArgs;
use standin::platform::PlatformServer;

/// The platform's table service, object store and host list, for tests.
#[derive(Debug, FromArgs)]
struct PlatformArguments {
    /// address of the HTTP service
    #[argh(option)]
    address: SocketAddr,
}

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let arguments: PlatformArguments = argh::from_env();
    let server = PlatformServer::start(arguments.address).await?;
    println!("listening address={}", server.address());
    server.run().await;
    Ok(())
}
