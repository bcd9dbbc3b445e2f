#!/bin/sh
# Builds the stand-ins that the scripts of the review start. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -tags review -o review/bin/standin ./review/standin
