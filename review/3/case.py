"""DRAIN: engines whose entries are removed together get requests later than drain-ms."""
import asyncio
import itertools
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
import standins
from standins import TROUBLE, HttpServer, answer, now, send

DRAIN = 2.0  # drain-ms of the site
LINGER = 0.15  # "and a little longer" for which a leaving engine serves
N_PER_ZONE = 4
RATE = 120.0
BOUNDS = {"grace_s": 8, "version_ms": 8000, "retry_ratio": 0.2, "retry_slack": 102, "retry_window_s": 10}


class Engine:
    """An engine of a plain service, which runs each request for about 30 ms."""

    def __init__(self, world, number, zone):
        self.world, self.id, self.zone = world, f"i-{number:02d}", zone
        ip = world.addresses.machine()
        self.http = HttpServer(ip, world.addresses.port(ip), self.handle)
        self.removed = None
        self.late = []

    async def start(self):
        await self.http.start()
        self.world.store.put("servers", self.id, {
            "service": "ledger", "address": self.http.address, "zone": self.zone, "version": "v1",
            "slots": 6, "state": "ready", "cold-left-ms": 0, "sequence": 0, "born": 1_700_000_000_000,
        })
        return self

    async def handle(self, request, writer):
        request_id = request.header("x-request-id")
        if request.header("x-expect-instance") != self.id:
            return answer(writer, 421, headers=[f"X-Instance-Id: {self.id}", f"X-Request-Id: {request_id}"])
        late = ""
        if self.removed is not None:
            late = f"removed_for={now() - self.removed:.3f}"
            if now() - self.removed > DRAIN:
                self.late.append(request_id)
        self.world.record.add("arrives", request_id, self.id, late)
        await asyncio.sleep(random.uniform(0.02, 0.04))
        self.world.record.add("has run", request_id, self.id)
        answer(writer, 200, b"held", [f"X-Request-Id: {request_id}", f"X-Server-Stamp: {self.id}.{request_id}"])

    async def leave(self):
        """Leaves without a report: its entry is removed, it serves for drain-ms and a little longer, and ends."""
        self.removed = now()
        self.world.store.delete("servers", self.id)
        self.world.record.add("entry removed", self.id, "acknowledged")
        await asyncio.sleep(DRAIN + LINGER)
        self.http.stop()
        self.world.record.add("engine ended", self.id)


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
    numbers = itertools.count(1)
    engines = [
        await Engine(world, next(numbers), zone).start() for zone in ("north", "south") for _ in range(N_PER_ZONE)
    ]
    hosts = [world.entry(f"front-{zone}-1", zone, zone, BOUNDS) for zone in ("north", "south")]
    for host in hosts:
        await host.wait_until_ready()
    await asyncio.sleep(4.0)  # the hosts have been in touch for contact-ms
    results = {}

    async def consume(host, request_id):
        world.record.add("sent", request_id, "to", host.name)
        headers = ["Host: lots.example", "X-Deadline-Ms: 2500", "Authorization: Bearer key-of-weavers"]
        result = await send(host, "POST", f"/hold/{request_id}", request_id, headers, b"roll=7")
        world.record.add("answered", request_id, result.status)
        results[request_id] = result.status

    async def traffic(seconds):
        tasks = []
        until = now() + seconds
        for number in itertools.count(1):
            if now() > until:
                break
            tasks.append(asyncio.create_task(consume(random.choice(hosts), f"{number:016x}")))
            await asyncio.sleep(random.expovariate(RATE))
        await asyncio.gather(*tasks)

    load = asyncio.create_task(traffic(10.0))
    await asyncio.sleep(4.0)
    if TROUBLE:
        # One after the other within a tenth of a second, as a zone is taken out of service.
        leaving = []
        for engine in engines:
            if engine.zone == "south":
                leaving.append(asyncio.create_task(engine.leave()))
                await asyncio.sleep(0.02)
        await asyncio.gather(*leaving)
    await load
    late = [it for engine in engines for it in engine.late]
    lost = [it for it, status in results.items() if status not in (200, 503)]
    world.record.say(f"requests: {len(results)}, answered 200: {sum(it == 200 for it in results.values())}")
    world.record.say(f"later than drain-ms at an engine whose entry was removed: {len(late)} {late[:5]}")
    world.record.say(f"neither served nor refused: {len(lost)} {[(it, results[it]) for it in lost[:5]]}")
    return bool(late)


standins.main(__file__, case)
