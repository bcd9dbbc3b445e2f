#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bluebellwell ] && [ -x review/bin/standin ] || exit 2
exec timeout -k 2 118 review/bin/standin -scenario turned-away-drain -binary target/bluebellwell -dir review/2
