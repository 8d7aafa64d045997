#!/bin/sh
# Builds the stand-ins of the scripts: they are Python without dependencies, so
# that this checks only that all of them compile.
set -e
cd "$(dirname "$0")"
python3 -m compileall -q lib [0-9]*
