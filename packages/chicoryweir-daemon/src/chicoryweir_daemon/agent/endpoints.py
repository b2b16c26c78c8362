"""Calls the agent's endpoint, probes its load and polls its cache."""

from __future__ import annotations

import asyncio
import collections.abc
import json
import typing
import urllib.parse

import httpx

from chicoryweir_daemon import configuration
from chicoryweir_daemon.agent import streams
from chicoryweir_daemon.runtime import cores
from chicoryweir_platform import bounded_http
from chicoryweir_policy import requests
from chicoryweir_policy.cores import commands
from chicoryweir_policy.cores import events

CONNECT_TIMEOUT_S = 2.0
PROBE_TIMEOUT_S = 1.0
PROBE_PERIOD_S = 0.25
CACHE_POLL_PERIOD_S = 1.0
IDLE_CONNECTION_TIMEOUT_S = 2.0
CHUNK_BYTES = 64 * 1024
# Maximum size of a document of the engine; its cache events have some 10 KB.
MAX_DOCUMENT_BYTES = 4 << 20
_OK = 200
# Greatest status that HTTP has; an entry can't send others.
MAX_STATUS = 599
_PLAIN_INCARNATION = "plain"


class EndpointTask:
    """Sends attempts to the endpoint and posts the outcomes to the core."""

    def __init__(
        self,
        endpoint: configuration.Endpoint,
        core_task: cores.CoreTask,
        await_room: collections.abc.Callable[[str], collections.abc.Awaitable[None]],
    ) -> None:
        """Initializes the task.

        Args:
            endpoint: The endpoint.
            core_task: Task of the agent's core.
            await_room: Waits while much is queued on the link of a session.
        """
        self._await_room = await_room
        self._endpoint = endpoint
        self._core_task = core_task
        self._calls: dict[str, asyncio.Task[None]] = {}
        self._client = httpx.AsyncClient(
            base_url=endpoint.url,
            timeout=httpx.Timeout(None, connect=CONNECT_TIMEOUT_S),
            limits=httpx.Limits(
                max_connections=None, keepalive_expiry=IDLE_CONNECTION_TIMEOUT_S
            ),
            headers={"Accept-Encoding": "identity"},
            trust_env=False,
        )
        self._incarnation = ""
        core_task.set_handler(commands.CallEndpoint, self._start)
        core_task.set_handler(commands.CancelCall, self._cancel)

    async def close(self) -> None:
        """Cancels all calls and closes the connections."""
        for task in list(self._calls.values()):
            task.cancel()
        await self._client.aclose()

    async def run_probes(self) -> typing.NoReturn:
        """Probes the endpoint every `PROBE_PERIOD_S`."""
        while True:
            self._core_task.post(await self._probe())
            await asyncio.sleep(PROBE_PERIOD_S)

    async def run_cache_polls(self) -> typing.NoReturn:
        """Polls a model engine for cache changes every `CACHE_POLL_PERIOD_S`."""
        after = 0
        while True:
            await asyncio.sleep(CACHE_POLL_PERIOD_S)
            try:
                document = await self._get_document("/cache/events", {"after": after})
                after = int(document["next"])
                changed = _get_block_states(document["events"])
            except (httpx.HTTPError, TimeoutError, ValueError, KeyError, TypeError):
                continue
            if changed.stored or changed.evicted:
                self._core_task.post(changed)

    def _start(self, command: commands.CallEndpoint) -> None:
        task = asyncio.ensure_future(self._call(command))
        self._calls[command.attempt_id] = task
        task.add_done_callback(lambda _: self._calls.pop(command.attempt_id, None))

    def _cancel(self, command: commands.CancelCall) -> None:
        task = self._calls.pop(command.attempt_id, None)
        if task is not None:
            task.cancel()

    async def _call(self, command: commands.CallEndpoint) -> None:
        attempt_id = command.attempt_id
        incarnation = self._incarnation
        try:
            async with self._client.stream(
                command.method,
                command.path,
                headers=_make_headers(command),
                content=command.body,
            ) as answer:
                await self._relay_answer(command, answer)
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            lost = await self._check_lost(incarnation)
            detail = type(error).__name__
            self._core_task.post(events.EndpointFailed(attempt_id, False, lost, detail))
        except (httpx.HTTPError, streams.EventTooLongError) as error:
            lost = await self._check_lost(incarnation)
            detail = f"{type(error).__name__}: {error}"
            self._core_task.post(events.EndpointFailed(attempt_id, True, lost, detail))

    async def _relay_answer(
        self, command: commands.CallEndpoint, answer: httpx.Response
    ) -> None:
        if answer.status_code > MAX_STATUS:
            # httpx itself refuses those below 100, and interim answers are skipped.
            raise httpx.RemoteProtocolError(f"status {answer.status_code}")
        bounded_http.check_encoding(answer)
        content_type = answer.headers.get("content-type", "")
        mode = requests.AnswerMode.BODY
        if answer.status_code == _OK and command.mode is requests.AnswerMode.EVENTS:
            mode = requests.AnswerMode.EVENTS
        self._core_task.post(
            events.EndpointAnswerStarted(
                command.attempt_id, answer.status_code, content_type, mode
            )
        )
        if mode is requests.AnswerMode.EVENTS:
            is_complete = await self._relay_events(command, answer)
        else:
            await self._relay_body(command, answer)
            is_complete = True
        if is_complete:
            self._core_task.post(events.EndpointFinished(command.attempt_id))
            return
        detail = "the stream ended without [DONE]"
        self._core_task.post(
            events.EndpointFailed(command.attempt_id, True, False, detail)
        )

    async def _relay_events(
        self, command: commands.CallEndpoint, answer: httpx.Response
    ) -> bool:
        parser = streams.EventParser()
        async for data in answer.aiter_bytes():
            payloads = parser.feed(data)
            if payloads:
                await self._relay_payloads(command, payloads)
            if parser.is_done:
                return True
        return False

    async def _relay_body(
        self, command: commands.CallEndpoint, answer: httpx.Response
    ) -> None:
        async for data in answer.aiter_bytes(CHUNK_BYTES):
            await self._relay_payloads(command, (data,))

    async def _relay_payloads(
        self, command: commands.CallEndpoint, payloads: tuple[bytes, ...]
    ) -> None:
        """Posts payloads; waits until the core has had them and the link has room."""
        self._core_task.post(
            events.EndpointPayloadsReceived(command.attempt_id, payloads)
        )
        await asyncio.sleep(0)
        await self._await_room(command.session_id)

    async def _check_lost(self, incarnation: str) -> bool:
        """Probes the endpoint; returns whether process `incarnation` no longer runs."""
        probe_result = await self._probe()
        self._core_task.post(events.Ticked())
        return probe_result.incarnation != incarnation

    async def _probe(self) -> events.EndpointProbed:
        if self._endpoint.kind is configuration.EndpointKind.PLAIN:
            probe_result = await self._probe_plain()
        else:
            probe_result = await self._probe_model()
        self._incarnation = probe_result.incarnation
        return probe_result

    async def _probe_plain(self) -> events.EndpointProbed:
        url = urllib.parse.urlsplit(self._endpoint.url)
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                _, writer = await asyncio.open_connection(url.hostname, url.port)
        except (OSError, TimeoutError):
            return events.EndpointProbed("", 0, 0, 0.0, ())
        writer.close()
        return events.EndpointProbed(_PLAIN_INCARNATION, 0, 0, 0.0, ())

    async def _probe_model(self) -> events.EndpointProbed:
        try:
            return _parse_load(await self._get_document("/load", {}))
        except (httpx.HTTPError, TimeoutError, ValueError, KeyError, TypeError):
            return events.EndpointProbed("", 0, 0, 0.0, ())

    async def _get_document(
        self, path: str, parameters: collections.abc.Mapping[str, int]
    ) -> typing.Any:
        """Reads a JSON document of the engine within `PROBE_TIMEOUT_S`.

        Raises:
            httpx.HTTPError: The engine didn't answer.
            TimeoutError: The document did not end in time.
            ValueError: It is longer than `MAX_DOCUMENT_BYTES` or no JSON.
        """
        body = bytearray()
        async with (
            asyncio.timeout(PROBE_TIMEOUT_S),
            self._client.stream("GET", path, params=dict(parameters)) as answer,
        ):
            bounded_http.check_encoding(answer)
            async for data in answer.aiter_bytes():
                body += data
                if len(body) > MAX_DOCUMENT_BYTES:
                    raise ValueError(
                        f"{path} is longer than {MAX_DOCUMENT_BYTES} bytes"
                    )
        return json.loads(body)


def _parse_load(
    load: collections.abc.Mapping[str, typing.Any],
) -> events.EndpointProbed:
    return events.EndpointProbed(
        incarnation=str(load["incarnation"]),
        running=int(load["running"]),
        waiting=int(load["waiting"]),
        step_time_s=float(load["step_time_ms"]) / 1000.0,
        models=tuple(str(model) for model in load["models"]),
    )


def _get_block_states(
    cache_events: list[collections.abc.Mapping[str, typing.Any]],
) -> events.CacheChanged:
    """Returns the final state of each block, which its last event determines."""
    kinds = {int(event["block"]): str(event["kind"]) for event in cache_events}
    stored = tuple(block for block, kind in kinds.items() if kind == "stored")
    evicted = tuple(block for block, kind in kinds.items() if kind == "evicted")
    return events.CacheChanged(stored, evicted)


def _make_headers(command: commands.CallEndpoint) -> dict[str, str]:
    headers = {
        "X-Request-Id": command.request_id,
        "X-Priority": str(int(command.priority)),
    }
    if command.content_type:
        headers["Content-Type"] = command.content_type
    if command.idempotency_key:
        headers["Idempotency-Key"] = command.idempotency_key
    if command.resume_from:
        headers["X-Resume-From"] = str(command.resume_from)
    return headers
