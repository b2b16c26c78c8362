"""Tests of the summed load of all entries."""

import hypothesis
from hypothesis import strategies

from chicoryweir_policy.forwarding import loads

PEERS = ("p", "q", "r")
INSTANCES = ("a", "b", "c")


def _sum_requests(own, announced, now):
    """Returns the requests at each instance, summed from scratch."""
    totals = dict.fromkeys(INSTANCES, 0)
    for instance in own:
        totals[instance] += 1
    for peer_loads, at in announced.values():
        if now - at <= loads.EXPIRY_S:
            for instance, load in peer_loads.items():
                totals[instance] += load.requests
    return totals


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["start", "finish", "announce", "forget", "wait"]),
            strategies.sampled_from(INSTANCES),
            strategies.sampled_from(PEERS),
            strategies.integers(1, 5),
        ),
        max_size=60,
    )
)
def test_totals_equal_sum_of_own_and_unexpired_peer_loads(steps):
    table = loads.LoadTable()
    own, announced, now = [], {}, 0.0
    for kind, instance, peer, count in steps:
        match kind:
            case "start":
                table.record_start(instance, 10.0)
                own.append(instance)
            case "finish" if instance in own:
                table.record_finish(instance, 10.0)
                own.remove(instance)
            case "announce":
                peer_loads = {instance: loads.Load(count, 10.0 * count)}
                table.set_peer(peer, peer_loads, now)
                announced[peer] = (peer_loads, now)
            case "forget":
                table.forget_peer(peer)
                announced.pop(peer, None)
            case "wait":
                now += count / 4
        expected = _sum_requests(own, announced, now)
        for name, requests in expected.items():
            measured = table.get_load(name, now)
            assert measured.requests == requests
            assert measured.memory_tokens == 10.0 * requests
