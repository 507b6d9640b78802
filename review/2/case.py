"""An upstream sends the beginning of an answer without a length before it has read the whole request, and then its
connection is reset. The client must not receive a success with the beginning as its body."""

import asyncio
import socket
import struct
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
from standins import APP, OUTBOUND, Node, Pings, Store, choose_net, configuration, http, rule, run_case, wait_until  # noqa: E402

FOLDER = Path(__file__).resolve().parent
HOST = "plans.example"
REQUEST_BYTES = 600_000
ANSWER_BYTES = 20_000
FIRST_PART_BYTES = 8_000
REQUESTS = 8


class Upstream:
    """Answers each request without a length, early, and resets the connection midway if it is to make trouble."""

    def __init__(self, ip, instance, record, has_trouble):
        self.ip, self.instance, self.record, self.has_trouble = ip, instance, record, has_trouble
        self.whole = {}  # by request id: the whole answer
        self.tasks = []

    def start(self):
        # The buffers of an ordinary network path; those of loopback take a whole request of this size.
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)
        self.listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1460)
        self.listener.bind((self.ip, APP))
        self.listener.listen(64)
        self.listener.setblocking(False)
        self.tasks.append(asyncio.ensure_future(self.accept()))

    def close(self):
        for task in self.tasks:
            task.cancel()

        self.listener.close()

    async def accept(self):
        while True:
            connection, _ = await asyncio.get_running_loop().sock_accept(self.listener)
            connection.setblocking(False)
            self.tasks.append(asyncio.ensure_future(self.serve(connection)))

    async def serve(self, connection):
        loop = asyncio.get_running_loop()
        data = b""

        while b"\r\n\r\n" not in data:
            more = await loop.sock_recv(connection, 4096)

            if not more:
                return connection.close()

            data += more

        head, _, body = data.partition(b"\r\n\r\n")
        headers = dict(
            (line.partition(b":")[0].strip().lower().decode(), line.partition(b":")[2].strip().decode())
            for line in head.split(b"\r\n")[1:]
        )
        request, length = headers["request-id"], int(headers.get("content-length", "0"))
        answer = bytes(ord("a") + index % 26 for index in range(ANSWER_BYTES))
        self.whole[request] = answer
        self.record.write(f"upstream {self.instance} runs {request}, {length} bytes of body to come")
        start = f"HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nServer-Stamp: {self.instance}.{request}\r\n\r\n".encode()
        await loop.sock_sendall(connection, start + answer[:FIRST_PART_BYTES])
        await asyncio.sleep(0.2)

        if self.has_trouble:
            # A reset, as when the process crashes while bytes of the request are unread.
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            connection.close()
            self.record.write(f"upstream {self.instance} sent {FIRST_PART_BYTES} of {ANSWER_BYTES} bytes for {request}; reset")
            return

        received = len(body)

        while received < length:
            received += len(await loop.sock_recv(connection, 65536))

        await loop.sock_sendall(connection, answer[FIRST_PART_BYTES:])
        connection.close()
        self.record.write(f"upstream {self.instance} sent all {ANSWER_BYTES} bytes for {request}; closed")


async def case(record, temporary, has_trouble):
    net = choose_net()
    store = Store(f"{net}.100", record)
    await store.start()
    rules = [rule("upload", "/upload/", "non_idempotent", "plans"), rule("home", "/home/", "idempotent", "front")]
    await store.put("keyed.op", "config", configuration(3, HOST, rules, ["front", "plans"]))
    nodes = [
        Node(temporary, "front-0", "front", "z-a", f"{net}.1", f"{net}.100"),
        Node(temporary, "plans-0", "plans", "z-a", f"{net}.2", f"{net}.100"),
        Node(temporary, "plans-1", "plans", "z-b", f"{net}.3", f"{net}.100"),
    ]
    upstreams = [Upstream(node.ip, f"i-{node.name}", record, has_trouble) for node in nodes]
    pings = [Pings(node.ip, node.service, node.zone, f"i-{node.name}") for node in nodes]
    held = True

    try:
        for node in nodes:
            node.start(True)

        for upstream, ping in zip(upstreams, pings):
            upstream.start()
            ping.start()

        for node in nodes:
            await wait_until(node.is_ready, 15, f"{node.name} ready")

        await asyncio.sleep(4)

        for number in range(REQUESTS):
            request = f"c0ffee{number:04x}"
            headers = {"Host": HOST, "Request-Id": request, "Deadline-Ms": "5000"}
            record.write(f"client sends POST {request} with {REQUEST_BYTES} bytes")

            try:
                answer = await http(nodes[0].ip, OUTBOUND, "POST", "/upload/sheet", headers, b"x" * REQUEST_BYTES)
            except (OSError, EOFError, asyncio.TimeoutError) as error:
                record.write(f"client got no answer to {request}: {type(error).__name__}")
                continue

            record.write(f"client got for {request}: {answer.describe()}")
            whole = next((u.whole[request] for u in upstreams if request in u.whole), None)

            if 200 <= answer.status < 300 and answer.is_whole and answer.body != whole:
                record.write(f"BROKEN (MIXED): a success with {len(answer.body)} of {len(whole or b'')} bytes that looks complete")
                held = False
            elif not has_trouble and answer.status != 200:
                held = False
    finally:
        for item in pings:
            item.stop()

        for node in nodes:
            node.kill()

        for upstream in upstreams:
            upstream.close()

        store.close()

    return held


run_case(FOLDER, case)
