"""Stand-ins of the users' store, engines and clients for the review's scripts.

Everything runs on loopback addresses in one asyncio loop. Programs under test
are started as separate processes with the commands of deploy/system.toml.
"""

import asyncio
import base64
import itertools
import json
import os
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))


def now():
    return time.monotonic()


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = now()

    def __call__(self, text):
        self.file.write("%8.3f s  %s\n" % (now() - self.start, text))
        self.file.flush()


# HTTP.


class Head:
    def __init__(self, first, headers):
        self.first = first
        self.headers = headers

    def get(self, name, default=""):
        return self.headers.get(name, default)


async def read_head(reader):
    """Returns None at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if not colon:
            continue
        name, value = name.strip().lower(), value.strip()
        # Lines of one name form a list.
        headers[name] = ",".join(filter(None, (headers.get(name), value)))
    return Head(lines[0], headers)


async def read_body(reader, head):
    if "chunked" in head.get("transfer-encoding").lower():
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                await reader.readline()
                return body
            body += await reader.readexactly(size)
            await reader.readline()
    return await reader.readexactly(int(head.get("content-length", "0") or 0))


def response(status, headers, body=b""):
    reasons = {200: "OK", 202: "Accepted", 404: "Not Found", 503: "Busy"}
    lines = ["HTTP/1.1 %d %s" % (status, reasons.get(status, "Status"))]
    lines += ["%s: %s" % each for each in headers.items()]
    lines += ["Content-Length: %d" % len(body), "", ""]
    return "\r\n".join(lines).encode() + body


class Server:
    """An HTTP/1.1 server; subclasses answer in `answer`."""

    def __init__(self, ip, port=0):
        self.ip = ip
        self.port = port
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, self.ip, self.port, limit=1 << 20, backlog=1024)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    @property
    def address(self):
        return "%s:%d" % (self.ip, self.port)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                body = await read_body(reader, head)
                if not await self.answer(head, body, reader, writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


# The platform's store.


class Store(Server):
    def __init__(self, ip):
        super().__init__(ip)
        self.revision = 100
        self.items = {}
        self.events = []
        self.changed = asyncio.Event()
        self.page = 500
        self.down = False
        self.calls = []

    def put(self, key, value):
        text = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        created = self.items.get(key, {}).get("Created", self.revision)
        item = {"Key": key, "Value": base64.b64encode(text).decode(),
                "Rev": self.revision, "Created": created, "Lease": 0}
        self.items[key] = item
        self.notify(item)

    def delete(self, key):
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self.notify({"Key": key, "Rev": self.revision, "Deleted": True})

    def notify(self, event):
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def answer(self, head, body, reader, writer):
        path, _, query = head.first.split(" ")[1].partition("?")
        pairs = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        self.calls.append((now(), path, query))
        if self.down:
            writer.write(response(503, {}))
            await writer.drain()
            return True
        if path == "/v1/kv-range":
            out = self.list_items(pairs)
        elif path == "/v1/kv-watch":
            out = await self.watch(pairs)
        else:
            out = None
        if out is None:
            writer.write(response(404, {}))
        else:
            writer.write(response(200, {"Content-Type": "application/json",
                                        "Store-Era": "1"},
                                  json.dumps(out).encode()))
        await writer.drain()
        return True

    def list_items(self, pairs):
        prefix, after = pairs.get("Prefix", ""), pairs.get("after", "")
        keys = sorted(key for key in self.items
                      if key.startswith(prefix) and key > after)
        return {"items": [self.items[key] for key in keys[:self.page]],
                "Truncated": len(keys) > self.page, "AsOf": self.revision}

    async def watch(self, pairs):
        after = int(pairs.get("after", "0"))
        ends = now() + int(pairs.get("WaitMs", "0")) / 1e3
        while True:
            found = [e for e in self.events if e["Rev"] > after]
            left = ends - now()
            if found or left <= 0:
                return {"events": found, "AsOf": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


# Engines.


class Plain(Server):
    """An endpoint of a plain service: runs what it gets, one answer each."""

    def __init__(self, ip, instance, record, slots=6, work=0.03):
        super().__init__(ip)
        self.instance = instance
        self.record = record
        self.slots = slots
        self.work = work
        self.runs = {}
        self.arrivals = []

    def entry(self, service, zone, state="ready"):
        return {"Service": service, "Addr": self.address, "Zone": zone,
                "Version": "v1", "Slots": self.slots, "State": state,
                "ColdMs": 0, "Seq": 1}

    def stamp(self, identity):
        return {"Request-Id": identity, "Server-Stamp": "st-" + identity,
                "Keep-Alive": "timeout=15"}

    async def answer(self, head, body, reader, writer):
        identity = head.get("request-id")
        self.arrivals.append((now(), identity, head, body))
        if head.get("expect-instance", self.instance) != self.instance:
            writer.write(response(421, {"Instance": self.instance,
                                        "Request-Id": identity}))
            return True
        self.runs[identity] = self.runs.get(identity, 0) + 1
        self.record("%s runs %s %s" % (self.instance, identity, head.first))
        await asyncio.sleep(self.work)
        writer.write(response(200, self.stamp(identity),
                              ("body of " + identity).encode()))
        await writer.drain()
        return True


class Model(Server):
    """A model engine with one model and adapters that are loaded on order."""

    def __init__(self, ip, instance, record, slots=8, places=6, load=0.05,
                 events=5, gap=0.03):
        super().__init__(ip)
        self.instance = instance
        self.record = record
        self.slots = slots
        self.places = places
        self.load = load
        self.events = events
        self.gap = gap
        self.held = {}
        self.pending = {}
        self.versions = {}
        self.seq = 0
        self.fence = 0
        self.running = 0
        self.runs = {}
        self.arrivals = []
        self.born = int(time.time() * 1000)
        self.overfull = []

    def models(self):
        return [{"Name": "m", "Version": 1,
                 "Adapters": ["%s@%d" % each for each in self.held.items()]}]

    def entry(self, service, zone, state="ready"):
        return {"Service": service, "Addr": self.address, "Zone": zone,
                "Version": "v1", "Slots": self.slots, "State": state,
                "ColdMs": 0, "Stage": "unified", "Models": self.models(),
                "Seq": 1, "born": self.born}

    def report(self):
        return {"Stage": "unified", "Models": self.models(), "Busy": False,
                "Seq": self.seq, "Queued": 0, "Running": self.running,
                "KvUsed": 0, "KvTotal": 100000, "Handles": 0,
                "Pending": ["m/%s@%d" % each for each in self.pending.items()],
                "born": self.born}

    async def audible(self):
        """Returns when the engine reads and writes; always, unless replaced."""

    async def answer(self, head, body, reader, writer):
        target = head.first.split(" ")[1]
        if target == "/v1/report":
            writer.write(response(200, {"Content-Type": "application/json"},
                                  json.dumps(self.report()).encode()))
        elif target == "/v1/order":
            status = self.order(json.loads(body))
            self.record("%s order %s -> %s" % (self.instance, body.decode(),
                                               status))
            writer.write(response(status, {}))
        else:
            return await self.run(head, body, reader, writer)
        await writer.drain()
        return True

    def order(self, order):
        if order["Fence"] < self.fence:
            return 412
        self.fence = order["Fence"]
        name = order.get("Adapter")
        if name is None:
            return 200
        if order["Op"] == "unload":
            self.seq += 1
            self.held.pop(name, None)
            # Also one that is still on its way.
            self.pending.pop(name, None)
            return 200
        version = order.get("Version") or self.versions.get(name, 1)
        if self.held.get(name, 0) >= version:
            return 200
        self.seq += 1
        self.pending[name] = version
        names = set(self.held) | set(self.pending)
        if len(names) > self.places:
            self.overfull.append((now(), sorted(names)))
        asyncio.get_running_loop().call_later(self.load, self.loaded, name)
        return 202

    def loaded(self, name):
        version = self.pending.pop(name, None)
        if version is not None:
            self.held[name] = version

    def stamp(self, identity):
        return {"Request-Id": identity, "Server-Stamp": "st-" + identity,
                "Keep-Alive": "timeout=15"}

    async def run(self, head, body, reader, writer):
        identity = head.get("request-id")
        adapter = head.get("model").partition("/")[2]
        self.arrivals.append((now(), identity, head, body))
        wrong = head.get("expect-instance", self.instance) != self.instance
        version = int(head.get("expect-version", "0") or 0)
        if wrong or (adapter and adapter not in self.held) or (
                adapter and version and self.held[adapter] != version):
            writer.write(response(421, {"Instance": self.instance,
                                        "Request-Id": identity}))
            await writer.drain()
            return True
        self.runs[identity] = self.runs.get(identity, 0) + 1
        self.record("%s runs %s adapter %s last event %r" % (
            self.instance, identity, adapter, head.get("last-event-id")))
        lines = ["HTTP/1.1 200 OK"]
        headers = dict(self.stamp(identity))
        headers["Content-Type"] = "text/event-stream"
        headers["Transfer-Encoding"] = "chunked"
        lines += ["%s: %s" % each for each in headers.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        first = int(head.get("last-event-id", "0") or 0) + 1
        self.running += 1
        try:
            for event in range(first, self.events + 1):
                await asyncio.sleep(self.gap)
                await self.audible()
                self.chunk(writer, self.event_text(identity, event))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            self.running -= 1
        return True

    @staticmethod
    def event_text(identity, event):
        return ("id: %d\ndata: %s piece %d\n\n" % (event, identity,
                                                   event)).encode()

    @staticmethod
    def chunk(writer, data):
        writer.write(b"%x\r\n" % len(data) + data + b"\r\n")


# The programs under test.


def commands():
    with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
        roles = tomllib.load(file)["roles"]
    return {name: role["run"].split(" ") for name, role in roles.items()}


def free_ports(ip, count):
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind((ip, 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


BOUNDS = {
    "SeedLagS": 3, "ReuseAfterS": 2, "StableMs": 3000, "AckMs": 4000,
    "CatchUpS": 4, "DrainMs": 2000, "GraceS": 8, "LossSlackMs": 200,
    "ConfigApplyMs": 2000, "DowngradeMs": 250, "SkewMaxMs": 5000,
    "RetryRatio": 0.2, "BudgetWindowS": 10, "BudgetExtra": 52, "RecoverS": 12,
    "PassMs": 120, "RetryAfterS": 0, "RequireFence": True, "LeaseMs": 3000,
    "ThawMs": 300, "CeilingWindowS": 5, "OriginOverage": 1.1,
    "version_ms": 5000}
CONTRACTS = ["base", "drain", "config", "cost", "retry", "recover", "fleet",
             "stream", "engine", "platform"]
ZONE = "digha-north"


class Program:
    """A gateway or a sidecar with its own settings file and address."""

    def __init__(self, fleet, role, ip, app=None, service=None):
        self.fleet = fleet
        self.role = role
        self.ip = ip
        self.app = app
        self.service = service
        self.process = None
        self.ports = free_ports(ip, 3)
        self.name = "%s-%s" % ("front" if role == "gateway" else "side",
                               ip.replace(".", "-"))

    @property
    def front(self):
        return self.ip, self.ports[0]

    @property
    def ready(self):
        return self.ip, self.ports[1]

    @property
    def control(self):
        return self.ip, self.ports[2]

    def settings(self):
        gateway = self.role == "gateway"
        listen = {}
        if gateway:
            listen = dict(zip(("Front", "Ready", "Control"),
                              ("%s:%d" % (self.ip, p) for p in self.ports)))
        limits = {"CpuShare": 0.19 if gateway else 0.2, "Cores": 1,
                  "MemoryMb": 260 if gateway else 192,
                  "MaxFds": 4200 if gateway else 4096,
                  "LinkMbps": 1000.0 if gateway else 2000.0, "DiskMb": 0}
        limits.update(self.fleet.limits)
        result = {
            "Node": self.name, "Role": self.role,
            "Class": "front" if gateway else "side",
            "Serves": ["front", "control"] if gateway else ["side"],
            "Ip": self.ip, "Zone": ZONE, "Region": "bengal-coast",
            "Zones": {ZONE: "bengal-coast"}, "Listen": listen,
            "InternalPorts": self.fleet.internal, "Seeds": [],
            "Bootstrap": True, "LossCounted": False, "Limits": limits,
            "DataDir": None, "Discovery": "platform", "Entry": "vip",
            "BeatIntervalMs": 1200, "Contracts": CONTRACTS,
            "Tolerate": {"Machines": 2, "Zones": 0, "Regions": 0},
            "Bounds": BOUNDS,
            "Provider": {"Addr": self.fleet.provider, "form": "read",
                         "WritesPerS": 400, "ReadsPerS": 2000, "HistoryS": 20,
                         "ValueBytes": 1048576, "TtlMinMs": 1000}}
        if self.app:
            result["app"] = self.app
            result["Service"] = self.service
        return result

    def start(self):
        path = os.path.join(self.fleet.folder, self.name + ".yaml")
        with open(path, "w") as file:
            json.dump(self.settings(), file)
        log = open(os.path.join(self.fleet.folder, self.name + ".log"), "ab")
        environment = {k: v for k, v in os.environ.items()
                       if k in ("PATH", "HOME", "LANG")}
        environment["COMFREYSPRING_CONFIG"] = path
        words = commands()[self.role]
        self.process = subprocess.Popen(
            [os.path.join(ROOT, words[0])] + words[1:], cwd=ROOT,
            env=environment, stdout=log, stderr=log,
            preexec_fn=self.set_descriptor_limit)
        log.close()
        self.fleet.record("start %s" % self.name)

    def set_descriptor_limit(self):
        """Gives the program the descriptors that its settings name."""
        limit = self.settings()["Limits"]["MaxFds"]
        _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (min(limit, hard), hard))

    def signal(self, number):
        self.fleet.record("signal %s to %s" % (signal.Signals(number).name,
                                               self.name))
        self.process.send_signal(number)

    def ended(self):
        return self.process.poll() is not None

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process:
            self.process.wait()

    def peak_kib(self):
        with open("/proc/%d/status" % self.process.pid) as file:
            for line in file:
                if line.startswith("VmHWM"):
                    return int(line.split()[1])
        return 0

    def log(self):
        path = os.path.join(self.fleet.folder, self.name + ".log")
        with open(path, errors="replace") as file:
            return file.read()


class Fleet:
    def __init__(self, case_folder):
        self.record = Record(case_folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.programs = []
        self.helpers = []
        self.servers = []
        self.limits = {}
        self.internal = None
        self.provider = None
        self.store = None

    async def open(self, first_ip="127.0.7.1"):
        low = free_ports("127.0.0.1", 1)[0]
        self.internal = [low, low + 1]
        self.store = await Store("127.0.7.250").start()
        self.provider = self.store.address
        self.servers.append(self.store)

    def program(self, role, ip, app=None, service=None):
        made = Program(self, role, ip, app, service)
        self.programs.append(made)
        return made

    async def add(self, server):
        await server.start()
        self.servers.append(server)
        return server

    def close(self):
        for program in self.programs:
            program.end()
        for helper in self.helpers:
            if helper.returncode is None:
                helper.kill()
        for server in self.servers:
            server.stop()
        keep = os.environ.get("REVIEW_KEEP")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    async def until_ready(self, gateway, limit=10.0):
        ends = now() + limit
        while now() < ends:
            try:
                got = await ask(gateway.ready, "GET", "/v1/readyz", {}, b"",
                                1.0)
                if got.status == 200:
                    return True
            except OSError:
                pass
            await asyncio.sleep(0.1)
        return False


def configuration(version, plain="desk", model=None, more=(), places=6,
                  slots=8):
    routes = [
        {"Name": "r-order", "Host": "h.example", "Prefix": "/order/",
         "Kind": "non_idempotent", "TimeoutMs": 1000, "GoalMs": 150,
         "Priority": 2, "Service": plain, "Attempts": 1},
        {"Name": "r-look", "Host": "h.example", "Prefix": "/look/",
         "Kind": "idempotent", "TimeoutMs": 1000, "GoalMs": 150,
         "Priority": 2, "Service": plain, "Attempts": 2}]
    services = [{"Name": plain, "HealthPath": "/healthz", "MaxConns": 96,
                 "Protocol": "h1", "Tls": False}]
    if model:
        routes += [
            {"Name": "r-live", "Host": "h.example", "Prefix": "/live/",
             "Kind": "stream", "TimeoutMs": 15000, "GoalMs": 600,
             "Priority": 0, "Service": model, "Attempts": 2, "Sticky": True,
             "Resumable": True, "GapTargetMs": 250},
            {"Name": "r-draft", "Host": "h.example", "Prefix": "/draft/",
             "Kind": "stream", "TimeoutMs": 20000, "GoalMs": 1000,
             "Priority": 0, "Service": model, "Attempts": 1, "Sticky": True,
             "Resumable": False, "GapTargetMs": 250}]
        services.append(
            {"Name": model, "HealthPath": "/healthz", "MaxConns": 360,
             "Protocol": "h1", "Tls": False,
             "Engine": {"Slots": slots, "KvCapacity": 154842,
                        "KvTokenBytes": 327680, "Stride": 5, "MaxCount": 12,
                        "Models": [{"Name": "m", "WeightsSize": 65100.0,
                                    "LoadS": 1.9, "Adapters": 3000,
                                    "AdapterMb": 12.0}],
                        "WeightsSize": 66800.0, "AdapterSlots": places,
                        "LoadsPerS": 4.4}})
    result = {"Version": version, "Routes": routes + list(more),
              "Services": services,
              "Limits": {"HeaderBytes": 16384, "BodyBytes": 4194304,
                         "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}}
    return result


# Clients.


class Answer:
    def __init__(self, status=0, headers=None, body=b"", complete=False,
                 error=""):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.complete = complete
        self.error = error

    def __str__(self):
        return "%d stamp %s %s%s, %d bytes" % (
            self.status, self.headers.get("server-stamp", "none"),
            "whole" if self.complete else "cut",
            " (%s)" % self.error if self.error else "", len(self.body))


async def read_answer(reader):
    try:
        head = await read_head(reader)
        if head is None:
            return Answer(error="closed without an answer")
        status = int(head.first.split(" ")[1])
        answer = Answer(status, head.headers)
        if "chunked" in head.get("transfer-encoding").lower():
            while True:
                line = await reader.readline()
                if not line.strip():
                    answer.error = "cut"
                    return answer
                size = int(line.split(b";")[0], 16)
                if size == 0:
                    await reader.readline()
                    answer.complete = True
                    return answer
                answer.body += await reader.readexactly(size)
                await reader.readline()
        length = head.headers.get("content-length")
        if length is None:
            answer.body = await reader.read()
        else:
            answer.body = await reader.readexactly(int(length))
        answer.complete = True
        return answer
    except (ConnectionError, asyncio.IncompleteReadError) as failure:
        return Answer(error=type(failure).__name__)


def request_bytes(method, target, headers, body=b""):
    lines = ["%s %s HTTP/1.1" % (method, target)]
    names = {name.lower() for name in headers}
    if "host" not in names:
        lines.append("Host: h.example")
    lines += ["%s: %s" % each for each in headers.items()]
    if (body or method == "POST") and "transfer-encoding" not in names:
        lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def ask(address, method, target, headers, body, limit):
    reader, writer = await asyncio.wait_for(
        asyncio.open_connection(*address, limit=1 << 20), limit)
    try:
        writer.write(request_bytes(method, target, headers, body))
        await writer.drain()
        return await asyncio.wait_for(read_answer(reader), limit)
    except asyncio.TimeoutError:
        return Answer(error="no answer in time")
    finally:
        writer.close()


numbers = itertools.count(1)


def new_id(prefix="c"):
    return "%s-%06d" % (prefix, next(numbers))


def run_case(folder, run):
    """Runs a case and ends with its exit code, 2 for an error of its own."""
    async def whole():
        # A time limit from outside ends the programs too.
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, asyncio.current_task().cancel)
        fleet = Fleet(folder)
        try:
            return await run(fleet)
        finally:
            fleet.close()

    try:
        code = asyncio.run(whole())
    except (Exception, asyncio.CancelledError):
        traceback.print_exc()
        code = 2
    sys.exit(code)
