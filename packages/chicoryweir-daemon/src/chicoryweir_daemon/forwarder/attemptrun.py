"""Runs an attempt at an allocated endpoint, and records it.

The attempt at the endpoint that may take over from a silent one runs beside the silent
attempt. It relays nothing until it has its turn.
"""

from __future__ import annotations

import asyncio
import collections.abc

from chicoryweir_daemon.forwarder import attempt as attempts
from chicoryweir_daemon.forwarder import attemptreports
from chicoryweir_daemon.forwarder import crashreports
from chicoryweir_daemon.forwarder import exchangecontext
from chicoryweir_daemon.forwarder import interfaces
from chicoryweir_daemon.forwarder import requestrecord
from chicoryweir_daemon.forwarder import statementreports
from chicoryweir_daemon.forwarder import supervision
from chicoryweir_daemon.http1 import connections
from chicoryweir_policy.forwarding import dispatching
from chicoryweir_policy.forwarding import endpoints
from chicoryweir_policy.forwarding import stalls
from chicoryweir_policy.forwarding import statements

# Maximum time to find out whether an endpoint still listens. A round trip takes a few
# milliseconds.
LISTENER_CHECK_S = 0.1


class AttemptRun:
    """One attempt of a request.

    Attributes:
        has_turn: Whether it may relay its answer.
        is_accepted: Whether the endpoint has begun an answer that can be relayed.
    """

    def __init__(
        self,
        context: exchangecontext.ExchangeContext,
        record: requestrecord.RequestRecord,
        dispatched: dispatching.Dispatched,
        record_part: collections.abc.Callable[[float], None],
        compute_stall_timeout: collections.abc.Callable[[AttemptRun], float],
    ) -> None:
        """Initializes a run that has not begun.

        Args:
            context: Objects of the process.
            record: The request.
            dispatched: Allocation of the endpoint, which the run releases.
            record_part: Records that part of the answer arrived, and the time since the
                part before.
            compute_stall_timeout: Returns how much longer a run may wait, in seconds.
        """
        self._context = context
        self._record = record
        self._dispatched = dispatched
        self._record_part = record_part
        self._compute_stall_timeout = compute_stall_timeout
        self._started_at = context.fleet.clock.read()
        self._turn = asyncio.Event()
        self._task: asyncio.Task[attempts.Outcome] | None = None
        self.has_turn = False
        self.is_accepted = False
        self._is_sent = False
        # None after its end: its callbacks refer to this object, and would hold the
        # request until the garbage collector finds them.
        self._attempt: attempts.Attempt | None = attempts.Attempt(
            context.pool,
            context.header_codec,
            context.fleet.clock,
            dispatched.endpoint,
            record_part,
            lambda _: compute_stall_timeout(self),
            self._record_statement,
            context.fleet.confirm_sending,
            self._await_turn,
        )

    @property
    def endpoint(self) -> endpoints.Endpoint:
        """Endpoint of the attempt."""
        return self._dispatched.endpoint

    @property
    def is_sent(self) -> bool:
        """Whether the request was sent."""
        return self._is_sent if self._attempt is None else self._attempt.sent

    def create_successor(self, dispatched: dispatching.Dispatched) -> AttemptRun:
        """Returns a run of the same request at another endpoint."""
        return AttemptRun(
            self._context,
            self._record,
            dispatched,
            self._record_part,
            self._compute_stall_timeout,
        )

    def measure_stall_timeout(self) -> float:
        """Returns how much longer its endpoint may be silent, in seconds."""
        assert self._attempt is not None
        return self._record.progress.compute_stall_timeout(self._attempt)

    def begin(self) -> None:
        """Begins the attempt beside another one, which has the turn."""
        self._task = asyncio.create_task(self._perform())

    def take_turn(self) -> None:
        """Lets the attempt relay its answer."""
        self._record.progress.begin_attempt(self._started_at)
        self.has_turn = True
        self._turn.set()

    def find_outcome(self) -> attempts.Outcome | None:
        """Returns the outcome of an attempt that has begun; None before its end."""
        if self._task is None or not self._task.done():
            return None
        return self._task.result()

    async def finish(self) -> attempts.Outcome:
        """Returns the outcome; performs the attempt if it has not begun."""
        task, self._task = self._task, None
        return await (self._perform() if task is None else task)

    def cancel(self) -> None:
        """Ends an attempt that has begun; its endpoint is released."""
        task, self._task = self._task, None
        if task is not None:
            task.cancel()

    async def _perform(self) -> attempts.Outcome:
        record, endpoint, attempt = self._record, self.endpoint, self._attempt
        assert attempt is not None
        with supervision.isolate_errors("record the start of an attempt"):
            attemptreports.record_start(
                self._context, record, endpoint, id(self), self._started_at
            )
        may_have_crashed = is_complete = False
        try:
            outcome = await attempt.run(
                record.request,
                record.facts,
                self._describe_forwarding(),
                record.relay,
                record.answer,
                fresh=not record.route.retryable,
                tried_before=endpoint.instance in record.excluded,
            )
            may_have_crashed = attempts.may_have_crashed(outcome)
            is_complete = isinstance(outcome, attempts.Finished)
        except asyncio.CancelledError:
            may_have_crashed = self._has_been_silent(attempt)
            raise
        finally:
            self._is_sent, self._attempt = attempt.sent, None
            with supervision.isolate_errors("record the end of an attempt"):
                attemptreports.record_end(
                    self._context,
                    record,
                    endpoint,
                    id(self),
                    self._list_unproven_parts(),
                    may_have_crashed,
                    is_complete,
                )
            self._context.allocator.release(self._dispatched, record.service)
        if may_have_crashed:
            with supervision.isolate_errors("check the listener of an endpoint"):
                await self._check_listener()
        return outcome

    async def _await_turn(self) -> None:
        """Waits until the answer, which has begun, may be relayed."""
        self.is_accepted = True
        await self._turn.wait()

    def _describe_forwarding(self) -> interfaces.ForwardingFacts:
        record = self._record
        return interfaces.ForwardingFacts(
            record.deadline_at - self._now(),
            self.endpoint.instance,
            record.routed.workspace,
            record.routed.priority,
            record.relay.resume_after,
        )

    def _record_statement(self, statement: statements.Statement) -> None:
        """Records what the endpoint states about itself."""
        self._record.statement = statement
        with supervision.isolate_errors("record a statement of an endpoint"):
            statementreports.record_statement(
                self._context.fleet,
                self._context.event_log,
                self.endpoint,
                statement,
                self._started_at,
                self._record.request_id,
            )

    def _list_unproven_parts(self) -> tuple[str, ...]:
        """Returns the prompt parts that the answer of this attempt has not proved."""
        progress = self._record.progress
        return progress.unproven_parts if self.has_turn else progress.prompt_parts

    def _has_been_silent(self, attempt: attempts.Attempt) -> bool:
        """Returns whether the endpoint sent nothing for long before now."""
        silent_s = self._now() - attempt.last_received_at
        return attempt.sent and silent_s > stalls.SERVICE_STALL_S

    async def _check_listener(self) -> None:
        """Records a crash of an endpoint that broke an attempt and doesn't listen.

        Its registration would show the crash only some seconds later, when the request
        may already have crashed the endpoint that it is retried at. Only requests with
        prompt parts that no answer has proved are checked.
        """
        context, endpoint = self._context, self.endpoint
        if not context.fleet.crashes.parts.has_unproven(self._list_unproven_parts()):
            return
        address = connections.Address(endpoint.host, endpoint.port, endpoint.instance)
        if await context.pool.is_refused(address, LISTENER_CHECK_S):
            crashreports.record_refused_connection(
                context.fleet,
                context.event_log,
                endpoint,
                self._record.request_id,
            )

    def _now(self) -> float:
        return self._context.fleet.clock.read()
