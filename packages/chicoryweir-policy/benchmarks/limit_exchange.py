"""Measures the use of a rate limit by entries that lend each other shares of it."""

from __future__ import annotations

import collections.abc
import random

from chicoryweir_policy.admission import limits

ENTRIES = 7
RATE_TOKENS_PER_S = 10_000.0
LIMITS = limits.Limits(RATE_TOKENS_PER_S, RATE_TOKENS_PER_S, None)
MEAN_COST_TOKENS = 100.0
DEMAND_FACTOR = 3.0
STEP_S = 0.1
WARM_UP_S = 10.0
DURATION_S = 130.0
MOVE_PERIOD_S = 30.0

SelectEntries = collections.abc.Callable[[float], list[int]]

DEMANDS: dict[str, tuple[SelectEntries, bool]] = {
    "one entry is asked for 3×": (lambda now: [0], True),
    "two entries are": (lambda now: [0, 1], True),
    "all entries are": (lambda now: list(range(ENTRIES)), True),
    "another entry each 30 s": (
        lambda now: [int(now / MOVE_PERIOD_S) % ENTRIES],
        True,
    ),
    "all entries are, cut off from one another": (
        lambda now: list(range(ENTRIES)),
        False,
    ),
    "one entry is, cut off": (lambda now: [0], False),
}


def measure_limit_use(select_entries: SelectEntries, linked: bool, seed: int) -> float:
    """Simulates the entries; returns the tokens admitted, in per cent of the limit."""
    rng = random.Random(seed)
    limiters = [limits.create_limiter(f"entry-{i}", ENTRIES) for i in range(ENTRIES)]
    admitted = 0.0
    for step in range(int(DURATION_S / STEP_S)):
        now = step * STEP_S
        for index in select_entries(now):
            share = DEMAND_FACTOR / len(select_entries(now))
            budget = share * RATE_TOKENS_PER_S * STEP_S
            while budget > 0.0:
                cost = rng.expovariate(1 / MEAN_COST_TOKENS)
                budget -= cost
                decision = limiters[index].decide("r", "relay", LIMITS, cost, now)
                if isinstance(decision, limits.Allowed):
                    limiters[index].record_ended("relay", 0.0, now)
                    admitted += cost if now >= WARM_UP_S else 0.0
        if linked:
            _lend_shares(limiters, now)
    return 100.0 * admitted / (RATE_TOKENS_PER_S * (DURATION_S - WARM_UP_S))


def _lend_shares(limiters: list[limits.WorkspaceLimiter], now: float) -> None:
    for limiter in limiters:
        loan_requests = limiter.tick(now)
        if loan_requests is None:
            continue
        for peer in limiters:
            if peer is not limiter:
                limiter.borrow(peer.lend(loan_requests, now), now)
