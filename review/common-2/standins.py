"""Stand-ins for the second review: the platform's store, upstreams, clients, and a proxy between nodes.

Nodes are started with the command of deploy/system.toml and a settings file that is filled from
deploy/sidecar.flags. Every address is a loopback address.
"""

import asyncio
import json
import os
import pathlib
import random
import re
import resource
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import base64

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BOUNDS = {
    "graceS": 6, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "retrySlack": 49,
}


class CannotRun(Exception):
    """The case could not be run; exit code 2."""


# ---------------------------------------------------------------------------------------------------------
class Record:
    """Writes record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.m_start = time.monotonic()
        self.m_file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.m_start

    def write(self, text):
        self.m_file.write(f"{self.now():8.3f} {text}\n")

    def say(self, text):
        self.write(text)
        print(f"{self.now():8.3f} {text}", flush=True)

    def close(self):
        self.m_file.close()


# ---------------------------------------------------------------------------------------------------------
def free_network(count):
    """Returns a prefix 127.A.B. under which the ports that the case uses are free at .1 to .count."""
    for _ in range(50):
        prefix = f"127.{random.randint(32, 250)}.{random.randint(1, 250)}."
        try:
            for host in range(1, count + 1):
                for port in (8300, 8301, 8302, 8304, 8306, 8309, 9464):
                    probe = socket.socket()
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    probe.bind((prefix + str(host), port))
                    probe.close()
            return prefix
        except OSError:
            continue
    raise CannotRun("no free loopback addresses")


def fill(template, fields):
    """Fills a settings template of the deploy file (see DEPLOY.md)."""

    def look_up(path):
        value = fields
        for part in path.split("."):
            value = value.get(part) if isinstance(value, dict) else None
        return value

    def text_of(value):
        return "" if value is None else str(value).lower() if isinstance(value, bool) else str(value)

    def section(match):
        return match.group(2) if look_up(match.group(1)) else ""

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: text_of(look_up(match.group(1))), text)


class Node:
    """A node process beside one upstream."""

    def __init__(self, record, folder, name, service, zone, ip, store, memory_mb=260, first=True,
                 peers_of_others=None, bounds=None):
        self.m_record = record
        self.m_name = name
        self.m_ip = ip
        self.m_log = pathlib.Path(folder) / f"{name}.log"
        self.m_boot = pathlib.Path(folder) / f"{name}.boot"
        self.m_process = None
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["node"]
        self.m_command = deploy["run"].split()
        self.m_template = (ROOT / deploy["template"]).read_text()
        self.m_fields = {
            "node": name, "service": service, "zone": zone, "ip": ip,
            "listen": {"inbound": f"{ip}:8300", "outbound": f"{ip}:8304", "ready": f"{ip}:8302",
                       "control": f"{ip}:8306"},
            "platform": {"address": store}, "heartbeatS": 1.5, "bounds": {**BOUNDS, **(bounds or {})},
            "limits": {"memoryMb": memory_mb, "maxFds": 4100}, "bootstrap": first,
        }
        self.m_extra = f"--advertised_peers={peers_of_others}\n" if peers_of_others else ""

    @property
    def outbound(self):
        return (self.m_ip, 8304)

    @property
    def control(self):
        return (self.m_ip, 8306)

    async def start(self):
        self.m_boot.write_text(fill(self.m_template, self.m_fields) + self.m_extra)
        self.m_fields["bootstrap"] = False
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["PLANKLEDGE_BOOT"] = str(self.m_boot)
        with open(self.m_log, "a", encoding="utf-8") as log:
            self.m_process = await asyncio.create_subprocess_exec(
                *self.m_command, cwd=ROOT, env=environment, stdout=log, stderr=log)
        self.m_record.say(f"node {self.m_name} started")

    async def kill(self):
        if self.m_process is not None and self.m_process.returncode is None:
            self.m_process.kill()
            await self.m_process.wait()
        self.m_record.say(f"node {self.m_name} killed")

    async def is_ready(self):
        answer = await ask((self.m_ip, 8302), "GET", "/-/readyz", timeout=1)
        return answer is not None and answer.m_status == 200

    async def wait_until_ready(self, timeout=10):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"node {self.m_name} is not ready")

    def memory_mb(self):
        """Resident memory of the process; None if it has ended."""
        try:
            status = pathlib.Path(f"/proc/{self.m_process.pid}/status").read_text()
            return int(re.search(r"VmRSS:\s+(\d+) kB", status).group(1)) / 1024
        except (OSError, AttributeError):
            return None

    async def end(self):
        if self.m_process is not None and self.m_process.returncode is None:
            self.m_process.kill()
            await self.m_process.wait()


# ---------------------------------------------------------------------------------------------------------
class Message:
    """An HTTP/1.1 message."""

    def __init__(self, start, headers, body):
        self.m_start = start
        self.m_headers = headers
        self.m_body = body

    @property
    def m_status(self):
        return int(self.m_start.split()[1])

    def header(self, name, default=""):
        return self.m_headers.get(name.lower(), default)


async def read_message(reader):
    """Reads a message with a length or in chunks; None at the end of the connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        lines = head.split("\r\n")
        headers = {}
        for line in lines[1:]:
            if ":" in line:
                name, value = line.split(":", 1)
                headers[name.strip().lower()] = value.strip()
        body = b""
        if headers.get("transfer-encoding") == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                if size == 0:
                    await reader.readuntil(b"\r\n")
                    break
                body += await reader.readexactly(size)
                await reader.readexactly(2)
        elif "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        return Message(lines[0], headers, body)
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None


def encode(start, headers, body=b""):
    lines = [start] + [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + f"\r\nContent-Length: {len(body)}\r\n\r\n").encode("latin-1") + body


async def ask(address, method, path, headers=None, body=b"", timeout=5.0):
    """Sends one request on a new connection. Returns the answer, or None if there is none in time."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(encode(f"{method} {path} HTTP/1.1",
                                {"Host": "shop.example", "Connection": "close", **(headers or {})}, body))
            return await read_message(reader)
    except (OSError, asyncio.TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Server:
    """An HTTP server; handle(message) returns the bytes of the answer, or None to close the connection."""

    def __init__(self, handle):
        self.m_handle = handle
        self.m_server = None
        self.m_writers = set()

    async def listen(self, ip, port):
        self.m_server = await asyncio.start_server(self._serve, ip, port, limit=1 << 20, backlog=1000)

    async def _serve(self, reader, writer):
        self.m_writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                answer = await self.m_handle(message)
                if answer is None:
                    break
                writer.write(answer)
                await writer.drain()
                if message.header("connection") == "close":
                    break
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.m_writers.discard(writer)
            writer.close()

    def close(self):
        if self.m_server is not None:
            self.m_server.close()
        for writer in list(self.m_writers):
            writer.transport.abort()


# ---------------------------------------------------------------------------------------------------------
class Store:
    """The platform's store: keyed topics, as PROTOCOL.md describes them."""

    def __init__(self):
        self.m_topics = {}  # name -> list of (key, value)
        self.m_changed = asyncio.Event()
        self.m_server = Server(self._answer)

    async def listen(self, ip):
        await self.m_server.listen(ip, 8309)

    def append(self, topic, key, value):
        self.m_topics.setdefault(topic, []).append((key, value))
        self.m_changed.set()
        self.m_changed = asyncio.Event()

    async def _answer(self, message):
        target = message.m_start.split()[1]
        path, _, query = target.partition("?")
        fields = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        records = self.m_topics.setdefault(fields.get("topic", ""), [])
        await asyncio.sleep(0.004)
        if path == "/-/log-newest":
            newest = {}
            for offset, (key, value) in enumerate(records):
                newest[key] = (value, offset)
            items = [{"tlsKey": key.decode(), "value": base64.b64encode(value).decode(), "offset": offset}
                     for key, (value, offset) in newest.items() if value]
            body = json.dumps({"items": items, "morePages": False, "endKey": len(records)}).encode()
            return encode("HTTP/1.1 200 OK", {"Content-Type": "application/json"}, body)
        if path == "/-/log-read":
            start = int(fields["startKey"])
            end = time.monotonic() + int(fields.get("waitMs", "0")) / 1000
            while len(records) <= start and time.monotonic() < end:
                try:
                    await asyncio.wait_for(self.m_changed.wait(), end - time.monotonic())
                except asyncio.TimeoutError:
                    break
            body = struct.pack(">QQ", len(records), 0)
            most = int(fields.get("maxFetchKb", "1024")) * 1024
            for key, value in records[start:]:
                record = bytes([len(key)]) + key + value
                if len(body) + 4 + len(record) > most and len(body) > 16:
                    break
                body += struct.pack(">I", len(record)) + record
            return encode("HTTP/1.1 200 OK", {"Content-Type": "application/octet-stream"}, body)
        if path == "/-/log-append":
            offset = len(records)
            data = message.m_body
            while data:
                (size,) = struct.unpack(">I", data[:4])
                record, data = data[4:4 + size], data[4 + size:]
                self.append(fields["topic"], record[1:1 + record[0]], record[1 + record[0]:])
            body = json.dumps({"offset": offset, "endKey": len(records)}).encode()
            return encode("HTTP/1.1 200 OK", {"Content-Type": "application/json"}, body)
        return encode("HTTP/1.1 404 Not Found", {})

    def close(self):
        self.m_server.close()


def configuration(version, rules, header_bytes=16384, tenants=None):
    """A configuration as an operator writes it; a rule is (prefix, service, kind, timeout in seconds), and
    tenants are {name: [key, ...]}."""
    listeners = [{"host": "shop.example", "ruleSet": [
        {"name": f"r-{prefix.strip('/')}", "kind": kind, "targetLatencyS": min(1.2, timeout), "priority": 1,
         "match": {"pathPrefix": prefix},
         "action": {"service": service, "timeoutS": timeout, "maxAttempts": 2}}
        for prefix, service, kind, timeout in rules]}]
    clusters = [{"name": service, "healthPath": "/healthz", "maxConnections": 600, "protocol": "h1",
                 "tls": False} for service in sorted({rule[1] for rule in rules})]
    names = {} if tenants is None else {"tenants": [
        {"name": name, "apiKeys": keys, "priority": 1, "ratePerS": 0, "burst": 0}
        for name, keys in tenants.items()]}
    return json.dumps({"version": f"r{version}", **names, "limits": {
        "maxHeaderBytes": header_bytes, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15},
        "baseVersion": "r1", "listeners": listeners, "clusters": clusters}).encode()


# ---------------------------------------------------------------------------------------------------------
class Upstream:
    """An upstream beside a node: runs requests, and announces itself every 1.5 s."""

    def __init__(self, record, identity, service, zone, ip, control, work_s=0.02, slots=89):
        self.m_record = record
        self.m_id = identity
        self.m_service = service
        self.m_zone = zone
        self.m_ip = ip
        self.m_control = control
        self.m_work_s = work_s
        self.m_slots = slots
        self.m_state = "ready"
        self.m_sequence = 0
        self.m_runs = []  # (seconds since the start, Request-Id)
        self.m_running = {}
        self.m_server = Server(self._run)
        self.m_beats = None

    async def start(self):
        await self.m_server.listen(self.m_ip, 8301)
        self.m_beats = asyncio.create_task(self._announce())

    def ping(self):
        """Returns the next ping, to be sent now or late."""
        self.m_sequence += 1
        return json.dumps({
            "service": self.m_service, "address": f"{self.m_ip}:8301", "zone": self.m_zone, "version": "v1",
            "slots": self.m_slots, "state": self.m_state, "coldLeftS": 0,
            "callSeq": self.m_sequence}).encode()

    async def send(self, body):
        answer = await ask(self.m_control, "PUT", f"/-/instances/{self.m_id}",
                           {"Content-Type": "application/json"}, body, timeout=1)
        self.m_record.write(f"ping of {self.m_id} {json.loads(body)['state']} "
                            f"callSeq {json.loads(body)['callSeq']}: "
                            f"{answer.m_status if answer else 'no answer'}")
        return answer

    async def withdraw(self):
        answer = await ask(self.m_control, "DELETE", f"/-/instances/{self.m_id}", timeout=1)
        self.m_record.say(f"DELETE of {self.m_id}: {answer.m_status if answer else 'no answer'}")
        return answer is not None and answer.m_status == 200

    async def _announce(self):
        while True:
            await self.send(self.ping())
            await asyncio.sleep(1.5)

    def stop_pings(self):
        if self.m_beats is not None:
            self.m_beats.cancel()

    async def _run(self, message):
        request = message.header("request-id")
        if message.header("expect-instance") not in ("", self.m_id):
            return encode("HTTP/1.1 421 Misdirected Request", {"Request-Id": request, "Not-Executed": 1,
                                                                "Instance-Id": self.m_id})
        if len(self.m_running) >= self.m_slots + 60:
            return encode("HTTP/1.1 503 Service Unavailable", {"Request-Id": request, "Not-Executed": 1})
        self.m_runs.append((self.m_record.now(), request))
        tenant = message.header("tenant-id")
        self.m_record.write(f"{self.m_id} runs {request}" + (f" for tenant {tenant}" if tenant else ""))
        self.m_running[request] = True
        await asyncio.sleep(self.m_work_s)
        self.m_running.pop(request, None)
        return encode("HTTP/1.1 200 OK", {"Request-Id": request, "Keep-Alive": "timeout=10",
                                          "Server-Stamp": f"stamp.{self.m_id}.{request}",
                                          "Server-Load": f"{len(self.m_running)},0,{self.m_slots}"},
                      b"whole body of " + request.encode())

    def close(self):
        self.stop_pings()
        self.m_server.close()


# ---------------------------------------------------------------------------------------------------------
class Proxy:
    """A TCP proxy. silence() makes the connections that are open now silent for good, without a reset; cut()
    resets all, and new ones until heal()."""

    def __init__(self, target):
        self.m_target = target
        self.m_server = None
        self.m_connections = []
        self.m_opened = 0
        self.m_is_cut = False

    async def listen(self, ip, port):
        self.m_server = await asyncio.start_server(self._serve, ip, port)

    async def _serve(self, reader, writer):
        if self.m_is_cut:
            writer.transport.abort()
            return
        self.m_opened += 1
        state = {"silent": False, "writers": [writer]}
        self.m_connections.append(state)
        try:
            other_reader, other_writer = await asyncio.open_connection(*self.m_target)
        except OSError:
            writer.transport.abort()
            self.m_connections.remove(state)
            return
        state["writers"].append(other_writer)
        try:
            await asyncio.gather(self._copy(state, reader, other_writer),
                                 self._copy(state, other_reader, writer))
        except asyncio.CancelledError:
            pass  # at the end of the case
        if state in self.m_connections:
            self.m_connections.remove(state)

    @staticmethod
    async def _copy(state, reader, writer):
        try:
            while data := await reader.read(65536):
                if not state["silent"]:
                    writer.write(data)
                    await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        if not state["silent"]:
            writer.close()

    def cut(self):
        self.m_is_cut = True
        for state in self.m_connections:
            for writer in state["writers"]:
                writer.transport.abort()

    def heal(self):
        self.m_is_cut = False

    def silence(self):
        for state in self.m_connections:
            state["silent"] = True
        return len(self.m_connections)

    def close(self):
        if self.m_server is not None:
            self.m_server.close()
        for state in self.m_connections:
            for writer in state["writers"]:
                writer.transport.abort()


# ---------------------------------------------------------------------------------------------------------
def run_case(case, script):
    """Runs case(record, folder) -> True if the rule was broken, and exits as the review asks."""
    here = pathlib.Path(script).resolve().parent
    record = Record(here)
    most = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))

    async def limited(folder):
        async with asyncio.timeout(115):
            return await case(record, folder)

    async def main():
        with tempfile.TemporaryDirectory() as folder:
            task = asyncio.create_task(limited(folder))
            for name in (signal.SIGTERM, signal.SIGINT):
                asyncio.get_running_loop().add_signal_handler(name, task.cancel)
            return await task

    code = 2
    try:
        broken = asyncio.run(main())
        record.say("RESULT: the rule was broken" if broken else "RESULT: the rule held")
        code = 1 if broken else 0
    except (Exception, asyncio.CancelledError) as error:  # an uncaught one would exit with 1
        record.say(f"RESULT: the case could not run: {error!r}")
    record.close()
    sys.exit(code)
