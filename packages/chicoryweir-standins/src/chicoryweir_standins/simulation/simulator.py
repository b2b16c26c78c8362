"""Simulates entry and agent cores with their links, store, endpoints and callers."""

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
from chicoryweir_policy.settings import documents
from chicoryweir_policy.settings import evacuation
from chicoryweir_policy.settings import heads
from chicoryweir_policy.settings import tree as trees
from chicoryweir_standins.simulation import callers
from chicoryweir_standins.simulation import endpoints
from chicoryweir_standins.simulation import operators
from chicoryweir_standins.simulation import storage

SERVICE = "desk"
DATA_CENTRE = "telavi"
SLOTS = 2
QUEUE_LIMIT = 8
TOKENS_PER_S = 1000.0
DEADLINE_IN_S = 10.0
MAX_DELIVERY_ROUNDS = 6
MAX_SETTINGS_DELAY_S = 5.0

Core = entry_core.EntryCore | agent_core.AgentCore


@dataclasses.dataclass(slots=True)
class Node:
    """A simulated process.

    Attributes:
        name: Instance name.
        role: Role of the process.
        data_centre: Data centre of the process.
        core: Its core; None while it is dead.
        incarnation: Number of its starts so far.
        stopping: Whether it accepts no new connections and exits after the last answer.
        paused: Whether it is paused; events for it are queued.
        queued_events: Events that arrived while it was paused.
        versions: Settings versions that were in force, oldest first.
        draining: Whether it was asked to stop.
        draining_at_submit: Whether it was draining when it received an attempt, by
            attempt id.
    """

    name: str
    role: instances.Role
    data_centre: str = DATA_CENTRE
    core: Core | None = None
    incarnation: int = 0
    stopping: bool = False
    paused: bool = False
    queued_events: collections.deque[events.Event] = dataclasses.field(
        default_factory=collections.deque
    )
    versions: list[int] = dataclasses.field(default_factory=list)
    draining: bool = False
    draining_at_submit: dict[str, bool] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Link:
    """A link with its undelivered messages, queued by receiver."""

    session: str
    dialer: str
    listener: str
    queues: dict[str, collections.deque[messages.Message]]


@dataclasses.dataclass(frozen=True, slots=True)
class PendingOperation:
    """An operation that has not reached the store yet."""

    node: str
    incarnation: int
    operation_id: int
    command: commands.RunOperation


class Simulation:
    """A simulated cluster; most methods cause one event."""

    def __init__(
        self,
        entry_names: tuple[str, ...],
        agent_names: tuple[str, ...],
        hedge_after_ms: int | None = None,
        data_centres: collections.abc.Mapping[str, str] | None = None,
    ) -> None:
        """Starts all processes.

        Args:
            entry_names: Names of the entries.
            agent_names: Names of the agents, each with an endpoint.
            hedge_after_ms: Value of the setting; None turns hedging off.
            data_centres: Data centres by instance; `DATA_CENTRE` for those not listed.
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
        self._request_count = 0
        self._session_count = 0
        self._evacuated: dict[tuple[int, str], bool] = {}
        self._put_settings(hedge_after_ms)
        places = data_centres or {}
        for name in entry_names:
            place = places.get(name, DATA_CENTRE)
            self.nodes[name] = Node(name, instances.Role.ENTRY, place)
        for name in agent_names:
            place = places.get(name, DATA_CENTRE)
            self.nodes[name] = Node(name, instances.Role.AGENT, place)
            self.endpoints[name] = endpoints.FakeEndpoint(name)
            self.endpoints[name].boot()
        for name in (*agent_names, *entry_names):
            self.boot(name)
        self.run_until_idle()

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
        """Starts or restarts a process."""
        node = self.nodes[name]
        node.incarnation += 1
        node.paused = False
        node.stopping = False
        node.queued_events.clear()
        node.draining = False
        node.draining_at_submit.clear()
        node.core = self._make_core(node)
        node.versions.append(0)
        if node.role is instances.Role.AGENT:
            self._step(node, self.endpoints[name].answer_probe())
        self._step(node, events.Ticked())

    def _make_core(self, node: Node) -> Core:
        incarnation = f"{node.name}.{node.incarnation}"
        if node.role is instances.Role.AGENT:
            agent_config = agent_core.AgentConfig(
                node.name, node.data_centre, SERVICE, incarnation, SLOTS
            )
            attempt_queue = fair_queue.create_fair_queue(QUEUE_LIMIT, TOKENS_PER_S)
            return agent_core.AgentCore(agent_config, attempt_queue)
        entry_config = entry_state.EntryConfig(
            node.name, node.data_centre, incarnation, "127.0.0.1", 1
        )
        seeds = tuple(
            instances.Instance(
                other.name,
                other.role,
                other.data_centre,
                SERVICE,
                "127.0.0.1",
                1,
                1,
                False,
            )
            for other in self.nodes.values()
            if other.name != node.name
        )
        return entry_core.make_entry_core(entry_config, seeds)

    def kill(self, name: str) -> None:
        """Kills a process, which closes its links and its callers' connections."""
        node = self.nodes[name]
        node.core = None
        node.queued_events.clear()
        for link in list(self.links.values()):
            if name in (link.dialer, link.listener):
                self.close_link(link.session)
        if node.role is instances.Role.ENTRY:
            self.callers.break_connections(name)
            self.operators.drop_changes(name)
        else:
            self.endpoints[name].drop_calls()

    def pause(self, name: str) -> None:
        """Pauses a process."""
        self.nodes[name].paused = True

    def resume(self, name: str) -> None:
        """Resumes a paused process, which handles its queued events in order."""
        node = self.nodes[name]
        node.paused = False
        while node.queued_events and node.core is not None:
            self._step(node, node.queued_events.popleft())

    # Links

    def open_link(self, dialer: str, listener: str) -> None:
        """Opens a link unless it exists or a process is dead."""
        if self.find_link(dialer, listener) is not None:
            return
        if any(self.nodes[name].core is None for name in (dialer, listener)):
            return
        self._session_count += 1
        session = f"s{self._session_count}"
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
            node.data_centre,
            SERVICE,
            f"{node.name}.{node.incarnation}",
            session,
            0,
        )

    def find_link(self, name: str, peer: str) -> Link | None:
        """Returns the link between two processes, or None."""
        for link in self.links.values():
            if {name, peer} == {link.dialer, link.listener}:
                return link
        return None

    def close_link(self, session: str) -> None:
        """Closes a link and drops its queued messages."""
        link = self.links.pop(session)
        for own, peer in ((link.dialer, link.listener), (link.listener, link.dialer)):
            self._post(self.nodes[own], events.LinkClosed(peer, session))

    def deliver(
        self, session: str, to: str, index: int = 0, keep_copy: bool = False
    ) -> None:
        """Delivers a queued message; `keep_copy` leaves a copy on the link."""
        link = self.links[session]
        queue = link.queues[to]
        message = queue[index]
        if not keep_copy:
            del queue[index]
        sender = link.dialer if to == link.listener else link.listener
        received = events.MessageReceived(sender, session, message)
        self._post(self.nodes[to], received)

    def drop_message(self, session: str, to: str, index: int = 0) -> None:
        """Drops a queued message."""
        del self.links[session].queues[to][index]

    # Store, endpoints, time

    def run_operation(self, index: int, lose_reply: bool = False) -> None:
        """Runs a pending store operation and delivers or loses its reply."""
        pending = self.operations.pop(index)
        result = self.store.apply(pending.command.operation)
        if lose_reply:
            result = store.Unknown("reply lost")
        node = self.nodes[pending.node]
        if node.core is not None and node.incarnation == pending.incarnation:
            self._post(node, events.StoreReplied(pending.operation_id, result))

    def advance_call(self, agent: str, attempt_id: str) -> None:
        """Sends the next payload of an answer from an endpoint, or ends the answer."""
        for event in self.endpoints[agent].advance_call(attempt_id):
            self._post(self.nodes[agent], event)

    def crash_endpoint(self, agent: str) -> None:
        """Crashes an endpoint's process."""
        for event in self.endpoints[agent].crash():
            self._post(self.nodes[agent], event)
        self._post(self.nodes[agent], self.endpoints[agent].answer_probe())

    def boot_endpoint(self, agent: str) -> None:
        """Starts an endpoint's process if it is down, and probes it."""
        endpoint = self.endpoints[agent]
        if not endpoint.incarnation:
            endpoint.boot()
        self._post(self.nodes[agent], endpoint.answer_probe())

    def advance_time(self, seconds: float) -> None:
        """Advances the time; every running process ticks."""
        self.now += seconds
        for node in self.nodes.values():
            self._post(node, events.Ticked())

    def drain(self, name: str) -> None:
        """Asks a process to stop gracefully."""
        self._post(self.nodes[name], events.DrainRequested())

    # Operators

    def change_settings(
        self, entry: str, edit: operators.Edit = operators.change_weight
    ) -> None:
        """Starts an operator's change of an entry's current settings version."""
        node = self.nodes[entry]
        if not isinstance(node.core, entry_core.EntryCore) or node.stopping:
            return
        current = node.core.state.settings.current_copy
        if current is not None:
            self.operators.start_change(
                entry, node.incarnation, current, edit, self.now
            )

    def advance_change(self, index: int, lose_reply: bool = False) -> None:
        """Runs the next store operation of a settings change."""
        accepted = self.operators.advance_change(
            index, self.store, self.now, lose_reply
        )
        if accepted is None:
            return
        pending, copy = accepted
        node = self.nodes[pending.entry]
        if node.incarnation == pending.incarnation:
            self._post(node, events.SettingsChanged(copy))

    def _check_settings_adopted(self) -> None:
        head = heads.parse_head(self.store.rows[heads.HEAD_KEY].value)
        assert head is not None
        outdated = [
            node.name
            for node in self.nodes.values()
            if node.core is not None and node.versions[-1] != head.version
        ]
        if outdated:
            raise callers.BrokenGuaranteeError(
                f"{outdated} without version {head.version} "
                f"after {MAX_SETTINGS_DELAY_S} s"
            )

    def is_evacuated(self, version: int, data_centre: str) -> bool:
        """Returns whether a version of the settings evacuates a data centre."""
        key = (version, data_centre)
        if version and key not in self._evacuated:
            row = self.store.rows.get(heads.make_history_key(version))
            head = heads.parse_head(row.value) if row is not None else None
            name = head.object_name if head is not None else f"settings/{version}"
            decoding = documents.decode_stored(self.store.objects[name])
            assert isinstance(decoding, documents.Decoded)
            tree = trees.parse_tree(decoding.document)
            self._evacuated[key] = evacuation.is_evacuated(tree, data_centre)
        return self._evacuated.get(key, False)

    # Callers

    def call(
        self,
        entry: str,
        body: bytes,
        idempotency: requests.Idempotency,
        key: str = "",
        workspace: str = "w",
        streamed: bool = True,
        deadline_in_s: float = DEADLINE_IN_S,
        priority: requests.PriorityClass | None = None,
    ) -> str:
        """Sends a request to an entry and returns its identifier."""
        self._request_count += 1
        if priority is None:
            priority = requests.PriorityClass(self._request_count % 3)
        request_id = f"r{self._request_count}"
        request = requests.Request(
            request_id=request_id,
            workspace=workspace,
            service=SERVICE,
            model="",
            priority=priority,
            arrived_at=self.now,
            deadline_at=self.now + deadline_in_s,
            idempotency=idempotency,
            idempotency_key=key,
            mode=endpoints.get_answer_mode(streamed),
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
        """Disconnects the caller of a request."""
        record = self.callers.records[request_id]
        if record.end_state:
            return
        record.end_state = callers.ABANDONED
        abandoned = events.RequestAbandoned(request_id)
        self._post(self.nodes[record.entry], abandoned)

    # Checks

    def list_runs(self) -> list[endpoints.Run]:
        """Returns all runs at all endpoints."""
        return [run for endpoint in self.endpoints.values() for run in endpoint.runs]

    def check(self) -> None:
        """Checks every guarantee that can be checked at any time."""
        self.callers.check_runs(self.list_runs())
        self.operators.check_outcomes(self.store)

    def run_until_idle(self, rounds: int = 400) -> None:
        """Ends all faults and runs until no work is left, or for `rounds` rounds."""
        self.store.down = False
        for node in self.nodes.values():
            if node.core is None:
                self.boot(node.name)
            if node.paused:
                self.resume(node.name)
        started_at = self.now
        for _ in range(rounds):
            self._run_one_round()
            is_settings_check_due = (
                self.now
                > max(started_at, self.operators.last_accepted_at)
                + MAX_SETTINGS_DELAY_S
            )
            if is_settings_check_due:
                self._check_settings_adopted()
            if is_settings_check_due and self._is_idle():
                return

    def _run_one_round(self) -> None:
        self.open_missing_links()
        while self.operations:
            self.run_operation(0)
        for index in reversed(range(len(self.operators.pending))):
            self.advance_change(index)
        for session in list(self.links):
            self._deliver_queued(session)
        for name, endpoint in self.endpoints.items():
            self.boot_endpoint(name)
            for attempt_id in endpoint.list_calls():
                if attempt_id in endpoint.list_calls():
                    self.advance_call(name, attempt_id)
        self.advance_time(0.05)

    def open_missing_links(self) -> None:
        """Opens every missing link."""
        for dialer in self.nodes.values():
            for listener in self.nodes.values():
                if _should_dial(dialer, listener):
                    self.open_link(dialer.name, listener.name)

    def deliver_all(self) -> None:
        """Delivers the queued messages and those sent in reply."""
        for _ in range(MAX_DELIVERY_ROUNDS):
            sessions = [
                session
                for session, link in self.links.items()
                if any(link.queues.values())
            ]
            for session in sessions:
                self._deliver_queued(session)

    def _deliver_queued(self, session: str) -> None:
        link = self.links.get(session)
        for to in (link.dialer, link.listener) if link is not None else ():
            while link is not None and session in self.links and link.queues[to]:
                self.deliver(session, to)

    def _is_idle(self) -> bool:
        if any(not record.end_state for record in self.callers.records.values()):
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
        """Passes an event to a process; a paused one handles it when it resumes."""
        self._post(self.nodes[name], event)

    def _post(self, node: Node, event: events.Event) -> None:
        if node.core is None:
            return
        if node.paused:
            if not isinstance(event, events.Ticked):
                node.queued_events.append(event)
            return
        self._step(node, event)

    def _step(self, node: Node, event: events.Event) -> None:
        if node.core is None:
            return
        self.steps += 1
        self._record_drain(node, event)
        node_commands = node.core.step(event, self.now)
        self._check_version(node)
        for command in node_commands:
            self._execute(node, command)
        if node.stopping and not self.callers.list_open(node.name):
            self._stop(node)

    def _record_drain(self, node: Node, event: events.Event) -> None:
        match event:
            case events.DrainRequested():
                node.draining = True
            case events.MessageReceived(_, _, messages.SubmitAttempt() as submit):
                node.draining_at_submit.setdefault(submit.attempt_id, node.draining)
            case _:
                pass

    def _stop(self, node: Node) -> None:
        """Ends a gracefully stopped process after delivering the messages it sent."""
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

    def _execute(self, node: Node, command: commands.Command) -> None:
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
                self.callers.apply_command(command)

    def _call_endpoint(self, node: Node, command: commands.CallEndpoint) -> None:
        if node.draining_at_submit.get(command.attempt_id):
            raise callers.BrokenGuaranteeError(
                f"{node.name} started {command.attempt_id} after its drain"
            )
        if self.is_evacuated(node.versions[-1], node.data_centre):
            raise callers.BrokenGuaranteeError(
                f"{node.name} started {command.attempt_id} while it was evacuated"
            )
        for event in self.endpoints[node.name].start_call(command):
            self._post(node, event)

    def _send(self, node: Node, session: str, message: messages.Message) -> None:
        link = self.links.get(session)
        if link is None:
            return
        to = link.listener if node.name == link.dialer else link.dialer
        if isinstance(message, messages.SubmitAttempt) and self.is_evacuated(
            node.versions[-1], self.nodes[to].data_centre
        ):
            raise callers.BrokenGuaranteeError(
                f"{node.name} sent {message.attempt_id} to {to}, which is evacuated"
            )
        link.queues[to].append(message)


def _should_dial(dialer: Node, listener: Node) -> bool:
    if dialer.role is not instances.Role.ENTRY or dialer is listener:
        return False
    return listener.role is instances.Role.AGENT or listener.name < dialer.name


def _write_head(head: heads.Head) -> store.Transact:
    value = heads.render_head(head)
    write = store.Write(heads.HEAD_KEY, value)
    return store.Transact((), (write,))
