#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start. Needs no network: the crate
# has no dependencies.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/rig-2/Cargo.toml \
    --target-dir target/review-2
