"""Tests of relayed announcements, and of those that can't be applied whole."""

import dataclasses

import pytest
import structlog

from chicoryweir_daemon.forwarder import announcements
from chicoryweir_daemon.forwarder import eventlog
from chicoryweir_daemon.forwarder import fleet as fleets
from chicoryweir_daemon.forwarder import gossip as gossips
from chicoryweir_policy.forwarding import endpoints
from chicoryweir_policy.forwarding import peers


class Clock:
    def read(self):
        return 10.0

    def read_boot(self):
        return 10.0


class _Transport:
    def __init__(self):
        self.sent = []

    def sendto(self, data, address):
        self.sent.append((address[0], data))


def announce(name, host, data_centre, sequence=1):
    return peers.Announcement(
        name, 1, sequence, host, data_centre, f"{host}:80", True, 0, {}, ()
    )


# Guards against an announcement that circulates: one that is known is not relayed.
def test_marked_announcement_is_relayed_once_without_the_mark(settings):
    fleet = fleets.Fleet(settings, Clock())
    event_log = eventlog.EventLog("front-1")
    gossip = gossips.Gossip(fleet, event_log, 7, lambda host, version: None)
    transport = _Transport()
    gossip.connection_made(transport)
    own = fleet.settings.data_centre
    neighbour = announce("near", "10.0.0.2", own)
    gossip.datagram_received(announcements.encode(neighbour), ("10.0.0.2", 1))
    gossip.announce_periodically()
    transport.sent.clear()
    data = announcements.encode(announce("far", "10.9.0.1", f"not-{own}"))
    for _ in range(2):
        gossip.datagram_received(gossips.RELAY_MARK + data, ("10.9.0.1", 1))
    assert transport.sent == [("10.0.0.2", data)]
    plain = announce("far", "10.9.0.1", f"not-{own}", sequence=2)
    gossip.datagram_received(announcements.encode(plain), ("10.9.0.1", 1))
    assert len(transport.sent) == 1


STEPS = {
    "loads": lambda fleet: (fleet.loads, "set_peer"),
    "crashes": lambda fleet: (fleet.crashes, "merge"),
    "prompt parts": lambda fleet: (fleet.crashes.parts, "merge"),
    "rates": lambda fleet: (fleet.rate_limits, "merge"),
    "rests": lambda fleet: (fleet.rests, "merge"),
}


# Guards against an error in one part of an announcement that drops the others: among
# them that an endpoint leaves, and that there is a newer configuration.
@pytest.mark.parametrize("step", STEPS)
def test_part_that_raises_does_not_keep_the_others_away(settings, step, monkeypatch):
    fleet = fleets.Fleet(settings, Clock())
    endpoint = endpoints.Endpoint("i-1", "s", "10.1.0.1", 80, "dc", 2, False, 0.0, 1)
    fleet.endpoints.apply(endpoints.Registered(endpoint), 0.0)
    fetched = []
    gossip = gossips.Gossip(
        fleet, eventlog.EventLog("e-1"), 7, lambda host, version: fetched.append(host)
    )

    def fail(*arguments):
        raise KeyError("lost")

    monkeypatch.setattr(*STEPS[step](fleet), fail)
    announcement = dataclasses.replace(
        announce("far", "10.9.0.1", "dc"),
        version=9,
        leaving=(endpoints.Leaving("i-1", 1),),
    )
    with structlog.testing.capture_logs() as lines:
        gossip.datagram_received(announcements.encode(announcement), ("10.9.0.1", 1))
    assert fleet.endpoints.get("i-1").leaving
    assert fetched == ["10.9.0.1"]
    assert step in lines[0]["detail"]
