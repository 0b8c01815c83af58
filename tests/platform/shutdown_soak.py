#!/usr/bin/env python3
"""Soak of planned shutdowns: real processes on loopback get signals in series and overlapping while clients use their connections to the end.

usage: shutdown_soak.py [--build FOLDER] [--seconds S] [--entries N] [--clients N] [--grace S] SEED...

Three ledger VMs and several entries run as processes. By the seed: the grace period, the timeouts of the routes, and what happens: SIGTERM once
or several times, SIGHUP before, between and after, a freeze during a drain, SIGTERM right after a start, all entries at once, an entry and the
ledger's leader at once, and changes of the document that add, change and drop routes. Clients go on with open connections until they are closed:
with pauses, pipelined, with slow bodies, slow reads, long and short requests, turns with history, and streams that they resume. Checked:
- no request that a backend server has received, or that a process has had for longer than READ_SLACK, ends without a complete answer;
- a request that was refused as not executed has not run, an unsafe one runs at most once, and each answer belongs to its request;
- a turn arrives with its complete history, and a turn that was answered completely is never unknown;
- the events of a stream and its resumptions come once each, in order, and are all there if it ends as complete;
- each process ends by itself with code 0 within its grace period, and serves again after its start;
- the newest acknowledged document is read back.
A request may end without an answer if the server broke off, its deadline or its route's timeout had passed, its process was frozen past the grace
period, or a stream had begun that was sent no later than LONG_REQUESTS_UNTIL after SIGTERM and was at work in the last LAST_SHARE of the grace period.
"""
import argparse, asyncio, contextlib, json, math, os, random, shutil, signal, socket, sys, time, urllib.parse

import gateway_soak

# A request sent later than this after SIGTERM, in seconds, must get its answer however long it takes; share of the grace period for others.
LONG_REQUESTS_UNTIL, LAST_SHARE = 3.0, 1 / 6
# A process that closes a connection this long after the last byte of a request, in seconds, is taken to have read it.
READ_SLACK = 0.2
# Time in seconds after a request's deadline in which some answer must have come, and after which a process that hasn't ended is killed.
ANSWER_SLACK, THAW_SLACK = 3.0, 2.0
# Time in seconds in which this script notices an end, share of the grace period after which a thaw counts as late, and delays of this script that count.
END_NOTICE, LATEST_THAW, MIN_STALL = 0.05, 0.85, 0.02
GRACES = [1, 1.5, 2, 3, 4, 6, 8, 8, 12]
# Servers, and the share of requests under which they break off.
SERVERS, BROKEN_SHARE = 3, 0.01
# Events of a stream, and sizes of large responses.
EVENTS, LARGE = 5, [300_000, 1_000_000]
REFUSALS = (408, 421, 429, 503)
# Bytes that a client takes at a time if it reads slowly, and the longest time in seconds for the whole.
SLOW_READS, SLOW_READ_TIME = 10, 1.5


class Servers:
    """The backend servers and the backend list."""

    def __init__(self, random_):
        self.random, self.runs, self.bodies, self.ended, self.broke_off = random_, {}, {}, {}, set()

    async def start(self, listen):
        self.addresses = [await listen(lambda reader, writer, number=number: self.serve(number, reader, writer)) for number in range(SERVERS)]
        self.address = self.addresses[0]

    async def serve(self, number, reader, writer):
        # Cancelled at the end of the script.
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, ValueError, KeyError, asyncio.CancelledError):
            while True:
                line, headers = await gateway_soak.read_head(reader)
                body = await gateway_soak.read_body(reader, headers)
                target = urllib.parse.urlsplit(line.split()[1])
                if target.path.startswith("/instances"):
                    instances = [{"id": f"i-{i}", "service": "e", "address": "%s:%d" % address, "zone": "z", "slots": 500, "version": "v1",
                                  "state": "ready"} for i, address in enumerate(self.addresses)]
                    gateway_soak.Backend.answer(writer, json.dumps({"instances": instances, "next": None}).encode(), {})
                    continue
                if not await self.run(number, dict(urllib.parse.parse_qsl(target.query)), headers, body, target.path, writer):
                    break
        writer.close()

    async def run(self, number, wish, headers, body, path, writer):
        """Returns whether the connection stays open."""
        request = headers["request-id"]
        if headers.get("expected-instance") != f"i-{number}":
            gateway_soak.Backend.answer(writer, b"", {"Request-Id": request}, "421 Misdirected Request")
            return True
        self.runs[request] = self.runs.get(request, 0) + 1
        self.bodies[request] = body
        takes, breaks = float(wish["takes"]), self.random.random() < BROKEN_SHARE
        common = {"Request-Id": request, "Server-Signature": "s-" + request}
        if breaks:
            self.broke_off.add(request)
        if path.startswith(("/turns/", "/streams/")):
            text = "".join(f"{name}: {value}\r\n" for name, value in common.items())
            writer.write(f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{text}Transfer-Encoding: chunked\r\n\r\n".encode())
            first = int(headers.get("last-event-id", -1)) + 1
            text = request if path.startswith("/turns/") else "v1"
            for event in range(first, EVENTS):
                part = f"id: {event}\ndata: {event}-{text}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(part), part))
                await writer.drain()
                await asyncio.sleep(takes / EVENTS)
                if breaks:
                    writer.transport.abort()
                    return False
            writer.write(b"0\r\n\r\n")
        else:
            await asyncio.sleep(takes)
            if breaks:
                writer.transport.abort()
                return False
            gateway_soak.Backend.answer(writer, b"done-%s;" % request.encode() + b"x" * int(wish.get("size", 0)), common)
        await writer.drain()
        self.ended[request] = time.monotonic()
        return True


class Life:
    """One process from its start to its end."""

    def __init__(self):
        self.told, self.thawed, self.is_frozen, self.is_disrupted = None, 0.0, False, False


class Request:
    def __init__(self, kind, name, limit, head, body):
        self.kind, self.id, self.limit, self.head, self.body = kind, name, limit, head, body
        self.sent, self.stalled, self.has_begun = 0.0, 0.0, False


class Connection:
    def __init__(self, reader, writer, entry):
        self.reader, self.writer, self.entry, self.life = reader, writer, entry, entry.life


class ShutdownSoak(gateway_soak.Soak):
    def __init__(self, arguments, seed):
        super().__init__(arguments.build, seed, False, arguments.entries)
        self.arguments, self.backend = arguments, Servers(self.random)
        # Drawn apart, so that the kinds don't depend on the clients.
        self.event_random = random.Random(seed + 3)
        self.grace = arguments.grace or self.random.choice(GRACES)
        # From much shorter than the grace period to longer.
        self.timeouts = {kind: round(self.random.uniform(0.5, 1.4) * max(self.grace, 2), 2) for kind in ("work", "reads", "turns", "streams")}
        self.with_extra, self.stalled, self.is_over = True, 0.0, False
        self.ends, self.drains, self.unfinished = {}, [], []

    def count(self, what):
        self.ends[what] = self.ends.get(what, 0) + 1

    # Processes.

    async def start(self):
        await super().start()
        # Again, with the grace period and without proxies: a delay of this script must not part the processes.
        for process in self.ledgers + self.entries:
            await process.kill()
            process.settings["grace_ms"] = round(self.grace * 1000)
            process.life = Life()
        for ledger in self.ledgers:
            ledger.settings["peer"], ledger.first = ledger.settings.pop("peer_listen"), True
            shutil.rmtree(ledger.data)
        self.peer_ports = [int(ledger.settings["peer"].rpartition(":")[2]) for ledger in self.ledgers]
        for process in self.ledgers + self.entries:
            await process.start()
        if not await self.put_document(2, 20):
            self.fail("no document is acknowledged after the start")
        for front in self.fronts:
            await self.until_answered(front)

    async def until_answered(self, front):
        until = time.monotonic() + 10 + len(self.entries) / 4
        while time.monotonic() < until:
            self.serial += 1
            headers = {"Host": "h.example", "Request-Id": f"u{self.seed}x{self.serial}"}
            if (await gateway_soak.call(front, "POST", "/work/x?takes=0", headers, b"x", 2.0))[0] == 200:
                return
            await asyncio.sleep(0.1)
        self.fail(f"{front} serves nothing after its start")

    async def put_document(self, version, patience):
        def route(name, kind, timeout, attempts=1, **more):
            return {"name": name, "host": "h.example", "path-prefix": f"/{name}/", "kind": kind, "timeout-ms": round(timeout * 1000),
                    "service": "e", "max-attempts": attempts, **more}
        turn = {"retention-s": 60.0, "sticky-sessions": True}
        routes = [route("work", "unsafe", self.timeouts["work"]), route("reads", "safe", self.timeouts["reads"], 2),
                  route("turns", "streaming", self.timeouts["turns"], **turn, **{"retains-context": True}),
                  route("streams", "streaming", self.timeouts["streams"], 2, **turn, resumable=True)]
        if self.with_extra:
            routes.append(route("extra", "unsafe", self.timeouts["work"] * self.random.choice([1, 1.5])))
        routes += [route(f"more-{i}", "unsafe", 3) for i in range(self.random.randint(0, 50))]
        engine = {"slots": 500, "key-value-tokens": 1000000, "stride": 10}
        document = {"version": version, "routes": routes, "services": [{"name": "e", "max-connections": 500, "engine": engine}],
                    "limits": gateway_soak.DOCUMENT["limits"]}
        self.sent = max(self.sent, version)
        until = time.monotonic() + patience
        while time.monotonic() < until:
            for control in self.controls:
                if (await gateway_soak.call(control, "PUT", "/cardamompost/configuration", None, json.dumps(document).encode(), 1.5))[0] == 200:
                    self.acked = max(self.acked, version)
                    return True
            await asyncio.sleep(0.1)
        return False

    async def operator(self):
        while not self.is_over:
            self.with_extra = not self.with_extra or self.random.random() < 0.5
            await self.put_document(self.sent + 1, 1.0)
            await self.read_documents()
            await asyncio.sleep(self.random.uniform(0.2, 1.5))

    async def measure_stalls(self):
        """Adds up for how long this script was held up, which is no fault of a process."""
        while True:
            at = time.monotonic()
            await asyncio.sleep(MIN_STALL)
            delay = time.monotonic() - at - MIN_STALL
            self.stalled += delay if delay > MIN_STALL else 0.0

    def send_signal(self, process, number):
        if process.child.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(process.child.pid, number)

    async def stop(self, process, freeze=None):
        """Sends SIGTERM, possibly several times and among SIGHUPs, waits for the end, and starts the process again."""
        async with process.lock:
            if process.child.returncode is not None:
                self.fail(f"{process.name} ended by itself with code {process.child.returncode}")
            has_handler = time.monotonic() > process.started_at + gateway_soak.HANDLER_TIME
            for _ in range(self.random.randint(0, 3) if has_handler else 0):
                self.send_signal(process, signal.SIGHUP)
            process.life.told = time.monotonic()
            self.send_signal(process, signal.SIGTERM)
            more = asyncio.ensure_future(self.send_more(process, has_handler, freeze))
            stalled = self.stalled
            process.life.is_frozen = freeze is not None
            process.life.is_disrupted = freeze is not None and freeze[0] + freeze[1] > self.grace
            end = "ended"
            try:
                await asyncio.wait_for(process.child.wait(), max(self.grace, sum(freeze or ())) + 2 * THAW_SLACK)
            except asyncio.TimeoutError:
                end = "had not ended"
            took = time.monotonic() - process.life.told
            limit = max(self.grace, process.life.thawed) + THAW_SLACK if process.life.is_disrupted else self.grace
            if took - (self.stalled - stalled) > limit + END_NOTICE:
                self.fail(f"{process.name} {end} {took:.2f} s after SIGTERM, limit {limit:.2f} s, stalls of this script {self.stalled - stalled:.2f} s")
            if end != "ended":
                process.life.is_disrupted = True
                await process.kill()
            self.drains.append(took)
            await more
            # Without a handler yet, the signal itself ends the process, which has taken no request.
            if process.child.returncode != 0 and (has_handler or process.child.returncode != -signal.SIGTERM):
                self.fail(f"{process.name} ended with code {process.child.returncode} after SIGTERM")
            await asyncio.sleep(self.random.choice([0, 0, 0.3]))
            process.life = Life()
            await process.start()

    async def send_more(self, process, has_handler, freeze):
        child, at = process.child, time.monotonic()
        signals = [(self.random.uniform(0, self.grace), self.random.choice([signal.SIGTERM, signal.SIGHUP] if has_handler else [signal.SIGTERM]))
                   for _ in range(self.random.choice([0, 0, 1, 2, 5]))]
        if freeze:
            signals += [(freeze[0], signal.SIGSTOP), (freeze[0] + freeze[1], signal.SIGCONT)]
        for when, number in sorted(signals):
            if child.returncode is None:
                with contextlib.suppress(asyncio.TimeoutError):
                    await asyncio.wait_for(child.wait(), max(0.0, at + when - time.monotonic()))
            if child is process.child:
                self.send_signal(process, number)
            if number == signal.SIGCONT:
                process.life.thawed = time.monotonic() - at
                # This script may have been held up.
                process.life.is_disrupted = process.life.is_disrupted or process.life.thawed > LATEST_THAW * self.grace

    def leader(self):
        """The ledger VM that has last logged that it leads."""
        newest = (-1, self.ledgers[0])
        for ledger in self.ledgers:
            lines = [line for line in self.log_lines(ledger) if '"ledger.leader"' in line and '"self_leads":true' in line]
            if lines:
                newest = max(newest, (json.loads(lines[-1])["term"], ledger), key=lambda item: item[0])
        return newest[1]

    @staticmethod
    def log_lines(process):
        with open(os.path.join(process.soak.folder, process.name + ".log"), errors="replace") as log:
            return log.read().splitlines()

    async def event(self):
        kind = self.event_random.choice(["one", "one", "overlap", "overlap", "all", "leader", "ledger", "young", "freeze", "hangups"])
        self.notes.append(kind)
        entry = self.random.choice(self.entries)
        if kind == "one":
            await self.stop(entry)
        elif kind == "overlap":
            stops = []
            for other in self.random.sample(self.entries, self.random.randint(1, len(self.entries))):
                stops.append(asyncio.ensure_future(self.stop(other)))
                await asyncio.sleep(self.random.uniform(0, self.grace / 3))
            await asyncio.gather(*stops)
        elif kind == "all":
            await asyncio.gather(*(self.stop(other) for other in self.entries))
        elif kind in ("leader", "ledger"):
            ledger = self.leader() if kind == "leader" else self.random.choice(self.ledgers)
            await asyncio.gather(self.stop(entry), self.stop(ledger))
            # The system tolerates a further loss only after recovery from the previous one.
            await asyncio.sleep(3)
        elif kind == "young":
            await self.stop(entry)
            await asyncio.sleep(self.random.uniform(0, 1.5))
            await self.stop(entry)
        elif kind == "freeze":
            # It is thawed well before the end of the grace period, or after it.
            at = self.random.uniform(0, 0.7) * self.grace
            span = self.grace - at + 0.3 if self.random.random() < 0.3 else self.random.uniform(0, 0.8 * self.grace - at)
            await self.stop(entry, (at, span))
        else:
            for _ in range(self.random.randint(3, 20)):
                process = self.random.choice(self.ledgers + self.entries)
                if not process.lock.locked() and time.monotonic() > process.started_at + gateway_soak.HANDLER_TIME:
                    self.send_signal(process, signal.SIGHUP)
                await asyncio.sleep(self.random.uniform(0, 0.1))

    # Requests.

    async def open(self):
        entry = self.random.choice(self.entries)
        with contextlib.suppress(OSError, asyncio.TimeoutError):
            place = self.fronts[self.entries.index(entry)]
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*place, limit=16384), 2)
            # So small that slow reads delay the process.
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
            return Connection(reader, writer, entry)
        await asyncio.sleep(0.05)
        return None

    def draw_time(self, kind):
        """Mostly short; the others up to longer than the timeout."""
        return self.random.choice([0, 0.02, 0.2, 0.2, self.random.uniform(0, 1.1) * self.timeouts.get(kind, self.timeouts["work"])])

    def new_request(self, kind, body=b"work", size=0, takes=None, headers=()):
        self.serial += 1
        name = f"{kind[0]}{self.seed}x{self.serial}"
        takes = self.draw_time(kind) if takes is None else takes
        timeout = self.timeouts.get(kind, self.timeouts["work"])
        deadline = timeout * self.random.choice([0.5, 1, 1, 2])
        lines = [f"POST /{kind}/x?takes={takes:.3f}&size={size} HTTP/1.1", "Host: h.example", f"Request-Id: {name}",
                 f"Deadline-Milliseconds: {round(deadline * 1000)}", f"Content-Length: {len(body)}", *headers, "", ""]
        return Request(kind, name, min(deadline, timeout), "\r\n".join(lines).encode(), body)

    async def send_on(self, connection, request, slowly=False):
        connection.writer.write(request.head)
        request.stalled = self.stalled
        parts = [request.body]
        if slowly:
            parts = [request.body[i:i + 1] for i in range(len(request.body))]
            pause = self.random.uniform(0.05, 2.5) / len(parts)
        for part in parts:
            if slowly:
                await asyncio.sleep(pause)
            if connection.writer.is_closing():
                return
            connection.writer.write(part)
        request.sent = time.monotonic()

    async def answer(self, connection, request, slowly=False):
        """Returns (status, body, whether the connection stays open); status 0 without a complete answer."""
        reader, body = connection.reader, b""
        until = (request.sent or time.monotonic()) + request.limit + ANSWER_SLACK

        async def within(read, *arguments):
            while True:
                allowed = until + self.stalled - request.stalled
                with contextlib.suppress(asyncio.TimeoutError):
                    return await asyncio.wait_for(read(*arguments), max(0.1, allowed - time.monotonic()))
                # Until the stalls are measured.
                await asyncio.sleep(2 * MIN_STALL)
                if until + self.stalled - request.stalled <= allowed:
                    raise asyncio.TimeoutError
        try:
            line, headers = await within(gateway_soak.read_head, reader)
            status, request.has_begun = int(line.split()[1]), True
            if headers.get("transfer-encoding") == "chunked":
                while size := int(await within(reader.readline), 16):
                    body += (await within(reader.readexactly, size + 2))[:-2]
                    request.body_so_far = body
                await within(reader.readexactly, 2)
            else:
                left = int(headers.get("content-length", 0))
                step = max(1, left // SLOW_READS) if slowly else left
                pause = self.random.uniform(0, SLOW_READ_TIME) / SLOW_READS
                while left:
                    if slowly:
                        await asyncio.sleep(pause)
                    body += await within(reader.readexactly, min(left, step))
                    left = int(headers["content-length"]) - len(body)
                    # A slow client takes longer by itself.
                    until = max(until, time.monotonic() + ANSWER_SLACK) if slowly else until
        except asyncio.TimeoutError:
            if not connection.life.is_disrupted:
                self.fail(f"{request.id}: no answer within {ANSWER_SLACK} s after its limit of {request.limit:.2f} s")
            return 0, body, False
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError, IndexError):
            self.check_cut(connection, request)
            return 0, body, False
        self.check_answer(request, status, headers, body)
        return status, body, headers.get("connection", "").lower() != "close"

    def check_cut(self, connection, request):
        now, life = time.monotonic(), connection.life
        ran = self.backend.runs.get(request.id, 0) > 0
        since = f", sent {request.sent - life.told:.2f} s and cut {now - life.told:.2f} s after SIGTERM" if life.told else ", no SIGTERM"
        if not request.sent:
            self.count("cut while it was sent")
            if ran:
                self.fail(f"{request.id} ran before it was sent")
        elif request.id in self.backend.broke_off:
            self.count("broken off by the server")
        elif life.is_disrupted:
            self.count("cut by a disrupted process")
        elif now >= request.sent + request.limit:
            self.count("cut after its time")
        elif ran:
            at_work_until = min(now, self.backend.ended.get(request.id, math.inf))
            is_stream = request.kind in ("turns", "streams")
            if (is_stream and request.has_begun and life.told and request.sent <= life.told + LONG_REQUESTS_UNTIL
                    and at_work_until >= life.told + self.grace * (1 - LAST_SHARE)):
                self.count("long streams cut at the end")
            else:
                self.fail(f"{request.id} ({request.kind}) ran at {connection.entry.name}, and ended without a complete answer{since}; "
                          f"{'begun' if request.has_begun else 'not begun'}, server ended: {request.id in self.backend.ended}")
        elif now > request.sent + READ_SLACK + self.stalled - request.stalled and not life.is_frozen:
            self.fail(f"{request.id} ({request.kind}) was at {connection.entry.name} for {now - request.sent:.2f} s and got no answer{since}")
        else:
            self.count("unread")

    def check_answer(self, request, status, headers, body):
        self.counts[status] = self.counts.get(status, 0) + 1
        runs = self.backend.runs.get(request.id, 0)
        if headers.get("request-id", request.id) != request.id:
            self.fail(f"{request.id} was answered with the answer of {headers['request-id']}")
        if status == 200 and headers.get("server-signature") != "s-" + request.id:
            self.fail(f"{request.id} got a success that its server didn't give")
        if status == 200 and request.kind not in ("turns", "streams") and not body.startswith(b"done-%s;" % request.id.encode()):
            self.fail(f"{request.id} got the body {body[:40]!r}")
        if status in (200, 502, 504) or runs == 0:
            return
        if status in REFUSALS + (404,) and request.kind not in ("reads", "streams"):
            self.fail(f"{request.id} was refused with {status}, but ran")

    async def pause(self):
        await asyncio.sleep(self.random.choice([0, 0.01, 0.1, self.random.uniform(0, 1), self.random.uniform(0, self.grace)]))

    async def use_connections(self, way):
        """Uses a connection for as long as it is open; the way is plain, pipelined, slow-body or slow-read."""
        while not self.is_over:
            connection = await self.open()
            is_open = connection is not None
            while is_open and not self.is_over:
                await self.pause()
                with contextlib.suppress(OSError):
                    if way == "pipelined":
                        is_open = await self.pipeline(connection)
                        continue
                    kind = self.random.choice(["work", "work", "reads", "extra"])
                    request = self.new_request(kind, size=self.random.choice(LARGE) if way == "slow-read" else 0)
                    await self.send_on(connection, request, way == "slow-body")
                    _, _, is_open = await self.answer(connection, request, way == "slow-read")
            if connection:
                connection.writer.close()

    async def pipeline(self, connection):
        requests = [self.new_request(self.random.choice(["work", "reads"]), takes=self.random.choice([0, 0.05, 0.3]))
                    for _ in range(self.random.randint(2, 4))]
        for request in requests:
            await self.send_on(connection, request)
        is_open = True
        for number, request in enumerate(requests):
            if number:
                # Its time runs from the previous answer on, as a connection's requests are served in turn.
                request.limit += time.monotonic() - request.sent
            status, _, is_open = await self.answer(connection, request)
            if status == 0:
                # Its successors have no answer either; none of them may have run.
                for other in requests[number + 1:]:
                    self.check_cut(connection, other)
                break
        return is_open

    async def take_turns(self):
        number = 0
        while not self.is_over:
            number += 1
            previous, history, connection = None, b"", None
            program = f"p{self.seed}-{id(asyncio.current_task()) % 10000}-{number}"
            for turn in range(8):
                connection = connection or await self.open()
                if not connection or self.is_over:
                    continue
                text = f"in-{number}-{turn};".encode()
                headers = [f"Program: {program}", "Session: s", "Token-Budget: 100000", "Token-Usage: 100,50"]
                headers += [f"Previous-Turn: {previous}"] if previous else []
                request = self.new_request("turns", text, headers=headers)
                await self.send_on(connection, request)
                status, body, is_open = await self.answer(connection, request)
                if status in (404, 410):
                    self.fail(f"{request.id}: status {status} after the completed turn {previous}")
                if self.backend.bodies.get(request.id, history + text) != history + text:
                    self.fail(f"{request.id} reached a server with a wrong history")
                if status == 200:
                    events = [line[6:] for line in body.split(b"\n") if line.startswith(b"data: ")]
                    if len(events) != EVENTS:
                        self.fail(f"{request.id} got {len(events)} of {EVENTS} events in an answer that looks complete")
                    previous, history = request.id, history + text + b"".join(event + b"\n" for event in events)
                if not is_open:
                    connection.writer.close()
                    connection = None
                await self.pause()
            if connection:
                connection.writer.close()

    async def resume_streams(self):
        while not self.is_over:
            begun, events, is_ended = None, [], False
            for _ in range(4):
                if is_ended or self.is_over:
                    break
                connection = await self.open()
                if not connection:
                    continue
                headers = [f"Resumes: {begun}", f"Last-Event-Id: {events[-1]}"] if begun else []
                request = self.new_request("streams", headers=headers)
                request.body_so_far = b""
                await self.send_on(connection, request)
                status, _, _ = await self.answer(connection, request)
                connection.writer.close()
                # An event that has not come whole is asked for again.
                events += [int(part.split(b"\n")[0][4:]) for part in request.body_so_far.split(b"\n\n")[:-1]]
                begun, is_ended = begun or (request.id if events else None), status == 200
                if begun is not request.id:
                    self.count("resumed" if request.body_so_far or status == 200 else "not resumed")
                await self.pause()
            if events != list(range(len(events))):
                self.fail(f"the stream {begun} has the events {events}")
            if is_ended and len(events) != EVENTS:
                self.fail(f"the stream {begun} ended as complete after {len(events)} of {EVENTS} events")

    async def run(self, seconds):
        await self.start()
        until = time.monotonic() + (seconds or 8 + self.grace)
        stalls = asyncio.ensure_future(self.measure_stalls())
        ways = ["plain", "plain", "plain", "pipelined", "slow-body", "slow-read", "turns", "streams"]
        clients = [self.take_turns() if way == "turns" else self.resume_streams() if way == "streams" else self.use_connections(way)
                   for way in (ways[i % len(ways)] for i in range(self.arguments.clients))]
        work = asyncio.gather(self.operator(), *clients)
        while time.monotonic() < until:
            await self.event()
            await asyncio.sleep(self.random.uniform(0, 1))
        # The clients go on during the last drain.
        self.is_over = True
        await asyncio.wait_for(work, 60)
        stalls.cancel()
        for front in self.fronts:
            await self.until_answered(front)
        if not await self.put_document(self.sent + 1, 10):
            self.fail("no document is acknowledged after the signals")
        await self.read_documents()
        for kind, request in ((name[0], name) for name in self.backend.runs):
            if self.backend.runs[request] > 1 and kind in "wet":
                self.fail(f"{request} ran {self.backend.runs[request]} times")

    def read_logs(self):
        for entry in self.entries:
            self.unfinished += [f"{entry.name}: {line}" for line in self.log_lines(entry) if '"request.unfinished"' in line]


async def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", default="build")
    parser.add_argument("--seconds", type=float, help="8 and the grace period by default")
    parser.add_argument("--entries", type=int, default=3)
    parser.add_argument("--clients", type=int, default=64)
    parser.add_argument("--grace", type=float, help="drawn by default")
    parser.add_argument("seeds", type=int, nargs="+")
    arguments = parser.parse_args()
    # Ends its processes too.
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
    failed = 0
    for seed in arguments.seeds:
        soak = ShutdownSoak(arguments, seed)
        try:
            await soak.run(arguments.seconds)
            soak.read_logs()
        except asyncio.TimeoutError:
            soak.fail("the clients don't end")
        finally:
            await soak.finish()
        failed += bool(soak.broken)
        answers = ", ".join(f"{status}: {count}" for status, count in sorted(soak.counts.items()))
        ends = ", ".join(f"{what}: {count}" for what, count in sorted(soak.ends.items()))
        timeouts = ", ".join(f"{kind} {timeout}" for kind, timeout in soak.timeouts.items())
        print(f"seed {seed}: {'BROKEN' if soak.broken else 'held'}; grace {soak.grace}; timeouts {timeouts}; {' | '.join(soak.notes)}; answers {answers}; "
              f"{ends}; {len(soak.drains)} drains of {min(soak.drains, default=0):.2f} to {max(soak.drains, default=0):.2f} s; "
              f"request.unfinished: {len(soak.unfinished)}; {len(soak.broken)} broken", flush=True)
        for text in soak.broken[:10] + soak.unfinished[:3]:
            print("  " + text[:400])
    print(f"{len(arguments.seeds) - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
