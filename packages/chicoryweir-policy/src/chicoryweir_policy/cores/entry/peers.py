"""Peers of an entry: the links to maintain and the entry addresses for callers."""

from __future__ import annotations

import dataclasses

from chicoryweir_policy import messages
from chicoryweir_policy.cores import commands
from chicoryweir_policy.cores.entry import state as entry_state
from chicoryweir_policy.membership import instances
from chicoryweir_policy.membership import neighbours
from chicoryweir_policy.routing import addresses
from chicoryweir_policy.routing import subsets

STATUS_PERIOD_S = 1.0
DISCOVERY_TIMEOUT_S = 3.0


@dataclasses.dataclass(slots=True)
class _EntryPeer:
    session_id: str
    status: messages.EntryStatus | None = None
    received_at: float = 0.0


class Peers:
    """Known instances, from the seeds, the platform's list and open links."""

    def __init__(
        self, state: entry_state.EntryState, seeds: tuple[instances.Instance, ...]
    ) -> None:
        self._state = state
        self._known = {seed.instance: seed for seed in seeds}
        self._listed: frozenset[str] = frozenset()
        self._entries: dict[str, _EntryPeer] = {}
        self._link_targets: tuple[tuple[str, str, int], ...] | None = None
        self._links_settings_version = 0
        self._started_at: float | None = None
        self._status_sent_at = float("-inf")
        self._leaving = False

    def handle_list(
        self, listed: tuple[instances.Instance, ...], out: entry_state.Commands
    ) -> None:
        """Updates the known instances from the platform's list; keeps linked peers."""
        linked = set(self._state.agent_links) | set(self._entries)
        known = {
            name: item
            for name, item in self._known.items()
            if name in linked or name not in self._listed
        }
        known.update({item.instance: item for item in listed})
        self._listed = frozenset(item.instance for item in listed)
        self._known = known
        self.update_links(out)

    def update_links(self, out: entry_state.Commands) -> None:
        """Selects the peers to link to and emits a command if they have changed."""
        chosen_agents = self._choose_agents() | self._choose_group_agents()
        chosen_entries = neighbours.choose_entries(
            self._state.config.instance, self._list_entry_names()
        )
        targets: list[tuple[str, str, int]] = []
        for name in sorted(self._known):
            item = self._known[name]
            if name in chosen_agents:
                self._state.loads.add_endpoint(name, item.data_centre, item.service)
            if name in chosen_agents or name in chosen_entries:
                targets.append((name, item.ip, item.link_port))
        if tuple(targets) != self._link_targets:
            self._link_targets = tuple(targets)
            out.append(commands.MaintainLinks(self._link_targets))

    def _choose_agents(self) -> set[str]:
        """Returns the agents in this entry's subset of each service."""
        config = self._state.config
        entries = [
            subsets.Node(item.instance, item.data_centre)
            for item in self._known.values()
            if item.role is instances.Role.ENTRY
        ]
        services: dict[str, list[subsets.Node]] = {}
        for item in self._known.values():
            if item.role is instances.Role.AGENT:
                node = subsets.Node(item.instance, item.data_centre)
                services.setdefault(item.service, []).append(node)
        own = subsets.Node(config.instance, config.data_centre)
        return {
            name
            for nodes in services.values()
            for name in subsets.choose_subset(own, entries, nodes)
        }

    def _list_entry_names(self) -> list[str]:
        return [
            item.instance
            for item in self._known.values()
            if item.role is instances.Role.ENTRY
        ]

    def _choose_group_agents(self) -> set[str]:
        """Returns the agents of the groups whose lease this entry competes for."""
        tree = self._state.settings.tree
        if tree is None:
            return set()
        own = self._state.config.instance
        entries = self._list_entry_names()
        return {
            agent
            for group in tree.groups.values()
            if group.agents and neighbours.contends(own, entries, group.name)
            for agent in group.agents
            if agent in self._known
        }

    def open_entry(
        self, hello: messages.Hello, session_id: str, out: entry_state.Commands
    ) -> None:
        """Registers a link to another entry and sends it this entry's status."""
        self._entries[hello.instance] = _EntryPeer(session_id)
        self._send_status(hello.instance, session_id, out)

    def close_entry(self, instance: str, session_id: str) -> None:
        """Removes a closed link to another entry."""
        peer = self._entries.get(instance)
        if peer is not None and peer.session_id == session_id:
            del self._entries[instance]

    def handle_status(
        self, instance: str, status: messages.EntryStatus, now: float
    ) -> None:
        """Records the status of another entry."""
        peer = self._entries.get(instance)
        if peer is not None:
            peer.status = status
            peer.received_at = now

    def tick(self, now: float, out: entry_state.Commands) -> None:
        """Updates links and sends the status every `STATUS_PERIOD_S`."""
        if self._started_at is None:
            self._started_at = now
        version = self._state.settings.version
        if self._link_targets is None or version != self._links_settings_version:
            self._links_settings_version = version
            self.update_links(out)
        if now - self._status_sent_at < STATUS_PERIOD_S:
            return
        self._status_sent_at = now
        self.send_status_to_all(out)

    def leave(self, out: entry_state.Commands) -> None:
        """Announces to all entries that this one is leaving."""
        self._leaving = True
        self.send_status_to_all(out)

    def send_status_to_all(self, out: entry_state.Commands) -> None:
        """Sends this entry's status to all linked entries."""
        for instance, peer in self._entries.items():
            self._send_status(instance, peer.session_id, out)

    def _send_status(
        self, instance: str, session_id: str, out: entry_state.Commands
    ) -> None:
        out.append(commands.Send(instance, session_id, self.make_status()))

    def make_status(self) -> messages.EntryStatus:
        """Returns the status message of this entry."""
        config = self._state.config
        return messages.EntryStatus(
            config.instance, config.ip, config.port, config.data_centre, self._leaving
        )

    def rank_entries(self, seed: int, now: float) -> tuple[addresses.EntryView, ...]:
        """Returns the entries that a caller may connect to, best first.

        Args:
            seed: Hash of the caller; spreads callers over equally good entries.
            now: Present time, in monotonic seconds.
        """
        known = [_make_view(self.make_status(), now)]
        for peer in self._entries.values():
            if peer.status is not None:
                known.append(_make_view(peer.status, peer.received_at))
        return addresses.rank_addresses(
            known, self._state.config.data_centre, seed, now
        )

    def is_discovery_complete(self, now: float) -> bool:
        """Returns whether all known entries sent a status, or the timeout passed."""
        if self._started_at is None:
            return False
        if now - self._started_at >= DISCOVERY_TIMEOUT_S:
            return True
        reporting = {name for name, peer in self._entries.items() if peer.status}
        return reporting.issuperset(self._list_entry_names())

    def count_entries(self) -> int:
        """Returns the number of known entries, including this one."""
        roles = [
            item.role
            for name, item in self._known.items()
            if name != self._state.config.instance
        ]
        return 1 + roles.count(instances.Role.ENTRY)

    def list_data_centres(self, role: instances.Role) -> frozenset[str]:
        """Returns the data centres of the known instances of a role."""
        names = {item.data_centre for item in self._known.values() if item.role is role}
        if role is instances.Role.ENTRY:
            names.add(self._state.config.data_centre)
        return frozenset(names)

    def list_sessions(self) -> list[tuple[str, str]]:
        """Returns the instance name and session of each linked entry."""
        return [(name, peer.session_id) for name, peer in self._entries.items()]


def _make_view(status: messages.EntryStatus, received_at: float) -> addresses.EntryView:
    return addresses.EntryView(
        status.instance,
        status.ip,
        status.port,
        status.place,
        status.leaving,
        received_at,
    )
