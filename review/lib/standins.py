"""Stand-ins for the platform's store, engines, services and consumers, and processes of the project.

Everything listens on loopback addresses. The stand-ins run in the process of the script; entry hosts
run as processes of their own, with the command of deploy/system.toml.
"""
import asyncio
import contextlib
import gc
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
DAEMON = "target/release/crocustillerd"

TROUBLE = os.environ.get("TROUBLE", "1") != "0"

START = time.monotonic()


def now():
    """Seconds since the start of the script."""
    return time.monotonic() - START


class Record:
    """What was sent, answered and run, one line each."""

    def __init__(self, folder):
        self.path = Path(folder) / "record.txt"
        self.lines = []

    def add(self, *words):
        self.lines.append(f"{now():9.3f} " + " ".join(str(it) for it in words))

    def say(self, *words):
        self.add(*words)
        print(self.lines[-1], flush=True)

    def write(self):
        self.path.write_text("\n".join(self.lines) + "\n")


class Addresses:
    """Loopback addresses on which nothing listens, one a machine, and free ports on them."""

    def __init__(self):
        self.prefix = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self.n_used = 0
        self.ports = set()

    def machine(self):
        self.n_used += 1
        return f"{self.prefix}.{self.n_used}"

    def port(self, ip):
        """A port that is free for TCP and UDP and was not given out before."""
        while True:
            with socket.socket() as tcp, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
                tcp.bind((ip, 0))
                port = tcp.getsockname()[1]
                with contextlib.suppress(OSError):
                    udp.bind((ip, port))
                    if (ip, port) not in self.ports:
                        self.ports.add((ip, port))
                        return port


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        parts = urlsplit(target)
        self.path, self.query = parts.path, {k: v[0] for k, v in parse_qs(parts.query).items()}

    def header(self, name):
        return self.headers.get(name.lower(), "")


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += data[:-2]
    return await reader.readexactly(int(headers.get("content-length", "0")))


class HttpServer:
    """An HTTP/1.1 server. `handle(request, writer)` writes the answer itself."""

    def __init__(self, ip, port, handle):
        self.ip, self.port, self.handle = ip, port, handle
        self.writers = set()
        self.server = None

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, self.ip, self.port, backlog=1024, reuse_address=True
        )
        return self

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                method, target, _ = line.split(" ", 2)
                body = await read_body(reader, headers)
                await self.handle(Request(method, target, headers, body), writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self):
        """Ends as a process that is gone: nothing listens, and open channels are reset."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            sock = writer.get_extra_info("socket")
            with contextlib.suppress(OSError):
                # A linger time of 0 resets the channel.
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            writer.transport.abort()


def answer(writer, status, body=b"", headers=()):
    lines = [f"HTTP/1.1 {status} x", f"Content-Length: {len(body)}", *headers]
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)


class Store:
    """The platform's store: objects by kind and name, lists and watches, as PROTOCOL.md says."""

    def __init__(self, ip, port):
        self.http = HttpServer(ip, port, self.handle)
        self.kinds = {}
        self.events = []
        self.revision = 100
        self.changed = asyncio.Event()

    async def start(self):
        await self.http.start()
        return self

    def put(self, kind, name, spec):
        self.revision += 1
        meta = {"name": name, "revision": self.revision, "created": 1, "finalizers": []}
        obj = {"metadata": meta, "spec": spec, "status": None}
        self.kinds.setdefault(kind, {})[name] = obj
        self.publish(kind, obj, False)
        return obj

    def delete(self, kind, name):
        obj = self.kinds.get(kind, {}).pop(name, None)
        if obj is not None:
            self.revision += 1
            obj = {**obj, "metadata": {**obj["metadata"], "revision": self.revision}}
            self.publish(kind, obj, True)

    def publish(self, kind, obj, deleted):
        self.events.append((self.revision, kind, {"object": obj, "deleted": deleted}))
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, request, writer):
        parts = [unquote(it) for it in request.path.split("/")[3:]]
        if not request.path.startswith("/v1/objects/") or not 1 <= len(parts) <= 3:
            return answer(writer, 404)
        kind = parts[0]
        objects = self.kinds.setdefault(kind, {})
        if request.method == "GET" and len(parts) == 1:
            if "watch" in request.query:
                return await self.watch(kind, request, writer)
            items = [objects[it] for it in sorted(objects) if it > request.query.get("after", "")]
            return self.reply(writer, 200, {"items": items, "more": False, "at": self.revision})
        if request.method == "GET":
            found = objects.get(parts[1])
            return self.reply(writer, 200, found) if found else answer(writer, 404)
        if request.method == "POST":
            sent = json.loads(request.body)
            name = sent["metadata"]["name"]
            if name in objects:
                return self.reply(writer, 409, objects[name])
            return self.reply(writer, 200, self.put(kind, name, sent.get("spec")))
        if request.method == "PUT":
            if parts[1] not in objects:
                return answer(writer, 404)
            sent = json.loads(request.body)
            if sent.get("spec") == objects[parts[1]]["spec"]:
                return self.reply(writer, 200, objects[parts[1]])
            return self.reply(writer, 200, self.put(kind, parts[1], sent.get("spec")))
        return answer(writer, 405)

    async def watch(self, kind, request, writer):
        after, until = int(request.query["watch"]), now() + int(request.query["wait-ms"]) / 1000
        while True:
            changed = self.changed
            events = [it[2] for it in self.events if it[0] > after and it[1] == kind]
            if events or now() >= until:
                return self.reply(writer, 200, {"events": events, "at": self.revision})
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(changed.wait(), max(0.0, until - now()))

    @staticmethod
    def reply(writer, status, value):
        answer(writer, status, json.dumps(value).encode(), ["Content-Type: application/json"])


class Process:
    """A process of the project, started with the command of the deploy file."""

    def __init__(self, world, name, settings):
        self.world, self.name, self.settings = world, name, settings
        self.child = None
        self.started = None
        self.stopped = None

    def start(self):
        path = Path(self.world.folder) / f"{self.name}.ini"
        path.write_text(self.settings)
        log = open(Path(self.world.folder) / f"{self.name}.log", "ab")
        command = [str(ROOT / DAEMON), "--platform", "--settings", str(path)]
        self.child = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log)
        log.close()
        self.started, self.stopped = now(), None
        self.world.record.add("process", self.name, "started", f"pid={self.child.pid}")
        return self

    def signal(self, number):
        self.world.record.add("process", self.name, signal.Signals(number).name)
        if number in (signal.SIGTERM, signal.SIGKILL, signal.SIGSTOP):
            self.stopped = now()
        self.child.send_signal(number)

    def is_running(self):
        return self.child is not None and self.child.poll() is None

    async def wait(self):
        while self.is_running():
            await asyncio.sleep(0.02)
        self.world.record.add("process", self.name, "ended", f"code={self.child.returncode}")

    def end(self):
        if self.is_running():
            self.child.kill()
            self.child.wait()

    def is_in_touch(self, contact):
        """Whether the process has run for the whole time `contact`, in seconds."""
        is_old = self.started is not None and now() - self.started > contact
        return self.is_running() and self.stopped is None and is_old


class EntryHost(Process):
    def __init__(self, world, name, zone, region, bounds):
        self.zone, self.region, self.ip = zone, region, world.addresses.machine()
        ports = {it: world.addresses.port(self.ip) for it in ("callers", "readiness", "directory", "peers", "metrics")}
        self.ports = ports
        listen = "".join(f"{it} = {self.ip}:{port}\n" for it, port in ports.items())
        settings = (
            f"[host]\nid = {name}\nrole = entry\nregion = {region}\nzone = {zone}\n"
            f"processor_share = 0.25\n\n[listen]\n{listen}\n"
            f"[store]\naddress = {world.store.http.address}\n\n[bounds]\n"
            + "".join(f"{k} = {v}\n" for k, v in bounds.items())
            + "\n[log]\nlevel = info\n"
        )
        super().__init__(world, name, settings)

    async def is_ready(self):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            reader, writer = await asyncio.wait_for(asyncio.open_connection(self.ip, self.ports["readiness"]), 1)
            writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line, _ = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return line.split(" ")[1] == "200"
        return False

    async def wait_until_ready(self, limit=15):
        until = now() + limit
        while not await self.is_ready():
            if now() > until:
                raise CannotRun(f"{self.name} does not become ready")
            await asyncio.sleep(0.05)
        self.world.record.add("process", self.name, "ready")


class CannotRun(Exception):
    pass


class Answer:
    def __init__(self):
        self.status, self.headers, self.body, self.is_complete = 0, {}, b"", False


async def send(host, method, path, request_id, headers=(), body=b"", limit=10.0):
    """Sends one request as a consumer on a new channel; returns its answer, with status 0 if none came."""
    result = Answer()
    writer = None
    try:
        async with asyncio.timeout(limit):
            reader, writer = await asyncio.open_connection(host.ip, host.ports["callers"])
            lines = [f"{method} {path} HTTP/1.1", f"X-Request-Id: {request_id}", *headers]
            if body or method != "GET":
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            line, result.headers = await read_head(reader)
            result.status = int(line.split(" ")[1])
            result.body = await read_body(reader, result.headers)
            result.is_complete = True
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
        pass
    finally:
        if writer is not None:
            writer.close()
    return result


class World:
    def __init__(self, folder, record):
        self.folder, self.record = folder, record
        self.addresses = Addresses()
        self.processes = []
        self.store = None

    async def start_store(self):
        ip = self.addresses.machine()
        self.store = await Store(ip, self.addresses.port(ip)).start()

    def entry(self, name, zone, region, bounds):
        host = EntryHost(self, name, zone, region, bounds)
        self.processes.append(host)
        return host.start()


def main(file, case):
    """Runs `case(world)`, which returns whether the rule was broken, and ends with the exit code."""
    folder = Path(file).resolve().parent
    record = Record(folder)
    if not (ROOT / DAEMON).exists():
        print("build the project first")
        sys.exit(2)
    code = 2
    failed = []

    def note_failure(_, context):
        """A task of a stand-in that ends with an error makes the run worthless."""
        err = context.get("exception")
        if err is not None and not isinstance(err, (ConnectionError, asyncio.CancelledError)):
            failed.append(repr(err))

    with tempfile.TemporaryDirectory(prefix="crocustiller-review-") as temp:
        world = World(temp, record)

        async def run():
            loop, task = asyncio.get_running_loop(), asyncio.current_task()
            loop.set_exception_handler(note_failure)
            for number in (signal.SIGTERM, signal.SIGINT):
                loop.add_signal_handler(number, task.cancel)
            async with asyncio.timeout(115):
                await world.start_store()
                return await case(world)

        try:
            code = 1 if asyncio.new_event_loop().run_until_complete(run()) else 0
            gc.collect()
            if failed:
                code = 2
                record.say("the case could not run: a stand-in failed:", failed[0])
        except CannotRun as err:
            record.say("the case could not run:", err)
        except (TimeoutError, asyncio.CancelledError):
            record.say("the case could not run: stopped before its end")
        except Exception as err:  # an error of the script is not a broken rule
            record.say("the case could not run:", repr(err))
        finally:
            for process in world.processes:
                process.end()
            if os.environ.get("KEEP_LOGS"):
                for it in Path(temp).glob("*.log"):
                    (Path(os.environ["KEEP_LOGS"]) / it.name).write_bytes(it.read_bytes())
    record.say("rule broken" if code == 1 else "rule kept" if code == 0 else "not run", f"exit={code}")
    record.write()
    sys.stdout.flush()
    # Tasks of the stand-ins that still wait for requests end here, without their messages.
    os._exit(code)
