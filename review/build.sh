#!/usr/bin/env bash
# Builds the stand-ins of the review's cases into review/bin/. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/stand"
export GOFLAGS=-buildvcs=false GOWORK=off GOPROXY=off CGO_ENABLED=0
go test -c -o ../bin/reviewcase .
