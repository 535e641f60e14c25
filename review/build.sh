#!/usr/bin/env bash
# Builds the stand-ins of the cases. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/platform"
mkdir -p ../bin
GOFLAGS=-buildvcs=false GOWORK=off go build -o ../bin/standin .
