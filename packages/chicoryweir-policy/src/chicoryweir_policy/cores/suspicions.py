"""The part of a core that shares what is known of lost endpoints."""

from __future__ import annotations

from chicoryweir_policy import messages
from chicoryweir_policy.cores import commands
from chicoryweir_policy.quarantine import suspicion

PERIOD_S = 0.2


class SuspicionTask:
    """Keeps the book of lost endpoints and sends its news to every peer."""

    def __init__(self) -> None:
        self.book = suspicion.SuspicionTracker()
        self._cursors: dict[str, int] = {}
        self._instances: dict[str, str] = {}
        self._due_at = float("-inf")

    def open_link(self, instance: str, session: str) -> None:
        """A link is up; its peer is told all that is known."""
        self._cursors[session] = 0
        self._instances[session] = instance

    def close_link(self, session: str) -> None:
        """A link is gone."""
        self._cursors.pop(session, None)
        self._instances.pop(session, None)

    def merge(
        self, news: messages.SuspicionNews, now: float, out: list[commands.Command]
    ) -> None:
        """Takes a peer's news and passes on what was new."""
        if self.book.merge(news.news, now):
            self.spread(now, out)

    def tick(self, now: float, out: list[commands.Command]) -> None:
        """Sends news from time to time."""
        if now >= self._due_at:
            self._due_at = now + PERIOD_S
            self.spread(now, out)

    def spread(self, now: float, out: list[commands.Command]) -> None:
        """Sends every peer what it has not been told on its link."""
        for session, cursor in self._cursors.items():
            news = self.book.export_update(now, cursor)
            if news.cursor == cursor:
                continue
            self._cursors[session] = news.cursor
            message = messages.SuspicionNews(news)
            out.append(commands.Send(self._instances[session], session, message))
