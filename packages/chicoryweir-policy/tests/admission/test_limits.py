"""Tests of workspace limits enforced across all entries."""

from __future__ import annotations

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from chicoryweir_policy.admission import limits
from chicoryweir_policy.admission import shares

LIMITS = limits.Limits(700.0, 1400.0, 14)
RATE_ONLY = limits.Limits(700.0, 700.0, None)


def exchange(limiters, now):
    for name, limiter in limiters.items():
        asks = limiter.tick(now)
        for other, peer in limiters.items():
            if asks is not None and other != name:
                limiter.borrow(peer.lend(asks, now), now)


def run_demand(limiters, demands, seconds, exchanging=True, start=0.0):
    """Returns the tokens admitted by each entry for its demand in tokens per second."""
    admitted = dict.fromkeys(limiters, 0.0)
    cost = 10.0
    for step in range(int(seconds * 10)):
        now = start + step / 10
        for name, per_s in demands.items():
            for index in range(int(per_s / cost / 10)):
                decision = limiters[name].decide(
                    f"{name}-{now}-{index}", "relay", RATE_ONLY, cost, now
                )
                if decision == limits.Allowed():
                    admitted[name] += cost
                    limiters[name].record_ended("relay", 0.0, now)
        if exchanging:
            exchange(limiters, now)
    return admitted


def make_limiters(count=7):
    return {f"e{i}": limits.create_limiter(f"e{i}", count) for i in range(count)}


def test_isolated_entry_stays_within_its_own_share() -> None:
    limiters = make_limiters()
    admitted = run_demand(limiters, {"e0": 2000.0}, 20.0, exchanging=False)
    assert admitted["e0"] == pytest.approx((700.0 * 20 + 700.0) / 7, rel=0.05)


def test_one_busy_entry_borrows_most_of_the_limit() -> None:
    admitted = run_demand(make_limiters(), {"e0": 2000.0}, 20.0)
    assert 0.8 * 700.0 * 20 <= admitted["e0"] <= 700.0 * 21


def test_busy_entries_together_stay_within_the_limit() -> None:
    demands = {f"e{i}": 2000.0 for i in range(7)}
    admitted = run_demand(make_limiters(), demands, 20.0)
    assert 0.95 * 700.0 * 20 <= sum(admitted.values()) <= 700.0 * 21 + 7 * 10.0
    assert min(admitted.values()) >= 0.9 * 700.0 * 20 / 7


def test_shares_follow_demand_to_another_entry() -> None:
    limiters = make_limiters()
    run_demand(limiters, {"e0": 2000.0}, 10.0)
    admitted = run_demand(limiters, {"e1": 2000.0}, 30.0, start=10.0)
    assert admitted["e1"] >= 0.6 * 700.0 * 30


def test_requests_in_progress_are_limited_until_they_end() -> None:
    limiter = limits.create_limiter("e0", 2)
    inflight_limit = limits.Limits(None, 0.0, 4)
    decisions = [
        limiter.decide(str(i), "relay", inflight_limit, 1.0, 0.0) for i in range(3)
    ]
    assert decisions[:2] == [limits.Allowed()] * 2
    assert decisions[2].reason is limits.Reason.INFLIGHT
    limiter.record_ended("relay", 0.0, 1.0)
    assert limiter.decide("4", "relay", inflight_limit, 1.0, 1.0) == limits.Allowed()


def test_entry_borrows_early_when_the_limit_is_below_the_number_of_entries() -> None:
    limiters = make_limiters()
    inflight_limit = limits.Limits(None, 0.0, 4)
    exchange(limiters, 0.0)
    first = limiters["e0"].decide("1", "relay", inflight_limit, 1.0, 0.5)
    assert isinstance(first, limits.OverLimit)
    assert first.retry_after_ms <= 300
    exchange(limiters, 0.55)
    assert (
        limiters["e0"].decide("2", "relay", inflight_limit, 1.0, 0.6)
        == limits.Allowed()
    )


def test_request_larger_than_the_burst_is_admitted_and_delays_later_ones() -> None:
    limiter = limits.create_limiter("e0", 1)
    assert limiter.decide("1", "relay", RATE_ONLY, 2100.0, 0.0) == limits.Allowed()
    over_limit = limiter.decide("2", "relay", RATE_ONLY, 10.0, 1.0)
    assert over_limit.reason is limits.Reason.RATE
    assert over_limit.retry_after_ms >= 500
    assert limiter.decide("3", "relay", RATE_ONLY, 10.0, 2.1) == limits.Allowed()


def test_workspace_without_limits_leaves_no_state() -> None:
    limiter = limits.create_limiter("e0", 7)
    unlimited = limits.Limits(None, 0.0, None)
    assert limiter.decide("1", "relay", unlimited, 1e9, 0.0) == limits.Allowed()
    assert limiter.tick(1.0) == shares.Asks("e0", 1.0, ())


class EntriesMachine(stateful.RuleBasedStateMachine):
    """Checks the limits while entries join and leave.

    Messages between entries may be late, duplicated or lost.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.limiters = make_limiters(3)
        self.offsets = dict.fromkeys(self.limiters, 0.0)
        self.owned = [(0.0, name, 1 / 3) for name in self.limiters]
        self.messages = []
        self.admitted = []

    def read_clock(self, name):
        return self.now + self.offsets[name]

    @stateful.rule(
        data=strategies.data(),
        cost=strategies.floats(1.0, 500.0),
        count=strategies.integers(1, 8),
    )
    def submit(self, data, cost, count) -> None:
        name = data.draw(strategies.sampled_from(list(self.limiters)))
        for index in range(count):
            decision = self.limiters[name].decide(
                str(index), "relay", RATE_ONLY, cost, self.read_clock(name)
            )
            if decision == limits.Allowed():
                self.admitted.append((self.now, cost))

    @stateful.rule()
    def tick_all(self) -> None:
        for name, limiter in self.limiters.items():
            asks = limiter.tick(self.read_clock(name))
            if asks is not None and asks.asks:
                self.messages.extend(
                    (name, peer, asks) for peer in self.limiters if peer != name
                )

    @stateful.precondition(lambda self: self.messages)
    @stateful.rule(data=strategies.data(), count=strategies.integers(1, 6))
    def deliver_in_any_order(self, data, count) -> None:
        for _ in range(count):
            sender, receiver, message = data.draw(
                strategies.sampled_from(self.messages)
            )
            limiter = self.limiters.get(receiver)
            if limiter is None:
                continue
            now = self.read_clock(receiver)
            if isinstance(message, shares.Asks):
                loans = limiter.lend(message, now)
                self.messages.append((receiver, sender, loans))
            else:
                limiter.borrow(message, now)

    @stateful.rule(step=strategies.floats(0.01, 4.0))
    def pass_time(self, step) -> None:
        self.now += step

    @stateful.precondition(lambda self: len(self.limiters) < 6)
    @stateful.rule(offset=strategies.floats(0.0, 1000.0))
    def join(self, offset) -> None:
        name = f"j{len(self.owned)}"
        count = len(self.limiters) + 1
        self.limiters[name] = limits.create_limiter(name, count)
        self.offsets[name] = offset
        self.owned.append((self.now, name, 1 / count))

    @stateful.precondition(lambda self: len(self.limiters) > 2)
    @stateful.rule(data=strategies.data())
    def leave(self, data) -> None:
        name = data.draw(strategies.sampled_from(list(self.limiters)))
        del self.limiters[name]
        self.owned.append((self.now, name, 0.0))

    @stateful.rule(data=strategies.data())
    def update_entry_count(self, data) -> None:
        name = data.draw(strategies.sampled_from(list(self.limiters)))
        count = len(self.limiters)
        self.limiters[name].set_entries(count, self.read_clock(name))
        self.owned.append((self.now, name, 1 / count))

    def bound_shares(self, since):
        """Sums the largest share that each entry owned at any time since `since`."""
        largest_shares = {}
        for at, name, share in self.owned:
            previous = largest_shares.get(name, 0.0) if at >= since else 0.0
            largest_shares[name] = max(share, previous)
        return sum(largest_shares.values())

    @stateful.invariant()
    def shares_stay_within_the_bound(self) -> None:
        held = sum(
            limiter.get_share("relay", self.read_clock(name))
            for name, limiter in self.limiters.items()
        )
        assert held <= self.bound_shares(self.now - shares.LEASE_S - 1e-6) + 1e-6

    @stateful.invariant()
    def tokens_stay_within_the_bound(self) -> None:
        entries = {name for _, name, _ in self.owned}
        bound = self.bound_shares(-1.0)
        for start in {0.0, self.now - 3.0, self.now - 10.0}:
            used = sum(cost for at, cost in self.admitted if at >= start)
            earned = 700.0 + 700.0 * (self.now - max(start, 0.0))
            assert used <= earned * bound + 500.0 * len(entries) + 1e-6


EntriesMachine.TestCase.settings = hypothesis.settings(
    max_examples=200, stateful_step_count=50
)
TestEntriesMachine = EntriesMachine.TestCase
