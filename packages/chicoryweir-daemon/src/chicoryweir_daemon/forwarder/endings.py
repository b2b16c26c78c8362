"""Ends requests that get no endpoint's answer, and logs the end of each request."""

from __future__ import annotations

from chicoryweir_daemon.forwarder import attempt as attempts
from chicoryweir_daemon.forwarder import exchangecontext
from chicoryweir_daemon.forwarder import problems
from chicoryweir_daemon.forwarder import relay as relays
from chicoryweir_daemon.forwarder import requestrecord
from chicoryweir_policy import catalogue

# Retry-After value for a rejected request without an estimate.
DEFAULT_RETRY_AFTER_S = 0.3
# Retry-After value of a stopping entry; the caller's next connection goes to another.
STOPPING_RETRY_AFTER_S = 0.05
STOPPING_DETAIL = "the entry stops before its answer would end"


def end_at_deadline(
    context: exchangecontext.ExchangeContext,
    record: requestrecord.RequestRecord,
    is_sent: bool,
) -> None:
    """Ends a request whose time is over, or whose entry stops.

    Args:
        context: Objects of the process.
        record: The request.
        is_sent: Whether an attempt that has not ended was sent to an endpoint.
    """
    detail, retry_after_s = "its time is over", None
    if context.fleet.clock.read() < record.deadline_at:
        detail, retry_after_s = STOPPING_DETAIL, STOPPING_RETRY_AFTER_S
    if record.relay.begun:
        abort(context, record, detail)
    elif is_sent or record.attempt_history.runs:
        fail(context, record, 504, detail)
    else:
        reject(context, record, detail, retry_after_s)


def reject(
    context: exchangecontext.ExchangeContext,
    record: requestrecord.RequestRecord,
    reason: str,
    retry_after_s: float | None,
) -> None:
    """Rejects a request as not run, unless an earlier attempt may have run it."""
    if record.relay.begun:
        abort(context, record, reason)
        return
    if record.attempt_history.runs:
        fail(context, record, 502, reason)
        return
    if retry_after_s is None:
        retry_after_s = DEFAULT_RETRY_AFTER_S
    problem = problems.Problem(503, "dispatch", reason, retry_after_s)
    _send(context, record, problem, "rejected")


def fail(
    context: exchangecontext.ExchangeContext,
    record: requestrecord.RequestRecord,
    status: int,
    detail: str,
) -> None:
    """Answers that the request failed and may have run."""
    _send(context, record, problems.Problem(status, "forward", detail), "failed")


def abort(
    context: exchangecontext.ExchangeContext,
    record: requestrecord.RequestRecord,
    detail: str,
) -> None:
    """Breaks off an answer that has begun."""
    record.answer.abort()
    log_end(context, record, "broken off", 0, detail)


def pass_on(
    context: exchangecontext.ExchangeContext,
    record: requestrecord.RequestRecord,
    failed: attempts.Failed,
) -> None:
    """Passes the endpoint's own error answer on to the caller."""
    error_answer = failed.error_answer
    assert error_answer is not None
    status = error_answer.head.status
    if status in attempts.NOT_RUN_STATUSES and not record.route.retryable:
        detail = f"{failed.detail} without a word that it was not run"
        fail(context, record, 502, detail)
        return
    relays.write_head(record.answer, error_answer.head, len(error_answer.body))
    record.answer.write(error_answer.body)
    record.answer.finish()
    log_end(context, record, "failure passed on", status, failed.detail)


def log_end(
    context: exchangecontext.ExchangeContext,
    record: requestrecord.RequestRecord,
    outcome: str,
    status: int,
    detail: str,
) -> None:
    """Counts and logs the end of a request.

    Args:
        context: Objects of the process.
        record: The request.
        outcome: How it ended.
        status: Status of the answer; 0 if it did not get a complete one.
        detail: Details of a failure.
    """
    now = context.fleet.clock.read()
    progress = record.progress
    first_part_s = progress.first_part_s
    context.metrics.count("requests", outcome)
    context.event_log.record(
        catalogue.REQUEST_ENDED,
        record.request_id,
        outcome=outcome,
        status=status,
        detail=detail,
        route=record.route.name,
        workspace=record.routed.workspace,
        priority=record.routed.priority,
        version=record.routed.version,
        waited_s=round(record.waited_s, 3),
        first_s=None if first_part_s is None else round(first_part_s, 3),
        longest_pause_s=round(progress.longest_gap_s, 3),
        elapsed_s=round(now - record.arrived_at, 3),
        left_s=round(record.deadline_at - now, 3),
        attempts=record.attempt_log,
        max_rate=record.statement.max_rate,
        leaving=record.statement.leaving,
        shared_parts=record.facts.shared_parts,
        admission=record.admission_log,
    )


def _send(
    context: exchangecontext.ExchangeContext,
    record: requestrecord.RequestRecord,
    problem: problems.Problem,
    outcome: str,
) -> None:
    problems.send_problem(
        record.answer, context.header_codec, record.facts.attempt_id, problem
    )
    log_end(context, record, outcome, problem.status, problem.detail)
