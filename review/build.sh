#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/stand/Cargo.toml --target-dir target/review
