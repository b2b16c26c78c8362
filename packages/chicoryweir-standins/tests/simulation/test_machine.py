"""State machine over several cores of both roles and a small store."""

from __future__ import annotations

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from chicoryweir_policy import requests
from chicoryweir_standins.simulation import exploration
from chicoryweir_standins.simulation import simulator as world

_ENTRIES = strategies.sampled_from(exploration.ENTRIES)
_AGENTS = strategies.sampled_from(exploration.AGENTS)
_NODES = strategies.sampled_from(exploration.ENTRIES + exploration.AGENTS)
_PICK = strategies.integers(0, 1000)


class CoresMachine(stateful.RuleBasedStateMachine):
    """Everything that may happen between entries, agents, store and callers."""

    def __init__(self) -> None:
        super().__init__()
        self.world = world.World(exploration.ENTRIES, exploration.AGENTS)

    @stateful.rule(
        entry=_ENTRIES,
        idempotency=strategies.sampled_from(list(requests.Idempotency)),
        key=strategies.sampled_from(["a", "b"]),
        streamed=strategies.booleans(),
    )
    def call(
        self, entry: str, idempotency: requests.Idempotency, key: str, streamed: bool
    ) -> None:
        node = self.world.nodes[entry]
        if node.core is None or node.stopping:
            return
        body = f"pay {key}".encode()
        if idempotency is not requests.Idempotency.AT_MOST_ONCE:
            key = ""
        self.world.call(entry, body, idempotency, key, streamed=streamed)

    def _list_messages(self) -> list[tuple[str, str, int]]:
        return [
            (session, to, index)
            for session, link in self.world.links.items()
            for to, waiting in link.queues.items()
            for index in range(len(waiting))
        ]

    @stateful.rule(pick=_PICK, keep=strategies.booleans())
    def deliver(self, pick: int, keep: bool) -> None:
        waiting = self._list_messages()
        if waiting:
            session, to, index = waiting[pick % len(waiting)]
            self.world.deliver(session, to, index, keep)

    @stateful.rule(pick=_PICK)
    def lose(self, pick: int) -> None:
        waiting = self._list_messages()
        if waiting:
            self.world.lose(*waiting[pick % len(waiting)])

    @stateful.rule(pick=_PICK, lose_reply=strategies.booleans())
    def run_operation(self, pick: int, lose_reply: bool) -> None:
        if self.world.operations:
            self.world.run_operation(pick % len(self.world.operations), lose_reply)

    @stateful.rule(agent=_AGENTS, pick=_PICK)
    def progress(self, agent: str, pick: int) -> None:
        running = self.world.endpoints[agent].list_calls()
        if running:
            self.world.progress(agent, running[pick % len(running)])

    @stateful.rule(name=_NODES)
    def kill(self, name: str) -> None:
        if self.world.nodes[name].core is not None:
            self.world.kill(name)

    @stateful.rule(name=_NODES)
    def boot(self, name: str) -> None:
        if self.world.nodes[name].core is None:
            self.world.boot(name)

    @stateful.rule(name=_NODES, paused=strategies.booleans())
    def freeze(self, name: str, paused: bool) -> None:
        if paused:
            self.world.pause(name)
        else:
            self.world.resume(name)

    @stateful.rule(name=_NODES)
    def drain(self, name: str) -> None:
        self.world.drain(name)

    @stateful.rule(agent=_AGENTS)
    def crash_endpoint(self, agent: str) -> None:
        self.world.crash_endpoint(agent)

    @stateful.rule(agent=_AGENTS)
    def boot_endpoint(self, agent: str) -> None:
        self.world.boot_endpoint(agent)

    @stateful.rule(pick=_PICK)
    def cut(self, pick: int) -> None:
        if self.world.links:
            sessions = sorted(self.world.links)
            self.world.cut(sessions[pick % len(sessions)])

    @stateful.rule()
    def dial(self) -> None:
        self.world.dial_all()

    @stateful.rule(down=strategies.booleans())
    def set_store(self, down: bool) -> None:
        self.world.store.down = down

    @stateful.rule(seconds=strategies.sampled_from([0.02, 0.3, 2.0]))
    def pass_time(self, seconds: float) -> None:
        self.world.pass_time(seconds)

    @stateful.invariant()
    def check(self) -> None:
        self.world.check()

    def teardown(self) -> None:
        self.world.settle()
        self.world.check()
        for told in self.world.callers.told.values():
            assert told.final, told.request.request_id


CoresMachine.TestCase.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=60
)
TestCores = CoresMachine.TestCase
