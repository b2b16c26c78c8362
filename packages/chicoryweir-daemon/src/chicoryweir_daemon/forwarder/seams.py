"""What the forwarder asks of the surroundings it runs in.

A folder of its own implements these for one kind of surroundings; nothing here knows
the names or formats that it uses.
"""

from __future__ import annotations

import dataclasses
import typing

from chicoryweir_daemon.forwarder import process
from chicoryweir_daemon.http1 import heads
from chicoryweir_policy.forwarding import configuration
from chicoryweir_policy.forwarding import demand
from chicoryweir_policy.forwarding import endpoints


@dataclasses.dataclass(frozen=True, slots=True)
class RequestFacts:
    """What a caller's head says.

    Attributes:
        attempt_id: The caller's name for this attempt; endpoints echo it.
        remaining_s: Time that the caller will wait, in seconds; None where not told.
        key: Key that the caller presented.
        size: Size of a generation; None for other requests.
        host: Host that the caller named, in lower case without a port.
    """

    attempt_id: bytes
    remaining_s: float | None
    key: bytes | None
    size: demand.RequestSize | None
    host: str


@dataclasses.dataclass(frozen=True, slots=True)
class Malformed:
    """A head lacks something, or holds what can't be read."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Sending:
    """What the entry tells an endpoint with a request.

    Attributes:
        remaining_s: Time that is left, in seconds.
        instance: The only instance that may run it.
        workspace: Workspace of the caller; empty for none.
        priority: Rank; 0 is the most urgent.
        resume_after: Id of the last event that the caller has; None for a start.
    """

    remaining_s: float
    instance: str
    workspace: str
    priority: int
    resume_after: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerFacts:
    """What the head of an endpoint's answer says.

    Attributes:
        attempt_id: Attempt that it answers; None where not told.
        stamped: Whether it bears the endpoint's signature.
        not_run: Whether the endpoint says that it did not run the request.
        misdirected: Whether another instance than the named one answered.
        encoded: Whether the body was encoded on the way.
        at_fault: Address of the endpoint that it depends on and that failed, or empty.
    """

    attempt_id: bytes | None
    stamped: bool
    not_run: bool
    misdirected: bool
    encoded: bool
    at_fault: str


class Dialect(typing.Protocol):
    """Names of headers towards callers and endpoints."""

    def read_request(self, head: heads.RequestHead) -> RequestFacts | Malformed:
        """Reads a caller's head."""

    def write_request(
        self, head: heads.RequestHead, sending: Sending
    ) -> list[heads.Header]:
        """Returns the headers for the endpoint, but for those of the connection."""

    def read_answer(self, head: heads.AnswerHead) -> AnswerFacts:
        """Reads the head of an endpoint's answer."""

    def write_own(self, attempt_id: bytes | None) -> list[heads.Header]:
        """Returns headers for an answer that the entry gives itself."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unreachable:
    """The store did not answer, or refused; `detail` tells what."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryLost:
    """Changes since the position can't be had; a whole listing is needed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Document:
    """A configuration as it lies in the store.

    Attributes:
        data: Its bytes, which entries hand to one another.
        position: Position in the store's history at which it was read.
    """

    data: bytes
    position: int


@dataclasses.dataclass(frozen=True, slots=True)
class NoDocument:
    """Nothing is stored, or nothing has changed, as of `position`."""

    position: int


# A registration in the store that names no endpoint, with the reason.
Unusable = endpoints.Removed


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """All endpoints as of `position`, and the registrations that can't be used."""

    endpoints: tuple[endpoints.Endpoint, ...]
    position: int
    unusable: tuple[Unusable, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Changes of endpoints up to `position`, in order."""

    changes: tuple[endpoints.Change, ...]
    position: int


class Registry(typing.Protocol):
    """The platform's store, as an entry reads and writes it."""

    async def read_configuration(self) -> Document | NoDocument | Unreachable:
        """Reads the newest configuration."""

    async def await_configuration(
        self, position: int, wait_s: float
    ) -> Document | NoDocument | HistoryLost | Unreachable:
        """Waits for a configuration newer than a position."""

    async def list_endpoints(self) -> Listing | Unreachable:
        """Reads all endpoints."""

    async def list_changes(
        self, position: int, wait_s: float
    ) -> Changes | HistoryLost | Unreachable:
        """Reads what changed since a position; waits while nothing did."""

    async def enrol(self, name: str, host: str) -> Unreachable | None:
        """Writes down where this entry lives; None when the store took it."""

    async def withdraw(self, name: str) -> Unreachable | None:
        """Removes what `enrol` wrote; None when the store took it."""

    async def list_entries(self) -> tuple[str, ...] | Unreachable:
        """Returns the hosts of entries that enrolled."""


class SettingsSource(typing.Protocol):
    """Where the settings of the process come from."""

    def has_changed(self) -> bool:
        """Tells whether they are others than at the last call."""

    def load(self) -> process.Settings:
        """Loads them.

        Raises:
            ValueError: They can't be used; the message names the key.
        """


class Decoder(typing.Protocol):
    """Reads configurations."""

    def decode(self, data: bytes) -> configuration.Configuration:
        """Returns a configuration.

        Raises:
            ValueError: It can't be read; the message names the member.
        """


class Clock(typing.Protocol):
    """Clocks of the process."""

    def read(self) -> float:
        """Returns monotonic time, in seconds."""

    def read_wall(self) -> float:
        """Returns Unix time, in seconds."""

    def read_boot(self) -> float:
        """Returns time in seconds that goes on while the machine is suspended."""
