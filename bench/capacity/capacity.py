"""Measures resource slopes and prints Markdown tables.

Usage: capacity.py [PHASE...]   (all phases without an argument)
"""

import sys
import time

import agent_slopes
import entry_slopes
import users

PHASES = {
    "entry_links": entry_slopes.links,
    "entry_adapters": entry_slopes.adapters,
    "entry_fan_out": entry_slopes.fan_out,
    "entry_burst_memory": entry_slopes.burst_memory,
    "entry_requests": entry_slopes.requests,
    "entry_engines": entry_slopes.engines,
    "entry_streams": entry_slopes.streams,
    "agent_links": agent_slopes.links,
    "agent_requests": agent_slopes.requests,
    "agent_queue": agent_slopes.queue,
    "agent_residents": agent_slopes.residents,
    "agent_ledger": agent_slopes.ledger,
    "platform_calls": users.platform_calls,
    "repair_agency": lambda: users.deployment("repair-agency"),
    "co_operative": lambda: users.deployment("co-operative"),
}


def main():
    failed = []
    for name in sys.argv[1:] or PHASES:
        begin = time.monotonic()
        try:
            title, text = PHASES[name]()
        except Exception as failure:  # Report it and run the other phases.
            failed.append(name)
            title, text = name, f"FAILED: {type(failure).__name__}: {failure}\n"
        print(f"## {title}\n\n`bench/capacity/run.sh {name}`, "
              f"{time.monotonic() - begin:.0f} s\n\n{text}", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
