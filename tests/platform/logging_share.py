#!/usr/bin/env python3
"""Measures the CPU time of an entry's logging: of two entries under the same load one logs at its default level and one only errors.

usage: logging_share.py [--build FOLDER] [--requests N]
Prints the CPU time of both entries per request and the share of logging in the first. Uses loopback only.
"""
import argparse, asyncio, os, sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from gateway_soak import Soak, call


def processor_seconds(process):
    fields = open(f"/proc/{process.child.pid}/stat").read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def load(front, requests, name):
    for number in range(requests):
        headers = {"Host": "h.example", "Request-Id": f"{name}{number}", "Deadline-Milliseconds": 4000}
        await call(front, "POST", "/tools/x", headers, b"work")


async def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", default="build")
    parser.add_argument("--requests", type=int, default=4000)
    arguments = parser.parse_args()
    soak = Soak(arguments.build, 1, False)
    soak.backend.random.random = lambda: 0.5
    try:
        await soak.start()
        error_only = soak.entries[1]
        error_only.settings["log_level"] = "error"
        await error_only.kill()
        await error_only.start()
        await soak.until_served(soak.fronts[1])
        before = [processor_seconds(entry) for entry in soak.entries]
        rounds = 8
        for part in range(rounds):
            for entry in range(2):
                await load(soak.fronts[entry], arguments.requests // rounds, f"{entry}-{part}-")
        used = [processor_seconds(entry) - start for entry, start in zip(soak.entries, before)]
        for name, seconds in zip(("with logs", "without"), used):
            print(f"{name}: {1000 * seconds / arguments.requests:.3f} ms of CPU time per request")
        print(f"share of logging: {100 * (used[0] - used[1]) / used[0]:.1f} %")
    finally:
        await soak.finish()


if __name__ == "__main__":
    asyncio.run(main())
