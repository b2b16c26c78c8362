"""Describes requests to the dispatcher, and its decisions to the log."""

from __future__ import annotations

import dataclasses
import math

from chicoryweir_daemon.forwarder import allocation
from chicoryweir_daemon.forwarder import exchangecontext
from chicoryweir_daemon.forwarder import requestrecord
from chicoryweir_policy.forwarding import abandonment
from chicoryweir_policy.forwarding import demand
from chicoryweir_policy.forwarding import dispatching
from chicoryweir_policy.forwarding import queueing
from chicoryweir_policy.forwarding import shedding


def make_pending_request(
    record: requestrecord.RequestRecord, dispatcher: dispatching.Dispatcher
) -> queueing.PendingRequest:
    """Returns the request as the dispatcher queues it for its next attempt."""
    retried = record.attempt_history.deliveries > 0
    return _make_pending(
        record, dispatcher, record.request_id, record.excluded, retried
    )


def make_pending_successor(
    record: requestrecord.RequestRecord,
    dispatcher: dispatching.Dispatcher,
    instance: str,
) -> queueing.PendingRequest:
    """Returns the request as it is queued while its attempt at an instance goes on."""
    request_id = f"{record.request_id}/successor"
    excluded = record.excluded | {instance}
    return _make_pending(record, dispatcher, request_id, excluded, retried=True)


def _make_pending(
    record: requestrecord.RequestRecord,
    dispatcher: dispatching.Dispatcher,
    request_id: str,
    excluded: frozenset[str],
    retried: bool,
) -> queueing.PendingRequest:
    route = record.route
    abandon_at = abandonment.compute_abandon_at(
        route,
        record.progress.last_received_at or record.arrived_at,
        record.deadline_at,
    )
    return queueing.PendingRequest(
        request_id,
        record.routed.workspace,
        record.routed.priority,
        route.priority,
        _estimate_demand(record, dispatcher),
        abandonment.compute_objective_at(route, record.arrived_at, abandon_at, retried),
        abandon_at,
        record.arrived_at,
        excluded,
        record.origin,
    )


def record_inputs(
    record: requestrecord.RequestRecord, dispatcher: dispatching.Dispatcher, now: float
) -> None:
    """Keeps the inputs of the latest admission decision for the log."""
    inputs = dispatcher.describe_admission(now)
    record.admission_log = {
        "running": inputs.running,
        "limit": inputs.limit,
        "loads_age_s": round(inputs.loads_age_s, 3),
        "queued": inputs.queued,
        "peer_on_time": inputs.peer_on_time,
        "first_part_s": round(dispatcher.predict_first_part_s(), 3),
    }


def record_decision(
    context: exchangecontext.ExchangeContext,
    record: requestrecord.RequestRecord,
    dispatcher: dispatching.Dispatcher,
    allocated: allocation.Allocation,
) -> None:
    """Keeps what a decision was based on, and counts its outcome in a shortage."""
    basis = dispatcher.take_basis(allocated.request.request_id)
    if basis is not None:
        _record_basis(context, record, basis, allocated)
    if isinstance(allocated, queueing.Rejection):
        predicted_wait_s = allocated.predicted_wait_s
        if predicted_wait_s is not None:
            record.admission_log["predicted_wait_s"] = round(predicted_wait_s, 3)


def _record_basis(
    context: exchangecontext.ExchangeContext,
    record: requestrecord.RequestRecord,
    basis: shedding.Basis,
    allocated: allocation.Allocation,
) -> None:
    if isinstance(allocated, queueing.Rejection):
        outcome = f"rejected: {allocated.reason}"
    else:
        outcome = "started late" if basis.late else "started on time"
    context.metrics.count("shedding", outcome)
    record.admission_log |= {
        "decision": outcome,
        "load_share": round(basis.load_share, 3),
        "threshold": round(basis.threshold, 3),
        "age_s": round(basis.age_s, 3),
        "predicted_wait_s": round(basis.predicted_wait_s, 3),
    }
    if basis.heard_s < math.inf:
        record.admission_log["heard_s"] = round(basis.heard_s, 3)


def _estimate_demand(
    record: requestrecord.RequestRecord, dispatcher: dispatching.Dispatcher
) -> demand.Demand:
    """Returns the demand; its first-part delay is at least the recent one."""
    estimate = record.demand_estimate
    first_part_s = max(estimate.first_part_s, dispatcher.predict_first_part_s())
    return dataclasses.replace(estimate, first_part_s=first_part_s)
