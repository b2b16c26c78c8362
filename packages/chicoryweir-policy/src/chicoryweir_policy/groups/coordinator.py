"""Deterministic core that coordinates the groups whose leases an entry holds.

The cost of an event is linear in the number of groups that the entry contends for and
in the number of agents to which messages are due.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import typing

from chicoryweir_policy import store
from chicoryweir_policy.groups import changes
from chicoryweir_policy.groups import events
from chicoryweir_policy.groups import leases
from chicoryweir_policy.groups import messages

Commands = tuple[events.CoordinatorCommand, ...]


@dataclasses.dataclass(slots=True)
class _Contender:
    """Lease and leader of one group, with the leader's pending operation."""

    lease: leases.Lease
    leader: changes.GroupLeader
    operation_id: int | None = None


class CoordinatorCore:
    """Contends for the leases of groups and drives the changes of those it holds."""

    def __init__(
        self,
        holder: str,
        specs: collections.abc.Iterable[changes.GroupSpec],
        lease_settings: leases.LeaseSettings,
        change_settings: changes.ChangeSettings,
        seed: int,
    ) -> None:
        """Creates the core.

        Args:
            holder: Name of this process; must never be reused by another process.
            specs: Groups to contend for.
            lease_settings: Timing of the leases.
            change_settings: Timing of the map changes.
            seed: Seed of the jitter.
        """
        self._contenders = {
            spec.group: _Contender(
                leases.create_lease(spec.group, holder, lease_settings, seed),
                changes.GroupLeader(spec, change_settings),
            )
            for spec in specs
        }
        self._operations: dict[int, tuple[str, bool]] = {}
        self._last_operation_id = 0

    def step(self, event: events.CoordinatorEvent, now: float) -> Commands:
        """Processes an event and returns the commands to execute, in order."""
        recorded: Commands = ()
        match event:
            case events.Ticked():
                pass
            case events.MessageReceived(instance, message):
                recorded = self._receive(instance, message, now)
            case events.StoreReplied(operation_id, result):
                recorded = self._apply_result(operation_id, result, now)
            case events.MapProposed(group, replicas):
                if group in self._contenders:
                    self._contenders[group].leader.proposal = replicas
            case _ as never:
                typing.assert_never(never)
        due = [
            command
            for group, contender in self._contenders.items()
            for command in self._run_group(group, contender, now)
        ]
        return (*recorded, *due)

    def holds(self, group: str, now: float) -> bool:
        """Returns whether this core holds a group's lease at `now`."""
        return leases.holds(self._contenders[group].lease, now)

    def find_statuses(self, group: str) -> tuple[messages.RankStatus, ...]:
        """Returns the latest status of each agent of a group."""
        items = self._contenders[group].leader.statuses.items()
        return tuple(status for _, status in items)

    def find_settled_map(self, group: str) -> messages.Replicas | None:
        """Returns the current map, or None while a change is in progress."""
        leader = self._contenders[group].leader
        if leader.row is None or leader.state != "settled":
            return None
        return leader.row.replicas

    def find_change_state(self, group: str) -> str:
        """Returns the state of a group in the chart `map_change`."""
        return self._contenders[group].leader.state

    def resign(self, now: float) -> Commands:
        """Releases all leases so that other contenders needn't wait for expiry."""
        commands: list[events.CoordinatorCommand] = []
        for group, contender in self._contenders.items():
            contender.lease, operation = leases.resign(contender.lease, now)
            contender.leader.step_down()
            if operation is not None:
                commands.append(self._start_operation(group, True, operation))
        return tuple(commands)

    def _receive(
        self, instance: str, message: messages.GroupMessage, now: float
    ) -> Commands:
        contender = self._contenders.get(message.group)
        if contender is None or not isinstance(message, messages.RankStatus):
            return ()
        violation = contender.leader.record_status(instance, message, now)
        contender.lease = leases.record_fence(
            contender.lease, contender.leader.statuses.find_highest_fence()
        )
        return () if violation is None else (violation,)

    def _apply_result(
        self, operation_id: int, result: store.Result, now: float
    ) -> Commands:
        purpose = self._operations.pop(operation_id, None)
        if purpose is None:
            return ()
        group, for_lease = purpose
        contender = self._contenders[group]
        if for_lease:
            contender.lease = leases.apply_result(contender.lease, result, now)
            return ()
        contender.operation_id = None
        return contender.leader.apply_result(result, now)

    def _run_group(
        self, group: str, contender: _Contender, now: float
    ) -> list[events.CoordinatorCommand]:
        """Returns the commands due for one group, after checking lease expiry."""
        commands: list[events.CoordinatorCommand] = []
        leader = contender.leader
        contender.lease = leases.expire(contender.lease, now)
        holding = leases.holds(contender.lease, now)
        if leader.statuses.covers_group(now):
            contender.lease, operation = leases.tick(contender.lease, now)
            if operation is not None:
                commands.append(self._start_operation(group, True, operation))
        if not holding:
            leader.step_down()
            return commands
        fence = contender.lease.fence
        if contender.operation_id is None:
            operation = leader.plan_operation(fence, now)
            if operation is not None:
                commands.append(self._start_operation(group, False, operation))
                contender.operation_id = self._last_operation_id
        commands.extend(leader.build_messages(fence, now))
        return commands

    def _start_operation(
        self, group: str, for_lease: bool, operation: store.Operation
    ) -> events.RunOperation:
        self._last_operation_id += 1
        self._operations[self._last_operation_id] = (group, for_lease)
        return events.RunOperation(self._last_operation_id, operation)
