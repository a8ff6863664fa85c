#!/usr/bin/env python3
"""Writes sheet.csv and fleet.csv of the three deployments in this folder.

Deterministic: the same script always writes the same bytes.
Usage: python3 deployments/generate.py
"""

import csv
import pathlib

ROOT = pathlib.Path(__file__).resolve().parent

SHEET_COLUMNS = [
    "record", "name", "model", "versions", "default_version", "pattern",
    "priority", "deadline_ms", "repeatable", "endpoint", "starts_at",
    "ends_at", "drain_seconds",
]
FLEET_COLUMNS = [
    "endpoint", "vm", "kind", "data_centre", "address", "agent_port",
    "model", "service", "checks_fencing",
]
AGENT_PORT = 7300


def write(path, columns, rows):
    """Writes dictionaries as CSV; absent columns stay empty."""
    path.parent.mkdir(parents=True, exist_ok=True)
    with path.open("w", newline="", encoding="utf-8") as file:
        writer = csv.DictWriter(file, columns, restval="",
                                lineterminator="\n")
        writer.writeheader()
        writer.writerows(rows)


def adapter(name, model, number, **extra):
    """One adapter; older ones have more versions."""
    versions = [f"v{version}" for version in range(1, 2 + number % 3)]
    return {"record": "adapter", "name": name, "model": model,
            "versions": " ".join(versions), "default_version": versions[-1],
            **extra}


def rule(pattern, priority, deadline_ms):
    return {"record": "rule", "pattern": pattern, "priority": priority,
            "deadline_ms": deadline_ms}


def service(name, repeatable, deadline_ms):
    return {"record": "service", "name": name, "repeatable": repeatable,
            "priority": "urgent", "deadline_ms": deadline_ms}


def stop(endpoint, starts_at, ends_at, drain_seconds):
    return {"record": "stop", "endpoint": endpoint, "starts_at": starts_at,
            "ends_at": ends_at, "drain_seconds": drain_seconds}


def fleet(centres, network, model, service_name, desk):
    """Three engines and one plain service in each data centre."""
    rows = []
    for index, centre in enumerate(centres, start=1):
        for number in range(1, 4):
            rows.append({
                "endpoint": f"engine-{centre}-{number}",
                "vm": f"vm-{centre}-{number}", "kind": "engine",
                "data_centre": centre,
                "address": f"{network}.{index}.{10 + number}",
                "agent_port": AGENT_PORT, "model": model,
                # Older engines ignore the fencing number.
                "checks_fencing": "no" if number == 3 else "yes"})
        rows.append({
            "endpoint": f"{desk}-{centre}", "vm": f"vm-{centre}-{desk}",
            "kind": "plain_service", "data_centre": centre,
            "address": f"{network}.{index}.20", "agent_port": AGENT_PORT,
            "service": service_name})
    return rows


def repair_agency():
    """3,000 adapters: 40 counter, 1,460 workshop, 1,500 archive."""
    model = "repair-base"
    rows = [{"record": "model", "name": model}]
    rows += [adapter(f"counter-{number:04}", model, number)
             for number in range(40)]
    rows += [adapter(f"workshop-{number:04}", model, number)
             for number in range(1460)]
    rows += [adapter(f"archive-{number:04}", model, number)
             for number in range(1500)]
    rows += [rule("counter-*", "urgent", 8000),
             rule("workshop-*", "urgent", 15000),
             rule("archive-*", "may_wait", 3600000),
             service("orders", "no", 10000),
             stop("engine-caxias-3", "2026-12-05T02:00:00Z",
                  "2026-12-05T03:00:00Z", 300)]
    centres = ["porto-a", "porto-b", "caxias", "pelotas"]
    return rows, fleet(centres, "10.20", model, "orders", "counter")


def co_operative():
    """3,000 adapters: 30 rota, 470 handover, 1,500 tide, 1,000 briefing."""
    model = "shore-base"
    rows = [{"record": "model", "name": model}]
    for name, count in (("rota", 30), ("handover", 470), ("tide", 1500),
                        ("long-briefing", 1000)):
        rows += [adapter(f"{name}-{number:04}", model, number)
                 for number in range(count)]
    rows += [rule("rota-*", "urgent", 6000),
             rule("handover-*", "urgent", 12000),
             rule("tide-*", "urgent", 10000),
             rule("long-briefing-*", "may_wait", 1800000),
             service("rota", "no", 8000),
             stop("desk-tajpur", "2026-12-05T20:00:00Z",
                  "2026-12-05T20:30:00Z", 60)]
    centres = ["digha-north", "mandarmani", "shankarpur", "tajpur"]
    return rows, fleet(centres, "10.30", model, "rota", "desk")


def local():
    """Four engines and two plain services on this machine."""
    rows = [{"record": "model", "name": "base"}]
    rows += [{"record": "adapter", "name": f"adapter-{number:04}",
              "model": "base", "versions": "v1 v2", "default_version": "v2"}
             for number in range(50)]
    # The last ten stand for work that can wait.
    rows += [rule("adapter-004*", "may_wait", 600000),
             service("orders", "no", 10000)]
    endpoints = []
    for number in range(1, 7):
        row = {"vm": f"vm-{number}", "address": "127.0.0.1",
               "data_centre": "dc-1" if number % 2 == 1 else "dc-2",
               "agent_port": AGENT_PORT + number}
        if number <= 4:
            row.update({"endpoint": f"engine-{number}", "kind": "engine",
                        "model": "base", "checks_fencing": "yes"})
        else:
            row.update({"endpoint": f"desk-{number - 4}",
                        "kind": "plain_service", "service": "orders"})
        endpoints.append(row)
    return rows, endpoints


def main():
    for name, make in (("repair-agency", repair_agency),
                       ("co-operative", co_operative), ("local", local)):
        sheet_rows, fleet_rows = make()
        write(ROOT / name / "sheet.csv", SHEET_COLUMNS, sheet_rows)
        write(ROOT / name / "fleet.csv", FLEET_COLUMNS, fleet_rows)


if __name__ == "__main__":
    main()
