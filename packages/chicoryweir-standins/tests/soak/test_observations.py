"""Tests of the invariants of a soak run: each breach is found."""

import pytest

from chicoryweir_standins.load import results
from chicoryweir_standins.soak import observations as evidence

PAID = evidence.Payment("k", "b", 200, ran_key="k", ran_body_sha256="b")
NOT_RUN = evidence.Payment("k", "b", 503, outcome="not_run")
NOTHING_RAN = evidence.Runs({}, {})


def create_answer(ending: results.Ending, outcome: str = "") -> results.Result:
    return results.Result(
        "relay", "bulk", ending, 200, outcome, 0.1, 0.2, 3, body_sha256="b"
    )


def list_violations(found: evidence.Evidence, runs: evidence.Runs) -> list[str]:
    found.recovered = True
    return evidence.list_violations(found, runs)


def test_clean_run_has_no_violation() -> None:
    found = evidence.Evidence(
        answers=[create_answer(results.Ending.IN_TIME)],
        payments=[PAID, NOT_RUN],
        versions=[evidence.SeenVersion("entry-1", 1)] * 2,
        exit_codes={"entry-1": 0},
    )
    runs = evidence.Runs({"k": 1}, {"b": {"engine-1": 2}})
    assert list_violations(found, runs) == []


@pytest.mark.parametrize(
    ("found", "runs"),
    [
        (evidence.Evidence(payments=[PAID]), evidence.Runs({"k": 2}, {})),
        (evidence.Evidence(payments=[PAID]), NOTHING_RAN),
        (evidence.Evidence(payments=[NOT_RUN]), evidence.Runs({"k": 1}, {})),
        (
            evidence.Evidence(
                payments=[evidence.Payment("k", "b", 200, "", "other", "b")]
            ),
            evidence.Runs({"k": 1}, {}),
        ),
        (
            evidence.Evidence(answers=[create_answer(results.Ending.WRONG)]),
            NOTHING_RAN,
        ),
        (
            evidence.Evidence(
                answers=[create_answer(results.Ending.REFUSED, "not_run")]
            ),
            evidence.Runs({}, {"b": {"engine-1": 1}}),
        ),
        (
            evidence.Evidence(poison_bodies=["p"]),
            evidence.Runs({}, {"p": {"engine-1": 2, "engine-2": 1}}),
        ),
        (
            evidence.Evidence(
                versions=[evidence.SeenVersion("entry-1", v) for v in (2, 1)]
            ),
            NOTHING_RAN,
        ),
        (
            evidence.Evidence(
                applied=[evidence.Applied(1, c, 200, 2) for c in ("a", "b")]
            ),
            NOTHING_RAN,
        ),
        (evidence.Evidence(map_violations=1), NOTHING_RAN),
        (evidence.Evidence(exit_codes={"entry-1": None}), NOTHING_RAN),
        (evidence.Evidence(drains={"agent-1#7": 1}), NOTHING_RAN),
    ],
)
def test_each_breach_is_found(found: evidence.Evidence, runs: evidence.Runs) -> None:
    assert len(list_violations(found, runs)) == 1


def test_run_that_never_recovers_fails() -> None:
    assert evidence.list_violations(evidence.Evidence(), NOTHING_RAN)
