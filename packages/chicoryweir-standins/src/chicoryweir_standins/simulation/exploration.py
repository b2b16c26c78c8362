"""Random walks through worlds of cores, with every guarantee checked on the way."""

from __future__ import annotations

import collections.abc
import dataclasses
import random
import time

from chicoryweir_policy import requests
from chicoryweir_policy.membership import instances
from chicoryweir_standins.simulation import callers
from chicoryweir_standins.simulation import endpoints
from chicoryweir_standins.simulation import simulator as world

ENTRIES = ("entry-1", "entry-2")
AGENTS = ("agent-1", "agent-2", "agent-3")
STEPS_A_WALK = 300
CHECK_EVERY = 50
PROMPT_S = 0.05
HEDGE_AFTER_MS = 50
_KEYS = ("k1", "k2", "k3", "k4")
_WORKSPACES = ("small", "large")

Act = collections.abc.Callable[[], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Explored:
    """What an exploration did.

    Attributes:
        walks: Worlds walked through.
        steps: Steps of cores.
        calls: Requests sent.
        finals: Number of requests by how they ended.
    """

    walks: int
    steps: int
    calls: int
    finals: dict[str, int]


class Walker:
    """Chooses what happens next in one world."""

    def __init__(self, walked: world.World, seed: int, prompt: bool = False) -> None:
        """Starts a walk.

        Args:
            walked: The world.
            seed: Seed of all choices.
            prompt: Whether messages arrive within `PROMPT_S`, as the bound on the
                endpoints lost to one content assumes.
        """
        self.world = walked
        self._prompt = prompt
        self._random = random.Random(seed)
        self._acts: list[tuple[Act, int]] = [
            (self._deliver, 60),
            (self._run_operation, 12),
            (self._progress, 20),
            (self._call, 14),
            (self._pass_time, 8),
            (self._probe, 4),
            (self._dial, 6),
            (self._reorder, 4),
            (self._double, 3),
            (self._lose, 1),
            (self._cut, 1),
            (self._kill, 1),
            (self._boot, 4),
            (self._pause, 1),
            (self._resume, 4),
            (self._crash_endpoint, 1),
            (self._toggle_store, 1),
            (self._abandon, 1),
            (self._drain, 1),
            (self._poison, 1),
            (self._change_settings, 2),
            (self._advance_change, 12),
        ]

    def walk(self, steps: int) -> None:
        """Takes steps, ends all faults, and checks that everyone got an answer."""
        acts = [act for act, _ in self._acts]
        weights = [weight for _, weight in self._acts]
        if self._prompt:
            slow = (self._lose, self._pause, self._cut)
            weights = [
                0 if act in slow else weight
                for act, weight in zip(acts, weights, strict=True)
            ]
        for step, act in enumerate(self._random.choices(acts, weights, k=steps)):
            act()
            if step % CHECK_EVERY == 0:
                self._check()
        self.world.settle()
        self._check()
        self._check_answered()

    def _check(self) -> None:
        self.world.check()
        if self._prompt:
            callers.check_poison(self.world.list_runs())

    def _check_answered(self) -> None:
        waiting = [
            told.request.request_id
            for told in self.world.callers.told.values()
            if not told.final
        ]
        if waiting:
            raise callers.BrokenGuaranteeError(f"no answer: {waiting}")

    def _pick(self, role: instances.Role, alive: bool) -> world.Node | None:
        nodes = [
            node
            for node in self.world.nodes.values()
            if node.role is role and (node.core is not None) is alive
        ]
        return self._random.choice(nodes) if nodes else None

    def _pick_any(self, alive: bool) -> world.Node | None:
        roles = (instances.Role.ENTRY, instances.Role.AGENT)
        return self._pick(self._random.choice(roles), alive)

    def _pick_message(self) -> tuple[str, str, int] | None:
        choices = [
            (session, to, len(waiting))
            for session, link in self.world.links.items()
            for to, waiting in link.queues.items()
            if waiting
        ]
        return self._random.choice(choices) if choices else None

    def _deliver(self) -> None:
        picked = self._pick_message()
        if picked:
            self.world.deliver(picked[0], picked[1])

    def _reorder(self) -> None:
        picked = self._pick_message()
        if picked:
            index = self._random.randrange(picked[2])
            self.world.deliver(picked[0], picked[1], index)

    def _double(self) -> None:
        picked = self._pick_message()
        if picked:
            self.world.deliver(picked[0], picked[1], keep=True)

    def _lose(self) -> None:
        picked = self._pick_message()
        if picked:
            self.world.lose(picked[0], picked[1])

    def _run_operation(self) -> None:
        if self.world.operations:
            index = self._random.randrange(len(self.world.operations))
            self.world.run_operation(index, self._random.random() < 0.15)

    def _progress(self) -> None:
        running = [
            (name, attempt_id)
            for name, endpoint in self.world.endpoints.items()
            for attempt_id in endpoint.list_calls()
        ]
        if running:
            name, attempt_id = self._random.choice(running)
            self.world.progress(name, attempt_id)

    def _call(self) -> None:
        node = self._pick(instances.Role.ENTRY, True)
        if node is None or node.stopping:
            return
        idempotency = self._random.choice(list(requests.Idempotency))
        key = ""
        body = b"b%d" % self._random.randrange(1000)
        workspace = self._random.choice(_WORKSPACES)
        if idempotency is requests.Idempotency.AT_MOST_ONCE:
            key = self._random.choice(_KEYS)
            body = f"pay {key}".encode()
        if self._random.random() < 0.05:
            body = b"other"
        streamed = self._random.random() < 0.5
        life_s = self._random.choice((0.3, 2.0, 10.0))
        self.world.call(node.name, body, idempotency, key, workspace, streamed, life_s)

    def _poison(self) -> None:
        node = self._pick(instances.Role.ENTRY, True)
        if node is not None and not node.stopping:
            body = endpoints.POISON + b"%d" % self._random.randrange(2)
            idempotency = requests.Idempotency.IDEMPOTENT
            self.world.call(node.name, body, idempotency)

    def _pass_time(self) -> None:
        if self._prompt:
            self.world.dial_all()
            self.world.deliver_all()
            self.world.pass_time(PROMPT_S)
            self.world.deliver_all()
            return
        self.world.pass_time(self._random.choice((0.01, 0.05, 0.3, 1.0)))

    def _change_settings(self) -> None:
        node = self._pick(instances.Role.ENTRY, True)
        if node is not None:
            self.world.change_settings(node.name)

    def _advance_change(self) -> None:
        pending = self.world.operators.pending
        if pending:
            index = self._random.randrange(len(pending))
            self.world.advance_change(index, self._random.random() < 0.15)

    def _probe(self) -> None:
        self.world.boot_endpoint(self._random.choice(AGENTS))

    def _dial(self) -> None:
        self.world.dial_all()

    def _cut(self) -> None:
        if self.world.links:
            self.world.cut(self._random.choice(sorted(self.world.links)))

    def _kill(self) -> None:
        node = self._pick_any(True)
        if node is None:
            return
        if self._prompt:
            self.world.deliver_all()
        if node.core is not None:
            self.world.kill(node.name)

    def _boot(self) -> None:
        node = self._pick_any(False)
        if node is not None:
            self.world.boot(node.name)

    def _pause(self) -> None:
        node = self._pick_any(True)
        if node is not None:
            self.world.pause(node.name)

    def _resume(self) -> None:
        for node in self.world.nodes.values():
            if node.paused:
                self.world.resume(node.name)
                return

    def _crash_endpoint(self) -> None:
        self.world.crash_endpoint(self._random.choice(AGENTS))

    def _toggle_store(self) -> None:
        self.world.store.down = not self.world.store.down

    def _abandon(self) -> None:
        waiting = [
            told.request.request_id
            for told in self.world.callers.told.values()
            if not told.final
        ]
        if waiting:
            self.world.abandon(self._random.choice(waiting))

    def _drain(self) -> None:
        node = self._pick_any(True)
        if node is not None:
            self.world.drain(node.name)


def walk_once(
    seed: int, steps: int = STEPS_A_WALK, prompt: bool = False
) -> world.World:
    """Walks through one world; equal seeds give equal walks.

    Two seeds of four have hedging on, so that it meets prompt and slow messages.

    Raises:
        BrokenGuaranteeError: A guarantee did not hold.
    """
    hedge_after_ms = HEDGE_AFTER_MS if seed % 4 < 2 else None
    walked = world.World(ENTRIES, AGENTS, hedge_after_ms)
    Walker(walked, seed, prompt).walk(steps)
    return walked


def walk_mixed(seed: int) -> world.World:
    """Walks with messages that arrive promptly (odd seeds) or whenever (even ones)."""
    return walk_once(seed, prompt=seed % 2 == 1)


def explore(
    first_seed: int,
    seconds: float,
    walk: collections.abc.Callable[[int], world.World] = walk_mixed,
) -> Explored:
    """Walks through one world after another for a time.

    Args:
        first_seed: Seed of the first walk; it counts up.
        seconds: Duration.
        walk: Walks through the world of a seed.

    Raises:
        BrokenGuaranteeError: A guarantee did not hold; the message names the seed.
    """
    ends = time.monotonic() + seconds
    walks = steps = calls = 0
    finals: dict[str, int] = {}
    while time.monotonic() < ends:
        seed = first_seed + walks
        try:
            walked = walk(seed)
        except AssertionError as error:
            raise callers.BrokenGuaranteeError(f"seed {seed}: {error}") from error
        walks += 1
        steps += walked.steps
        calls += len(walked.callers.told)
        for told in walked.callers.told.values():
            finals[told.final] = finals.get(told.final, 0) + 1
    return Explored(walks, steps, calls, finals)
