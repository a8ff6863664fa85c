"""Stand-ins for the platform's store, engines and plain services, and helpers
that start the project's programs. Everything runs on loopback addresses."""

import asyncio
import base64
import json
import os
import shutil
import signal
import subprocess
import tempfile
import time
import traceback
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
REASONS = {200: "OK", 202: "Accepted", 404: "Not Found", 409: "Conflict",
           410: "Gone", 412: "Precondition Failed", 421: "Misdirected Request",
           500: "Internal Server Error", 503: "Service Unavailable"}


class Request:
    """A request with a whole body."""

    def __init__(self, method, target, headers, body, connection):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.connection = connection

    @property
    def path(self):
        return self.target.split("?", 1)[0]

    @property
    def query(self):
        parts = self.target.split("?", 1)
        pairs = urllib.parse.parse_qsl(parts[1] if len(parts) > 1 else "",
                                       keep_blank_values=True)
        return dict(pairs)


async def read_head(reader):
    """Returns the first line and the header fields, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError,
            asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            name, value = name.strip().lower(), value.strip()
            # Lines of one name form a list.
            headers[name] = (headers[name] + ", " + value if name in headers
                             else value)
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            line = await reader.readuntil(b"\r\n")
            size = int(line.split(b";")[0].strip() or b"0", 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


class Connection:
    """Server's side of a connection. Writes are ignored once it is closed."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        self.closes = False

    def write(self, data):
        if not self.writer.is_closing():
            self.writer.write(data)

    def answer(self, status, headers=None, body=b""):
        if isinstance(body, (dict, list)):
            body = json.dumps(body).encode()
            headers = {"Content-Type": "application/json", **(headers or {})}
        lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
        for name, value in (headers or {}).items():
            lines.append(f"{name}: {value}")
        lines.append(f"Content-Length: {len(body)}")
        self.write("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body)

    def begin_chunks(self, status, headers):
        lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
        for name, value in headers.items():
            lines.append(f"{name}: {value}")
        lines.append("Transfer-Encoding: chunked")
        self.write("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n")

    def chunk(self, data):
        self.write(b"%x\r\n" % len(data) + data + b"\r\n")

    def end_chunks(self):
        self.write(b"0\r\n\r\n")

    def close(self):
        self.closes = True
        self.writer.close()

    def reset(self):
        """Closes the connection with a reset."""
        self.closes = True
        self.writer.transport.abort()


class Server:
    """HTTP/1.1 server; requests of a connection are answered in order."""

    def __init__(self, ip, port):
        self.ip = ip
        self.port = port
        self.server = None
        self.open = set()

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, self.ip, self.port, limit=1 << 20, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self):
        if self.server:
            self.server.close()
            self.server = None
        for connection in list(self.open):
            connection.reset()

    async def serve(self, reader, writer):
        connection = Connection(reader, writer)
        self.open.add(connection)
        try:
            while not connection.closes:
                head = await read_head(reader)
                if head is None:
                    break
                method, target, _ = head[0].split(" ", 2)
                body = await read_body(reader, head[1])
                await self.handle(Request(method, target, head[1], body,
                                          connection))
        except (asyncio.IncompleteReadError, ConnectionError,
                asyncio.CancelledError, ValueError):
            pass
        finally:
            self.open.discard(connection)
            writer.close()

    async def handle(self, request):
        raise NotImplementedError


class Store(Server):
    """The platform's store: ranges, items and watches."""

    def __init__(self, ip, port):
        super().__init__(ip, port)
        self.items = {}
        self.events = []
        self.revision = 100
        self.changed = asyncio.Event()
        self.page = 500

    def put(self, key, value):
        self.revision += 1
        text = value if isinstance(value, bytes) else json.dumps(value).encode()
        created = self.items.get(key, {}).get("Created", self.revision)
        self.items[key] = {"Key": key, "Rev": self.revision,
                           "Value": base64.b64encode(text).decode(),
                           "Created": created, "Lease": 0}
        self._note(self.items[key])

    def remove(self, key):
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self._note({"Key": key, "Rev": self.revision, "Deleted": True})

    def _note(self, event):
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, request):
        query = request.query
        connection = request.connection
        if request.path == "/v1/kv-range":
            keys = sorted(k for k in self.items
                          if k.startswith(query.get("Prefix", "")) and
                          k > query.get("after", ""))
            page = keys[:self.page]
            connection.answer(200, {"Store-Era": 1}, {
                "items": [self.items[k] for k in page],
                "Truncated": len(keys) > len(page), "AsOf": self.revision})
            return
        if request.path == "/v1/kv-key":
            item = self.items.get(query.get("Key", ""))
            if item is None:
                connection.answer(404, {"Store-Era": 1})
            else:
                connection.answer(200, {"Store-Era": 1},
                                  {**item, "AsOf": self.revision})
            return
        if request.path == "/v1/kv-watch":
            after = int(query["after"])
            end = time.monotonic() + int(query.get("WaitMs", "0")) / 1000
            while True:
                events = [e for e in self.events if e["Rev"] > after and
                          e["Key"].startswith(query.get("Prefix", ""))]
                left = end - time.monotonic()
                if events or left <= 0:
                    break
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
            connection.answer(200, {"Store-Era": 1},
                              {"events": events, "AsOf": self.revision})
            return
        connection.answer(404)


class Plain(Server):
    """A server of a plain service. Records what it has run."""

    def __init__(self, ip, port, instance, record, work_s=0.03, body=b"done"):
        super().__init__(ip, port)
        self.instance = instance
        self.record = record
        self.work_s = work_s
        self.body = body
        self.runs = {}
        self.answered = set()

    def stamp(self, request):
        return {"Request-Id": request.headers.get("request-id", ""),
                "Server-Stamp": "3e1b.07.5a2.600.0.c9f2a4d1"}

    async def handle(self, request):
        connection = request.connection
        wanted = request.headers.get("expect-instance")
        if wanted is not None and wanted != self.instance:
            connection.answer(421, {
                "Request-Id": request.headers.get("request-id", ""),
                "Instance": self.instance})
            return
        await self.run(request)

    async def run(self, request):
        number = request.headers.get("request-id", "")
        self.runs[number] = self.runs.get(number, 0) + 1
        self.record(f"server {self.instance}: runs {number}")
        await asyncio.sleep(self.work_s)
        self.answered.add(number)
        self.record(f"server {self.instance}: answers {number}")
        request.connection.answer(200, self.stamp(request), self.body)


class Fleet:
    """Starts gateways and sidecars with settings like those of a small
    deployment."""

    CALLERS, READY, CONTROL, APP = 8149, 8141, 8144, 8145
    STORE = 8142
    INTERNAL = [7380, 7395]

    def __init__(self, folder):
        self.folder = folder
        self.started = time.monotonic()
        self.lines = []
        self.directory = tempfile.mkdtemp(prefix="comfreyspring-review-")
        # A network of loopback addresses for this run.
        self.network = "127.%d.%d" % (20 + os.getpid() // 200 % 200,
                                      1 + os.getpid() % 200)
        self.store = Store(self.address(1), self.STORE)
        self.processes = {}

    def address(self, number):
        return f"{self.network}.{number}"

    def record(self, text):
        self.lines.append("%9.3f %s" % (time.monotonic() - self.started, text))

    def settings(self, role, name, ip, service=None, memory_mb=260,
                 descriptors=4100):
        front = role == "gateway"
        value = {
            "Node": name, "Role": role, "Class": "front" if front else "side",
            "Serves": ["front", "control"] if front else ["side"],
            "Ip": ip, "Zone": "porto-a", "Region": "rs-sul",
            "Zones": {"porto-a": "rs-sul"},
            "Listen": {"Front": f"{ip}:{self.CALLERS}",
                       "Ready": f"{ip}:{self.READY}",
                       "Control": f"{ip}:{self.CONTROL}"} if front else {},
            "InternalPorts": self.INTERNAL, "Seeds": [], "Bootstrap": True,
            "LossCounted": False,
            "Limits": {"CpuShare": 0.2, "Cores": 1,
                       "MemoryMb": memory_mb if front else 192,
                       "MaxFds": descriptors,
                       "LinkMbps": 1000.0, "DiskMb": 0},
            "DataDir": None, "Discovery": "platform", "Entry": "vip",
            "BeatIntervalMs": 1200,
            "Contracts": ["base", "drain", "config", "cost", "retry", "recover",
                          "fleet", "stream", "engine", "platform"],
            "Tolerate": {"Machines": 2, "Zones": 0, "Regions": 0},
            "Bounds": {"SeedLagS": 3, "ReuseAfterS": 2, "StableMs": 3000,
                       "AckMs": 4000, "CatchUpS": 4, "DrainMs": 2000,
                       "GraceS": 8, "LossSlackMs": 200, "ConfigApplyMs": 2000,
                       "DowngradeMs": 250, "SkewMaxMs": 5000,
                       "RetryRatio": 0.2, "BudgetWindowS": 10,
                       "BudgetExtra": 54, "RecoverS": 12, "PassMs": 120,
                       "RetryAfterS": 0, "RequireFence": True, "LeaseMs": 3000,
                       "ThawMs": 300, "CeilingWindowS": 5,
                       "OriginOverage": 1.1, "version_ms": 5000},
            "Provider": {"Addr": f"{self.address(1)}:{self.STORE}",
                         "form": "read", "WritesPerS": 400, "ReadsPerS": 2000,
                         "HistoryS": 20, "ValueBytes": 1048576,
                         "TtlMinMs": 1000}}
        if not front:
            value["app"] = f"{ip}:{self.APP}"
            value["Service"] = service
        return value

    def start(self, role, name, ip, **fields):
        path = os.path.join(self.directory, name + ".settings")
        with open(path, "w") as file:
            json.dump(self.settings(role, name, ip, **fields), file)
        environment = {k: v for k, v in os.environ.items()
                       if k in ("PATH", "HOME", "LANG")}
        environment.update(COMFREYSPRING_CONFIG=path,
                           COMFREYSPRING_METRICS_PORT="9464")
        log = open(os.path.join(self.directory, name + ".log"), "ab")
        self.processes[name] = subprocess.Popen(
            [os.path.join(os.environ.get("PROGRAMS") or
                          os.path.join(ROOT, "target/platform"),
                          "comfreyspring_" + role)],
            cwd=ROOT, env=environment, stdout=log, stderr=log,
            start_new_session=True)
        log.close()
        self.record(f"started {name}")
        return self.processes[name]

    def signal(self, name, number):
        self.record(f"{signal.Signals(number).name} to {name}")
        self.processes[name].send_signal(number)

    def log(self, name):
        with open(os.path.join(self.directory, name + ".log"),
                  errors="replace") as file:
            return file.read()

    async def wait_ready(self, ip, limit_s=15.0):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            try:
                status = (await fetch(ip, self.READY, "/v1/readyz"))[0]
            except (OSError, asyncio.IncompleteReadError, TypeError):
                status = 0
            if status == 200:
                self.record(f"gateway at {ip} is ready")
                return True
            await asyncio.sleep(0.05)
        return False

    async def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        await self.store.stop()
        with open(os.path.join(self.folder, "record.txt"), "w") as file:
            file.write("\n".join(self.lines) + "\n")
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.directory, ignore_errors=True)


async def fetch(ip, port, path, limit_s=2.0):
    """Returns the status, headers and body of one answer."""

    async def call():
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            writer.write(f"GET {path} HTTP/1.1\r\nHost: {ip}\r\n"
                         "Connection: close\r\n\r\n".encode())
            return await read_answer(reader)
        finally:
            writer.close()

    return await asyncio.wait_for(call(), limit_s)


async def read_answer(reader):
    """Reads one whole answer; None if the connection ends within it."""
    while True:
        head = await read_head(reader)
        if head is None:
            return None
        status = int(head[0].split(" ")[1])
        if status >= 200:
            break
    try:
        return status, head[1], await read_body(reader, head[1])
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


def route(name, kind, service, **fields):
    return {"Name": name, "Host": "h.example", "Prefix": f"/{name}/",
            "Kind": kind, "TimeoutMs": 5000, "GoalMs": 600, "Priority": 0,
            "Service": service, "Attempts": 2, **fields}


def configuration(version, routes, services, **limits):
    return {"Version": version, "Routes": routes, "Services": services,
            "Limits": {"HeaderBytes": 16384, "BodyBytes": 4194304,
                       "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000,
                       **limits}}


def entry(service, address, slots, **fields):
    return {"Service": service, "Addr": address, "Zone": "porto-a",
            "Version": "v1", "Slots": slots, "State": "ready", "ColdMs": 0,
            "Seq": 1, **fields}


class Engine(Plain):
    """A model engine with one model. It fetches adapters from a store of
    weights and forgets everything when it restarts."""

    MODEL = "m"

    def __init__(self, ip, port, instance, record, adapter_slots=4, slots=8,
                 load_s=0.25, events=5, event_s=0.02):
        super().__init__(ip, port, instance, record)
        self.adapter_slots = adapter_slots
        self.slots = slots
        self.load_s = load_s
        self.events = events
        self.event_s = event_s
        self.newest = {}
        self.crashed = None
        self.begin()

    def begin(self):
        """A new incarnation."""
        self.born = int(time.time() * 1000)
        self.held = {}
        self.pending = {}
        self.running = 0
        self.users = {}
        self.order_count = 0
        self.fence = 0

    def has_model(self):
        return True

    def report(self):
        adapters = [f"{name}@{version}"
                    for name, version in sorted(self.held.items())]
        models = [{"Name": self.MODEL, "Version": 1, "Adapters": adapters}]
        return {"Stage": "unified",
                "Models": models if self.has_model() else [],
                "Busy": False, "Seq": self.order_count, "Queued": 0,
                "Running": self.running, "KvUsed": 0, "KvTotal": 100000,
                "Handles": 0, "born": self.born,
                "Pending": [f"{self.MODEL}/{name}@{version}"
                            for name, version in self.pending.items()]}

    def entry(self, service, zone="porto-a", **fields):
        return entry(service, f"{self.ip}:{self.port}", self.slots, Zone=zone,
                     Stage="unified", Models=self.report()["Models"],
                     born=self.born, **fields)

    def occupied(self):
        return len(set(self.held) | set(self.pending))

    async def handle(self, request):
        if request.path == "/v1/report":
            request.connection.answer(200, {}, self.report())
            await self.on_report()
            return
        if request.path == "/v1/order":
            await self.order(request)
            return
        await super().handle(request)

    async def on_report(self):
        pass

    async def order(self, request):
        order = json.loads(request.body)
        status = self.carry_out(order)
        self.record(f"engine {self.instance}: order {order['Op']} "
                    f"{order.get('Adapter', '')} version "
                    f"{order.get('Version', 0)} fence {order['Fence']} -> "
                    f"{status}")
        request.connection.answer(status, {}, {})

    def carry_out(self, order):
        """Returns the status of the answer to an order."""
        if order["Fence"] < self.fence:
            return 412
        self.fence = order["Fence"]
        name = order.get("Adapter")
        if order["Model"] != self.MODEL or not name:
            return 400
        if order["Op"] == "unload":
            if name in self.pending or self.users.get(name, 0) > 0:
                return 409
            self.order_count += 1
            self.held.pop(name, None)
            return 200
        version = order.get("Version") or self.newest.get(name, 1)
        if self.held.get(name, 0) >= version:
            return 200
        if self.pending.get(name) == version:
            return 202  # It is being carried out already.
        # Another order for the adapter, or four adapters in transit.
        if name in self.pending or len(self.pending) >= 4:
            return 409
        self.order_count += 1
        self.pending[name] = version
        if self.occupied() > self.adapter_slots:
            self.crash(f"ordered to hold {self.occupied()} adapters in "
                       f"{self.adapter_slots} places: {sorted(self.held)} held"
                       f", {sorted(self.pending)} in transit")
            return 202
        asyncio.get_running_loop().create_task(
            self.load(name, version, self.born))
        return 202

    async def load(self, name, version, born):
        # A replacement waits for the runs of its adapter.
        while self.users.get(name, 0) > 0:
            await asyncio.sleep(0.01)
        await asyncio.sleep(self.load_s)
        if self.born == born and self.pending.get(name) == version:
            del self.pending[name]
            self.held[name] = version

    def crash(self, reason):
        self.crashed = reason
        self.record(f"engine {self.instance}: CRASHES, {reason}")
        asyncio.get_running_loop().create_task(self.stop())

    async def run(self, request):
        number = request.headers.get("request-id", "")
        model = request.headers.get("model", "")
        adapter = model.split("/", 1)[1] if "/" in model else ""
        version = self.held.get(adapter)
        wanted = request.headers.get("expect-version")
        if adapter and (version is None or
                        wanted not in (None, str(version))):
            request.connection.answer(421, {"Request-Id": number})
            return
        if self.running >= self.slots:
            request.connection.answer(503, {"Request-Id": number,
                                            "Not-Run": "1"})
            return
        self.runs[number] = self.runs.get(number, 0) + 1
        self.record(f"engine {self.instance}: runs {number}")
        connection = request.connection
        first = int(request.headers.get("last-event-id") or 0) + 1
        self.running += 1
        self.users[adapter] = self.users.get(adapter, 0) + 1
        try:
            connection.begin_chunks(200, {
                **self.stamp(request), "Content-Type": "text/event-stream",
                "Weight-Versions": "1"})
            for event in range(first, self.events + 1):
                await asyncio.sleep(self.event_s)
                if connection.writer.is_closing():
                    return
                connection.chunk(b"id: %d\ndata: piece %d of %s\n\n" %
                                 (event, event, number.encode()))
            connection.end_chunks()
            self.answered.add(number)
        finally:
            self.running -= 1
            self.users[adapter] -= 1


def engine_service(name, slots=8, adapter_slots=4):
    return {"Name": name, "HealthPath": "/healthz", "MaxConns": 360,
            "Protocol": "h1", "Tls": False,
            "Engine": {"Slots": slots, "KvCapacity": 100000,
                       "KvTokenBytes": 163840, "LinkMbps": 1500000.0,
                       "Moves": True, "Backups": True, "Stride": 5,
                       "MaxCount": 12, "HostMb": 150000.0, "DiskMb": 460000.0,
                       "PinMs": 4000.0, "HoldMs": 2000.0, "handle_s": 5.0,
                       "Models": [{"Name": Engine.MODEL,
                                   "WeightsSize": 72700.0, "LoadS": 1.6,
                                   "Adapters": 3000, "AdapterMb": 66.0,
                                   "WarmS": 0.47, "DiskS": 0.64}],
                       "WeightsSize": 75800.0, "AdapterSlots": adapter_slots,
                       "LoadsPerS": 4.5}}


def plain_service(name):
    return {"Name": name, "HealthPath": "/healthz", "MaxConns": 100,
            "Protocol": "h1", "Tls": False}


async def send(fleet, ip, target, number, headers=None, method="POST",
               body=b"x" * 200, deadline_ms=5000):
    """One request on a connection of its own. Returns its answer, or None if
    the connection ended within it or before it."""
    try:
        reader, writer = await asyncio.open_connection(ip, fleet.CALLERS)
    except OSError:
        return None
    fields = {"Host": "h.example", "Request-Id": number,
              "Deadline-Ms": deadline_ms, "Connection": "close",
              **(headers or {})}
    if body:
        fields["Content-Length"] = len(body)
    head = f"{method} {target} HTTP/1.1\r\n" + "".join(
        f"{name}: {value}\r\n" for name, value in fields.items())
    try:
        writer.write(head.encode() + b"\r\n" + body)
        return await asyncio.wait_for(read_answer(reader),
                                      deadline_ms / 1000 + 1)
    except (asyncio.TimeoutError, ConnectionError):
        return None
    finally:
        writer.close()


def run_case(case):
    """Runs a case and returns its exit code: 2 if it fails in another way than
    by the rule, or is ended by SIGTERM. Its processes are ended in any case."""

    async def main():
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, asyncio.current_task().cancel)
        return await case.run()

    try:
        return asyncio.run(main())
    except (asyncio.CancelledError, KeyboardInterrupt):
        return 2
    except Exception:
        traceback.print_exc()
        return 2
