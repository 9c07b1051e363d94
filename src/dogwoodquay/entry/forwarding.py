"""Turns HTTP requests into calls: what goes upstream, and to whom."""

from __future__ import annotations

import typing

from . import callers
from . import completions
from . import controls as controls_module
from ..dispatch import api
from ..dispatch import reasons
from ..external import prefix
from . import problems
from . import targets

if typing.TYPE_CHECKING:
    from collections import abc
    import random

    from . import asgi
    from ..records import api as records_api

__all__ = ['Context', 'completion_call', 'service_call']

ARTIFACT_HEADER: typing.Final = 'x-artifact'

_CONTENT_TYPE: typing.Final = ('content-type', 'application/json')
_NOT_FORWARDED: typing.Final = frozenset(
    {
        b'accept-encoding',
        b'authorization',
        b'connection',
        b'content-length',
        b'expect',
        b'host',
        b'keep-alive',
        b'proxy-authorization',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'x-deadline',
        b'x-priority',
        b'x-request-id',
        b'x-timeout-seconds',
    }
)


class Context(typing.NamedTuple):
    """Who asks, under which configuration, and how."""

    catalog: records_api.Catalog
    caller: records_api.Caller
    controls: controls_module.Controls
    request_id: str


def completion_call(
    context: Context,
    path: str,
    body: bytes,
    rng: random.Random,
    reachable: abc.Callable[[str], bool],
) -> api.Call | api.Refusal:
    """Return the call for a completion request.

    :param reachable: tells whether an artifact has a replica.
    """
    fields = completions.parse(path, body)
    if isinstance(fields, api.Refusal):
        return fields
    if not callers.may_use(context.caller, fields.model):
        return problems.refusal(
            reasons.Reason.TARGET_NOT_ALLOWED, fields.model
        )
    versions = targets.versions(context.catalog, fields.model, rng)
    if not versions:
        return problems.refusal(reasons.Reason.UNKNOWN_MODEL, fields.model)
    artifact = next(filter(reachable, versions), versions[0])
    return api.Call(
        request_id=context.request_id,
        caller=context.caller.name,
        kind=api.UpstreamKind.ENGINE,
        artifact=artifact,
        method='POST',
        path=path,
        headers=(_CONTENT_TYPE, (ARTIFACT_HEADER, artifact)),
        body=body,
        deadline=context.controls.deadline,
        priority=context.controls.priority,
        stream=fields.stream,
        key=context.controls.key,
        prompt_tokens=fields.prompt_tokens,
        prefix_hashes=prefix.prefix_hashes(artifact, fields.prompt_prefix),
    )


def service_call(
    context: Context, request: asgi.Request, body: bytes
) -> api.Call | api.Refusal:
    """Return the call for a request to a plain service."""
    target = targets.service_path(request.path)
    if target is None:
        return problems.refusal(
            reasons.Reason.BAD_REQUEST_LINE, 'ambiguous path'
        )
    if not callers.may_use(context.caller, target.service):
        return problems.refusal(
            reasons.Reason.TARGET_NOT_ALLOWED, target.service
        )
    service = context.catalog.services.get(target.service)
    if service is None:
        return problems.refusal(reasons.Reason.UNKNOWN_SERVICE, target.service)
    query = f'?{request.query}' if request.query else ''
    return api.Call(
        request_id=context.request_id,
        caller=context.caller.name,
        kind=api.UpstreamKind.SERVICE,
        artifact=service.name,
        method=request.method,
        path=target.path + query,
        headers=_forwarded(request),
        body=body,
        deadline=context.controls.deadline,
        priority=context.controls.priority,
        idempotent=targets.is_idempotent(
            service, request.method, target.canonical
        ),
        key=context.controls.key,
    )


def _forwarded(request: asgi.Request) -> api.Headers:
    return tuple(
        (name.decode('latin-1'), value.decode('latin-1'))
        for name, value in request.raw_headers
        if name not in _NOT_FORWARDED
    )
