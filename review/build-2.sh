#!/bin/sh
# Builds the stand-in of the second review's scripts into target/review-2/.
set -e
cd "$(dirname "$0")/stand-2"
mkdir -p ../../target/review-2
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off GOTOOLCHAIN=local go build -o ../../target/review-2/stand-2 .
