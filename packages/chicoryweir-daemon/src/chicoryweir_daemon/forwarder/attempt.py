"""One attempt at an endpoint: sends the request and judges what comes back."""

from __future__ import annotations

import collections.abc
import dataclasses

from chicoryweir_daemon.forwarder import relay
from chicoryweir_daemon.forwarder import seams
from chicoryweir_daemon.http1 import answerparser
from chicoryweir_daemon.http1 import callers
from chicoryweir_daemon.http1 import connections
from chicoryweir_daemon.http1 import heads
from chicoryweir_policy.forwarding import endpoints
from chicoryweir_policy.forwarding import retries

# Statuses that promise a caller that its request never runs.
PROMISES = frozenset({408, 421, 429, 503})


@dataclasses.dataclass(frozen=True, slots=True)
class Finished:
    """The caller has the endpoint's whole answer."""

    status: int


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """The attempt brought no answer that can be passed on as a success.

    Attributes:
        failure: How it failed.
        detail: What was seen.
        held: The endpoint's own failure, which may be handed to the caller.
        at_fault: Address of an endpoint that this one depends on, or empty.
    """

    failure: retries.Failure
    detail: str
    held: relay.Held | None = None
    at_fault: str = ""


Outcome = Finished | Failed


def has_broken(outcome: Outcome) -> bool:
    """Tells whether the endpoint may have ended while it ran the request."""
    return isinstance(outcome, Failed) and outcome.failure is retries.Failure.BROKEN


def has_run(outcome: Outcome) -> bool:
    """Tells whether the endpoint ran the request to its end, well or not."""
    match outcome:
        case Finished():
            return True
        case Failed(failure=failure, at_fault=at_fault):
            return failure is retries.Failure.ERROR and not at_fault


class Attempt:
    """Sends one request to one endpoint."""

    def __init__(
        self,
        pool: connections.Pool,
        dialect: seams.Dialect,
        clock: seams.Clock,
        endpoint: endpoints.Endpoint,
        note_progress: collections.abc.Callable[[float], None],
        limit_silence: collections.abc.Callable[[Attempt], float],
    ) -> None:
        self._pool = pool
        self._dialect = dialect
        self._clock = clock
        self._endpoint = endpoint
        self._note_progress = note_progress
        self._limit_silence = limit_silence
        self.sent = False
        self.heard_at = 0.0
        self.first_at: float | None = None

    async def run(
        self,
        request: heads.Request,
        facts: seams.RequestFacts,
        sending: seams.Sending,
        target: relay.Relay,
        answer: callers.Answer,
        fresh: bool,
    ) -> Outcome:
        """Sends the request and relays its answer.

        Args:
            request: The caller's request.
            facts: What its head says.
            sending: What the endpoint is told.
            target: Takes the answer.
            answer: The caller's side, for its speed.
            fresh: Whether a connection that may be ending must not be used.
        """
        address = connections.Address(
            self._endpoint.host, self._endpoint.port, self._endpoint.instance
        )
        try:
            connection = await self._pool.acquire(address, fresh, self._clock.read())
        except connections.ConnectError as error:
            return Failed(retries.Failure.NOT_SENT, str(error))
        whole = False
        try:
            connection.send_request(self._encode(request, sending))
            self.sent = True
            self.heard_at = self._clock.read()
            head, outcome = await self._read(connection, facts, target, answer)
            whole = head is not None
        finally:
            if not whole:
                connection.abort()
        assert head is not None or isinstance(outcome, Failed)
        if head is not None:
            self._pool.release(address, connection, head, self._clock.read())
        return outcome

    def _encode(self, request: heads.Request, sending: seams.Sending) -> bytes:
        headers = [
            header
            for header in self._dialect.write_request(request.head, sending)
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
        facts: seams.RequestFacts,
        target: relay.Relay,
        answer: callers.Answer,
    ) -> tuple[heads.AnswerHead | None, Outcome]:
        """Returns the outcome, and the answer's head if the connection is usable."""
        while True:
            event = await self._receive(connection)
            match event:
                case heads.AnswerHead():
                    told = self._dialect.read_answer(event)
                    if told.attempt_id not in (None, facts.attempt_id):
                        await self._skip(connection)
                        continue
                    return await self._judge(connection, event, told, target, answer)
                case answerparser.Broken(detail):
                    return None, Failed(retries.Failure.BROKEN, detail)
                case answerparser.Body() | answerparser.End():
                    continue

    async def _judge(
        self,
        connection: connections.Connection,
        head: heads.AnswerHead,
        told: seams.AnswerFacts,
        target: relay.Relay,
        answer: callers.Answer,
    ) -> tuple[heads.AnswerHead | None, Outcome]:
        if told.misdirected or (told.not_run and not told.stamped):
            usable = await self._skip(connection)
            kind = retries.Failure.DECLINED
            if told.misdirected:
                kind = retries.Failure.MISDIRECTED
            failed = Failed(kind, f"status {head.status}", at_fault=told.at_fault)
            return (head if usable else None), failed
        if told.attempt_id is None or not told.stamped or told.encoded:
            detail = f"status {head.status} without the attempt's id or a signature"
            return None, Failed(retries.Failure.GARBLED, detail)
        if head.status >= 500 or head.status in PROMISES:
            return await self._hold(connection, head, told)
        target.start(head)
        return await self._pass_on(connection, head, target, answer)

    async def _pass_on(
        self,
        connection: connections.Connection,
        head: heads.AnswerHead,
        target: relay.Relay,
        answer: callers.Answer,
    ) -> tuple[heads.AnswerHead | None, Outcome]:
        while True:
            event = await self._receive(connection, " within the answer")
            match event:
                case answerparser.Body(data):
                    if target.feed(data):
                        await answer.drain()
                case answerparser.End():
                    if target.finish():
                        return head, Finished(head.status)
                    detail = "the stream ended within an event"
                    return None, Failed(retries.Failure.BROKEN, detail)
                case answerparser.Broken(detail):
                    return None, Failed(retries.Failure.BROKEN, detail)
                case heads.AnswerHead():
                    detail = "an answer began within an answer"
                    return None, Failed(retries.Failure.GARBLED, detail)

    async def _hold(
        self,
        connection: connections.Connection,
        head: heads.AnswerHead,
        told: seams.AnswerFacts,
    ) -> tuple[heads.AnswerHead | None, Outcome]:
        """Reads the endpoint's own failure without passing it on."""
        body = bytearray()
        while True:
            event = await self._receive(connection)
            match event:
                case answerparser.Body(data) if len(body) <= relay.HOLD_BYTES:
                    body += data
                case answerparser.End():
                    held = relay.Held(head, bytes(body))
                    detail = f"status {head.status}"
                    failed = Failed(retries.Failure.ERROR, detail, held, told.at_fault)
                    return head, failed
                case _:
                    detail = f"status {head.status}, broken off"
                    return None, Failed(retries.Failure.BROKEN, detail)

    async def _skip(self, connection: connections.Connection) -> bool:
        """Reads an answer to its end without using it; False when it has none."""
        while True:
            match await self._receive(connection):
                case answerparser.End():
                    return True
                case answerparser.Broken() | heads.AnswerHead():
                    return False
                case answerparser.Body():
                    continue

    async def _receive(
        self, connection: connections.Connection, place: str = ""
    ) -> answerparser.Event:
        """Returns the next part; one that doesn't come in time breaks the answer."""
        event = None
        while event is None:
            limit_s = self._limit_silence(self)
            if limit_s <= 0.0:
                silent_s = self._clock.read() - self.heard_at
                return answerparser.Broken(f"silent for {silent_s:.2f} s{place}")
            event = await connection.receive(limit_s)
        now = self._clock.read()
        if isinstance(event, answerparser.Body):
            if self.first_at is None:
                self.first_at = now
                self._note_progress(0.0)
            else:
                self._note_progress(now - self.heard_at)
        self.heard_at = now
        return event
