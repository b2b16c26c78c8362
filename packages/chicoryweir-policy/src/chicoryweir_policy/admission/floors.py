"""Minimum share of an endpoint's capacity (floor) of each priority class.

The most urgent backlogged class is served first, except that a class that received less
than its floor share of all tokens while backlogged takes precedence.
"""

from __future__ import annotations

import collections.abc

from chicoryweir_policy import requests

# Bounds how long service above the floor counts against a class, so that a short burst
# of a more urgent class is not interrupted, yet the floor is not withheld for long.
MAX_SURPLUS_S = 1.0

_CLASSES = tuple(requests.PriorityClass)


def normalize_shares(
    shares: collections.abc.Sequence[float],
) -> tuple[float, ...]:
    """Scales floor shares down so that their sum is at most 1."""
    total = sum(shares)
    if total <= 1.0:
        return tuple(shares)
    return tuple(share / total for share in shares)


class FloorTracker:
    """Tracks the deficit of each class against its floor, in tokens.

    A negative deficit means that the class was served above its floor.
    """

    def __init__(self) -> None:
        self._shares = [0.0] * len(_CLASSES)
        self._deficit_tokens = [0.0] * len(_CLASSES)

    @property
    def shares(self) -> tuple[float, ...]:
        """Floor shares by class, normalized to a sum of at most 1."""
        return normalize_shares(self._shares)

    def set_share(self, priority: requests.PriorityClass, share: float) -> None:
        """Sets the floor share of a class."""
        self._shares[priority] = share

    def get_surplus(self, priority: requests.PriorityClass) -> float:
        """Returns the tokens that a class was served above its floor."""
        return max(0.0, -self._deficit_tokens[priority])

    def select_class(
        self, backlogged: collections.abc.Sequence[bool]
    ) -> requests.PriorityClass | None:
        """Selects the class to serve next; None when no class is backlogged."""
        candidates = [priority for priority in _CLASSES if backlogged[priority]]
        for priority in candidates:
            if self._deficit_tokens[priority] > 0.0:
                return priority
        return candidates[0] if candidates else None

    def charge(
        self,
        served: requests.PriorityClass,
        tokens: float,
        backlogged: collections.abc.Sequence[bool],
        tokens_per_s: float,
    ) -> None:
        """Records served tokens and adds each backlogged class's share to its deficit.

        Args:
            served: Class that was served.
            tokens: Tokens served; negative to correct an estimate that was too high.
            backlogged: Whether each class had queued work at that time.
            tokens_per_s: Throughput of the endpoint; bounds the surplus of a class.
        """
        had_deficit = self._deficit_tokens[served] > 0.0
        for priority, share in zip(_CLASSES, self.shares, strict=True):
            deficit = self._deficit_tokens[priority]
            updated = deficit + share * tokens
            if priority == served:
                updated -= tokens
                if not had_deficit:
                    lowest = -share * tokens_per_s * MAX_SURPLUS_S
                    updated = max(updated, min(deficit, lowest))
            if not backlogged[priority]:
                updated = min(updated, 0.0)
            self._deficit_tokens[priority] = updated


def predict_waits(
    tokens: collections.abc.Sequence[float],
    shares: collections.abc.Sequence[float],
    tokens_per_s: float,
) -> tuple[float, ...]:
    """Predicts when the last queued request of each class starts.

    Each backlogged class gets its floor share and the most urgent one also the rest;
    when a class drains, its share goes to the remaining classes.

    Args:
        tokens: Queued tokens by class.
        shares: Floor shares by class, their sum at most 1.
        tokens_per_s: Throughput of the endpoint.

    Returns:
        Seconds from now, by class; 0 for a class with no queued work.
    """
    remaining_tokens = list(tokens)
    waits = [0.0] * len(remaining_tokens)
    elapsed_s = 0.0
    while any(amount > 0.0 for amount in remaining_tokens):
        rates = _divide_rate(remaining_tokens, shares, tokens_per_s)
        step_s = min(
            amount / rate
            for amount, rate in zip(remaining_tokens, rates, strict=True)
            if amount > 0.0 and rate > 0.0
        )
        elapsed_s += step_s
        for index, rate in enumerate(rates):
            if remaining_tokens[index] <= 0.0:
                continue
            rest = remaining_tokens[index] - rate * step_s
            done = rate > 0.0 and remaining_tokens[index] / rate <= step_s
            remaining_tokens[index] = 0.0 if done else max(rest, 0.0)
            waits[index] = elapsed_s
    return tuple(waits)


def _divide_rate(
    remaining_tokens: collections.abc.Sequence[float],
    shares: collections.abc.Sequence[float],
    tokens_per_s: float,
) -> list[float]:
    rates = [
        share * tokens_per_s if amount > 0.0 else 0.0
        for amount, share in zip(remaining_tokens, shares, strict=True)
    ]
    first = next(index for index, amount in enumerate(remaining_tokens) if amount > 0.0)
    rates[first] += max(0.0, tokens_per_s - sum(rates))
    return rates
