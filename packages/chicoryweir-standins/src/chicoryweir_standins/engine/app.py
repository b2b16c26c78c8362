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
from chicoryweir_standins.engine import cache_events
from chicoryweir_standins.engine import configuration
from chicoryweir_standins.engine import events
from chicoryweir_standins.engine import group_member
from chicoryweir_standins.engine import group_routes
from chicoryweir_standins.engine import load_reports
from chicoryweir_standins.engine import orders
from chicoryweir_standins.engine import prefix_cache
from chicoryweir_standins.engine import scheduler
from chicoryweir_standins.engine import step_timers

Json = dict[str, typing.Any]
Request = litestar.Request[typing.Any, typing.Any, typing.Any]

_SAMPLE_S = 0.02


class Engine:
    """State of one engine."""

    def __init__(self, config: configuration.EngineConfig) -> None:
        """Starts idle."""
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
        self.loads = load_reports.LoadReports(config.load_lag_ms / 1e3)
        self.calls: dict[str, scheduler.Call] = {}
        self._unnamed = itertools.count()

    def start_run(self, request: Request, raw: bytes, body: Json) -> scheduler.Call:
        """Queues the run of a request."""
        request_id = request.headers.get("X-Request-Id") or f"r{next(self._unnamed)}"
        run = scheduler.Call(
            request_id=request_id,
            priority=min(2, max(0, int(request.headers.get("X-Priority", "1")))),
            key=request.headers.get("Idempotency-Key", ""),
            body_sha256=reporting.compute_body_digest(raw),
            text=answers.extract_text(body),
            tokens=answers.compute_answer(body),
        )
        resume_from = int(request.headers.get("X-Resume-From", "0"))
        run.position = min(resume_from, len(run.tokens))
        self.calls[request_id] = run
        self.scheduler.submit(run)
        return run

    def end_run(self, run: scheduler.Call) -> None:
        """Forgets a run, and cancels it if it is unfinished."""
        if self.calls.get(run.request_id) is run:
            del self.calls[run.request_id]
        self.scheduler.cancel(run)

    async def sample_load(self) -> None:
        """Samples the load, for ever."""
        while True:
            sample = {
                "running": self.scheduler.count_running(),
                "waiting": self.scheduler.count_waiting(),
                "tokens_unfinished": self.scheduler.count_unfinished_tokens(),
            }
            self.loads.add(sample, time.monotonic())
            await asyncio.sleep(_SAMPLE_S)

    def _publish_block(self, kind: str, block: int) -> None:
        self.event_log.append(kind, block, time.monotonic())


async def _stream_events(
    engine: Engine, run: scheduler.Call, form: events.AnswerEncoder, resume_from: int
) -> collections.abc.AsyncIterator[bytes]:
    try:
        while (token := await run.produced.get()) is not None:
            yield form.encode_token(token)
        if run.position < len(run.tokens):
            return
        ending = (form.encode_end(), events.END_MARKER)
        for event in ending[max(0, resume_from - len(run.tokens)) :]:
            yield event
    finally:
        engine.end_run(run)


async def _collect_tokens(engine: Engine, run: scheduler.Call) -> list[str]:
    try:
        tokens = []
        while (token := await run.produced.get()) is not None:
            tokens.append(token)
        return tokens
    finally:
        engine.end_run(run)


def _refuse(status: int, message: str) -> litestar.Response[Json]:
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
        return _refuse(400, f"bad request: {error}")
    if body.get("model") not in engine.orders.models:
        return _refuse(404, f"unknown model {body.get('model')!r}")
    form = events.create_encoder(body, is_chat)
    run = engine.start_run(request, raw, body)
    if body.get("stream"):
        resume_from = int(request.headers.get("X-Resume-From", "0"))
        stream = _stream_events(engine, run, form, resume_from)
        return response.Stream(stream, status_code=200, media_type="text/event-stream")
    tokens = await _collect_tokens(engine, run)
    if len(tokens) < len(run.tokens):
        return _refuse(499, "cancelled")
    whole = form.encode_whole(tokens, len(run.text) // 4)
    return litestar.Response(whole, status_code=200, media_type="application/json")


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
    run = state.engine.calls.get(request_id)
    if run is not None:
        state.engine.end_run(run)
    return {"cancelled": run is not None}


@litestar.get("/load")
async def get_load(state: datastructures.State) -> Json:
    """Reports the load as it was a lag ago."""
    engine = state.engine
    return {
        "incarnation": engine.incarnation,
        **engine.loads.read(time.monotonic()),
        "slots": engine.config.slots,
        "step_time_ms": engine.config.step_time_ms,
        "models": list(engine.orders.models),
        "lag_ms": engine.config.load_lag_ms,
    }


@litestar.get("/cache/events")
async def get_cache_events(
    state: datastructures.State, after: params.FromQuery[int] = 0
) -> Json:
    """Returns cache events past a number."""
    log: cache_events.CacheEventLog = state.engine.event_log
    return log.read(after, time.monotonic())


@litestar.get("/kv")
async def export_blocks(state: datastructures.State) -> Json:
    """Exports the KV cache: the blocks that are held."""
    return {"blocks": state.engine.cache.list_blocks()}


@litestar.post("/kv", status_code=200)
async def import_blocks(
    state: datastructures.State, data: params.JSONBody[Json]
) -> Json:
    """Imports blocks into the KV cache."""
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
        outcome = engine.orders.apply(orders.Order(**data))
    except (TypeError, ValueError) as error:
        return _refuse(400, str(error))
    if isinstance(outcome, orders.Stale):
        body = {"highest_fence": outcome.highest_fence}
        return litestar.Response(body, status_code=409)
    return litestar.Response({"done": True}, status_code=200)


@litestar.post("/control/stall", status_code=200)
async def stall(state: datastructures.State, data: params.JSONBody[Json]) -> Json:
    """Stops the engine's steps, or lets them go on."""
    state.engine.scheduler.stall(bool(data["stall"]))
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
    """Creates the application of one engine, a member of a group or none."""
    group = group_routes.ROUTES if member else []
    return litestar.Litestar(
        route_handlers=[*ROUTES, *group],
        state=datastructures.State({"engine": engine, "member": member}),
        openapi_config=None,
        logging_config=None,
    )


def run_engine(config: configuration.EngineConfig) -> None:
    """Serves until a signal."""
    engine = Engine(config)
    tasks = [engine.reporter.send_reports, engine.sample_load]
    member = None
    steps: scheduler.StepTimer = step_timers.FixedStepTimer(config.step_time_ms / 1e3)
    if config.group is not None:
        member = group_member.GroupMember(
            config.group,
            config.step_time_ms,
            config.seed,
            engine.scheduler.wait_resumed,
        )
        steps = member
        tasks.append(member.run)
    tasks.append(lambda: engine.scheduler.run_steps(steps))
    serving.run_app(create_app(engine, member), config.ip, config.port, *tasks)
