"""A runner's write from before its restart is carried out late, when the runner is leaving."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "stand"))
from place import config, main, route, send  # noqa: E402

GATEWAYS = ["front-a-1", "front-a-2"]
KEY = "key-1"
DRAIN_S = 2.0
# Times after the lost write: the runner is back, it reports `draining`, and the write may be carried out from then on.
BACK_S, DRAINS_S, LATE_S = 2.2, 3.2, 4.7
# How long after an entry of the runner itself the late write is carried out.
AFTER_S = 0.1
LONGEST_S = 6.0


async def case(place, trouble):
    place.operator_writes(config(3, [route("order", "/order/", "unsafe", "desk", timeoutMs=800, goalMs=300)], [KEY]))
    for n in range(3):
        place.start_runner("desk-%d" % n, "desk", workS=0.06, slots=6)
    for name in GATEWAYS:
        await place.start_gateway(name)
    await place.until_ready()
    await asyncio.sleep(5)
    lost, entry = time.time(), place.newest_entry("desk-0")
    entry["sequence"] += 1
    if trouble:
        place.record("a write gets no answer and is not carried out yet", runner="desk-0", entry=entry)
        place.processes_of["desk-0"].send_signal(signal.SIGKILL)
        place.record("runner crashes", runner="desk-0")
        await asyncio.sleep(BACK_S)
        place.start_runner("desk-0", "desk")
        place.record("runner is back", runner="desk-0")
    coming = asyncio.ensure_future(requests(place))
    await asyncio.sleep(max(0, lost + DRAINS_S - time.time()))
    acknowledged = await place.drain("desk-0")
    await asyncio.sleep(max(0, lost + LATE_S - AFTER_S - time.time()))
    if trouble:
        await place.next_beat("desk-0")
        await asyncio.sleep(AFTER_S)
        place.store.put("keyed.servers", "desk-0", entry)
        late = time.time() - lost
        place.record("the write is carried out", after=round(late, 3))
        if late > LONGEST_S:
            raise RuntimeError("the write came too late")
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
    if len(ran) < 150:
        return 2
    return 1 if late else 0


main(case)
