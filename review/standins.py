"""Stand-ins for the users' platform, backends and clients, for the scripts in this folder.

Standard library only. They follow the users' pages:

* `Store`: the platform's metadata store (`/kv-key`, `/kv-range`, `/kv-watch`, read only).
* `Backend`: slots, a short queue, load header, `X-Not-Executed`, `X-Expected-Instance`, deadline.
* `Platform`: fills `deploy/settings.template`, starts and stops processes as `deploy/system.toml` says.
* `Connection`: a client's connection, on which requests may be pipelined.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
SCRIPT_LIMIT_S = 110
PAGE_ITEMS_MAX = 500
PAGE_BYTES_MAX = 1_000_000
HISTORY_S = 20
GRACE_S = 6
CONTACT_S = 3
CONFIG_APPLY_S = 2
RECOVERY_S = 15
FRONT_PORT, CONTROL_PORT, READY_PORT = 8381, 8382, 8388
INTERNAL_PORTS = (7200, 7215)
#: Ends of a connection of a stand-in: the other side has left, or the script is over.
GONE = (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError)
ZONES = {"z-a": "r-1", "z-b": "r-1", "z-c": "r-1"}


class CannotRun(Exception):
    """The case could not be run; this says nothing about the rule."""


class Record:
    """Log of what was sent, answered and run, with the time since the start of the script."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def write(self, text):
        self.file.write(f"{self.now():9.3f} s  {text}\n")
        self.file.flush()

    def close(self):
        self.file.close()


def free_network():
    """Returns the start of a loopback network in which nothing listens on the machines' ports."""
    for _ in range(50):
        network = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        try:
            for port in (FRONT_PORT, CONTROL_PORT, READY_PORT, *INTERNAL_PORTS):
                with socket.socket() as probe:
                    probe.bind((f"{network}.1", port))
            return network
        except OSError:
            continue
    raise CannotRun("no free loopback network")


async def read_head(reader):
    """Returns the first line and the headers (lower case) of a message, or None at its end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Returns the body of a message with a length or in chunks; raises if it is cut."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:size]
    return await reader.readexactly(int(headers.get("content-length", "0")))


class Store:
    """The platform's store, seen by the system: it can be read and watched."""

    def __init__(self, record):
        self.record = record
        self.revision = 100
        self.items = {}
        self.events = []
        self.forgotten = 0
        self.changed = asyncio.Event()
        self.address = None

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    def put(self, key, value):
        self.revision += 1
        made = self.items[key]["made"] if key in self.items else self.revision
        text = base64.b64encode(value).decode()
        item = {"key": key, "value": text, "revision": self.revision, "made": made, "lease": 0}
        self.items[key] = item
        self.add_event(item)

    def add_event(self, event):
        self.events.append((time.monotonic(), event))
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                target = urllib.parse.urlsplit(head[0].split(" ")[1])
                query = dict(urllib.parse.parse_qsl(target.query, keep_blank_values=True))
                status, body = await self.answer(target.path, query)
                text = json.dumps(body).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                    % (status, len(text)) + text)
                await writer.drain()
        except GONE:
            pass
        finally:
            writer.close()

    async def answer(self, path, query):
        if path == "/kv-key":
            item = self.items.get(query.get("key", ""))
            return (200, dict(item, at=self.revision)) if item else (404, {"at": self.revision})
        if path == "/kv-range":
            return 200, self.range(query.get("path-prefix", ""), query.get("after", ""))
        if path == "/kv-watch":
            return await self.watch(
                query.get("path-prefix", ""), int(query["after"]), int(query.get("wait-ms", "0")))
        return 404, {}

    def range(self, prefix, after):
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        page, size = [], 0
        for key in keys:
            if len(page) >= PAGE_ITEMS_MAX or (page and size >= PAGE_BYTES_MAX):
                break
            page.append(self.items[key])
            size += len(self.items[key]["value"]) * 3 // 4
        return {"items": page, "more": len(page) < len(keys), "at": self.revision}

    async def watch(self, prefix, after, wait_ms):
        ends = time.monotonic() + min(wait_ms, 30_000) / 1_000
        while True:
            self.drop_old_events()
            if after < self.forgotten:
                return 410, {}
            events = [event for _, event in self.events
                      if event["revision"] > after and event["key"].startswith(prefix)]
            left = ends - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def drop_old_events(self):
        oldest = time.monotonic() - HISTORY_S
        while self.events and self.events[0][0] < oldest:
            self.forgotten = self.events.pop(0)[1]["revision"]


class Backend:
    """A backend. The path states the work: `/w250/` takes 250 ms, `/s4000/` answers 4,000 bytes."""

    def __init__(self, record, name, service, zone, slots=3, queue=12):
        self.record, self.name, self.service, self.zone = record, name, service, zone
        self.slots, self.queue = slots, queue
        self.running, self.waiting = 0, 0
        self.free = asyncio.Semaphore(slots)
        self.address = None
        self.sequence = 0
        self.born = int(time.time() * 1_000)
        #: Request ids in the order in which their runs began, and how the runs ended.
        self.runs = []
        self.ended = {}

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0, backlog=512)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    def entry(self, state="ready"):
        self.sequence += 1
        return json.dumps({
            "service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
            "slots": self.slots, "state": state, "warmup-left-ms": 0, "sequence": self.sequence,
            "born": self.born}).encode()

    def load(self):
        return f"X-Server-Load: {self.running},{self.waiting},{self.slots},100\r\n"

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                if not await self.handle(reader, writer, head, body):
                    break
        except GONE:
            pass
        finally:
            writer.close()

    async def handle(self, reader, writer, head, body):
        method, path, _ = head[0].split(" ")
        headers = head[1]
        if path == "/health":
            return await self.send(writer, f"200 OK\r\nX-Instance-Id: {self.name}\r\n{self.load()}", b"")
        request_id = headers.get("x-request-id")
        if request_id is None:
            return await self.send(writer, "400 Bad Request\r\nX-Not-Executed: 1\r\n", b"")
        if headers.get("x-expected-instance", self.name) != self.name:
            return await self.send(
                writer, f"421 Misdirected Request\r\nX-Instance-Id: {self.name}\r\n", b"")
        if self.waiting >= self.queue:
            return await self.send(
                writer, f"503 Service Unavailable\r\nX-Not-Executed: 1\r\n{self.load()}", b"")
        deadline = time.monotonic() + float(headers.get("x-deadline-ms", "60000")) / 1_000
        self.waiting += 1
        await self.free.acquire()
        self.waiting -= 1
        try:
            self.running += 1
            return await self.run(reader, writer, method, path, request_id, deadline)
        finally:
            self.running -= 1
            self.free.release()

    async def run(self, reader, writer, method, path, request_id, deadline):
        self.runs.append(request_id)
        self.record.write(f"{self.name} runs {request_id} ({method} {path})")
        work = re.search(r"/w(\d+)/", path)
        work_s = int(work.group(1)) / 1_000 if work else 0.005
        left = deadline - time.monotonic()
        closed = asyncio.ensure_future(reader.read(1))
        done, _ = await asyncio.wait({closed}, timeout=max(0, min(work_s, left)))
        if done:
            self.ended[request_id] = "dropped"
            self.record.write(f"{self.name}: the connection of {request_id} closed while it ran")
            return False
        closed.cancel()
        await asyncio.gather(closed, return_exceptions=True)
        if work_s > left:
            self.ended[request_id] = "504"
            return await self.send(writer, f"504 X\r\nX-Request-Id: {request_id}\r\n", b"")
        size = re.search(r"/s(\d+)/", path)
        text = f"{method} {path} {request_id} by {self.name} ".encode()
        body = (text * (int(size.group(1)) // len(text) + 1))[:int(size.group(1))] if size else text
        head = (f"200 OK\r\nX-Request-Id: {request_id}\r\nX-Response-Seal: {self.name}.{request_id}\r\n"
                + self.load())
        self.ended[request_id] = "answered"
        sent = await self.send(writer, head, body)
        self.record.write(f"{self.name} has answered {request_id}")
        return sent

    async def send(self, writer, head, body):
        writer.write(f"HTTP/1.1 {head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        await writer.drain()
        return True


def fill(template, fields):
    """Fills a settings template as the users' page on deployment describes, as far as it is used."""

    def lookup(name, entry):
        if name == ".":
            return entry
        value = fields
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    def text(value):
        if value is None:
            return ""
        return str(value).lower() if isinstance(value, bool) else str(value)

    def section(match):
        entries = lookup(match.group(1), None) or []
        keys = list(entries) if isinstance(entries, dict) else list(range(len(entries)))
        out = ""
        for place, key in enumerate(keys):
            entry = entries[key]
            part = match.group(2).replace("{{@}}", text(key)).replace("{{.}}", text(entry))
            out += part.replace("{{,}}", "," if place + 1 < len(keys) else "")
        return out

    filled = re.sub(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([^}#/^]+)\}\}", lambda match: text(lookup(match.group(1), None)), filled)


class Machine:
    """One of the system's machines: a loopback address of its own, and its process."""

    def __init__(self, name, zone, ip):
        self.name, self.zone, self.ip = name, zone, ip
        self.front, self.control = f"{ip}:{FRONT_PORT}", f"{ip}:{CONTROL_PORT}"
        self.ready = f"{ip}:{READY_PORT}"
        self.process = None
        self.starts = 0


class Platform:
    """Starts and stops the system's processes with the command of the deploy file."""

    def __init__(self, record, store, count):
        self.record, self.store = record, store
        self.folder = tempfile.mkdtemp(prefix="thymeshift-review-")
        zones, network = list(ZONES), free_network()
        self.machines = [
            Machine(f"front-{zones[n % 3]}-{n // 3 + 1}", zones[n % 3], f"{network}.{n + 1}")
            for n in range(count)]
        with open(os.path.join(ROOT, "deploy/system.toml"), encoding="utf-8") as deploy:
            text = deploy.read()
        self.command = re.search(r'^run = "(.*)"', text, flags=re.M).group(1).split()
        template = re.search(r'^template = "(.*)"', text, flags=re.M).group(1)
        with open(os.path.join(ROOT, template), encoding="utf-8") as file:
            self.template = file.read()

    def settings(self, machine):
        return {
            "node": machine.name, "role": "entry", "machine-class": "front",
            "serves": ["front", "control"], "ip": machine.ip, "zone": machine.zone, "region": "r-1",
            "zones": ZONES,
            "listen": {"front": machine.front, "ready": machine.ready, "control": machine.control},
            "internal-ports": list(INTERNAL_PORTS),
            "seeds": [other.control for other in self.machines[:3]],
            "bootstrap": machine.starts == 0, "fault-counted": False,
            "limits": {"cpu-share": 0.2, "cores": 1, "memory-mb": 260, "max-fds": 4100,
                       "link-mbps": 1000.0, "disk-mb": 0},
            "platform": {"address": self.store.address, "form": "read"},
            "bounds": {"grace-s": GRACE_S, "retry-budget-ratio": 0.2, "probes-per-s": 60},
        }

    def start(self, machine):
        path = os.path.join(self.folder, machine.name + ".yaml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(fill(self.template, self.settings(machine)))
        command = [path if word == "/etc/thymeshift/boot.yaml" else word for word in self.command]
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["THYMESHIFT_BOOT"] = path
        machine.starts += 1
        with open(os.path.join(self.folder, machine.name + ".log"), "a", encoding="utf-8") as log:
            machine.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.record.write(f"{machine.name} starts (pid {machine.process.pid})")

    def start_all(self):
        for machine in self.machines:
            self.start(machine)

    def signal(self, machine, number):
        self.record.write(f"{machine.name} gets {signal.Signals(number).name}")
        machine.process.send_signal(number)

    def kill(self, machine):
        self.signal(machine, signal.SIGKILL)
        machine.process.wait()

    def is_running(self, machine):
        return machine.process is not None and machine.process.poll() is None

    async def is_ready(self, machine):
        answer = await call(machine.ready, "GET", "/ready", {}, timeout_s=1)
        return answer.status == 200

    async def until_ready(self, within_s, machines=None):
        """Waits until the machines call themselves ready; returns whether all do in time."""
        ends = time.monotonic() + within_s
        for machine in machines or self.machines:
            while not await self.is_ready(machine):
                if time.monotonic() > ends:
                    return False
                await asyncio.sleep(0.05)
        return True

    def log(self, machine):
        with open(os.path.join(self.folder, machine.name + ".log"), encoding="utf-8") as file:
            return file.read()

    def end(self):
        """Ends all processes that this platform started and removes its folder."""
        for machine in self.machines:
            if self.is_running(machine):
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                machine.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


class Answer:
    """Answer to a request; the status is 0 if there is none, and `whole` tells if all of it came."""

    def __init__(self, status, headers, body, whole, reason=""):
        self.status, self.headers, self.body, self.whole = status, headers, body, whole
        self.reason = reason

    def __str__(self):
        if self.status == 0:
            return f"no answer ({self.reason})"
        return f"{self.status}, {len(self.body)} bytes, {'whole' if self.whole else 'cut'}"


class Connection:
    """A client's connection to a machine; answers come in the order of the requests."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer

    @classmethod
    async def open(cls, address):
        host, port = address.split(":")
        return cls(*await asyncio.open_connection(host, int(port)))

    def send(self, method, path, headers, body=b""):
        lines = [f"{method} {path} HTTP/1.1"] + [f"{name}: {value}" for name, value in headers.items()]
        if body or method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)

    async def answer(self, timeout_s):
        try:
            return await asyncio.wait_for(self.read(), timeout_s)
        except asyncio.TimeoutError:
            return Answer(0, {}, b"", False, "none in time")

    async def read(self):
        head = await read_head(self.reader)
        if head is None:
            return Answer(0, {}, b"", False, "the connection closed")
        status, headers = int(head[0].split(" ")[1]), head[1]
        try:
            return Answer(status, headers, await read_body(self.reader, headers), True)
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            return Answer(status, headers, getattr(error, "partial", b""), False)

    def close(self):
        self.writer.close()


async def call(address, method, path, headers, body=b"", timeout_s=5.0):
    """Sends one request over a connection of its own."""
    try:
        connection = await asyncio.wait_for(Connection.open(address), 1)
    except (OSError, asyncio.TimeoutError) as error:
        return Answer(0, {}, b"", False, f"no connection: {type(error).__name__}")
    try:
        connection.send(method, path, {"Host": address, **headers}, body)
        return await connection.answer(timeout_s)
    except ConnectionError:
        return Answer(0, {}, b"", False, "the connection was reset")
    finally:
        connection.close()


def configuration(version, routes, idle_timeout_ms=15_000, more_routes=0):
    """The operator's configuration. `routes` maps a name to its path prefix, kind, service, timeout
    and target latency in ms; `more_routes` further ones have a host of their own."""
    host = {"host": "gateway.example"}
    table = {}
    for name, (prefix, kind, service, timeout_ms, latency_ms) in routes.items():
        table[name] = dict(host, **{
            "path-prefix": prefix, "kind": kind, "timeout-ms": timeout_ms,
            "target-latency-ms": latency_ms, "priority": 1, "service": service, "max-attempts": 2})
    services = sorted({route[2] for route in routes.values()})
    for number in range(more_routes):
        table[f"r-{number:07x}"] = {
            "host": "other.example", "path-prefix": f"/p{number:06x}/", "kind": "safe",
            "timeout-ms": 800, "target-latency-ms": 200, "priority": 2, "service": services[0],
            "max-attempts": 2}
    document = {
        "version": f"{version:08x}", "routes": table,
        "services": {name: {"health-path": "/health", "max-connections": 260, "protocol": "h1",
                            "tls": False} for name in services},
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 67108864,
                   "header-timeout-ms": 3000, "idle-timeout-ms": idle_timeout_ms}}
    return json.dumps(document, separators=(",", ":")).encode()


def request_headers(request_id, deadline_ms):
    return {"Host": "gateway.example", "X-Request-Id": request_id, "X-Deadline-Ms": str(deadline_ms)}


async def start_backends(record, store, services, backend=Backend):
    """Starts `count` backends of each service, in turn over the zones, and enters them."""
    backends = []
    for service, count in services.items():
        for number in range(count):
            zone = list(ZONES)[number % len(ZONES)]
            one = backend(record, f"i-{service}-{number + 1}", service, zone)
            await one.start()
            store.put(f"servers/{one.name}", one.entry())
            backends.append(one)
    return backends


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def main(case, folder):
    """Runs `case(record)`, which returns whether the rule was broken, and exits with the verdict."""
    record = Record(os.path.join(folder, "record.txt"))
    record.write(f"TROUBLE={int(has_trouble())}")

    async def limited():
        task = asyncio.ensure_future(case(record))
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        return await asyncio.wait_for(task, SCRIPT_LIMIT_S)

    try:
        if not os.access(os.path.join(ROOT, "target/release/thymeshiftd"), os.X_OK):
            raise CannotRun("target/release/thymeshiftd is missing: run review/build.sh")
        verdict = BROKEN if asyncio.run(limited()) else HELD
    except (CannotRun, asyncio.CancelledError, asyncio.TimeoutError) as error:
        record.write(f"could not run: {type(error).__name__} {error}")
        verdict = CANNOT_RUN
    except Exception:
        record.write("could not run: " + traceback.format_exc().replace(ROOT, ""))
        verdict = CANNOT_RUN
    text = {HELD: "the rule held", BROKEN: "the rule was broken", CANNOT_RUN: "could not run"}[verdict]
    record.write(f"verdict: {text}")
    record.close()
    print(f"TROUBLE={int(has_trouble())}: {text}")
    sys.exit(verdict)
