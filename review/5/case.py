"""The gateway that reads the store for the others is cut off from it just before a change of the configuration."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "stand"))
from place import config, main, route, send  # noqa: E402

GATEWAYS = ["front-a-1", "front-a-2", "front-b-1", "front-c-1"]
# The strongest gateway, or the first by name of several, reads for the others.
READER, OTHERS = GATEWAYS[0], GATEWAYS[1:]
KEY = "key-1"
APPLY_S = 2.0
CUT_S = 4.0
ROUNDS, GAP_S = 7, 11.0
SERVICES = ["desk", "desk-new"]


async def case(place, trouble):
    def settings(n):
        look = route("look", "/look/", "safe", SERVICES[n % 2], timeoutMs=800, goalMs=300)
        return config(3 + 2 * n, [look], [KEY])
    place.operator_writes(settings(0))
    for service in SERVICES:
        for n in range(3):
            place.start_runner("%s-%d" % (service, n), service, slots=6)
    for name in GATEWAYS:
        await place.start_gateway(name, zone=name.split("-")[1])
    await place.until_ready()
    await asyncio.sleep(6)
    acknowledged = {}
    for n in range(1, ROUNDS + 1):
        await reader_has_read(place)
        if trouble:
            place.record("cut from the store", gateway=READER)
            place.store.cut.add(READER)
        await asyncio.sleep(0.02)
        place.operator_writes(settings(n))
        acknowledged[n] = time.time()
        await asyncio.gather(*(requests(place, n, gateway) for gateway in OTHERS))
        await asyncio.sleep(max(0, acknowledged[n] + CUT_S - time.time()))
        place.store.cut.clear()
        await asyncio.sleep(GAP_S - CUT_S)
    return judge(place, acknowledged)


async def reader_has_read(place):
    read = asyncio.Event()

    def answered(entrance, target):
        if entrance == READER and "log-read?topic=keyed.servers" in target:
            read.set()
    place.store.answered = answered
    await read.wait()


async def requests(place, n, gateway):
    """Sends requests from shortly before the bound until well after it."""
    await asyncio.sleep(APPLY_S - 0.2)
    sent = []
    for k in range(40):
        sent.append(asyncio.ensure_future(
            send(place, gateway, "GET", "/look/%d" % k, "%d-%s-%d" % (n, gateway, k), KEY, limit=1.5)))
        await asyncio.sleep(0.03)
    await asyncio.gather(*sent)


def judge(place, acknowledged):
    lines = place.lines()
    sent = {line["id"]: line["t"] for line in lines if line["what"] == "sent"}
    ran = [line for line in lines if line["what"] == "ran" and line["id"] in sent]
    late = {}
    for line in ran:
        n = int(line["id"].split("-")[0])
        after = sent[line["id"]] - acknowledged[n]
        if after > APPLY_S and line["runner"].rsplit("-", 1)[0] != SERVICES[n % 2]:
            late.setdefault(n, []).append(after)
    print("requests run: %d" % len(ran))
    print("rounds in which requests sent later than %g s after the acknowledgement were run by the former service: %s"
          % (APPLY_S, {n: "%d, the last %.2f s after it" % (len(all), max(all)) for n, all in late.items()}))
    if len(ran) < ROUNDS * 60:
        return 2
    return 1 if late else 0


main(case)
