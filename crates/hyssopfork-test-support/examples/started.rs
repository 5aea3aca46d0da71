//! Prints how many requests each fake upstream has started: `started IP:PORT...`, one line per
//! upstream.

use bytes::Bytes;
use clap::{Arg, Command};
use hyssopfork_exchange::{connection, error};
use std::error::Error;
use std::net;

fn main() -> Result<(), Box<dyn Error>> {
    let addresses = Arg::new("addresses")
        .value_name("IP:PORT")
        .required(true)
        .num_args(1..)
        .value_parser(clap::value_parser!(net::SocketAddr));
    let matches = Command::new("started")
        .about("Print the number of requests that each fake upstream has started")
        .arg(addresses)
        .get_matches();
    actix_rt::System::new().block_on(async {
        for &address in matches.get_many::<net::SocketAddr>("addresses").expect("required") {
            let counts: serde_json::Value = serde_json::from_slice(&fetch(address).await?)?;
            println!("{address} {}", counts["started"]);
        }
        Ok(())
    })
}

async fn fetch(address: net::SocketAddr) -> Result<Bytes, error::Error> {
    let mut connection = connection::Connection::connect(address).await?;
    let request = connection::Request { method: "GET", path: "/counts", headers: &[] };
    connection.send(&request, Bytes::new()).await?;
    connection.read_head().await?;
    connection.read_rest().await
}
