//! Reading settings: defaults, collection of all faults, requirements of each role.

use hyssopfork_settings::{error, fault, log, settings};
use std::net;

fn agent_text(agent: &str) -> String {
    format!(
        r#"{{
  "instance": "runner-1", "zone": "ikeja", "roles": ["agent"],
  "control_addresses": ["127.0.0.1:7100"],
  "agent": {agent},
  "metrics_listen": "127.0.0.1:0"
}}"#
    )
}

const AGENT: &str = r#"{
    "traffic_listen": "127.0.0.1:7200", "peer_listen": "127.0.0.1:7201",
    "pool": "hyssop-pool", "domain": "ikeja-1", "upstream": "127.0.0.1:9000",
    "profile": { "kind": "engine", "concurrency": 8 }
  }"#;

fn faults(text: &str) -> Vec<fault::Fault> {
    match settings::parse(text) {
        Err(error::Error::Invalid(faults)) => faults,
        other => panic!("expected faults, got {other:?}"),
    }
}

fn messages(text: &str) -> Vec<String> {
    faults(text).into_iter().map(|fault| fault.message).collect()
}

#[test]
fn default_text_parses_with_the_documented_defaults() {
    let text = settings::default_text();

    let parsed = settings::parse(text).expect("the default file is valid");

    let entry = parsed.entry.expect("the default file has every role");
    assert_eq!(entry.body_limit_bytes, hyssopfork_settings::entry::DEFAULT_BODY_LIMIT_BYTES);
    assert_eq!(entry.head_timeout, hyssopfork_settings::entry::DEFAULT_HEAD_TIMEOUT);
    assert_eq!(entry.body_timeout, hyssopfork_settings::entry::DEFAULT_BODY_TIMEOUT);
    assert_eq!(entry.keep_alive, hyssopfork_settings::entry::DEFAULT_KEEP_ALIVE);
    assert_eq!(entry.connection_limit, hyssopfork_settings::entry::DEFAULT_CONNECTION_LIMIT);
    assert_eq!(parsed.stop_limit, hyssopfork_wire::timing::STOP_TIMEOUT);
    assert_eq!(parsed.log, log::Log::default());
    assert_eq!(parsed.threads, 1);
}

#[test]
fn absent_keys_default_to_the_values_of_the_default_text() {
    let text = agent_text(AGENT);

    let parsed = settings::parse(&text).expect("optional keys may be absent");

    let defaults = settings::parse(settings::default_text()).expect("the default file is valid");
    assert_eq!(parsed.log, defaults.log);
    assert_eq!(parsed.threads, defaults.threads);
    assert_eq!(parsed.stop_limit, defaults.stop_limit);
    assert_eq!(parsed.control, None);
    assert_eq!(parsed.entry, None);
    let address: net::SocketAddr = "127.0.0.1:9000".parse().expect("a literal");
    assert_eq!(parsed.agent.expect("the process is an agent").upstream, address);
}

#[test]
fn every_fault_is_reported_at_once_with_line_and_column() {
    let text = r#"{
  "instance": "Runner 1", // capital letter and blank
  "zone": "ikeja",
  "roles": ["entry"],
  "control_addresses": ["localhost:7100"],
  "entry": { "listen": "127.0.0.1:80800", "body_limit_bytes": 0 },
  "metrics_listen": 7
}"#;

    let found = faults(text);

    let places: Vec<(usize, usize)> =
        found.iter().map(|fault| (fault.line, fault.column)).collect();
    assert_eq!(places, [(2, 15), (5, 25), (6, 24), (6, 63), (7, 21)]);
}

#[test]
fn columns_count_characters_and_not_bytes() {
    let text = "{ /* äöü */ \"zone\": 1 }";

    let found = faults(text);

    assert!(found.iter().any(|fault| fault.line == 1 && fault.column == 21));
}

#[test]
fn unknown_key_suggests_the_nearest_known_key() {
    let text = agent_text(&AGENT.replace("upstream", "upstraem"));

    let found = messages(&text);

    let expected = "\"agent.upstraem\" is unknown; did you mean \"upstream\"?";
    assert!(found.iter().any(|message| message == expected), "{found:?}");
}

#[test]
fn unknown_key_far_from_all_known_keys_lists_them() {
    let text = agent_text(&AGENT.replace("\"concurrency\": 8", "\"concurrency\": 8, \"zz\": 1"));

    let found = messages(&text);

    assert_eq!(found.len(), 1);
    assert!(found[0].starts_with("\"agent.profile.zz\" is unknown"), "{found:?}");
}

#[test]
fn duplicate_key_is_rejected() {
    let text = agent_text(&AGENT.replace("\"pool\"", "\"domain\": \"x\", \"pool\""));

    let found = messages(&text);

    assert_eq!(found, ["\"agent.domain\" stands twice; keep one"]);
}

#[test]
fn role_without_its_section_is_rejected() {
    let text = r#"{
  "instance": "a", "zone": "z", "roles": ["control", "entry"],
  "control_addresses": ["127.0.0.1:1"], "metrics_listen": "127.0.0.1:0"
}"#;

    let found = messages(text);

    let control = "\"control\" is missing; the role control needs it".to_owned();
    let entry = "\"entry\" is missing; the role entry needs it".to_owned();
    assert!(found.contains(&control) && found.contains(&entry), "{found:?}");
}

#[test]
fn section_without_its_role_is_rejected() {
    let text = agent_text(AGENT).replace("[\"agent\"]", "[\"entry\"]");

    let found = messages(&text);

    let expected = "\"agent\" stands here without the role; add the role or remove it";
    assert!(found.iter().any(|message| message == expected), "{found:?}");
}

#[test]
fn announced_addresses_default_to_the_listen_addresses() {
    let changed = r#""peer_announce": "127.0.0.2:7301", "peer_listen":"#;
    let text = agent_text(&AGENT.replace(r#""peer_listen":"#, changed));

    let agent = settings::parse(&text).expect("valid").agent.expect("the process is an agent");

    assert_eq!(agent.traffic_announce, agent.traffic_listen);
    assert_eq!(agent.peer_announce.port(), 7301);
    assert_ne!(agent.peer_listen, agent.peer_announce);
}

#[test]
fn announced_wildcard_address_is_rejected() {
    let text = agent_text(&AGENT.replace("127.0.0.1:7201", "0.0.0.0:7201"));

    let found = messages(&text);

    assert_eq!(found.len(), 1);
    assert!(found[0].contains("others can reach"), "{found:?}");
}

#[test]
fn even_number_of_voters_and_a_list_without_this_instance_are_rejected() {
    let text = r#"{
  "instance": "c", "zone": "z", "roles": ["control"], "metrics_listen": "127.0.0.1:0",
  "control": { "listen": "127.0.0.1:1", "data_folder": "/tmp/x", "voters": [
    { "instance": "a", "address": "127.0.0.1:1" }, { "instance": "b", "address": "127.0.0.1:2" }
  ] }
}"#;

    let found = messages(text);

    assert_eq!(found.len(), 2, "{found:?}");
}

#[test]
fn syntax_error_is_reported_with_its_line() {
    let text = "{\n  \"instance\": \"a\"\n  \"zone\": \"z\"\n}";

    let found = faults(text);

    assert_eq!(found.len(), 1);
    assert_eq!(found[0].line, 2, "{found:?}");
    assert!(found[0].message.starts_with("not JSON with comments"));
}

#[test]
fn error_for_an_unreadable_file_contains_its_path() {
    let path = std::path::Path::new("/nonexistent/hyssopfork.jsonc");

    let error = settings::read(path).expect_err("there is no such file");

    assert!(error.to_string().contains("/nonexistent/hyssopfork.jsonc"));
}
