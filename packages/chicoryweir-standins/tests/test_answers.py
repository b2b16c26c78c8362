"""Tests of the answers of the engine's stand-in."""

from chicoryweir_standins import answers

BODY = {"model": "m", "messages": [{"role": "user", "content": "a"}], "max_tokens": 5}


def test_answer_has_the_requested_number_of_tokens() -> None:
    assert len(answers.compute_answer(BODY)) == 5


def test_answer_depends_on_the_messages_but_not_on_streaming() -> None:
    other = {**BODY, "messages": [{"role": "user", "content": "b"}]}
    assert answers.compute_answer(BODY) != answers.compute_answer(other)
    assert answers.compute_answer(BODY) == answers.compute_answer(
        {**BODY, "stream": True}
    )
