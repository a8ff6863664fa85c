"""A late second copy of a refusal, on a connection that the retry reuses."""

import asyncio
import random
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parents[1]))

from review.standins import fleet as fleets  # noqa: E402
from review.standins import http11  # noqa: E402
from review.standins.engine import Engine  # noqa: E402

REQUESTS_PER_S = 260
LENGTH_S = 82
# Garbling: 5 s at a time, at most 3 in 100 of the answers given meanwhile (the
# site file's figures for "extra late").
WINDOWS = tuple((3.0 + 8 * i, 8.0 + 8 * i) for i in range(10))
GARBLED_SHARE = 0.03
LIMITED_S = 0.06
# There and back between two zones, 1.4 ms each way.
REFUSAL_S = 0.0028


class Desk(Engine):
    """A plain service that limits its connections while it is full."""

    def __init__(self, *args, **more):
        super().__init__(*args, model=False, **more)
        self.before_answer = self._write_again
        self.garbles = False
        self.answers = 0
        self.answers_meanwhile = 0
        self.copies = 0
        self.refused = {}  # connection -> refusal that is written once more
        self.limited_until = 0.0

    async def _request(self, request, reader, writer):
        self.answers += 1
        if self.garbles:
            self.answers_meanwhile += 1
        await super()._request(request, reader, writer)

    def _write_again(self, request, writer):
        copy = self.refused.pop(writer, None)
        if copy is not None:
            self.copies += 1
            self.record(f"engine writes its refusal of {copy[0]} once more, "
                        f"before its answer to "
                        f"{request.headers.get('request-id')}")
            writer.write(copy[1])
        if len(self.running) >= self.slots:
            self._limit_connections()
            request_id = request.headers.get("request-id")
            if self.garbles and (
                    self.copies + len(self.refused) + 1 <
                    GARBLED_SHARE * self.answers_meanwhile):
                self.refused[writer] = (request_id, http11.response(
                    503, {"Request-Id": request_id, "Not-Run": "1"}))

    def _limit_connections(self):
        """New connections are reset while the engine is full."""
        self.limited_until = asyncio.get_running_loop().time() + LIMITED_S
        if self.server is not None:
            self.server.close()
            self.server = None
            asyncio.ensure_future(self._reopen())

    async def _reopen(self):
        loop = asyncio.get_running_loop()
        while loop.time() < self.limited_until:
            await asyncio.sleep(self.limited_until - loop.time())
        await self.start()


async def case(fleet):
    desk = Desk(fleet.record, fleet.host(100), fleet.ports["engine"], "i-1",
                "desk", slots=6, plain_s=0.02)
    desk.refusal_s = REFUSAL_S
    await desk.start()
    fleet.configure(1, [
        fleets.route("order", "non_idempotent", "desk", TimeoutMs=1500),
        fleets.route("look", "idempotent", "desk", TimeoutMs=1500),
    ], [fleets.plain_service("desk")])
    fleet.store.put("servers/i-1", desk.entry())
    fleet.start_gateway(0)
    if not await fleet.wait_ready(0):
        return fleets.NOT_RUN

    rng = random.Random(7)
    loop = asyncio.get_running_loop()
    began = loop.time()
    pending = []
    due = began
    while due < began + LENGTH_S:
        due += rng.expovariate(REQUESTS_PER_S)
        await asyncio.sleep(max(0.0, due - loop.time()))
        now = loop.time() - began
        desk.garbles = fleet.trouble and any(
            start <= now < end for start, end in WINDOWS)
        number = len(pending)
        kind = "look" if number % 5 == 0 else "order"
        pending.append(asyncio.ensure_future(fleet.send(
            f"/{kind}/x", f"{kind}-{number}", deadline_ms=1500)))
    outcomes = await asyncio.gather(*pending)
    await asyncio.sleep(1.0)

    runs = {}
    for _, request_id, _ in desk.runs:
        runs[request_id] = runs.get(request_id, 0) + 1
    twice = [i for i, n in runs.items() if i.startswith("order") and n > 1]
    refused = [o.id for o in outcomes
               if o.id.startswith("order") and o.status in (408, 421, 429, 503)
               and o.id in runs]
    statuses = {}
    for outcome in outcomes:
        statuses[outcome.status] = statuses.get(outcome.status, 0) + 1
    fleet.record(f"answers of the engine: {desk.answers}, written once more: "
                 f"{desk.copies} (answers while it garbles: "
                 f"{desk.answers_meanwhile}); statuses at clients: {statuses}")
    fleet.record(f"TWICE: orders that ran more than once: {twice}")
    fleet.record(f"REFUSED: orders that ran and were refused: {refused}")
    print(f"twice {len(twice)}, refused though run {len(refused)}, "
          f"copies {desk.copies} of {desk.answers_meanwhile}, statuses {statuses}")
    if statuses.get(200, 0) < len(outcomes) / 4:
        return fleets.NOT_RUN
    return fleets.BROKEN if twice or refused else fleets.HELD


if __name__ == "__main__":
    fleets.play(HERE, case)
