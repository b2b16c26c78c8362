"""A process killed in any state of a lease or map change doesn't block the group."""

from __future__ import annotations

import importlib.util
import pathlib
import random

import pytest

from chicoryweir_policy.groups import changes
from chicoryweir_policy.groups import events
from chicoryweir_policy.groups import leases
from chicoryweir_policy.groups import messages
from chicoryweir_policy.groups import rows

_SPEC = importlib.util.spec_from_file_location(
    "map_identity", pathlib.Path(__file__).with_name("test_map_identity.py")
)
assert _SPEC is not None
assert _SPEC.loader is not None
map_identity = importlib.util.module_from_spec(_SPEC)
_SPEC.loader.exec_module(map_identity)

MAX_SEEDS = 60
ROUNDS = 150
FAULT_RATE = 0.15
KILLS = 3
SETTLE_ROUNDS = 400


class KillingSimulation(map_identity.Simulation):  # type: ignore[misc, name-defined]
    """Kills a process as soon as it reaches the kill point, while armed.

    Attributes:
        kills: Number of processes killed so far.
        is_written: Whether the pending operations of a killed process take effect.
    """

    def __init__(self, is_written: bool) -> None:
        self.kills = 0
        self.is_written = is_written
        self.is_armed = False
        super().__init__()

    def is_at_kill_point(self, name: str, event: object) -> bool:
        raise NotImplementedError

    def feed(self, name: str, event: object) -> None:
        super().feed(name, event)
        if self.is_armed and self.is_at_kill_point(name, event):
            self.is_armed = False
            self.kills += 1
            self._kill(name)

    def _kill(self, name: str) -> None:
        for recipient, item in self.inbox:
            if recipient == name and isinstance(item, tuple) and self.is_written:
                self.apply(item[1])
        self.restart(name)
        self.paused[name] = self.now + 1.0


class EntryKillingSimulation(KillingSimulation):
    """Kills an entry once its lease or change reaches a state."""

    def __init__(self, chart: str, state: str, is_written: bool) -> None:
        self.chart = chart
        self.state = state
        super().__init__(is_written)

    def is_at_kill_point(self, name: str, event: object) -> bool:
        if name not in map_identity.ENTRIES:
            return False
        contender = self.cores[name]._contenders["desk"]
        tracked = contender.lease if self.chart == "lease" else contender.leader
        return bool(tracked.state == self.state)


class AgentKillingSimulation(KillingSimulation):
    """Kills an agent that received a message, before its engine executes orders."""

    def __init__(self, kind: type, is_written: bool) -> None:
        self.kind = kind
        super().__init__(is_written)

    def is_at_kill_point(self, name: str, event: object) -> bool:
        return (
            name in map_identity.RANKS
            and isinstance(event, events.MessageReceived)
            and isinstance(event.message, self.kind)
        )


def run_with_kills(simulation: KillingSimulation, seed: int) -> int:
    """Runs changes with kills; checks that ranks then share a map and steps advance."""
    rng = random.Random(seed)
    for proposal in range(1, 4):
        simulation.is_armed = True
        replicas = tuple(((rank + proposal) % 6,) for rank in range(6))
        for entry in map_identity.ENTRIES:
            simulation.feed(entry, events.MapProposed("desk", replicas))
        for _ in range(ROUNDS):
            simulation.run_round(rng, FAULT_RATE)
    simulation.is_armed = False
    simulation.paused.clear()
    for _ in range(SETTLE_ROUNDS):
        simulation.run_round(rng, 0.0)
    before = simulation.step
    for _ in range(20):
        simulation.run_round(rng, 0.0)
    row = rows.decode_row(simulation.table["group/desk"].value)
    assert row is not None
    assert row.phase is rows.Phase.SETTLED
    assert simulation.step >= before + 15
    assert {engine.map_version for engine in simulation.engines.values()} == {
        row.map_version
    }
    assert simulation.violations == []
    return simulation.kills


@pytest.mark.parametrize("is_written", [False, True], ids=["write lost", "written"])
@pytest.mark.parametrize(
    ("chart", "state"),
    [
        (chart.name, state)
        for chart in (leases.CHART, changes.CHART)
        for state in chart.states
    ],
)
def test_group_keeps_one_map_when_an_entry_is_killed(
    chart: str, state: str, is_written: bool
) -> None:
    kills = 0
    for seed in range(MAX_SEEDS):
        kills += run_with_kills(EntryKillingSimulation(chart, state, is_written), seed)
        if kills >= KILLS:
            return
    raise AssertionError(f"{kills} kills in {chart} {state}")


@pytest.mark.parametrize("is_written", [False, True], ids=["write lost", "written"])
@pytest.mark.parametrize(
    "kind", [messages.QueryRanks, messages.PrepareMap, messages.ReleaseMap]
)
def test_group_keeps_one_map_when_an_agent_is_killed(
    kind: type, is_written: bool
) -> None:
    kills = 0
    for seed in range(MAX_SEEDS):
        kills += run_with_kills(AgentKillingSimulation(kind, is_written), seed)
        if kills >= KILLS:
            return
    raise AssertionError(f"{kills} kills at {kind.__name__}")


def _kill_agents() -> None:
    for seed in range(MAX_SEEDS):
        run_with_kills(AgentKillingSimulation(messages.PrepareMap, True), seed)


def test_ranks_use_two_maps_if_engines_ignore_holds(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(
        map_identity.Engine, "may_enter", lambda self, step: self.map_version > 0
    )
    with pytest.raises(AssertionError):
        _kill_agents()
