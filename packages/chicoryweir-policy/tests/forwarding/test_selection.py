"""Requests of unequal length on endpoints with equal slots."""

import random

from chicoryweir_policy.forwarding import demand
from chicoryweir_policy.forwarding import loads
from chicoryweir_policy.forwarding import selection

SLOTS = 6


def _play(selector, make_endpoint, seed):
    """Returns the mean over time of the most that one endpoint had under way."""
    rng = random.Random(seed)
    running = {f"e{n}": [] for n in range(16)}
    now, peaks = 0.0, []
    for number in range(600):
        now += rng.expovariate(30.0)
        for name, ends in running.items():
            running[name] = [end for end in ends if end > now]
        candidates = [
            selection.Candidate(make_endpoint(name), loads.Work(len(ends)), SLOTS, 0)
            for name, ends in running.items()
        ]
        chosen = selector.select(candidates, demand.PLAIN, str(number))
        if chosen is not None:
            end = now + rng.lognormvariate(0.0, 0.7)
            running[chosen.endpoint.instance].append(end)
        peaks.append(max(map(len, running.values())))
    return sum(peaks) / len(peaks)


def test_least_loaded_keeps_the_most_loaded_endpoint_below_a_random_choice(
    make_endpoint,
):
    for seed in range(10):
        least = _play(selection.create_selector("telavi"), make_endpoint, seed)
        chance = _play(selection.RandomChoice(), make_endpoint, seed)
        assert least < 0.75 * chance


def test_nothing_is_selected_while_none_has_room(make_endpoint):
    full = selection.Candidate(make_endpoint("a"), loads.Work(SLOTS), SLOTS, 0)
    for selector in (selection.create_selector("x"), selection.RandomChoice()):
        assert selector.select([full], demand.PLAIN, "1") is None


def test_endpoint_that_has_just_started_goes_last_among_equals(make_endpoint):
    cold = selection.Candidate(make_endpoint("a", cold_s=2.0), loads.Work(), SLOTS, 0)
    warm = selection.Candidate(make_endpoint("b"), loads.Work(), SLOTS, 0)
    chosen = selection.create_selector("telavi").select([cold, warm], demand.PLAIN, "1")
    assert chosen == warm
