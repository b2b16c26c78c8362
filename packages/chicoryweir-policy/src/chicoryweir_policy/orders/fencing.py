"""An agent's guard before an endpoint that may not check who gives it an order."""

from __future__ import annotations

import dataclasses

from chicoryweir_policy.orders import artifacts


@dataclasses.dataclass(frozen=True, slots=True)
class FenceState:
    """What an agent remembers of orders.

    Attributes:
        incarnation: Process of its endpoint.
        highest_fence: Highest fencing number seen.
        sequence: Number of the last order passed on under it.
    """

    incarnation: str
    highest_fence: int = 0
    sequence: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The order may go to the endpoint; `guard` is what to remember."""

    guard: FenceState


@dataclasses.dataclass(frozen=True, slots=True)
class Duplicate:
    """The order, or a later one of its sender, was passed on before."""


@dataclasses.dataclass(frozen=True, slots=True)
class Stale:
    """A newer holder of the lease was heard, or the endpoint has restarted.

    Attributes:
        highest_fence: Highest fencing number seen.
        incarnation: Process of the endpoint.
    """

    highest_fence: int
    incarnation: str


Outcome = Accepted | Duplicate | Stale


def check_order(guard: FenceState, order: artifacts.Order) -> Outcome:
    """Decides whether an order goes to the endpoint."""
    if order.fence < guard.highest_fence or order.incarnation != guard.incarnation:
        return Stale(guard.highest_fence, guard.incarnation)
    if order.fence == guard.highest_fence and order.sequence <= guard.sequence:
        return Duplicate()
    return Accepted(FenceState(guard.incarnation, order.fence, order.sequence))


def record_fence(guard: FenceState, fence: int) -> FenceState:
    """Takes note of a fencing number that the endpoint or a peer reports."""
    if fence <= guard.highest_fence:
        return guard
    return FenceState(guard.incarnation, fence)


def record_restart(guard: FenceState, incarnation: str) -> FenceState:
    """Takes note of the endpoint's process; it stays fenced."""
    if incarnation == guard.incarnation:
        return guard
    return dataclasses.replace(guard, incarnation=incarnation)
