"""A process dies in each state of the lease and of the map change; both go on."""

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
CHAOS = 0.15
KILLS = 3
SETTLE_ROUNDS = 400


class KillingWorld(map_identity.World):  # type: ignore[misc, name-defined]
    """Kills a process as soon as it is at the point, when armed.

    Attributes:
        kills: Processes killed so far.
        is_written: Whether operations on their way still take effect.
    """

    def __init__(self, is_written: bool) -> None:
        self.kills = 0
        self.is_written = is_written
        self.is_armed = False
        super().__init__()

    def is_at_point(self, name: str, event: object) -> bool:
        raise NotImplementedError

    def feed(self, name: str, event: object) -> None:
        super().feed(name, event)
        if self.is_armed and self.is_at_point(name, event):
            self.is_armed = False
            self.kills += 1
            self._kill(name)

    def _kill(self, name: str) -> None:
        for to, item in self.inbox:
            if to == name and isinstance(item, tuple) and self.is_written:
                self.apply(item[1])
        self.restart(name)
        self.paused[name] = self.now + 1.0


class HolderWorld(KillingWorld):
    """Kills an entry whose lease or change is in a state."""

    def __init__(self, chart: str, state: str, is_written: bool) -> None:
        self.chart = chart
        self.state = state
        super().__init__(is_written)

    def is_at_point(self, name: str, event: object) -> bool:
        if name not in map_identity.ENTRIES:
            return False
        contender = self.cores[name]._contenders["desk"]
        part = contender.lease if self.chart == "lease" else contender.leader
        return bool(part.state == self.state)


class AgentWorld(KillingWorld):
    """Kills an agent once it has taken a message, before its engine has obeyed."""

    def __init__(self, kind: type, is_written: bool) -> None:
        self.kind = kind
        super().__init__(is_written)

    def is_at_point(self, name: str, event: object) -> bool:
        return (
            name in map_identity.RANKS
            and isinstance(event, events.MessageReceived)
            and isinstance(event.message, self.kind)
        )


def run_with_kills(world: KillingWorld, seed: int) -> int:
    """Runs changes and kills; then checks that the group has one map and steps on."""
    rng = random.Random(seed)
    for proposal in range(1, 4):
        world.is_armed = True
        replicas = tuple(((rank + proposal) % 6,) for rank in range(6))
        for entry in map_identity.ENTRIES:
            world.feed(entry, events.MapProposed("desk", replicas))
        for _ in range(ROUNDS):
            world.run_round(rng, CHAOS)
    world.is_armed = False
    world.paused.clear()
    for _ in range(SETTLE_ROUNDS):
        world.run_round(rng, 0.0)
    before = world.step
    for _ in range(20):
        world.run_round(rng, 0.0)
    row = rows.decode_row(world.table["group/desk"].value)
    assert row is not None
    assert row.phase is rows.Phase.SETTLED
    assert world.step >= before + 15
    assert {e.map_version for e in world.engines.values()} == {row.map_version}
    assert world.violations == []
    return world.kills


@pytest.mark.parametrize("is_written", [False, True], ids=["write lost", "written"])
@pytest.mark.parametrize(
    ("chart", "state"),
    [
        (chart.name, state)
        for chart in (leases.CHART, changes.CHART)
        for state in chart.states
    ],
)
def test_group_goes_on_with_one_map_when_an_entry_dies(
    chart: str, state: str, is_written: bool
) -> None:
    kills = 0
    for seed in range(MAX_SEEDS):
        kills += run_with_kills(HolderWorld(chart, state, is_written), seed)
        if kills >= KILLS:
            return
    raise AssertionError(f"{kills} kills in {chart} {state}")


@pytest.mark.parametrize("is_written", [False, True], ids=["write lost", "written"])
@pytest.mark.parametrize(
    "kind", [messages.QueryRanks, messages.PrepareMap, messages.ReleaseMap]
)
def test_group_goes_on_with_one_map_when_an_agent_dies(
    kind: type, is_written: bool
) -> None:
    kills = 0
    for seed in range(MAX_SEEDS):
        kills += run_with_kills(AgentWorld(kind, is_written), seed)
        if kills >= KILLS:
            return
    raise AssertionError(f"{kills} kills at {kind.__name__}")


def _kill_many() -> None:
    for seed in range(MAX_SEEDS):
        run_with_kills(AgentWorld(messages.PrepareMap, True), seed)


def test_group_without_the_hold_has_two_maps(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        map_identity.Engine, "may_enter", lambda self, step: self.map_version > 0
    )
    with pytest.raises(AssertionError):
        _kill_many()
