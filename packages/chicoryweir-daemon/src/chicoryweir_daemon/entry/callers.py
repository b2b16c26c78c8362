"""The callers' front: one ASGI call for each request."""

from __future__ import annotations

import asyncio
import collections.abc
import dataclasses
import secrets
import time
import typing

from chicoryweir_daemon.entry import mailboxes
from chicoryweir_daemon.entry import metrics
from chicoryweir_daemon.entry import problems
from chicoryweir_daemon.entry import senders
from chicoryweir_daemon.runtime import cores
from chicoryweir_policy import outcomes
from chicoryweir_policy import requests
from chicoryweir_policy.cores import commands
from chicoryweir_policy.cores import events
from chicoryweir_policy.intake import bodies
from chicoryweir_policy.intake import faults
from chicoryweir_policy.intake import heads
from chicoryweir_policy.settings import resolution

BODY_TIMEOUT_S = 30.0
SETTINGS_RETRY_MS = 1000
_EVENT_STREAM = "text/event-stream"

Scope = collections.abc.MutableMapping[str, typing.Any]
Message = collections.abc.MutableMapping[str, typing.Any]
Receive = collections.abc.Callable[[], collections.abc.Awaitable[Message]]
Send = collections.abc.Callable[[Message], collections.abc.Awaitable[None]]


class AnswerAbortedError(Exception):
    """Breaks the caller's connection: the server closes it without an end."""


class CallerGoneError(Exception):
    """The caller closed its connection before its request was whole."""


@dataclasses.dataclass(frozen=True, slots=True)
class Front:
    """What the callers' front works with.

    Attributes:
        instance: This entry.
        place: Its place.
        core: Task of the entry's core.
        boxes: Mailboxes of the requests in progress.
        meter: Measures of what callers got.
        get_resolver: Returns the settings in force, or None.
        senders: Answers that are being sent.
    """

    instance: str
    place: str
    core: cores.CoreTask
    boxes: mailboxes.Mailboxes
    meter: metrics.Meter
    get_resolver: collections.abc.Callable[[], resolution.Resolver | None]
    senders: senders.Senders

    async def serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serves one request of a caller."""
        request_id = secrets.token_hex(16)
        arrived_at = time.monotonic()
        try:
            checked = await self._take_in(scope, receive, request_id, arrived_at)
        except CallerGoneError:
            return
        if isinstance(checked, outcomes.Problem):
            self.meter.count_problem(checked)
            await self._send_problem(checked, request_id, send)
            return
        await self._answer(checked, receive, send)

    async def _take_in(
        self, scope: Scope, receive: Receive, request_id: str, arrived_at: float
    ) -> requests.Request | outcomes.Problem:
        resolver = self.get_resolver()
        if resolver is None:
            return self._make_unready()
        head = heads.check_head(_read_head(scope), resolver, self.place)
        if isinstance(head, outcomes.Problem):
            return head
        body = await _read_body(receive, head.max_request_bytes)
        if isinstance(body, outcomes.Problem):
            return body
        return bodies.parse_request(
            head, body, resolver, self.place, request_id, arrived_at
        )

    def _make_unready(self) -> outcomes.Problem:
        return outcomes.Problem(
            503,
            "Not ready",
            "no version of the settings is known yet",
            outcomes.Outcome.NOT_RUN,
            "intake",
            self.instance,
            SETTINGS_RETRY_MS,
        )

    async def _answer(
        self, request: requests.Request, receive: Receive, send: Send
    ) -> None:
        request_id = request.request_id
        box = self.boxes.open(request_id)
        watcher = asyncio.ensure_future(_watch_caller(receive, box))
        self.core.post(events.RequestArrived(request))
        ended = False
        try:
            ended = await self._relay(request, box, send)
        finally:
            watcher.cancel()
            self.boxes.close(request_id)
            self.senders.close(request_id)
            if not ended:
                self.core.post(events.RequestAbandoned(request_id))

    async def _relay(
        self, request: requests.Request, box: mailboxes.Mailbox, send: Send
    ) -> bool:
        """Relays mail until the answer ended; False when the caller is gone."""
        sender = self.senders.open(request.request_id)
        relay = _Relay(request, send, self.meter, sender)
        while True:
            for mail in await box.get_all():
                match mail:
                    case commands.SendAnswer():
                        relay.add(mail.payloads)
                    case commands.BeginAnswer():
                        relay.begin(mail)
                    case commands.EndAnswer():
                        await relay.end()
                        return True
                    case commands.RejectRequest(_, problem):
                        self.meter.count_refused(request, problem, time.monotonic())
                        await self._send_problem(problem, request.request_id, send)
                        return True
                    case commands.AbortAnswer(_, problem):
                        self.meter.count_refused(request, problem, time.monotonic())
                        await relay.flush()
                        raise AnswerAbortedError(problem.detail)
                    case mailboxes.CallerGone():
                        return False
                    case _:
                        typing.assert_never(mail)
            await relay.flush()

    async def _send_problem(
        self, problem: outcomes.Problem, request_id: str, send: Send
    ) -> None:
        body, headers = problems.render_problem(problem, request_id, self.instance)
        await send(
            {
                "type": "http.response.start",
                "status": problem.status,
                "headers": headers,
            }
        )
        await send({"type": "http.response.body", "body": body})


class _Relay:
    """Writes one answer to its caller."""

    def __init__(
        self,
        request: requests.Request,
        send: Send,
        meter: metrics.Meter,
        sender: senders.Sender,
    ) -> None:
        self._sender = sender
        self._is_stream = False
        self._request = request
        self._send = send
        self._meter = meter
        self._begun: commands.BeginAnswer | None = None
        self._started = False
        self._pieces: list[bytes] = []

    def begin(self, begun: commands.BeginAnswer) -> None:
        """Notes how the answer begins; nothing is sent before the first piece."""
        self._begun = begun
        self._is_stream = begun.content_type.startswith(_EVENT_STREAM)

    def add(self, payloads: tuple[bytes, ...]) -> None:
        """Adds pieces of the answer."""
        if self._is_stream:
            self._pieces += [b"data: %b\n\n" % payload for payload in payloads]
        else:
            self._pieces += payloads

    async def flush(self) -> None:
        """Sends what was added; an opaque body is sent whole by `end`."""
        if not self._is_stream or not self._pieces:
            return
        await self._start()
        await self._write(True)

    async def end(self) -> None:
        """Sends the rest and ends the answer."""
        if self._is_stream:
            self._pieces.append(b"data: [DONE]\n\n")
        await self._start()
        await self._write(False)
        self._meter.count_answer(self._request, time.monotonic())

    async def _start(self) -> None:
        if self._started or self._begun is None:
            return
        self._started = True
        self._meter.count_first(self._request, time.monotonic())
        headers = [
            (b"content-type", self._begun.content_type.encode("latin-1")),
            (b"x-request-id", self._request.request_id.encode()),
        ]
        if self._is_stream:
            headers.append((b"cache-control", b"no-cache"))
        else:
            size = sum(map(len, self._pieces))
            headers.append((b"content-length", str(size).encode()))
        await self._send(
            {
                "type": "http.response.start",
                "status": self._begun.status,
                "headers": headers,
            }
        )

    async def _write(self, more: bool) -> None:
        body = b"".join(self._pieces)
        self._pieces.clear()
        self._sender.begin()
        await self._send(
            {"type": "http.response.body", "body": body, "more_body": more}
        )
        self._sender.end()


async def _watch_caller(receive: Receive, box: mailboxes.Mailbox) -> None:
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            box.put(mailboxes.CallerGone())
            return


def _read_head(scope: Scope) -> heads.RawHead:
    headers = {
        name.decode("latin-1").lower(): value.decode("latin-1")
        for name, value in scope["headers"]
    }
    size = sum(len(name) + len(value) for name, value in scope["headers"])
    raw_path = scope.get("raw_path") or scope["path"].encode()
    return heads.RawHead(
        method=scope["method"],
        path=raw_path.decode("latin-1").partition("?")[0],
        query=scope["query_string"].decode("latin-1"),
        headers=headers,
        size_bytes=size,
    )


async def _read_body(receive: Receive, limit_bytes: int) -> bytes | outcomes.Problem:
    pieces: list[bytes] = []
    size = 0
    try:
        async with asyncio.timeout(BODY_TIMEOUT_S):
            while True:
                message = await receive()
                if message["type"] == "http.disconnect":
                    raise CallerGoneError
                pieces.append(message.get("body", b""))
                size += len(pieces[-1])
                if size > limit_bytes:
                    return faults.make_too_large("body", limit_bytes)
                if not message.get("more_body", False):
                    return b"".join(pieces)
    except TimeoutError:
        return faults.make_bad_field("body", f"not whole after {BODY_TIMEOUT_S:g} s")
