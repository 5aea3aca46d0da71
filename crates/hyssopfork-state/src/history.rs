//! History of patches: the outcome of each, and the accepted ones.
//!
//! Submission is idempotent: an operator whose response was lost resends the patch under the same
//! identifier and must get the first decision again. Otherwise the resend of an accepted patch
//! would look stale and the operator would write it anew. Memory is bounded; an accepted patch
//! whose identifier was evicted still cannot be accepted twice, since its base is no longer the
//! number in force.

use crate::{operation, rules};
use hyssopfork_wire::{configuration, number, patch};
use serde::{Deserialize, Serialize};
use sha2::Digest as _;
use std::collections::{BTreeMap, VecDeque};

/// Most decisions that are retained: 2.7 days at 12,000 accepted patches a day.
pub const OUTCOME_LIMIT: usize = 32_768;

/// Most bytes of retained decisions, as `Entry::estimated_bytes` counts them; beyond it the oldest
/// are evicted. 512 bytes for each of [`MAX_DECISIONS`], against a script that submits long invalid
/// patches in a loop.
pub const OUTCOME_WEIGHT_LIMIT: usize = 16 << 20;

/// Most accepted patches that are retained with their summaries.
pub const RECORD_LIMIT: usize = 4_096;

/// Most accepted patches that the outcome of a stale patch lists; if there are more since its base,
/// it lists none.
pub const SINCE_LIMIT: u64 = 256;

/// Most operations of one patch.
pub const OPERATION_LIMIT: usize = 10_000;

/// Longest identifier, in bytes.
pub const IDENTIFIER_LIMIT: usize = 128;

/// Most faults that the outcome of an invalid patch lists; the number of the others is added.
pub const FAULT_LIMIT: usize = 64;

/// Most operations that a record lists; the number of the others is added.
pub const SUMMARY_LIMIT: usize = 32;

/// Estimated bytes of a retained decision besides its texts.
const WEIGHT_BASE: usize = 128;

/// The stored decision on a patch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Decision {
    Accepted(number::Configuration),
    /// The records since its base are looked up again each time the outcome is returned.
    Stale {
        base: number::Configuration,
        current: number::Configuration,
    },
    Invalid(Vec<String>),
}

/// A decision and the digest of the patch that it was made on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Kept {
    /// SHA-256 of the patch's base, author and operations.
    digest: [u8; 32],
    decision: Decision,
}

impl Kept {
    fn weight(&self, identifier: &patch::Identifier) -> usize {
        let texts = match &self.decision {
            Decision::Invalid(faults) => faults.iter().map(String::len).sum(),
            Decision::Accepted(_) | Decision::Stale { .. } => 0,
        };
        WEIGHT_BASE + 2 * identifier.0.len() + texts
    }
}

/// History of patches.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    kept: BTreeMap<patch::Identifier, Kept>,
    /// Invariant: holds exactly the keys of `decisions`, oldest decision first.
    order: VecDeque<patch::Identifier>,
    /// Invariant: the sum of the sizes of `decisions`.
    weight: usize,
    /// Invariant: numbers increase by one from each record to the next.
    records: VecDeque<patch::Record>,
}

/// Result of submitting a patch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// Outcome to be returned to the operator.
    pub outcome: patch::Outcome,
    /// The resulting configuration, when the patch was accepted by this submission and not by an
    /// earlier one.
    pub accepted: Option<configuration::Configuration>,
}

impl History {
    /// Decides a patch against the configuration in force, or repeats the first decision on it.
    pub fn submit(
        &mut self,
        current: &configuration::Configuration,
        patch: &patch::Patch,
    ) -> Verdict {
        let unnamed = form_faults(patch);
        if !unnamed.is_empty() {
            return told(patch::Outcome::Invalid(unnamed));
        }
        let digest = digest(patch);
        if let Some(kept) = self.kept.get(&patch.identifier) {
            let same = kept.digest == digest;
            return told(if same { self.outcome(kept) } else { patch::Outcome::Reused });
        }
        let (decision, accepted) = decide(current, patch);
        let kept = Kept { digest, decision };
        let outcome = self.outcome(&kept);
        self.keep(patch.identifier.clone(), kept);
        if let Some(accepted) = &accepted {
            self.record(accepted.number, patch);
        }
        Verdict { outcome, accepted }
    }

    /// Retained accepted patches after `number`, oldest first.
    pub fn after(&self, number: number::Configuration) -> Vec<patch::Record> {
        self.records.iter().filter(|record| record.number > number).cloned().collect()
    }

    /// Number of retained decisions.
    pub fn len(&self) -> usize {
        self.kept.len()
    }

    /// Whether no decision is retained.
    pub fn is_empty(&self) -> bool {
        self.kept.is_empty()
    }

    fn outcome(&self, kept: &Kept) -> patch::Outcome {
        match &kept.decision {
            Decision::Accepted(number) => patch::Outcome::Accepted(*number),
            Decision::Stale { base, current } => {
                patch::Outcome::Stale { current: *current, since: self.between(*base, *current) }
            }
            Decision::Invalid(faults) => patch::Outcome::Invalid(faults.clone()),
        }
    }

    fn between(
        &self,
        base: number::Configuration,
        current: number::Configuration,
    ) -> Vec<patch::Record> {
        let whole = self.records.front().is_some_and(|oldest| oldest.number <= base.next());
        if !whole || current.0.saturating_sub(base.0) > SINCE_LIMIT {
            return Vec::new();
        }
        let wanted = |record: &&patch::Record| record.number > base && record.number <= current;
        self.records.iter().filter(wanted).cloned().collect()
    }

    fn keep(&mut self, identifier: patch::Identifier, kept: Kept) {
        self.weight += kept.weight(&identifier);
        self.order.push_back(identifier.clone());
        self.kept.insert(identifier, kept);
        while self.kept.len() > OUTCOME_LIMIT || self.weight > OUTCOME_WEIGHT_LIMIT {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some(oldest) = self.order.pop_front() else { return };
        if let Some(kept) = self.kept.remove(&oldest) {
            self.weight -= kept.weight(&oldest);
        }
    }

    fn record(&mut self, number: number::Configuration, patch: &patch::Patch) {
        let lines = patch.operations.iter().map(operation::summary).collect();
        let record = patch::Record {
            number,
            identifier: patch.identifier.clone(),
            author: patch.author.clone(),
            summary: capped(lines, SUMMARY_LIMIT, "operations"),
        };
        self.records.push_back(record);
        if self.records.len() > RECORD_LIMIT {
            self.records.pop_front();
        }
    }
}

fn told(outcome: patch::Outcome) -> Verdict {
    Verdict { outcome, accepted: None }
}

/// Faults for which a patch is rejected without storing the decision: the identifier itself may be
/// at fault, and the patch can never become valid.
fn form_faults(patch: &patch::Patch) -> Vec<String> {
    let mut faults = Vec::new();
    let length = patch.identifier.0.len();
    if length == 0 || length > IDENTIFIER_LIMIT {
        faults.push(format!(
            "the patch's identifier has {length} bytes; choose one of 1 to {IDENTIFIER_LIMIT}"
        ));
    }
    faults.extend(rules::name_fault("operator", patch.author.as_str()));
    let count = patch.operations.len();
    if count == 0 || count > OPERATION_LIMIT {
        faults.push(format!(
            "the patch has {count} operations; give it 1 to {OPERATION_LIMIT} or submit several"
        ));
    }
    faults
}

fn decide(
    current: &configuration::Configuration,
    patch: &patch::Patch,
) -> (Decision, Option<configuration::Configuration>) {
    // Optimistic concurrency control: of two patches with the same base, the first one changes the
    // number, and the second is rejected instead of silently undoing a change it did not include.
    if patch.base != current.number {
        return (Decision::Stale { base: patch.base, current: current.number }, None);
    }
    let mut result = current.clone();
    let mut faults = Vec::new();
    for operation in &patch.operations {
        faults.extend(operation::obstacle(&result, operation));
        operation::apply(&mut result, operation);
    }
    faults.extend(rules::faults(&result));
    if !faults.is_empty() {
        return (Decision::Invalid(capped(faults, FAULT_LIMIT, "faults")), None);
    }
    result.number = current.number.next();
    (Decision::Accepted(result.number), Some(result))
}

fn capped(mut lines: Vec<String>, limit: usize, kind: &str) -> Vec<String> {
    let rest = lines.len().saturating_sub(limit);
    if rest > 0 {
        lines.truncate(limit);
        lines.push(format!("and {rest} more {kind}"));
    }
    lines
}

fn digest(patch: &patch::Patch) -> [u8; 32] {
    let content = (&patch.base, &patch.author, &patch.operations);
    let bytes = bincode::serialize(&content).expect("patches are plain data");
    sha2::Sha256::digest(bytes).into()
}
