"""Store operations of a core that have not finished."""

from __future__ import annotations

import typing

from chicoryweir_policy import store
from chicoryweir_policy.cores import commands


class PendingOperations:
    """Numbers store operations and keeps the purpose of each until it has finished."""

    def __init__(self) -> None:
        self._next_id = 1
        self._purposes: dict[int, typing.Any] = {}

    def register(
        self, operation: store.Operation, purpose: typing.Any
    ) -> commands.RunOperation:
        """Registers an operation and returns the command that runs it.

        Args:
            operation: Operation to run.
            purpose: Value that `pop_purpose` returns when the operation has finished.
        """
        operation_id = self._next_id
        self._next_id += 1
        self._purposes[operation_id] = purpose
        return commands.RunOperation(operation_id, operation)

    def pop_purpose(self, operation_id: int) -> typing.Any:
        """Removes a finished operation and returns its purpose, or None if unknown."""
        return self._purposes.pop(operation_id, None)
