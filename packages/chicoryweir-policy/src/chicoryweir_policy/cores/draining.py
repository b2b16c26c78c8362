"""Watches for an operator's request to drain this instance."""

from __future__ import annotations

import dataclasses
import typing

import xxhash

from chicoryweir_policy import store
from chicoryweir_policy.cores import commands
from chicoryweir_policy.cores import operations

PERIOD_S = 2.0
JITTER = 0.25
_HASH_RANGE = 2.0**64


@dataclasses.dataclass(frozen=True, slots=True)
class _DrainRead:
    """Purpose of a read of the drain row."""


@dataclasses.dataclass(frozen=True, slots=True)
class _DrainCleared:
    """Purpose of the deletion of the drain row."""


def make_drain_key(instance: str) -> str:
    """Returns the key of the row that asks an instance to drain."""
    return f"drain/{instance}"


class DrainWatch:
    """Polls the row that asks this instance to drain."""

    def __init__(self, instance: str, numbers: operations.PendingOperations) -> None:
        self._key = make_drain_key(instance)
        self._operations = numbers
        spread = xxhash.xxh3_64_intdigest(instance.encode()) / _HASH_RANGE
        self._period_s = PERIOD_S * (1 + JITTER * (spread - 0.5))
        self._due_at = float("-inf")
        self._asked = False

    def tick(self, now: float, out: list[commands.Command]) -> None:
        """Reads the row when that is due and none is under way."""
        if self._asked or now < self._due_at:
            return
        self._asked = True
        self._due_at = now + self._period_s
        operation = store.Read((self._key,))
        out.append(self._operations.register(operation, _DrainRead()))

    def consume_result(
        self, purpose: typing.Any, result: store.Result, out: list[commands.Command]
    ) -> bool:
        """Takes the end of a read; True when this instance is to drain.

        The row is deleted, so that the next process on the instance does not drain.
        """
        if not isinstance(purpose, _DrainRead):
            return False
        self._asked = False
        row = result.find(self._key) if isinstance(result, store.Rows) else None
        if row is None:
            return False
        check = (store.Check(self._key, row.version),)
        clearing = store.Transact(check, (store.Write(self._key, None),))
        out.append(self._operations.register(clearing, _DrainCleared()))
        return True
