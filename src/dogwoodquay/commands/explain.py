"""``dogwoodquay explain``: print the log lines about one request."""

from __future__ import annotations

import pathlib
import sys
import typing

import msgspec

from . import exits

if typing.TYPE_CHECKING:
    import argparse
    from collections import abc

__all__ = ['register', 'timeline']

_EVENT_FIELD: typing.Final = 'message_type'
_TIME_FIELD: typing.Final = 'timestamp'
_OMITTED_FIELDS: typing.Final = frozenset(
    {
        _EVENT_FIELD,
        _TIME_FIELD,
        'request',
        'instance',
        'task_uuid',
        'task_level',
    }
)
# Prefixes of log events about servers rather than requests.
_SERVER_EVENTS: typing.Final = 'servers:'
_ORDER_EVENTS: typing.Final = 'orders:'
# Server events up to this long before a request are included: they may
# explain its outcome.
LOOK_BACK_SECONDS: typing.Final = 5.0

_Line = dict[str, typing.Any]


def register(commands: typing.Any) -> None:
    """Add the command to the parser.

    :param commands: the sub-parsers of the command line.
    """
    parser = commands.add_parser(
        'explain',
        help="print a request's timeline from logs",
        description=(
            'Prints all log lines about one request in chronological order, '
            'with the events of its servers from shortly before the request '
            'until its end.'
        ),
    )
    parser.add_argument('request', help='id of the attempt')
    parser.add_argument(
        'logs',
        nargs='*',
        type=pathlib.Path,
        help='log files of one or more instances (default: standard input)',
    )
    parser.set_defaults(run=_run)


def _run(args: argparse.Namespace) -> int:
    try:
        lines = list(_read(args.logs))
    except OSError as error:
        return exits.fail(exits.Exit.USAGE, f'cannot read a log: {error}')
    output = list(timeline(lines, args.request))
    if not output:
        return exits.fail(
            exits.Exit.USAGE, f'no log lines for request {args.request}'
        )
    for line in output:
        print(line)
    return exits.Exit.OK


def timeline(lines: abc.Iterable[_Line], request: str) -> abc.Iterator[str]:
    """Yield the formatted log lines about a request and its servers."""
    sorted_lines = sorted(
        lines, key=lambda line: float(line.get(_TIME_FIELD, 0.0))
    )
    request_lines = [
        line for line in sorted_lines if line.get('request') == request
    ]
    if not request_lines:
        return
    start, end = (
        float(request_lines[0][_TIME_FIELD]),
        float(request_lines[-1][_TIME_FIELD]),
    )
    servers = {line['server'] for line in request_lines if 'server' in line}
    instances = {line.get('instance') for line in request_lines}
    for line in sorted_lines:
        about_server = (
            line.get('server') in servers
            and 'request' not in line
            and _may_explain(line, instances)
            and start - LOOK_BACK_SECONDS
            <= float(line.get(_TIME_FIELD, 0.0))
            <= end
        )
        if about_server or line.get('request') == request:
            yield _format_line(line, start)


def _may_explain(line: _Line, instances: set[typing.Any]) -> bool:
    """Whether a line about a server may explain a request's outcome.

    A change of server state counts only if an instance that handled the
    request logged it. Orders count from every instance, since they change the
    server itself.
    """
    event = str(line.get(_EVENT_FIELD, ''))
    if event.startswith(_ORDER_EVENTS):
        return True
    return (
        event.startswith(_SERVER_EVENTS) and line.get('instance') in instances
    )


def _format_line(line: _Line, start: float) -> str:
    seconds = float(line.get(_TIME_FIELD, start)) - start
    fields = ' '.join(
        f'{name}={value}'
        for name, value in line.items()
        if name not in _OMITTED_FIELDS
    )
    instance = line.get('instance', '')
    return (
        f'{seconds:+8.3f} s {instance} {line.get(_EVENT_FIELD, "")} {fields}'
    )


def _read(paths: list[pathlib.Path]) -> abc.Iterator[_Line]:
    """Yield the JSON objects in log files or in standard input."""
    if not paths:
        yield from _decode(sys.stdin)
    for path in paths:
        with path.open(encoding='utf-8', errors='replace') as file:
            yield from _decode(file)


def _decode(file: abc.Iterable[str]) -> abc.Iterator[_Line]:
    for text in file:
        # Log collectors may put a prefix before the JSON object.
        begin = text.find('{')
        if begin < 0:
            continue
        try:
            line = msgspec.json.decode(text[begin:])
        except msgspec.DecodeError:
            continue
        if isinstance(line, dict):
            yield line
