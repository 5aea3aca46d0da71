//! Labels of the metrics.
//!
//! Label values come only from the configuration or from a fixed set, so that clients can't
//! increase the number of time series.

use hyssopfork_wire::{configuration, name, refusal};
use prometheus_client::encoding::{EncodeLabelSet, LabelSetEncoder};
use std::fmt;

/// Labels of metrics on requests: team and class.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Request {
    /// The team.
    pub team: name::Team,
    /// The class.
    pub class: configuration::Class,
}

impl EncodeLabelSet for Request {
    fn encode(&self, encoder: &mut LabelSetEncoder) -> Result<(), fmt::Error> {
        let class: &'static str = self.class.into();
        let pairs = [("team", self.team.as_str()), ("class", class)];
        EncodeLabelSet::encode(&pairs, encoder)
    }
}

/// Labels of metrics by pool.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Pool {
    /// The pool.
    pub pool: name::Pool,
}

impl EncodeLabelSet for Pool {
    fn encode(&self, encoder: &mut LabelSetEncoder) -> Result<(), fmt::Error> {
        EncodeLabelSet::encode(&[("pool", self.pool.as_str())], encoder)
    }
}

/// Labels of metrics on requests that wait for a place, by rank.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Rank {
    /// The rank; 0 is the most urgent.
    pub rank: u32,
}

impl EncodeLabelSet for Rank {
    fn encode(&self, encoder: &mut LabelSetEncoder) -> Result<(), fmt::Error> {
        EncodeLabelSet::encode(&[("rank", self.rank)], encoder)
    }
}

/// Labels of the metric of rejected requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Rejection {
    /// The team; `None` if the token belongs to no team.
    pub team: Option<name::Team>,
    /// Reason of the rejection.
    pub reason: refusal::Reason,
    /// Whether the request may have run.
    pub ran: refusal::Ran,
}

impl EncodeLabelSet for Rejection {
    fn encode(&self, encoder: &mut LabelSetEncoder) -> Result<(), fmt::Error> {
        let team = self.team.as_ref().map_or("", |team| team.as_str());
        let reason: &'static str = self.reason.into();
        let ran = match self.ran {
            refusal::Ran::NotRun => "not_run",
            refusal::Ran::MayHaveRun => "may_have_run",
        };
        EncodeLabelSet::encode(&[("team", team), ("reason", reason), ("ran", ran)], encoder)
    }
}
