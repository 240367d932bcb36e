#!/bin/sh
# Builds the stand-ins and callers of the cases 4 to 8. It needs the build of deploy/system.toml beside it to run them.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-rig2 ./review/rig2
