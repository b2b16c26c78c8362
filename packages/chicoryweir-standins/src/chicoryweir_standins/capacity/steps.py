"""Measures the CPU time of the cores' steps, without I/O."""

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
    """CPU time of one kind of step.

    Attributes:
        core: entry or agent.
        step: Kind of the step.
        links: Number of links to daemons of the other role.
        cost_us: Mean CPU time of a step.
    """

    core: str
    step: str
    links: int
    cost_us: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReportTraffic:
    """Load reports of one idle agent.

    Attributes:
        bytes_each: Encoded size of a report.
        per_s: Reports per second on one link.
    """

    bytes_each: int
    per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Coverage:
    """Numbers of entries that are linked to all agents of a group.

    Attributes:
        groups: Number of groups.
        least: Minimum over the groups.
        median: Median over the groups.
        without: Number of groups without such an entry.
    """

    groups: int
    least: int
    median: int
    without: int


def measure_steps() -> list[StepCost]:
    """Measures ticks and load reports with several numbers of links."""
    costs = []
    for links in _LINKS:
        entry = _make_entry(links)
        ticks = _measure_step_us(
            entry, (events.Ticked() for _ in range(_TICKS)), _ENTRY_TICK_S
        )
        costs.append(StepCost("entry", "tick", links, ticks))
        reports_received = (_make_report(links, i) for i in range(_REPORTS))
        reports = _measure_step_us(entry, reports_received, 0.0)
        costs.append(StepCost("entry", "load report received", links, reports))
        agent = _make_agent(links)
        ticks = _measure_step_us(
            agent, (events.Ticked() for _ in range(_TICKS)), _AGENT_TICK_S
        )
        costs.append(StepCost("agent", "tick, reports included", links, ticks))
    return costs


def measure_reports() -> ReportTraffic:
    """Measures the load reports that an idle agent sends to one entry."""
    agent = _make_agent(1)
    sent = []
    duration_s = 20
    for tick in range(int(duration_s / _AGENT_TICK_S)):
        for command in agent.step(events.Ticked(), 100.0 + tick * _AGENT_TICK_S):
            if isinstance(command, commands.Send):
                sent.append(command.message)
    reports = [message for message in sent if isinstance(message, messages.LoadReport)]
    size = len(codec.encode_frame(reports[-1:]))
    return ReportTraffic(size, len(reports) / duration_s)


def measure_coverage(
    entries: int, agents: int, data_centres: int, group_agents: int
) -> Coverage:
    """Counts the entries whose subset contains all agents of each group.

    The agents of a group share a data centre and have consecutive names.
    """
    agents_per_data_centre = -(-agents // data_centres)
    agent_nodes = [
        subsets.Node(f"agent-{i:04}", f"place-{i // agents_per_data_centre}")
        for i in range(agents)
    ]
    entry_nodes = [
        subsets.Node(f"entry-{i:04}", f"place-{i % data_centres}")
        for i in range(entries)
    ]
    subsets_by_entry = [
        set(subsets.choose_subset(own, entry_nodes, agent_nodes)) for own in entry_nodes
    ]
    entry_counts = []
    for start in range(0, agents - group_agents + 1, group_agents):
        names = {node.instance for node in agent_nodes[start : start + group_agents]}
        entry_counts.append(sum(names <= subset for subset in subsets_by_entry))
    entry_counts.sort()
    median = entry_counts[len(entry_counts) // 2]
    return Coverage(len(entry_counts), entry_counts[0], median, entry_counts.count(0))


def _measure_step_us(
    core: interfaces.Core,
    stepped_events: collections.abc.Iterable[events.Event],
    interval_s: float,
) -> float:
    now = 100.0
    prepared = list(stepped_events)
    started_at_s = time.process_time()
    for event in prepared:
        now += interval_s
        core.step(event, now)
    cpu_time_s = time.process_time() - started_at_s
    return cpu_time_s / len(prepared) * _US_PER_S


def _make_entry(links: int) -> interfaces.EntryCore:
    config = entry_state.EntryConfig("entry-1", "telavi", "a", "127.0.0.1", 1)
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
    core = interfaces.make_entry_core(config, agents)
    core.step(events.Ticked(), 99.0)
    for agent in agents:
        hello = messages.Hello(
            agent.instance,
            agent.role,
            agent.data_centre,
            agent.service,
            "b",
            agent.instance,
            0,
        )
        core.step(events.LinkOpened(hello, agent.instance), 99.0)
    return core


def _make_agent(links: int) -> interfaces.AgentCore:
    config = agent_core.AgentConfig("agent-1", "telavi", "model-desk", "b", _SLOTS)
    core = interfaces.make_agent_core(
        config, lambda slots: fair_queue.create_fair_queue(256, 500.0)
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
