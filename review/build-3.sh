#!/bin/sh
# Builds the stand-ins of the scripts 11 to 15, after the build of the deploy file. They use the
# standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/rig review/rig-3/main.rs
