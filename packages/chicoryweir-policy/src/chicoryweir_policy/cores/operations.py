"""Store operations of a core that have not finished."""

from __future__ import annotations

import typing

from chicoryweir_policy import store
from chicoryweir_policy.cores import commands


class PendingOperations:
    """Numbers store operations and stores the purpose of each until it finishes."""

    def __init__(self) -> None:
        self._next = 1
        self._purposes: dict[int, typing.Any] = {}

    def register(
        self, operation: store.Operation, purpose: typing.Any
    ) -> commands.RunOperation:
        """Registers an operation and returns the command that runs it.

        Args:
            operation: Operation to run.
            purpose: Value that `pop_purpose` returns when the operation has finished.
        """
        number = self._next
        self._next += 1
        self._purposes[number] = purpose
        return commands.RunOperation(number, operation)

    def pop_purpose(self, number: int) -> typing.Any:
        """Removes a finished operation and returns its purpose, or None if unknown."""
        return self._purposes.pop(number, None)
