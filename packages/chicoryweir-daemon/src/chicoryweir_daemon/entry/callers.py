"""Serves callers' requests; each request is one ASGI call."""

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
from chicoryweir_daemon.entry import send_timeouts
from chicoryweir_daemon.runtime import cores
from chicoryweir_policy import outcomes
from chicoryweir_policy import requests
from chicoryweir_policy.cores import commands
from chicoryweir_policy.cores import events
from chicoryweir_policy.intake import bodies
from chicoryweir_policy.intake import heads
from chicoryweir_policy.intake import rejections
from chicoryweir_policy.settings import resolution

SETTINGS_RETRY_AFTER_MS = 1000

Scope = collections.abc.MutableMapping[str, typing.Any]
Message = collections.abc.MutableMapping[str, typing.Any]
Receive = collections.abc.Callable[[], collections.abc.Awaitable[Message]]
Send = collections.abc.Callable[[Message], collections.abc.Awaitable[None]]


class AnswerAbortedError(Exception):
    """Makes the server close the caller's connection before the answer is complete."""


class CallerDisconnectedError(Exception):
    """The caller closed its connection before its request was complete."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallerHandler:
    """Parses requests, passes them to the core and relays the answers to the callers.

    Attributes:
        instance: Name of this entry.
        data_centre: Data centre of this entry.
        core_task: Task that runs the entry's core.
        request_mailboxes: Mailboxes of the requests in progress.
        metrics_collector: Metrics of answers and problems.
        get_resolver: Returns the resolver of the current settings, or None if no
            version of the settings is known yet.
        send_timers: Timers of the answers that are being sent.
    """

    instance: str
    data_centre: str
    core_task: cores.CoreTask
    request_mailboxes: mailboxes.Mailboxes
    metrics_collector: metrics.MetricsCollector
    get_resolver: collections.abc.Callable[[], resolution.Resolver | None]
    send_timers: send_timeouts.SendTimers

    async def serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serves one request of a caller.

        Raises:
            AnswerAbortedError: The core aborted an answer that had begun.
        """
        request_id = secrets.token_hex(16)
        arrived_at = time.monotonic()
        try:
            parsed = await self._parse_request(scope, receive, request_id, arrived_at)
        except CallerDisconnectedError:
            return
        if isinstance(parsed, outcomes.Problem):
            self.metrics_collector.count_problem(parsed)
            await self._send_problem(parsed, request_id, send)
            return
        await self._run_request(parsed, receive, send)

    async def _parse_request(
        self, scope: Scope, receive: Receive, request_id: str, arrived_at: float
    ) -> requests.Request | outcomes.Problem:
        resolver = self.get_resolver()
        if resolver is None:
            return self._make_not_ready()
        head = heads.check_head(_make_raw_head(scope), resolver, self.data_centre)
        if isinstance(head, outcomes.Problem):
            return head
        body = await _read_body(receive, head.max_request_bytes)
        if isinstance(body, outcomes.Problem):
            return body
        return bodies.parse_request(
            head, body, resolver, self.data_centre, request_id, arrived_at
        )

    def _make_not_ready(self) -> outcomes.Problem:
        return outcomes.Problem(
            503,
            "Not ready",
            "no version of the settings is known yet",
            outcomes.Outcome.NOT_RUN,
            "intake",
            self.instance,
            SETTINGS_RETRY_AFTER_MS,
        )

    async def _run_request(
        self, request: requests.Request, receive: Receive, send: Send
    ) -> None:
        request_id = request.request_id
        mailbox = self.request_mailboxes.create(request_id)
        disconnect_watcher = asyncio.ensure_future(_watch_disconnect(receive, mailbox))
        self.core_task.post(events.RequestArrived(request))
        is_finished = False
        try:
            is_finished = await self._relay_answer(request, mailbox, send)
        finally:
            disconnect_watcher.cancel()
            self.request_mailboxes.remove(request_id)
            self.send_timers.remove(request_id)
            if not is_finished:
                self.core_task.post(events.RequestAbandoned(request_id))

    async def _relay_answer(
        self, request: requests.Request, mailbox: mailboxes.Mailbox, send: Send
    ) -> bool:
        """Relays the core's commands until the answer or rejection has been sent.

        Returns:
            False if the caller disconnected before that.

        Raises:
            AnswerAbortedError: The core aborted the answer, or the caller doesn't read
                it.
        """
        send_timer = self.send_timers.add(request.request_id)
        writer = _AnswerWriter(request, send, self.metrics_collector, send_timer)
        while True:
            for item in await mailbox.get_all():
                match item:
                    case commands.SendAnswer():
                        writer.add_payloads(item.payloads)
                    case commands.BeginAnswer():
                        writer.begin(item)
                    case commands.EndAnswer():
                        await writer.end()
                        return True
                    case commands.RejectRequest(_, problem):
                        self.metrics_collector.record_failure(
                            request, problem, time.monotonic()
                        )
                        await self._send_problem(problem, request.request_id, send)
                        return True
                    case commands.AbortAnswer(_, problem):
                        self.metrics_collector.record_failure(
                            request, problem, time.monotonic()
                        )
                        await writer.flush()
                        raise AnswerAbortedError(problem.detail)
                    case mailboxes.CallerDisconnected():
                        return False
                    case mailboxes.Overflowed():
                        raise AnswerAbortedError("the caller doesn't read its stream")
                    case _:
                        typing.assert_never(item)
            await writer.flush()

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


class _AnswerWriter:
    """Sends one answer to its caller."""

    def __init__(
        self,
        request: requests.Request,
        send: Send,
        metrics_collector: metrics.MetricsCollector,
        send_timer: send_timeouts.SendTimer,
    ) -> None:
        self._send_timer = send_timer
        self._is_stream = False
        self._request = request
        self._send = send
        self._metrics_collector = metrics_collector
        self._answer: commands.BeginAnswer | None = None
        self._start_sent = False
        self._pending: list[bytes] = []

    def begin(self, answer: commands.BeginAnswer) -> None:
        """Records status and content type, which are sent with the first payload."""
        self._answer = answer
        self._is_stream = answer.content_type.startswith(mailboxes.EVENT_STREAM)

    def add_payloads(self, payloads: tuple[bytes, ...]) -> None:
        """Buffers payloads; those of a stream are encoded as server-sent events."""
        if self._is_stream:
            self._pending += [b"data: %b\n\n" % payload for payload in payloads]
        else:
            self._pending += payloads

    async def flush(self) -> None:
        """Sends the buffered events of a stream.

        A body that isn't a stream is sent whole by `end`, with its content length.
        """
        if not self._is_stream or not self._pending:
            return
        await self._send_start()
        await self._send_body(True)

    async def end(self) -> None:
        """Sends the rest of the answer and completes it."""
        if self._is_stream:
            self._pending.append(b"data: [DONE]\n\n")
        await self._send_start()
        await self._send_body(False)
        self._metrics_collector.record_answer(self._request, time.monotonic())

    async def _send_start(self) -> None:
        if self._start_sent or self._answer is None:
            return
        self._start_sent = True
        self._metrics_collector.record_first_part(self._request, time.monotonic())
        headers = [
            (b"content-type", self._answer.content_type.encode("latin-1")),
            (b"x-request-id", self._request.request_id.encode()),
        ]
        if self._is_stream:
            headers.append((b"cache-control", b"no-cache"))
        else:
            size = sum(map(len, self._pending))
            headers.append((b"content-length", str(size).encode()))
        await self._send(
            {
                "type": "http.response.start",
                "status": self._answer.status,
                "headers": headers,
            }
        )

    async def _send_body(self, more_follows: bool) -> None:
        body = b"".join(self._pending)
        self._pending.clear()
        self._send_timer.start()
        await self._send(
            {"type": "http.response.body", "body": body, "more_body": more_follows}
        )
        self._send_timer.stop()


async def _watch_disconnect(receive: Receive, mailbox: mailboxes.Mailbox) -> None:
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            mailbox.put(mailboxes.CallerDisconnected())
            return


def _make_raw_head(scope: Scope) -> heads.RawHead:
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
    """Returns the body; the connection limits the time that it takes."""
    # A list of many small parts would take more memory than their bytes.
    body = bytearray()
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise CallerDisconnectedError
        body += message.get("body", b"")
        if len(body) > limit_bytes:
            return rejections.make_too_large("body", limit_bytes)
        if not message.get("more_body", False):
            return bytes(body)
