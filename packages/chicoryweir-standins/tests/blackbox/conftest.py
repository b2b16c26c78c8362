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

    def __init__(self, ready: dict[str, typing.Any]) -> None:
        self.ready = ready
        self.entries: list[str] = ready["entries"]
        self.model: str = ready["model"]
        self.service: str = ready["service"]
        self.control: str = ready["control"]
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
            sent["authorization"] = f"Bearer {key or self.ready['caller_key']}"
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
        key = self.ready["operator_key"]
        return self.call(f"/operator{path}", body, method=method, entry=entry, key=key)

    def read_runs(self) -> dict[str, typing.Any]:
        """Returns the numbers of runs at the endpoints."""
        runs: dict[str, typing.Any] = self.client.get(f"{self.control}/runs").json()
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
