"""Share of an endpoint's capacity that each priority class keeps.

The most urgent class with work goes first, but a class that has been served less
than its floor share of all tokens while it had work goes before one that has not.
"""

from __future__ import annotations

import collections.abc

from chicoryweir_policy import requests

# Service above the floor counts against a class for this long: it lets a short burst
# of a more urgent class pass undisturbed without holding the floor back for long.
MAX_SURPLUS_S = 1.0

_CLASSES = tuple(requests.PriorityClass)


def normalize_shares(
    shares: collections.abc.Sequence[float],
) -> tuple[float, ...]:
    """Scales floor shares down so that they do not exceed the whole."""
    total = sum(shares)
    if total <= 1.0:
        return tuple(shares)
    return tuple(share / total for share in shares)


class FloorTracker:
    """Tokens that each class is owed towards its floor; negative when ahead."""

    def __init__(self) -> None:
        self._shares = [0.0] * len(_CLASSES)
        self._deficit_tokens = [0.0] * len(_CLASSES)

    @property
    def shares(self) -> tuple[float, ...]:
        """Floor shares by class, their sum at most 1."""
        return normalize_shares(self._shares)

    def set_share(self, priority: requests.PriorityClass, share: float) -> None:
        """Sets the floor share of a class."""
        self._shares[priority] = share

    def get_surplus(self, priority: requests.PriorityClass) -> float:
        """Returns the tokens by which a class is ahead of its floor."""
        return max(0.0, -self._deficit_tokens[priority])

    def select_class(
        self, backlogged: collections.abc.Sequence[bool]
    ) -> requests.PriorityClass | None:
        """Selects the class to serve next among those that have work."""
        waiting = [priority for priority in _CLASSES if backlogged[priority]]
        for priority in waiting:
            if self._deficit_tokens[priority] > 0.0:
                return priority
        return waiting[0] if waiting else None

    def charge(
        self,
        served: requests.PriorityClass,
        tokens: float,
        backlogged: collections.abc.Sequence[bool],
        tokens_per_s: float,
    ) -> None:
        """Records service; every class with work is owed its share of it.

        Args:
            served: Class that was served.
            tokens: Tokens served; negative to correct an estimate that was too high.
            backlogged: Whether each class had work at that time.
            tokens_per_s: Speed of the endpoint; bounds what a class stays ahead by.
        """
        was_owed = self._deficit_tokens[served] > 0.0
        for priority, share in zip(_CLASSES, self.shares, strict=True):
            owed = self._deficit_tokens[priority]
            updated = owed + share * tokens
            if priority == served:
                updated -= tokens
                if not was_owed:
                    lowest = -share * tokens_per_s * MAX_SURPLUS_S
                    updated = max(updated, min(owed, lowest))
            if not backlogged[priority]:
                updated = min(updated, 0.0)
            self._deficit_tokens[priority] = updated


def predict_waits(
    tokens: collections.abc.Sequence[float],
    shares: collections.abc.Sequence[float],
    tokens_per_s: float,
) -> tuple[float, ...]:
    """Predicts when the waiting work of each class will have started.

    Each class with work gets its floor share and the most urgent one the rest; as a
    class runs out, its share goes to those left.

    Args:
        tokens: Tokens that wait, by class.
        shares: Floor shares by class, their sum at most 1.
        tokens_per_s: Speed of the endpoint.

    Returns:
        Seconds from now, by class; 0 for a class without work.
    """
    left = list(tokens)
    waits = [0.0] * len(left)
    elapsed_s = 0.0
    while any(amount > 0.0 for amount in left):
        rates = _divide_rate(left, shares, tokens_per_s)
        step_s = min(
            amount / rate
            for amount, rate in zip(left, rates, strict=True)
            if amount > 0.0 and rate > 0.0
        )
        elapsed_s += step_s
        for index, rate in enumerate(rates):
            if left[index] <= 0.0:
                continue
            remaining = left[index] - rate * step_s
            done = rate > 0.0 and left[index] / rate <= step_s
            left[index] = 0.0 if done else max(remaining, 0.0)
            waits[index] = elapsed_s
    return tuple(waits)


def _divide_rate(
    left: collections.abc.Sequence[float],
    shares: collections.abc.Sequence[float],
    tokens_per_s: float,
) -> list[float]:
    rates = [
        share * tokens_per_s if amount > 0.0 else 0.0
        for amount, share in zip(left, shares, strict=True)
    ]
    first = next(index for index, amount in enumerate(left) if amount > 0.0)
    rates[first] += max(0.0, tokens_per_s - sum(rates))
    return rates
