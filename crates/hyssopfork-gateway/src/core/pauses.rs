//! Pauses that upstreams ask for in their responses.

use super::Core;
use crate::{notice, response};

impl Core {
    /// Handles a pause that the upstream of the newest attempt asks for.
    pub(super) fn on_pause(&mut self, number: u64, pause: response::Pause) {
        let attempt = self.requests.get(&number).and_then(|request| request.attempt.as_ref());
        let Some(instance) = attempt.map(|attempt| attempt.instance.clone()) else { return };
        match pause {
            response::Pause::None => {}
            response::Pause::Requested(duration) => {
                self.log(notice::Notice::PauseRequested { instance, duration });
            }
            response::Pause::Malformed => self.log(notice::Notice::PauseMalformed(instance)),
        }
    }
}
