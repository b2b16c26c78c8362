"""HTTP client that calls the ranks of a group, through their agents if possible."""

from __future__ import annotations

import collections.abc
import dataclasses
import math
import typing
import zlib

from chicoryweir_daemon.forwarder import digestformat
from chicoryweir_daemon.forwarder import eventlog
from chicoryweir_daemon.forwarder import fetching
from chicoryweir_daemon.forwarder import interfaces
from chicoryweir_daemon.http1 import connections
from chicoryweir_daemon.http1 import heads
from chicoryweir_policy import catalogue
from chicoryweir_policy.forwarding import endpoints
from chicoryweir_policy.rankmaps import digests
from chicoryweir_policy.rankmaps import orders

# A rank answers within a few ms. It may still execute an order after the timeout.
CALL_TIMEOUT_S = 0.3
# Delay before an agent is called again after a failed call.
AGENT_RETRY_S = 2.0
# Assumed age of a report that a rank sent to another machine; such reports are several
# hundred ms old.
REMOTE_LAG_S = 0.25
# Status codes of an agent's own answers: the rank did not answer a call that was sent
# to it, or the call could not be sent.
NO_ANSWER_STATUS = 502
NOT_SENT_STATUS = 503
# Size above which the body of an order is compressed for the agent. The link of an
# agent's machine is slow, and the map of a large group is sent to each rank.
MIN_COMPRESSED_BYTES = 1024
COMPRESSION_HEADER = (b"Content-Encoding", b"deflate")


_Decoded = typing.TypeVar("_Decoded")


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """Method and paths of one kind of HTTP call to a rank.

    Attributes:
        method: HTTP method.
        agent_target: Path on the agent.
        rank_target: Path and query on the rank; empty if only an agent answers it.
    """

    method: bytes
    agent_target: bytes
    rank_target: bytes


class RankCodec(typing.Protocol):
    """Encodes calls to ranks and decodes their answers."""

    @property
    def report_call(self) -> Call:
        """Call that reads a rank's report."""

    @property
    def experts_call(self) -> Call:
        """Call that reads the current expert map."""

    @property
    def order_call(self) -> Call:
        """Call that sends an order."""

    def decode_report(self, body: bytes, lag_s: float) -> orders.Report:
        """Decodes a report.

        Args:
            body: Body of the answer.
            lag_s: Age of the report when it arrived, in seconds.

        Raises:
            ValueError: The body is not a valid report.
        """

    def decode_experts(self, body: bytes) -> tuple[int, tuple[tuple[int, ...], ...]]:
        """Decodes the map version and the rank's experts in each layer set.

        Raises:
            ValueError: The body is not valid.
        """

    def encode_order(
        self, order: orders.Order, instance: str
    ) -> tuple[bytes, tuple[heads.Header, ...]]:
        """Encodes an order to an instance; returns its body and headers."""

    def decode_status(self, status: int) -> orders.Result:
        """Returns the result of an order from the status code of its answer."""


class HttpRankClient:
    """Calls ranks over HTTP.

    An agent on the rank's machine gets fresh answers at no cost to the group. For
    `AGENT_RETRY_S` after a failed call to the agent, the rank is called directly. Its
    counts aren't read then, since they are expensive to read from another machine.
    """

    def __init__(
        self,
        pool: connections.Pool,
        codec: RankCodec,
        agent_port: int,
        clock: interfaces.Clock,
        event_log: eventlog.EventLog,
    ) -> None:
        self._pool = pool
        self._codec = codec
        self._agent_port = agent_port
        self._clock = clock
        self._event_log = event_log
        self._agent_retry_at: dict[str, float] = {}
        # When the latest call to an agent was made that was answered, by host.
        self._answered_since: dict[str, float] = {}
        self._compressed: tuple[bytes, bytes] = (b"", b"")
        # Agents of earlier releases send no digests and can't decompress orders.
        self._hosts_with_digests: set[str] = set()

    async def read_report(self, endpoint: endpoints.Endpoint) -> orders.Report | None:
        """Reads a rank's report; returns None if the call fails."""
        lag_s = 0.0 if self._uses_agent(endpoint) else REMOTE_LAG_S
        return await self._query(
            endpoint,
            self._codec.report_call,
            lambda body: self._codec.decode_report(body, lag_s),
        )

    async def read_digest(
        self, endpoint: endpoints.Endpoint, after: int
    ) -> digests.Digest | None:
        """Reads the selections at a rank since an earlier digest of its agent.

        Returns None if the call fails or no agent is available.
        """
        if not self._uses_agent(endpoint):
            return None
        target = digestformat.encode_target(after)
        digest = await self._query(
            endpoint, Call(b"GET", target, b""), digestformat.decode
        )
        if digest is not None:
            self._hosts_with_digests.add(endpoint.host)
        return digest

    async def read_experts(
        self, endpoint: endpoints.Endpoint
    ) -> tuple[int, tuple[tuple[int, ...], ...]] | None:
        """Reads a rank's map version and its experts in each layer set.

        Returns None if the call fails.
        """
        return await self._query(
            endpoint, self._codec.experts_call, self._codec.decode_experts
        )

    async def send_order(
        self, endpoint: endpoints.Endpoint, order: orders.Order
    ) -> orders.Result:
        """Sends an order to a rank through its agent.

        Calls the rank directly if the agent did not send it the order.
        """
        body, headers = self._codec.encode_order(order, endpoint.instance)
        call = self._codec.order_call
        try:
            reply = await self._call(endpoint, call, body, headers)
            if reply.status == NOT_SENT_STATUS and self._uses_agent(endpoint):
                reply = await self._call_rank(endpoint, call, body, headers)
        except fetching.FetchError as error:
            self._log_silent(endpoint, str(error))
            return orders.Result.LOST if error.sent else orders.Result.REFUSED
        if reply.status == NO_ANSWER_STATUS:
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
        sent, sent_headers = body, headers
        is_large = len(body) >= MIN_COMPRESSED_BYTES
        if is_large and endpoint.host in self._hosts_with_digests:
            sent, sent_headers = self._compress(body), (*headers, COMPRESSION_HEADER)
        made_at = self._clock.read()
        try:
            reply = await self._fetch(
                agent, call.method, call.agent_target, sent, sent_headers
            )
        except fetching.FetchError as error:
            # A call made before one that was answered shows nothing of the present.
            if made_at >= self._answered_since.get(endpoint.host, -math.inf):
                self._agent_retry_at[endpoint.host] = self._clock.read() + AGENT_RETRY_S
            if error.sent or not call.rank_target:
                raise
            self._log_silent(endpoint, f"its agent: {error}")
        else:
            before = self._answered_since.get(endpoint.host, -math.inf)
            self._answered_since[endpoint.host] = max(before, made_at)
            return reply
        return await self._call_rank(endpoint, call, body, headers)

    def _compress(self, body: bytes) -> bytes:
        """Compresses a body; all ranks of a group get the same one after another."""
        if self._compressed[0] != body:
            self._compressed = body, zlib.compress(body, 1)
        return self._compressed[1]

    def _log_silent(self, endpoint: endpoints.Endpoint, detail: str) -> None:
        self._event_log.record(
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
            self._pool,
            address,
            method,
            target,
            body,
            CALL_TIMEOUT_S,
            headers,
            fetching.MAX_RANK_REPLY_BYTES,
        )

    def _uses_agent(self, endpoint: endpoints.Endpoint) -> bool:
        return self._agent_retry_at.get(endpoint.host, 0.0) <= self._clock.read()
