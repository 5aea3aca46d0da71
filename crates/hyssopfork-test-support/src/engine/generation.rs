//! Generation of one completion.

use super::Engine;
use crate::{fault_injection, http, token};
use actix_http::body::BoxBody;
use actix_http::{Request, Response, StatusCode};
use bytes::Bytes;
use futures::{Stream, stream};
use serde_json::Value;
use std::io;
use std::sync::Arc;
use std::time::Duration;

/// Default of `max_tokens`.
const DEFAULT_TOKENS: u64 = 16;
/// Header with the number of events that the client has received.
const RESUME_HEADER: &str = "hyssopfork-resume-from";
/// Speedup of prompt processing for a cached prefix.
const CACHED_PREFILL_SPEEDUP: u32 = 10;

/// A running completion; counted as cancelled when dropped before its end.
struct Completion {
    engine: Arc<Engine>,
    incarnation: u64,
    endpoint: token::Endpoint,
    stem: String,
    next_token: u64,
    token_count: u64,
    sent_events: usize,
    cut_after: Option<usize>,
    is_finished: bool,
}

/// Runs a completion and responds with one JSON document or with a stream of events.
pub(super) async fn run(
    engine: Arc<Engine>,
    endpoint: token::Endpoint,
    request: &Request,
    body: &Bytes,
) -> Response<BoxBody> {
    let Ok(parsed) = serde_json::from_slice::<Value>(body) else {
        return super::error_response(StatusCode::BAD_REQUEST, "the body is not JSON");
    };
    let prompt = prompt(endpoint, &parsed);
    let mut completion = match start_completion(engine, endpoint, &prompt, &parsed, request) {
        Ok(completion) => completion,
        Err(response) => return response,
    };
    let prefill_time = completion.prefill_time(&prompt);
    actix_rt::time::sleep(prefill_time).await;
    if parsed["stream"].as_bool().unwrap_or(false) {
        completion.next_token = resume_from(&completion, request).min(completion.token_count);
        return http::events(events(completion));
    }
    respond_unstreamed(completion, request).await
}

fn prompt(endpoint: token::Endpoint, parsed: &Value) -> String {
    match endpoint {
        token::Endpoint::Completions => parsed["prompt"].as_str().unwrap_or_default().to_owned(),
        token::Endpoint::ChatCompletions => parsed["messages"].to_string(),
    }
}

fn start_completion(
    engine: Arc<Engine>,
    endpoint: token::Endpoint,
    prompt: &str,
    parsed: &Value,
    request: &Request,
) -> Result<Completion, Response<BoxBody>> {
    let mut state = engine.state();
    if http::is_connected_to_earlier(request, state.incarnation) {
        return Err(http::drop_connection(request));
    }
    if state.loaded.as_ref().is_none_or(|loaded| loaded.rank != 0) {
        state.counts.misdirected += 1;
        return Err(super::error_response(
            StatusCode::SERVICE_UNAVAILABLE,
            "holds no model to serve",
        ));
    }
    let cold = state.completed_since_start < engine.profile.warmup_requests;
    if cold && state.running >= engine.profile.cold_capacity {
        state.counts.crashes += 1;
        super::restart(&mut state);
        state.faults.apply(fault_injection::Command::Die(engine.profile.downtime));
        return Err(http::drop_connection(request));
    }
    state.running += 1;
    state.counts.started += 1;
    let incarnation = state.incarnation;
    let cut_after = state.faults.cut_after.take();
    drop(state);
    let token_count = parsed["max_tokens"].as_u64().unwrap_or(DEFAULT_TOKENS);
    let stem = token::stem(prompt);
    Ok(Completion {
        engine,
        incarnation,
        endpoint,
        stem,
        next_token: 0,
        token_count,
        sent_events: 0,
        cut_after,
        is_finished: false,
    })
}

fn resume_from(completion: &Completion, request: &Request) -> u64 {
    if !completion.engine.profile.resumes {
        return 0;
    }
    let text = http::header_text(request, RESUME_HEADER);
    text.and_then(|text| text.parse().ok()).unwrap_or(0)
}

impl Completion {
    fn prefill_time(&self, prompt: &str) -> Duration {
        let mut state = self.engine.state();
        let time = self.engine.profile.prefill_time;
        let delay = state.faults.delay;
        if state.prefix_cache.insert(prompt) {
            delay + time / CACHED_PREFILL_SPEEDUP
        } else {
            delay + time
        }
    }

    /// Returns the time to the next token, which grows for all requests when more run than there are
    /// slots.
    fn token_time(&self) -> Duration {
        let running = self.engine.state().running.max(1);
        let rounds = running.div_ceil(self.engine.profile.slots.max(1));
        self.engine.profile.token_time * rounds
    }

    /// Waits for the next token; fails if the engine has crashed in the meantime.
    async fn wait_for_token(&self) -> Result<(), io::Error> {
        actix_rt::time::sleep(self.token_time()).await;
        fault_injection::wait_while_stalled(|| self.engine.state().faults.is_stalled).await;
        if self.engine.state().incarnation == self.incarnation {
            Ok(())
        } else {
            Err(io::Error::other("the engine crashed"))
        }
    }

    fn finish(&mut self) {
        self.is_finished = true;
        let mut state = self.engine.state();
        if state.incarnation == self.incarnation {
            state.running = state.running.saturating_sub(1);
            state.completed_since_start = state.completed_since_start.saturating_add(1);
            state.counts.completed += 1;
        }
    }

    /// Returns the next event; must not be called again after an error or the end marker.
    async fn next_event(&mut self) -> Result<Bytes, io::Error> {
        if self.cut_after.is_some_and(|limit| self.sent_events >= limit) {
            return Err(io::Error::other("response cut off by an injected fault"));
        }
        self.sent_events += 1;
        if self.next_token >= self.token_count {
            self.finish();
            return Ok(Bytes::from_static(token::DONE_EVENT.as_bytes()));
        }
        self.wait_for_token().await?;
        let event = token::token_event(self.endpoint, &self.stem, self.next_token);
        self.next_token += 1;
        Ok(Bytes::from(event))
    }
}

impl Drop for Completion {
    fn drop(&mut self) {
        if self.is_finished {
            return;
        }
        let mut state = self.engine.state();
        if state.incarnation == self.incarnation {
            state.running = state.running.saturating_sub(1);
            state.counts.cancelled += 1;
        }
    }
}

fn events(completion: Completion) -> impl Stream<Item = Result<Bytes, io::Error>> {
    stream::unfold(Some(completion), |completion| async move {
        let mut completion = completion?;
        if completion.is_finished {
            return None;
        }
        match completion.next_event().await {
            Ok(bytes) => Some((Ok(bytes), Some(completion))),
            Err(error) => Some((Err(error), None)),
        }
    })
}

async fn respond_unstreamed(mut completion: Completion, request: &Request) -> Response<BoxBody> {
    for _ in 0..completion.token_count {
        if completion.wait_for_token().await.is_err() {
            return http::drop_connection(request);
        }
    }
    completion.finish();
    let body = token::completion(completion.endpoint, &completion.stem, completion.token_count);
    http::sized_json(StatusCode::OK, Bytes::from(body.to_string()), completion.cut_after)
}
