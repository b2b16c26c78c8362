"""Tests that evacuated places get no request and that their running ones end whole."""

import collections

import pytest

from chicoryweir_policy import outcomes
from chicoryweir_policy import requests
from chicoryweir_policy.routing import selection
from chicoryweir_standins.simulation import evacuations
from chicoryweir_standins.simulation import exploration
from chicoryweir_standins.simulation import planned_stops
from chicoryweir_standins.simulation import simulator

AGENTS = exploration.AGENTS
LEFT = AGENTS[:2]
PLACES = {**dict.fromkeys(LEFT, "gurjaani"), "agent-3": "telavi"}


def change_evacuation(
    simulation: simulator.Simulation, place: str, evacuated: bool
) -> None:
    edit = evacuations.make_edit(simulation, place, evacuated)
    simulation.change_settings("entry-1", edit)


def send_requests(simulation: simulator.Simulation, count: int) -> list[str]:
    kinds = list(requests.Idempotency)
    return [
        simulation.call(
            exploration.ENTRIES[number % 2],
            b"body %d" % len(simulation.callers.records),
            kinds[number % 3],
            f"k{len(simulation.callers.records)}" if number % 3 == 1 else "",
            streamed=number % 2 == 0,
            deadline_in_s=planned_stops.DEADLINE_IN_S,
        )
        for number in range(count)
    ]


def count_runs(simulation: simulator.Simulation) -> collections.Counter[str]:
    return collections.Counter(run.endpoint for run in simulation.list_runs())


@pytest.mark.parametrize("delay_rounds", range(6))
def test_running_requests_end_whole_and_queued_ones_run_elsewhere(
    delay_rounds: int,
) -> None:
    """Guards against streams that are cut and requests that start after the change.

    The change is made while requests run, wait at agents and write their claims.
    """
    simulation = simulator.Simulation(exploration.ENTRIES, AGENTS, 50, PLACES)
    send_requests(simulation, 18)
    for _ in range(delay_rounds):
        simulation.deliver_all()
        if simulation.operations:
            simulation.run_operation(0)
    change_evacuation(simulation, "gurjaani", True)
    send_requests(simulation, 6)
    simulation.run_until_idle()
    simulation.check()
    planned_stops.check_unnoticed(simulation)
    before = count_runs(simulation)
    send_requests(simulation, 12)
    simulation.run_until_idle()
    after = count_runs(simulation)
    assert all(after[name] == before[name] for name in LEFT)
    assert after["agent-3"] > before["agent-3"]
    change_evacuation(simulation, "gurjaani", False)
    simulation.run_until_idle()
    send_requests(simulation, 30)
    simulation.run_until_idle()
    assert sum(count_runs(simulation)[name] - after[name] for name in LEFT) > 0


def test_request_without_remaining_endpoint_is_rejected_at_once() -> None:
    simulation = simulator.Simulation(("entry-1",), AGENTS[:1], 50, PLACES)
    idempotent = requests.Idempotency.IDEMPOTENT
    running = simulation.call("entry-1", b"running", idempotent)
    simulation.deliver_all()
    assert simulation.endpoints["agent-1"].list_calls()
    places = {"places": {"gurjaani": {"settings": {"evacuated": True}}}}
    simulation.change_settings("entry-1", lambda old, _: {**old, "fleet": places})
    while simulation.operators.pending:
        simulation.advance_change(0)
    rejected = simulation.call("entry-1", b"new", idempotent)
    record = simulation.callers.records[rejected]
    assert record.problem is not None
    assert (record.end_state, record.problem.title) == ("refused", "Place evacuated")
    assert record.problem.retry_after_ms == selection.EVACUATED_RETRY_AFTER_MS
    assert record.problem.outcome is outcomes.Outcome.NOT_RUN
    simulation.run_until_idle()
    assert simulation.callers.records[running].end_state == "answered"


@pytest.mark.parametrize("seed", range(20))
def test_no_request_starts_in_an_evacuated_place_under_faults(seed: int) -> None:
    """The simulation checks each submitted attempt and each started request."""
    exploration.walk_evacuating(seed)
