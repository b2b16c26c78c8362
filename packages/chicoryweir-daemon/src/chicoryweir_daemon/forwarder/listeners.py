"""Opens and closes the listeners of a forwarding process."""

from __future__ import annotations

import asyncio
import collections.abc
import dataclasses

from chicoryweir_daemon.forwarder import eventlog
from chicoryweir_daemon.forwarder import ingress as ingresses
from chicoryweir_daemon.forwarder import operations
from chicoryweir_daemon.forwarder import process
from chicoryweir_daemon.http1 import callers
from chicoryweir_daemon.http1 import memory
from chicoryweir_daemon.lifecycle import descriptors
from chicoryweir_daemon.lifecycle import startup
from chicoryweir_policy import catalogue

# Maximum number of connections that wait to be accepted. If the queue is full, a caller
# is delayed by 1 s.
BACKLOG = 1024
# Shares of the descriptors that connections of callers, and those for readiness,
# addresses, metrics and other entries, may use. Endpoints get the rest.
CALLER_DESCRIPTOR_SHARE = 0.6
OPERATIONS_DESCRIPTOR_SHARE = 0.1


class Listeners:
    """Listeners of a process, and the connections that they accepted.

    Attributes:
        caller_connections: Open connections of callers.
    """

    def __init__(
        self,
        account: memory.Account,
        is_stopping: collections.abc.Callable[[], bool],
        stop: asyncio.Event,
        event_log: eventlog.EventLog,
    ) -> None:
        self._account = account
        self._is_stopping = is_stopping
        self._stop = stop
        self._event_log = event_log
        self._operations_connections: set[callers.CallerConnection] = set()
        self._servers: list[asyncio.Server] = []
        self.caller_connections: set[callers.CallerConnection] = set()

    async def open(
        self,
        settings: process.Settings,
        open_peer_socket: collections.abc.Callable[[], collections.abc.Awaitable[None]],
        ingress: ingresses.Ingress,
        operations_handler: operations.OperationsHandler,
    ) -> bool:
        """Opens all listeners; returns False if a stop is requested before that.

        Args:
            settings: Hosts and ports.
            open_peer_socket: Opens the socket for announcements of other entries.
            ingress: Handler of the callers' requests.
            operations_handler: Handler of requests for readiness, addresses, metrics
                and by other entries.
        """
        peer_listener = process.Listener(settings.host, settings.peer_port)
        opened = await self._open(open_peer_socket, peer_listener)
        # The address is handed out as soon as the others are open.
        opened = opened and await self._serve(
            settings.callers,
            ingress,
            ingress.get_limits,
            self.caller_connections,
            CALLER_DESCRIPTOR_SHARE,
        )
        opened = opened and await self._serve_operations(
            settings, peer_listener, operations_handler
        )
        if opened:
            self._event_log.record(
                catalogue.DAEMON_STARTED, callers=str(settings.callers)
            )
        return opened

    def close_idle_connections(self) -> None:
        """Closes the connections of callers that have no request open."""
        for connection in list(self.caller_connections):
            if connection.is_idle:
                connection.close_after_answer()

    def close(self) -> None:
        """Closes the listeners; their open connections stay open."""
        for server in self._servers:
            server.close()

    async def _serve_operations(
        self,
        settings: process.Settings,
        peer_listener: process.Listener,
        handler: operations.OperationsHandler,
    ) -> bool:
        limits = dataclasses.replace(operations.LIMITS, received=settings.received)
        metrics_listener = process.Listener(settings.host, settings.metrics_port)
        candidates = (
            settings.readiness,
            settings.resolution,
            peer_listener,
            metrics_listener,
        )
        opened = True
        for listener in {
            candidate for candidate in candidates if candidate is not None
        }:
            opened = opened and await self._serve(
                listener,
                handler,
                lambda: limits,
                self._operations_connections,
                OPERATIONS_DESCRIPTOR_SHARE,
            )
        return opened

    async def _serve(
        self,
        listener: process.Listener,
        handler: callers.Handler,
        get_limits: collections.abc.Callable[[], callers.ServerLimits],
        open_connections: set[callers.CallerConnection],
        descriptor_share: float,
    ) -> bool:
        gate = descriptors.create_gate(descriptor_share, self._event_log)
        loop = asyncio.get_running_loop()

        async def open_server() -> None:
            server = await loop.create_server(
                lambda: callers.CallerConnection(
                    handler,
                    get_limits,
                    open_connections,
                    self._is_stopping,
                    gate.admit,
                    self._account,
                ),
                listener.host,
                listener.port,
                backlog=BACKLOG,
            )
            self._servers.append(server)

        return await self._open(open_server, listener)

    async def _open(
        self,
        open_socket: collections.abc.Callable[[], collections.abc.Awaitable[None]],
        listener: process.Listener,
    ) -> bool:
        return await startup.open_listener(
            open_socket, str(listener), self._stop, self._event_log
        )
