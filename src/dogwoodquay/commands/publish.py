"""``dogwoodquay publish``: append records to the log."""

from __future__ import annotations

import pathlib
import random
import sys
import typing

import anyio

from .. import clock as clocks
from ..external.http import client as http_client
from ..external.http import log as http_log
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

CATCH_UP_TIMEOUT_SECONDS: typing.Final = 10.0
POLL_SECONDS: typing.Final = 0.2


class _Options(typing.NamedTuple):
    """The parsed command line."""

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
            'Validates records against the published ones, appends them to '
            'the log in order and waits until each is accepted or refused. '
            'With --instance it also waits until the last record is active '
            'on all instances.'
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
    status.add_instance_flags(parser, required=False)
    parser.add_argument(
        '--timeout',
        type=float,
        default=15.0,
        metavar='SECONDS',
        help='how long to wait for each step (default: 15)',
    )
    parser.set_defaults(run=_run)


def _run(args: argparse.Namespace) -> int:
    result = recordfiles.read(args.files)
    if result.is_error():
        return exits.fail(exits.Exit.USAGE, result.error.explanation)
    token = ''
    if args.instance is not None:
        file_token = status.read_token(args.token_file)
        if file_token is None:
            return exits.fail(
                exits.Exit.USAGE, f'cannot read the token in {args.token_file}'
            )
        token = file_token
    options = _Options(args.log, result.ok, args.instance, token, args.timeout)
    return anyio.run(_publish, options)


async def _publish(options: _Options) -> exits.Exit:
    clock = clocks.SystemClock()
    async with http_client.Connections(clock) as connections:
        log = http_log.HttpLog(
            connections, clock, options.log.address, options.log.port
        )
        record_publisher = publisher.Publisher(log, clock, random.Random())
        async with anyio.create_task_group() as group:
            group.start_soon(record_publisher.run)
            code = await _publish_all(options, record_publisher, clock)
            group.cancel_scope.cancel()
    return code


async def _publish_all(
    options: _Options,
    record_publisher: publisher.Publisher,
    clock: clocks.Clock,
) -> exits.Exit:
    if not await record_publisher.wait_caught_up(
        clock.now() + CATCH_UP_TIMEOUT_SECONDS
    ):
        return exits.fail(
            exits.Exit.UNAVAILABLE, f'cannot read the log at {options.log}'
        )
    refused = check.find_refused(
        _copy_state(record_publisher.state.records), options.records
    )
    if refused:
        place, outcome = refused[0]
        return _fail_refused(place, outcome, 'nothing was published')
    last = -1
    for number, record in enumerate(options.records, start=1):
        deadline = clock.now() + options.timeout_seconds
        decision = await record_publisher.publish(record.payload, deadline)
        match decision:
            case publisher.Undecided(reason):
                return exits.fail(
                    exits.Exit.UNDECIDED,
                    f'{record.place} is not decided yet: {reason}',
                )
            case publisher.Published(catalog.RefusedRecord() as outcome):
                return _fail_refused(
                    record.place, outcome, 'another record came first'
                )
            case publisher.Published(accepted):
                last = accepted.offset
        _print_progress(number, len(options.records), last)
    print(file=sys.stderr)
    return await _wait_until_active(options, last, clock)


def _copy_state(state: catalog.CatalogState) -> catalog.CatalogState:
    copy = catalog.CatalogState()
    copy.load(state.offset, state.stored, state.refused)
    return copy


def _fail_refused(
    place: str, outcome: catalog.RefusedRecord, note: str
) -> exits.Exit:
    return exits.fail(
        exits.Exit.REFUSED,
        f'{place} is refused ({outcome.reason.value}; {note}): '
        f'{outcome.explanation}',
    )


def _print_progress(done: int, total: int, offset: int) -> None:
    text = f'\rpublished {done} of {total}, offset {offset}'
    print(text, end='', file=sys.stderr, flush=True)


async def _wait_until_active(
    options: _Options, offset: int, clock: clocks.Clock
) -> exits.Exit:
    if options.instance is None:
        print(f'accepted at offset {offset}')
        return exits.Exit.OK
    deadline = clock.now() + options.timeout_seconds
    lagging = 'no instance replied'
    url = options.instance.url
    async with client.OperatorsClient(url, options.token) as operators:
        while clock.now() < deadline:
            result = await operators.in_force(offset)
            if result.is_ok():
                answer = result.ok
                missing = (*answer.behind, *answer.silent)
                if not missing:
                    count = len(answer.in_force)
                    print(f'active at offset {offset} on {count} instances')
                    return exits.Exit.OK
                lagging = 'not active on ' + ', '.join(missing)
            await anyio.sleep(POLL_SECONDS)
    return exits.fail(
        exits.Exit.UNDECIDED, f'accepted at offset {offset}, {lagging}'
    )
