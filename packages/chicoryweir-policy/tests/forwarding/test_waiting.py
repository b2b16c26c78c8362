"""Bursts of several times what the endpoints can take."""

import random

from chicoryweir_policy.forwarding import waiting


def test_request_that_can_be_in_time_goes_before_one_that_is_late(make_ticket):
    room = waiting.create_waiting_room()
    room.push(make_ticket("late", 0.0), 0.0)
    room.push(make_ticket("timely", 0.4), 0.4)
    assert room.pop(0.45, timely_only=False).request_id == "timely"
    assert room.pop(0.45, timely_only=False).request_id == "late"


def test_late_request_stays_while_others_can_be_in_time_elsewhere(make_ticket):
    room = waiting.create_waiting_room()
    room.push(make_ticket("late", 0.0), 0.0)
    assert room.pop(0.6, timely_only=True) is None
    assert room.pop(0.6, timely_only=False).request_id == "late"


def test_request_that_nobody_waits_for_any_more_is_rejected(make_ticket):
    room = waiting.create_waiting_room()
    room.push(make_ticket("a", 0.0), 0.0)
    assert room.expire(1.0) == ()
    (refusal,) = room.expire(1.9)
    assert refusal.ticket.request_id == "a"
    assert refusal.retry_after_s > 0.0
    assert len(room) == 0


def test_more_urgent_route_of_one_workspace_goes_first(make_ticket):
    room = waiting.create_waiting_room()
    room.push(make_ticket("letter", urgency=2, objective_at=0.6), 0.0)
    room.push(make_ticket("query", urgency=0, objective_at=1.1), 0.0)
    assert room.pop(0.0, timely_only=False).request_id == "query"


def test_small_workspace_is_served_beside_one_that_floods(make_ticket):
    room = waiting.create_waiting_room()
    for number in range(100):
        room.push(make_ticket(f"big-{number}", workspace="big"), 0.0)
    room.push(make_ticket("small", workspace="small"), 0.0)
    first = [room.pop(0.1, timely_only=False).request_id for _ in range(3)]
    assert "small" in first


def test_burst_of_three_times_the_capacity_keeps_the_endpoints_on_timely_work(
    make_ticket,
):
    """For 10 s, 30 requests a second come and 10 can start."""
    served_in_time = []
    for seed in range(10):
        rng = random.Random(seed)
        room = waiting.create_waiting_room()
        now, started, rejected = 0.0, [], 0
        next_start, number = 0.0, 0
        while now < 10.0:
            now += rng.expovariate(30.0)
            number += 1
            refusals = room.push(make_ticket(str(number), now), now)
            rejected += len(refusals) + len(room.expire(now))
            while next_start <= now:
                ticket = room.pop(now, timely_only=False)
                if ticket is None:
                    next_start = now
                    break
                started.append(now <= ticket.start_by)
                next_start += 0.1
        assert rejected >= number / 3
        served_in_time.append(sum(started) / len(started))
    assert min(served_in_time) >= 0.9


def test_request_that_would_start_too_late_is_rejected_when_that_is_known(
    make_ticket,
):
    """Timely requests take all the room, so that nothing late starts."""
    room = waiting.create_waiting_room()
    now = 0.0
    for number in range(400):
        now += 0.02
        room.push(make_ticket(f"a{number}", now), now)
        room.push(make_ticket(f"b{number}", now), now)
        room.pop(now, timely_only=False)
    rejected = {r.ticket.request_id for r in room.expire(now)}
    room.push(make_ticket("x", now, objective_at=now + 0.25, workspace="v"), now)
    rejected |= {r.ticket.request_id for r in room.expire(now + 0.1)}
    assert "x" in rejected


def test_rejected_callers_do_not_come_back_together(make_ticket):
    room = waiting.create_waiting_room()
    times = []
    for number in range(300):
        for refusal in room.push(make_ticket(str(number), give_up_at=0.3), 0.0):
            times.append(refusal.retry_after_s)
    assert len(times) > 20
    assert max(times) > 1.5 * min(times)
