"""HTTP clients for many concurrent requests."""

from __future__ import annotations

import contextlib
import itertools
import ssl

import httpx

_CLIENT_COUNT = 64
_CONNECT_TIMEOUT_S = 2.0
_READ_TIMEOUT_S = 60.0


class ClientPool:
    """Distributes requests over clients.

    The work of one client's connection pool grows with the square of its
    connections, so a single client couldn't keep up with a flood.
    """

    def __init__(self, stack: contextlib.AsyncExitStack) -> None:
        """Creates the clients; the stack closes them."""
        context = ssl.create_default_context()
        timeout = httpx.Timeout(_READ_TIMEOUT_S, connect=_CONNECT_TIMEOUT_S)
        limits = httpx.Limits(max_connections=None, max_keepalive_connections=4)
        clients = []
        for _ in range(_CLIENT_COUNT):
            client = httpx.AsyncClient(verify=context, timeout=timeout, limits=limits)
            stack.push_async_callback(client.aclose)
            clients.append(client)
        self._clients = itertools.cycle(clients)

    def get_next(self) -> httpx.AsyncClient:
        """Returns the next client."""
        return next(self._clients)
