"""Losses that an entry presumes when the link to an agent breaks under attempts.

A request may take down the whole instance, its agent included, so that nobody is left
to tell of the loss. Until the agent comes back with the same endpoint, what ran there
is treated as if the endpoint had been lost.
"""

from __future__ import annotations

from chicoryweir_policy import messages
from chicoryweir_policy.cores.entry import lives
from chicoryweir_policy.quarantine import records
from chicoryweir_policy.quarantine import suspicion


class Presumption:
    """Presumed losses by the agent's instance."""

    def __init__(self, book: suspicion.SuspicionTracker) -> None:
        self._book = book
        self._presumed: dict[str, tuple[records.LossId, frozenset[int]]] = {}

    def presume(
        self,
        instance: str,
        incarnation: str,
        session: str,
        broken: list[lives.Live],
        now: float,
    ) -> None:
        """Presumes that an endpoint was lost with the attempts that ran on it.

        Args:
            instance: Instance of the endpoint.
            incarnation: Its process, as last reported.
            session: Session of the link that closed.
            broken: Requests with an attempt on it.
            now: Present time, monotonic seconds.
        """
        running = frozenset(
            live.request.fingerprint
            for live in broken
            if (dispatch := live.find_on(session)) is not None and dispatch.started
        )
        if not running or not incarnation:
            return
        self._book.record_loss(instance, incarnation, running, now)
        loss_id = records.LossId(instance, incarnation)
        self._presumed[instance] = (loss_id, running)

    def consume_report(
        self, instance: str, report: messages.LoadReport, now: float
    ) -> None:
        """Takes back a presumed loss when the same process still serves."""
        presumed = self._presumed.pop(instance, None)
        if presumed is None:
            return
        loss_id, fingerprints = presumed
        if not report.serving or report.endpoint_incarnation != loss_id.incarnation:
            return
        losses = frozenset((loss_id,))
        cleared = tuple(
            records.Clearance(fingerprint, losses)
            for fingerprint in sorted(fingerprints)
        )
        self._book.merge(records.News(0, clearances=cleared), now)
