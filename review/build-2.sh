#!/bin/sh
# Builds what the scripts of the second review start, beside the build of the deploy file. Needs the compiler alone: the
# stand-ins use no library and no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standin-2 review/standins-2/main.rs
