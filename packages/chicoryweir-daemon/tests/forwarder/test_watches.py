"""Tests of what a read of the store tells about its era, and of unusable answers."""

import asyncio

import pytest
import structlog

from chicoryweir_daemon.forwarder import clocks
from chicoryweir_daemon.forwarder import eventlog
from chicoryweir_daemon.forwarder import fleet as fleets
from chicoryweir_daemon.forwarder import interfaces
from chicoryweir_daemon.forwarder import storehealth
from chicoryweir_daemon.forwarder import watches
from chicoryweir_policy.forwarding import endpoints
from chicoryweir_policy.forwarding import storechecks


class Clock:
    def read(self):
        return 0.0

    def read_boot(self):
        return 0.0


class ScriptedRegistry:
    """Answers reads of the configuration in order, and blocks after the last."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.positions = []
        self.exhausted = asyncio.Event()

    async def read_configuration(self):
        return await self._answer(None)

    async def await_configuration(self, position, wait_s):
        return await self._answer(position)

    async def _answer(self, position):
        self.positions.append(position)
        if not self.answers:
            self.exhausted.set()
            await asyncio.Event().wait()
        return self.answers.pop(0)


async def _watch(settings, *answers):
    """Watches until all answers are read; returns what the watch knows."""
    fleet = fleets.Fleet(settings, Clock())
    event_log = eventlog.EventLog("front-1")
    health = storehealth.StoreHealth(fleet, event_log)
    registry = ScriptedRegistry(*answers)
    watch = watches.ConfigurationWatch(fleet, registry, None, event_log, health)
    task = asyncio.create_task(watch.run())
    async with asyncio.timeout(5.0):
        await registry.exhausted.wait()
    task.cancel()
    return fleet, health, registry


# Guards against a holder of the lease that gives it up for seconds: it knew that the
# store is back before it knew that it was restored.
async def test_era_is_known_as_soon_as_the_store_is_known_to_be_back(settings):
    fleet, health, _ = await _watch(
        settings,
        interfaces.NoNewerConfiguration(interfaces.Position(60, 1)),
        interfaces.Unreachable("down"),
        interfaces.HistoryLost(2),
    )
    assert not fleet.endpoints.is_store_unreachable
    assert health.era == 2


async def test_answer_of_a_later_era_is_read_again_from_the_start(settings):
    position = interfaces.Position(70, 2)
    _, _, registry = await _watch(
        settings,
        interfaces.NoNewerConfiguration(interfaces.Position(60, 1)),
        interfaces.NoNewerConfiguration(position),
        interfaces.NoNewerConfiguration(position),
    )
    assert registry.positions == [None, interfaces.Position(60, 1), None, position]


async def test_answer_of_an_earlier_era_counts_as_a_failed_call(settings):
    position = interfaces.Position(60, 3)
    fleet, health, registry = await _watch(
        settings,
        interfaces.NoNewerConfiguration(position),
        interfaces.NoNewerConfiguration(interfaces.Position(70, 2)),
    )
    assert fleet.endpoints.is_store_unreachable
    assert health.era == 3
    assert registry.positions == [None, position, position]


# Guards against a storm of large configurations that uses up the link of a machine.
async def test_next_read_waits_after_a_large_configuration(settings, monkeypatch):
    pauses = []

    async def sleep(delay_s):
        pauses.append(delay_s)

    monkeypatch.setattr(watches.asyncio, "sleep", sleep)

    class Decoder:
        def decode(self, data):
            raise ValueError("unreadable")

    fleet = fleets.Fleet(settings, Clock())
    event_log = eventlog.EventLog("front-1")
    health = storehealth.StoreHealth(fleet, event_log)
    large = interfaces.StoredConfiguration(b"x" * 300_000, interfaces.Position(1))
    huge = interfaces.StoredConfiguration(b"x" * 9_000_000, interfaces.Position(2))
    registry = ScriptedRegistry(large, huge)
    watch = watches.ConfigurationWatch(fleet, registry, Decoder(), event_log, health)
    task = asyncio.create_task(watch.run())
    async with asyncio.timeout(5.0):
        await registry.exhausted.wait()
    task.cancel()
    assert pauses == [0.3, watches.MAX_CONFIGURATION_PAUSE_S]


# Guards against a configuration that is seen late: other calls showed that the store
# had been silent and was back, and the wait for a change went on unanswered.
async def test_wait_that_may_be_lost_is_replaced_when_the_store_is_back(settings):
    position = interfaces.Position(60, 1)
    fleet = fleets.Fleet(settings, Clock())
    event_log = eventlog.EventLog("front-1")
    health = storehealth.StoreHealth(fleet, event_log)
    registry = ScriptedRegistry(interfaces.NoNewerConfiguration(position))
    watch = watches.ConfigurationWatch(fleet, registry, None, event_log, health)
    task = asyncio.create_task(watch.run())
    async with asyncio.timeout(5.0):
        await registry.exhausted.wait()
        await health.record_call(None, 0.0)
        assert registry.positions == [None, position]
        await health.record_call(interfaces.Unreachable("no answer in time"), 0.0)
        await health.record_call(None, 0.0)
        await asyncio.sleep(0.01)
    task.cancel()
    assert registry.positions == [None, position, position]


class SteppedClock(Clock):
    """Clock that a test sets."""

    def __init__(self):
        self.now = 0.0

    def read(self):
        return self.now


def _register(fleet, instance):
    endpoint = endpoints.Endpoint(instance, "s", "h", 80, "dc", 2, False, 0.0, 1)
    fleet.endpoints.apply(endpoints.Registered(endpoint), 0.0)


# Guards against endpoints that get requests for seconds after they left: a call that
# was lost long ago failed just before their registration was removed.
@pytest.mark.parametrize("reads_endpoints", [True, False])
async def test_failure_of_a_call_before_one_that_was_answered_is_no_outage(
    settings, reads_endpoints
):
    clock = SteppedClock()
    fleet = fleets.Fleet(settings, clock)
    health = storehealth.StoreHealth(fleet, eventlog.EventLog("front-1"))
    _register(fleet, "i-1")
    clock.now = 11.0
    await health.record_call(None, 10.99, reads_endpoints=reads_endpoints)
    clock.now = 11.2
    with structlog.testing.capture_logs() as lines:
        await health.record_call(interfaces.Unreachable("no answer in time"), 0.0)
    assert [(line["event"], line["age_s"]) for line in lines] == [
        ("store_call_lost", 11.2)
    ]
    assert not fleet.endpoints.is_store_unreachable
    transition = fleet.endpoints.apply(endpoints.Removed("i-1"), 11.3)
    assert transition.meaning == "removed"


# Guards against endpoints that are dropped after an outage before they could register
# again: the read that would have shown the outage was lost in it.
async def test_read_that_was_lost_keeps_missing_endpoints(settings):
    clock = SteppedClock()
    fleet = fleets.Fleet(settings, clock)
    health = storehealth.StoreHealth(fleet, eventlog.EventLog("front-1"))
    _register(fleet, "i-1")
    clock.now = 10.0
    await health.record_call(None, 9.99)
    clock.now = 11.7
    failure = interfaces.Unreachable("no answer in time")
    await health.record_call(failure, 9.9, reads_endpoints=True)
    clock.now = 12.2
    # A read that the store answers only after its wait shows that it was back before.
    await health.record_call(None, 11.8, reads_endpoints=True)
    assert fleet.endpoints.apply(endpoints.Removed("i-1"), 12.2).meaning == "missing"
    usable = fleet.endpoints.list_usable
    assert usable("s", 11.8 + endpoints.LAPSE_GRACE_S - 0.1)
    assert not usable("s", 11.8 + endpoints.LAPSE_GRACE_S)


class CheckedRegistry:
    """Leaves waits unanswered; answers checks that nothing has changed."""

    def __init__(self):
        self.checked = []
        self.version = 60
        self.done = asyncio.Event()

    async def read_configuration(self):
        return interfaces.NoNewerConfiguration(interfaces.Position(self.version, 1))

    async def await_configuration(self, position, wait_s):
        if wait_s == watches.CONFIGURATION_WAIT_S:
            await asyncio.Event().wait()
        self.checked.append(position.version)
        self.version += 5
        if len(self.checked) == 3:
            self.done.set()
        return interfaces.NoNewerConfiguration(interfaces.Position(self.version, 1))


# Guards against full reads by each check when the store keeps a short history: checks
# went on from the position of the wait, which is up to 10 s old.
async def test_check_goes_on_from_the_position_of_the_one_before(settings, monkeypatch):
    monkeypatch.setattr(storechecks, "CHECK_PERIOD_S", 0.02)
    fleet = fleets.Fleet(settings, clocks.SystemClock())
    event_log = eventlog.EventLog("front-1")
    health = storehealth.StoreHealth(fleet, event_log)
    registry = CheckedRegistry()
    watch = watches.ConfigurationWatch(fleet, registry, None, event_log, health)
    task = asyncio.create_task(watch.run())
    async with asyncio.timeout(5.0):
        await registry.done.wait()
    task.cancel()
    assert registry.checked == [60, 65, 70]


# Guards against endpoints that live and are removed between two reads, though the
# later one would have shown that they are registered again.
@pytest.mark.parametrize(("elapsed_s", "longest_s"), [(1.9, 0.15), (2.15, 0.05)])
async def test_endpoints_are_read_just_before_a_missing_one_is_removed(
    settings, elapsed_s, longest_s
):
    clock = SteppedClock()
    fleet = fleets.Fleet(settings, clock)
    event_log = eventlog.EventLog("front-1")
    health = storehealth.StoreHealth(fleet, event_log)
    watch = watches.EndpointWatch(fleet, None, event_log, health)
    _register(fleet, "i-1")
    fleet.endpoints.record_store_call(False, 10.0)
    fleet.endpoints.record_store_call(True, 20.0)
    fleet.endpoints.apply(endpoints.Removed("i-1"), 20.1)
    clock.now = 20.0 + elapsed_s
    assert watch._compute_pause_s() <= longest_s + 1e-9
    clock.now = 20.0 + endpoints.LAPSE_GRACE_S
    assert watch._compute_pause_s() > 0.6
