"""Computes how many endpoints an artifact needs, with hysteresis."""

from __future__ import annotations

import dataclasses
import math


@dataclasses.dataclass(frozen=True, slots=True)
class DemandSettings:
    """Thresholds at which the number of endpoints changes.

    Attributes:
        grow_load: Load of an endpoint, as a fraction of its capacity, above which
            another endpoint is needed.
        shrink_load: Maximum load of the remaining endpoints, as a fraction of their
            capacity, at which one endpoint may be removed.
        shrink_delay_s: Time for which the load must stay at or below `shrink_load`
            before a removal, in seconds.
        spare: Endpoints kept in addition to those needed for the load.
    """

    grow_load: float = 0.75
    shrink_load: float = 0.65
    shrink_delay_s: float = 600.0
    spare: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Need:
    """Number of endpoints that an artifact needs.

    Attributes:
        count: The number of endpoints.
        low_since: Time since which fewer endpoints have been enough; None if they are
            not.
    """

    count: int
    low_since: float | None = None


def average_rate(
    average_per_s: float, sample_per_s: float, elapsed_s: float, half_life_s: float
) -> float:
    """Returns an exponentially weighted moving average updated with a sample."""
    decay = math.exp2(-elapsed_s / half_life_s)
    return average_per_s * decay + sample_per_s * (1.0 - decay)


def update_need(
    need: Need,
    demand_per_s: float,
    capacity_per_s: float,
    settings: DemandSettings,
    now: float,
) -> Need:
    """Raises the need at once, and lowers it by one after demand stayed low.

    Args:
        need: Previous need.
        demand_per_s: Requested tokens per second, averaged over about a minute: the
            need decreases slowly, so a single peak must not raise it.
        capacity_per_s: Tokens per second that one endpoint generates.
        settings: Thresholds.
        now: Present time, in seconds.

    Returns:
        The need at `now`, at least one endpoint.
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
    if now - need.low_since < settings.shrink_delay_s:
        return need
    return Need(need.count - 1, now)
