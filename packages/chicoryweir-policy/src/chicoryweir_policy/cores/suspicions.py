"""Exchanges records of lost endpoints and suspect requests with peers."""

from __future__ import annotations

from chicoryweir_policy import messages
from chicoryweir_policy.cores import commands
from chicoryweir_policy.quarantine import suspicion

SEND_PERIOD_S = 0.2


class SuspicionExchange:
    """Tracks lost endpoints and sends each peer the updates it has not received."""

    def __init__(self) -> None:
        self.tracker = suspicion.SuspicionTracker()
        self._cursors: dict[str, int] = {}
        self._instances: dict[str, str] = {}
        self._due_at = float("-inf")

    def open_link(self, instance: str, session_id: str) -> None:
        """Registers the link to a peer; the next update contains all records."""
        self._cursors[session_id] = 0
        self._instances[session_id] = instance

    def close_link(self, session_id: str) -> None:
        """Removes the link to a peer."""
        self._cursors.pop(session_id, None)
        self._instances.pop(session_id, None)

    def merge(
        self, update: messages.SuspicionNews, now: float, out: list[commands.Command]
    ) -> None:
        """Merges a peer's update and, if it contained new records, forwards them."""
        if self.tracker.merge(update.news, now):
            self.send_updates(now, out)

    def tick(self, now: float, out: list[commands.Command]) -> None:
        """Sends updates every `SEND_PERIOD_S`."""
        if now >= self._due_at:
            self._due_at = now + SEND_PERIOD_S
            self.send_updates(now, out)

    def send_updates(self, now: float, out: list[commands.Command]) -> None:
        """Sends each peer the updates that were not yet sent on its link."""
        for session_id, cursor in self._cursors.items():
            update = self.tracker.export_update(now, cursor)
            if update.cursor == cursor:
                continue
            self._cursors[session_id] = update.cursor
            message = messages.SuspicionNews(update)
            out.append(commands.Send(self._instances[session_id], session_id, message))
