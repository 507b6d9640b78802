"""A machine that was cut off reads the configurations that it missed, one of which took a key away.
See claim.txt."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-2"))
import standins as s

REVOKE_S = 5.0          # bounds.revokeS
CUT_S = 8.0             # how long the machine is cut off, at most as long as in the site file
STORM_GAP_S = 0.33      # between two configurations, as in the site file
STORM_COUNT = 8
ROUTES = 750            # of a configuration: 50, and those of two big_config of 350
TENANTS = 76
PERIOD_S = 0.01         # of the requests with the key
ROUNDS = 6
SETTLE_S = 4.5          # between two rounds


def key_of(number):
    return f"key{number:02d}mthhkmgjqnirth5m"


def configuration(version, key):
    """A configuration whose first tenant has this key, or none."""
    rules = [("/order/", "web", "non_idempotent", 2)]
    rules += [(f"/idle{number:05d}/", "web", "idempotent", 1.2) for number in range(ROUTES)]
    tenants = {f"tenant{number:02d}": [f"key{number:02d}aaaaaaaaaaaaaaa", f"key{number:02d}bbbbbbbbbbbbbbb"]
               for number in range(TENANTS)}
    tenants["tenant00"] = [f"key00{version:015d}"] + ([key] if key else [])
    return s.configuration(version, rules, tenants=tenants)


async def case(record, folder):
    network = s.free_network(8)
    ip = lambda host: network + str(host)
    store = s.Store()
    await store.listen(ip(1))
    store.append("keyed.op", b"config", configuration(3, key_of(0)))
    store_path = s.Proxy((ip(1), 8309))
    await store_path.listen(ip(5), 8309)
    paths = [store_path]
    nodes, upstreams = [], []
    try:
        # Each reaches the other through a proxy, and n-0 reaches the store through one, so that it can be cut off.
        for number in range(2):
            proxy = s.Proxy((ip(2 + number), 8300))
            await proxy.listen(ip(6 + number), 8300)
            paths.append(proxy)
            nodes.append(s.Node(record, folder, f"n-{number}", "web", f"z-{number}", ip(2 + number),
                                f"{ip(5) if number == 0 else ip(1)}:8309",
                                peers_of_others=f"{ip(6 + number)}:8300",
                                bounds={"revokeFailClosed": True, "revokeS": REVOKE_S}))
            upstreams.append(s.Upstream(record, f"i-{number}", "web", f"z-{number}", ip(2 + number),
                                        nodes[number].control))
            await nodes[number].start()
            await upstreams[number].start()
        for node in nodes:
            await node.wait_until_ready()
        await asyncio.sleep(4)

        sent, answers, tasks, stopped, key = {}, {}, [], False, (0, key_of(0))
        acked = {}  # of the configuration that took the key away, by the key's number

        async def send(request, used):
            sent[request] = (record.now(), used[0])
            answer = await s.ask(nodes[0].outbound, "POST", "/order/x",
                                 {"Request-Id": request, "Deadline-Ms": 2000,
                                  "Authorization": f"Bearer {used[1]}"}, b"order", timeout=3)
            answers[request] = answer.m_status if answer else None
            record.write(f"{request} sent at {sent[request][0]:.3f} with key {used[0]}: {answers[request]}")

        async def client():
            number = 0
            while not stopped:
                number += 1
                tasks.append(asyncio.create_task(send(f"order-{number}", key)))
                await asyncio.sleep(PERIOD_S)

        sender = asyncio.create_task(client())
        await asyncio.sleep(2)
        version = 3
        for number in range(ROUNDS):
            begun = record.now()
            if s.TROUBLE:
                for path in paths:
                    path.cut()
            for change in range(STORM_COUNT):
                version += 1
                is_last = change == STORM_COUNT - 1
                text = configuration(version, None if is_last else key_of(number))
                store.append("keyed.op", b"config", text)
                if is_last:
                    acked[number] = record.now()
                await asyncio.sleep(STORM_GAP_S)
            await asyncio.sleep(max(0.0, begun + CUT_S - record.now()))
            for path in paths:
                path.heal()
            record.say(f"round {number}: {STORM_COUNT} configurations of {len(text) // 1024} KB each; r{version} "
                       f"took key {number} away at {acked[number]:.2f}; n-0 "
                       f"{'was cut off' if s.TROUBLE else 'saw no cut'} from {begun:.2f} to {record.now():.2f}")
            await asyncio.sleep(SETTLE_S)
            version += 1
            store.append("keyed.op", b"config", configuration(version, key_of(number + 1)))
            key = (number + 1, key_of(number + 1))
            await asyncio.sleep(1)
        stopped = True
        await sender
        await asyncio.gather(*tasks)

        ran = {request: at for upstream in upstreams for at, request in upstream.m_runs}
        late = [request for request in ran
                if sent[request][1] in acked and sent[request][0] > acked[sent[request][1]] + REVOKE_S]
        record.say(f"requests that ran: {len(ran)}, of these sent later than revokeS after the ack of the "
                   f"configuration that took their key away: {len(late)}")
        for request in late[:10]:
            at, number = sent[request]
            record.say(f"{request} with key {number}, sent {at - acked[number]:.2f} s after the ack, "
                       f"ran at {ran[request]:.2f}, answered {answers[request]}")
        if not any(at < acked[0] for at in ran.values()):
            raise s.CannotRun("nothing ran before the trouble")
        return len(late) > 0
    finally:
        for node in nodes:
            await node.end()
        for part in upstreams + paths + [store]:
            part.close()


s.run_case(case, __file__)
