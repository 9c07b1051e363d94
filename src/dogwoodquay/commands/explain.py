"""``dogwoodquay explain``: tell a request's story from the logs."""

from __future__ import annotations

import pathlib
import sys
import typing

import msgspec

from . import exits

if typing.TYPE_CHECKING:
    import argparse
    from collections import abc

__all__ = ['register', 'story']

_KIND: typing.Final = 'message_type'
_TIME: typing.Final = 'timestamp'
_HIDDEN: typing.Final = frozenset(
    {_KIND, _TIME, 'request', 'instance', 'task_uuid', 'task_level'}
)
# Parts whose lines are about servers and not about a request.
_BELIEFS: typing.Final = 'servers:'
_ORDERS: typing.Final = 'orders:'
# What happened to a server this long before a request may explain its end.
BEFORE_SECONDS: typing.Final = 5.0

_Line = dict[str, typing.Any]


def register(commands: typing.Any) -> None:
    """Add the command to the parser.

    :param commands: the sub-parsers of the command line.
    """
    parser = commands.add_parser(
        'explain',
        help="tell a request's story from logs",
        description=(
            'Prints what the instances logged of one request, in the order '
            'of time, and what they logged of its servers shortly before.'
        ),
    )
    parser.add_argument('request', help='the id of the attempt')
    parser.add_argument(
        'logs',
        nargs='*',
        type=pathlib.Path,
        help='log files of any instances; standard input if none',
    )
    parser.set_defaults(run=_run)


def _run(args: argparse.Namespace) -> int:
    try:
        lines = list(_read(args.logs))
    except OSError as error:
        return exits.fail(exits.Exit.USAGE, f'cannot read a log: {error}')
    told = list(story(lines, args.request))
    if not told:
        return exits.fail(
            exits.Exit.USAGE, f'no line is about request {args.request}'
        )
    for line in told:
        print(line)
    return exits.Exit.OK


def story(lines: abc.Iterable[_Line], request: str) -> abc.Iterator[str]:
    """Yield what lines tell of a request, one step a line."""
    ordered = sorted(lines, key=lambda line: float(line.get(_TIME, 0.0)))
    own = [line for line in ordered if line.get('request') == request]
    if not own:
        return
    start, end = float(own[0][_TIME]), float(own[-1][_TIME])
    servers = {line['server'] for line in own if 'server' in line}
    instances = {line.get('instance') for line in own}
    for line in ordered:
        about_server = (
            line.get('server') in servers
            and 'request' not in line
            and _tells(line, instances)
            and start - BEFORE_SECONDS <= float(line.get(_TIME, 0.0)) <= end
        )
        if about_server or line.get('request') == request:
            yield _told(line, start)


def _tells(line: _Line, instances: set[typing.Any]) -> bool:
    """Whether a line may tell why a server did what it did.

    What instances believe of servers counts for the instance that had the
    request; orders change servers whoever gave them.
    """
    kind = str(line.get(_KIND, ''))
    if kind.startswith(_ORDERS):
        return True
    return kind.startswith(_BELIEFS) and line.get('instance') in instances


def _told(line: _Line, start: float) -> str:
    seconds = float(line.get(_TIME, start)) - start
    fields = ' '.join(
        f'{name}={value}'
        for name, value in line.items()
        if name not in _HIDDEN
    )
    instance = line.get('instance', '')
    return f'{seconds:+8.3f} s {instance} {line.get(_KIND, "")} {fields}'


def _read(paths: list[pathlib.Path]) -> abc.Iterator[_Line]:
    """Yield the lines of logs that are JSON objects."""
    if not paths:
        yield from _decoded(sys.stdin)
    for path in paths:
        with path.open(encoding='utf-8', errors='replace') as file:
            yield from _decoded(file)


def _decoded(file: abc.Iterable[str]) -> abc.Iterator[_Line]:
    for text in file:
        # A collector may put its own words before a line.
        begin = text.find('{')
        if begin < 0:
            continue
        try:
            line = msgspec.json.decode(text[begin:])
        except msgspec.DecodeError:
            continue
        if isinstance(line, dict):
            yield line
