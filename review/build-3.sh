#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. Run it after the build line of deploy/system.toml.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/target/review-3"
cd "$root/review/standins-3/platform"
GOWORK=off go build -o "$root/target/review-3/standins" .
