"""A runner leaves by the removal of its entry, shortly after one gateway was cut off from the store for a moment."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "stand"))
from place import config, main, route, send  # noqa: E402

GATEWAY = "front-a-1"
KEY = "key-1"
CUT_S = 2.0
# Time from the end of the cut to the removal of the runner's entry.
LEAVES_AFTER_S = 0.95
DRAIN_S = 2.0
# Time for which it serves beyond that.
LONGER_S = 0.7
CONTACT_S = 3.0


async def case(place, trouble):
    place.operator_writes(config(3, [route("order", "/order/", "unsafe", "desk", timeoutMs=800, goalMs=300)], [KEY]))
    for n in range(3):
        place.start_runner("desk-%d" % n, "desk", workS=0.06, slots=6)
    await place.start_gateway(GATEWAY)
    await place.until_ready()
    await asyncio.sleep(5)
    if trouble:
        place.record("cut from the store", gateway=GATEWAY)
        place.store.cut.add(GATEWAY)
    await asyncio.sleep(CUT_S)
    place.store.cut.clear()
    healed = time.time()
    place.record("path to the store is back", gateway=GATEWAY)
    coming = asyncio.ensure_future(requests(place))
    await asyncio.sleep(LEAVES_AFTER_S)
    place.leave("desk-0")
    left = time.time()
    await asyncio.sleep(DRAIN_S + LONGER_S)
    place.exit("desk-0")
    await coming
    return judge(place, healed, left)


async def requests(place):
    sent = []
    for n in range(200):
        sent.append(asyncio.ensure_future(
            send(place, GATEWAY, "POST", "/order/%d" % n, "order-%d" % n, KEY, b"order %d" % n, limit=1.5)))
        await asyncio.sleep(0.04)
    await asyncio.gather(*sent)


def judge(place, healed, left):
    lines = place.lines()
    # The bound of the rule holds from then on: the gateway has had its path to the store for long enough.
    since = max(left + DRAIN_S, healed + CONTACT_S)
    sent = {line["id"]: line["t"] for line in lines if line["what"] == "sent"}
    ran = [line for line in lines if line["what"] == "ran" and line["id"] in sent]
    late = [sent[line["id"]] - left for line in ran if line["runner"] == "desk-0" and sent[line["id"]] > since]
    print("requests run: %d, by the leaving runner: %d" % (len(ran), sum(line["runner"] == "desk-0" for line in ran)))
    print("sent later than %.2f s after its entry was removed and run by it: %d; the last %.2f s after it, bound %g s"
          % (since - left, len(late), max(late, default=0), DRAIN_S))
    lost = [line["id"] for line in lines if line["what"] == "answered" and line["status"] not in (200, 503)]
    print("unsafe requests without an answer of a runner, which the client may not send again: %s" % lost)
    if len(ran) < 150:
        return 2
    return 1 if late else 0


main(case)
