"""Tests of the gate, the gated repair and decayed popularity."""

from chicoryweir_policy.maps import gates
from chicoryweir_policy.maps import placement
from chicoryweir_policy.maps import popularity
from chicoryweir_policy.maps import rebalancers

SETTINGS = gates.GateSettings()


def record_skews(skews: list[float], interval_s: float) -> gates.GateState:
    state = gates.GateState()
    for number, skew in enumerate(skews):
        state = gates.record_skew(state, SETTINGS, skew, number * interval_s)
    return state


def test_short_peak_does_not_open_the_gate() -> None:
    state = record_skews([1.2, 1.2, 1.0, 1.2], 40.0)
    assert not gates.is_open(state, SETTINGS, 130.0)


def test_sustained_skew_opens_the_gate() -> None:
    state = record_skews([1.2, 1.06, 1.07], 40.0)
    assert gates.is_open(state, SETTINGS, 80.0)


def test_steady_skew_below_unconditional_bound_does_not_open_the_gate() -> None:
    noisy = [1.079 + 0.004 * (number % 3) for number in range(500)]
    for length in range(2, 500, 7):
        state = record_skews(noisy[:length], 10.0)
        assert not gates.is_open(state, SETTINGS, length * 10.0)


def test_rise_above_lower_bound_opens_the_gate() -> None:
    state = record_skews([1.04] * 60 + [1.085] * 8, 10.0)
    assert gates.is_open(state, SETTINGS, 680.0)


def test_gate_stays_closed_during_cooldown_after_a_change() -> None:
    state = gates.record_change(record_skews([1.2], 1.0), 0.0)
    state = gates.record_skew(state, SETTINGS, 1.2, 10.0)
    assert not gates.is_open(state, SETTINGS, 119.0)
    assert gates.is_open(state, SETTINGS, 121.0)


def test_gain_must_exceed_cost_of_moves() -> None:
    assert gates.is_worthwhile(SETTINGS, 1.2, 1.05, 20)
    assert not gates.is_worthwhile(SETTINGS, 1.2, 1.19, 1)
    assert not gates.is_worthwhile(SETTINGS, 1.2, 1.05, 2000)
    assert not gates.is_worthwhile(SETTINGS, 1.2, 1.05, 0)


def test_even_load_causes_no_moves() -> None:
    rebalancer = rebalancers.GatedRepair(SETTINGS, rebalancers.RepairSettings())
    current_map = placement.create_map(2, [[0], [1]])
    for number in range(500):
        assert rebalancer.propose_map(current_map, (0.51, 0.49), number * 10.0) is None


def test_shift_of_load_causes_one_proposal() -> None:
    rebalancer = rebalancers.GatedRepair(SETTINGS, rebalancers.RepairSettings())
    current_map = placement.create_map(2, [[0], [0], [1], [1]])
    proposals = []
    for number in range(50):
        found = rebalancer.propose_map(current_map, (0.4, 0.4, 0.1, 0.1), number * 10.0)
        while rebalancer.is_busy():
            found = rebalancer.propose_map(
                current_map, (0.4, 0.4, 0.1, 0.1), number * 10.0
            )
        if found is not None:
            proposals.append(found)
            current_map = found
    assert [found.compute_skew((0.4, 0.4, 0.1, 0.1)) for found in proposals] == [1.0]


def test_old_counts_decay_by_half_life() -> None:
    found = popularity.create_popularity(2, 0.0)
    assert found.compute_shares() == (0.5, 0.5)
    found = popularity.add_counts(found, (80, 0), 60.0, 0.0)
    found = popularity.add_counts(found, (0, 40), 60.0, 60.0)
    assert found.weights == (40.0, 40.0)
