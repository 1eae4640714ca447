#!/bin/sh
# Builds the stand-ins of the cases with the tool chain alone: no package is used.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
rustc --edition 2021 -O -o bin/standin standin/main.rs
