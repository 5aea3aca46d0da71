//! What the entry has learned of the sizes and times of requests, by model and route.

use super::Core;
use crate::{engine_model, output_length, request, routing, size};
use hyssopfork_wire::name;
use std::collections::BTreeMap;

/// Largest part of a group that one arrival counts for, in multiples of a typical request: a client may
/// state any size.
const MAX_ARRIVAL_FACTOR: f64 = 16.0;

/// Learned sizes and times.
///
/// Invariant: it has only declared models and routes, so clients can't make it grow.
#[derive(Debug, Default)]
pub(super) struct Costs {
    models: BTreeMap<(name::Pool, name::Model), Model>,
    outputs: BTreeMap<name::Route, output_length::Estimator>,
}

/// A model whose performance is declared.
#[derive(Debug)]
pub(super) struct Model {
    /// Figures of one group.
    pub group: engine_model::Group,
    /// Typical request.
    pub mix: engine_model::Mix,
    /// Correction of predicted times to the first event.
    pub correction: engine_model::Correction,
}

impl Costs {
    /// Adopts the table of a new declaration. What was learned of a model is kept if its figures are
    /// the same.
    pub(super) fn on_table(&mut self, table: &routing::Table) {
        let mut models = BTreeMap::new();
        for (pool, engine) in table.declaration().engines() {
            let Some(performance) = &engine.performance else { continue };
            for model in &engine.models {
                let Some(group) = engine_model::Group::new(engine, &model.name) else { continue };
                let key = (pool.clone(), model.name.clone());
                let kept = self.models.remove(&key).filter(|it| it.group == group);
                let new = || Model {
                    group,
                    mix: engine_model::Mix::new(performance),
                    correction: engine_model::Correction::default(),
                };
                models.insert(key, kept.unwrap_or_else(new));
            }
        }
        self.models = models;
        let routes = &table.declaration().routes;
        self.outputs.retain(|name, _| routes.iter().any(|route| route.name == *name));
    }

    /// The model of a pool; `None` if its performance is not declared.
    pub(super) fn model(&self, pool: &name::Pool, model: Option<&name::Model>) -> Option<&Model> {
        self.models.get(&(pool.clone(), model?.clone()))
    }

    /// Tokens that a request is expected to need; `None` if size or performance is not known.
    pub(super) fn need(&mut self, request: &request::Request) -> Option<engine_model::Need> {
        let size = request.size?;
        let model = self.model(&request.pool, request.model.as_ref())?;
        let (typical, stride) = (model.mix.mean().output_tokens, u64::from(model.group.stride()));
        let new = || output_length::Estimator::new(typical);
        let output = self.outputs.entry(request.route.clone()).or_insert_with(new);
        let generated = request.last_event.unwrap_or(0).saturating_mul(stride);
        Some(engine_model::Need::new(size, output.expected(size), generated))
    }

    /// Whether a group can run the request; true if its size or the memory is not known.
    pub(super) fn fits(&self, request: &request::Request) -> bool {
        let model = self.model(&request.pool, request.model.as_ref());
        model.zip(request.need).is_none_or(|(model, need)| model.group.fits(need))
    }

    /// Tokens that the request counts for at a group; those of a typical one if its size is not known.
    pub(super) fn memory_tokens(&self, request: &request::Request) -> u64 {
        let model = self.model(&request.pool, request.model.as_ref());
        let need = model.map(|model| request.need.unwrap_or(model.mix.mean()));
        need.map_or(0, |need| need.memory_tokens().ceil() as u64)
    }

    /// Counts a request that arrived; returns its part of a group's slots, in seconds. It is 0 if no group
    /// can run the request.
    pub(super) fn on_arrival(&mut self, request: &request::Request) -> Option<f64> {
        let key = (request.pool.clone(), request.model.clone()?);
        let need = request.need?;
        let model = self.models.get_mut(&key)?;
        if !model.group.fits(need) {
            return Some(0.0);
        }
        let typical = model.group.slot_seconds(model.mix.mean(), &model.mix);
        let slot_seconds = model.group.slot_seconds(need, &model.mix);
        model.mix.record(need);
        Some(slot_seconds.min(typical * MAX_ARRIVAL_FACTOR))
    }

    /// Predicted time to the first event of the request at a group that has `load` other requests.
    pub(super) fn predict(
        &self,
        request: &request::Request,
        load: f64,
    ) -> Option<engine_model::Prediction> {
        let model = self.model(&request.pool, request.model.as_ref())?;
        Some(model.group.first_event(request.need?, load, &model.mix, model.correction))
    }

    /// Adds a finished stream of `events` events.
    fn on_stream_completed(&mut self, request: &request::Request, events: u64, size: size::Size) {
        let Some(model) = self.model(&request.pool, request.model.as_ref()) else { return };
        let tokens = events as f64 * f64::from(model.group.stride());
        if let Some(output) = self.outputs.get_mut(&request.route) {
            output.record(size, tokens);
        }
    }
}

impl Core {
    /// Prediction for the groups of the request's model; `None` if its size or the performance of the
    /// pool is not known.
    pub(super) fn forecast(&self, request: &request::Request) -> Option<engine_model::Forecast> {
        let model = self.costs.model(&request.pool, request.model.as_ref())?;
        let left = self.now.until(request.on_time_until);
        // A request that is late already counts like others of its objective.
        let time = if left.is_zero() { request.objective } else { left.min(request.objective) };
        Some(engine_model::Forecast {
            limit: model.group.limit(request.need?, time, &model.mix, model.correction),
            throughput: model.group.throughput(&model.mix),
            memory: model.group.memory(request.need?, &model.mix),
        })
    }

    /// Learns from the first event of a request.
    pub(super) fn record_first_event(&mut self, number: u64) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&number) else { return };
        let (Some(attempt), None) = (&request.attempt, request.first_bytes_at) else { return };
        let (Some(prediction), Some(name)) = (attempt.prediction, &request.model) else { return };
        let key = (request.pool.clone(), name.clone());
        let observed = now.since(attempt.started_at);
        request.first_event_ratio = engine_model::ratio(observed, prediction.corrected);
        if let Some(model) = self.costs.models.get_mut(&key) {
            model.correction.record(prediction.by_figures, observed);
        }
    }

    /// Learns the output length of a stream that has been forwarded to its end.
    pub(super) fn record_output_length(&mut self, number: u64) {
        let Some(request) = self.requests.get(&number) else { return };
        // Events are numbered from 1.
        if let (Some(size), Some(events)) = (request.size, request.last_event) {
            self.costs.on_stream_completed(request, events, size);
        }
    }
}
