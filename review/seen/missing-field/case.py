"""Another writer writes entries with a missing field under the id of a runner that is leaving."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "stand"))
from place import config, main, route, send  # noqa: E402

GATEWAYS = ["front-a-1", "front-a-2"]
KEY = "key-1"
DRAIN_S = 2.0
# How often the other writer writes, and how long after an entry of the runner itself.
WRITES, AFTER_S = 3, 0.1
# When the runner exits: it serves for `drainMs` and a little longer.
EXIT_S = 4.6


async def case(place, trouble):
    place.operator_writes(config(3, [route("order", "/order/", "unsafe", "desk", timeoutMs=800, goalMs=300)], [KEY]))
    for n in range(3):
        place.start_runner("desk-%d" % n, "desk", workS=0.06, slots=6)
    for name in GATEWAYS:
        await place.start_gateway(name)
    await place.until_ready()
    await asyncio.sleep(5)
    coming = asyncio.ensure_future(requests(place))
    await asyncio.sleep(1)
    acknowledged = await place.drain("desk-0")
    for _ in range(WRITES if trouble else 0):
        await place.next_beat("desk-0")
        await asyncio.sleep(AFTER_S)
        entry = {"service": "desk", "address": place.runners["desk-0"]["address"], "zone": "a", "version": "v1",
                 "slots": 6, "state": "ready", "coldLeftMs": 0}
        place.store.put("keyed.servers", "desk-0", entry)
        place.record("another writer's entry, without `sequence`", runner="desk-0", entry=entry)
    await asyncio.sleep(max(0, acknowledged + EXIT_S - time.time()))
    place.exit("desk-0")
    await coming
    return judge(place, acknowledged)


async def requests(place):
    sent = []
    for n in range(200):
        sent.append(asyncio.ensure_future(
            send(place, GATEWAYS[n % 2], "POST", "/order/%d" % n, "order-%d" % n, KEY, b"order %d" % n, limit=1.5)))
        await asyncio.sleep(0.04)
    await asyncio.gather(*sent)


def judge(place, acknowledged):
    lines = place.lines()
    sent = {line["id"]: line["t"] for line in lines if line["what"] == "sent"}
    ran = [line for line in lines if line["what"] == "ran" and line["id"] in sent]
    late = [sent[line["id"]] - acknowledged for line in ran
            if line["runner"] == "desk-0" and sent[line["id"]] > acknowledged + DRAIN_S]
    print("requests run: %d, by the leaving runner: %d" % (len(ran), sum(line["runner"] == "desk-0" for line in ran)))
    print("sent later than %g s after `draining` was acknowledged and run by it: %d; the last %.2f s after it"
          % (DRAIN_S, len(late), max(late, default=0)))
    lost = [line["id"] for line in lines if line["what"] == "answered" and line["status"] not in (200, 503)]
    print("unsafe requests without an answer of a runner, which the client may not send again: %s" % lost)
    if len(ran) < 150:
        return 2
    return 1 if late else 0


main(case)
