"""Tests of what a process waits for at its start."""

import asyncio

import pytest

from chicoryweir_daemon.lifecycle import startup
from chicoryweir_policy import catalogue


class _Log:
    def __init__(self):
        self.events = []

    def record(self, number, request_id="", peer="", **inputs):
        self.events.append((number, peer, inputs["detail"]))


class _Source:
    """Settings source with one result for each load; the last one stays."""

    def __init__(self, *results, changes=0):
        self._results = list(results)
        self._changes = changes
        self._loaded = False

    def has_changed(self):
        changed = self._loaded and self._changes > 0
        if changed:
            self._changes -= 1
        self._loaded = False
        return changed

    def load(self):
        self._loaded = True
        result = self._results.pop(0) if len(self._results) > 1 else self._results[0]
        if isinstance(result, ValueError):
            raise result
        return result


@pytest.fixture
def log():
    return _Log()


async def test_valid_settings_are_loaded(log):
    assert await startup.load_settings(_Source("s"), asyncio.Event(), log) == "s"
    assert log.events == []


# Guards against a process that ends since its settings file isn't written yet.
async def test_start_waits_for_valid_settings(log):
    source = _Source(ValueError("ip: missing"), ValueError("ip: missing"), "s")
    assert await startup.load_settings(source, asyncio.Event(), log) == "s"
    assert log.events == [(catalogue.SETTINGS_FILE_BAD, "", "ip: missing")]


# Guards against settings that were read while the file was written.
async def test_settings_that_change_while_they_are_read_are_read_again(log):
    source = _Source("half", "whole", changes=1)
    assert await startup.load_settings(source, asyncio.Event(), log) == "whole"
    assert len(log.events) == 1


async def test_stop_request_ends_the_wait_for_settings(log):
    stop = asyncio.Event()
    asyncio.get_running_loop().call_later(0.02, stop.set)
    source = _Source(ValueError("ip: missing"))
    assert await startup.load_settings(source, stop, log) is None


# Guards against a process that ends since the one before still holds its port.
async def test_listener_is_opened_once_its_address_is_free(log):
    errors = [OSError(98, "in use"), OSError(98, "in use"), None]

    async def open_socket():
        error = errors.pop(0)
        if error is not None:
            raise error

    stop = asyncio.Event()
    assert await startup.open_listener(open_socket, "127.0.0.1:1", stop, log)
    assert errors == []
    (event,) = log.events
    assert event[:2] == (catalogue.LISTENER_UNAVAILABLE, "127.0.0.1:1")
    assert "in use" in event[2]


async def test_stop_request_ends_the_wait_for_a_port(log):
    async def open_socket():
        raise OSError(98, "in use")

    stop = asyncio.Event()
    asyncio.get_running_loop().call_later(0.02, stop.set)
    assert not await startup.open_listener(open_socket, "127.0.0.1:1", stop, log)


async def test_other_errors_are_not_retried(log):
    async def open_socket():
        raise TypeError("a fault of the program")

    with pytest.raises(TypeError):
        await startup.open_listener(open_socket, "", asyncio.Event(), log)
