"""A request that crashes each engine that begins to run it, whose answers have neither a length nor chunks.

It comes again, with the same path, caller and body, at two entry hosts in turn. Sound streams run beside it.
FRAMING=chunked plays the same with answers in chunks, to compare.
"""
import os
import sys
import threading
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib2"))
import rig as r  # noqa: E402

N_ENGINES, BACK_S = 8, 2.0
PERIOD_S, LENGTH_S = 2.0, 34.0
MOST_RETRIES = 3
SERVER = HERE.parent / "lib2/server.py"


def case(rig):
    rig.store.put("config", "main", r.charter([r.route("draft", "streaming", "model-pool", 2, 6000, 500, True)], [r.POOL]))
    framing = os.environ.get("FRAMING", "none")
    env = {"kind": "stream", "framing": framing, "crash": "1" if r.TROUBLE else "0"}
    engines = [r.Backend(rig, SERVER, f"i-{n:04x}", "model-pool", BACK_S, env) for n in range(N_ENGINES)]
    for name in ("front-1", "front-2"):
        rig.start_host(name)
    for name in ("front-1", "front-2"):
        rig.wait_ready(name)
    time.sleep(1.0)
    sound = {"n": 0, "whole": 0}

    def send(host, rid, body, parts):
        headers = ["X-Model: lots", "X-Token-Counts: 830,110", f"X-Prompt-Prefix: 5c1e07a2:40,{parts}:790"]
        data = r.request("POST", "/draft/1", rid, 6000, body, headers)
        try:
            it = r.ask(rig.hosts[host]["callers"], data, 7.0)
        except OSError as error:
            rig.log(f"{rid} to {host}: {error}")
            return None
        rig.log(f"{rid} to {host}: {it}" + (f" {it.body[:60]!r}" if it.status != 200 else ""))
        return it

    is_over = threading.Event()

    def send_sound():
        while not is_over.is_set():
            sound["n"] += 1
            number = sound["n"]
            it = send(f"front-{1 + number % 2}", f"sound-{number}", b"sound %d" % number, f"{number:x}")
            sound["whole"] += int(it is not None and it.is_complete and it.status == 200)
            time.sleep(0.3)

    callers = [threading.Thread(target=send_sound, daemon=True)]
    callers[0].start()
    begun, number = time.monotonic(), 0
    while time.monotonic() - begun < LENGTH_S:
        number += 1
        send(f"front-{1 + number % 2}", f"crash-{number}", b"crash the engine", "91bd3f06")
        time.sleep(max(0, begun + number * PERIOD_S - time.monotonic()))
    is_over.set()
    callers[0].join(8)
    for it in engines:
        it.is_over = True
    runs = sorted((t, it.name, rid) for it in engines for t, what, rid, _ in it.seen()
                  if what == "begins" and rid.startswith("crash-"))
    crashes = sorted(t for it in engines for t, what, rid, _ in it.seen() if what == "crashes")
    for t, name, rid in runs:
        rig.log(f"{rid} reached {name} at {t - time.time() + rig.now():.3f} s")
    rig.log(f"sound streams: {sound['n']} sent, {sound['whole']} whole; the request was sent {number} times, "
            f"reached engines {len(runs)} times and crashed {len(crashes)}")
    if len(crashes) < 3:
        return None
    late = [it for it in runs if it[0] > crashes[2] + r.CONTACT_S]
    rig.log(f"reached engines later than {r.CONTACT_S} s after the third crash: {len(late)}, allowed {MOST_RETRIES}")
    return f"{len(late)} retries reached engines" if len(late) > MOST_RETRIES else None


r.run(HERE, case)
