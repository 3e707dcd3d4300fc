"""A backend server of the pages as a process of its own: a model engine (streams) or a plain service.

Words: ADDRESS NAME EVENTS BORN [KEY=VALUE ..]. It checks X-Expect-Instance (421), echoes X-Request-Id, bears
X-Server-Stamp, and writes what it gets and runs to EVENTS: time of day, what, request id, rest.

kind=stream    answers POST with `events` events, one each `step_ms`; a stream goes on after Last-Event-Id
kind=plain     answers after `step_ms` with `bytes` bytes, in `parts` parts that long apart
framing=chunked|none    chunks or a length; or neither, so that the answer ends with its channel
A request whose body begins with "crash" and that begins to run ends the process (if crash=1), for a stream in the middle of its first event.
"""
import os
import socket
import sys
import threading
import time

address, name, events_path, born = sys.argv[1:5]
options = dict(it.split("=", 1) for it in sys.argv[5:])
KIND, FRAMING = options.get("kind", "stream"), options.get("framing", "chunked")
N_EVENTS, STEP_S = int(options.get("events", 21)), float(options.get("step_ms", 44)) / 1000
N_BYTES, N_PARTS = int(options.get("bytes", 800)), int(options.get("parts", 1))
CRASHES = options.get("crash") == "1"
events_file = os.open(events_path, os.O_WRONLY | os.O_APPEND | os.O_CREAT)


def note(what, request_id, rest=""):
    os.write(events_file, f"{time.time():.4f}\t{what}\t{request_id}\t{rest}\n".encode())


def event(number):
    return b"id: %d\ndata: token-%d of many\n\n" % (number, number)


def read_request(channel, buffer):
    while b"\r\n\r\n" not in buffer:
        part = channel.recv(65536)
        if not part:
            return None
        buffer += part
    head, buffer = buffer.split(b"\r\n\r\n", 1)
    lines = head.decode("latin-1").split("\r\n")
    headers = {k.strip().lower(): v.strip() for k, v in (l.split(":", 1) for l in lines[1:])}
    length = int(headers.get("content-length", 0))
    while len(buffer) < length:
        part = channel.recv(65536)
        if not part:
            return None
        buffer += part
    return lines[0].split(), headers, buffer[:length], buffer[length:]


def head(status, request_id, extra):
    return (f"HTTP/1.1 {status} X\r\nX-Request-Id: {request_id}\r\n"
            f"X-Server-Stamp: {name}.{born}.{request_id}\r\n{extra}\r\n").encode()


def serve(channel):
    channel.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    buffer = b""
    try:
        while (found := read_request(channel, buffer)) is not None:
            (method, target, _), headers, body, buffer = found
            rid = headers.get("x-request-id", "")
            if target.startswith("/health") or target.startswith("/v1/"):
                channel.sendall(f"HTTP/1.1 200 OK\r\nX-Instance-Id: {name}\r\nContent-Length: 0\r\n\r\n".encode())
                continue
            if headers.get("x-expect-instance", name) != name:
                channel.sendall(f"HTTP/1.1 421 X\r\nX-Request-Id: {rid}\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n".encode())
                continue
            last = int(headers.get("last-event-id", 0))
            note("begins", rid, f"{method} {target} last-event-id={last} born={born}")
            is_crash = CRASHES and body.startswith(b"crash")
            if KIND == "stream":
                stream(channel, rid, last, is_crash)
            else:
                plain(channel, rid, is_crash)
            if FRAMING == "none":
                break
    except OSError:
        pass
    finally:
        channel.close()


def crash(rid):
    note("crashes", rid)
    os.kill(os.getpid(), 9)


def stream(channel, rid, last, is_crash):
    framing = "Transfer-Encoding: chunked\r\n" if FRAMING == "chunked" else "Connection: close\r\n"
    send = lambda data: channel.sendall(b"%x\r\n%s\r\n" % (len(data), data) if FRAMING == "chunked" else data)
    time.sleep(0.04)
    channel.sendall(head(200, rid, f"Content-Type: text/event-stream\r\nX-Weight-Versions: 1\r\n{framing}"))
    for number in range(last + 1, N_EVENTS + 1):
        if is_crash:
            send(event(number)[:9])
            time.sleep(0.01)
            crash(rid)
        send(event(number))
        note("made", rid, str(number))
        time.sleep(STEP_S)
    if FRAMING == "chunked":
        channel.sendall(b"0\r\n\r\n")
    note("ends", rid)


def plain(channel, rid, is_crash):
    time.sleep(STEP_S)
    if is_crash:
        crash(rid)
    body = (f"{rid} " * (N_BYTES // (len(rid) + 1) + 1))[:N_BYTES].encode()
    framing = f"Content-Length: {len(body)}\r\n" if FRAMING == "chunked" else "Connection: close\r\n"
    size = -(-len(body) // N_PARTS)
    channel.sendall(head(200, rid, framing) + body[:size])
    note("made", rid, "1")
    for number in range(1, N_PARTS):
        time.sleep(STEP_S)
        channel.sendall(body[number * size:(number + 1) * size])
        note("made", rid, str(number + 1))
    note("ends", rid)


listener = socket.socket()
listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
ip, port = address.rsplit(":", 1)
listener.bind((ip, int(port)))
listener.listen(128)
while True:
    accepted, _ = listener.accept()
    threading.Thread(target=serve, args=(accepted,), daemon=True).start()
