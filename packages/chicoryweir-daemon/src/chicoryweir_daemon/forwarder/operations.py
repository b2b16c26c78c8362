"""Serves HTTP requests about the entry itself.

The platform reads the readiness and the metrics, callers resolve the addresses of
entries, and other entries read the configuration and the endpoints.
"""

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

Responder = collections.abc.Callable[[heads.RequestHead, callers.Answer], None]


class OperationsFormat(typing.Protocol):
    """Platform-specific paths and bodies of requests about an entry."""

    @property
    def readiness_path(self) -> bytes:
        """Path of the readiness check."""

    @property
    def resolution_path(self) -> bytes:
        """Path at which callers resolve addresses."""

    def read_data_centre(self, query: dict[str, str]) -> str:
        """Parses the data centre of a caller that resolves addresses."""

    def write_addresses(self, addresses: tuple[str, ...], ttl_s: float) -> bytes:
        """Encodes addresses that callers cache for `ttl_s` seconds."""


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
    """Serves readiness, addresses, metrics, the configuration and the endpoints."""

    def __init__(
        self,
        fleet: fleets.Fleet,
        metrics: metrics_registry.MetricsRegistry,
        operations_format: OperationsFormat,
    ) -> None:
        self._fleet = fleet
        self._metrics = metrics
        self._operations_format = operations_format
        self._routes: dict[bytes, Responder] = {
            operations_format.readiness_path: self._send_readiness,
            operations_format.resolution_path: self._send_addresses,
            METRICS_PATH: self._send_metrics,
            CONFIGURATION_PATH: self._send_configuration,
            ENDPOINTS_PATH: self._send_endpoints,
        }

    def reject(self, rejected: requestparser.Rejected) -> list[heads.Header]:
        """Returns the headers for the answer to a malformed request."""
        return []

    async def handle(self, request: heads.Request, answer: callers.Answer) -> None:
        """Handles one request."""
        respond = self._routes.get(request.head.path)
        if respond is None:
            answer.send(404, [])
            return
        respond(request.head, answer)

    def _send_readiness(self, head: heads.RequestHead, answer: callers.Answer) -> None:
        answer.send(200 if self._fleet.is_ready else 503, [])

    def _send_addresses(self, head: heads.RequestHead, answer: callers.Answer) -> None:
        settings = self._fleet.settings
        query = dict(urllib.parse.parse_qsl(head.query.decode("latin-1")))
        own = None
        if not self._fleet.stopping:
            own = resolving.EntryAddress(
                settings.name, str(settings.callers), settings.data_centre
            )
        alive = self._fleet.peers.list_alive(self._fleet.clock.read())
        data_centre = self._operations_format.read_data_centre(query)
        addresses = resolving.list_addresses(alive, own, data_centre)
        if not addresses:
            answer.send(503, [])
            return
        ttl_s = min(resolving.ANSWER_TTL_S, settings.bounds.max_ttl_s)
        answer.send(
            200, [_JSON], self._operations_format.write_addresses(addresses, ttl_s)
        )

    def _send_metrics(self, head: heads.RequestHead, answer: callers.Answer) -> None:
        answer.send(200, [_TEXT], self._metrics.render())

    def _send_endpoints(self, head: heads.RequestHead, answer: callers.Answer) -> None:
        if not self._fleet.endpoints_listed:
            answer.send(404, [])
            return
        registered = self._fleet.endpoints.list_all()
        answer.send(200, [_JSON], msgspec.json.encode(registered))

    def _send_configuration(
        self, head: heads.RequestHead, answer: callers.Answer
    ) -> None:
        if not self._fleet.configuration_data:
            answer.send(404, [])
            return
        answer.send(200, [_BYTES], self._fleet.configuration_data)
