"""Tests of the selection of endpoints."""

import collections

import hypothesis
from hypothesis import strategies
import pytest

from chicoryweir_policy.routing import prefix
from chicoryweir_policy.routing import selection
from chicoryweir_policy.routing import views

NONE = frozenset()


def _select(request, book, excluded=NONE, now=0.0, suspect=False, prefixes=None):
    selector = selection.make_selector(prefixes or prefix.PrefixIndex())
    return selector.select_endpoint(
        request, book, excluded, "telavi", now, suspect=suspect
    )


def test_content_reaches_two_endpoints_through_any_entry(make_book, make_request):
    for number in range(50):
        request = make_request(f"content-{number}", (number + 1,))
        reached = set()
        for entry in range(7):
            book = make_book(
                16, data_centre=("telavi", "gurjaani", "sighnaghi")[entry % 3]
            )
            for sent in range(entry):
                book.record_sent(f"agent-{sent}", str(sent), 1, 900.0, request.priority)
            reached.add(_select(request, book).instance)
        assert len(reached) <= 2


def _make_prefix_books():
    books = [prefix.PrefixIndex() for _ in range(7)]
    for number, book in enumerate(books):
        for sent in range(100):
            block = 1 if sent < 15 * number else sent
            book.record_sent("agent-0", (block, 2000 + sent % 5))
    return books


def test_suspect_takes_down_no_third_endpoint_through_any_entries(
    make_book, make_request
):
    books = _make_prefix_books()
    for number in range(30):
        request = make_request(f"content-{number}", (1, 2000 + number))
        book = make_book(16)
        for first in books:
            lost = {_select(request, book, prefixes=first).instance}
            reached = {
                _select(request, book, frozenset(lost), suspect=True, prefixes=other)
                for other in books
            }
            assert len(reached) == 1
            lost.add(reached.pop().instance)
            again = [
                _select(request, book, frozenset(lost), suspect=True, prefixes=other)
                for other in books
            ]
            assert len({getattr(choice, "instance", None) for choice in again}) == 1
            assert len(lost) == 2


def test_suspect_waits_for_its_endpoint_to_come_back(make_book, make_request):
    book = make_book(16)
    request = make_request("content")
    chosen = _select(request, book, suspect=True).instance
    book.record_link_state(chosen, False, 0.0)
    assert _select(request, book, suspect=True) == selection.NoneAvailable(
        selection.Reason.SUSPECT, selection.RETRY_AFTER_MS
    )
    second = _select(request, book, frozenset({chosen}), suspect=True).instance
    both = frozenset({chosen, second})
    assert _select(request, book, both, suspect=True) == selection.NoneAvailable(
        selection.Reason.SUSPECT, None
    )


def test_repeated_prefix_returns_to_the_endpoint_that_caches_it(
    make_book, make_request
):
    prefixes = prefix.PrefixIndex()
    book = make_book(16)
    homes = set()
    for turn in range(20):
        request = make_request(f"turn-{turn}", (77, 78))
        selected = _select(request, book, prefixes=prefixes)
        prefixes.record_sent(selected.instance, request.prefix_blocks)
        homes.add(selected.instance)
    assert len(homes) == 1


def test_loaded_home_is_passed_over_for_the_second_candidate(
    make_book, make_request, make_report
):
    request = make_request("content", (77,))
    book = make_book(16)
    first = _select(request, book).instance
    book.record_report(first, make_report(wait_s=0.2), 0.0)
    second = _select(request, book)
    assert second.instance != first
    assert not second.spilled


def test_flood_spills_to_the_same_endpoint_through_any_entry(
    make_book, make_request, make_report
):
    request = make_request("content")
    selector = selection.make_selector(prefix.PrefixIndex())
    spilled_to = set()
    for data_centre in ("telavi", "gurjaani", "sighnaghi"):
        book = make_book(16, data_centre=data_centre)
        for _ in range(2):
            pair = selector.select_endpoint(
                request, book, NONE, data_centre, 0.0
            ).instance
            book.record_report(pair, make_report(wait_s=5.0), 0.0)
        selected = selector.select_endpoint(request, book, NONE, data_centre, 0.0)
        assert selected.spilled
        spilled_to.add(selected.instance)
    assert len(spilled_to) == 1


def test_idle_fleet_serves_from_the_own_place_where_the_content_allows(
    make_book, make_request
):
    book = make_book(16)
    members = book.list_members("model-desk")
    for number in range(50):
        request = make_request(f"content-{number}")
        pair = selection.rank_members(members, request.fingerprint)[:2]
        chosen = book.get_view(_select(request, book).instance)
        if any(member.data_centre == "telavi" for member in pair):
            assert chosen.data_centre == "telavi"


def test_far_place_takes_work_only_in_a_flood(make_book, make_request, make_report):
    far = {"gurjaani": 0.04, "sighnaghi": 0.04}
    book = make_book(6, latency_s=far)
    request = make_request("content")
    assert book.get_view(_select(request, book).instance).data_centre == "telavi"
    for instance in ("agent-0", "agent-3"):
        book.record_report(instance, make_report(wait_s=5.0), 0.0)
    assert book.get_view(_select(request, book).instance).data_centre != "telavi"


@hypothesis.settings(
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture]
)
@hypothesis.given(
    down=strategies.sets(strategies.integers(0, 7)),
    excluded=strategies.sets(strategies.integers(0, 7)),
    waits=strategies.lists(strategies.floats(0, 10), min_size=8, max_size=8),
)
def test_down_or_excluded_endpoints_are_never_selected(
    make_book, make_request, make_report, down, excluded, waits
):
    book = make_book(8)
    for number, wait_s in enumerate(waits):
        book.record_report(f"agent-{number}", make_report(wait_s=wait_s), 0.0)
    for number in down:
        book.record_link_state(f"agent-{number}", False, 0.0)
    barred = frozenset(f"agent-{number}" for number in excluded)
    selected = _select(make_request("content", (9,)), book, barred)
    left = {f"agent-{number}" for number in set(range(8)) - down - excluded}
    if left:
        assert selected.instance in left
    else:
        assert isinstance(selected, selection.NoneAvailable)


@pytest.mark.parametrize("suspect", [False, True])
def test_reason_is_told_when_none_is_available(make_book, make_request, suspect):
    request = make_request("content")
    empty = make_book(0)
    assert _select(request, empty, suspect=suspect).reason is (
        selection.Reason.NO_ENDPOINT
    )
    book = make_book(2)
    everyone = frozenset({"agent-0", "agent-1"})
    assert _select(request, book, everyone).reason is selection.Reason.EXCLUDED
    late = views.MAX_REPORT_AGE_S + 1
    assert _select(request, book, now=late).reason is selection.Reason.UNAVAILABLE


def test_ranking_is_even_and_stable(make_book):
    members = make_book(16).list_members("model-desk")
    firsts = collections.Counter()
    for number in range(4000):
        seed = prefix.hash_blocks(f"{number:0256d}")[0]
        ranked = selection.rank_members(members, seed)
        firsts[ranked[0].instance] += 1
        without = tuple(member for member in members if member is not ranked[3])
        assert selection.rank_members(without, seed) == ranked[:3] + ranked[4:]
    assert len(firsts) == 16
    assert max(firsts.values()) < 1.3 * 4000 / 16


def test_entries_with_one_stale_report_do_not_pick_one_endpoint(
    make_book, make_request, make_report
):
    picks = collections.Counter()
    for entry in range(7):
        book = make_book(16)
        for number in range(1, 16):
            book.record_report(f"agent-{number}", make_report(wait_s=0.2), 0.0)
        for number in range(40):
            request = make_request(f"request-{entry}-{number}")
            selected = _select(request, book)
            book.record_sent(
                selected.instance, str(number), number, 100.0, request.priority
            )
            picks[selected.instance] += 1
    assert len(picks) == 16
    assert picks["agent-0"] <= 0.2 * 7 * 40


def test_endpoint_taken_out_returns_by_and_by(make_book, make_request, make_report):
    book = make_book(2)
    book.record_ejection("agent-0", until=0.0)
    shares = []
    for now in (0.1, 9.0, 11.0):
        chosen = 0
        for number in range(2):
            report = make_report(running=16, acknowledged=1)
            book.record_report(f"agent-{number}", report, now)
        for number in range(300):
            request = make_request(f"request-{now}-{number}")
            selected = _select(request, book, now=now)
            book.record_sent(
                selected.instance, f"{now}/{number}", 1, 5.0, request.priority
            )
            chosen += selected.instance == "agent-0"
        shares.append(chosen / 300)
    assert shares[0] < shares[1] < shares[2]
    assert shares[0] > 0.0
    assert shares[2] > 0.45


def test_suspect_pair_is_taken_from_the_endpoints_that_hold_the_model(
    make_book, make_request, make_report
):
    book = make_book(16)
    for number in range(14):
        book.record_report(f"agent-{number}", make_report(models=("other",)), 0.0)
    for number in range(20):
        selected = _select(make_request(f"content-{number}"), book, suspect=True)
        assert selected.instance in {"agent-14", "agent-15"}
    book.record_link_state("agent-14", False, 1.0)
    assert len(book.list_members("model-desk", "kakheti-1")) == 2


def test_slow_endpoint_is_avoided_and_usual_differences_are_not_priced(
    make_book, make_request, make_report
):
    request = make_request("content")
    book = make_book(16)
    first = _select(request, book).instance
    for member in book.list_members("model-desk"):
        report = make_report(running=1, tokens_per_s=50.0)
        book.record_report(member.instance, report, 0.0)
    book.record_report(first, make_report(running=1, tokens_per_s=40.0), 0.0)
    assert _select(request, book).instance == first
    book.record_report(first, make_report(running=1, tokens_per_s=5.0), 0.0)
    assert _select(request, book).instance != first
