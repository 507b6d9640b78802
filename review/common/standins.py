"""Stand-ins for the review's scripts: the platform's store, upstreams' announcements, clients, and a launcher of
the project's own node program. Only the standard library is used."""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import struct
import subprocess
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
BUILDS = [ROOT / "target" / "plankledge-sidecar", ROOT / "build" / "plankledge-sidecar"]

PEERS, READY, OUTBOUND, CONTROL, APP, STORE, METRICS = 8300, 8302, 8304, 8306, 8301, 8309, 9464


class CannotRun(Exception):
    """The case could not be set up; says nothing about the program under test."""


def program():
    """Returns the latest build of the node program."""
    built = [path for path in BUILDS if path.exists()]

    if not built:
        raise CannotRun("target/plankledge-sidecar has not been built")

    return max(built, key=lambda path: path.stat().st_mtime)


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(Path(folder) / "record.txt", "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started

    def write(self, text):
        self.file.write(f"{self.now():8.3f} s  {text}\n")
        self.file.flush()

    def close(self):
        self.file.close()


# ---------------------------------------------------------------------------------------------------------------------
class Head:
    """The start line and headers of an HTTP message."""

    def __init__(self, text):
        lines = text.split("\r\n")
        self.start = lines[0]
        self.headers = []

        for line in lines[1:]:
            if line:
                name, _, value = line.partition(":")
                self.headers.append((name.strip().lower(), value.strip()))

    def get(self, name, default=""):
        for key, value in self.headers:
            if key == name.lower():
                return value

        return default


async def read_head(reader):
    """Returns the next message's head, or None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None

    return Head(raw.decode("latin-1"))


async def read_body(reader, head):
    if "chunked" in head.get("transfer-encoding").lower():
        body = b""

        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)

            if size == 0:
                return body

    return await reader.readexactly(int(head.get("content-length", "0") or 0))


# ---------------------------------------------------------------------------------------------------------------------
class Store:
    """The platform's store: keyed topics with one partition, read by long polling."""

    def __init__(self, ip, record):
        self.ip, self.record = ip, record
        self.topics = {}
        self.changed = asyncio.Condition()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, STORE)

    def close(self):
        self.server.close()

    async def put(self, topic, key, value):
        """Appends a record and returns its offset."""
        raw = bytes([len(key)]) + key.encode() + value

        async with self.changed:
            records = self.topics.setdefault(topic, [])
            records.append(raw)
            self.changed.notify_all()

        return len(self.topics[topic]) - 1

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)

                if head is None:
                    break

                body = await read_body(reader, head)
                method, target, _ = head.start.split(" ")
                path, _, query = target.partition("?")
                arguments = dict(part.partition("=")[::2] for part in query.split("&") if part)
                kind, answer = await self.handle(method, path, arguments, body)
                writer.write(
                    f"HTTP/1.1 200 OK\r\nContent-Type: {kind}\r\nContent-Length: {len(answer)}\r\n\r\n".encode() + answer
                )
                await writer.drain()

                if head.get("connection").lower() == "close":
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def handle(self, method, path, arguments, body):
        topic = arguments.get("topic", "")
        records = self.topics.setdefault(topic, [])

        if path == "/-/log-append":
            first = len(records)

            while body:
                length = struct.unpack(">I", body[:4])[0]
                raw, body = body[4 : 4 + length], body[4 + length :]
                await self.put(topic, raw[1 : 1 + raw[0]].decode(), raw[1 + raw[0] :])

            return "application/json", json.dumps({"offset": first, "endKey": len(records)}).encode()

        if path == "/-/log-newest":
            newest = {}

            for offset, raw in enumerate(records):
                newest[raw[1 : 1 + raw[0]].decode()] = (offset, raw[1 + raw[0] :])

            items = [
                {"tlsKey": key, "value": base64.b64encode(value).decode(), "offset": offset}
                for key, (offset, value) in sorted(newest.items())
                if value and key > arguments.get("after", "")
            ]
            answer = {"items": items, "morePages": False, "endKey": len(records)}
            return "application/json", json.dumps(answer).encode()

        start = int(arguments.get("startKey", "0"))
        wait = int(arguments.get("waitMs", "0")) / 1000

        if len(records) <= start and wait > 0:
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait_for(lambda: len(records) > start), wait)
                except asyncio.TimeoutError:
                    pass

        answer = struct.pack(">QQ", len(records), 0)

        for raw in records[start:]:
            answer += struct.pack(">I", len(raw)) + raw

        return "application/octet-stream", answer


# ---------------------------------------------------------------------------------------------------------------------
def rule(name, prefix, kind, service, timeout_s=5.0, attempts=2, objective_s=1.5):
    return {
        "name": name,
        "kind": kind,
        "targetLatencyS": objective_s,
        "priority": 0,
        "match": {"pathPrefix": prefix},
        "action": {"service": service, "timeoutS": timeout_s, "maxAttempts": attempts},
    }


def configuration(version, host, rules, services):
    return json.dumps(
        {
            "version": f"r{version}",
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15},
            "listeners": [{"host": host, "ruleSet": rules}],
            "clusters": [
                {"name": name, "healthPath": "/healthz", "maxConnections": 600, "protocol": "h1", "tls": False}
                for name in services
            ],
        }
    ).encode()


# ---------------------------------------------------------------------------------------------------------------------
class Node:
    """One process of the project's node program, started with the command and settings of the deploy file."""

    def __init__(self, folder, name, service, zone, ip, store_ip):
        self.folder, self.name, self.service, self.zone, self.ip, self.store_ip = folder, name, service, zone, ip, store_ip
        self.process = None

    def settings(self, first):
        gaps = {
            "node": self.name,
            "service": self.service,
            "zone": self.zone,
            "ip": self.ip,
            "listen.inbound": f"{self.ip}:{PEERS}",
            "listen.outbound": f"{self.ip}:{OUTBOUND}",
            "listen.ready": f"{self.ip}:{READY}",
            "listen.control": f"{self.ip}:{CONTROL}",
            "platform.address": f"{self.store_ip}:{STORE}",
            "heartbeatS": "1.5",
            "bounds.graceS": "6",
            "bounds.retryBudgetRatio": "0.2",
            "bounds.budgetWindowS": "10",
            "bounds.retrySlack": "50",
        }
        lines = []

        for line in (ROOT / "deploy" / "sidecar.flags").read_text().splitlines():
            if line.startswith("{{#bootstrap}}"):
                lines += ["--first_start=true"] if first else []
            elif not line.startswith("{{#"):
                for gap, value in gaps.items():
                    line = line.replace("{{" + gap + "}}", value)

                lines.append(line)

        return "\n".join(lines) + "\n"

    def start(self, first):
        path = Path(self.folder) / f"{self.name}.flags"
        path.write_text(self.settings(first))
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["PLANKLEDGE_BOOT"] = str(path)
        log = open(Path(self.folder) / f"{self.name}.log", "ab")
        self.process = subprocess.Popen([str(program())], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()

    def signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        try:
            return (await http(self.ip, READY, "GET", "/-/readyz", {}, timeout=1.0)).status == 200
        except (OSError, asyncio.TimeoutError, EOFError):
            return False


# ---------------------------------------------------------------------------------------------------------------------
class Answer:
    """What a client received: an HTTP answer, or why there is none."""

    def __init__(self, status, head, body, is_whole):
        self.status, self.head, self.body, self.is_whole = status, head, body, is_whole

    def describe(self):
        stamp = self.head.get("server-stamp", "none") if self.head else "none"
        whole = "whole" if self.is_whole else "incomplete"
        return f"{self.status}, Server-Stamp {stamp}, {len(self.body)} bytes, {whole}"


async def http(ip, port, method, path, headers, body=b"", timeout=10.0):
    """Sends one request on a connection of its own and returns its answer."""
    reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, port), 1.0)

    async def exchange():
        lines = [f"{method} {path} HTTP/1.1"] + [f"{name}: {value}" for name, value in headers.items()]

        if body or method in ("POST", "PUT"):
            lines.append(f"Content-Length: {len(body)}")

        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await writer.drain()
        head = await read_head(reader)

        if head is None:
            raise EOFError("connection closed without an answer")

        status = int(head.start.split(" ")[1])

        try:
            return Answer(status, head, await read_body(reader, head), True)
        except asyncio.IncompleteReadError as error:
            return Answer(status, head, error.partial, False)

    try:
        return await asyncio.wait_for(exchange(), timeout)
    finally:
        writer.close()


async def announce(ip, service, zone, instance, sequence, state="ready", slots=20):
    """Sends one ping of the upstream to the node beside it; returns whether it was acknowledged."""
    body = json.dumps(
        {
            "service": service,
            "address": f"{ip}:{APP}",
            "zone": zone,
            "version": "v1",
            "slots": slots,
            "state": state,
            "coldLeftS": 0,
            "callSeq": sequence,
        }
    ).encode()

    try:
        answer = await http(ip, CONTROL, "PUT", f"/-/instances/{instance}", {"Host": ip, "Content-Type": "application/json"}, body, 1.0)
    except (OSError, asyncio.TimeoutError, EOFError):
        return False

    return answer.status == 200


class Pings:
    """Announces an upstream every 1.5 s until it is stopped."""

    def __init__(self, ip, service, zone, instance, slots=20):
        self.ip, self.service, self.zone, self.instance, self.slots = ip, service, zone, instance, slots
        self.sequence = 0
        self.task = None

    def next_sequence(self):
        self.sequence += 1
        return self.sequence

    async def run(self):
        while True:
            await announce(self.ip, self.service, self.zone, self.instance, self.next_sequence(), "ready", self.slots)
            await asyncio.sleep(1.5)

    def start(self):
        self.task = asyncio.ensure_future(self.run())

    def stop(self):
        if self.task is not None:
            self.task.cancel()


# ---------------------------------------------------------------------------------------------------------------------
def choose_net():
    """Returns a loopback prefix on which all ports in use are free."""
    for _ in range(50):
        net = f"127.{random.randint(40, 240)}.{random.randint(1, 250)}"

        try:
            for last in range(1, 6):
                for port in (PEERS, READY, OUTBOUND, CONTROL, APP, METRICS):
                    with socket.socket() as probe:
                        probe.bind((f"{net}.{last}", port))

            with socket.socket() as probe:
                probe.bind((f"{net}.100", STORE))

            return net
        except OSError:
            continue

    raise CannotRun("no free loopback addresses")


async def wait_until(condition, seconds, what):
    end = time.monotonic() + seconds

    while time.monotonic() < end:
        if await condition():
            return

        await asyncio.sleep(0.1)

    raise CannotRun(f"not in time: {what}")


def stop_on_signal(number, frame):
    raise KeyboardInterrupt


def run_case(folder, case, limit_s=105):
    """Runs `case (record, temporary folder, has trouble)`, which returns whether the rule held, and exits: with 0 if it
    held, 1 if it was broken and 2 if the case could not run."""
    signal.signal(signal.SIGTERM, stop_on_signal)
    record = Record(folder)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"starts; TROUBLE={1 if has_trouble else 0}")
    code = 2

    try:
        program()

        with tempfile.TemporaryDirectory() as temporary:
            held = asyncio.run(asyncio.wait_for(case(record, temporary, has_trouble), limit_s))

        code = 0 if held else 1
    except (Exception, KeyboardInterrupt) as error:  # whatever went wrong here is no finding about the program
        record.write(f"{type(error).__name__}: {error}")

    outcome = ["the rule held", "the rule was broken", "could not run"][code]
    record.write(outcome)
    record.close()
    print(outcome)
    raise SystemExit(code)
