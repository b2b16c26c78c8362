"""Tests of the limits on accepted connections."""

import pytest

from chicoryweir_daemon.lifecycle import descriptors


class _Log:
    def __init__(self):
        self.refused = []

    def record(self, number, request_id="", peer="", **inputs):
        self.refused.append(inputs["refused"])


@pytest.mark.parametrize(
    ("share", "max_descriptors", "connections"),
    [(0.6, 4_200, 2_491), (0.6, 1_124, 645), (0.6, 40, 4), (0.1, 20_000, 1_995)],
)
def test_some_descriptors_stay_for_other_uses(share, max_descriptors, connections):
    found = descriptors.compute_max_connections(share, max_descriptors)
    assert found == connections


# Guards against a log line for each of thousands of connections.
async def test_refused_connections_are_logged_at_most_once_in_a_period():
    log = _Log()
    gate = descriptors.ConnectionGate(2, log)
    assert gate.admit(1)
    assert not any(gate.admit(2) for _ in range(50))
    assert log.refused == [1]
