#!/bin/sh
# Builds the stand-ins that the scripts of the third review start. Run it after the build
# of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
go build -o target/harness-3 ./review/harness-3
