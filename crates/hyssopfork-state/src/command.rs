//! Commands of the replicated state machine and their encoding in the log.

use hyssopfork_wire::{attempt, claim, fleet, name, number, patch};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Version of the encoding that this build writes, as the first byte of each command.
pub const ENCODING_VERSION: u8 = 1;

/// A command. Its effect is decided when it is applied, not when it is proposed: between the two
/// the state may have changed, and another leader may have proposed the same.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Command {
    /// Submits a patch.
    Submit(patch::Patch),
    /// Records what an instance announces about itself, and that it is present.
    Announce(Box<fleet::Announcement>),
    /// Records that an agent's process is leaving.
    Leaving {
        /// Instance of the agent.
        instance: name::Instance,
        /// Boot number of its process; has no effect on another process.
        boot: u64,
    },
    /// Records that an agent missed its renewals.
    Absent {
        /// Instance of the agent.
        instance: name::Instance,
        /// Boot number of its process; has no effect on another process.
        boot: u64,
    },
    /// Removes an instance that is absent and in no placement.
    Forget(name::Instance),
    /// Places a group under a new fencing number.
    Place {
        /// The group.
        group: name::Group,
        /// Members in order of rank.
        members: Vec<name::Instance>,
        /// Fencing number of the placement that this one replaces; `None` when the group has no
        /// placement. Has no effect when the group's placement is another one by now.
        #[serde(rename = "over")]
        replaces: Option<number::Fence>,
    },
    /// Ends a group's placement.
    Unplace {
        /// The group.
        group: name::Group,
        /// Fencing number of the placement to be ended.
        fence: number::Fence,
    },
    /// Claims non-repeatable work.
    Claim(claim::Claim),
    /// Records the outcome of claimed work.
    Record {
        /// Key of the work.
        key: claim::Key,
        /// Attempt that did it; has no effect unless it holds the claim.
        attempt: attempt::Identifier,
        /// The outcome.
        outcome: claim::Outcome,
    },
    /// Time that passed on a leader's clock since it last proposed this command or became leader;
    /// claims age by it.
    Elapsed(Duration),
}

quick_error! {
    /// Why bytes are not a command.
    #[derive(Debug, PartialEq, Eq)]
    pub enum Error {
        /// Another release wrote it.
        Version(found: u8) {
            display(
                "a command of encoding {} is in the log but this release reads {}; run a release \
                 that reads both",
                found,
                ENCODING_VERSION
            )
        }
        /// The bytes are cut or damaged.
        Malformed(cause: String) {
            display(
                "a command in the log cannot be read ({}); restore this instance by wiping its \
                 data folder and letting it join again",
                cause
            )
        }
    }
}

/// Encodes a command.
pub fn encode(command: &Command) -> Vec<u8> {
    let mut bytes = vec![ENCODING_VERSION];
    bincode::serialize_into(&mut bytes, command).expect("commands are plain data");
    bytes
}

/// Decodes a command.
///
/// # Errors
///
/// When another release wrote the bytes or they are damaged.
pub fn decode(bytes: &[u8]) -> Result<Command, Error> {
    match bytes.split_first() {
        Some((&ENCODING_VERSION, rest)) => {
            bincode::deserialize(rest).map_err(|cause| Error::Malformed(cause.to_string()))
        }
        Some((&found, _)) => Err(Error::Version(found)),
        None => Err(Error::Malformed("it is empty".into())),
    }
}
