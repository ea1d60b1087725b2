#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. Uses the compiler and its standard library
# only, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/rig review/rig/main.rs
