"""Tests of what the gateway imports at its start."""

from __future__ import annotations

import json
import subprocess
import sys
import unittest

# Prints what is imported to run the gateway, beyond the interpreter's own.
_IMPORTS = """
import json
import sys
before = set(sys.modules)
sys.argv = ['dogwoodquay', 'gateway']
from dogwoodquay.commands import main
from dogwoodquay.commands import gateway
print(json.dumps(sorted(set(sys.modules) - before)))
"""
_LIBRARIES = frozenset(
    {
        'aioprometheus',
        'anyio',
        'boltons',
        'cbor2',
        'certifi',
        'eliot',
        'expression',
        'h11',
        'h2',
        'hpack',
        'httpcore',
        'httpx',
        'hypercorn',
        'hyperframe',
        'idna',
        'msgspec',
        'orjson',
        'priority',
        'pvectorc',
        'pyrsistent',
        'quantile',
        'sniffio',
        'typing_extensions',
        'websockets',
        'wsproto',
        'zope',
        # By httpx, where they are installed; the platform has none of them.
        'attr',
        'click',
        'markdown_it',
        'mdurl',
        'pygments',
        'rich',
    }
)
# Of the standard library; each takes milliseconds, with what it imports.
_FORBIDDEN = frozenset(
    {'pdb', 'sqlite3', 'statistics', 'unittest', 'xml.dom', 'zoneinfo'}
)
_OWN_PACKAGES = (
    'allotments',
    'capacity',
    'fleet',
    'gateway',
    # 7 ms with the modules of entry: each byte of a caller is counted.
    'inbound',
    'overload',
    'platform',
    'quarantine',
    'ratelimit',
    'residency',
    'retry',
    'routes',
    'stalls',
    # 5 ms: the step of a planned stop is asked for each request.
    'stopping',
    'tenants',
    'traffic',
    'wire',
)
_OWN_MODULES = frozenset(
    {
        'clock',
        'commands',
        'commands.exits',
        'commands.gateway',
        'commands.main',
        'entry',
        'entry.asgi',
        'entry.connections',
        'entry.guard',
        'entry.holdings',
        'entry.protocol',
        'entry.server',
        'entry.tasks',
        'external',
        'external.api',
        'external.decoding',
        'external.http',
        'external.http.bodies',
        'external.http.client',
        'external.http.marks',
        'external.http.network',
        'external.http.pool',
        # 10 ms together: all requests to servers go through these.
        'external.http.earlier_answers',
        'external.http.findings',
        'external.http.sender',
        'external.http.sending',
        'external.http.uses',
        'external.http.progress',
        'journal',
        'journal.api',
        'journal.entries',
        'observe',
        'observe.exceptions',
        'observe.logs',
        'observe.loop',
        'observe.metrics',
        'observe.output',
        'observe.process',
        'observe.supervise',
    }
)


def _imported() -> list[str]:
    """Return the modules that a process of the gateway imports."""
    run = subprocess.run(
        [sys.executable, '-c', _IMPORTS],
        capture_output=True,
        check=True,
        text=True,
    )
    return json.loads(run.stdout)


class GatewayImportsTest(unittest.TestCase):
    """An instance imports for as long as its callers wait after a start.

    A module that a list lacks makes each start longer. Import it in the
    function that needs it, or add it here with the time that it takes.
    """

    @classmethod
    def setUpClass(cls) -> None:
        cls.imported = _imported()

    def test_libraries(self) -> None:
        packages = {name.partition('.')[0] for name in self.imported}
        unexpected = packages - _LIBRARIES - sys.stdlib_module_names
        # Modules of extensions are named by a hash, those with an underscore
        # belong to another package.
        unexpected = {
            name
            for name in unexpected
            if '__' not in name and not name.startswith('_')
        }
        self.assertEqual({'dogwoodquay'}, unexpected, self.__class__.__doc__)

    def test_standard_library(self) -> None:
        imported = _FORBIDDEN.intersection(self.imported)
        self.assertEqual(set(), imported, self.__class__.__doc__)

    def test_own_modules(self) -> None:
        own = [
            name.removeprefix('dogwoodquay.')
            for name in self.imported
            if name.startswith('dogwoodquay.')
        ]
        unexpected = {
            name
            for name in own
            if name not in _OWN_MODULES
            and name.partition('.')[0] not in _OWN_PACKAGES
        }
        self.assertEqual(set(), unexpected, self.__class__.__doc__)

    def test_late_imports(self) -> None:
        """What serves peers is imported after the first read has begun."""
        self.assertNotIn('websockets.asyncio.server', self.imported)
        self.assertNotIn('websockets.asyncio.client', self.imported)
