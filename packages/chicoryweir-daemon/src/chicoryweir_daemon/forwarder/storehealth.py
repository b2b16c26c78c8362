"""Tracks the state of the platform's store for the tasks that call it."""

from __future__ import annotations

import asyncio
import math
import random
import typing

from chicoryweir_daemon.forwarder import eventlog
from chicoryweir_daemon.forwarder import fleet as fleets
from chicoryweir_daemon.forwarder import interfaces
from chicoryweir_platform import backoff
from chicoryweir_policy import catalogue
from chicoryweir_policy import storeeras

AnswerT = typing.TypeVar(
    "AnswerT",
    bound=interfaces.StoredConfiguration
    | interfaces.NoNewerConfiguration
    | interfaces.Listing
    | interfaces.Changes
    | interfaces.HistoryLost
    | interfaces.Unreachable,
)
BACKOFF = backoff.BackoffPolicy(base_s=0.1, cap_s=1.0)


class StoreHealth:
    """Tracks whether the store is reachable, and its era.

    All tasks that call the store share one instance.
    """

    def __init__(self, fleet: fleets.Fleet, event_log: eventlog.EventLog) -> None:
        self._fleet = fleet
        self._event_log = event_log
        self._backoff = backoff.Backoff()
        self._seed = random.getrandbits(32)
        self._eras = storeeras.EraTracker()
        self._restored = asyncio.Event()
        self._back = asyncio.Event()
        # When the latest call was made that was answered.
        self._answered_since = -math.inf

    async def record_call(
        self,
        unreachable: interfaces.Unreachable | None,
        began_at: float,
        reads_endpoints: bool = False,
    ) -> None:
        """Records the result of a call; sleeps for the backoff after a failure.

        The failure of a call that was made before another one that was answered says
        nothing of the present: the call was lost, which its time-out shows late.

        Args:
            unreachable: How the call failed; None if it was answered.
            began_at: When it was made, monotonic seconds.
            reads_endpoints: Whether it reads the endpoints.
        """
        now = self._fleet.clock.read()
        endpoints = self._fleet.endpoints
        if unreachable is None:
            self._answered_since = max(self._answered_since, began_at)
            if reads_endpoints:
                # The store may have waited for a change before it answered.
                endpoints.record_store_call(True, began_at)
            else:
                endpoints.record_other_answer()
            self._record_answer()
            return
        if began_at < self._answered_since:
            if reads_endpoints:
                endpoints.record_lost_read()
            self._event_log.record(
                catalogue.STORE_CALL_LOST,
                detail=unreachable.detail,
                age_s=round(now - began_at, 3),
            )
            return
        endpoints.record_store_call(False, now)
        if not self._backoff.failures:
            self._event_log.record(
                catalogue.STORE_UNREACHABLE, detail=unreachable.detail
            )
        self._backoff = backoff.record_failure(self._backoff, BACKOFF, self._seed, now)
        await asyncio.sleep(self._backoff.retry_at - now)

    def _record_answer(self) -> None:
        """Ends the backoff, and tells those who wait for the store's return."""
        if self._backoff.failures:
            self._event_log.record(
                catalogue.STORE_BACK, failures=self._backoff.failures
            )
            self._back.set()
            self._back = asyncio.Event()
        self._backoff = backoff.Backoff()

    @property
    def era(self) -> int | None:
        """The latest known era of the store; None before the first."""
        return self._eras.current

    def observe_era(self, era: int | None) -> bool:
        """Records the era of an answer; returns False if the answer is outdated."""
        previous_era = self._eras.current
        observation = self._eras.observe(era)
        if observation is storeeras.Observation.RESTORED:
            self._event_log.record(
                catalogue.STORE_RESTORED, era=era, previous_era=previous_era
            )
            self._fleet.endpoints.record_restore(self._fleet.clock.read())
            self._restored.set()
            self._restored = asyncio.Event()
        return observation is not storeeras.Observation.OUTDATED

    async def await_back(self) -> None:
        """Waits until a call succeeds after one that failed."""
        await self._back.wait()

    async def await_restore(self, era: int | None) -> None:
        """Waits until an answer shows that the store was restored since an era."""
        if era is None or self.era is None or self.era <= era:
            await self._restored.wait()

    def check(
        self, answer: AnswerT, previous: interfaces.Position | None
    ) -> AnswerT | interfaces.HistoryLost | interfaces.Unreachable:
        """Returns an answer if it can be used, or else why it can't.

        Args:
            answer: Answer to a read.
            previous: Position that the read continues from; None for a full read.
        """
        match answer:
            case interfaces.Unreachable():
                return answer
            case interfaces.HistoryLost(era):
                pass
            case _:
                era = answer.position.era
        if not self.observe_era(era):
            return interfaces.Unreachable(
                f"an answer of era {era} after one of {self.era}"
            )
        if previous is not None and previous.era != era:
            return interfaces.HistoryLost(era)
        return answer
