"""A process dies at each step of a request; the request ends truthfully."""

from __future__ import annotations

import collections.abc

import pytest

from chicoryweir_policy import messages
from chicoryweir_policy import outcomes
from chicoryweir_policy import requests
from chicoryweir_policy import store
from chicoryweir_policy.cores import events
from chicoryweir_standins.simulation import planned_stops
from chicoryweir_standins.simulation import simulator as world

ENTRY = "entry-1"
OTHER_ENTRY = "entry-2"
BODY = b"pay"
LIFE_S = 60.0

Stop = collections.abc.Callable[["Scene"], bool]


class Scene:
    """A world with one request, and one agent where it goes, or two."""

    def __init__(self, idempotency: requests.Idempotency, agents: int = 1) -> None:
        names = ("agent-1", "agent-2")[:agents]
        self.world = world.World((ENTRY, OTHER_ENTRY), names)
        self.world.deliver_all()
        while self.world.operations:
            self.world.run_operation(0)
        self.world.deliver_all()
        self.idempotency = idempotency
        self.request_id = ""

    def call(self, entry: str) -> str:
        """Sends the request, or sends it again."""
        once = self.idempotency is requests.Idempotency.AT_MOST_ONCE
        key = "k" if once else ""
        return self.world.call(entry, BODY, self.idempotency, key, life_s=LIFE_S)

    def fill_slots(self) -> None:
        """Occupies the endpoint, so that the request waits in the queue."""
        idempotent = requests.Idempotency.IDEMPOTENT
        for number in range(world.SLOTS):
            self.world.call(OTHER_ENTRY, b"%d" % number, idempotent, life_s=LIFE_S)
        self.world.deliver_all()

    def find_agent(self) -> str:
        """Returns the agent to which the request went, or the first."""
        runs = [run.endpoint for run in self.world.list_runs() if run.body == BODY]
        return runs[-1] if runs else "agent-1"

    def count_runs(self) -> int:
        return sum(run.body == BODY for run in self.world.list_runs())

    def is_final(self) -> bool:
        return bool(self.world.callers.told[self.request_id].final)

    def find_claim(self) -> int | None:
        """Returns the index of the claim's write that is on its way."""
        for index, pending in enumerate(self.world.operations):
            operation = pending.command.operation
            if isinstance(operation, store.Transact) and any(
                write.key.startswith("claim/") for write in operation.writes
            ):
                return index
        return None

    def has_waiting(self, kind: type[messages.Message]) -> bool:
        return any(
            isinstance(message, kind)
            for link in self.world.links.values()
            for waiting in link.queues.values()
            for message in waiting
        )

    def deliver_one(self) -> bool:
        for session, link in self.world.links.items():
            for to, waiting in link.queues.items():
                if waiting:
                    self.world.deliver(session, to)
                    return True
        return False

    def advance_until(self, stop: Stop) -> None:
        """Does one thing after another until the point is reached."""
        for _ in range(500):
            if stop(self):
                return
            index = self.find_claim()
            running = [
                (name, attempt_id)
                for name, endpoint in self.world.endpoints.items()
                for attempt_id in endpoint.list_calls()
            ]
            if index is not None:
                self.world.run_operation(index)
            elif not self.deliver_one() and running:
                self.world.progress(*running[0])
        raise AssertionError("the point was never reached")


def _write_with_lost_reply(scene: Scene) -> bool:
    index = scene.find_claim()
    if index is None:
        return False
    scene.world.run_operation(index, lose_reply=True)
    return True


def _runs(scene: Scene) -> bool:
    return scene.count_runs() == 1


def _has_answered_in_part(scene: Scene) -> bool:
    return bool(scene.world.callers.told[scene.request_id].pieces)


def _crash_in_run(scene: Scene) -> bool:
    if not _runs(scene):
        return False
    scene.world.crash_endpoint(scene.find_agent())
    return True


def _fail_in_run(scene: Scene) -> bool:
    """The call breaks, though the endpoint lives."""
    if not _runs(scene):
        return False
    agent = scene.find_agent()
    endpoint = scene.world.endpoints[agent]
    for attempt_id in endpoint.list_calls():
        endpoint.cancel(attempt_id)
        failed = events.EndpointFailed(attempt_id, True, False, "reset")
        scene.world.post(agent, failed)
    return True


def _is_cancelled_in_run(scene: Scene) -> bool:
    if not _runs(scene):
        return False
    scene.world.abandon(scene.request_id)
    scene.world.deliver_all()
    return True


def _is_cancelled(scene: Scene) -> bool:
    """The caller of a waiting request goes away, and its agent hears of it."""
    if not _is_queued(scene):
        return False
    scene.world.abandon(scene.request_id)
    scene.world.deliver_all()
    return True


def _is_queued(scene: Scene) -> bool:
    reached = scene.has_waiting(messages.SubmitAttempt)
    if reached:
        scene.world.deliver_all()
    return reached


POINTS: dict[str, Stop] = {
    "before the claim's write": lambda scene: scene.find_claim() is not None,
    "after the write, its reply lost": _write_with_lost_reply,
    "after the claim, before the send": lambda scene: scene.has_waiting(
        messages.SubmitAttempt
    ),
    "queued": _is_queued,
    "cancelled in the queue": _is_cancelled,
    "running": _runs,
    "cancelled in the run": _is_cancelled_in_run,
    "running, answered in part": _has_answered_in_part,
    "lost with its endpoint, entry not told": _crash_in_run,
    "failed, entry not told": _fail_in_run,
    "finished, entry not told": lambda scene: scene.has_waiting(
        messages.AttemptFinished
    ),
    "answered, before the closing write": lambda scene: scene.is_final(),
}
WAITING = {"queued", "cancelled in the queue"}
ABANDONED = {"cancelled in the queue", "cancelled in the run"}
CLAIMING = {"before the claim's write", "after the write, its reply lost"}

ANSWERED = "answered"
RAN = outcomes.Outcome.ALREADY_RUN.value
UNKNOWN = outcomes.Outcome.UNKNOWN.value

# How the same payment ends that is sent again through another entry, after the entry or
# the agent died.
SENT_AGAIN = {
    "before the claim's write": (ANSWERED, RAN),
    "after the write, its reply lost": (ANSWERED, RAN),
    "after the claim, before the send": (ANSWERED, UNKNOWN),
    "queued": (ANSWERED, UNKNOWN),
    "cancelled in the queue": (ANSWERED, UNKNOWN),
    "running": (RAN, UNKNOWN),
    "cancelled in the run": (RAN, UNKNOWN),
    "running, answered in part": (RAN, UNKNOWN),
    "lost with its endpoint, entry not told": (UNKNOWN, UNKNOWN),
    "failed, entry not told": (UNKNOWN, UNKNOWN),
    "finished, entry not told": (RAN, UNKNOWN),
    "answered, before the closing write": (RAN, RAN),
}


def reach(point: str, idempotency: requests.Idempotency, agents: int = 1) -> Scene:
    scene = Scene(idempotency, agents)
    if point in WAITING:
        scene.fill_slots()
    scene.request_id = scene.call(ENTRY)
    scene.advance_until(POINTS[point])
    return scene


def describe_end(scene: Scene, request_id: str) -> str:
    told = scene.world.callers.told[request_id]
    return told.problem.outcome.value if told.problem else told.final


@pytest.mark.parametrize("victim", [0, 1], ids=["entry dies", "agent dies"])
@pytest.mark.parametrize("point", list(POINTS))
def test_payment_runs_at_most_once_and_is_answered_truthfully(
    point: str, victim: int
) -> None:
    scene = reach(point, requests.Idempotency.AT_MOST_ONCE)
    scene.world.kill((ENTRY, "agent-1")[victim])
    scene.world.check()
    scene.world.settle()
    again = scene.call(OTHER_ENTRY)
    scene.world.settle()
    scene.world.check()
    assert scene.is_final()
    assert describe_end(scene, again) == SENT_AGAIN[point][victim]
    assert scene.count_runs() <= 1


@pytest.mark.parametrize(
    "point", [point for point in POINTS if point not in CLAIMING | WAITING | ABANDONED]
)
def test_idempotent_request_is_picked_up_when_its_agent_dies(point: str) -> None:
    scene = reach(point, requests.Idempotency.IDEMPOTENT, agents=2)
    scene.world.kill(scene.find_agent())
    scene.world.settle()
    scene.world.check()
    assert describe_end(scene, scene.request_id) == ANSWERED


@pytest.mark.parametrize("point", [point for point in POINTS if point not in CLAIMING])
def test_idempotent_request_is_answered_when_sent_to_another_entry(point: str) -> None:
    scene = reach(point, requests.Idempotency.IDEMPOTENT, agents=1 + ("lost" in point))
    scene.world.kill(ENTRY)
    again = scene.call(OTHER_ENTRY)
    scene.world.settle()
    scene.world.check()
    assert describe_end(scene, again) == ANSWERED


@pytest.mark.parametrize(
    "point",
    [point for point in POINTS if point not in ABANDONED],
)
@pytest.mark.parametrize("name", [ENTRY, "agent-1"])
def test_planned_stop_at_the_point_cuts_nothing_off(point: str, name: str) -> None:
    scene = reach(point, requests.Idempotency.AT_MOST_ONCE)
    scene.world.drain(name)
    scene.world.settle()
    scene.world.check()
    if "entry not told" not in point or "finished" in point:
        planned_stops.check_unnoticed(scene.world)
