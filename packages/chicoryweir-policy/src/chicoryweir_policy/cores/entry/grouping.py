"""The part of an entry's core that coordinates lock-step groups."""

from __future__ import annotations

import dataclasses
import typing

import xxhash

from chicoryweir_policy import catalogue
from chicoryweir_policy import requests
from chicoryweir_policy import store
from chicoryweir_policy.cores import commands
from chicoryweir_policy.cores.entry import state as entry_state
from chicoryweir_policy.groups import balancer
from chicoryweir_policy.groups import changes
from chicoryweir_policy.groups import coordinator
from chicoryweir_policy.groups import events as group_events
from chicoryweir_policy.groups import leases
from chicoryweir_policy.groups import messages as group_messages
from chicoryweir_policy.maps import gates
from chicoryweir_policy.maps import placement
from chicoryweir_policy.maps import rebalancers
from chicoryweir_policy.settings import tree as trees


@dataclasses.dataclass(slots=True)
class _Part:
    """What this entry keeps for one group."""

    group: trees.Group
    core: coordinator.CoordinatorCore
    balancer: balancer.MapBalancer | None = None
    gate: gates.GateSettings | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class _GroupOperation:
    """Purpose of an operation of a group's coordinator."""

    group: str
    operation_id: int


class Coordinators:
    """One coordinator for each group in the settings."""

    def __init__(self, state: entry_state.EntryState) -> None:
        self._state = state
        self._parts: dict[str, _Part] = {}
        self._version = 0

    def _sync(self, now: float, out: entry_state.Commands) -> None:
        """Follows the groups in the settings."""
        tree = self._state.settings.tree
        if tree is None or self._version == self._state.settings.version:
            return
        self._version = self._state.settings.version
        for name in sorted(set(self._parts) - set(tree.groups)):
            self._carry_out(name, self._parts.pop(name).core.resign(now), out)
        for name, group in tree.groups.items():
            known = self._parts.get(name)
            if known is None or known.group != group:
                self._parts[name] = _Part(group, self._make_core(group))

    def _make_core(self, group: trees.Group) -> coordinator.CoordinatorCore:
        facts = self._state.facts
        holder = f"{facts.instance}:{facts.incarnation}"
        seed = xxhash.xxh3_64_intdigest(f"{holder}:{group.name}".encode())
        even = (1.0 / group.experts,) * group.experts
        first = placement.pack_experts(even, group.ranks, group.slots_per_rank)
        spec = changes.GroupSpec(group.name, group.ranks, first.replicas)
        return coordinator.CoordinatorCore(
            holder, (spec,), leases.LeaseSettings(), changes.ChangeSettings(), seed
        )

    def _resolve_gate(self, group: trees.Group) -> gates.GateSettings:
        effective = self._state.settings.resolve(
            self._state.facts.place, group.service, "", requests.PriorityClass.STANDARD
        )
        return gates.GateSettings(
            gain_min=effective.map_gain_min, keep_s=effective.map_keep_s
        )

    def _make_balancer(
        self, group: trees.Group, gate: gates.GateSettings, now: float
    ) -> balancer.MapBalancer:
        way = rebalancers.GatedRepair(gate, rebalancers.RepairSettings())
        return balancer.MapBalancer(
            group.ranks, group.experts, way, balancer.BalancerSettings(), now
        )

    def _balance(
        self, name: str, part: _Part, now: float, out: entry_state.Commands
    ) -> None:
        """Proposes a better map while the group's lease is held here."""
        if not part.core.holds(name, now):
            part.balancer = None
            return
        gate = self._resolve_gate(part.group)
        if part.balancer is None or part.gate != gate:
            part.gate = gate
            part.balancer = self._make_balancer(part.group, gate, now)
        in_force = part.core.find_map(name)
        if in_force is None:
            return
        proposal = part.balancer.propose_map(in_force, now)
        if proposal is not None:
            self._advance(name, group_events.MapProposed(name, proposal), now, out)

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
        part = self._parts.get(message.group)
        if (
            part is not None
            and part.balancer is not None
            and isinstance(message, group_messages.RankStatus)
        ):
            part.balancer.note_load(message.expert_load, now)

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

    def tick(self, now: float, out: entry_state.Commands) -> None:
        """Lets every coordinator know that time passes."""
        self._sync(now, out)
        for name, part in self._parts.items():
            self._advance(name, group_events.Ticked(), now, out)
            self._balance(name, part, now, out)

    def resign(self, now: float, out: entry_state.Commands) -> None:
        """Gives up all leases, before this process stops."""
        for name, part in self._parts.items():
            self._carry_out(name, part.core.resign(now), out)
        self._parts.clear()

    def list_held(self, now: float) -> list[str]:
        """Returns the groups whose lease is held here."""
        return [
            name for name, part in self._parts.items() if part.core.holds(name, now)
        ]

    def find_core(self, group: str) -> coordinator.CoordinatorCore | None:
        """Returns the coordinator of a group, or None."""
        part = self._parts.get(group)
        return None if part is None else part.core

    def _advance(
        self,
        group: str,
        event: group_events.CoordinatorEvent,
        now: float,
        out: entry_state.Commands,
    ) -> None:
        part = self._parts.get(group)
        if part is not None:
            self._carry_out(group, part.core.step(event, now), out)

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
                    out.append(self._state.operations.register(operation, purpose))
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
