"""What happened to recent requests, for an operator who asks."""

from __future__ import annotations

import collections
import dataclasses

MAX_REQUESTS = 5_000
MAX_NOTES = 40


@dataclasses.dataclass(frozen=True, slots=True)
class Note:
    """One step of a request.

    Attributes:
        at: Monotonic time, in seconds.
        step: Step, such as `admission` or `routing`.
        detail: What was decided and on what grounds.
    """

    at: float
    step: str
    detail: str


class Journal:
    """Notes of the most recent requests, bounded in number."""

    def __init__(self, max_requests: int = MAX_REQUESTS) -> None:
        self._max_requests = max_requests
        self._notes: collections.OrderedDict[str, list[Note]] = (
            collections.OrderedDict()
        )

    def note(self, request_id: str, now: float, step: str, detail: str) -> None:
        """Adds a note to a request."""
        notes = self._notes.get(request_id)
        if notes is None:
            notes = self._notes[request_id] = []
            if len(self._notes) > self._max_requests:
                self._notes.popitem(last=False)
        if len(notes) < MAX_NOTES:
            notes.append(Note(now, step, detail))

    def list_notes(self, request_id: str) -> tuple[Note, ...]:
        """Returns the notes of a request, oldest first."""
        return tuple(self._notes.get(request_id, ()))
