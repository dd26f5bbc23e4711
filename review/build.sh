#!/usr/bin/env bash
# Builds the stand-ins that the cases start. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
cd review/stand
GOWORK=off go build -o ../../target/review/stand .
