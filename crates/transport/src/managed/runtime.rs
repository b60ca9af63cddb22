//! Starts and stops an entry host for managed groups.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use axum::routing::get;
use axum::Router;
use coordination::managed::drain::DrainSchedule;
use state::clock::{BootTimeClock, MonotonicClock};
use state::entry::EntrySettings;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::{yield_now, AbortHandle, JoinSet};
use tokio::time::sleep;

use super::acceptor::accept_callers;
use super::account_limits::request_allotments;
use super::change_driver::ChangeDriver;
use super::codec::StatementCodec;
use super::context::{HostContext, ServicePhase};
use super::group_watch::watch_group;
use super::host_platform::HostPlatform;
use super::plan_follower::follow_plan;
use super::presence_follower::follow_hosts;
use super::relay::{follow_reader, serve_relay};
use super::store_follower::{follow_group_rows, follow_server_list};

/// Interval at which the host looks for groups that are not watched yet.
const GROUP_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which a stopping host looks for statements that it cannot serve any more.
const REFUSAL_INTERVAL: Duration = Duration::from_millis(200);
/// Time for which the platform may still send new callers to a host that reports
/// that it is not ready: two probes, one second apart, and their timeout.
const READINESS_DELAY: Duration = Duration::from_millis(2_500);

/// Result of starting a host.
pub type Result<T> = std::result::Result<T, StartError>;

/// Why a host cannot start.
#[derive(Debug)]
pub enum StartError {
    /// The host cannot listen on an address.
    Listen {
        /// The address.
        address: SocketAddr,
        /// Error of the operating system.
        error: std::io::Error,
    },
}

impl std::fmt::Display for StartError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Listen { address, error } => {
                write!(formatter, "cannot listen on {address}: {error}")
            }
        }
    }
}

/// A running entry host. Its tasks end when it is dropped.
#[derive(Debug)]
pub struct EntryHost<K: StatementCodec> {
    context: Arc<HostContext<K, BootTimeClock>>,
    tasks: JoinSet<()>,
    /// Ends the task that accepts callers.
    acceptor: AbortHandle,
}

impl<K: StatementCodec> EntryHost<K> {
    /// Opens the host's listeners and starts its tasks.
    ///
    /// # Errors
    ///
    /// Fails if the host cannot listen on one of its addresses.
    pub async fn start<P: HostPlatform>(settings: EntrySettings, platform: P) -> Result<Self> {
        let callers = listen(settings.caller_address).await?;
        let metrics = listen(settings.metrics_address).await?;
        let relay = listen(settings.relay_address).await?;
        let clock = BootTimeClock;
        let context = HostContext::<K, _>::new(settings, clock);
        let mut tasks = JoinSet::new();
        tasks.spawn(follow_plan(context.clone(), platform.clone()));
        tasks.spawn(follow_group_rows(context.clone(), platform.clone()));
        tasks.spawn(follow_server_list(context.clone(), platform.clone()));
        tasks.spawn(follow_hosts(context.clone(), platform.clone()));
        tasks.spawn(watch_groups(context.clone(), platform));
        tasks.spawn(serve_relay(relay, context.clone()));
        tasks.spawn(follow_reader(context.clone()));
        tasks.spawn(request_allotments(context.clone()));
        tasks.spawn(serve_metrics(context.clone(), metrics));
        let acceptor = tasks.spawn(accept_callers(context.clone(), callers));
        Ok(Self {
            context,
            tasks,
            acceptor,
        })
    }

    /// Returns a function that tells whether the host can serve new callers.
    pub fn readiness(&self) -> impl Fn() -> bool + Clone + Send + Sync + 'static {
        let context = self.context.clone();
        move || context.is_ready()
    }

    /// Applies changed settings. Returns the changed keys that take effect only
    /// after a restart.
    pub fn reload(&self, settings: &EntrySettings) -> Vec<&'static str> {
        self.context.reload(settings)
    }

    /// Waits until a task of the host ends. Tasks end only if they fail.
    pub async fn wait(&mut self) {
        if let Some(Err(error)) = self.tasks.join_next().await {
            log::error!(reason = error.to_string().as_str(); "a task of the entry host failed");
        }
    }

    /// Stops serving; see [`DrainSchedule`]. Idle sessions end first. Statements are
    /// served as long as they can be answered before the process exits, and the others are
    /// refused.
    pub async fn shut_down(mut self) {
        let grace = self.context.grace();
        let schedule = DrainSchedule::new(Instant::now(), grace);
        self.log_phase("draining");
        self.context.begin_drain(schedule);
        self.tasks.spawn(refuse_unservable(self.context.clone()));
        sleep(READINESS_DELAY.min(grace / 2)).await;
        await_zero(self.context.sessions(), schedule.transactions_end).await;
        self.context.phase.send_replace(ServicePhase::Closing);
        await_zero(self.context.sessions(), schedule.answers_end).await;
        self.acceptor.abort();
        // The task ends now, so that no session begins after the wait below.
        yield_now().await;
        await_zero(self.context.sessions(), schedule.exit_at).await;
        await_zero(self.context.forwarded(), schedule.exit_at).await;
        self.context.phase.send_replace(ServicePhase::Stopping);
        self.log_phase("stopped");
        self.tasks.shutdown().await;
    }

    /// Logs what is open at the begin or the end of a stop.
    fn log_phase(&self, phase: &str) {
        let sessions = *self.context.sessions().borrow();
        let forwarded = *self.context.forwarded().borrow();
        let (waiting, in_flight) = self.context.unanswered();
        log::info!(sessions, waiting, in_flight, forwarded; "{phase}");
    }
}

/// Refuses statements that a stopping host cannot serve any more, until the returned future
/// is dropped.
async fn refuse_unservable<K: StatementCodec>(context: Arc<HostContext<K, BootTimeClock>>) {
    loop {
        sleep(REFUSAL_INTERVAL).await;
        context.refuse_unservable();
    }
}

/// Waits until the count is zero or the deadline passes.
async fn await_zero(mut count: watch::Receiver<usize>, deadline: Instant) {
    let all_ended = count.wait_for(|count| *count == 0);
    // Reaching the deadline is not an error.
    let _in_time = tokio::time::timeout_at(deadline.into(), all_ended).await;
}

async fn listen(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .map_err(|error| StartError::Listen { address, error })
}

/// Starts a watch task for each new group until the returned future is dropped.
async fn watch_groups<P: HostPlatform, K: StatementCodec, C: MonotonicClock>(
    context: Arc<HostContext<K, C>>,
    platform: P,
) {
    let driver = ChangeDriver::new(context.clone(), platform);
    let mut watched = HashSet::new();
    let mut watches = JoinSet::new();
    loop {
        for group in context.groups() {
            if watched.insert(group.name.clone()) {
                watches.spawn(watch_group(context.clone(), group, driver.clone()));
            }
        }
        sleep(GROUP_INTERVAL).await;
    }
}

async fn serve_metrics<K: StatementCodec, C: MonotonicClock>(
    context: Arc<HostContext<K, C>>,
    listener: TcpListener,
) {
    let render = move || std::future::ready(context.metrics.render());
    let router = Router::new().route("/metrics", get(render));
    if let Err(error) = axum::serve(listener, router).await {
        log::error!("metrics endpoint failed: {error}");
    }
}
