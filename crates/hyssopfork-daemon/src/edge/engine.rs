//! Requests to engines: orders, probes and reports.

use bytes::Bytes;
use hyssopfork_exchange::{connection, error};
use hyssopfork_fleet::groups::order;
use hyssopfork_platform::{headers, order as platform_order};
use hyssopfork_wire::name;
use std::time::Duration;
use std::{io, net};
use tokio::time;

/// Timeout of an order. Orders are idempotent and are repeated.
const ORDER_TIMEOUT: Duration = Duration::from_millis(400);

/// Timeout of a probe. An engine responds within milliseconds, on a loaded machine within tens of
/// milliseconds. A lost packet fails the probe, which is then repeated on another connection. The
/// leader probes three times: with a timeout of 160 ms, a lost group was detected only 0.85 s after
/// its member's death.
const PROBE_TIMEOUT: Duration = Duration::from_millis(80);

/// Maximum size of a report, in bytes; reports have some hundred.
const MAX_REPORT_BYTES: usize = 64 << 10;

/// Sends an order.
pub async fn send_order(order: &order::Order) -> order::Outcome {
    let headers = [
        ("content-type".to_owned(), "application/json".to_owned()),
        (headers::EXPECTED_INSTANCE.to_owned(), order.instance.to_string()),
    ];
    let request =
        connection::Request { method: "POST", path: platform_order::PATH, headers: &headers };
    let body = Bytes::from(platform_order::encode_order(order));
    match time::timeout(ORDER_TIMEOUT, send_request(order.address, &request, body)).await {
        Ok(Ok((status, _))) => platform_order::parse_outcome(status),
        Ok(Err(error)) if is_refused(&error) => order::Outcome::Unreachable,
        Ok(Err(_)) | Err(_) => order::Outcome::Unknown,
    }
}

/// Probes whether an engine is alive.
pub async fn probe(address: net::SocketAddr) -> order::Liveness {
    let request =
        connection::Request { method: "GET", path: platform_order::REPORT_PATH, headers: &[] };
    match time::timeout(PROBE_TIMEOUT, send_request(address, &request, Bytes::new())).await {
        Ok(Ok(_)) => order::Liveness::Alive,
        Ok(Err(error)) if is_refused(&error) => order::Liveness::Refused,
        Ok(Err(_)) | Err(_) => order::Liveness::TimedOut,
    }
}

/// Opens a connection to an upstream.
pub async fn probe_connection(address: net::SocketAddr) -> order::Liveness {
    match time::timeout(PROBE_TIMEOUT, connection::Connection::connect(address)).await {
        Ok(Err(error)) if is_refused(&error) => order::Liveness::Refused,
        Ok(Err(_)) | Err(_) => order::Liveness::TimedOut,
        Ok(Ok(_)) => order::Liveness::Alive,
    }
}

/// Whether nothing listens at the address. Other errors, of a route or of this process, don't show that.
fn is_refused(error: &error::Error) -> bool {
    let error::Error::Unreachable(_, cause) = error else { return false };
    cause.kind() == io::ErrorKind::ConnectionRefused
}

/// Whether an address refuses connections, which means that its instance runs but nothing listens
/// there.
pub async fn refuses_connections(address: net::SocketAddr) -> bool {
    probe_connection(address).await == order::Liveness::Refused
}

/// Requests the report of an engine; `None` if none arrives, in which case the leader asks again.
pub async fn request_report(
    instance: &name::Instance,
    address: net::SocketAddr,
) -> Option<order::Report> {
    let request =
        connection::Request { method: "GET", path: platform_order::REPORT_PATH, headers: &[] };
    let (_, mut connection) =
        time::timeout(PROBE_TIMEOUT, send_request(address, &request, Bytes::new()))
            .await
            .ok()?
            .ok()?;
    let body = time::timeout(PROBE_TIMEOUT, connection.read_rest_up_to(MAX_REPORT_BYTES)).await;
    let body = body.ok()?.ok()?;
    platform_order::parse_report(&body)
        .inspect_err(|error| tracing::warn!(%instance, %error, "an engine sent an invalid report"))
        .ok()
}

/// Sends a request on a new connection; returns the status, and the connection for the body.
async fn send_request(
    address: net::SocketAddr,
    request: &connection::Request<'_>,
    body: Bytes,
) -> Result<(u16, connection::Connection), error::Error> {
    let mut connection = connection::Connection::connect(address).await?;
    connection.send(request, body).await?;
    let status = connection.read_head().await?.status;
    Ok((status, connection))
}
