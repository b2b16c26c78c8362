"""Looks up the route and the workspace of a request in a configuration."""

from __future__ import annotations

import collections.abc
import dataclasses
import types

from chicoryweir_policy import hashing
from chicoryweir_policy.forwarding import configuration

# Workspace of requests without a valid key, on public routes or if no keys are checked.
_NO_WORKSPACE = ""
# Least urgent priority.
MAX_PRIORITY = 9


@dataclasses.dataclass(frozen=True, slots=True)
class Routed:
    """The route and the service of a request that may run.

    Attributes:
        route: Route of the request.
        workspace: Workspace of the key; empty if there is none.
        priority: Priority of the request; 0 is the most urgent. It follows from that of
            the workspace relative to the usual one, and then from that of the route.
        service: Service that runs the request.
        version: Version of the configuration that was used.
    """

    route: configuration.Route
    workspace: str
    priority: int
    service: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class NotFound:
    """No route of the host matches the path."""

    host: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class KeyUnknown:
    """The route requires a key and the request has no valid one."""

    route: str
    version: int


Resolution = Routed | NotFound | KeyUnknown


class RouteTable:
    """Index of a configuration; lookup time doesn't depend on the number of routes."""

    def __init__(self, config: configuration.Configuration) -> None:
        self.configuration = config
        hosts: dict[str, dict[bytes, configuration.Route]] = {}
        for route in config.routes:
            hosts.setdefault(route.host, {})[route.prefix.encode()] = route
        self._hosts = types.MappingProxyType(hosts)
        self._services = {service.name: service for service in config.services}
        self._keys = {
            key.encode(): workspace
            for workspace in config.workspaces or ()
            for key in workspace.keys
        }
        self._levels = 1 + max((route.priority for route in config.routes), default=0)
        self._usual_priority = _find_usual_priority(config.workspaces or ())

    @property
    def version(self) -> int:
        """Version of the configuration."""
        return self.configuration.version

    def get_service(self, name: str) -> configuration.Service | None:
        """Returns a service by name."""
        return self._services.get(name)

    def resolve(
        self, host: str, path: bytes, key: bytes | None, request_id: str
    ) -> Resolution:
        """Returns a request's route, workspace and service, or why it may not run.

        Args:
            host: Host in the request, in lower case, without port.
            path: Path as sent, without the query.
            key: API key in the request.
            request_id: Seed of the choice of the service if a route is split.
        """
        route = self._find_route(host, path)
        if route is None:
            return NotFound(host, self.version)
        workspace, priority = _NO_WORKSPACE, route.priority
        if self.configuration.workspaces is not None:
            owner = None if key is None else self._keys.get(key)
            if owner is not None:
                workspace = owner.name
                if owner.priority is not None:
                    # Requests of one workspace keep the order of their routes.
                    difference = owner.priority - self._usual_priority
                    priority += difference * self._levels
            elif not route.public:
                return KeyUnknown(route.name, self.version)
        service = _draw_service(route, request_id)
        priority = min(max(priority, 0), MAX_PRIORITY)
        return Routed(route, workspace, priority, service, self.version)

    def _find_route(self, host: str, path: bytes) -> configuration.Route | None:
        prefixes = self._hosts.get(host)
        if prefixes is None:
            return None
        end = path.rfind(b"/")
        while end >= 0:
            found = prefixes.get(path[: end + 1])
            if found is not None:
                return found
            end = path.rfind(b"/", 0, end)
        return None


def _find_usual_priority(
    workspaces: collections.abc.Iterable[configuration.Workspace],
) -> int:
    """Returns the median priority of the workspaces that have one."""
    priorities = sorted(w.priority for w in workspaces if w.priority is not None)
    return priorities[(len(priorities) - 1) // 2] if priorities else 0


def _draw_service(route: configuration.Route, request_id: str) -> str:
    if len(route.shares) == 1:
        return route.shares[0].service
    total = sum(share.weight for share in route.shares)
    draw = hashing.hash_to_unit(request_id) * total
    for share in route.shares:
        draw -= share.weight
        if draw < 0.0:
            return share.service
    return next(s.service for s in reversed(route.shares) if s.weight > 0.0)
