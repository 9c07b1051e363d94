"""A client of the operators' interface."""

from __future__ import annotations

import dataclasses
import typing

import expression
import httpx
import msgspec

from . import api

if typing.TYPE_CHECKING:
    import types

__all__ = ['OperatorsClient', 'OperatorsError']

_TIMEOUT_SECONDS: typing.Final = 5.0

T = typing.TypeVar('T')


@dataclasses.dataclass(frozen=True, slots=True)
class OperatorsError:
    """A request to an instance that failed, and why."""

    explanation: str


class OperatorsClient:
    """Connects to one instance; use as an asynchronous context manager."""

    def __init__(self, base_url: str, token: str) -> None:
        self._http = httpx.AsyncClient(
            base_url=base_url,
            timeout=_TIMEOUT_SECONDS,
            headers={'authorization': f'Bearer {token}'},
            trust_env=False,
        )

    async def __aenter__(self) -> OperatorsClient:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        await self._http.aclose()

    async def status(
        self,
    ) -> expression.Result[api.Status, OperatorsError]:
        """Request the status of the instance."""
        return await self._get('/status', api.Status)

    async def in_force(
        self, offset: int
    ) -> expression.Result[api.InForce, OperatorsError]:
        """Request the instances on which a configuration offset is active."""
        return await self._get(f'/in-force?offset={offset}', api.InForce)

    async def _get(
        self, path: str, kind: type[T]
    ) -> expression.Result[T, OperatorsError]:
        try:
            response = await self._http.get(path)
        except httpx.HTTPError as error:
            text = str(error) or type(error).__name__
            return expression.Error(OperatorsError(text))
        if response.status_code != httpx.codes.OK:
            return expression.Error(
                OperatorsError(
                    f'status {response.status_code}: {response.text.strip()}'
                )
            )
        try:
            return expression.Ok(
                msgspec.json.decode(response.content, type=kind)
            )
        except msgspec.MsgspecError as error:
            return expression.Error(OperatorsError(str(error)))
