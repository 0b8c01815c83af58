"""A small deployment as processes on loopback, with stand-ins for the platform, the replicas, the clients and the operator.

The settings of each process come from the template of the deploy file, filled in from the fields of DEPLOY.md, and each process
runs the command of its role. A machine is one loopback address; ports are the same on all machines.
"""
import asyncio, json, os, random, re, shutil, signal, socket, sys, tempfile, time, tomllib, traceback

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
HOST = "desk.example"
GRACE_S = 8


class CannotRun(Exception):
    """The case can't be shown or refuted by this run."""


def render(text, scopes):
    """Fills in a template as DEPLOY.md tells, as far as the project's template needs it."""
    def find(name):
        if name == ".":
            return scopes[-1]
        for scope in reversed(scopes):
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

    def show(value):
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        return ",".join(map(str, value)) if isinstance(value, list) else json.dumps(value) if isinstance(value, dict) else str(value)

    out, at = "", 0
    for match in iter(lambda: re.compile(r"\{\{([#^]?)([^}/]+)\}\}").search(text, at), None):
        out += text[at:match.start()]
        sign, name = match.groups()
        if not sign:
            out, at = out + show(scopes[-1]["@"] if name == "@" else find(name)), match.end()
            continue
        close = "{{/%s}}" % name
        end = text.index(close, match.end())
        inner, value, at = text[match.end():end], find(name), end + len(close)
        if sign == "^":
            out += render(inner, scopes) if value in (None, False) else ""
        elif isinstance(value, list):
            for index, item in enumerate(value):
                out += re.sub(r"\{\{\.\}\}", str(item), re.sub(r"\{\{@\}\}", str(index), inner))
        elif value is not None and value is not False:
            out += render(inner, scopes)
    return out + text[at:]


async def read_head(reader):
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines[1:] if line)}
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
        return body
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return b""


class Answer:
    """What a client got: a status (0 without an answer), headers, the body, and whether it was complete."""

    def __init__(self, status=0, headers=None, body=b"", whole=False):
        self.status, self.headers, self.body, self.whole = status, headers or {}, body, whole


async def call(address, method, path, headers, body=b"", timeout=6.0):
    """One client attempt on a connection of its own."""
    answer, writer = Answer(), None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address)
            lines = [f"{method} {path} HTTP/1.1"] + [f"{name}: {value}" for name, value in headers.items()]
            if body or method != "GET":
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines + ["", ""]).encode() + body)
            while answer.status < 200:
                line, answer.headers = await read_head(reader)
                answer.status = int(line.split()[1])
            answer.body = await read_body(reader, answer.headers)
            answer.whole = True
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
        pass
    finally:
        if writer:
            writer.transport.abort()
    return answer


class Machine:
    def __init__(self, bed, name, role, machine_class, address):
        self.bed, self.name, self.role, self.machine_class, self.address = bed, name, role, machine_class, address
        self.data, self.child, self.bootstrap = os.path.join(bed.folder, name + "-data"), None, True

    def settings(self):
        bed, is_entry = self.bed, self.machine_class == "frontend"
        listen = {"frontend": f"{self.address}:{bed.front}", "ready": f"{self.address}:{bed.ready}"} if is_entry else {
            "control": f"{self.address}:{bed.control}", "directory": f"{self.address}:{bed.directory}"}
        fields = {
            "node-name": self.name, "role": self.role, "machine-class": self.machine_class, "internet-address": self.address,
            "zone": "z", "region": "r", "internal-port-range": [bed.peer, bed.peer + 15],
            "seeds": [f"{machine.address}:{bed.control}" for machine in bed.stores[:3]], "bootstrap": self.bootstrap,
            "listen-addresses": listen, "fault-tolerance": {"machines": 1, "zones": 0, "regions": 0},
            "limits": {"cpu-share": 0.25 if is_entry else 0.5, "cores": 1, "memory-mb": 110 if is_entry else 130},
            "bounds": {"grace-period-s": GRACE_S}, "cloud": {"address": "%s:%d" % bed.platform}}
        if not is_entry:
            fields["data-directory"] = self.data
        template = bed.deploy["roles"][self.role]["template"]
        return render(open(os.path.join(ROOT, template)).read(), [fields])

    async def start(self):
        file = os.path.join(self.bed.folder, self.name + ".settings")
        if self.machine_class != "frontend":
            os.makedirs(self.data, exist_ok=True)
        with open(file, "w") as out:
            out.write(self.settings())
        words = self.bed.deploy["roles"][self.role]["run"].split()
        words[words.index("--settings") + 1] = file
        log = open(os.path.join(self.bed.folder, self.name + ".log"), "ab")
        self.child = await asyncio.create_subprocess_exec(*words, cwd=ROOT, stdout=log, stderr=log)
        self.bed.children.append(self.child)
        self.bootstrap = False

    def signal(self, number):
        if self.child and self.child.returncode is None:
            os.kill(self.child.pid, number)

    async def kill(self):
        self.signal(signal.SIGKILL)
        await self.child.wait()

    def lose_disk(self):
        shutil.rmtree(self.data)


class Bed:
    """`replicas`: service name -> number; `serve(replica, method, path, headers, body, writer)` answers a request."""
    started_beds = []

    def __init__(self, case, replicas, serve, entries=2, store_hosts=(11, 12, 13)):
        self.deploy = tomllib.load(open(os.path.join(ROOT, "deploy", "system.toml"), "rb"))
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.record_file = open("record.txt", "a")
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.children, self.servers, self.started, self.serial, self.version = [], [], time.monotonic(), 0, 0
        self.serve_request, self.replicas, self.handlers = serve, {}, set()
        self.net = f"127.{random.randrange(10, 250)}.{random.randrange(10, 250)}."
        self.store_hosts, self.entry_count, self.wanted = store_hosts, entries, replicas
        self.platform = None
        Bed.started_beds.append(self)
        self.record(f"--- {case}, disruption {'on' if self.trouble else 'off'}")

    def record(self, text):
        self.record_file.write(f"{time.monotonic() - self.started:8.3f} s  {text}\n")
        self.record_file.flush()

    def address(self, host):
        return self.net + str(host)

    def free_ports(self):
        hosts = [self.address(host) for host in list(self.store_hosts) + [21 + i for i in range(self.entry_count)]]
        for _ in range(200):
            base = random.randrange(12000, 30000)
            try:
                for host in hosts:
                    for offset in (0, 1, 2, 3, 4):
                        with socket.socket() as probe:
                            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                            probe.bind((host, base + offset))
                return base
            except OSError:
                continue
        raise CannotRun("no free ports")

    async def start(self):
        base = self.free_ports()
        self.control, self.directory, self.front, self.ready, self.peer = (base + i for i in range(5))
        await self.start_platform()
        storage = next(role for role, value in self.deploy["roles"].items() if "storage" in value["serves"])
        entry = next(role for role, value in self.deploy["roles"].items() if "frontend" in value["serves"])
        self.stores = [Machine(self, f"storage-{i + 1}", storage, "storage", self.address(host))
                       for i, host in enumerate(self.store_hosts)]
        self.entries = [Machine(self, f"frontend-{i + 1}", entry, "frontend", self.address(21 + i))
                        for i in range(self.entry_count)]
        await asyncio.gather(*(machine.start() for machine in self.stores + self.entries))

    async def start_platform(self):
        for service, count in self.wanted.items():
            for number in range(count):
                replica = Replica(self, service, number)
                await replica.start()
                self.replicas[replica.id] = replica
        server = await asyncio.start_server(self.serve_list, self.address(100), 0)
        self.servers.append(server)
        self.platform = server.sockets[0].getsockname()

    async def serve_list(self, reader, writer):
        try:
            while True:
                _, headers = await read_head(reader)
                await read_body(reader, headers)
                entries = [{"service": r.service, "address": "%s:%d" % r.address, "zone": "z", "version": "v1", "slots": r.slots,
                            "state": "ready", "cold-remaining-ms": 0, "id": r.id} for r in self.replicas.values()]
                body = json.dumps({"instances": entries, "next": None}).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            writer.close()

    async def put_configuration(self, routes, services, patience=20.0):
        """Sends a configuration as the operator does: again until it is acknowledged, to any node, following 307."""
        self.version += 1
        body = json.dumps({"version": self.version, "routes": routes, "services": services, "limits": {
            "max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}}).encode()
        until = time.monotonic() + patience
        while time.monotonic() < until:
            for store in self.stores:
                address = (store.address, self.control)
                for _ in range(3):
                    answer = await call(address, "PUT", "/cardamompost/configuration", {"Host": "x", "Content-Type": "application/json"},
                                        body, 1.5)
                    if answer.status != 307:
                        break
                    host, _, port = answer.headers["location"].split("/")[2].partition(":")
                    address = (host, int(port))
                if answer.status == 200:
                    self.record(f"configuration {self.version} acknowledged")
                    return
            await asyncio.sleep(0.1)
        raise CannotRun("no configuration was acknowledged")

    async def leader(self, patience=8.0):
        """The store that answers the operator itself; the others answer with 307."""
        until = time.monotonic() + patience
        while time.monotonic() < until:
            for store in self.stores:
                answer = await call((store.address, self.control), "GET", "/cardamompost/configuration", {"Host": "x"}, b"", 1.0)
                if answer.status == 200:
                    return store
            await asyncio.sleep(0.1)
        raise CannotRun("no store answers the operator")

    async def until_ready(self, patience=15.0):
        until = time.monotonic() + patience
        for entry in self.entries:
            while (await call((entry.address, self.ready), "GET", "/cardamompost/readiness", {"Host": "x"}, b"", 1.0)).status != 200:
                if time.monotonic() > until:
                    raise CannotRun(f"{entry.name} is not ready")
                await asyncio.sleep(0.1)

    def new_id(self):
        self.serial += 1
        return f"{self.serial:016x}"

    def stop(self):
        for child in self.children:
            if child.returncode is None:
                os.kill(child.pid, signal.SIGKILL)

    async def close(self):
        self.stop()
        await asyncio.gather(*(child.wait() for child in self.children))
        for server in self.servers:
            server.close()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Replica:
    def __init__(self, bed, service, number):
        self.bed, self.service, self.number, self.slots = bed, service, number, 16
        self.id = f"i-{service}-{number}"
        self.address, self.listener, self.writers = None, None, set()

    async def start(self):
        host = self.bed.address(101 + len(self.bed.replicas))
        self.listener = await asyncio.start_server(self.serve, host, self.address[1] if self.address else 0)
        self.address = self.listener.sockets[0].getsockname()
        self.bed.servers.append(self.listener)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, path, _ = line.split()
                if "request-id" not in headers:
                    self.answer(writer, "200 OK", {"Instance-Id": self.id, "Server-Load": f"0,0,{self.slots}"}, b"")
                elif headers.get("expected-instance", self.id) != self.id:
                    self.answer(writer, "421 Misdirected Request", {"Request-Id": headers["request-id"]}, b"")
                elif not await self.bed.serve_request(self, method, path, headers, body, writer):
                    break
        except (OSError, asyncio.IncompleteReadError, ValueError, IndexError):
            pass
        self.writers.discard(writer)
        writer.close()

    @staticmethod
    def answer(writer, status, headers, body):
        text = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        writer.write(f"HTTP/1.1 {status}\r\n{text}Content-Length: {len(body)}\r\n\r\n".encode() + body)

    @staticmethod
    async def stream(writer, headers, events, pause):
        text = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        writer.write(f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{text}Transfer-Encoding: chunked\r\n\r\n".encode())
        for number, data in enumerate(events):
            event = f"id: {number}\ndata: {data}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            if pause:
                await asyncio.sleep(pause)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


def play(case, limit=110):
    """Runs a case and exits with 1 if its rule was broken, 0 if it held, 2 if it couldn't run."""
    async def guarded():
        async with asyncio.timeout(limit):
            return await case()

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    result = 2
    try:
        result = asyncio.run(guarded())
    except CannotRun as error:
        print(f"could not run: {error}")
    except Exception:
        traceback.print_exc()
    finally:
        for bed in Bed.started_beds:
            bed.stop()
    sys.exit(result)
