"""What the scripts of the second review share: free loopback addresses, a store, the project's daemon as
a separate process, backend servers as separate processes, and a caller that reads raw responses.

The store follows the pages' section "The platform's metadata store": objects by kind and name, one revision
counter, lists, watches with `wait-ms`, creation and replacement. It has no fault of its own.
"""
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
DAEMON = ROOT / "target/release/crocustillerd"
HOST, KEY, TENANT = "lots.example", "weavers-key", "weavers"
# Bounds of the site habimana-mesh.
CONTACT_S = 3.0
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def free_address():
    """An address of which TCP and UDP are free."""
    while True:
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            tcp.bind(("127.0.0.1", 0))
            try:
                udp.bind(tcp.getsockname())
            except OSError:
                continue
            return "127.0.0.1:%d" % tcp.getsockname()[1]


def split(address):
    ip, port = address.rsplit(":", 1)
    return ip, int(port)


class Store:
    """The platform's store."""

    def __init__(self):
        self.lock = threading.Condition()
        self.revision = 10
        self.objects = {}  # (kind, name) -> object
        self.events = []  # (revision, kind, object, deleted)
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *args):
                pass

            def handle_one_request(self):
                try:
                    super().handle_one_request()
                except OSError:
                    self.close_connection = True

            def reply(self, status, body):
                data = json.dumps(body).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.send_header("Store-Era", "1")
                self.end_headers()
                self.wfile.write(data)

            def target(self):
                url = urlsplit(self.path)
                parts = [unquote(it) for it in url.path.strip("/").split("/")][2:]
                return parts, {k: v[0] for k, v in parse_qs(url.query).items()}

            def body(self):
                return json.loads(self.rfile.read(int(self.headers.get("Content-Length") or 0)) or b"{}")

            def do_GET(self):
                parts, query = self.target()
                self.reply(*store.read(parts, query))

            def do_POST(self):
                parts, _ = self.target()
                body = self.body()
                name = body["metadata"]["name"]
                with store.lock:
                    exists = (parts[0], name) in store.objects
                if exists:
                    return self.reply(409, store.objects[parts[0], name])
                self.reply(200, store.put(parts[0], name, body.get("spec")))

            def do_PUT(self):
                parts, _ = self.target()
                self.reply(200, store.put(parts[0], parts[1], self.body().get("spec")))

        class Server(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128

        self.server = Server(("127.0.0.1", 0), Handler)
        self.address = "127.0.0.1:%d" % self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def put(self, kind, name, spec):
        with self.lock:
            known = self.objects.get((kind, name))
            if known and known["spec"] == spec:
                return known
            self.revision += 1
            metadata = {"name": name, "revision": self.revision, "created": self.revision,
                        "finalizers": [], "delete-requested": False}
            self.objects[kind, name] = {"metadata": metadata, "spec": spec, "status": None}
            self.events.append((self.revision, kind, self.objects[kind, name], False))
            self.lock.notify_all()
            return self.objects[kind, name]

    def remove(self, kind, name):
        with self.lock:
            known = self.objects.pop((kind, name), None)
            if known:
                self.revision += 1
                self.events.append((self.revision, kind, known, True))
                self.lock.notify_all()

    def read(self, parts, query):
        kind = parts[0]
        with self.lock:
            if len(parts) > 1:
                known = self.objects.get((kind, parts[1]))
                return (200, known) if known else (404, {})
            if "watch" not in query:
                after = query.get("after", "")
                names = sorted(n for k, n in self.objects if k == kind and n > after)
                items = [self.objects[kind, n] for n in names]
                return 200, {"items": items, "more": False, "at": self.revision}
            since, end = int(query["watch"]), time.monotonic() + int(query.get("wait-ms", 0)) / 1000
            while True:
                found = [{"object": o, "deleted": d} for r, k, o, d in self.events if r > since and k == kind]
                left = end - time.monotonic()
                if found or left <= 0:
                    return 200, {"events": found, "at": self.revision}
                self.lock.wait(left)


def charter(routes, services, version=1):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                       "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
            "tenants": [{"name": TENANT, "api-keys": [KEY]}]}


def route(name, kind, service, attempts, timeout_ms, goal_ms, resumable=False):
    it = {"name": name, "host": HOST, "path-prefix": f"/{name}/", "route-type": kind,
          "timeout-ms": timeout_ms, "goal-ms": goal_ms, "priority": 1, "service": service,
          "max-attempts": attempts, "public": False}
    if kind == "streaming":
        it.update({"sticky": True, "resumable": resumable, "gap-target-ms": 400})
    return it


POOL = {"name": "model-pool", "health-path": "/health", "max-connections": 264, "engine": {
    "slots": 16, "models": [{"name": "lots", "warm-s": 0.3}], "layers": 4, "chunks": 4, "chunk-bytes": 64,
    "step_ms": 8.87, "stride": 5, "read_per_s": 19100.0, "usual": {"prompt": 800, "answer": 100}}}
LEDGER = {"name": "ledger", "health-path": "/health", "max-connections": 100}


class Rig:
    """The processes of one case, and its record."""

    def __init__(self, folder):
        self.folder = Path(folder)
        self.temp = Path(tempfile.mkdtemp(prefix="review-"))
        self.record = open(self.folder / "record.txt", "w", buffering=1)
        self.begun = time.monotonic()
        self.lock = threading.Lock()
        self.children = []
        self.is_over = False
        self.store = Store()
        self.hosts = {}
        self.log(f"TROUBLE={int(TROUBLE)}")

    def now(self):
        return time.monotonic() - self.begun

    def log(self, text):
        with self.lock:
            if not self.record.closed:
                self.record.write(f"{self.now():8.3f} s  {text}\n")

    def spawn(self, words, name):
        with self.lock:
            if self.is_over:
                raise CannotRun("the case is over")
            with open(self.temp / f"{name}.log", "ab") as out:
                child = subprocess.Popen(words, cwd=ROOT, stdout=out, stderr=out)
            self.children.append(child)
            return child

    def start_host(self, name):
        """Starts an entry host with the command of the deploy file; one that is started again keeps its
        addresses."""
        if name not in self.hosts:
            it = {key: free_address() for key in ("callers", "readiness", "directory", "peers", "metrics")}
            path = self.temp / f"{name}.ini"
            listen = "".join(f"{key} = {value}\n" for key, value in it.items())
            path.write_text(
                f"[host]\nid = {name}\nrole = entry\nregion = rw-kigali\nzone = nyabugogo\n"
                f"processor_share = 0.25\nmemory_mb = 260\ndescriptors = 4100\n\n[listen]\n{listen}\n"
                f"[store]\naddress = {self.store.address}\n\n[zones]\nnyabugogo = rw-kigali\n\n"
                "[bounds]\ngrace_s = 8\nversion_ms = 8000\nretry_ratio = 0.2\nretry_slack = 102\n"
                "retry_window_s = 10\n\n[log]\nlevel = info\n")
            self.hosts[name] = it | {"settings": path}
        host = self.hosts[name]
        host["child"] = self.spawn([str(DAEMON), "--platform", "--settings", str(host["settings"])], name)
        self.log(f"started {name}")
        return host

    def is_ready(self, name):
        try:
            return ask(self.hosts[name]["readiness"], b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\n"
                       b"Connection: close\r\n\r\n", 1.0).status == 200
        except OSError:
            return False

    def wait_ready(self, name, timeout_s=12):
        end = time.monotonic() + timeout_s
        while not self.is_ready(name):
            if time.monotonic() > end:
                raise CannotRun(f"{name} is not ready after {timeout_s} s")
            time.sleep(0.05)
        self.log(f"{name} is ready")

    def close(self):
        with self.lock:
            self.is_over = True
        for child in self.children:
            if child.poll() is None:
                try:
                    child.send_signal(signal.SIGCONT)
                    child.kill()
                except ProcessLookupError:
                    pass
        for child in self.children:
            child.wait()
        with self.lock:
            self.record.close()
        if os.environ.get("KEEP"):
            print("kept", self.temp)
        else:
            shutil.rmtree(self.temp, ignore_errors=True)


class CannotRun(Exception):
    pass


class Answer:
    """A response as its caller saw it."""

    def __init__(self):
        self.status, self.headers, self.body, self.is_complete = 0, {}, b"", False
        self.error = None

    def __str__(self):
        end = "complete" if self.is_complete else f"incomplete ({self.error})"
        return f"{self.status} {end} {len(self.body)} bytes"


def ask(address, data, timeout_s):
    """Sends a request on a new channel and reads the response, with its framing."""
    it = Answer()
    with socket.create_connection(split(address), 1.0) as channel:
        channel.settimeout(timeout_s)
        channel.sendall(data)
        read_answer(channel, it)
    return it


def read_answer(channel, it, on_body=lambda body: None):
    buffer = b""

    def more():
        nonlocal buffer
        part = channel.recv(65536)
        if not part:
            raise EOFError("closed")
        buffer += part

    try:
        while b"\r\n\r\n" not in buffer:
            more()
        head, buffer = buffer.split(b"\r\n\r\n", 1)
        lines = head.decode("latin-1").split("\r\n")
        it.status = int(lines[0].split()[1])
        it.headers = {k.strip().lower(): v.strip() for k, v in (l.split(":", 1) for l in lines[1:])}
        if "content-length" in it.headers:
            length = int(it.headers["content-length"])
            while len(buffer) < length:
                it.body = buffer
                more()
            it.body, it.is_complete = buffer[:length], True
            return
        while True:
            while b"\r\n" not in buffer:
                more()
            size, buffer = buffer.split(b"\r\n", 1)
            n_bytes = int(size, 16)
            while len(buffer) < n_bytes + 2:
                more()
            it.body += buffer[:n_bytes]
            buffer = buffer[n_bytes + 2:]
            on_body(it.body)
            if n_bytes == 0:
                it.is_complete = True
                return
    except (EOFError, OSError, ValueError) as error:
        it.error = f"{type(error).__name__}: {error}"


def request(method, path, request_id, time_ms, body=b"", headers=()):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"X-Request-Id: {request_id}",
             f"X-Deadline-Ms: {time_ms}", f"Authorization: Bearer {KEY}", *headers]
    if method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Backend:
    """A backend server as a process of its own, and its entry in the store. If the process ends, it is
    started again after `back_s` seconds under the same id, with a new `born`, as the pages allow."""

    def __init__(self, rig, program, name, service, back_s, env=None):
        self.rig, self.program, self.name, self.service, self.back_s = rig, program, name, service, back_s
        self.address = free_address()
        self.env = env or {}
        self.events = rig.temp / f"{name}.events"
        self.events.touch()
        self.is_over = False
        self.n_starts = 0
        self.start()
        if back_s is not None:
            threading.Thread(target=self.watch, daemon=True).start()

    def start(self):
        self.n_starts += 1
        born = int(time.time() * 1000)
        words = [sys.executable, str(self.program), self.address, self.name, str(self.events), str(born)]
        words += [f"{key}={value}" for key, value in self.env.items()]
        self.child = self.rig.spawn(words, self.name)
        end = time.monotonic() + 10
        while True:
            try:
                socket.create_connection(split(self.address), 0.2).close()
                break
            except OSError:
                if time.monotonic() > end:
                    raise CannotRun(f"{self.name} does not listen")
                time.sleep(0.02)
        spec = {"service": self.service, "address": self.address, "zone": "nyabugogo", "version": "v1",
                "slots": 16, "state": "ready", "cold-left-ms": 0, "sequence": 0, "born": born}
        if self.service == "model-pool":
            spec |= {"models": [{"name": "lots", "version": 1, "adapters": []}],
                     "layers": [{"from": 0, "target": 4, "version": 1}]}
        self.rig.store.put("servers", self.name, spec)

    def watch(self):
        while not self.is_over and not self.rig.is_over:
            if self.child.poll() is not None:
                self.rig.log(f"{self.name} has ended (start {self.n_starts}), back in {self.back_s} s")
                time.sleep(self.back_s)
                try:
                    if not self.is_over:
                        self.start()
                except CannotRun:
                    return
            time.sleep(0.02)

    def seen(self):
        """The events that the process wrote: (time of day in s, what, request id, rest)."""
        lines = self.events.read_text().splitlines()
        return [(float(t), what, rid, rest) for t, what, rid, rest in (l.split("\t") for l in lines)]


def run(folder, case):
    """Runs a case and exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    if not DAEMON.exists():
        print("no daemon: run the build of the deploy file")
        sys.exit(2)
    rig = Rig(folder)

    def end(*_):
        raise CannotRun("it was ended by a signal")

    signal.signal(signal.SIGTERM, end)
    signal.signal(signal.SIGINT, end)
    try:
        broken = case(rig)
    except Exception as error:  # noqa: BLE001: whatever it is, the case couldn't run
        rig.log(f"couldn't run: {type(error).__name__}: {error}")
        print(f"couldn't run: {type(error).__name__}: {error}")
        code = 2
    else:
        verdict = f"broken: {broken}" if broken else "held"
        rig.log(verdict)
        print(verdict)
        code = 1 if broken else 0
    finally:
        rig.close()
    sys.exit(code)
