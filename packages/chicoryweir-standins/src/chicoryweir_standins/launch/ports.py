"""Free loopback ports."""

from __future__ import annotations

import pathlib
import random
import socket

LOOPBACK = "127.0.0.1"
# Ports below are often taken by services of a machine.
MIN_PORT = 10_000
# Where the kernel doesn't tell its range, Linux' usual one begins here.
DEFAULT_EPHEMERAL_START = 32_768
_RANGE = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")


def pick_ports(count: int) -> list[int]:
    """Returns so many distinct ports that were free a moment ago.

    They lie below the range from which the kernel serves outgoing connections: one of
    those could take a port before the process that it was picked for.
    """
    sockets: list[socket.socket] = []
    candidates = list(range(MIN_PORT, _read_ephemeral()))
    random.shuffle(candidates)
    try:
        for port in candidates:
            if len(sockets) == count:
                break
            one = socket.socket()
            try:
                one.bind((LOOPBACK, port))
            except OSError:
                # Taken by another process; the next one may be free.
                one.close()
                continue
            sockets.append(one)
        return [one.getsockname()[1] for one in sockets]
    finally:
        for one in sockets:
            one.close()


def _read_ephemeral() -> int:
    """Returns the first port that the kernel gives to outgoing connections."""
    if not _RANGE.exists():
        return DEFAULT_EPHEMERAL_START
    return max(MIN_PORT + 1000, int(_RANGE.read_text().split()[0]))
