"""Orders to an engine, with or without a check of fencing tokens."""

from __future__ import annotations

import dataclasses
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An order to load or unload a model or an adapter, or to change role.

    Attributes:
        fence: Fencing token of the sender.
        order_id: Identifier; a second order with the same one is not executed.
        kind: load_model, unload_model, load_adapter or set_role.
        name: Name of the model, adapter or role.
    """

    fence: int
    order_id: str
    kind: str
    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Done:
    """The order took effect, now or earlier."""


@dataclasses.dataclass(frozen=True, slots=True)
class Stale:
    """The order's fencing token is below the highest one seen."""

    highest_fence: int


class OrderExecutor:
    """Executes orders that change the engine's models, adapters and role."""

    def __init__(self, models: tuple[str, ...], checks_fencing: bool) -> None:
        """Creates an executor with these models loaded."""
        self.models = list(models)
        self.adapters: list[str] = []
        self.role = "mixed"
        self._checks_fencing = checks_fencing
        self._highest_fence = 0
        self._applied: dict[str, Order] = {}

    def accept_fence(self, fence: int) -> Stale | None:
        """Records a fencing token, or returns Stale if it must be rejected."""
        if self._checks_fencing and fence < self._highest_fence:
            return Stale(self._highest_fence)
        self._highest_fence = max(self._highest_fence, fence)
        return None

    def apply(self, order: Order) -> Done | Stale:
        """Executes an order unless its fence is stale or it was applied before."""
        stale = self.accept_fence(order.fence)
        if stale is not None:
            return stale
        if order.order_id not in self._applied:
            self._applied[order.order_id] = order
            self._execute(order)
        return Done()

    def list_applied(self) -> list[dict[str, typing.Any]]:
        """Returns the orders that took effect, oldest first."""
        return [dataclasses.asdict(order) for order in self._applied.values()]

    def _execute(self, order: Order) -> None:
        match order.kind:
            case "load_model":
                if order.name not in self.models:
                    self.models.append(order.name)
            case "unload_model":
                self.models = [name for name in self.models if name != order.name]
            case "load_adapter":
                self.adapters.append(order.name)
            case "set_role":
                self.role = order.name
            case _:
                raise ValueError(f"unknown kind of order: {order.kind}")
