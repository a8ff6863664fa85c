"""Callers that send the body of a request in very small pieces.

Usage: crowd.py IP PORT CALLERS PERIOD_S SECONDS PREFIX
Each caller opens one connection, sends the head of a POST with a chunked body
and then one chunk of 16 bytes each PERIOD_S. It stays open until SECONDS are
over or its connection is closed; it does not connect again.
"""

import asyncio
import random
import sys
import time

PIECE = b"10\r\n" + b"x" * 16 + b"\r\n"


async def caller(ip, port, identity, period, ends, counts):
    await asyncio.sleep(random.uniform(0, 1.5))
    try:
        reader, writer = await asyncio.open_connection(ip, port)
    except OSError:
        counts["failed"] += 1
        return
    counts["opened"] += 1
    try:
        writer.write(("POST /order/1 HTTP/1.1\r\nHost: h.example\r\n"
                      "Request-Id: %s\r\nDeadline-Ms: 1000\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n"
                      % identity).encode())
        while time.monotonic() < ends:
            writer.write(PIECE)
            await writer.drain()
            counts["pieces"] += 1
            if reader.at_eof():
                raise ConnectionError
            await asyncio.sleep(period * random.uniform(0.9, 1.1))
        counts["open at the end"] += 1
    except OSError:
        counts["closed by the gateway"] += 1
    finally:
        writer.close()


async def main():
    ip, port, callers, period, seconds, prefix = sys.argv[1:]
    ends = time.monotonic() + float(seconds)
    counts = {"opened": 0, "failed": 0, "pieces": 0,
              "closed by the gateway": 0, "open at the end": 0}
    await asyncio.gather(*(
        caller(ip, int(port), "%s-%d" % (prefix, number), float(period), ends,
               counts) for number in range(int(callers))))
    print(", ".join("%s %d" % each for each in counts.items()))


asyncio.run(main())
