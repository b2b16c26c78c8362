"""Tests of a store that is restored from a copy and assigns versions again."""

import asyncio

import fleetstandins

from chicoryweir_daemon.forwarder import interfaces

# Time within which a confirmed configuration must be in force.
CONFIGURATION_S = 2.0


async def _answer(endpoint, headers, writer):
    writer.write(fleetstandins.build_answer(headers["chicoryweir-attempt-id"]))
    await writer.drain()


def _create_endpoints():
    return [fleetstandins.EndpointStandIn(f"i-{n}", _answer) for n in (1, 2)]


def _list_usable(system):
    fleet = system.entry._fleet
    usable = fleet.endpoints.list_usable("svc", fleet.clock.read())
    return sorted(endpoint.instance for endpoint in usable)


def _copy_and_advance(system):
    """Copies the store; positions that are read afterwards are far beyond the copy."""
    copy = system.store.copy()
    system.store.assign_versions(20)
    return copy


async def _wait_until_usable(system, *names):
    await fleetstandins.wait_until(lambda: _list_usable(system) == list(names), 3.0)


async def _assert_usable_for(system, duration_s, *names):
    for _ in range(int(duration_s / 0.05)):
        assert _list_usable(system) == list(names)
        await asyncio.sleep(0.05)


# Guards against a confirmed configuration that never comes into force: its version is
# below the position of the entry's read, which is from before the restore.
async def test_configuration_below_a_position_of_an_earlier_era_is_adopted(
    start_system,
):
    system = await start_system(*_create_endpoints())
    copy = _copy_and_advance(system)
    system.store.put("op", "config", fleetstandins.build_configuration(9))
    fleet = system.entry._fleet
    await fleetstandins.wait_until(lambda: fleet.version == 9)
    system.store.restore(copy)
    system.store.put("op", "config", fleetstandins.build_configuration(11))
    system.store.assign_versions(40)
    await fleetstandins.wait_until(lambda: fleet.version == 11, CONFIGURATION_S)


async def test_older_configuration_of_the_copy_is_not_adopted(start_system):
    system = await start_system(*_create_endpoints())
    copy = _copy_and_advance(system)
    system.store.put("op", "config", fleetstandins.build_configuration(9))
    fleet = system.entry._fleet
    await fleetstandins.wait_until(lambda: fleet.version == 9)
    system.store.restore(copy)
    for _ in range(20):
        await asyncio.sleep(0.05)
        assert fleet.version == 9


# Guards against requests to a leaving endpoint: the change is below the position of the
# entry's read, which is from before the restore.
async def test_leaving_endpoint_below_a_position_of_an_earlier_era_is_unused(
    start_system,
):
    first, second = _create_endpoints()
    system = await start_system(first, second)
    copy = _copy_and_advance(system)
    system.store.put("servers", "i-2", second.build_registration(seq=2))
    await asyncio.sleep(1.5)
    system.store.restore(copy)
    system.store.put("servers", "i-1", first.build_registration(state="draining"))
    system.store.assign_versions(40)
    await _wait_until_usable(system, "i-2")


# Guards against a list of endpoints that mixes pages from before and after a restore.
async def test_listing_that_spans_a_restore_is_discarded(start_system, monkeypatch):
    first, second = _create_endpoints()
    system = await start_system(first, second)
    for number in range(600):
        system.store.put("servers", f"j-{number}", first.build_registration())
    copy = system.store.copy()
    registry = system.entry._adapters.registry
    listed = await registry.list_endpoints()
    assert len(listed.endpoints) == 602
    answer = system.store._answer

    async def answer_and_restore(method, target, body):
        answered = await answer(method, target, body)
        if "rows-get?table=servers" in target:
            system.store.restore(copy)
        return answered

    monkeypatch.setattr(system.store, "_answer", answer_and_restore)
    assert isinstance(await registry.list_endpoints(), interfaces.Unreachable)


# Guards against requests to a leaving endpoint that the copy lists as ready.
async def test_leaving_endpoint_stays_unused_while_the_copy_lists_it_as_ready(
    start_system,
):
    first, second = _create_endpoints()
    system = await start_system(first, second)
    copy = _copy_and_advance(system)
    system.store.put("servers", "i-1", first.build_registration(state="draining"))
    await _wait_until_usable(system, "i-2")
    system.store.restore(copy)
    await _assert_usable_for(system, 2.0, "i-2")


# Guards against requests to an endpoint that was gone before the restore.
async def test_gone_endpoint_stays_unused_until_it_registers_again(start_system):
    first, second = _create_endpoints()
    system = await start_system(first, second)
    copy = _copy_and_advance(system)
    system.store.delete("servers", "i-1")
    await _wait_until_usable(system, "i-2")
    system.store.restore(copy)
    await _assert_usable_for(system, 2.0, "i-2")
    system.store.put("servers", "i-1", first.build_registration(seq=9))
    await _wait_until_usable(system, "i-1", "i-2")


# Guards against an endpoint that is taken for its earlier process, whose registration
# the copy holds.
async def test_restarted_endpoint_is_not_taken_for_its_earlier_process(start_system):
    first, second = _create_endpoints()
    system = await start_system(first, second)
    copy = _copy_and_advance(system)
    system.store.put("servers", "i-1", first.build_registration(born=2))
    table = system.entry._fleet.endpoints
    await fleetstandins.wait_until(lambda: table.get("i-1").born_ms == 2)
    system.store.restore(copy)
    for _ in range(40):
        assert table.get("i-1").born_ms == 2
        await asyncio.sleep(0.05)


# Guards against the loss of a sound endpoint whose registration the copy lacks.
async def test_endpoint_registered_in_the_lost_seconds_is_kept(start_system):
    first, second = _create_endpoints()
    system = await start_system(first, second)
    third = fleetstandins.EndpointStandIn("i-3", _answer)
    await third.start()
    copy = _copy_and_advance(system)
    system.store.put("servers", "i-3", third.build_registration())
    await _wait_until_usable(system, "i-1", "i-2", "i-3")
    system.store.restore(copy)
    await _assert_usable_for(system, 1.2, "i-1", "i-2", "i-3")
    system.store.put("servers", "i-3", third.build_registration())
    await _assert_usable_for(system, 3.0, "i-1", "i-2", "i-3")
    third.close()


# Guards against an entry that later ones don't find, since its row was written once.
async def test_entry_registers_again_after_the_store_lost_its_row(start_system):
    copies = []
    system = await start_system(config=False)
    copies.append(system.store.copy())
    system.store.put("op", "config", fleetstandins.build_configuration())
    row = ("entries", system.settings.name)
    await fleetstandins.wait_until(lambda: row in system.store.rows)
    rows, version, history, start = system.store.copy()
    rows.pop(row)
    system.store.restore((rows, version, history, start))
    await fleetstandins.wait_until(lambda: row in system.store.rows, 3.0)
