#!/bin/sh
# Builds the stand-ins that the scripts of the second review start. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/ ./review/standin-2
