"""Resource slopes of one entry: links, adapters, requests, tokens, open
streams."""

import concurrent.futures
import json
import subprocess
import threading
import time

import processes as p
from tables import fit_line, table

MB = 1e6
# Copies of constants in src/entry/link_controller.{h,cc}; they determine the
# heartbeat period and so the measuring time.
HEARTBEAT_BYTES = 700
HEARTBEAT_BUDGET = 8192


def open_links(entry):
    return sum(link["open"] for link in entry.state()["links"])


def start_entry(bench, count, adapter_count, first_port, *flags):
    documents = bench.compile(
        ["model,base,,,,,,,,,,,"] + p.adapters(adapter_count),
        p.fleet(first_port, count), 1)
    platform = bench.platform(documents)
    agents = bench.start("fake-agents", p.FAKE_AGENTS, f"--count={count}",
                         f"--first_port={first_port}", *flags)
    entry = bench.entry(platform)
    p.wait_for(lambda: open_links(entry) == count, what="links")
    return platform, agents, entry


def links_of(count, first_port):
    with p.Bench() as bench:
        platform, _, entry = start_entry(bench, count, 100, first_port)
        time.sleep(3)
        period = max(1.0, count * HEARTBEAT_BYTES / HEARTBEAT_BUDGET)
        periods = max(1, round(12 / period))
        sent0, received0 = entry.link_bytes()
        memory = entry.memory()
        cpu0, begin = entry.cpu(), time.monotonic()
        time.sleep(periods * period)
        cpu1, end = entry.cpu(), time.monotonic()
        sent1, received1 = entry.link_bytes()
        seconds = end - begin
        heartbeats = periods * count
        # The entry sends a new revision of the VM list to every agent.
        vms = [{"id": f"vm-{number}", "state": "live"}
               for number in range(count)]
        before = entry.link_bytes()[0]
        put = json.loads(p.http("PUT", platform.url + "/standin/vms",
                                json.dumps({"vms": vms})))
        p.wait_for(lambda: entry.state()["membership"]["vm_list_revision"]
                   == put["revision"], what="VM list")
        time.sleep(0.5)
        vm_list_bytes = entry.link_bytes()[0] - before
        return [count, memory / MB, 1e3 * (cpu1 - cpu0) / seconds, period,
                (sent1 - sent0) / seconds, (received1 - received0) / seconds,
                (sent1 - sent0) / heartbeats,
                (received1 - received0) / heartbeats,
                vm_list_bytes, vm_list_bytes / count / count]


def links():
    sizes = [12, 48, 96, 192, 360]
    with concurrent.futures.ThreadPoolExecutor(5) as pool:
        rows = list(pool.map(links_of, sizes,
                             [21000 + 500 * i for i in range(5)]))
    text = table(["links", "memory MB", "processor ms/s", "heartbeat period s",
                  "sent B/s", "received B/s", "sent B/heartbeat",
                  "received B/heartbeat", "sent B per VM list",
                  "B per VM and link"], rows)
    text += fit_line("memory", "MB, x = links", sizes, [r[1] for r in rows])
    text += fit_line("processor", "ms/s, x = links; heartbeats/s are constant "
                     "above 12 links", sizes, [r[2] for r in rows])
    return "Entry: links to agents", text


def generation_of(entry):
    return entry.state()["configuration"].get("generation", 0)


def adopt(bench, platform, entry, agent, documents, generation):
    """Publishes a generation; returns CPU time, bytes and calls to adopt it."""
    # Lets the entry return to its pending watch, with no heartbeat due.
    time.sleep(0.5)
    sent0 = entry.link_bytes()[0]
    received0 = agent.link_bytes()[1]
    calls0 = json.loads(p.http("GET", platform.url + "/standin/calls"))
    cpu0, agent0 = entry.cpu(), agent.cpu()
    sizes = p.publish(platform, documents)
    time.sleep(2.5)
    cpu1, agent1 = entry.cpu(), agent.cpu()
    p.wait_for(lambda: generation_of(entry) == generation
               and generation_of(agent) == generation, what="adoption")
    calls1 = json.loads(p.http("GET", platform.url + "/standin/calls"))
    config_calls = calls1.get("config", 0) - calls0.get("config", 0)
    sent1 = entry.link_bytes()[0]
    received1 = agent.link_bytes()[1]
    return {"entry_ms": 1e3 * (cpu1 - cpu0), "agent_ms": 1e3 * (agent1 - agent0),
            "links_sent": sent1 - sent0, "agent_received": received1 - received0,
            "calls": config_calls, "sizes": sizes}


def adapters_of(count, first_port):
    link_count = 12
    with p.Bench() as bench:
        engine = bench.engine("engine", "--model=base", "--load_ms=1")
        agent = bench.agent("engine-0", engine, first_port)
        head, endpoints = ["model,base,,,,,,,,,,,"], p.fleet(first_port,
                                                            link_count)
        rows = p.adapters(count)
        first = bench.compile(head + rows, endpoints, 1)
        rows[7] = rows[7].replace(",v1,v1,", ",v1 v2,v2,")
        one = bench.compile(head + rows, endpoints, 2)
        every = bench.compile(head + p.adapters(count, "v1 v2"), endpoints, 3)
        platform = bench.platform(first)
        bench.start("fake-agents", p.FAKE_AGENTS, f"--count={link_count - 1}",
                    f"--first_port={first_port + 1}")
        begin_cpu = None
        entry = bench.entry(platform)
        p.wait_for(lambda: open_links(entry) == link_count
                   and generation_of(agent) == 1, what="first adoption")
        begin_cpu = entry.cpu()
        time.sleep(1)
        memory, agent_memory = entry.memory(), agent.memory()
        manifest = (one / "manifest.json").stat().st_size
        first_parts = set(x.name for x in (first / "parts").iterdir())
        second_parts = set(x.name for x in (one / "parts").iterdir())
        a = adopt(bench, platform, entry, agent, one, 2)
        b = adopt(bench, platform, entry, agent, every, 3)
        one_bytes = manifest + sum(s for n, s in a["sizes"].items()
                                   if n not in first_parts)
        all_bytes = manifest + sum(s for n, s in b["sizes"].items()
                                   if n not in second_parts)
        return [count, len(a["sizes"]), memory / MB, entry.memory() / MB,
                agent_memory / MB, agent.memory() / MB, 1e3 * begin_cpu,
                a["entry_ms"], b["entry_ms"], a["agent_ms"], b["agent_ms"],
                one_bytes, all_bytes, a["calls"], b["calls"],
                a["links_sent"] / link_count, b["links_sent"] / link_count,
                a["agent_received"], b["agent_received"]]


def adapters():
    sizes = [3000, 7000, 14000, 28000]
    with concurrent.futures.ThreadPoolExecutor(4) as pool:
        rows = list(pool.map(adapters_of, sizes,
                             [24000 + 50 * i for i in range(4)]))
    text = table(["adapters", "parts", "entry MB", "entry MB after 2 changes",
                  "agent MB", "agent MB after 2 changes",
                  "entry ms of start and first adoption"],
                 [r[:7] for r in rows]) + "\n"
    text += table(["adapters", "entry ms, 1 changed", "entry ms, all changed",
                   "agent ms, 1 changed", "agent ms, all changed",
                   "document B, 1 changed", "document B, all changed",
                   "service calls, 1", "service calls, all",
                   "entry sent B/link, 1", "entry sent B/link, all",
                   "agent received B, 1", "agent received B, all"],
                  [[r[0], *r[7:]] for r in rows])
    for name, column in [("entry memory MB", 2), ("agent memory MB", 4),
                         ("entry ms, 1 changed", 7),
                         ("entry ms, all changed", 8),
                         ("agent ms, 1 changed", 9),
                         ("agent ms, all changed", 10),
                         ("document B, 1 changed", 11),
                         ("document B, all changed", 12)]:
        text += fit_line(name, "x = adapters", sizes, [r[column] for r in rows])
    return "Configuration changes: entry with 12 links (11 fake, 1 real agent)", text


def fan_out_of(count, first_port):
    adapter_count = 28000
    with p.Bench() as bench:
        head, endpoints = ["model,base,,,,,,,,,,,"], p.fleet(first_port, count)
        rows = p.adapters(adapter_count)
        first = bench.compile(head + rows, endpoints, 1)
        rows[7] = rows[7].replace(",v1,v1,", ",v1 v2,v2,")
        one = bench.compile(head + rows, endpoints, 2)
        every = bench.compile(head + p.adapters(adapter_count, "v1 v2"),
                              endpoints, 3)
        platform = bench.platform(first)
        bench.start("fake-agents", p.FAKE_AGENTS, f"--count={count}",
                    f"--first_port={first_port}")
        entry = bench.entry(platform)
        set_bytes = sum(x.stat().st_size for x in (first / "parts").iterdir())
        result = [count]
        for generation, documents in ((1, None), (2, one), (3, every)):
            sent0 = entry.link_bytes()[0] if documents else 0
            cpu0 = entry.cpu() if documents else 0.0
            begin = time.monotonic()
            if documents:
                p.publish(platform, documents)
            all_adopted = lambda: sum(
                item.get("config_generation", 0) == generation
                for item in entry.state()["membership"]["endpoints"]) == count
            p.wait_for(all_adopted, limit=60, what=f"generation {generation}")
            seconds = time.monotonic() - begin
            time.sleep(0.5)
            result += [1e3 * (entry.cpu() - cpu0),
                       (entry.link_bytes()[0] - sent0) / MB,
                       entry.peak_memory() / MB, seconds]
        return result + [set_bytes / MB]


def fan_out():
    sizes = [12, 48, 96, 192, 360]
    rows = [fan_out_of(size, 24400 + 400 * i) for i, size in enumerate(sizes)]
    names = ["processor ms", "sent MB", "peak MB", "wall s"]
    text = ""
    for index, label in enumerate(("start: whole set to every agent",
                                   "one adapter changed",
                                   "all adapters changed")):
        part = [[r[0], *r[1 + 4 * index:5 + 4 * index]] for r in rows]
        text += f"{label}\n\n" + table(["links", *names], part)
        text += fit_line("processor ms", "x = links", sizes,
                         [r[1] for r in part])
        text += fit_line("peak MB", "x = links", sizes,
                         [r[3] for r in part]) + "\n"
    return ("Entry: one entry serves a new set of 28,000 adapters to all its "
            "links"), text


def burst_memory_of(count, adapter_count, first_port):
    with p.Bench() as bench:
        _, _, entry = start_entry(bench, count, adapter_count, first_port)
        time.sleep(5)
        return [adapter_count, count, entry.memory() / MB,
                entry.peak_memory() / MB]


def burst_memory():
    cases = [(count, adapters) for adapters in (100, 3000, 7000, 28000)
             for count in (192, 360)]
    rows = [burst_memory_of(count, adapters, 28000 + 400 * (i % 4))
            for i, (count, adapters) in enumerate(cases)]
    return ("Entry: memory 5 s after it has sent its set to all links at start",
            table(["adapters", "links", "memory MB", "peak MB"], rows))


def load(entry, requests, concurrency, tokens, adapter_count=100,
         time_limit=60, stream="true"):
    result = subprocess.run(
        [str(p.LOAD), f"--url={entry.url}", f"--requests={requests}",
         f"--concurrency={concurrency}", f"--max_tokens={tokens}",
         f"--adapters={adapter_count}", f"--stream={stream}",
         f"--seed={p.SEED}", f"--time_limit_s={time_limit}"],
        capture_output=True, text=True)
    return json.loads(result.stdout.splitlines()[-1])


def requests_of(chunks, first_port):
    with p.Bench() as bench:
        _, _, entry = start_entry(bench, 12, 100, first_port,
                                  f"--chunks={chunks}")
        load(entry, 200, 16, max(1, chunks))
        memory = entry.memory()
        count = 4000 if chunks <= 16 else 1500
        sent0, received0 = entry.link_bytes()
        cpu0 = entry.cpu()
        result = load(entry, count, 16, max(1, chunks))
        cpu1 = entry.cpu()
        sent1, received1 = entry.link_bytes()
        done = result["succeeded"]
        return [chunks, done, json.dumps(result["errors_by_status"]),
                1e6 * (cpu1 - cpu0) / done, (sent1 - sent0) / done,
                (received1 - received0) / done, memory / MB,
                entry.memory() / MB]


def requests():
    sizes = [1, 16, 64, 256]
    rows = [requests_of(size, 25000 + 20 * i) for i, size in enumerate(sizes)]
    text = table(["tokens/request", "requests", "errors",
                  "processor us/request", "sent B/request",
                  "received B/request", "MB before", "MB after"], rows)
    text += fit_line("processor us/request", "x = tokens", sizes,
                     [r[3] for r in rows])
    text += fit_line("received B/request", "x = tokens", sizes,
                     [r[5] for r in rows])
    return "Entry: processor time per request and token (12 fake agents)", text


def engines_of(count, first_port):
    with p.Bench() as bench:
        adapter_count = 7000
        _, _, entry = start_entry(bench, count, adapter_count, first_port,
                                  "--chunks=1")
        load(entry, 500, 16, 1, adapter_count)
        memory = entry.memory()
        cpu0 = entry.cpu()
        result = load(entry, 4000, 16, 1, adapter_count)
        cpu = entry.cpu() - cpu0
        return [count, result["succeeded"],
                json.dumps(result["errors_by_status"]),
                1e6 * cpu / result["succeeded"], memory / MB,
                entry.memory() / MB]


def engines():
    sizes = [12, 48, 96, 192, 360]
    rows = [engines_of(size, 28000 + 400 * i) for i, size in enumerate(sizes)]
    text = table(["engines of one model", "requests", "errors",
                  "processor us/request", "MB before", "MB after"], rows)
    text += fit_line("processor us/request", "x = engines", sizes,
                     [r[3] for r in rows])
    return ("Entry: processor time per request over the engines of a model "
            "(7,000 adapters, 1 token)"), text


def streams_of(open_count, first_port):
    with p.Bench() as bench:
        _, _, entry = start_entry(bench, 12, 100, first_port, "--chunks=3",
                                  "--chunk_period_ms=4000")
        memory = entry.memory()
        load_result = {}
        thread = threading.Thread(target=lambda: load_result.update(
            load(entry, open_count, open_count, 3)))
        thread.start()
        time.sleep(4)
        metrics = json.loads(p.http("GET", entry.url
                                    + "/debug/state"))["metrics"]
        peak = entry.memory()
        thread.join()
        return [open_count, int(metrics["entry_open_requests"]), memory / MB,
                peak / MB, (peak - memory) / open_count / 1e3,
                load_result["succeeded"],
                json.dumps(load_result["errors_by_status"])]


def streams():
    sizes = [250, 500, 1000, 2000]
    rows = [streams_of(size, 25200 + 20 * i) for i, size in enumerate(sizes)]
    text = table(["streams asked", "open when read", "MB idle", "MB open",
                  "kB/stream", "succeeded", "errors"], rows)
    text += fit_line("memory MB", "x = open streams", [r[1] for r in rows],
                     [r[3] for r in rows])
    return "Entry: open streams (12 fake agents)", text
