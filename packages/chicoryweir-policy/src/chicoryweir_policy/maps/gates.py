"""Decides when to search for a better map and whether its gain exceeds its cost.

Skew is the greatest rank load divided by the mean load; 1.0 is even.
"""

from __future__ import annotations

import dataclasses
import math


@dataclasses.dataclass(frozen=True, slots=True)
class GateSettings:
    """Thresholds of the gate.

    Attributes:
        enter_skew: Skew that counts as high if it is rising.
        unconditional_skew: Skew that counts as high whether or not it is rising.
        leave_skew: Skew below which it no longer counts as high.
        rise_min: Excess over the moving average at which the skew counts as rising.
        average_half_life_s: Half-life of the moving average, in seconds.
        gain_min: Minimum reduction of the skew.
        min_high_s: Time for which the skew must have been high, in seconds.
        cooldown_s: Minimum time between two changes, in seconds.
        move_cost_s: Estimated time that one move costs the group, in seconds.
        horizon_s: Time for which a map is expected to remain useful, in seconds.
    """

    enter_skew: float = 1.08
    unconditional_skew: float = 1.10
    leave_skew: float = 1.05
    rise_min: float = 0.015
    average_half_life_s: float = 600.0
    gain_min: float = 0.02
    min_high_s: float = 60.0
    cooldown_s: float = 120.0
    move_cost_s: float = 0.2
    horizon_s: float = 600.0


@dataclasses.dataclass(frozen=True, slots=True)
class GateState:
    """State of a gate.

    Attributes:
        high_since: Time since which the skew has been high; None if it is not.
        average: Moving average of the skew since the last change; None if no skew was
            recorded since.
        updated_at: Time of the last update of the average, in seconds.
        changed_at: Time of the last change of the map; None if there was none.
    """

    high_since: float | None = None
    average: float | None = None
    updated_at: float = 0.0
    changed_at: float | None = None


def record_skew(
    state: GateState, settings: GateSettings, skew: float, now: float
) -> GateState:
    """Records the skew of the current map, with hysteresis between the thresholds."""
    average = skew
    if state.average is not None:
        elapsed_s = now - state.updated_at
        decay = math.exp2(-elapsed_s / settings.average_half_life_s)
        average = state.average * decay + skew * (1.0 - decay)
    state = dataclasses.replace(state, average=average, updated_at=now)
    if state.high_since is None and _is_high(settings, skew, average):
        return dataclasses.replace(state, high_since=now)
    if skew < settings.leave_skew and state.high_since is not None:
        return dataclasses.replace(state, high_since=None)
    return state


def _is_high(settings: GateSettings, skew: float, average: float) -> bool:
    """Returns whether the skew counts as high.

    Between `enter_skew` and `unconditional_skew` it must also be rising, since sampling
    noise alone can reach that range.
    """
    if skew >= settings.unconditional_skew:
        return True
    return skew >= settings.enter_skew and skew - average >= settings.rise_min


def is_open(state: GateState, settings: GateSettings, now: float) -> bool:
    """Returns whether to search for a better map at `now`."""
    if state.high_since is None or now - state.high_since < settings.min_high_s:
        return False
    return state.changed_at is None or now - state.changed_at >= settings.cooldown_s


def is_worthwhile(
    settings: GateSettings, skew_before: float, skew_after: float, moves: int
) -> bool:
    """Returns whether the time that a map saves exceeds the cost of its moves.

    A step takes as long as its slowest rank, so the step time falls in proportion to
    the skew.
    """
    gain = skew_before - skew_after
    if moves == 0 or gain < settings.gain_min:
        return False
    saved_s = settings.horizon_s * gain / skew_before
    return saved_s > moves * settings.move_cost_s


def record_change(state: GateState, now: float) -> GateState:
    """Records that a change of the map begins; clears the recorded skew."""
    return GateState(changed_at=now)
