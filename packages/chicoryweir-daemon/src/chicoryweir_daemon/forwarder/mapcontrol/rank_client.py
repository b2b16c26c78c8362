"""Speaks to the ranks of a group, through the agents beside them where they live."""

from __future__ import annotations

import collections.abc
import dataclasses
import typing

from chicoryweir_daemon.forwarder import fetching
from chicoryweir_daemon.forwarder import journal as journals
from chicoryweir_daemon.forwarder import seams
from chicoryweir_daemon.http1 import connections
from chicoryweir_daemon.http1 import heads
from chicoryweir_policy import catalogue
from chicoryweir_policy.forwarding import endpoints
from chicoryweir_policy.rankmaps import orders

# A rank answers in some ms; an order without an answer may be carried out later.
CALL_TIMEOUT_S = 0.3
# An agent that did not answer is left alone for this time, in seconds.
AGENT_RETRY_S = 2.0
# Reports from another machine are some hundred ms old, in seconds.
REMOTE_LAG_S = 0.25
# Statuses of an agent whose rank gave no answer, and whose call was not sent.
AGENT_LOST = 502
AGENT_NOT_SENT = 503


_Decoded = typing.TypeVar("_Decoded")


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A call to a rank.

    Attributes:
        method: HTTP method.
        agent_target: Path at the agent.
        rank_target: Path and query at the rank.
    """

    method: bytes
    agent_target: bytes
    rank_target: bytes


class RankCodec(typing.Protocol):
    """Names and formats of the calls to ranks."""

    @property
    def report(self) -> Call:
        """Call for a report."""

    @property
    def counts(self) -> Call:
        """Call for how often each expert was chosen."""

    @property
    def experts(self) -> Call:
        """Call for the map in force."""

    @property
    def order(self) -> Call:
        """Call that gives an order."""

    def decode_report(self, body: bytes, lag_s: float) -> orders.Report:
        """Returns a report that was `lag_s` seconds old; raises ValueError."""

    def decode_counts(self, body: bytes) -> tuple[int, tuple[int, ...]]:
        """Returns the epoch and the counts; raises ValueError."""

    def decode_experts(self, body: bytes) -> tuple[int, tuple[tuple[int, ...], ...]]:
        """Returns the version and the experts by set; raises ValueError."""

    def encode_order(
        self, order: orders.Order, instance: str
    ) -> tuple[bytes, tuple[heads.Header, ...]]:
        """Returns the body and the headers of an order."""

    def decode_status(self, status: int) -> orders.Result:
        """Returns what the status of an answer to an order means."""


class HttpRankClient:
    """Calls ranks.

    An agent gets fresh answers that cost nothing. A rank is called from afar while its
    agent is silent, but for its counts, which are dear then.
    """

    def __init__(
        self,
        pool: connections.Pool,
        codec: RankCodec,
        agent_port: int,
        clock: seams.Clock,
        journal: journals.Journal,
    ) -> None:
        self._pool = pool
        self._codec = codec
        self._agent_port = agent_port
        self._clock = clock
        self._journal = journal
        self._agent_retry_at: dict[str, float] = {}

    async def report(self, endpoint: endpoints.Endpoint) -> orders.Report | None:
        """Asks a rank for its report; None when it gave none."""
        lag_s = 0.0 if self._uses_agent(endpoint) else REMOTE_LAG_S
        return await self._query(
            endpoint,
            self._codec.report,
            lambda body: self._codec.decode_report(body, lag_s),
        )

    async def count(
        self, endpoint: endpoints.Endpoint
    ) -> tuple[int, tuple[int, ...]] | None:
        """Returns a rank's epoch and how often its requests chose each expert."""
        if not self._uses_agent(endpoint):
            return None
        return await self._query(
            endpoint, self._codec.counts, self._codec.decode_counts
        )

    async def list_experts(
        self, endpoint: endpoints.Endpoint
    ) -> tuple[int, tuple[tuple[int, ...], ...]] | None:
        """Returns the version of the map at a rank and its experts by set."""
        return await self._query(
            endpoint, self._codec.experts, self._codec.decode_experts
        )

    async def order(
        self, endpoint: endpoints.Endpoint, order: orders.Order
    ) -> orders.Result:
        """Gives a rank an order; through the agent, or straight if nothing was sent."""
        body, fields = self._codec.encode_order(order, endpoint.instance)
        call = self._codec.order
        try:
            reply = await self._call(endpoint, call, body, fields)
            if reply.status == AGENT_NOT_SENT and self._uses_agent(endpoint):
                reply = await self._call_rank(endpoint, call, body, fields)
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
        fields: tuple[heads.Header, ...] = (),
    ) -> fetching.Reply:
        if not self._uses_agent(endpoint):
            return await self._call_rank(endpoint, call, body, fields)
        agent = connections.Address(endpoint.host, self._agent_port)
        try:
            return await self._fetch(
                agent, call.method, call.agent_target, body, fields
            )
        except fetching.FetchError as error:
            self._agent_retry_at[endpoint.host] = self._clock.read() + AGENT_RETRY_S
            if error.sent:
                raise
            self._log_silent(endpoint, f"its agent: {error}")
        return await self._call_rank(endpoint, call, body, fields)

    def _log_silent(self, endpoint: endpoints.Endpoint, detail: str) -> None:
        self._journal.record(
            catalogue.RANK_SILENT, peer=endpoint.instance, detail=detail
        )

    async def _call_rank(
        self,
        endpoint: endpoints.Endpoint,
        call: Call,
        body: bytes,
        fields: tuple[heads.Header, ...],
    ) -> fetching.Reply:
        rank = connections.Address(endpoint.host, endpoint.port, endpoint.instance)
        return await self._fetch(rank, call.method, call.rank_target, body, fields)

    async def _fetch(
        self,
        address: connections.Address,
        method: bytes,
        target: bytes,
        body: bytes,
        fields: tuple[heads.Header, ...],
    ) -> fetching.Reply:
        return await fetching.fetch(
            self._pool, address, method, target, body, CALL_TIMEOUT_S, fields
        )

    def _uses_agent(self, endpoint: endpoints.Endpoint) -> bool:
        return self._agent_retry_at.get(endpoint.host, 0.0) <= self._clock.read()
