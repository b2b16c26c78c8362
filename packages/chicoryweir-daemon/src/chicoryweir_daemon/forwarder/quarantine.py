"""Rejects requests that would crash the endpoint that they are sent to."""

from __future__ import annotations

from chicoryweir_daemon.forwarder import endings
from chicoryweir_daemon.forwarder import exchangecontext
from chicoryweir_daemon.forwarder import requestrecord
from chicoryweir_daemon.forwarder import supervision
from chicoryweir_policy import catalogue
from chicoryweir_policy.forwarding import partattribution
from chicoryweir_policy.quarantine import records


def reject_quarantined(
    context: exchangecontext.ExchangeContext,
    record: requestrecord.RequestRecord,
    now: float,
) -> bool:
    """Rejects a request that would crash its endpoint; returns whether it did."""
    crash_tracker = context.fleet.crashes
    quarantined: records.Quarantined | None = None
    held: partattribution.Held | None = None
    with supervision.isolate_errors("look for crashes of a request"):
        quarantined = crash_tracker.find_quarantine(record.fingerprint, now)
        held = crash_tracker.parts.find_hold(record.progress.prompt_parts, now)
    if quarantined is not None:
        _log_quarantine(context, record, quarantined.losses)
        detail = "endpoints crashed while it ran"
        endings.reject(context, record, detail, quarantined.retry_after_s)
        return True
    if held is not None:
        _log_quarantine(context, record, held.crashes, held.part)
        detail = "endpoints crashed on a part of its prompt"
        retry_after_s = max(endings.DEFAULT_RETRY_AFTER_S, held.until - now)
        endings.reject(context, record, detail, retry_after_s)
        return True
    return False


def _log_quarantine(
    context: exchangecontext.ExchangeContext,
    record: requestrecord.RequestRecord,
    losses: tuple[records.LossId, ...],
    part: str = "",
) -> None:
    context.event_log.record(
        catalogue.REQUEST_QUARANTINED,
        record.request_id,
        fingerprint=f"{record.fingerprint:016x}",
        part=part,
        lost=[loss.instance for loss in losses],
    )
