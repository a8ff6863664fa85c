"""Requests that announce two lengths of their body. See claim.txt."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-3"))

from stand_ins import (Fleet, Plain, configuration, entry, plain_service,
                       read_answer, route, run_case)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
REQUESTS = 20


class RecordingServer(Plain):
    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.bodies = {}

    async def run(self, request):
        number = request.headers.get("request-id", "")
        self.bodies[number] = request.body
        self.record(f"server {self.instance}: {request.method} "
                    f"{request.target} of {number}, {len(request.body)} bytes")
        await super().run(request)


class Case:
    def __init__(self):
        self.fleet = Fleet(HERE)
        self.front = self.fleet.address(2)
        self.server = RecordingServer(self.fleet.address(10), 8080, "i-1",
                                      self.fleet.record)
        self.sent = {}
        self.statuses = {}

    async def call(self, form, index):
        """One request, whose body holds the text of another one."""
        number = f"{form}-{index}"
        body = ("POST /order/hidden HTTP/1.1\r\nHost: h.example\r\n"
                f"Request-Id: hidden-{number}\r\nContent-Length: 0\r\n\r\n")
        lengths = [len(body)]
        framing = ""
        if TROUBLE and form == "lengths":
            lengths = [0, len(body)]
        elif TROUBLE:
            # The chunks end at once; the length covers the rest too.
            body = "0\r\n\r\n" + body
            lengths = [len(body)]
            framing = "Transfer-Encoding: chunked\r\n"
        head = ("POST /order/x HTTP/1.1\r\nHost: h.example\r\n"
                f"Request-Id: {number}\r\nDeadline-Ms: 3000\r\n{framing}" +
                "".join(f"Content-Length: {each}\r\n" for each in lengths))
        self.sent[number] = body.encode()
        self.fleet.record(f"client: sends {number}, Content-Length "
                          f"{lengths} {framing.strip()}")
        reader, writer = await asyncio.open_connection(self.front,
                                                       self.fleet.CALLERS)
        writer.write(head.encode() + b"\r\n" + body.encode())
        try:
            answer = await asyncio.wait_for(read_answer(reader), 4)
        except (ConnectionError, asyncio.TimeoutError):
            answer = None
        # Time for what else the gateway reads from the connection.
        await asyncio.sleep(0.15)
        writer.close()
        status = answer[0] if answer else None
        self.statuses[status] = self.statuses.get(status, 0) + 1
        self.fleet.record(f"client: {number} gets {status}")

    async def run(self):
        fleet = self.fleet
        try:
            await fleet.store.start()
            await self.server.start()
            fleet.store.put("servers/i-1", entry(
                "plain", f"{self.server.ip}:{self.server.port}", 6))
            fleet.store.put("op/config", configuration(
                7, [route("order", "non_idempotent", "plain")],
                [plain_service("plain")]))
            fleet.start("gateway", "front-1", self.front)
            if not await fleet.wait_ready(self.front):
                return 2
            await asyncio.sleep(0.5)
            for index in range(REQUESTS):
                await self.call("lengths", index)
                await self.call("chunks", index)
            fleet.record(f"statuses: {self.statuses}")
            if fleet.processes["front-1"].poll() is not None:
                return 2
            if not TROUBLE and self.statuses != {200: 2 * REQUESTS}:
                return 2
            unasked = {form: sum(1 for number in self.server.runs
                                 if number.startswith(f"hidden-{form}"))
                       for form in ("lengths", "chunks")}
            fleet.record(f"runs of requests that no client sent: {unasked}")
            # The other form is only recorded: a server may read it so, if it
            # closes the connection afterwards.
            broken = unasked["lengths"] > 0
            fleet.record("UNASKED " + ("broken" if broken else "held"))
            return 1 if broken else 0
        finally:
            await self.server.stop()
            await fleet.close()


if __name__ == "__main__":
    sys.exit(run_case(Case()))
