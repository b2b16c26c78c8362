"""HTTP client of the platform's weight store."""

from __future__ import annotations

import urllib.parse

import httpx

from chicoryweir_platform import bounded_http
from chicoryweir_platform import protocols
from chicoryweir_policy import store

_DEFAULT_RETRY_AFTER_S = 1.0


class HttpWeightStore:
    """Fetches weights through the platform's HTTP API."""

    def __init__(self, client: httpx.AsyncClient) -> None:
        """Creates a client; the base URL of `client` must be the platform's."""
        self._client = client

    async def fetch(self, name: str, size_bytes: int) -> protocols.FetchResult:
        """Fetches weights; returns once the rate limiter has released them."""
        path = f"/weights/{urllib.parse.quote(name, safe='')}/fetch"
        try:
            reply = await bounded_http.request(
                self._client, "POST", path, json={"bytes": size_bytes}
            )
        except httpx.HTTPError as error:
            return store.Refused(f"{path}: {error!r}")
        if reply.status_code == 200:
            return protocols.Fetched(name, size_bytes)
        if reply.status_code == 429:
            return protocols.Throttled(name, _parse_retry_after(reply))
        return store.Refused(f"{path}: status {reply.status_code}")


def create_weight_store(platform_url: str, timeout_s: float = 60.0) -> HttpWeightStore:
    """Creates a client of the weight store of the platform at `platform_url`."""
    timeout = httpx.Timeout(timeout_s)
    return HttpWeightStore(httpx.AsyncClient(base_url=platform_url, timeout=timeout))


def _parse_retry_after(reply: httpx.Response) -> float:
    try:
        return float(reply.headers["Retry-After"])
    except (KeyError, ValueError):
        return _DEFAULT_RETRY_AFTER_S
