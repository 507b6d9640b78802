"""Two full upstreams reject a request that must not run twice, and a second copy of each rejection arrives late, in
the slot of the next answer. The request, sent again under the same id, must not run twice, and if it has run it must
not be answered with a status that promises the opposite."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
from standins import (  # noqa: E402
    APP, OUTBOUND, Node, Pings, Store, choose_net, configuration, http, read_body, read_head, rule, run_case, wait_until,
)

FOLDER = Path(__file__).resolve().parent
HOST = "orders.example"
REQUESTS = 400
PER_SECOND = 25
EVERY = 40  # one request in this many meets full upstreams: 2.5 %
WORK_S = 0.01
LONG_WORK_S = 0.15
PROMISES = (408, 421, 429, 503)


class Upstream:
    """Rejects the first arrival of a marked request, and may send that rejection again in the next slot."""

    def __init__(self, ip, instance, record, has_trouble, runs):
        self.ip, self.instance, self.record, self.has_trouble, self.runs = ip, instance, record, has_trouble, runs
        self.rejected = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, APP)

    def close(self):
        self.server.close()

    async def serve(self, reader, writer):
        surplus = b""

        try:
            while True:
                head = await read_head(reader)

                if head is None:
                    break

                await read_body(reader, head)
                request = head.get("request-id")

                if surplus:
                    self.record.write(f"upstream {self.instance} sends the rejection again, late, in the slot of {request}")
                    writer.write(surplus)
                    await writer.drain()
                    surplus = b""

                is_marked = "full" in head.start

                if is_marked and request not in self.rejected:
                    self.rejected.add(request)
                    rejection = f"HTTP/1.1 503 Service Unavailable\r\nRequest-Id: {request}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode()
                    self.record.write(f"upstream {self.instance} rejects {request} (Not-Executed)")
                    writer.write(rejection)
                    surplus = rejection if self.has_trouble else b""
                    continue

                self.runs.setdefault(request, []).append(self.instance)

                if is_marked:
                    self.record.write(f"upstream {self.instance} runs {request}")

                await asyncio.sleep(LONG_WORK_S if is_marked else WORK_S)
                body = b"done"
                writer.write(
                    f"HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nServer-Stamp: {self.instance}.{request}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


async def send(ip, request, path, statuses, record):
    headers = {"Host": HOST, "Request-Id": request, "Deadline-Ms": "5000"}

    try:
        answer = await http(ip, OUTBOUND, "POST", path, headers, b"one order")
        statuses[request] = answer.status
    except (OSError, EOFError, asyncio.TimeoutError) as error:
        statuses[request] = type(error).__name__

    if "full" in path:
        record.write(f"client got for {request}: {statuses[request]}")


async def case(record, temporary, has_trouble):
    net = choose_net()
    store = Store(f"{net}.100", record)
    await store.start()
    rules = [rule("order", "/order/", "non_idempotent", "orders"), rule("home", "/home/", "idempotent", "front")]
    await store.put("keyed.op", "config", configuration(3, HOST, rules, ["front", "orders"]))
    nodes = [
        Node(temporary, "front-0", "front", "z-a", f"{net}.1", f"{net}.100"),
        Node(temporary, "orders-0", "orders", "z-a", f"{net}.2", f"{net}.100"),
        Node(temporary, "orders-1", "orders", "z-b", f"{net}.3", f"{net}.100"),
    ]
    runs, statuses = {}, {}
    upstreams = [Upstream(node.ip, f"i-{node.name}", record, has_trouble, runs) for node in nodes]
    pings = [Pings(node.ip, node.service, node.zone, f"i-{node.name}") for node in nodes]

    try:
        for node in nodes:
            node.start(True)

        for upstream, ping in zip(upstreams, pings):
            await upstream.start()
            ping.start()

        for node in nodes:
            await wait_until(node.is_ready, 15, f"{node.name} ready")

        await asyncio.sleep(4)
        tasks = []

        for number in range(REQUESTS):
            is_marked = number % EVERY == EVERY - 1
            request = f"0dde{number:04x}"

            if is_marked:
                record.write(f"client sends POST {request}")

            tasks.append(asyncio.ensure_future(send(nodes[0].ip, request, "/order/full" if is_marked else "/order/new", statuses, record)))
            await asyncio.sleep(1 / PER_SECOND)

        await asyncio.gather(*tasks)
        await asyncio.sleep(1)
    finally:
        for item in pings:
            item.stop()

        for node in nodes:
            node.kill()

        for upstream in upstreams:
            upstream.close()

        store.close()

    held = True

    for request, status in sorted(statuses.items()):
        where = runs.get(request, [])

        if len(where) > 1:
            record.write(f"BROKEN (TWICE): {request} ran {len(where)} times, at {', '.join(where)}; the client got {status}")
            held = False

        if where and status in PROMISES:
            record.write(f"BROKEN (REFUSED): {request} ran at {', '.join(where)}, and the client got {status}")
            held = False

    counts = {}

    for status in statuses.values():
        counts[status] = counts.get(status, 0) + 1

    record.write(f"answers by status: {counts}")

    if not has_trouble and counts.get(200, 0) < REQUESTS * 0.9:
        held = False

    return held


run_case(FOLDER, case)
