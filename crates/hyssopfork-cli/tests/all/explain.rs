//! Stories of requests from logs.

use hyssopfork_cli::{command, context, error, explain};
use std::fs;

/// A line as a process writes it, so many milliseconds after a full second.
fn line(millis: u32, number: u16, name: &str, message: &str, request: Option<&str>) -> String {
    let fields = request.map(|request| format!("request={request}")).unwrap_or_default();
    format!(
        r#"{{"timestamp":"2026-01-02T03:04:05.{millis:03}Z","level":"INFO","message":"{message}","number":{number},"name":"{name}","fields":"{fields}"}}"#
    )
}

/// The log of an entry that sent request `a` to a group, lost the answer, and broke it off.
fn entry() -> String {
    let lines = [
        line(10, 5210, "Sent", "sent to i-1 as attempt 1 route=r load=3.0", Some("a")),
        line(12, 5210, "Sent", "sent to i-9 as attempt 1 route=r load=3.0", Some("b")),
        line(500, 5220, "Stalled", "i-1 stands still: silent for 500 ms", None),
        line(620, 5211, "Failed", "attempt at i-1 ended: broken after_ms=610", Some("a")),
        line(621, 5214, "Cut", "answer broken off: failed attempts=1 after_ms=611", Some("a")),
        line(700, 5215, "Answered", "answered 200 attempts=1", Some("b")),
    ];
    lines.join("\n")
}

/// The log of the leader, which lost a member of that group.
fn leader() -> String {
    let lines = [
        line(0, 5030, "Formed", "group g1 of large is joining: i-1 i-2", None),
        line(1, 5030, "Formed", "group g7 of large is joining: i-9 i-8", None),
        line(600, 5023, "Lost", "i-2 answers nothing and counts as dead", None),
        line(601, 5032, "Turned", "group g1 is leaving", None),
        line(602, 5034, "Ordered", "order to i-1 for g1: accepted", None),
        line(603, 5034, "Ordered", "order to i-9 for g7: accepted", None),
    ];
    lines.join("\n")
}

fn read(logs: &[(&str, String)]) -> Vec<explain::Line> {
    logs.iter().flat_map(|(process, text)| explain::parse(text, process).0).collect()
}

fn messages(story: &explain::Timeline) -> Vec<&str> {
    story.lines.iter().map(|told| told.line.message.as_str()).collect()
}

/// A member of the group dies without a sign; the caller's stream is broken off 0.6 s later by a
/// process that knows only that bytes stopped. The member's name stands in the leader's log alone.
#[test]
fn the_story_of_a_broken_stream_names_the_member_that_was_lost() {
    let lines = read(&[("entry", entry()), ("leader", leader())]);

    let story = explain::build_timeline(&lines, "a").expect("it is there");

    assert!(messages(&story).contains(&"i-2 answers nothing and counts as dead"));
    assert!(messages(&story).contains(&"group g1 is leaving"));
    assert_eq!(story.lines.iter().filter(|told| told.own).count(), 3);
    assert!(!messages(&story).iter().any(|it| it.contains("i-9")), "another request's upstream");
    assert!(story.missing.is_empty(), "{:?}", story.missing);
}

/// A refused request was sent nowhere: what groups did before tells why none had room.
#[test]
fn the_story_of_a_refusal_tells_what_became_of_groups() {
    let refused = line(650, 5213, "Refused", "refused: no_upstream attempts=0", Some("c"));
    let lines = read(&[("entry", refused), ("leader", leader())]);

    let story = explain::build_timeline(&lines, "c").expect("it is there");

    assert!(messages(&story).contains(&"group g1 is leaving"));
    assert!(messages(&story).contains(&"i-2 answers nothing and counts as dead"));
}

#[test]
fn what_the_logs_do_not_hold_is_said() {
    let sent = line(10, 5210, "Sent", "sent to i-1 as attempt 1", Some("d"));
    let dropped = line(900, 4514, "LinesDropped", "dropped 40 log lines", None);
    let lines = read(&[("entry", format!("{sent}\n{dropped}"))]);

    let story = explain::build_timeline(&lines, "d").expect("it is there");

    let missing = story.missing.join("\n");
    assert!(missing.contains("how the request ended"), "{missing}");
    assert!(missing.contains("40 log lines"), "{missing}");
    assert!(missing.contains("log of the process that led"), "{missing}");
}

#[test]
fn a_collectors_prefix_names_the_process_and_other_lines_are_counted() {
    let text = format!("12.5 edge-7 {}\nno event {{}}\n", line(1, 4500, "Started", "runs", None));

    let (lines, unread) = explain::parse(&text, "file");

    assert_eq!((lines.len(), unread), (1, 1));
    assert_eq!(lines[0].process, "edge-7");
}

async fn run(arguments: &[&str]) -> Result<hyssopfork_cli::output::Report, error::Error> {
    let matches = command::command().get_matches_from(arguments);
    let mut context = context::Context::read(&matches)?;
    command::run(&matches, &mut context).await
}

#[actix_rt::test]
async fn the_command_prints_the_story_or_says_what_to_give_it() {
    let path = std::env::temp_dir().join(format!("hyssopfork-explain-{}.log", std::process::id()));
    fs::write(&path, format!("{}\n{}", entry(), leader())).expect("written");
    let file = path.to_str().expect("plain");

    let told = run(&["hyssopfork", "explain", "a", file]).await.expect("told");
    let unknown = run(&["hyssopfork", "explain", "zzz", file]).await;
    fs::remove_file(&path).expect("removed");
    let absent = run(&["hyssopfork", "explain", "a", file]).await;

    assert_eq!(told.exit_code, 0);
    assert!(told.text.contains("counts as dead"), "{}", told.text);
    assert!(matches!(&unknown, Err(error::Error::NoSuchRequest(request, 12)) if request == "zzz"));
    assert!(matches!(absent, Err(error::Error::File(..))));
}
