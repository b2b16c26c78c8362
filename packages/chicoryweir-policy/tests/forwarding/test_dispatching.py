"""Several entries that send to the same endpoints."""

import dataclasses

from chicoryweir_policy.forwarding import configuration
from chicoryweir_policy.forwarding import dispatching
from chicoryweir_policy.forwarding import endpoints
from chicoryweir_policy.forwarding import loads
from chicoryweir_policy.forwarding import selection
from chicoryweir_policy.forwarding import waiting


def _build(make_endpoint, count=4, data_centre="telavi"):
    book = endpoints.EndpointBook()
    book.replace_all([make_endpoint(f"e{n}") for n in range(count)], 0.0)
    work = loads.LoadBook()
    dispatcher = dispatching.Dispatcher(
        book,
        work,
        selection.create_selector(data_centre),
        waiting.create_waiting_room(),
    )
    return book, work, dispatcher


def _offer(dispatcher, service, ticket, now=0.0):
    outcomes = dispatcher.offer(ticket, service, now)
    return [o for o in outcomes if o.ticket.request_id == ticket.request_id][-1]


def test_requests_spread_evenly(make_endpoint, make_ticket, service):
    _, work, dispatcher = _build(make_endpoint)
    for number in range(12):
        _offer(dispatcher, service, make_ticket(str(number)))
    assert {work.measure(f"e{n}", 0.0).requests for n in range(4)} == {3}


def test_work_of_other_entries_counts(make_endpoint, make_ticket, service):
    _, work, dispatcher = _build(make_endpoint, count=2)
    work.set_peer("other", {"e0": loads.Work(4, 0.0)}, 0.0)
    placed = _offer(dispatcher, service, make_ticket("a"))
    assert placed.endpoint.instance == "e1"


def test_work_of_an_entry_that_fell_silent_is_forgotten(make_endpoint):
    _, work, _ = _build(make_endpoint)
    work.set_peer("other", {"e0": loads.Work(4, 0.0)}, 0.0)
    assert work.measure("e0", 1.0).requests == 4
    assert work.measure("e0", loads.EXPIRY_S + 0.1).requests == 0


def test_request_waits_while_all_are_full_and_starts_when_one_ends(
    make_endpoint, make_ticket, service
):
    _, _, dispatcher = _build(make_endpoint, count=1)
    placed = [_offer(dispatcher, service, make_ticket(str(n))) for n in range(6)]
    waits = _offer(dispatcher, service, make_ticket("waits"))
    assert isinstance(waits, dispatching.Waits)
    dispatcher.finish(placed[0])
    (started,) = dispatcher.advance(service, 0.1)
    assert isinstance(started, dispatching.Placed)
    assert started.ticket.request_id == "waits"


def test_nothing_goes_to_an_endpoint_that_began_to_leave_meanwhile(
    make_endpoint, make_ticket, service
):
    book, _, dispatcher = _build(make_endpoint, count=1)
    placed = [_offer(dispatcher, service, make_ticket(str(n))) for n in range(6)]
    _offer(dispatcher, service, make_ticket("waits"))
    book.apply(endpoints.Registered(make_endpoint("e0", leaving=True)), 0.05)
    dispatcher.finish(placed[0])
    assert dispatcher.advance(service, 0.1) == ()


def test_endpoint_that_failed_is_not_tried_again(make_endpoint, make_ticket, service):
    _, _, dispatcher = _build(make_endpoint, count=2)
    ticket = make_ticket("a", excluded=frozenset({"e0"}))
    assert _offer(dispatcher, service, ticket).endpoint.instance == "e1"


def test_room_is_left_to_timely_requests_of_other_entries(
    make_endpoint, make_ticket, service
):
    _, _, dispatcher = _build(make_endpoint, count=1)
    placed = [_offer(dispatcher, service, make_ticket(str(n))) for n in range(6)]
    _offer(dispatcher, service, make_ticket("late"))
    dispatcher.note_peers(1)
    dispatcher.finish(placed[0])
    assert dispatcher.advance(service, 0.6) == ()
    dispatcher.note_peers(0)
    (started,) = dispatcher.advance(service, 0.7)
    assert started.ticket.request_id == "late"


def test_near_endpoint_goes_first_among_equals(make_endpoint, make_ticket, service):
    book, _, dispatcher = _build(make_endpoint, count=1)
    far = make_endpoint("far", data_centre="gurjaani")
    book.apply(endpoints.Registered(far), 0.0)
    assert _offer(dispatcher, service, make_ticket("a")).endpoint.instance == "e0"
    assert _offer(dispatcher, service, make_ticket("b")).endpoint.instance == "far"


def test_plain_service_is_bounded_by_its_slots(make_endpoint, make_ticket):
    plain = configuration.Service("model", 100, None)
    _, work, dispatcher = _build(make_endpoint, count=1)
    for number in range(9):
        _offer(dispatcher, plain, make_ticket(str(number)))
    assert work.measure("e0", 0.0).requests == 6


def test_prompts_that_fill_the_memory_are_not_sent_together(
    make_endpoint, make_ticket, service
):
    _, work, dispatcher = _build(make_endpoint, count=1)
    ticket = make_ticket("a")
    large = dataclasses.replace(ticket.wanted, memory_tokens=100_000.0)
    _offer(dispatcher, service, dataclasses.replace(ticket, wanted=large))
    second = make_ticket("b", wanted=large)
    assert isinstance(_offer(dispatcher, service, second), dispatching.Waits)
    assert work.measure("e0", 0.0).requests == 1


def test_slow_endpoint_gets_nothing_until_it_works_as_usual(
    make_endpoint, make_ticket, service
):
    _, work, dispatcher = _build(make_endpoint)
    dispatcher.note_paces({"e1": 6.0})
    for number in range(9):
        _offer(dispatcher, service, make_ticket(str(number)))
    assert work.measure("e1", 0.0).requests == 0
    dispatcher.note_paces({})
    placed = _offer(dispatcher, service, make_ticket("after"))
    assert placed.endpoint.instance == "e1"


def test_endpoints_are_used_where_most_are_slow(make_endpoint, make_ticket, service):
    _, work, dispatcher = _build(make_endpoint)
    dispatcher.note_paces({"e0": 6.0, "e1": 6.0, "e2": 6.0})
    for number in range(8):
        _offer(dispatcher, service, make_ticket(str(number)))
    assert {work.measure(f"e{n}", 0.0).requests for n in range(4)} == {2}


def test_request_goes_back_to_where_it_failed_only_if_nothing_else_is_left(
    make_endpoint, make_ticket, service
):
    _, _, dispatcher = _build(make_endpoint, count=2)
    some = make_ticket("a", excluded=frozenset({"e0"}))
    assert _offer(dispatcher, service, some).endpoint.instance == "e1"
    both = make_ticket("b", excluded=frozenset({"e0", "e1"}))
    assert isinstance(_offer(dispatcher, service, both), dispatching.Placed)
