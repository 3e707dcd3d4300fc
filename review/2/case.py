"""BUDGET: a part that crashes engines is never found if eight shared parts come before it."""
import asyncio
import itertools
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
import os

import standins
from standins import TROUBLE, HttpServer, answer, now, send

CONTACT = 3.0  # contact-ms of the site
HEARTBEAT = 1.2
BACK_AFTER = 3.0
MAX_REQUESTS = 3  # of the rule
N_ENGINES = 8
BOUNDS = {"grace_s": 8, "version_ms": 8000, "retry_ratio": 0.2, "retry_slack": 102, "retry_window_s": 10}
KEY = "Authorization: Bearer key-of-weavers"
RATES = {"sound": 19.0, "deadly": 1.0}  # requests a second
COMES_FOR = 22.0  # seconds for which requests with the deadly part come
N_BEFORE = int(os.environ.get("PARTS_BEFORE", "8"))
COMMON = [f"{0xc0ffee00 + it:08x}:40" for it in range(N_BEFORE)]
DEADLY = "dead0001:40"
SOUND = "50f70001:40"


class Engine:
    """A model engine, which crashes when it begins to write an answer on a prompt with the deadly part."""

    numbers = itertools.count(1)

    def __init__(self, world, zone, log):
        self.world, self.zone, self.log = world, zone, log
        self.ip = world.addresses.machine()
        self.port = world.addresses.port(self.ip)

    async def boot(self):
        self.id = f"i-{next(Engine.numbers):02d}"
        self.is_down = False
        self.http = await HttpServer(self.ip, self.port, self.handle).start()
        self.world.store.put("servers", self.id, {
            "service": "pool", "address": self.http.address, "zone": self.zone, "version": "v1", "slots": 16,
            "state": "ready", "cold-left-ms": 0, "sequence": 0, "born": int(1_700_000_000_000 + now() * 1000),
            "stage": "both", "models": [{"name": "lots", "version": 1, "adapters": []}],
            "layers": [{"from": 0, "target": 16, "version": 1}],
        })
        return self

    async def handle(self, request, writer):
        request_id = request.header("x-request-id")
        if request.header("x-expect-instance") != self.id:
            return answer(writer, 421, headers=[f"X-Instance-Id: {self.id}", f"X-Request-Id: {request_id}"])
        is_deadly = DEADLY in request.header("x-prompt-prefix")
        self.world.record.add("reaches", request_id, self.id, "deadly part" if is_deadly else "")
        if is_deadly:
            self.log["reached"].append((now(), request_id))
        own_boot = self.id
        await asyncio.sleep(0.05)
        if self.is_down or self.id != own_boot:
            raise ConnectionError  # the engine has crashed meanwhile
        if is_deadly:
            self.is_down = True
            self.log["crashes"].append(now())
            self.world.record.add("crash", request_id, self.id)
            asyncio.create_task(self.restart(self.id))
            self.http.stop()
            raise ConnectionError
        head = ["HTTP/1.1 200 OK", f"X-Request-Id: {request_id}", f"X-Server-Stamp: {self.id}.{request_id}",
                "X-Weight-Versions: 1", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        for number in range(1, 11):
            event = b"id: %d\ndata: words\n\n" % number
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(0.04)
            if self.is_down or self.id != own_boot:
                raise ConnectionError
        writer.write(b"0\r\n\r\n")

    async def restart(self, old):
        await asyncio.sleep(BACK_AFTER)
        await self.boot()
        await asyncio.sleep(max(0.0, 3 * HEARTBEAT - BACK_AFTER))
        self.world.store.delete("servers", old)


def config():
    route = {
        "name": "r-draft", "host": "lots.example", "path-prefix": "/draft/", "route-type": "streaming",
        "timeout-ms": 6000, "goal-ms": 500, "priority": 1, "service": "pool", "max-attempts": 2,
        "public": False, "sticky": True, "resumable": True, "gap-target-ms": 400,
    }
    engine = {
        "slots": 16, "kv-capacity": 1180000, "kv-bytes": 163840, "stride": 5, "size-mb": 266000.0,
        "models": [{"name": "lots", "pace": 1.0, "load-s": 4.0, "warm-s": 0.3}], "step_ms": 8.87, "per_seq_ms": 0.0388,
        "context_per_k": 0.0227, "read_per_s": 19100.0, "pairs_per_m": 1.47, "chunk": 2048, "report_lag_ms": 200.0,
        "delays": [], "usual": {"prompt": 977, "answer": 94}, "layers": 16, "layer_mb": 4540.0, "chunks": 48,
        "chunk-bytes": 49152,
    }
    return {
        "version": 1, "routes": [route],
        "services": [{"name": "pool", "health-path": "/health", "max-connections": 264, "protocol": "h1", "tls": False, "engine": engine}],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
        "tenants": [{"name": "weavers", "api-keys": ["key-of-weavers"], "priority": 1}],
    }


async def case(world):
    world.store.put("config", "main", config())
    log = {"reached": [], "crashes": []}
    for zone in ("north", "south"):
        for _ in range(N_ENGINES // 2):
            await Engine(world, zone, log).boot()
    hosts = [world.entry(f"front-{zone}-1", zone, zone, BOUNDS) for zone in ("north", "south")]
    for host in hosts:
        await host.wait_until_ready()
    await asyncio.sleep(CONTACT + 1)
    numbers = itertools.count(1)
    is_over = asyncio.Event()
    counts = {}

    async def ask(kind, part):
        request_id = f"{next(numbers):016x}"
        host = random.choice(hosts)
        own = f"{random.getrandbits(32):08x}:600"
        prefix = ",".join([*COMMON, part, own])
        world.record.add("sent", request_id, "to", host.name, kind)
        headers = ["Host: lots.example", "X-Deadline-Ms: 6000", KEY, "X-Model: lots", "X-Token-Counts: 1000,80",
                   f"X-Prompt-Prefix: {prefix}"]
        result = await send(host, "POST", "/draft/lot", request_id, headers, request_id.encode() * 20)
        world.record.add("answered", request_id, result.status, "complete" if result.is_complete else "cut")
        key = (kind, result.status if result.is_complete else "cut")
        counts[key] = counts.get(key, 0) + 1

    async def come(kind, part):
        while not is_over.is_set():
            asyncio.create_task(ask(kind, part))
            await asyncio.sleep(random.expovariate(RATES[kind]))

    tasks = [asyncio.create_task(come("sound", SOUND))]
    await asyncio.sleep(4)
    if TROUBLE:
        tasks.append(asyncio.create_task(come("deadly", DEADLY)))
    await asyncio.sleep(COMES_FOR)
    is_over.set()
    await asyncio.sleep(7.0)
    crashes = log["crashes"]
    known_at = crashes[4] + CONTACT if len(crashes) >= 5 else float("inf")
    later = {it[1] for it in log["reached"] if it[0] > known_at}
    world.record.say("answers:", counts)
    world.record.say(f"crashes of engines: {len(crashes)}; the fifth at {crashes[4] if len(crashes) > 4 else None}")
    world.record.say(f"requests with the deadly part that reached engines later than contact-ms after it: {len(later)} (allowed: {MAX_REQUESTS})")
    return len(later) > MAX_REQUESTS


standins.main(__file__, case)
