//! Client of the `tarpc` service `protocol::member_control`, through which
//! daemons control members.

use std::net::SocketAddr;
use std::time::Duration;

use protocol::member_control::{ControlAnswer, MemberControlServiceClient, ProposerId};
use state::log::{LogPosition, Term};
use state::member::MemberReport;
use tarpc::client::{self, NewClient};

use crate::rpc::{
    frame_stream, ControlMeter, MeteredStream, RpcChannel, RpcConnection, RpcOptions,
};
use crate::services::{ControlFactory, MemberControl, Result, ServiceError};

/// Maximum size of a member control message; reports take about 100 bytes.
const FRAME_LIMIT_BYTES: usize = 4_096;

/// Creates [`MemberClient`]s that count their traffic in one meter.
#[derive(Clone, Debug, Default)]
pub struct MemberClientFactory {
    meter: ControlMeter,
}

impl MemberClientFactory {
    /// Builds a factory whose clients count their bytes in `meter`.
    pub fn new(meter: ControlMeter) -> Self {
        Self { meter }
    }
}

impl ControlFactory for MemberClientFactory {
    type Control = MemberClient;

    fn control(&self, address: SocketAddr, timeout: Duration) -> MemberClient {
        let options = RpcOptions {
            address,
            timeout,
            meter: self.meter.clone(),
        };
        MemberClient {
            channel: RpcChannel::new(options, open_connection),
        }
    }
}

fn open_connection(stream: MeteredStream) -> RpcConnection<MemberControlServiceClient> {
    let meter = stream.meter().clone();
    let transport = frame_stream(stream, FRAME_LIMIT_BYTES);
    let NewClient { client, dispatch } =
        MemberControlServiceClient::new(client::Config::default(), transport);
    RpcConnection::spawn(client, dispatch, meter)
}

/// Client of one member; it reconnects after its connection has failed.
#[derive(Clone, Debug)]
pub struct MemberClient {
    channel: RpcChannel<MemberControlServiceClient>,
}

impl MemberControl for MemberClient {
    async fn report(&self) -> Result<MemberReport> {
        let call = |client: MemberControlServiceClient, context| async move {
            client.report(context).await
        };
        check_report(self.channel.call(Duration::ZERO, call).await?)
    }

    async fn await_position(
        &self,
        position: LogPosition,
        max_wait: Duration,
    ) -> Result<MemberReport> {
        let call = move |client: MemberControlServiceClient, context| async move {
            client.await_position(context, position, max_wait).await
        };
        check_report(self.channel.call(max_wait, call).await?)
    }

    async fn fence(&self, term: Term, proposer: ProposerId) -> Result<MemberReport> {
        let call = move |client: MemberControlServiceClient, context| async move {
            client.fence(context, term, proposer).await
        };
        check_answer(self.channel.call(Duration::ZERO, call).await?)
    }

    async fn promote(&self, term: Term, proposer: ProposerId) -> Result<MemberReport> {
        let call = move |client: MemberControlServiceClient, context| async move {
            client.promote(context, term, proposer).await
        };
        check_answer(self.channel.call(Duration::ZERO, call).await?)
    }

    async fn follow(&self, term: Term, primary: SocketAddr) -> Result<MemberReport> {
        let call = move |client: MemberControlServiceClient, context| async move {
            client.follow(context, term, primary).await
        };
        check_answer(self.channel.call(Duration::ZERO, call).await?)
    }
}

fn check_answer(answer: ControlAnswer) -> Result<MemberReport> {
    check_report(answer.map_err(ServiceError::Refused)?)
}

fn check_report(report: MemberReport) -> Result<MemberReport> {
    if report.is_consistent() {
        return Ok(report);
    }
    Err(ServiceError::BadAnswer(format!(
        "the member sent an inconsistent report: {report:?}"
    )))
}
