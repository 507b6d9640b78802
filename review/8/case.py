"""An upstream leaves, all nodes are killed at once, and a ping of the upstream comes late. See claim.txt.

With KILLS=apart, the order of events of the entry in KNOWN-RED.txt: the node beside the upstream is killed, then
the entry node, and the third node runs on.
"""

import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-2"))
import standins as s

DRAIN_S = 2.0           # bounds.drainS
CONTACT_S = 3.0         # bounds.contactS
APART = os.environ.get("KILLS") == "apart"
KILL_AFTER_S = 0.4      # of the ack of the DELETE
RESTART_AFTER_S = 0.5   # of the kill
PING_ARRIVES_S = 4.0 if APART else 2.2  # after the ack; the ping was due 0.1 s before the DELETE
END_S = 8.0 if APART else 6.0           # after the ack: drainS and a little longer
WORK_S = 0.3
DEADLINE_MS = 3000


async def case(record, folder):
    network = s.free_network(4)
    ip = lambda host: network + str(host)
    store = s.Store()
    await store.listen(ip(1))
    store.append("keyed.op", b"config", s.configuration(3, [("/order/", "api", "non_idempotent", 3)]))
    nodes, upstreams = [], []
    try:
        for number, service in enumerate(("web", "api", "api")):
            node = s.Node(record, folder, f"n-{number}", service, "z-a", ip(2 + number), f"{ip(1)}:8309")
            nodes.append(node)
            upstreams.append(s.Upstream(record, f"i-{number}", service, "z-a", ip(2 + number), node.control,
                                        work_s=WORK_S))
            await node.start()
            await upstreams[-1].start()
        for node in nodes:
            await node.wait_until_ready()
        await asyncio.sleep(4)

        leaving = upstreams[1]
        answers, tasks = {}, []
        stopped = False

        async def send(request):
            sent = record.now()
            answer = await s.ask(nodes[0].outbound, "POST", "/order/x",
                                 {"Request-Id": request, "Deadline-Ms": DEADLINE_MS}, b"order", timeout=4)
            answers[request] = (sent, answer.m_status if answer else None)
            record.write(f"{request} sent at {sent:.3f}: {answers[request][1]}")

        async def client():
            number = 0
            while not stopped:
                number += 1
                tasks.append(asyncio.create_task(send(f"order-{number}")))
                await asyncio.sleep(0.05)

        sender = asyncio.create_task(client())
        await asyncio.sleep(3)

        # Its last ping before it leaves is on its way; the next ones are not sent any more.
        leaving.stop_pings()
        late = leaving.ping()
        await asyncio.sleep(0.1)
        if not await leaving.withdraw():
            raise s.CannotRun("the DELETE was not acknowledged")
        acked = record.now()

        async def after(seconds):
            await asyncio.sleep(max(0.0, acked + seconds - record.now()))

        back = acked - CONTACT_S
        await after(KILL_AFTER_S)
        if s.TROUBLE:
            for group in ([nodes[1]], [nodes[0]]) if APART else (nodes,):
                await asyncio.gather(*(node.kill() for node in group))
                await asyncio.sleep(RESTART_AFTER_S)
                await asyncio.gather(*(node.start() for node in group))
                back = record.now()
                await asyncio.sleep(RESTART_AFTER_S if APART else 0)
        await after(PING_ARRIVES_S)
        await leaving.send(late)
        await after(END_S)
        record.say(f"{leaving.m_id} ends, with {len(leaving.m_running)} requests running")
        lost = set(leaving.m_running)
        leaving.m_server.close()
        await asyncio.sleep(2)
        stopped = True
        await sender
        await asyncio.gather(*tasks)

        in_touch = max(acked + DRAIN_S, back + CONTACT_S)
        late_runs = [request for at, request in leaving.m_runs if at > in_touch]
        record.say(f"DELETE acknowledged at {acked:.1f}, machines in touch again at {in_touch:.1f}")
        record.say(f"requests that reached {leaving.m_id} later than drainS after the ack: "
                   f"{sum(at > acked + DRAIN_S for at, _ in leaving.m_runs)}, "
                   f"of these sent on by machines in touch: {len(late_runs)}")
        record.say(f"requests that it ran when it ended: "
                   f"{ {request: answers[request][1] for request in sorted(lost)} }")
        if not any(status == 200 for sent, status in answers.values() if sent < acked):
            raise s.CannotRun("nothing was served before")
        return len(late_runs) > 0
    finally:
        for node in nodes:
            await node.end()
        for part in upstreams + [store]:
            part.close()


s.run_case(case, __file__)
