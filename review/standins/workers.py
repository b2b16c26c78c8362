"""Workers of plain services and of models without experts."""

import asyncio

from standins import http


class Run:
    """One request at a worker."""

    def __init__(self, attempt, arrived_at):
        self.attempt = attempt
        self.arrived_at = arrived_at
        self.events = 0
        self.ended_at = None
        self.whole = False


class StreamWorker:
    """Answers each request with a stream of events at a steady pace."""

    def __init__(self, record, instance, host, port, events, pause_s, first_s):
        self.instance = instance
        self.address = f"{host}:{port}"
        self.runs = []
        self._record = record
        self._host = host
        self._port = port
        self._events = events
        self._pause_s = pause_s
        self._first_s = first_s

    async def start(self):
        """Starts to listen."""
        await http.serve(self._host, self._port, self._handle)

    async def _handle(self, request, writer):
        if request.path == "/health":
            headers = {"Chicoryweir-Instance-Id": self.instance}
            writer.write(http.encode_answer(200, headers))
            return True
        attempt = request.headers.get("chicoryweir-attempt-id", "")
        if request.headers.get("chicoryweir-expect-instance", "") != self.instance:
            headers = {"Chicoryweir-Instance-Id": self.instance}
            writer.write(http.encode_answer(421, headers))
            return True
        run = Run(attempt, self._record.now())
        self.runs.append(run)
        headers = {
            "Content-Type": "text/event-stream",
            "Chicoryweir-Attempt-Id": attempt,
            "Chicoryweir-Server-Stamp": f"{self.instance}.{len(self.runs)}",
        }
        last = int(request.headers.get("last-event-id", 0) or 0)
        try:
            await asyncio.sleep(self._first_s)
            writer.write(http.encode_answer(200, headers, chunked=True))
            for number in range(last + 1, self._events + 1):
                event = b"id: %d\ndata: t%d\n\n" % (number, number)
                writer.write(http.encode_chunk(event))
                await writer.drain()
                run.events += 1
                await asyncio.sleep(self._pause_s)
            writer.write(http.encode_chunk(b""))
            run.whole = True
        finally:
            run.ended_at = self._record.now()
        return True
