"""Bursts of several times what the endpoints can take."""

import random

from chicoryweir_policy.forwarding import queueing


def test_request_that_can_be_in_time_goes_before_one_that_is_late(make_request):
    queue = queueing.create_request_queue()
    queue.push(make_request("late", 0.0), 0.0)
    queue.push(make_request("timely", 0.4), 0.4)
    assert queue.pop(0.45, on_time_only=False).request_id == "timely"
    assert queue.pop(0.45, on_time_only=False).request_id == "late"


def test_late_request_stays_while_others_can_be_in_time_elsewhere(make_request):
    queue = queueing.create_request_queue()
    queue.push(make_request("late", 0.0), 0.0)
    assert queue.pop(0.6, on_time_only=True) is None
    assert queue.pop(0.6, on_time_only=False).request_id == "late"


def test_request_that_nobody_waits_for_any_more_is_rejected(make_request):
    queue = queueing.create_request_queue()
    queue.push(make_request("a", 0.0), 0.0)
    assert queue.expire(1.0) == ()
    (rejection,) = queue.expire(1.9)
    assert rejection.request.request_id == "a"
    assert rejection.retry_after_s > 0.0
    assert len(queue) == 0


def test_more_urgent_route_of_one_workspace_goes_first(make_request):
    queue = queueing.create_request_queue()
    queue.push(make_request("letter", route_priority=2, objective_at=0.6), 0.0)
    queue.push(make_request("query", route_priority=0, objective_at=1.1), 0.0)
    assert queue.pop(0.0, on_time_only=False).request_id == "query"


def test_small_workspace_is_served_beside_one_that_floods(make_request):
    queue = queueing.create_request_queue()
    for number in range(100):
        queue.push(make_request(f"big-{number}", workspace="big"), 0.0)
    queue.push(make_request("small", workspace="small"), 0.0)
    first = [queue.pop(0.1, on_time_only=False).request_id for _ in range(3)]
    assert "small" in first


def test_burst_of_three_times_the_capacity_keeps_the_endpoints_on_timely_work(
    make_request,
):
    """For 10 s, 30 requests a second come and 10 can start."""
    served_in_time = []
    for seed in range(10):
        rng = random.Random(seed)
        queue = queueing.create_request_queue()
        now, started, rejected = 0.0, [], 0
        next_start, number = 0.0, 0
        while now < 10.0:
            now += rng.expovariate(30.0)
            number += 1
            rejections = queue.push(make_request(str(number), now), now)
            rejected += len(rejections) + len(queue.expire(now))
            while next_start <= now:
                request = queue.pop(now, on_time_only=False)
                if request is None:
                    next_start = now
                    break
                started.append(now <= request.on_time_start_by)
                next_start += 0.1
        assert rejected >= number / 3
        served_in_time.append(sum(started) / len(started))
    assert min(served_in_time) >= 0.9


def test_request_that_would_start_too_late_is_rejected_when_that_is_known(
    make_request,
):
    """Timely requests take all the queue, so that nothing late starts."""
    queue = queueing.create_request_queue()
    now = 0.0
    for number in range(400):
        now += 0.02
        queue.push(make_request(f"a{number}", now), now)
        queue.push(make_request(f"b{number}", now), now)
        queue.pop(now, on_time_only=False)
    rejected = {r.request.request_id for r in queue.expire(now)}
    queue.push(make_request("x", now, objective_at=now + 0.25, workspace="v"), now)
    rejected |= {r.request.request_id for r in queue.expire(now + 0.1)}
    assert "x" in rejected


def test_rejected_callers_do_not_come_back_together(make_request):
    queue = queueing.create_request_queue()
    times = []
    for number in range(300):
        for rejection in queue.push(make_request(str(number), abandon_at=0.3), 0.0):
            times.append(rejection.retry_after_s)
    assert len(times) > 20
    assert max(times) > 1.5 * min(times)
