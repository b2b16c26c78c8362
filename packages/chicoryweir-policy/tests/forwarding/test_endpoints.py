"""Endpoints that leave, lapse and come back."""

from chicoryweir_policy.forwarding import endpoints


def _create_table(make_endpoint, *names):
    table = endpoints.EndpointTable()
    table.replace_all([make_endpoint(name) for name in names], 0.0)
    return table


def _names(table, now=0.0):
    return sorted(e.instance for e in table.list_usable("model", now))


def test_leaving_endpoint_takes_nothing_new_at_once(make_endpoint):
    table = _create_table(make_endpoint, "a", "b")
    table.apply(endpoints.Registered(make_endpoint("a", leaving=True)), 1.0)
    assert _names(table) == ["b"]
    assert table.get("a") is not None


def test_registration_that_is_removed_while_the_store_works_is_gone(make_endpoint):
    table = _create_table(make_endpoint, "a", "b")
    found = table.apply(endpoints.Removed("a"), 10.0)
    assert found is not None
    assert found.meaning == "removed"
    assert _names(table) == ["b"]


def test_lapse_during_an_outage_is_held_until_shortly_after_the_return(make_endpoint):
    table = _create_table(make_endpoint, "a", "b")
    table.record_store_call(False, 10.0)
    table.record_store_call(True, 20.0)
    table.replace_all([make_endpoint("b")], 20.0)
    assert _names(table) == ["a", "b"]
    assert table.expire(20.0 + endpoints.LAPSE_GRACE_S / 2) == []
    gone = table.expire(20.0 + endpoints.LAPSE_GRACE_S)
    assert [transition.meaning for transition in gone] == ["lapsed"]
    assert _names(table) == ["b"]


def test_lapsed_endpoint_takes_nothing_though_nobody_looked_for_it(make_endpoint):
    table = _create_table(make_endpoint, "a", "b")
    table.record_store_call(False, 10.0)
    table.record_store_call(True, 20.0)
    table.apply(endpoints.Removed("a"), 20.9)
    until = 20.0 + endpoints.LAPSE_GRACE_S
    assert _names(table, until - 0.1) == ["a", "b"]
    assert _names(table, until) == ["b"]
    # A removal that the entry learns of is out within the 2 s that the pages allow,
    # counted from when the entry is in touch again, 3 s after the store's return.
    assert until < 20.0 + 3.0


def test_endpoint_that_registers_again_after_an_outage_is_kept(make_endpoint):
    table = _create_table(make_endpoint, "a")
    table.record_store_call(False, 10.0)
    table.record_store_call(True, 20.0)
    table.apply(endpoints.Removed("a"), 20.1)
    table.apply(endpoints.Registered(make_endpoint("a")), 21.0)
    assert table.expire(30.0) == []
    assert _names(table) == ["a"]


def test_leaving_endpoint_is_not_held_over_an_outage(make_endpoint):
    table = _create_table(make_endpoint, "a")
    table.apply(endpoints.Registered(make_endpoint("a", leaving=True)), 1.0)
    table.record_store_call(False, 10.0)
    table.record_store_call(True, 20.0)
    table.apply(endpoints.Removed("a"), 20.1)
    assert table.get("a") is None


def test_nothing_expires_while_the_store_is_away_again(make_endpoint):
    table = _create_table(make_endpoint, "a")
    table.record_store_call(False, 10.0)
    table.record_store_call(True, 20.0)
    table.apply(endpoints.Removed("a"), 20.1)
    table.record_store_call(False, 20.2)
    assert table.expire(60.0) == []
    assert _names(table) == ["a"]


def test_displaced_endpoint_comes_back_only_by_registering(make_endpoint):
    table = _create_table(make_endpoint, "a", "b")
    assert table.remove_displaced("a").meaning == "displaced"
    assert table.remove_displaced("a") is None
    assert _names(table) == ["b"]
    table.apply(endpoints.Registered(make_endpoint("a")), 2.0)
    assert _names(table) == ["a", "b"]


def test_new_start_under_the_same_name_is_told_apart(make_endpoint):
    table = _create_table(make_endpoint, "a")
    found = table.apply(endpoints.Registered(make_endpoint("a", born_ms=2)), 1.0)
    assert found is not None
    assert found.meaning == "restarted"


def test_new_start_at_an_address_replaces_the_registration_left_there(make_endpoint):
    old = make_endpoint("old", port=81, born_ms=1)
    new = make_endpoint("new", port=81, born_ms=2)
    for order in ([old, new], [new, old]):
        table = endpoints.EndpointTable()
        for endpoint in order:
            table.apply(endpoints.Registered(endpoint), 0.0)
        assert _names(table) == ["new"]


def test_older_registration_is_used_again_when_the_newer_one_proves_wrong(
    make_endpoint,
):
    table = endpoints.EndpointTable()
    table.apply(endpoints.Registered(make_endpoint("true", port=81, born_ms=1)), 0.0)
    table.apply(endpoints.Registered(make_endpoint("false", port=81, born_ms=2)), 0.0)
    table.remove_displaced("false")
    assert _names(table) == ["true"]


def test_endpoint_that_moves_frees_its_address(make_endpoint):
    table = endpoints.EndpointTable()
    table.apply(endpoints.Registered(make_endpoint("a", port=81, born_ms=5)), 0.0)
    table.apply(endpoints.Registered(make_endpoint("b", port=81, born_ms=1)), 0.0)
    assert _names(table) == ["a"]
    table.apply(endpoints.Registered(make_endpoint("a", port=82, born_ms=5)), 1.0)
    assert _names(table) == ["a", "b"]
