#!/bin/sh
# Builds the stand-ins of the cases. The gateways are built by the command of the deploy file.
set -eu
cd "$(dirname "$0")"
mkdir -p ../target/review
rustc --edition 2021 -O tests/standins/main.rs -o ../target/review/review
