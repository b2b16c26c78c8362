"""Applying an operator's change to the settings, as a state machine.

The document is stored first as an immutable object. One transaction then checks
the head row and writes it together with the history and the audit. When its reply
is lost, the history row of the version tells whose change made it; while the head
is as it was, the same transaction is sent again, which can take effect only once.
"""

from __future__ import annotations

import dataclasses
import enum

from chicoryweir_policy import store
from chicoryweir_policy.settings import audit
from chicoryweir_policy.settings import copies
from chicoryweir_policy.settings import delta
from chicoryweir_policy.settings import difference
from chicoryweir_policy.settings import documents
from chicoryweir_policy.settings import heads

RETRY_INTERVAL_S = 0.25
MAX_CHANGE_TIME_S = 8.0


@dataclasses.dataclass(frozen=True, slots=True)
class Proposal:
    """A change that an operator asks for.

    Attributes:
        change_id: Identifier made by the operator's client, unique to the change.
        author: Operator who asks.
        at: Time of the change, wall-clock seconds, for people to read.
        reason: Reason given.
        expect_version: Version that the operator started from; 0 for none.
        document: Document to put in force; it has passed the checks.
    """

    change_id: str
    author: str
    at: float
    reason: str
    expect_version: int
    document: store.Json


@dataclasses.dataclass(frozen=True, slots=True)
class Applied:
    """The change was accepted."""

    copy: copies.Copy


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """Another change came first; this one has no effect.

    Attributes:
        current_version: Version that the store holds.
        changes: What differs from the proposed document to the current one.
    """

    current_version: int
    changes: tuple[difference.Change, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """The store did not take the change; it has no effect."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The change may have been accepted, or may be yet."""

    detail: str


Outcome = Applied | Conflict | Unavailable | Unknown


@dataclasses.dataclass(frozen=True, slots=True)
class RunOperation:
    """Run an operation of the store at the monotonic time `not_before`."""

    operation: store.Operation
    not_before: float


class Stage(enum.Enum):
    """Reply that a change waits for."""

    HEAD = "head"
    CURRENT_DOCUMENT = "current_document"
    OBJECT_STORED = "object_stored"
    DELTA_STORED = "delta_stored"
    COMMIT = "commit"


@dataclasses.dataclass(frozen=True, slots=True)
class PendingChange:
    """A change under way.

    Attributes:
        proposal: What the operator asks for.
        data: The proposed document as it is stored.
        times_out_at: Monotonic time after which nothing is tried again.
        stage: Reply that is awaited.
        operation: Operation whose reply is awaited.
        head: Head as last read, or None when there is none.
        row_version: Version of the head row as last read.
        current: Copy of the version that the head names, once known.
        stored: Whether the object is stored.
        uncertain: Whether a transaction was sent that may have taken effect.
    """

    proposal: Proposal
    data: bytes
    times_out_at: float
    stage: Stage
    operation: store.Operation
    head: heads.Head | None = None
    row_version: int = 0
    current: copies.Copy | None = None
    object_stored: bool = False
    may_have_committed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """A change under way, and the operation to run for it."""

    change: PendingChange
    run: RunOperation


def start_change(proposal: Proposal, current: copies.Copy | None, now: float) -> Step:
    """Begins to apply a change.

    Args:
        proposal: What the operator asks for.
        current: Copy in force on this process, which saves a read when it is current.
        now: Monotonic time, in seconds.
    """
    operation = _read_heads(proposal)
    change = PendingChange(
        proposal=proposal,
        data=documents.encode_document(proposal.document),
        times_out_at=now + MAX_CHANGE_TIME_S,
        stage=Stage.HEAD,
        operation=operation,
        current=current,
    )
    return Step(change, RunOperation(operation, now))


def advance_change(
    change: PendingChange, result: store.Result, now: float
) -> Step | Outcome:
    """Takes the reply to the operation that was run last."""
    match change.stage, result:
        case Stage.HEAD, store.Rows():
            return _take_heads(change, result, now)
        case Stage.CURRENT_DOCUMENT, store.ObjectFetched(_, data) if data is not None:
            assert change.head is not None
            current = copies.Copy(change.head, data)
            return _decide(dataclasses.replace(change, current=current), now)
        case Stage.OBJECT_STORED, store.ObjectStored():
            return _store_delta(dataclasses.replace(change, object_stored=True), now)
        case Stage.DELTA_STORED, store.ObjectStored():
            return _commit(change, now)
        case Stage.COMMIT, store.Committed():
            return Applied(copies.Copy(_make_head(change), change.data))
        case Stage.COMMIT, store.Conflicted() | store.Unknown():
            # A transport that repeats a write makes it conflict with itself.
            uncertain = dataclasses.replace(change, may_have_committed=True)
            return _retry(uncertain, Stage.HEAD, _read_heads(change.proposal), now)
        case _:
            return _retry(change, change.stage, change.operation, now)


def _take_heads(change: PendingChange, rows: store.Rows, now: float) -> Step | Outcome:
    proposal = change.proposal
    made = rows.find(heads.make_history_key(proposal.expect_version + 1))
    accepted = heads.parse_head(made.value) if made is not None else None
    if accepted is not None and accepted.change_id == proposal.change_id:
        if accepted.digest != documents.compute_digest(change.data):
            return Unavailable("the change id was used for another document")
        return Applied(copies.Copy(accepted, change.data))
    row = rows.find(heads.HEAD_KEY)
    head = heads.parse_head(row.value) if row is not None else None
    if row is not None and head is None:
        return Unavailable("the head row of the settings is damaged")
    change = dataclasses.replace(
        change, head=head, row_version=row.version if row is not None else 0
    )
    return _decide(change, now)


def _decide(change: PendingChange, now: float) -> Step | Outcome:
    """Goes on once the head is known: fetches its document, commits or refuses."""
    head = change.head
    proposal = change.proposal
    known = change.current
    if head is not None and (known is None or known.head != head):
        operation = store.GetObject(head.object_name)
        return _send(change, Stage.CURRENT_DOCUMENT, operation, now)
    version = head.version if head is not None else 0
    if version != proposal.expect_version:
        current = copies.read_document(known if head is not None else None)
        found = difference.find_changes(proposal.document, current)
        return Conflict(version, found)
    if change.object_stored:
        return _commit(change, now)
    name = heads.make_object_name(version + 1, proposal.change_id)
    put = store.PutObject(name, change.data)
    return _send(change, Stage.OBJECT_STORED, put, now)


def _store_delta(change: PendingChange, now: float) -> Step:
    """Stores the delta, by which most processes take the version."""
    base = change.current if change.head is not None else None
    found = delta.compute_delta(base.data, change.data) if base is not None else None
    if found is None:
        return _commit(change, now)
    name = heads.make_delta_name(_make_head(change).object_name)
    put = store.PutObject(name, delta.encode_delta(found))
    return _send(change, Stage.DELTA_STORED, put, now)


def _commit(change: PendingChange, now: float) -> Step:
    proposal = change.proposal
    head = _make_head(change)
    base = copies.read_document(change.current if change.head is not None else None)
    record = audit.Record(
        record_id=proposal.change_id,
        at=proposal.at,
        who=proposal.author,
        kind="settings",
        reason=proposal.reason,
        changes=difference.find_changes(base, proposal.document),
    )
    history_key = heads.make_history_key(head.version)
    writes = [
        store.Write(heads.HEAD_KEY, heads.render_head(head)),
        store.Write(history_key, heads.render_head(head)),
        audit.make_write(record),
    ]
    if head.version > heads.MAX_HISTORY:
        expired = heads.make_history_key(head.version - heads.MAX_HISTORY)
        writes.append(store.Write(expired, None))
    checks = (
        store.Check(heads.HEAD_KEY, change.row_version),
        store.Check(history_key, 0),
    )
    return _send(change, Stage.COMMIT, store.Transact(checks, tuple(writes)), now)


def _make_head(change: PendingChange) -> heads.Head:
    proposal = change.proposal
    version = proposal.expect_version + 1
    return heads.Head(
        version=version,
        object_name=heads.make_object_name(version, proposal.change_id),
        digest=documents.compute_digest(change.data),
        change_id=proposal.change_id,
        author=proposal.author,
        at=proposal.at,
        reason=proposal.reason,
    )


def _read_heads(proposal: Proposal) -> store.Read:
    history_key = heads.make_history_key(proposal.expect_version + 1)
    return store.Read((heads.HEAD_KEY, history_key))


def _send(
    change: PendingChange, stage: Stage, operation: store.Operation, now: float
) -> Step:
    sent = dataclasses.replace(change, stage=stage, operation=operation)
    return Step(sent, RunOperation(operation, now))


def _retry(
    change: PendingChange, stage: Stage, operation: store.Operation, now: float
) -> Step | Outcome:
    if now + RETRY_INTERVAL_S >= change.times_out_at:
        detail = f"no usable answer from the store at step {stage.value}"
        return Unknown(detail) if change.may_have_committed else Unavailable(detail)
    sent = dataclasses.replace(change, stage=stage, operation=operation)
    return Step(sent, RunOperation(operation, now + RETRY_INTERVAL_S))
