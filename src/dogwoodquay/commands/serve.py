"""``dogwoodquay serve``: run one instance until a signal stops it."""

from __future__ import annotations

import pathlib
import signal
import sys
import typing

import anyio
import anyio.abc
import eliot

from ..node import instance as instances
from ..observe import loop
from ..settings import load

from . import exits

if typing.TYPE_CHECKING:
    import argparse

    from ..settings import schema

__all__ = ['register']


def register(commands: typing.Any) -> None:
    """Add the command to the parser.

    :param commands: the sub-parsers of the command line.
    """
    parser = commands.add_parser(
        'serve',
        help='run one instance',
        description=(
            'Runs one instance. SIGTERM or SIGINT starts a graceful stop that '
            'lets requests in flight finish; a second signal stops at once.'
        ),
    )
    parser.add_argument(
        '--settings',
        type=pathlib.Path,
        required=True,
        help='settings file in JSON with comments',
    )
    parser.add_argument(
        '--check-settings',
        action='store_true',
        help='validate the settings and exit',
    )
    parser.set_defaults(run=_run)


def _run(args: argparse.Namespace) -> int:
    result = load.load(args.settings)
    if result.is_error():
        return exits.fail(exits.Exit.USAGE, str(result.error))
    if args.check_settings:
        print('the settings are valid')
        return exits.Exit.OK
    try:
        with _log_file(result.ok.logging.file) as file:
            eliot.to_file(file)
            anyio.run(_serve, result.ok)
    except OSError as error:
        return exits.fail(exits.Exit.UNAVAILABLE, f'cannot serve: {error}')
    return exits.Exit.OK


def _log_file(name: str) -> typing.TextIO:
    if name == '-':
        return open(sys.stderr.fileno(), 'a', closefd=False, encoding='utf-8')
    return open(name, 'a', encoding='utf-8')


async def _serve(settings: schema.Settings) -> None:
    loop.log_loop_errors()
    instance = instances.Instance(settings)
    async with anyio.create_task_group() as group:
        await group.start(_stop_on_signal, instance)
        group.start_soon(_print_addresses, instance)
        await instance.run()
        group.cancel_scope.cancel()


async def _print_addresses(instance: instances.Instance) -> None:
    addresses = await instance.started()
    print(
        f'serving callers on port {addresses.callers}, peers on '
        f'{addresses.peers}, operators on {addresses.operators}',
        flush=True,
    )


async def _stop_on_signal(
    instance: instances.Instance,
    *,
    task_status: anyio.abc.TaskStatus[None],
) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        task_status.started()
        async for _ in signals:
            instance.stop()
