"""Decides when a better map is worth the weights that it moves."""

from __future__ import annotations

import dataclasses
import math


@dataclasses.dataclass(frozen=True, slots=True)
class GateSettings:
    """When to act.

    Attributes:
        enter_skew: Skew at which a better map is looked for while the skew rises.
        unconditional_skew: Skew at which one is looked for in any case.
        leave_skew: Skew below which the wait ends.
        rise_min: Distance to the slow average from which on the skew counts as rising.
        average_half_life_s: Half-life of that average, in seconds.
        gain_min: Skew gained at the least.
        min_high_s: Time for which the skew must have stayed high, in seconds.
        cooldown_s: Time between two changes at the least, in seconds.
        move_cost_s: Time of the group that one move is taken to cost, in seconds.
        horizon_s: Time for which a map is expected to keep its worth, in seconds.
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
    """What a gate remembers.

    Attributes:
        high_since: Since when the skew is high; None while it is not.
        average: Slow average of the skew since the map changed; None without any.
        updated_at: When the average was last updated.
        changed_at: When the map changed last; None when it never did.
    """

    high_since: float | None = None
    average: float | None = None
    updated_at: float = 0.0
    changed_at: float | None = None


def record_skew(
    state: GateState, settings: GateSettings, skew: float, now: float
) -> GateState:
    """Takes in the skew of the map in force, with hysteresis between the bounds."""
    average = skew
    if state.average is not None:
        elapsed_s = now - state.updated_at
        fade = math.exp2(-elapsed_s / settings.average_half_life_s)
        average = state.average * fade + skew * (1.0 - fade)
    state = dataclasses.replace(state, average=average, updated_at=now)
    if state.high_since is None and _is_high(settings, skew, average):
        return dataclasses.replace(state, high_since=now)
    if skew < settings.leave_skew and state.high_since is not None:
        return dataclasses.replace(state, high_since=None)
    return state


def _is_high(settings: GateSettings, skew: float, average: float) -> bool:
    """Tells whether the skew is high; sampling noise alone must not make it so."""
    if skew >= settings.unconditional_skew:
        return True
    return skew >= settings.enter_skew and skew - average >= settings.rise_min


def is_open(state: GateState, settings: GateSettings, now: float) -> bool:
    """Tells whether a better map should be looked for at `now`."""
    if state.high_since is None or now - state.high_since < settings.min_high_s:
        return False
    return state.changed_at is None or now - state.changed_at >= settings.cooldown_s


def is_worthwhile(
    settings: GateSettings, skew_before: float, skew_after: float, moves: int
) -> bool:
    """Tells whether a map is worth its moves.

    A step lasts as long as its slowest rank, so the share of time that is gained is
    the share by which the skew falls.
    """
    gain = skew_before - skew_after
    if moves == 0 or gain < settings.gain_min:
        return False
    saved_s = settings.horizon_s * gain / skew_before
    return saved_s > moves * settings.move_cost_s


def record_change(state: GateState, now: float) -> GateState:
    """Takes note that the map begins to change."""
    return GateState(changed_at=now)
