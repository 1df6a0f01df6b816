#!/bin/sh
# Builds the stand-ins and judges of the scripts in this folder.
set -eu
cd "$(dirname "$0")/.."
go build -o review/bin/ ./review/trial
