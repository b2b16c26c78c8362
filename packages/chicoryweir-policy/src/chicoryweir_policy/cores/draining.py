"""Polls the store for operators' requests to drain an instance."""

from __future__ import annotations

import dataclasses
import typing

import xxhash

from chicoryweir_policy import store
from chicoryweir_policy.cores import commands
from chicoryweir_policy.cores import operations

POLL_PERIOD_S = 2.0
JITTER_SHARE = 0.25  # width of the range of periods as a share of POLL_PERIOD_S
_HASH_RANGE = 2.0**64


@dataclasses.dataclass(frozen=True, slots=True)
class _DrainRead:
    """Purpose of a read of the drain row."""


@dataclasses.dataclass(frozen=True, slots=True)
class _DrainCleared:
    """Purpose of the deletion of the drain row."""


def make_drain_key(instance: str) -> str:
    """Returns the key of the row that requests an instance to drain."""
    return f"drain/{instance}"


class DrainWatch:
    """Polls the store row that requests this instance to drain.

    Each instance has a different period, so that their reads are spread over time.
    """

    def __init__(self, instance: str, pending: operations.PendingOperations) -> None:
        self._key = make_drain_key(instance)
        self._operations = pending
        fraction = xxhash.xxh3_64_intdigest(instance.encode()) / _HASH_RANGE
        self._period_s = POLL_PERIOD_S * (1 + JITTER_SHARE * (fraction - 0.5))
        self._due_at = float("-inf")
        self._read_pending = False

    def tick(self, now: float, out: list[commands.Command]) -> None:
        """Reads the row if the period has passed and no read is pending."""
        if self._read_pending or now < self._due_at:
            return
        self._read_pending = True
        self._due_at = now + self._period_s
        operation = store.Read((self._key,))
        out.append(self._operations.register(operation, _DrainRead()))

    def handle_reply(
        self, purpose: typing.Any, result: store.Result, out: list[commands.Command]
    ) -> bool:
        """Handles the result of a read; returns whether this instance must drain.

        Deletes the row if so, since the instance's next process would drain as well.
        """
        if not isinstance(purpose, _DrainRead):
            return False
        self._read_pending = False
        row = result.find(self._key) if isinstance(result, store.Rows) else None
        if row is None:
            return False
        check = (store.Check(self._key, row.version),)
        deletion = store.Transact(check, (store.Write(self._key, None),))
        out.append(self._operations.register(deletion, _DrainCleared()))
        return True
