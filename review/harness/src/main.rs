//! Stand-ins and scripts of the review's cases.

mod case1;
mod case3;
mod case4;
mod case5;
mod fleet;
mod http;
mod relay;
mod runner;
mod traffic;

use std::path::Path;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let trouble = std::env::var("TROUBLE").unwrap_or_else(|_| "1".to_owned());
    let code = match arguments.first().map(String::as_str) {
        Some("case") => {
            let folder = Path::new(&arguments[2]);
            match arguments[1].as_str() {
                "1" => case1::run(folder, &trouble),
                "3" => case3::run(folder, &trouble),
                "4" => case4::run(folder, &trouble),
                "5" => case5::run(folder, &trouble),
                _ => 2,
            }
        }
        Some("runner") => {
            runner::run(&arguments[1..]);
            0
        }
        _ => 2,
    };
    std::process::exit(code);
}
