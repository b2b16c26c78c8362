"""Selects the endpoint for a request."""

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
MAX_PRICED_TOKENS = 500.0
SAVED_PER_BLOCK_S = 0.01
FIRST_CANDIDATES = 2
SUSPECT_CANDIDATES = 2
SPILL_CANDIDATES = 4
SPILL_WAIT_S = 0.25
RETRY_AFTER_MS = 500
_MASK = (1 << 64) - 1
_MULTIPLIER = 0x9E3779B97F4A7C15


class Reason(enum.Enum):
    """Why no endpoint could be selected.

    Attributes:
        NO_ENDPOINT: The service has no known endpoint.
        UNAVAILABLE: Its endpoints are down, leaving, ejected, stale or lack the model.
        EXCLUDED: Those that are available were tried already.
        SUSPECT: The few endpoints that a suspect request may reach are used up, or,
            where coming back helps, not available at present.
    """

    NO_ENDPOINT = "no_endpoint"
    UNAVAILABLE = "unavailable"
    EXCLUDED = "excluded"
    SUSPECT = "suspect"


@dataclasses.dataclass(frozen=True, slots=True)
class Selected:
    """An endpoint was selected.

    Attributes:
        instance: Its instance.
        wait_s: Predicted wait there, in seconds.
        cached_blocks: Leading prompt blocks that it is thought to hold.
        spilled: Whether the first candidates were passed over for their wait.
    """

    instance: str
    wait_s: float
    cached_blocks: int
    spilled: bool


@dataclasses.dataclass(frozen=True, slots=True)
class NoneAvailable:
    """No endpoint can take the request.

    Attributes:
        reason: Why.
        retry_after_ms: Time after which coming back helps; None where it does not.
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
            fleet: The endpoints.
            excluded: Instances that must not be selected.
            data_centre: Place of the entry.
            now: Monotonic time in seconds.
            suspect: Whether an endpoint was lost while this content ran.
            spill_wait_s: Predicted wait beyond which more endpoints are considered.
        """


def rank_members(members: tuple[views.Member, ...], seed: int) -> list[views.Member]:
    """Ranks members by rendezvous hashing: the same seed gives the same order.

    A member that joins or goes leaves the order of the others as it is.
    """
    scores = [(member.name_hash ^ seed) * _MULTIPLIER & _MASK for member in members]
    order = sorted(range(len(members)), key=scores.__getitem__, reverse=True)
    return [members[index] for index in order]


def find_first_member(members: tuple[views.Member, ...], seed: int) -> views.Member:
    """Finds the member that `rank_members` puts first."""
    scores = [(member.name_hash ^ seed) * _MULTIPLIER & _MASK for member in members]
    return members[scores.index(max(scores))]


@dataclasses.dataclass(frozen=True, slots=True)
class _Candidate:
    instance: str
    score_s: float
    wait_s: float
    cached_blocks: int


class PrefixAffinitySelector:
    """Weighs a home for the prompt's prefix against endpoints for the content.

    The home holds the cache of the prompt's leading block that is not too popular;
    the others come from a sequence that the content alone determines. So one content
    reaches few endpoints, through however many entries it is sent.
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
            return _explain_none(request, fleet, excluded, now, suspect)
        if suspect:
            sequence = _find_suspect_candidates(request, zone.members, excluded)
            if not sequence:
                return NoneAvailable(Reason.SUSPECT, None)
        else:
            sequence = self._rank_candidates(request, zone.near)
        usable = _iterate_available(sequence, request.model, fleet, excluded, now)
        weighed = self._weigh(
            usable, FIRST_CANDIDATES, request, fleet, data_centre, now
        )
        best = _find_best(weighed)
        spilled = False
        if not suspect and not _is_short(best, spill_wait_s):
            for _ in range(SPILL_CANDIDATES):
                weighed += self._weigh(usable, 1, request, fleet, data_centre, now)
                if weighed and _is_short(weighed[-1], spill_wait_s):
                    break
            else:
                weighed += self._weigh_far(
                    request, fleet, zone.far, excluded, data_centre, now
                )
            first, best = best, _find_best(weighed)
            spilled = best is not first
        if best is None:
            return _explain_none(request, fleet, excluded, now, suspect)
        return Selected(best.instance, best.wait_s, best.cached_blocks, spilled)

    def _rank_candidates(
        self, request: requests.Request, near: tuple[views.Member, ...]
    ) -> list[views.Member]:
        sequence = rank_members(near, request.fingerprint)
        blocks = request.prefix_blocks
        block = self._prefixes.find_home_block(blocks, 1.0 / len(near))
        if block == 0:
            return sequence
        home = find_first_member(near, block)
        return [home, *(member for member in sequence if member is not home)]

    def _weigh_far(
        self,
        request: requests.Request,
        fleet: views.Fleet,
        far: tuple[views.Member, ...],
        excluded: frozenset[str],
        data_centre: str,
        now: float,
    ) -> list[_Candidate]:
        sequence = rank_members(far, request.fingerprint)
        usable = _iterate_available(sequence, request.model, fleet, excluded, now)
        return self._weigh(usable, SPILL_CANDIDATES, request, fleet, data_centre, now)

    def _weigh(
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
        usual_pace_s = mean_token_time_s * TOKEN_TIME_TOLERANCE
        priced_tokens = min(request.cost_tokens, MAX_PRICED_TOKENS)
        weighed: list[_Candidate] = []
        for _, view in zip(range(count), usable, strict=False):
            cached = self._prefixes.count_cached(view.instance, request.prefix_blocks)
            wait_s = view.predict_wait(request.priority, mean_wait_s, now)
            score_s = wait_s + 2 * view.latency_s - cached * SAVED_PER_BLOCK_S
            score_s += (
                OTHER_DATA_CENTRE_COST_S if view.data_centre != data_centre else 0.0
            )
            token_time_s = (
                view.predict_token_time(mean_token_time_s, now) - usual_pace_s
            )
            score_s += priced_tokens * max(0.0, token_time_s)
            weighed.append(_Candidate(view.instance, score_s, wait_s, cached))
        return weighed


def make_selector(prefixes: prefix.PrefixIndex) -> Selector:
    """Makes the selector that entries use."""
    return PrefixAffinitySelector(prefixes)


def _iterate_available(
    sequence: list[views.Member],
    model: str,
    fleet: views.Fleet,
    excluded: frozenset[str],
    now: float,
) -> collections.abc.Iterator[views.EndpointView]:
    for member in sequence:
        view = fleet.get_view(member.instance)
        if view is None or member.instance in excluded:
            continue
        if view.is_available(model, now):
            yield view


def _find_suspect_candidates(
    request: requests.Request,
    near: tuple[views.Member, ...],
    excluded: frozenset[str],
) -> list[views.Member]:
    """Returns one endpoint, on which all entries agree that know of the same losses.

    The home is left out, since entries may differ about it.
    """
    first = rank_members(near, request.fingerprint)[:SUSPECT_CANDIDATES]
    return [member for member in first if member.instance not in excluded][:1]


def _is_short(candidate: _Candidate | None, wait_s: float) -> bool:
    return candidate is not None and candidate.wait_s <= wait_s


def _find_best(weighed: list[_Candidate]) -> _Candidate | None:
    return min(weighed, key=lambda candidate: candidate.score_s, default=None)


def _explain_none(
    request: requests.Request,
    fleet: views.Fleet,
    excluded: frozenset[str],
    now: float,
    suspect: bool,
) -> NoneAvailable:
    members = list(fleet.list_members(request.service))
    if not members:
        return NoneAvailable(Reason.NO_ENDPOINT, RETRY_AFTER_MS)
    available = list(
        _iterate_available(members, request.model, fleet, frozenset(), now)
    )
    if not available:
        return NoneAvailable(Reason.UNAVAILABLE, RETRY_AFTER_MS)
    if suspect:
        return NoneAvailable(Reason.SUSPECT, RETRY_AFTER_MS)
    assert any(view.instance in excluded for view in available)
    return NoneAvailable(Reason.EXCLUDED, RETRY_AFTER_MS)
