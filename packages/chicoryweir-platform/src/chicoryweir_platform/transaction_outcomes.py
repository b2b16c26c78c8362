"""Determines whether a transaction whose reply was lost was committed."""

from __future__ import annotations

import asyncio
import dataclasses

from chicoryweir_platform import backoff
from chicoryweir_platform import protocols
from chicoryweir_policy import store


@dataclasses.dataclass(frozen=True, slots=True)
class Marker:
    """A row whose content proves that its transaction was committed.

    Other transactions must not overwrite or delete the row while the outcome is
    unknown.

    Attributes:
        key: Key of the row.
        field: Member of the row's value that holds the token.
        token: Token unique to the transaction.
    """

    key: str
    field: str
    token: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotCommitted:
    """The transaction was not committed and can no longer be."""

    rows: tuple[store.Row, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Undecided:
    """The transaction may have been committed or may still be."""

    detail: str


Outcome = store.Committed | NotCommitted | Undecided


def determine_outcome(
    transaction: store.Transact, marker: Marker, rows: store.Rows
) -> Outcome:
    """Determines the outcome of a transaction from a consistent read of its rows.

    If the marker is absent and a check fails, the transaction can't be committed any
    more. While every check still holds, a delayed transaction could still be applied.

    Args:
        transaction: The transaction with unknown outcome.
        marker: Marker row that the transaction writes.
        rows: All checked and written rows, from a single consistent read.

    Returns:
        The outcome, or `Undecided`.
    """
    marker_row = rows.find(marker.key)
    if marker_row is not None and _has_token(marker_row, marker):
        written = {write.key for write in transaction.writes}
        versions = {row.key: row.version for row in rows.rows if row.key in written}
        return store.Committed(versions)
    for check in transaction.checks:
        found = rows.find(check.key)
        if (found.version if found else 0) != check.version:
            return NotCommitted(rows.rows)
    return Undecided("every check still holds; the transaction may yet be applied")


async def resolve_outcome(
    client: protocols.Store,
    transaction: store.Transact,
    marker: Marker,
    *,
    attempts: int = 5,
    seed: int = 0,
    policy: backoff.BackoffPolicy | None = None,
) -> Outcome:
    """Reads the rows of a transaction that returned `store.Unknown` until decided.

    Args:
        client: Store to read from.
        transaction: The transaction with unknown outcome.
        marker: Marker row that the transaction writes.
        attempts: Maximum number of reads.
        seed: Seed of the jitter of the delays between reads.
        policy: Bounds of the delays between reads.

    Returns:
        The first decided outcome, or the last `Undecided`.
    """
    policy = policy or backoff.BackoffPolicy()
    state = backoff.Backoff()
    outcome: Outcome = Undecided("not read back")
    read = store.Read(_list_keys(transaction))
    for _ in range(attempts):
        result = await client.run(read)
        if isinstance(result, store.Rows):
            outcome = determine_outcome(transaction, marker, result)
            if not isinstance(outcome, Undecided):
                return outcome
        elif isinstance(result, store.Refused | store.Unknown):
            outcome = Undecided(result.detail)
        state = backoff.record_failure(state, policy, seed, now=0.0)
        await asyncio.sleep(state.retry_at)
    return outcome


def _list_keys(transaction: store.Transact) -> tuple[str, ...]:
    keys = [check.key for check in transaction.checks]
    keys += [write.key for write in transaction.writes]
    return tuple(dict.fromkeys(keys))


def _has_token(row: store.Row, marker: Marker) -> bool:
    value = row.value
    return isinstance(value, dict) and value.get(marker.field) == marker.token
