//! Content of a request, independent of the attempt that carries it.

use bytes::Bytes;
use hyssopfork_fleet::quarantine;
use hyssopfork_wire::name;
use sha2::{Digest, Sha256};

/// Maximum size of a body that is kept once it is written to an upstream, in bytes. A request with
/// a larger one has only one attempt after that.
pub const MAX_KEPT_BODY_BYTES: usize = 256 << 10;

/// Content of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Content {
    /// Host that the client named.
    pub host: String,
    /// Path without the query.
    pub path: String,
    /// Query; empty if there is none.
    pub query: String,
    /// Body.
    pub body: Bytes,
}

impl Content {
    /// Whether the body is small enough to be kept for another attempt.
    pub fn is_repeatable(&self) -> bool {
        self.body.len() <= MAX_KEPT_BODY_BYTES
    }

    /// Length of the body in bytes.
    pub fn length(&self) -> u64 {
        self.body.len() as u64
    }

    /// Fingerprint of this content when `team` sends it. Teams don't share fingerprints, so that
    /// none can cause another's requests to be rejected.
    pub fn fingerprint(&self, team: Option<&name::Team>) -> quarantine::Fingerprint {
        let team = team.map_or("", |team| team.as_str());
        let host = self.host.to_ascii_lowercase();
        let mut hasher = Sha256::new();
        for field in [team, &host, &self.path, &self.query] {
            hasher.update((field.len() as u64).to_be_bytes());
            hasher.update(field);
        }
        hasher.update(&self.body);
        let hash = hasher.finalize();
        let mut digest = [0; 16];
        digest.copy_from_slice(&hash[..16]);
        quarantine::Fingerprint { length: self.length(), digest }
    }
}
