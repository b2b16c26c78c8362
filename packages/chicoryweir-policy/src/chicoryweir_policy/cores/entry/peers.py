"""Other daemons as an entry knows them: whom to link to, whom callers may use."""

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
SETTLE_S = 3.0


@dataclasses.dataclass(slots=True)
class _EntryPeer:
    session: str
    status: messages.EntryStatus | None = None
    heard_at: float = 0.0


class Peers:
    """Membership of the fleet from seeds, the platform's list and live links."""

    def __init__(
        self, state: entry_state.EntryState, seeds: tuple[instances.Instance, ...]
    ) -> None:
        self._state = state
        self._known = {seed.instance: seed for seed in seeds}
        self._listed: frozenset[str] = frozenset()
        self._entries: dict[str, _EntryPeer] = {}
        self._kept: tuple[tuple[str, str, int], ...] | None = None
        self._kept_for = 0
        self._started_at: float | None = None
        self._told_at = float("-inf")
        self._leaving = False

    def consume_list(
        self, listed: tuple[instances.Instance, ...], out: entry_state.Commands
    ) -> None:
        """Takes the platform's list; a peer that a link is up to stays known."""
        linked = set(self._state.agents) | set(self._entries)
        kept = {
            name: item
            for name, item in self._known.items()
            if name in linked or name not in self._listed
        }
        kept.update({item.instance: item for item in listed})
        self._listed = frozenset(item.instance for item in listed)
        self._known = kept
        self.keep_links(out)

    def keep_links(self, out: entry_state.Commands) -> None:
        """Says which peers to dial, when that has changed."""
        chosen = self._choose_agents() | self._choose_group_agents()
        dialled = neighbours.choose_entries(
            self._state.facts.instance, self._list_entry_names()
        )
        wanted: list[tuple[str, str, int]] = []
        for name in sorted(self._known):
            item = self._known[name]
            if name in chosen:
                self._state.loads.note_endpoint(name, item.place, item.service)
            if name in chosen or name in dialled:
                wanted.append((name, item.ip, item.link_port))
        if tuple(wanted) != self._kept:
            self._kept = tuple(wanted)
            out.append(commands.MaintainLinks(self._kept))

    def _choose_agents(self) -> set[str]:
        """Returns the agents of this entry's subset of each service."""
        facts = self._state.facts
        entries = [
            subsets.Node(item.instance, item.place)
            for item in self._known.values()
            if item.role is instances.Role.ENTRY
        ]
        services: dict[str, list[subsets.Node]] = {}
        for item in self._known.values():
            if item.role is instances.Role.AGENT:
                node = subsets.Node(item.instance, item.place)
                services.setdefault(item.service, []).append(node)
        own = subsets.Node(facts.instance, facts.place)
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
        """Returns the agents of the groups whose leases this entry contends for."""
        tree = self._state.settings.tree
        if tree is None:
            return set()
        own = self._state.facts.instance
        entries = self._list_entry_names()
        return {
            agent
            for group in tree.groups.values()
            if group.agents and neighbours.contends(own, entries, group.name)
            for agent in group.agents
            if agent in self._known
        }

    def open_entry(
        self, hello: messages.Hello, session: str, out: entry_state.Commands
    ) -> None:
        """A link to another entry is up."""
        self._entries[hello.instance] = _EntryPeer(session)
        self._tell(hello.instance, session, out)

    def close_entry(self, instance: str, session: str) -> None:
        """A link to another entry is gone."""
        peer = self._entries.get(instance)
        if peer is not None and peer.session == session:
            del self._entries[instance]

    def consume_status(
        self, instance: str, status: messages.EntryStatus, now: float
    ) -> None:
        """Another entry told of itself."""
        peer = self._entries.get(instance)
        if peer is not None:
            peer.status = status
            peer.heard_at = now

    def tick(self, now: float, out: entry_state.Commands) -> None:
        """Tells the other entries of this one from time to time."""
        if self._started_at is None:
            self._started_at = now
        version = self._state.settings.version
        if self._kept is None or version != self._kept_for:
            self._kept_for = version
            self.keep_links(out)
        if now - self._told_at < STATUS_PERIOD_S:
            return
        self._told_at = now
        self.tell_all(out)

    def leave(self, out: entry_state.Commands) -> None:
        """Tells every entry that callers must no longer be sent here."""
        self._leaving = True
        self.tell_all(out)

    def tell_all(self, out: entry_state.Commands) -> None:
        """Tells every entry of this one."""
        for instance, peer in self._entries.items():
            self._tell(instance, peer.session, out)

    def _tell(self, instance: str, session: str, out: entry_state.Commands) -> None:
        out.append(commands.Send(instance, session, self.describe_self()))

    def describe_self(self) -> messages.EntryStatus:
        """Returns what this entry tells of itself."""
        facts = self._state.facts
        return messages.EntryStatus(
            facts.instance, facts.ip, facts.port, facts.place, self._leaving
        )

    def rank_entries(self, seed: int, now: float) -> tuple[addresses.EntryView, ...]:
        """Returns the entries that a caller may use, best first.

        Args:
            seed: Hash of the caller, so that callers spread over equal entries.
            now: Present time, monotonic seconds.
        """
        known = [_make_view(self.describe_self(), now)]
        for peer in self._entries.values():
            if peer.status is not None:
                known.append(_make_view(peer.status, peer.heard_at))
        return addresses.rank_addresses(known, self._state.facts.place, seed, now)

    def is_settled(self, now: float) -> bool:
        """Tells whether every entry known was heard, or there was time for it."""
        if self._started_at is None:
            return False
        if now - self._started_at >= SETTLE_S:
            return True
        heard = {name for name, peer in self._entries.items() if peer.status}
        return heard.issuperset(self._list_entry_names())

    def count_entries(self) -> int:
        """Returns the number of entries known, this one included."""
        roles = [
            item.role
            for name, item in self._known.items()
            if name != self._state.facts.instance
        ]
        return 1 + roles.count(instances.Role.ENTRY)

    def list_sessions(self) -> list[tuple[str, str]]:
        """Returns instance and session of each linked entry."""
        return [(name, peer.session) for name, peer in self._entries.items()]


def _make_view(status: messages.EntryStatus, heard_at: float) -> addresses.EntryView:
    return addresses.EntryView(
        status.instance,
        status.ip,
        status.port,
        status.place,
        status.leaving,
        heard_at,
    )
