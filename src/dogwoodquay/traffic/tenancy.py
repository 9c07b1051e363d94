"""Tells which tenant a request belongs to, as long as its key is valid."""

from __future__ import annotations

import collections
import secrets
import typing

from ..gateway import api
from ..observe import logs
from ..tenants import directory as directories

if typing.TYPE_CHECKING:
    from ..gateway import metrics as gateway_metrics
    from ..routes import api as routes_api
    from . import tenant_accounts
    from ..tenants import api as tenants_api

__all__ = ['HeaderFilter', 'Tenancy']

_LOG: typing.Final = logs.ComponentLog('tenants')

_UNAUTHORIZED: typing.Final = 401
# Tenants that the line about dropped records names.
MAX_NAMED: typing.Final = 16


class HeaderFilter(typing.Protocol):
    """Drops headers of callers that only concern this instance."""

    def without_tenant(self, headers: api.RawHeaders) -> api.RawHeaders:
        """Return headers without a key or the name of a tenant."""


class Tenancy:
    """Finds the tenants of requests by the active configuration."""

    def __init__(
        self,
        header_filter: HeaderFilter,
        metrics: gateway_metrics.GatewayMetrics,
        accounts: tenant_accounts.TenantAccounts,
    ) -> None:
        self._accounts = accounts
        self._filter = header_filter
        self._metrics = metrics
        self._secret = secrets.token_bytes(directories.SECRET_BYTES)
        self._directory = directories.Directory((), self._secret)
        self._declared = False
        metrics.gauge(
            'gateway_tenants',
            'Declared tenants that are in use',
            lambda: len(self._directory.by_name),
        )

    @property
    def directory(self) -> directories.Directory:
        """The tenants of the active configuration."""
        return self._directory

    def configure(self, configuration: routes_api.Configuration) -> None:
        """Use the tenants of a configuration from now on."""
        self._declared = configuration.tenants_declared
        self._directory = directories.Directory(
            configuration.tenants, self._secret
        )
        dropped = (*configuration.dropped_tenants, *self._directory.dropped)
        if not dropped:
            return
        counts = collections.Counter(item.reason.value for item in dropped)
        for reason, count in counts.items():
            self._metrics.tenants_dropped(reason, count)
        names = dict.fromkeys(item.tenant for item in dropped)
        _LOG.write(
            'dropped',
            version=configuration.version,
            reasons=dict(counts),
            tenants=list(names)[:MAX_NAMED],
            used=len(self._directory.by_name),
        )

    def identify(
        self, route: routes_api.Route, api_key: bytes
    ) -> tenants_api.Tenant | api.Refusal | None:
        """Return a request's tenant, ``None`` if it needs none."""
        if not self._declared:
            return None
        tenant = self._directory.find(api_key)
        if tenant is not None or route.public:
            return tenant
        return api.Refusal(
            api.RefusalReason.UNAUTHORIZED,
            _UNAUTHORIZED,
            0.0,
            'unknown_key' if api_key else 'no_key',
        )

    def assign(
        self, call: api.Call, tenant: tenants_api.Tenant | None
    ) -> api.Call:
        """Return a request with its tenant and without its key."""
        key = call.terms.api_key
        call = call._replace(terms=call.terms._replace(api_key=b''))
        if not self._declared:
            return call
        return call._replace(
            headers=self._filter.without_tenant(call.headers),
            tenant=tenant,
            key_digest=b'' if tenant is None else self._directory.digest(key),
            tenants_declared=True,
        )

    def renew(self, call: api.Call) -> api.Call | api.Refusal:
        """Return a request as it may be sent by now.

        Its key may have moved to another tenant, in whose quota the request
        counts then. It is sent without a tenant on a public route if its key
        is no longer valid; on other routes it is refused. Requests that came
        when no tenants were declared are not affected.
        """
        if call.tenant is None or not self._declared:
            return call
        tenant = self._directory.find_digest(call.key_digest)
        if tenant is not None and tenant.name == call.tenant.name:
            return call
        if tenant is None and not call.route.public:
            return api.Refusal(
                api.RefusalReason.UNAUTHORIZED,
                _UNAUTHORIZED,
                0.0,
                'key_revoked',
            )
        refusal = self._accounts.move(call, tenant)
        if refusal is not None:
            return refusal
        key_digest = b'' if tenant is None else call.key_digest
        return call._replace(tenant=tenant, key_digest=key_digest)
