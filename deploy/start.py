"""Starts the program from a source checkout, without installing it.

Run with ``python3 -S`` it skips the import of ``site``, which takes as long as
many of the program's own modules. The packages are then those of the build.
"""

from __future__ import annotations

import os.path
import sys

_ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
_PACKAGES = os.path.join(_ROOT, 'target', 'deps')

if os.path.isdir(_PACKAGES):
    sys.path.insert(0, _PACKAGES)
elif sys.flags.no_site:
    # Without a build, the packages are those of the interpreter.
    import site

    site.main()
sys.path.insert(0, os.path.join(_ROOT, 'src'))

from dogwoodquay.commands import main  # noqa: E402

main.run()
