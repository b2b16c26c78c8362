"""Objects that all exchanges of a process share."""

from __future__ import annotations

import dataclasses

from chicoryweir_daemon.forwarder import allocation
from chicoryweir_daemon.forwarder import eventlog
from chicoryweir_daemon.forwarder import fleet as fleets
from chicoryweir_daemon.forwarder import interfaces
from chicoryweir_daemon.forwarder import metrics_registry
from chicoryweir_daemon.http1 import connections


@dataclasses.dataclass(frozen=True, slots=True)
class ExchangeContext:
    """Objects that all exchanges of a process share."""

    fleet: fleets.Fleet
    allocator: allocation.EndpointAllocator
    pool: connections.Pool
    header_codec: interfaces.HeaderCodec
    event_log: eventlog.EventLog
    metrics: metrics_registry.MetricsRegistry
