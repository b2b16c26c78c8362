"""Tests of what the shared state of an entry does with endpoints' statements."""

import dataclasses

import pytest

from chicoryweir_daemon.forwarder import coldreports
from chicoryweir_daemon.forwarder import fleet as fleets
from chicoryweir_policy.forwarding import configuration
from chicoryweir_policy.forwarding import demand
from chicoryweir_policy.forwarding import dispatching
from chicoryweir_policy.forwarding import endpoints
from chicoryweir_policy.forwarding import queueing
from chicoryweir_policy.forwarding import statements

SERVICE = configuration.Service("svc", 9, None, cold_rate=14.0)
ENDPOINT = endpoints.Endpoint("i-1", "svc", "10.0.0.1", 80, "dc", 6, False, 0.0, 1)
# A value of each field with which an endpoint wants no request.
REFUSING = {"max_rate": 0.0, "rest_s": 5.0, "leaving": True, "cold_s": 3.0}
FIELDS = {field.name for field in dataclasses.fields(statements.Statement)}


def _submit(fleet, request_id, now):
    request = queueing.PendingRequest(
        request_id=request_id,
        workspace="w",
        priority=1,
        route_priority=0,
        estimate=demand.Demand(100.0, 0.2, 900.0),
        objective_at=now + 0.5,
        abandon_at=now + 2.0,
        arrived_at=now,
    )
    outcomes = fleet.get_dispatcher("svc").submit(request, SERVICE, now)
    return [o for o in outcomes if o.request.request_id == request_id][-1]


# Guards against a statement of an endpoint that is read but that no decision uses.
@pytest.mark.parametrize("field", sorted(FIELDS - {"unknown"}))
def test_each_statement_keeps_requests_from_the_endpoint(settings, field):
    fleet = fleets.Fleet(settings, None)
    fleet.endpoints.replace_all([ENDPOINT], 0.0)
    assert isinstance(_submit(fleet, "a", 0.0), dispatching.Dispatched)
    statement = statements.Statement(**{field: REFUSING[field]})
    fleet.record_statement(ENDPOINT, statement, 0.0, 0.1)
    assert not isinstance(_submit(fleet, "b", 0.2), dispatching.Dispatched)


def test_unknown_statements_are_reported_once_for_a_service(settings):
    fleet = fleets.Fleet(settings, None)
    statement = statements.Statement(unknown=("server-mood",))
    assert fleet.take_unknown_statements("svc", statement) == ["server-mood"]
    assert fleet.take_unknown_statements("svc", statement) == []
    assert fleet.take_unknown_statements("other", statement) == ["server-mood"]


def test_number_of_remembered_unknown_statements_is_bounded(settings):
    fleet = fleets.Fleet(settings, None)
    names = tuple(f"server-{n}" for n in range(fleets.MAX_UNKNOWN_STATEMENTS + 9))
    taken = [
        name
        for one in names
        for name in fleet.take_unknown_statements(
            "svc", statements.Statement(unknown=(one,))
        )
    ]
    assert len(taken) == fleets.MAX_UNKNOWN_STATEMENTS


class Clock:
    now = 10.0

    def read(self):
        return self.now


def _answer(fleet, now, token_time_s):
    """Records an answer of each of four endpoints; that of i-1 takes another time."""
    for name in ("i-1", "i-2", "i-3", "i-4"):
        is_other = name == "i-1"
        fleet.outliers.record_outcome(name, False, now)
        fleet.outliers.record_token_time(name, token_time_s if is_other else 0.01, now)


def _eject(fleet, now):
    ejected = fleet.outliers.eject(("i-1", "i-2", "i-3", "i-4"), now)
    fleet.ejected_until |= {one.instance: one.until for one in ejected}
    return [one.instance for one in ejected]


# Guards against an endpoint that is avoided, or compared with others, by what its
# previous process did, also if its registration was removed in between.
@pytest.mark.parametrize("meaning", ["registered", "restarted"])
def test_start_discards_what_was_measured_before(settings, meaning):
    fleet = fleets.Fleet(settings, Clock())
    fleet.endpoints.replace_all([ENDPOINT], 0.0)
    for tenth in range(100):
        _answer(fleet, tenth / 10, 1.0)
    assert _eject(fleet, 10.0) == ["i-1"]
    for tenth in range(90):
        _answer(fleet, 10.0 + tenth / 10, 1.0)
    fleet.clock.now = 19.0
    transition = endpoints.Transition("i-1", "svc", meaning)
    coldreports.record_start(fleet, transition)
    assert not fleet.ejected_until
    for tenth in range(100):
        _answer(fleet, 19.0 + tenth / 10, 0.01)
        assert not _eject(fleet, 19.0 + tenth / 10)


# Guards against an endpoint that is ejected because it is slow for 3 s after its start;
# one that stays slow is still ejected.
@pytest.mark.parametrize("slow_s", [5.0, 60.0])
def test_endpoint_is_not_ejected_for_its_slow_start(settings, slow_s):
    fleet = fleets.Fleet(settings, Clock())
    fleet.endpoints.replace_all([dataclasses.replace(ENDPOINT, cold_s=3.0)], 0.0)
    coldreports.record_start(fleet, endpoints.Transition("i-1", "svc", "restarted"))
    ejected = []
    for tenth in range(200):
        now = 10.0 + tenth / 10
        _answer(fleet, now, 0.5 if tenth / 10 < slow_s else 0.01)
        ejected += _eject(fleet, now)
    assert bool(ejected) == (slow_s > 5.0)
