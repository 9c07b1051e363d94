#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
REVIEW_ROOT=$(cd "$(dirname "$0")/../.." && pwd)
export REVIEW_ROOT
cd "$REVIEW_ROOT" || exit 2
[ -d target/review-3 ] || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/review-3 exec python3 review/15/case.py
