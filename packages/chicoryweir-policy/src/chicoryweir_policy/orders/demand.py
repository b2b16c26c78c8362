"""How many endpoints an artifact needs, with hysteresis."""

from __future__ import annotations

import dataclasses
import math


@dataclasses.dataclass(frozen=True, slots=True)
class DemandSettings:
    """When the number of endpoints changes.

    Attributes:
        grow_load: Load of an endpoint, as a share of what it can do, above which
            another is needed.
        shrink_load: Load that the endpoints left must stay under after one goes.
        shrink_keep_s: Time for which that must have held, in seconds.
        spare: Endpoints kept beyond those that the load needs.
    """

    grow_load: float = 0.75
    shrink_load: float = 0.65
    shrink_keep_s: float = 600.0
    spare: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Need:
    """Endpoints that an artifact needs.

    Attributes:
        count: Their number.
        low_since: Since when fewer would do; None while they would not.
    """

    count: int
    low_since: float | None = None


def average_rate(
    average_per_s: float, sample_per_s: float, elapsed_s: float, half_life_s: float
) -> float:
    """Returns the average of a rate after a sample, the past fading by half-life."""
    fade = math.exp2(-elapsed_s / half_life_s)
    return average_per_s * fade + sample_per_s * (1.0 - fade)


def update_need(
    need: Need,
    demand_per_s: float,
    capacity_per_s: float,
    settings: DemandSettings,
    now: float,
) -> Need:
    """Follows demand: up at once, down by one after it stayed low.

    Args:
        need: Need so far.
        demand_per_s: Tokens a second that are asked for, averaged over a minute or so;
            a single peak would count for good.
        capacity_per_s: Tokens a second that one endpoint generates.
        settings: When the number changes.
        now: Present time, in seconds.

    Returns:
        The need at `now`; it never falls below one.
    """
    wanted = math.ceil(demand_per_s / (capacity_per_s * settings.grow_load))
    wanted = max(1, wanted) + settings.spare
    if wanted > need.count:
        return Need(wanted)
    fewer = need.count - 1 - settings.spare
    if fewer < 1 or demand_per_s > fewer * capacity_per_s * settings.shrink_load:
        return Need(need.count)
    if need.low_since is None:
        return Need(need.count, now)
    if now - need.low_since < settings.shrink_keep_s:
        return need
    return Need(need.count - 1, now)
