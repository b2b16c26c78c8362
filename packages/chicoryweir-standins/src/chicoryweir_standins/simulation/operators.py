"""Operators of a simulation, who concurrently change settings through entries."""

from __future__ import annotations

import collections.abc
import dataclasses

from chicoryweir_policy import store
from chicoryweir_policy.settings import changes
from chicoryweir_policy.settings import copies
from chicoryweir_policy.settings import documents
from chicoryweir_policy.settings import heads
from chicoryweir_standins.simulation import callers
from chicoryweir_standins.simulation import storage

# Returns a changed copy of a document; gets the document and the number of the change.
Edit = collections.abc.Callable[[store.Json, int], store.Json]


def change_weight(document: store.Json, number: int) -> store.Json:
    """Sets only the weight of all workspaces, differently for each change.

    Keeps the settings of places.
    """
    assert isinstance(document, dict)
    fleet = document.get("fleet")
    places = fleet.get("places", {}) if isinstance(fleet, dict) else {}
    return {
        **document,
        "fleet": {"settings": {"weight": 1 + number}, "places": places},
    }


@dataclasses.dataclass(slots=True)
class PendingChange:
    """A settings change that an entry is applying.

    Attributes:
        entry: Name of the entry.
        incarnation: Number of the entry's start; the change is lost at a restart.
        step: The change and its next store operation.
    """

    entry: str
    incarnation: int
    step: changes.Step


class Operators:
    """All settings changes of a simulation and their reported outcomes."""

    def __init__(self) -> None:
        self.pending: list[PendingChange] = []
        self.outcomes: dict[str, changes.Outcome] = {}
        self.last_accepted_at = 0.0
        self._change_count = 0

    def start_change(
        self,
        entry: str,
        incarnation: int,
        current: copies.Copy,
        edit: Edit,
        now: float,
    ) -> None:
        """Starts an operator's change of an entry's current version."""
        self._change_count += 1
        document = documents.decode_stored(current.data)
        assert isinstance(document, documents.Decoded)
        proposal = changes.Proposal(
            change_id=f"c{self._change_count}",
            author="dato",
            at=0.0,
            reason="",
            expect_version=current.head.version,
            document=edit(document.document, self._change_count),
        )
        step = changes.start_change(proposal, current, now)
        self.pending.append(PendingChange(entry, incarnation, step))

    def advance_change(
        self, index: int, fake_store: storage.FakeStore, now: float, lose_reply: bool
    ) -> tuple[PendingChange, copies.Copy] | None:
        """Runs the next store operation of a change.

        Returns the change and the settings copy that it made once it has been applied;
        None if it is pending or has failed.
        """
        pending = self.pending[index]
        operation = pending.step.run.operation
        head_before = heads.parse_head(fake_store.rows[heads.HEAD_KEY].value)
        result = fake_store.apply(operation)
        if head_before != heads.parse_head(fake_store.rows[heads.HEAD_KEY].value):
            self.last_accepted_at = now
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
        """Drops the pending changes of an entry that died, without an outcome."""
        self.pending = [item for item in self.pending if item.entry != entry]

    def check_outcomes(self, fake_store: storage.FakeStore) -> None:
        """Checks the reported outcomes against the version history in the store."""
        versions_by_change = {}
        for key, row in fake_store.rows.items():
            head = heads.parse_head(row.value)
            if key.startswith(heads.HISTORY_PREFIX) and head is not None:
                versions_by_change[head.change_id] = head.version
        for change_id, outcome in self.outcomes.items():
            is_accepted = change_id in versions_by_change
            match outcome:
                case changes.Applied(copy):
                    is_consistent = (
                        versions_by_change.get(change_id) == copy.head.version
                    )
                case changes.Conflict() | changes.Unavailable():
                    is_consistent = not is_accepted
                case changes.Unknown():
                    is_consistent = True
            if not is_consistent:
                raise callers.BrokenGuaranteeError(
                    f"history contradicts the outcome of {change_id}: {outcome}"
                )
