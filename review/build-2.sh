#!/bin/sh
# Builds the stand-ins and clients that the scripts of review/6 to review/10 start. Offline, after the
# build of the deploy file.
set -e
cd "$(dirname "$0")/.."
for harness in harness-2 harness-3; do
  CARGO_TARGET_DIR=target/review-2 cargo build --release --locked --offline \
    --manifest-path "review/$harness/Cargo.toml"
done
