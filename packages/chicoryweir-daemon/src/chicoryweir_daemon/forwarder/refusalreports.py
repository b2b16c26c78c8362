"""Counts and reports what a process refused to receive or to hold."""

from __future__ import annotations

import asyncio
import collections

from chicoryweir_daemon.forwarder import eventlog
from chicoryweir_daemon.forwarder import metrics_registry
from chicoryweir_daemon.http1 import limits
from chicoryweir_daemon.http1 import memory
from chicoryweir_policy import catalogue

# Interval between two log lines.
REPORT_PERIOD_S = 60.0


class RefusalReport:
    """Counts refusals by cause, and logs them in one line a minute."""

    def __init__(self, metrics: metrics_registry.MetricsRegistry) -> None:
        self._metrics = metrics
        self._counts: collections.Counter[str] = collections.Counter()

    def record(self, cause: memory.Cause) -> None:
        """Counts a refusal."""
        self._metrics.count("received_refused", cause.value)
        self._counts[cause.value] += 1

    def write(self, account: memory.Account, event_log: eventlog.EventLog) -> None:
        """Logs the refusals since the last line, if there are any."""
        if not self._counts:
            return
        counts, self._counts = dict(self._counts), collections.Counter()
        event_log.record(
            catalogue.RECEIVED_REFUSED,
            causes=counts,
            held_bytes=account.used_bytes,
            max_bytes=account.max_bytes,
        )

    async def run(self, account: memory.Account, event_log: eventlog.EventLog) -> None:
        """Logs the refusals of each minute until cancelled."""
        while True:
            await asyncio.sleep(REPORT_PERIOD_S)
            self.write(account, event_log)


def create_account(
    memory_bytes: int, received: limits.ReceivedLimits, report: RefusalReport
) -> memory.Account:
    """Creates the account of a process.

    Args:
        memory_bytes: Memory that the process may use, in bytes.
        received: Limits on what is received.
        report: Report of what is refused.
    """
    max_bytes = received.memory_bytes
    if max_bytes is None:
        max_bytes = memory.compute_max_bytes(memory_bytes)
    return memory.Account(max_bytes, report.record)
