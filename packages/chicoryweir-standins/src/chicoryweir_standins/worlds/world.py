"""A world of cores: their links, their store, their endpoints and their callers."""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import json

from chicoryweir_policy import catalogue
from chicoryweir_policy import messages
from chicoryweir_policy import requests
from chicoryweir_policy import store
from chicoryweir_policy.admission import fair_queue
from chicoryweir_policy.cores import commands
from chicoryweir_policy.cores import events
from chicoryweir_policy.cores.agent import core as agent_core
from chicoryweir_policy.cores.entry import core as entry_core
from chicoryweir_policy.cores.entry import state as entry_state
from chicoryweir_policy.membership import instances
from chicoryweir_policy.settings import heads
from chicoryweir_standins.worlds import callers
from chicoryweir_standins.worlds import endpoints
from chicoryweir_standins.worlds import operators
from chicoryweir_standins.worlds import storage

SERVICE = "desk"
PLACE = "telavi"
SLOTS = 2
QUEUE_LIMIT = 8
TOKENS_PER_S = 1000.0
LIFE_S = 10.0
MAX_ROUNDS = 6
SETTINGS_S = 5.0

Core = entry_core.EntryCore | agent_core.AgentCore


@dataclasses.dataclass(slots=True)
class Node:
    """A process of the world.

    Attributes:
        name: Its instance.
        role: Its role.
        core: Its core; None while it is dead.
        incarnation: Number of its start.
        stopping: Whether it takes no new connections and ends after the last answer.
        paused: Whether it is frozen; what is sent to it waits.
        waiting: Events that wait while it is frozen.
        versions: Settings versions in force, over its history.
        draining: Whether it was asked to stop.
        submitted: Attempts submitted to it, each with whether it drained by then.
    """

    name: str
    role: instances.Role
    core: Core | None = None
    incarnation: int = 0
    stopping: bool = False
    paused: bool = False
    waiting: collections.deque[events.Event] = dataclasses.field(
        default_factory=collections.deque
    )
    versions: list[int] = dataclasses.field(default_factory=list)
    draining: bool = False
    submitted: dict[str, bool] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Link:
    """A link; messages wait in it in both directions until they are delivered."""

    session: str
    dialer: str
    listener: str
    queues: dict[str, collections.deque[messages.Message]]


@dataclasses.dataclass(frozen=True, slots=True)
class PendingOperation:
    """An operation on its way to the store."""

    node: str
    incarnation: int
    operation_id: int
    command: commands.RunOperation


class World:
    """Everything of one run; each method is one thing that may happen."""

    def __init__(
        self,
        entry_names: tuple[str, ...],
        agent_names: tuple[str, ...],
        hedge_after_ms: int | None = None,
    ) -> None:
        """Starts all processes.

        Args:
            entry_names: The entries.
            agent_names: The agents, each with an endpoint.
            hedge_after_ms: Setting of that name; None where hedging is off.
        """
        self.now = 100.0
        self.store = storage.FakeStore()
        self.callers = callers.Callers()
        self.operators = operators.Operators()
        self.nodes: dict[str, Node] = {}
        self.links: dict[str, Link] = {}
        self.operations: list[PendingOperation] = []
        self.endpoints: dict[str, endpoints.FakeEndpoint] = {}
        self.steps = 0
        self._requests = 0
        self._sessions = 0
        self._put_settings(hedge_after_ms)
        for name in entry_names:
            self.nodes[name] = Node(name, instances.Role.ENTRY)
        for name in agent_names:
            self.nodes[name] = Node(name, instances.Role.AGENT)
            self.endpoints[name] = endpoints.FakeEndpoint(name)
            self.endpoints[name].boot()
        for name in (*agent_names, *entry_names):
            self.boot(name)
        self.settle()

    def _put_settings(self, hedge_after_ms: int | None) -> None:
        document = {
            "services": {SERVICE: {"kind": "plain"}},
            "fleet": {"settings": {"hedge_after_ms": hedge_after_ms}},
        }
        self.store.objects["settings/1"] = json.dumps(document).encode()
        head = heads.Head(1, "settings/1", "", "first", "", 0.0, "")
        self.store.apply(_write_head(head))

    # Processes

    def boot(self, name: str) -> None:
        """Starts a process anew."""
        node = self.nodes[name]
        node.incarnation += 1
        node.paused = False
        node.stopping = False
        node.waiting.clear()
        node.draining = False
        node.submitted.clear()
        node.core = self._make_core(node)
        node.versions.append(0)
        if node.role is instances.Role.AGENT:
            self._step(node, self.endpoints[name].probe())
        self._step(node, events.Ticked())

    def _make_core(self, node: Node) -> Core:
        incarnation = f"{node.name}.{node.incarnation}"
        if node.role is instances.Role.AGENT:
            facts = agent_core.AgentConfig(
                node.name, PLACE, SERVICE, incarnation, SLOTS
            )
            work = fair_queue.create_fair_queue(QUEUE_LIMIT, TOKENS_PER_S)
            return agent_core.AgentCore(facts, work)
        entry_facts = entry_state.EntryConfig(
            node.name, PLACE, incarnation, "127.0.0.1", 1
        )
        seeds = tuple(
            instances.Instance(
                other.name, other.role, PLACE, SERVICE, "127.0.0.1", 1, 1, False
            )
            for other in self.nodes.values()
            if other.name != node.name
        )
        return entry_core.make_entry_core(entry_facts, seeds)

    def kill(self, name: str) -> None:
        """Kills a process: its links close, its callers are cut off."""
        node = self.nodes[name]
        node.core = None
        node.waiting.clear()
        for link in list(self.links.values()):
            if name in (link.dialer, link.listener):
                self.cut(link.session)
        if node.role is instances.Role.ENTRY:
            self.callers.cut(name)
            self.operators.drop(name)
        else:
            self.endpoints[name].forget_calls()

    def pause(self, name: str) -> None:
        """Freezes a process."""
        self.nodes[name].paused = True

    def resume(self, name: str) -> None:
        """Lets a frozen process go on; it takes what waited, in order."""
        node = self.nodes[name]
        node.paused = False
        while node.waiting and node.core is not None:
            self._step(node, node.waiting.popleft())

    # Links

    def dial(self, dialer: str, listener: str) -> None:
        """Opens a link unless there is one."""
        if self.find_link(dialer, listener) is not None:
            return
        if any(self.nodes[name].core is None for name in (dialer, listener)):
            return
        self._sessions += 1
        session = f"s{self._sessions}"
        queues = {
            name: collections.deque[messages.Message]() for name in (dialer, listener)
        }
        self.links[session] = Link(session, dialer, listener, queues)
        for own, peer in ((dialer, listener), (listener, dialer)):
            hello = self._make_hello(self.nodes[peer], session)
            self._post(self.nodes[own], events.LinkOpened(hello, session))

    def _make_hello(self, node: Node, session: str) -> messages.Hello:
        return messages.Hello(
            node.name,
            node.role,
            PLACE,
            SERVICE,
            f"{node.name}.{node.incarnation}",
            session,
            0,
        )

    def find_link(self, one: str, other: str) -> Link | None:
        """Returns the link between two processes, or None."""
        for link in self.links.values():
            if {one, other} == {link.dialer, link.listener}:
                return link
        return None

    def cut(self, session: str) -> None:
        """Closes a link; what was on it is lost."""
        link = self.links.pop(session)
        for own, peer in ((link.dialer, link.listener), (link.listener, link.dialer)):
            self._post(self.nodes[own], events.LinkClosed(peer, session))

    def deliver(
        self, session: str, to: str, index: int = 0, keep: bool = False
    ) -> None:
        """Delivers a waiting message; `keep` leaves a second copy on the link."""
        link = self.links[session]
        waiting = link.queues[to]
        message = waiting[index]
        if not keep:
            del waiting[index]
        sender = link.dialer if to == link.listener else link.listener
        received = events.MessageReceived(sender, session, message)
        self._post(self.nodes[to], received)

    def lose(self, session: str, to: str, index: int = 0) -> None:
        """Loses a waiting message."""
        del self.links[session].queues[to][index]

    # Store, endpoints, time

    def run_operation(self, index: int, lose_reply: bool = False) -> None:
        """Lets an operation reach the store, and its reply come back or be lost."""
        pending = self.operations.pop(index)
        result = self.store.apply(pending.command.operation)
        if lose_reply:
            result = store.Unknown("reply lost")
        node = self.nodes[pending.node]
        if node.core is not None and node.incarnation == pending.incarnation:
            self._post(node, events.StoreReplied(pending.operation_id, result))

    def progress(self, agent: str, attempt_id: str) -> None:
        """Lets an endpoint send the next piece of an answer."""
        for event in self.endpoints[agent].progress(attempt_id):
            self._post(self.nodes[agent], event)

    def crash_endpoint(self, agent: str) -> None:
        """Kills an endpoint's process."""
        for event in self.endpoints[agent].crash():
            self._post(self.nodes[agent], event)
        self._post(self.nodes[agent], self.endpoints[agent].probe())

    def boot_endpoint(self, agent: str) -> None:
        """Starts an endpoint's process when it is down."""
        endpoint = self.endpoints[agent]
        if not endpoint.incarnation:
            endpoint.boot()
        self._post(self.nodes[agent], endpoint.probe())

    def pass_time(self, seconds: float) -> None:
        """Lets time pass; every process that lives ticks."""
        self.now += seconds
        for node in self.nodes.values():
            self._post(node, events.Ticked())

    def drain(self, name: str) -> None:
        """Asks a process to stop gracefully."""
        self._post(self.nodes[name], events.DrainRequested())

    # Operators

    def change_settings(self, entry: str) -> None:
        """An operator asks an entry for a change of the version it holds."""
        node = self.nodes[entry]
        if not isinstance(node.core, entry_core.EntryCore) or node.stopping:
            return
        held = node.core.state.settings.current_copy
        if held is not None:
            self.operators.start(entry, node.incarnation, held, self.now)

    def advance_change(self, index: int, lose_reply: bool = False) -> None:
        """Lets a change of the settings reach the store with its next operation."""
        done = self.operators.advance(index, self.store, self.now, lose_reply)
        if done is None:
            return
        pending, copy = done
        node = self.nodes[pending.entry]
        if node.incarnation == pending.incarnation:
            self._post(node, events.SettingsChanged(copy))

    def _check_newest(self) -> None:
        head = heads.parse_head(self.store.rows[heads.HEAD_KEY].value)
        assert head is not None
        late = [
            node.name
            for node in self.nodes.values()
            if node.core is not None and node.versions[-1] != head.version
        ]
        if late:
            raise callers.BrokenGuaranteeError(
                f"{late} without version {head.version} after {SETTINGS_S} s"
            )

    # Callers

    def call(
        self,
        entry: str,
        body: bytes,
        idempotency: requests.Idempotency,
        key: str = "",
        workspace: str = "w",
        streamed: bool = True,
        life_s: float = LIFE_S,
        priority: requests.PriorityClass | None = None,
    ) -> str:
        """Sends a request to an entry and returns its identifier."""
        self._requests += 1
        if priority is None:
            priority = requests.PriorityClass(self._requests % 3)
        request_id = f"r{self._requests}"
        request = requests.Request(
            request_id=request_id,
            workspace=workspace,
            service=SERVICE,
            model="",
            priority=priority,
            arrived_at=self.now,
            deadline_at=self.now + life_s,
            idempotency=idempotency,
            idempotency_key=key,
            mode=endpoints.make_mode(streamed),
            method="POST",
            path="/",
            content_type="",
            body=body,
            fingerprint=int.from_bytes(body.ljust(8, b"\x00")[-8:], "big"),
            prefix=0,
            prefix_blocks=(),
            cost_tokens=10.0,
        )
        self.callers.add(request, entry)
        self._post(self.nodes[entry], events.RequestArrived(request))
        return request_id

    def abandon(self, request_id: str) -> None:
        """The caller of a request goes away."""
        told = self.callers.told[request_id]
        if told.final:
            return
        told.final = callers.GONE
        abandoned = events.RequestAbandoned(request_id)
        self._post(self.nodes[told.entry], abandoned)

    # Checks

    def list_runs(self) -> list[endpoints.Run]:
        """Returns all runs at all endpoints."""
        return [run for endpoint in self.endpoints.values() for run in endpoint.runs]

    def check(self) -> None:
        """Checks every guarantee that can be checked at any time."""
        self.callers.check_runs(self.list_runs())
        self.operators.check(self.store)

    def settle(self, rounds: int = 400) -> None:
        """Ends all faults and lets everything run until nothing is left to do."""
        self.store.down = False
        for node in self.nodes.values():
            if node.core is None:
                self.boot(node.name)
            if node.paused:
                self.resume(node.name)
        begun = self.now
        for _ in range(rounds):
            self._settle_once()
            is_late = self.now > max(begun, self.operators.accepted_at) + SETTINGS_S
            if is_late:
                self._check_newest()
            if is_late and self._is_quiet():
                return

    def _settle_once(self) -> None:
        self.dial_all()
        while self.operations:
            self.run_operation(0)
        for index in reversed(range(len(self.operators.pending))):
            self.advance_change(index)
        for session in list(self.links):
            self._drain_link(session)
        for name, endpoint in self.endpoints.items():
            self.boot_endpoint(name)
            for attempt_id in endpoint.list_calls():
                if attempt_id in endpoint.list_calls():
                    self.progress(name, attempt_id)
        self.pass_time(0.05)

    def dial_all(self) -> None:
        """Opens every link that is missing."""
        for dialer in self.nodes.values():
            for listener in self.nodes.values():
                if _dials(dialer, listener):
                    self.dial(dialer.name, listener.name)

    def deliver_all(self) -> None:
        """Delivers every message that waits, and what follows from them."""
        for _ in range(MAX_ROUNDS):
            waiting = [
                session
                for session, link in self.links.items()
                if any(link.queues.values())
            ]
            for session in waiting:
                self._drain_link(session)

    def _drain_link(self, session: str) -> None:
        link = self.links.get(session)
        for to in (link.dialer, link.listener) if link is not None else ():
            while link is not None and session in self.links and link.queues[to]:
                self.deliver(session, to)

    def _is_quiet(self) -> bool:
        if any(not told.final for told in self.callers.told.values()):
            return False
        if any(endpoint.list_calls() for endpoint in self.endpoints.values()):
            return False
        if self.operators.pending:
            return False
        return all(self._is_ready(node) for node in self.nodes.values())

    def _is_ready(self, node: Node) -> bool:
        match node.core:
            case entry_core.EntryCore():
                return node.core.state.settings.is_ready
            case agent_core.AgentCore():
                return node.core.settings_version > 0
            case None:
                return False

    # Steps

    def post(self, name: str, event: events.Event) -> None:
        """Gives an event to a process; one that is frozen takes it later."""
        self._post(self.nodes[name], event)

    def _post(self, node: Node, event: events.Event) -> None:
        if node.core is None:
            return
        if node.paused:
            if not isinstance(event, events.Ticked):
                node.waiting.append(event)
            return
        self._step(node, event)

    def _step(self, node: Node, event: events.Event) -> None:
        if node.core is None:
            return
        self.steps += 1
        self._note_leaving(node, event)
        for command in node.core.step(event, self.now):
            self._carry_out(node, command)
        self._check_version(node)
        if node.stopping and not self.callers.list_open(node.name):
            self._stop(node)

    def _note_leaving(self, node: Node, event: events.Event) -> None:
        match event:
            case events.DrainRequested():
                node.draining = True
            case events.MessageReceived(_, _, messages.SubmitAttempt() as submit):
                node.submitted.setdefault(submit.attempt_id, node.draining)
            case _:
                pass

    def _stop(self, node: Node) -> None:
        """Ends a process that stopped gracefully: what it sent still arrives."""
        node.stopping = False
        node.core = None
        for link in list(self.links.values()):
            peer = link.listener if node.name == link.dialer else link.dialer
            if node.name in (link.dialer, link.listener):
                while link.session in self.links and link.queues[peer]:
                    self.deliver(link.session, peer)
        self.kill(node.name)

    def _check_version(self, node: Node) -> None:
        match node.core:
            case entry_core.EntryCore():
                version = node.core.state.settings.version
            case agent_core.AgentCore():
                version = node.core.settings_version
            case None:
                return
        if version < node.versions[-1]:
            raise callers.BrokenGuaranteeError(
                f"{node.name} went from version {node.versions[-1]} to {version}"
            )
        if version != node.versions[-1]:
            node.versions.append(version)

    def _carry_out(self, node: Node, command: commands.Command) -> None:
        match command:
            case commands.Send(_, session, message):
                self._send(node, session, message)
            case commands.RunOperation(operation_id):
                pending = PendingOperation(
                    node.name, node.incarnation, operation_id, command
                )
                self.operations.append(pending)
            case commands.CallEndpoint():
                self._call_endpoint(node, command)
            case commands.CancelCall(attempt_id):
                self.endpoints[node.name].cancel(attempt_id)
            case commands.LogEvent(number, _, _, detail):
                if number == catalogue.INVARIANT_VIOLATED:
                    raise callers.BrokenGuaranteeError(detail)
            case commands.Stop():
                node.stopping = True
            case commands.MaintainLinks():
                pass
            case _:
                self.callers.consume(command)

    def _call_endpoint(self, node: Node, command: commands.CallEndpoint) -> None:
        if node.submitted.get(command.attempt_id):
            raise callers.BrokenGuaranteeError(
                f"{node.name} started {command.attempt_id} after its drain"
            )
        for event in self.endpoints[node.name].start(command):
            self._post(node, event)

    def _send(self, node: Node, session: str, message: messages.Message) -> None:
        link = self.links.get(session)
        if link is None:
            return
        to = link.listener if node.name == link.dialer else link.dialer
        link.queues[to].append(message)


def _dials(dialer: Node, listener: Node) -> bool:
    if dialer.role is not instances.Role.ENTRY or dialer is listener:
        return False
    return listener.role is instances.Role.AGENT or listener.name < dialer.name


def _write_head(head: heads.Head) -> store.Transact:
    value = heads.render_head(head)
    write = store.Write(heads.HEAD_KEY, value)
    return store.Transact((), (write,))
