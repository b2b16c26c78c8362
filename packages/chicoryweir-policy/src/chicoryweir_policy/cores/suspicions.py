"""Exchanges records of lost endpoints and suspected requests with peers."""

from __future__ import annotations

from chicoryweir_policy import messages
from chicoryweir_policy.cores import commands
from chicoryweir_policy.quarantine import suspicion

SEND_PERIOD_S = 0.2


class SuspicionExchange:
    """Tracks lost endpoints and sends each peer the updates it has not received."""

    def __init__(self) -> None:
        self.tracker = suspicion.SuspicionBook()
        self._cursors: dict[str, int] = {}
        self._instances: dict[str, str] = {}
        self._due_at = float("-inf")

    def open_link(self, instance: str, session: str) -> None:
        """Registers the link to a peer; the next update contains all records."""
        self._cursors[session] = 0
        self._instances[session] = instance

    def close_link(self, session: str) -> None:
        """Removes the link to a peer."""
        self._cursors.pop(session, None)
        self._instances.pop(session, None)

    def merge(
        self, news: messages.SuspicionNews, now: float, out: list[commands.Command]
    ) -> None:
        """Merges a peer's update and forwards it if it contained anything new."""
        if self.tracker.merge(news.news, now):
            self.send_updates(now, out)

    def tick(self, now: float, out: list[commands.Command]) -> None:
        """Sends updates every `SEND_PERIOD_S`."""
        if now >= self._due_at:
            self._due_at = now + SEND_PERIOD_S
            self.send_updates(now, out)

    def send_updates(self, now: float, out: list[commands.Command]) -> None:
        """Sends every peer the updates that were not sent on its link yet."""
        for session, cursor in self._cursors.items():
            news = self.tracker.export_news(now, cursor)
            if news.cursor == cursor:
                continue
            self._cursors[session] = news.cursor
            message = messages.SuspicionNews(news)
            out.append(commands.Send(self._instances[session], session, message))
