"""Reports the runs of an endpoint to the switchboard."""

from __future__ import annotations

import asyncio
import dataclasses
import hashlib
import secrets

import httpx

_RETRY_INTERVAL_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """One run of a request at an endpoint.

    Attributes:
        endpoint: Name of the endpoint.
        key: Idempotency key, or an empty string.
        body_sha256: Digest of the body as the endpoint received it, in hex.
        run_id: Identifier of this run, by which a duplicate report is ignored.
    """

    endpoint: str
    key: str
    body_sha256: str
    run_id: str = dataclasses.field(default_factory=lambda: secrets.token_hex(8))


def compute_body_digest(body: bytes) -> str:
    """Returns the SHA-256 of a body, in hex."""
    return hashlib.sha256(body).hexdigest()


class RunReporter:
    """Sends reports in batches; a caller can await the receipt of each."""

    def __init__(self, switchboard_url: str) -> None:
        """Reports to the switchboard at this URL; an empty one disables reports."""
        self._url = switchboard_url
        self._pending: list[tuple[Run, asyncio.Future[None]]] = []
        self._wake = asyncio.Event()

    def report(self, run: Run) -> asyncio.Future[None]:
        """Queues a run; the future completes once the switchboard has it."""
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        if not self._url:
            done.set_result(None)
            return done
        self._pending.append((run, done))
        self._wake.set()
        return done

    async def send_reports(self) -> None:
        """Sends the queued runs until cancelled."""
        if not self._url:
            return
        async with httpx.AsyncClient(base_url=self._url, timeout=5.0) as client:
            while True:
                await self._wake.wait()
                self._wake.clear()
                batch, self._pending = self._pending, []
                await _post(client, [run for run, _ in batch])
                for _, done in batch:
                    if not done.done():
                        done.set_result(None)


async def _post(client: httpx.AsyncClient, runs: list[Run]) -> None:
    body = {"runs": [dataclasses.asdict(run) for run in runs]}
    while True:
        try:
            (await client.post("/runs", json=body)).raise_for_status()
        except httpx.HTTPError:
            await asyncio.sleep(_RETRY_INTERVAL_S)
        else:
            return
