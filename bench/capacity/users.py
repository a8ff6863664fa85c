"""Measures real processes on loopback at the sizes of both deployments."""

import concurrent.futures
import csv
import http.client
import json
import statistics
import time

import entry_slopes
import processes as p
from tables import table

MB = 1e6
ENTRIES = 3


def platform_calls():
    """Counts the calls of one entry to the platform when nothing changes."""
    with p.Bench() as bench:
        documents = bench.compile(["model,base,,,,,,,,,,,", *p.adapters(100)],
                                  p.fleet(26300, 12), 1)
        platform = bench.platform(documents)
        bench.start("fake-agents", p.FAKE_AGENTS, "--count=12",
                    "--first_port=26300")
        bench.entry(platform)
        time.sleep(3)
        read = lambda: json.loads(p.http("GET",
                                         platform.url + "/standin/calls"))
        first, begin = read(), time.monotonic()
        time.sleep(52)
        last, seconds = read(), time.monotonic() - begin
        rows = [[kind, last.get(kind, 0) - first.get(kind, 0),
                 (last.get(kind, 0) - first.get(kind, 0)) / seconds]
                for kind in ("config", "vms")]
        rows.append(["watches pending", last["waiting_watches"],
                     float(last["waiting_watches"])])
    return "Platform: calls of one idle reader", table(
        ["kind", f"calls in {seconds:.0f} s", "calls/s"], rows)


class Fleet:
    """Processes of one deployment; adapters are renamed to match the load."""

    def __init__(self, bench, name, first_port, token_ms):
        self.bench = bench
        folder = p.ROOT / "deployments" / name
        with (folder / "fleet.csv").open() as file:
            self.endpoints = list(csv.DictReader(file))
        sheet = [line for line in
                 (folder / "sheet.csv").read_text().splitlines()[1:]
                 if not line.startswith("rule,")]
        self.adapters = 0
        for index, line in enumerate(sheet):
            if line.startswith("adapter,"):
                cells = line.split(",")
                cells[1] = f"adapter-{self.adapters:04d}"
                sheet[index] = ",".join(cells)
                self.adapters += 1
        rows = []
        for index, row in enumerate(self.endpoints):
            row.update(address="127.0.0.1", agent_port=first_port + index)
            rows.append(",".join(str(value or "") for value in row.values()))
        self.platform = bench.platform(bench.compile(sheet, rows, 1))
        self.start_endpoints(token_ms)
        centres = list(dict.fromkeys(r["data_centre"] for r in self.endpoints))
        self.entries = [bench.entry(self.platform, f"entry-{number + 1}",
                                    centres[number])
                        for number in range(ENTRIES)]
        vms = [{"id": row["vm"], "state": "live"} for row in self.endpoints]
        p.http("PUT", self.platform.url + "/standin/vms",
               json.dumps({"vms": vms}))
        for entry in self.entries:
            p.wait_for(lambda e=entry: entry_slopes.open_links(e)
                       == len(self.endpoints), what="links")

    def start_endpoints(self, token_ms):
        self.engines, self.agents = [], []
        for row in self.endpoints:
            name, is_engine = row["endpoint"], row["kind"] == "engine"
            if is_engine:
                served = self.bench.engine(
                    name, "--slots=8", "--batch_limit=16",
                    f"--model={row['model']}", f"--token_ms={token_ms}",
                    f"--checks_fencing={row['checks_fencing'] or 'no'}",
                    f"--weights_url={self.platform.url}/weights")
                self.engines.append(served)
            else:
                served = self.bench.service(name)
            self.agents.append(self.bench.agent(
                name, served, row["agent_port"], row["kind"],
                row["data_centre"], row["vm"]))

    def entries_and_agents(self):
        return self.entries + self.agents


def measure(processes, seconds=None, work=None):
    """Runs `work` or sleeps; returns CPU ms/s, MB and link B/s per process."""
    bytes0 = [sum(process.link_bytes()) for process in processes]
    cpu0, begin = [x.cpu() for x in processes], time.monotonic()
    result = work() if work else time.sleep(seconds)
    cpu1, elapsed = [x.cpu() for x in processes], time.monotonic() - begin
    memory = [x.memory() for x in processes]
    bytes1 = [sum(process.link_bytes()) for process in processes]
    rows = [[1e3 * (b - a) / elapsed, m / MB, (y - x) / elapsed]
            for a, b, m, x, y in zip(cpu0, cpu1, memory, bytes0, bytes1)]
    return rows, elapsed, result


def per_role(rows, label):
    entries, agents = rows[:ENTRIES], rows[ENTRIES:]
    lines = []
    for role, part in (("entry", entries), ("agent", agents)):
        lines.append([label, role,
                      *(statistics.mean(r[i] for r in part) for i in range(3)),
                      *(max(r[i] for r in part) for i in range(3))])
    return lines


def run_load(entries, requests, concurrency, tokens, adapters, limit):
    with concurrent.futures.ThreadPoolExecutor(len(entries)) as pool:
        return list(pool.map(
            lambda entry: entry_slopes.load(entry, requests, concurrency,
                                            tokens, adapters, limit), entries))


def load_row(label, results, elapsed, cpu_rows):
    done = sum(r["succeeded"] for r in results)
    errors = {}
    for result in results:
        for status, count in result["errors_by_status"].items():
            errors[status] = errors.get(status, 0) + count
        if result["unfinished_requests"]:
            errors["unfinished"] = (errors.get("unfinished", 0)
                                    + result["unfinished_requests"])
    total = sum(r[0] for r in cpu_rows) * elapsed
    return [label, done, json.dumps(errors), done / elapsed,
            max(r["first_byte_p50_ms"] for r in results),
            max(r["first_byte_p99_ms"] for r in results),
            1e3 * total / max(1, done)]


def first_byte(connection, path, body):
    """Seconds from sending to the first byte of the response body."""
    begin = time.perf_counter()
    connection.request("POST", path, json.dumps(body),
                       {"Content-Type": "application/json"})
    response = connection.getresponse()
    response.read(1)
    elapsed = time.perf_counter() - begin
    response.read()
    if response.status != 200:
        raise RuntimeError(f"{path} returned HTTP status {response.status}")
    return elapsed


def connect(process):
    return http.client.HTTPConnection(process.url.removeprefix("http://"),
                                      timeout=20)


def added_latency(fleet, pairs=400):
    """Median ms to the first byte through entry and agent, and directly;
    alternates between the two."""
    entry = connect(fleet.entries[0])
    model = "adapter-0000"
    body = {"model": model, "prompt": "x", "max_tokens": 2, "stream": True}
    for _ in range(20):
        first_byte(entry, "/v1/completions", body)
    engine, status = resident_engine(fleet, model)
    direct = connect(engine)
    version = next(r["version"] for r in status["resident"]
                   if r["adapter"] == model)
    through, alone = [], []
    for number in range(pairs):
        through.append(first_byte(entry, "/v1/completions", body))
        alone.append(first_byte(direct, "/v1/completions", {
            "request_id": f"direct-{number}", "adapter": model,
            "version": version, "prompt": "x", "max_tokens": 2,
            "priority": "urgent",
            "fencing_number": status["fencing_number"]}))
    return 1e3 * statistics.median(through), 1e3 * statistics.median(alone)


def resident_engine(fleet, model):
    for engine in fleet.engines:
        status = json.loads(p.http("GET", engine.url + "/status"))
        if any(r["adapter"] == model for r in status["resident"]):
            return engine, status
    raise RuntimeError(f"{model} is not resident on any engine")


def deployment(name):
    offset = 27000 if name == "repair-agency" else 27100
    resources, loads = [], []
    with p.Bench() as bench:
        fleet = Fleet(bench, name, offset, token_ms=1)
        through, alone = added_latency(fleet)
    with p.Bench() as bench:
        fleet = Fleet(bench, name, offset + 50, token_ms=10)
        time.sleep(3)
        rows, _, _ = measure(fleet.entries_and_agents(), seconds=15)
        resources += per_role(rows, "idle")
        for label, count, limit in (("60 adapters", 60, 20),
                                    ("all adapters", fleet.adapters, 20)):
            work = lambda: run_load(fleet.entries, 3000, 32, 16, count, limit)
            rows, elapsed, results = measure(fleet.entries_and_agents(),
                                             work=work)
            resources += per_role(rows, label)
            loads.append(load_row(label, results, elapsed, rows))
    text = (f"{len(fleet.endpoints)} endpoints with agents, {ENTRIES} entries, "
            f"{fleet.adapters} adapters.\n\n")
    text += table(["phase", "role", "processor ms/s mean", "MB mean",
                   "link B/s mean, both directions", "processor ms/s max",
                   "MB max", "link B/s max"], resources) + "\n"
    text += table(["load (96 open, 16 tokens, 10 ms/token)", "succeeded",
                   "errors", "requests/s", "first byte p50 ms (worst entry)",
                   "first byte p99 ms", "processor us/request, all our processes"],
                  loads) + "\n"
    text += (f"First byte with 1 ms/token, 400 pairs, median: through entry "
             f"and agent {through:.3f} ms, engine alone {alone:.3f} ms, added "
             f"{through - alone:.3f} ms.\n")
    return f"Users' size: {name}", text
