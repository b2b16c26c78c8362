"""Estimates what a request asks of an endpoint."""

from __future__ import annotations

import dataclasses

from chicoryweir_policy.forwarding import configuration

# The hint is right at the median but often far off; the usual length steadies it.
HINT_WEIGHT = 0.6
# Plain services tell nothing of a request's work; each counts as one unit.
PLAIN_COST = 1.0
# A request enters with the next pass and has its first event at the end of another.
FIRST_EVENT_INTERVALS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class RequestSize:
    """What the caller says of a generation.

    Attributes:
        prompt_tokens: Tokens of the prompt.
        max_answer_tokens: Most tokens of the answer.
        hinted_answer_tokens: The caller's estimate of the answer; None for none.
    """

    prompt_tokens: int
    max_answer_tokens: int
    hinted_answer_tokens: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Estimated work of a request.

    Attributes:
        cost: Load, in tokens of an answer for a model and requests for a plain service.
        first_part_s: Time to its first event at a busy endpoint, in seconds; for a plain
            service, to the whole answer.
        memory_tokens: Tokens of memory that it holds at its end.
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
    read_s = prompt / engine.read_tokens_per_s
    step_cost_s = full_step_s / engine.slots
    cost = answer + read_s / step_cost_s
    first_part_s = read_s + FIRST_EVENT_INTERVALS * engine.steps_per_event * full_step_s
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
