"""Picks free loopback ports."""

from __future__ import annotations

import pathlib
import random
import socket

LOOPBACK = "127.0.0.1"
# Services of the machine often use lower ports.
MIN_PORT = 10_000
# Linux's default, used where the kernel doesn't publish its range.
DEFAULT_EPHEMERAL_START = 32_768
_EPHEMERAL_RANGE_FILE = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")


def pick_ports(count: int, host: str = LOOPBACK) -> list[int]:
    """Returns `count` distinct ports that were free at `host` when they were checked.

    They lie below the kernel's ephemeral range; otherwise an outgoing connection could
    take a port before the process that it was picked for.
    """
    sockets: list[socket.socket] = []
    candidates = list(range(MIN_PORT, _read_ephemeral_start()))
    random.shuffle(candidates)
    try:
        for port in candidates:
            if len(sockets) == count:
                break
            probe = socket.socket()
            try:
                probe.bind((host, port))
            except OSError:
                # Another process uses the port; the next one may be free.
                probe.close()
                continue
            sockets.append(probe)
        return [probe.getsockname()[1] for probe in sockets]
    finally:
        for probe in sockets:
            probe.close()


def _read_ephemeral_start() -> int:
    """Returns the first port of the kernel's ephemeral range."""
    if not _EPHEMERAL_RANGE_FILE.exists():
        return DEFAULT_EPHEMERAL_START
    return max(MIN_PORT + 1000, int(_EPHEMERAL_RANGE_FILE.read_text().split()[0]))
