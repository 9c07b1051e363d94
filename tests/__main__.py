"""Runs every test and closes with one line of counts."""

from __future__ import annotations

import pathlib
import sys
import unittest

import hypothesis

hypothesis.settings.register_profile(
    'ci', derandomize=True, deadline=None, database=None
)
hypothesis.settings.load_profile('ci')


def main() -> int:
    """Run the suite.

    :return: zero when every test passed and at least one ran.
    """
    top = pathlib.Path(__file__).resolve().parent
    pattern = sys.argv[1] if len(sys.argv) > 1 else 'test_*.py'
    suite = unittest.defaultTestLoader.discover(
        str(top), pattern=pattern, top_level_dir=str(top.parent)
    )
    result = unittest.TextTestRunner(verbosity=1, buffer=True).run(suite)
    failed = len(result.failures) + len(result.errors)
    skipped = len(result.skipped)
    passed = result.testsRun - failed - skipped
    print(f'{passed} passed, {failed} failed, {skipped} skipped')
    return 0 if failed == 0 and passed > 0 else 1


if __name__ == '__main__':
    sys.exit(main())
