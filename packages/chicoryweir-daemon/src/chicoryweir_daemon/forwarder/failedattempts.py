"""Decides whether a request is retried after a failed attempt."""

from __future__ import annotations

from chicoryweir_daemon.forwarder import attempt as attempts
from chicoryweir_daemon.forwarder import crashreports
from chicoryweir_daemon.forwarder import exchangecontext
from chicoryweir_daemon.forwarder import requestrecord
from chicoryweir_daemon.forwarder import supervision
from chicoryweir_policy import catalogue
from chicoryweir_policy.forwarding import retries


def record_failure(
    context: exchangecontext.ExchangeContext,
    record: requestrecord.RequestRecord,
    instance: str,
    failure: retries.Failure,
) -> None:
    """Excludes the instance from the request's next attempts, and counts the failure.

    If another instance uses its address now, the endpoint is removed.
    """
    record.excluded |= {instance}
    record.attempt_history = _add_failure(record, failure)
    if failure is retries.Failure.MISDIRECTED:
        with supervision.isolate_errors("remove a displaced endpoint"):
            _remove_displaced(context, record, instance)


def decide_retry(
    context: exchangecontext.ExchangeContext,
    record: requestrecord.RequestRecord,
    failure: retries.Failure,
    now: float,
) -> retries.Decision:
    """Returns how to proceed after a failure, by the history and the retry budget."""
    return _decide(context, record, failure, record.attempt_history, now)


def predict_decision(
    context: exchangecontext.ExchangeContext,
    record: requestrecord.RequestRecord,
    failure: retries.Failure,
    now: float,
) -> retries.Decision:
    """Returns what would follow if the attempt that runs failed now."""
    return _decide(context, record, failure, _add_failure(record, failure), now)


def _add_failure(
    record: requestrecord.RequestRecord, failure: retries.Failure
) -> retries.AttemptHistory:
    history = record.attempt_history
    return retries.AttemptHistory(
        history.deliveries + failure.was_delivered,
        history.attempts + failure.reached_intended_endpoint,
        history.runs + (not failure.proves_not_run),
        record.relay.begun,
        history.requeues + (not failure.reached_intended_endpoint),
    )


def _decide(
    context: exchangecontext.ExchangeContext,
    record: requestrecord.RequestRecord,
    failure: retries.Failure,
    history: retries.AttemptHistory,
    now: float,
) -> retries.Decision:
    fleet = context.fleet
    budget = fleet.get_retry_budget(record.service.name)
    return retries.decide_retry(
        record.route,
        failure,
        history,
        budget.count_remaining(fleet.count_entries(now), now),
        record.deadline_at - now,
    )


def record_retry(
    context: exchangecontext.ExchangeContext,
    record: requestrecord.RequestRecord,
    instance: str,
    failed: attempts.Failed,
    charged: bool,
    now: float,
) -> None:
    """Charges a retry to the budget if it counts there, and logs it."""
    if charged:
        charge_retry(context, record, now)
    context.metrics.count("repeats", failed.failure.value)
    context.event_log.record(
        catalogue.REQUEST_RETRIED,
        record.request_id,
        instance,
        failure=failed.failure.value,
        detail=failed.detail,
        begun=record.relay.begun,
        elapsed_s=round(now - record.arrived_at, 3),
    )


def charge_retry(
    context: exchangecontext.ExchangeContext,
    record: requestrecord.RequestRecord,
    now: float,
) -> None:
    """Charges a retry to the budget of its service."""
    fleet = context.fleet
    budget = fleet.get_retry_budget(record.service.name)
    budget.try_spend(fleet.count_entries(now), now)


def _remove_displaced(
    context: exchangecontext.ExchangeContext,
    record: requestrecord.RequestRecord,
    instance: str,
) -> None:
    """Removes an endpoint whose address another instance uses now."""
    fleet = context.fleet
    transition = fleet.endpoints.remove_displaced(instance, fleet.clock.read())
    if transition is not None:
        crashreports.record_transition(
            fleet, context.event_log, transition, record.request_id
        )
