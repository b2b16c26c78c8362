"""Tests of replacing a lease holder that can't reach the store or is silent."""

import dataclasses

from chicoryweir_policy.groups import succession

OTHER = succession.PeerState("b", 5, True, True, False, 0)
WITHOUT_STORE = dataclasses.replace(OTHER, reaches_store=False)


def _state(name, **changes):
    return dataclasses.replace(OTHER, name=name, **changes)


def test_candidate_is_first_entry_by_name_that_reaches_the_store():
    assert succession.is_candidate(_state("a"), [OTHER])
    assert not succession.is_candidate(_state("c"), [OTHER])
    assert succession.is_candidate(_state("c"), [WITHOUT_STORE])
    assert not succession.is_candidate(_state("a", reaches_store=False), [OTHER])


# Guards against a small machine that sends maps to all ranks of a large group.
def test_candidate_is_entry_with_the_largest_machine():
    large = _state("c", capacity=200.0)
    assert succession.is_candidate(large, [OTHER, _state("a", capacity=20.0)])
    assert not succession.is_candidate(_state("a", capacity=20.0), [large])
    assert succession.is_candidate(
        _state("a"), [dataclasses.replace(large, reaches_store=False)]
    )


def test_no_candidate_while_another_entry_holds():
    holder = dataclasses.replace(OTHER, holds=True)
    assert not succession.is_candidate(_state("a"), [holder])


def test_holder_stops_early_if_only_it_cannot_reach_the_store():
    assert not succession.should_stop_early(0.3, [OTHER])
    assert succession.should_stop_early(2.0, [OTHER])
    assert not succession.may_act_past_lease(5.0, [OTHER, WITHOUT_STORE])


def test_holder_acts_past_lease_while_no_entry_reaches_the_store():
    assert not succession.should_stop_early(9.0, [WITHOUT_STORE])
    assert succession.may_act_past_lease(9.0, [WITHOUT_STORE])
    assert not succession.may_act_past_lease(0.0, [WITHOUT_STORE])
    new_holder = dataclasses.replace(WITHOUT_STORE, holds=True)
    assert not succession.may_act_past_lease(9.0, [new_holder])


def test_restarted_process_or_released_fencing_token_has_stopped_acting():
    own = _state("a", incarnation=3)
    restarted_peer = dataclasses.replace(OTHER, ended=(4, 9))
    for ended in ("b/4", "b/9", "a/2", "a/4"):
        assert succession.has_stopped_acting(ended, 7, own, [restarted_peer])
    for running in ("b/5", "a/3"):
        assert not succession.has_stopped_acting(running, 7, own, [restarted_peer])
    releasing_peer = dataclasses.replace(OTHER, released_fence=7)
    assert succession.has_stopped_acting("b/5", 7, own, [releasing_peer])
    assert not succession.has_stopped_acting("b/5", 8, own, [releasing_peer])
    assert not succession.has_stopped_acting("c/1", 1, own, [OTHER])
    assert not succession.has_stopped_acting("", 1, own, [OTHER])


# The number of a process doesn't tell whether it is an earlier one: the holder may have
# started after the process that was last heard.
def test_unknown_process_of_a_peer_may_still_act():
    own = _state("a", incarnation=3)
    for unknown in ("b/4", "b/6"):
        assert not succession.has_stopped_acting(unknown, 7, own, [OTHER])


def test_silent_holder_is_presumed_dead_while_a_majority_announces():
    others = [dataclasses.replace(OTHER, name=name) for name in "bcd"]
    known = frozenset("abcd")
    assert succession.is_presumed_dead("a/5", others, known)
    assert not succession.is_presumed_dead("b/5", others, known)
    assert not succession.is_presumed_dead("a/5", others[:1], known)
    assert not succession.is_presumed_dead("a/5", [], frozenset("a"))
    assert not succession.is_presumed_dead("", others, known)


# Guards against two entries that acquire the lease in turn while a fleet starts.
def test_holder_that_was_never_heard_is_not_presumed_dead():
    others = [_state(name) for name in "bcd"]
    assert not succession.is_presumed_dead("a/5", others, frozenset("bcd"))


def test_lease_is_unheld_only_once_all_known_entries_were_heard_since_the_restore():
    others = [_state("b"), _state("c")]
    known = frozenset("bc")
    assert succession.is_unheld(others, known, known)
    assert not succession.is_unheld(others, known, frozenset("b"))
    assert not succession.is_unheld([_state("b", holds=True)], known, known)
    assert not succession.is_unheld([], frozenset(), frozenset())
