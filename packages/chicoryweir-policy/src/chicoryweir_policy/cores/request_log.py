"""Log of the processing steps of recent requests, for operators."""

from __future__ import annotations

import collections

from chicoryweir_policy import messages

MAX_REQUESTS = 5_000
MAX_NOTES_PER_REQUEST = 40


class RequestLog:
    """Stores notes on recent requests; evicts the oldest request when full."""

    def __init__(self, max_requests: int = MAX_REQUESTS) -> None:
        self._max_requests = max_requests
        self._notes: collections.OrderedDict[str, list[tuple[float, str, str]]] = (
            collections.OrderedDict()
        )

    def add_note(self, request_id: str, now: float, step: str, detail: str) -> None:
        """Adds a note to a request, unless it has `MAX_NOTES_PER_REQUEST` notes."""
        notes = self._notes.get(request_id)
        if notes is None:
            notes = self._notes[request_id] = []
            if len(self._notes) > self._max_requests:
                self._notes.popitem(last=False)
        if len(notes) < MAX_NOTES_PER_REQUEST:
            notes.append((now, step, detail))

    def list_notes(
        self, request_id: str, now: float
    ) -> tuple[messages.RequestNote, ...]:
        """Returns the notes of a request, oldest first, with their ages at `now`."""
        return tuple(
            messages.RequestNote(now - noted_at, step, detail)
            for noted_at, step, detail in self._notes.get(request_id, ())
        )
