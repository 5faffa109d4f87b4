#!/usr/bin/env bash
# Builds what the scripts of the third review start, beside the build of the deploy file. It uses the
# standard library only.
set -euo pipefail
cd "$(dirname "$0")/stand-3"
export GOFLAGS=-buildvcs=false GOWORK=off GOPROXY=off CGO_ENABLED=0
mkdir -p ../../target/review-3
go test -c -o ../../target/review-3/reviewstand .
