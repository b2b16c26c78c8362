"""Random histories of several processes, their operators and an unsafe network."""

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
class Table:
    """A store that keeps rows and objects and writes down each accepted head."""

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
        assert head.version not in self.accepted, "two changes won one version"
        self.accepted[head.version] = head.change_id
        return store.Committed({write.key: self.counter for write in writes})


@dataclasses.dataclass
class Process:
    """One incarnation; `adopted` lists the versions in force over its life."""

    state: versions.VersionState
    adopted: list[int] = dataclasses.field(default_factory=list)
    alive: bool = True


class Fleet(stateful.RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.up = True
        self.table = Table()
        self.pending: list[typing.Callable[[], None]] = []
        self.outcomes: dict[str, changes.Outcome] = {}
        self.proposals: dict[str, changes.Proposal] = {}
        self.fleet = {name: self.start(name) for name in PROCESSES}

    def start(self, name: str) -> Process:
        return Process(versions.make_version_state(name, self.now))

    def feed(self, name: str, process: Process, event: messages.Event) -> None:
        if not process.alive:
            return
        step = versions.advance(process.state, event, self.now)
        process.state = step.state
        for command in step.commands:
            self.obey(name, process, command)

    def obey(self, name: str, process: Process, command: messages.Command) -> None:
        match command:
            case messages.ReadHead(operation):
                self.post_read(
                    operation,
                    lambda result: self.feed(name, process, messages.HeadRead(result)),
                )
            case messages.FetchObject(operation):
                self.post_read(
                    operation,
                    lambda result: self.feed(
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
                assert self.table.accepted[head.version] == head.change_id
                process.adopted.append(head.version)
            case messages.Violation():
                raise AssertionError(command)

    def post(self, name: str, event: messages.Event) -> None:
        self.pending.append(lambda: self.feed(name, self.fleet[name], event))

    def post_read(self, operation: store.Operation, reply: Reply) -> None:
        def arrive() -> None:
            result = self.table.run(operation) if self.up else store.Refused("down")
            self.pending.append(lambda: reply(result))

        self.pending.append(arrive)

    def post_write(self, operation: store.Operation, reply: Reply, loss: str) -> None:
        """Runs a write; its reply may be lost before, after or ahead of the effect."""
        lost = store.Unknown("lost")
        if not self.up:
            reply(store.Refused("down"))
        elif loss == "before":
            reply(lost)
        elif loss == "after":
            self.table.run(operation)
            reply(lost)
        elif loss == "repeated":
            self.table.run(operation)
            reply(self.table.run(operation))
        elif loss == "late":
            self.pending.append(lambda: self.table.run(operation) and None)
            reply(lost)
        else:
            reply(self.table.run(operation))

    def drive(
        self, name: str, process: Process, step: changes.Step, losses: list[str]
    ) -> None:
        replied = refused = False

        def reply(result: store.Result) -> None:
            nonlocal replied, refused
            refused = refused or isinstance(result, store.Refused)
            if not process.alive or replied:
                return
            replied = True
            after = changes.advance_change(step.change, result, self.now)
            if isinstance(after, changes.Step):
                self.drive(name, process, after, losses)
                return
            self.note_outcome(step.change.proposal.change_id, after)
            if isinstance(after, changes.Applied):
                self.feed(name, process, messages.ChangeAccepted(after.copy))

        def arrive() -> None:
            if refused:
                return  # A refused operation has no effect, then or later.
            self.now = max(self.now, step.run.not_before)
            loss = losses.pop() if losses else ""
            self.post_write(step.run.operation, reply, loss)

        self.pending.append(arrive)

    def note_outcome(self, change_id: str, outcome: changes.Outcome) -> None:
        """Keeps `Unknown` until a submission tells what the first one did."""
        earlier = self.outcomes.get(change_id)
        if not isinstance(earlier, changes.Unknown) or isinstance(
            outcome, changes.Applied | changes.Conflict
        ):
            self.outcomes[change_id] = outcome

    def submit(self, name: str, proposal: changes.Proposal, losses: list[str]) -> None:
        process = self.fleet[name]
        step = changes.start_change(proposal, process.state.current, self.now)
        self.drive(name, process, step, losses)

    @stateful.rule(
        name=st.sampled_from(PROCESSES),
        behind=st.integers(0, 1),
        losses=st.lists(st.sampled_from(LOSSES), max_size=8),
    )
    def propose(self, name: str, behind: int, losses: list[str]) -> None:
        held = self.fleet[name].state.current
        version = max(0, (held.head.version if held else 0) - behind)
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

    @stateful.rule(data=st.data(), count=st.integers(1, 12), doubled=st.booleans())
    def deliver(self, data: st.DataObject, count: int, doubled: bool) -> None:
        for _ in range(min(count, len(self.pending))):
            index = data.draw(st.integers(0, len(self.pending) - 1))
            arrive = self.pending[index] if doubled else self.pending.pop(index)
            arrive()

    @stateful.rule(data=st.data())
    def lose(self, data: st.DataObject) -> None:
        if self.pending:
            self.pending.pop(data.draw(st.integers(0, len(self.pending) - 1)))

    @stateful.rule(name=st.sampled_from(PROCESSES))
    def restart(self, name: str) -> None:
        self.fleet[name].alive = False
        self.fleet[name] = self.start(name)
        for other in PROCESSES:
            held = self.fleet[other].state.current
            self.post(name, messages.HeadAnnounced(other, held.head if held else None))
            self.post(other, messages.HeadAnnounced(name, None))

    @stateful.rule(up=st.booleans())
    def switch_store(self, up: bool) -> None:
        self.up = up

    @stateful.rule(seconds=st.sampled_from([0.1, 1.0, 5.0, 20.0]))
    def wait(self, seconds: float) -> None:
        self.now += seconds
        for name in PROCESSES:
            self.feed(name, self.fleet[name], messages.Ticked())

    @stateful.invariant()
    def accepted_changes_are_kept_and_refused_ones_never_appear(self) -> None:
        accepted = {change_id: v for v, change_id in self.table.accepted.items()}
        assert len(accepted) == len(self.table.accepted)
        assert sorted(accepted.values()) == list(range(1, len(accepted) + 1))
        for change_id, outcome in self.outcomes.items():
            if isinstance(outcome, changes.Applied):
                assert accepted[change_id] == outcome.copy.head.version
            elif isinstance(outcome, changes.Conflict | changes.Unavailable):
                assert change_id not in accepted

    def teardown(self) -> None:
        self.up = True
        for _ in range(4):
            self.wait(20.0)
            while self.pending:
                self.pending.pop(0)()
        self.accepted_changes_are_kept_and_refused_ones_never_appear()
        newest = max(self.table.accepted, default=0)
        for process in self.fleet.values():
            assert (process.adopted[-1] if process.adopted else 0) == newest


Fleet.TestCase.settings = hypothesis.settings(max_examples=250, stateful_step_count=40)
TestFleet = Fleet.TestCase
