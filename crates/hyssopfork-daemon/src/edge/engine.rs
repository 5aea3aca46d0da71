//! Orders to engines, and questions for a sign of life.

use bytes::Bytes;
use hyssopfork_exchange::{connection, error};
use hyssopfork_fleet::groups::order;
use hyssopfork_platform::{headers, order as wire};
use hyssopfork_wire::name;
use std::time::Duration;
use std::{io, net};
use tokio::time;

/// Time in which an order must be answered; it is idempotent and given again.
const ORDER_LIMIT: Duration = Duration::from_millis(400);

/// Time in which a sign of life must come. An engine answers within milliseconds, a loaded machine
/// of ours within tens; a packet that was lost shows as a missing sign, and the engine is asked again
/// on another connection. The leader asks three times: with 160 ms each, a lost group was known only
/// 0.85 s after its member's death.
const PROBE_LIMIT: Duration = Duration::from_millis(80);

/// Gives an order.
pub async fn order(order: &order::Order) -> order::Outcome {
    let told = [
        ("content-type".to_owned(), "application/json".to_owned()),
        (headers::EXPECTED_INSTANCE.to_owned(), order.instance.to_string()),
    ];
    let request = connection::Request { method: "POST", path: wire::PATH, headers: &told };
    let body = Bytes::from(wire::encode_order(order));
    match time::timeout(ORDER_LIMIT, exchange(order.address, &request, body)).await {
        Ok(Ok((status, _))) => wire::parse_outcome(status),
        Ok(Err(error::Error::Unreachable(..))) => order::Outcome::Unreachable,
        Ok(Err(_)) | Err(_) => order::Outcome::Unknown,
    }
}

/// Asks for a sign of life.
pub async fn probe(address: net::SocketAddr) -> order::Liveness {
    let request = connection::Request { method: "GET", path: wire::REPORT_PATH, headers: &[] };
    match time::timeout(PROBE_LIMIT, exchange(address, &request, Bytes::new())).await {
        Ok(Ok(_)) => order::Liveness::Alive,
        Ok(Err(error::Error::Unreachable(..))) => order::Liveness::Refused,
        Ok(Err(_)) | Err(_) => order::Liveness::TimedOut,
    }
}

/// Whether an address refuses connections: its instance is up, and nothing listens there.
pub async fn refuses(address: net::SocketAddr) -> bool {
    match time::timeout(PROBE_LIMIT, connection::Connection::connect(address)).await {
        Ok(Err(error::Error::Unreachable(_, cause))) => {
            cause.kind() == io::ErrorKind::ConnectionRefused
        }
        Ok(_) | Err(_) => false,
    }
}

/// Asks an engine for its report; `None` when none comes: the leader asks again.
pub async fn report(instance: &name::Instance, address: net::SocketAddr) -> Option<order::Report> {
    let request = connection::Request { method: "GET", path: wire::REPORT_PATH, headers: &[] };
    let (_, mut connection) =
        time::timeout(PROBE_LIMIT, exchange(address, &request, Bytes::new())).await.ok()?.ok()?;
    let body = time::timeout(PROBE_LIMIT, connection.read_rest()).await.ok()?.ok()?;
    wire::parse_report(&body)
        .inspect_err(|error| tracing::warn!(%instance, %error, "an engine's report can't be read"))
        .ok()
}

/// Sends a request on a connection of its own; its status, and the connection for the body.
async fn exchange(
    address: net::SocketAddr,
    request: &connection::Request<'_>,
    body: Bytes,
) -> Result<(u16, connection::Connection), error::Error> {
    let mut connection = connection::Connection::connect(address).await?;
    connection.send(request, body).await?;
    let status = connection.read_head().await?.status;
    Ok((status, connection))
}
