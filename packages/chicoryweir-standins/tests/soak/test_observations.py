"""Tests that each broken invariant of a soak run is reported."""

import pytest

from chicoryweir_standins.load import results
from chicoryweir_standins.soak import observations

PAID = observations.PaymentReply("k", "b", 200, ran_key="k", ran_body_sha256="b")
NOT_RUN = observations.PaymentReply("k", "b", 503, outcome="not_run")
NOTHING_RAN = observations.EndpointRuns({}, {})


def create_answer(ending: results.Ending, outcome: str = "") -> results.Result:
    return results.Result(
        "relay", "bulk", ending, 200, outcome, 0.1, 0.2, 3, body_sha256="b"
    )


def list_violations(
    observed: observations.Observations, runs: observations.EndpointRuns
) -> list[str]:
    observed.recovered = True
    return observations.list_violations(observed, runs)


def test_clean_run_has_no_violation() -> None:
    observed = observations.Observations(
        answers=[create_answer(results.Ending.IN_TIME)],
        payment_replies=[PAID, NOT_RUN],
        versions=[observations.ObservedVersion("entry-1", 1)] * 2,
        exit_codes={"entry-1": 0},
    )
    runs = observations.EndpointRuns({"k": 1}, {"b": {"engine-1": 2}})
    assert list_violations(observed, runs) == []


@pytest.mark.parametrize(
    ("observed", "runs"),
    [
        (
            observations.Observations(payment_replies=[PAID]),
            observations.EndpointRuns({"k": 2}, {}),
        ),
        (observations.Observations(payment_replies=[PAID]), NOTHING_RAN),
        (
            observations.Observations(payment_replies=[NOT_RUN]),
            observations.EndpointRuns({"k": 1}, {}),
        ),
        (
            observations.Observations(
                payment_replies=[
                    observations.PaymentReply("k", "b", 200, "", "other", "b")
                ]
            ),
            observations.EndpointRuns({"k": 1}, {}),
        ),
        (
            observations.Observations(answers=[create_answer(results.Ending.WRONG)]),
            NOTHING_RAN,
        ),
        (
            observations.Observations(
                answers=[create_answer(results.Ending.REFUSED, "not_run")]
            ),
            observations.EndpointRuns({}, {"b": {"engine-1": 1}}),
        ),
        (
            observations.Observations(poison_bodies=["p"]),
            observations.EndpointRuns({}, {"p": {"engine-1": 2, "engine-2": 1}}),
        ),
        (
            observations.Observations(
                versions=[observations.ObservedVersion("entry-1", v) for v in (2, 1)]
            ),
            NOTHING_RAN,
        ),
        (
            observations.Observations(
                change_results=[
                    observations.ChangeResult(1, c, 200, 2) for c in ("a", "b")
                ]
            ),
            NOTHING_RAN,
        ),
        (observations.Observations(map_violations=1), NOTHING_RAN),
        (observations.Observations(exit_codes={"entry-1": None}), NOTHING_RAN),
        (observations.Observations(drain_exit_codes={"agent-1#7": 1}), NOTHING_RAN),
    ],
)
def test_each_broken_invariant_is_reported(
    observed: observations.Observations, runs: observations.EndpointRuns
) -> None:
    assert len(list_violations(observed, runs)) == 1


def test_run_that_never_recovers_fails() -> None:
    assert observations.list_violations(observations.Observations(), NOTHING_RAN)
