#!/usr/bin/env bash
# Builds what the scripts of the second review start, beside the build of the deploy file.
set -eu
cd "$(dirname "$0")/stand-2"
go build -trimpath -o ../../target/review-2/stand .
