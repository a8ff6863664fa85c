"""Resource slopes of one agent: links, requests, queue, resident adapters,
ledger."""

import concurrent.futures
import json
import time

import processes as p
from tables import fit_line, table

MB = 1e6


def links_of(count):
    with p.Bench() as bench:
        engine = bench.engine("engine", "--model=base", "--load_ms=1")
        agent = bench.agent("engine-0", engine)
        bench.fake_entries("entries", agent, f"--count={count}",
                           "--heartbeat_ms=1000")
        p.wait_for(lambda: agent.state()["links"]["open_links"] == count)
        time.sleep(2)
        sent0, received0 = agent.link_bytes()
        cpu0, begin = agent.cpu(), time.monotonic()
        time.sleep(12)
        cpu1, end = agent.cpu(), time.monotonic()
        sent1, received1 = agent.link_bytes()
        seconds = end - begin
        return [count, agent.memory() / MB, 1e3 * (cpu1 - cpu0) / seconds,
                (sent1 - sent0) / seconds / count,
                (received1 - received0) / seconds / count]


def links():
    sizes = [2, 12, 24, 48, 96]
    with concurrent.futures.ThreadPoolExecutor(5) as pool:
        rows = list(pool.map(links_of, sizes))
    text = table(["entries (1 heartbeat/s each)", "memory MB",
                  "processor ms/s", "sent B/heartbeat",
                  "received B/heartbeat"], rows)
    text += fit_line("memory", "MB, x = links", sizes, [r[1] for r in rows])
    text += fit_line("processor", "ms/s, x = heartbeats/s", sizes,
                     [r[2] for r in rows])
    return "Agent: links of entries", text


def run_submits(bench, agent, name, submits, *flags, limit=100):
    """Sends all submits and waits until every attempt has ended."""
    entries = bench.fake_entries(name, agent, "--count=2",
                                 f"--submits={submits}", *flags)
    p.wait_for(lambda: "done" in entries.out.read_text(), limit, name)
    return json.loads(entries.end())


def requests_of(tokens):
    with p.Bench() as bench:
        engine = bench.engine("engine", "--model=base", "--load_ms=1",
                              "--token_ms=1", "--batch_limit=32")
        agent = bench.agent("engine-0", engine)
        time.sleep(1)
        run_submits(bench, agent, "warm", 50, "--tokens=1",
                    "--attempt_prefix=warm-")
        count = 2000 if tokens <= 16 else 600
        cpu0 = agent.cpu()
        result = run_submits(bench, agent, "entries", count,
                             f"--tokens={tokens}")
        cpu1 = agent.cpu()
        done = max(1, result["finished"])
        return [tokens, done, result["refused"], result["last_refusal"] or "-",
                1e6 * (cpu1 - cpu0) / done, result["received_bytes"] / done,
                result["sent_bytes"] / done, agent.memory() / MB]


def requests():
    sizes = [1, 16, 64, 256]
    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        rows = list(pool.map(requests_of, sizes))
    text = table(["tokens/request", "finished", "refused", "reason",
                  "processor us/request", "sent B/request",
                  "received B/request", "memory MB"], rows)
    text += "Processor time contains the agent's idle time in the run.\n"
    text += fit_line("processor us/request", "x = tokens", sizes,
                     [r[4] for r in rows])
    return "Agent: processor time per request and token", text


def queue_of(length):
    with p.Bench() as bench:
        engine = bench.engine("engine", "--model=base", "--load_ms=1",
                              "--token_ms=200", "--batch_limit=32")
        agent = bench.agent("engine-0", engine,
                            flags=["--first_token_timeout_ms=60000"])
        time.sleep(1)
        memory = agent.memory()
        bench.fake_entries("entries", agent, "--count=2",
                           f"--submits={length}", f"--open_limit={length}",
                           "--tokens=64")
        time.sleep(4)
        cpu0, begin = agent.cpu(), time.monotonic()
        time.sleep(3)
        rate = 1e3 * (agent.cpu() - cpu0) / (time.monotonic() - begin)
        # The state dump lists every attempt, so memory is read before it.
        memory_after = agent.memory()
        queue = agent.state()["queue"]
        waiting = queue.get("waiting_urgent", 0) + queue.get(
            "waiting_may_wait", 0)
        return [length, waiting, memory / MB, memory_after / MB, rate]


def queue():
    sizes = [250, 1000, 2000, 4000]
    with concurrent.futures.ThreadPoolExecutor(4) as pool:
        rows = list(pool.map(queue_of, sizes))
    text = table(["submits", "waiting", "MB before", "MB with queue",
                  "processor ms/s with queue"], rows)
    text += fit_line("memory MB", "x = submits held", sizes,
                     [r[3] for r in rows])
    return "Agent: queue length", text


def residents_of(slots):
    with p.Bench() as bench:
        engine = bench.engine("engine", "--model=base", "--load_ms=1",
                              "--token_ms=1", f"--slots={slots}",
                              "--batch_limit=32")
        agent = bench.agent("engine-0", engine)
        time.sleep(1)
        memory = agent.memory()
        result = run_submits(bench, agent, "entries", slots * 2,
                             f"--adapters={slots}", "--tokens=1")
        cpu0, begin = agent.cpu(), time.monotonic()
        time.sleep(5)
        rate = 1e3 * (agent.cpu() - cpu0) / (time.monotonic() - begin)
        status = json.loads(p.http("GET", engine.url + "/status"))
        return [slots, len(status["resident"]), result["finished"],
                memory / MB, agent.memory() / MB, rate]


def residents():
    sizes = [8, 64, 256, 512]
    with concurrent.futures.ThreadPoolExecutor(4) as pool:
        rows = list(pool.map(residents_of, sizes))
    text = table(["slots", "resident", "finished", "MB before", "MB after",
                  "processor ms/s idle"], rows)
    text += fit_line("memory MB", "x = resident adapters",
                     [r[1] for r in rows], [r[4] for r in rows])
    text += fit_line("processor ms/s", "x = resident adapters",
                     [r[1] for r in rows], [r[5] for r in rows])
    return "Agent: resident adapters", text


def ledger_of(bench, agent, number, add, memory):
    cpu0 = agent.cpu()
    entries = bench.fake_entries(f"calls-{number}", agent, "--count=1",
                                 f"--submits={add}", "--service=orders",
                                 f"--attempt_prefix=calls{number}-")
    p.wait_for(lambda: "done" in entries.out.read_text(), 60, "calls")
    cpu = agent.cpu() - cpu0
    result = json.loads(entries.end())
    records = agent.state()["ledger"]["records"]
    memory_after = agent.memory()
    return [records, result["finished"], result["refused"],
            result["last_refusal"] or "-", memory_after / MB,
            (memory_after - memory) / records, 1e6 * cpu / add]


def ledger():
    with p.Bench() as bench:
        service = bench.service("service")
        agent = bench.agent("orders-0", service, 26100, kind="plain_service",
                            vm="vm-orders")
        documents = bench.compile(
            ["model,base,,,,,,,,,,,", *p.adapters(10),
             "service,orders,,,,,urgent,10000,no,,,,"],
            ["orders-0,vm-orders,plain_service,dc-1,127.0.0.1,26100,,orders,"],
            1)
        platform = bench.platform(documents)
        bench.entry(platform)
        p.wait_for(lambda: agent.state()["configuration"]["generation"] == 1)
        time.sleep(2.5)
        memory = agent.memory()
        rows = []
        for number, add in enumerate([2500, 5000, 7500, 10000]):
            rows.append(ledger_of(bench, agent, number, add, memory))
    text = table(["records", "finished in the step", "refused", "reason",
                  "memory MB", "bytes/record", "processor us/call"], rows)
    text += fit_line("memory MB", "x = records", [r[0] for r in rows],
                     [r[4] for r in rows])
    return "Agent: ledger records", text
