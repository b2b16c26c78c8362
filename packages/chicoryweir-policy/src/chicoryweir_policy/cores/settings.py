"""Holds the settings in force and exchanges them with peers."""

from __future__ import annotations

import dataclasses
import typing

from chicoryweir_policy import catalogue
from chicoryweir_policy import messages
from chicoryweir_policy import requests
from chicoryweir_policy import store
from chicoryweir_policy.cores import commands
from chicoryweir_policy.cores import events
from chicoryweir_policy.cores import operations
from chicoryweir_policy.settings import copies
from chicoryweir_policy.settings import heads
from chicoryweir_policy.settings import messages as version_messages
from chicoryweir_policy.settings import resolution
from chicoryweir_policy.settings import tree as trees
from chicoryweir_policy.settings import versions

Commands = list[commands.Command]


@dataclasses.dataclass(frozen=True, slots=True)
class _HeadRead:
    """Purpose of a read of the head row."""


@dataclasses.dataclass(frozen=True, slots=True)
class _ObjectRead:
    """Purpose of a fetch of the object that holds a version."""

    name: str


class SettingsManager:
    """Holds the version in force; never adopts one older than a version it has seen."""

    def __init__(
        self,
        instance: str,
        pending: operations.PendingOperations,
        timing: versions.Timing | None = None,
    ) -> None:
        self._timing = timing
        self._instance = instance
        self._operations = pending
        self._version_state: versions.VersionState | None = None
        self._resolver: resolution.Resolver | None = None
        self._sessions: dict[str, str] = {}
        self.head: heads.Head | None = None

    @property
    def version(self) -> int:
        """Version in force; 0 if none."""
        return self.head.version if self.head is not None else 0

    @property
    def is_ready(self) -> bool:
        """Whether a version is in force."""
        return self._resolver is not None

    @property
    def resolver(self) -> resolution.Resolver | None:
        """The resolver of the tree in force, or None."""
        return self._resolver

    @property
    def tree(self) -> trees.Tree | None:
        """The tree in force, or None."""
        return self._resolver.tree if self._resolver is not None else None

    @property
    def current_copy(self) -> copies.Copy | None:
        """The copy of the version in force, or None."""
        return self._version_state.current if self._version_state is not None else None

    def resolve(
        self,
        data_centre: str,
        service: str,
        workspace: str,
        priority: requests.PriorityClass,
    ) -> resolution.Effective:
        """Returns the values in effect; the defaults if no version is in force."""
        if self._resolver is None:
            return resolution.get_defaults(priority)
        return self._resolver.resolve(data_centre, service, workspace, priority)

    def tick(self, now: float, out: Commands) -> None:
        """Polls the head row and fetches the latest version when due."""
        if self._version_state is None or now >= versions.find_wake_time(
            self._version_state
        ):
            self._advance(version_messages.Ticked(), now, out)

    def open_link(self, event: events.LinkOpened, now: float, out: Commands) -> None:
        """Registers the link to a peer and sends it the version in force."""
        self._sessions[event.hello.instance] = event.session_id
        self._send(event.hello.instance, messages.SettingsHead(self.head), out)

    def close_link(self, instance: str, session_id: str, now: float) -> None:
        """Removes the link to a peer."""
        if self._sessions.get(instance) == session_id:
            del self._sessions[instance]
            self._advance(version_messages.PeerLost(instance), now, [])

    def accept_change(self, copy: copies.Copy, now: float, out: Commands) -> None:
        """Adopts a change that this process applied for an operator."""
        self._advance(version_messages.ChangeAccepted(copy), now, out)

    def handle_message(
        self, event: events.MessageReceived, now: float, out: Commands
    ) -> None:
        """Handles a peer's message about settings; ignores other messages."""
        match event.message:
            case messages.SettingsHead(head):
                announced = version_messages.HeadAnnounced(event.instance, head)
                self._advance(announced, now, out)
            case messages.SettingsWanted():
                requested = version_messages.CopyRequested(event.instance)
                self._advance(requested, now, out)
            case messages.SettingsBody(head, data):
                copy = copies.Copy(head, data)
                sent = version_messages.CopyReceived(event.instance, copy)
                self._advance(sent, now, out)
            case _:
                pass

    def handle_reply(
        self, purpose: typing.Any, result: store.Result, now: float, out: Commands
    ) -> None:
        """Handles the result of an operation of this manager; ignores other results."""
        match purpose:
            case _HeadRead():
                self._advance(version_messages.HeadRead(result), now, out)
            case _ObjectRead(name):
                self._advance(version_messages.ObjectRead(name, result), now, out)
            case _:
                pass

    def _advance(
        self, event: version_messages.Event, now: float, out: Commands
    ) -> None:
        if self._version_state is None:
            self._version_state = versions.make_version_state(
                self._instance, now, self._timing
            )
        step = versions.advance(self._version_state, event, now)
        self._version_state = step.state
        for command in step.commands:
            self._execute(command, out)

    def _execute(self, command: version_messages.Command, out: Commands) -> None:
        match command:
            case version_messages.ReadHead(operation):
                out.append(self._operations.register(operation, _HeadRead()))
            case version_messages.FetchObject(operation):
                purpose = _ObjectRead(operation.name)
                out.append(self._operations.register(operation, purpose))
            case version_messages.RequestCopy(peer):
                self._send(peer, messages.SettingsWanted(), out)
            case version_messages.SendCopy(peer, copy):
                self._send(peer, messages.SettingsBody(copy.head, copy.data), out)
            case version_messages.AnnounceHead(head, peer):
                for name in (peer,) if peer is not None else tuple(self._sessions):
                    self._send(name, messages.SettingsHead(head), out)
            case version_messages.Adopt(head, tree):
                self._adopt(head, tree, out)
            case version_messages.Violation():
                out.append(
                    commands.LogEvent(
                        catalogue.SETTINGS_REFUSED,
                        "",
                        command.peer,
                        f"{command.fault.value}: held {command.highest_seen},"
                        f" found {command.found}",
                    )
                )
            case _:
                typing.assert_never(command)

    def _adopt(self, head: heads.Head, tree: trees.Tree, out: Commands) -> None:
        if head.version <= self.version:
            detail = f"version {head.version} after {self.version}"
            out.append(
                commands.LogEvent(
                    catalogue.INVARIANT_VIOLATED, "", self._instance, detail
                )
            )
            return
        if self.head is None:
            out.append(
                commands.LogEvent(catalogue.DAEMON_READY, "", self._instance, "")
            )
        self.head = head
        self._resolver = resolution.make_resolver(tree)
        out.append(
            commands.LogEvent(
                catalogue.SETTINGS_ADOPTED, "", self._instance, str(head.version)
            )
        )

    def _send(self, instance: str, message: messages.Message, out: Commands) -> None:
        session_id = self._sessions.get(instance)
        if session_id is not None:
            out.append(commands.Send(instance, session_id, message))
