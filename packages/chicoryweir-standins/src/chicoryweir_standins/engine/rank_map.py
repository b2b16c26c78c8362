"""Expert map of one rank, and its switch at an agreed step."""

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
        hold_at: First step that would use it.
        replicas: Ranks that hold each expert.
    """

    change_id: str
    map_version: int
    hold_at: int
    replicas: Replicas


class RejectedError(Exception):
    """The rank can't take this order as it is."""


class RankMap:
    """The map in force and the one prepared."""

    def __init__(self) -> None:
        """Starts without a map."""
        self.map_version = 0
        self.replicas: Replicas = ()
        self.prepared: MapChange | None = None
        self.step = 0
        self._decisions: dict[str, bool] = {}
        self._released = asyncio.Event()

    @property
    def is_joined(self) -> bool:
        """Whether it has a map, and so may take part in steps."""
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
        """Forgets the map and what was prepared."""
        self.map_version = 0
        self.replicas = ()
        self.prepared = None
        self._released.set()

    def prepare(self, change: MapChange) -> None:
        """Prepares a map; a repeat is harmless.

        A rank without a map prepares too, so that it joins with the change under way
        and never enters the step of the change on the map before it.

        Raises:
            RejectedError: The change was aborted, comes too late, or another change
                is prepared.
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
        """Decides a change; a repeat is harmless."""
        self._decisions.setdefault(change_id, commit)
        self._released.set()

    def must_hold(self, step: int) -> bool:
        """Tells whether the rank has to wait before it enters a step."""
        change = self.prepared
        return (
            change is not None
            and step >= change.hold_at
            and change.change_id not in self._decisions
        )

    async def wait_release(self) -> None:
        """Returns once something was decided."""
        self._released.clear()
        await self._released.wait()

    def enter(self, step: int) -> None:
        """Enters a step: applies the decision that is due at it."""
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
