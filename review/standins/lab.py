"""A small deployment of the gateway as processes on loopback, with stand-ins for the platform, the replicas, the operator and the clients.

Three `storage` machines and a few `frontend` machines, each with a loopback address of its own and the same ports. Every process is started with the
command of its role in deploy/system.toml; its settings are deploy/settings.ini filled in with the fields of a process's settings. Run from the
root of the repository. The stand-ins do what the users' pages say of a sound platform, replica, operator and client.
"""
import asyncio, contextlib, json, os, random, re, shutil, signal, socket, sys, tempfile, time, tomllib

ZONES = ["a", "b", "c"]
HOST = "host.example"


class CannotRun(Exception):
    """The case could not be set up."""


def render(template, fields):
    """Fills in a settings template: {{a.b}}, {{a.0}}, {{#a}}..{{/a}}, {{^a}}..{{/a}}, {{@}} and {{.}}."""
    def look_up(name, scopes):
        if name == ".":
            return scopes[0].get(".")
        for scope in scopes:
            value = scope
            for part in name.split("."):
                if isinstance(value, dict) and part in value:
                    value = value[part]
                elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                    value = value[int(part)]
                else:
                    value = None
                    break
            if value is not None:
                return value
        return None

    def text(value):
        return "" if value is None else str(value).lower() if isinstance(value, bool) else str(value)

    def fill(part, scopes):
        out, at = "", 0
        for tag in iter(lambda: re.compile(r"\{\{([#^]?)([^}/]+)\}\}").search(part, at), None):
            out += part[at:tag.start()]
            kind, name = tag.group(1), tag.group(2)
            at = tag.end()
            if not kind:
                out += text(scopes[0].get("@") if name == "@" else look_up(name, scopes))
                continue
            end = part.index("{{/%s}}" % name, at)
            inner, at = part[at:end], end + len(name) + 5
            value = look_up(name, scopes)
            if kind == "^":
                out += fill(inner, scopes) if value is None or value is False else ""
            elif isinstance(value, list):
                out += "".join(fill(inner, [{"@": i, ".": item}, *scopes]) for i, item in enumerate(value))
            elif value is not None and value is not False:
                out += fill(inner, scopes)
        return out + part[at:]
    return fill(template, [fields])


async def read_head(reader):
    lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines[1:] if line)}
    return lines[0], headers


async def read_chunks(reader, on_bytes):
    while size := int(await reader.readline(), 16):
        on_bytes(await reader.readexactly(size))
        await reader.readexactly(2)
    await reader.readexactly(2)


async def read_body(reader, headers):
    if headers.get("transfer-encoding") == "chunked":
        body = bytearray()
        await read_chunks(reader, body.extend)
        return bytes(body)
    return await reader.readexactly(int(headers.get("content-length", 0)))


async def call(address, method, path, headers=None, body=b"", timeout=6.0):
    """One call on a connection of its own. Returns (status, headers, body); status 0 without a complete answer."""
    async def exchange():
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*address), 1.0)
        try:
            lines = [f"{method} {path} HTTP/1.1", "Connection: close", f"Content-Length: {len(body)}"]
            lines += [f"{name}: {value}" for name, value in {"Host": "x", **(headers or {})}.items()]
            writer.write("\r\n".join(lines + ["", ""]).encode() + body)
            status, answer = await read_head(reader)
            return int(status.split()[1]), answer, await read_body(reader, answer)
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
        return 0, {}, b""


class Replica:
    """A model or plain replica: takes requests that name it, answers them in full, and records what it ran."""
    count = 0

    def __init__(self, lab, service, address, zone, slots=16, events=4, pause=0.03, work=0.05, version="v1"):
        Replica.count += 1
        self.lab, self.service, self.address, self.zone, self.slots, self.version = lab, service, address, zone, slots, version
        self.events, self.pause, self.work = events, pause, work
        self.id, self.writers, self.listener, self.state = f"i-{Replica.count:04d}", set(), None, "ready"
        self.answers_badly = lambda: False
        # The Unix millisecond of its start, where the list names it.
        self.born = None

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, *self.address)

    def crash(self):
        """The process ends: nothing listens any more and its connections are closed."""
        if self.listener:
            self.listener.close()
            self.listener = None
        for writer in list(self.writers):
            writer.transport.abort()

    def entry(self):
        return {"id": self.id, "service": self.service, "address": "%s:%d" % self.address, "zone": self.zone, "version": self.version,
                "slots": self.slots, "state": self.state, "cold-remaining-ms": 0, **({"born": self.born} if self.born else {})}

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                if not await self.answer(line, headers, body, writer):
                    break
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def respond(self, writer, status, headers, body=b""):
        text = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        writer.write(f"HTTP/1.1 {status}\r\n{text}Content-Length: {len(body)}\r\n\r\n".encode() + body)

    async def answer(self, line, headers, body, writer):
        """Returns whether the connection stays open."""
        method, path, _ = line.split()
        if path == "/health":
            self.respond(writer, "200 OK", {"Instance-Id": self.id})
            return True
        request = headers.get("request-id", "")
        if headers.get("expected-instance", self.id) != self.id:
            self.respond(writer, "421 Misdirected Request", {"Request-Id": request, "Not-Executed": "1"})
            return True
        self.lab.on_run(self, request, method, path, headers, body)
        common = {"Request-Id": request, "Server-Signature": f"s-{self.id}-{request}"}
        if "token-usage" not in headers:
            await asyncio.sleep(self.work)
            if self.answers_badly():
                self.lab.record(f"replica {self.id} fails {request} with 503 after having run it, without Not-Executed")
                self.respond(writer, "503 Service Unavailable", common, b"failed")
                return True
            self.respond(writer, "200 OK", common, f"done by {self.service}".encode())
            return True
        text = "".join(f"{name}: {value}\r\n" for name, value in common.items())
        writer.write(f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{text}Transfer-Encoding: chunked\r\n\r\n".encode())
        for number in range(int(headers.get("last-event-id", -1)) + 1, self.events):
            await asyncio.sleep(self.pause)
            event = f"id: {number}\ndata: {number}-{self.service}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        return True


class Machine:
    def __init__(self, lab, name, role, zone, address):
        self.lab, self.name, self.role, self.zone, self.address, self.child, self.is_first = lab, name, role, zone, address, None, True
        self.data = os.path.join(lab.folder, name)

    def fields(self):
        lab, role = self.lab, self.lab.system["roles"][self.role]
        serves = role["serves"]
        ports = {"frontend": lab.front_port, "ready": lab.ready_port, "control": lab.control_port, "directory": lab.directory_port}
        listens = {name: f"{self.address}:{ports[name]}" for name in [*serves, *(["ready"] if "frontend" in serves else [])] if name in ports}
        fields = {"node-name": self.name, "role": self.role, "machine-class": role["on"], "serves": serves, "internet-address": self.address,
                  "zone": self.zone, "region": "r", "internal-port-range": [lab.peer_port, lab.peer_port + 15],
                  "seeds": [f"{machine.address}:{lab.control_port}" for machine in lab.storages[:3]], "bootstrap": self.is_first,
                  "listen-addresses": listens, "limits": {"cpu-share": 0.5, "memory-mb": 130}, "fault-tolerance": {"machines": 1},
                  "bounds": {"grace-period-s": 8}, "cloud": {"address": "%s:%d" % lab.platform_address}}
        if role["on"] == "storage":
            fields["data-directory"] = self.data
        return fields

    async def start(self):
        role = self.lab.system["roles"][self.role]
        settings = os.path.join(self.lab.folder, self.name + ".settings")
        with open(role["template"]) as template, open(settings, "w") as out:
            out.write(render(template.read(), self.fields()))
        command = [settings if word.startswith("/etc/") else word for word in role["run"].split()]
        log = open(os.path.join(self.lab.folder, self.name + ".log"), "ab")
        self.child = await asyncio.create_subprocess_exec(*command, stdout=log, stderr=log)
        log.close()
        self.is_first = False
        self.lab.record(f"start {self.name} pid {self.child.pid}")

    def send(self, number):
        if self.child and self.child.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.child.pid, number)

    async def stop(self, grace=8.0):
        """SIGTERM, and SIGKILL after the grace period."""
        self.lab.record(f"SIGTERM to {self.name}")
        self.send(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.child.wait(), grace)
        except asyncio.TimeoutError:
            await self.kill()

    async def kill(self):
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.child:
            await self.child.wait()


class Lab:
    def __init__(self, folder_of_case, fronts=2, seed=1):
        self.record_file = open(os.path.join(folder_of_case, "record.txt"), "w")
        self.started_at, self.random = time.monotonic(), random.Random(seed)
        self.folder = tempfile.mkdtemp(prefix="review-")
        with open("deploy/system.toml", "rb") as file:
            self.system = tomllib.load(file)
        if not os.path.exists("target/cardamompost-gateway"):
            raise CannotRun("target/cardamompost-gateway is missing: run the build of the deploy file first")
        self.net = f"127.{os.getpid() % 200 + 20}.{os.getpid() // 200 % 250 + 1}"
        self.storages = [Machine(self, f"storage-{zone}-1", "ledger", zone, f"{self.net}.{10 + i}") for i, zone in enumerate(ZONES)]
        self.fronts = [Machine(self, f"frontend-{zone}-{1 + i // 3}", "entry", zone, f"{self.net}.{15 + i}")
                       for i, zone in enumerate((ZONES * fronts)[:fronts])]
        addresses = [machine.address for machine in self.storages + self.fronts]
        ports = self.free_ports(addresses, 6)
        self.peer_port, self.front_port, self.ready_port, self.control_port, self.directory_port, list_port = ports
        self.platform_address, self.replica_port = (f"{self.net}.5", list_port), list_port
        self.replicas, self.listed, self.serial, self.list_delay = [], [], 0, 0.0
        self.sent, self.runs, self.answers, self.removed = {}, {}, {}, []

    def record(self, text):
        self.record_file.write(f"{time.monotonic() - self.started_at:9.3f} {text}\n")
        self.record_file.flush()

    def free_ports(self, addresses, count):
        """Ports below the ephemeral range that are free on all addresses. The first begins a range of 16."""
        first = int(open("/proc/sys/net/ipv4/ip_local_port_range").read().split()[0])
        for _ in range(200):
            base = random.randrange(10000, first - 100)
            ports = [base] + [base + 20 + i for i in range(count - 1)]
            try:
                for address in addresses:
                    for port in ports:
                        with socket.socket() as probe:
                            probe.bind((address, port))
                return ports
            except OSError:
                continue
        raise CannotRun("no free ports")

    # The platform.
    async def serve_list(self, reader, writer):
        try:
            while True:
                line, _ = await read_head(reader)
                path = line.split()[1]
                zone = re.search(r"zone=([^&]*)", path)
                entries = [replica.entry() for replica in self.listed if not zone or replica.zone == zone.group(1)]
                body = json.dumps({"instances": entries, "next": None}).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        except (OSError, asyncio.IncompleteReadError):
            writer.close()

    async def add_replica(self, service, **options):
        number = len(self.replicas)
        replica = Replica(self, service, (f"{self.net}.{100 + number}", self.replica_port), ZONES[number % 3], **options)
        await replica.start()
        self.replicas.append(replica)
        self.listed.append(replica)
        self.record(f"replica {replica.id} of {service} in zone {replica.zone} at {replica.address[0]}")
        return replica

    # What replicas run.
    def on_run(self, replica, request, method, path, headers, body):
        self.runs.setdefault(request, []).append(replica)
        self.record(f"run {request} {method} {path} at {replica.id} of {replica.service}, {len(body)} bytes")

    # Machines that are added and taken away.
    async def add_storage(self, zone):
        number = len(self.storages) + len(self.removed) + 1
        machine = Machine(self, f"storage-{zone}-{number}", "ledger", zone, f"{self.net}.{25 + number}")
        machine.is_first = False
        await machine.start()
        self.storages.append(machine)
        return machine

    def remove(self, machine):
        """The machine is gone for good. Nothing answers at its address, as at that of a machine without power: connections to it hang."""
        self.record(f"{machine.name} at {machine.address} is removed")
        self.storages.remove(machine)
        shutil.rmtree(machine.data, ignore_errors=True)
        silent = socket.socket()
        silent.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        silent.bind((machine.address, self.peer_port))
        silent.listen(0)
        # Once its queue of new connections is full, the kernel drops the opening packets of all others.
        fillers = [socket.socket() for _ in range(2)]
        for filler in fillers:
            filler.setblocking(False)
            filler.connect_ex((machine.address, self.peer_port))
        self.removed.append((machine, silent, fillers))

    # The operator.
    async def order(self, method, path, body=b"{}", patience=8.0):
        """Sends an order to any node that serves control until it is answered; follows 307 twice. Returns (status, body)."""
        until = time.monotonic() + patience
        while time.monotonic() < until:
            for machine in self.random.sample(self.storages, len(self.storages)):
                target = (machine.address, self.control_port)
                for _ in range(3):
                    status, headers, content = await call(target, method, path, None, body, 1.0)
                    if status != 307:
                        break
                    host, port = headers["location"].split("/")[2].split(":")
                    target = (host, int(port))
                if status in (200, 400, 404, 409):
                    return status, content
            await asyncio.sleep(0.05)
        return 0, b""

    async def retire(self, machine, patience=10.0):
        """Asks for a storage machine to be emptied, and takes it away once it is. Returns whether it is gone."""
        path = f"/cardamompost/retire/{machine.name}"
        status, _ = await self.order("POST", path, b'{"duration-s":10}')
        self.record(f"retire {machine.name}: {status}")
        until = time.monotonic() + patience
        while status == 200 and time.monotonic() < until:
            state, content = await self.order("GET", path, b"")
            if state == 200 and json.loads(content)["state"] == "completed":
                await machine.kill()
                self.remove(machine)
                return True
            await asyncio.sleep(0.1)
        return False

    async def configure(self, document, patience=15.0):
        """Sends a configuration until it is acknowledged, to any node that serves control; follows 307 twice."""
        until, body = time.monotonic() + patience, json.dumps(document).encode()
        self.record(f"configuration {document['version']} is sent")
        while time.monotonic() < until:
            for machine in self.random.sample(self.storages, len(self.storages)):
                target = (machine.address, self.control_port)
                for _ in range(3):
                    status, headers, _ = await call(target, "PUT", "/cardamompost/configuration", None, body, 1.0)
                    if status != 307:
                        break
                    host, port = headers["location"].split("/")[2].split(":")
                    target = (host, int(port))
                if status == 200:
                    self.record(f"configuration {document['version']} is acknowledged")
                    return
                if status in (400, 409, 412, 413, 422):
                    raise CannotRun(f"the configuration was refused with {status}")
            await asyncio.sleep(0.1)
        raise CannotRun("no configuration was acknowledged")

    # Clients.
    async def resolve(self, zone):
        for machine in sorted(self.storages, key=lambda machine: machine.zone != zone):
            status, _, body = await call((machine.address, self.directory_port), "GET", f"/cardamompost/resolution?name={HOST}&region=r&zone={zone}",
                                         None, b"", 1.0)
            if status == 200:
                host, port = self.random.choice(json.loads(body)["addresses"]).split(":")
                return host, int(port)
        return None

    async def ask(self, method, path, headers, body, deadline=4.0, zone=None):
        """One client attempt. Returns (request id, status, headers, body)."""
        self.serial += 1
        request = f"r{os.getpid()}x{self.serial}"
        front = await self.resolve(zone or self.random.choice(ZONES))
        if front is None:
            return request, 0, {}, b""
        self.sent[request] = (method, path)
        self.record(f"send {request} {method} {path} to {front[0]}")
        status, answer, content = await call(front, method, path, {"Host": HOST, "Request-Id": request,
                                                                   "Deadline-Milliseconds": int(deadline * 1000), **headers}, body, deadline)
        self.answers[request] = status
        self.record(f"answer {request} {status} signature {answer.get('server-signature', 'none')} body {content[:80]!r}")
        return request, status, answer, content

    async def start(self):
        server = await asyncio.start_server(self.serve_list, *self.platform_address)
        self.list_server = server
        for machine in self.storages + self.fronts:
            await machine.start()

    async def until_ready(self, patience=15.0):
        until = time.monotonic() + patience
        while time.monotonic() < until:
            states = [(await call((front.address, self.ready_port), "GET", "/cardamompost/readiness", None, b"", 1.0))[0] for front in self.fronts]
            if all(status == 200 for status in states):
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the frontends did not become ready")

    async def finish(self):
        for machine in self.storages + self.fronts:
            await machine.kill()
        for replica in self.replicas:
            replica.crash()
        for _, silent, fillers in self.removed:
            for used in [silent, *fillers]:
                used.close()
        if os.environ.get("KEEP"):
            print("logs are kept in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def main(folder_of_case, scenario, fronts=2):
    """Runs a scenario, which returns the broken rules it saw. Exit code: 1 if there are any, 0 if not, 2 if it could not run."""
    async def run():
        # Stopped from outside, it still ends what it has started.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        lab = Lab(folder_of_case, fronts)
        try:
            return await asyncio.wait_for(scenario(lab, os.environ.get("TROUBLE", "1") != "0"), 112)
        finally:
            await lab.finish()
    try:
        broken = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:
        # Python's own exit code for an error is that of a broken rule.
        print("the case could not run:", repr(error))
        return 2
    for text in broken[:10]:
        print(text)
    print(f"{len(broken)} broken" if broken else "held")
    return 1 if broken else 0
