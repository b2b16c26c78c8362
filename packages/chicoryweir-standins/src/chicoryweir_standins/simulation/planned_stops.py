"""Walks with load and planned stops only: nobody may notice a stop."""

from __future__ import annotations

import random

from chicoryweir_policy import outcomes
from chicoryweir_policy import requests
from chicoryweir_policy.membership import instances
from chicoryweir_standins.simulation import callers
from chicoryweir_standins.simulation import exploration
from chicoryweir_standins.simulation import simulator as world

LIFE_S = 600.0
TICKS_S = (0.05, 0.05, 0.5)


class PlannedWalker:
    """Chooses calls, deliveries and drains; messages arrive before the next tick."""

    def __init__(self, walked: world.World, seed: int) -> None:
        self.world = walked
        self._random = random.Random(seed)
        self._calls = 0

    def walk(self, steps: int) -> None:
        """Takes steps, and checks that no caller noticed a stop."""
        acts = (self._call, self._progress, self._pass_time, self._drain, self._boot)
        weights = (30, 60, 20, 1, 2)
        for act in self._random.choices(acts, weights, k=steps):
            act()
            self._deliver_some()
        self.world.settle()
        self.world.check()
        check_unnoticed(self.world)

    def _list_working(self, role: instances.Role) -> list[world.Node]:
        return [
            node
            for node in self.world.nodes.values()
            if node.role is role and node.core is not None and not node.draining
        ]

    def _call(self) -> None:
        entries = [
            node
            for node in self.world.nodes.values()
            if node.role is instances.Role.ENTRY
            and node.core is not None
            and not node.stopping
        ]
        self._calls += 1
        idempotency = self._random.choice(list(requests.Idempotency))
        at_most_once = idempotency is requests.Idempotency.AT_MOST_ONCE
        self.world.call(
            self._random.choice(entries).name,
            b"call %d" % self._calls,
            idempotency,
            f"k{self._calls}" if at_most_once else "",
            streamed=self._random.random() < 0.5,
            life_s=LIFE_S,
        )

    def _progress(self) -> None:
        for name, endpoint in self.world.endpoints.items():
            for attempt_id in endpoint.list_calls():
                if self._random.random() < 0.5:
                    self.world.progress(name, attempt_id)

    def _deliver_some(self) -> None:
        while self.world.operations and self._random.random() < 0.8:
            self.world.run_operation(0)
        for session, link in list(self.world.links.items()):
            for to, waiting in link.queues.items():
                while waiting and session in self.world.links:
                    if self._random.random() < 0.3:
                        break
                    self.world.deliver(session, to)

    def _pass_time(self) -> None:
        self.world.dial_all()
        self.world.deliver_all()
        self.world.pass_time(self._random.choice(TICKS_S))

    def _drain(self) -> None:
        role = self._random.choice((instances.Role.ENTRY, instances.Role.AGENT))
        working = self._list_working(role)
        if len(working) > 1:
            self.world.drain(self._random.choice(working).name)

    def _boot(self) -> None:
        for node in self.world.nodes.values():
            if node.core is None:
                self.world.boot(node.name)
                return


def check_unnoticed(walked: world.World) -> None:
    """Checks that every request was answered, or refused as not run.

    Raises:
        BrokenGuaranteeError: A request was cut off or its end is unknown.
    """
    for told in walked.callers.told.values():
        not_run = (
            told.problem is not None
            and told.problem.outcome is outcomes.Outcome.NOT_RUN
        )
        if told.final == "answered" or (told.final == "refused" and not_run):
            continue
        raise callers.BrokenGuaranteeError(
            f"{told.request.request_id} at {told.entry} ended as"
            f" {told.final or 'open'}: {told.problem}"
        )


def walk_once(seed: int, steps: int = exploration.STEPS_A_WALK) -> world.World:
    """Walks through one world with planned stops; equal seeds give equal walks."""
    walked = world.World(exploration.ENTRIES, exploration.AGENTS)
    PlannedWalker(walked, seed).walk(steps)
    return walked
