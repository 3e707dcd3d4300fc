"""A request that crashes each server that runs it, and the processes of all entry hosts killed at once.

Three entry hosts have found the request out and refuse it. All three are killed and start again after a
second. The request comes all the while, with the same path, caller and body, every five seconds at the
entry hosts in turn. Sound requests run beside it.
"""
import sys
import threading
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib2"))
import rig as r  # noqa: E402

N_SERVERS, BACK_S = 8, 2.0
HOSTS = ("front-1", "front-2", "front-3")
DOWN_S, PERIOD_S, N_AFTER = 1.0, 5.0, 8
MOST_RETRIES = 3
SERVER = HERE.parent / "lib2/server.py"


def case(rig):
    rig.store.put("config", "main", r.charter([r.route("hold", "non_idempotent", "ledger", 1, 2500, 150)], [r.LEDGER]))
    env = {"kind": "plain", "step_ms": "30", "crash": "1"}
    servers = [r.Backend(rig, SERVER, f"i-{n:04x}", "ledger", BACK_S, env) for n in range(N_SERVERS)]
    for name in HOSTS:
        rig.start_host(name)
    for name in HOSTS:
        rig.wait_ready(name)
    time.sleep(1.0)
    sent, ready_at = {}, dict.fromkeys(HOSTS, 0.0)

    def send(host, rid, body):
        sent[rid] = (time.time(), host)
        try:
            it = r.ask(rig.hosts[host]["callers"], r.request("POST", "/hold/1", rid, 2500, body), 3.5)
        except OSError as error:
            it = error
        if rid.startswith("crash-") or isinstance(it, OSError) or it.status != 200:
            detail = "" if isinstance(it, OSError) else f" {it.body[:110]!r}"
            rig.log(f"{rid} to {host}: {it}{detail}")
        return it

    is_over = threading.Event()

    def send_sound(lane):
        number = 0
        while not is_over.is_set():
            number += 1
            send(HOSTS[number % 3], f"sound-{lane}-{number}", b"sound %d %d" % (lane, number))
            time.sleep(0.1)

    callers = [threading.Thread(target=send_sound, args=(lane,), daemon=True) for lane in range(3)]
    for it in callers:
        it.start()

    def crash_runs():
        return sorted((t, it.name, rid) for it in servers for t, what, rid, _ in it.seen()
                      if what == "begins" and rid.startswith("crash-"))

    number = 0
    for number in range(1, 13):
        it = send(HOSTS[number % 3], f"crash-{number}", b"crash the server")
        if getattr(it, "status", 0) == 503 and b"crashed while running" in it.body:
            break
        time.sleep(0.7)
    else:
        raise r.CannotRun("the request was not found out")
    rig.log(f"found out after {len(crash_runs())} crashes")
    third = crash_runs()[2][0]
    time.sleep(2.0)
    if r.TROUBLE:
        rig.log("all entry hosts are killed")
        for name in HOSTS:
            rig.hosts[name]["child"].kill()
        for name in HOSTS:
            rig.hosts[name]["child"].wait()
        time.sleep(DOWN_S)
        for name in HOSTS:
            rig.start_host(name)
            ready_at[name] = time.time()
        for name in HOSTS:
            rig.wait_ready(name)
    else:
        time.sleep(DOWN_S)
    begun = time.monotonic()
    for step in range(N_AFTER):
        time.sleep(max(0.0, begun + (step + 1) * PERIOD_S - time.monotonic()))
        number += 1
        send(HOSTS[number % 3], f"crash-{number}", b"crash the server")
    time.sleep(0.5)
    is_over.set()
    for it in callers:
        it.join(5)
    for it in servers:
        it.is_over = True
    runs = crash_runs()
    for t, name, rid in runs:
        rig.log(f"{rid} reached {name} at {t - time.time() + rig.now():.3f} s from {sent[rid][1]}")
    # A start within contact-ms before counts as out of touch.
    late = [it for it in runs if it[0] > third + r.CONTACT_S and it[0] > ready_at[sent[it[2]][1]] + r.CONTACT_S]
    rig.log(f"sent {number} times, crashed {len(runs)}; reached servers later than {r.CONTACT_S} s after the third "
            f"crash, from hosts in touch: {len(late)}, allowed {MOST_RETRIES}")
    return f"{len(late)} retries reached servers" if len(late) > MOST_RETRIES else None


r.run(HERE, case)
