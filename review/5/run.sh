#!/bin/sh
# Plays the case; TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
export PYTHONPATH="$here/.." PYTHONDONTWRITEBYTECODE=1
exec python3 "$here/case.py"
