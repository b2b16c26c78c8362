"""Parses the configuration file of a daemon, which is read once at start."""

from __future__ import annotations

import dataclasses
import enum
import ipaddress
import pathlib
import typing

from chicoryweir_policy.membership import instances
from chicoryweir_policy.settings import documents

MAX_PORT = 65535
DEFAULT_SLOTS = 16
MAX_MEMORY_MB = 1 << 20
# Memory in which an entry with few callers fits.
MIN_MEMORY_MB = 128
MAX_CONNECTIONS = 1 << 20
MAX_TIMEOUT_MS = 3_600_000

Json = dict[str, typing.Any]


@dataclasses.dataclass(eq=False)
class ConfigurationError(Exception):
    """A configuration file is unreadable or invalid; `faults` lists every fault."""

    path: str
    faults: tuple[str, ...]

    def __str__(self) -> str:
        """Returns one line per fault."""
        return "\n".join(f"{self.path}: {fault}" for fault in self.faults)


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """IP address and port."""

    ip: str
    port: int


class EndpointKind(enum.Enum):
    """Kind of an agent's endpoint."""

    MODEL = "model"
    PLAIN = "plain"


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """The endpoint that an agent serves.

    Attributes:
        kind: Model engine or plain service.
        url: Base URL.
        slots: Maximum number of concurrent attempts.
        checks_fencing: Whether it rejects orders with an outdated fencing token.
        group: Lock-step group of its ranks, or an empty string.
        ranks: Its ranks in that group.
    """

    kind: EndpointKind
    url: str
    slots: int
    checks_fencing: bool
    group: str
    ranks: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Tls:
    """TLS certificate and key of the listener for callers."""

    certificate_file: str
    key_file: str


@dataclasses.dataclass(frozen=True, slots=True)
class CallerTimeouts:
    """Times that a caller may take, in seconds.

    Attributes:
        head_s: From the first byte of a head to its end.
        body_s: For a whole body.
        body_stall_s: Between two parts of a body.
        idle_s: Without a request.
        unread_s: Without taking anything of an answer that waits to be sent.
    """

    head_s: float = 10.0
    body_s: float = 120.0
    body_stall_s: float = 10.0
    idle_s: float = 75.0
    unread_s: float = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on callers of an entry.

    Attributes:
        memory_mb: Memory that the process may use, in MiB; None for half of that of the
            machine.
        max_connections: Maximum number of connections of callers; None for as many as
            the descriptors allow.
        timeouts: Times that a caller may take.
    """

    memory_mb: int | None = None
    max_connections: int | None = None
    timeouts: CallerTimeouts = CallerTimeouts()


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """Parsed configuration file of a daemon.

    Attributes:
        instance: Name of this instance.
        data_centre: Data centre of this instance.
        link: Listening address for links between daemons.
        platform_url: Base URL of the platform.
        cluster_secret: Secret shared by all daemons.
        seeds: Instances known before the first instance list arrives.
        listen: Listening address for callers; None for an agent.
        service: Service of an agent's endpoint; empty for an entry.
        endpoint: Endpoint of an agent; None for an entry.
        tls: Certificate and key for callers; None for plain HTTP.
        limits: Limits on callers of an entry.
    """

    instance: str
    data_centre: str
    link: Address
    platform_url: str
    cluster_secret: bytes
    seeds: tuple[instances.Instance, ...]
    listen: Address | None
    service: str
    endpoint: Endpoint | None
    tls: Tls | None
    limits: CallerLimits = CallerLimits()


class _DocumentReader:
    """Reads typed values from a JSON document and collects all faults.

    Each method reads member `key` of `parent`; `path` is the prefix of the member's
    name in faults. An invalid value is replaced by a valid one of the same type, so
    that reading continues and one run reports every fault.
    """

    def __init__(self) -> None:
        self.faults: list[str] = []

    def read_text(
        self, parent: Json, key: str, path: str, default: str | None = None
    ) -> str:
        value = parent.get(key, default)
        if isinstance(value, str) and (value or default is not None):
            return value
        self.faults.append(f"{path}{key}: expected text, found {value!r}")
        return ""

    def read_number(
        self,
        parent: Json,
        key: str,
        path: str,
        bounds: tuple[int, int],
        default: int | None,
    ) -> int:
        value = parent.get(key, default)
        low, high = bounds
        if type(value) is int and low <= value <= high:
            return value
        self.faults.append(
            f"{path}{key}: expected a whole number from {low} to {high},"
            f" found {value!r}"
        )
        return low

    def read_object(self, parent: Json, key: str, path: str, required: bool) -> Json:
        value = parent.get(key)
        if value is None and not required:
            return {}
        if isinstance(value, dict):
            return value
        self.faults.append(f"{path}{key}: expected an object, found {value!r}")
        return {}

    def read_list(self, parent: Json, key: str, path: str) -> list[typing.Any]:
        value = parent.get(key, [])
        if isinstance(value, list):
            return value
        self.faults.append(f"{path}{key}: expected a list, found {value!r}")
        return []

    def read_address(self, parent: Json, path: str) -> Address:
        ip = self.read_text(parent, "ip", path)
        try:
            ipaddress.ip_address(ip)
        except ValueError:
            self.faults.append(f"{path}ip: expected an IP address, found {ip!r}")
        return Address(ip, self.read_number(parent, "port", path, (1, MAX_PORT), None))


def load_configuration(path: pathlib.Path, role: instances.Role) -> Configuration:
    """Parses the configuration file of a daemon with the given role.

    Raises:
        ConfigurationError: The file can't be read, or it holds invalid values.
    """
    try:
        data = path.read_bytes()
    except OSError as error:
        raise ConfigurationError(str(path), (str(error.strerror),)) from error
    decoding = documents.parse_text(data)
    match decoding:
        case documents.Undecodable():
            detail = f"line {decoding.line}, column {decoding.column}"
            raise ConfigurationError(str(path), (f"{detail}: {decoding.detail}",))
        case documents.Decoded(document) if isinstance(document, dict):
            pass
        case _:
            raise ConfigurationError(str(path), ("expected an object",))
    reader = _DocumentReader()
    configuration = _read_configuration(reader, document, role)
    if reader.faults:
        raise ConfigurationError(str(path), tuple(reader.faults))
    return configuration


def _read_configuration(
    reader: _DocumentReader, document: Json, role: instances.Role
) -> Configuration:
    is_entry = role is instances.Role.ENTRY
    link = reader.read_object(document, "link", "", required=True)
    listen = reader.read_object(document, "listen", "", required=is_entry)
    tls = reader.read_object(document, "tls", "", required=False)
    return Configuration(
        instance=reader.read_text(document, "instance", ""),
        data_centre=reader.read_text(document, "place", ""),
        link=reader.read_address(link, "link."),
        platform_url=reader.read_text(document, "platform_url", ""),
        cluster_secret=reader.read_text(document, "cluster_secret", "").encode(),
        seeds=_read_seeds(reader, document),
        listen=reader.read_address(listen, "listen.") if is_entry else None,
        service="" if is_entry else reader.read_text(document, "service", ""),
        endpoint=None if is_entry else _read_endpoint(reader, document),
        tls=_read_tls(reader, tls) if tls else None,
        limits=_read_limits(reader, document) if is_entry else CallerLimits(),
    )


def _read_limits(reader: _DocumentReader, document: Json) -> CallerLimits:
    limits = reader.read_object(document, "limits", "", required=False)

    def read_optional(key: str, bounds: tuple[int, int]) -> int | None:
        if limits.get(key) is None:
            return None
        return reader.read_number(limits, key, "limits.", bounds, None)

    def read_timeout(key: str, default_s: float) -> float:
        bounds, default = (1, MAX_TIMEOUT_MS), int(default_s * 1000)
        return reader.read_number(limits, key, "limits.", bounds, default) / 1000

    defaults = CallerTimeouts()
    return CallerLimits(
        memory_mb=read_optional("memory_mb", (MIN_MEMORY_MB, MAX_MEMORY_MB)),
        max_connections=read_optional("max_connections", (1, MAX_CONNECTIONS)),
        timeouts=CallerTimeouts(
            head_s=read_timeout("head_timeout_ms", defaults.head_s),
            body_s=read_timeout("body_timeout_ms", defaults.body_s),
            body_stall_s=read_timeout("body_stall_timeout_ms", defaults.body_stall_s),
            idle_s=read_timeout("idle_timeout_ms", defaults.idle_s),
            unread_s=read_timeout("unread_timeout_ms", defaults.unread_s),
        ),
    )


def _read_tls(reader: _DocumentReader, tls: Json) -> Tls:
    return Tls(
        certificate_file=reader.read_text(tls, "certificate_file", "tls."),
        key_file=reader.read_text(tls, "key_file", "tls."),
    )


def _read_seeds(
    reader: _DocumentReader, document: Json
) -> tuple[instances.Instance, ...]:
    seeds: list[instances.Instance] = []
    for index, seed in enumerate(reader.read_list(document, "seeds", "")):
        path = f"seeds[{index}]."
        if not isinstance(seed, dict):
            reader.faults.append(f"{path[:-1]}: expected an object")
            continue
        role = reader.read_text(seed, "role", path)
        if role not in ("entry", "agent"):
            reader.faults.append(f"{path}role: expected entry or agent, found {role!r}")
            role = "agent"
        seeds.append(
            instances.Instance(
                instance=reader.read_text(seed, "instance", path),
                role=instances.Role(role),
                data_centre=reader.read_text(seed, "place", path),
                service=reader.read_text(seed, "service", path, ""),
                ip=reader.read_text(seed, "ip", path),
                port=reader.read_number(seed, "port", path, (0, MAX_PORT), 0),
                link_port=reader.read_number(
                    seed, "link_port", path, (1, MAX_PORT), None
                ),
                leaving=False,
            )
        )
    return tuple(seeds)


def _read_endpoint(reader: _DocumentReader, document: Json) -> Endpoint:
    endpoint = reader.read_object(document, "endpoint", "", required=True)
    path = "endpoint."
    kind = reader.read_text(endpoint, "kind", path)
    if kind not in ("model", "plain"):
        reader.faults.append(f"{path}kind: expected model or plain, found {kind!r}")
        kind = "plain"
    ranks = reader.read_list(endpoint, "ranks", path)
    if any(type(rank) is not int or rank < 0 for rank in ranks):
        reader.faults.append(f"{path}ranks: expected whole numbers from 0")
        ranks = []
    return Endpoint(
        kind=EndpointKind(kind),
        url=reader.read_text(endpoint, "url", path),
        slots=reader.read_number(endpoint, "slots", path, (1, 100_000), DEFAULT_SLOTS),
        checks_fencing=endpoint.get("checks_fencing") is True,
        group=reader.read_text(endpoint, "group", path, ""),
        ranks=tuple(ranks),
    )
