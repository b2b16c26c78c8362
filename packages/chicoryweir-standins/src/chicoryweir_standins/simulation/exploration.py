"""Random walks through simulations, with checks of every guarantee."""

from __future__ import annotations

import collections.abc
import dataclasses
import random
import time

from chicoryweir_policy import requests
from chicoryweir_policy.membership import instances
from chicoryweir_standins.simulation import callers
from chicoryweir_standins.simulation import endpoints
from chicoryweir_standins.simulation import evacuations
from chicoryweir_standins.simulation import simulator

ENTRIES = ("entry-1", "entry-2")
AGENTS = ("agent-1", "agent-2", "agent-3")
STEPS_PER_WALK = 300
CHECK_INTERVAL_STEPS = 50
PROMPT_DELAY_S = 0.05
HEDGE_AFTER_MS = 50
_KEYS = ("k1", "k2", "k3", "k4")
_WORKSPACES = ("small", "large")

Action = collections.abc.Callable[[], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Explored:
    """Result of an exploration.

    Attributes:
        walks: Number of walks.
        steps: Number of core steps.
        calls: Number of requests sent.
        finals: Number of requests by end state.
    """

    walks: int
    steps: int
    calls: int
    finals: dict[str, int]


class RandomWalker:
    """Executes random actions in one simulation."""

    def __init__(
        self,
        simulation: simulator.Simulation,
        seed: int,
        prompt_delivery: bool = False,
        evacuates: bool = False,
    ) -> None:
        """Creates a walker.

        Args:
            simulation: The simulation.
            seed: Seed of all choices.
            prompt_delivery: Whether messages arrive within `PROMPT_DELAY_S`, which the
                bound on the endpoints lost to one poisonous body assumes.
            evacuates: Whether operators also evacuate data centres.
        """
        self.simulation = simulation
        self._prompt_delivery = prompt_delivery
        self._random = random.Random(seed)
        self._actions: list[tuple[Action, int]] = [
            (self._deliver, 60),
            (self._run_operation, 12),
            (self._advance_call, 20),
            (self._call, 14),
            (self._advance_time, 8),
            (self._boot_endpoint, 4),
            (self._open_links, 6),
            (self._reorder, 4),
            (self._duplicate, 3),
            (self._drop_message, 1),
            (self._close_link, 1),
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
        if evacuates:
            self._actions.append((self._change_evacuation, 4))

    def walk(self, steps: int) -> None:
        """Executes random actions, ends all faults and checks that all requests end."""
        actions = [action for action, _ in self._actions]
        weights = [weight for _, weight in self._actions]
        if self._prompt_delivery:
            excluded = (self._drop_message, self._pause, self._close_link)
            weights = [
                0 if action in excluded else weight
                for action, weight in zip(actions, weights, strict=True)
            ]
        for step, action in enumerate(self._random.choices(actions, weights, k=steps)):
            action()
            if step % CHECK_INTERVAL_STEPS == 0:
                self._check()
        self.simulation.run_until_idle()
        self._check()
        self._check_all_ended()

    def _check(self) -> None:
        self.simulation.check()
        if self._prompt_delivery:
            callers.check_poison(self.simulation.list_runs())

    def _check_all_ended(self) -> None:
        open_ids = [
            record.request.request_id
            for record in self.simulation.callers.records.values()
            if not record.end_state
        ]
        if open_ids:
            raise callers.BrokenGuaranteeError(f"no answer: {open_ids}")

    def _choose_node_of_role(
        self, role: instances.Role, alive: bool
    ) -> simulator.Node | None:
        nodes = [
            node
            for node in self.simulation.nodes.values()
            if node.role is role and (node.core is not None) is alive
        ]
        return self._random.choice(nodes) if nodes else None

    def _choose_node(self, alive: bool) -> simulator.Node | None:
        roles = (instances.Role.ENTRY, instances.Role.AGENT)
        return self._choose_node_of_role(self._random.choice(roles), alive)

    def _choose_message(self) -> tuple[str, str, int] | None:
        choices = [
            (session, to, len(queue))
            for session, link in self.simulation.links.items()
            for to, queue in link.queues.items()
            if queue
        ]
        return self._random.choice(choices) if choices else None

    def _deliver(self) -> None:
        chosen = self._choose_message()
        if chosen:
            self.simulation.deliver(chosen[0], chosen[1])

    def _reorder(self) -> None:
        chosen = self._choose_message()
        if chosen:
            index = self._random.randrange(chosen[2])
            self.simulation.deliver(chosen[0], chosen[1], index)

    def _duplicate(self) -> None:
        chosen = self._choose_message()
        if chosen:
            self.simulation.deliver(chosen[0], chosen[1], keep_copy=True)

    def _drop_message(self) -> None:
        chosen = self._choose_message()
        if chosen:
            self.simulation.drop_message(chosen[0], chosen[1])

    def _run_operation(self) -> None:
        if self.simulation.operations:
            index = self._random.randrange(len(self.simulation.operations))
            self.simulation.run_operation(index, self._random.random() < 0.15)

    def _advance_call(self) -> None:
        running = [
            (name, attempt_id)
            for name, endpoint in self.simulation.endpoints.items()
            for attempt_id in endpoint.list_calls()
        ]
        if running:
            name, attempt_id = self._random.choice(running)
            self.simulation.advance_call(name, attempt_id)

    def _call(self) -> None:
        node = self._choose_node_of_role(instances.Role.ENTRY, True)
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
        deadline_in_s = self._random.choice((0.3, 2.0, 10.0))
        self.simulation.call(
            node.name, body, idempotency, key, workspace, streamed, deadline_in_s
        )

    def _poison(self) -> None:
        node = self._choose_node_of_role(instances.Role.ENTRY, True)
        if node is not None and not node.stopping:
            body = endpoints.POISON + b"%d" % self._random.randrange(2)
            idempotency = requests.Idempotency.IDEMPOTENT
            self.simulation.call(node.name, body, idempotency)

    def _advance_time(self) -> None:
        if self._prompt_delivery:
            self.simulation.open_missing_links()
            self.simulation.deliver_all()
            self.simulation.advance_time(PROMPT_DELAY_S)
            self.simulation.deliver_all()
            return
        self.simulation.advance_time(self._random.choice((0.01, 0.05, 0.3, 1.0)))

    def _change_settings(self) -> None:
        node = self._choose_node_of_role(instances.Role.ENTRY, True)
        if node is not None:
            self.simulation.change_settings(node.name)

    def _advance_change(self) -> None:
        pending = self.simulation.operators.pending
        if pending:
            index = self._random.randrange(len(pending))
            self.simulation.advance_change(index, self._random.random() < 0.15)

    def _change_evacuation(self) -> None:
        node = self._choose_node_of_role(instances.Role.ENTRY, True)
        agent = self._random.choice(AGENTS)
        place = self.simulation.nodes[agent].data_centre
        evacuated = self._random.random() < 0.6
        if node is not None:
            edit = evacuations.make_edit(self.simulation, place, evacuated)
            self.simulation.change_settings(node.name, edit)

    def _boot_endpoint(self) -> None:
        self.simulation.boot_endpoint(self._random.choice(AGENTS))

    def _open_links(self) -> None:
        self.simulation.open_missing_links()

    def _close_link(self) -> None:
        if self.simulation.links:
            self.simulation.close_link(
                self._random.choice(sorted(self.simulation.links))
            )

    def _kill(self) -> None:
        node = self._choose_node(True)
        if node is None:
            return
        if self._prompt_delivery:
            self.simulation.deliver_all()
        if node.core is not None:
            self.simulation.kill(node.name)

    def _boot(self) -> None:
        node = self._choose_node(False)
        if node is not None:
            self.simulation.boot(node.name)

    def _pause(self) -> None:
        node = self._choose_node(True)
        if node is not None:
            self.simulation.pause(node.name)

    def _resume(self) -> None:
        for node in self.simulation.nodes.values():
            if node.paused:
                self.simulation.resume(node.name)
                return

    def _crash_endpoint(self) -> None:
        self.simulation.crash_endpoint(self._random.choice(AGENTS))

    def _toggle_store(self) -> None:
        self.simulation.store.down = not self.simulation.store.down

    def _abandon(self) -> None:
        open_ids = [
            record.request.request_id
            for record in self.simulation.callers.records.values()
            if not record.end_state
        ]
        if open_ids:
            self.simulation.abandon(self._random.choice(open_ids))

    def _drain(self) -> None:
        node = self._choose_node(True)
        if node is not None:
            self.simulation.drain(node.name)


def walk_once(
    seed: int, steps: int = STEPS_PER_WALK, prompt_delivery: bool = False
) -> simulator.Simulation:
    """Runs one random walk; equal seeds give equal walks.

    Hedging is on if `seed % 4 < 2`. `walk_mixed` delays messages on even seeds only, so
    that it covers hedging with prompt and with delayed messages.

    Raises:
        BrokenGuaranteeError: A guarantee did not hold.
    """
    hedge_after_ms = HEDGE_AFTER_MS if seed % 4 < 2 else None
    simulation = simulator.Simulation(ENTRIES, AGENTS, hedge_after_ms)
    RandomWalker(simulation, seed, prompt_delivery).walk(steps)
    return simulation


def walk_evacuating(seed: int, steps: int = STEPS_PER_WALK) -> simulator.Simulation:
    """Runs one walk in which operators evacuate data centres, one agent in each.

    Raises:
        BrokenGuaranteeError: A guarantee did not hold.
    """
    data_centres = {name: f"place-{number}" for number, name in enumerate(AGENTS)}
    hedge_after_ms = HEDGE_AFTER_MS if seed % 4 < 2 else None
    simulation = simulator.Simulation(ENTRIES, AGENTS, hedge_after_ms, data_centres)
    RandomWalker(simulation, seed, seed % 2 == 1, evacuates=True).walk(steps)
    return simulation


def walk_mixed(seed: int) -> simulator.Simulation:
    """Runs one walk, with prompt messages if the seed is odd, else delayed."""
    return walk_once(seed, prompt_delivery=seed % 2 == 1)


def explore(
    first_seed: int,
    seconds: float,
    walk: collections.abc.Callable[[int], simulator.Simulation] = walk_mixed,
) -> Explored:
    """Runs random walks one after another for a given time.

    Args:
        first_seed: Seed of the first walk; later walks use the following numbers.
        seconds: Duration.
        walk: Runs the walk of a seed.

    Raises:
        BrokenGuaranteeError: A guarantee did not hold; the message names the seed.
    """
    ends_at = time.monotonic() + seconds
    walks = steps = calls = 0
    finals: dict[str, int] = {}
    while time.monotonic() < ends_at:
        seed = first_seed + walks
        try:
            simulation = walk(seed)
        except AssertionError as error:
            raise callers.BrokenGuaranteeError(f"seed {seed}: {error}") from error
        walks += 1
        steps += simulation.steps
        calls += len(simulation.callers.records)
        for record in simulation.callers.records.values():
            finals[record.end_state] = finals.get(record.end_state, 0) + 1
    return Explored(walks, steps, calls, finals)
