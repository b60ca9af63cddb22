//! Usage caps of client accounts: takes a token for each operation, and requests tokens
//! from the accounts' allocators.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use coordination::managed::allotment::{
    AllotmentBook, AllotmentLedger, AllotmentRules, DueRequest, TakeOutcome, REQUEST_TIMEOUT,
};
use protocol::relay::RelayServiceClient;
use state::account::{ClientAccount, UsageCap};
use state::allotment::{AllotmentReply, AllotmentRequest};
use state::clock::MonotonicClock;
use state::plan::RoutePlan;
use state::reading::LiveHost;
use tokio::sync::{watch, Notify};
use tokio::time::timeout;

use super::codec::StatementCodec;
use super::context::HostContext;
use super::metrics::EntryMetrics;
use super::relay::open_channel;
use crate::rpc::RpcChannel;

/// Longest wait of an operation for a token. A request to the farthest allocator takes
/// 16 ms, and one that waits for the end of another one twice as long.
const TOKEN_WAIT: Duration = Duration::from_millis(150);
/// Interval at which the host looks for requests that are due.
const REQUEST_TICK: Duration = Duration::from_millis(25);
/// Shortest interval between two log lines about refusals.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The usage caps at this host.
#[derive(Debug)]
pub(super) struct AccountLimits<C> {
    host: String,
    clock: C,
    state: Mutex<LimitState>,
    /// Whether the plan has caps. Without caps the task of this module sleeps.
    has_caps: watch::Sender<bool>,
    /// Notified when an operation begins to wait.
    demanded: Notify,
    /// Counts the replies of allocators.
    granted: watch::Sender<u64>,
}

#[derive(Debug)]
struct LimitState {
    book: AllotmentBook,
    ledger: AllotmentLedger,
    addresses: HashMap<String, SocketAddr>,
    /// Refusals since the last log line about them.
    refused: u64,
    logged_at: Option<Instant>,
}

impl<C: MonotonicClock> AccountLimits<C> {
    pub(super) fn new(host: &str, clock: C) -> Self {
        let rules = AllotmentRules::default();
        let state = LimitState {
            book: AllotmentBook::new(host, rand::random(), rules),
            ledger: AllotmentLedger::new(host, rules),
            addresses: HashMap::new(),
            refused: 0,
            logged_at: None,
        };
        Self {
            host: host.to_owned(),
            clock,
            state: Mutex::new(state),
            has_caps: watch::Sender::new(false),
            demanded: Notify::new(),
            granted: watch::Sender::new(0),
        }
    }

    fn lock(&self) -> MutexGuard<'_, LimitState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies the caps of a plan.
    pub(super) fn set_plan(&self, plan: &RoutePlan) {
        let now = self.clock.now();
        let cap_of = |account: &ClientAccount| -> Option<UsageCap> { account.cap };
        let caps = || {
            let accounts = plan.accounts.iter();
            accounts.filter_map(|account| Some((account.name.as_str(), cap_of(account)?)))
        };
        let mut state = self.lock();
        state.book.set_plan(caps(), now);
        state.ledger.set_plan(caps(), now);
        self.has_caps.send_replace(state.book.has_caps());
    }

    /// Applies the live hosts.
    pub(super) fn set_hosts(&self, live: &[LiveHost]) {
        let now = self.clock.now();
        let names: Vec<&str> = live.iter().map(|host| host.name.as_str()).collect();
        let mut state = self.lock();
        state.book.set_hosts(&names, now);
        state.ledger.set_hosts(&names, now);
        state.addresses = live
            .iter()
            .map(|host| (host.name.clone(), host.relay_address))
            .collect();
    }

    /// Answers a request. `confirmed_at` is when the plan was last confirmed.
    pub(super) fn grant(
        &self,
        request: &AllotmentRequest,
        confirmed_at: Option<Instant>,
    ) -> AllotmentReply {
        let now = self.clock.now();
        let mut state = self.lock();
        if let Some(confirmed_at) = confirmed_at {
            state.ledger.record_confirmation(confirmed_at);
        }
        state.ledger.grant(request, now)
    }

    /// Takes a token for an operation, and waits for one for a short time.
    ///
    /// # Errors
    ///
    /// The time until there may be tokens, if the account is over its cap.
    pub(super) async fn admit(
        &self,
        account: &ClientAccount,
        statement_timeout: Duration,
        metrics: &EntryMetrics,
    ) -> std::result::Result<(), Duration> {
        if account.cap.is_none() {
            return Ok(());
        }
        let name = account.name.as_str();
        let mut replies = self.granted.subscribe();
        let first = self.lock().book.try_take(name, self.clock.now());
        let retry_after = match first {
            TakeOutcome::Taken => {
                metrics.count_cap_operations("taken", 1);
                return Ok(());
            }
            TakeOutcome::Refused { retry_after } => retry_after,
            TakeOutcome::Waiting => {
                let _waiter = Waiter {
                    limits: self,
                    account: name,
                };
                self.demanded.notify_one();
                metrics.count_cap_operations("waited", 1);
                let wait = TOKEN_WAIT.min(statement_timeout / 4);
                match timeout(wait, self.await_token(name, &mut replies)).await {
                    Ok(Ok(())) => {
                        metrics.count_cap_operations("taken", 1);
                        return Ok(());
                    }
                    Ok(Err(retry_after)) => retry_after,
                    Err(_) => self.lock().book.retry_after(name, self.clock.now()),
                }
            }
        };
        metrics.count_cap_operations("refused", 1);
        self.log_refusal(account, retry_after);
        Err(retry_after)
    }

    async fn await_token(
        &self,
        account: &str,
        replies: &mut watch::Receiver<u64>,
    ) -> std::result::Result<(), Duration> {
        loop {
            if replies.changed().await.is_err() {
                return Err(TOKEN_WAIT);
            }
            match self.lock().book.retry_take(account, self.clock.now()) {
                TakeOutcome::Taken => return Ok(()),
                TakeOutcome::Refused { retry_after } => return Err(retry_after),
                TakeOutcome::Waiting => {}
            }
        }
    }

    fn log_refusal(&self, account: &ClientAccount, retry_after: Duration) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.refused += 1;
        let is_recent = |at: Instant| now.saturating_duration_since(at) < LOG_INTERVAL;
        if state.logged_at.is_some_and(is_recent) {
            return;
        }
        state.logged_at = Some(now);
        let refused = std::mem::take(&mut state.refused);
        drop(state);
        let retry_ms = retry_after.as_millis() as u64;
        let cap = account.cap.unwrap_or(UsageCap {
            rate_per_s: 0.0,
            burst: 0.0,
        });
        log::info!(
            account = account.name.as_str(), refused, retry_ms,
            rate_per_s = cap.rate_per_s, burst = cap.burst;
            "account over its cap"
        );
    }

    fn record_reply(
        &self,
        due: &DueRequest,
        sent_at: Instant,
        reply: Option<&AllotmentReply>,
    ) -> u64 {
        let now = self.clock.now();
        let mut state = self.lock();
        let usable = match reply {
            Some(reply) => state.book.record_grant(due, sent_at, reply, now),
            None => {
                state.book.record_failure(due, now);
                0
            }
        };
        drop(state);
        self.granted.send_modify(|count| *count += 1);
        usable
    }
}

/// Counts an operation as waiting until it is dropped.
struct Waiter<'a, C: MonotonicClock> {
    limits: &'a AccountLimits<C>,
    account: &'a str,
}

impl<C: MonotonicClock> Drop for Waiter<'_, C> {
    fn drop(&mut self) {
        self.limits.lock().book.end_wait(self.account);
    }
}

/// Requests tokens from allocators until the returned future is dropped. Sleeps while
/// the plan has no caps.
pub(super) async fn request_allotments<K: StatementCodec, C: MonotonicClock>(
    context: Arc<HostContext<K, C>>,
) {
    let limits = &context.limits;
    let mut has_caps = limits.has_caps.subscribe();
    let mut channels: HashMap<SocketAddr, RpcChannel<RelayServiceClient>> = HashMap::new();
    loop {
        if has_caps.wait_for(|has_caps| *has_caps).await.is_err() {
            return;
        }
        // An operation that begins to wait and the end of the tick both lead to a new look.
        let _demanded = timeout(REQUEST_TICK, limits.demanded.notified()).await;
        let sent_at = limits.clock.now();
        let (due, addresses) = {
            let mut state = limits.lock();
            let due = state.book.requests_due(sent_at);
            if due.is_empty() {
                continue;
            }
            (due, state.addresses.clone())
        };
        channels.retain(|address, _| addresses.values().any(|known| known == address));
        for due in due {
            let demands = due.request.demands.iter();
            let requested = demands.map(|demand| demand.needed).sum();
            context.metrics.count_cap_operations("requested", requested);
            if due.allocator == limits.host {
                let reply = limits.grant(&due.request, context.plan_confirmed_at());
                record(&context, &due, sent_at, Some(&reply));
                continue;
            }
            let Some(address) = addresses.get(&due.allocator) else {
                record(&context, &due, sent_at, None);
                continue;
            };
            let channel = channels
                .entry(*address)
                .or_insert_with(|| open_channel(*address, Duration::ZERO));
            tokio::spawn(send_request(context.clone(), channel.clone(), due, sent_at));
        }
    }
}

async fn send_request<K: StatementCodec, C: MonotonicClock>(
    context: Arc<HostContext<K, C>>,
    channel: RpcChannel<RelayServiceClient>,
    due: DueRequest,
    sent_at: Instant,
) {
    let request = due.request.clone();
    let call = move |client: RelayServiceClient, rpc| async move {
        client.request_allotments(rpc, request).await
    };
    let reply = channel.call(REQUEST_TIMEOUT, call).await;
    if let Err(error) = &reply {
        let (host, reason) = (due.allocator.as_str(), error.to_string());
        log::debug!(host, reason = reason.as_str(); "allocator does not reply");
        context.metrics.count_cap_operations("request_failed", 1);
    }
    record(&context, &due, sent_at, reply.ok().as_ref());
}

fn record<K: StatementCodec, C: MonotonicClock>(
    context: &HostContext<K, C>,
    due: &DueRequest,
    sent_at: Instant,
    reply: Option<&AllotmentReply>,
) {
    let usable = context.limits.record_reply(due, sent_at, reply);
    context.metrics.count_cap_operations("granted", usable);
}
