//! Registrations and declarations of another writer: deeply nested, with numbers at the ends of their
//! ranges, addresses that are none, and names of any length.

use crate::plain_upstream;
use crate::support::{self, Edge};
use std::net::SocketAddr;
use std::time::Duration;

const CREDENTIAL_HEADERS: &str = "Hyssopfork-Attempt-Id: a1\r\n";

/// A sound declaration, with a pool of engines that `engine` describes.
fn declaration(version: u64, route: &str, service: &str, engine: &str) -> String {
    format!(
        r#"{{"Version":{version},"Routes":[
          {{"Name":"r1","Host":"host","PathPrefix":"/check/","Kind":"idempotent","TimeoutMs":2000,
            "Service":"s1","MaxAttempts":2}}{route}],
          "Services":[{{"Name":"s1","ConnectionLimit":50}},
            {{"Name":"odd","ConnectionLimit":50{service}}},
            {{"Name":"engines","ConnectionLimit":50,"InferenceEngine":{{"Slots":8,"LoadsPerS":20.0,
              "loads_at_once":20,"FormationMs":100.0,
              "Models":[{{"Name":"m1","size":2,"Share":1.0,"LoadTimeS":0.4,"WarmupS":0.3}}]{engine}}}}}]}}"#
    )
}

fn odd_route(fields: &str) -> String {
    format!(
        r#",{{"Name":"r2","Host":"host","PathPrefix":"/odd/","Kind":"idempotent","Service":"odd",{fields}}}"#
    )
}

/// Bodies of registrations of an engine or a plain upstream.
fn odd_registrations(upstream: SocketAddr) -> Vec<String> {
    let with = |fields: &str| {
        format!(
            r#"{{"Service":"engines","Address":"{upstream}","Zone":"z1","Slots":8,"State":"ready",
                "Sequence":1,"born":1,{fields}}}"#
        )
    };
    let nested = |depth: usize| format!("{}{}", "[".repeat(depth), "]".repeat(depth));
    let group = |epoch: &str, rank: &str, state: &str| {
        format!(r#""group":{{"Name":"g1","epoch":{epoch},"rank":{rank},"State":"{state}"}}"#)
    };
    vec![
        with(&format!(r#""Staged":{}"#, nested(100))),
        with(&format!(r#""Staged":{}"#, nested(100_000))),
        with(&format!(r#""FabricDomain":{}"#, nested(90))),
        with(&group("18446744073709551615", "0", "open")),
        with(&group("18446744073709551615", "4294967295", "ready")),
        with(&group("18446744073709551616", "0", "ready")),
        with(&group("-1", "0", "broken")),
        with(r#""Slots":4294967295"#),
        with(r#""Slots":4294967296"#),
        with(r#""Sequence":18446744073709551615"#),
        with(r#""ColdRemainingMs":1e308"#),
        with(r#""ColdRemainingMs":-1e308"#),
        with(r#""ColdRemainingMs":1e999"#),
        with(r#""born":18446744073709551615"#),
        with(&format!(r#""Zone":"{}""#, "z".repeat(1_000_000))),
        format!(
            r#"{{"Service":"s1","Address":"0.0.0.0:{}","Zone":"z1","Slots":4,"State":"ready",
                "Sequence":1,"born":1}}"#,
            upstream.port()
        ),
        r#"{"Service":"s1","Address":"127.0.0.1:0","Zone":"z1","Slots":4294967295,"State":"ready",
            "Sequence":1,"born":1}"#
            .to_owned(),
        r#"{"Service":"s1","Address":"127.0.0.1:70000","Zone":"z1","Slots":4,"State":"ready",
            "Sequence":1,"born":1}"#
            .to_owned(),
        nested(200_000),
    ]
}

/// Versions of declarations with odd figures; each may be accepted or rejected.
fn odd_declarations() -> Vec<String> {
    let service = |fields: &str| format!(",{fields}");
    let parts = [
        (odd_route(r#""TimeoutMs":1e308,"MaxAttempts":4294967295"#), String::new(), ""),
        (odd_route(r#""TimeoutMs":5e-324,"TargetLatencyMs":-1"#), String::new(), ""),
        (odd_route(r#""TimeoutMs":1000,"GapTargetMs":1e308"#), String::new(), ""),
        (odd_route(r#""TimeoutMs":1000"#), service(r#""ColdStartS":3.0,"ColdPerS":5e-324"#), ""),
        (odd_route(r#""TimeoutMs":1000"#), service(r#""ColdStartS":1e308,"ColdPerS":1e308"#), ""),
        (odd_route(r#""TimeoutMs":1000"#), service(r#""ColdStartS":-1,"ColdPerS":-1"#), ""),
        (String::new(), String::new(), r#","step_ms":5e-324,"read_per_s":1e308,"chunk":1e308"#),
        (String::new(), String::new(), r#","step_ms":1e308,"read_per_s":5e-324,"Stride":1e308"#),
        (String::new(), String::new(), r#","KvCapacityTokens":-1,"step_ms":8,"read_per_s":1000"#),
    ];
    (2..)
        .zip(parts)
        .map(|(version, (route, service, engine))| declaration(version, &route, &service, engine))
        .collect()
}

fn register(edge: &Edge, instance: &str, body: &str) -> Option<u16> {
    let request = support::request("PUT", &format!("/instances/{instance}"), "", body);
    let timeout = Duration::from_secs(3);
    support::call_within(edge.control_address, &request, timeout).map(|it| it.status)
}

/// Guards against a process that ends, or stops to follow registrations and declarations, because of one
/// odd entry of another writer.
#[test]
fn odd_entries_end_no_process_and_hold_up_no_other_entry() {
    let edge = Edge::start("odd-entries");
    let declare = support::request("PUT", "/configuration", "", &declaration(1, "", "", ""));
    edge.call_until(edge.control_address, &declare, 200);
    let sound = plain_upstream::start().0;
    let odd = plain_upstream::start().0;
    let check = support::request("GET", "/check/x", CREDENTIAL_HEADERS, "");
    let mut sequence = 0;
    let mut serve = |edge: &Edge| {
        sequence += 1;
        let body = plain_upstream::registration(sound, sequence);
        edge.call_until(edge.control_address, &body, 200);
        for _ in 0..10 {
            edge.call_until(edge.client_address, &check, 200);
        }
    };
    serve(&edge);

    for (index, body) in odd_registrations(odd).iter().enumerate() {
        for instance in [format!("odd-{index}"), format!("odd-{index}-b")] {
            let status = register(&edge, &instance, body);
            assert!(matches!(status, Some(200 | 400)), "{index}: {status:?}");
        }
        serve(&edge);
    }
    for name in ["%00%ff", &"i".repeat(6_000)] {
        register(&edge, name, &odd_registrations(odd)[0]);
        serve(&edge);
    }
    let mut version = 1;
    for body in odd_declarations() {
        version += 1;
        let request = support::request("PUT", "/configuration", "", &body);
        let status = support::call(edge.control_address, &request).map(|it| it.status);
        assert!(matches!(status, Some(200 | 400)), "{status:?}: {body}");
        for _ in 0..2 {
            let request = support::request("GET", "/odd/x", CREDENTIAL_HEADERS, "");
            let _any = support::call_within(edge.client_address, &request, Duration::from_secs(3));
        }
        serve(&edge);
    }
    version += 1;
    let sound_again = declaration(version, "", "", "");
    let request = support::request("PUT", "/configuration", "", &sound_again);
    edge.call_until(edge.control_address, &request, 200);
    serve(&edge);
    let read =
        support::call(edge.control_address, "GET /configuration HTTP/1.1\r\nHost: x\r\n\r\n");
    assert_eq!(read.map(|it| it.body), Some(sound_again));
}
