"""BUDGET: a request that crashes engines reaches them again after each rolling restart of the entry hosts."""
import asyncio
import itertools
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
import signal

import standins
from standins import TROUBLE, HttpServer, answer, now, send

CONTACT = 3.0  # contact-ms of the site
HEARTBEAT = 1.2
BACK_AFTER = 3.0  # a crashed engine is back after some seconds
MAX_RETRIES = 3  # of the rule
N_ENGINES = 6
N_ROLLS = 2
COMES_AGAIN = 3.0
BOUNDS = {"grace_s": 8, "version_ms": 8000, "retry_ratio": 0.2, "retry_slack": 102, "retry_window_s": 10}
KEY = "Authorization: Bearer key-of-weavers"
CRASHING_BODY = b"roll=9999999999"


class Engine:
    """An engine of a plain service, which crashes when it begins to run the crashing request."""

    numbers = itertools.count(1)

    def __init__(self, world, zone, crashes):
        self.world, self.zone, self.crashes = world, zone, crashes
        ip = world.addresses.machine()
        self.ip, self.port = ip, world.addresses.port(ip)

    async def boot(self):
        self.id = f"i-{next(Engine.numbers):02d}"
        self.http = await HttpServer(self.ip, self.port, self.handle).start()
        self.world.store.put("servers", self.id, {
            "service": "ledger", "address": self.http.address, "zone": self.zone, "version": "v1", "slots": 6,
            "state": "ready", "cold-left-ms": 0, "sequence": 0, "born": int(1_700_000_000_000 + now() * 1000),
        })
        self.world.record.add("engine", self.id, "started")
        return self

    async def handle(self, request, writer):
        request_id = request.header("x-request-id")
        if request.header("x-expect-instance") != self.id:
            return answer(writer, 421, headers=[f"X-Instance-Id: {self.id}", f"X-Request-Id: {request_id}"])
        self.world.record.add("runs", request_id, self.id)
        if request.body == CRASHING_BODY:
            self.crashes.append((now(), request_id, self.id))
            self.world.record.say("crash", request_id, self.id)
            asyncio.create_task(self.restart(self.id))
            self.http.stop()
            raise ConnectionError
        await asyncio.sleep(random.uniform(0.02, 0.04))
        answer(writer, 200, b"held", [f"X-Request-Id: {request_id}", f"X-Server-Stamp: {self.id}.{request_id}"])

    async def restart(self, old):
        """The engine is back after some seconds under a new id; its old entry lapses after three heartbeats."""
        await asyncio.sleep(BACK_AFTER)
        await self.boot()
        await asyncio.sleep(max(0.0, 3 * HEARTBEAT - BACK_AFTER))
        self.world.store.delete("servers", old)


def config():
    route = {
        "name": "r-hold", "host": "lots.example", "path-prefix": "/hold/", "route-type": "non_idempotent",
        "timeout-ms": 1200, "goal-ms": 150, "priority": 2, "service": "ledger", "max-attempts": 1,
        "public": False, "sticky": False, "resumable": False,
    }
    return {
        "version": 1, "routes": [route],
        "services": [{"name": "ledger", "health-path": "/health", "max-connections": 100, "protocol": "h1", "tls": False}],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
        "tenants": [{"name": "weavers", "api-keys": ["key-of-weavers"], "priority": 1}],
    }


async def case(world):
    world.store.put("config", "main", config())
    crashes = []
    engines = [await Engine(world, zone, crashes).boot() for zone in ("north", "south") for _ in range(N_ENGINES // 2)]
    hosts = [world.entry(f"front-{zone}-1", zone, zone, BOUNDS) for zone in ("north", "south")]
    for host in hosts:
        await host.wait_until_ready()
    await asyncio.sleep(CONTACT + 1)
    numbers = itertools.count(1)
    sent_by = {}
    is_over = asyncio.Event()

    async def ask(host, request_id, body):
        sent_by[request_id] = host.is_in_touch(CONTACT)
        world.record.add("sent", request_id, "to", host.name, "in touch" if sent_by[request_id] else "")
        headers = ["Host: lots.example", "X-Deadline-Ms: 2500", KEY]
        result = await send(host, "POST", "/hold/lot", request_id, headers, body)
        world.record.add("answered", request_id, result.status)
        return result.status

    async def sound_traffic():
        while not is_over.is_set():
            number = next(numbers)
            ready = [it for it in hosts if it.is_running() and it.stopped is None]
            asyncio.create_task(ask(random.choice(ready), f"{number:016x}", b"roll=%d" % number))
            await asyncio.sleep(random.expovariate(20))

    async def crashing_request():
        """The request comes again every few seconds, at any machine that takes requests and is in touch."""
        for number in itertools.count(1):
            ready = [it for it in hosts if it.is_in_touch(CONTACT + 0.2)]
            if ready and not is_over.is_set():
                request_id = f"bad0{number:012x}"
                status = await ask(random.choice(ready), request_id, CRASHING_BODY)
                world.record.say("crashing request", request_id, "answered", status)
            await asyncio.sleep(COMES_AGAIN)

    tasks = [asyncio.create_task(sound_traffic()), asyncio.create_task(crashing_request())]
    await asyncio.sleep(18.0)
    for _ in range(N_ROLLS):
        if TROUBLE:
            for host in hosts:
                host.signal(signal.SIGTERM)
                await host.wait()
                host.start()
                await host.wait_until_ready()
                await asyncio.sleep(CONTACT + 0.5)
        await asyncio.sleep(16.0)
    is_over.set()
    await asyncio.sleep(2.0)
    for task in tasks:
        task.cancel()
    known_at = crashes[2][0] + CONTACT if len(crashes) >= 3 else float("inf")
    retries = [it for it in crashes if it[0] > known_at and sent_by[it[1]]]
    world.record.say(f"crashes of engines: {len(crashes)}; the third at {crashes[2][0] if len(crashes) > 2 else None}")
    world.record.say(f"retries that reached engines later than contact-ms after it: {len(retries)} (allowed: {MAX_RETRIES})")
    return len(retries) > MAX_RETRIES


standins.main(__file__, case)
