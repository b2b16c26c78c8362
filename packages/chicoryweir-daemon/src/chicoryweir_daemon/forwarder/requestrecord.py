"""State of one request of a caller while an exchange handles it."""

from __future__ import annotations

import dataclasses

from chicoryweir_daemon.forwarder import answerprogress
from chicoryweir_daemon.forwarder import fleet as fleets
from chicoryweir_daemon.forwarder import interfaces
from chicoryweir_daemon.forwarder import relay as relays
from chicoryweir_daemon.http1 import callers
from chicoryweir_daemon.http1 import heads
from chicoryweir_policy.forwarding import configuration
from chicoryweir_policy.forwarding import crashes
from chicoryweir_policy.forwarding import demand
from chicoryweir_policy.forwarding import retries
from chicoryweir_policy.forwarding import returns
from chicoryweir_policy.forwarding import routes
from chicoryweir_policy.forwarding import statements

_NO_ATTEMPTS = retries.AttemptHistory(0, 0, 0, False, 0)
_NO_STATEMENT = statements.Statement()


@dataclasses.dataclass(slots=True)
class RequestRecord:
    """A request, what has been done for it, and what its log line tells of it.

    Attributes:
        request: The caller's request.
        answer: Answer to the caller.
        facts: Fields parsed from the head of the request.
        routed: Route and priority of the request.
        service: Service that the request is for.
        arrived_at: Time at which the request arrived, in seconds.
        deadline_at: Time until which the caller waits for the answer, in seconds.
        request_id: Identifier of the request in the log.
        fingerprint: Hash that requests with the same content share.
        origin: First attempt of the caller at this request.
        demand_estimate: Demand by the request's size alone.
        relay: Relay of the endpoint's answer to the caller.
        progress: Arrival of the answer.
        excluded: Instances that an attempt failed at.
        attempt_history: Number of attempts by their kind.
        waited_s: Time spent queued, in seconds.
        statement: What the endpoint of the latest attempt states about itself.
        attempt_log: Description of each attempt.
        admission_log: Inputs and outcome of the latest admission decision.
    """

    request: heads.Request
    answer: callers.Answer
    facts: interfaces.RequestFacts
    routed: routes.Routed
    service: configuration.Service
    arrived_at: float
    deadline_at: float
    request_id: str
    fingerprint: int
    origin: returns.Origin
    demand_estimate: demand.Demand
    relay: relays.Relay
    progress: answerprogress.AnswerProgress
    excluded: frozenset[str] = frozenset()
    attempt_history: retries.AttemptHistory = _NO_ATTEMPTS
    waited_s: float = 0.0
    statement: statements.Statement = _NO_STATEMENT
    attempt_log: list[str] = dataclasses.field(default_factory=list)
    admission_log: dict[str, int | float | str] = dataclasses.field(
        default_factory=dict
    )

    @property
    def route(self) -> configuration.Route:
        """Route of the request."""
        return self.routed.route

    @property
    def max_answer_tokens(self) -> int:
        """Maximum number of tokens of the answer; 0 if not known."""
        return 0 if self.facts.size is None else self.facts.size.max_answer_tokens


def create_request_record(
    fleet: fleets.Fleet,
    request: heads.Request,
    answer: callers.Answer,
    facts: interfaces.RequestFacts,
    routed: routes.Routed,
    service: configuration.Service,
    arrived_at: float,
) -> RequestRecord:
    """Returns the record of a request that has just arrived."""
    route = routed.route
    timeout_s = route.timeout_s
    if facts.remaining_s is not None:
        timeout_s = min(timeout_s, facts.remaining_s)
    deadline_at = arrived_at + timeout_s
    fingerprint = crashes.compute_fingerprint(
        routed.workspace, facts.host, request.head.target, request.body
    )
    first_attempts = fleet.get_first_attempts(route.name)
    first_attempts.record(facts.remaining_s)
    first_at = arrived_at - first_attempts.estimate_age_s(facts.remaining_s)
    prompt_parts = tuple(f"{service.name}/{part}" for part in facts.shared_parts)
    return RequestRecord(
        request,
        answer,
        facts,
        routed,
        service,
        arrived_at,
        deadline_at,
        facts.attempt_id.decode("latin-1"),
        fingerprint,
        returns.Origin(f"{fingerprint:016x}", first_at, deadline_at),
        demand.estimate_demand(facts.size, service.engine),
        _create_relay(route, request, answer),
        answerprogress.AnswerProgress(fleet, service, route, prompt_parts, arrived_at),
    )


def _create_relay(
    route: configuration.Route, request: heads.Request, answer: callers.Answer
) -> relays.Relay:
    if route.kind is not configuration.RouteKind.STREAM:
        return relays.BodyRelay(answer)
    return relays.EventRelay(answer, request.head.find(b"last-event-id"))
