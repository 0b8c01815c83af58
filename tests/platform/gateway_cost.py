#!/usr/bin/env python3
"""Measures the gateway's overhead: CPU time of a plain request and of a turn at an entry and at the ledger VMs, and added latency.

usage: gateway_cost.py [--build FOLDER] [--turns N]
Runs three ledger VMs and two entries on loopback with one client at a time. Prints measurements and checks no bounds.
"""
import argparse, asyncio, os, statistics, sys, time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from gateway_soak import Soak
from logging_share import processor_seconds


async def timed(address, path, headers, waits_for_close):
    """Sends a request. Returns the milliseconds until the first byte of the response body."""
    reader, writer = await asyncio.open_connection(*address)
    lines = [f"POST {path} HTTP/1.1", "Connection: close", "Content-Length: 4"] + [f"{k}: {v}" for k, v in headers.items()]
    begun = time.perf_counter()
    writer.write("\r\n".join(lines + ["", ""]).encode() + b"work")
    await reader.readuntil(b"\r\n\r\n")
    await reader.read(1)
    taken = 1000 * (time.perf_counter() - begun)
    # An entry's work after the response is part of its cost. The stand-in never closes connections.
    if waits_for_close:
        await asyncio.wait_for(reader.read(), 5)
    writer.close()
    return taken


def turn_headers(name):
    return {"Host": "h.example", "Request-Id": name, "Program": name, "Session": "s", "Token-Usage": "100,50", "Token-Budget": 1000,
            "Deadline-Milliseconds": 4000}


async def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", default="build")
    parser.add_argument("--turns", type=int, default=1000)
    arguments = parser.parse_args()
    soak = Soak(arguments.build, 1, False)
    soak.backend.random.random = lambda: 0.5
    try:
        await soak.start()
        front, processes = soak.fronts[0], [soak.entries[0]] + soak.ledgers
        await soak.until_served(front)
        idle = [processor_seconds(process) for process in processes]
        await asyncio.sleep(5)
        idle = [(processor_seconds(process) - start) / 5 for process, start in zip(processes, idle)]
        for name, path in (("plain call", "/tools/x"), ("turn", "/plans/x")):
            before, begun, added = [processor_seconds(process) for process in processes], time.monotonic(), []
            for number in range(arguments.turns):
                direct = await timed(soak.backend.address, path, {"Host": "h", "Request-Id": f"d{name}{number}"}, False)
                added.append(await timed(front, path, turn_headers(f"{name[0]}{number}"), True) - direct)
            span = time.monotonic() - begun
            used = [1000 * (processor_seconds(process) - start - rest * span) / arguments.turns
                    for process, start, rest in zip(processes, before, idle)]
            print(f"{name}: entry {used[0]:.3f} ms, ledger VMs {sum(used[1:]):.3f} ms together, the busiest {max(used[1:]):.3f} ms; "
                  f"added before the first byte {statistics.median(added):.2f} ms (median)")
        print(f"idle: entry {100 * idle[0]:.2f} %, ledger VMs {100 * sum(idle[1:]) / 3:.2f} % of a core each")
    finally:
        await soak.finish()


if __name__ == "__main__":
    asyncio.run(main())
