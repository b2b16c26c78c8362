"""Tests of the endpoint selection."""

import collections

import hypothesis
from hypothesis import strategies
import pytest

from chicoryweir_policy.routing import prefix
from chicoryweir_policy.routing import selection
from chicoryweir_policy.routing import views

NONE = frozenset()


def _select(request, tracker, excluded=NONE, now=0.0, suspect=False, prefixes=None):
    selector = selection.make_selector(prefixes or prefix.PrefixIndex())
    return selector.select_endpoint(
        request, tracker, excluded, "telavi", now, suspect=suspect
    )


def test_content_reaches_at_most_two_endpoints_through_all_entries(
    make_tracker, make_request
):
    for number in range(50):
        request = make_request(f"content-{number}", (number + 1,))
        reached = set()
        for entry in range(7):
            tracker = make_tracker(
                16, data_centre=("telavi", "gurjaani", "sighnaghi")[entry % 3]
            )
            for sent in range(entry):
                tracker.record_sent(
                    f"agent-{sent}", str(sent), 1, 900.0, request.priority
                )
            reached.add(_select(request, tracker).instance)
        assert len(reached) <= 2


def _make_prefix_indexes():
    indexes = [prefix.PrefixIndex() for _ in range(7)]
    for number, index in enumerate(indexes):
        for sent in range(100):
            block = 1 if sent < 15 * number else sent
            index.record_sent("agent-0", (block, 2000 + sent % 5))
    return indexes


def test_suspect_content_reaches_at_most_two_endpoints_through_all_entries(
    make_tracker, make_request
):
    indexes = _make_prefix_indexes()
    for number in range(30):
        request = make_request(f"content-{number}", (1, 2000 + number))
        tracker = make_tracker(16)
        for first_index in indexes:
            lost = {_select(request, tracker, prefixes=first_index).instance}
            reached = {
                _select(
                    request,
                    tracker,
                    frozenset(lost),
                    suspect=True,
                    prefixes=other_index,
                )
                for other_index in indexes
            }
            assert len(reached) == 1
            lost.add(reached.pop().instance)
            again = [
                _select(
                    request,
                    tracker,
                    frozenset(lost),
                    suspect=True,
                    prefixes=other_index,
                )
                for other_index in indexes
            ]
            assert len({getattr(choice, "instance", None) for choice in again}) == 1
            assert len(lost) == 2


def test_suspect_is_rejected_while_its_endpoint_is_unavailable(
    make_tracker, make_request
):
    tracker = make_tracker(16)
    request = make_request("content")
    chosen = _select(request, tracker, suspect=True).instance
    tracker.record_link_state(chosen, False, 0.0)
    assert _select(request, tracker, suspect=True) == selection.NoneAvailable(
        selection.Reason.SUSPECT, selection.RETRY_AFTER_MS
    )
    second = _select(request, tracker, frozenset({chosen}), suspect=True).instance
    both = frozenset({chosen, second})
    assert _select(request, tracker, both, suspect=True) == selection.NoneAvailable(
        selection.Reason.SUSPECT, None
    )


def test_requests_with_equal_prefix_select_the_same_endpoint(
    make_tracker, make_request
):
    prefixes = prefix.PrefixIndex()
    tracker = make_tracker(16)
    homes = set()
    for turn in range(20):
        request = make_request(f"turn-{turn}", (77, 78))
        selected = _select(request, tracker, prefixes=prefixes)
        prefixes.record_sent(selected.instance, request.prefix_blocks)
        homes.add(selected.instance)
    assert len(homes) == 1


def test_second_candidate_is_selected_when_home_is_loaded(
    make_tracker, make_request, make_report
):
    request = make_request("content", (77,))
    tracker = make_tracker(16)
    first = _select(request, tracker).instance
    tracker.record_report(first, make_report(wait_s=0.2), 0.0)
    second = _select(request, tracker)
    assert second.instance != first
    assert not second.spilled


def test_flood_spills_to_the_same_endpoint_through_all_entries(
    make_tracker, make_request, make_report
):
    request = make_request("content")
    selector = selection.make_selector(prefix.PrefixIndex())
    spilled_to = set()
    for data_centre in ("telavi", "gurjaani", "sighnaghi"):
        tracker = make_tracker(16, data_centre=data_centre)
        for _ in range(2):
            instance = selector.select_endpoint(
                request, tracker, NONE, data_centre, 0.0
            ).instance
            tracker.record_report(instance, make_report(wait_s=5.0), 0.0)
        selected = selector.select_endpoint(request, tracker, NONE, data_centre, 0.0)
        assert selected.spilled
        spilled_to.add(selected.instance)
    assert len(spilled_to) == 1


def test_idle_fleet_prefers_candidates_in_the_own_data_centre(
    make_tracker, make_request
):
    tracker = make_tracker(16)
    members = tracker.list_members("model-desk")
    for number in range(50):
        request = make_request(f"content-{number}")
        candidates = selection.rank_members(members, request.fingerprint)[:2]
        chosen = tracker.get_view(_select(request, tracker).instance)
        if any(member.data_centre == "telavi" for member in candidates):
            assert chosen.data_centre == "telavi"


def test_far_data_centre_is_selected_only_in_a_flood(
    make_tracker, make_request, make_report
):
    far = {"gurjaani": 0.04, "sighnaghi": 0.04}
    tracker = make_tracker(6, latency_s=far)
    request = make_request("content")
    assert tracker.get_view(_select(request, tracker).instance).data_centre == "telavi"
    for instance in ("agent-0", "agent-3"):
        tracker.record_report(instance, make_report(wait_s=5.0), 0.0)
    assert tracker.get_view(_select(request, tracker).instance).data_centre != "telavi"


@hypothesis.settings(
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture]
)
@hypothesis.given(
    down=strategies.sets(strategies.integers(0, 7)),
    excluded=strategies.sets(strategies.integers(0, 7)),
    waits=strategies.lists(strategies.floats(0, 10), min_size=8, max_size=8),
)
def test_down_or_excluded_endpoints_are_never_selected(
    make_tracker, make_request, make_report, down, excluded, waits
):
    tracker = make_tracker(8)
    for number, wait_s in enumerate(waits):
        tracker.record_report(f"agent-{number}", make_report(wait_s=wait_s), 0.0)
    for number in down:
        tracker.record_link_state(f"agent-{number}", False, 0.0)
    excluded_instances = frozenset(f"agent-{number}" for number in excluded)
    selected = _select(make_request("content", (9,)), tracker, excluded_instances)
    selectable = {f"agent-{number}" for number in set(range(8)) - down - excluded}
    if selectable:
        assert selected.instance in selectable
    else:
        assert isinstance(selected, selection.NoneAvailable)


@pytest.mark.parametrize("suspect", [False, True])
def test_reason_is_returned_when_none_is_available(make_tracker, make_request, suspect):
    request = make_request("content")
    empty = make_tracker(0)
    assert _select(request, empty, suspect=suspect).reason is (
        selection.Reason.NO_ENDPOINT
    )
    tracker = make_tracker(2)
    all_instances = frozenset({"agent-0", "agent-1"})
    assert _select(request, tracker, all_instances).reason is selection.Reason.EXCLUDED
    late = views.MAX_REPORT_AGE_S + 1
    assert _select(request, tracker, now=late).reason is selection.Reason.UNAVAILABLE


def test_ranking_is_even_and_stable(make_tracker):
    members = make_tracker(16).list_members("model-desk")
    firsts = collections.Counter()
    for number in range(4000):
        seed = prefix.hash_blocks(f"{number:0256d}")[0]
        ranked = selection.rank_members(members, seed)
        firsts[ranked[0].instance] += 1
        without = tuple(member for member in members if member is not ranked[3])
        assert selection.rank_members(without, seed) == ranked[:3] + ranked[4:]
    assert len(firsts) == 16
    assert max(firsts.values()) < 1.3 * 4000 / 16


def test_entries_do_not_all_select_the_one_endpoint_reported_idle(
    make_tracker, make_request, make_report
):
    selection_counts = collections.Counter()
    for entry in range(7):
        tracker = make_tracker(16)
        for number in range(1, 16):
            tracker.record_report(f"agent-{number}", make_report(wait_s=0.2), 0.0)
        for number in range(40):
            request = make_request(f"request-{entry}-{number}")
            selected = _select(request, tracker)
            tracker.record_sent(
                selected.instance, str(number), number, 100.0, request.priority
            )
            selection_counts[selected.instance] += 1
    assert len(selection_counts) == 16
    assert selection_counts["agent-0"] <= 0.2 * 7 * 40


def test_load_ramps_up_after_an_ejection(make_tracker, make_request, make_report):
    tracker = make_tracker(2)
    tracker.record_ejection("agent-0", until=0.0)
    shares = []
    for now in (0.1, 9.0, 11.0):
        chosen = 0
        for number in range(2):
            report = make_report(running=16, acknowledged=1)
            tracker.record_report(f"agent-{number}", report, now)
        for number in range(300):
            request = make_request(f"request-{now}-{number}")
            selected = _select(request, tracker, now=now)
            tracker.record_sent(
                selected.instance, f"{now}/{number}", 1, 5.0, request.priority
            )
            chosen += selected.instance == "agent-0"
        shares.append(chosen / 300)
    assert shares[0] < shares[1] < shares[2]
    assert shares[0] > 0.0
    assert shares[2] > 0.45


def test_suspect_candidates_hold_the_model(make_tracker, make_request, make_report):
    tracker = make_tracker(16)
    for number in range(14):
        tracker.record_report(f"agent-{number}", make_report(models=("other",)), 0.0)
    for number in range(20):
        selected = _select(make_request(f"content-{number}"), tracker, suspect=True)
        assert selected.instance in {"agent-14", "agent-15"}
    tracker.record_link_state("agent-14", False, 1.0)
    assert len(tracker.list_members("model-desk", "kakheti-1")) == 2


def test_slow_endpoint_is_avoided_but_small_differences_are_ignored(
    make_tracker, make_request, make_report
):
    request = make_request("content")
    tracker = make_tracker(16)
    first = _select(request, tracker).instance
    for member in tracker.list_members("model-desk"):
        report = make_report(running=1, tokens_per_s=50.0)
        tracker.record_report(member.instance, report, 0.0)
    tracker.record_report(first, make_report(running=1, tokens_per_s=40.0), 0.0)
    assert _select(request, tracker).instance == first
    tracker.record_report(first, make_report(running=1, tokens_per_s=5.0), 0.0)
    assert _select(request, tracker).instance != first


@pytest.mark.parametrize("suspect", [False, True])
def test_evacuated_endpoints_are_never_selected(
    make_tracker, make_request, make_report, suspect
):
    """Guards also against content that waits for an endpoint that is evacuated."""
    tracker = make_tracker(6)
    tracker.record_report("agent-0", make_report(wait_s=8.0), 0.0)
    tracker.set_evacuations(lambda place: place != "gurjaani")
    tracker.add_endpoint("agent-9", "telavi", "model-desk")
    for number in range(30):
        request = make_request(f"content-{number}")
        chosen = _select(request, tracker, suspect=suspect)
        assert tracker.get_view(chosen.instance).data_centre == "gurjaani"
    mean_s = tracker.compute_mean_wait("model-desk", request.priority)
    assert mean_s == pytest.approx(0.0)
    tracker.set_evacuations(lambda place: True)
    assert _select(request, tracker, suspect=suspect) == selection.NoneAvailable(
        selection.Reason.EVACUATED, selection.EVACUATED_RETRY_AFTER_MS
    )
    view = tracker.get_view("agent-1")
    assert not view.is_available("", 0.0)
    late = views.MAX_REPORT_AGE_S + 1
    assert _select(request, tracker, now=late).reason is selection.Reason.NO_ENDPOINT
    tracker.set_evacuations(lambda place: False)
    assert tracker.compute_mean_wait("model-desk", request.priority) > 1.0
