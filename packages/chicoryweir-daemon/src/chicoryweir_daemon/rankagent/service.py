"""Runs the agent of a rank.

A rank answers calls from its own machine immediately with current values, and calls
from other machines after a delay. The agent makes no decisions: it forwards the few
calls that are needed to balance the group's expert map, and sums up the rank's counts.
"""

from __future__ import annotations

import asyncio
import collections.abc
import dataclasses
import secrets
import zlib

from chicoryweir_daemon.forwarder import digestformat
from chicoryweir_daemon.forwarder import eventlog
from chicoryweir_daemon.forwarder import fetching
from chicoryweir_daemon.forwarder import metrics_registry
from chicoryweir_daemon.forwarder import process
from chicoryweir_daemon.forwarder import refusalreports
from chicoryweir_daemon.forwarder import supervision
from chicoryweir_daemon.http1 import callers
from chicoryweir_daemon.http1 import connections
from chicoryweir_daemon.http1 import heads
from chicoryweir_daemon.http1 import limits
from chicoryweir_daemon.http1 import memory
from chicoryweir_daemon.http1 import requestparser
from chicoryweir_daemon.lifecycle import descriptors
from chicoryweir_daemon.lifecycle import eventloop
from chicoryweir_daemon.lifecycle import startup
from chicoryweir_policy import catalogue
from chicoryweir_policy.rankmaps import digests

# A rank answers calls from its own machine within a few ms. The timeout is short
# because the group may be held at a step until a lost order is sent again.
CALL_TIMEOUT_S = 0.12
# Share of the descriptors that connections of entries may use.
DESCRIPTOR_SHARE = 0.6
# Interval at which a stopping agent checks for open calls.
CALL_CHECK_S = 0.01
# Status code for a call that was sent to the rank but got no answer.
NO_ANSWER_STATUS = 502
# Status code for a call that was not sent to the rank.
NOT_SENT_STATUS = 503
# Status code for a body that can't be decompressed.
BAD_BODY_STATUS = 400
# Number of bits of the first digest's number.
SEQUENCE_BITS = 31
# The body of an order with the map of the largest group has several hundred KB.
LIMITS = callers.ServerLimits(
    max_head_bytes=16_384,
    max_body_bytes=4_194_304,
    head_timeout_s=3.0,
    idle_timeout_s=30.0,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of a rank's agent.

    Attributes:
        name: Name of the instance.
        listener: Address at which entries call the agent.
        rank: Address of the rank.
        targets: Path on the rank, by method and path on the agent.
        counts_target: Path on the rank of its selection counts.
        decode_counts: Returns a rank's epoch and its selections of each expert from
            the body of its answer; raises ValueError if it is not valid.
        forwarded_headers: Names of headers forwarded with a call, in lower case.
        memory_bytes: Memory that the process may use, in bytes.
        received: Limits on what entries and the rank may send.
    """

    name: str
    listener: process.Listener
    rank: process.Listener
    targets: collections.abc.Mapping[tuple[bytes, bytes], bytes]
    forwarded_headers: frozenset[bytes]
    counts_target: bytes
    decode_counts: collections.abc.Callable[[bytes], tuple[int, tuple[int, ...]]]
    memory_bytes: int = process.DEFAULT_MEMORY_BYTES
    received: limits.ReceivedLimits = limits.DEFAULT


class Agent:
    """Forwards calls of entries to the rank on its own machine."""

    def __init__(
        self,
        settings: Settings,
        event_log: eventlog.EventLog,
        account: memory.Account,
    ) -> None:
        self._settings = settings
        self._event_log = event_log
        self._pool = connections.Pool(account, settings.received)
        self._address = connections.Address(settings.rank.host, settings.rank.port)
        self._digests = digests.DigestSource(secrets.randbits(SEQUENCE_BITS))

    def reject(self, rejected: requestparser.Rejected) -> list[heads.Header]:
        """Returns the headers of the answer to an invalid request."""
        return []

    async def handle(self, request: heads.Request, answer: callers.Answer) -> None:
        """Forwards one call to the rank and sends its answer."""
        head = request.head
        after = digestformat.decode_target(head.target)
        if head.method == b"GET" and after is not None:
            await self._send_digest(after, answer)
            return
        target = self._settings.targets.get((head.method, head.target))
        if target is None:
            answer.send(404, [])
            return
        try:
            body = _decode_body(request)
        except ValueError as error:
            self._event_log.record(catalogue.RANK_CALL_BAD, detail=str(error))
            answer.send(BAD_BODY_STATUS, [])
            return
        forwarded = tuple(
            header
            for header in head.headers
            if header[0].lower() in self._settings.forwarded_headers
        )
        reply = await self._call_rank(head.method, target, body, forwarded, answer)
        if reply is not None:
            answer.send(reply.status, [], reply.body)

    async def _send_digest(self, after: int, answer: callers.Answer) -> None:
        """Reads the rank's counts and sends what was added since a digest."""
        target = self._settings.counts_target
        reply = await self._call_rank(b"GET", target, b"", (), answer)
        if reply is None:
            return
        try:
            if reply.status != 200:
                raise ValueError(f"status {reply.status}")
            epoch, counts = self._settings.decode_counts(reply.body)
        except ValueError as error:
            self._event_log.record(catalogue.RANK_SILENT, detail=str(error))
            answer.send(NO_ANSWER_STATUS, [])
            return
        now = asyncio.get_running_loop().time()
        digest = self._digests.create_digest(epoch, counts, after, now)
        answer.send(200, [], digestformat.encode(digest))

    async def _call_rank(
        self,
        method: bytes,
        target: bytes,
        body: bytes,
        headers: tuple[heads.Header, ...],
        answer: callers.Answer,
    ) -> fetching.Reply | None:
        """Calls the rank; answers the caller and returns None if the call fails."""
        try:
            return await fetching.fetch(
                self._pool,
                self._address,
                method,
                target,
                body,
                CALL_TIMEOUT_S,
                headers,
                fetching.MAX_RANK_REPLY_BYTES,
            )
        except fetching.FetchError as error:
            self._event_log.record(catalogue.RANK_SILENT, detail=str(error))
            answer.send(NO_ANSWER_STATUS if error.sent else NOT_SENT_STATUS, [])
            return None


def _decode_body(request: heads.Request) -> bytes:
    """Returns the body of a call without its compression.

    Raises:
        ValueError: The body is not valid or too long.
    """
    if not any(
        name.lower() == b"content-encoding" and value.lower() == b"deflate"
        for name, value in request.head.headers
    ):
        return request.body
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(request.body, LIMITS.max_body_bytes)
    except zlib.error as error:
        raise ValueError(f"decompress the body: {error}") from error
    if not decompressor.eof:
        raise ValueError("decompress the body: incomplete or too long")
    return body


async def run(
    source: startup.SettingsSource[Settings], requests: eventloop.Requests
) -> None:
    """Runs an agent until a stop request."""
    event_log = eventlog.EventLog("")
    settings = await startup.load_settings(source, requests.stop, event_log)
    if settings is None:
        event_log.record(
            catalogue.DAEMON_STOPPED, detail="planned stop without valid settings"
        )
        return
    event_log = eventlog.EventLog(settings.name)
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(supervision.create_exception_handler(event_log))
    refusals = refusalreports.RefusalReport(metrics_registry.MetricsRegistry())
    account = refusalreports.create_account(
        settings.memory_bytes, settings.received, refusals
    )
    agent = Agent(settings, event_log, account)
    server_limits = dataclasses.replace(LIMITS, received=settings.received)
    open_connections: set[callers.CallerConnection] = set()
    listener = settings.listener

    servers: list[asyncio.Server] = []
    gate = descriptors.create_gate(DESCRIPTOR_SHARE, event_log)

    async def open_server() -> None:
        server = await loop.create_server(
            lambda: callers.CallerConnection(
                agent,
                lambda: server_limits,
                open_connections,
                requests.stop.is_set,
                gate.admit,
                account,
            ),
            listener.host,
            listener.port,
        )
        servers.append(server)

    if await startup.open_listener(
        open_server, str(listener), requests.stop, event_log
    ):
        event_log.record(
            catalogue.DAEMON_STARTED, listener=str(listener), rank=str(settings.rank)
        )
    reporting = asyncio.create_task(refusals.run(account, event_log))
    await requests.stop.wait()
    for server in servers:
        server.close()
    await _await_calls(open_connections)
    await eventloop.cancel_tasks([reporting])
    refusals.write(account, event_log)
    event_log.record(catalogue.DAEMON_STOPPED, detail="planned stop")


async def _await_calls(
    open_connections: collections.abc.Collection[callers.CallerConnection],
) -> None:
    """Waits for the answers to calls that were read, as long as calls may take."""
    loop = asyncio.get_running_loop()
    deadline_at = loop.time() + CALL_TIMEOUT_S + CALL_CHECK_S
    while loop.time() < deadline_at:
        if all(connection.is_idle for connection in open_connections):
            return
        await asyncio.sleep(CALL_CHECK_S)
