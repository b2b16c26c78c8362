"""Coordinators of the lock-step groups in an entry's settings."""

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
class _GroupState:
    """Coordinator and map balancer of one group."""

    group: trees.Group
    core: coordinator.CoordinatorCore
    balancer: balancer.MapBalancer | None = None
    gate: gates.GateSettings | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class _GroupOperation:
    """Purpose of a store operation of a group's coordinator."""

    group: str
    operation_id: int


class Coordinators:
    """Runs one coordinator for each group in the settings."""

    def __init__(self, state: entry_state.EntryState) -> None:
        self._state = state
        self._groups: dict[str, _GroupState] = {}
        self._settings_version = 0

    def _apply_settings(self, now: float, out: entry_state.Commands) -> None:
        """Starts and stops coordinators when the settings have changed."""
        tree = self._state.settings.tree
        if tree is None or self._settings_version == self._state.settings.version:
            return
        self._settings_version = self._state.settings.version
        for name in sorted(set(self._groups) - set(tree.groups)):
            self._run_commands(name, self._groups.pop(name).core.resign(now), out)
        for name, group in tree.groups.items():
            known = self._groups.get(name)
            if known is None or known.group != group:
                self._groups[name] = _GroupState(group, self._make_core(group))

    def _make_core(self, group: trees.Group) -> coordinator.CoordinatorCore:
        config = self._state.config
        holder = f"{config.instance}:{config.incarnation}"
        seed = xxhash.xxh3_64_intdigest(f"{holder}:{group.name}".encode())
        uniform_load = (1.0 / group.experts,) * group.experts
        initial_map = placement.pack_experts(
            uniform_load, group.ranks, group.slots_per_rank
        )
        spec = changes.GroupSpec(group.name, group.ranks, initial_map.replicas)
        return coordinator.CoordinatorCore(
            holder, (spec,), leases.LeaseSettings(), changes.ChangeSettings(), seed
        )

    def _resolve_gate(self, group: trees.Group) -> gates.GateSettings:
        effective = self._state.settings.resolve(
            self._state.config.data_centre,
            group.service,
            "",
            requests.PriorityClass.STANDARD,
        )
        return gates.GateSettings(
            gain_min=effective.map_gain_min, min_high_s=effective.map_keep_s
        )

    def _make_balancer(
        self, group: trees.Group, gate: gates.GateSettings, now: float
    ) -> balancer.MapBalancer:
        rebalancer = rebalancers.GatedRepair(gate, rebalancers.RepairSettings())
        return balancer.MapBalancer(
            group.ranks, group.experts, rebalancer, balancer.BalancerSettings(), now
        )

    def _balance(
        self, name: str, group_state: _GroupState, now: float, out: entry_state.Commands
    ) -> None:
        """Proposes a better expert map if this entry holds the group's lease."""
        if not group_state.core.holds(name, now):
            group_state.balancer = None
            return
        gate = self._resolve_gate(group_state.group)
        if group_state.balancer is None or group_state.gate != gate:
            group_state.gate = gate
            group_state.balancer = self._make_balancer(group_state.group, gate, now)
        current_map = group_state.core.find_settled_map(name)
        if current_map is None:
            return
        proposal = group_state.balancer.propose_map(current_map, now)
        if proposal is not None:
            self._advance(name, group_events.MapProposed(name, proposal), now, out)

    def handle_message(
        self,
        instance: str,
        message: group_messages.GroupMessage,
        now: float,
        out: entry_state.Commands,
    ) -> None:
        """Handles an agent's message about its ranks."""
        received = group_events.MessageReceived(instance, message)
        self._advance(message.group, received, now, out)
        group_state = self._groups.get(message.group)
        if (
            group_state is not None
            and group_state.balancer is not None
            and isinstance(message, group_messages.RankStatus)
        ):
            group_state.balancer.record_load(message.expert_load, now)

    def handle_reply(
        self,
        purpose: typing.Any,
        result: store.Result,
        now: float,
        out: entry_state.Commands,
    ) -> bool:
        """Handles a store reply; returns False if it belongs to another part."""
        if not isinstance(purpose, _GroupOperation):
            return False
        replied = group_events.StoreReplied(purpose.operation_id, result)
        self._advance(purpose.group, replied, now, out)
        return True

    def tick(self, now: float, out: entry_state.Commands) -> None:
        """Runs the timers of all coordinators and the balancing of their groups."""
        self._apply_settings(now, out)
        for name, group_state in self._groups.items():
            self._advance(name, group_events.Ticked(), now, out)
            self._balance(name, group_state, now, out)

    def resign(self, now: float, out: entry_state.Commands) -> None:
        """Releases all leases before the process stops."""
        for name, group_state in self._groups.items():
            self._run_commands(name, group_state.core.resign(now), out)
        self._groups.clear()

    def list_held(self, now: float) -> list[str]:
        """Returns the groups whose lease this entry holds."""
        return [
            name
            for name, group_state in self._groups.items()
            if group_state.core.holds(name, now)
        ]

    def find_core(self, group: str) -> coordinator.CoordinatorCore | None:
        """Returns the coordinator of a group, or None."""
        group_state = self._groups.get(group)
        return None if group_state is None else group_state.core

    def _advance(
        self,
        group: str,
        event: group_events.CoordinatorEvent,
        now: float,
        out: entry_state.Commands,
    ) -> None:
        group_state = self._groups.get(group)
        if group_state is not None:
            self._run_commands(group, group_state.core.step(event, now), out)

    def _run_commands(
        self,
        group: str,
        group_commands: tuple[group_events.CoordinatorCommand, ...],
        out: entry_state.Commands,
    ) -> None:
        for command in group_commands:
            match command:
                case group_events.SendMessage(instance, message):
                    link = self._state.agent_links.get(instance)
                    if link is not None:
                        self._state.send(link, message, out)
                case group_events.RunOperation(operation_id, operation):
                    purpose = _GroupOperation(group, operation_id)
                    out.append(self._state.operations.register(operation, purpose))
                case group_events.MapViolation():
                    detail = f"step {command.step}: maps {command.versions}"
                    event_number = catalogue.INVARIANT_VIOLATED
                    out.append(
                        commands.LogEvent(event_number, "", command.peer, detail)
                    )
                case group_events.ChangeRecorded():
                    detail = f"{group} {command.change_id} {command.phase}"
                    event_number = catalogue.MAP_CHANGED
                    record = commands.LogEvent(
                        event_number, "", "", f"{detail}: {command.detail}"
                    )
                    out.append(record)
                case _:
                    typing.assert_never(command)
