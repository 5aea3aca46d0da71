//! Starting the log.

use hyssopfork_telemetry::log;

#[test]
fn second_start_is_refused_and_events_are_written_at_every_level() {
    let fields = [("group", "writers-1".to_owned())];

    let first = log::start(log::Format::Json, log::Level::Trace);
    let second = log::start(log::Format::Text, log::Level::Info);
    for level in ["error", "warn", "info", "debug", "trace"] {
        let level = level.parse().expect("the name of a level");
        log::emit(4500, level, "started", "the process started", &fields);
    }

    assert_eq!(first, Ok(()));
    assert_eq!(second, Err(log::Error::Started));
}
