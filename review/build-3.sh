#!/bin/sh
# Builds the stand-ins of review cases 11 to 15.
set -eu
cd "$(dirname "$0")/stand-3"
mkdir -p ../../target
GOWORK=off GOFLAGS= go build -o ../../target/review-stand-3 .
