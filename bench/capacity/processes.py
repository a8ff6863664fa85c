"""Starts the programs under test, reads their resource usage and publishes
configurations."""

import json
import os
import pathlib
import re
import subprocess
import tempfile
import time
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parents[2]
BUILD = ROOT / "build"
ENTRY = BUILD / "src/entry/comfreyspring_entry"
AGENT = BUILD / "src/agent/comfreyspring_agent"
CTL = BUILD / "src/ctl/comfreyspringctl"
PLATFORM = BUILD / "standins/platform/standin_platform"
ENGINE = BUILD / "standins/standin_engine"
SERVICE = BUILD / "standins/standin_service"
LOAD = BUILD / "bench/load/comfreyspring_load"
FAKE_AGENTS = BUILD / "bench/capacity/fake_agents"
FAKE_ENTRIES = BUILD / "bench/capacity/fake_entries"
SEED = 20261204
SHEET_COLUMNS = ("record,name,model,versions,default_version,pattern,priority,"
                 "deadline_ms,repeatable,endpoint,starts_at,ends_at,"
                 "drain_seconds")
FLEET_COLUMNS = ("endpoint,vm,kind,data_centre,address,agent_port,model,"
                 "service,checks_fencing")


def http(method, url, body=None, timeout=20):
    data = body.encode() if isinstance(body, str) else body
    request = urllib.request.Request(url, data=data, method=method)
    with urllib.request.urlopen(request, timeout=timeout) as response:
        return response.read()


class Process:
    """A running program; its CPU time and memory are read from /proc."""

    def __init__(self, bench, name, arguments):
        self.name = name
        self.out = bench.directory / f"{name}.out"
        self.log = bench.directory / f"{name}.log"
        with self.out.open("w") as out, self.log.open("w") as log:
            self.child = subprocess.Popen([str(a) for a in arguments],
                                          stdout=out, stderr=log)

    def wait_until_listening(self):
        for _ in range(400):
            found = re.search(r"^listening.*\n", self.out.read_text(), re.M)
            if found:
                return found.group(0).split()
            if self.child.poll() is not None:
                break
            time.sleep(0.05)
        raise RuntimeError(f"{self.name} did not report that it listens: "
                           f"{self.log.read_text()[-600:]}")

    def cpu(self):
        """CPU time in seconds, from the nanosecond count in schedstat."""
        with open(f"/proc/{self.child.pid}/schedstat") as file:
            return int(file.read().split()[0]) / 1e9

    def memory(self):
        """Resident set size in bytes."""
        with open(f"/proc/{self.child.pid}/statm") as file:
            return int(file.read().split()[1]) * os.sysconf("SC_PAGESIZE")

    def peak_memory(self):
        """Peak resident set size in bytes since the start."""
        with open(f"/proc/{self.child.pid}/status") as file:
            return int(re.search(r"VmHWM:\s+(\d+) kB", file.read())[1]) * 1024

    def state(self):
        return json.loads(http("GET", self.url + "/debug/state"))

    def link_bytes(self):
        """Bytes (sent, received), with websocket framing, without TCP/IP."""
        links = self.state()["links"]
        links = links["entries"] if isinstance(links, dict) else links
        return (sum(link.get("sent_bytes", 0) for link in links),
                sum(link.get("received_bytes", 0) for link in links))

    def end(self):
        """Stops the process and returns its last line of output."""
        if self.child.poll() is None:
            self.child.terminate()
            try:
                self.child.wait(5)
            except subprocess.TimeoutExpired:
                self.child.kill()
                self.child.wait()
        lines = self.out.read_text().splitlines()
        return lines[-1] if lines else ""


class Bench:
    """A set of processes with a temporary directory; kills them on exit."""

    def __enter__(self):
        self.temporary_directory = tempfile.TemporaryDirectory(
            prefix="capacity-")
        self.directory = pathlib.Path(self.temporary_directory.name)
        self.processes = []
        self.seeds_issued = 0
        return self

    def __exit__(self, *_):
        for process in self.processes:
            if process.child.poll() is None:
                process.child.kill()
                process.child.wait()
        self.temporary_directory.cleanup()

    def next_seed(self):
        """Returns a different seed for each process. Entries with equal seeds
        create equal request ids in the same millisecond, and agents identify
        attempts by id only."""
        self.seeds_issued += 1
        return SEED + self.seeds_issued

    def start(self, name, *arguments):
        process = Process(self, name, arguments)
        self.processes.append(process)
        process.ready_words = process.wait_until_listening()
        return process

    def compile(self, sheet_rows, fleet_rows, generation):
        """Compiles CSV rows; returns the directory with the documents."""
        sheet = self.directory / "sheet.csv"
        fleet = self.directory / "fleet.csv"
        out = self.directory / f"documents-{generation}"
        sheet.write_text("\n".join([SHEET_COLUMNS, *sheet_rows]) + "\n")
        fleet.write_text("\n".join([FLEET_COLUMNS, *fleet_rows]) + "\n")
        result = subprocess.run(
            [str(CTL), "sheet", "compile", f"--sheet={sheet}",
             f"--fleet={fleet}", f"--out={out}",
             f"--generation={generation}"], capture_output=True, text=True)
        if result.returncode != 0:
            raise RuntimeError(result.stdout + result.stderr)
        return out

    def platform(self, documents):
        process = self.start("platform", PLATFORM, "--port=0",
                             f"--config_directory={documents}")
        process.url = f"http://127.0.0.1:{process.ready_words[-1]}"
        return process

    def entry(self, platform, name="entry-1", data_centre="dc-1"):
        process = self.start(name, ENTRY, "--port=0", f"--process_id={name}",
                             f"--data_centre={data_centre}",
                             f"--platform_url={platform.url}",
                             f"--seed={self.next_seed()}")
        process.url = f"http://127.0.0.1:{process.ready_words[-1]}"
        return process

    def engine(self, name, *flags):
        process = self.start(name, ENGINE, "--port=0", *flags)
        process.url = f"http://127.0.0.1:{process.ready_words[-1]}"
        return process

    def service(self, name):
        process = self.start(name, SERVICE, "--port=0")
        process.url = f"http://127.0.0.1:{process.ready_words[-1]}"
        return process

    def agent(self, endpoint, served, link_port=0, kind="engine",
              data_centre="dc-1", vm=None, flags=()):
        process = self.start(
            f"agent-{endpoint}", AGENT, f"--endpoint_id={endpoint}",
            f"--vm_id={vm or 'vm-' + endpoint}",
            f"--data_centre={data_centre}", f"--link_port={link_port}",
            "--admin_port=0", f"--endpoint_kind={kind}",
            f"--endpoint_url={served.url}", f"--seed={self.next_seed()}",
            *flags)
        ports = dict(word.split("=") for word in process.ready_words[1:])
        process.link_port = int(ports["link"])
        process.url = f"http://127.0.0.1:{ports['admin']}"
        return process

    def fake_entries(self, name, agent, *flags):
        return self.start(name, FAKE_ENTRIES,
                          f"--agent_port={agent.link_port}",
                          f"--seed={SEED}", *flags)


def publish(platform, documents):
    """Uploads the parts, then the manifest; returns the part sizes in bytes."""
    sizes = {}
    for part in sorted((documents / "parts").iterdir()):
        sizes[part.name] = part.stat().st_size
        http("PUT", f"{platform.url}/standin/config/part/{part.name}",
             part.read_bytes())
    http("PUT", f"{platform.url}/standin/config/manifest",
         (documents / "manifest.json").read_bytes())
    return sizes


def wait_for(check, limit=40, what="condition"):
    end = time.monotonic() + limit
    while time.monotonic() < end:
        try:
            if check():
                return
        except OSError:
            pass
        time.sleep(0.1)
    raise RuntimeError(f"timed out after {limit} s waiting for {what}")


def adapters(count, versions="v1", model="base"):
    return [f"adapter,adapter-{number:04d},{model},{versions},"
            f"{versions.split()[-1]},,,,,,,," for number in range(count)]


def fleet(first_port, count, data_centre="dc-1"):
    return [f"engine-{number},vm-{number},engine,{data_centre},127.0.0.1,"
            f"{first_port + number},base,,yes" for number in range(count)]
