"""Tests that an unexpected error ends no task, no group and no request silently."""

import asyncio

import msgspec
import pytest
import structlog

from chicoryweir_daemon.forwarder import eventlog
from chicoryweir_daemon.forwarder import fleet as fleets
from chicoryweir_daemon.forwarder import interfaces
from chicoryweir_daemon.forwarder import peerfetch
from chicoryweir_daemon.forwarder import storehealth
from chicoryweir_daemon.forwarder import supervision
from chicoryweir_daemon.forwarder import watches
from chicoryweir_daemon.forwarder.mapcontrol import map_controller
from chicoryweir_daemon.http1 import callers
from chicoryweir_daemon.http1 import memory
from chicoryweir_policy.forwarding import endpoints


class Clock:
    def read(self):
        return 0.0


def _build_endpoint(instance, **changes):
    values = {
        "service": "svc",
        "host": "10.0.0.1",
        "port": 80,
        "data_centre": "dc",
        "slots": 2,
        "leaving": False,
        "cold_s": 0.0,
        "born_ms": 1,
    }
    return endpoints.Endpoint(instance, **values | changes)


@pytest.fixture
def event_log():
    return eventlog.EventLog("front-1")


# Guards against a process that ends, or a task that is missing, after one error.
async def test_task_goes_on_after_an_error_and_logs_it(event_log, monkeypatch):
    monkeypatch.setattr(supervision, "RESTART_DELAY_S", 0.0)
    errors = [RecursionError("deep"), OverflowError("large"), KeyError("x" * 5000)]

    async def run():
        if errors:
            raise errors.pop(0)

    with structlog.testing.capture_logs() as lines:
        await supervision.supervise(run, "endpoints", event_log)
    assert [line["task"] for line in lines] == ["endpoints"] * 3
    assert lines[0]["frames"][-1].startswith("run:")
    assert all(len(line["detail"]) <= 500 for line in lines)


async def test_cancelled_task_is_not_started_again(event_log):
    runs = []

    async def run():
        runs.append(1)
        await asyncio.Event().wait()

    task = asyncio.create_task(supervision.supervise(run, "endpoints", event_log))
    await asyncio.sleep(0.01)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    assert runs == [1]


class RaisingHandler:
    """Raises before or within its answer."""

    def __init__(self, begins):
        self._begins = begins

    async def handle(self, request, answer):
        if self._begins:
            answer.start(200, b"OK", [(b"Content-Length", b"9")], has_length=True)
        raise OverflowError("a number too large")


# Guards against a caller that gets no answer because of an unexpected error.
@pytest.mark.parametrize("begins", [False, True])
async def test_request_that_fails_is_answered_or_broken_off(begins, event_log):
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(supervision.create_exception_handler(event_log))
    limits = callers.ServerLimits(1000, 1000, 1.0, 1.0)
    server = await loop.create_server(
        lambda: callers.CallerConnection(
            RaisingHandler(begins),
            lambda: limits,
            set(),
            lambda: False,
            lambda count: True,
            memory.Account(1 << 20),
        ),
        "127.0.0.1",
        0,
    )
    port = server.sockets[0].getsockname()[1]
    with structlog.testing.capture_logs() as lines:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        if begins:
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                await reader.readexactly(4096)
        else:
            assert (await reader.readline()).startswith(b"HTTP/1.1 500")
    assert lines[0]["event"] == "task_failed"
    writer.close()
    server.close()


class ListRegistry:
    """Reports changes once, and then nothing."""

    def __init__(self, changes):
        self._changes = changes
        self.exhausted = asyncio.Event()

    async def list_endpoints(self):
        return interfaces.Listing((), interfaces.Position(1, 1), ())

    async def list_changes(self, position, wait_s):
        if position.version == 2:
            self.exhausted.set()
            await asyncio.Event().wait()
        return interfaces.Changes(self._changes, interfaces.Position(2, 1))


# Guards against an entry that stops following the endpoints at one of them.
async def test_change_that_raises_does_not_keep_the_others_away(
    settings, event_log, monkeypatch
):
    monkeypatch.setattr(watches, "ENDPOINT_PAUSE_S", 0.0)
    fleet = fleets.Fleet(settings, Clock())
    apply = fleet.endpoints.apply

    def apply_or_raise(change, now):
        if change.endpoint.instance == "odd":
            raise IndexError("rank")
        return apply(change, now)

    monkeypatch.setattr(fleet.endpoints, "apply", apply_or_raise)
    changes = [endpoints.Registered(_build_endpoint(name)) for name in ("odd", "i-2")]
    registry = ListRegistry(tuple(changes))
    health = storehealth.StoreHealth(fleet, event_log)
    watch = watches.EndpointWatch(fleet, registry, event_log, health)
    task = asyncio.create_task(watch.run())
    async with asyncio.timeout(5.0):
        await registry.exhausted.wait()
    task.cancel()
    assert [endpoint.instance for endpoint in fleet.endpoints.list_all()] == ["i-2"]


class Holder:
    holds = True


# Guards against one group whose values keep the maps of the others from being changed.
async def test_group_that_raises_does_not_keep_the_others_away(
    settings, event_log, monkeypatch
):
    fleet = fleets.Fleet(settings, Clock())
    for name in ("a", "b"):
        member = endpoints.GroupMember(name, 1, 0, 1, True)
        endpoint = _build_endpoint(f"i-{name}", member=member)
        fleet.endpoints.apply(endpoints.Registered(endpoint), 0.0)
    controller = map_controller.MapController(fleet, Holder(), None, event_log)
    updated = asyncio.Event()

    async def update(name, members):
        if name == "a":
            raise ValueError("sets")
        updated.set()

    monkeypatch.setattr(controller, "_update_group", update)
    task = asyncio.create_task(controller.run())
    async with asyncio.timeout(5.0):
        await updated.wait()
    task.cancel()


@pytest.mark.parametrize(
    "changes",
    [
        {"host": "worker.example"},
        {"port": 70_000},
        {"slots": 0},
        {"cold_s": -1.0},
        {"instance": "i-1\r\nX: y"},
        {"member": endpoints.GroupMember("g", 1, 5, 2, True)},
    ],
)
def test_odd_endpoint_of_another_entry_is_refused(changes):
    values = {"instance": "i-1"} | changes
    endpoint = _build_endpoint(**values)
    data = msgspec.json.encode([endpoint])
    with pytest.raises(ValueError, match="endpoint"):
        peerfetch._decode_endpoints(data)


def test_deeply_nested_endpoints_of_another_entry_are_refused():
    with pytest.raises(ValueError, match="deeply"):
        peerfetch._decode_endpoints(b'[{"other":' + b"[" * 5000)


# Guards against a log that an error fills which repeats thousands of times a second.
async def test_error_that_repeats_is_logged_once_in_a_period(monkeypatch):
    monkeypatch.setattr(supervision, "REPEAT_PERIOD_S", 0.1)
    handle = supervision.create_exception_handler(eventlog.EventLog("a"))
    loop = asyncio.get_running_loop()
    context = {"message": "accept", "exception": OSError(24, "too many files")}
    with structlog.testing.capture_logs() as lines:
        for _ in range(50):
            handle(loop, context)
        handle(loop, {"message": "another"})
        await asyncio.sleep(0.12)
        handle(loop, context)
    assert [(line["task"], line["omitted"]) for line in lines] == [
        ("accept", 0),
        ("another", 0),
        ("accept", 49),
    ]
