"""A small deployment on loopback: store, runners and gateways, and what tests do with them."""

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import http1
from store import Store

HERE = Path(__file__).resolve().parent
ROOT = HERE.parent.parent
GATEWAY = ["target/release/hyssop-gateway", "--log", "info"]
LAYERS, LOAD_S = 8, 4.0


def addresses():
    """Yields free loopback addresses. Each has an IP of its own, so that no outgoing connection takes its port."""
    for n in range(1, 250 * 250):
        ip = "127.%d.%d.%d" % (10 + os.getpid() % 200, n // 250, n % 250 + 1)
        with socket.socket() as s:
            s.bind((ip, 0))
            port = s.getsockname()[1]
        yield "%s:%d" % (ip, port)


def route(name, prefix, kind, service, **more):
    return {"name": name, "host": "h.example", "pathPrefix": prefix, "kind": kind, "timeoutMs": 15000, "goalMs": 500,
            "priority": 1, "service": service, "maxAttempts": 2, "public": False, "sticky": kind == "streaming",
            "resumable": kind == "streaming", "gapGoalMs": 200, **more}


def config(version, routes, keys, size_mb=8500):
    engine = {"slots": 64, "kvCapacity": 100000, "kvTokenBytes": 8000, "linkMbps": 10000.0, "stride": 2,
              "models": [{"name": "m", "pace": 1.0, "loadS": LOAD_S, "warmS": 0}], "step_ms": 0.5,
              "per_seq_ms": 0.003, "context_per_k": 0.004, "read_per_s": 200000.0, "pairs_per_m": 0.1, "chunk": 512,
              "report_lag_ms": 200.0, "delays": [], "usual": {"prompt": 100, "answer": 80}, "layers": LAYERS,
              "layerMb": 1000.0, "actBytes": 1000, "pipeMbps": 1000.0, "loads_at_once": 6,
              "kinds": [{"name": "card", "sizeMb": float(size_mb), "pace": 1.0, "readX": 1.0}]}
    return {"version": version, "routes": routes,
            "services": [{"name": "model", "healthPath": "/health", "maxConns": 968, "engine": engine},
                         {"name": "desk", "healthPath": "/health", "maxConns": 96},
                         {"name": "desk-new", "healthPath": "/health", "maxConns": 96}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 65536, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [{"name": "w", "apiKeys": keys}]}


class Place:
    """Starts and ends everything. All processes that it starts are ended by their ids."""

    def __init__(self, record):
        self.dir = tempfile.TemporaryDirectory()
        self.record_path = Path(record)
        self.record_path.write_text("")
        self.file = os.open(record, os.O_WRONLY | os.O_APPEND)
        self.store = Store()
        self.processes = []
        self.guard = subprocess.Popen([sys.executable, str(HERE / "guard.py")], stdin=subprocess.PIPE, text=True)
        self.gateways = {}
        self.runners = {}
        self.processes_of = {}
        self.tasks = []
        self.free = addresses()

    def record(self, what, **fields):
        line = {"t": round(time.time(), 3), "what": what, **fields}
        os.write(self.file, (json.dumps(line) + "\n").encode())

    def lines(self):
        return [json.loads(line) for line in self.record_path.read_text().splitlines()]

    async def start(self):
        self.platform = await self.store.open("platform", "127.0.0.1")

    def operator_writes(self, settings):
        self.store.put("keyed.op", "config", settings)
        self.record("config acknowledged", version=settings["version"])

    def start_runner(self, name, service, zone="a", again_after=None, **more):
        """Starts a runner; `again_after` is the time after which it comes back when it has crashed."""
        what = self.runners.get(name) or {
            "id": name, "service": service, "zone": zone, "address": next(self.free),
            "store": self.platform, "record": str(self.record_path), "slots": 64, "loadS": LOAD_S, **more}
        self.runners[name] = what
        process = subprocess.Popen([sys.executable, str(HERE / "runner.py"), json.dumps(what)])
        self.started(process)
        self.processes_of[name] = process
        if again_after:
            self.tasks.append(asyncio.ensure_future(self.start_again(name, process, again_after)))
        return process

    def leave(self, name):
        """Removes the entry of a runner that never reports `draining`; it goes on serving."""
        self.processes_of[name].send_signal(signal.SIGUSR1)
        self.store.put("keyed.servers", name, None)
        self.record("entry removed", runner=name)

    async def drain(self, name):
        """Has a runner report `draining`; returns when the store has acknowledged that."""
        self.processes_of[name].send_signal(signal.SIGUSR2)
        key, partition = name.encode(), self.store.partition("keyed.servers", 0)
        while b'"state": "draining"' not in partition.newest[key][0]:
            await asyncio.sleep(0.005)
        self.record("draining acknowledged", runner=name)
        return time.time()

    async def next_beat(self, name):
        """Waits until a runner has written its entry once more."""
        key, partition = name.encode(), self.store.partition("keyed.servers", 0)
        before = partition.newest[key]
        while partition.newest[key] == before:
            await asyncio.sleep(0.005)

    def newest_entry(self, name):
        return json.loads(self.store.partition("keyed.servers", 0).newest[name.encode()][0])

    def exit(self, name):
        """Ends a runner that has left."""
        self.processes_of[name].send_signal(signal.SIGTERM)
        self.record("runner exits", runner=name)

    async def start_again(self, name, process, again_after):
        while process.poll() is None:
            await asyncio.sleep(0.02)
        await asyncio.sleep(again_after)
        self.start_runner(name, None, again_after=again_after)

    async def start_gateway(self, name, zone="a", strength=0.19):
        entrance = await self.store.open(name, "127.0.0.1")
        own = {key: next(self.free) for key in ("listen", "ready", "metrics", "inner")}
        text = "[process]\nvm = %s\ndata-centre = %s\n" % (name, zone)
        text += "".join("%s = %s\n" % item for item in own.items())
        text += "grace-s = 8\nmemory-mb = 260\ndescriptors = 4200\nprocessor = %s\nlink-mbps = 1000.0\n" % strength
        text += "first-start = true\n[store]\naddress = %s\nparts = 12\n" % entrance
        text += "[retries]\nratio = 0.2\nslack = 196\nwindow-s = 10\n"
        path = Path(self.dir.name) / ("%s.ini" % name)
        path.write_text(text)
        self.gateways[name] = {**own, "settings": path, "log": Path(self.dir.name) / ("%s.log" % name)}
        self.run_gateway(name)

    def run_gateway(self, name):
        gateway = self.gateways[name]
        with open(gateway["log"], "ab") as log:
            env = {**os.environ, "HYSSOPPASS_CONFIG": str(gateway["settings"])}
            gateway["process"] = subprocess.Popen(GATEWAY, cwd=ROOT, env=env, stdout=log, stderr=log)
        self.started(gateway["process"])

    def started(self, process):
        self.processes.append(process)
        self.guard.stdin.write("%d\n" % process.pid)
        self.guard.stdin.flush()

    async def until_ready(self, limit=15.0):
        until = time.monotonic() + limit
        for gateway in self.gateways.values():
            while True:
                got = await http1.call(gateway["ready"], "GET", "/-/readiness", limit=1.0)
                if got and got[0] == 200:
                    break
                if time.monotonic() > until:
                    raise RuntimeError("a gateway is not ready")
                await asyncio.sleep(0.05)

    async def end(self):
        # Connections that are open now end in the middle of something.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        for task in self.tasks:
            task.cancel()
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
        for process in self.processes:
            process.wait()
        self.guard.communicate("done\n")
        self.dir.cleanup()


async def send(place, gateway, method, path, request_id, key, body=b"", limit=20.0, extra=None):
    """Sends one request as a client over a new connection, and records what it gets. Returns status and body."""
    headers = {"Host": "h.example", "Request-Id": request_id, "Deadline-Ms": str(int(limit * 1e3)), "Api-Key": key,
               **(extra or {})}
    place.record("sent", id=request_id, to=gateway, path=path, body=body[:40].decode("latin-1"))
    sent = time.time()
    address = place.gateways[gateway]["listen"]
    got = await http1.call(address, method, path, headers, body, limit)
    status = got[0] if got else None
    place.record("answered", id=request_id, status=status, sent=round(sent, 3),
                 retry_after=got[1].get("retry-after") if got else None)
    return got


def main(test):
    """Runs a test and exits with its result: 0 the rule held, 1 it was broken, 2 the case could not run."""
    async def run():
        # A test that is told to stop ends its processes first.
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        place = Place(sys.argv[1])
        try:
            await place.start()
            return await asyncio.wait_for(test(place, os.environ.get("TROUBLE", "1") != "0"), 115)
        except (Exception, asyncio.CancelledError) as e:
            place.record("could not run", why=repr(e))
            print("could not run: %r" % e)
            return 2
        finally:
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                for name, gateway in place.gateways.items():
                    Path(keep, name + ".log").write_bytes(gateway["log"].read_bytes())
            await place.end()
    sys.exit(asyncio.run(run()))
