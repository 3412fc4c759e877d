#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: store, servers, clients and checks. They use the standard
# library only.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/stand-ins-2/Cargo.toml \
    --target-dir target/review-2
