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
pub const MAX_DECISIONS: usize = 32_768;

/// Most bytes of retained decisions, as `Entry::estimated_bytes` counts them; beyond it the oldest
/// are evicted. 512 bytes for each of [`MAX_DECISIONS`], against a script that submits long invalid
/// patches in a loop.
pub const MAX_DECISION_BYTES: usize = 16 << 20;

/// Most accepted patches that are retained with their summaries.
pub const MAX_RECORDS: usize = 4_096;

/// Most accepted patches that the outcome of a stale patch lists; if there are more since its base,
/// it lists none.
pub const MAX_RECORDS_SINCE_BASE: u64 = 256;

/// Most operations of one patch.
pub const MAX_OPERATIONS: usize = 10_000;

/// Longest identifier, in bytes.
pub const MAX_IDENTIFIER_BYTES: usize = 128;

/// Most faults that the outcome of an invalid patch lists; the number of the others is added.
pub const MAX_FAULTS: usize = 64;

/// Most operations that a record lists; the number of the others is added.
pub const MAX_SUMMARY_LINES: usize = 32;

/// Estimated bytes of a retained decision besides its texts.
const DECISION_OVERHEAD_BYTES: usize = 128;

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
struct Entry {
    /// SHA-256 of the patch's base, author and operations.
    digest: [u8; 32],
    decision: Decision,
}

impl Entry {
    fn estimated_bytes(&self, identifier: &patch::Identifier) -> usize {
        let texts = match &self.decision {
            Decision::Invalid(faults) => faults.iter().map(String::len).sum(),
            Decision::Accepted(_) | Decision::Stale { .. } => 0,
        };
        DECISION_OVERHEAD_BYTES + 2 * identifier.0.len() + texts
    }
}

/// History of patches.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    decisions: BTreeMap<patch::Identifier, Entry>,
    /// Invariant: holds exactly the keys of `decisions`, oldest decision first.
    order: VecDeque<patch::Identifier>,
    /// Invariant: the sum of the sizes of `decisions`.
    bytes: usize,
    /// Invariant: numbers increase by one from each record to the next.
    records: VecDeque<patch::Record>,
}

/// Result of submitting a patch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submission {
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
    ) -> Submission {
        let faults = form_faults(patch);
        if !faults.is_empty() {
            return without_change(patch::Outcome::Invalid(faults));
        }
        let digest = digest(patch);
        if let Some(entry) = self.decisions.get(&patch.identifier) {
            let is_same = entry.digest == digest;
            return without_change(if is_same {
                self.outcome(entry)
            } else {
                patch::Outcome::Reused
            });
        }
        let (decision, accepted) = evaluate(current, patch);
        let entry = Entry { digest, decision };
        let outcome = self.outcome(&entry);
        self.insert(patch.identifier.clone(), entry);
        if let Some(accepted) = &accepted {
            self.add_record(accepted.number, patch);
        }
        Submission { outcome, accepted }
    }

    /// Retained accepted patches after `number`, oldest first.
    pub fn records_after(&self, number: number::Configuration) -> Vec<patch::Record> {
        self.records.iter().filter(|record| record.number > number).cloned().collect()
    }

    /// Number of retained decisions.
    pub fn len(&self) -> usize {
        self.decisions.len()
    }

    /// Whether no decision is retained.
    pub fn is_empty(&self) -> bool {
        self.decisions.is_empty()
    }

    fn outcome(&self, entry: &Entry) -> patch::Outcome {
        match &entry.decision {
            Decision::Accepted(number) => patch::Outcome::Accepted(*number),
            Decision::Stale { base, current } => patch::Outcome::Stale {
                current: *current,
                since: self.records_since(*base, *current),
            },
            Decision::Invalid(faults) => patch::Outcome::Invalid(faults.clone()),
        }
    }

    fn records_since(
        &self,
        base: number::Configuration,
        current: number::Configuration,
    ) -> Vec<patch::Record> {
        let is_complete = self.records.front().is_some_and(|oldest| oldest.number <= base.next());
        if !is_complete || current.0.saturating_sub(base.0) > MAX_RECORDS_SINCE_BASE {
            return Vec::new();
        }
        let wanted = |record: &&patch::Record| record.number > base && record.number <= current;
        self.records.iter().filter(wanted).cloned().collect()
    }

    fn insert(&mut self, identifier: patch::Identifier, entry: Entry) {
        self.bytes += entry.estimated_bytes(&identifier);
        self.order.push_back(identifier.clone());
        self.decisions.insert(identifier, entry);
        while self.decisions.len() > MAX_DECISIONS || self.bytes > MAX_DECISION_BYTES {
            self.evict_oldest();
        }
    }

    fn evict_oldest(&mut self) {
        let Some(oldest) = self.order.pop_front() else { return };
        if let Some(entry) = self.decisions.remove(&oldest) {
            self.bytes -= entry.estimated_bytes(&oldest);
        }
    }

    fn add_record(&mut self, number: number::Configuration, patch: &patch::Patch) {
        let lines = patch.operations.iter().map(operation::summary).collect();
        let record = patch::Record {
            number,
            identifier: patch.identifier.clone(),
            author: patch.author.clone(),
            summary: truncate_lines(lines, MAX_SUMMARY_LINES, "operations"),
        };
        self.records.push_back(record);
        if self.records.len() > MAX_RECORDS {
            self.records.pop_front();
        }
    }
}

fn without_change(outcome: patch::Outcome) -> Submission {
    Submission { outcome, accepted: None }
}

/// Faults for which a patch is rejected without storing the decision: the identifier itself may be
/// at fault, and the patch can never become valid.
fn form_faults(patch: &patch::Patch) -> Vec<String> {
    let mut faults = Vec::new();
    let length = patch.identifier.0.len();
    if length == 0 || length > MAX_IDENTIFIER_BYTES {
        faults.push(format!(
            "the patch's identifier has {length} bytes; choose one of 1 to {MAX_IDENTIFIER_BYTES}"
        ));
    }
    faults.extend(rules::name_fault("operator", patch.author.as_str()));
    let count = patch.operations.len();
    if count == 0 || count > MAX_OPERATIONS {
        faults.push(format!(
            "the patch has {count} operations; give it 1 to {MAX_OPERATIONS} or submit several"
        ));
    }
    faults
}

fn evaluate(
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
        faults.extend(operation::fault(&result, operation));
        operation::apply(&mut result, operation);
    }
    faults.extend(rules::validate(&result));
    if !faults.is_empty() {
        return (Decision::Invalid(truncate_lines(faults, MAX_FAULTS, "faults")), None);
    }
    result.number = current.number.next();
    (Decision::Accepted(result.number), Some(result))
}

fn truncate_lines(mut lines: Vec<String>, limit: usize, kind: &str) -> Vec<String> {
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
