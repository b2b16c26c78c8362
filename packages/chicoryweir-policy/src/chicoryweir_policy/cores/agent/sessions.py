"""Links of an agent to the entries, with what each link has seen."""

from __future__ import annotations

import dataclasses

from chicoryweir_policy import messages
from chicoryweir_policy.membership import instances

MAX_TOMBSTONES = 20_000


@dataclasses.dataclass(slots=True)
class Session:
    """One link from an entry.

    Attributes:
        session: Identifier, made by this agent.
        instance: The entry.
        role: Role of the peer.
        acknowledged: Highest sequence of an attempt submitted on it.
        window_s: Time between two chunks of one answer, in seconds.
        reports: Load reports sent on it.
        last_report: Last of them, or None.
        last_report_at: Time of that, monotonic seconds.
        tombstones: Attempts that must never start on it, oldest first.
    """

    session_id: str
    instance: str
    role: instances.Role
    acknowledged: int = 0
    window_s: float = 0.0
    reports_sent: int = 0
    last_report: messages.LoadReport | None = None
    last_report_at: float = 0.0
    tombstones: dict[str, None] = dataclasses.field(default_factory=dict)

    def add_tombstone(self, attempt_id: str) -> None:
        """Puts a tombstone for an attempt; the oldest makes room.

        What it was for has long arrived by then, as a link keeps the order.
        """
        self.tombstones[attempt_id] = None
        if len(self.tombstones) > MAX_TOMBSTONES:
            del self.tombstones[next(iter(self.tombstones))]


class SessionTable:
    """Sessions by identifier; a tombstone is forgotten with its session.

    A later message of an ended session is refused as stale, so nothing is lost by
    forgetting.
    """

    def __init__(self) -> None:
        self._sessions: dict[str, Session] = {}

    def open(self, hello: messages.Hello, session_id: str) -> Session:
        """Adds a session."""
        added = Session(session_id, hello.instance, hello.role)
        self._sessions[session_id] = added
        return added

    def close(self, session_id: str) -> None:
        """Removes a session."""
        self._sessions.pop(session_id, None)

    def find(self, session_id: str) -> Session | None:
        """Returns a live session, or None."""
        return self._sessions.get(session_id)

    def find_instance(self, instance: str) -> Session | None:
        """Returns the newest live session of a peer, or None."""
        found = None
        for session in self._sessions.values():
            if session.instance == instance:
                found = session
        return found

    def list_entries(self) -> list[Session]:
        """Returns the sessions of entries."""
        return [
            session
            for session in self._sessions.values()
            if session.role is instances.Role.ENTRY
        ]

    def add_tombstone(self, attempt_id: str) -> None:
        """Puts a tombstone for an attempt on every live session."""
        for session in self._sessions.values():
            session.add_tombstone(attempt_id)
