"""Random walks with planned stops as the only faults; no caller may notice them."""

from __future__ import annotations

import random

from chicoryweir_policy import outcomes
from chicoryweir_policy import requests
from chicoryweir_policy.membership import instances
from chicoryweir_standins.simulation import callers
from chicoryweir_standins.simulation import exploration
from chicoryweir_standins.simulation import simulator

DEADLINE_IN_S = 600.0
TICKS_S = (0.05, 0.05, 0.5)


class PlannedWalker:
    """Executes random calls, drains and boots; messages arrive before the next tick."""

    def __init__(self, simulation: simulator.Simulation, seed: int) -> None:
        self.simulation = simulation
        self._random = random.Random(seed)
        self._call_count = 0

    def walk(self, steps: int) -> None:
        """Executes random actions and checks that no caller noticed a stop."""
        actions = (
            self._call,
            self._advance_call,
            self._advance_time,
            self._drain,
            self._boot,
        )
        weights = (30, 60, 20, 1, 2)
        for action in self._random.choices(actions, weights, k=steps):
            action()
            self._deliver_some()
        self.simulation.run_until_idle()
        self.simulation.check()
        check_unnoticed(self.simulation)

    def _list_undrained(self, role: instances.Role) -> list[simulator.Node]:
        return [
            node
            for node in self.simulation.nodes.values()
            if node.role is role and node.core is not None and not node.draining
        ]

    def _call(self) -> None:
        entries = [
            node
            for node in self.simulation.nodes.values()
            if node.role is instances.Role.ENTRY
            and node.core is not None
            and not node.stopping
        ]
        self._call_count += 1
        idempotency = self._random.choice(list(requests.Idempotency))
        at_most_once = idempotency is requests.Idempotency.AT_MOST_ONCE
        self.simulation.call(
            self._random.choice(entries).name,
            b"call %d" % self._call_count,
            idempotency,
            f"k{self._call_count}" if at_most_once else "",
            streamed=self._random.random() < 0.5,
            deadline_in_s=DEADLINE_IN_S,
        )

    def _advance_call(self) -> None:
        for name, endpoint in self.simulation.endpoints.items():
            for attempt_id in endpoint.list_calls():
                if self._random.random() < 0.5:
                    self.simulation.advance_call(name, attempt_id)

    def _deliver_some(self) -> None:
        while self.simulation.operations and self._random.random() < 0.8:
            self.simulation.run_operation(0)
        for session, link in list(self.simulation.links.items()):
            for to, queue in link.queues.items():
                while queue and session in self.simulation.links:
                    if self._random.random() < 0.3:
                        break
                    self.simulation.deliver(session, to)

    def _advance_time(self) -> None:
        self.simulation.open_missing_links()
        self.simulation.deliver_all()
        self.simulation.advance_time(self._random.choice(TICKS_S))

    def _drain(self) -> None:
        role = self._random.choice((instances.Role.ENTRY, instances.Role.AGENT))
        undrained = self._list_undrained(role)
        if len(undrained) > 1:
            self.simulation.drain(self._random.choice(undrained).name)

    def _boot(self) -> None:
        for node in self.simulation.nodes.values():
            if node.core is None:
                self.simulation.boot(node.name)
                return


def check_unnoticed(simulation: simulator.Simulation) -> None:
    """Checks that every request was answered, or rejected as not run.

    Raises:
        BrokenGuaranteeError: A request was cut off or its outcome is unknown.
    """
    for record in simulation.callers.records.values():
        not_run = (
            record.problem is not None
            and record.problem.outcome is outcomes.Outcome.NOT_RUN
        )
        if record.end_state == "answered" or (
            record.end_state == "refused" and not_run
        ):
            continue
        raise callers.BrokenGuaranteeError(
            f"{record.request.request_id} at {record.entry} ended as"
            f" {record.end_state or 'open'}: {record.problem}"
        )


def walk_once(
    seed: int, steps: int = exploration.STEPS_PER_WALK
) -> simulator.Simulation:
    """Runs one walk with planned stops; equal seeds give equal walks."""
    simulation = simulator.Simulation(exploration.ENTRIES, exploration.AGENTS)
    PlannedWalker(simulation, seed).walk(steps)
    return simulation
