#!/usr/bin/env bash
# Build the stand-ins of the cases 11 to 15: they need the standard library alone.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m py_compile site_3.py
for case in 11 12 13 14 15; do
    if [ -f "$case/case.py" ]; then
        python3 -m py_compile "$case/case.py"
    fi
done
