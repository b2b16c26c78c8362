"""Client for the ranks of a group, which calls through their agents if possible."""

from __future__ import annotations

import collections.abc
import dataclasses
import typing

from chicoryweir_daemon.forwarder import eventlog
from chicoryweir_daemon.forwarder import fetching
from chicoryweir_daemon.forwarder import interfaces
from chicoryweir_daemon.http1 import connections
from chicoryweir_daemon.http1 import heads
from chicoryweir_policy import catalogue
from chicoryweir_policy.forwarding import endpoints
from chicoryweir_policy.rankmaps import orders

# A rank answers within some ms. An order that times out may still be executed later.
CALL_TIMEOUT_S = 0.3
# Time before an agent that did not answer is called again.
AGENT_RETRY_S = 2.0
# Age of a rank's report to a caller on another machine, in seconds; some 100 ms.
REMOTE_LAG_S = 0.25
# Status codes of an agent: the rank did not answer; the call was not sent to it.
AGENT_LOST = 502
AGENT_NOT_SENT = 503


_Decoded = typing.TypeVar("_Decoded")


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """HTTP call to a rank.

    Attributes:
        method: HTTP method.
        agent_target: Path on the agent.
        rank_target: Path and query on the rank.
    """

    method: bytes
    agent_target: bytes
    rank_target: bytes


class RankCodec(typing.Protocol):
    """Encodes calls to ranks and decodes their answers."""

    @property
    def report(self) -> Call:
        """Call for a report."""

    @property
    def counts(self) -> Call:
        """Call for the selection count of each expert."""

    @property
    def experts(self) -> Call:
        """Call for the expert map in force."""

    @property
    def order(self) -> Call:
        """Call that sends an order."""

    def decode_report(self, body: bytes, lag_s: float) -> orders.Report:
        """Decodes a report that was `lag_s` seconds old on arrival.

        Raises:
            ValueError: The body is not a valid report.
        """

    def decode_counts(self, body: bytes) -> tuple[int, tuple[int, ...]]:
        """Returns the epoch and the selection count of each expert.

        Raises:
            ValueError: The body is not valid.
        """

    def decode_experts(self, body: bytes) -> tuple[int, tuple[tuple[int, ...], ...]]:
        """Returns the map's version and the rank's experts by set.

        Raises:
            ValueError: The body is not valid.
        """

    def encode_order(
        self, order: orders.Order, instance: str
    ) -> tuple[bytes, tuple[heads.Header, ...]]:
        """Returns the body and the headers of an order to an instance."""

    def decode_status(self, status: int) -> orders.Result:
        """Returns the result of an order from the status code of its answer."""


class HttpRankClient:
    """Calls ranks over HTTP.

    An agent on the rank's machine gets fresh answers at no cost to the group. While the
    agent does not answer, the rank is called directly, except for its counts, which are
    expensive to read from another machine.
    """

    def __init__(
        self,
        pool: connections.Pool,
        codec: RankCodec,
        agent_port: int,
        clock: interfaces.Clock,
        journal: eventlog.EventLog,
    ) -> None:
        self._pool = pool
        self._codec = codec
        self._agent_port = agent_port
        self._clock = clock
        self._journal = journal
        self._agent_retry_at: dict[str, float] = {}

    async def report(self, endpoint: endpoints.Endpoint) -> orders.Report | None:
        """Requests a rank's report; returns None if the request fails."""
        lag_s = 0.0 if self._uses_agent(endpoint) else REMOTE_LAG_S
        return await self._query(
            endpoint,
            self._codec.report,
            lambda body: self._codec.decode_report(body, lag_s),
        )

    async def count(
        self, endpoint: endpoints.Endpoint
    ) -> tuple[int, tuple[int, ...]] | None:
        """Returns a rank's epoch and its selection count of each expert, or None."""
        if not self._uses_agent(endpoint):
            return None
        return await self._query(
            endpoint, self._codec.counts, self._codec.decode_counts
        )

    async def list_experts(
        self, endpoint: endpoints.Endpoint
    ) -> tuple[int, tuple[tuple[int, ...], ...]] | None:
        """Returns a rank's map version and its experts by set, or None."""
        return await self._query(
            endpoint, self._codec.experts, self._codec.decode_experts
        )

    async def order(
        self, endpoint: endpoints.Endpoint, order: orders.Order
    ) -> orders.Result:
        """Sends an order to a rank through its agent.

        Calls the rank directly if the order certainly did not reach it through the
        agent.
        """
        body, headers = self._codec.encode_order(order, endpoint.instance)
        call = self._codec.order
        try:
            reply = await self._call(endpoint, call, body, headers)
            if reply.status == AGENT_NOT_SENT and self._uses_agent(endpoint):
                reply = await self._call_rank(endpoint, call, body, headers)
        except fetching.FetchError as error:
            self._log_silent(endpoint, str(error))
            return orders.Result.LOST if error.sent else orders.Result.REFUSED
        if reply.status == AGENT_LOST:
            return orders.Result.LOST
        return self._codec.decode_status(reply.status)

    async def _query(
        self,
        endpoint: endpoints.Endpoint,
        call: Call,
        decode: collections.abc.Callable[[bytes], _Decoded],
    ) -> _Decoded | None:
        detail = ""
        try:
            reply = await self._call(endpoint, call)
            if reply.status == 200:
                return decode(reply.body)
            detail = f"status {reply.status}"
        except (fetching.FetchError, ValueError) as error:
            detail = str(error)
        self._log_silent(endpoint, detail)
        return None

    async def _call(
        self,
        endpoint: endpoints.Endpoint,
        call: Call,
        body: bytes = b"",
        headers: tuple[heads.Header, ...] = (),
    ) -> fetching.Reply:
        if not self._uses_agent(endpoint):
            return await self._call_rank(endpoint, call, body, headers)
        agent = connections.Address(endpoint.host, self._agent_port)
        try:
            return await self._fetch(
                agent, call.method, call.agent_target, body, headers
            )
        except fetching.FetchError as error:
            self._agent_retry_at[endpoint.host] = self._clock.read() + AGENT_RETRY_S
            if error.sent:
                raise
            self._log_silent(endpoint, f"its agent: {error}")
        return await self._call_rank(endpoint, call, body, headers)

    def _log_silent(self, endpoint: endpoints.Endpoint, detail: str) -> None:
        self._journal.record(
            catalogue.RANK_SILENT, peer=endpoint.instance, detail=detail
        )

    async def _call_rank(
        self,
        endpoint: endpoints.Endpoint,
        call: Call,
        body: bytes,
        headers: tuple[heads.Header, ...],
    ) -> fetching.Reply:
        rank = connections.Address(endpoint.host, endpoint.port, endpoint.instance)
        return await self._fetch(rank, call.method, call.rank_target, body, headers)

    async def _fetch(
        self,
        address: connections.Address,
        method: bytes,
        target: bytes,
        body: bytes,
        headers: tuple[heads.Header, ...],
    ) -> fetching.Reply:
        return await fetching.fetch(
            self._pool, address, method, target, body, CALL_TIMEOUT_S, headers
        )

    def _uses_agent(self, endpoint: endpoints.Endpoint) -> bool:
        return self._agent_retry_at.get(endpoint.host, 0.0) <= self._clock.read()
