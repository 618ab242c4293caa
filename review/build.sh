#!/usr/bin/env bash
# The stand-ins need the standard library alone; this compiles them, so that a fault in
# one shows here.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q .
