"""Measures the processor time of steps of the cores, without input or output."""

from __future__ import annotations

import collections.abc
import dataclasses
import time

from chicoryweir_policy import interfaces
from chicoryweir_policy import messages
from chicoryweir_policy.admission import fair_queue
from chicoryweir_policy.cores import commands
from chicoryweir_policy.cores import events
from chicoryweir_policy.cores.agent import core as agent_core
from chicoryweir_policy.cores.entry import state as entry_state
from chicoryweir_policy.membership import instances
from chicoryweir_policy.routing import subsets
from chicoryweir_wire import codec

_LINKS = (8, 21, 48, 144)
_TICKS = 2000
_REPORTS = 5000
_SLOTS = 16
_MODEL = "kakheti-1"
_ENTRY_TICK_S = 0.01
_AGENT_TICK_S = 0.02
_US_PER_S = 1e6


@dataclasses.dataclass(frozen=True, slots=True)
class StepCost:
    """Processor time of one kind of step.

    Attributes:
        core: entry or agent.
        step: What was stepped.
        links: Links to the other role.
        cost_us: Mean processor time, in microseconds.
    """

    core: str
    step: str
    links: int
    cost_us: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReportTraffic:
    """Load reports of one idle agent.

    Attributes:
        bytes_each: Encoded size of one.
        per_s: Reports a second on one link.
    """

    bytes_each: int
    per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Coverage:
    """How many entries are linked to all agents of a group.

    Attributes:
        groups: Groups looked at.
        least: Fewest entries of any group.
        median: Entries of the group in the middle.
        without: Groups that no entry covers.
    """

    groups: int
    least: int
    median: int
    without: int


def measure_steps() -> list[StepCost]:
    """Returns the cost of ticks and reports at several numbers of links."""
    costs = []
    for links in _LINKS:
        entry = _make_entry(links)
        ticks = _time(entry, (events.Ticked() for _ in range(_TICKS)), _ENTRY_TICK_S)
        costs.append(StepCost("entry", "tick", links, ticks))
        heard = (_make_report(links, i) for i in range(_REPORTS))
        reports = _time(entry, heard, 0.0)
        costs.append(StepCost("entry", "load report received", links, reports))
        agent = _make_agent(links)
        ticks = _time(agent, (events.Ticked() for _ in range(_TICKS)), _AGENT_TICK_S)
        costs.append(StepCost("agent", "tick, reports included", links, ticks))
    return costs


def measure_reports() -> ReportTraffic:
    """Returns what an idle agent tells one entry of its load."""
    agent = _make_agent(1)
    sent = []
    seconds = 20
    for tick in range(int(seconds / _AGENT_TICK_S)):
        for command in agent.step(events.Ticked(), 100.0 + tick * _AGENT_TICK_S):
            if isinstance(command, commands.Send):
                sent.append(command.message)
    reports = [item for item in sent if isinstance(item, messages.LoadReport)]
    size = len(codec.encode_frame(reports[-1:]))
    return ReportTraffic(size, len(reports) / seconds)


def measure_coverage(
    entries: int, agents: int, places: int, group_agents: int
) -> Coverage:
    """Counts the entries whose subset holds all agents of each group.

    The agents of a group stand in one place and have names that follow each other.
    """
    per_place = -(-agents // places)
    nodes = [
        subsets.Node(f"agent-{i:04}", f"place-{i // per_place}") for i in range(agents)
    ]
    peers = [
        subsets.Node(f"entry-{i:04}", f"place-{i % places}") for i in range(entries)
    ]
    chosen = [set(subsets.choose_subset(own, peers, nodes)) for own in peers]
    covering = []
    for first in range(0, agents - group_agents + 1, group_agents):
        names = {node.instance for node in nodes[first : first + group_agents]}
        covering.append(sum(names <= subset for subset in chosen))
    covering.sort()
    middle = covering[len(covering) // 2]
    return Coverage(len(covering), covering[0], middle, covering.count(0))


def _time(
    core: interfaces.Core,
    stepped: collections.abc.Iterable[events.Event],
    step_s: float,
) -> float:
    now = 100.0
    prepared = list(stepped)
    started = time.process_time()
    for event in prepared:
        now += step_s
        core.step(event, now)
    spent_s = time.process_time() - started
    return spent_s / len(prepared) * _US_PER_S


def _make_entry(links: int) -> interfaces.EntryCore:
    facts = entry_state.EntryConfig("entry-1", "telavi", "a", "127.0.0.1", 1)
    agents = tuple(
        instances.Instance(
            f"agent-{i}",
            instances.Role.AGENT,
            "telavi",
            f"model-desk-{i // 48}",
            "127.0.0.1",
            0,
            i + 2,
        )
        for i in range(links)
    )
    core = interfaces.make_entry_core(facts, agents)
    core.step(events.Ticked(), 99.0)
    for item in agents:
        hello = messages.Hello(
            item.instance,
            item.role,
            item.data_centre,
            item.service,
            "b",
            item.instance,
            0,
        )
        core.step(events.LinkOpened(hello, item.instance), 99.0)
    return core


def _make_agent(links: int) -> interfaces.AgentCore:
    facts = agent_core.AgentConfig("agent-1", "telavi", "model-desk", "b", _SLOTS)
    core = interfaces.make_agent_core(
        facts, lambda slots: fair_queue.create_fair_queue(256, 500.0)
    )
    probe = events.EndpointProbed("engine-1:incarnation", 0, 0, 0.02, (_MODEL,))
    core.step(probe, 99.0)
    for i in range(links):
        role = instances.Role.ENTRY
        hello = messages.Hello(f"entry-{i}", role, "telavi", "", "a", "", 0)
        core.step(events.LinkOpened(hello, f"session-{i}"), 99.0)
    return core


def _make_report(links: int, index: int) -> events.MessageReceived:
    name = f"agent-{index % links}"
    report = messages.LoadReport(
        sequence=index // links + 1,
        acknowledged=0,
        running=3,
        waiting=0,
        unfinished_tokens=500.0,
        slots=_SLOTS,
        tokens_per_s=500.0,
        wait_s=(0.0, 0.0, 0.0),
        leaving=False,
        serving=True,
        endpoint_incarnation="c",
        models=(_MODEL,),
    )
    return events.MessageReceived(name, name, report)
