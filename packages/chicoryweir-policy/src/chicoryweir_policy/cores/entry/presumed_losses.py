"""Endpoint losses that an entry presumes when the link to an agent closes.

A request may crash a whole instance, including the agent that would report the loss.
The entry therefore treats the endpoint as lost, and the content that ran there as
suspect, until the agent reconnects with the same endpoint process.
"""

from __future__ import annotations

from chicoryweir_policy import messages
from chicoryweir_policy.cores.entry import active_requests
from chicoryweir_policy.quarantine import records
from chicoryweir_policy.quarantine import suspicion


class PresumedLosses:
    """Records presumed losses and clears each if its endpoint is still serving."""

    def __init__(self, tracker: suspicion.SuspicionTracker) -> None:
        self._tracker = tracker
        self._presumed: dict[str, tuple[records.LossId, frozenset[int]]] = {}

    def presume_loss(
        self,
        instance: str,
        incarnation: str,
        session_id: str,
        affected: list[active_requests.ActiveRequest],
        now: float,
    ) -> None:
        """Records a presumed loss if an attempt was running at the endpoint.

        Args:
            instance: Instance name of the endpoint's agent.
            incarnation: Last reported process identifier of the endpoint.
            session_id: Session identifier of the closed link.
            affected: Requests with an attempt on that session.
            now: Present time, in monotonic seconds.
        """
        running = frozenset(
            active.request.fingerprint
            for active in affected
            if (attempt := active.find_attempt_on(session_id)) is not None
            and attempt.started
        )
        if not running or not incarnation:
            return
        self._tracker.record_loss(instance, incarnation, running, now)
        loss_id = records.LossId(instance, incarnation)
        self._presumed[instance] = (loss_id, running)

    def handle_report(
        self, instance: str, report: messages.LoadReport, now: float
    ) -> None:
        """Clears a presumed loss if the same endpoint process is still serving."""
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
        self._tracker.merge(records.News(0, clearances=cleared), now)
