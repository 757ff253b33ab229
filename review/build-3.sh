#!/bin/sh
# Builds the stand-ins of the scripts in review/11 and up. It needs the Go toolchain
# and nothing else: the module in review/stand-3 uses only the standard library.
set -e
cd "$(dirname "$0")/stand-3"
GOWORK=off go build -o bin/stand .
