"""HTTP API of the engine's stand-in."""

from __future__ import annotations

import asyncio
import collections.abc
import itertools
import json
import time
import typing

import litestar
from litestar import datastructures
from litestar import params
from litestar import response

from chicoryweir_standins import answers
from chicoryweir_standins import reporting
from chicoryweir_standins import serving
from chicoryweir_standins.engine import answer_encoding
from chicoryweir_standins.engine import cache_events
from chicoryweir_standins.engine import configuration
from chicoryweir_standins.engine import group_member
from chicoryweir_standins.engine import group_routes
from chicoryweir_standins.engine import load_reports
from chicoryweir_standins.engine import orders
from chicoryweir_standins.engine import prefix_cache
from chicoryweir_standins.engine import scheduler
from chicoryweir_standins.engine import step_timers

Json = dict[str, typing.Any]
Request = litestar.Request[typing.Any, typing.Any, typing.Any]

_SAMPLE_PERIOD_S = 0.02


class Engine:
    """Scheduler, cache, orders and calls of one engine."""

    def __init__(self, config: configuration.EngineConfig) -> None:
        """Creates an idle engine."""
        self.config = config
        self.incarnation = f"{config.instance}-{time.time_ns():x}"
        self.reporter = reporting.RunReporter(config.switchboard_url)
        self.event_log = cache_events.CacheEventLog(
            config.event_lag_ms / 1e3, config.event_gap_share, config.seed
        )
        self.cache = prefix_cache.PrefixCache(
            config.prefix_cache_blocks, self._publish_block
        )
        self.scheduler = scheduler.Scheduler(
            config.instance,
            config.slots,
            config.prefill_tokens_per_step,
            self.cache,
            self.reporter,
        )
        self.orders = orders.OrderExecutor(config.models, config.checks_fencing)
        self.load_reports = load_reports.LoadReports(config.load_lag_ms / 1e3)
        self.calls: dict[str, scheduler.Call] = {}
        self._generated_ids = itertools.count()

    def start_call(self, request: Request, raw: bytes, body: Json) -> scheduler.Call:
        """Queues the call of a request."""
        request_id = (
            request.headers.get("X-Request-Id") or f"r{next(self._generated_ids)}"
        )
        call = scheduler.Call(
            request_id=request_id,
            priority=min(2, max(0, int(request.headers.get("X-Priority", "1")))),
            key=request.headers.get("Idempotency-Key", ""),
            body_sha256=reporting.compute_body_digest(raw),
            text=answers.extract_text(body),
            tokens=answers.compute_answer(body),
        )
        resume_from = int(request.headers.get("X-Resume-From", "0"))
        call.position = min(resume_from, len(call.tokens))
        self.calls[request_id] = call
        self.scheduler.submit(call)
        return call

    def end_call(self, call: scheduler.Call) -> None:
        """Removes a call, and cancels it if it is unfinished."""
        if self.calls.get(call.request_id) is call:
            del self.calls[call.request_id]
        self.scheduler.cancel(call)

    async def sample_load(self) -> None:
        """Samples the load periodically until cancelled."""
        while True:
            sample = {
                "running": self.scheduler.count_running(),
                "waiting": self.scheduler.count_waiting(),
                "tokens_unfinished": self.scheduler.count_unfinished_tokens(),
            }
            self.load_reports.add(sample, time.monotonic())
            await asyncio.sleep(_SAMPLE_PERIOD_S)

    def _publish_block(self, kind: str, block: int) -> None:
        self.event_log.append(kind, block, time.monotonic())


async def _stream_events(
    engine: Engine,
    call: scheduler.Call,
    encoder: answer_encoding.AnswerEncoder,
    resume_from: int,
) -> collections.abc.AsyncIterator[bytes]:
    try:
        while (token := await call.produced.get()) is not None:
            yield encoder.encode_token(token)
        if call.position < len(call.tokens):
            return
        final_events = (encoder.encode_end(), answer_encoding.END_MARKER)
        for event in final_events[max(0, resume_from - len(call.tokens)) :]:
            yield event
    finally:
        engine.end_call(call)


async def _collect_tokens(engine: Engine, call: scheduler.Call) -> list[str]:
    try:
        tokens = []
        while (token := await call.produced.get()) is not None:
            tokens.append(token)
        return tokens
    finally:
        engine.end_call(call)


def _make_error(status: int, message: str) -> litestar.Response[Json]:
    return litestar.Response({"error": {"message": message}}, status_code=status)


async def _complete(
    engine: Engine, request: Request, is_chat: bool
) -> litestar.Response[typing.Any]:
    raw = await request.body()
    try:
        body = json.loads(raw)
        answers.extract_text(body)
        answers.count_tokens(body)
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        return _make_error(400, f"bad request: {error}")
    if body.get("model") not in engine.orders.models:
        return _make_error(404, f"unknown model {body.get('model')!r}")
    encoder = answer_encoding.create_encoder(body, is_chat)
    call = engine.start_call(request, raw, body)
    if body.get("stream"):
        resume_from = int(request.headers.get("X-Resume-From", "0"))
        stream = _stream_events(engine, call, encoder, resume_from)
        return response.Stream(stream, status_code=200, media_type="text/event-stream")
    tokens = await _collect_tokens(engine, call)
    if len(tokens) < len(call.tokens):
        return _make_error(499, "cancelled")
    document = encoder.encode_document(tokens, len(call.text) // 4)
    return litestar.Response(document, status_code=200, media_type="application/json")


@litestar.post("/v1/completions", status_code=200)
async def complete(
    state: datastructures.State, request: Request
) -> litestar.Response[typing.Any]:
    """Completes a prompt."""
    return await _complete(state.engine, request, is_chat=False)


@litestar.post("/v1/chat/completions", status_code=200)
async def complete_chat(
    state: datastructures.State, request: Request
) -> litestar.Response[typing.Any]:
    """Completes a chat."""
    return await _complete(state.engine, request, is_chat=True)


@litestar.post("/calls/{request_id:str}/cancel", status_code=200)
async def cancel_call(
    state: datastructures.State, request_id: params.FromPath[str]
) -> Json:
    """Cancels a call."""
    call = state.engine.calls.get(request_id)
    if call is not None:
        state.engine.end_call(call)
    return {"cancelled": call is not None}


@litestar.get("/load")
async def get_load(state: datastructures.State) -> Json:
    """Returns the load as it was `load_lag_ms` ago."""
    engine = state.engine
    return {
        "incarnation": engine.incarnation,
        **engine.load_reports.read(time.monotonic()),
        "slots": engine.config.slots,
        "step_time_ms": engine.config.step_time_ms,
        "models": list(engine.orders.models),
        "lag_ms": engine.config.load_lag_ms,
    }


@litestar.get("/cache/events")
async def get_cache_events(
    state: datastructures.State, after: params.FromQuery[int] = 0
) -> Json:
    """Returns the cache events after a sequence number."""
    log: cache_events.CacheEventLog = state.engine.event_log
    return log.read(after, time.monotonic())


@litestar.get("/kv")
async def export_blocks(state: datastructures.State) -> Json:
    """Returns the blocks that the KV cache holds."""
    return {"blocks": state.engine.cache.list_blocks()}


@litestar.post("/kv", status_code=200)
async def import_blocks(
    state: datastructures.State, data: params.JSONBody[Json]
) -> Json:
    """Adds blocks to the KV cache."""
    state.engine.cache.store(int(block) for block in data["blocks"])
    return {"imported": len(data["blocks"])}


@litestar.post("/orders", status_code=200)
async def apply_order(
    state: datastructures.State, data: params.JSONBody[Json]
) -> litestar.Response[Json]:
    """Applies an order."""
    engine = state.engine
    await asyncio.sleep(engine.config.order_ms / 1e3)
    try:
        result = engine.orders.apply(orders.Order(**data))
    except (TypeError, ValueError) as error:
        return _make_error(400, str(error))
    if isinstance(result, orders.Stale):
        body = {"highest_fence": result.highest_fence}
        return litestar.Response(body, status_code=409)
    return litestar.Response({"done": True}, status_code=200)


@litestar.post("/control/stall", status_code=200)
async def stall(state: datastructures.State, data: params.JSONBody[Json]) -> Json:
    """Stalls or resumes the engine's steps."""
    state.engine.scheduler.set_stalled(bool(data["stall"]))
    return {"stall": bool(data["stall"])}


ROUTES: list[typing.Any] = [
    complete,
    complete_chat,
    cancel_call,
    get_load,
    get_cache_events,
    export_blocks,
    import_blocks,
    apply_order,
    stall,
]


def create_app(
    engine: Engine, member: group_member.GroupMember | None = None
) -> litestar.Litestar:
    """Creates the application of one engine, with group routes for a member."""
    group_handlers = group_routes.ROUTES if member else []
    return litestar.Litestar(
        route_handlers=[*ROUTES, *group_handlers],
        state=datastructures.State({"engine": engine, "member": member}),
        openapi_config=None,
        logging_config=None,
    )


def run_engine(config: configuration.EngineConfig) -> None:
    """Serves until SIGINT or SIGTERM."""
    engine = Engine(config)
    tasks = [engine.reporter.send_reports, engine.sample_load]
    member = None
    step_timer: scheduler.StepTimer = step_timers.FixedStepTimer(
        config.step_time_ms / 1e3
    )
    if config.group is not None:
        member = group_member.GroupMember(
            config.group,
            config.step_time_ms,
            config.seed,
            engine.scheduler.wait_resumed,
        )
        step_timer = member
        tasks.append(member.run)
    tasks.append(lambda: engine.scheduler.run_steps(step_timer))
    serving.run_app(create_app(engine, member), config.ip, config.port, *tasks)
