"""Tests of which entries share a limit."""

import random

import pytest

from chicoryweir_policy.forwarding import participants
from chicoryweir_policy.forwarding import windowlimits

HOSTS = [f"h{number}" for number in range(13)]
LIMIT = 26.0


class _Entry:
    """The entry h0, which calls its participants every second while it runs."""

    def __init__(self, hosts):
        self.known = participants.Participants("h0")
        self.known.add_hosts(hosts, 0.0)
        self.now = 0.0

    def wait(self, until):
        while self.now < until:
            self.now = min(until, self.now + 1.0)
            self.known.list_sharing(self.now)
        return self.known.list_sharing(until)

    def hear(self, hosts, now, is_ready=True, named=()):
        self.wait(now)
        for host in hosts:
            self.known.record_heard(host, is_ready, named, now)


@pytest.fixture
def entry():
    """Returns an entry that takes part with all others, heard at `JOIN_S`."""
    entry = _Entry(HOSTS)
    entry.hear(HOSTS[1:], 0.0)
    entry.hear(HOSTS[1:], participants.JOIN_S)
    assert entry.wait(participants.JOIN_S) == set(HOSTS)
    return entry


def test_entry_without_other_entries_in_its_settings_sends_at_once():
    assert _Entry(["h0"]).wait(0.0) == {"h0"}
    assert not participants.Participants("h0").list_sharing(0.0)


# Guards against an entry that starts within a cut and takes itself for the only one.
def test_entry_that_has_heard_nobody_sends_nothing():
    entry = _Entry(["h1"])
    assert not any(entry.wait(float(now)) for now in range(100))


# After the end of all machines, nothing was sent to cold endpoints for 3 s.
@pytest.mark.parametrize(
    ("are_all", "running", "sends"),
    [(True, [], True), (False, [], False), (True, HOSTS[6:7], False)],
)
def test_entry_that_starts_with_all_others_soon_sends(are_all, running, sends):
    known = participants.Participants("h0")
    known.add_hosts(HOSTS, 0.0, are_all)
    for host in HOSTS[1:8]:
        known.record_heard(host, True, (), 0.5, is_starting=host not in running)
    assert not known.list_sharing(0.4 + participants.START_JOIN_S)
    sharing = known.list_sharing(0.6 + participants.START_JOIN_S)
    assert sharing == (frozenset(HOSTS) if sends else frozenset())


def test_entry_that_starts_without_hearing_a_majority_sends_nothing():
    known = participants.Participants("h0")
    known.add_hosts(HOSTS, 0.0, are_all=True)
    for host in HOSTS[1:6]:
        known.record_heard(host, True, (), 0.5, is_starting=True)
    assert not known.list_sharing(2.0)


# Guards against an entry that sends while others may not have heard it yet.
def test_entry_that_starts_sends_once_the_others_have_heard_it():
    entry = _Entry(HOSTS)
    entry.hear(HOSTS[1:-1], 1.0)
    assert not entry.wait(1.0 + participants.JOIN_S)
    entry.hear(HOSTS[-1:], 5.0)
    assert entry.wait(5.0) == set(HOSTS)
    entry = _Entry(HOSTS)
    entry.hear(HOSTS[1:], 1.0)
    assert not entry.wait(0.9 + participants.JOIN_S)


def test_entries_that_are_silent_or_only_named_count_until_they_are_forgotten(entry):
    entry.hear(HOSTS[1:8], 20.0, named=["h9"])
    forgotten_at = participants.JOIN_S + participants.KEPT_S
    assert entry.wait(forgotten_at - 0.1) == set(HOSTS)
    assert entry.wait(forgotten_at + 0.1) == {*HOSTS[:8], "h9"}


# Guards against a part that is used by both sides of a cut.
def test_minority_stops_before_the_majority_uses_its_parts(entry):
    entry.hear(HOSTS[1:6], 20.0)
    stops_at = participants.JOIN_S + participants.LEASE_S
    assert entry.wait(stops_at - 0.1)
    assert not entry.wait(stops_at)
    entry.hear(HOSTS[1:], 40.0)
    assert not entry.wait(40.0 + participants.JOIN_S - 0.1)
    assert entry.wait(40.0 + participants.JOIN_S) == set(HOSTS)


# Guards against announcements that waited while the process was frozen.
def test_announcements_after_a_freeze_are_no_sign_of_a_majority(entry):
    entry.now = 60.0
    entry.hear(HOSTS[1:], 60.1)
    assert not entry.wait(100.0)


def test_entries_that_stopped_as_planned_are_not_missed(entry):
    entry.hear(HOSTS[3:], 10.0, is_ready=False)
    for now in range(11, 60):
        entry.hear(HOSTS[1:3], float(now))
    assert entry.wait(60.0) == set(HOSTS[:3])


class _Fleet:
    """Entries that announce themselves every second, late or not at all."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.limits, self.starts_at, self.frozen = {}, {}, {}
        for host in HOSTS:
            self.start(host, 0.0)
        self.cut_at = self.random.uniform(20.0, 60.0)
        self.cut_end_at = self.cut_at + self.random.choice([8.0, 70.0])
        self.far = set(self.random.sample(HOSTS, 5))
        self.in_flight = []
        self.heard_at = {}

    def start(self, host, now):
        self.limits[host] = windowlimits.WindowLimits(host)
        self.limits[host].participants.add_hosts(HOSTS, now)

    def step(self, now):
        due = [message for message in self.in_flight if message[0] <= now]
        self.in_flight = [m for m in self.in_flight if m[0] > now]
        for _, sender, receiver, named in due:
            if self.frozen.get(receiver, 0.0) > now:
                self.in_flight.append((now + 0.1, sender, receiver, named))
            elif receiver in self.limits:
                known = self.limits[receiver].participants
                known.record_heard(sender, True, named, now)
                self.heard_at[receiver, sender] = now
        for sender in self.list_running(now):
            named = [h for h in HOSTS if now - self.heard_at.get((sender, h), -9) <= 4]
            for receiver in HOSTS:
                is_lost = self.random.random() < 0.05
                if not is_lost and not self.is_cut(sender, receiver, now):
                    arrives_at = now + self.random.uniform(0.0, 1.0)
                    self.in_flight.append((arrives_at, sender, receiver, named))

    def change(self, now):
        """Freezes, crashes or starts an entry now and then."""
        host = self.random.choice(HOSTS)
        if host not in self.limits:
            self.start(host, now)
        elif self.random.random() < 0.04:
            del self.limits[host]
        elif self.random.random() < 0.04:
            self.frozen[host] = now + self.random.uniform(1.0, 60.0)

    def is_cut(self, one, other, now):
        is_far = (one in self.far) != (other in self.far)
        return is_far and self.cut_at <= now < self.cut_end_at

    def list_running(self, now):
        return [h for h in self.limits if self.frozen.get(h, 0.0) <= now]

    def sum_parts(self, endpoint, now):
        running = self.list_running(now)
        return sum(self.limits[h].compute_part(endpoint, LIMIT, now) for h in running)


# Guards against parts whose sum exceeds the limit while views of the fleet differ.
@pytest.mark.parametrize("seed", range(10))
def test_parts_stay_within_the_limit_while_entries_are_cut_off_frozen_or_crash(seed):
    fleet = _Fleet(seed)
    sums = []
    for tick in range(180):
        now = float(tick)
        fleet.step(now)
        fleet.change(now)
        sums += [fleet.sum_parts(f"e{n}", now) for n in range(5)]
    assert max(sums) <= LIMIT
    assert sum(sums) / len(sums) >= LIMIT / 2
