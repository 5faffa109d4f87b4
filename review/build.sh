#!/usr/bin/env bash
# Builds the stand-ins of the review's cases into review/bin/.
set -euo pipefail
cd "$(dirname "$0")/stand"
GOFLAGS=-mod=mod GOWORK=off go test -c -o ../bin/reviewcase .
