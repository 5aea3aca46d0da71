//! Rate limits that upstreams name in their answers.

use super::Core;
use crate::notice;
use hyssopfork_fleet::rate;

impl Core {
    /// Takes in the rate that an upstream names in an answer; `None` where it names none.
    pub(super) fn hear_rate(&mut self, number: u64, rate: Option<rate::Rate>) {
        let now = self.now;
        let Some(target) = self.target_of(number) else { return };
        if !target.named.hear(now, rate) {
            return;
        }
        let Some(attempt) = self.requests.get(&number).and_then(|it| it.attempt.as_ref()) else {
            return;
        };
        let instance = attempt.instance.clone();
        self.note(notice::Notice::RateNamed { instance, rate });
    }
}
