#!/bin/bash
# Builds the stand-ins that the scripts of the third review start, into target/review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
cd review/stand-3
GOTOOLCHAIN=local GOFLAGS=-mod=mod GOPROXY=off go build -trimpath -o ../../target/review-3/reviewstand .
