"""Numbers of the store operations that a core has under way."""

from __future__ import annotations

import typing

from chicoryweir_policy import store
from chicoryweir_policy.cores import commands


class PendingOperations:
    """Hands out operation numbers and remembers what each is for."""

    def __init__(self) -> None:
        self._next = 1
        self._purposes: dict[int, typing.Any] = {}

    def register(
        self, operation: store.Operation, purpose: typing.Any
    ) -> commands.RunOperation:
        """Returns the command for an operation; `purpose` comes back by `take`."""
        number = self._next
        self._next += 1
        self._purposes[number] = purpose
        return commands.RunOperation(number, operation)

    def pop_purpose(self, number: int) -> typing.Any:
        """Returns the purpose of an operation that ended, or None; forgets it."""
        return self._purposes.pop(number, None)
