//! Labels of the metrics. Every label's values come from the configuration or a closed set, so
//! that callers cannot make the number of series grow.

use hyssopfork_wire::{configuration, name, refusal};
use prometheus_client::encoding::{EncodeLabelSet, LabelSetEncoder};
use std::fmt;

/// A team's requests of one class.
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

/// Refusals of one reason.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Refusal {
    /// The team; `None` when the token named none.
    pub team: Option<name::Team>,
    /// Why.
    pub reason: refusal::Reason,
    /// Whether work ran.
    pub ran: refusal::Ran,
}

impl EncodeLabelSet for Refusal {
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
