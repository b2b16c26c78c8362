"""Rejects stale and duplicate orders at an agent.

The endpoint itself may not check fencing tokens.
"""

from __future__ import annotations

import dataclasses

from chicoryweir_policy.orders import artifacts


@dataclasses.dataclass(frozen=True, slots=True)
class FenceState:
    """Fencing state of an agent.

    Attributes:
        incarnation: Identifier of its endpoint's process.
        highest_fence: Highest fencing token seen.
        sequence: Number of the latest order forwarded under that token.
    """

    incarnation: str
    highest_fence: int = 0
    sequence: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The order may be forwarded; `state` is the new fencing state."""

    state: FenceState


@dataclasses.dataclass(frozen=True, slots=True)
class Duplicate:
    """The order, or a later one under the same lease, was already forwarded."""


@dataclasses.dataclass(frozen=True, slots=True)
class Stale:
    """A newer lease holder is known, or the endpoint has restarted.

    Attributes:
        highest_fence: Highest fencing token seen.
        incarnation: Identifier of the endpoint's present process.
    """

    highest_fence: int
    incarnation: str


OrderCheck = Accepted | Duplicate | Stale


def check_order(state: FenceState, order: artifacts.Order) -> OrderCheck:
    """Decides whether to forward an order to the endpoint."""
    if order.fence < state.highest_fence or order.incarnation != state.incarnation:
        return Stale(state.highest_fence, state.incarnation)
    if order.fence == state.highest_fence and order.sequence <= state.sequence:
        return Duplicate()
    return Accepted(FenceState(state.incarnation, order.fence, order.sequence))


def record_fence(state: FenceState, fence: int) -> FenceState:
    """Records a fencing token reported by the endpoint or a peer."""
    if fence <= state.highest_fence:
        return state
    return FenceState(state.incarnation, fence)


def record_restart(state: FenceState, incarnation: str) -> FenceState:
    """Records the endpoint's process and keeps the fencing token."""
    if incarnation == state.incarnation:
        return state
    return dataclasses.replace(state, incarnation=incarnation)
