"""HTTP client of the platform's instance list."""

from __future__ import annotations

import httpx

from chicoryweir_platform import bounded_http
from chicoryweir_platform import decoding
from chicoryweir_policy import store
from chicoryweir_policy.membership import instances


class HttpInstanceList:
    """Fetches the instance list from the platform's HTTP API."""

    def __init__(self, client: httpx.AsyncClient) -> None:
        """Creates a client; the base URL of `client` must be the platform's."""
        self._client = client

    async def list_instances(
        self,
    ) -> tuple[instances.Instance, ...] | store.Refused:
        """Fetches the list; returns `Refused` with the reason on any failure."""
        try:
            reply = await bounded_http.request(self._client, "GET", "/instances")
            if reply.status_code != 200:
                return store.Refused(f"/instances: status {reply.status_code}")
            return decoding.decode_instances(reply.json())
        except (httpx.HTTPError, ValueError) as error:
            return store.Refused(f"/instances: {error!r}")


def create_instance_list(platform_url: str, timeout_s: float = 2.0) -> HttpInstanceList:
    """Creates a client of the instance list of the platform at `platform_url`."""
    timeout = httpx.Timeout(timeout_s)
    return HttpInstanceList(httpx.AsyncClient(base_url=platform_url, timeout=timeout))
