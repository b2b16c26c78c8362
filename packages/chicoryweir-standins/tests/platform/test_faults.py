"""Tests of the platform's injected faults."""

import typing

import pytest

from chicoryweir_standins.platform import faults


class Connection:
    """Records what an application sends, and whether the connection was dropped."""

    def __init__(self) -> None:
        self.sent: list[dict[str, typing.Any]] = []
        self.transport = self
        self.is_dropped = False

    def abort(self) -> None:
        self.is_dropped = True

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
    in_force: faults.Faults, path: str, method: str = "POST"
) -> tuple[Application, Connection]:
    application, connection = Application(), Connection()
    faulty = faults.FaultyApp(application, in_force, seed=1)
    scope = {"type": "http", "path": path, "method": method}
    await faulty(scope, None, connection.send)
    return application, connection


async def test_lost_reply_comes_after_the_write_took_effect() -> None:
    in_force = faults.Faults(lose_replies=1.0)
    application, connection = await call(in_force, "/table/transact")
    assert application.calls == ["/table/transact"]
    assert connection.is_dropped
    assert connection.sent == []


async def test_reads_lose_no_reply() -> None:
    _, connection = await call(faults.Faults(lose_replies=1.0), "/table/read")
    assert not connection.is_dropped


async def test_outage_reaches_the_application_with_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(faults, "_HANG_S", 0.0)
    application, connection = await call(faults.Faults(outage=True), "/table/read")
    assert application.calls == []
    assert connection.is_dropped


async def test_control_of_the_stand_ins_is_exempt() -> None:
    application, _ = await call(faults.Faults(outage=True), "/control/faults")
    assert application.calls == ["/control/faults"]
