//! Upstreams whose responses are drawn from a seed: any status, with and without a run, small and large,
//! after interim responses, and with each form of the header that states that a request has not run.

use crate::soak::Random;
use crate::support::{self, Edge};
use hyssopfork_test_support::http;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Default of the seed; `HYSSOPFORK_RESPONSES_SEED` overrides it.
const SEED: u64 = 1;

/// Number of requests, and of upstreams.
const REQUESTS: u64 = 400;
const UPSTREAMS: u64 = 12;

/// Size of a body that is forwarded as it arrives, in bytes.
const LARGE_BYTES: usize = 200 << 10;

/// Time within which a client gets a response.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Statuses that promise that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// Statuses of upstreams that have run a request.
const STATUSES: [&str; 17] = [
    "200", "204", "302", "400", "404", "408", "409", "425", "429", "429", "408", "500", "502",
    "503", "503", "504", "599",
];

/// Statuses of upstreams that state that they have not run a request. An address with another upstream
/// (421) is not used for a time.
const REJECTIONS: [&str; 12] =
    ["429", "503", "400", "408", "429", "503", "400", "408", "429", "503", "400", "421"];

/// Statuses that a response can't have.
const INVALID_STATUSES: [&str; 9] = ["000", "099", "600", "999", "20", "2000", "-1", "1e2", "abc"];

const DECLARATION: &str = r#"{"Version":1,
 "Routes":[
  {"Name":"many","Host":"host","PathPrefix":"/many/","Kind":"idempotent","TimeoutMs":4000,
   "Service":"s1","MaxAttempts":2},
  {"Name":"once","Host":"host","PathPrefix":"/once/","Kind":"non_idempotent","TimeoutMs":4000,
   "Service":"s1","MaxAttempts":2},
  {"Name":"stream","Host":"host","PathPrefix":"/stream/","Kind":"streaming","TimeoutMs":4000,
   "Service":"s1","MaxAttempts":2}],
 "Services":[{"Name":"s1","ConnectionLimit":500}]}"#;

/// What an upstream responded to a request.
#[derive(Clone, Debug)]
struct Drawn {
    status: &'static str,
    has_run: bool,
}

/// Responses to each request, by its identifier.
type Record = Arc<Mutex<BTreeMap<String, Vec<Drawn>>>>;

/// Starts an upstream.
fn start_upstream(seed: u64, record: Record) -> SocketAddr {
    let listener = http::free_listener().expect("a free port");
    let address = listener.local_addr().expect("the listener is bound");
    let random = Arc::new(Mutex::new(Random(seed)));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (random, record) = (random.clone(), record.clone());
            thread::spawn(move || serve(stream, &random, &record));
        }
    });
    address
}

/// Serves the requests of a connection; an error ends it.
fn serve(stream: TcpStream, random: &Mutex<Random>, record: &Record) -> Option<()> {
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            if reader.read_line(&mut head).ok()? == 0 {
                return None;
            }
        }
        let header = |name: &str| {
            let line = head.lines().find(|line| line.to_lowercase().starts_with(name))?;
            line.split_once(':').map(|(_, value)| value.trim().to_owned())
        };
        let length = header("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
        reader.read_exact(&mut vec![0; length]).ok()?;
        let identifier = header("hyssopfork-attempt-id")?;
        let mut random = random.lock().expect("no thread panicked");
        let (drawn, response) = draw(&mut random, &identifier);
        drop(random);
        let mut record = record.lock().expect("no thread panicked");
        record.entry(identifier).or_default().push(drawn);
        drop(record);
        writer.write_all(&response).ok()?;
    }
}

fn draw(random: &mut Random, identifier: &str) -> (Drawn, Vec<u8>) {
    let mut pick = |from: &[&'static str]| from[random.below(from.len() as u64) as usize];
    let kind = pick(&["run", "run", "run", "rejected", "invalid"]);
    let status = match kind {
        "run" => pick(&STATUSES),
        "rejected" => pick(&REJECTIONS),
        _ => pick(&INVALID_STATUSES),
    };
    let has_run = kind != "rejected";
    let statement = match kind {
        "rejected" => pick(&[
            "Hyssopfork-Not-Executed: 1\r\n",
            "Hyssopfork-Not-Executed:\r\n",
            "Hyssopfork-Not-Executed: 1\r\nHyssopfork-Not-Executed: 1\r\n",
        ]),
        _ => "",
    };
    let interim =
        pick(&["", "", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\n\r\n"]);
    let load = pick(&["", "Hyssopfork-Server-Load: 3,0,8\r\n", "Connection: close\r\n"]);
    let length = match status {
        "204" => 0,
        _ => [0, 800, LARGE_BYTES][random.below(3) as usize],
    };
    let mut response = format!(
        "{interim}HTTP/1.1 {status} Status\r\nHyssopfork-Attempt-Id: {identifier}\r\n\
         Hyssopfork-Server-Signature: s\r\n{statement}{load}Content-Length: {length}\r\n\r\n"
    )
    .into_bytes();
    response.resize(response.len() + length, b'x');
    (Drawn { status, has_run }, response)
}

/// Status of a response and whether it carries an upstream's signature; `None` for a connection that
/// closes without one.
fn call(to: SocketAddr, request: &str) -> Option<(String, bool)> {
    let mut stream = TcpStream::connect_timeout(&to, TIMEOUT).ok()?;
    stream.set_read_timeout(Some(TIMEOUT)).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    let status = head.split(' ').nth(1)?.to_owned();
    Some((status, head.to_lowercase().contains("hyssopfork-server-signature")))
}

/// What is wrong with the response to a request, if anything.
fn find_violation(
    is_repeatable: bool,
    response: Option<&(String, bool)>,
    drawn: &[Drawn],
) -> Option<&'static str> {
    let (status, is_signed) = response?;
    let runs = drawn.iter().filter(|it| it.has_run).count();
    let code: u16 = status.parse().unwrap_or(0);
    if !(200..600).contains(&code) || status.len() != 3 {
        return Some("a status that no response can have");
    }
    if *is_signed && !drawn.iter().any(|it| it.status == status) {
        return Some("the signature of an upstream that gave another status");
    }
    if is_repeatable {
        return None;
    }
    if runs > 1 {
        return Some("two runs");
    }
    (runs > 0 && PROMISES.contains(&code)).then_some("a promise that it has not run")
}

/// Guards against work that its client sends again, since its upstream fails with 429 or 408 after it has
/// run it, and against statuses that no response can have (000, 600) and that clients can't read.
#[test]
fn responses_of_any_status_promise_nothing_false() {
    let seed = std::env::var("HYSSOPFORK_RESPONSES_SEED").ok().and_then(|it| it.parse().ok());
    let record = Record::default();
    let seed = seed.unwrap_or(SEED);
    let upstreams: Vec<SocketAddr> = (0..UPSTREAMS)
        .map(|number| start_upstream(seed * UPSTREAMS + number, record.clone()))
        .collect();
    let edge = Edge::start("drawn-responses");
    let declare = support::request("PUT", "/configuration", "", DECLARATION);
    edge.call_until(edge.control_address, &declare, 200);

    let mut violations = Vec::new();
    let (mut answered, mut false_promises) = (0, 0);
    for number in 0..REQUESTS {
        if number.is_multiple_of(20) {
            for (index, upstream) in upstreams.iter().enumerate() {
                let sequence = number + 1;
                let body = format!(
                    r#"{{"Service":"s1","Address":"{upstream}","Zone":"z1","Slots":400,
                        "State":"ready","Sequence":{sequence},"born":1}}"#
                );
                let path = format!("/instances/i-{index}");
                let register = support::request("PUT", &path, "", &body);
                edge.call_until(edge.control_address, &register, 200);
            }
        }
        let route = ["many", "once", "once", "stream"][number as usize % 4];
        let headers = format!("Hyssopfork-Attempt-Id: a{number}\r\n");
        let path = format!("/{route}/x");
        let request = support::request("POST", &path, &headers, "{}");
        let response = call(edge.client_address, &request);

        let drawn = record.lock().expect("no thread panicked").get(&format!("a{number}")).cloned();
        let drawn = drawn.unwrap_or_default();
        answered += usize::from(response.is_some() && !drawn.is_empty());
        let has_false_promise =
            |it: &Drawn| it.has_run && ["408", "429", "503"].contains(&it.status);
        false_promises += usize::from(route != "many" && drawn.iter().any(has_false_promise));
        if let Some(what) = find_violation(route == "many", response.as_ref(), &drawn) {
            violations.push(format!("{route} {number}: {what}: {response:?} after {drawn:?}"));
        }
    }

    assert_eq!(violations, Vec::<String>::new());
    assert!(answered > REQUESTS as usize / 2, "{answered} requests reached the upstream");
    assert!(false_promises > 10, "{false_promises} runs failed with a status that promises none");
}
