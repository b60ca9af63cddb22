//! The control port. It serves member control, and replication on connections
//! that start with the replication preamble.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use protocol::member_control::{ControlAnswer, MemberControlService, ProposerId};
use serde::{Deserialize, Serialize};
use state::log::{LogPosition, Term};
use state::member::MemberReport;
use tarpc::context::Context;
use tarpc::serde_transport::Transport;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::{sleep_until, Instant};

use super::member::GroupMemberState;
use super::replication::{ReplicationServer, ReplicationService, REPLICATION_PREAMBLE};

/// Accepts control connections. Aborting the task closes all of them.
pub async fn serve(member: Arc<GroupMemberState>, listener: TcpListener) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            Ok((stream, _)) = listener.accept() => {
                connections.spawn(serve_connection(member.clone(), stream));
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

/// Wraps a connection in the transport that member control and replication use.
pub fn transport<Item, SinkItem>(
    stream: TcpStream,
) -> Transport<TcpStream, Item, SinkItem, Bincode<Item, SinkItem>>
where
    Item: for<'de> Deserialize<'de>,
    SinkItem: Serialize,
{
    Transport::from((stream, Bincode::default()))
}

async fn serve_connection(member: Arc<GroupMemberState>, mut stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut first_byte = [0];
    stream.peek(&mut first_byte).await?;
    if first_byte[0] == REPLICATION_PREAMBLE {
        stream.read_u8().await?;
        let channel = BaseChannel::with_defaults(transport(stream));
        run_channel(channel.execute(ReplicationServer { member }.serve())).await;
        return Ok(());
    }
    let channel = BaseChannel::with_defaults(transport(stream));
    run_channel(channel.execute(ControlServer { member }.serve())).await;
    Ok(())
}

/// Runs the requests of a connection concurrently. Requests that still run when
/// the connection closes are aborted.
async fn run_channel<S, F>(requests: S)
where
    S: futures::Stream<Item = F>,
    F: std::future::Future<Output = ()> + Send + 'static,
{
    let mut running = JoinSet::new();
    let mut requests = std::pin::pin!(requests);
    loop {
        tokio::select! {
            request = requests.next() => match request {
                Some(request) => {
                    running.spawn(request);
                }
                None => return,
            },
            Some(_) = running.join_next() => {}
        }
    }
}

#[derive(Clone, Debug)]
struct ControlServer {
    member: Arc<GroupMemberState>,
}

impl MemberControlService for ControlServer {
    async fn report(self, _context: Context) -> MemberReport {
        self.member.report()
    }

    async fn await_position(
        self,
        _context: Context,
        position: LogPosition,
        max_wait: Duration,
    ) -> MemberReport {
        let deadline = Instant::now() + max_wait;
        let mut changes = self.member.changes();
        let initial_term = self.member.report().promised_term;
        loop {
            changes.mark_unchanged();
            let report = self.member.report();
            // The position cannot be confirmed once the member has promised a
            // higher term.
            let has_term_ended =
                report.promised_term != initial_term || initial_term > position.term;
            if has_term_ended || report.confirms(position) || Instant::now() >= deadline {
                return report;
            }
            tokio::select! {
                _ = changes.changed() => {}
                () = sleep_until(deadline) => {}
            }
        }
    }

    async fn fence(self, _context: Context, term: Term, proposer: ProposerId) -> ControlAnswer {
        self.member.fence(term, proposer)
    }

    async fn promote(self, _context: Context, term: Term, proposer: ProposerId) -> ControlAnswer {
        self.member.promote(term, proposer)
    }

    async fn follow(self, _context: Context, term: Term, primary: SocketAddr) -> ControlAnswer {
        self.member.follow(term, primary)
    }
}
