"""Reports attempts at endpoints to the trackers of the entry and to the log."""

from __future__ import annotations

from chicoryweir_daemon.forwarder import attempt as attempts
from chicoryweir_daemon.forwarder import crashreports
from chicoryweir_daemon.forwarder import exchangecontext
from chicoryweir_daemon.forwarder import requestrecord
from chicoryweir_policy.forwarding import coldness
from chicoryweir_policy.forwarding import endpoints
from chicoryweir_policy.forwarding import retries


def record_start(
    context: exchangecontext.ExchangeContext,
    record: requestrecord.RequestRecord,
    endpoint: endpoints.Endpoint,
    key: int,
    now: float,
) -> None:
    """Records that an attempt begins.

    Args:
        context: Objects of the process.
        record: The request.
        endpoint: Endpoint of the attempt.
        key: Key of the attempt.
        now: Present time, monotonic seconds.
    """
    fleet = context.fleet
    fleet.crashes.record_sent(endpoint, record.fingerprint)
    fleet.crashes.parts.record_sent(record.progress.prompt_parts, now)
    fleet.get_durations(record.route.name).record_start(key, now)


def record_end(
    context: exchangecontext.ExchangeContext,
    record: requestrecord.RequestRecord,
    endpoint: endpoints.Endpoint,
    key: int,
    unproven_parts: tuple[str, ...],
    may_have_crashed: bool,
    is_complete: bool,
) -> None:
    """Records that an attempt ended, also when the request was cancelled.

    Args:
        context: Objects of the process.
        record: The request.
        endpoint: Endpoint of the attempt.
        key: Key of the attempt.
        unproven_parts: Prompt parts that its answer has not proved.
        may_have_crashed: Whether the endpoint may have crashed on the request.
        is_complete: Whether the caller received a complete answer.
    """
    fleet = context.fleet
    fleet.crashes.record_ended(
        endpoint,
        record.fingerprint,
        may_have_crashed,
        fleet.clock.read(),
        unproven_parts,
    )
    fleet.get_durations(record.route.name).record_end(
        key, record.max_answer_tokens, is_complete, fleet.clock.read()
    )


def record_outcome(
    context: exchangecontext.ExchangeContext,
    record: requestrecord.RequestRecord,
    endpoint: endpoints.Endpoint,
    outcome: attempts.Outcome,
    now: float,
) -> None:
    """Records what the outcome of an attempt shows of the endpoint and the request."""
    instance = endpoint.instance
    match outcome:
        case attempts.Finished():
            record.attempt_log.append(f"{instance} answered")
        case attempts.Failed():
            failure = outcome.failure
            record.attempt_log.append(f"{instance} {failure.value}: {outcome.detail}")
            if failure is retries.Failure.NOT_SENT:
                # A process that doesn't listen may be about to start again.
                context.fleet.cold_endpoints.record_restart(
                    endpoint, now, coldness.Reason.UNREACHABLE
                )
            if failure not in (
                retries.Failure.MISDIRECTED,
                retries.Failure.VERSION_MISMATCH,
            ):
                crashreports.record_endpoint_at_fault(
                    context.fleet,
                    context.event_log,
                    outcome.at_fault,
                    instance,
                    record.request_id,
                )
    if attempts.has_run_to_end(outcome):
        context.fleet.crashes.record_finished(record.fingerprint, now)
    _report_to_outlier_detector(context, record, instance, outcome, now)


def _report_to_outlier_detector(
    context: exchangecontext.ExchangeContext,
    record: requestrecord.RequestRecord,
    instance: str,
    outcome: attempts.Outcome,
    now: float,
) -> None:
    outliers = context.fleet.outliers
    match outcome:
        case attempts.Finished():
            outliers.record_outcome(instance, False, now)
            answer_s = now - record.progress.attempt_started_at
            time_per_cost_s = answer_s / max(1.0, record.demand_estimate.cost)
            outliers.record_token_time(instance, time_per_cost_s, now)
        case attempts.Failed(failure=failure, at_fault=at_fault):
            shows_nothing = failure in (
                retries.Failure.MISDIRECTED,
                retries.Failure.VERSION_MISMATCH,
                retries.Failure.WITHDRAWN,
            )
            if not at_fault and not shows_nothing:
                outliers.record_outcome(instance, True, now)
