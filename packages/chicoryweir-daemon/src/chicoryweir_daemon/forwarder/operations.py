"""Answers to the platform and to callers about the entry itself."""

from __future__ import annotations

import collections.abc
import typing
import urllib.parse

import msgspec

from chicoryweir_daemon.forwarder import fleet as fleets
from chicoryweir_daemon.forwarder import metrics_registry
from chicoryweir_daemon.http1 import callers
from chicoryweir_daemon.http1 import heads
from chicoryweir_daemon.http1 import requestparser
from chicoryweir_policy.forwarding import resolving

Respond = collections.abc.Callable[[heads.RequestHead, callers.Answer], None]


class OperationsFormat(typing.Protocol):
    """Paths and bodies of the questions about an entry."""

    @property
    def readiness_path(self) -> bytes:
        """Path at which readiness is asked."""

    @property
    def resolution_path(self) -> bytes:
        """Path at which callers ask for addresses."""

    def read_data_centre(self, query: dict[str, str]) -> str:
        """Returns the data centre of a caller that asks for addresses."""

    def write_addresses(self, addresses: tuple[str, ...], ttl_s: float) -> bytes:
        """Returns the body with addresses that are kept for `ttl_s` seconds."""


METRICS_PATH = b"/metrics"
CONFIGURATION_PATH = b"/configuration"
ENDPOINTS_PATH = b"/endpoints"
_JSON = (b"Content-Type", b"application/json")
_TEXT = (b"Content-Type", b"text/plain; version=0.0.4")
_BYTES = (b"Content-Type", b"application/octet-stream")
LIMITS = callers.ServerLimits(
    max_head_bytes=16_384,
    max_body_bytes=65_536,
    head_timeout_s=3.0,
    idle_timeout_s=30.0,
)


class OperationsHandler:
    """Readiness, addresses, metrics, and the configuration for other entries."""

    def __init__(
        self,
        fleet: fleets.Fleet,
        metrics: metrics_registry.MetricsRegistry,
        operations_format: OperationsFormat,
    ) -> None:
        self._fleet = fleet
        self._metrics = metrics
        self._operations_format = operations_format
        self._routes: dict[bytes, Respond] = {
            operations_format.readiness_path: self._tell_readiness,
            operations_format.resolution_path: self._tell_addresses,
            METRICS_PATH: self._tell_metrics,
            CONFIGURATION_PATH: self._tell_configuration,
            ENDPOINTS_PATH: self._tell_endpoints,
        }

    def reject(self, rejected: requestparser.Rejected) -> list[heads.Header]:
        """Takes what is no valid request; returns headers of its answer."""
        return []

    async def handle(self, request: heads.Request, answer: callers.Answer) -> None:
        """Answers one question."""
        respond = self._routes.get(request.head.path)
        if respond is None:
            answer.send(404, [])
            return
        respond(request.head, answer)

    def _tell_readiness(self, head: heads.RequestHead, answer: callers.Answer) -> None:
        answer.send(200 if self._fleet.is_ready else 503, [])

    def _tell_addresses(self, head: heads.RequestHead, answer: callers.Answer) -> None:
        settings = self._fleet.settings
        query = dict(urllib.parse.parse_qsl(head.query.decode("latin-1")))
        known = [
            resolving.EntryAddress(peer.name, peer.address, peer.data_centre)
            for peer in self._fleet.peers.list_alive(self._fleet.clock.read())
            if peer.ready
        ]
        if not self._fleet.stopping:
            own = resolving.EntryAddress(
                settings.name, str(settings.callers), settings.data_centre
            )
            known.append(own)
        data_centre = self._operations_format.read_data_centre(query)
        addresses = resolving.select_addresses(known, data_centre)
        if not addresses:
            answer.send(503, [])
            return
        ttl_s = min(resolving.ANSWER_TTL_S, settings.bounds.max_ttl_s)
        answer.send(
            200, [_JSON], self._operations_format.write_addresses(addresses, ttl_s)
        )

    def _tell_metrics(self, head: heads.RequestHead, answer: callers.Answer) -> None:
        answer.send(200, [_TEXT], self._metrics.render())

    def _tell_endpoints(self, head: heads.RequestHead, answer: callers.Answer) -> None:
        if not self._fleet.endpoints_listed:
            answer.send(404, [])
            return
        listed = self._fleet.endpoints.list_all()
        answer.send(200, [_JSON], msgspec.json.encode(listed))

    def _tell_configuration(
        self, head: heads.RequestHead, answer: callers.Answer
    ) -> None:
        if not self._fleet.configuration_data:
            answer.send(404, [])
            return
        answer.send(200, [_BYTES], self._fleet.configuration_data)
