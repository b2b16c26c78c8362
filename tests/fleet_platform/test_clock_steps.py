"""Tests of entries while the time of day is stepped."""

import time

import fleetstandins
import pytest


@pytest.fixture
def step_clock(monkeypatch):
    """Returns a function that sets the time of day off by a number of seconds."""
    read_ns = time.time_ns

    def step(offset_s):
        monkeypatch.setattr(time, "time_ns", lambda: read_ns() + int(offset_s * 1e9))
        monkeypatch.setattr(time, "time", lambda: read_ns() / 1e9 + offset_s)

    return step


@pytest.mark.parametrize("offset_s", [-60.0, -0.5, 60.0])
async def test_entry_started_after_a_clock_step_is_heard_at_once(
    start_system, step_clock, offset_s
):
    first = await start_system()
    ended = await start_system(host="127.0.0.2", peer=first, name="restarted")
    table = first.entry._fleet.peers
    await fleetstandins.wait_until(lambda: table.list_known() == {"restarted"})
    ended.task.cancel()
    step_clock(offset_s)
    await start_system(host="127.0.0.3", peer=first, name="restarted")

    def is_heard():
        alive = table.list_alive(first.entry._fleet.clock.read())
        return [peer.host for peer in alive] == ["127.0.0.3"]

    await fleetstandins.wait_until(is_heard)
