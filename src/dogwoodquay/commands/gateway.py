"""``dogwoodquay gateway``: run one gateway instance."""

from __future__ import annotations

import os
import pathlib
import signal
import traceback
import typing

import anyio
import anyio.abc

from . import exits
from ..gateway import adapters
from ..gateway import runtime
from ..observe import logs
from ..observe import loop
from ..observe import output
from ..platform import engines
from ..platform import headers
from ..platform import manifest
from ..platform import servers
from ..platform import settings
from ..platform import store

if typing.TYPE_CHECKING:
    import argparse

    from ..gateway import settings as gateway_settings

__all__ = ['register']

_LOG: typing.Final = logs.ComponentLog('instance')


def register(commands: typing.Any) -> None:
    """Add the command to the parser.

    :param commands: the sub-parsers of the command line.
    """
    parser = commands.add_parser(
        'gateway',
        help='run one gateway instance on the platform',
        description=(
            'Runs one instance that forwards requests along the routes of '
            f'the platform. The environment variable {settings.VARIABLE} '
            'names its settings file. SIGTERM and SIGINT start a graceful '
            'stop, SIGHUP reloads the settings.'
        ),
    )
    parser.add_argument(
        '--check-settings',
        action='store_true',
        help='validate the settings and exit',
    )
    parser.add_argument(
        '--overload-control',
        action='store_true',
        help='refuse what cannot be answered in time, under contended load',
    )
    parser.set_defaults(run=_run)


def _run(args: argparse.Namespace) -> int:
    name = os.environ.get(settings.VARIABLE, '')
    if not name:
        return exits.fail(exits.Exit.USAGE, f'{settings.VARIABLE} is not set')
    path = pathlib.Path(name)
    result = settings.load(path)
    if result.is_error():
        return exits.fail(exits.Exit.USAGE, result.error)
    if args.check_settings:
        print('the settings are valid')
        return exits.Exit.OK
    output.log_to_standard_output(result.ok.instance_id)
    try:
        anyio.run(_serve, _with_flags(result.ok, args), path)
    except OSError as error:
        return exits.fail(exits.Exit.UNAVAILABLE, f'cannot serve: {error}')
    except Exception as error:
        trace = ''.join(traceback.format_exception(error))
        _LOG.write('failed', error=type(error).__name__, trace=trace)
        raise
    return exits.Exit.OK


def _with_flags(
    loaded: gateway_settings.InstanceSettings, args: argparse.Namespace
) -> gateway_settings.InstanceSettings:
    return loaded._replace(overload_control=args.overload_control)


def _platform_adapters() -> adapters.PlatformAdapters:
    return adapters.PlatformAdapters(
        codec=headers,
        store=store.PlatformStore,
        engines=engines.EngineClient,
        configuration_topic=store.CONFIGURATION,
        configuration_key=store.CONFIGURATION_KEY,
        decode_configuration=manifest.decode,
        server_topic=store.SERVERS,
        decode_server=servers.decode,
        crash_topic=store.CRASHES,
    )


async def _serve(
    loaded: gateway_settings.InstanceSettings, path: pathlib.Path
) -> None:
    loop.log_loop_errors()
    instance = runtime.Gateway(loaded, _platform_adapters())
    async with anyio.create_task_group() as group:
        await group.start(_follow_signals, instance, loaded, path)
        await instance.run()
        group.cancel_scope.cancel()


async def _follow_signals(
    instance: runtime.Gateway,
    loaded: gateway_settings.InstanceSettings,
    path: pathlib.Path,
    *,
    task_status: anyio.abc.TaskStatus[None],
) -> None:
    with anyio.open_signal_receiver(
        signal.SIGTERM, signal.SIGINT, signal.SIGHUP
    ) as signals:
        task_status.started()
        async for number in signals:
            if number == signal.SIGHUP:
                reloaded = settings.load(path).map(
                    lambda new: new._replace(
                        overload_control=loaded.overload_control
                    )
                )
                instance.reload(reloaded)
            else:
                instance.stop()
