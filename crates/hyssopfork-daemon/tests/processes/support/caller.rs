//! A caller of an entry.

use super::fleet;
use actix_http::StatusCode;
use bytes::Bytes;
use std::net::SocketAddr;
use std::time::Duration;

/// Longest time that a caller waits.
const TIMEOUT: Duration = Duration::from_secs(30);

/// What a caller got.
#[derive(Debug)]
pub struct Got {
    /// HTTP status; `None` when no head came.
    pub status: Option<StatusCode>,
    /// The body as far as it came.
    pub body: Bytes,
    /// Whether the answer's own framing says that it is whole.
    pub whole: bool,
    /// The Retry-After header.
    pub retry_after: Option<String>,
}

impl Got {
    /// Whether the caller has a whole good answer.
    pub fn is_answer(&self) -> bool {
        self.whole && self.status.is_some_and(|status| status.is_success())
    }

    /// Whether the refusal says that the work did not run.
    pub fn says_not_run(&self) -> bool {
        self.text().contains("\"ran\":\"not_run\"")
    }

    /// Whether the refusal says that the work may have run.
    pub fn says_may_have_run(&self) -> bool {
        self.text().contains("\"ran\":\"may_have_run\"")
    }

    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Sends a request as the one team, with a key where one is given.
pub async fn post(entry: SocketAddr, path: &str, key: Option<&str>, body: &str) -> Got {
    let client = awc::Client::builder().disable_timeout().finish();
    let mut request = client
        .post(format!("http://{entry}{path}"))
        .timeout(TIMEOUT)
        .insert_header(("authorization", format!("Bearer {}", fleet::TOKEN)))
        .insert_header(("content-type", "application/json"));
    if let Some(key) = key {
        request = request.insert_header(("idempotency-key", key));
    }
    receive(request.send_body(body.to_owned()).await).await
}

/// Asks with GET as the one team.
pub async fn get(entry: SocketAddr, path: &str) -> Got {
    let client = awc::Client::builder().disable_timeout().finish();
    let request = client
        .get(format!("http://{entry}{path}"))
        .timeout(TIMEOUT)
        .insert_header(("authorization", format!("Bearer {}", fleet::TOKEN)));
    receive(request.send().await).await
}

async fn receive<S>(sent: Result<awc::ClientResponse<S>, awc::error::SendRequestError>) -> Got
where
    S: futures::Stream<Item = Result<Bytes, awc::error::PayloadError>> + Unpin,
{
    use futures::StreamExt;
    let Ok(mut response) = sent else {
        return Got { status: None, body: Bytes::new(), whole: false, retry_after: None };
    };
    let status = Some(response.status());
    let retry_after = response
        .headers()
        .get("retry-after")
        .and_then(|value| value.to_str().ok())
        .map(str::to_owned);
    let mut body = Vec::new();
    let mut whole = true;
    while let Some(part) = response.next().await {
        match part {
            Ok(part) => body.extend_from_slice(&part),
            Err(_) => {
                whole = false;
                break;
            }
        }
    }
    let whole = whole && is_whole(&body);
    Got { status, body: Bytes::from(body), whole, retry_after }
}

/// Whether a body's own form shows that nothing is missing: the client library takes a connection
/// that broke in the middle for a clean end.
fn is_whole(body: &[u8]) -> bool {
    let text = String::from_utf8_lossy(body);
    if text.starts_with("data:") || text.starts_with("event:") {
        return text.ends_with("data: [DONE]\n\n");
    }
    serde_json::from_str::<serde_json::Value>(&text).is_ok()
}

/// A streamed completion's request body.
pub fn completion(tokens: u32) -> String {
    format!(
        r#"{{"model":"model-1","prompt":"emissions of plant 7","max_tokens":{tokens},"stream":true}}"#
    )
}
