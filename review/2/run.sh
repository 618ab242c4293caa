#!/usr/bin/env bash
# Exit 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves the
# disturbance out. What was sent, answered and run goes to record.txt in this folder.
exec python3 "$(dirname "$0")/case.py"
