#!/bin/sh
# Builds every stand-in that the cases 6 to 10 start: the repository's own emulator of the platform's
# store, and the servers, clients and checks of this review.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked -p acaciabank-testbed
cargo build --release --locked --offline --manifest-path review/stand-ins-2/Cargo.toml \
    --target-dir target/review-2
