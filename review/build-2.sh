#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/standins/platform"
GOFLAGS="-mod=mod -buildvcs=false" GOWORK=off go build -o ../../../target/review-standins .
