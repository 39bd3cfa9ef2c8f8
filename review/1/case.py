"""Another writer writes one entry with missing fields and a number without bounds; then the runners are replaced."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "stand"))
from place import config, main, route, send  # noqa: E402

GATEWAYS = ["front-a-1", "front-a-2", "front-b-1", "front-c-1"]
KEY = "key-1"
DRAIN_S = 2.0
# How long a runner serves beyond that.
LONGER_S = 0.5
RUNNERS = 3
SECONDS = 30


async def case(place, trouble):
    place.operator_writes(config(3, [route("order", "/order/", "unsafe", "desk", timeoutMs=800, goalMs=300)], [KEY]))
    for n in range(RUNNERS):
        place.start_runner("desk-%d" % n, "desk", workS=0.06, slots=6)
    for name in GATEWAYS:
        await place.start_gateway(name, zone=name.split("-")[1])
    await place.until_ready()
    await asyncio.sleep(5)
    coming = asyncio.ensure_future(requests(place))
    await asyncio.sleep(1)
    if trouble:
        entry = {"service": "desk", "address": "127.0.0.1:9", "zone": "a", "slots": 6, "state": "ready",
                 "coldLeftMs": sys.float_info.max}
        place.store.put("keyed.servers", "desk-x", entry)
        place.record("another writer's entry, without `version` and `sequence`", key="desk-x", entry=entry)
    await asyncio.sleep(3)
    acknowledged = {}
    for n in range(RUNNERS):
        # A release: the new one starts first, then the old one drains and leaves.
        place.start_runner("new-%d" % n, "desk", workS=0.06, slots=6)
        await asyncio.sleep(1.5)
        name = "desk-%d" % n
        acknowledged[name] = await place.drain(name)
        await asyncio.sleep(DRAIN_S + LONGER_S)
        place.exit(name)
        place.store.put("keyed.servers", name, None)
    await coming
    return judge(place, acknowledged)


async def requests(place):
    sent = []
    for n in range(SECONDS * 20):
        sent.append(asyncio.ensure_future(
            send(place, GATEWAYS[n % 4], "POST", "/order/%d" % n, "order-%d" % n, KEY, b"order %d" % n, limit=1.5)))
        await asyncio.sleep(0.05)
    await asyncio.gather(*sent)


def judge(place, acknowledged):
    lines = place.lines()
    sent = {line["id"]: line["t"] for line in lines if line["what"] == "sent"}
    ran = [line for line in lines if line["what"] == "ran" and line["id"] in sent]
    late = [line["runner"] for line in ran if sent[line["id"]] > acknowledged.get(line["runner"], time.time()) + DRAIN_S]
    print("requests run: %d of %d; run by the new runners: %d"
          % (len(ran), len(sent), sum(line["runner"].startswith("new") for line in ran)))
    print("sent later than %g s after `draining` was acknowledged and run by the leaving runner: %d" % (DRAIN_S, len(late)))
    last = [line for line in lines if line["what"] == "answered" and line["sent"] > max(sent.values()) - 5]
    served = sum(line["status"] == 200 for line in last)
    print("served of the requests of the last 5 s: %d of %d" % (served, len(last)))
    return 1 if late else 0


main(case)
