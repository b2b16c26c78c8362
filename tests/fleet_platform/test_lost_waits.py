"""Tests that a call to the store that gets no answer hides nothing for long.

A store that is silent for a moment leaves the waits of all entries unanswered, or those
of some, while no other call fails. The bounds are those of the platform: an entry is in
touch from 3 s after the silence on, and follows a change within 2 s from then on.
"""

import asyncio
import random

import fleetstandins
import pytest

from chicoryweir_daemon.forwarder import watches
from chicoryweir_policy.forwarding import storechecks
from fleet_platform import store as stores

CONTACT_S = 3.0
CONFIGURATION_S = DRAIN_S = 2.0


async def _answer(endpoint, headers, writer):
    writer.write(fleetstandins.build_answer(headers["chicoryweir-attempt-id"]))
    await writer.drain()


def _is_wait(target):
    """Returns whether a call waits for a configuration."""
    return "rows-feed" in target and "table=op" in target


@pytest.fixture
def start_entries(start_system):
    """Returns a function that starts entries with one store."""

    async def start(count):
        endpoint = fleetstandins.EndpointStandIn("i-1", _answer)
        systems = [await start_system(endpoint)]
        for number in range(2, count + 1):
            systems.append(
                await start_system(
                    host=f"127.0.0.{number}", peer=systems[0], store=systems[0].store
                )
            )
        return systems

    return start


async def _await_version(systems, version, until):
    """Waits until all entries have a version; fails at `until`."""
    loop = asyncio.get_running_loop()
    fleets = [system.entry._fleet for system in systems]
    await fleetstandins.wait_until(
        lambda: all(fleet.version == version for fleet in fleets),
        max(0.0, until - loop.time()),
    )


# Guards against entries that go on under an old configuration for seconds, since only
# the time-out of their wait shows that it was lost.
@pytest.mark.parametrize("count", [1, 3])
@pytest.mark.parametrize("silent_s", [0.05, 0.3, 1.2])
@pytest.mark.parametrize("lost", ["answer", "next wait"])
async def test_configuration_is_adopted_in_time_after_waits_were_lost(
    start_entries, count, silent_s, lost
):
    systems = await start_entries(count)
    store, loop = systems[0].store, asyncio.get_running_loop()
    since = "" if lost == "answer" else f"after_rev={store.version + 1}&"
    store.loses = lambda target: _is_wait(target) and since in target
    store.put("op", "config", fleetstandins.build_configuration(9))
    await asyncio.sleep(silent_s)
    store.loses = lambda target: False
    ended_at = loop.time()
    await asyncio.sleep(1.0)
    store.put("op", "config", fleetstandins.build_configuration(12))
    await _await_version(systems, 12, ended_at + CONTACT_S)


# Guards against large fleets in which the entries that don't check stay behind.
@pytest.mark.parametrize("lost", ["answer", "next wait"])
async def test_entries_that_do_not_check_learn_of_a_change_from_others(
    start_entries, monkeypatch, lost
):
    monkeypatch.setattr(storechecks, "MAX_CHECKERS", 1)
    monkeypatch.setattr(storechecks, "CHECK_PERIOD_S", 0.4)
    systems = await start_entries(4)
    store, loop = systems[0].store, asyncio.get_running_loop()
    await asyncio.sleep(0.5)
    since = "" if lost == "answer" else f"after_rev={store.version + 1}&"
    store.loses = lambda target: _is_wait(target) and since in target
    store.put("op", "config", fleetstandins.build_configuration(9))
    await asyncio.sleep(0.2)
    store.loses = lambda target: False
    ended_at = loop.time()
    await asyncio.sleep(1.0)
    store.put("op", "config", fleetstandins.build_configuration(12))
    await _await_version(systems, 12, ended_at + CONTACT_S)
    await asyncio.sleep(0.5)
    store.put("op", "config", fleetstandins.build_configuration(15))
    # Their waits were replaced, so that they don't need the others for the next one.
    await _await_version(systems, 15, loop.time() + 0.3)


# Guards against calls that are lost one after the other on connections that are dead.
@pytest.mark.parametrize("idle", [1, 4])
async def test_changes_are_seen_in_time_after_all_connections_went_silent(
    start_system, idle
):
    endpoints = [fleetstandins.EndpointStandIn(f"i-{n}", _answer) for n in (1, 2)]
    system = await start_system(*endpoints)
    store, loop = system.store, asyncio.get_running_loop()
    registry, fleet = system.entry._adapters.registry, system.entry._fleet
    await asyncio.gather(*(registry.list_entries() for _ in range(idle)))
    store.mute_connections()
    ended_at = loop.time()
    await asyncio.sleep(1.0)
    store.put("op", "config", fleetstandins.build_configuration(12))
    await _await_version([system], 12, ended_at + CONTACT_S)
    await asyncio.sleep(ended_at + CONTACT_S - loop.time())
    store.delete("servers", "i-1")
    await fleetstandins.wait_until(
        lambda: len(fleet.endpoints.list_usable("svc", loop.time())) == 1, DRAIN_S
    )


# Guards against requests to an endpoint that left: the late failure of a lost wait was
# taken for an outage, and what was removed then was kept as if it had lapsed in it.
@pytest.mark.parametrize("removed_after_s", [-0.3, 0.1, 0.6])
async def test_removed_endpoint_gets_no_requests_after_a_lost_wait_ends(
    start_system, monkeypatch, removed_after_s
):
    monkeypatch.setattr(watches, "CONFIGURATION_WAIT_S", 1.5)
    endpoints = [fleetstandins.EndpointStandIn(f"i-{n}", _answer) for n in (1, 2)]
    system = await start_system(*endpoints)
    store, loop = system.store, asyncio.get_running_loop()
    since = f"after_rev={store.version + 1}&wait_ms=1500"
    store.loses = lambda target: _is_wait(target) and since in target
    store.put("op", "config", fleetstandins.build_configuration(9))
    fleet = system.entry._fleet
    await fleetstandins.wait_until(lambda: fleet.version == 9)
    ends_at = loop.time() + 1.5 + stores.CALL_TIMEOUT_S
    await asyncio.sleep(ends_at + removed_after_s - loop.time())
    store.delete("servers", "i-1")
    until = loop.time() + DRAIN_S
    await asyncio.sleep(1.4)
    while loop.time() < until:
        usable = fleet.endpoints.list_usable("svc", loop.time())
        assert [endpoint.instance for endpoint in usable] == ["i-2"]
        await asyncio.sleep(0.05)


# Guards against endpoints that live and are dropped after an outage, since they are
# removed between two reads.
@pytest.mark.parametrize("silent_s", [1.0, 4.0])
@pytest.mark.parametrize("pause_s", [0.64, 0.96])
async def test_endpoint_that_registers_again_after_a_silence_is_kept(
    start_system, monkeypatch, silent_s, pause_s
):
    monkeypatch.setattr(watches, "ENDPOINT_PAUSE_S", pause_s)
    monkeypatch.setattr(watches, "JITTER_SHARE", 0.0)
    endpoints = [fleetstandins.EndpointStandIn(f"i-{n}", _answer) for n in (1, 2)]
    system = await start_system(*endpoints)
    store, loop = system.store, asyncio.get_running_loop()
    usable = system.entry._fleet.endpoints.list_usable
    store.silent = True
    await asyncio.sleep(silent_s / 2)
    store.delete("servers", "i-1")
    await asyncio.sleep(silent_s / 2)
    store.silent = False
    registers_at = loop.time() + 2.0
    while loop.time() < registers_at + 2.0:
        if loop.time() >= registers_at and ("servers", "i-1") not in store.rows:
            store.put("servers", "i-1", endpoints[0].build_registration())
        assert len(usable("svc", loop.time())) == 2
        await asyncio.sleep(0.05)


# Silences of other lengths, at other moments of a wait, for all calls or for a part.
@pytest.mark.parametrize("seed", range(6))
async def test_configuration_is_adopted_in_time_after_any_silence(start_entries, seed):
    rng = random.Random(seed)
    systems = await start_entries(rng.choice([1, 2, 4]))
    store, loop = systems[0].store, asyncio.get_running_loop()
    version = 9
    for _ in range(3):
        await asyncio.sleep(rng.uniform(0.0, 2.0))
        if rng.random() < 0.5:
            version += 1
            store.put("op", "config", fleetstandins.build_configuration(version))
            await asyncio.sleep(rng.choice([0.0, 0.01, 0.1]))
        share = rng.choice([0.5, 1.0])
        store.loses = lambda target, share=share: rng.random() < share
        await asyncio.sleep(rng.choice([0.05, 0.2, 0.7, 2.0, 4.0]))
        store.loses = lambda target: False
        ended_at = loop.time()
        await asyncio.sleep(rng.uniform(0.0, 3.0))
        version += 1
        store.put("op", "config", fleetstandins.build_configuration(version))
        until = max(ended_at + CONTACT_S, loop.time() + CONFIGURATION_S)
        await _await_version(systems, version, until)
