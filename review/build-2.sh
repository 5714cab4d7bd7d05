#!/bin/sh
# Builds the stand-ins of review/4 to review/8: they are in Python and use its standard library
# alone, so this only checks that they compile. Nothing is written outside target/.
set -e
cd "$(dirname "$0")/.."
PYTHONPYCACHEPREFIX=target/review-2 python3 -m compileall -q review/standins-2
