"""Tests that the records of crashes and their index agree at their bounds."""

import random
from unittest import mock

import hypothesis
from hypothesis import strategies
import pytest

from chicoryweir_policy.forwarding import partattribution
from chicoryweir_policy.forwarding import promptparts
from chicoryweir_policy.quarantine import records

ENTRIES = 3
PARTS = [f"m/{number}" for number in range(12)]
# Low bounds, so that short plays reach all of them.
BOUNDS = {"MAX_CRASHES": 4, "MAX_SUSPECTS": 2, "MAX_PROVEN_PARTS": 6}


def _index(tracker):
    """Returns what the index has to be: the crashes by the parts of their suspects."""
    index = {}
    for process, crash in tracker._crashes.items():
        for suspect in crash.suspects:
            for part in suspect.parts:
                index.setdefault(part, set()).add(process)
    return index


def _check(tracker):
    assert tracker._crashes_by_part == _index(tracker)
    assert tracker._proof_changed_at.keys() <= tracker._crashes_by_part.keys()
    assert len(tracker._crashes) <= promptparts.MAX_CRASHES
    assert len(tracker._proven_at) <= promptparts.MAX_PROVEN_PARTS


def _play(rng, steps):
    """Makes random calls of several trackers, and merges of late announcements."""
    now = 100.0
    trackers = [promptparts.PartTracker(f"e-{n}", 5.0) for n in range(ENTRIES)]
    updates = []
    for _ in range(steps):
        tracker = rng.choice(trackers)
        parts = rng.sample(PARTS, rng.randint(1, 3))
        match rng.choice(
            ["crash", "crash", "prove", "send", "merge", "export", "wait"]
        ):
            case "crash":
                process = records.LossId(f"i-{rng.randint(1, 8)}", "1")
                suspects = [
                    partattribution.Suspect(rng.randint(1, 50), tuple(parts[:count]))
                    for count in range(rng.randint(1, 4))
                ]
                tracker.record_crash(process, suspects, now)
            case "prove":
                tracker.record_proof(parts, now)
            case "send":
                tracker.find_hold(parts, now)
                tracker.record_sent(parts, now)
            case "merge" if updates:
                tracker.merge(rng.choice(updates), now)
            case "export":
                receivers = [("e", rng.randint(1, 2))]
                updates.append(tracker.select_update(receivers, now))
                tracker.take_transitions(now)
            case "wait":
                now += rng.choice([0.1, 40.0, promptparts.RETENTION_S / 2])
        _check(tracker)
    for tracker in trackers:
        tracker.record_proof(PARTS, now)
        tracker.find_hold(PARTS, now + promptparts.RETENTION_S)
        tracker.record_proof(PARTS, now + promptparts.RETENTION_S)
        _check(tracker)


# Guards against streams that are cut by an error in the record of crashes: its index
# named a crash that was forgotten.
@hypothesis.given(strategies.integers(0, 1 << 32))
@hypothesis.settings(max_examples=200, deadline=None)
def test_index_of_crashes_agrees_with_them_after_any_calls(seed):
    with mock.patch.multiple(promptparts, **BOUNDS):
        _play(random.Random(seed), 60)


@pytest.mark.parametrize("first", ["record", "merge"])
def test_parts_of_a_dropped_suspect_are_proven_after_the_crash_is_forgotten(first):
    tracker = promptparts.PartTracker("e-1", 5.0)
    process = records.LossId("i-1", "1")
    high, low = (
        [
            partattribution.Suspect(number, (f"m/{number}",))
            for number in range(start, start + promptparts.MAX_SUSPECTS)
        ]
        for start in (100, 1)
    )
    dropped = [f"m/{number}" for number in range(100, 100 + len(high))]
    tracker.record_proof(dropped, 0.5)
    announced = promptparts.Crash(process, frozenset(low), 0.0)
    if first == "record":
        tracker.record_crash(process, high, 1.0)
    else:
        known = promptparts.Crash(process, frozenset(high), 0.0)
        tracker.merge(promptparts.Update((known,)), 1.0)
    tracker.merge(promptparts.Update((announced,)), 1.1)
    forgotten_at = 2.0 + promptparts.RETENTION_S
    assert tracker.find_hold(("m/1",), forgotten_at) is None
    tracker.record_proof(dropped[:1], forgotten_at)
    proofs = tuple(promptparts.Proof(part, 0.0) for part in dropped)
    tracker.merge(promptparts.Update((), proofs), forgotten_at + 1.0)
