#!/usr/bin/env bash
# Builds the stand-ins of the cases (operator, clients, runners, relays). They use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/harness/Cargo.toml --target-dir target/review
