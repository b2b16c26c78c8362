"""Audit trail of bounded length: who changed what, when and why."""

from __future__ import annotations

import collections.abc
import dataclasses
import json

import xxhash

from chicoryweir_policy import store
from chicoryweir_policy.settings import difference

PREFIX = "audit/"
MAX_RECORDS = 5000
MAX_CHANGES_PER_RECORD = 100
MAX_VALUE_CHARS = 300
RECORDS_PER_TRIM = 32
MAX_TRIM_ROWS = 200


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """An action of an operator or of the system.

    Attributes:
        record_id: Unique identifier of the action.
        at: Unix time in seconds, shown to operators. The versions of the rows order the
            trail.
        who: Operator or instance that acted.
        kind: Kind of the action, such as `settings` or `drain`.
        reason: Reason that the operator gave.
        changes: Changed values; may be empty.
        omitted: Number of changes left out of `changes`.
    """

    record_id: str
    at: float
    who: str
    kind: str
    reason: str
    changes: tuple[difference.Change, ...] = ()
    omitted: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """One change of a record, as shown to operators.

    Attributes:
        seq: Version of the row that holds the record; increases with time.
        record: Record that contains the change.
        change: The change, or None for a record without changes.
    """

    seq: int
    record: Record
    change: difference.Change | None


def make_write(record: Record) -> store.Write:
    """Returns the write of a record, to add to the transaction of the action."""
    key = f"{PREFIX}{int(record.at * 1000):015d}-{record.record_id}"
    listed = record.changes[:MAX_CHANGES_PER_RECORD]
    omitted = record.omitted + len(record.changes) - len(listed)
    return store.Write(
        key,
        {
            "id": record.record_id,
            "at": record.at,
            "who": record.who,
            "kind": record.kind,
            "reason": record.reason,
            "changes": [_render_change(change) for change in listed],
            "omitted": omitted,
        },
    )


def parse_record(value: store.Json) -> Record | None:
    """Parses the value of an audit row; returns None if it is damaged."""
    if not isinstance(value, dict):
        return None
    at = value.get("at")
    omitted = value.get("omitted")
    changes = value.get("changes")
    return Record(
        record_id=str(value.get("id", "")),
        at=float(at) if isinstance(at, int | float) else 0.0,
        who=str(value.get("who", "")),
        kind=str(value.get("kind", "")),
        reason=str(value.get("reason", "")),
        changes=tuple(
            difference.Change(
                str(item.get("path", "")),
                item.get("from", difference.ABSENT),
                item.get("to", difference.ABSENT),
            )
            for item in (changes if isinstance(changes, list) else [])
            if isinstance(item, dict)
        ),
        omitted=omitted if isinstance(omitted, int) else 0,
    )


def list_lines(
    rows: collections.abc.Iterable[store.Row], after: int, limit: int
) -> tuple[Line, ...]:
    """Lists the lines after a sequence number; never splits a record.

    Args:
        rows: Rows of the audit trail, in any order.
        after: Sequence number of the last line that the reader already has.
        limit: Number of lines at which to stop adding records.
    """
    lines: list[Line] = []
    for row in sorted(rows, key=lambda row: row.version):
        record = parse_record(row.value) if row.version > after else None
        if record is None:
            continue
        if len(lines) >= limit:
            break
        changes = record.changes or (None,)
        lines.extend(Line(row.version, record, change) for change in changes)
    return tuple(lines)


def is_trim_due(record_id: str) -> bool:
    """Returns whether the writer of this record has to trim the trail.

    One record in `RECORDS_PER_TRIM` triggers a trim, so most writes need no scan.
    """
    return xxhash.xxh3_64_intdigest(record_id.encode()) % RECORDS_PER_TRIM == 0


def plan_trim(
    rows: collections.abc.Sequence[store.Row], max_records: int = MAX_RECORDS
) -> store.Transact | None:
    """Returns the deletion of the oldest rows beyond `max_records`, or None.

    Writers that trim concurrently delete the same rows, which is harmless.
    """
    records = [row for row in rows if row.key.startswith(PREFIX)]
    records.sort(key=lambda row: row.version)
    expired = records[: max(0, len(records) - max_records)][:MAX_TRIM_ROWS]
    if not expired:
        return None
    return store.Transact((), tuple(store.Write(row.key, None) for row in expired))


def _render_change(change: difference.Change) -> store.Json:
    rendered: dict[str, store.Json] = {"path": change.path}
    if not isinstance(change.before, difference.Absent):
        rendered["from"] = _truncate(change.before)
    if not isinstance(change.after, difference.Absent):
        rendered["to"] = _truncate(change.after)
    return rendered


def _truncate(value: store.Json) -> store.Json:
    text = json.dumps(value, sort_keys=True)
    if len(text) <= MAX_VALUE_CHARS:
        return value
    return text[:MAX_VALUE_CHARS] + "..."
