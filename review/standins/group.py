"""Model workers that run as ranks of one lock-step group (PROTOCOL.md)."""

import asyncio
import json
import random

from standins import http

# Layout of the group, as on the sheet of a small deployment.
SETS, PLACES, SPARE = 4, 5, 2
# Experts of a set, for each rank.
EXPERTS_PER_RANK = 4
EXPERT_MB, LINK_MBPS, EXPERT_SHARE = 880.0, 180000.0, 0.85
STRIDE = 5
SLOTS = 6
# Ms for a token step, and for each request that is writing.
STEP_MS, SEQUENCE_MS = 5.85, 0.71
# Experts that a token chooses in a set, times the samples that a stream stands for.
PICKS = 40
ZIPF = 1.1
# Fields of `engine` in the configuration.
ENGINE = {
    "slots": SLOTS,
    "kv_tokens": 186000,
    "kv_token_bytes": 192512,
    "link_mbps": LINK_MBPS,
    "stride": STRIDE,
    "models": [{"name": "m"}],
    "step_ms": STEP_MS,
    "per_seq_ms": SEQUENCE_MS,
    "context_per_k": 0.072,
    "read_per_s": 61200.0,
    "pairs_per_m": 0.325,
    "chunk": 512,
    "report_lag_ms": 200.0,
    "usual": {"prompt": 835, "answer": 139},
    "sets": SETS,
    "places": PLACES,
    "spare": SPARE,
    "expert_mb": EXPERT_MB,
    "expert_share": EXPERT_SHARE,
    "form_ms": 600.0,
}
# Time after which an order without an answer is carried out.
LATE_S = (2.0, 12.0)


class Rank:
    """State of one rank, and its HTTP interface."""

    def __init__(self, group, number, host, port):
        self.group = group
        self.number = number
        self.instance = f"i-{group.name}-{number}"
        self.address = f"{host}:{port}"
        self.seq = 0
        self.fence = 0
        self.map = 0
        self.held_experts = group.initial_map(number)
        self.highest = 0
        # Version and experts by set and rank of the map that is copied or prepared.
        self.copying = None
        self.prepared = None
        self.armed = None
        self.held = None
        self.counts = [0] * (SETS * group.experts)
        self.active = []

    async def start(self):
        """Starts to listen."""
        host, _, port = self.address.rpartition(":")
        await http.serve(host, int(port), self._handle)

    def describe(self):
        """Returns the state for the record."""
        return f"map {self.map} armed {self.armed} held {self.held}"

    async def _handle(self, request, writer):
        expected = request.headers.get("chicoryweir-expect-instance", self.instance)
        if expected != self.instance:
            headers = {"Chicoryweir-Instance-Id": self.instance}
            writer.write(http.encode_answer(421, headers))
        elif request.path == "/chicoryweir/report":
            _answer(writer, 200, self._report())
        elif request.path == "/chicoryweir/picked":
            _answer(writer, 200, self._picked(request))
        elif request.path == "/chicoryweir/order":
            return await self._take_order(json.loads(request.body), writer)
        elif request.path == "/health":
            headers = {"Chicoryweir-Instance-Id": self.instance}
            writer.write(http.encode_answer(200, headers))
        else:
            return await self._stream(request, writer)
        return True

    def _report(self):
        group = self.group
        return {
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": self.copying is not None,
            "seq": self.seq,
            "waiting": 0,
            "running": len(self.active),
            "kv_used": 0,
            "kv_total": 186000,
            "handles": 0,
            "pace": 1.0,
            "group": {
                "name": group.name,
                "epoch": group.epoch,
                "rank": self.number,
                "state": "open",
            },
            "size": len(group.ranks),
            "step": group.step,
            "map": self.map,
            "prepared": None if self.prepared is None else self.prepared[0],
            "armed": None if self.armed is None else self.armed[0],
            "held": self.held,
        }

    def _picked(self, request):
        group = self.group
        if "lists" in request.query:
            return {
                "map": {"version": self.map, "experts": self.held_experts},
                "prepared": None,
            }
        return {"step": group.step, "epoch": group.epoch, "counts": self.counts}

    async def _take_order(self, body, writer):
        group = self.group
        text = {k: v for k, v in body.items() if k != "map"}
        group.orders += 1
        if group.loses_next_order():
            delay_s = random.uniform(*LATE_S)
            group.late_orders += 1
            group.record.write(
                f"{self.instance}: {text} gets no answer, carried out in {delay_s:.2f} s"
            )
            asyncio.get_running_loop().call_later(delay_s, self._carry_out_late, body)
            # No answer; the caller closes the connection.
            await asyncio.sleep(30.0)
            return False
        status = self.carry_out(body)
        if body["operation"] != "prepare" or status != 202:
            group.record.write(f"{self.instance}: {text} -> {status}")
        _answer(writer, status, {})
        return True

    def _carry_out_late(self, body):
        text = {k: v for k, v in body.items() if k != "map"}
        status = self.carry_out(body)
        self.group.record.write(
            f"{self.instance}: {text} is carried out late -> {status}"
        )

    def carry_out(self, body):
        """Carries out an order; returns the status of its answer."""
        group = self.group
        operation = body.get("operation")
        steps = {
            "prepare": self._prepare,
            "arm": self._arm,
            "disarm": self._disarm,
            "hold": self._hold,
            "go": self._go,
        }
        if operation not in steps:
            return 400
        token = body.get("fence_token", 0)
        if group.require_fencing:
            if token < self.fence:
                return 412
            self.fence = token
        if body.get("epoch", group.epoch) != group.epoch:
            return 409
        if body.get("expected_rev", self.seq) != self.seq:
            return 409
        status = steps[operation](body)
        if status == 202:
            self.seq += 1
        return status

    def _prepare(self, body):
        version, experts = body["version"], body["map"]
        if self.prepared is not None and self.prepared[0] == version:
            return 200
        if self.copying is not None and self.copying[0] == version:
            return 200
        if version <= self.highest or self.armed is not None:
            return 409
        added = [
            len(set(experts[s][self.number]) - set(self.held_experts[s]))
            for s in range(SETS)
        ]
        sizes = [len(experts[s][self.number]) for s in range(SETS)]
        if max(added) > SPARE or max(sizes) > PLACES:
            return 409
        self.highest = version
        self.copying = version, experts
        self.prepared = None
        copy_s = sum(added) * EXPERT_MB * 8 / LINK_MBPS
        asyncio.get_running_loop().call_later(copy_s, self._end_copy, version)
        return 202

    def _end_copy(self, version):
        if self.copying is not None and self.copying[0] == version:
            self.prepared, self.copying = self.copying, None

    def _arm(self, body):
        version, step = body["version"], body["step"]
        if self.armed == (version, step):
            return 200
        if self.prepared is None or self.prepared[0] != version:
            return 409
        if step <= self.group.step:
            return 409
        self.armed = version, step
        return 202

    def _disarm(self, body):
        if body["version"] == self.map and self.map:
            return 409
        if self.armed is None or self.armed[0] != body["version"]:
            return 200
        self.armed = None
        return 202

    def _hold(self, body):
        if self.held == body["step"]:
            return 200
        if self.held is not None or body["step"] <= self.group.step:
            return 409
        self.held = body["step"]
        return 202

    def _go(self, body):
        if self.held is None:
            return 200
        if self.held != body["step"]:
            return 409
        self.held = None
        self.group.wake.set()
        return 202

    def begin_pass(self, step):
        """Switches to the armed map as its pass begins."""
        if self.armed is not None and self.armed[1] == step:
            version, experts = self.prepared
            self.held_experts = [experts[s][self.number] for s in range(SETS)]
            self.map = version
            self.armed = None

    async def _stream(self, request, writer):
        attempt = request.headers.get("chicoryweir-attempt-id", "")
        tokens = int(request.headers["chicoryweir-token-counts"].split(",")[1])
        events = max(1, tokens // STRIDE)
        last = int(request.headers.get("last-event-id", 0) or 0)
        queue = asyncio.Queue()
        self.active.append(queue)
        self.group.wake.set()
        self.group.record.write(f"{self.instance}: runs {attempt}")
        headers = {
            "Content-Type": "text/event-stream",
            "Chicoryweir-Attempt-Id": attempt,
            "Chicoryweir-Server-Stamp": f"{self.instance}.{attempt}",
            "Chicoryweir-Weight-Versions": "1",
        }
        try:
            for number in range(last + 1, events + 1):
                await queue.get()
                if number == last + 1:
                    writer.write(http.encode_answer(200, headers, chunked=True))
                event = b"id: %d\ndata: t%d\n\n" % (number, number)
                writer.write(http.encode_chunk(event))
                await writer.drain()
            writer.write(http.encode_chunk(b""))
        finally:
            self.active.remove(queue)
        return True


class Group:
    """The lock-step passes of all ranks."""

    def __init__(self, record, name, size, require_fencing):
        self.record = record
        self.name = name
        self.require_fencing = require_fencing
        self.epoch = 1
        self.step = 0
        self._late_share = 0.0
        self._late_until = 0.0
        self._late_window = [0, 0]
        self.orders = 0
        self.late_orders = 0
        self.passes = 0
        self.switches = 0
        self.violations = []
        self.wake = asyncio.Event()
        self.size = size
        self.experts = EXPERTS_PER_RANK * size
        self.ranks = []
        self.shift_demand()

    def initial_map(self, number):
        """Returns the experts of a rank by set in map 0."""
        return [[e for e in range(self.experts) if e % self.size == number]] * SETS

    async def start(self, hosts, port):
        """Starts the ranks on the given hosts."""
        self.ranks = [
            Rank(self, number, host, port) for number, host in enumerate(hosts)
        ]
        for rank in self.ranks:
            await rank.start()

    def shift_demand(self):
        """Draws anew which experts are liked."""
        self._weights = []
        for _ in range(SETS):
            order = random.sample(range(self.experts), self.experts)
            weights = [0.0] * self.experts
            for place, expert in enumerate(order):
                weights[expert] = (place + 1) ** -ZIPF
            total = sum(weights)
            self._weights.append([weight / total for weight in weights])

    def lose_orders(self, share, for_s):
        """Leaves a share of the orders unanswered from now on for some seconds."""
        self._late_share = share
        self._late_until = self.record.now() + for_s
        self._late_window = [0, 0]

    def loses_next_order(self):
        """Draws whether an order gets no answer; never more than the share of them."""
        if self.record.now() >= self._late_until:
            return False
        self._late_window[0] += 1
        orders, late = self._late_window
        if late + 1 > self._late_share * orders or random.random() >= self._late_share:
            return False
        self._late_window[1] += 1
        return True

    @property
    def is_idle(self):
        """Whether no rank has work."""
        return not any(rank.active for rank in self.ranks)

    async def run(self):
        """Runs passes while there is work."""
        while True:
            if self.is_idle or self._is_held(self.step + 1):
                self.wake.clear()
                if self.is_idle or self._is_held(self.step + 1):
                    await self.wake.wait()
                continue
            self._begin_pass()
            writing = max(len(rank.active) for rank in self.ranks)
            pass_s = STRIDE * (STEP_MS + SEQUENCE_MS * writing) / 1000
            await asyncio.sleep(pass_s * self._skew())
            for rank in self.ranks:
                for queue in list(rank.active):
                    queue.put_nowait(None)
                    self._count(rank)

    def _is_held(self, step):
        return any(rank.held == step for rank in self.ranks)

    def _begin_pass(self):
        self.step += 1
        self.passes += 1
        before = [rank.map for rank in self.ranks]
        for rank in self.ranks:
            rank.begin_pass(self.step)
        versions = {rank.map for rank in self.ranks}
        if before != [rank.map for rank in self.ranks]:
            self.switches += 1
            self.record.write(
                f"{self.name}: pass {self.step} begins with the maps {sorted(versions)}"
            )
        if len(versions) > 1:
            by_rank = {rank.number: rank.map for rank in self.ranks}
            if not self.violations or self.violations[-1][1] != by_rank:
                self.record.write(
                    f"MAP: in {self.name}, pass {self.step} begins while the ranks have "
                    f"the maps {by_rank}"
                )
            self.violations.append((self.step, by_rank))

    def _skew(self):
        """Returns the load of the most loaded rank over the mean, averaged over sets."""
        skews = []
        for index, weights in enumerate(self._weights):
            copies = [0] * self.experts
            for rank in self.ranks:
                for expert in rank.held_experts[index]:
                    copies[expert] += 1
            loads = [
                sum(weights[e] / max(1, copies[e]) for e in rank.held_experts[index])
                for rank in self.ranks
            ]
            skews.append(max(loads) * len(self.ranks))
        return 1 - EXPERT_SHARE + EXPERT_SHARE * sum(skews) / len(skews)

    def _count(self, rank):
        """Adds the choices of one request in one pass."""
        for index, weights in enumerate(self._weights):
            chosen = random.choices(range(self.experts), weights, k=STRIDE * PICKS)
            for expert in chosen:
                rank.counts[index * self.experts + expert] += 1


def _answer(writer, status, body):
    data = json.dumps(body).encode()
    writer.write(http.encode_answer(status, {"Content-Type": "application/json"}, data))
