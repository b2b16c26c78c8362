"""Runs the agent of a rank.

A rank answers calls from its own machine immediately with current values, and calls
from other machines after a delay. The agent makes no decisions: it forwards the few
calls that are needed to balance the group's expert map.
"""

from __future__ import annotations

import asyncio
import collections.abc
import dataclasses
import signal

from chicoryweir_daemon.forwarder import eventlog
from chicoryweir_daemon.forwarder import fetching
from chicoryweir_daemon.forwarder import process
from chicoryweir_daemon.http1 import callers
from chicoryweir_daemon.http1 import connections
from chicoryweir_daemon.http1 import heads
from chicoryweir_daemon.http1 import requestparser
from chicoryweir_policy import catalogue

# A rank answers calls from its own machine within a few ms. The timeout is short
# because the group may be held at a step until a lost order is sent again.
CALL_TIMEOUT_S = 0.12
# Status code for a call that was sent to the rank but got no answer.
NO_ANSWER_STATUS = 502
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
        forwarded_headers: Names of headers forwarded with a call, in lower case.
    """

    name: str
    listener: process.Listener
    rank: process.Listener
    targets: collections.abc.Mapping[tuple[bytes, bytes], bytes]
    forwarded_headers: frozenset[bytes]


class Agent:
    """Forwards calls of entries to the rank on its own machine."""

    def __init__(self, settings: Settings, event_log: eventlog.EventLog) -> None:
        self._settings = settings
        self._event_log = event_log
        self._pool = connections.Pool()
        self._address = connections.Address(settings.rank.host, settings.rank.port)

    def reject(self, rejected: requestparser.Rejected) -> list[heads.Header]:
        """Returns the headers of the answer to an invalid request."""
        return []

    async def handle(self, request: heads.Request, answer: callers.Answer) -> None:
        """Forwards one call to the rank and sends its answer."""
        head = request.head
        target = self._settings.targets.get((head.method, head.target))
        if target is None:
            answer.send(404, [])
            return
        forwarded = tuple(
            header
            for header in head.headers
            if header[0].lower() in self._settings.forwarded_headers
        )
        try:
            reply = await fetching.fetch(
                self._pool,
                self._address,
                head.method,
                target,
                request.body,
                CALL_TIMEOUT_S,
                forwarded,
            )
        except fetching.FetchError as error:
            self._event_log.record(catalogue.RANK_SILENT, detail=str(error))
            answer.send(NO_ANSWER_STATUS if error.sent else 503, [])
            return
        answer.send(reply.status, [], reply.body)


async def run(settings: Settings) -> None:
    """Runs an agent until SIGTERM or SIGINT."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: None)
    event_log = eventlog.EventLog(settings.name)
    agent = Agent(settings, event_log)
    open_connections: set[callers.CallerConnection] = set()
    await loop.create_server(
        lambda: callers.CallerConnection(
            agent, lambda: LIMITS, open_connections, stop.is_set
        ),
        settings.listener.host,
        settings.listener.port,
    )
    event_log.record(
        catalogue.DAEMON_STARTED,
        listener=str(settings.listener),
        rank=str(settings.rank),
    )
    await stop.wait()
    event_log.record(catalogue.DAEMON_STOPPED, detail="planned stop")
