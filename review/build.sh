#!/bin/sh
# Builds the stand-ins: Python sources of the standard library, checked here.
cd "$(dirname "$0")" || exit 2
exec python3 - <<'CHECK'
import pathlib

for path in sorted(pathlib.Path('.').rglob('*.py')):
    compile(path.read_text('utf-8'), str(path), 'exec')
CHECK
