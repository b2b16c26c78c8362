"""Estimates the work and memory that a request needs at an endpoint."""

from __future__ import annotations

import dataclasses

from chicoryweir_policy.forwarding import configuration

# Weight of the caller's estimate of the answer length; the mean answer length has the
# remaining weight. The estimate is right in the median, but often far off for a single
# request.
HINT_WEIGHT = 0.6
# Cost of a request to a plain service, which gives no information on its work.
PLAIN_COST = 1.0
# Event intervals until the first event: the request joins the batch at the end of the
# current interval, and its first event is sent at the end of the next.
FIRST_EVENT_INTERVALS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class RequestSize:
    """Prompt and answer size of a generation request, as stated by the caller.

    Attributes:
        prompt_tokens: Prompt length, in tokens.
        max_answer_tokens: Maximum answer length, in tokens.
        hinted_answer_tokens: The caller's estimate of the answer length, if any.
    """

    prompt_tokens: int
    max_answer_tokens: int
    hinted_answer_tokens: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Estimated work of a request.

    Attributes:
        cost: Work, in answer tokens for a model and in requests for a plain service.
        first_part_s: Time to the first event at a busy endpoint, in seconds; for a
            plain service, time to the whole answer.
        memory_tokens: Memory that the request occupies at its end, in tokens.
    """

    cost: float
    first_part_s: float
    memory_tokens: float


PLAIN_DEMAND = Demand(PLAIN_COST, 0.0, 0.0)


def estimate_demand(
    size: RequestSize | None, engine: configuration.Engine | None
) -> Demand:
    """Estimates a request's work from its size and the engine's speed."""
    if engine is None:
        return PLAIN_DEMAND
    prompt, answer = _estimate_tokens(size, engine)
    full_step_s = engine.step_s + engine.sequence_s * engine.slots
    prefill_s = prompt / engine.read_tokens_per_s
    s_per_answer_token = full_step_s / engine.slots
    cost = answer + prefill_s / s_per_answer_token
    first_part_s = (
        prefill_s + FIRST_EVENT_INTERVALS * engine.steps_per_event * full_step_s
    )
    return Demand(cost, first_part_s, prompt + answer)


def _estimate_tokens(
    size: RequestSize | None, engine: configuration.Engine
) -> tuple[float, float]:
    if size is None:
        return engine.usual_prompt_tokens, engine.usual_answer_tokens
    answer = engine.usual_answer_tokens
    if size.hinted_answer_tokens is not None:
        hinted = float(size.hinted_answer_tokens)
        answer = HINT_WEIGHT * hinted + (1.0 - HINT_WEIGHT) * answer
    return float(size.prompt_tokens), min(answer, float(size.max_answer_tokens))
