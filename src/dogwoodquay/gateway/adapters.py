"""The adapters by which an instance communicates with its platform."""

from __future__ import annotations

import typing

import msgspec

from . import answer as answers
from . import exchange as exchanges
from ..traffic import tenancy as tenancies

if typing.TYPE_CHECKING:
    from collections import abc

    import expression

    from . import api
    from ..external.http import client
    from ..fleet import api as fleet_api
    from . import groups
    from ..routes import api as routes_api
    from . import settings as gateway_settings
    from . import store_api

__all__ = ['Codec', 'PlatformAdapters']


class Codec(
    exchanges.HeaderCodec,
    answers.CallerCodec,
    tenancies.HeaderFilter,
    typing.Protocol,
):
    """Parses and writes the headers of requests and answers."""


class PlatformAdapters(msgspec.Struct, frozen=True):
    """The adapters by which an instance communicates with its platform."""

    codec: Codec
    store: abc.Callable[
        [client.Connections, gateway_settings.Address], store_api.Store
    ]
    engines: abc.Callable[
        [client.Connections, str, api.AnswerHandler], groups.EngineCalls
    ]
    configuration_topic: store_api.Topic
    configuration_key: str
    decode_configuration: abc.Callable[
        [bytes], expression.Result[routes_api.Configuration, str]
    ]
    server_topic: store_api.Topic
    decode_server: abc.Callable[
        [str, bytes], expression.Result[fleet_api.ServerEntry, str]
    ]
    crash_topic: store_api.Topic
