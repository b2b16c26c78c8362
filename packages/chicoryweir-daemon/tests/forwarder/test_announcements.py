"""Tests of the encoding of announcements between entries."""

import cbor2
import pytest

from chicoryweir_daemon.forwarder import announcements
from chicoryweir_policy.forwarding import endpoints
from chicoryweir_policy.forwarding import evacuations
from chicoryweir_policy.forwarding import loads
from chicoryweir_policy.forwarding import partattribution
from chicoryweir_policy.forwarding import peers
from chicoryweir_policy.forwarding import promptparts
from chicoryweir_policy.forwarding import ratelimits
from chicoryweir_policy.forwarding import rests
from chicoryweir_policy.quarantine import records

ANNOUNCEMENT = peers.Announcement(
    name="front-1",
    incarnation=5,
    sequence=9,
    host="10.0.0.1",
    data_centre="telavi",
    address="10.0.0.1:80",
    ready=True,
    version=7,
    endpoint_loads={"i-1": loads.Load(2, 900.0)},
    peers=("10.0.0.2",),
    duties=frozenset({"expert-maps"}),
    on_time={"model": 3},
    reaches_store=False,
    released_fence=4,
    crash_update=records.News(
        2,
        (records.Loss(records.LossId("i-2", "17"), frozenset({2**63 + 5}), 1.5),),
        (records.Clearance(11, frozenset({records.LossId("i-2", "17")})),),
    ),
    slowdowns={"i-3": 6.25},
    capacity=430.2,
    part_update=promptparts.Update(
        (
            promptparts.Crash(
                records.LossId("i-4", "18"),
                frozenset(
                    {partattribution.Suspect(2**63 + 6, ("model/5c", "model/91"))}
                ),
                0.25,
            ),
        ),
        (promptparts.Proof("model/5c", 2.5),),
    ),
    rates=(
        ratelimits.Statement(records.LossId("i-5", "19"), 1.5, 0.5),
        ratelimits.Statement(records.LossId("i-6", "20"), None, 0.25),
    ),
    leaving=(endpoints.Leaving("i-7", 21),),
    rests=(rests.Announced(records.LossId("i-8", "22"), 2.5),),
    evacuations=(
        evacuations.Record("kutaisi", 2, 31, True, 1),
        evacuations.Record("telavi", 2, 40, False),
    ),
)


def test_announcement_round_trips():
    assert announcements.decode(announcements.encode(ANNOUNCEMENT)) == ANNOUNCEMENT


# Positions of the mappings, updates and lists of tuples in the datagram.
STRUCTURED_PARTS = (9, 13, 15, 16, 18, 19, 20, 21, 22)


@pytest.mark.parametrize("position", STRUCTURED_PARTS)
def test_datagram_with_part_of_wrong_type_is_rejected(position):
    parts = list(cbor2.loads(announcements.encode(ANNOUNCEMENT)))
    parts[position] = [[None]]
    with pytest.raises(ValueError, match="not an announcement"):
        announcements.decode(cbor2.dumps(parts))


@pytest.mark.parametrize("data", [b"", b"\xff", b"\x00", b"\x82\x01\x02", b"\xa0"])
def test_datagram_that_is_no_announcement_is_rejected(data):
    with pytest.raises(ValueError, match="announcement"):
        announcements.decode(data)


PROCESS = ("i-2", "17")
# Parts that decode, and what they are replaced by.
ODD_PARTS = {
    "a name that is none": (1, 7),
    "an endless name": (1, "a" * 5000),
    "a negative sequence": (3, -1),
    "a sequence that is none": (3, True),
    "a host name": (4, "front.example"),
    "a host with a null": (4, "10.0.0.1\x00"),
    "a host of many addresses": (4, "224.0.0.1"),
    "a host over IPv6": (4, "::1"),
    "an endless version": (8, 10**30),
    "a negative load": (9, {"i-1": (-3, 0)}),
    "a load that is none": (9, {"i-1": (1, float("nan"))}),
    "an infinite load": (9, {"i-1": (1, float("inf"))}),
    "another host's name": (10, ["10.0.0.2", "a" * 300 + ".example"]),
    "a negative queue": (13, {"model": -5}),
    "a negative fence": (14, -1),
    "a fingerprint past 64 bits": (15, (2, [(*PROCESS, [2**64], 1.5)], [])),
    "an age that is none": (15, (2, [(*PROCESS, [5], float("nan"))], [])),
    "no slowdown": (16, {"i-3": 0.0}),
    "an infinite slowdown": (16, {"i-3": float("inf")}),
    "a capacity that is none": (17, float("nan")),
    "a proof from the future": (18, ([], [("model/5c", -9.0)])),
    "a rate that is none": (19, [("i-5", "19", float("nan"), 0.5)]),
    "a negative rate": (19, [("i-5", "19", -1.0, 0.5)]),
    "a negative start": (20, [("i-7", -1)]),
    "an endless rest": (21, [("i-8", "22", float("inf"))]),
    "an evacuation of an endless name": (22, [("a" * 5000, 1, 2, True, None)]),
    "an evacuation of a negative era": (22, [("telavi", -1, 2, True, None)]),
}


# Guards against a datagram that breaks a later step, such as the socket that sends.
@pytest.mark.parametrize(("position", "value"), ODD_PARTS.values(), ids=ODD_PARTS)
def test_datagram_with_a_value_out_of_bounds_is_rejected(position, value):
    parts = list(cbor2.loads(announcements.encode(ANNOUNCEMENT)))
    parts[position] = value
    with pytest.raises(ValueError, match="not an announcement"):
        announcements.decode(cbor2.dumps(parts))


def test_deeply_nested_datagram_is_rejected():
    with pytest.raises(ValueError, match="not an announcement"):
        announcements.decode(b"\x81" * 20_000 + b"\x01")
