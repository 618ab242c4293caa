#!/usr/bin/env bash
# Build what the scripts of cases 6 to 10 start: the stand-ins are plain Python and need
# no package, so they are only compiled. The program comes from the build of
# deploy/system.toml. Needs no network.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m py_compile site_2.py 6/case.py 7/case.py 9/case.py 10/case.py
