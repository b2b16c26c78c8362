"""Looks up the addresses of entries, as a caller does."""

from __future__ import annotations

import dataclasses

import httpx


@dataclasses.dataclass(frozen=True, slots=True)
class LookupResult:
    """Base URLs of entries, valid until `expires_at` (monotonic seconds)."""

    urls: tuple[str, ...]
    expires_at: float


class AddressCache:
    """Caches the result of the lookup for its time to live."""

    def __init__(
        self, client: httpx.AsyncClient, seeds: tuple[str, ...], service: str
    ) -> None:
        """Creates an empty cache.

        A lookup queries the entries found last and then the seed entries, in turn; it
        returns the seed entries if none answers.
        """
        self._client = client
        self._seeds = seeds
        self._service = service
        self._result = LookupResult(seeds, 0.0)

    async def list_urls(self, now: float) -> tuple[str, ...]:
        """Returns the base URLs of the entries, nearest first."""
        if now >= self._result.expires_at:
            self._result = await self._look_up(now)
        return self._result.urls

    async def _look_up(self, now: float) -> LookupResult:
        for seed in (*self._result.urls, *self._seeds):
            try:
                reply = await self._client.get(
                    f"{seed}/v1/addresses", params={"service": self._service}
                )
                reply.raise_for_status()
                answer = reply.json()
            except (httpx.HTTPError, ValueError):
                continue
            urls = tuple(f"http://{a['ip']}:{a['port']}" for a in answer["addresses"])
            if urls:
                return LookupResult(urls, now + answer["ttl_ms"] / 1e3)
        return LookupResult(self._seeds, now + 1.0)
