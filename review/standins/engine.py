"""Stand-ins of the users' engines: model engines and plain services."""

import asyncio
import json
import random
import time

from . import http11

LOADS_IN_TRANSIT = 4


class Engine:
    """A server that records what it runs and which orders it gets.

    A model engine holds one model `m`. A plain service answers without a
    stream.
    """

    def __init__(self, record, ip, port, instance, service, *, model=True,
                 slots=16, adapter_slots=8, adapters=(), load_s=0.1,
                 events=5, event_s=0.02, plain_s=0.03):
        self.record = record
        self.ip = ip
        self.port = port
        self.instance = instance
        self.service = service
        self.model = model
        self.slots = slots
        self.adapter_slots = adapter_slots
        self.load_s = load_s
        self.events = events
        self.event_s = event_s
        self.plain_s = plain_s
        self.refusal_s = 0.0
        self.initial = dict.fromkeys(adapters, 1)
        self.newest = {}  # newest version of each adapter at the weight store
        self.random = random.Random(1)
        self.runs = []  # (time, request id, event id that it goes on after)
        self.arrivals = []
        self.crashes = []  # (time, reason)
        self.orders = []  # (time, order, answer)
        self.server = None
        self.connections = set()
        self.refuse = lambda kind, request: None
        self.before_answer = None
        self.order_s = 0.0  # time until an order is accepted
        self._reset()

    def _reset(self):
        self.born = int(time.time() * 1e3)
        self.held = dict(self.initial)
        self.loading = {}
        self.sequence = 0
        self.fence = 0
        self.running = {}

    def entry(self, state="ready"):
        """What the engine registers in the store."""
        return {
            "Service": self.service, "Addr": f"{self.ip}:{self.port}",
            "Zone": "z1", "Version": "v1", "Slots": self.slots,
            "State": state, "ColdMs": 0, "Stage": "unified",
            "Models": self.models(), "Seq": self.sequence, "born": self.born,
        }

    def models(self):
        if not self.model:
            return []
        return [{"Name": "m", "Version": 1, "Adapters": [
            f"{name}@{version}" for name, version in sorted(self.held.items())]}]

    async def start(self, backlog=100):
        self.server = await asyncio.start_server(
            self._serve, self.ip, self.port, limit=2**20, backlog=backlog)

    def crash(self, reason):
        """The engine ends: its runs break off. It starts again, empty."""
        self.record(f"engine {self.instance} crashes: {reason}; "
                    f"breaks off {len(self.running)} runs")
        self.crashes.append((time.monotonic(), reason))
        for writer in list(self.connections):
            writer.transport.abort()
        self.initial = {}
        self._reset()

    # Requests.

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while (request := await http11.read_request(reader)) is not None:
                await self._answer(request, reader, writer)
                await writer.drain()
        except (http11.Broken, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def _answer(self, request, reader, writer):
        if request.target == "/v1/report":
            writer.write(self._report())
        elif request.target == "/v1/order":
            order = json.loads(request.body)
            await asyncio.sleep(self.order_s)
            status = self.refuse("order", request) or self._order(order)
            self.orders.append((time.monotonic(), order, status))
            self.record(f"engine {self.instance} order {order.get('Op')} "
                        f"{order.get('Adapter', '(model)')}"
                        f"@{order.get('Version', 'newest')} -> {status}; "
                        f"holds {len(self.held)}, loads {len(self.loading)}")
            writer.write(http11.response(status))
        elif request.target == "/healthz":
            writer.write(http11.response(200, {"Instance": self.instance}))
        else:
            await self._request(request, reader, writer)

    def _report(self):
        return http11.response(200, {"Content-Type": "application/json"}, json.dumps({
            "Stage": "unified", "Models": self.models(), "Busy": False,
            "Pending": [f"m/{name}@{version}"
                        for name, version in sorted(self.loading.items())],
            "Seq": self.sequence, "Queued": 0, "Running": len(self.running),
            "KvUsed": 0, "KvTotal": 100000, "Handles": 0, "born": self.born,
        }).encode())

    def _order(self, order):
        if "Fence" not in order or "Holder" not in order:
            return 400
        if order["Fence"] < self.fence:
            return 412
        self.fence = order["Fence"]
        if "Expect" in order and order["Expect"] != self.sequence:
            return 409
        name = order.get("Adapter")
        if name is None:
            return 200
        if order["Op"] == "unload":
            if name not in self.held:
                return 200
            self.sequence += 1
            if any(run == name for run in self.running.values()):
                asyncio.ensure_future(self._unload_later(name))
                return 202
            del self.held[name]
            return 200
        version = order.get("Version") or self.newest.get(name, 1)
        if self.held.get(name, 0) >= version:
            return 200
        if name in self.loading or len(self.loading) >= LOADS_IN_TRANSIT:
            return 409
        self.sequence += 1
        self.loading[name] = version
        if len(set(self.held) | set(self.loading)) > self.adapter_slots:
            held = sorted(set(self.held) | set(self.loading))
            asyncio.get_running_loop().call_soon(
                self.crash, f"ordered to load {name} as adapter "
                f"{len(held)} of {self.adapter_slots}: {' '.join(held)}")
            return 202
        asyncio.ensure_future(self._load(name, version, self.born))
        return 202

    async def _unload_later(self, name):
        born = self.born
        while any(run == name for run in self.running.values()):
            await asyncio.sleep(0.005)
        if born == self.born:
            self.held.pop(name, None)

    async def _load(self, name, version, born):
        await asyncio.sleep(self.load_s)
        # A replacement waits for the runs of the version before.
        while born == self.born and any(
                run == name for run in self.running.values()):
            await asyncio.sleep(0.005)
        if born == self.born and self.loading.pop(name, None) is not None:
            self.held[name] = version

    async def _request(self, request, reader, writer):
        headers = request.headers
        request_id = headers.get("request-id", "")
        echo = {"Request-Id": request_id}
        self.arrivals.append((time.monotonic(), request_id))
        if headers.get("expect-instance", self.instance) != self.instance:
            writer.write(http11.response(
                421, {**echo, "Instance": self.instance, "Not-Run": "1"}))
            return
        adapter = headers.get("model", "").partition("/")[2]
        if self.model and adapter:
            wanted = int(headers.get("expect-version", "0"))
            if adapter not in self.held or (
                    wanted and self.held[adapter] != wanted):
                writer.write(http11.response(
                    421, {**echo, "Instance": self.instance, "Not-Run": "1"}))
                return
        if self.before_answer:
            self.before_answer(request, writer)
        status = self.refuse("request", request)
        if status is None and len(self.running) >= self.slots:
            status = 503
        if status is not None:
            self.record(f"engine {self.instance} refuses {request_id}: {status}")
            await asyncio.sleep(self.refusal_s)
            writer.write(http11.response(status, {**echo, "Not-Run": "1"}))
            return
        after = int(headers.get("last-event-id", "0"))
        self.runs.append((time.monotonic(), request_id, after))
        self.record(f"engine {self.instance} runs {request_id}"
                    + (f" after event {after}" if after else ""))
        key = object()
        self.running[key] = adapter
        try:
            if self.model:
                await self._stream(request_id, after, echo, writer)
            else:
                await asyncio.sleep(self.plain_s)
                writer.write(http11.response(
                    200, {**echo, "Server-Stamp": "stamp"},
                    answer_text(request_id)))
        finally:
            self.running.pop(key, None)

    async def _stream(self, request_id, after, echo, writer):
        head = {**echo, "Server-Stamp": "stamp",
                "Content-Type": "text/event-stream",
                "Transfer-Encoding": "chunked"}
        writer.write(("HTTP/1.1 200 OK\r\n" + "".join(
            f"{name}: {value}\r\n" for name, value in head.items())
            + "\r\n").encode())
        for number in range(after + 1, self.events + 1):
            await asyncio.sleep(self.event_s)
            if writer.is_closing():
                raise http11.Broken("the caller has gone")
            writer.write(http11.chunk(event_text(request_id, number)))
            await writer.drain()
        writer.write(http11.LAST_CHUNK)


def answer_text(request_id):
    return f"answer to {request_id} ".encode() + b"." * 400


def event_text(request_id, number):
    return f"id: {number}\ndata: {request_id}.{number}\n\n".encode()
