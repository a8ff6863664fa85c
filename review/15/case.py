"""Lookups with several hundred parameters on kept connections. See
claim.txt."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-3"))

from stand_ins import (Fleet, Plain, configuration, entry, plain_service,
                       read_answer, route, run_case)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Orders that one lookup names. Without the trouble, lookups are smaller.
SIZES = range(500, 700) if TROUBLE else range(100, 300)
ROUNDS = 3
WORKERS = 4
ALLOWED = 3


class Case:
    def __init__(self):
        self.fleet = Fleet(HERE)
        self.front = self.fleet.address(2)
        self.server = Plain(self.fleet.address(10), 8080, "i-1",
                            self.fleet.record, work_s=0.005)
        self.results = {}
        self.lost = 0

    async def get(self, connection, number, target):
        """One lookup. Returns its status, or None if the connection ended
        without an answer."""
        reader, writer = connection
        writer.write((f"GET {target} HTTP/1.1\r\nHost: h.example\r\n"
                      f"Request-Id: {number}\r\nDeadline-Ms: 3000\r\n\r\n")
                     .encode())
        try:
            answer = await asyncio.wait_for(read_answer(reader), 4)
        except ConnectionError:
            return None
        return answer[0] if answer else None

    async def lookup(self, name, size):
        connection = await asyncio.open_connection(self.front,
                                                   self.fleet.CALLERS)
        try:
            first = await self.get(connection, f"{name}-first", "/look/x?i=1")
            if first != 200:
                self.results["first lookup " + str(first)] = 1
                return
            number = f"{name}-large"
            target = "/look/x?" + "&".join(f"i={k % 10}" for k in range(size))
            status = await self.get(connection, number, target)
            runs = self.server.runs.get(number, 0)
            self.fleet.record(f"client: {number} with {size} parameters, "
                              f"{len(target)} bytes, gets {status}; it ran "
                              f"{runs} times")
            result = f"{status}, ran {runs} times"
            self.results[result] = self.results.get(result, 0) + 1
            if status is None and runs > 0:
                self.lost += 1
                self.fleet.record("LOST: passed on from a kept connection, "
                                  "which was closed without an answer")
        finally:
            connection[1].close()

    async def run(self):
        fleet = self.fleet
        try:
            await fleet.store.start()
            await self.server.start()
            fleet.store.put("servers/i-1", entry(
                "plain", f"{self.server.ip}:{self.server.port}", 6))
            fleet.store.put("op/config", configuration(
                7, [route("look", "idempotent", "plain")],
                [plain_service("plain")]))
            fleet.start("gateway", "front-1", self.front)
            if not await fleet.wait_ready(self.front):
                return 2
            await asyncio.sleep(0.5)
            jobs = [(f"r{turn}-{size}", size) for turn in range(ROUNDS)
                    for size in SIZES]

            async def work():
                while jobs:
                    await self.lookup(*jobs.pop(0))

            await asyncio.gather(*[work() for _ in range(WORKERS)])
            fleet.record(f"results: {self.results}")
            if fleet.processes["front-1"].poll() is not None:
                return 2
            if any(text.startswith("first") for text in self.results):
                return 2
            broken = self.lost > ALLOWED
            fleet.record(f"LOST {'broken' if broken else 'held'}: "
                         f"{self.lost} times")
            return 1 if broken else 0
        finally:
            await self.server.stop()
            await fleet.close()


if __name__ == "__main__":
    sys.exit(run_case(Case()))
