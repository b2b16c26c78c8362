"""Finds entries of a configuration that never match, fail or contradict each other."""

from __future__ import annotations

import collections.abc
import dataclasses
import enum

from chicoryweir_policy.forwarding import configuration
from chicoryweir_policy.forwarding import routes

# Bytes that the path of a request never contains.
_NEVER_IN_PATH = frozenset("?# \t\r\n")
# Characters that a host without its port never contains.
_NEVER_IN_HOST = frozenset(":/?# \t\r\n")


class Part(enum.Enum):
    """Part of a configuration, named as the attribute that holds it."""

    ROUTE = "routes"
    SERVICE = "services"
    WORKSPACE = "workspaces"
    LIMITS = "limits"


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """Something that an operator hardly means.

    Attributes:
        is_error: Whether an entry can't be used at all, or fails each request.
        part: Part of the configuration.
        index: Index in that part; 0 for the limits.
        field: Attribute of the entry.
        detail: What is wrong, with the values.
    """

    is_error: bool
    part: Part
    index: int
    field: str
    detail: str


Findings = collections.abc.Iterator[Finding]


def find_all(config: configuration.Configuration) -> tuple[Finding, ...]:
    """Returns all findings about a configuration, part by part."""
    return (
        *_check_routes(config),
        *_check_services(config),
        *_check_workspaces(config),
        *_check_limits(config.limits),
    )


def _check_routes(config: configuration.Configuration) -> Findings:
    owners = {
        (route.host, route.prefix): index for index, route in enumerate(config.routes)
    }
    seen_names: dict[str, int] = {}
    for index, route in enumerate(config.routes):
        owner = owners[route.host, route.prefix]
        if owner != index:
            yield _error(
                index,
                "prefix",
                f"never matches: {config.routes[owner].name!r}, number {owner}, has the"
                f" host {route.host!r} and the prefix {route.prefix!r} too",
            )
        first = seen_names.setdefault(route.name, index)
        if first != index:
            yield _warning(
                index, "name", f"{route.name!r} is the name of number {first} too"
            )
        yield from _check_match(index, route)
        yield from _check_shares(index, route, config)
        yield from _check_times(index, route)
        yield from _check_repeats(index, route)
        if route.priority > routes.MAX_PRIORITY:
            detail = f"{route.priority} counts as {routes.MAX_PRIORITY}"
            yield _warning(index, "priority", detail)


def _check_match(index: int, route: configuration.Route) -> Findings:
    prefix, host = route.prefix, route.host
    if not (prefix.startswith("/") and prefix.endswith("/")):
        yield _error(
            index,
            "prefix",
            f"never matches: {prefix!r} must begin and end with a slash",
        )
    elif not _NEVER_IN_PATH.isdisjoint(prefix):
        yield _error(index, "prefix", f"never matches: {prefix!r} is not part of paths")
    if not host or not _NEVER_IN_HOST.isdisjoint(host):
        yield _error(
            index, "host", f"never matches: {host!r} must be a name without a port"
        )


def _check_shares(
    index: int, route: configuration.Route, config: configuration.Configuration
) -> Findings:
    listed = {service.name for service in config.services}
    shares = route.shares
    total = sum(share.weight for share in shares)
    if len(shares) > 1 and total <= 0.0:
        yield _error(index, "shares", "every request fails: the sum of weights is 0")
    seen: set[str] = set()
    for share in shares:
        name = share.service
        if not name:
            yield _error(index, "shares", "no service is named")
        elif listed and name not in listed:
            yield _error(index, "shares", f"{name!r} is not among the services")
        if name in seen:
            yield _warning(index, "shares", f"{name!r} is named twice")
        seen.add(name)
        if share.weight <= 0.0 < total:
            yield _warning(index, "shares", f"{name!r} gets nothing: its weight is 0")


def _check_times(index: int, route: configuration.Route) -> Findings:
    if route.timeout_s <= 0.0:
        yield _error(index, "timeout_s", "every request is over its time: it is 0 s")
        return
    limit = f"above the time limit, {route.timeout_s:g} s"
    if route.objective_s > route.timeout_s:
        yield _warning(index, "objective_s", f"{route.objective_s:g} s is {limit}")
    if route.max_gap_s > route.timeout_s:
        yield _warning(index, "max_gap_s", f"{route.max_gap_s:g} s is {limit}")


def _check_repeats(index: int, route: configuration.Route) -> Findings:
    is_stream = route.kind is configuration.RouteKind.STREAM
    if route.max_attempts > 1 and not route.retryable:
        yield _warning(
            index,
            "max_attempts",
            f"{route.max_attempts} on a route whose requests may not be repeated:"
            " only attempts that are known not to have run are",
        )
    if route.resumable and not is_stream:
        yield _warning(index, "resumable", "only streams are resumed")
    if route.resumable and is_stream and route.max_attempts == 1:
        yield _warning(index, "resumable", "no stream is resumed with one attempt")
    if route.max_gap_s > 0.0 and not is_stream:
        yield _warning(index, "max_gap_s", "only streams have gaps")


def _check_services(config: configuration.Configuration) -> Findings:
    used = {share.service for route in config.routes for share in route.shares}
    last = {service.name: index for index, service in enumerate(config.services)}
    for index, service in enumerate(config.services):
        name = service.name
        if last[name] != index:
            detail = f"{name!r} is not used: number {last[name]} has this name too"
            yield Finding(True, Part.SERVICE, index, "name", detail)
        elif name not in used:
            detail = f"no route sends requests to {name!r}"
            yield Finding(False, Part.SERVICE, index, "name", detail)
        if service.engine is not None:
            for detail in _check_engine(service.engine):
                yield Finding(False, Part.SERVICE, index, "engine", detail)


def _check_engine(engine: configuration.Engine) -> collections.abc.Iterator[str]:
    usual = engine.usual_prompt_tokens + engine.usual_answer_tokens
    if 0 < engine.memory_tokens < usual:
        yield (
            f"a usual request has {usual:g} tokens, the memory"
            f" holds {engine.memory_tokens}"
        )
    experts = engine.experts
    if experts is None:
        return
    if experts.share > 1.0:
        yield f"the share of time in experts, {experts.share:g}, is above 1"
    if experts.max_copies_per_rank > experts.slots_per_rank:
        yield (
            f"a change may copy {experts.max_copies_per_rank} experts to a rank,"
            f" which holds {experts.slots_per_rank}"
        )


def _check_workspaces(config: configuration.Configuration) -> Findings:
    if config.workspaces is None:
        return
    if not any(workspace.keys for workspace in config.workspaces):
        for index, route in enumerate(config.routes):
            if not route.public:
                detail = "never matches: it needs a key, and no workspace has one"
                yield _error(index, "public", detail)
    owners: dict[str, int] = {}
    seen_names: dict[str, int] = {}
    for index, workspace in enumerate(config.workspaces):
        if not workspace.keys:
            detail = f"{workspace.name!r} has no key, so no request belongs to it"
            yield Finding(False, Part.WORKSPACE, index, "keys", detail)
        first = seen_names.setdefault(workspace.name, index)
        if first != index:
            detail = f"{workspace.name!r} is the name of number {first} too"
            yield Finding(False, Part.WORKSPACE, index, "name", detail)
        if (workspace.priority or 0) > routes.MAX_PRIORITY:
            detail = f"{workspace.priority} is above {routes.MAX_PRIORITY}"
            yield Finding(False, Part.WORKSPACE, index, "priority", detail)
        yield from _check_keys(index, workspace, owners, config.workspaces)


def _check_keys(
    index: int,
    workspace: configuration.Workspace,
    owners: dict[str, int],
    workspaces: tuple[configuration.Workspace, ...],
) -> Findings:
    """Checks that keys belong to one workspace; details don't show keys."""
    for number, key in enumerate(workspace.keys):
        owner = owners.setdefault(key, index)
        if not key:
            detail = f"key number {number} is empty"
            yield Finding(False, Part.WORKSPACE, index, "keys", detail)
        elif owner != index:
            detail = f"key number {number} belongs to {workspaces[owner].name!r} too"
            yield Finding(True, Part.WORKSPACE, index, "keys", detail)
        elif key in workspace.keys[:number]:
            detail = f"key number {number} is listed twice"
            yield Finding(False, Part.WORKSPACE, index, "keys", detail)


def _check_limits(limits: configuration.Limits) -> Findings:
    if limits.max_header_bytes == 0:
        yield _limit(True, "max_header_bytes", "every request is too long: it is 0")
    if limits.header_timeout_s == 0.0:
        yield _limit(True, "header_timeout_s", "every request is too slow: it is 0 s")
    if limits.max_body_bytes == 0:
        yield _limit(False, "max_body_bytes", "no request may have a body: it is 0")
    if limits.idle_timeout_s == 0.0:
        yield _limit(False, "idle_timeout_s", "no connection is kept: it is 0 s")


def _error(index: int, field: str, detail: str) -> Finding:
    return Finding(True, Part.ROUTE, index, field, detail)


def _warning(index: int, field: str, detail: str) -> Finding:
    return Finding(False, Part.ROUTE, index, field, detail)


def _limit(is_error: bool, field: str, detail: str) -> Finding:
    return Finding(is_error, Part.LIMITS, 0, field, detail)
