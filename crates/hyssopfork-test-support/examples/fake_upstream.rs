//! Fake upstream as a process: `fake_upstream --listen 127.0.0.1:0 --kind engine`.
//!
//! Prints `listening on IP:PORT` and serves until it is killed. The modules `engine` and `service`
//! of the package define its interface.

use clap::{Arg, ArgAction, Command};
use hyssopfork_test_support::{engine, http, service};
use std::error::Error;
use std::net;
use std::time::Duration;

fn command() -> Command {
    let millis = |name: &'static str, default: &'static str, help: &'static str| {
        let parser = clap::value_parser!(u64);
        Arg::new(name).long(name).default_value(default).value_parser(parser).help(help)
    };
    Command::new("fake_upstream")
        .about("Run a fake engine or plain service for trials and tests")
        .arg(
            Arg::new("listen")
                .long("listen")
                .default_value("127.0.0.1:0")
                .value_parser(clap::value_parser!(net::SocketAddr))
                .help("IP:PORT to listen on; port 0 selects a free port"),
        )
        .arg(
            Arg::new("kind")
                .long("kind")
                .default_value("engine")
                .value_parser(["engine", "service"])
                .help("Kind of upstream"),
        )
        .arg(millis("load-ms", "300", "Time to load the weights of a model, in milliseconds"))
        .arg(millis(
            "token-ms",
            "4",
            "Time between the tokens of a request that runs alone, in milliseconds",
        ))
        .arg(millis(
            "call-ms",
            "3",
            "Time that a plain service takes for a request, in milliseconds",
        ))
        .arg(millis(
            "cold-bearing",
            "2",
            "Number of concurrent requests that the engine handles while cold",
        ))
        .arg(
            Arg::new("ignores-fence")
                .long("ignores-fence")
                .action(ArgAction::SetTrue)
                .help("Accept load orders with any fencing number"),
        )
}

fn main() -> Result<(), Box<dyn Error>> {
    let matches = command().get_matches();
    let number = |name: &str| *matches.get_one::<u64>(name).expect("has a default");
    let listen = matches.get_one::<net::SocketAddr>("listen").expect("has a default");
    let listener = net::TcpListener::bind(listen)?;
    println!("listening on {}", listener.local_addr()?);
    let kind = matches.get_one::<String>("kind").expect("has a default");
    let server = match kind.as_str() {
        "service" => {
            let response_time = Duration::from_millis(number("call-ms"));
            start_service(listener, service::Profile { response_time, ..Default::default() })?
        }
        _ => {
            let profile = engine::Profile {
                load_time: Duration::from_millis(number("load-ms")),
                token_time: Duration::from_millis(number("token-ms")),
                cold_capacity: number("cold-bearing") as u32,
                checks_fence: !matches.get_flag("ignores-fence"),
                ..Default::default()
            };
            engine::start(listener, profile)?.0
        }
    };
    server.wait();
    Ok(())
}

fn start_service(
    listener: net::TcpListener,
    profile: service::Profile,
) -> Result<http::Server, Box<dyn Error>> {
    let (server, _) = service::start(listener, profile)?;
    Ok(server)
}
