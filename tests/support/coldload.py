"""Simulates 38 entries that send to a data centre of 21 endpoints that turns cold.

Announcements are up to 1 s old or lost. Thirteen entries are cut off from the others
meanwhile; entries start, stop and crash.
"""

import collections
import heapq
import itertools
import random

from chicoryweir_policy.forwarding import coldness
from chicoryweir_policy.forwarding import coldstarts
from chicoryweir_policy.forwarding import configuration
from chicoryweir_policy.forwarding import demand
from chicoryweir_policy.forwarding import dispatching
from chicoryweir_policy.forwarding import endpoints
from chicoryweir_policy.forwarding import loads
from chicoryweir_policy.forwarding import queueing
from chicoryweir_policy.forwarding import selection

ENTRIES = 38
COLD, WARM, SLOTS = 21, 6, 5
SERVICE = configuration.Service("model", 0, None, cold_start_s=3.0, cold_rate=14.0)
TICK_S = 0.02
RETURN_AT, COLD_S, END_AT = 6.0, 3.0, 9.5
CUT_AT, CUT_END_AT, CUT_ENTRIES = 4.5, 9.0, 13
ARRIVAL_DELAY_S = 0.1


def make_endpoint(name, cold_s=0.0, born_ms=1):
    data_centre = name.partition("/")[0]
    return endpoints.Endpoint(
        name, "model", "10.0.0.1", 80, data_centre, SLOTS, False, cold_s, born_ms
    )


class Entry:
    """An entry with what it decides by."""

    def __init__(self, host, now, random_numbers):
        self.host, self.random, self.ready = host, random_numbers, True
        self.loads, self.table = loads.LoadTable(), endpoints.EndpointTable()
        self.cold = coldstarts.ColdEndpoints(host)
        self.cold.set_bounds(1.5, 5.0)
        self.cold.set_services([SERVICE])
        self.dispatcher = dispatching.Dispatcher(
            self.table,
            self.loads,
            selection.create_selector("warm"),
            queueing.create_request_queue(),
        )
        self.dispatcher.set_cold_endpoints(self.cold)
        self.heard, self.next_named = {}, 0
        self.announces_at = now + random_numbers.uniform(0.0, 0.4)
        self.polls_at = now + random_numbers.uniform(0.0, 0.8)
        self.returned = False

    def name_hosts(self, now):
        alive = sorted(h for h, at in self.heard.items() if now - at <= 4.8)
        self.next_named += 8
        return [alive[(self.next_named + n) % len(alive)] for n in range(8) if alive]


class Fleet:
    """Entries and endpoints.

    `how` is what the endpoints of the data centre "back" turn cold by: "restarted",
    "evacuated" until then, or "unnoticed". An answer takes `answer_s`, and each entry
    gets `rate` requests a second.
    """

    def __init__(self, seed, how, answer_s, rate):
        self.random = random.Random(seed)
        self.how, self.answer_s, self.rate = how, answer_s, rate
        self.entries, self.events = {}, []
        self.order, self.ids = itertools.count(), itertools.count()
        self.arrived = collections.defaultdict(list)
        self.renewed = {
            f"back/{n}": self.random.uniform(-1.2, 0.0) for n in range(COLD)
        }
        for number in range(ENTRIES):
            self.start(f"h{number}", 0.0)
        self.at(4.7, self.start, f"h{ENTRIES}")
        self.at(self.random.uniform(5.0, 7.0), self.start, f"h{ENTRIES + 1}")
        for host in ("h3", "h30"):
            self.at(self.random.uniform(6.0, 7.0), self.crash, host)
            self.at(self.random.uniform(7.2, 8.0), self.start, host)
        self.at(self.random.uniform(5.0, 6.5), self.stop, "h5")

    def at(self, at, act, *arguments):
        heapq.heappush(self.events, (at, next(self.order), act, arguments))

    def start(self, host, now):
        entry = self.entries[host] = Entry(host, now, self.random)
        entry.cold.participants.add_hosts(("h0", "h20", "h37"), now)
        # The store lists the entries that registered before.
        entry.cold.participants.add_hosts(tuple(self.entries), now)
        listed = [make_endpoint(f"warm/{n}") for n in range(WARM)]
        if self.how == "unnoticed":
            listed += [make_endpoint(name) for name in self.renewed]
        entry.table.replace_all(listed, now)

    def crash(self, host, now):
        self.entries.pop(host, None)

    def stop(self, host, now):
        self.entries[host].ready = False
        self.at(now + 0.8, self.crash, host)

    def is_cut(self, one, other, now):
        far = {int(host[1:]) % ENTRIES < CUT_ENTRIES for host in (one, other)}
        return len(far) == 2 and CUT_AT <= now < CUT_END_AT

    def announce(self, entry, now):
        entry.announces_at = now + 0.38
        news = entry.loads.copy_own(), entry.name_hosts(now), entry.ready
        for host in self.entries:
            if host != entry.host and self.random.random() > 0.05:
                arrives_at = now + self.random.uniform(0.0, 1.0)
                self.at(arrives_at, self.hear, host, entry.host, *news)

    def hear(self, host, sender, own_loads, named, ready, now):
        entry = self.entries.get(host)
        if entry is not None and not self.is_cut(host, sender, now):
            entry.heard[sender] = now
            entry.loads.set_peer(sender, own_loads, now)
            entry.cold.participants.record_heard(sender, ready, named, now)

    def poll(self, entry, now):
        """Reads the registrations, which are renewed every 1.2 s."""
        entry.polls_at = now + self.random.uniform(0.64, 0.96)
        if self.how == "restarted" and now < RETURN_AT:
            return
        for name, phase in self.renewed.items():
            written_at = phase + (now - phase) // 1.2 * 1.2
            if self.how == "restarted":
                written_at = max(written_at, RETURN_AT)
            left_s = RETURN_AT + COLD_S - written_at
            cold_s = max(0.0, left_s) if written_at >= RETURN_AT else 0.0
            endpoint = make_endpoint(name, cold_s)
            entry.cold.record_registration(endpoint, now)
            if self.how == "restarted":
                transition = entry.table.apply(endpoints.Registered(endpoint), now)
                if transition is not None:
                    entry.cold.record_restart(endpoint, now, coldness.Reason.STARTED)

    def end_evacuation(self, entry, now):
        entry.returned = True
        entry.cold.record_evacuation_end("back", now)
        for name in self.renewed:
            entry.table.apply(endpoints.Registered(make_endpoint(name)), now)

    def send(self, entry, outcomes, now):
        for outcome in outcomes:
            if isinstance(outcome, dispatching.Dispatched):
                arrives_at = now + self.random.uniform(0.0, ARRIVAL_DELAY_S)
                self.arrived[outcome.endpoint.instance].append(arrives_at)
                ends_at = arrives_at + self.answer_s
                self.at(ends_at, self.finish, entry, outcome)

    def finish(self, entry, outcome, now):
        entry.dispatcher.finish(outcome)
        left_s = RETURN_AT + COLD_S - now
        if outcome.endpoint.data_centre == "back" and 0.0 < left_s < COLD_S:
            entry.cold.record_statement(outcome.endpoint, left_s, now)
        self.send(entry, entry.dispatcher.dispatch_queued(SERVICE, now), now)

    def run(self):
        """Returns the times at which requests arrived at each cold endpoint."""
        for tick in range(int(END_AT / TICK_S)):
            now = tick * TICK_S
            while self.events and self.events[0][0] <= now:
                at, _, act, arguments = heapq.heappop(self.events)
                act(*arguments, at)
            for entry in list(self.entries.values()):
                self.step(entry, now)
        return self.list_cold()

    def list_cold(self):
        end = RETURN_AT + COLD_S
        return [
            sorted(at for at in times if RETURN_AT <= at < end)
            for instance, times in self.arrived.items()
            if instance in self.renewed
        ]

    def step(self, entry, now):
        if now >= entry.announces_at:
            self.announce(entry, now)
        if now >= entry.polls_at:
            self.poll(entry, now)
        knows_at = RETURN_AT + self.random.uniform(0.0, 0.3)
        if self.how == "evacuated" and not entry.returned and now >= knows_at:
            self.end_evacuation(entry, now)
        if now < RETURN_AT - 1.0:
            return
        if self.random.random() < self.rate * TICK_S:
            request = queueing.PendingRequest(
                request_id=str(next(self.ids)),
                workspace="w",
                priority=0,
                route_priority=0,
                estimate=demand.PLAIN_DEMAND,
                objective_at=now + 0.5,
                abandon_at=now + 1.0,
                arrived_at=now,
            )
            self.send(entry, entry.dispatcher.submit(request, SERVICE, now), now)
        self.send(entry, entry.dispatcher.dispatch_queued(SERVICE, now), now)
