"""Runs one attempt: sends the request to an endpoint and classifies the answer."""

from __future__ import annotations

import collections.abc
import dataclasses
import math

from chicoryweir_daemon.forwarder import interfaces
from chicoryweir_daemon.forwarder import relay
from chicoryweir_daemon.http1 import answerparser
from chicoryweir_daemon.http1 import callers
from chicoryweir_daemon.http1 import connections
from chicoryweir_daemon.http1 import heads
from chicoryweir_policy.forwarding import endpoints
from chicoryweir_policy.forwarding import retries
from chicoryweir_policy.forwarding import statements

# Status codes that guarantee the caller that its request did not run and won't run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# Maximum size, and maximum time to receive the rest, of an answer that is discarded: it
# belongs to another attempt, or only its head matters. Beyond them its connection is
# closed instead.
MAX_DISCARDED_BYTES = 65_536
DISCARD_TIMEOUT_S = 0.4
# Maximum number of answers to other attempts before the answer to this one.
MAX_STALE_ANSWERS = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Finished:
    """The caller received the endpoint's complete answer."""

    status: int


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """The attempt failed: no answer can be relayed to the caller as a success.

    Attributes:
        failure: How the attempt failed.
        detail: Details for the log and the caller.
        error_answer: The endpoint's own error answer, which may be passed on.
        at_fault: Address of another endpoint that the endpoint reports as the cause of
            the failure, or empty.
    """

    failure: retries.Failure
    detail: str
    error_answer: relay.BufferedAnswer | None = None
    at_fault: str = ""


Outcome = Finished | Failed


def may_have_crashed(outcome: Outcome) -> bool:
    """Returns whether the endpoint may have crashed while it ran the request."""
    return isinstance(outcome, Failed) and outcome.failure is retries.Failure.BROKEN


def has_run_to_end(outcome: Outcome) -> bool:
    """Returns whether the endpoint ran the request to its end, even if it failed."""
    match outcome:
        case Finished():
            return True
        case Failed(failure=failure, at_fault=at_fault):
            return failure is retries.Failure.ERROR and not at_fault


def _classify_refusal(
    request: interfaces.RequestFacts, answer: interfaces.AnswerFacts
) -> retries.Failure:
    """Returns the failure that an endpoint's refusal to run a request means."""
    if not answer.misdirected:
        return retries.Failure.DECLINED
    if request.expected_version in (None, answer.version):
        return retries.Failure.MISDIRECTED
    return retries.Failure.VERSION_MISMATCH


class Attempt:
    """Sends one request to one endpoint."""

    def __init__(
        self,
        pool: connections.Pool,
        header_codec: interfaces.HeaderCodec,
        clock: interfaces.Clock,
        endpoint: endpoints.Endpoint,
        record_progress: collections.abc.Callable[[float], None],
        get_stall_timeout: collections.abc.Callable[[Attempt], float],
        record_statement: collections.abc.Callable[[statements.Statement], None],
        confirm_sending: collections.abc.Callable[
            [str], collections.abc.Awaitable[bool]
        ],
        await_turn: collections.abc.Callable[[], collections.abc.Awaitable[None]],
    ) -> None:
        self._pool = pool
        self._header_codec = header_codec
        self._clock = clock
        self._endpoint = endpoint
        self._record_progress = record_progress
        self._get_stall_timeout = get_stall_timeout
        self._record_statement = record_statement
        self._confirm_sending = confirm_sending
        self._await_turn = await_turn
        self.sent = False
        self.last_received_at = 0.0
        self.last_progress_at = 0.0
        self.first_part_at: float | None = None

    async def run(
        self,
        request: heads.Request,
        facts: interfaces.RequestFacts,
        forwarding: interfaces.ForwardingFacts,
        target: relay.Relay,
        answer: callers.Answer,
        fresh: bool,
        tried_before: bool,
    ) -> Outcome:
        """Sends the request and relays its answer.

        Args:
            request: The caller's request.
            facts: Fields parsed from the head of the request.
            forwarding: Fields that the entry adds for the endpoint.
            target: Relay that the answer is written to.
            answer: Answer to the caller, for flow control.
            fresh: Whether to avoid an idle connection, which the endpoint may be
                closing.
            tried_before: Whether an earlier attempt was sent to this endpoint. It might
                repeat its answer to that one on an earlier connection, so that a new
                connection is opened.
        """
        address = connections.Address(
            self._endpoint.host, self._endpoint.port, self._endpoint.instance
        )
        try:
            if tried_before:
                connection = await self._pool.open(address)
            else:
                now = self._clock.read()
                connection = await self._pool.acquire(address, fresh, now)
        except connections.ConnectError as error:
            return Failed(retries.Failure.NOT_SENT, str(error))
        is_complete = False
        try:
            # An evacuation may have begun while the connection was opened.
            if not await self._confirm_sending(self._endpoint.data_centre):
                return Failed(retries.Failure.WITHDRAWN, "its data centre is evacuated")
            connection.send_request(self._encode(request, forwarding))
            self.sent = True
            self.last_received_at = self.last_progress_at = self._clock.read()
            head, outcome = await self._read(connection, facts, target, answer)
            is_complete = head is not None
        finally:
            if not is_complete:
                connection.abort()
        assert head is not None or isinstance(outcome, Failed)
        if head is not None:
            self._pool.release(address, connection, head, self._clock.read())
        return outcome

    def _encode(
        self, request: heads.Request, forwarding: interfaces.ForwardingFacts
    ) -> bytes:
        headers = [
            header
            for header in self._header_codec.write_request(request.head, forwarding)
            if header[0].lower() not in (b"content-length", b"expect")
        ]
        if request.body or request.head.find(b"content-length") is not None:
            headers.append((b"Content-Length", b"%d" % len(request.body)))
        elif request.head.find(b"transfer-encoding") is not None:
            headers.append((b"Content-Length", b"0"))
        head = heads.encode_request(request.head.method, request.head.target, headers)
        return head + request.body

    async def _read(
        self,
        connection: connections.Connection,
        facts: interfaces.RequestFacts,
        target: relay.Relay,
        answer: callers.Answer,
    ) -> tuple[heads.AnswerHead | None, Outcome]:
        """Returns the answer's head if the connection is reusable, and the outcome."""
        for _ in range(MAX_STALE_ANSWERS + 1):
            event = await self._receive(connection)
            match event:
                case heads.AnswerHead():
                    answer_facts = self._header_codec.read_answer(event)
                    if answer_facts.attempt_id is None and connection.has_answered:
                        # It may repeat what was sent to an earlier request.
                        detail = f"status {event.status} without the attempt's id"
                        return None, Failed(retries.Failure.GARBLED, detail)
                    if answer_facts.attempt_id in (None, facts.attempt_id):
                        return await self._process_answer(
                            connection, event, facts, answer_facts, target, answer
                        )
                    if not await self._discard_answer(connection):
                        detail = "an answer to another attempt didn't end"
                        return None, Failed(retries.Failure.GARBLED, detail)
                case answerparser.Broken(detail):
                    return None, Failed(retries.Failure.BROKEN, detail)
                case answerparser.BodyPart() | answerparser.End():
                    detail = "a body without a head"
                    return None, Failed(retries.Failure.GARBLED, detail)
        detail = f"over {MAX_STALE_ANSWERS} answers to other attempts"
        return None, Failed(retries.Failure.GARBLED, detail)

    async def _process_answer(
        self,
        connection: connections.Connection,
        head: heads.AnswerHead,
        request_facts: interfaces.RequestFacts,
        facts: interfaces.AnswerFacts,
        target: relay.Relay,
        answer: callers.Answer,
    ) -> tuple[heads.AnswerHead | None, Outcome]:
        if not facts.misdirected:
            self._record_statement(facts.statement)
        if facts.misdirected or (facts.not_run and not facts.stamped):
            is_reusable = await self._discard_answer(connection)
            kind = _classify_refusal(request_facts, facts)
            failed = Failed(kind, f"status {head.status}", at_fault=facts.at_fault)
            return (head if is_reusable else None), failed
        if facts.attempt_id is None or not facts.stamped or facts.encoded:
            detail = f"status {head.status} without the attempt's id or a signature"
            return None, Failed(retries.Failure.GARBLED, detail)
        if head.status >= 500 or head.status in NOT_RUN_STATUSES:
            return await self._read_error_answer(connection, head, facts)
        await self._await_turn()
        try:
            target.start(head)
        except relay.RelayError as error:
            return None, Failed(retries.Failure.GARBLED, str(error))
        return await self._relay_answer(connection, head, target, answer)

    async def _relay_answer(
        self,
        connection: connections.Connection,
        head: heads.AnswerHead,
        target: relay.Relay,
        answer: callers.Answer,
    ) -> tuple[heads.AnswerHead | None, Outcome]:
        while True:
            event = await self._receive(connection, " within the answer")
            match event:
                case answerparser.BodyPart(data):
                    try:
                        has_progressed = target.feed(data)
                    except relay.RelayError as error:
                        return None, Failed(retries.Failure.GARBLED, str(error))
                    if has_progressed:
                        self._note_progress()
                    await self._await_caller(answer)
                case answerparser.End():
                    if target.finish():
                        return head, Finished(head.status)
                    detail = "the stream ended within an event or before the first"
                    return None, Failed(retries.Failure.BROKEN, detail)
                case answerparser.Broken(detail):
                    return None, Failed(retries.Failure.BROKEN, detail)
                case heads.AnswerHead():
                    detail = "an answer began within an answer"
                    return None, Failed(retries.Failure.GARBLED, detail)

    async def _await_caller(self, answer: callers.Answer) -> None:
        """Waits while the caller doesn't read; the endpoint isn't silent meanwhile."""
        began_at = self._clock.read()
        received_at, self.last_received_at = self.last_received_at, math.inf
        await answer.drain()
        waited_s = self._clock.read() - began_at
        self.last_received_at = received_at + waited_s
        self.last_progress_at += waited_s

    async def _read_error_answer(
        self,
        connection: connections.Connection,
        head: heads.AnswerHead,
        facts: interfaces.AnswerFacts,
    ) -> tuple[heads.AnswerHead | None, Outcome]:
        """Buffers the endpoint's own error answer without passing it on."""
        body = bytearray()
        while True:
            event = await self._receive(connection)
            match event:
                case answerparser.BodyPart(data) if (
                    len(body) <= relay.MAX_BUFFERED_BYTES
                ):
                    body += data
                    connection.hold(len(body))
                case answerparser.End():
                    error_answer = relay.BufferedAnswer(head, bytes(body))
                    detail = f"status {head.status}"
                    failed = Failed(
                        retries.Failure.ERROR, detail, error_answer, facts.at_fault
                    )
                    return head, failed
                case _:
                    detail = f"status {head.status}, broken off"
                    return None, Failed(retries.Failure.BROKEN, detail)

    async def _discard_answer(self, connection: connections.Connection) -> bool:
        """Discards the rest of an answer; returns whether its end was received."""
        until = self._clock.read() + DISCARD_TIMEOUT_S
        discarded_bytes = 0
        while discarded_bytes <= MAX_DISCARDED_BYTES:
            left_s = until - self._clock.read()
            event = await connection.receive(left_s) if left_s > 0.0 else None
            match event:
                case answerparser.End():
                    return True
                case answerparser.BodyPart(data):
                    discarded_bytes += len(data)
                case _:
                    return False
        return False

    async def _receive(
        self, connection: connections.Connection, suffix: str = ""
    ) -> answerparser.Event:
        """Returns the next event, or `Broken` if the endpoint stalls.

        Args:
            connection: Connection to the endpoint.
            suffix: Suffix of the detail text for a stall.
        """
        event = None
        while event is None:
            timeout_s = self._get_stall_timeout(self)
            if timeout_s <= 0.0:
                stalled_s = self._clock.read() - self.last_progress_at
                return answerparser.Broken(f"silent for {stalled_s:.2f} s{suffix}")
            event = await connection.receive(timeout_s)
        self.last_received_at = self._clock.read()
        if isinstance(event, heads.AnswerHead):
            self.last_progress_at = self.last_received_at
        return event

    def _note_progress(self) -> None:
        """Records that the answer made progress with the part received last."""
        now = self.last_received_at
        if self.first_part_at is None:
            self.first_part_at = now
            self._record_progress(0.0)
        else:
            self._record_progress(now - self.last_progress_at)
        self.last_progress_at = now
