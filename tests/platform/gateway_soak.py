#!/usr/bin/env python3
"""Fault injection soak of the gateway: real processes on loopback under injected faults, with invariants checked throughout.

usage: gateway_soak.py [--build FOLDER] [--seconds S] [--entries N] [--plant] SEED...
--plant wipes two of three ledger VMs at once, more than the system tolerates: the checks must detect it.

Three ledger VMs and two or more entries run as processes. Connections to a ledger VM pass a proxy that can delay, reset or blackhole them,
also in one direction only. Processes are killed, suspended, wiped, and denied writes; entries are killed at any time, also while another
fault lasts; all get SIGHUP in series, with changes of the document and of servers meanwhile. The optional parts of turn placement are on or
off by the seed. Programs run against a stand-in that serves as engine, service and backend list. Checked:
- a turn arrives with its complete history, and a turn that was answered completely is never unknown;
- an answer that a server breaks off, with a length, in chunks or with neither, never looks complete, and is no turn to continue from;
- unsafe requests run at most once, and requests refused as not executed have not run;
- no program gets more than its token budget and one turn;
- the newest acknowledged document is read back;
- an entry that served a route never answers 404 to it again while documents grow;
- service recovers once all faults are over, including the newest routes;
- a backend server receives the client account of a key and never the key; unknown keys run nowhere, valid ones are never refused,
  revoked ones are refused once the faults are over;
- a rate-limited account stays within its limit in every window;
- a stream that its caller resumes, at any entry and also after the first entry was killed, holds events of one software version, each
  once, while servers of several versions are released, drain, leave, and return at their addresses with another id and version; most
  are resumed while two servers of their version are ready;
- a turn names no engine to fetch its prompt from but one of the others in the list, and none unless the document and the settings allow it; what
  callers name is dropped;
- a request that ends the servers which run it is sent to no more once three have ended, wherever its caller sends it, and whatever was
  running beside it is served;
- an entry that is told to stop, once or several times and also while a ledger VM stops, answers what it has taken on a connection
  that its client keeps using, and ends within its grace period.
"""
import argparse, asyncio, contextlib, json, math, os, random, resource, shutil, signal, socket, sys, tempfile, time

# Ledger settings that are on or off by the seed.
PLACEMENT_SETTINGS = ["fetch_prompts", "place_by_service_rate", "share_by_account", "refuse_hopeless_programs",
                      "prefer_near_engines"]
# Prompt tokens of a program's turns; only long prompts are fetched from other engines. Share of the fetches that engines refuse.
PROMPT_TOKENS, REFUSED_FETCHES = [100, 3000, 3000, 3000], 0.2
# What callers name as an engine to fetch from.
FORGED_SOURCE = "127.0.0.1:9"
# A turn reserves MAX_TURN_TOKENS of its program's BUDGET and uses TOKENS_PER_EVENT for each event of its response.
TOKENS_PER_EVENT, MAX_TURN_TOKENS, BUDGET = 10, 50, 400
# An account's rate limit in requests per second (also its burst), the window, and the permitted excess.
RATE, WINDOW, OVER_SHARE, OVER_REQUESTS = 15, 5.0, 0.1, 20
KEY = "stay-officers"
# Events of a turn.
TURN_EVENTS = 3
# Events of a stream that can be resumed, and the pause between them in seconds.
STREAM_EVENTS, STREAM_PAUSE = 6, 0.02
# Servers at once, and the time in seconds for which a leaving server stays in the list.
SERVERS, LEAVING_TIME = 5, 1.0
# Resumptions from which the share that is served counts, and the least share.
MIN_RESUMPTIONS, MIN_RESUMED_SHARE = 12, 0.5
# Servers that may end under one request, those that may, and for how many seconds each is gone. A body with the word ends them.
MAX_ENDS, FRAGILE_SERVERS, DOWN_TIME, FATAL = 3, 8, 0.8, b"fatal"
# An entry answers this long after the end of a server, in seconds, without knowing whether the ledger has recorded it.
RECORD_TIME = 1.5
# An entry's grace period after SIGTERM, and the time in which a started process is sure to handle SIGHUP, in seconds.
GRACE, HANDLER_TIME = 8, 2.0
DOCUMENT = {"routes": [
    {"name": "plans", "host": "h.example", "path-prefix": "/plans/", "kind": "streaming", "timeout-ms": 4000, "service": "e",
     "max-attempts": 1, "retains-context": True, "retention-s": 60.0, "sticky-sessions": True},
    {"name": "drafts", "host": "h.example", "path-prefix": "/drafts/", "kind": "streaming", "timeout-ms": 4000, "service": "e",
     "max-attempts": 2, "retention-s": 60.0, "sticky-sessions": True, "resumable": True},
    {"name": "fragile", "host": "h.example", "path-prefix": "/fragile/", "kind": "unsafe", "timeout-ms": 4000, "service": "fragile",
     "max-attempts": 1},
    {"name": "tools", "host": "h.example", "path-prefix": "/tools/", "kind": "unsafe", "timeout-ms": 3000, "service": "e",
     "max-attempts": 1}],
    "services": [{"name": "e", "max-connections": 100, "engine": {"slots": 16, "key-value-tokens": 1000, "stride": TOKENS_PER_EVENT}},
                 {"name": "fragile", "max-connections": 100}],
    "limits": {"max-header-bytes": 16384, "max-body-bytes": 100000, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}}


def document(version, grown, moves):
    """A document with the additional routes 0 to grown - 1. Engines can fetch prompts if `moves`."""
    more = [{"name": f"grown-{i}", "host": "h.example", "path-prefix": f"/grown-{i}/", "kind": "unsafe", "timeout-ms": 3000,
             "service": "e", "max-attempts": 1} for i in range(grown)]
    return json.dumps({**DOCUMENT, "version": version, "routes": DOCUMENT["routes"] + more, "tenants": accounts(version),
                       "services": [{**service, "engine": {**service["engine"], "moves": moves}} if "engine" in service else service
                                    for service in DOCUMENT["services"]]}).encode()


def accounts(version):
    """Some keys are permanent, one moves between two accounts, and one exists in a single version."""
    mover_keys = [["mover"], []] if version % 2 == 0 else [[], ["mover"]]
    return [{"name": "officers", "access-keys": ["stay-officers"] + mover_keys[0]},
            {"name": "foremen", "access-keys": ["stay-foremen"] + mover_keys[1], "priority": 1},
            {"name": "bound", "access-keys": ["stay-bound"], "rate-per-s": RATE, "burst": RATE},
            {"name": "visitors", "access-keys": [f"visit-{version}"]}]


# Accounts that may hold a key in any version.
HOLDERS = {"stay-officers": {"officers"}, "stay-foremen": {"foremen"}, "stay-bound": {"bound"}, "mover": {"officers", "foremen"}}


async def read_head(reader):
    lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines[1:] if line)}
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding") == "chunked":
        body = b""
        while size := int(await reader.readline(), 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
        return body
    return await reader.readexactly(int(headers.get("content-length", 0)))


async def call(address, method, path, headers=None, body=b"", timeout=6.0):
    """Returns (status, body); status 0 without a complete response."""
    async def exchange():
        reader, writer = await asyncio.open_connection(*address)
        try:
            lines = [f"{method} {path} HTTP/1.1", "Connection: close", f"Content-Length: {len(body)}"]
            sent = headers or {"Host": "x"}
            if sent["Host"] == "h.example":
                sent = {"X-Api-Key": KEY, **sent}
            lines += [f"{name}: {value}" for name, value in sent.items()]
            writer.write("\r\n".join(lines + ["", ""]).encode() + body)
            status, answer = await read_head(reader)
            return int(status.split()[1]), await read_body(reader, answer)
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
        return 0, b""


class Forwarder:
    """Proxies connections to one ledger VM and injects network faults."""

    def __init__(self, target):
        self.target, self.delay, self.forth, self.back, self.writers = target, 0.0, True, True, set()

    async def serve(self, reader, writer):
        try:
            up_reader, up_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, up_writer}
        await asyncio.gather(self.pipe(reader, up_writer, "forth"), self.pipe(up_reader, writer, "back"))
        self.writers -= {writer, up_writer}

    async def pipe(self, reader, writer, way):
        try:
            while data := await reader.read(65536):
                if self.delay:
                    await asyncio.sleep(self.delay)
                # Blackholed data is never delivered, as by a firewall that has lost the connection's state.
                if getattr(self, way):
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass
        writer.close()

    def reset(self):
        for writer in list(self.writers):
            writer.transport.abort()


class Server:
    """A backend server; a restart at the same address has another id and version."""

    def __init__(self, number, version):
        self.id, self.version, self.address, self.leaving = f"i-{number}", version, None, False


class FragileServer:
    """A server that ends shortly after it has received a certain body, and returns at another address with another id."""
    started, ended = 0, {}

    async def start(self):
        FragileServer.started += 1
        self.id, self.writers = f"f-{FragileServer.started}", set()
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = self.listener.sockets[0].getsockname()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, ValueError, KeyError):
            while True:
                _, headers = await read_head(reader)
                body = await read_body(reader, headers)
                await asyncio.sleep(0.05)
                if FATAL in body and self.listener:
                    self.ended[headers["request-id"]] = body
                    asyncio.ensure_future(self.end())
                    return
                Backend.answer(writer, b"done", {"Request-Id": headers["request-id"], "Server-Signature": "s"})
        self.writers.discard(writer)
        writer.close()

    async def end(self):
        listener, self.listener = self.listener, None
        listener.close()
        for writer in self.writers:
            writer.transport.abort()
        await asyncio.sleep(DOWN_TIME)
        await self.start()


class Backend:
    """Serves as engines, service and backend list, and records the requests that ran."""

    def __init__(self, random_):
        self.random, self.runs, self.bodies = random_, {}, {}
        # The account of each request, and the arrival times of the rate-limited account's requests.
        self.accounts, self.bound_at, self.leaked = {}, [], 0
        self.started, self.release, self.slots = 0, 1, []
        # Whether engines may be asked to fetch prompts, how many requests did so, and wrongly so.
        self.may_fetch, self.fetches, self.wrong_fetches = False, 0, []

    async def start(self, listen):
        for _ in range(SERVERS):
            slot = len(self.slots)
            self.slots.append(self.new_server())
            self.slots[slot].address = await listen(lambda reader, writer, slot=slot: self.serve(slot, reader, writer))
        self.address = self.slots[0].address
        self.fragile = [FragileServer() for _ in range(FRAGILE_SERVERS)]
        for server in self.fragile:
            await server.start()

    def new_server(self):
        self.started += 1
        return Server(self.started, f"v{self.random.randint(max(1, self.release - 1), self.release)}")

    async def replace(self, slot):
        """Drains a server and starts another one at its address, after the list has named it as leaving for a while."""
        self.slots[slot].leaving = True
        await asyncio.sleep(LEAVING_TIME)
        address, self.slots[slot] = self.slots[slot].address, self.new_server()
        self.slots[slot].address = address

    async def roll(self, until):
        """Releases new versions, server by server and overlapping."""
        while time.monotonic() + LEAVING_TIME < until:
            self.release += self.random.random() < 0.3
            ready = [slot for slot, server in enumerate(self.slots) if not server.leaving]
            await asyncio.gather(*(self.replace(slot) for slot in self.random.sample(ready, self.random.randint(1, 2))))
            await asyncio.sleep(self.random.uniform(0, 1.5))

    def ready_of(self, version):
        return sum(1 for server in self.slots if server.version == version and not server.leaving)

    def instances(self):
        return [{"id": server.id, "service": "e", "address": "%s:%d" % server.address, "zone": "z", "slots": 16,
                 "version": server.version, "state": "draining" if server.leaving else "ready"} for server in self.slots] + [
                    {"id": server.id, "service": "fragile", "address": "%s:%d" % server.address, "zone": "z", "slots": 16,
                     "version": "v1", "state": "ready"} for server in self.fragile]

    async def serve(self, slot, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                path = line.split()[1]
                if path.startswith("/instances"):
                    self.answer(writer, json.dumps({"instances": self.instances(), "next": None}).encode(), {})
                    continue
                request = headers["request-id"]
                server = self.slots[slot]
                if headers.get("expected-instance") != server.id:
                    self.answer(writer, b"", {"Request-Id": request}, "421 Misdirected Request")
                    continue
                if source := headers.get("kv-fetch"):
                    self.record_fetch(request, path, source, server)
                    if self.random.random() < REFUSED_FETCHES:
                        self.answer(writer, b"", {"Request-Id": request, "Not-Executed": "1"}, "503 Service Unavailable")
                        continue
                self.runs[request] = self.runs.get(request, 0) + 1
                self.bodies[request] = body
                self.accounts[request] = headers.get("tenant")
                self.leaked += "x-api-key" in headers
                if headers.get("tenant") == "bound":
                    self.bound_at.append(time.monotonic())
                draw = self.random.random()
                if draw < 0.03:
                    writer.transport.abort()
                    return
                common = {"Request-Id": request, "Server-Signature": "s-" + request}
                framing = self.random.choice(["chunks", "length", "connection"])
                if path.startswith("/tools/") or path.startswith("/grown"):
                    self.answer(writer, b"done-" + request.encode(), common, framed=framing != "connection")
                    if framing == "connection":
                        break
                    continue
                is_draft = path.startswith("/drafts/")
                first = int(headers.get("last-event-id", -1)) + 1
                text, end = server.version if is_draft else request, self.random.choice(["\n", "\r\n"])
                events = [f"id: {number}{end}data: {number}-{text}{end}{end}".encode()
                          for number in range(first, STREAM_EVENTS if is_draft else TURN_EVENTS)]
                cut = 1 if draw > 0.98 or is_draft and draw > 0.8 else len(events)
                if not await self.stream(writer, common, framing, events, cut, STREAM_PAUSE if is_draft else 0.004):
                    return
            writer.close()
        except (OSError, asyncio.IncompleteReadError, ValueError, KeyError):
            writer.close()

    def record_fetch(self, request, path, source, server):
        is_turn = path.startswith(("/plans/", "/drafts/"))
        others = {"%s:%d" % other.address for other in self.slots if other is not server}
        self.fetches += 1
        if not self.may_fetch or not is_turn or source not in others:
            self.wrong_fetches.append(f"{request} at {server.id} names {source} to fetch from")

    async def stream(self, writer, headers, framing, events, cut, pause):
        """Writes events, and breaks off inside the event with the index cut. Returns whether the connection stays open."""
        text = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        text += {"chunks": "Transfer-Encoding: chunked\r\n", "length": f"Content-Length: {len(b''.join(events))}\r\n",
                 "connection": ""}[framing]
        writer.write(f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{text}\r\n".encode())
        is_chunked = framing == "chunks"
        for index, event in enumerate(events):
            part = event[:self.random.randint(1, len(event) - 1)] if index == cut else event
            writer.write(b"%x\r\n%s\r\n" % (len(part), part) if is_chunked else part)
            await writer.drain()
            if index == cut:
                if self.random.random() < 0.3:
                    writer.transport.abort()
                elif is_chunked and self.random.random() < 0.5:
                    writer.write(b"0\r\n\r\n")
                    return True
                else:
                    writer.close()
                return False
            await asyncio.sleep(pause)
        if is_chunked:
            writer.write(b"0\r\n\r\n")
        if framing == "connection":
            writer.close()
        return framing != "connection"

    @staticmethod
    def answer(writer, body, headers, status="200 OK", framed=True):
        text = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        text += f"Content-Length: {len(body)}\r\n" if framed else ""
        writer.write(f"HTTP/1.1 {status}\r\n{text}\r\n".encode() + body)


class Process:
    def __init__(self, soak, name, role, settings):
        self.soak, self.name, self.role, self.settings, self.child, self.first = soak, name, role, settings, None, True
        # Held by whatever stops, suspends or kills the process.
        self.lock, self.kills, self.started_at = asyncio.Lock(), 0, 0.0
        self.data = os.path.join(soak.folder, name)

    async def start(self):
        file = os.path.join(self.soak.folder, self.name + ".ini")
        lines = [f"[gateway]\nvm = {self.name}\nfailure_domain = z\nrole = {self.role}"] + [f"{k} = {v}" for k, v in self.settings.items()]
        if self.role == "ledger":
            lines += [f"data_folder = {self.data}", f"first_start = {'true' if self.first else 'false'}"]
        lines += [f"[seed {i}]\naddress = 127.0.0.1:{port}" for i, port in enumerate(self.soak.peer_ports)]
        with open(file, "w") as out:
            out.write("\n".join(lines) + "\n")
        log = open(os.path.join(self.soak.folder, self.name + ".log"), "ab")
        # Restarts a process that exits by itself, as when its port is in use.
        for _ in range(40):
            self.started_at = math.inf
            self.child = await asyncio.create_subprocess_exec(self.soak.executable, "--settings", file, stdout=log, stderr=log)
            await asyncio.sleep(0.1)
            if self.child.returncode is None:
                break
        self.first, self.started_at = False, time.monotonic()

    async def kill(self):
        if self.child.returncode is None:
            self.child.send_signal(signal.SIGKILL)
        await self.child.wait()


class Soak:
    def __init__(self, build, seed, plant, entry_count=2, draws_settings=False):
        self.plant, self.entry_count = plant, entry_count
        self.executable = os.path.abspath(os.path.join(build, "cardamompost-gateway"))
        self.random, self.seed, self.broken, self.notes = random.Random(seed), seed, [], []
        self.folder = tempfile.mkdtemp(prefix="gateway-soak-")
        self.backend, self.forwarders, self.ledgers, self.entries = Backend(random.Random(seed + 1)), [], [], []
        self.acked, self.sent, self.counts, self.serial = 0, 0, {}, 0
        # The number of additional routes in the newest document, and the highest one that each entry has served.
        self.grown, self.served = 1, {}
        self.keys = {}
        # Streams that began, and resumptions that continued or not while two servers of their version were ready.
        self.begun, self.resumed, self.not_resumed = 0, 0, 0
        # Requests that end their servers and were refused for good, or not, by whether they were.
        self.ended_bodies = {True: 0, False: 0}
        self.next_port = os.getpid() * 211
        # Drawn apart, so that the faults of a seed don't depend on the number of settings.
        options = random.Random(seed + 2)
        self.placement = {name: draws_settings and options.random() < 0.5 for name in PLACEMENT_SETTINGS}
        self.moves = draws_settings and options.random() < 0.7
        self.backend.may_fetch = self.moves and self.placement["fetch_prompts"]

    def fail(self, text):
        self.broken.append(text)

    async def listen(self, serve):
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        return server.sockets[0].getsockname()

    async def start(self):
        await self.backend.start(self.listen)
        count = self.entry_count
        ports = [self.free_port() for _ in range(3 * 3 + count * 3)]
        for i in range(3):
            self.forwarders.append(Forwarder(("127.0.0.1", ports[i])))
        self.peer_ports = [(await self.listen(forwarder.serve))[1] for forwarder in self.forwarders]
        self.controls = [("127.0.0.1", port) for port in ports[3:6]]
        for i in range(3):
            self.ledgers.append(Process(self, f"ledger-{i}", "ledger", {
                "peer": f"127.0.0.1:{self.peer_ports[i]}", "peer_listen": f"127.0.0.1:{ports[i]}",
                "control": f"127.0.0.1:{ports[3 + i]}", "directory": f"127.0.0.1:{ports[6 + i]}",
                "backend_list": "%s:%d" % self.backend.address, "list_interval_ms": 300, "limit_window_s": WINDOW,
                "limit_over_share": OVER_SHARE, "limit_over_requests": OVER_REQUESTS,
                **{name: str(is_on).lower() for name, is_on in self.placement.items()}}))
        self.fronts = [("127.0.0.1", port) for port in ports[9:9 + count]]
        for i in range(count):
            self.entries.append(Process(self, f"entry-{i}", "entry", {
                "grace_ms": GRACE * 1000, "peer": f"127.0.0.1:{ports[9 + 2 * count + i]}", "front": f"127.0.0.1:{ports[9 + i]}",
                "ready": f"127.0.0.1:{ports[9 + count + i]}"}))
        for process in self.ledgers + self.entries:
            await process.start()
        await self.put_document(1, 20)

    def free_port(self):
        # Below the ephemeral range: no outgoing connection can take the port before the listener opens.
        first = int(open("/proc/sys/net/ipv4/ip_local_port_range").read().split()[0])
        while True:
            self.next_port += 1
            port = 10000 + self.next_port % (first - 10000)
            with socket.socket() as probe:
                try:
                    probe.bind(("127.0.0.1", port))
                    return port
                except OSError:
                    continue

    async def until_served(self, front):
        """Waits until an entry serves a request; used by measurements."""
        until = time.monotonic() + 10
        while time.monotonic() < until and (await call(front, "POST", "/tools/x", {"Host": "h.example"}))[0] != 200:
            await asyncio.sleep(0.1)

    async def put_document(self, version, patience):
        until = time.monotonic() + patience
        self.sent = max(self.sent, version)
        self.grown += self.random.randint(0, 150)
        body = document(version, self.grown, self.moves)
        while time.monotonic() < until:
            for control in self.controls:
                status, _ = await call(control, "PUT", "/cardamompost/configuration", None, body, 1.5)
                if status == 200:
                    self.acked = max(self.acked, version)
                    return True
            await asyncio.sleep(0.1)
        return False

    async def read_documents(self):
        for control in self.controls:
            before = self.acked
            status, body = await call(control, "GET", "/cardamompost/configuration", None, b"", 1.5)
            if status == 200 and json.loads(body)["version"] < before:
                self.fail(f"document {json.loads(body)['version']} read after {before} was acknowledged")

    async def ask_for_routes(self):
        """Requests a route of the newest document and one that the entry has served before."""
        for front in self.fronts:
            served = self.served.get(front, 0)
            for route in {self.grown - 1, self.random.randint(0, served)}:
                self.serial += 1
                headers = {"Host": "h.example", "Request-Id": f"g{self.seed}x{self.serial}"}
                status, _ = await call(front, "POST", f"/grown-{route}/x", headers, b"x", 3.0)
                if status == 200:
                    self.served[front] = max(self.served.get(front, 0), route)
                elif status == 404 and 0 <= route <= served and front in self.served:
                    self.fail(f"route {route} was refused with 404 at {front}, which had served {served}")

    async def serves_newest(self, front):
        for _ in range(40):
            await self.ask_for_routes()
            if self.served.get(front) == self.grown - 1:
                return True
            await asyncio.sleep(0.1)
        return False

    async def send(self, path, headers, body, key=KEY):
        self.serial += 1
        request = f"r{self.seed}x{self.serial}"
        self.keys[request] = key
        headers = {"X-Api-Key": key, "Tenant": "forged", "Kv-Fetch": FORGED_SOURCE, **headers}
        status, answer = await call(self.random.choice(self.fronts), "POST", path,
                                    {"Host": "h.example", "Request-Id": request, "Deadline-Milliseconds": 4000, **headers}, body)
        self.counts[status] = self.counts.get(status, 0) + 1
        if self.backend.runs.get(request, 0) > 1:
            self.fail(f"{request} ran {self.backend.runs[request]} times")
        if status == 401 and key in HOLDERS:
            self.fail(f"{request} was refused although the key '{key}' is valid")
        if status in (401, 402, 404, 408, 421, 429, 503):
            self.refused.append((request, status))
        return request, status, answer

    async def program(self, number):
        previous, history, received_tokens = None, b"", 0
        key = "stay-officers" if number % 2 else "stay-foremen"
        for turn in range(12):
            headers = {"Program": f"p{self.seed}-{number}", "Session": "s", "Token-Budget": BUDGET,
                       "Token-Usage": f"{PROMPT_TOKENS[number % len(PROMPT_TOKENS)]},{MAX_TURN_TOKENS}"}
            if previous:
                headers["Previous-Turn"] = previous
            text = f"in-{number}-{turn};".encode()
            request, status, answer = await self.send("/plans/x", headers, text, key)
            answer = answer.replace(b"\r\n", b"\n")
            received_events = answer.count(b"\n\n")
            received_tokens += received_events * TOKENS_PER_EVENT
            received_body = self.backend.bodies.get(request)
            if received_body is not None and received_body != history + text:
                self.fail(f"{request} reached the engine with a wrong history")
            if status == 404:
                self.fail(f"{request}: the completed turn {previous} is unknown")
            if status == 402:
                break
            if status == 200 and received_events != TURN_EVENTS:
                self.fail(f"{request} got {received_events} of {TURN_EVENTS} events in an answer that looks complete")
            if status == 200:
                data = b"".join(line[6:] + b"\n" for line in answer.split(b"\n") if line.startswith(b"data: "))
                previous, history = request, history + text + data
            await self.send("/tools/x", {}, b"work", self.random.choice([key, "mover", "never"]))
            await asyncio.sleep(self.random.uniform(0.01, 0.1))
        if received_tokens > BUDGET + MAX_TURN_TOKENS:
            self.fail(f"program {number} got {received_tokens} tokens with a budget of {BUDGET}")

    async def read_events(self, path, headers, events, most):
        """Appends the (id, version) of each event received. Returns the status, 0 without one, and whether the stream ended."""
        status = 0
        try:
            reader, writer = await asyncio.open_connection(*self.random.choice(self.fronts))
            try:
                lines = [f"POST {path} HTTP/1.1", "Host: h.example", f"X-Api-Key: {KEY}", "Deadline-Milliseconds: 4000", "Content-Length: 4"]
                writer.write("\r\n".join(lines + [f"{name}: {value}" for name, value in headers.items()] + ["", "work"]).encode())
                head, answer = await asyncio.wait_for(read_head(reader), 6)
                status = int(head.split()[1])
                if status != 200:
                    return status, False
                while size := int(await asyncio.wait_for(reader.readline(), 6), 16):
                    chunk = await asyncio.wait_for(reader.readexactly(size + 2), 6)
                    for event in chunk.decode().replace("\r\n", "\n").split("\n\n")[:-1]:
                        number, text = [line.split(": ")[1] for line in event.strip().split("\n")]
                        events.append((int(number), text.split("-")[1]))
                    if len(events) >= most:
                        return status, False
                return status, True
            finally:
                writer.transport.abort()
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
            return status, False

    async def resume_streams(self, until):
        """Begins streams, drops some of their connections, and resumes them at any entry."""
        while time.monotonic() < until:
            self.serial += 1
            begun, events, entry_tries, ended = None, [], 0, False
            # With a budget it is a turn, without one a plain stream.
            common = {"Program": f"d{self.seed}-{self.serial}", "Token-Usage": f"100,{STREAM_EVENTS * TOKENS_PER_EVENT}",
                      "Token-Budget": 10000} if self.random.random() < 0.7 else {}
            while not ended and entry_tries < 4 and time.monotonic() < until:
                entry_tries += 1
                self.serial += 1
                request, had, version = f"s{self.seed}x{self.serial}", len(events), events[0][1] if events else None
                ready = self.backend.ready_of(version)
                headers = {"Request-Id": request, **common, **({"Resumes": begun, "Last-Event-Id": events[-1][0]} if begun else {})}
                most = len(events) + self.random.choice([1, 2, STREAM_EVENTS + 1])
                status, ended = await self.read_events("/drafts/x", headers, events, most)
                if status in (429, 503):
                    self.refused.append((request, status))
                if not begun and events:
                    begun, self.begun = request, self.begun + 1
                elif begun and min(ready, self.backend.ready_of(version)) >= 2:
                    self.resumed += status == 200
                    self.not_resumed += status != 200
                if not begun and not events:
                    break
            versions, numbers = {version for _, version in events}, [number for number, _ in events]
            if len(versions) > 1:
                self.fail(f"the stream {begun} holds events of {sorted(versions)}")
            if ended and len(events) != STREAM_EVENTS:
                self.fail(f"the stream {begun} ended as complete after {len(events)} of {STREAM_EVENTS} events")
            if numbers != list(range(len(numbers))):
                self.fail(f"the stream {begun} has the events {numbers}")
            await asyncio.sleep(0.01)

    async def traffic(self, until):
        number = 0
        async def client(_):
            nonlocal number
            while time.monotonic() < until:
                number += 1
                await self.program(number)
        await asyncio.gather(*(client(i) for i in range(6)))

    async def press(self, until):
        """Sends requests at several times the rate limit of an account."""
        async def client():
            while time.monotonic() < until:
                await self.send("/tools/x", {}, b"work", "stay-bound")
                await asyncio.sleep(0.1)
        await asyncio.gather(*(client() for _ in range(8)))

    async def keep(self, until):
        """Uses a connection for as long as its entry keeps it open, also while the entry stops."""
        while time.monotonic() < until:
            number = self.random.randrange(len(self.fronts))
            try:
                reader, writer = await asyncio.open_connection(*self.fronts[number])
            except OSError:
                await asyncio.sleep(0.05)
                continue
            while await self.ask_on(reader, writer, self.entries[number]) and time.monotonic() < until:
                await asyncio.sleep(0.01)
            writer.close()

    async def ask_on(self, reader, writer, entry):
        """Returns whether the connection stays open."""
        kills = entry.kills
        self.serial += 1
        request = f"k{self.seed}x{self.serial}"
        self.keys[request] = KEY
        try:
            writer.write(f"POST /tools/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {request}\r\nX-Api-Key: {KEY}\r\n"
                         "Deadline-Milliseconds: 4000\r\nContent-Length: 4\r\n\r\nwork".encode())
            status, headers = await asyncio.wait_for(read_head(reader), 10)
            await asyncio.wait_for(read_body(reader, headers), 10)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            if self.backend.runs.get(request) and entry.kills == kills:
                self.fail(f"{request} ran, and the connection on which it was sent ended without an answer")
            return False
        status = int(status.split()[1])
        self.counts[status] = self.counts.get(status, 0) + 1
        if self.backend.runs.get(request, 0) > 1:
            self.fail(f"{request} ran {self.backend.runs[request]} times")
        return headers.get("connection", "").lower() != "close"

    async def crash_entries(self, until):
        """Kills entries, one after the other or both at once."""
        while time.monotonic() + 4 < until:
            await asyncio.sleep(self.random.uniform(1, 4))
            await asyncio.gather(*(self.crash(entry) for entry in self.random.sample(self.entries, self.random.choice([1, 1, 2]))))

    async def hang_up(self, until):
        """Sends series of SIGHUP to processes that have run long enough to have a handler."""
        while time.monotonic() < until:
            await asyncio.sleep(self.random.uniform(0.1, 1))
            process = self.random.choice(self.ledgers + self.entries)
            for _ in range(self.random.randint(1, 5)):
                if process.child.returncode is None and time.monotonic() > process.started_at + HANDLER_TIME:
                    with contextlib.suppress(ProcessLookupError):
                        os.kill(process.child.pid, signal.SIGHUP)
                await asyncio.sleep(self.random.uniform(0, 0.05))

    async def crash(self, process):
        if process.lock.locked():
            return
        async with process.lock:
            process.kills += 1
            await process.kill()
            await asyncio.sleep(self.random.uniform(0, 0.5))
            await process.start()

    async def stop(self, process, patience):
        """Sends SIGTERM, possibly several times, and starts the process again once it has ended."""
        async with process.lock:
            await self.stop_locked(process, patience)

    async def stop_locked(self, process, patience):
        if process.child.returncode is not None:
            self.fail(f"{process.name} ended by itself with code {process.child.returncode}")
        for _ in range(self.random.randint(1, 3)):
            # It may have ended after an earlier signal.
            if process.child.returncode is None:
                # Not send_signal(), which may reap the process before asyncio does; the exit code would then be lost.
                with contextlib.suppress(ProcessLookupError):
                    os.kill(process.child.pid, signal.SIGTERM)
            await asyncio.sleep(self.random.uniform(0, 0.3))
        try:
            await asyncio.wait_for(process.child.wait(), patience)
        except asyncio.TimeoutError:
            self.fail(f"{process.name} keeps running after SIGTERM")
            await process.kill()
        # A process told to stop while it starts has no handler for the signal yet.
        if process.child.returncode not in (0, -signal.SIGTERM):
            self.fail(f"{process.name} ended with code {process.child.returncode} after SIGTERM")
        await process.start()

    def check_accounts(self):
        if self.backend.leaked:
            self.fail(f"{self.backend.leaked} requests reached the backend server with a key")
        for request, account in self.backend.accounts.items():
            key = self.keys.get(request, KEY)
            holders = {"visitors"} if key.startswith("visit-") else HOLDERS.get(key, set())
            if account not in holders:
                self.fail(f"{request} with the key '{key}' ran for the account '{account}'")
        times, first = sorted(self.backend.bound_at), 0
        max_requests = (RATE * WINDOW + RATE) * (1 + OVER_SHARE) + OVER_REQUESTS
        for last, at in enumerate(times):
            while times[first] <= at - WINDOW:
                first += 1
            if last - first + 1 > max_requests:
                self.fail(f"{last - first + 1} requests of the rate-limited account within {WINDOW} s, limit {max_requests}")
                break

    async def refuses_old_keys(self, front):
        """Checks that the newest document's key is accepted and the previous one's is refused."""
        async def status(version):
            self.serial += 1
            request = f"v{self.seed}x{self.serial}"
            self.keys[request] = f"visit-{version}"
            headers = {"Host": "h.example", "Request-Id": request, "X-Api-Key": self.keys[request]}
            return (await call(front, "POST", "/tools/x", headers, b"x", 3.0))[0]
        for _ in range(40):
            # Retried, since the stand-in drops some responses.
            if await status(self.acked - 1) == 401 and await status(self.acked) == 200:
                return True
            await asyncio.sleep(0.1)
        return False

    async def end_servers(self, until):
        """Sends requests that end their servers until they are refused for good, and others beside them."""
        number = 0
        while time.monotonic() + 1 < until:
            number += 1
            body, recorded, status = b"%s %d" % (FATAL, number), 0, 0
            for attempt in range(10):
                beside = [self.send("/fragile/x", {}, b"beside %d %d %d" % (number, attempt, i)) for i in range(4)]
                at = time.monotonic()
                (request, status, _), *others = await asyncio.gather(self.send("/fragile/x", {}, body), *beside)
                is_recorded = status in (400, 502) and time.monotonic() - at < RECORD_TIME
                recorded += request in FragileServer.ended and is_recorded
                for other, other_status, _ in others:
                    if other_status == 400:
                        self.fail(f"{other} was refused because of {body.decode()}, which ended its server")
                if status == 400:
                    break
            self.ended_bodies[status == 400] += 1
            if recorded > MAX_ENDS:
                self.fail(f"{recorded} servers ended under '{body.decode()}'")
            await asyncio.sleep(self.random.uniform(0.3, 1.0))

    async def operator(self, until):
        version = 1
        while time.monotonic() < until:
            version += self.random.randint(1, 3)
            await self.put_document(version, 1.0)
            await self.read_documents()
            await self.ask_for_routes()
            await asyncio.sleep(0.4)

    async def fault(self):
        kind = self.random.choice(["kill", "kill", "freeze", "wipe", "full", "delay", "reset", "silence", "oneway", "entry",
                                   "stop", "stop"])
        number = self.random.randrange(3)
        ledger, forwarder = self.ledgers[number], self.forwarders[number]
        self.notes.append(f"{kind} {number}")
        if self.plant:
            for lost in self.ledgers[:2]:
                await lost.kill()
                shutil.rmtree(lost.data)
                await lost.start()
        elif kind in ("kill", "wipe"):
            await ledger.kill()
            if kind == "wipe":
                shutil.rmtree(ledger.data)
            await asyncio.sleep(self.random.uniform(0.1, 1.5))
            await ledger.start()
        elif kind == "full":
            # The process must exit by itself: a member whose disk has failed can't recover otherwise.
            resource.prlimit(ledger.child.pid, resource.RLIMIT_FSIZE, (1, 1))
            try:
                await asyncio.wait_for(ledger.child.wait(), 5)
            except asyncio.TimeoutError:
                self.fail(f"{ledger.name} keeps running although its disk refuses writes")
                await ledger.kill()
            await ledger.start()
        elif kind in ("freeze", "entry"):
            process = ledger if kind == "freeze" else self.random.choice(self.entries)
            async with process.lock:
                process.child.send_signal(signal.SIGSTOP)
                await asyncio.sleep(self.random.uniform(0.5, 2.5))
                process.child.send_signal(signal.SIGCONT)
        elif kind == "stop":
            stops = [self.stop(self.random.choice(self.entries), GRACE + 2)]
            if self.random.random() < 0.5:
                stops.append(self.stop(ledger, GRACE + 2))
            await asyncio.gather(*stops)
        elif kind == "reset":
            forwarder.reset()
        else:
            forwarder.delay = 0.08 if kind == "delay" else 0.0
            forwarder.forth, forwarder.back = kind != "silence", kind not in ("silence", "oneway")
            await asyncio.sleep(self.random.uniform(0.5, 2.5))
            # Open connections are reset; new ones work.
            forwarder.delay, forwarder.forth, forwarder.back = 0.0, True, True
            forwarder.reset()
        # The system tolerates a further loss only after recovery from the previous one.
        await asyncio.sleep(3.0)

    async def run(self, seconds):
        self.refused = []
        await self.start()
        until = time.monotonic() + seconds
        work = asyncio.gather(self.traffic(until), self.press(until), self.operator(until), self.keep(until), self.keep(until),
                              self.backend.roll(until), self.crash_entries(until), self.hang_up(until), self.end_servers(until), *(self.resume_streams(until) for _ in range(4)))
        while time.monotonic() + 6 < until:
            await self.fault()
        await work
        served = False
        for _ in range(40):
            _, status, _ = await self.send("/plans/x", {"Program": "last", "Token-Usage": "1,10", "Token-Budget": 1000}, b"x")
            served = served or status == 200
        if not served:
            self.fail("no turn is served after the faults are over")
        # Above all that were sent: one that was not acknowledged may be in force.
        if not await self.put_document(self.sent + 1, 10):
            self.fail("no document is acknowledged after the faults are over")
        await self.read_documents()
        for front in self.fronts:
            # Skipped if no turn is served, which is a failure already: the requests would only time out.
            if served and not await self.serves_newest(front):
                self.fail(f"{front} does not serve the newest of {self.grown} routes")
            if served and not await self.refuses_old_keys(front):
                self.fail(f"{front} accepts keys of a document before {self.acked}")
        self.check_accounts()
        self.broken += self.backend.wrong_fetches
        tries = self.resumed + self.not_resumed
        if tries >= MIN_RESUMPTIONS and self.resumed < MIN_RESUMED_SHARE * tries:
            self.fail(f"{self.resumed} of {tries} streams were resumed while two servers of their version were ready")
        for request, status in self.refused:
            if request in self.backend.runs:
                self.fail(f"{request} was refused with {status}, but ran")

    async def finish(self):
        for process in self.ledgers + self.entries:
            if process.child:
                if process.child.returncode is None:
                    process.child.send_signal(signal.SIGCONT)
                await process.kill()
        if self.broken:
            print(f"  logs are kept in {self.folder}")
        else:
            shutil.rmtree(self.folder)


async def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", default="build")
    parser.add_argument("--seconds", type=float, default=25)
    parser.add_argument("--entries", type=int, default=2)
    parser.add_argument("--plant", action="store_true")
    parser.add_argument("seeds", type=int, nargs="+")
    arguments = parser.parse_args()
    failed = 0
    for seed in arguments.seeds:
        soak = Soak(arguments.build, seed, arguments.plant, arguments.entries, draws_settings=True)
        try:
            await soak.run(arguments.seconds)
        finally:
            await soak.finish()
        failed += bool(soak.broken)
        answers = ", ".join(f"{status}: {count}" for status, count in sorted(soak.counts.items()))
        print(f"seed {seed}: {'BROKEN' if soak.broken else 'held'}; faults {' | '.join(soak.notes)}; answers {answers}; "
              f"streams {soak.begun} begun, {soak.resumed} of {soak.resumed + soak.not_resumed} resumed; "
              f"{soak.ended_bodies[True]} of {sum(soak.ended_bodies.values())} that end servers refused; "
              f"{soak.backend.fetches} prompts fetched; on: {', '.join(name for name, is_on in soak.placement.items() if is_on) or 'nothing'}"
              f"{', moves' if soak.moves else ''}", flush=True)
        for text in soak.broken[:10]:
            print("  " + text)
    print(f"{len(arguments.seeds) - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
