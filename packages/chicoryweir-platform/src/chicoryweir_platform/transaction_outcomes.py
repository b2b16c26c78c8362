"""Finds out whether a transaction whose reply was lost took effect."""

from __future__ import annotations

import asyncio
import dataclasses

from chicoryweir_platform import backoff
from chicoryweir_platform import protocols
from chicoryweir_policy import store


@dataclasses.dataclass(frozen=True, slots=True)
class Marker:
    """A written row that tells the fate of its transaction.

    Once written, the row must neither be overwritten nor be deleted by another
    transaction while the outcome is in doubt.

    Attributes:
        key: Key of the row.
        field: Member of the row's value that holds the token.
        token: Token that no other transaction writes.
    """

    key: str
    field: str
    token: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotCommitted:
    """The transaction had no effect and can have none any more."""

    rows: tuple[store.Row, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Undecided:
    """The transaction may have taken effect, or may yet."""

    detail: str


Outcome = store.Committed | NotCommitted | Undecided


def determine_outcome(
    transaction: store.Transact, marker: Marker, rows: store.Rows
) -> Outcome:
    """Judges a transaction by one consistent read of the rows it names.

    A broken check proves that a transaction without effect stays so. While every
    check still holds, a delayed transaction could yet be applied.

    Args:
        transaction: The transaction in doubt.
        marker: Row of it that bears the token.
        rows: All checked and written rows, read at one time.

    Returns:
        What is known of the transaction.
    """
    row = rows.find(marker.key)
    if row is not None and _has_token(row, marker):
        written = {write.key for write in transaction.writes}
        versions = {r.key: r.version for r in rows.rows if r.key in written}
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
    """Reads back a transaction that ended as `store.Unknown`.

    Args:
        client: Store to read from.
        transaction: The transaction in doubt.
        marker: Row of it that bears the token.
        attempts: Bound of the reads.
        seed: Seed of the jitter between them.
        policy: Bounds of the delays between them.

    Returns:
        The first decided outcome, or the last undecided one.
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
