"""Validates and routes callers' requests."""

from __future__ import annotations

from chicoryweir_daemon.forwarder import exchange
from chicoryweir_daemon.forwarder import exchangecontext
from chicoryweir_daemon.forwarder import interfaces
from chicoryweir_daemon.forwarder import problems
from chicoryweir_daemon.http1 import callers
from chicoryweir_daemon.http1 import heads
from chicoryweir_daemon.http1 import requestparser
from chicoryweir_policy import catalogue
from chicoryweir_policy.forwarding import configuration
from chicoryweir_policy.forwarding import routes

# Retry-After value while no configuration is known; an entry reads one within 1 s after
# the store becomes reachable.
NOT_READY_RETRY_S = 0.5


class Ingress:
    """Handles the requests of callers."""

    def __init__(self, context: exchangecontext.ExchangeContext) -> None:
        self._context = context
        self._exchanges: set[exchange.Exchange] = set()

    def begin_stop(self) -> None:
        """Limits the requests in progress to the time until the stop."""
        for caller_exchange in self._exchanges:
            caller_exchange.update_end()

    def get_limits(self) -> callers.ServerLimits:
        """Returns the limits for callers' requests."""
        table = self._context.fleet.table
        limits = configuration.Limits()
        if table is not None:
            limits = table.configuration.limits
        return callers.ServerLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_s,
            limits.idle_timeout_s,
            self._context.fleet.settings.received,
        )

    def reject(self, rejected: requestparser.Rejected) -> list[heads.Header]:
        """Logs a malformed request; returns the headers of its answer."""
        self._context.metrics.count("malformed", str(rejected.status))
        # Refusals for want of memory are reported together, see `refusalreports`.
        if rejected.status != callers.NO_MEMORY_STATUS:
            self._context.event_log.record(
                catalogue.REQUEST_MALFORMED,
                status=rejected.status,
                detail=rejected.detail,
            )
        return self._context.header_codec.write_own_answer(None)

    async def handle(self, request: heads.Request, answer: callers.Answer) -> None:
        """Handles one request."""
        fleet = self._context.fleet
        now = fleet.clock.read()
        facts = self._context.header_codec.read_request(request.head)
        if isinstance(facts, interfaces.Malformed):
            self._send_problem(
                answer, None, problems.Problem(400, "read", facts.detail)
            )
            return
        table = fleet.table
        if table is None:
            problem = problems.Problem(
                503, "route", "no configuration is known yet", NOT_READY_RETRY_S
            )
            self._send_problem(answer, facts, problem)
            return
        request_id = facts.attempt_id.decode("latin-1")
        resolved = table.resolve(facts.host, request.head.path, facts.key, request_id)
        match resolved:
            case routes.NotFound(host, version):
                detail = f"no route of {host!r} fits the path (version {version})"
                self._send_problem(
                    answer, facts, problems.Problem(404, "route", detail)
                )
            case routes.KeyUnknown(route, version):
                detail = f"route {route} needs a valid key (version {version})"
                self._send_problem(answer, facts, problems.Problem(401, "key", detail))
            case routes.Routed():
                await self._forward(request, answer, facts, resolved, table, now)

    async def _forward(
        self,
        request: heads.Request,
        answer: callers.Answer,
        facts: interfaces.RequestFacts,
        routed: routes.Routed,
        table: routes.RouteTable,
        now: float,
    ) -> None:
        service = table.get_service(routed.service)
        if service is None:
            service = configuration.Service(routed.service, 0, None)
        caller_exchange = exchange.Exchange(
            self._context, request, answer, facts, routed, service, now
        )
        self._exchanges.add(caller_exchange)
        try:
            await caller_exchange.run()
        finally:
            self._exchanges.discard(caller_exchange)

    def _send_problem(
        self,
        answer: callers.Answer,
        facts: interfaces.RequestFacts | None,
        problem: problems.Problem,
    ) -> None:
        attempt_id = None if facts is None else facts.attempt_id
        problems.send_problem(answer, self._context.header_codec, attempt_id, problem)
        self._context.metrics.count("requests", f"refused {problem.status}")
        self._context.event_log.record(
            catalogue.REQUEST_REFUSED,
            "" if attempt_id is None else attempt_id.decode("latin-1"),
            status=problem.status,
            step=problem.step,
            detail=problem.detail,
        )
