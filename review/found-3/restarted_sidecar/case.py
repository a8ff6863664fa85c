"""A sidecar is stopped and started again, as planned, while its engine still
carries out an order of the stopped one. See claim.txt."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "..", "standins-3"))

from stand_ins import (Engine, Fleet, configuration, engine_service, route,
                       run_case, send)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PLACES = 4
ROUNDS = 6


class Case:
    def __init__(self):
        self.fleet = Fleet(HERE)
        self.front = self.fleet.address(2)
        # Streams of 3 s, so that a replacement waits that long for its runs.
        self.engine = Engine(self.fleet.address(10), self.fleet.APP, "i-1",
                             self.fleet.record, adapter_slots=PLACES, slots=16,
                             load_s=0.15, events=60, event_s=0.05)
        self.sent = 0
        self.tasks = []
        self.answers = {}

    def ask(self, adapter):
        self.sent += 1
        self.tasks.append(asyncio.create_task(self.call(adapter, self.sent)))

    async def call(self, adapter, number):
        identity = f"r{number}"
        self.fleet.record(f"client: sends {identity} for {adapter}")
        answer = await send(self.fleet, self.front, "/quote/x", identity,
                            {"Model": f"m/{adapter}", "Token-Count": "100,300"},
                            deadline_ms=6000)
        status = answer[0] if answer else "no whole answer"
        self.answers[status] = self.answers.get(status, 0) + 1
        self.fleet.record(f"client: {identity} gets {status}")

    def announce(self, adapter, version):
        self.fleet.record(f"operator: announces {adapter} version {version}")
        self.fleet.store.put(f"op/version/m.{adapter}",
                             {"Model": "m", "Adapter": adapter,
                              "Version": version})
        self.engine.newest[adapter] = version

    def start_sidecar(self):
        self.fleet.start("sidecar", "side-1", self.engine.ip, service="model")

    async def wait_for(self, condition, limit_s):
        for _ in range(int(limit_s / 0.01)):
            if condition() or self.engine.crashed:
                return True
            await asyncio.sleep(0.01)
        return condition()

    async def round(self, index):
        """One announcement, restart and rise of demand."""
        version = 2 * index + 2
        new = f"n{index}"
        self.ask("a1")
        await self.wait_for(lambda: self.engine.users.get("a1", 0) > 0, 3)
        self.announce("a1", version)
        await asyncio.sleep(1.0)
        # Makes the sidecar order the replacement, which waits for the run.
        self.ask("a1")
        await self.wait_for(lambda: "a1" in self.engine.pending, 1)
        if TROUBLE:
            self.fleet.signal("side-1", signal.SIGTERM)
            self.announce("a1", version + 1)
            process = self.fleet.processes["side-1"]
            await self.wait_for(lambda: process.poll() is not None, 8)
            self.start_sidecar()
        else:
            self.announce("a1", version + 1)
        await asyncio.sleep(0.6)
        # Callers go on asking for a1, and a new adapter becomes popular.
        for step in range(4):
            if self.engine.crashed:
                return
            self.ask("a1")
            await asyncio.sleep(0.02)
            for _ in range(3):
                self.ask(f"{new}{step}")
            await asyncio.sleep(0.23)
        await self.wait_for(
            lambda: not self.engine.running and not self.engine.pending, 8)

    async def run(self):
        fleet = self.fleet
        try:
            await fleet.store.start()
            await self.engine.start()
            self.engine.held = {f"a{i}": 1 for i in range(1, PLACES + 1)}
            fleet.store.put("servers/i-1", self.engine.entry("model"))
            fleet.store.put("op/config", configuration(
                7, [route("quote", "stream", "model", Resumable=True,
                          GapTargetMs=300)],
                [engine_service("model", slots=16, adapter_slots=PLACES)]))
            self.start_sidecar()
            fleet.start("gateway", "front-1", self.front)
            if not await fleet.wait_ready(self.front):
                return 2
            await asyncio.sleep(1)
            self.ask("a1")
            await asyncio.wait_for(asyncio.gather(*self.tasks), 10)
            if 200 not in self.answers:
                return 2
            for index in range(ROUNDS):
                await self.round(index)
                if self.engine.crashed:
                    break
            await asyncio.wait_for(asyncio.gather(*self.tasks), 15)
            fleet.record(f"answers: {self.answers}")
            if any(p.poll() is not None for p in fleet.processes.values()):
                return 2
            if self.engine.crashed:
                fleet.record("LIMIT broken: the engine was "
                             + self.engine.crashed)
                return 1
            fleet.record("LIMIT held")
            return 0
        finally:
            await self.engine.stop()
            await fleet.close()


if __name__ == "__main__":
    sys.exit(run_case(Case()))
