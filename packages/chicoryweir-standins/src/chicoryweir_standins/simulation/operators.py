"""Operators of a simulation, who concurrently change settings through entries."""

from __future__ import annotations

import dataclasses

from chicoryweir_policy import store
from chicoryweir_policy.settings import changes
from chicoryweir_policy.settings import copies
from chicoryweir_policy.settings import documents
from chicoryweir_policy.settings import heads
from chicoryweir_standins.simulation import callers
from chicoryweir_standins.simulation import storage


@dataclasses.dataclass(slots=True)
class PendingChange:
    """A settings change that an entry is applying.

    Attributes:
        entry: Name of the entry.
        incarnation: Number of the entry's start; the change is lost at a restart.
        step: The change and the operation that it waits for.
    """

    entry: str
    incarnation: int
    step: changes.Step


class Operators:
    """All settings changes of a simulation and their reported outcomes."""

    def __init__(self) -> None:
        self.pending: list[PendingChange] = []
        self.outcomes: dict[str, changes.Outcome] = {}
        self.accepted_at = 0.0
        self._started = 0

    def start_change(
        self, entry: str, incarnation: int, current: copies.Copy, now: float
    ) -> None:
        """Starts an operator's change of an entry's current version."""
        self._started += 1
        document = documents.decode_stored(current.data)
        assert isinstance(document, documents.Decoded)
        assert isinstance(document.document, dict)
        proposal = changes.Proposal(
            change_id=f"c{self._started}",
            author="dato",
            at=0.0,
            reason="",
            expect_version=current.head.version,
            document={
                **document.document,
                "fleet": {"settings": {"weight": 1 + self._started}},
            },
        )
        step = changes.start_change(proposal, current, now)
        self.pending.append(PendingChange(entry, incarnation, step))

    def advance_change(
        self, index: int, table: storage.FakeStore, now: float, lose_reply: bool
    ) -> tuple[PendingChange, copies.Copy] | None:
        """Runs a change's next operation; returns the new copy once it is accepted."""
        pending = self.pending[index]
        operation = pending.step.run.operation
        before = heads.parse_head(table.rows[heads.HEAD_KEY].value)
        result = table.apply(operation)
        if before != heads.parse_head(table.rows[heads.HEAD_KEY].value):
            self.accepted_at = now
        if lose_reply:
            writes = isinstance(operation, store.Transact | store.PutObject)
            result = store.Unknown("lost") if writes else store.Refused("lost")
        advanced = changes.advance_change(pending.step.change, result, now)
        if isinstance(advanced, changes.Step):
            pending.step = advanced
            return None
        del self.pending[index]
        self.outcomes[pending.step.change.proposal.change_id] = advanced
        if isinstance(advanced, changes.Applied):
            return pending, advanced.copy
        return None

    def drop_changes(self, entry: str) -> None:
        """Drops the changes of an entry that died; their operators get no outcome."""
        self.pending = [item for item in self.pending if item.entry != entry]

    def check(self, table: storage.FakeStore) -> None:
        """Checks the reported outcomes against the version history in the table."""
        versions = {}
        for key, row in table.rows.items():
            head = heads.parse_head(row.value)
            if key.startswith(heads.HISTORY_PREFIX) and head is not None:
                versions[head.change_id] = head.version
        for change_id, outcome in self.outcomes.items():
            accepted = change_id in versions
            match outcome:
                case changes.Applied(copy):
                    is_consistent = versions.get(change_id) == copy.head.version
                case changes.Conflict() | changes.Unavailable():
                    is_consistent = not accepted
                case changes.Unknown():
                    is_consistent = True
            if not is_consistent:
                raise callers.BrokenGuaranteeError(
                    f"history contradicts the outcome of {change_id}: {outcome}"
                )
