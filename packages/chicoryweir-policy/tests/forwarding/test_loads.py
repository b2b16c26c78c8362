"""Sums of the work of many entries."""

import hypothesis
from hypothesis import strategies

from chicoryweir_policy.forwarding import loads

PEERS = ("p", "q", "r")
INSTANCES = ("a", "b", "c")


def _add_up(own, told, now):
    """Returns the requests at each instance, worked out anew."""
    totals = dict.fromkeys(INSTANCES, 0)
    for instance in own:
        totals[instance] += 1
    for work, at in told.values():
        if now - at <= loads.EXPIRY_S:
            for instance, done in work.items():
                totals[instance] += done.requests
    return totals


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["start", "finish", "tell", "forget", "wait"]),
            strategies.sampled_from(INSTANCES),
            strategies.sampled_from(PEERS),
            strategies.integers(1, 5),
        ),
        max_size=60,
    )
)
def test_sums_are_those_of_all_that_entries_told_lately(steps):
    table = loads.LoadTable()
    own, told, now = [], {}, 0.0
    for kind, instance, peer, count in steps:
        match kind:
            case "start":
                table.record_start(instance, 10.0)
                own.append(instance)
            case "finish" if instance in own:
                table.record_finish(instance, 10.0)
                own.remove(instance)
            case "tell":
                work = {instance: loads.Load(count, 10.0 * count)}
                table.set_peer(peer, work, now)
                told[peer] = (work, now)
            case "forget":
                table.forget_peer(peer)
                told.pop(peer, None)
            case "wait":
                now += count / 4
        expected = _add_up(own, told, now)
        for name, requests in expected.items():
            measured = table.get_load(name, now)
            assert measured.requests == requests
            assert measured.memory_tokens == 10.0 * requests
