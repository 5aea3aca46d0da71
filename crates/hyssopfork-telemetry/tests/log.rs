//! Starting the log and writing events.

use hyssopfork_telemetry::log;
use hyssopfork_wire::level;

#[test]
fn second_start_fails_and_events_of_every_level_can_be_written() {
    let fields = [("group", "writers-1".to_owned())];

    let first = log::start(log::Format::Json, log::Threshold::Trace);
    let second = log::start(log::Format::Text, log::Threshold::Info);
    for level in [level::Level::Error, level::Level::Warn, level::Level::Info, level::Level::Debug]
    {
        log::emit(4500, level, "started", "the process started", &fields);
    }

    assert_eq!(first, Ok(()));
    assert_eq!(second, Err(log::Error::AlreadyStarted));
}
