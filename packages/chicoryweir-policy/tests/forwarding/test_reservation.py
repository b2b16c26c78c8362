"""Tests of the admission limits of classes."""

from chicoryweir_policy.forwarding import reservation

LIMIT = 100


def _compute_limits(demanded, priority, late=False):
    """Returns the limits of a class over time while classes are in demand."""
    limits = reservation.Reservation("entry")
    found = []
    for period in range(50):
        now = period * reservation.DRAW_PERIOD_S
        for demanded_priority in demanded:
            limits.record_request(demanded_priority, False, now)
        found.append(limits.compute_limit(LIMIT, priority, late, now))
    return found


def test_less_urgent_classes_stop_first():
    urgent, standard, bulk = (_compute_limits((0, 1, 2), p) for p in range(3))
    assert min(urgent) >= LIMIT >= max(standard)
    assert max(bulk) < max(standard)
    assert max(_compute_limits((0, 1, 2), 0, late=True)) < LIMIT


def test_class_gets_all_capacity_while_no_more_urgent_one_is_in_demand():
    assert min(_compute_limits((2,), 2)) >= LIMIT
    limits = reservation.Reservation("entry")
    limits.record_request(0, False, 0.0)
    later = reservation.DEMAND_MEMORY_S + 0.1
    assert limits.compute_limit(LIMIT, 2, False, later) >= LIMIT


def test_each_class_in_demand_keeps_its_floor():
    limits = reservation.Reservation("entry")
    admitted = 0
    for number in range(1000):
        now = 0.01 * number
        for priority in (0, 2):
            limits.record_request(priority, False, now)
        # Requests of the most urgent class keep the service at its limit.
        if limits.compute_limit(LIMIT, 2, False, now) > LIMIT - 1:
            admitted += 1
            limits.record_start(2, now)
        else:
            limits.record_start(0, now)
    assert admitted >= 0.9 * reservation.FLOOR_SHARE * 1000


def test_entries_have_different_limits_at_the_same_time():
    found = []
    for number in range(20):
        limits = reservation.Reservation(f"entry-{number}")
        limits.record_request(0, False, 5.0)
        found.append(limits.compute_limit(LIMIT, 0, True, 5.0))
    assert max(found) - min(found) > 10


# Guards against late requests that wait for their deadline beside free slots.
def test_late_requests_get_all_capacity_while_no_on_time_ones_arrive():
    limits = reservation.Reservation("entry")
    limits.record_request(0, False, 5.0)
    limits.record_request(0, True, 6.5)
    assert limits.compute_limit(LIMIT, 0, True, 5.5) < LIMIT
    assert limits.compute_limit(LIMIT, 0, True, 6.5) == LIMIT
