"""Tests of endpoint selectors with current and with outdated load information."""

import collections
import heapq
import random

import pytest

from chicoryweir_policy.forwarding import demand
from chicoryweir_policy.forwarding import loads
from chicoryweir_policy.forwarding import selection

SLOTS = 6


def _simulate(selector, make_endpoint, seed):
    """Returns the mean over time of the load of the most loaded endpoint."""
    rng = random.Random(seed)
    running = {f"e{n}": [] for n in range(16)}
    now, peaks = 0.0, []
    for number in range(600):
        now += rng.expovariate(30.0)
        for name, ends in running.items():
            running[name] = [end for end in ends if end > now]
        candidates = [
            selection.Candidate(make_endpoint(name), loads.Load(len(ends)), SLOTS, 0)
            for name, ends in running.items()
        ]
        chosen = selector.select(candidates, demand.PLAIN_DEMAND, str(number))
        if chosen is not None:
            end = now + rng.lognormvariate(0.0, 0.7)
            running[chosen.endpoint.instance].append(end)
        peaks.append(max(map(len, running.values())))
    return sum(peaks) / len(peaks)


def test_least_loaded_has_lower_peak_load_than_random_choice(
    make_endpoint,
):
    for seed in range(10):
        least = _simulate(selection.create_selector("telavi"), make_endpoint, seed)
        random_choice = _simulate(selection.RandomChoice(), make_endpoint, seed)
        assert least < 0.75 * random_choice


def test_no_endpoint_is_selected_if_none_has_capacity(make_endpoint):
    full = selection.Candidate(make_endpoint("a"), loads.Load(SLOTS), SLOTS, 0)
    for selector in (selection.create_selector("x"), selection.RandomChoice()):
        assert selector.select([full], demand.PLAIN_DEMAND, "1") is None


def test_endpoint_that_has_just_started_is_last_on_a_tie(make_endpoint):
    cold = selection.Candidate(make_endpoint("a", cold_s=2.0), loads.Load(), SLOTS, 0)
    warm = selection.Candidate(make_endpoint("b"), loads.Load(), SLOTS, 0)
    chosen = selection.create_selector("telavi").select(
        [cold, warm], demand.PLAIN_DEMAND, "1"
    )
    assert chosen == warm


def _simulate_stale_loads(
    selector, make_endpoint, seed, entries, count, rate, period_s
):
    """Returns the mean over time of the load of the most loaded endpoint.

    Each entry knows its own requests and the last announced load of the others.
    """
    rng = random.Random(seed)
    names = [f"e{n}" for n in range(count)]
    endpoints = {name: make_endpoint(name) for name in names}
    own = [collections.Counter() for _ in range(entries)]
    announced = [collections.Counter() for _ in range(entries)]
    announced_sum, actual = collections.Counter(), collections.Counter()
    due = [rng.random() * period_s for _ in range(entries)]
    ends, now, peaks = [], 0.0, []
    while now < 6.0:
        now += rng.expovariate(rate)
        while ends and ends[0][0] <= now:
            _, entry, name = heapq.heappop(ends)
            actual[name] -= 1
            own[entry][name] -= 1
        for entry in range(entries):
            if due[entry] <= now:
                announced_sum.update(own[entry])
                announced_sum.subtract(announced[entry])
                announced[entry] = own[entry].copy()
                due[entry] = now + period_s
        entry = rng.randrange(entries)
        candidates = []
        for name in names:
            known = announced_sum[name] - announced[entry][name] + own[entry][name]
            load = loads.Load(max(0, known))
            candidates.append(selection.Candidate(endpoints[name], load, 99, 0))
        chosen = selector.select(candidates, demand.PLAIN_DEMAND, f"{seed}/{now}")
        name = chosen.endpoint.instance
        actual[name] += 1
        own[entry][name] += 1
        heapq.heappush(ends, (now + rng.uniform(1.0, 2.0), entry, name))
        if now > 3.0:
            peaks.append(max(actual.values()))
    return sum(peaks) / len(peaks)


@pytest.mark.parametrize(
    ("entries", "count", "rate", "period_s", "bound"),
    [(46, 72, 150.0, 0.46, 0.8), (7, 16, 35.0, 0.1, 1.05)],
)
def test_outdated_loads_do_not_concentrate_requests_on_one_endpoint(
    make_endpoint, entries, count, rate, period_s, bound
):
    parameters = (entries, count, rate, period_s)
    few = selection.create_selector("telavi")
    every = selection.LeastLoaded("telavi")
    random_choice = selection.RandomChoice()
    sums = {
        name: sum(
            _simulate_stale_loads(selector, make_endpoint, seed, *parameters)
            for seed in range(10)
        )
        for name, selector in (
            ("few", few),
            ("every", every),
            ("random_choice", random_choice),
        )
    }
    assert sums["few"] < bound * sums["every"]
    assert sums["few"] < 0.95 * sums["random_choice"]
