#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start.
set -euo pipefail
cd "$(dirname "$0")/stand"
mkdir -p ../bin
GOWORK=off GOFLAGS="${GOFLAGS:-}" go build -o ../bin/stand .
