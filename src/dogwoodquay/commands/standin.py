"""``dogwoodquay standin``: run stand-ins of the platform."""

from __future__ import annotations

import pathlib
import signal
import typing

import anyio
import msgspec

from ..demo import site as demo_site
from ..standin import examples
from ..standin import site as sites

from . import exits

if typing.TYPE_CHECKING:
    import argparse

__all__ = ['register']


def register(commands: typing.Any) -> None:
    """Add the command to the parser.

    :param commands: the sub-parsers of the command line.
    """
    parser = commands.add_parser(
        'standin',
        help='run stand-ins of the platform',
        description=(
            'Runs stand-ins of the log, the instance list, the weight store, '
            'five engines and six servers of plain services on 127.0.0.1 '
            'until interrupted. Optionally writes example records for them.'
        ),
    )
    for name in ('log', 'instance-list', 'weight-store'):
        parser.add_argument(
            f'--{name}-port',
            type=int,
            default=0,
            metavar='PORT',
            help=f'port of the {name.replace("-", " ")} (default: any free)',
        )
    parser.add_argument(
        '--records',
        type=pathlib.Path,
        metavar='FILE',
        help='write the example records of both users to FILE',
    )
    parser.set_defaults(run=_run)


def _run(args: argparse.Namespace) -> int:
    options = demo_site.OPTIONS._replace(
        log_port=args.log_port,
        list_port=args.instance_list_port,
        weights_port=args.weight_store_port,
    )
    try:
        anyio.run(_serve, options, args.records)
    except OSError as error:
        return exits.fail(exits.Exit.UNAVAILABLE, f'cannot run: {error}')
    return exits.Exit.OK


async def _serve(
    options: sites.SiteOptions, records: pathlib.Path | None
) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with sites.StandInSite(options).running() as site:
            _print_site(site)
            if records is not None:
                _write_records(site, records)
            async for _ in signals:
                return


def _print_site(site: sites.StandInSite) -> None:
    print('platform section of the settings:')
    platform = {
        'log': _endpoint(site.log_address),
        'instance_list': _endpoint(site.list_address),
        'weight_store': _endpoint(site.weights_address),
    }
    print(msgspec.json.format(msgspec.json.encode(platform)).decode())
    upstreams: tuple[sites.AnyUpstream, ...] = (
        *site.engines,
        *site.services,
    )
    for upstream in upstreams:
        print(
            f'{upstream.server_id}: '
            f'{upstream.address.host}:{upstream.address.port} '
            f'in {upstream.failure_domain}'
        )
    for deployment in (examples.HEELBRIGHT, examples.GULF):
        key = examples.caller_key(deployment)
        print(f'API key of {deployment.caller}: {key}', flush=True)


def _write_records(site: sites.StandInSite, file: pathlib.Path) -> None:
    example_records = examples.records(
        site, examples.HEELBRIGHT, examples.GULF
    )
    content = msgspec.json.encode(
        [msgspec.Raw(record.payload) for record in example_records]
    )
    file.write_bytes(msgspec.json.format(content))
    print(f'{len(example_records)} example records in {file}', flush=True)


def _endpoint(address: sites.Address) -> dict[str, object]:
    return {'address': address.host, 'port': address.port}
