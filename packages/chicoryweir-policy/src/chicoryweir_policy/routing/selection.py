"""Selects an endpoint for a request by prefix affinity, load and distance."""

from __future__ import annotations

import collections.abc
import dataclasses
import enum
import typing

from chicoryweir_policy import requests
from chicoryweir_policy.routing import prefix
from chicoryweir_policy.routing import views
from chicoryweir_policy.routing import zones

OTHER_DATA_CENTRE_COST_S = 0.02
TOKEN_TIME_TOLERANCE = 1.5
MAX_SCORED_TOKENS = 500.0
SAVED_PER_CACHED_BLOCK_S = 0.01
FIRST_CANDIDATES = 2
SUSPECT_CANDIDATES = 2
SPILL_CANDIDATES = 4
SPILL_WAIT_S = 0.25
RETRY_AFTER_MS = 500
# A change of the settings that ends an evacuation is in force everywhere within 5 s.
EVACUATED_RETRY_AFTER_MS = 5000
_UINT64_MASK = (1 << 64) - 1
_HASH_MULTIPLIER = 0x9E3779B97F4A7C15


class Reason(enum.Enum):
    """Why no endpoint could be selected.

    Attributes:
        NO_ENDPOINT: No endpoint of the service is known.
        UNAVAILABLE: All endpoints are down, leaving, ejected, without recent reports
            or without the model.
        EXCLUDED: All available endpoints were tried already.
        SUSPECT: The few endpoints that a suspect request may use were all tried, or are
            currently unavailable; only in the latter case a retry delay is given.
        EVACUATED: The endpoints that could run it are all in evacuated data centres.
    """

    NO_ENDPOINT = "no_endpoint"
    UNAVAILABLE = "unavailable"
    EXCLUDED = "excluded"
    SUSPECT = "suspect"
    EVACUATED = "evacuated"


@dataclasses.dataclass(frozen=True, slots=True)
class Selected:
    """An endpoint was selected.

    Attributes:
        instance: Instance of the endpoint.
        wait_s: Predicted wait at the endpoint, in seconds.
        cached_blocks: Number of leading prompt blocks that it is assumed to cache.
        spilled: Whether another candidate was selected because the first ones had
            long waits.
    """

    instance: str
    wait_s: float
    cached_blocks: int
    spilled: bool


@dataclasses.dataclass(frozen=True, slots=True)
class NoneAvailable:
    """No endpoint can run the request.

    Attributes:
        reason: Why none was selected.
        retry_after_ms: Delay after which a retry may succeed; None if it can't.
    """

    reason: Reason
    retry_after_ms: int | None


Selection = Selected | NoneAvailable


class Selector(typing.Protocol):
    """Selects endpoints; equal arguments give equal selections."""

    def select_endpoint(
        self,
        request: requests.Request,
        fleet: views.Fleet,
        excluded: frozenset[str],
        data_centre: str,
        now: float,
        *,
        suspect: bool = False,
        spill_wait_s: float = SPILL_WAIT_S,
    ) -> Selection:
        """Selects an endpoint for a request.

        Args:
            request: The request.
            fleet: The endpoints to select from.
            excluded: Instances that must not be selected, such as those already tried.
            data_centre: Data centre of the entry.
            now: Monotonic time in seconds.
            suspect: Whether an endpoint was lost while this content ran on it.
            spill_wait_s: Predicted wait above which further endpoints are considered,
                in seconds.
        """


def rank_members(members: tuple[views.Member, ...], seed: int) -> list[views.Member]:
    """Ranks members by rendezvous hashing of the seed.

    Adding or removing a member doesn't change the order of the others.
    """
    scores = [
        (member.name_hash ^ seed) * _HASH_MULTIPLIER & _UINT64_MASK
        for member in members
    ]
    order = sorted(range(len(members)), key=scores.__getitem__, reverse=True)
    return [members[index] for index in order]


def find_first_member(members: tuple[views.Member, ...], seed: int) -> views.Member:
    """Returns the member that `rank_members` ranks first."""
    scores = [
        (member.name_hash ^ seed) * _HASH_MULTIPLIER & _UINT64_MASK
        for member in members
    ]
    return members[scores.index(max(scores))]


@dataclasses.dataclass(frozen=True, slots=True)
class _Candidate:
    instance: str
    score_s: float
    wait_s: float
    cached_blocks: int


class PrefixAffinitySelector:
    """Selects among the home endpoint of the prefix and those ranked by content hash.

    The home endpoint is determined by the first prompt block that is not too popular,
    so that it is likely to have the prefix cached. The other candidates are ranked by
    the hash of the content alone, so that all entries send equal content to the same
    few endpoints.
    """

    def __init__(self, prefixes: prefix.PrefixIndex) -> None:
        self._prefixes = prefixes
        self._zones = zones.ZoneCache()

    def select_endpoint(
        self,
        request: requests.Request,
        fleet: views.Fleet,
        excluded: frozenset[str],
        data_centre: str,
        now: float,
        *,
        suspect: bool = False,
        spill_wait_s: float = SPILL_WAIT_S,
    ) -> Selection:
        """Selects an endpoint; see `Selector`."""
        zone = self._zones.get_zones(request.service, request.model, fleet)
        if not zone.members:
            return _make_none_available(request, fleet, excluded, now, suspect)
        if suspect:
            ranked = _find_suspect_candidates(request, zone.members, excluded)
            if not ranked:
                return NoneAvailable(Reason.SUSPECT, None)
        else:
            ranked = self._rank_candidates(request, zone.near)
        usable = _iterate_available(ranked, request.model, fleet, excluded, now)
        candidates = self._score(
            usable, FIRST_CANDIDATES, request, fleet, data_centre, now
        )
        best = _find_best(candidates)
        spilled = False
        if not suspect and not _has_short_wait(best, spill_wait_s):
            for _ in range(SPILL_CANDIDATES):
                candidates += self._score(usable, 1, request, fleet, data_centre, now)
                if candidates and _has_short_wait(candidates[-1], spill_wait_s):
                    break
            else:
                candidates += self._score_far(
                    request, fleet, zone.far, excluded, data_centre, now
                )
            first, best = best, _find_best(candidates)
            spilled = best is not first
        if best is None:
            return _make_none_available(request, fleet, excluded, now, suspect)
        return Selected(best.instance, best.wait_s, best.cached_blocks, spilled)

    def _rank_candidates(
        self, request: requests.Request, near: tuple[views.Member, ...]
    ) -> list[views.Member]:
        ranked = rank_members(near, request.fingerprint)
        blocks = request.prefix_blocks
        block = self._prefixes.find_home_block(blocks, 1.0 / len(near))
        if block == 0:
            return ranked
        home = find_first_member(near, block)
        return [home, *(member for member in ranked if member is not home)]

    def _score_far(
        self,
        request: requests.Request,
        fleet: views.Fleet,
        far: tuple[views.Member, ...],
        excluded: frozenset[str],
        data_centre: str,
        now: float,
    ) -> list[_Candidate]:
        ranked = rank_members(far, request.fingerprint)
        usable = _iterate_available(ranked, request.model, fleet, excluded, now)
        return self._score(usable, SPILL_CANDIDATES, request, fleet, data_centre, now)

    def _score(
        self,
        usable: collections.abc.Iterator[views.EndpointView],
        count: int,
        request: requests.Request,
        fleet: views.Fleet,
        data_centre: str,
        now: float,
    ) -> list[_Candidate]:
        mean_wait_s = fleet.compute_mean_wait(request.service, request.priority)
        mean_token_time_s = fleet.compute_mean_token_time(request.service)
        tolerated_token_time_s = mean_token_time_s * TOKEN_TIME_TOLERANCE
        scored_tokens = min(request.cost_tokens, MAX_SCORED_TOKENS)
        candidates: list[_Candidate] = []
        for _, view in zip(range(count), usable, strict=False):
            cached = self._prefixes.count_cached(view.instance, request.prefix_blocks)
            wait_s = view.predict_wait(request.priority, mean_wait_s, now)
            score_s = wait_s + 2 * view.latency_s - cached * SAVED_PER_CACHED_BLOCK_S
            score_s += (
                OTHER_DATA_CENTRE_COST_S if view.data_centre != data_centre else 0.0
            )
            excess_token_time_s = (
                view.predict_token_time(mean_token_time_s, now) - tolerated_token_time_s
            )
            score_s += scored_tokens * max(0.0, excess_token_time_s)
            candidates.append(_Candidate(view.instance, score_s, wait_s, cached))
        return candidates


def make_selector(prefixes: prefix.PrefixIndex) -> Selector:
    """Creates the selector that entries use."""
    return PrefixAffinitySelector(prefixes)


def _iterate_available(
    ranked: list[views.Member],
    model: str,
    fleet: views.Fleet,
    excluded: frozenset[str],
    now: float,
) -> collections.abc.Iterator[views.EndpointView]:
    for member in ranked:
        view = fleet.get_view(member.instance)
        if view is None or member.instance in excluded:
            continue
        if view.is_available(model, now):
            yield view


def _find_suspect_candidates(
    request: requests.Request,
    members: tuple[views.Member, ...],
    excluded: frozenset[str],
) -> list[views.Member]:
    """Returns at most one endpoint for a suspect request.

    All entries that know of the same losses return the same one. The home endpoint
    gets no preference, since entries may disagree about it.
    """
    first = rank_members(members, request.fingerprint)[:SUSPECT_CANDIDATES]
    return [member for member in first if member.instance not in excluded][:1]


def _has_short_wait(candidate: _Candidate | None, wait_s: float) -> bool:
    return candidate is not None and candidate.wait_s <= wait_s


def _find_best(candidates: list[_Candidate]) -> _Candidate | None:
    return min(candidates, key=lambda candidate: candidate.score_s, default=None)


def _make_none_available(
    request: requests.Request,
    fleet: views.Fleet,
    excluded: frozenset[str],
    now: float,
    suspect: bool,
) -> NoneAvailable:
    members = list(fleet.list_members(request.service))
    available = list(
        _iterate_available(members, request.model, fleet, frozenset(), now)
    )
    if not available:
        if any(
            view.is_working(request.model, now)
            for view in fleet.list_evacuated(request.service)
        ):
            return NoneAvailable(Reason.EVACUATED, EVACUATED_RETRY_AFTER_MS)
        reason = Reason.UNAVAILABLE if members else Reason.NO_ENDPOINT
        return NoneAvailable(reason, RETRY_AFTER_MS)
    if suspect:
        return NoneAvailable(Reason.SUSPECT, RETRY_AFTER_MS)
    assert any(view.instance in excluded for view in available)
    return NoneAvailable(Reason.EXCLUDED, RETRY_AFTER_MS)
