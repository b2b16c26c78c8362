"""Sessions of an agent: one for each link from a peer."""

from __future__ import annotations

import dataclasses

from chicoryweir_policy import messages
from chicoryweir_policy.membership import instances

MAX_TOMBSTONES = 20_000


@dataclasses.dataclass(slots=True)
class Session:
    """State of one link from a peer.

    Attributes:
        session_id: Identifier, made by this agent.
        instance: Instance of the peer.
        role: Role of the peer.
        acknowledged: Highest sequence number of the attempts received on the link.
        window_s: Minimum time between two chunks of one answer, in seconds.
        reports_sent: Number of load reports sent on the link.
        last_report: Last load report sent on the link, or None.
        last_report_at: When that report was sent, in monotonic seconds.
        tombstones: Attempts that must not start on this link, oldest first.
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
        """Adds a tombstone for an attempt; removes the oldest beyond the limit.

        Messages on a link arrive in order, so the attempt of the oldest tombstone has
        arrived long before.
        """
        self.tombstones[attempt_id] = None
        if len(self.tombstones) > MAX_TOMBSTONES:
            del self.tombstones[next(iter(self.tombstones))]


class SessionTable:
    """Live sessions by identifier.

    Tombstones are removed with their session, since later messages of an ended session
    are rejected as stale.
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
        """Adds a tombstone for an attempt to every live session."""
        for session in self._sessions.values():
            session.add_tombstone(attempt_id)
