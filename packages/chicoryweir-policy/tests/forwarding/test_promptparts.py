"""Tests of the detection of prompt parts that crash endpoints."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from chicoryweir_policy.forwarding import partattribution
from chicoryweir_policy.forwarding import promptparts
from chicoryweir_policy.quarantine import records

CRASHING = "m/crashing"
SHARED = "m/shared"
SPREAD_S = 5.0


@pytest.fixture
def tracker():
    return promptparts.PartTracker("e-1", SPREAD_S)


def _crash(tracker, number, *requests, now):
    """Records crash `number` with one suspect for each tuple of parts."""
    suspects = [
        partattribution.Suspect(100 * number + index, parts)
        for index, parts in enumerate(requests)
    ]
    tracker.record_crash(records.LossId(f"i-{number}", "1"), suspects, now)


def _is_held(tracker, part, now):
    return tracker.find_hold((part,), now) is not None


def test_part_that_no_request_proved_is_held_after_its_first_crash(tracker):
    tracker.record_proof((SHARED,), 0.0)
    _crash(tracker, 1, (SHARED, CRASHING), now=1.0)
    held = tracker.find_hold((SHARED, CRASHING), 1.0)
    assert held.part == CRASHING
    assert held.crashes == (records.LossId("i-1", "1"),)
    assert not _is_held(tracker, SHARED, 1.0)


# Guards against rejecting all requests that share a sound part with crashing ones.
def test_proven_part_is_not_held_for_crashes_on_other_parts(tracker):
    for number in range(1, 8):
        tracker.record_proof((SHARED,), number - 0.5)
        _crash(tracker, number, (SHARED, f"m/{number}"), now=float(number))
        assert not _is_held(tracker, SHARED, float(number))


def test_proof_releases_a_part(tracker):
    _crash(tracker, 1, ("m/a",), now=1.0)
    assert _is_held(tracker, "m/a", 1.1)
    tracker.record_proof(("m/a",), 1.2)
    assert not _is_held(tracker, "m/a", 1.2)


def test_of_unproven_parts_of_one_request_the_last_is_held(tracker):
    _crash(tracker, 1, (SHARED, CRASHING), now=1.0)
    assert _is_held(tracker, CRASHING, 1.0)
    assert not _is_held(tracker, SHARED, 1.0)


@pytest.mark.parametrize("position", [0, 1, 2])
def test_part_beside_new_parts_is_held_after_its_second_crash(tracker, position):
    for number in (1, 2):
        parts = [f"m/a{number}", f"m/b{number}"]
        parts.insert(position, CRASHING)
        _crash(tracker, number, tuple(parts), now=float(number))
    assert _is_held(tracker, CRASHING, 2.0)
    others = ("m/a1", "m/a2", "m/b1", "m/b2")
    assert not any(_is_held(tracker, part, 2.0) for part in others)


def test_equal_suspects_of_one_crash_are_held_until_one_is_singled_out(tracker):
    _crash(tracker, 1, ("m/a",), (CRASHING,), now=1.0)
    assert _is_held(tracker, "m/a", 1.0)
    assert _is_held(tracker, CRASHING, 1.0)
    _crash(tracker, 2, (CRASHING,), now=2.0)
    assert not _is_held(tracker, "m/a", 2.0)
    assert _is_held(tracker, CRASHING, 2.0)


def test_part_that_was_proven_before_is_held_after_three_different_requests(tracker):
    tracker.record_proof((CRASHING,), 0.0)
    for number in (1, 2):
        _crash(tracker, number, (CRASHING,), now=float(number))
        assert not _is_held(tracker, CRASHING, float(number))
    _crash(tracker, 3, (CRASHING,), now=3.0)
    assert _is_held(tracker, CRASHING, 3.0)


# Guards against holding a shared part for one request that is sent again and again.
def test_proven_part_is_not_held_for_crashes_of_one_request(tracker):
    tracker.record_proof((SHARED,), 0.0)
    for number in range(1, 6):
        suspect = partattribution.Suspect(7, (SHARED,))
        process = records.LossId(f"i-{number}", "1")
        tracker.record_crash(process, [suspect], 10.0 * number)
    assert not _is_held(tracker, SHARED, 50.0)


# Guards against holding the parts of what was starting when a rack lost power.
def test_common_failure_of_many_endpoints_holds_no_part(tracker):
    for number in range(1, 6):
        _crash(tracker, number, (f"m/{number}",), now=1.0 + 0.1 * number)
    assert not any(_is_held(tracker, f"m/{number}", 2.0) for number in range(1, 6))


def test_part_that_crashes_many_endpoints_at_once_is_held(tracker):
    for number in range(1, 5):
        _crash(tracker, number, (CRASHING,), now=1.0 + 0.1 * number)
    assert _is_held(tracker, CRASHING, 2.0)


def test_single_trial_is_allowed_after_the_hold(tracker):
    _crash(tracker, 1, (CRASHING,), now=0.0)
    assert _is_held(tracker, CRASHING, partattribution.HOLD_S - 0.1)
    assert not _is_held(tracker, CRASHING, partattribution.HOLD_S)
    tracker.record_sent((CRASHING,), partattribution.HOLD_S)
    assert _is_held(tracker, CRASHING, partattribution.HOLD_S + 0.1)
    tracker.record_proof((CRASHING,), partattribution.HOLD_S + 0.3)
    assert not _is_held(tracker, CRASHING, partattribution.HOLD_S + 0.3)


def test_each_failed_trial_lengthens_the_hold(tracker):
    now = 0.0
    holds = []
    for number in range(1, 5):
        _crash(tracker, number, (CRASHING,), now=now)
        until = tracker.find_hold((CRASHING,), now).until
        holds.append(until - now)
        now = until
    assert holds == [30.0, 300.0, 3000.0, 30000.0]


def test_entries_try_a_part_one_after_the_other():
    names = [f"e-{number}" for number in range(5)]
    trial_times = []
    for name in names:
        tracker = promptparts.PartTracker(name, SPREAD_S)
        tracker.set_entries(n for n in names if n != name)
        _crash(tracker, 1, (CRASHING,), now=0.0)
        now = partattribution.HOLD_S - 0.5
        while _is_held(tracker, CRASHING, now):
            now += 0.5
        trial_times.append(now)
    assert sorted(trial_times) == [30.0, 32.0, 34.0, 36.0, 38.0]


def test_crash_and_proof_reach_other_entries():
    first, second = (promptparts.PartTracker(f"e-{n}", SPREAD_S) for n in (1, 2))
    second.record_proof((SHARED,), 0.0)
    _crash(first, 1, (SHARED,), (CRASHING,), now=1.0)
    assert _is_held(first, SHARED, 1.0)
    second.merge(first.select_update([("e-2", 1)], 1.1), 1.1)
    first.merge(second.select_update([("e-1", 1)], 1.2), 1.2)
    for tracker in (first, second):
        assert not _is_held(tracker, SHARED, 1.2)
        assert _is_held(tracker, CRASHING, 1.2)


def test_update_is_repeated_during_spread_time_and_for_new_receivers(tracker):
    receivers = [("e-2", 1)]
    tracker.select_update(receivers, 0.0)
    _crash(tracker, 1, (CRASHING,), now=20.0)
    assert tracker.select_update(receivers, 20.0 + SPREAD_S).crashes
    assert not tracker.select_update(receivers, 20.1 + SPREAD_S).crashes
    assert tracker.select_update([("e-2", 2)], 60.0).crashes


def test_merging_a_known_update_changes_nothing(tracker):
    other = promptparts.PartTracker("e-2", SPREAD_S)
    _crash(other, 1, (CRASHING,), now=1.0)
    update = other.select_update([("e-1", 1)], 1.0)
    tracker.merge(update, 1.1)
    revision = tracker.revision
    tracker.merge(update, 1.3)
    assert tracker.revision == revision


def test_crashes_are_bounded_and_those_of_held_parts_are_kept(tracker):
    _crash(tracker, 0, (CRASHING,), now=0.0)
    for number in range(1, 200):
        tracker.record_proof((SHARED,), 20.0 * number - 1.0)
        _crash(tracker, number, (SHARED,), now=20.0 * number)
    update = tracker.select_update([("e-2", 1)], 4000.0)
    assert len(update.crashes) == promptparts.MAX_ANNOUNCED_CRASHES
    assert records.LossId("i-0", "1") in [crash.process for crash in update.crashes]
    assert tracker.count_held() == 1


def test_crash_is_forgotten_after_retention(tracker):
    _crash(tracker, 1, (CRASHING,), now=0.0)
    assert tracker.count_held() == 1
    assert tracker.find_hold((CRASHING,), promptparts.RETENTION_S) is None
    assert tracker.count_held() == 0


def test_transitions_are_reported_once(tracker):
    _crash(tracker, 1, (CRASHING,), now=1.0)
    (held,) = tracker.take_transitions(1.0)
    assert (held.part, held.until) == (CRASHING, 31.0)
    assert not tracker.take_transitions(1.1)
    tracker.record_proof((CRASHING,), 2.0)
    assert tracker.take_transitions(2.0) == [promptparts.Released(CRASHING)]


class CrashingPartMachine(stateful.RuleBasedStateMachine):
    """Entries that send requests, some with a crashing part, to many endpoints.

    Records travel late, repeatedly and in any order, but at the latest after
    `MAX_DELAY_S`.
    """

    MAX_DELAY_S = 1.0
    ENTRIES = 4
    SOUND = tuple(f"m/{number}" for number in range(5))

    def __init__(self):
        super().__init__()
        self.now = 100.0
        names = [f"e-{number}" for number in range(self.ENTRIES)]
        self.trackers = [promptparts.PartTracker(name, SPREAD_S) for name in names]
        for tracker in self.trackers:
            tracker.set_entries(names)
        self.crashes = 0
        self.last_crash_at = 0.0
        self.fingerprint = 0
        self.updated_at = [0.0] * self.ENTRIES

    @stateful.rule(
        entry=strategies.integers(0, ENTRIES - 1),
        parts=strategies.lists(
            strategies.sampled_from((*SOUND, CRASHING)), unique=True, max_size=3
        ),
    )
    def send(self, entry, parts):
        tracker = self.trackers[entry]
        self.fingerprint += 1
        if tracker.find_hold(parts, self.now) is not None:
            return
        tracker.record_sent(parts, self.now)
        if CRASHING not in parts:
            tracker.record_proof(parts, self.now)
            return
        self.crashes += 1
        self.last_crash_at = self.now
        suspect = partattribution.Suspect(self.fingerprint, tuple(parts))
        process = records.LossId(f"i-{self.crashes}", "1")
        tracker.record_crash(process, [suspect], self.now)

    @stateful.rule(
        sender=strategies.integers(0, ENTRIES - 1),
        receiver=strategies.integers(0, ENTRIES - 1),
        repeats=strategies.integers(1, 2),
    )
    def announce(self, sender, receiver, repeats):
        update = self.trackers[sender].select_update([(f"e-{receiver}", 1)], self.now)
        for _ in range(repeats):
            self.trackers[receiver].merge(update, self.now)

    @stateful.rule(wait_s=strategies.sampled_from((0.1, 1.0, 31.0)))
    def wait(self, wait_s):
        """Waits; entries exchange all records meanwhile if that takes long enough."""
        if wait_s >= self.MAX_DELAY_S:
            for _ in range(2):
                for sender in range(self.ENTRIES):
                    for receiver in range(self.ENTRIES):
                        self.announce(sender, receiver, 1)
        self.now += wait_s

    @stateful.precondition(lambda self: self.now - self.last_crash_at >= 1.0)
    @stateful.invariant()
    def sound_requests_run(self):
        for part in self.SOUND:
            known = [t for t in self.trackers if not t.has_unproven((part,))]
            assert not any(_is_held(tracker, part, self.now) for tracker in known)

    @stateful.invariant()
    def crashes_stay_few(self):
        # Before they hear of one another's crashes, entries may each add two: the first
        # may be attributed to another part of the same request. After that, only trials
        # add one, and each lengthens the hold tenfold.
        assert self.crashes <= 3 * self.ENTRIES


TestCrashingPart = CrashingPartMachine.TestCase
TestCrashingPart.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=60
)
