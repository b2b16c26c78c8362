"""Runs the agent beside a rank.

A rank answers its own machine at once and with fresh values, and anyone else late. The
agent decides nothing: it passes on the few calls that keep the group's expert map even.
"""

from __future__ import annotations

import asyncio
import collections.abc
import dataclasses
import signal

from chicoryweir_daemon.forwarder import fetching
from chicoryweir_daemon.forwarder import journal as journals
from chicoryweir_daemon.forwarder import process
from chicoryweir_daemon.http1 import callers
from chicoryweir_daemon.http1 import connections
from chicoryweir_daemon.http1 import heads
from chicoryweir_daemon.http1 import requestparser
from chicoryweir_policy import catalogue

# A rank answers its own machine in some ms. A lost order is given again at once, while
# the group may be held.
CALL_TIMEOUT_S = 0.12
BAD_GATEWAY = 502
# Orders with a map of the largest groups are some hundred KB.
LIMITS = callers.ServerLimits(
    max_head_bytes=16_384,
    max_body_bytes=4_194_304,
    head_timeout_s=3.0,
    idle_timeout_s=30.0,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of an agent.

    Attributes:
        name: Name of the instance.
        listener: Where entries call it.
        rank: Where the rank listens.
        targets: Path at the rank, by method and path here.
        forwarded_headers: Headers that are passed on with a call, in lower case.
    """

    name: str
    listener: process.Listener
    rank: process.Listener
    targets: collections.abc.Mapping[tuple[bytes, bytes], bytes]
    forwarded_headers: frozenset[bytes]


class Agent:
    """Passes calls of entries on to the rank of its own machine."""

    def __init__(self, settings: Settings, journal: journals.Journal) -> None:
        self._settings = settings
        self._journal = journal
        self._pool = connections.Pool()
        self._address = connections.Address(settings.rank.host, settings.rank.port)

    def reject(self, rejected: requestparser.Rejected) -> list[heads.Header]:
        """Takes what is no valid request; returns headers of its answer."""
        return []

    async def handle(self, request: heads.Request, answer: callers.Answer) -> None:
        """Passes one call on."""
        head = request.head
        target = self._settings.targets.get((head.method, head.target))
        if target is None:
            answer.send(404, [])
            return
        passed = tuple(
            h for h in head.headers if h[0].lower() in self._settings.forwarded_headers
        )
        try:
            reply = await fetching.fetch(
                self._pool,
                self._address,
                head.method,
                target,
                request.body,
                CALL_TIMEOUT_S,
                passed,
            )
        except fetching.FetchError as error:
            self._journal.record(catalogue.RANK_SILENT, detail=str(error))
            answer.send(BAD_GATEWAY if error.sent else 503, [])
            return
        answer.send(reply.status, [], reply.body)


async def run(settings: Settings) -> None:
    """Runs an agent until it is told to stop."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: None)
    journal = journals.Journal(settings.name)
    agent = Agent(settings, journal)
    registry: set[callers.CallerConnection] = set()
    await loop.create_server(
        lambda: callers.CallerConnection(agent, lambda: LIMITS, registry, stop.is_set),
        settings.listener.host,
        settings.listener.port,
    )
    journal.record(
        catalogue.DAEMON_STARTED,
        listener=str(settings.listener),
        rank=str(settings.rank),
    )
    await stop.wait()
    journal.record(catalogue.DAEMON_STOPPED, detail="planned stop")
