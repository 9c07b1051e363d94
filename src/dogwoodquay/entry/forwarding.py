"""Converts HTTP requests to calls for the dispatcher."""

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

__all__ = ['RequestContext', 'completion_call', 'service_call']

ARTIFACT_HEADER: typing.Final = 'x-artifact'

_CONTENT_TYPE: typing.Final = ('content-type', 'application/json')
_DROPPED_REQUEST_HEADERS: typing.Final = frozenset(
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


class RequestContext(typing.NamedTuple):
    """The caller of a request, its control headers and the catalog."""

    catalog: records_api.Catalog
    caller: records_api.Caller
    controls: controls_module.Controls
    request_id: str


def completion_call(
    context: RequestContext,
    path: str,
    body: bytes,
    rng: random.Random,
    is_reachable: abc.Callable[[str], bool],
) -> api.Call | api.Refusal:
    """Return the call for a completion request.

    :param is_reachable: returns whether an artifact has a replica.
    """
    fields = completions.parse(path, body)
    if isinstance(fields, api.Refusal):
        return fields
    if not callers.may_use(context.caller, fields.model):
        return problems.make_refusal(
            reasons.Reason.TARGET_NOT_ALLOWED, fields.model
        )
    candidates = targets.candidate_artifacts(
        context.catalog, fields.model, rng
    )
    if not candidates:
        return problems.make_refusal(
            reasons.Reason.UNKNOWN_MODEL, fields.model
        )
    artifact = next(filter(is_reachable, candidates), candidates[0])
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
    context: RequestContext, request: asgi.Request, body: bytes
) -> api.Call | api.Refusal:
    """Return the call for a request to a plain service."""
    target = targets.parse_service_path(request.path)
    if target is None:
        return problems.make_refusal(
            reasons.Reason.BAD_REQUEST_LINE, 'ambiguous path'
        )
    if not callers.may_use(context.caller, target.service):
        return problems.make_refusal(
            reasons.Reason.TARGET_NOT_ALLOWED, target.service
        )
    service = context.catalog.services.get(target.service)
    if service is None:
        return problems.make_refusal(
            reasons.Reason.UNKNOWN_SERVICE, target.service
        )
    query = f'?{request.query}' if request.query else ''
    return api.Call(
        request_id=context.request_id,
        caller=context.caller.name,
        kind=api.UpstreamKind.SERVICE,
        artifact=service.name,
        method=request.method,
        path=target.path + query,
        headers=_forwarded_headers(request),
        body=body,
        deadline=context.controls.deadline,
        priority=context.controls.priority,
        idempotent=targets.is_idempotent(
            service, request.method, target.canonical
        ),
        key=context.controls.key,
    )


def _forwarded_headers(request: asgi.Request) -> api.Headers:
    return tuple(
        (name.decode('latin-1'), value.decode('latin-1'))
        for name, value in request.raw_headers
        if name not in _DROPPED_REQUEST_HEADERS
    )
