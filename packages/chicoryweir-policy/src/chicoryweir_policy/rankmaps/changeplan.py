"""Plan of a map change: the new map, and the state of the group that it starts from."""

from __future__ import annotations

import dataclasses

from chicoryweir_policy.rankmaps import orders
from chicoryweir_policy.rankmaps import rankholds


@dataclasses.dataclass(frozen=True, slots=True)
class ChangePlan:
    """A new map for a group, and the state of the group that the change starts from.

    Attributes:
        version: Version of the new map; higher than all earlier versions.
        experts: The new map.
        current: The current map; None if it is not known yet.
        ranks: Number of ranks in the group.
        epoch: Epoch of the group.
        copy_s: Time that the slowest rank needs to copy weights, in seconds.
        step_s: Current time of a step, in seconds.
        orders_lost: Whether recent orders went unanswered; if so, the held step is
            chosen further ahead.
        holding_rank: Rank that is ordered to hold the group first; another one for each
            lease.
        released: Holds that this holder has released before.
        latest_step: Step that a rollback must hold the group at or before, since ranks
            may be armed for it; None if not known.
    """

    version: int
    experts: orders.RankMap
    current: orders.RankMap | None
    ranks: int
    epoch: int
    copy_s: float
    step_s: float
    orders_lost: bool
    holding_rank: int = 0
    released: frozenset[rankholds.Hold] = frozenset()
    latest_step: int | None = None
