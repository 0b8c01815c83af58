"""A conversation that is kept loses its beginning: see claim.txt."""
import asyncio, os, random, sys, time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "4"))
from bed import Bed, CannotRun, HOST, call, play

PLANS, LONG = "/plans/", b"long;"
CONVERSATIONS, REPLICAS = 14, 7
RETENTION_S, RETURN_S = 60.0, 59.3   # clients come back within retention-s
EVENTS, PAUSE_S = 20, 0.74           # a long answer takes 14.8 s
# The disruption srv_slow at the doses that `fleetbench kinds` names: 15 in 100 of the replicas work 4 times as long for 5 s.
SLOW_SHARE, SLOW_X, SLOW_S = 0.15, 4.0, 5.0
ROUTES = [{"name": "plans", "host": HOST, "path-prefix": PLANS, "kind": "streaming", "timeout-ms": 30000, "target-latency-ms": 1500,
           "priority": 0, "service": "engines", "max-attempts": 1, "retains-context": True, "retention-s": RETENTION_S,
           "sticky-sessions": True, "resumable": False, "target-gap-ms": 1000}]
SERVICES = [{"name": "engines", "health-check-path": "/health", "max-connections": 180, "protocol": "h1",
             "transport-layer-security": False, "engine": {"slots": 16, "key-value-tokens": 1_000_000, "stride": 10}}]


class Case:
    def __init__(self):
        self.ran, self.notes, self.slow, self.long_at = {}, [], None, []

    async def serve(self, replica, method, path, headers, body, writer):
        request = headers["request-id"]
        self.ran[request] = body
        is_long = body.endswith(LONG)
        if is_long:
            self.long_at.append(replica)
        events = [f"{request}-{n}" for n in range(EVENTS if is_long else 3)]
        await self.stream(replica, writer, {"Request-Id": request, "Server-Signature": "s-" + request}, events, is_long)
        return True

    async def stream(self, replica, writer, headers, events, is_long):
        """An event is due after a pause, in which a slow replica does less."""
        text = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        writer.write(f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{text}Transfer-Encoding: chunked\r\n\r\n".encode())
        done, seen = 0.0, time.monotonic()
        for number, data in enumerate(events):
            while done < (number + 1) * (PAUSE_S if is_long else 0.005):
                await asyncio.sleep(0.02 if is_long else 0.005)
                now = time.monotonic()
                done += (now - seen) / (SLOW_X if replica is self.slow else 1.0)
                seen = now
            event = f"id: {number}\ndata: {data}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    async def turn(self, text, previous=None):
        request = self.bed.new_id()
        headers = {"Host": HOST, "Request-Id": request, "Program": "p" + (previous or request), "Session": "s",
                   "Program-Time-Left": "40000", "Model": "m", "Token-Usage": "100,300", "Deadline-Milliseconds": "30000"}
        if previous:
            headers["Previous-Turn"] = previous
        entry = random.choice(self.bed.entries)
        answer = await call((entry.address, self.bed.front), "POST", PLANS + "x", headers, text, 31.0)
        self.bed.record(f"{request} sent to {entry.name}, goes on from {previous}: answered {answer.status}, whole {answer.whole}, "
                        f"a replica ran {len(self.ran[request]) if request in self.ran else 'no'} bytes")
        return request, answer

    def output(self, request, count):
        return "".join(f"{request}-{n}\n" for n in range(count)).encode()

    async def converse(self, number):
        """Three turns: one now, one shortly before retention-s is over with a long answer, and the next one after that answer."""
        bed, first_text = self.bed, f"first input of {number};".encode()
        first, answer = await self.turn(first_text)
        if answer.status != 200:
            raise CannotRun("no first turn is served")
        answered = time.monotonic()
        await asyncio.sleep(RETURN_S)
        if bed.trouble and number == 0:
            asyncio.get_running_loop().call_later(3.0, self.turn_slow)
        second_text = f"second input of {number};".encode() + LONG
        second, answer = await self.turn(second_text, first)
        seconds = time.monotonic() - answered
        bed.record(f"{second} goes on from {first} {RETURN_S:.0f} s after its answer: {answer.status}, whole {answer.whole}, "
                   f"{seconds:.1f} s after it; body right: {self.ran.get(second) == first_text + self.output(first, 3) + second_text}")
        if answer.status != 200 or not answer.whole:
            raise CannotRun("the second turn isn't served whole")
        third_text = f"third input of {number};".encode()
        third, answer = await self.turn(third_text, second)
        expected = first_text + self.output(first, 3) + second_text + self.output(second, EVENTS) + third_text
        got = self.ran.get(third)
        bed.record(f"{third} goes on from {second} at once: {answer.status}; a replica runs {'nothing' if got is None else len(got)} "
                   f"of {len(expected)} bytes, first: {(got or b'')[:40]!r}")
        if got is not None and got != expected:
            self.notes.append(third)

    def turn_slow(self):
        """One replica of seven turns slow: one of those that are at work on a long answer."""
        self.slow = random.choice(self.long_at)
        self.bed.record(f"{self.slow.id} turns slow, at work on {self.long_at.count(self.slow)} long answers")
        asyncio.get_running_loop().call_later(SLOW_S, self.turn_usual)

    def turn_usual(self):
        self.bed.record(f"{self.slow.id} is as usual")
        self.slow = None

    async def others(self):
        """Other conversations."""
        while True:
            await self.turn(b"something else")
            await asyncio.sleep(0.2)

    async def run(self):
        self.bed = bed = Bed("a late return", {"engines": REPLICAS}, self.serve)
        try:
            await bed.start()
            await bed.put_configuration(ROUTES, SERVICES)
            await bed.until_ready()
            others = asyncio.ensure_future(self.others())
            await asyncio.gather(*(self.converse(number) for number in range(CONVERSATIONS)))
            others.cancel()
        finally:
            await bed.close()
        text = f"{len(self.notes)} of {CONVERSATIONS} third turns ran without the beginning of their conversation"
        bed.record(text)
        print(text)
        return 1 if self.notes else 0


play(lambda: Case().run())
