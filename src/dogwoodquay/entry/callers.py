"""Identifies callers by their API key."""

from __future__ import annotations

import hashlib
import typing

import expression

from ..dispatch import api
from ..dispatch import reasons
from . import problems
from ..records import api as records_api

if typing.TYPE_CHECKING:
    from . import asgi

__all__ = ['CallerIndex', 'may_use']

_SCHEME: typing.Final = 'bearer '

_Authenticated = expression.Result[records_api.Caller, api.Refusal]
_UNKNOWN_API_KEY: typing.Final[_Authenticated] = expression.Error(
    problems.make_refusal(reasons.Reason.UNKNOWN_API_KEY)
)


class CallerIndex:
    """Index of the catalog's callers by the SHA-256 of their API key."""

    def __init__(self) -> None:
        self._catalog: records_api.Catalog | None = None
        self._by_digest: dict[str, _Authenticated] = {}

    def authenticate(
        self, catalog: records_api.Catalog, request: asgi.Request
    ) -> _Authenticated:
        """Return the caller whose key a request carries."""
        authorization = request.header(b'authorization')
        if authorization[: len(_SCHEME)].lower() != _SCHEME:
            return expression.Error(
                problems.make_refusal(reasons.Reason.NO_API_KEY)
            )
        if catalog is not self._catalog:
            self._rebuild(catalog)
        key = authorization[len(_SCHEME) :].strip()
        digest = hashlib.sha256(key.encode('latin-1')).hexdigest()
        return self._by_digest.get(digest, _UNKNOWN_API_KEY)

    def _rebuild(self, catalog: records_api.Catalog) -> None:
        self._by_digest = {
            caller.key_sha256.lower(): expression.Ok(caller)
            for caller in catalog.callers.values()
        }
        self._catalog = catalog


def may_use(caller: records_api.Caller, target: str) -> bool:
    """Return whether a caller may use a model, adapter or service."""
    return records_api.ALL in caller.targets or target in caller.targets
