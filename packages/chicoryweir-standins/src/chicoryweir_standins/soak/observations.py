"""Observations of a soak run and the invariants that they are checked against."""

from __future__ import annotations

import collections
import collections.abc
import dataclasses

from chicoryweir_standins.load import results


@dataclasses.dataclass(frozen=True, slots=True)
class PaymentReply:
    """Reply to a non-idempotent request, which may have been sent several times.

    Attributes:
        key: Idempotency key; the same each time the request is sent.
        body_sha256: SHA-256 of the body, in hex.
        status: HTTP status; 0 if the connection broke.
        outcome: Outcome in the problem document, or an empty string.
        ran_key: Idempotency key of the run, as reported by the service, or an empty
            string.
        ran_body_sha256: SHA-256 of the body of the run, likewise.
    """

    key: str
    body_sha256: str
    status: int
    outcome: str = ""
    ran_key: str = ""
    ran_body_sha256: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class ObservedVersion:
    """A settings version that an entry reported as in force."""

    entry: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeResult:
    """Result of one operator's settings change.

    Attributes:
        expected_version: Version that the change was based on.
        change_id: Identifier of the change.
        status: HTTP status; 0 if there was no answer.
        version: Version that the change created, or 0.
    """

    expected_version: int
    change_id: str
    status: int
    version: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointRuns:
    """Run counts of the endpoints, as reported by the switchboard.

    Attributes:
        by_key: Number of runs by idempotency key.
        by_body: Number of runs by SHA-256 of the body, then by endpoint.
    """

    by_key: collections.abc.Mapping[str, int]
    by_body: collections.abc.Mapping[str, collections.abc.Mapping[str, int]]


@dataclasses.dataclass
class Observations:
    """All observations of a run.

    Attributes:
        answers: Results of model requests.
        payment_replies: Replies to non-idempotent requests.
        versions: Settings versions in the order in which they were observed.
        change_results: Results of operators' changes, also of rejected ones.
        poison_bodies: SHA-256 of the bodies that crash endpoints.
        map_violations: Number of steps in which ranks had different maps.
        exit_codes: Exit codes of the daemons at the graceful stop, by name.
        drain_exit_codes: Exit codes of daemons that were drained during the run, by
            name and pid.
        recovered: Whether all requests of one load were on time after the last fault.
    """

    answers: list[results.Result] = dataclasses.field(default_factory=list)
    payment_replies: list[PaymentReply] = dataclasses.field(default_factory=list)
    versions: list[ObservedVersion] = dataclasses.field(default_factory=list)
    change_results: list[ChangeResult] = dataclasses.field(default_factory=list)
    poison_bodies: list[str] = dataclasses.field(default_factory=list)
    map_violations: int = 0
    exit_codes: dict[str, int | None] = dataclasses.field(default_factory=dict)
    drain_exit_codes: dict[str, int | None] = dataclasses.field(default_factory=dict)
    recovered: bool = False


def list_violations(observed: Observations, runs: EndpointRuns) -> list[str]:
    """Returns a line for each broken invariant."""
    return [
        *_check_payments(observed.payment_replies, runs),
        *_check_answers(observed.answers, runs),
        *_check_poison(observed.poison_bodies, runs),
        *_check_versions(observed.versions),
        *_check_change_results(observed.change_results),
        *_check_end_of_run(observed),
    ]


def _check_payments(payments: list[PaymentReply], runs: EndpointRuns) -> list[str]:
    violations = []
    by_key: dict[str, list[PaymentReply]] = collections.defaultdict(list)
    for payment in payments:
        by_key[payment.key].append(payment)
    for key, replies in by_key.items():
        count = runs.by_key.get(key, 0)
        if count > 1:
            violations.append(f"at most once: {key} ran {count} times")
        if count and all(p.outcome == "not_run" for p in replies):
            violations.append(f"not run: {key} ran although each answer said not_run")
        if not count and any(p.status == 200 for p in replies):
            violations.append(f"answered without a run: {key}")
        for payment in replies:
            if payment.status == 200 and (
                payment.ran_key != key or payment.ran_body_sha256 != payment.body_sha256
            ):
                violations.append(f"another's answer: {key} got {payment.ran_key}")
    return violations


def _check_answers(answers: list[results.Result], runs: EndpointRuns) -> list[str]:
    violations = []
    for result in answers:
        if result.ending is results.Ending.WRONG:
            violations.append(
                f"another's or a partial answer: {result.workspace} "
                f"{result.body_sha256[:12]} got {result.tokens} tokens"
            )
        if result.outcome == "not_run" and runs.by_body.get(result.body_sha256):
            violations.append(
                f"not run: {result.body_sha256[:12]} ran at "
                f"{dict(runs.by_body[result.body_sha256])}"
            )
    return violations


_MAX_POISON_CRASHES = 2


def _check_poison(bodies: list[str], runs: EndpointRuns) -> list[str]:
    violations = []
    for body in bodies:
        crash_count = sum(runs.by_body.get(body, {}).values())
        if crash_count > _MAX_POISON_CRASHES:
            violations.append(f"poison: {body[:12]} crashed {crash_count} endpoints")
    return violations


def _check_versions(versions: list[ObservedVersion]) -> list[str]:
    violations = []
    highest: dict[str, int] = {}
    for observed_version in versions:
        if observed_version.version < highest.get(observed_version.entry, 0):
            violations.append(
                f"settings reverted: {observed_version.entry} went from "
                f"{highest[observed_version.entry]} to {observed_version.version}"
            )
        highest[observed_version.entry] = max(
            observed_version.version, highest.get(observed_version.entry, 0)
        )
    return violations


def _check_change_results(change_results: list[ChangeResult]) -> list[str]:
    accepted_counts = collections.Counter(
        c.expected_version for c in change_results if c.status == 200
    )
    return [
        f"racing operators: {count} changes won against version {expected}"
        for expected, count in accepted_counts.items()
        if count > 1
    ]


def _check_end_of_run(observed: Observations) -> list[str]:
    violations = []
    if observed.map_violations:
        violations.append(f"maps: {observed.map_violations} steps with different maps")
    for name, code in {**observed.drain_exit_codes, **observed.exit_codes}.items():
        if code != 0:
            violations.append(f"graceful stop: {name} ended with {code}")
    if not observed.recovered:
        violations.append("recovery: no request was answered after the last fault")
    return violations
