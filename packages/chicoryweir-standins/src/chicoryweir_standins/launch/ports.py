"""Free loopback ports."""

from __future__ import annotations

import socket

LOOPBACK = "127.0.0.1"


def pick_ports(count: int) -> list[int]:
    """Returns so many distinct ports that were free a moment ago."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for one in sockets:
            one.bind((LOOPBACK, 0))
        return [one.getsockname()[1] for one in sockets]
    finally:
        for one in sockets:
            one.close()
