"""Tests of the request queue under overload."""

import random

from chicoryweir_policy.forwarding import queueing


def _admit_all(priority, late):
    return True


def _admit_on_time(priority, late):
    return not late


def test_on_time_request_is_dequeued_before_late_one(make_request):
    queue = queueing.create_request_queue()
    queue.push(make_request("late", 0.0), 0.0)
    queue.push(make_request("on-time", 0.4), 0.4)
    assert queue.pop(0.45, _admit_all).request_id == "on-time"
    assert queue.pop(0.45, _admit_all).request_id == "late"


def test_late_request_stays_queued_if_only_on_time_ones_are_wanted(make_request):
    queue = queueing.create_request_queue()
    queue.push(make_request("late", 0.0), 0.0)
    assert queue.pop(0.6, _admit_on_time) is None
    assert queue.pop(0.6, _admit_all).request_id == "late"


def test_request_whose_caller_would_leave_is_rejected(make_request):
    queue = queueing.create_request_queue()
    queue.push(make_request("a", 0.0), 0.0)
    assert queue.expire(1.0) == ()
    (rejection,) = queue.expire(1.9)
    assert rejection.request.request_id == "a"
    assert rejection.retry_after_s > 0.0
    assert len(queue) == 0


def test_request_of_more_urgent_route_is_dequeued_first(make_request):
    queue = queueing.create_request_queue()
    queue.push(make_request("letter", route_priority=2, objective_at=0.6), 0.0)
    queue.push(make_request("query", route_priority=0, objective_at=1.1), 0.0)
    assert queue.pop(0.0, _admit_all).request_id == "query"


def test_small_workspace_is_served_during_flood_of_another(make_request):
    queue = queueing.create_request_queue()
    for number in range(100):
        queue.push(make_request(f"big-{number}", workspace="big"), 0.0)
    queue.push(make_request("small", workspace="small"), 0.0)
    first = [queue.pop(0.1, _admit_all).request_id for _ in range(3)]
    assert "small" in first


def test_most_started_requests_are_on_time_at_three_times_the_capacity(
    make_request,
):
    """For 10 s, 30 requests per second arrive and 10 can start."""
    on_time_shares = []
    for seed in range(10):
        rng = random.Random(seed)
        queue = queueing.create_request_queue()
        now, started_on_time, rejected = 0.0, [], 0
        next_start, number = 0.0, 0
        while now < 10.0:
            now += rng.expovariate(30.0)
            number += 1
            rejections = queue.push(make_request(str(number), now), now)
            rejected += len(rejections) + len(queue.expire(now))
            while next_start <= now:
                request = queue.pop(now, _admit_all)
                if request is None:
                    next_start = now
                    break
                started_on_time.append(now <= request.latest_on_time_start_at)
                next_start += 0.1
        assert rejected >= number / 3
        on_time_shares.append(sum(started_on_time) / len(started_on_time))
    assert min(on_time_shares) >= 0.9


def test_request_that_would_start_too_late_is_rejected_early(
    make_request,
):
    """On-time requests use the whole capacity, so that no late request starts."""
    queue = queueing.create_request_queue()
    queue.set_saturated(True)
    now = 0.0
    for number in range(400):
        now += 0.02
        queue.push(make_request(f"a{number}", now), now)
        queue.push(make_request(f"b{number}", now), now)
        queue.pop(now, _admit_all)
    rejected = {r.request.request_id for r in queue.expire(now)}
    queue.push(make_request("x", now, objective_at=now + 0.25, workspace="v"), now)
    rejected |= {r.request.request_id for r in queue.expire(now + 0.1)}
    assert "x" in rejected


# Guards against an estimate that rejects all requests which could correct it.
def test_late_request_is_queued_after_a_time_in_which_none_could_start(make_request):
    queue = queueing.create_request_queue()
    now = 0.0
    for number in range(400):
        now += 0.02
        queue.push(make_request(f"a{number}", now), now)
        queue.push(make_request(f"b{number}", now), now)
        queue.pop(now, _admit_on_time)
    queue.expire(now + 3.0)
    late = make_request("late", now, objective_at=now, abandon_at=now + 5.0)
    assert queue.push(late, now + 3.0) == ()


def test_less_urgent_class_waits_until_it_is_admitted(make_request):
    queue = queueing.create_request_queue()
    queue.push(make_request("bulk", priority=2), 0.0)
    queue.push(make_request("urgent", priority=0, workspace="v"), 0.0)

    def admit_urgent(priority, late):
        return priority == 0

    assert queue.pop(0.1, admit_urgent).request_id == "urgent"
    assert queue.pop(0.1, admit_urgent) is None
    assert queue.pop(0.1, _admit_all).request_id == "bulk"


def test_retry_after_times_of_rejected_requests_are_spread(make_request):
    queue = queueing.create_request_queue()
    retry_after_s = []
    for number in range(300):
        for rejection in queue.push(make_request(str(number), abandon_at=0.3), 0.0):
            retry_after_s.append(rejection.retry_after_s)
    assert len(retry_after_s) > 20
    assert max(retry_after_s) > 1.5 * min(retry_after_s)
