"""A lock-step group of ranks, as PROTOCOL.md describes its workers, orders and maps."""

import asyncio
import dataclasses
import json
import random
import time

import httpio

PASS_S = 0.03
SETS = 2
EXPERTS = 16
PLACES = 6
SPARE = 2
EXPERT_MB = 2500.0
LINK_MBPS = 180000.0
# Selections by a rank's requests in each pass and set.
SELECTIONS = 200
SHIFT_S = 5.0
GROUP = "g1"


@dataclasses.dataclass
class Rank:
    """State of one rank."""

    number: int
    instance: str
    experts: list
    version: int = 0
    versions: set = dataclasses.field(default_factory=lambda: {0})
    prepared: tuple | None = None
    copying: tuple | None = None
    armed: tuple | None = None
    held: int | None = None
    fence: int = 0
    seq: int = 0
    counts: list = dataclasses.field(default_factory=lambda: [0] * (SETS * EXPERTS))
    streams: list = dataclasses.field(default_factory=list)
    answers: int = 0
    orders: int = 0


class Group:
    """Ranks that execute each pass together.

    `disturb(rank, order, previous)` is asked before an order is carried out. It returns
    None, or the time by which the order is late; it then gets no answer, but what the
    rank answered last on the connection is sent once more.
    """

    def __init__(self, size, record, disturb=lambda rank, order, previous: None):
        maps = [[[e for e in range(EXPERTS) if e % size == number]
                 for _ in range(SETS)] for number in range(size)]
        self.ranks = [Rank(n, f"i-{n}", maps[n]) for n in range(size)]
        self.epoch = 1
        self.step = 0
        self.violations = []
        self.changes = 0
        self._record = record
        self._disturb = disturb
        self._random = random.Random(1)
        self._began_at = time.monotonic()

    def describe(self, rank):
        """Returns what a rank says of its membership."""
        return {"group": {"name": GROUP, "epoch": self.epoch, "rank": rank.number,
                          "state": "open"}, "size": len(self.ranks)}

    async def run(self):
        """Runs passes while there is work."""
        while True:
            await asyncio.sleep(PASS_S if any(r.streams for r in self.ranks) else 0.005)
            if not any(rank.streams for rank in self.ranks):
                continue
            following = self.step + 1
            while any(rank.held == following for rank in self.ranks):
                await asyncio.sleep(0.002)
            self._begin(following)

    def _begin(self, step):
        self.step = step
        before = {rank.version for rank in self.ranks}
        for rank in self.ranks:
            if rank.armed is not None and rank.armed[0] == step:
                _, rank.version, rank.experts = rank.armed
                rank.armed = rank.prepared = None
        versions = [rank.version for rank in self.ranks]
        if len(set(versions)) > 1:
            self.violations.append((step, versions))
            if len(self.violations) <= 5:
                self._record.write(f"MAP: pass {step} begins; versions by rank: "
                                   f"{versions}")
        elif set(versions) != before:
            self.changes += 1
            self._record.write(f"pass {step} begins with map {versions[0]} on all ranks")
        hot = int((time.monotonic() - self._began_at) / SHIFT_S) % len(self.ranks)
        for rank in self.ranks:
            for number in range(SETS):
                for _ in range(SELECTIONS // 10):
                    expert = self._random.randrange(EXPERTS)
                    if self._random.random() < 0.75:
                        # The experts in demand are all on one rank at first.
                        expert = hot + len(self.ranks) * self._random.randrange(3)
                    rank.counts[number * EXPERTS + expert] += 10
            for queue in rank.streams:
                queue.put_nowait(step)

    def report(self, rank):
        """Returns a rank's report."""
        armed = rank.armed and {"version": rank.armed[1], "step": rank.armed[0]}
        return {
            "stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": rank.copying is not None, "seq": rank.seq, "waiting": 0,
            "running": len(rank.streams), "kv_used": 1000, "kv_total": 140000,
            "handles": 0, "pace": 1.0, "step": self.step, "map": rank.version,
            "prepared": rank.prepared[0] if rank.prepared else None, "armed": armed,
            "held": rank.held, **self.describe(rank)}

    def picked(self, rank, with_lists):
        """Returns a rank's counts, or its map."""
        found = {"step": self.step, "epoch": self.epoch}
        if not with_lists:
            return found | {"counts": rank.counts}
        found["map"] = {"version": rank.version, "experts": rank.experts}
        if rank.prepared:
            found["prepared"] = {"version": rank.prepared[0],
                                 "experts": rank.prepared[1]}
        return found

    def execute(self, rank, order):
        """Carries out an order; returns the status of its answer."""
        fence = order.get("fence_token")
        if fence is not None:
            if fence < rank.fence:
                return 412
            rank.fence = fence
        if order.get("epoch", self.epoch) != self.epoch:
            return 409
        if order.get("expected_rev", rank.seq) != rank.seq:
            return 409
        status = getattr(self, f"_{order['operation']}")(rank, order)
        if status == 202:
            rank.seq += 1
        return status

    def _prepare(self, rank, order):
        version, wanted = order["version"], order["map"]
        if version in (rank.prepared or rank.copying or (None,)):
            return 200
        mine = [list(experts[rank.number]) for experts in wanted]
        new = [len(set(now) - set(old))
               for now, old in zip(mine, rank.experts, strict=True)]
        if version <= max(rank.versions) or rank.armed or max(new) > SPARE:
            return 409
        if any(len(now) > PLACES for now in mine):
            return 409
        rank.versions.add(version)
        rank.prepared, rank.copying = None, (version, mine)
        asyncio.get_running_loop().call_later(
            sum(new) * EXPERT_MB * 8 / LINK_MBPS, self._end_copy, rank, version)
        return 202

    def _end_copy(self, rank, version):
        if rank.copying and rank.copying[0] == version:
            rank.prepared, rank.copying = rank.copying, None

    def _arm(self, rank, order):
        version, step = order["version"], order["step"]
        if rank.armed and rank.armed[:2] == (step, version):
            return 200
        if not rank.prepared or rank.prepared[0] != version or step <= self.step:
            return 409
        rank.armed = (step, version, rank.prepared[1])
        return 202

    def _disarm(self, rank, order):
        if rank.version == order["version"]:
            return 409
        if rank.armed is None or rank.armed[1] != order["version"]:
            return 200
        rank.armed = None
        return 202

    def _hold(self, rank, order):
        if rank.held == order["step"]:
            return 200
        if rank.held is not None or order["step"] <= self.step:
            return 409
        rank.held = order["step"]
        return 202

    def _go(self, rank, order):
        if rank.held != order["step"]:
            return 200 if rank.held is None else 409
        rank.held = None
        return 202

    def serve(self, rank):
        """Returns the handler of connections to a rank."""

        async def handle(reader, writer):
            previous = b""
            try:
                while True:
                    first, headers = await httpio.read_head(reader)
                    body = await httpio.read_body(reader, headers)
                    previous = await self._answer(
                        rank, first, headers, body, reader, writer, previous)
            except (asyncio.IncompleteReadError, ConnectionError):
                pass
            finally:
                writer.close()

        return handle

    async def _answer(self, rank, first, headers, body, reader, writer, previous):
        expected = headers.get("chicoryweir-expect-instance", rank.instance)
        if expected != rank.instance:
            writer.write(httpio.encode_answer(421, {}))
            return b""
        method, target, _ = first.split(" ")
        path, _, query = target.partition("?")
        attempt = headers.get("chicoryweir-attempt-id")
        # Workers echo the id of an attempt in their answers, if there is one.
        echo = {"Chicoryweir-Attempt-Id": attempt} if attempt else {}
        if path == "/chicoryweir/report":
            return self._send(rank, writer, 200, self.report(rank), echo)
        if path == "/chicoryweir/picked":
            found = self.picked(rank, "lists" in query)
            return self._send(rank, writer, 200, found, echo)
        if path == "/chicoryweir/order":
            return self._take_order(rank, json.loads(body), writer, previous, echo)
        await self._stream(rank, headers, body, reader, writer)
        return b""

    def _send(self, rank, writer, status, answer, echo):
        rank.answers += 1
        fields = {"Content-Type": "application/json", **echo}
        data = httpio.encode_answer(status, fields, json.dumps(answer).encode())
        writer.write(data)
        return data

    def _take_order(self, rank, order, writer, previous, echo):
        rank.orders += 1
        late_s = self._disturb(rank, order, previous)
        text = " ".join(f"{k}={v}" for k, v in order.items() if k != "map")
        if late_s is None:
            status = self.execute(rank, order)
            self._record.write(f"{rank.instance} (pass {self.step}): {text}: {status}")
            return self._send(rank, writer, status, {}, echo)
        self._record.write(
            f"{rank.instance} (pass {self.step}): {text}: left unanswered, to be carried"
            f" out in {late_s} s; sends its last answer on the connection once more")
        writer.write(previous)

        def execute_late():
            status = self.execute(rank, order)
            self._record.write(f"{rank.instance} (pass {self.step}): late {text}: "
                               f"{status}")

        asyncio.get_running_loop().call_later(late_s, execute_late)
        return b""

    async def _stream(self, rank, headers, body, reader, writer):
        attempt = headers["chicoryweir-attempt-id"]
        events, done = int(body), int(headers.get("last-event-id", 0))
        queue = asyncio.Queue()
        rank.streams.append(queue)
        try:
            writer.write(httpio.encode_head("HTTP/1.1 200 OK", {
                "Content-Type": "text/event-stream",
                "Chicoryweir-Attempt-Id": attempt,
                "Chicoryweir-Server-Stamp": f"stamp-{rank.instance}-{attempt}",
                "Transfer-Encoding": "chunked"}))
            for number in range(done + 1, events + 1):
                await queue.get()
                event = b"id: %d\ndata: piece %d\n\n" % (number, number)
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
        finally:
            rank.streams.remove(queue)
