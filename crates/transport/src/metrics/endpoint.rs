//! The HTTP endpoint that serves the metrics.

use std::sync::Arc;

use axum::extract::State;
use axum::http::header::CONTENT_TYPE;
use axum::response::IntoResponse;
use axum::routing::get;
use axum::Router;
use tokio::net::TcpListener;

use super::DaemonMetrics;

/// Content type of the text format of Prometheus.
const TEXT_FORMAT: &str = "text/plain; version=0.0.4";

/// Serves `GET /metrics` until the returned future is dropped.
pub async fn serve_metrics(listener: TcpListener, metrics: Arc<DaemonMetrics>) {
    let router = Router::new()
        .route("/metrics", get(show_metrics))
        .with_state(metrics);
    if let Err(error) = axum::serve(listener, router).await {
        log::error!("the metrics endpoint failed: {error}");
    }
}

async fn show_metrics(State(metrics): State<Arc<DaemonMetrics>>) -> impl IntoResponse {
    ([(CONTENT_TYPE, TEXT_FORMAT)], metrics.render())
}
