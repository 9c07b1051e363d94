"""Example command lines for a demonstration that keeps running."""

from __future__ import annotations

import typing

from . import fleet as fleets
from . import requests
from ..standin import examples

if typing.TYPE_CHECKING:
    import pathlib

    from ..standin import site as sites

__all__ = ['render', 'write_files']

TOKEN_FILE: typing.Final = 'operators.token'
RECORD_FILE: typing.Final = 'record.json'
RECORD: typing.Final = """\
// Declares another model; publish it with the command line shown.
{
  "schema_version": 2,
  "kind": "model",
  "name": "lace-colour",
  "version": "1",
  "memory_bytes": 2147483648,
  "pool": "engines",
}
"""


def write_files(folder: pathlib.Path) -> None:
    """Write the operators' token file and an example record file."""
    (folder / TOKEN_FILE).write_text(fleets.TOKEN, encoding='utf-8')
    (folder / RECORD_FILE).write_text(RECORD, encoding='utf-8')


def render(
    site: sites.StandInSite, fleet: fleets.Fleet, folder: pathlib.Path
) -> str:
    """Return command lines to copy into a shell."""
    member = fleet.live[0]
    url = member.callers_url
    key = examples.caller_key(examples.HEELBRIGHT)
    flags = (
        f'--instance {fleets.LOOPBACK}:{member.addresses.operators} '
        f'--token-file {folder / TOKEN_FILE}'
    )
    log = f'{site.log_address.host}:{site.log_address.port}'
    body = (
        '{"model": "repair-ticket", "stream": true, "messages": '
        '[{"role": "user", "content": "Left heel worn through."}]}'
    )
    return '\n\n'.join(
        (
            f"curl -s {url}/v1/models -H 'Authorization: Bearer {key}'",
            f'curl -sN {url}/v1/chat/completions \\\n'
            f"  -H 'Authorization: Bearer {key}' \\\n"
            f"  -H 'Content-Type: application/json' \\\n  -d '{body}'",
            f'curl -s {url}/services/counter/charges \\\n'
            f"  -H 'Authorization: Bearer {key}' \\\n"
            f"  -H 'Content-Type: application/json' \\\n"
            f"  -H 'Idempotency-Key: {_new_key()}' \\\n"
            '  -d \'{"ticket": 7, "amount": 1200}\'',
            f'dogwoodquay status {flags}',
            f'dogwoodquay publish --log {log} {flags} {folder / RECORD_FILE}',
        )
    )


def _new_key() -> str:
    return requests.uuid7()
