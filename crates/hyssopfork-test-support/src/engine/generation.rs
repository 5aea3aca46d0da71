//! One completion: prompt, tokens, end.

use super::Engine;
use crate::{http, impairment, token};
use actix_http::body::BoxBody;
use actix_http::{Request, Response, StatusCode};
use bytes::Bytes;
use futures::{Stream, stream};
use serde_json::Value;
use std::io;
use std::sync::Arc;
use std::time::Duration;

/// Tokens of an answer when the request names no number.
const TOKENS: u64 = 16;
/// Header with the number of events that the caller has.
const RESUME_HEADER: &str = "hyssopfork-resume-from";
/// How much faster a prompt is read whose prefix is held.
const HELD_SPEEDUP: u32 = 10;

/// A running completion; counts itself as cancelled when dropped before its end.
struct Run {
    engine: Arc<Engine>,
    incarnation: u64,
    shape: token::Shape,
    stem: String,
    next: u64,
    count: u64,
    sent: usize,
    cut: Option<usize>,
    ended: bool,
}

/// Runs a completion and answers it whole or as events.
pub(super) async fn run(
    engine: Arc<Engine>,
    shape: token::Shape,
    request: &Request,
    body: &Bytes,
) -> Response<BoxBody> {
    let Ok(parsed) = serde_json::from_slice::<Value>(body) else {
        return super::problem(StatusCode::BAD_REQUEST, "the body is not JSON");
    };
    let prompt = prompt(shape, &parsed);
    let mut run = match begin(engine, shape, &prompt, &parsed, request) {
        Ok(run) => run,
        Err(response) => return response,
    };
    let time = run.prompt_time(&prompt);
    actix_rt::time::sleep(time).await;
    if parsed["stream"].as_bool().unwrap_or(false) {
        run.next = resume_from(&run, request).min(run.count);
        return http::events(events(run));
    }
    whole(run, request).await
}

fn prompt(shape: token::Shape, parsed: &Value) -> String {
    match shape {
        token::Shape::Text => parsed["prompt"].as_str().unwrap_or_default().to_owned(),
        token::Shape::Chat => parsed["messages"].to_string(),
    }
}

fn begin(
    engine: Arc<Engine>,
    shape: token::Shape,
    prompt: &str,
    parsed: &Value,
    request: &Request,
) -> Result<Run, Response<BoxBody>> {
    let mut state = engine.state();
    if state.loaded.as_ref().is_none_or(|loaded| loaded.rank != 0) {
        state.counts.misdirected += 1;
        return Err(super::problem(StatusCode::SERVICE_UNAVAILABLE, "holds no model to serve"));
    }
    let cold = state.since_start < engine.profile.warm_after;
    if cold && state.running >= engine.profile.cold_bearing {
        state.counts.falls += 1;
        super::restart(&mut state);
        state.impairment.apply(impairment::Order::Die(engine.profile.away));
        return Err(http::broken(request));
    }
    state.running += 1;
    state.counts.started += 1;
    let incarnation = state.incarnation;
    let cut = state.impairment.cut.take();
    drop(state);
    let count = parsed["max_tokens"].as_u64().unwrap_or(TOKENS);
    let stem = token::stem(prompt);
    Ok(Run { engine, incarnation, shape, stem, next: 0, count, sent: 0, cut, ended: false })
}

fn resume_from(run: &Run, request: &Request) -> u64 {
    if !run.engine.profile.resumes {
        return 0;
    }
    let text = http::header_text(request, RESUME_HEADER);
    text.and_then(|text| text.parse().ok()).unwrap_or(0)
}

impl Run {
    fn prompt_time(&self, prompt: &str) -> Duration {
        let mut state = self.engine.state();
        let time = self.engine.profile.prompt_time;
        let delay = state.impairment.delay;
        if state.prefixes.touch(prompt) { delay + time / HELD_SPEEDUP } else { delay + time }
    }

    /// Time to the next token: longer for all when more run than there are slots.
    fn token_time(&self) -> Duration {
        let running = self.engine.state().running.max(1);
        let rounds = running.div_ceil(self.engine.profile.slots.max(1));
        self.engine.profile.token_time * rounds
    }

    /// Waits for the next token; an error when the engine has fallen over since.
    async fn step(&self) -> Result<(), io::Error> {
        actix_rt::time::sleep(self.token_time()).await;
        impairment::wait_while_stalled(|| self.engine.state().impairment.stalled).await;
        if self.engine.state().incarnation == self.incarnation {
            Ok(())
        } else {
            Err(io::Error::other("the engine fell over"))
        }
    }

    fn finish(&mut self) {
        self.ended = true;
        let mut state = self.engine.state();
        if state.incarnation == self.incarnation {
            state.running = state.running.saturating_sub(1);
            state.since_start = state.since_start.saturating_add(1);
            state.counts.completed += 1;
        }
    }

    /// The next event; the caller stops after an error or the end mark.
    async fn event(&mut self) -> Result<Bytes, io::Error> {
        if self.cut.is_some_and(|cut| self.sent >= cut) {
            return Err(io::Error::other("cut by a test"));
        }
        self.sent += 1;
        if self.next >= self.count {
            self.finish();
            return Ok(Bytes::from_static(token::DONE.as_bytes()));
        }
        self.step().await?;
        let event = token::event(self.shape, &self.stem, self.next);
        self.next += 1;
        Ok(Bytes::from(event))
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let mut state = self.engine.state();
        if state.incarnation == self.incarnation {
            state.running = state.running.saturating_sub(1);
            state.counts.cancelled += 1;
        }
    }
}

fn events(run: Run) -> impl Stream<Item = Result<Bytes, io::Error>> {
    stream::unfold(Some(run), |run| async move {
        let mut run = run?;
        if run.ended {
            return None;
        }
        match run.event().await {
            Ok(bytes) => Some((Ok(bytes), Some(run))),
            Err(error) => Some((Err(error), None)),
        }
    })
}

async fn whole(mut run: Run, request: &Request) -> Response<BoxBody> {
    for _ in 0..run.count {
        if run.step().await.is_err() {
            return http::broken(request);
        }
    }
    run.finish();
    let body = token::whole(run.shape, &run.stem, run.count);
    http::sized(StatusCode::OK, Bytes::from(body.to_string()), run.cut)
}
