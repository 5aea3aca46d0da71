//! The HTTP server of each process for health, readiness and metrics.

use crate::http;
use actix_http::StatusCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::{io, net};

/// Whether a role accepts new work, as reported to the load balancer.
#[derive(Debug, Default)]
pub struct Readiness {
    ready: AtomicBool,
}

impl Readiness {
    /// Sets whether the role accepts new work.
    pub fn set(&self, ready: bool) {
        self.ready.store(ready, Ordering::Relaxed);
    }

    /// Whether the role accepts new work.
    pub fn get(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }
}

/// Serves `/healthz`, `/readyz` and `/metrics`.
pub fn serve(
    listener: net::TcpListener,
    readiness: Vec<Arc<Readiness>>,
    encode: impl Fn() -> String + Clone + Send + 'static,
) -> io::Result<()> {
    http::serve("monitor", listener, 1, http::Limits::default(), move |request| {
        let response = match request.path() {
            "/healthz" => http::text(StatusCode::OK, "alive\n"),
            "/readyz" => readiness_response(readiness.iter().all(|role| role.get())),
            "/metrics" => http::text(StatusCode::OK, encode()),
            _ => http::text(StatusCode::NOT_FOUND, "ask for /healthz, /readyz or /metrics\n"),
        };
        async move { response }
    })?;
    Ok(())
}

/// The response to a readiness check.
pub fn readiness_response(ready: bool) -> http::Response {
    if ready {
        return http::text(StatusCode::OK, "ready\n");
    }
    http::text(StatusCode::SERVICE_UNAVAILABLE, "leaving, or without a recent configuration\n")
}
