"""Tests of outlier ejection."""

import hypothesis
from hypothesis import strategies

from chicoryweir_policy.routing import outliers

MEMBERS = tuple(f"agent-{number}" for number in range(16))


def _feed(detector, paces, start=0.0, seconds=10):
    for second in range(seconds):
        for name, token_time_s in paces.items():
            detector.record_token_time(name, token_time_s, start + second)
    return start + seconds


def test_endpoint_slower_than_its_peers_is_taken_out():
    detector = outliers.OutlierDetector()
    paces = dict.fromkeys(MEMBERS, 0.02) | {"agent-3": 0.5}
    now = _feed(detector, paces)
    (ejected,) = detector.eject(MEMBERS, now)
    assert ejected.instance == "agent-3"
    assert ejected.until == now + outliers.EJECTION_S
    assert detector.eject(MEMBERS, now + 1) == ()


def test_failing_endpoint_is_taken_out():
    detector = outliers.OutlierDetector()
    for second in range(20):
        for name in MEMBERS[:3]:
            detector.record_outcome(name, name == "agent-1" and second % 2 == 0, second)
    (ejected,) = detector.eject(MEMBERS[:3], 20.0)
    assert ejected.instance == "agent-1"


def test_none_is_taken_out_when_all_are_slow_or_all_fail():
    detector = outliers.OutlierDetector()
    now = _feed(detector, dict.fromkeys(MEMBERS, 0.02))
    now = _feed(detector, dict.fromkeys(MEMBERS, 5.0), now)
    for name in MEMBERS:
        for _ in range(10):
            detector.record_outcome(name, True, now)
    assert detector.eject(MEMBERS, now) == ()


@hypothesis.given(
    strategies.lists(strategies.floats(0.001, 10.0), min_size=1, max_size=16),
    strategies.floats(0.0, 1.0),
)
def test_share_that_is_out_stays_bounded(paces, share):
    detector = outliers.OutlierDetector()
    members = MEMBERS[: len(paces)]
    out: dict[str, float] = {}
    now = 0.0
    for _ in range(4):
        now = _feed(detector, dict(zip(members, paces, strict=True)), now)
        for ejected in detector.eject(members, now, share):
            out[ejected.instance] = ejected.until
        assert sum(now < until for until in out.values()) <= share * len(members)


def test_endpoint_that_keeps_failing_is_out_for_longer_each_time():
    detector = outliers.OutlierDetector()
    durations = []
    now = 0.0
    for _ in range(3):
        for name in MEMBERS:
            for _ in range(10):
                detector.record_outcome(name, name == "agent-3", now)
        (ejected,) = detector.eject(MEMBERS, now)
        durations.append(ejected.until - now)
        now = ejected.until
    assert durations == [3.0, 6.0, 12.0]


def test_endpoint_that_has_recovered_is_not_taken_out_for_its_past():
    detector = outliers.OutlierDetector()
    now = _feed(detector, dict.fromkeys(MEMBERS, 0.02) | {"agent-3": 5.0})
    detector.record_token_time("agent-3", 0.02, now)
    assert detector.eject(MEMBERS, now) == ()
