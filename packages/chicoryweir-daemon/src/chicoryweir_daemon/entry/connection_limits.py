"""What all connections of callers to an entry share: limits, memory and reports."""

from __future__ import annotations

import collections.abc
import dataclasses
import os

from chicoryweir_daemon import configuration
from chicoryweir_daemon.forwarder import eventlog
from chicoryweir_daemon.forwarder import metrics_registry
from chicoryweir_daemon.forwarder import refusalreports
from chicoryweir_daemon.http1 import memory
from chicoryweir_daemon.lifecycle import descriptors

# An entry uses 70 MiB when nobody calls, and more with large settings.
IDLE_ENTRY_BYTES = 84 << 20
# Share of the descriptors for callers, as in the forwarder; the others are for links.
DESCRIPTOR_SHARE = 0.6
# Share of the machine's memory that an entry may use without a configured limit.
MACHINE_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Limits of an entry and what its connections share.

    Attributes:
        instance: Name of the entry.
        timeouts: Times that a caller may take.
        account: Memory that the connections hold.
        admit: Takes the number of open connections; returns whether one more is
            admitted.
    """

    instance: str
    timeouts: configuration.CallerTimeouts
    account: memory.Account
    admit: collections.abc.Callable[[int], bool]


def create_unlimited() -> ConnectionLimits:
    """Creates limits with the default timeouts only."""
    timeouts = configuration.CallerTimeouts()
    return ConnectionLimits("", timeouts, memory.Account(), lambda _: True)


def create_connection_limits(
    config: configuration.Configuration,
    report: refusalreports.RefusalReport,
    registry: metrics_registry.MetricsRegistry,
    event_log: eventlog.EventLog,
) -> ConnectionLimits:
    """Creates the limits of an entry.

    Args:
        config: Configuration of the entry.
        report: Report of what is refused.
        registry: Metrics; gets a gauge of the held memory.
        event_log: Log of refused connections.
    """
    limits = config.limits
    memory_bytes = _read_machine_bytes() * MACHINE_SHARE
    if limits.memory_mb is not None:
        memory_bytes = limits.memory_mb << 20
    max_bytes = memory.compute_max_bytes(int(memory_bytes), IDLE_ENTRY_BYTES)
    account = memory.Account(max_bytes, report.record)
    registry.register_gauge("held_bytes", lambda: account.used_bytes)
    max_connections = descriptors.compute_max_connections(
        DESCRIPTOR_SHARE, descriptors.read_max_descriptors()
    )
    if limits.max_connections is not None:
        max_connections = min(max_connections, limits.max_connections)
    gate = descriptors.ConnectionGate(max_connections, event_log)
    return ConnectionLimits(config.instance, limits.timeouts, account, gate.admit)


def _read_machine_bytes() -> int:
    return os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")
