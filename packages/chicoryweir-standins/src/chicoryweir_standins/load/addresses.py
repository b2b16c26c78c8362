"""Looks up which entries to use, as a caller does."""

from __future__ import annotations

import dataclasses

import httpx


@dataclasses.dataclass(frozen=True, slots=True)
class LookupResult:
    """The entries to use until `expires_at` (monotonic seconds)."""

    urls: tuple[str, ...]
    expires_at: float


class AddressCache:
    """Keeps the answer of the lookup for its time to live."""

    def __init__(
        self, client: httpx.AsyncClient, seeds: tuple[str, ...], service: str
    ) -> None:
        """Asks the seed entries in turn; falls back on them when none answers."""
        self._client = client
        self._seeds = seeds
        self._service = service
        self._lookup = LookupResult(seeds, 0.0)

    async def list_urls(self, now: float) -> tuple[str, ...]:
        """Returns the base URLs of the entries, nearest first."""
        if now >= self._lookup.expires_at:
            self._lookup = await self._ask(now)
        return self._lookup.urls

    async def _ask(self, now: float) -> LookupResult:
        for seed in (*self._lookup.urls, *self._seeds):
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
