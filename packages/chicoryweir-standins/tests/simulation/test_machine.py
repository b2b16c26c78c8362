"""Tests a simulation with a Hypothesis state machine."""

from __future__ import annotations

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from chicoryweir_policy import requests
from chicoryweir_standins.simulation import exploration
from chicoryweir_standins.simulation import simulator

_ENTRIES = strategies.sampled_from(exploration.ENTRIES)
_AGENTS = strategies.sampled_from(exploration.AGENTS)
_NODES = strategies.sampled_from(exploration.ENTRIES + exploration.AGENTS)
_PICK = strategies.integers(0, 1000)


class CoresMachine(stateful.RuleBasedStateMachine):
    """Rules for every event between entries, agents, store and callers."""

    def __init__(self) -> None:
        super().__init__()
        self.simulation = simulator.Simulation(exploration.ENTRIES, exploration.AGENTS)

    @stateful.rule(
        entry=_ENTRIES,
        idempotency=strategies.sampled_from(list(requests.Idempotency)),
        key=strategies.sampled_from(["a", "b"]),
        streamed=strategies.booleans(),
    )
    def call(
        self, entry: str, idempotency: requests.Idempotency, key: str, streamed: bool
    ) -> None:
        node = self.simulation.nodes[entry]
        if node.core is None or node.stopping:
            return
        body = f"pay {key}".encode()
        if idempotency is not requests.Idempotency.AT_MOST_ONCE:
            key = ""
        self.simulation.call(entry, body, idempotency, key, streamed=streamed)

    def _list_messages(self) -> list[tuple[str, str, int]]:
        return [
            (session, to, index)
            for session, link in self.simulation.links.items()
            for to, queue in link.queues.items()
            for index in range(len(queue))
        ]

    @stateful.rule(pick=_PICK, keep_copy=strategies.booleans())
    def deliver(self, pick: int, keep_copy: bool) -> None:
        queued = self._list_messages()
        if queued:
            session, to, index = queued[pick % len(queued)]
            self.simulation.deliver(session, to, index, keep_copy)

    @stateful.rule(pick=_PICK)
    def lose(self, pick: int) -> None:
        queued = self._list_messages()
        if queued:
            self.simulation.drop_message(*queued[pick % len(queued)])

    @stateful.rule(pick=_PICK, lose_reply=strategies.booleans())
    def run_operation(self, pick: int, lose_reply: bool) -> None:
        if self.simulation.operations:
            self.simulation.run_operation(
                pick % len(self.simulation.operations), lose_reply
            )

    @stateful.rule(agent=_AGENTS, pick=_PICK)
    def progress(self, agent: str, pick: int) -> None:
        running = self.simulation.endpoints[agent].list_calls()
        if running:
            self.simulation.advance_call(agent, running[pick % len(running)])

    @stateful.rule(name=_NODES)
    def kill(self, name: str) -> None:
        if self.simulation.nodes[name].core is not None:
            self.simulation.kill(name)

    @stateful.rule(name=_NODES)
    def boot(self, name: str) -> None:
        if self.simulation.nodes[name].core is None:
            self.simulation.boot(name)

    @stateful.rule(name=_NODES, paused=strategies.booleans())
    def freeze(self, name: str, paused: bool) -> None:
        if paused:
            self.simulation.pause(name)
        else:
            self.simulation.resume(name)

    @stateful.rule(name=_NODES)
    def drain(self, name: str) -> None:
        self.simulation.drain(name)

    @stateful.rule(agent=_AGENTS)
    def crash_endpoint(self, agent: str) -> None:
        self.simulation.crash_endpoint(agent)

    @stateful.rule(agent=_AGENTS)
    def boot_endpoint(self, agent: str) -> None:
        self.simulation.boot_endpoint(agent)

    @stateful.rule(pick=_PICK)
    def cut(self, pick: int) -> None:
        if self.simulation.links:
            sessions = sorted(self.simulation.links)
            self.simulation.close_link(sessions[pick % len(sessions)])

    @stateful.rule()
    def dial(self) -> None:
        self.simulation.open_missing_links()

    @stateful.rule(down=strategies.booleans())
    def set_store(self, down: bool) -> None:
        self.simulation.store.down = down

    @stateful.rule(seconds=strategies.sampled_from([0.02, 0.3, 2.0]))
    def advance_time(self, seconds: float) -> None:
        self.simulation.advance_time(seconds)

    @stateful.invariant()
    def check(self) -> None:
        self.simulation.check()

    def teardown(self) -> None:
        self.simulation.run_until_idle()
        self.simulation.check()
        for record in self.simulation.callers.records.values():
            assert record.end_state, record.request.request_id


CoresMachine.TestCase.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=60
)
TestCores = CoresMachine.TestCase
