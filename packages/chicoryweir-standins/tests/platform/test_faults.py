"""Tests of the platform's injected faults."""

import typing

import pytest

from chicoryweir_standins.platform import faults


class Connection:
    """Records what an application sends, and whether the connection was aborted."""

    def __init__(self) -> None:
        self.sent: list[dict[str, typing.Any]] = []
        self.transport = self
        self.is_aborted = False

    def abort(self) -> None:
        self.is_aborted = True

    async def send(self, message: dict[str, typing.Any]) -> None:
        self.sent.append(message)


class Application:
    def __init__(self) -> None:
        self.calls: list[str] = []

    async def __call__(
        self, scope: typing.Any, receive: typing.Any, send: typing.Any
    ) -> None:
        self.calls.append(scope["path"])
        await send({"type": "http.response.start", "status": 200})


async def call(
    active: faults.Faults, path: str, method: str = "POST"
) -> tuple[Application, Connection]:
    application, connection = Application(), Connection()
    faulty = faults.FaultyApp(application, active, seed=1)
    scope = {"type": "http", "path": path, "method": method}
    await faulty(scope, None, connection.send)
    return application, connection


async def test_write_takes_effect_before_its_reply_is_lost() -> None:
    active = faults.Faults(lose_replies=1.0)
    application, connection = await call(active, "/table/transact")
    assert application.calls == ["/table/transact"]
    assert connection.is_aborted
    assert connection.sent == []


async def test_reads_keep_their_replies() -> None:
    _, connection = await call(faults.Faults(lose_replies=1.0), "/table/read")
    assert not connection.is_aborted


async def test_outage_keeps_calls_from_the_application(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(faults, "_HANG_S", 0.0)
    application, connection = await call(faults.Faults(outage=True), "/table/read")
    assert application.calls == []
    assert connection.is_aborted


async def test_control_paths_are_exempt() -> None:
    application, _ = await call(faults.Faults(outage=True), "/control/faults")
    assert application.calls == ["/control/faults"]
