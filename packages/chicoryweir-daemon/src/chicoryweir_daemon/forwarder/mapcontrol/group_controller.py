"""Balances the expert map of one group while this entry holds the lease."""

from __future__ import annotations

import asyncio
import collections
import collections.abc
import contextlib
import math
import typing

from chicoryweir_daemon.forwarder import eventlog
from chicoryweir_daemon.forwarder import fleet as fleets
from chicoryweir_daemon.forwarder.mapcontrol import lease_holder
from chicoryweir_policy import catalogue
from chicoryweir_policy.forwarding import configuration
from chicoryweir_policy.forwarding import congestion
from chicoryweir_policy.forwarding import endpoints
from chicoryweir_policy.maps import placement
from chicoryweir_policy.rankmaps import change as changes
from chicoryweir_policy.rankmaps import changeplan
from chicoryweir_policy.rankmaps import digests
from chicoryweir_policy.rankmaps import orders
from chicoryweir_policy.rankmaps import planning
from chicoryweir_policy.rankmaps import rankholds
from chicoryweir_policy.rankmaps import settlement

# Maximum time between two polls of a map change for commands.
COMMAND_POLL_S = 0.02
# Number of ranks whose slowdown is read in each update, in round-robin order. Their
# agents answer, so the reads cost the group nothing.
RANKS_PER_SLOWDOWN_POLL = 4
# Minimum slowdown at which a rank counts as slow.
SLOW_FACTOR = 1.25
# Time after a lost order during which further losses are likely; a change that starts
# within it uses a longer lead time.
ORDER_LOSS_WINDOW_S = 6.0
# Step time assumed before the first measurement. Measurements are capped at four times
# this value.
USUAL_STEP_S = 0.06
# Time without a step after which a group that has work is checked for holds.
STALL_CHECK_S = 1.0
# Period of the log line with the group's load.
LOAD_LOG_PERIOD_S = 1.0
_SUCCESSES = frozenset({orders.Result.ACCEPTED, orders.Result.UNCHANGED})


class RankClient(typing.Protocol):
    """Client for the ranks of a group."""

    async def read_report(self, endpoint: endpoints.Endpoint) -> orders.Report | None:
        """Reads a rank's report; returns None if the call fails."""

    async def read_digest(
        self, endpoint: endpoints.Endpoint, after: int
    ) -> digests.Digest | None:
        """Reads the selections at a rank since an earlier digest of its agent.

        Returns None if the call fails or no agent is available.
        """

    async def read_experts(
        self, endpoint: endpoints.Endpoint
    ) -> tuple[int, tuple[tuple[int, ...], ...]] | None:
        """Reads a rank's map version and its experts in each layer set.

        Returns None if the call fails.
        """

    async def send_order(
        self, endpoint: endpoints.Endpoint, order: orders.Order
    ) -> orders.Result:
        """Sends an order to a rank."""


class GroupController:
    """Measures one group's expert demand and changes its expert map."""

    def __init__(
        self,
        name: str,
        fleet: fleets.Fleet,
        holder: lease_holder.LeaseHolder,
        client: RankClient,
        event_log: eventlog.EventLog,
    ) -> None:
        self._name = name
        self._fleet = fleet
        self._holder = holder
        self._client = client
        self._event_log = event_log
        self._members: dict[int, endpoints.Endpoint] = {}
        self._epoch = -1
        self._maps: tuple[placement.ExpertMap, ...] | None = None
        self._demand: planning.DemandTracker | None = None
        self._step_s = USUAL_STEP_S
        self._last_step: tuple[int, float] | None = None
        self._recovered = False
        self._sampled_at = -math.inf
        self._digest_numbers: dict[str, int] = {}
        self._slowdowns: dict[int, float] = {}
        self._next_polled = 0
        self._loads: dict[int, tuple[int, int]] = {}
        self._load_logged_at = -math.inf
        self._order_lost_at = -math.inf
        self._step_begun_at = -math.inf
        self._released: frozenset[rankholds.Hold] = frozenset()
        self._wake = asyncio.Event()

    async def update(
        self,
        members: dict[int, endpoints.Endpoint],
        engine: configuration.Engine,
        layout: configuration.ExpertLayout,
    ) -> None:
        """Samples the demand, and changes the map if that is worthwhile."""
        size = max(
            (endpoint.member.size for endpoint in members.values() if endpoint.member),
            default=0,
        )
        self._members = members
        if sorted(members) != list(range(size)):
            return
        report, _ = await asyncio.gather(
            self._client.read_report(members[self._holding_rank]),
            self._poll_slowdowns(),
        )
        if report is None or not report.is_open:
            self._recovered = False
            return
        now = self._now()
        self._update_step_time(report, now)
        if report.epoch != self._epoch:
            self._begin_epoch(report.epoch, layout, now)
        if not self._recovered or report.held is not None or self._is_stalled(now):
            await self._recover(report, layout)
            return
        if report.armed is not None:
            # The ranks have not yet switched to the map of the last change.
            return
        if self._maps is None and not await self._load_maps(report, layout):
            return
        is_sampled = await self._sample_demand(layout)
        self._log_load(engine)
        if not is_sampled or self._maps is None or self._demand is None:
            return
        shares = self._demand.compute_shares()
        if shares is not None:
            await self._propose_change(shares, engine, layout)

    @property
    def _holding_rank(self) -> int:
        """Rank that is ordered to hold the group first; another one for each lease."""
        return self._holder.fence % len(self._members)

    def _is_stalled(self, now: float) -> bool:
        """Returns whether the group has work but has begun no step for a while.

        An order to hold that was lost may be executed at any rank later.
        """
        has_work = any(running + waiting for running, waiting in self._loads.values())
        if not has_work or now - self._step_begun_at < STALL_CHECK_S:
            return False
        self._step_begun_at = now
        return True

    def _begin_epoch(
        self, epoch: int, layout: configuration.ExpertLayout, now: float
    ) -> None:
        self._epoch = epoch
        self._maps = None
        self._demand = planning.DemandTracker(layout, now)
        self._recovered = False
        self._sampled_at = -math.inf
        self._digest_numbers = {}
        self._slowdowns = {}
        self._loads = {}
        self._released = frozenset()

    def get_slowdowns(self) -> dict[str, float]:
        """Returns the slowdowns of the group's slow instances."""
        return {
            self._members[rank].instance: slowdown
            for rank, slowdown in self._slowdowns.items()
            if rank in self._members and slowdown >= SLOW_FACTOR
        }

    def _select_ranks(self, first: int, count: int) -> list[int]:
        """Returns up to `count` distinct ranks in round-robin order from `first`."""
        size = len(self._members)
        return [(first + n) % size for n in range(min(count, size))]

    async def _poll_slowdowns(self) -> None:
        """Reads the slowdown and the load of some ranks, and logs changes."""
        ranks = self._select_ranks(self._next_polled, RANKS_PER_SLOWDOWN_POLL)
        self._next_polled = ranks[-1] + 1
        reports = await asyncio.gather(
            *(self._client.read_report(self._members[rank]) for rank in ranks)
        )
        for rank, report in zip(ranks, reports, strict=True):
            if report is None:
                continue
            self._loads[rank] = report.running, report.waiting
            if report.held is not None:
                self._recovered = False
            slowdown = report.slowdown if report.slowdown >= SLOW_FACTOR else 1.0
            before = self._slowdowns.get(rank, 1.0)
            self._slowdowns[rank] = slowdown
            if (slowdown > 1.0) != (before > 1.0):
                self._event_log.record(
                    catalogue.RANK_PACE_CHANGED,
                    peer=self._members[rank].instance,
                    group=self._name,
                    rank=rank,
                    pace=round(report.slowdown, 2),
                    before=round(before, 2),
                    lag_s=report.lag_s,
                )

    def _log_load(self, engine: configuration.Engine) -> None:
        """Logs the ranks' load, and the step time beside the one that it implies.

        `believed` is the relative step time under the estimated demand, `measured` the
        step time divided by that of the same load spread evenly.
        """
        now = self._now()
        if not self._loads or now - self._load_logged_at < LOAD_LOG_PERIOD_S:
            return
        self._load_logged_at = now
        shares = None if self._demand is None else self._demand.compute_shares()
        believed = None
        if shares is not None and self._maps is not None and engine.experts is not None:
            slowdowns = [
                self._slowdowns.get(rank, 1.0) for rank in range(len(self._members))
            ]
            believed = planning.compute_relative_step_time(
                self._maps, shares, engine.experts.share, slowdowns
            )
        running, waiting = zip(*self._loads.values(), strict=True)
        nominal_s = congestion.compute_event_interval_s(
            engine, sum(running) / len(running)
        )
        self._event_log.record(
            catalogue.GROUP_LOAD,
            group=self._name,
            ranks=len(self._members),
            read=len(self._loads),
            running=round(sum(running) / len(running), 2),
            running_max=max(running),
            waiting=round(sum(waiting) / len(waiting), 2),
            waiting_max=max(waiting),
            step_s=round(self._step_s, 4),
            measured=round(self._step_s / max(nominal_s, 1e-3), 2),
            believed=None if believed is None else round(believed, 2),
            distance=None if self._demand is None else round(self._demand.distance, 3),
            selections=None if self._demand is None else int(self._demand.selections),
            sampled=None if self._demand is None else self._demand.sampled,
        )
        self._loads.clear()

    def _update_step_time(self, report: orders.Report, now: float) -> None:
        """Updates the moving average of the step time from two reports."""
        if self._last_step is not None and report.step > self._last_step[0]:
            measured = (now - self._last_step[1]) / (report.step - self._last_step[0])
            self._step_s = 0.5 * self._step_s + 0.5 * min(measured, USUAL_STEP_S * 4)
        if self._last_step is None or report.step != self._last_step[0]:
            self._step_begun_at = now
        self._last_step = (report.step, now)
        # No rank can be held at a step that has begun.
        self._released = frozenset(
            hold for hold in self._released if hold.step > report.step
        )

    async def _recover(
        self, first_report: orders.Report, layout: configuration.ExpertLayout
    ) -> None:
        """Rolls back a change that an earlier lease holder may have left unfinished."""
        reports = await self._read_all_reports()
        received = [report for report in reports if report is not None]
        if len(received) < len(reports) or any(
            report.epoch != first_report.epoch or not report.is_open
            for report in received
        ):
            return
        if settlement.is_settled(received):
            self._recovered = True
            return
        self._event_log.record(
            catalogue.MAP_UNFINISHED,
            group=self._name,
            epoch=first_report.epoch,
            step=first_report.step,
            armed=_count_values(report.armed for report in received),
            held=_count_values(report.held for report in received),
            versions=_count_values(report.version for report in received),
        )
        steps = [report.held for report in received if report.held is not None]
        steps += [r.armed_step for r in received if r.armed_step is not None]
        plan = changeplan.ChangePlan(
            version=0,
            experts=(),
            current=None,
            ranks=len(self._members),
            epoch=first_report.epoch,
            copy_s=0.0,
            step_s=self._step_s,
            orders_lost=False,
            holding_rank=self._holding_rank,
            released=self._released,
            latest_step=min(steps, default=None),
        )
        change = changes.create_recovery(plan, self._holder, self._now())
        self._maps = None
        await self._run_change(change, "recovery", layout)
        self._maps = None

    async def _provide_current_map(
        self, change: changes.MapChange, layout: configuration.ExpertLayout
    ) -> None:
        """Reads the current map for a rollback, while the group is held."""
        reports = await self._read_all_reports()
        for rank, report in enumerate(reports):
            change.handle_report(rank, report, self._now())
        received = [report for report in reports if report is not None]
        if change.is_over or len(received) < len(reports):
            return
        versions = {report.version for report in received}
        if len(versions) > 1:
            self._event_log.record(
                catalogue.INVARIANT_VIOLATED,
                group=self._name,
                detail=f"ranks run different maps while held: {sorted(versions)}",
            )
            change.set_current_map(None)
        elif await self._load_maps(received[0], layout) and self._maps is not None:
            change.set_current_map(planning.encode_maps(self._maps))

    async def _read_all_reports(self) -> list[orders.Report | None]:
        return await asyncio.gather(
            *(
                self._client.read_report(self._members[rank])
                for rank in sorted(self._members)
            )
        )

    async def _load_maps(
        self, report: orders.Report, layout: configuration.ExpertLayout
    ) -> bool:
        """Loads the current maps; returns whether this succeeded.

        Version 0 is the round-robin map that every group starts with; it is computed
        instead of read.
        """
        if report.version == 0:
            self._maps = planning.create_initial_maps(layout, len(self._members))
            return True
        lists = await asyncio.gather(
            *(
                self._client.read_experts(self._members[rank])
                for rank in sorted(self._members)
            )
        )
        known = [found for found in lists if found is not None]
        if len(known) != len(lists) or {version for version, _ in known} != {
            report.version
        }:
            return False
        try:
            by_set = list(zip(*(experts for _, experts in known), strict=True))
            self._maps = planning.decode_maps(by_set, layout)
        except ValueError as error:
            self._event_log.record(
                catalogue.RANK_MAP_BAD,
                group=self._name,
                version=report.version,
                detail=str(error),
            )
            return False
        return True

    async def _sample_demand(self, layout: configuration.ExpertLayout) -> bool:
        """Adds the selections at all ranks since the last sample, if a sample is due.

        Returns whether there is a new sample.
        """
        interval_s = planning.compute_sample_interval_s(len(self._members), layout)
        if self._now() - self._sampled_at < interval_s:
            return False
        self._sampled_at = self._now()
        found = await asyncio.gather(
            *(self._read_digest(endpoint) for endpoint in self._members.values())
        )
        received = [
            digest
            for digest in found
            if digest is not None and digest.epoch == self._epoch
        ]
        if self._demand is not None:
            self._demand.add_digests(received, self._now())
        return True

    async def _read_digest(self, endpoint: endpoints.Endpoint) -> digests.Digest | None:
        after = self._digest_numbers.get(endpoint.instance, digests.NO_BASE)
        digest = await self._client.read_digest(endpoint, after)
        if digest is not None:
            self._digest_numbers[endpoint.instance] = digest.sequence
        return digest

    async def _propose_change(
        self,
        shares: list[tuple[float, ...]],
        engine: configuration.Engine,
        layout: configuration.ExpertLayout,
    ) -> None:
        assert self._maps is not None
        slowdowns = [self._slowdowns.get(rank, 1.0) for rank in sorted(self._members)]
        proposal = planning.propose_maps(
            self._maps, shares, layout, slowdowns, engine.link_bytes_per_s
        )
        if proposal is None:
            return
        copy_s = planning.compute_copy_s(
            proposal.max_copies_per_rank, layout, engine.link_bytes_per_s
        )
        plan = changeplan.ChangePlan(
            version=self._holder.raise_token(),
            experts=planning.encode_maps(proposal.maps),
            current=planning.encode_maps(self._maps),
            ranks=len(self._members),
            epoch=self._epoch,
            copy_s=copy_s,
            step_s=self._step_s,
            orders_lost=self._order_lost_at > self._now() - ORDER_LOSS_WINDOW_S,
            holding_rank=self._holding_rank,
            released=self._released,
        )
        self._event_log.record(
            catalogue.MAP_PROPOSED,
            group=self._name,
            version=plan.version,
            epoch=plan.epoch,
            before=round(proposal.before, 2),
            after=round(proposal.after, 2),
            copies=proposal.copies,
            copy_s=round(copy_s, 2),
            pass_s=round(self._step_s, 4),
        )
        change = changes.create_change(plan, self._holder, self._now())
        await self._run_change(change, "change", layout)
        if change.state == "done":
            self._maps = proposal.maps
        else:
            self._recovered = False
            self._maps = None

    async def _run_change(
        self,
        change: changes.MapChange,
        what: str,
        layout: configuration.ExpertLayout,
    ) -> None:
        """Executes the commands of a change until it ends or the lease is lost."""
        began_at = self._now()
        running: set[asyncio.Task[None]] = set()
        state = change.state
        while not change.is_over and self._holder.holds:
            for command in change.poll_commands(self._now()):
                task = asyncio.create_task(self._execute(change, command))
                running.add(task)
                task.add_done_callback(running.discard)
            if change.state != state:
                state = change.state
                self._log_change(change, what, began_at)
            if change.needs_current_map:
                await self._provide_current_map(change, layout)
            self._wake.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(COMMAND_POLL_S):
                    await self._wake.wait()
        if running:
            await asyncio.wait(running)
        self._released = change.released
        if change.lost_order_count:
            self._order_lost_at = self._now()
        if change.fenced:
            self._holder.stop_acting()
        self._log_change(change, what, began_at)

    async def _execute(
        self, change: changes.MapChange, command: orders.Command
    ) -> None:
        endpoint = self._members[command.rank]
        match command:
            case orders.SendOrder(rank, order):
                result = await self._client.send_order(endpoint, order)
                change.handle_result(rank, order, result, self._now())
                if result not in _SUCCESSES:
                    self._event_log.record(
                        catalogue.ORDER_FAILED,
                        peer=endpoint.instance,
                        operation=order.operation.value,
                        token=order.token,
                        step=order.step,
                        version=order.version,
                        sequence=order.sequence,
                        result=result.value,
                    )
            case orders.RequestReport(rank):
                report = await self._client.read_report(endpoint)
                change.handle_report(rank, report, self._now())
        self._wake.set()

    def _log_change(
        self, change: changes.MapChange, what: str, began_at: float
    ) -> None:
        self._event_log.record(
            catalogue.MAP_CHANGED,
            group=self._name,
            what=what,
            state=change.state,
            epoch=self._epoch,
            step=change.step,
            fenced=change.fenced,
            reason=change.reason,
            elapsed_s=round(self._now() - began_at, 3),
        )

    def _now(self) -> float:
        return self._fleet.clock.read()


def _count_values(values: collections.abc.Iterable[int | None]) -> dict[str, int]:
    """Returns how many ranks report each value, for the log."""
    return {str(value): n for value, n in collections.Counter(values).items()}
