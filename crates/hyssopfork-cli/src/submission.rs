//! Submits patches against a numbered configuration.

use crate::{context, error, output};
use clap::{Arg, ArgMatches};
use hyssopfork_wire::{control, number, patch, timing};
use serde::Serialize;

/// Argument for the base number.
pub fn base_argument() -> Arg {
    Arg::new("base")
        .long("base")
        .value_name("N")
        .value_parser(clap::value_parser!(u64))
        .help("Configuration number that the change was written against")
}

/// Argument for the identifier of the patch.
pub fn identifier_argument() -> Arg {
    Arg::new("identifier")
        .long("identifier")
        .value_name("TEXT")
        .help("Identifier of the patch, to get the outcome of one sent earlier")
}

#[derive(Serialize)]
struct Accepted {
    accepted: number::Configuration,
    identifier: String,
}

/// Submits operations against the number given with `--base`, by default the one in force.
pub async fn submit(
    matches: &ArgMatches,
    context: &mut context::Context,
    operations: Vec<patch::Operation>,
) -> Result<output::Report, error::Error> {
    let base = match matches.get_one::<u64>("base") {
        Some(&base) => number::Configuration(base),
        None => context.client()?.status().await?.view.configuration.number,
    };
    let identifier =
        matches.get_one::<String>("identifier").cloned().unwrap_or_else(random_identifier);
    let author = context.operator.clone();
    let patch =
        patch::Patch { identifier: patch::Identifier(identifier), base, author, operations };
    submit_patch(context, patch).await
}

fn random_identifier() -> String {
    format!("{:016x}{:016x}", rand::random::<u64>(), rand::random::<u64>())
}

async fn submit_patch(
    context: &mut context::Context,
    patch: patch::Patch,
) -> Result<output::Report, error::Error> {
    let identifier = patch.identifier.0.clone();
    let base = patch.base;
    let result = context.client()?.call(&control::Request::Submit(patch)).await;
    let response = match result {
        Err(error::Error::Unreachable(failures, true)) => {
            return Err(error::Error::OutcomeUnknown(identifier, failures));
        }
        result => result?,
    };
    let control::Response::Submitted(outcome) = response else {
        return Err(error::Error::UnexpectedResponse);
    };
    match outcome {
        patch::Outcome::Accepted(accepted) => Ok(accepted_report(context, accepted, identifier)),
        patch::Outcome::Stale { current, since } => Err(error::Error::Stale(base, current, since)),
        patch::Outcome::Invalid(errors) => Err(error::Error::Rejected(errors)),
        patch::Outcome::Reused => Err(error::Error::IdentifierReused(identifier)),
    }
}

fn accepted_report(
    context: &context::Context,
    accepted: number::Configuration,
    identifier: String,
) -> output::Report {
    match context.output {
        output::Format::Json => {
            output::Report::success(output::to_json(&Accepted { accepted, identifier }))
        }
        output::Format::Table => output::Report::success(format!(
            "configuration {accepted} is accepted; in force everywhere within {} ms\n",
            timing::IN_FORCE_BOUND.as_millis()
        )),
    }
}
