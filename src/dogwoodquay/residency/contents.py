"""What one engine process holds, by its reports and accepted orders.

Every order names the number of orders that the engine must have accepted
before it. So of all orders that were sent under one number, late and lost
ones included, at most one ever takes effect, and an order is safe if it fits
beside the contents that belong to that number.
"""

from __future__ import annotations

import typing

from . import api

if typing.TYPE_CHECKING:
    from ..fleet import api as fleet_api
    from ..routes import api as routes_api

__all__ = ['EngineContents', 'LateOrder']

# Adapters that may be on their way to one engine at a time.
MAX_COMING: typing.Final = 4


class LateOrder(typing.NamedTuple):
    """An order to an earlier process that could still reach this one.

    It takes effect only if the engine has accepted ``order_number`` orders.
    """

    order_number: int
    order: api.Order


class EngineContents:
    """The contents of one engine process; pure, without time."""

    def __init__(
        self,
        server: fleet_api.ServerEntry,
        spec: routes_api.EngineSpec,
        late: tuple[LateOrder, ...] = (),
    ) -> None:
        """Make the unknown contents of a process.

        :param late: orders to an earlier process of the same server.
        """
        self._server = server
        self._spec = spec
        self._models: dict[str, set[str]] = {}
        self._coming: set[tuple[str, str]] = set()
        self._leaving_models: set[str] = set()
        self._loading = ''
        self._busy = False
        self._order_number = 0
        self._known = False
        self._sending: api.Order | None = None
        self._unanswered: list[LateOrder] = []
        self._late = late
        self._report: api.EngineReport | None = None

    @property
    def server(self) -> fleet_api.ServerEntry:
        """The entry of the engine's process."""
        return self._server

    @property
    def spec(self) -> routes_api.EngineSpec:
        """What the engine can hold."""
        return self._spec

    @property
    def known(self) -> bool:
        """Whether the contents belong to ``order_number``."""
        return self._known

    @property
    def busy(self) -> bool:
        """Whether a model is on its way in or out."""
        return self._busy

    @property
    def sending(self) -> bool:
        """Whether an order has been sent and not answered yet."""
        return self._sending is not None

    @property
    def order_number(self) -> int:
        """How many orders the process has accepted."""
        return self._order_number

    @property
    def loading(self) -> str:
        """The model that is being loaded, empty for none."""
        return self._loading

    @property
    def late_orders(self) -> tuple[LateOrder, ...]:
        """The orders that may yet reach this process or its successor."""
        return (*self._late, *self._unanswered)

    @property
    def report(self) -> api.EngineReport | None:
        """The newest report that belongs to the contents."""
        return self._report

    @property
    def adapters(self) -> list[tuple[str, str]]:
        """The adapters that take a place, coming ones included."""
        present = {
            (model, adapter)
            for model, adapters in self._models.items()
            for adapter in adapters
        }
        return sorted(present | self._coming)

    @property
    def coming(self) -> frozenset[tuple[str, str]]:
        """The adapters that are on their way."""
        return frozenset(self._coming)

    def models(self) -> dict[str, frozenset[str]]:
        """Return the adapters that can serve requests, by model."""
        return {
            model: frozenset(adapters)
            for model, adapters in self._models.items()
            if model != self._loading and model not in self._leaving_models
        }

    def occupies(self, model: str) -> bool:
        """Whether a model takes up memory, loading and leaving included."""
        return model in self._models

    def follow(
        self, server: fleet_api.ServerEntry, spec: routes_api.EngineSpec
    ) -> None:
        """Take in a newer entry of the same process."""
        self._server = server
        self._spec = spec

    def observe(self, report: api.EngineReport) -> bool:
        """Take in a report; one from before the last order is left.

        :return: whether the report belongs to the contents now.
        """
        if self._sending is not None:
            return False
        if self._known and report.order_number < self._order_number:
            return False
        self._order_number = report.order_number
        self._models = {
            model.name: set(model.adapters) for model in report.models
        }
        self._coming = set(report.adapters_coming)
        self._busy = report.busy
        if not report.busy:
            self._loading = ''
            self._leaving_models.clear()
        self._known = True
        self._report = report
        self._forget_passed()
        return True

    def lose(self) -> None:
        """Note that the contents may belong to another number."""
        self._known = False

    def free_megabytes(self) -> float:
        """Return the memory that nothing can take up, at the worst."""
        used = sum(self._megabytes(model) for model in self._models)
        used += sum(
            self._adapter_megabytes(model) for model, _ in self.adapters
        )
        used += sum(
            self._megabytes(late.order.model)
            for late in self._late
            if isinstance(late.order, api.LoadModel)
        )
        return self._spec.megabytes - used

    def free_places(self) -> int:
        """Return how many more adapters fit, at the worst."""
        waiting = sum(
            isinstance(late.order, api.LoadAdapter) for late in self._late
        )
        return self._spec.max_adapters - len(self.adapters) - waiting

    def permits(self, order: api.Order) -> bool:
        """Whether an order is safe to send under the present number."""
        if not self._known or self._busy or self._sending is not None:
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
                    and self.free_places() > 0
                    and len(self._coming) < MAX_COMING
                    and self._adapter_megabytes(model) <= self.free_megabytes()
                )
            case api.UnloadAdapter(model, adapter):
                return adapter in self._models.get(model, ())

    def send(self, order: api.Order) -> int:
        """Note that an order is being sent; return its number."""
        self._sending = order
        return self._order_number

    def answered(self, answer: api.OrderAnswer) -> None:
        """Note what came of the order that was sent."""
        order, self._sending = self._sending, None
        if order is None:
            return
        match answer:
            case api.OrderAnswer.ACCEPTED:
                self._order_number += 1
                self._apply(order)
            case api.OrderAnswer.HOLDS_ALREADY:
                self._settle(order)
            case api.OrderAnswer.UNSENT:
                pass
            case api.OrderAnswer.UNKNOWN:
                # The next order has the same number, so that it is refused
                # if this one took effect after all.
                self._unanswered.append(LateOrder(self._order_number, order))
            case _:
                self._known = False
        self._forget_passed()

    def arrived(self, model: str, adapter: str) -> None:
        """Note that an adapter's time on its way is over."""
        if (model, adapter) in self._coming and model in self._models:
            self._coming.discard((model, adapter))
            self._models[model].add(adapter)

    def _apply(self, order: api.Order) -> None:
        match order:
            case api.LoadModel(model):
                self._models[model] = set()
                self._loading = model
                self._busy = True
            case api.UnloadModel(model):
                self._leaving_models.add(model)
                self._busy = True
            case api.LoadAdapter(model, adapter):
                self._coming.add((model, adapter))
            case api.UnloadAdapter():
                # It goes when its last request ends; a report will tell.
                self._known = False

    def _settle(self, order: api.Order) -> None:
        """Take in that an order holds, as an unused adapter's unload does."""
        match order:
            case api.UnloadAdapter(model, adapter):
                self._models.get(model, set()).discard(adapter)
                self._order_number += 1
            case _:
                self._known = False

    def _fits(self, model: str) -> bool:
        return self._megabytes(model) <= self.free_megabytes()

    def _megabytes(self, model: str) -> float:
        """Return a model's size; one that is not declared counts as all."""
        spec = self._spec.models.get(model)
        return self._spec.megabytes if spec is None else spec.megabytes

    def _adapter_megabytes(self, model: str) -> float:
        spec = self._spec.models.get(model)
        return 0.0 if spec is None else spec.adapter_megabytes

    def _forget_passed(self) -> None:
        """Drop orders whose number this process is past."""
        self._late = tuple(
            late
            for late in self._late
            if late.order_number >= self._order_number
        )
        self._unanswered = [
            late
            for late in self._unanswered
            if late.order_number >= self._order_number
        ]
