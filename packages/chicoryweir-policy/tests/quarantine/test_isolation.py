"""Tests of suspect isolation and the fleet-wide bound on losses per request."""

from __future__ import annotations

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest
import xxhash

from chicoryweir_policy.quarantine import isolation
from chicoryweir_policy.quarantine import records
from chicoryweir_policy.quarantine import suspicion
from chicoryweir_policy.routing import selection
from chicoryweir_policy.routing import views

POISON = 0xF0F0_F0F0_F0F0_F0F0
INNOCENTS = [index * 0x1111_1111_1111_1111 for index in range(6)]
AGENTS = [f"agent-{index}" for index in range(5)]
ENTRIES = [f"entry-{index}" for index in range(7)]


def list_candidates(fingerprint, instances):
    members = tuple(
        views.Member(name, "telavi", 0.0, xxhash.xxh64_intdigest(name.encode()))
        for name in instances
    )
    ranked = selection.rank_members(members, fingerprint)
    return [member.instance for member in ranked[: selection.FIRST_CANDIDATES]]


def test_one_suspect_at_a_time_runs_on_an_endpoint() -> None:
    tracker = suspicion.SuspicionTracker()
    tracker.record_loss("x", "1", frozenset({1, 2}), 0.0)
    isolated = isolation.Isolation(tracker, "y")
    assert isolated.decide_start(1, True, 0.0) == isolation.Start()
    isolated.record_started("a-1", 1)
    assert isolated.decide_start(2, True, 0.0) == isolation.Wait("a-1")
    assert isolated.decide_start(3, False, 0.0) == isolation.Start()
    isolated.record_ended("a-1", finished=True, now=1.0)
    assert isolated.decide_start(2, True, 1.0) == isolation.Start()


def test_suspect_not_marked_by_its_entry_is_rejected() -> None:
    tracker = suspicion.SuspicionTracker()
    tracker.record_loss("x", "1", frozenset({1}), 0.0)
    isolated = isolation.Isolation(tracker, "y")
    assert isinstance(isolated.decide_start(1, False, 0.0), isolation.Reject)


def test_suspect_is_not_run_again_on_the_instance_lost_while_it_ran() -> None:
    tracker = suspicion.SuspicionTracker()
    isolated = isolation.Isolation(tracker, "x")
    isolated.record_started("a-1", 1)
    isolated.record_endpoint_lost("1", 0.0)
    assert isinstance(isolated.decide_start(1, True, 0.0), isolation.Reject)


def test_request_is_not_rerun_on_its_lost_instance_after_a_common_failure() -> None:
    tracker = suspicion.SuspicionTracker()
    for name in "wxyz":
        tracker.record_loss(name, "1", frozenset({ord(name)}), 0.0)
    isolated = isolation.Isolation(tracker, "z")
    assert isinstance(isolated.decide_start(ord("z"), False, 0.0), isolation.Reject)
    assert isolated.decide_start(ord("w"), False, 0.0) == isolation.Start()


@pytest.mark.parametrize("poison", range(50))
def test_seven_concurrent_copies_lose_two_endpoints_without_gossip(poison) -> None:
    fingerprint = poison * 0x0123_4567_89AB_CDEF % 2**64
    allowed = list_candidates(fingerprint, [f"agent-{index}" for index in range(16)])
    trackers = {}
    lost = 0
    for copy in range(7):
        agent = allowed[copy % len(allowed)]
        tracker = trackers.setdefault(agent, suspicion.SuspicionTracker())
        isolated = isolation.Isolation(tracker, agent)
        if isolated.decide_start(fingerprint, False, 0.0) == isolation.Start():
            isolated.record_started(f"a-{copy}", fingerprint)
            isolated.record_endpoint_lost("1", 0.0)
            lost += 1
    assert lost == 2


class FleetMachine(stateful.RuleBasedStateMachine):
    """Entries and agents with late, duplicated, reordered or lost updates."""

    def __init__(self) -> None:
        super().__init__()
        self.trackers = {n: suspicion.SuspicionTracker() for n in AGENTS + ENTRIES}
        self.agents = {n: isolation.Isolation(self.trackers[n], n) for n in AGENTS}
        self.running = {name: {} for name in AGENTS}
        self.losses = []
        self.updates = []
        self.attempts = 0
        self.faults = 0
        self.now = 0.0

    def lose(self, agent) -> None:
        self.losses.append((agent, set(self.running[agent].values())))
        self.running[agent].clear()
        self.agents[agent].record_endpoint_lost(str(len(self.losses)), self.now)

    @stateful.rule(
        entry=strategies.sampled_from(ENTRIES),
        fingerprint=strategies.sampled_from([POISON, POISON, *INNOCENTS]),
        choice=strategies.integers(0, 5),
        update_first=strategies.booleans(),
    )
    def arrive(self, entry, fingerprint, choice, update_first) -> None:
        verdict = self.trackers[entry].get_verdict(fingerprint, self.now)
        if isinstance(verdict, records.Quarantined):
            return
        allowed = list_candidates(fingerprint, AGENTS)
        if isinstance(verdict, records.Suspected):
            allowed = [name for name in allowed if name not in verdict.lost_on]
        if not allowed:
            return
        agent = allowed[choice % len(allowed)]
        if update_first:
            self.trackers[agent].merge(
                self.trackers[entry].export_update(self.now), self.now
            )
        sent_as_suspect = isinstance(verdict, records.Suspected)
        decision = self.agents[agent].decide_start(
            fingerprint, sent_as_suspect, self.now
        )
        if decision != isolation.Start():
            return
        self.attempts += 1
        self.agents[agent].record_started(f"a-{self.attempts}", fingerprint)
        self.running[agent][f"a-{self.attempts}"] = fingerprint
        if fingerprint == POISON:
            self.lose(agent)

    @stateful.rule(agent=strategies.sampled_from(AGENTS))
    def finish_one(self, agent) -> None:
        if self.running[agent]:
            attempt_id = next(iter(self.running[agent]))
            del self.running[agent][attempt_id]
            self.agents[agent].record_ended(attempt_id, True, self.now)

    @stateful.precondition(lambda self: self.faults < 4)
    @stateful.rule(agent=strategies.sampled_from(AGENTS))
    def fail_hardware(self, agent) -> None:
        self.faults += 1
        self.lose(agent)

    @stateful.rule(sender=strategies.sampled_from(AGENTS + ENTRIES))
    def send_update(self, sender) -> None:
        self.updates.append(self.trackers[sender].export_update(self.now))

    @stateful.precondition(lambda self: self.updates)
    @stateful.rule(
        receiver=strategies.sampled_from(AGENTS + ENTRIES), data=strategies.data()
    )
    def deliver_update(self, receiver, data) -> None:
        update = data.draw(strategies.sampled_from(self.updates))
        self.trackers[receiver].merge(update, self.now)

    @stateful.rule(step=strategies.floats(0.0, 60.0))
    def pass_time(self, step) -> None:
        self.now += step

    @stateful.invariant()
    def poison_loses_at_most_two_endpoints(self) -> None:
        assert sum(POISON in ran for _, ran in self.losses) <= 2

    @stateful.invariant()
    def requests_with_fewer_losses_are_not_quarantined(self) -> None:
        for fingerprint in INNOCENTS:
            count = sum(fingerprint in ran for _, ran in self.losses)
            for tracker in self.trackers.values() if count < 2 else ():
                verdict = tracker.get_verdict(fingerprint, self.now)
                assert not isinstance(verdict, records.Quarantined)

    def teardown(self) -> None:
        for _ in range(2):
            for sender in self.trackers.values():
                update = sender.export_update(self.now)
                for receiver in self.trackers.values():
                    receiver.merge(update, self.now)
        for fingerprint in [POISON, *INNOCENTS]:
            verdicts = [
                type(tracker.get_verdict(fingerprint, self.now))
                for tracker in self.trackers.values()
            ]
            assert len(set(verdicts)) == 1
        if sum(POISON in ran for _, ran in self.losses) == 2:
            assert isinstance(
                self.trackers[ENTRIES[0]].get_verdict(POISON, self.now),
                records.Quarantined,
            )


FleetMachine.TestCase.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=50
)
TestFleetMachine = FleetMachine.TestCase
