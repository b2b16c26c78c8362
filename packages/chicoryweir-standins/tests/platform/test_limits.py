"""Tests of the platform's rate limits."""

from chicoryweir_standins.platform import limits


def test_work_beyond_the_burst_waits() -> None:
    bucket = limits.TokenBucket(rate=10.0, burst=1.0, max_wait_s=5.0)
    waits = [bucket.reserve(1.0, 0.0) for _ in range(3)]
    assert waits == [0.0, 0.1, 0.2]


def test_full_queue_rejects_work_until_it_drains() -> None:
    bucket = limits.TokenBucket(rate=1.0, burst=0.0, max_wait_s=2.0)
    assert bucket.reserve(2.0, 0.0) == 2.0
    assert bucket.reserve(1.0, 0.0) is None
    assert bucket.reserve(1.0, 1.0) == 2.0
