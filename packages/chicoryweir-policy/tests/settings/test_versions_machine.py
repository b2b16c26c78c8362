"""Random runs of several processes and operators over an unreliable network.

Messages are lost, duplicated and reordered, the store fails, and processes restart.
Each process must adopt only accepted versions, in ascending order, and every outcome
reported to an operator must be true. In the end all processes must hold the newest
version.
"""

from __future__ import annotations

import dataclasses
import typing

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from chicoryweir_policy import store
from chicoryweir_policy.settings import changes
from chicoryweir_policy.settings import heads
from chicoryweir_policy.settings import messages
from chicoryweir_policy.settings import versions

PROCESSES = ("entry-1", "entry-2", "agent-1")
LOSSES = ("", "before", "after", "late", "repeated")
Reply = typing.Callable[[store.Result], None]


@dataclasses.dataclass
class FakeStore:
    """A store of rows and objects that records each accepted head."""

    rows: dict[str, store.Row] = dataclasses.field(default_factory=dict)
    objects: dict[str, bytes] = dataclasses.field(default_factory=dict)
    accepted: dict[int, str] = dataclasses.field(default_factory=dict)
    counter: int = 0

    def run(self, operation: store.Operation) -> store.Result:
        match operation:
            case store.Read(keys):
                return store.Rows(tuple(self.rows[k] for k in keys if k in self.rows))
            case store.GetObject(name):
                return store.ObjectFetched(name, self.objects.get(name))
            case store.PutObject(name, data):
                assert self.objects.setdefault(name, data) == data
                return store.ObjectStored(name)
            case store.Transact(checks, writes):
                return self.commit(checks, writes)
            case _:
                raise AssertionError(operation)

    def commit(
        self, checks: tuple[store.Check, ...], writes: tuple[store.Write, ...]
    ) -> store.Result:
        found = {check.key: self.rows.get(check.key) for check in checks}
        for check in checks:
            row = found[check.key]
            if (row.version if row else 0) != check.version:
                return store.Conflicted(tuple(row for row in found.values() if row))
        for write in writes:
            self.counter += 1
            if write.value is None:
                self.rows.pop(write.key, None)
            else:
                self.rows[write.key] = store.Row(write.key, self.counter, write.value)
        head = heads.parse_head(self.rows[heads.HEAD_KEY].value)
        assert head is not None
        assert head.version not in self.accepted, (
            "two changes were accepted as one version"
        )
        self.accepted[head.version] = head.change_id
        return store.Committed({write.key: self.counter for write in writes})


@dataclasses.dataclass
class Process:
    """One incarnation of a process; `adopted` lists its adopted versions in order."""

    state: versions.VersionState
    adopted: list[int] = dataclasses.field(default_factory=list)
    alive: bool = True


class Fleet(stateful.RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.store_up = True
        self.store = FakeStore()
        self.pending: list[typing.Callable[[], None]] = []
        self.outcomes: dict[str, changes.Outcome] = {}
        self.proposals: dict[str, changes.Proposal] = {}
        self.fleet = {name: self.start(name) for name in PROCESSES}

    def start(self, name: str) -> Process:
        return Process(versions.make_version_state(name, self.now))

    def handle_event(self, name: str, process: Process, event: messages.Event) -> None:
        if not process.alive:
            return
        step = versions.advance(process.state, event, self.now)
        process.state = step.state
        for command in step.commands:
            self.execute(name, process, command)

    def execute(self, name: str, process: Process, command: messages.Command) -> None:
        match command:
            case messages.ReadHead(operation):
                self.post_read(
                    operation,
                    lambda result: self.handle_event(
                        name, process, messages.HeadRead(result)
                    ),
                )
            case messages.FetchObject(operation):
                self.post_read(
                    operation,
                    lambda result: self.handle_event(
                        name, process, messages.ObjectRead(operation.name, result)
                    ),
                )
            case messages.RequestCopy(peer):
                self.post(peer, messages.CopyRequested(name))
            case messages.SendCopy(peer, copy):
                self.post(peer, messages.CopyReceived(name, copy))
            case messages.AnnounceHead(head, peer):
                for other in [peer] if peer else PROCESSES:
                    if other != name:
                        self.post(other, messages.HeadAnnounced(name, head))
            case messages.Adopt(head, _):
                assert not process.adopted or head.version > process.adopted[-1]
                assert self.store.accepted[head.version] == head.change_id
                process.adopted.append(head.version)
            case messages.Violation():
                raise AssertionError(command)

    def post(self, name: str, event: messages.Event) -> None:
        self.pending.append(lambda: self.handle_event(name, self.fleet[name], event))

    def post_read(self, operation: store.Operation, reply: Reply) -> None:
        def deliver_operation() -> None:
            result = (
                self.store.run(operation) if self.store_up else store.Refused("down")
            )
            self.pending.append(lambda: reply(result))

        self.pending.append(deliver_operation)

    def post_write(self, operation: store.Operation, reply: Reply, loss: str) -> None:
        """Runs a write whose reply or effect may be lost, delayed or repeated."""
        lost = store.Unknown("lost")
        if not self.store_up:
            reply(store.Refused("down"))
        elif loss == "before":
            reply(lost)
        elif loss == "after":
            self.store.run(operation)
            reply(lost)
        elif loss == "repeated":
            self.store.run(operation)
            reply(self.store.run(operation))
        elif loss == "late":
            self.pending.append(lambda: self.store.run(operation) and None)
            reply(lost)
        else:
            reply(self.store.run(operation))

    def run_step(
        self, name: str, process: Process, step: changes.Step, losses: list[str]
    ) -> None:
        replied = refused = False

        def reply(result: store.Result) -> None:
            nonlocal replied, refused
            refused = refused or isinstance(result, store.Refused)
            if not process.alive or replied:
                return
            replied = True
            next_step = changes.advance_change(step.change, result, self.now)
            if isinstance(next_step, changes.Step):
                self.run_step(name, process, next_step, losses)
                return
            self.record_outcome(step.change.proposal.change_id, next_step)
            if isinstance(next_step, changes.Applied):
                self.handle_event(
                    name, process, messages.ChangeAccepted(next_step.copy)
                )

        def deliver_operation() -> None:
            if refused:
                return  # A refused operation never has an effect.
            self.now = max(self.now, step.run.not_before)
            loss = losses.pop() if losses else ""
            self.post_write(step.run.operation, reply, loss)

        self.pending.append(deliver_operation)

    def record_outcome(self, change_id: str, outcome: changes.Outcome) -> None:
        """Records an outcome; `Unknown` is replaced only by `Applied` or `Conflict`."""
        earlier = self.outcomes.get(change_id)
        if not isinstance(earlier, changes.Unknown) or isinstance(
            outcome, changes.Applied | changes.Conflict
        ):
            self.outcomes[change_id] = outcome

    def submit(self, name: str, proposal: changes.Proposal, losses: list[str]) -> None:
        process = self.fleet[name]
        step = changes.start_change(proposal, process.state.current, self.now)
        self.run_step(name, process, step, losses)

    @stateful.rule(
        name=st.sampled_from(PROCESSES),
        versions_behind=st.integers(0, 1),
        losses=st.lists(st.sampled_from(LOSSES), max_size=8),
    )
    def propose(self, name: str, versions_behind: int, losses: list[str]) -> None:
        current = self.fleet[name].state.current
        version = max(0, (current.head.version if current else 0) - versions_behind)
        change_id = f"c{len(self.proposals)}"
        document = {"fleet": {"settings": {"queue_limit": len(self.proposals)}}}
        proposal = changes.Proposal(
            change_id, "dato", self.now, "test", version, document
        )
        self.proposals[change_id] = proposal
        self.submit(name, proposal, losses)

    @stateful.rule(name=st.sampled_from(PROCESSES))
    def resubmit_unknown_change(self, name: str) -> None:
        for change_id, outcome in list(self.outcomes.items()):
            if isinstance(outcome, changes.Unknown):
                self.submit(name, self.proposals[change_id], [])
                return

    @stateful.rule(name=st.sampled_from(PROCESSES), peer=st.sampled_from(PROCESSES))
    def send_copy(self, name: str, peer: str) -> None:
        self.post(peer, messages.CopyRequested(name))

    @stateful.rule(data=st.data(), count=st.integers(1, 12), duplicated=st.booleans())
    def deliver(self, data: st.DataObject, count: int, duplicated: bool) -> None:
        for _ in range(min(count, len(self.pending))):
            index = data.draw(st.integers(0, len(self.pending) - 1))
            deliver_message = (
                self.pending[index] if duplicated else self.pending.pop(index)
            )
            deliver_message()

    @stateful.rule(data=st.data())
    def lose_message(self, data: st.DataObject) -> None:
        if self.pending:
            self.pending.pop(data.draw(st.integers(0, len(self.pending) - 1)))

    @stateful.rule(name=st.sampled_from(PROCESSES))
    def restart(self, name: str) -> None:
        self.fleet[name].alive = False
        self.fleet[name] = self.start(name)
        for other in PROCESSES:
            current = self.fleet[other].state.current
            self.post(
                name, messages.HeadAnnounced(other, current.head if current else None)
            )
            self.post(other, messages.HeadAnnounced(name, None))

    @stateful.rule(up=st.booleans())
    def switch_store(self, up: bool) -> None:
        self.store_up = up

    @stateful.rule(seconds=st.sampled_from([0.1, 1.0, 5.0, 20.0]))
    def advance_time(self, seconds: float) -> None:
        self.now += seconds
        for name in PROCESSES:
            self.handle_event(name, self.fleet[name], messages.Ticked())

    @stateful.invariant()
    def outcomes_match_accepted_changes(self) -> None:
        accepted = {change_id: v for v, change_id in self.store.accepted.items()}
        assert len(accepted) == len(self.store.accepted)
        assert sorted(accepted.values()) == list(range(1, len(accepted) + 1))
        for change_id, outcome in self.outcomes.items():
            if isinstance(outcome, changes.Applied):
                assert accepted[change_id] == outcome.copy.head.version
            elif isinstance(outcome, changes.Conflict | changes.Unavailable):
                assert change_id not in accepted

    def teardown(self) -> None:
        self.store_up = True
        for _ in range(4):
            self.advance_time(20.0)
            while self.pending:
                self.pending.pop(0)()
        self.outcomes_match_accepted_changes()
        newest = max(self.store.accepted, default=0)
        for process in self.fleet.values():
            assert (process.adopted[-1] if process.adopted else 0) == newest


Fleet.TestCase.settings = hypothesis.settings(max_examples=250, stateful_step_count=40)
TestFleet = Fleet.TestCase
