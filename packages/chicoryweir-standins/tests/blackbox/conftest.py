"""A running fleet of separate processes, as `make up` starts it."""

from __future__ import annotations

import collections.abc
import json
import signal
import subprocess
import sys
import typing

import httpx
import pytest

TIMEOUT_S = 30.0


class Fleet:
    """Client of a running fleet, for callers and operators."""

    def __init__(self, ready_document: dict[str, typing.Any]) -> None:
        self.ready_document = ready_document
        self.entries: list[str] = ready_document["entries"]
        self.model: str = ready_document["model"]
        self.service: str = ready_document["service"]
        self.switchboard_url: str = ready_document["control"]
        self.client = httpx.Client(timeout=TIMEOUT_S, trust_env=False)

    def call(
        self,
        path: str,
        body: typing.Any = None,
        *,
        method: str = "POST",
        entry: int = 0,
        key: str | None = "",
        **headers: str,
    ) -> httpx.Response:
        """Sends a caller's request to an entry; non-bytes bodies become JSON."""
        sent = {name.replace("_", "-"): value for name, value in headers.items()}
        if key is not None:
            sent["authorization"] = f"Bearer {key or self.ready_document['caller_key']}"
        content = body if isinstance(body, bytes) else json.dumps(body).encode()
        return self.client.request(
            method,
            self.entries[entry] + path,
            content=None if body is None else content,
            headers=sent,
        )

    def chat(self, text: str, entry: int = 0, **fields: typing.Any) -> httpx.Response:
        """Requests a chat completion."""
        body = {
            "model": self.model,
            "messages": [{"role": "user", "content": text}],
            **fields,
        }
        return self.call("/v1/chat/completions", body, entry=entry)

    def operate(
        self, path: str, body: typing.Any = None, entry: int = 0
    ) -> httpx.Response:
        """Sends an operator's request to an entry."""
        method = "GET" if body is None else "POST"
        key = self.ready_document["operator_key"]
        return self.call(f"/operator{path}", body, method=method, entry=entry, key=key)

    def read_runs(self) -> dict[str, typing.Any]:
        """Returns the numbers of runs at the endpoints."""
        runs: dict[str, typing.Any] = self.client.get(
            f"{self.switchboard_url}/runs"
        ).json()
        return runs


@pytest.fixture(scope="session")
def fleet() -> collections.abc.Iterator[Fleet]:
    """Starts a fleet and stops it gracefully."""
    process = subprocess.Popen(
        [sys.executable, "-m", "chicoryweir_standins", "up"],
        stdout=subprocess.PIPE,
        text=True,
    )
    assert process.stdout is not None
    line = process.stdout.readline()
    assert line.startswith("READY "), line
    try:
        yield Fleet(json.loads(line.removeprefix("READY ")))
    finally:
        process.send_signal(signal.SIGTERM)
        assert process.wait(TIMEOUT_S) == 0
