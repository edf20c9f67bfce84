#!/usr/bin/env bash
# Builds what the scripts of cases 6 to 10 start. The stand-ins need Python's
# standard library only; the gateways need the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps
python3 -m compileall -q review/standins_2
