"""Interfaces between the forwarder and the platform it runs on.

Each platform implements them in a package of its own; the forwarder doesn't depend on
the platform's names and formats.
"""

from __future__ import annotations

import dataclasses
import typing

from chicoryweir_daemon.http1 import heads
from chicoryweir_policy.forwarding import configuration
from chicoryweir_policy.forwarding import demand
from chicoryweir_policy.forwarding import endpoints
from chicoryweir_policy.forwarding import evacuations
from chicoryweir_policy.forwarding import statements


@dataclasses.dataclass(frozen=True, slots=True)
class RequestFacts:
    """Fields parsed from the head of a caller's request.

    Attributes:
        attempt_id: The caller's id of this attempt; endpoints echo it.
        remaining_s: Time until the caller's deadline, in seconds; None if not given.
        key: API key of the caller; None if not given.
        size: Token counts of a generation request; None for other requests.
        host: Requested host, in lower case without a port.
        shared_parts: Ids of the parts of the prompt that other requests may share, in
            order; empty if not given.
        expected_version: Version of the weights that the caller asks for; None for any.
    """

    attempt_id: bytes
    remaining_s: float | None
    key: bytes | None
    size: demand.RequestSize | None
    host: str
    shared_parts: tuple[str, ...] = ()
    expected_version: bytes | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Malformed:
    """The head of a request lacks a field or has an invalid one."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardingFacts:
    """Fields that the entry adds to a request for an endpoint.

    Attributes:
        remaining_s: Time until the deadline, in seconds.
        instance: The only instance that may run the request.
        workspace: Workspace of the caller; empty for none.
        priority: Priority; 0 is the most urgent.
        resume_after: Id of the last event that was sent to the caller; None to start
            from the beginning.
    """

    remaining_s: float
    instance: str
    workspace: str
    priority: int
    resume_after: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerFacts:
    """Fields parsed from the head of an endpoint's answer.

    Attributes:
        attempt_id: Attempt that it answers; None if not given.
        stamped: Whether it has the endpoint's signature.
        not_run: Whether the endpoint reports that it did not run the request.
        misdirected: Whether an instance other than the intended one answered, or one
            without the version of the weights that the caller asks for.
        encoded: Whether the body was encoded in transit.
        at_fault: Address of another endpoint that the endpoint reports as the cause of
            its failure, or empty.
        statement: What the endpoint states about itself.
        version: Version of the endpoint's weights; None if not given.
    """

    attempt_id: bytes | None
    stamped: bool
    not_run: bool
    misdirected: bool
    encoded: bool
    at_fault: str
    statement: statements.Statement = statements.Statement()
    version: bytes | None = None


class HeaderCodec(typing.Protocol):
    """Parses and encodes the platform's headers."""

    def read_request(self, head: heads.RequestHead) -> RequestFacts | Malformed:
        """Parses the head of a caller's request."""

    def write_request(
        self, head: heads.RequestHead, forwarding: ForwardingFacts
    ) -> list[heads.Header]:
        """Returns the headers for the endpoint, except connection headers."""

    def read_answer(self, head: heads.AnswerHead) -> AnswerFacts:
        """Parses the head of an endpoint's answer."""

    def write_own_answer(self, attempt_id: bytes | None) -> list[heads.Header]:
        """Returns headers for an answer that the entry creates itself."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unreachable:
    """The store did not answer or rejected the call, with details."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryLost:
    """The store doesn't have the changes after a position; a full read is needed.

    Attributes:
        era: Era of the store; None if the store did not state it.
    """

    era: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Position:
    """A position in the store's history.

    Attributes:
        version: Version of the latest change up to the position.
        era: Era of the store; None if the store did not state it.
    """

    version: int
    era: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class StoredConfiguration:
    """A configuration as stored.

    Attributes:
        data: Encoded configuration, which entries also exchange.
        position: Position in the store's history as of the read.
        evacuations: Evacuations that were read in the same call: all of them, or the
            changes after the position that was waited for.
    """

    data: bytes
    position: Position
    evacuations: tuple[evacuations.Record, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class NoNewerConfiguration:
    """No configuration is stored or it is unchanged, as of `position`.

    Attributes:
        position: Position in the store's history as of the read.
        evacuations: As in `StoredConfiguration`.
    """

    position: Position
    evacuations: tuple[evacuations.Record, ...] = ()


# A registration in the store that doesn't describe an endpoint, with the reason.
Unusable = endpoints.Removed


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """All endpoints as of `position`, and the unusable registrations."""

    endpoints: tuple[endpoints.Endpoint, ...]
    position: Position
    unusable: tuple[Unusable, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Changes of endpoints up to `position`, in the order of the store."""

    changes: tuple[endpoints.Change, ...]
    position: Position


@dataclasses.dataclass(frozen=True, slots=True)
class Written:
    """A write was performed in this era of the store; None if it stated none."""

    era: int | None = None


class Registry(typing.Protocol):
    """Client of the platform's store."""

    async def read_configuration(
        self,
    ) -> StoredConfiguration | NoNewerConfiguration | Unreachable:
        """Reads the newest configuration and all evacuations."""

    async def await_configuration(
        self, position: Position, wait_s: float
    ) -> StoredConfiguration | NoNewerConfiguration | HistoryLost | Unreachable:
        """Waits up to `wait_s` seconds for changes after a position.

        Returns the configuration if it changed, and the changes of evacuations.
        """

    async def list_endpoints(self) -> Listing | Unreachable:
        """Reads all endpoints."""

    async def list_changes(
        self, position: Position, wait_s: float
    ) -> Changes | HistoryLost | Unreachable:
        """Reads the changes after a position; waits up to `wait_s` seconds for one."""

    async def register_entry(self, name: str, host: str) -> Written | Unreachable:
        """Registers this entry with its host."""

    async def deregister_entry(self, name: str) -> Written | Unreachable:
        """Removes the registration of this entry."""

    async def list_entries(self) -> tuple[str, ...] | Unreachable:
        """Returns the hosts of the registered entries."""


class ConfigurationDecoder(typing.Protocol):
    """Decodes configurations."""

    def decode(self, data: bytes) -> configuration.Configuration:
        """Decodes a configuration.

        Raises:
            ValueError: The configuration is invalid; the message names the field.
        """


class Clock(typing.Protocol):
    """Clocks of the process."""

    def read(self) -> float:
        """Returns monotonic time, in seconds."""

    def read_boot(self) -> float:
        """Returns time since boot, including suspension, in seconds."""
