"""Starts the project's programs as processes beside stand-ins, on loopback."""

import asyncio
import json
import os
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from . import http11
from .engine import answer_text, event_text
from .store import Store

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2

# The figures of the small deployments.
BOUNDS = {
    "SeedLagS": 3, "ReuseAfterS": 2, "StableMs": 3000, "AckMs": 4000,
    "CatchUpS": 4, "DrainMs": 2000, "GraceS": 8, "LossSlackMs": 200,
    "ConfigApplyMs": 2000, "DowngradeMs": 250, "SkewMaxMs": 5000,
    "RetryRatio": 0.2, "BudgetWindowS": 10, "BudgetExtra": 52,
    "RecoverS": 12, "PassMs": 120, "RetryAfterS": 0, "RequireFence": True,
    "LeaseMs": 3000, "ThawMs": 300, "CeilingWindowS": 5,
    "OriginOverage": 1.1, "version_ms": 5000,
}
ROLES = {"gateway": "front", "sidecar": "side"}


def read_roles(path):
    """The command and the interfaces of each role of the deploy file."""
    roles = {}
    role = None
    for line in path.read_text().splitlines():
        name = line.strip()
        if name.startswith("["):
            role = roles.setdefault(name.strip("[]").split(".")[-1], {})
        key, _, value = line.partition(" = ")
        if role is not None and key in ("run", "serves"):
            role[key] = json.loads(value)
    return roles


class CannotRun(Exception):
    """The case could not be played."""


class Outcome:
    """What a client got for one attempt."""

    def __init__(self, request_id):
        self.id = request_id
        self.sent_at = time.monotonic()
        self.status = 0
        self.headers = {}
        self.body = b""
        self.complete = False
        self.error = ""

    def __str__(self):
        end = "complete" if self.complete else f"cut ({self.error})"
        return f"status {self.status} {end}, {len(self.body)} bytes"


class Fleet:
    def __init__(self, folder):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = Path(folder)
        self.started = time.monotonic()
        self.file = open(self.folder / "record.txt", "w", encoding="utf-8")
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.processes = {}
        self.deploy = read_roles(ROOT / "deploy/system.toml")
        self._choose_addresses()
        self.store = Store(self.host(1), self.ports["store"])
        self.record(f"trouble: {self.trouble}")

    # Addresses.

    def _choose_addresses(self):
        """Takes a /24 of loopback and ports that are free on it."""
        for _ in range(50):
            self.network = f"127.{random.randint(64, 250)}.{random.randint(1, 250)}."
            base = random.randint(20000, 30000)
            names = ("front", "ready", "control", "internal", "admin",
                     "engine", "store", "metrics")
            self.ports = {name: base + i for i, name in enumerate(names)}
            try:
                for port in self.ports.values():
                    for number in (1, 10, 11, 100, 101):
                        with socket.socket() as probe:
                            probe.bind((self.host(number), port))
                return
            except OSError:
                continue
        raise CannotRun("no free loopback ports")

    def host(self, number):
        return self.network + str(number)

    # Record.

    def record(self, text):
        self.file.write(f"{time.monotonic() - self.started:8.3f} {text}\n")
        self.file.flush()

    # Processes.

    def start(self, role, number, host, **more):
        """Starts a program with the deploy file's command."""
        ports = self.ports
        is_gateway = role == "gateway"
        name = f"{role}-{number}"
        command = shlex.split(self.deploy[role]["run"])
        if not (ROOT / command[0]).exists():
            raise CannotRun(f"{command[0]} is missing; run the deploy build")
        at = {key: f"{host}:{port}" for key, port in ports.items()}
        control = f"{self.host(10)}:{ports['control']}"
        settings = {
            "Node": name, "Role": role, "Class": ROLES[role],
            "Serves": self.deploy[role]["serves"], "Ip": host, "Zone": "z1",
            "Region": "r1", "Zones": {"z1": "r1"},
            "Listen": {"Front": at["front"], "Ready": at["ready"],
                       "Control": at["control"]} if is_gateway else {},
            "InternalPorts": [ports["internal"], ports["admin"]],
            "Seeds": [control], "Bootstrap": True, "LossCounted": False,
            "Limits": {"CpuShare": 0.2, "Cores": 1, "MemoryMb": 260,
                       "MaxFds": 4100, "LinkMbps": 1000.0, "DiskMb": 0},
            "DataDir": None, "Discovery": "platform", "Entry": "vip",
            "BeatIntervalMs": 1200,
            "Contracts": ["base", "drain", "config", "cost", "retry", "recover",
                          "fleet", "stream", "engine", "platform"],
            "Tolerate": {"Machines": 2, "Zones": 0, "Regions": 0},
            "Bounds": BOUNDS,
            "Provider": {"Addr": f"{self.store.ip}:{self.store.port}",
                         "form": "read", "WritesPerS": 400, "ReadsPerS": 2000,
                         "HistoryS": 20, "ValueBytes": 1048576,
                         "TtlMinMs": 1000},
            **more,
        }
        path = Path(self.temporary.name) / f"{name}.settings"
        path.write_text(json.dumps(settings))
        environment = {
            "PATH": os.environ.get("PATH", ""), "COMFREYSPRING_CONFIG": str(path),
            "COMFREYSPRING_METRICS_PORT": str(ports["metrics"]),
        }
        log = open(Path(self.temporary.name) / f"{name}.log", "ab")
        process = subprocess.Popen(
            [str(ROOT / command[0]), *command[1:]], cwd=ROOT, env=environment,
            stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        self.processes[name] = process
        self.record(f"started {name}")

    def start_gateway(self, number):
        self.start("gateway", number, self.host(10 + number))

    def start_sidecar(self, number, engine):
        self.start("sidecar", number, engine.ip,
                   app=f"{engine.ip}:{engine.port}", Service=engine.service)

    def signal(self, name, number):
        self.processes[name].send_signal(number)
        self.record(f"sent {signal.Signals(number).name} to {name}")

    def kill(self, name):
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def log_of(self, name):
        path = Path(self.temporary.name) / f"{name}.log"
        return path.read_text(errors="replace")

    def stop_processes(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()

    def stop_all(self):
        self.stop_processes()
        keep = os.environ.get("REVIEW_LOGS")
        if keep:
            for name in self.processes:
                Path(keep, f"{name}.log").write_text(self.log_of(name))
        self.temporary.cleanup()

    async def wait_ready(self, number, limit_s=10):
        """The platform's question, until the gateway is ready."""
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            answer = await self.call(
                self.host(10 + number), self.ports["ready"],
                b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n", "ready", 1.0)
            if answer.status == 200:
                self.record(f"gateway-{number} is ready")
                return True
            await asyncio.sleep(0.05)
        return False

    # Clients.

    async def call(self, ip, port, data, request_id, limit_s, stream=None):
        """Sends bytes on a new connection and reads one answer."""
        outcome = Outcome(request_id)
        writer = None

        async def exchange():
            nonlocal writer
            reader, writer = await asyncio.open_connection(ip, port)
            writer.write(data)
            head = await http11.read_head(reader)
            if head is None:
                raise http11.Broken("closed without an answer")
            outcome.headers = head[1]
            outcome.status = int(head[0].split(" ")[1])
            parts = bytearray()
            try:
                await http11.read_body(reader, head[1], parts.extend, True)
                outcome.complete = True
            finally:
                outcome.body = bytes(parts)

        try:
            await asyncio.wait_for(exchange(), limit_s)
        except (http11.Broken, ConnectionError, OSError) as failure:
            outcome.error = str(failure)
        except asyncio.TimeoutError:
            outcome.error = "the client's deadline"
        finally:
            if writer is not None:
                writer.close()
        return outcome

    async def send(self, path, request_id, *, gateway=0, method="POST",
                   headers=None, body=b"work", deadline_ms=3000):
        """One attempt of a client; the answer is recorded."""
        lines = [f"{method} {path} HTTP/1.1", "Host: h.example",
                 f"Request-Id: {request_id}", f"Deadline-Ms: {deadline_ms}",
                 f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
        data = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
        self.record(f"client sends {request_id} {method} {path} "
                    + (headers or {}).get("Model", ""))
        outcome = await self.call(
            self.host(10 + gateway), self.ports["front"], data, request_id,
            deadline_ms / 1e3)
        self.record(f"client got {request_id}: {outcome}")
        return outcome

    # Configuration.

    def configure(self, version, routes, services):
        self.record(f"operator writes configuration {version}")
        self.store.put("op/config", {
            "Version": version, "Routes": routes, "Services": services,
            "Limits": {"HeaderBytes": 16384, "BodyBytes": 4194304,
                       "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}})


def route(name, kind, service, **more):
    return {"Name": name, "Host": "h.example", "Prefix": f"/{name}/",
            "Kind": kind, "TimeoutMs": 15000, "GoalMs": 600, "Priority": 0,
            "Service": service, "Attempts": 2, **more}


def plain_service(name):
    return {"Name": name, "HealthPath": "/healthz", "MaxConns": 96,
            "Protocol": "h1", "Tls": False}


def model_service(name, slots, adapter_slots, adapters=3000):
    return {"Name": name, "HealthPath": "/healthz", "MaxConns": 360,
            "Protocol": "h1", "Tls": False, "Engine": {
                "Slots": slots, "KvCapacity": 100000, "Stride": 5,
                "Models": [{"Name": "m", "WeightsSize": 65100.0, "LoadS": 1.9,
                            "Adapters": adapters, "AdapterMb": 12.0}],
                "WeightsSize": 66800.0, "AdapterSlots": adapter_slots,
                "LoadsPerS": 4.4}}


def is_whole(outcome, events=None):
    """Whether a success is the engine's whole answer to this request."""
    if events is None:
        return outcome.body == answer_text(outcome.id)
    return outcome.body == b"".join(
        event_text(outcome.id, number) for number in range(1, events + 1))


def play(folder, case, limit_s=110.0):
    """Plays a case, which returns HELD or BROKEN, and exits with it."""
    fleet = None
    result = NOT_RUN
    # A stop from outside must end the processes too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    try:
        fleet = Fleet(folder)

        async def run():
            await fleet.store.start()
            try:
                return await asyncio.wait_for(case(fleet), limit_s)
            finally:
                # Before the sockets of the stand-ins, so that nothing is
                # judged after the end.
                fleet.stop_processes()
                await fleet.store.stop()

        result = asyncio.run(run())
        word = {HELD: "the rule held", BROKEN: "the rule was broken"}[result]
        fleet.record(f"result: {word}")
        print(word)
    except (CannotRun, OSError, asyncio.TimeoutError) as failure:
        print(f"could not run: {failure!r}")
        if fleet is not None:
            fleet.record(f"result: could not run: {failure!r}")
    finally:
        if fleet is not None:
            fleet.stop_all()
    sys.exit(result)
