"""Tests of endpoints that leave, lapse, restart or register again."""

import dataclasses

from chicoryweir_policy.forwarding import endpoints


def _create_table(make_endpoint, *names):
    table = endpoints.EndpointTable()
    table.replace_all([make_endpoint(name) for name in names], 0.0)
    return table


def _list_usable(table, now=0.0):
    return sorted(e.instance for e in table.list_usable("model", now))


def test_leaving_endpoint_is_not_usable(make_endpoint):
    table = _create_table(make_endpoint, "a", "b")
    table.apply(endpoints.Registered(make_endpoint("a", leaving=True)), 1.0)
    assert _list_usable(table) == ["b"]
    assert table.get("a") is not None


def test_removed_endpoint_is_dropped_while_store_is_reachable(make_endpoint):
    table = _create_table(make_endpoint, "a", "b")
    transition = table.apply(endpoints.Removed("a"), 10.0)
    assert transition is not None
    assert transition.meaning == "removed"
    assert _list_usable(table) == ["b"]


def test_lapsed_endpoint_is_kept_during_grace_period_after_outage(make_endpoint):
    table = _create_table(make_endpoint, "a", "b")
    table.record_store_call(False, 10.0)
    table.record_store_call(True, 20.0)
    table.replace_all([make_endpoint("b")], 20.0)
    assert _list_usable(table) == ["a", "b"]
    assert table.expire(20.0 + endpoints.LAPSE_GRACE_S / 2) == []
    removed = table.expire(20.0 + endpoints.LAPSE_GRACE_S)
    assert [transition.meaning for transition in removed] == ["lapsed"]
    assert _list_usable(table) == ["b"]


def test_lapsed_endpoint_is_unusable_without_call_to_expire(make_endpoint):
    table = _create_table(make_endpoint, "a", "b")
    table.record_store_call(False, 10.0)
    table.record_store_call(True, 20.0)
    table.apply(endpoints.Removed("a"), 20.9)
    until = 20.0 + endpoints.LAPSE_GRACE_S
    assert _list_usable(table, until - 0.1) == ["a", "b"]
    assert _list_usable(table, until) == ["b"]
    # The documentation allows 2 s to apply a removal, counted from when the entry
    # reaches the store again, 3 s after the store's return.
    assert until < 20.0 + 3.0


def test_answer_of_another_call_does_not_begin_the_grace_period(make_endpoint):
    table = _create_table(make_endpoint, "a", "b")
    table.record_store_call(False, 10.0)
    table.record_other_answer()
    assert not table.is_store_unreachable
    assert not table.has_current_registrations(15.0)
    table.record_store_call(True, 20.0)
    table.apply(endpoints.Removed("a"), 20.1)
    until = 20.0 + endpoints.LAPSE_GRACE_S
    assert _list_usable(table, until - 0.1) == ["a", "b"]
    assert _list_usable(table, until) == ["b"]


def test_endpoint_that_registers_again_after_outage_is_kept(make_endpoint):
    table = _create_table(make_endpoint, "a")
    table.record_store_call(False, 10.0)
    table.record_store_call(True, 20.0)
    table.apply(endpoints.Removed("a"), 20.1)
    table.apply(endpoints.Registered(make_endpoint("a")), 21.0)
    assert table.expire(30.0) == []
    assert _list_usable(table) == ["a"]


def test_leaving_endpoint_is_removed_after_outage_without_grace_period(make_endpoint):
    table = _create_table(make_endpoint, "a")
    table.apply(endpoints.Registered(make_endpoint("a", leaving=True)), 1.0)
    table.record_store_call(False, 10.0)
    table.record_store_call(True, 20.0)
    table.apply(endpoints.Removed("a"), 20.1)
    assert table.get("a") is None


def test_no_endpoint_expires_during_second_outage(make_endpoint):
    table = _create_table(make_endpoint, "a")
    table.record_store_call(False, 10.0)
    table.record_store_call(True, 20.0)
    table.apply(endpoints.Removed("a"), 20.1)
    table.record_store_call(False, 20.2)
    assert table.expire(60.0) == []
    assert _list_usable(table) == ["a"]


def test_displaced_endpoint_is_usable_only_after_registering_again(make_endpoint):
    table = _create_table(make_endpoint, "a", "b")
    assert table.remove_displaced("a", 1.0).meaning == "displaced"
    assert table.remove_displaced("a", 1.0) is None
    assert _list_usable(table) == ["b"]
    table.apply(endpoints.Registered(make_endpoint("a")), 2.0)
    assert _list_usable(table) == ["a", "b"]


def test_restart_under_same_name_is_detected(make_endpoint):
    table = _create_table(make_endpoint, "a")
    transition = table.apply(endpoints.Registered(make_endpoint("a", born_ms=2)), 1.0)
    assert transition is not None
    assert transition.meaning == "restarted"


def test_latest_start_replaces_left_over_registration_at_same_address(make_endpoint):
    old = make_endpoint("old", port=81, born_ms=1)
    new = make_endpoint("new", port=81, born_ms=2)
    for order in ([old, new], [new, old]):
        table = endpoints.EndpointTable()
        for endpoint in order:
            table.apply(endpoints.Registered(endpoint), 0.0)
        assert _list_usable(table) == ["new"]


def test_older_registration_is_usable_after_newer_one_was_displaced(
    make_endpoint,
):
    table = endpoints.EndpointTable()
    table.apply(endpoints.Registered(make_endpoint("right", port=81, born_ms=1)), 0.0)
    table.apply(endpoints.Registered(make_endpoint("wrong", port=81, born_ms=2)), 0.0)
    table.remove_displaced("wrong", 1.0)
    assert _list_usable(table) == ["right"]


def test_endpoint_that_changes_address_frees_the_old_one(make_endpoint):
    table = endpoints.EndpointTable()
    table.apply(endpoints.Registered(make_endpoint("a", port=81, born_ms=5)), 0.0)
    table.apply(endpoints.Registered(make_endpoint("b", port=81, born_ms=1)), 0.0)
    assert _list_usable(table) == ["a"]
    table.apply(endpoints.Registered(make_endpoint("a", port=82, born_ms=5)), 1.0)
    assert _list_usable(table) == ["a", "b"]


def _create_restored_table(make_endpoint, changes, listed):
    """Returns a table to which changes and then a copy's list were applied."""
    table = _create_table(make_endpoint, "a", "b")
    for change in changes:
        table.apply(change, 1.0)
    table.record_restore(2.0)
    table.replace_all(listed, 2.0)
    return table


# Guards against requests to endpoints that a restored store lists as they were before.
def test_endpoint_that_left_is_unusable_although_a_copy_lists_it(make_endpoint):
    changes = [
        endpoints.Registered(make_endpoint("a", leaving=True)),
        endpoints.Removed("a"),
        endpoints.Removed("b"),
    ]
    listed = [make_endpoint("a"), make_endpoint("b")]
    table = _create_restored_table(make_endpoint, changes, listed)
    assert _list_usable(table, 7.0) == []
    assert table.expire(7.0) == []
    # The platform did not remove them, so that b, which did not leave, is alive.
    table.expire(8.0)
    assert _list_usable(table, 8.0) == ["b"]


def test_endpoint_of_a_copy_that_is_removed_again_is_never_used(make_endpoint):
    listed = [make_endpoint("a"), make_endpoint("b")]
    table = _create_restored_table(make_endpoint, [endpoints.Removed("b")], listed)
    (transition,) = table.replace_all(listed, 2.1)
    assert (transition.instance, transition.meaning) == ("b", "unconfirmed")
    assert table.apply(endpoints.Removed("b"), 5.0) is None
    table.expire(8.0)
    assert _list_usable(table, 8.0) == ["a"]


def test_later_process_than_the_one_that_left_is_used_at_once(make_endpoint):
    changes = [
        endpoints.Registered(make_endpoint("a", leaving=True)),
        endpoints.Removed("a"),
    ]
    listed = [make_endpoint("a", born_ms=5, host="10.0.0.2"), make_endpoint("b")]
    table = _create_restored_table(make_endpoint, changes, listed)
    assert _list_usable(table, 2.0) == ["a", "b"]


# Guards against a leaving endpoint that gets requests again.
def test_leaving_process_stays_leaving_whatever_is_registered(make_endpoint):
    table = _create_table(make_endpoint, "a", "b")
    table.apply(endpoints.Registered(make_endpoint("a", leaving=True)), 1.0)
    table.apply(endpoints.Registered(make_endpoint("a")), 2.0)
    assert _list_usable(table) == ["b"]
    table.apply(
        endpoints.Registered(make_endpoint("a", born_ms=2, host="10.0.0.2")), 3.0
    )
    assert _list_usable(table) == ["a", "b"]


def test_leaving_endpoint_without_a_start_time_may_be_another_process(make_endpoint):
    ready = make_endpoint("a", born_ms=0, host="10.0.0.2")
    leaving = endpoints.Registered(dataclasses.replace(ready, leaving=True))
    listed = [ready, make_endpoint("b")]
    table = _create_restored_table(make_endpoint, [leaving], listed)
    assert _list_usable(table, 7.0) == ["b"]
    table.expire(8.0)
    assert _list_usable(table, 8.0) == ["a", "b"]


def test_endpoint_missing_from_a_copy_is_kept_for_the_grace_period(make_endpoint):
    table = _create_restored_table(make_endpoint, [], [make_endpoint("b")])
    until = 2.0 + endpoints.LAPSE_GRACE_S
    assert _list_usable(table, until - 0.1) == ["a", "b"]
    assert _list_usable(table, until) == ["b"]


def test_list_without_a_restore_brings_a_removed_endpoint_back(make_endpoint):
    table = _create_table(make_endpoint, "a", "b")
    table.record_restore(2.0)
    table.apply(endpoints.Removed("a"), 30.0)
    table.replace_all([make_endpoint("a"), make_endpoint("b")], 31.0)
    assert _list_usable(table, 31.0) == ["a", "b"]


# Guards against requests to an endpoint that said that it is leaving.
def test_process_that_says_that_it_leaves_is_unusable(make_endpoint):
    table = _create_table(make_endpoint, "a", "b")
    transition = table.record_leaving(endpoints.Leaving("a", 1))
    assert transition.meaning == "leaving"
    assert table.record_leaving(endpoints.Leaving("a", 1)) is None
    assert _list_usable(table) == ["b"]
    table.apply(endpoints.Registered(make_endpoint("a", cold_s=1.0)), 1.0)
    assert _list_usable(table) == ["b"]


def test_statement_of_an_earlier_process_does_not_concern_its_successor(make_endpoint):
    table = _create_table(make_endpoint, "a", "b")
    table.apply(endpoints.Registered(make_endpoint("a", born_ms=2)), 1.0)
    assert table.record_leaving(endpoints.Leaving("a", 1)) is None
    assert table.record_leaving(endpoints.Leaving("gone", 1)) is None
    assert not table.get("a").leaving


def test_own_knowledge_of_leaving_processes_is_announced_for_some_time(make_endpoint):
    table = _create_table(make_endpoint, "a", "b")
    table.record_stated_leaving(endpoints.Leaving("a", 1), 1.0)
    table.record_leaving(endpoints.Leaving("b", 1))
    announced = table.list_stated_leaving(1.0 + endpoints.SPREAD_S)
    assert announced == (endpoints.Leaving("a", 1),)
    assert table.list_stated_leaving(1.1 + endpoints.SPREAD_S) == ()


# Guards against a feed without end that fills an entry's memory.
def test_endpoints_beyond_the_limit_are_ignored(make_endpoint):
    names = [f"e{number}" for number in range(endpoints.MAX_ENDPOINTS)]
    table = _create_table(make_endpoint, *names)
    transition = table.apply(endpoints.Registered(make_endpoint("more")), 1.0)
    assert transition.meaning == "surplus"
    changed = table.apply(endpoints.Registered(make_endpoint("e1", leaving=True)), 1.0)
    assert changed.meaning == "leaving"
    assert len(table.list_all()) == endpoints.MAX_ENDPOINTS
