"""An upstream says that it leaves, with DELETE alone, and is acknowledged. Then all node processes are killed at the
same moment and started again, and a ping that the upstream sent before the DELETE arrives seconds late. No request
may reach the upstream later than drainS after the acknowledgement."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
from standins import (  # noqa: E402
    APP, CONTROL, OUTBOUND, CannotRun, Node, Pings, Store, announce, choose_net, configuration, http, read_body, read_head, rule, run_case, wait_until,
)

FOLDER = Path(__file__).resolve().parent
HOST = "orders.example"
DRAIN_S = 2.0
CONTACT_S = 3.0
PING_DELAY_S = 4.0
RESTART_DELAY_S = 0.5
KILL_GAP_S = 0.5
SERVES_ON_S = 8.0  # after the DELETE; "at times many seconds"
PER_SECOND = 30
WORK_S = 0.3


class Upstream:
    """Runs each request for a while; when it ends, it breaks off what it is running."""

    def __init__(self, ip, instance, record):
        self.ip, self.instance, self.record = ip, instance, record
        self.arrivals = []  # (time, request id)
        self.running = set()
        self.broken_off = []
        self.writers = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, APP)

    def end(self):
        self.server.close()
        self.broken_off = sorted(self.running)

        for writer in self.writers:
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)

        try:
            while True:
                head = await read_head(reader)

                if head is None:
                    break

                await read_body(reader, head)
                request = head.get("request-id")

                if head.get("expect-instance") not in ("", self.instance):
                    writer.write(f"HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {request}\r\nContent-Length: 0\r\n\r\n".encode())
                    continue

                self.arrivals.append((self.record.now(), request))
                self.running.add(request)
                await asyncio.sleep(WORK_S)
                self.running.discard(request)
                writer.write(
                    f"HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nServer-Stamp: {self.instance}.{request}\r\nContent-Length: 4\r\n\r\ndone".encode()
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Clients:
    """Sends a request that must not run twice at a steady rate."""

    def __init__(self, ip, record):
        self.ip, self.record = ip, record
        self.statuses = {}
        self.sent_at = {}
        self.tasks = []

    async def run(self):
        number = 0

        while True:
            self.tasks.append(asyncio.ensure_future(self.send(f"feed{number:04x}")))
            number += 1
            await asyncio.sleep(1 / PER_SECOND)

    async def send(self, request):
        headers = {"Host": HOST, "Request-Id": request, "Deadline-Ms": "5000"}
        self.sent_at[request] = self.record.now()

        try:
            self.statuses[request] = (await http(self.ip, OUTBOUND, "POST", "/order/new", headers, b"one order")).status
        except (OSError, EOFError, asyncio.TimeoutError) as error:
            self.statuses[request] = type(error).__name__


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
    upstreams = [Upstream(node.ip, f"i-{node.name}", record) for node in nodes]
    pings = [Pings(node.ip, node.service, node.zone, f"i-{node.name}") for node in nodes]
    clients = Clients(nodes[0].ip, record)
    traffic = None

    try:
        for node in nodes:
            node.start(True)

        for upstream, ping in zip(upstreams, pings):
            await upstream.start()
            ping.start()

        for node in nodes:
            await wait_until(node.is_ready, 15, f"{node.name} ready")

        await asyncio.sleep(3)
        traffic = asyncio.ensure_future(clients.run())
        await asyncio.sleep(3)

        leaving, leaving_pings = upstreams[1], pings[1]
        leaving_pings.stop()
        late = leaving_pings.next_sequence()
        record.write(f"upstream {leaving.instance} sends a ping (ready, callSeq {late}), which will arrive {PING_DELAY_S} s late")
        await asyncio.sleep(0.05)
        answer = await http(leaving.ip, CONTROL, "DELETE", f"/-/instances/{leaving.instance}", {"Host": leaving.ip}, timeout=1.0)

        if answer.status != 200:
            raise CannotRun(f"DELETE was answered {answer.status}")

        acked = record.now()
        record.write(f"node orders-0 acknowledges DELETE of {leaving.instance} with 200")
        await asyncio.sleep(0.3)
        started = acked

        if has_trouble:
            for node in (nodes[1], nodes[0]):
                node.kill()
                record.write(f"the process of {node.name} is killed")
                await asyncio.sleep(RESTART_DELAY_S)
                node.start(False)
                started = record.now()
                record.write(f"the process of {node.name} is started again")
                await asyncio.sleep(KILL_GAP_S)

        await asyncio.sleep(max(0.0, acked + PING_DELAY_S - record.now()))
        is_acked = await announce(leaving.ip, leaving_pings.service, leaving_pings.zone, leaving.instance, late)
        record.write(f"the late ping of {leaving.instance} arrives; acknowledged: {is_acked}")
        await asyncio.sleep(max(0.0, acked + SERVES_ON_S - record.now()))
        leaving.end()
        record.write(f"upstream {leaving.instance} ends")
        await asyncio.sleep(1)
        traffic.cancel()
        await asyncio.gather(*clients.tasks)
    finally:
        if traffic is not None:
            traffic.cancel()

        for item in pings:
            item.stop()

        for node in nodes:
            node.kill()

        for upstream in upstreams:
            upstream.server.close()

        store.close()

    # Only requests that all machines in question handled in touch: contactS after the restart.
    earliest = max(acked + DRAIN_S, started + (CONTACT_S if has_trouble else 0.0))
    late_arrivals = [
        (at, request) for at, request in leaving.arrivals if at > earliest and clients.sent_at.get(request, 0.0) > earliest
    ]

    for at, request in late_arrivals:
        record.write(f"{request} reached {leaving.instance} at {at:.3f} s, {at - acked:.2f} s after the ack; the client got {clients.statuses.get(request)}")

    counts = {}

    for status in clients.statuses.values():
        counts[status] = counts.get(status, 0) + 1

    record.write(f"answers by status: {counts}")
    lost = [request for request in leaving.broken_off if clients.statuses.get(request) != 200]
    record.write(f"broken off when {leaving.instance} ended: {len(lost)}: {', '.join(f'{r} ({clients.statuses.get(r)})' for r in lost[:10])}")

    if late_arrivals:
        record.write(f"BROKEN (DRAIN): {len(late_arrivals)} requests reached {leaving.instance} more than {DRAIN_S} s after the ack")
        return False

    return has_trouble or counts.get(200, 0) > 0.9 * sum(counts.values())


run_case(FOLDER, case)
