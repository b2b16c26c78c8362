"""Expert map of one rank, and its change at an agreed step."""

from __future__ import annotations

import asyncio
import dataclasses

Replicas = tuple[tuple[int, ...], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class MapChange:
    """A new map for the steps from `hold_at` on.

    Attributes:
        change_id: Identifier of the change.
        map_version: Version of the new map.
        hold_at: First step that uses it if it is committed.
        replicas: Ranks that hold each expert.
    """

    change_id: str
    map_version: int
    hold_at: int
    replicas: Replicas


class RejectedError(Exception):
    """The rank can't apply this order in its present state."""


class RankMap:
    """Current map of a rank, and the prepared change to it."""

    def __init__(self) -> None:
        """Creates a rank without a map."""
        self.map_version = 0
        self.replicas: Replicas = ()
        self.prepared: MapChange | None = None
        self.step = 0
        self._decisions: dict[str, bool] = {}
        self._released = asyncio.Event()

    @property
    def is_joined(self) -> bool:
        """Whether the rank has a map, and so may participate in steps."""
        return self.map_version > 0

    def join(self, map_version: int, replicas: Replicas) -> None:
        """Sets the first map.

        Raises:
            RejectedError: The rank already has another map.
        """
        if self.is_joined and map_version != self.map_version:
            raise RejectedError(f"map {self.map_version} is in force")
        self.map_version = map_version
        self.replicas = replicas

    def leave(self) -> None:
        """Discards the map and the prepared change."""
        self.map_version = 0
        self.replicas = ()
        self.prepared = None
        self._released.set()

    def prepare(self, change: MapChange) -> None:
        """Prepares a change of the map; idempotent.

        A rank without a map prepares too, so that it joins with the pending change
        and never enters step `hold_at` with the previous map.

        Raises:
            RejectedError: The change was aborted, its step has been reached, or another
                change is prepared.
        """
        if self.prepared is not None and self.prepared.change_id == change.change_id:
            return
        if self._decisions.get(change.change_id) is False:
            raise RejectedError("the change was aborted")
        if self.prepared is not None:
            raise RejectedError(f"change {self.prepared.change_id} is prepared")
        if change.hold_at <= self.step:
            raise RejectedError(f"step {self.step} has been reached")
        self.prepared = change
        self._released.clear()

    def release(self, change_id: str, commit: bool) -> None:
        """Commits or aborts a change; a second decision is ignored."""
        self._decisions.setdefault(change_id, commit)
        self._released.set()

    def must_hold(self, step: int) -> bool:
        """Returns whether the rank must wait before it enters a step."""
        change = self.prepared
        return (
            change is not None
            and step >= change.hold_at
            and change.change_id not in self._decisions
        )

    async def wait_release(self) -> None:
        """Returns after the next decision."""
        self._released.clear()
        await self._released.wait()

    def enter(self, step: int) -> None:
        """Enters a step and applies the decision that takes effect at it."""
        self.step = step
        change = self.prepared
        if change is None or change.change_id not in self._decisions:
            return
        commit = self._decisions[change.change_id]
        if commit and step < change.hold_at:
            return
        if commit:
            self.map_version = change.map_version
            self.replicas = change.replicas
        self.prepared = None
