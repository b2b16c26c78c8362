"""Holders that lose the store alone, or with everybody else."""

import dataclasses

from chicoryweir_policy.groups import succession

OTHER = succession.PeerState("b", 5, True, True, False, 0)
CUT = dataclasses.replace(OTHER, reaches_store=False)


def test_first_by_name_that_reaches_the_store_is_the_candidate():
    assert succession.is_candidate("a", True, [OTHER])
    assert not succession.is_candidate("c", True, [OTHER])
    assert succession.is_candidate("c", True, [CUT])
    assert not succession.is_candidate("a", False, [OTHER])


def test_nobody_contends_while_another_holds():
    holder = dataclasses.replace(OTHER, holds=True)
    assert not succession.is_candidate("a", True, [holder])


def test_holder_that_alone_is_cut_off_gives_up_soon():
    assert not succession.should_stop_early(0.3, [OTHER])
    assert succession.should_stop_early(2.0, [OTHER])
    assert not succession.may_act_past_lease(5.0, [OTHER, CUT])


def test_holder_goes_on_while_nobody_reaches_the_store():
    assert not succession.should_stop_early(9.0, [CUT])
    assert succession.may_act_past_lease(9.0, [CUT])
    assert not succession.may_act_past_lease(0.0, [CUT])
    follower = dataclasses.replace(CUT, holds=True)
    assert not succession.may_act_past_lease(9.0, [follower])


def test_process_has_ended_that_another_followed_or_that_released_its_fence():
    assert succession.has_stopped_acting("b/4", 7, [OTHER])
    assert not succession.has_stopped_acting("b/5", 7, [OTHER])
    released = dataclasses.replace(OTHER, released=7)
    assert succession.has_stopped_acting("b/5", 7, [released])
    assert not succession.has_stopped_acting("b/5", 8, [released])
    assert not succession.has_stopped_acting("c/1", 1, [OTHER])
    assert not succession.has_stopped_acting("", 1, [OTHER])


def test_silent_holder_is_missed_by_those_that_hear_most_entries():
    others = [dataclasses.replace(OTHER, name=name) for name in "bcd"]
    assert succession.is_presumed_dead("a/5", others, 4)
    assert not succession.is_presumed_dead("b/5", others, 4)
    assert not succession.is_presumed_dead("a/5", others[:1], 4)
    assert not succession.is_presumed_dead("a/5", [], 1)
    assert not succession.is_presumed_dead("", others, 4)
