"""Stand-in for the platform's store: a log with partitions, keyed topics and groups.

It follows PROTOCOL.md, "The platform's metadata store". Each gateway has an entrance (a port) of its own, so that a test
can cut one gateway off from the store: a cut entrance reads what it gets and answers nothing.
"""

import asyncio
import base64
import json
import struct
import time
from urllib.parse import parse_qs, urlsplit

import http1

ANSWER_DELAY_S = 0.004


class Partition:
    def __init__(self):
        self.first = 0
        self.records = []
        self.newest = {}
        self.added = asyncio.Event()

    @property
    def end(self):
        return self.first + len(self.records)

    def append(self, records, keyed):
        offset = self.end
        for n, record in enumerate(records):
            self.records.append(record)
            if keyed:
                length = record[0]
                key, value = record[1:1 + length], record[1 + length:]
                if value:
                    self.newest[key] = (value, offset + n)
                else:
                    self.newest.pop(key, None)
        self.added.set()
        self.added = asyncio.Event()
        return offset

    def delete_before(self, offset):
        drop = max(0, min(offset, self.end) - self.first)
        del self.records[:drop]
        self.first += drop


class Group:
    def __init__(self):
        self.generation = 0
        self.members = {}
        self.owner = {}
        self.target = {}

    def spread(self, partitions):
        """Deals the partitions evenly; each stays where it is if it can."""
        self.generation += 1
        names = sorted(self.members)
        for n, partition in enumerate(partitions):
            self.target[partition] = names[n % len(names)] if names else None
            if self.owner.get(partition) not in self.members:
                self.owner[partition] = self.target[partition]

    def purge(self, now):
        lapsed = [name for name, until in self.members.items() if until < now]
        for name in lapsed:
            del self.members[name]
        if lapsed:
            self.spread(sorted(self.target))


class Store:
    def __init__(self):
        self.partitions = {}
        self.groups = {}
        self.cut = set()
        self.entrances = {}
        # Called with the entrance and the target of each call that was answered.
        self.answered = lambda entrance, target: None

    def partition(self, topic, part):
        return self.partitions.setdefault((topic, int(part)), Partition())

    def put(self, topic, key, value):
        """Writes a keyed record, as the operator and the runners do. Returns when it is acknowledged."""
        key = key.encode()
        record = bytes([len(key)]) + key + (json.dumps(value).encode() if value is not None else b"")
        return self.partition(topic, 0).append([record], True)

    async def open(self, name, ip):
        async def connected(reader, writer):
            await self.serve(name, reader, writer)
        server = await asyncio.start_server(connected, ip, 0)
        self.entrances[name] = server
        return "%s:%d" % server.sockets[0].getsockname()[:2]

    async def serve(self, name, reader, writer):
        try:
            while True:
                request = await http1.read_request(reader)
                if request is None:
                    return
                if name in self.cut:
                    await asyncio.sleep(3600)
                status, body = await self.answer(request)
                await asyncio.sleep(ANSWER_DELAY_S)
                if name in self.cut:
                    await asyncio.sleep(3600)
                writer.write(http1.response(status, body, {"Content-Type": "application/json"}))
                await writer.drain()
                self.answered(name, request.target)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, request):
        url = urlsplit(request.target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        call = url.path.rsplit("/", 1)[-1]
        if call == "log-read":
            return await self.read(query)
        if call == "log-append":
            return self.log_append(query, request.body)
        if call == "log-newest":
            return self.newest(query)
        if call == "log-owners":
            group = self.groups.setdefault(query["group"], Group())
            group.purge(time.monotonic())
            rows = [[t, p, owner, 0] for (t, p), owner in sorted(group.owner.items()) if owner]
            return 200, json.dumps({"owners": rows}).encode()
        body = json.loads(request.body or b"{}")
        if call == "log-join":
            return self.join(body)
        if call == "log-leave":
            group = self.groups.setdefault(body["group"], Group())
            if group.members.pop(body["member"], None) is not None:
                group.spread(sorted(group.target))
            return 200, b"{}"
        return 404, b"{}"

    async def read(self, query):
        partition, start = self.partition(query["topic"], query["part"]), int(query["from"])
        until = time.monotonic() + int(query.get("waitMs", 0)) / 1e3
        while True:
            if start < partition.first:
                return 410, json.dumps({"first": partition.first}).encode()
            left = until - time.monotonic()
            if start < partition.end or left <= 0:
                break
            try:
                await asyncio.wait_for(partition.added.wait(), left)
            except asyncio.TimeoutError:
                pass
        body = struct.pack(">QQ", partition.end, partition.first)
        for record in partition.records[start - partition.first:]:
            body += struct.pack(">I", len(record)) + record
        return 200, body

    def log_append(self, query, body):
        partition = self.partition(query["topic"], query["part"])
        if "at" in query and int(query["at"]) != partition.end:
            return 412, json.dumps({"end": partition.end}).encode()
        records, at = [], 0
        while at < len(body):
            length = struct.unpack_from(">I", body, at)[0]
            records.append(body[at + 4:at + 4 + length])
            at += 4 + length
        offset = partition.append(records, query["topic"].startswith("keyed."))
        return 200, json.dumps({"offset": offset, "end": partition.end}).encode()

    def newest(self, query):
        partition, after = self.partition(query["topic"], query["part"]), query.get("after", "").encode()
        keys = sorted(k for k in partition.newest if k > after or not after)
        items = [{"key": k.decode(), "value": base64.b64encode(partition.newest[k][0]).decode(),
                  "offset": partition.newest[k][1]} for k in keys[:500]]
        return 200, json.dumps({"items": items, "morePages": len(keys) > 500, "end": partition.end}).encode()

    def join(self, body):
        group, member, now = self.groups.setdefault(body["group"], Group()), body["member"], time.monotonic()
        group.purge(now)
        known = member in group.members
        group.members[member] = now + body["ttlMs"] / 1e3
        if not known or not group.target:
            group.spread(sorted({(t, p) for t in body["topics"] for p in range(12)}))
        elif body.get("generation") == group.generation:
            moved = [p for p, owner in group.owner.items() if owner == member != group.target[p]]
            for partition in moved:
                group.owner[partition] = group.target[partition]
            group.generation += bool(moved)
        mine = [[t, p, 0] for (t, p), owner in sorted(group.owner.items())
                if owner == member and group.target[(t, p)] == member]
        return 200, json.dumps({"generation": group.generation, "ttlMs": body["ttlMs"], "parts": mine}).encode()
