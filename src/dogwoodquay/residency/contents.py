"""The contents of one engine process, from its reports and accepted orders.

Each order carries the number of orders that the engine must have accepted
before it. Of all orders sent with the same number, including delayed and lost
ones, at most one takes effect. An order is therefore safe if it fits into the
memory beside the contents that belong to its number.
"""

from __future__ import annotations

import typing

from . import api

if typing.TYPE_CHECKING:
    from ..fleet import api as fleet_api
    from ..routes import api as routes_api

__all__ = ['EngineContents', 'UnresolvedOrder']

# Limit of the adapters that one engine loads at the same time.
MAX_LOADING_ADAPTERS: typing.Final = 4


class UnresolvedOrder(typing.NamedTuple):
    """An order without a known result, which may still reach the server.

    It takes effect only if the process that receives it has accepted exactly
    ``order_number`` orders.
    """

    order_number: int
    order: api.Order


class EngineContents:
    """The possible contents of one engine process.

    The class does no I/O and reads no clock.
    """

    def __init__(
        self,
        server: fleet_api.ServerEntry,
        spec: routes_api.EngineSpec,
        unresolved: tuple[UnresolvedOrder, ...] = (),
    ) -> None:
        """Start without known contents.

        :param unresolved: orders to earlier processes of the same server
            that may still reach this one.
        """
        self._server = server
        self._spec = spec
        self._models: dict[str, set[str]] = {}
        self._loading_adapters: set[tuple[str, str]] = set()
        self._unloading_models: set[str] = set()
        self._loading_model = ''
        self._busy = False
        self._order_number = 0
        self._known = False
        self._order_in_flight: api.Order | None = None
        self._unanswered_orders: list[UnresolvedOrder] = []
        self._inherited_orders = unresolved
        self._report: api.EngineReport | None = None

    @property
    def server(self) -> fleet_api.ServerEntry:
        """The newest entry of the engine's process."""
        return self._server

    @property
    def spec(self) -> routes_api.EngineSpec:
        """The engine's memory and the models that it can load."""
        return self._spec

    @property
    def known(self) -> bool:
        """Whether the contents are those that belong to ``order_number``."""
        return self._known

    @property
    def busy(self) -> bool:
        """Whether the engine is loading or unloading a model."""
        return self._busy

    @property
    def awaiting_answer(self) -> bool:
        """Whether an order has been sent and has no answer yet."""
        return self._order_in_flight is not None

    @property
    def order_number(self) -> int:
        """The number of orders that the process has accepted."""
        return self._order_number

    @property
    def loading_model(self) -> str:
        """The name of the model that is being loaded, or an empty string."""
        return self._loading_model

    @property
    def unresolved_orders(self) -> tuple[UnresolvedOrder, ...]:
        """The orders that may still reach this process or a later one."""
        return (*self._inherited_orders, *self._unanswered_orders)

    @property
    def report(self) -> api.EngineReport | None:
        """The newest report that was applied to the contents."""
        return self._report

    @property
    def adapters(self) -> list[tuple[str, str]]:
        """The adapters that use a slot, as pairs of model and adapter.

        Adapters that are still loading are included.
        """
        present = {
            (model, adapter)
            for model, adapters in self._models.items()
            for adapter in adapters
        }
        return sorted(present | self._loading_adapters)

    @property
    def loading_adapters(self) -> frozenset[tuple[str, str]]:
        """The adapters that are being loaded."""
        return frozenset(self._loading_adapters)

    def models(self) -> dict[str, frozenset[str]]:
        """Return the models that can serve requests, with their adapters."""
        return {
            model: frozenset(adapters)
            for model, adapters in self._models.items()
            if model != self._loading_model
            and model not in self._unloading_models
        }

    def occupies(self, model: str) -> bool:
        """Whether a model uses memory, also while it loads or unloads."""
        return model in self._models

    def update_server(
        self, server: fleet_api.ServerEntry, spec: routes_api.EngineSpec
    ) -> None:
        """Update the entry and the specification of the same process."""
        self._server = server
        self._spec = spec

    def observe(self, report: api.EngineReport) -> bool:
        """Apply a report unless it is older than the last accepted order.

        A report is also ignored while an order has no answer, as it may be
        from before or after that order.

        :return: whether the report was applied.
        """
        if self._order_in_flight is not None:
            return False
        if self._known and report.order_number < self._order_number:
            return False
        self._order_number = report.order_number
        self._models = {
            model.name: set(model.adapters) for model in report.models
        }
        self._loading_adapters = set(report.loading_adapters)
        self._busy = report.busy
        if not report.busy:
            self._loading_model = ''
            self._unloading_models.clear()
        self._known = True
        self._report = report
        self._drop_superseded()
        return True

    def invalidate(self) -> None:
        """Mark the contents as unknown until the next report."""
        self._known = False

    def free_megabytes(self) -> float:
        """Return the memory left if all inherited model loads take effect.

        Inherited orders are those to earlier processes of the server.
        """
        used = sum(self._megabytes(model) for model in self._models)
        used += sum(
            self._adapter_megabytes(model) for model, _ in self.adapters
        )
        used += sum(
            self._megabytes(unresolved.order.model)
            for unresolved in self._inherited_orders
            if isinstance(unresolved.order, api.LoadModel)
        )
        return self._spec.megabytes - used

    def free_adapter_slots(self) -> int:
        """Return the slots left if all inherited adapter loads take effect."""
        inherited_loads = sum(
            isinstance(unresolved.order, api.LoadAdapter)
            for unresolved in self._inherited_orders
        )
        return self._spec.max_adapters - len(self.adapters) - inherited_loads

    def permits(self, order: api.Order) -> bool:
        """Whether an order is safe to send with the current number."""
        if not self._known or self._busy or self._order_in_flight is not None:
            return False
        match order:
            case api.LoadModel(model):
                return not self.occupies(model) and self._fits(model)
            case api.UnloadModel(model):
                return self.occupies(model)
            case api.LoadAdapter(model, adapter):
                return (
                    model in self.models()
                    and (model, adapter) not in self.adapters
                    and self.free_adapter_slots() > 0
                    and len(self._loading_adapters) < MAX_LOADING_ADAPTERS
                    and self._adapter_megabytes(model) <= self.free_megabytes()
                )
            case api.UnloadAdapter(model, adapter):
                return adapter in self._models.get(model, ())

    def begin_order(self, order: api.Order) -> int:
        """Record that an order is being sent; return the number to send."""
        self._order_in_flight = order
        return self._order_number

    def on_answer(self, answer: api.OrderAnswer) -> None:
        """Apply the answer to the order that was sent."""
        order, self._order_in_flight = self._order_in_flight, None
        if order is None:
            return
        match answer:
            case api.OrderAnswer.ACCEPTED:
                self._order_number += 1
                self._apply(order)
            case api.OrderAnswer.HOLDS_ALREADY:
                self._apply_in_effect(order)
            case api.OrderAnswer.UNSENT:
                pass
            case api.OrderAnswer.UNKNOWN:
                # The next order carries the same number, so the engine
                # refuses it if this one took effect.
                self._unanswered_orders.append(
                    UnresolvedOrder(self._order_number, order)
                )
            case _:
                self._known = False
        self._drop_superseded()

    def on_adapter_loaded(self, model: str, adapter: str) -> None:
        """Record that an adapter has finished loading."""
        if (
            model,
            adapter,
        ) in self._loading_adapters and model in self._models:
            self._loading_adapters.discard((model, adapter))
            self._models[model].add(adapter)

    def _apply(self, order: api.Order) -> None:
        match order:
            case api.LoadModel(model):
                self._models[model] = set()
                self._loading_model = model
                self._busy = True
            case api.UnloadModel(model):
                self._unloading_models.add(model)
                self._busy = True
            case api.LoadAdapter(model, adapter):
                self._loading_adapters.add((model, adapter))
            case api.UnloadAdapter():
                # The engine unloads it when its last request ends, which
                # only a later report shows.
                self._known = False

    def _apply_in_effect(self, order: api.Order) -> None:
        """Apply the answer that the state an order asks for holds already.

        The engine answers this to the unload of an unused adapter, which it
        completes at once and counts as accepted.
        """
        match order:
            case api.UnloadAdapter(model, adapter):
                self._models.get(model, set()).discard(adapter)
                self._order_number += 1
            case _:
                self._known = False

    def _fits(self, model: str) -> bool:
        return self._megabytes(model) <= self.free_megabytes()

    def _megabytes(self, model: str) -> float:
        """Return a model's size, or all memory for an undeclared model."""
        spec = self._spec.models.get(model)
        return self._spec.megabytes if spec is None else spec.megabytes

    def _adapter_megabytes(self, model: str) -> float:
        spec = self._spec.models.get(model)
        return 0.0 if spec is None else spec.adapter_megabytes

    def _drop_superseded(self) -> None:
        """Drop orders that this process would refuse by their number."""
        self._inherited_orders = tuple(
            unresolved
            for unresolved in self._inherited_orders
            if unresolved.order_number >= self._order_number
        )
        self._unanswered_orders = [
            unresolved
            for unresolved in self._unanswered_orders
            if unresolved.order_number >= self._order_number
        ]
