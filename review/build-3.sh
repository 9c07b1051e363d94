#!/bin/sh
# Builds the stand-ins of the cases 11 to 15 into target/review-3: the
# project's own (tests/site) and those of this review (review/standin3).
set -eu
cd "$(dirname "$0")/.."
out=target/review-3
rm -rf "$out"
mkdir -p "$out/tests"
cp tests/__init__.py "$out/tests/" 2>/dev/null || : > "$out/tests/__init__.py"
mkdir -p "$out/tests/site" "$out/standin3"
cp tests/site/*.py "$out/tests/site/"
cp review/standin3/*.py "$out/standin3/"
python3 -m compileall -q "$out"
