"""``dogwoodquay publish``: put records on the log and wait for them."""

from __future__ import annotations

import pathlib
import random
import sys
import typing

import anyio

from .. import clock as clocks
from ..external import http as external_http
from ..operators import client
from ..operators import publisher
from ..records import catalog

from . import check
from . import endpoint
from . import exits
from . import recordfiles
from . import status

if typing.TYPE_CHECKING:
    import argparse

__all__ = ['register']

CATCH_UP_SECONDS: typing.Final = 10.0
POLL_SECONDS: typing.Final = 0.2


class _Request(typing.NamedTuple):
    """What the command line asked for."""

    log: endpoint.Endpoint
    records: tuple[recordfiles.FileRecord, ...]
    instance: endpoint.Endpoint | None
    token: str
    timeout_seconds: float


def register(commands: typing.Any) -> None:
    """Add the command to the parser.

    :param commands: the sub-parsers of the command line.
    """
    parser = commands.add_parser(
        'publish',
        help='publish records',
        description=(
            'Checks records against what is in force, appends them in '
            'order and waits until each is accepted or refused; with an '
            'instance to ask, also until it is in force on all of them.'
        ),
    )
    parser.add_argument('files', nargs='+', type=pathlib.Path)
    parser.add_argument(
        '--log',
        type=endpoint.parse,
        required=True,
        metavar='ADDRESS:PORT',
        help="the platform's log",
    )
    status.add_instance(parser, required=False)
    parser.add_argument(
        '--timeout',
        type=float,
        default=15.0,
        metavar='SECONDS',
        help='how long to wait for each decision (default 15)',
    )
    parser.set_defaults(run=_run)


def _run(args: argparse.Namespace) -> int:
    result = recordfiles.read(args.files)
    if result.is_error():
        return exits.fail(exits.Exit.USAGE, result.error.explanation)
    token = ''
    if args.instance is not None:
        found = status.read_token(args.token_file)
        if found is None:
            return exits.fail(
                exits.Exit.USAGE, f'cannot read the token in {args.token_file}'
            )
        token = found
    request = _Request(args.log, result.ok, args.instance, token, args.timeout)
    return anyio.run(_publish, request)


async def _publish(request: _Request) -> exits.Exit:
    clock = clocks.SystemClock()
    async with external_http.Connections(clock) as connections:
        log = external_http.HttpLog(
            connections, clock, request.log.address, request.log.port
        )
        subject = publisher.Publisher(log, clock, random.Random())
        async with anyio.create_task_group() as group:
            group.start_soon(subject.run)
            code = await _publish_all(request, subject, clock)
            group.cancel_scope.cancel()
    return code


async def _publish_all(
    request: _Request, subject: publisher.Publisher, clock: clocks.Clock
) -> exits.Exit:
    if not await subject.wait_current(clock.now() + CATCH_UP_SECONDS):
        return exits.fail(
            exits.Exit.UNAVAILABLE, f'cannot read the log at {request.log}'
        )
    refused = check.judge(_copy(subject.state.records), request.records)
    if refused:
        place, outcome = refused[0]
        return _refused(place, outcome, 'nothing was published')
    last = -1
    for number, record in enumerate(request.records, start=1):
        deadline = clock.now() + request.timeout_seconds
        decision = await subject.publish(record.payload, deadline)
        match decision:
            case publisher.Undecided(reason):
                return exits.fail(
                    exits.Exit.UNDECIDED,
                    f'{record.place} has no decision yet: {reason}',
                )
            case publisher.Published(catalog.RefusedRecord() as outcome):
                return _refused(record.place, outcome, 'it lost a race')
            case publisher.Published(accepted):
                last = accepted.offset
        _progress(number, len(request.records), last)
    print(file=sys.stderr)
    return await _wait_in_force(request, last, clock)


def _copy(state: catalog.CatalogState) -> catalog.CatalogState:
    copy = catalog.CatalogState()
    copy.load(state.offset, state.stored, state.refused)
    return copy


def _refused(
    place: str, outcome: catalog.RefusedRecord, note: str
) -> exits.Exit:
    return exits.fail(
        exits.Exit.REFUSED,
        f'{place} is refused ({outcome.reason.value}; {note}): '
        f'{outcome.explanation}',
    )


def _progress(done: int, total: int, offset: int) -> None:
    text = f'\rpublished {done} of {total}, offset {offset}'
    print(text, end='', file=sys.stderr, flush=True)


async def _wait_in_force(
    request: _Request, offset: int, clock: clocks.Clock
) -> exits.Exit:
    if request.instance is None:
        print(f'accepted at offset {offset}')
        return exits.Exit.OK
    deadline = clock.now() + request.timeout_seconds
    lagging = 'no instance answered'
    url = request.instance.url
    async with client.OperatorsClient(url, request.token) as operators:
        while clock.now() < deadline:
            result = await operators.in_force(offset)
            if result.is_ok():
                answer = result.ok
                missing = (*answer.behind, *answer.silent)
                if not missing:
                    count = len(answer.in_force)
                    print(f'in force at offset {offset} on {count} instances')
                    return exits.Exit.OK
                lagging = 'not in force on ' + ', '.join(missing)
            await anyio.sleep(POLL_SECONDS)
    return exits.fail(
        exits.Exit.UNDECIDED, f'accepted at offset {offset}, {lagging}'
    )
