//! Connections of callers: listener, start-up and log-in.

pub mod cancel;
pub(crate) mod classification_cache;
pub mod context;
pub mod metrics;
pub(crate) mod scram;
pub(crate) mod startup;

use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use protocol::frame::{self, ErrorSeverity};
use protocol::result_code::ResultCode;
use socket2::{SockRef, TcpKeepalive};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use context::CallerContext;
use startup::{StartOutcome, StartupExchange};

/// Time limit for start-up and log-in.
const LOGIN_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause after a failed accept, for instance when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Time before the drain deadline at which the last statement is answered, so that its
/// session can still send the answer.
const ANSWER_RESERVE: Duration = Duration::from_millis(250);
/// Idle time before the first keep-alive probe to a caller.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(60);

/// Accepts and serves callers until the daemon shuts down. Then waits until the last
/// session has ended, at most for the `drain_ms` of the document.
pub async fn serve_callers(listener: TcpListener, context: Arc<CallerContext>) {
    let mut sessions = JoinSet::new();
    let mut shutdown = context.shutdown.clone();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => start_session(&mut sessions, stream, &context),
                Err(error) => {
                    log::warn!("cannot accept a caller connection: {error}");
                    sleep(ACCEPT_PAUSE).await;
                }
            },
            Some(_) = sessions.join_next() => {}
            () = shutdown_begins(&mut shutdown) => break,
        }
    }
    drop(listener);
    let drain_ms = context.current_document().document.deadlines.drain_ms;
    let drain = Duration::from_millis(drain_ms);
    context.set_answers_end(Instant::now() + drain.saturating_sub(ANSWER_RESERVE));
    let drained = timeout(drain, async {
        while sessions.join_next().await.is_some() {}
    });
    if drained.await.is_err() {
        log::warn!(
            "drain deadline passed with {} open sessions",
            sessions.len()
        );
    }
}

/// Waits until the daemon shuts down.
async fn shutdown_begins(shutdown: &mut watch::Receiver<bool>) {
    let _ = shutdown.wait_for(|stopping| *stopping).await;
}

fn start_session(sessions: &mut JoinSet<()>, stream: TcpStream, context: &Arc<CallerContext>) {
    if sessions.len() as u64 >= context.settings.caller_limit {
        sessions.spawn(refuse_connection(stream));
        return;
    }
    let context = context.clone();
    sessions.spawn(async move {
        context.metrics.callers.inc();
        if let Err(error) = serve_caller(stream, &context).await {
            log::debug!("caller connection ended with an error: {error}");
        }
        context.metrics.callers.dec();
    });
}

async fn refuse_connection(mut stream: TcpStream) {
    let mut out = BytesMut::new();
    let reason = "too many caller connections";
    frame::put_result(
        &mut out,
        ErrorSeverity::Fatal,
        ResultCode::QueueFull,
        reason,
    );
    let _ = timeout(LOGIN_TIMEOUT, stream.write_all(&out)).await;
}

async fn serve_caller(stream: TcpStream, context: &Arc<CallerContext>) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE_IDLE);
    SockRef::from(&stream).set_tcp_keepalive(&keepalive)?;
    // Boxed, so that an idle session does not hold the memory of the log-in.
    let login = Box::pin(StartupExchange::new(stream, context).run());
    let started = timeout(LOGIN_TIMEOUT, login).await;
    match started.map_err(io::Error::other)?? {
        StartOutcome::Session(session) => session.run().await,
        StartOutcome::Ended => Ok(()),
    }
}
