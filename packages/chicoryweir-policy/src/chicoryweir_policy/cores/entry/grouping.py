"""The part of an entry's core that coordinates lock-step groups."""

from __future__ import annotations

import collections.abc
import dataclasses
import typing

import xxhash

from chicoryweir_policy import catalogue
from chicoryweir_policy import store
from chicoryweir_policy.cores import commands
from chicoryweir_policy.cores.entry import state as entry_state
from chicoryweir_policy.groups import changes
from chicoryweir_policy.groups import coordinator
from chicoryweir_policy.groups import events as group_events
from chicoryweir_policy.groups import leases
from chicoryweir_policy.groups import messages as group_messages

Replicas = group_messages.Replicas
Specs = collections.abc.Mapping[str, changes.GroupSpec]


@dataclasses.dataclass(frozen=True, slots=True)
class _GroupOperation:
    """Purpose of an operation of a group's coordinator."""

    group: str
    operation_id: int


class Coordinators:
    """One coordinator for each group in the settings."""

    def __init__(self, state: entry_state.EntryState) -> None:
        self._state = state
        self._cores: dict[str, coordinator.CoordinatorCore] = {}
        self._specs: dict[str, changes.GroupSpec] = {}

    def sync(self, specs: Specs, now: float, out: entry_state.Commands) -> None:
        """Follows the groups in the settings."""
        for group in sorted(set(self._specs) - set(specs)):
            self._carry_out(group, self._cores.pop(group).resign(now), out)
            del self._specs[group]
        for group, spec in specs.items():
            if self._specs.get(group) == spec:
                continue
            self._specs[group] = spec
            self._cores[group] = self._make_core(spec)

    def _make_core(self, spec: changes.GroupSpec) -> coordinator.CoordinatorCore:
        facts = self._state.facts
        holder = f"{facts.instance}:{facts.incarnation}"
        seed = xxhash.xxh3_64_intdigest(f"{holder}:{spec.group}".encode())
        return coordinator.CoordinatorCore(
            holder, (spec,), leases.LeaseSettings(), changes.ChangeSettings(), seed
        )

    def consume_message(
        self,
        instance: str,
        message: group_messages.GroupMessage,
        now: float,
        out: entry_state.Commands,
    ) -> None:
        """Takes a message of an agent about its ranks."""
        received = group_events.MessageReceived(instance, message)
        self._advance(message.group, received, now, out)

    def consume_reply(
        self,
        purpose: typing.Any,
        result: store.Result,
        now: float,
        out: entry_state.Commands,
    ) -> bool:
        """Takes the end of an operation; False when it was not ours."""
        if not isinstance(purpose, _GroupOperation):
            return False
        replied = group_events.StoreReplied(purpose.operation_id, result)
        self._advance(purpose.group, replied, now, out)
        return True

    def propose(
        self, group: str, replicas: Replicas, now: float, out: entry_state.Commands
    ) -> None:
        """Proposes a better map for a group whose lease is held here."""
        proposed = group_events.MapProposed(group, replicas)
        self._advance(group, proposed, now, out)

    def tick(self, now: float, out: entry_state.Commands) -> None:
        """Lets every coordinator know that time passes."""
        for group in self._cores:
            self._advance(group, group_events.Ticked(), now, out)

    def resign(self, now: float, out: entry_state.Commands) -> None:
        """Gives up all leases, before this process stops."""
        for group, core in self._cores.items():
            self._carry_out(group, core.resign(now), out)
        self._cores.clear()

    def list_held(self, now: float) -> list[str]:
        """Returns the groups whose lease is held here."""
        return [group for group, core in self._cores.items() if core.holds(group, now)]

    def find_core(self, group: str) -> coordinator.CoordinatorCore | None:
        """Returns the coordinator of a group, or None."""
        return self._cores.get(group)

    def _advance(
        self,
        group: str,
        event: group_events.CoordinatorEvent,
        now: float,
        out: entry_state.Commands,
    ) -> None:
        core = self._cores.get(group)
        if core is not None:
            self._carry_out(group, core.step(event, now), out)

    def _carry_out(
        self,
        group: str,
        ordered: tuple[group_events.CoordinatorCommand, ...],
        out: entry_state.Commands,
    ) -> None:
        for command in ordered:
            match command:
                case group_events.SendMessage(instance, message):
                    link = self._state.agents.get(instance)
                    if link is not None:
                        self._state.send(link, message, out)
                case group_events.RunOperation(operation_id, operation):
                    purpose = _GroupOperation(group, operation_id)
                    out.append(self._state.operations.run(operation, purpose))
                case group_events.MapViolation():
                    detail = f"step {command.step}: maps {command.versions}"
                    number = catalogue.INVARIANT_VIOLATED
                    out.append(commands.Record(number, "", command.peer, detail))
                case group_events.ChangeRecorded():
                    detail = f"{group} {command.change_id} {command.phase}"
                    number = catalogue.MAP_CHANGED
                    record = commands.Record(
                        number, "", "", f"{detail}: {command.detail}"
                    )
                    out.append(record)
                case _:
                    typing.assert_never(command)
