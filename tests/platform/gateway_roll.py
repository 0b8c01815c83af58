#!/usr/bin/env python3
"""Measures what callers get while all entries are restarted in turn, with overlapping drains: real processes on loopback.

usage: gateway_roll.py [--build FOLDER] [--seconds S] [--callers N] [--entries N] [--gap S] [--together N] [--forwarding expected|certain]
                       [--work MIN,MAX] [--think S] [--keep S] [--seed N]

Each caller keeps a connection to an entry that a directory has named, asks the directory again after S seconds (--keep), and sends unsafe requests that take MIN to MAX seconds. A request that is
refused as not executed (503) is sent once more, to another entry. Prints the requests by how they ended:
served, served-again (refused first), refused (both times), unknown (502 or 504), cut (a server ran it, and its connection ended without an
answer), unread (its connection ended, and no server had it).
"""
import argparse, asyncio, collections, contextlib, json, os, random, signal, sys, time

import gateway_soak

ROUTE = {"name": "work", "host": "h.example", "path-prefix": "/work/", "kind": "unsafe", "timeout-ms": 6000, "service": "e", "max-attempts": 1}


class Worker:
    """The only backend server; also serves the backend list."""

    def __init__(self):
        self.runs, self.unfinished = set(), 0

    async def serve(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, ValueError, KeyError):
            while True:
                line, headers = await gateway_soak.read_head(reader)
                body = await gateway_soak.read_body(reader, headers)
                if line.split()[1].startswith("/instances"):
                    instance = {"id": "i-1", "service": "e", "address": "%s:%d" % self.address, "zone": "z", "slots": 1000,
                                "version": "v1", "state": "ready"}
                    gateway_soak.Backend.answer(writer, json.dumps({"instances": [instance], "next": None}).encode(), {})
                    continue
                self.runs.add(headers["request-id"])
                await asyncio.sleep(float(body))
                gateway_soak.Backend.answer(writer, b"done", {"Request-Id": headers["request-id"], "Server-Signature": "s"})
        writer.close()


class Roll(gateway_soak.Soak):
    def __init__(self, arguments):
        super().__init__(arguments.build, arguments.seed, False, arguments.entries)
        self.arguments, self.worker, self.ends = arguments, Worker(), collections.Counter()
        self.late = []
        self.drains = []
        self.told = {}

    async def start(self):
        self.worker.address = await self.listen(self.worker.serve)
        self.backend.address = self.worker.address
        self.backend.start = lambda listen: asyncio.sleep(0)
        await super().start()

    async def put_document(self, version, patience):
        document = json.dumps({"version": version, "routes": [ROUTE], "services": [{"name": "e", "max-connections": 1000}],
                               "limits": gateway_soak.DOCUMENT["limits"]}).encode()
        until = time.monotonic() + patience
        while time.monotonic() < until:
            for control in self.controls:
                if (await gateway_soak.call(control, "PUT", "/cardamompost/configuration", None, document, 1.5))[0] == 200:
                    return
            await asyncio.sleep(0.1)

    async def named(self):
        """The addresses that a directory names."""
        directory = ("127.0.0.1", self.random.choice(self.ledgers).settings["directory"].rpartition(":")[2])
        status, body = await gateway_soak.call(directory, "GET", "/cardamompost/resolution?name=h.example&zone=z", None, b"", 1.0)
        if status != 200:
            self.ends["failed look-ups"] += 1
            return []
        return [tuple(address.rsplit(":", 1)) for address in json.loads(body)["addresses"]]

    async def caller(self, until):
        addresses, asked_at, connection = [], 0.0, None
        while time.monotonic() < until:
            duration = self.random.uniform(*self.arguments.work)
            for attempt in range(2):
                if time.monotonic() > asked_at + self.arguments.keep:
                    addresses, asked_at = await self.named() or addresses, time.monotonic()
                if connection and connection[2] not in addresses:
                    connection[1].close()
                    connection = None
                end, connection = await self.ask(connection, addresses, duration)
                if end != "refused":
                    self.ends["served-again" if end == "served" and attempt else end] += 1
                    break
                self.ends["refusals"] += 1
            else:
                self.ends["refused"] += 1
            await asyncio.sleep(self.random.uniform(0, self.arguments.think))

    async def ask(self, connection, addresses, duration):
        self.serial += 1
        request = f"w{self.serial}"
        for _ in range(8):
            if connection is None and addresses:
                address = self.random.choice(addresses)
                with contextlib.suppress(OSError):
                    connection = (*await asyncio.open_connection(*address), address)
            if connection:
                break
            await asyncio.sleep(0.05)
        if not connection:
            return "unreachable", None
        reader, writer, address = connection
        sent = time.monotonic()
        try:
            body = b"%.3f" % duration
            writer.write(f"POST /work/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {request}\r\nDeadline-Milliseconds: 6000\r\n"
                         f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
            status, headers = await asyncio.wait_for(gateway_soak.read_head(reader), 10)
            await asyncio.wait_for(gateway_soak.read_body(reader, headers), 10)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            writer.close()
            end = "cut" if request in self.worker.runs else "unread"
            self.late.append((end, round(sent - self.told.get(address, sent), 2)))
            return end, None
        if headers.get("connection", "").lower() == "close":
            writer.close()
            connection = None
        status = int(status.split()[1])
        if status == 503 and request in self.worker.runs:
            return "false refusal", connection
        if status not in (200, 503):
            self.late.append((status, round(sent - self.told.get(address, sent), 2)))
        return {200: "served", 503: "refused"}.get(status, "unknown"), connection

    async def roll(self, until):
        running = []
        number = 0
        while time.monotonic() < until:
            for _ in range(self.arguments.together):
                running.append(asyncio.ensure_future(self.restart(self.entries[number % len(self.entries)])))
                number += 1
            await asyncio.sleep(self.arguments.gap)
        await asyncio.gather(*running)

    async def restart(self, entry):
        async with entry.lock:
            at = time.monotonic()
            host, port = entry.settings["front"].split(":")
            self.told[(host, port)] = at
            os.kill(entry.child.pid, signal.SIGTERM)
            try:
                await asyncio.wait_for(entry.child.wait(), gateway_soak.GRACE)
            except asyncio.TimeoutError:
                self.ends["killed"] += 1
                await entry.kill()
            self.drains.append(time.monotonic() - at)
            await entry.start()
            await asyncio.sleep(0.5)

    async def run(self, seconds):
        await self.start()
        if self.arguments.forwarding:
            for entry in self.entries:
                entry.settings["drain_forwarding"] = self.arguments.forwarding
            for entry in self.entries:
                await entry.kill()
                await entry.start()
        await asyncio.sleep(2)
        until = time.monotonic() + seconds
        await asyncio.gather(self.roll(until - 8), *(self.caller(until) for _ in range(self.arguments.callers)))
        print(f"{dict(sorted(self.ends.items()))}; drains {min(self.drains):.2f} to {max(self.drains):.2f} s, {len(self.drains)}", flush=True)
        print("  ends, and when they were sent after the signal:", self.late[:40])


async def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", default="build")
    parser.add_argument("--seconds", type=float, default=40)
    parser.add_argument("--callers", type=int, default=40)
    parser.add_argument("--entries", type=int, default=3)
    parser.add_argument("--gap", type=float, default=2.3)
    parser.add_argument("--together", type=int, default=1)
    parser.add_argument("--forwarding")
    parser.add_argument("--work", type=lambda text: [float(part) for part in text.split(",")], default=[0.05, 1.5])
    parser.add_argument("--think", type=float, default=0.1)
    parser.add_argument("--keep", type=float, default=0.3)
    parser.add_argument("--seed", type=int, default=1)
    roll = Roll(parser.parse_args())
    try:
        await roll.run(roll.arguments.seconds)
    finally:
        await roll.finish()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
