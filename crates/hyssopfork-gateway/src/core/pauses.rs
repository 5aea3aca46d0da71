//! Pauses that upstreams ask for in their responses.

use super::Core;
use crate::{notice, response};
use hyssopfork_fleet::quarantine;

impl Core {
    /// Handles the pause that a response to the newest attempt asks for, or that it asks for none.
    pub(super) fn on_pause(&mut self, number: u64, pause: response::Pause) {
        let attempt = self.requests.get(&number).and_then(|request| request.attempt.as_ref());
        let Some(attempt) = attempt else { return };
        let (instance, start_time_ms) = (attempt.instance.clone(), attempt.incarnation.born);
        match pause {
            response::Pause::None => self.pauses.on_response(&instance, number),
            response::Pause::Requested(duration) => {
                let process = quarantine::Process { instance: instance.clone(), start_time_ms };
                self.pauses.record(self.now, process, duration);
                self.log(notice::Notice::PauseRequested { instance, duration });
            }
            response::Pause::Malformed => {
                self.pauses.on_response(&instance, number);
                self.log(notice::Notice::PauseMalformed(instance));
            }
        }
    }
}
