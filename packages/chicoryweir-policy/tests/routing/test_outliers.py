"""Tests of outlier ejection."""

import hypothesis
from hypothesis import strategies

from chicoryweir_policy.routing import outliers

MEMBERS = tuple(f"agent-{number}" for number in range(16))


def _record_token_times(detector, token_times_s, start=0.0, seconds=10):
    for second in range(seconds):
        for name, token_time_s in token_times_s.items():
            detector.record_token_time(name, token_time_s, start + second)
    return start + seconds


def test_endpoint_slower_than_its_peers_is_ejected():
    detector = outliers.OutlierDetector()
    token_times_s = dict.fromkeys(MEMBERS, 0.02) | {"agent-3": 0.5}
    now = _record_token_times(detector, token_times_s)
    (ejected,) = detector.eject(MEMBERS, now)
    assert ejected.instance == "agent-3"
    assert ejected.until == now + outliers.EJECTION_S
    assert detector.eject(MEMBERS, now + 1) == ()


def test_failing_endpoint_is_ejected():
    detector = outliers.OutlierDetector()
    for second in range(20):
        for name in MEMBERS[:3]:
            detector.record_outcome(name, name == "agent-1" and second % 2 == 0, second)
    (ejected,) = detector.eject(MEMBERS[:3], 20.0)
    assert ejected.instance == "agent-1"


def test_none_is_ejected_when_all_are_slow_or_all_fail():
    detector = outliers.OutlierDetector()
    now = _record_token_times(detector, dict.fromkeys(MEMBERS, 0.02))
    now = _record_token_times(detector, dict.fromkeys(MEMBERS, 5.0), now)
    for name in MEMBERS:
        for _ in range(10):
            detector.record_outcome(name, True, now)
    assert detector.eject(MEMBERS, now) == ()


@hypothesis.given(
    strategies.lists(strategies.floats(0.001, 10.0), min_size=1, max_size=16),
    strategies.floats(0.0, 1.0),
)
def test_ejected_share_stays_bounded(token_times_s, share):
    detector = outliers.OutlierDetector()
    members = MEMBERS[: len(token_times_s)]
    ejected_until: dict[str, float] = {}
    now = 0.0
    for _ in range(4):
        now = _record_token_times(
            detector, dict(zip(members, token_times_s, strict=True)), now
        )
        for ejected in detector.eject(members, now, share):
            ejected_until[ejected.instance] = ejected.until
        assert sum(now < until for until in ejected_until.values()) <= share * len(
            members
        )


def test_ejection_time_doubles_while_endpoint_keeps_failing():
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


def test_recovered_endpoint_is_not_ejected_for_old_samples():
    detector = outliers.OutlierDetector()
    now = _record_token_times(detector, dict.fromkeys(MEMBERS, 0.02) | {"agent-3": 5.0})
    detector.record_token_time("agent-3", 0.02, now)
    assert detector.eject(MEMBERS, now) == ()
