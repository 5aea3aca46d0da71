//! Which changes are acknowledged while instances have given up their votes.

use hyssopfork_fleet::acknowledgement::{self, Member};
use std::time::Duration;

const RECEIVED: Member =
    Member { has_received: true, is_in_contact: true, is_awaited: true, has_ended: false };
const LATE: Member = Member { has_received: false, ..RECEIVED };
const SILENT: Member = Member { is_in_contact: false, is_awaited: false, ..LATE };
const UNHEARD: Member = Member { is_in_contact: false, ..LATE };
const ENDED: Member = Member { has_ended: true, ..SILENT };

/// Guards against an acknowledged change that more than half of the instances may never receive.
#[test]
fn a_change_is_acknowledged_while_those_without_it_are_at_most_half() {
    let cases = [
        (&[RECEIVED, RECEIVED, RECEIVED, RECEIVED][..], true),
        (&[RECEIVED, RECEIVED, SILENT, SILENT], true),
        (&[RECEIVED, SILENT, SILENT, SILENT], false),
        (&[RECEIVED, SILENT, SILENT], true),
        (&[SILENT, SILENT, SILENT], false),
        (&[RECEIVED, ENDED, ENDED, SILENT], true),
        (&[ENDED, ENDED, SILENT, SILENT], false),
        (&[], true),
    ];
    for (members, expected) in cases {
        let waited = Duration::ZERO;
        assert_eq!(acknowledgement::may_acknowledge(members, waited), expected, "{members:?}");
    }
}

/// Guards against a change that is acknowledged before an instance in contact has it, and against one that
/// waits for good for an instance that answers but does not follow.
#[test]
fn a_change_waits_for_instances_in_contact_for_a_time() {
    for missing in [LATE, UNHEARD] {
        let members = [RECEIVED, RECEIVED, RECEIVED, missing];
        for (waited_ms, expected) in [(0, false), (300, false), (600, true)] {
            let waited = Duration::from_millis(waited_ms);
            let actual = acknowledgement::may_acknowledge(&members, waited);
            assert_eq!(actual, expected, "{missing:?}, {waited_ms} ms");
        }
    }
}
