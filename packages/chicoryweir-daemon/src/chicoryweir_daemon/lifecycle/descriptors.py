"""Keeps connections from using up the descriptors of a process."""

from __future__ import annotations

import asyncio
import resource

from chicoryweir_daemon.forwarder import eventlog
from chicoryweir_policy import catalogue

# Descriptors for listeners, the event loop, the store and files.
RESERVED_DESCRIPTORS = 48
# Accepted connections always allowed.
MIN_CONNECTIONS = 4
# Used if the system sets no limit.
MAX_DESCRIPTORS = 1 << 20
# Interval between two log lines on refused connections.
REPORT_PERIOD_S = 1.0


def compute_max_connections(share: float, max_descriptors: int) -> int:
    """Returns how many accepted connections may use a share of the descriptors.

    Args:
        share: Share of the descriptors that are not reserved, from 0 to 1.
        max_descriptors: Descriptors that the process may open.
    """
    return max(MIN_CONNECTIONS, int(share * (max_descriptors - RESERVED_DESCRIPTORS)))


def read_max_descriptors() -> int:
    """Returns how many descriptors this process may open."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return MAX_DESCRIPTORS if limit == resource.RLIM_INFINITY else limit


class ConnectionGate:
    """Admits connections up to a limit, so that none fails for want of a descriptor.

    An event loop that can't accept a connection tries again as often as its backlog is
    long, and uses the processor up.
    """

    def __init__(self, max_connections: int, event_log: eventlog.EventLog) -> None:
        self._max_connections = max_connections
        self._event_log = event_log
        self._refused = 0
        self._reported_at: float | None = None

    def admit(self, open_connections: int) -> bool:
        """Returns whether one more connection is admitted; logs if it isn't."""
        if open_connections < self._max_connections:
            return True
        self._refused += 1
        now = asyncio.get_running_loop().time()
        if self._reported_at is None or now - self._reported_at >= REPORT_PERIOD_S:
            self._event_log.record(
                catalogue.CONNECTION_REFUSED,
                open=open_connections,
                limit=self._max_connections,
                refused=self._refused,
            )
            self._reported_at, self._refused = now, 0
        return False


def create_gate(share: float, event_log: eventlog.EventLog) -> ConnectionGate:
    """Creates a gate for connections that may use a share of the descriptors."""
    max_connections = compute_max_connections(share, read_max_descriptors())
    return ConnectionGate(max_connections, event_log)
