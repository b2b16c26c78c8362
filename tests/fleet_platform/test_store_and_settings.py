"""Tests of store faults, unreadable rows and changes of the settings file."""

import asyncio
import dataclasses
import socket

import fleetstandins
import pytest
import structlog

from chicoryweir_daemon.forwarder import interfaces
from chicoryweir_daemon.forwarder import service
from chicoryweir_daemon.lifecycle import eventloop
from fleet_platform import adapters


async def _answer(endpoint, headers, writer):
    writer.write(fleetstandins.build_answer(headers["chicoryweir-attempt-id"]))
    await writer.drain()


def _list_instances(system):
    listed = system.entry._fleet.endpoints.list_all()
    return sorted(endpoint.instance for endpoint in listed)


async def test_entry_lists_endpoints_again_after_the_store_lost_its_history(
    start_system,
):
    endpoints = [fleetstandins.EndpointStandIn(f"i-{n}", _answer) for n in (1, 2)]
    system = await start_system(*endpoints)
    assert _list_instances(system) == ["i-1", "i-2"]
    system.store.delete("servers", "i-1")
    system.store.put("op", "config", fleetstandins.build_configuration(9))
    system.store.drop_history()
    await fleetstandins.wait_until(lambda: _list_instances(system) == ["i-2"], 2.0)
    await fleetstandins.wait_until(lambda: system.entry._fleet.version == 9, 2.0)
    assert (await system.call("/again/x"))[0] == 200


@pytest.mark.parametrize("listed", [True, False])
async def test_unreadable_registration_is_logged_with_the_reason(start_system, listed):
    endpoint = fleetstandins.EndpointStandIn("i-1", _answer)
    with structlog.testing.capture_logs() as lines:
        system = await start_system(endpoint)
        system.store.put("servers", "i-2", endpoint.build_registration(slots=0))
        system.store.put("servers", "i-3", b"\xff")
        if listed:
            system.store.drop_history()

        def find(name):
            return [
                line["detail"]
                for line in lines
                if line["event"] == "endpoint_unreadable" and line["peer"] == name
            ]

        await fleetstandins.wait_until(lambda: find("i-2") and find("i-3"))
    assert "0 slots" in find("i-2")[0]
    assert "no registration" in find("i-3")[0]


# A wait for a newer configuration that the store leaves unanswered hid all later ones.
@pytest.mark.parametrize("silent_s", [1.0, 2.5, 6.0])
@pytest.mark.parametrize("is_changed_meanwhile", [True, False])
async def test_configuration_is_adopted_in_time_after_the_store_was_silent(
    start_system, silent_s, is_changed_meanwhile
):
    system = await start_system(fleetstandins.EndpointStandIn("i-1", _answer))
    fleet = system.entry._fleet
    await asyncio.sleep(0.5)
    system.store.silent = True
    if is_changed_meanwhile:
        await asyncio.sleep(silent_s / 2)
        system.store.put("op", "config", fleetstandins.build_configuration(9))
        await asyncio.sleep(silent_s / 2)
    else:
        await asyncio.sleep(silent_s)
    system.store.silent = False
    await asyncio.sleep(3.0)
    system.store.put("op", "config", fleetstandins.build_configuration(12))
    await fleetstandins.wait_until(lambda: fleet.version == 12, 1.0)


async def test_store_outage_and_return_are_logged_once_each(start_system):
    with structlog.testing.capture_logs() as lines:
        system = await start_system(fleetstandins.EndpointStandIn("i-1", _answer))
        system.store.down = True
        await asyncio.sleep(1.5)
        system.store.down = False
        table = system.entry._fleet.endpoints
        await fleetstandins.wait_until(lambda: not table.is_store_unreachable)
        await asyncio.sleep(1.5)
    events = [line["event"] for line in lines]
    assert events.count("store_unreachable") == 1
    assert events.count("store_back") == 1


async def test_registered_hosts_that_are_not_ip_addresses_are_ignored(start_system):
    system = await start_system()
    system.store.put("entries", "x", b"")
    system.store.put("entries", "y", b"not an address")
    registry = system.entry._adapters.registry
    hosts = await registry.list_entries()
    assert not isinstance(hosts, interfaces.Unreachable)
    assert set(hosts) <= {"127.0.0.1"}


async def test_signal_reloads_settings_and_an_invalid_file_is_ignored(
    start_system,
):
    source = fleetstandins.SettingsStandIn()
    system = await start_system(source=source)
    fleet = system.entry._fleet
    bounds = dataclasses.replace(fleet.settings.bounds, budget_slack=7.0)
    source.settings = dataclasses.replace(fleet.settings, bounds=bounds)
    with structlog.testing.capture_logs() as lines:
        system.entry._reload.set()
        await fleetstandins.wait_until(lambda: fleet.settings.bounds.budget_slack == 7)
        source.settings = None
        system.entry._reload.set()
        await asyncio.sleep(0.2)
    assert fleet.settings.bounds == bounds
    events = {line["event"]: line for line in lines}
    assert events["daemon_reloaded"]["signalled"]
    assert "bounds.grace_s" in events["settings_file_bad"]["detail"]


async def test_file_change_without_a_signal_is_detected(start_system):
    source = fleetstandins.SettingsStandIn()
    system = await start_system(source=source)
    fleet = system.entry._fleet
    bounds = dataclasses.replace(fleet.settings.bounds, budget_slack=8.0)
    source.settings = dataclasses.replace(fleet.settings, bounds=bounds)
    source.changed = True
    await fleetstandins.wait_until(lambda: fleet.settings.bounds.budget_slack == 8)


# Guards against a bound that is applied while its last digits aren't written yet.
async def test_reload_waits_until_the_last_line_is_ended(start_system):
    source = fleetstandins.SettingsStandIn()
    system = await start_system(source=source)
    fleet = system.entry._fleet
    bounds = dataclasses.replace(fleet.settings.bounds, grace_s=1.0)
    source.settings = dataclasses.replace(fleet.settings, bounds=bounds)
    source.unended = True
    system.entry._reload.set()
    await asyncio.sleep(0.3)
    assert fleet.settings.bounds.grace_s == 8
    bounds = dataclasses.replace(bounds, grace_s=12.0)
    source.settings = dataclasses.replace(fleet.settings, bounds=bounds)
    source.unended = False
    await fleetstandins.wait_until(lambda: fleet.settings.bounds.grace_s == 12)


# Guards against an address that is handed out before connections are accepted there.
async def test_address_is_resolved_only_once_callers_can_connect(start_system):
    started = (await start_system()).settings
    settings = dataclasses.replace(
        started,
        host="127.0.0.9",
        callers=dataclasses.replace(started.callers, host="127.0.0.9"),
        resolution=dataclasses.replace(started.resolution, host="127.0.0.9"),
        readiness=None,
    )
    with socket.create_server((settings.callers.host, settings.callers.port)):
        waiting = service.Service(
            settings,
            adapters.bind_adapters(settings),
            fleetstandins.UnchangedSettings(),
            eventloop.Requests(),
        )
        task = asyncio.create_task(waiting.run())
        await asyncio.sleep(0.3)
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection(
                settings.resolution.host, settings.resolution.port
            )
    await fleetstandins.wait_until_listening(settings.resolution)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


# Guards against a stopped entry that stays registered.
async def test_stopping_entry_is_not_registered_again_after_a_restore(start_system):
    system = await start_system(name="stopping")
    key = ("entries", "stopping")
    await fleetstandins.wait_until(lambda: key in system.store.rows)
    system.entry._stop.set()
    await fleetstandins.wait_until(lambda: key not in system.store.rows)
    system.store.restore(system.store.copy())
    system.store.put("unread", "row", {})
    await asyncio.wait_for(system.task, 10.0)
    assert key not in system.store.rows


async def test_unreadable_lease_is_logged_and_requests_are_forwarded(
    start_system,
):
    system = await start_system(fleetstandins.EndpointStandIn("i-1", _answer))
    holder = system.entry._lease_holder
    await fleetstandins.wait_until(lambda: holder.holds)
    (table, key), _ = next(
        item for item in system.store.rows.items() if item[0][1].startswith("lease/")
    )
    with structlog.testing.capture_logs() as lines:
        system.store.put(table, key, b"\xff")
        await fleetstandins.wait_until(
            lambda: any("be read" in line.get("detail", "") for line in lines), 8.0
        )
    reads = system.store.calls["rows-get"]
    await fleetstandins.wait_until(lambda: system.store.calls["rows-get"] > reads + 2)
    assert not system.task.done()
    assert (await system.call("/again/x"))[0] == 200


async def test_datagram_send_error_is_logged(start_system):
    system = await start_system()
    with structlog.testing.capture_logs() as lines:
        system.entry._gossip.error_received(OSError("message too long"))
        system.entry._gossip.error_received(ConnectionRefusedError())
    errors = [line for line in lines if line["event"] == "announcement_not_sent"]
    assert len(errors) == 1
    assert "too long" in errors[0]["detail"]
