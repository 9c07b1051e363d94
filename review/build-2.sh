#!/bin/sh
# Builds the stand-ins of the scripts in review/6 and later: modules in Python
# that need the standard library only, and those of the project's own tests
# that they use.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q -f review/standin2 tests/site
PYTHONPATH=review/standin2 python3 -c 'import deployment, engine'
