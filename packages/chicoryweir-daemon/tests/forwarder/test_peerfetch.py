"""Tests of when a configuration is fetched from another entry."""

import asyncio

import pytest

from chicoryweir_daemon.forwarder import eventlog
from chicoryweir_daemon.forwarder import fetching
from chicoryweir_daemon.forwarder import fleet as fleets
from chicoryweir_daemon.forwarder import peerfetch
from chicoryweir_policy.forwarding import configuration


class Clock:
    def read(self):
        return 0.0


class Watch:
    """Counts the renewals of the wait for a configuration."""

    def __init__(self):
        self.renewals = 0

    def renew(self):
        self.renewals += 1


def make_configuration(version):
    limits = configuration.Limits()
    return configuration.Configuration(version, (), (), None, limits)


async def fetch_after_announcement(settings, monkeypatch, store_delivers, reachable):
    """Announces version 2 to version 1.

    Returns:
        The numbers of fetches and of renewals of the wait at the store.
    """
    fleet = fleets.Fleet(settings, Clock())
    fleet.adopt(make_configuration(1), b"1")
    fleet.endpoints.record_store_call(reachable, 0.0)
    fetches = []

    async def fetch(pool, address, *args):
        fetches.append(address.host)
        raise fetching.FetchError("connect", address.host, "refused", sent=False)

    monkeypatch.setattr(peerfetch.fetching, "fetch", fetch)
    monkeypatch.setattr(peerfetch, "STORE_LEAD_S", 0.02)
    watch = Watch()
    fetcher = peerfetch.PeerFetcher(fleet, None, watch, eventlog.EventLog("front-1"))
    fetcher.fetch_newer_configuration("10.0.0.2", 2)
    if store_delivers:
        fleet.adopt(make_configuration(2), b"2")
    await fetcher._fetch_task
    return len(fetches), watch.renewals


# Guards against a configuration that is sent twice, by the store and by an entry, and
# against a wait for the next one that goes on though it missed this one.
@pytest.mark.parametrize(
    ("store_delivers", "reachable", "fetches", "renewals"),
    [(True, True, 0, 0), (False, True, 1, 1), (False, False, 1, 0)],
)
async def test_configuration_is_fetched_only_if_the_store_does_not_deliver_it(
    settings, monkeypatch, store_delivers, reachable, fetches, renewals
):
    async with asyncio.timeout(5.0):
        found = await fetch_after_announcement(
            settings, monkeypatch, store_delivers, reachable
        )
    assert found == (fetches, renewals)
