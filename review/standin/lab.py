"""Stand-ins for what surrounds the controllers (state service, cloud, workers, users), and the start
and end of controller processes. Only the standard library is used; every address is on loopback.

The stand-ins follow PROTOCOL-leaddeal.md. Faults are set by the cases: attributes of `Store`, `Cloud`
and `Worker`, signals to `Controller` processes, and `Proxy`.
"""
import asyncio
import bisect
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
REASONS = {200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found", 409: "Conflict",
           410: "Gone", 421: "Misdirected Request", 429: "Too Many Requests",
           503: "Service Unavailable"}
NO_ANSWER = (None, None)


USED_PORTS = set()


def free_port():
    """Returns a free port below those that the system gives to outgoing connections."""
    while True:
        port = random.SystemRandom().randrange(15000, 32000)
        if port in USED_PORTS:
            continue
        USED_PORTS.add(port)
        with socket.socket() as s:
            try:
                s.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port


class Record:
    """What was sent, answered and run, one line an event."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def line(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")


# ---------------------------------------------------------------------------------------------- HTTP


async def read_message(reader):
    """Reads the head and body of one HTTP message; None at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                break
            body += chunk
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


class Server:
    """An HTTP/1.1 server. `handle(method, path, query, body)` returns (status, value); NO_ANSWER
    leaves the request without an answer."""

    def __init__(self, port=None):
        self.port = port or free_port()
        self.addr = f"127.0.0.1:{self.port}"
        self.server = None
        self.connections = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port, limit=1 << 22,
                                                 backlog=512)

    async def serve(self, reader, writer):
        task = asyncio.current_task()
        self.connections.add(task)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ")
                parts = urlsplit(target)
                query = {k: v[0] for k, v in parse_qs(parts.query, keep_blank_values=True).items()}
                try:
                    value = json.loads(body) if body else None
                except ValueError:
                    value = None
                status, answer = await self.handle(method, unquote(parts.path), query, value)
                if status is None:
                    await asyncio.sleep(3600)
                text = json.dumps(answer).encode()
                writer.write(f"HTTP/1.1 {status} {REASONS.get(status, 'x')}\r\n"
                             f"Content-Type: application/json\r\n"
                             f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    break
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError, OSError,
                asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(task)
            writer.close()

    def stop(self):
        if self.server:
            self.server.close()
        for task in list(self.connections):
            task.cancel()


async def call(addr, method, path, value=None, timeout=5.0):
    """Sends one request on a connection of its own. Returns (status, value); (0, None) without a
    complete answer within the time."""
    host, port = addr.rsplit(":", 1)
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 22)
        body = json.dumps(value).encode() if value is not None else b""
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: {addr}\r\nConnection: close\r\n"
                     f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
                     .encode() + body)
        await writer.drain()
        first, _, text = await read_message(reader)
        return int(first.split(" ")[1]), text

    try:
        status, text = await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
        return 0, None
    finally:
        if writer is not None:
            writer.close()
    try:
        return status, json.loads(text) if text else None
    except ValueError:
        return status, None


# --------------------------------------------------------------------------------------- state service


class Bucket:
    """Allows `rate` a second, with bursts of one second's worth."""

    def __init__(self, rate):
        self.rate, self.tokens, self.at = rate, rate, time.monotonic()

    def take(self, n=1):
        now = time.monotonic()
        self.tokens = min(self.rate, self.tokens + (now - self.at) * self.rate)
        self.at = now
        if self.tokens < n:
            return False
        self.tokens -= n
        return True


class Store(Server):
    """The state service. Faults: `outage` (503 for everybody; open watches wait), `answer_delay_s` (it
    executes at once and answers late; what is not answered when an outage begins gets no answer),
    `value_kb`, `txn_ops` and the buckets (its limits), and `hold` (called with each request before it
    is executed)."""

    KEPT_CHANGES = 10000
    PAGE_BYTES = 512 * 1024

    def __init__(self, record, rps=200.0, write_rps=50.0, value_kb=8.0, txn_ops=12, latency_s=0.003):
        super().__init__()
        self.record = record
        self.value_kb, self.txn_ops = value_kb, txn_ops
        self.requests, self.writes = Bucket(rps), Bucket(write_rps)
        self.latency_s = latency_s
        self.revision = 0
        self.items = {}      # key -> (value, revision, lease)
        self.keys = []       # sorted
        self.log = []        # (revision, event)
        self.dropped = 0     # revision of the newest change that is no longer kept
        self.leases = {}     # id -> [ttl_s, expires_at]
        self.last_lease = 0
        self.down = False
        self.answer_delay_s = 0.0
        self.changed = asyncio.Event()
        self.refused = {}    # status and cause -> count

    async def start(self):
        await super().start()
        asyncio.get_running_loop().create_task(self.expire_leases())

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            if self.down:
                continue
            for lease in [l for l, (_, at) in self.leases.items() if at < now]:
                self.end_lease(lease)

    def outage(self, down):
        """Begins or ends an outage. When it ends, every lease has its full time again."""
        self.down = down
        if not down:
            for lease in self.leases.values():
                lease[1] = time.monotonic() + lease[0]
            self.notify()
        self.record.line(f"state service: {'down' if down else 'up'}")

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [k for k, (_, _, l) in self.items.items() if l == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self.delete(key)
            self.notify()
        self.record.line(f"state service: lease {lease} ended, keys {keys}")

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()
        while len(self.log) > self.KEPT_CHANGES:
            self.dropped = self.log.pop(0)[0]

    def put(self, key, value, lease):
        if key not in self.items:
            bisect.insort(self.keys, key)
        self.items[key] = (value, self.revision, lease)
        self.log.append((self.revision, {"write": key, "value": value, "entry": self.revision}))

    def delete(self, key):
        if key in self.items:
            del self.items[key]
            self.keys.pop(bisect.bisect_left(self.keys, key))
            self.log.append((self.revision, {"delete": key, "entry": self.revision}))

    def under(self, prefix, after=None):
        start = bisect.bisect_left(self.keys, prefix)
        if after is not None:
            start = max(start, bisect.bisect_right(self.keys, after))
        while start < len(self.keys) and self.keys[start].startswith(prefix):
            yield self.keys[start]
            start += 1

    def refuse(self, status, cause, answer=None):
        key = f"{status} {cause}"
        self.refused[key] = self.refused.get(key, 0) + 1
        if self.refused[key] in (1, 10, 100, 1000):
            self.record.line(f"state service: answered {key}, {self.refused[key]} times so far")
        return status, answer or {"error": cause}

    async def hold(self, method, path, body):
        """Replaced by cases; a status and answer that it returns are given instead of executing."""
        return None

    async def handle(self, method, path, query, body):
        await asyncio.sleep(self.latency_s)
        if self.down and path != "/changes":
            return self.refuse(503, "trouble")
        if not self.requests.take():
            return self.refuse(429, "requests")
        held = await self.hold(method, path, body)
        if held is not None:
            return held
        answer = await self.execute(method, path, query, body)
        if self.answer_delay_s > 0 and path != "/changes":
            await asyncio.sleep(self.answer_delay_s)
            if self.down:
                return NO_ANSWER
        return answer

    async def execute(self, method, path, query, body):
        if path == "/multi" and method == "POST":
            return self.transaction(body)
        if path == "/store" and method == "GET":
            return self.page(query)
        if path.startswith("/store/") and method == "GET":
            key = path[len("/store/"):]
            if key not in self.items:
                return 404, {"logbook": self.revision}
            return 200, self.item(key)
        if path == "/holds" and method == "POST":
            self.last_lease += 1
            ttl = body["lifeMs"] / 1000.0
            self.leases[self.last_lease] = [ttl, time.monotonic() + ttl]
            return 200, {"permit": self.last_lease}
        if path.startswith("/holds/"):
            lease = int(path.split("/")[2])
            if method == "DELETE":
                self.end_lease(lease)
                return 200, {}
            if lease not in self.leases:
                return 404, {}
            self.leases[lease][1] = time.monotonic() + self.leases[lease][0]
            return 200, {}
        if path == "/changes" and method == "GET":
            return await self.watch(query)
        return 400, {"error": "malformed"}

    def item(self, key):
        value, entry, lease = self.items[key]
        item = {"path": key, "value": value, "entry": entry}
        if lease is not None:
            item["permit"] = lease
        return item

    def page(self, query):
        limit, size, items = min(int(query.get("limit", 1000)), 1000), 0, []
        for key in self.under(query.get("under", ""), query.get("after")):
            size += len(json.dumps(self.item(key)))
            if len(items) == limit or size > self.PAGE_BYTES:
                return 200, {"entries": items, "truncated": True, "logbook": self.revision}
            items.append(self.item(key))
        return 200, {"entries": items, "truncated": False, "logbook": self.revision}

    def transaction(self, body):
        conditions, changes = body.get("when", []), body.get("then", [])
        if len(changes) > self.txn_ops:
            return self.refuse(400, "too many changes")
        if len(conditions) > 4 * self.txn_ops or len(json.dumps(body)) > 64 * 1024:
            return self.refuse(400, "too large")
        if any("write" in c and len(json.dumps(c["value"])) > self.value_kb * 1024 for c in changes):
            return self.refuse(400, "value too large")
        if not self.writes.take(len(changes)):
            return self.refuse(429, "changes")
        for change in changes:
            if change.get("permit") is not None and change["permit"] not in self.leases:
                return 400, {"error": "no such lease"}
        failed = [c["path"] for c in conditions
                  if self.items.get(c["path"], (None, 0, None))[1] != c["entry"]]
        if failed:
            return 409, {"failed": failed, "logbook": self.revision}
        if changes:
            self.revision += 1
        for change in changes:
            if "write" in change:
                self.put(change["write"], change["value"], change.get("permit"))
            else:
                self.delete(change["delete"])
        self.notify()
        return 200, {"logbook": self.revision}

    async def watch(self, query):
        prefix, after = query["under"], int(query["after"])
        deadline = time.monotonic() + int(query.get("waitMs", 0)) / 1000.0
        while True:
            if not self.down:
                if after < self.dropped:
                    return 410, {"logbook": self.revision}
                revision = self.revision
                start = bisect.bisect_right(self.log, after, key=lambda entry: entry[0])
                events = [e for _, e in self.log[start:]
                          if (e.get("write") or e.get("delete")).startswith(prefix)]
                if events and self.answer_delay_s > 0:
                    await asyncio.sleep(self.answer_delay_s)
                    if self.down:
                        continue
                if events or time.monotonic() >= deadline:
                    return 200, {"logbook": revision, "events": events}
            changed = self.changed
            left = deadline - time.monotonic() if not self.down else 0.2
            try:
                await asyncio.wait_for(changed.wait(), max(left, 0.01))
            except asyncio.TimeoutError:
                pass


# ---------------------------------------------------------------------------------------------- cloud


class Cloud(Server):
    """A cloud whose machines are all rented already. Faults: `down` (503 to every call)."""

    def __init__(self, record, types):
        super().__init__()
        self.record, self.types = record, types
        self.fleet = {}
        self.down = False

    async def handle(self, method, path, query, body):
        await asyncio.sleep(0.05)
        if self.down:
            return 503, {"error": "trouble"}
        if path == "/catalog":
            return 200, {"hulls": self.types}
        if path == "/hosts" and method == "GET":
            names = [n for n in sorted(self.fleet) if n > query.get("after", "")]
            limit = int(query.get("limit", 500))
            return 200, {"fleet": [self.fleet[n] for n in names[:limit]],
                         "truncated": len(names) > limit}
        if path == "/hosts" and method == "POST":
            return 503, {"error": "no capacity"}
        if path == "/hosts/release":
            for name in body["fleet"]:
                worker = self.fleet.pop(name, None)
                if worker:
                    self.record.line(f"cloud: released {name}")
            return 200, {}
        return 404, {}


# ---------------------------------------------------------------------------------------------- workers


class Worker(Server):
    """A machine and its worker. `runs` is told of every start and end of a task."""

    def __init__(self, lab, name, type_info, zone, run_s, fetch_s=0.2):
        super().__init__()
        self.lab, self.name, self.type, self.zone = lab, name, type_info, zone
        self.run_s, self.fetch_s = run_s, fetch_s
        self.session, self.seq, self.token = 1, 0, 0
        self.tasks = {}          # (haul, sailing) -> dict
        self.images = set()
        self.node = lab.random.randrange(len(lab.controllers))
        self.answered_at = time.monotonic()
        self.news = asyncio.Event()
        self.stopped = False

    def die(self):
        """The machine stops with all that is on it. It stays listed as running for 30 s more. The other
        tasks of its gangs notice within `gang_peer_s`."""
        lab = self.lab
        lab.record.line(f"machine {self.name} stops")
        self.stopped = True
        self.stop()
        lost = [key for key, task in self.tasks.items() if task["state"] == "running"]
        for key, task in self.tasks.items():
            if task["state"] != "exited":
                lab.on_task(self, key, "killed", "machine")
        self.tasks.clear()

        def listed_as_failed():
            if self.name in lab.cloud.fleet:
                lab.cloud.fleet[self.name]["status"] = "failed"

        def peers_notice():
            for worker in lab.fleet:
                for key, task in worker.tasks.items():
                    of_gang = any(key[1] == k[1] and key[0].split("/")[0] == k[0].split("/")[0]
                                  for k in lost)
                    if of_gang and task["state"] == "running":
                        task["until"] = float("inf")
                        worker.set_state(key, "exited", "peers")

        loop = asyncio.get_running_loop()
        loop.call_later(30.0, listed_as_failed)
        loop.call_later(lab.workers["gang_peer_s"] * 0.8, peers_notice)

    def report(self):
        self.seq += 1
        hauls = []
        for (haul, sailing), task in self.tasks.items():
            entry = {"haul": haul, "sailing": sailing, "status": task["state"]}
            if task["state"] == "exited":
                entry["cause"] = task["cause"]
                if task["cause"] == "stopped":
                    entry["kept"] = task.get("kept", False)
            hauls.append(entry)
        return {"vessel": self.name, "endpoint": self.addr, "hull": self.type["label"],
                "harbor": self.zone, "charter": False, "watch": self.session, "logline": self.seq,
                "helm": self.token, "recallS": None, "hauls": hauls}

    def set_state(self, key, state, cause=None):
        task = self.tasks[key]
        task["state"], task["cause"] = state, cause
        self.lab.on_task(self, key, state, cause)
        self.news.set()

    def step(self):
        """Ends the session if the lease is over, and moves tasks on."""
        now = time.monotonic()
        lab = self.lab
        if now > self.answered_at + lab.workers["lease_s"]:
            for key, task in self.tasks.items():
                if task["state"] != "exited":
                    lab.on_task(self, key, "killed", "lease")
            self.tasks.clear()
            self.session += 1
            self.answered_at = now
            self.news.set()
            lab.record.line(f"worker {self.name}: lease over, session {self.session}")
        for key, task in list(self.tasks.items()):
            if now < task["until"]:
                continue
            job = lab.jobs.get(key[0].split("/")[0])
            if task["state"] == "fetching":
                self.images.add(job["manifest"])
                if job["rig"] == "group" and job["hauls"] > 1:
                    task["until"] = now + lab.workers["gang_wait_s"]
                    self.set_state(key, "waiting")
                    lab.gang_ready(key)
                else:
                    self.begin(key)
            elif task["state"] == "waiting":
                self.set_state(key, "exited", "alone")
            elif task["state"] == "running":
                lab.done.add(key[0])
                self.set_state(key, "exited", "done")

    def begin(self, key):
        task = self.tasks[key]
        job = self.lab.jobs[key[0].split("/")[0]]
        task["until"] = float("inf") if job["rig"] == "service" else (
            time.monotonic() + (0 if key[0] in self.lab.done else self.run_s(job)))
        self.set_state(key, "running")

    def free(self):
        used = [0.0, 0.0, 0.0]
        for (haul, _), task in self.tasks.items():
            if task["state"] != "exited":
                job = self.lab.jobs[haul.split("/")[0]]
                for i, field in enumerate(("cores", "gpus", "memoryGb")):
                    used[i] += job[field]
        return [self.type.get(f, 0.0) - u for f, u in zip(("cores", "gpus", "memoryGb"), used)]

    def execute(self, orders):
        for order in orders:
            key = (order["haul"], order["sailing"])
            if order["order"] == "launch":
                if key in self.tasks:
                    continue
                job = self.lab.jobs.get(key[0].split("/")[0])
                self.tasks[key] = {"state": "exited", "cause": None, "until": float("inf")}
                busy = any(h == key[0] and t["state"] != "exited" and (h, s) != key
                           for (h, s), t in self.tasks.items())
                if job is None or int(key[0].split("/")[1]) >= job["hauls"]:
                    self.set_state(key, "exited", "unknown")
                elif busy:
                    self.set_state(key, "exited", "busy")
                elif any(f + 1e-9 < job[n] for f, n in
                         zip(self.free(), ("cores", "gpus", "memoryGb"))):
                    self.set_state(key, "exited", "full")
                else:
                    cached = job["manifest"] in self.images
                    self.tasks[key]["until"] = time.monotonic() + (0 if cached else self.fetch_s)
                    self.set_state(key, "fetching")
            elif order["order"] == "stop":
                if key in self.tasks and self.tasks[key]["state"] != "exited":
                    self.tasks[key]["until"] = float("inf")
                    self.set_state(key, "exited", "stopped")
            elif order["order"] == "forget":
                if key in self.tasks and self.tasks[key]["state"] == "exited":
                    del self.tasks[key]
                    self.news.set()
        self.step()

    async def handle(self, method, path, query, body):
        if path == "/show":
            return 200, self.report()
        if path != "/orders" or not isinstance(body, dict):
            return 404, {}
        if body.get("helm") is None or body.get("watch") is None:
            return 400, {}
        self.step()
        if body["helm"] < self.token or body["watch"] != self.session:
            return 409, self.report()
        if body["helm"] > self.token:
            self.token = body["helm"]
            self.news.set()
        self.execute(body["orders"])
        return 200, self.report()

    async def run(self):
        await self.start()
        lab, due = self.lab, 0.0
        while not self.stopped:
            self.step()
            now = time.monotonic()
            if now < due and not (self.news.is_set() and now >= due - lab.workers["report_s"] + 0.5):
                await asyncio.sleep(0.05)
                continue
            self.news.clear()
            report, session, sent = self.report(), self.session, time.monotonic()
            node = lab.controllers[self.node % len(lab.controllers)]
            status, answer = await call(node.addr, "POST", "/checkin", report, 4.0)
            self.step()
            due = time.monotonic() + lab.workers["report_s"] * lab.random.uniform(0.75, 1.25)
            if status == 200 and answer is not None:
                if session == self.session and answer.get("helm", -1) >= self.token:
                    if answer["helm"] > self.token:
                        self.token = answer["helm"]
                        self.news.set()
                    self.answered_at = max(self.answered_at, sent)
                    self.execute(answer["orders"])
                continue
            named = (answer or {}).get("harbormaster") if status == 421 else None
            names = [c.name for c in lab.controllers]
            if named in names and named != node.name:
                self.node, due = names.index(named), time.monotonic() + lab.random.uniform(0, 0.5)
            else:
                self.node, due = (self.node + 1) % len(names), time.monotonic() + 1.0


# ------------------------------------------------------------------------------------------ controllers


class Controller:
    def __init__(self, lab, index):
        self.lab, self.name = lab, f"berth-{index}"
        self.addr, self.mesh = f"127.0.0.1:{free_port()}", f"127.0.0.1:{free_port()}"
        self.state_addr = None
        self.peer_addr = {}      # name of a sibling -> address, if not its own
        self.process = None

    def write_settings(self, siblings):
        lab = self.lab
        settings = {
            "node_name": self.name, "zone": lab.zones[0], "serve_on": self.addr,
            "mesh_addr": self.mesh,
            "siblings": [{"node_name": c.name, "zone": lab.zones[0],
                          "address": self.peer_addr.get(c.name, c.mesh)}
                         for c in siblings if c is not self],
            "external": {"cloud": lab.cloud.addr, "state": self.state_addr or lab.store.addr},
            "cluster": {"count": len(siblings), "zones": lab.zones, "teams": lab.teams,
                        "objectives": [], "workers": lab.workers, "state": lab.state,
                        "cloud": {"rps": 8.0, "list_lag_s": 5.0},
                        "resources": {"core_share": 0.16, "mem_mb": 56.0, "fd_limit": 1500},
                        "clock_off_ms": 25.0}}
        self.file = os.path.join(lab.folder, f"{self.name}.json")
        with open(self.file, "w") as f:
            json.dump(settings, f)

    def start(self):
        program = [os.path.join(ROOT, "target/release/leaddeal"), "--config", self.file]
        log = open(os.path.join(self.lab.folder, f"{self.name}.log"), "ab")
        env = dict(os.environ, LOG_LEVEL=os.environ.get("LOG_LEVEL", "info"))
        self.process = subprocess.Popen(program, cwd=ROOT, stderr=log, stdout=log, env=env,
                                        start_new_session=True)
        self.lab.record.line(f"{self.name}: started")

    def signal(self, number):
        if self.process and self.process.poll() is None:
            os.kill(self.process.pid, number)
            self.lab.record.line(f"{self.name}: {signal.Signals(number).name}")

    def kill(self):
        if self.process is not None:
            self.signal(signal.SIGKILL)
            self.process.wait()
            self.process = None


class Proxy:
    """Stands before the address at which a controller listens for its siblings."""

    def __init__(self, target):
        self.target = target
        self.port = free_port()
        self.addr = f"127.0.0.1:{self.port}"
        self.server = None
        self.writers = set()

    async def allow(self):
        self.server = await asyncio.start_server(self.forward, "127.0.0.1", self.port)

    def refuse(self):
        """Refuses new connections and resets those that are open."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def forward(self, reader, writer):
        host, port = self.target.rsplit(":", 1)
        try:
            other_reader, other_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        except asyncio.CancelledError:
            return
        self.writers |= {writer, other_writer}

        async def copy(source, sink):
            try:
                while data := await source.read(65536):
                    sink.write(data)
                    await sink.drain()
            except (OSError, asyncio.CancelledError):
                pass
            sink.close()

        try:
            await asyncio.gather(copy(reader, other_writer), copy(other_reader, writer))
        except asyncio.CancelledError:
            pass
        self.writers -= {writer, other_writer}


class Lab:
    """Three controllers and everything around them."""

    def __init__(self, folder, teams=None, workers=None, state=None, types=None, zones=None):
        self.case_folder = folder
        self.record = Record(os.path.join(folder, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="leaddeal-review-")
        self.random = random.Random(1)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.zones = zones or ["puget"]
        self.teams = teams or [{"name": "hydrodesk", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0,
                                "gpus_max": 0.0}]
        self.workers = workers or {"report_s": 2.5, "lease_s": 12.0, "gang_wait_s": 45.0,
                                   "gang_peer_s": 6.0, "cancel_s": 32.0}
        self.state = state or {"rps": 200.0, "write_rps": 50.0, "value_kb": 8.0, "txn_ops": 12}
        self.types = types or [{"label": "trawler", "cores": 8.0, "gpus": 0.0, "memoryGb": 32.0,
                                "localGb": 80.0, "pullGbPerS": 0.3, "price": 0.36,
                                "marketPrice": 0.12, "startupS": 15.0, "harbors": self.zones}]
        limits = {k: v for k, v in self.state.items() if k != "next"}
        self.store = Store(self.record, **limits)
        self.cloud = Cloud(self.record, self.types)
        self.controllers = [Controller(self, i) for i in range(3)]
        self.fleet = []
        self.jobs, self.done = {}, set()
        self.runs = []           # (time, machine, haul, sailing, state, cause)

    async def begin(self, machines, run_s, type_of=lambda number: 0, proxies=False):
        """Starts everything. `type_of` gives the index of a machine's type by its number."""
        await self.store.start()
        await self.cloud.start()
        self.proxies = [Proxy(c.mesh) for c in self.controllers] if proxies else []
        for proxy, controller in zip(self.proxies, self.controllers):
            await proxy.allow()
            for other in self.controllers:
                other.peer_addr[controller.name] = proxy.addr
        for i in range(machines):
            worker = Worker(self, f"n-{i + 1:06d}", self.types[type_of(i + 1)],
                            self.zones[i % len(self.zones)], run_s)
            self.fleet.append(worker)
            self.cloud.fleet[worker.name] = {
                "id": worker.name, "endpoint": worker.addr, "hull": worker.type["label"],
                "harbor": worker.zone, "charter": False, "status": "running", "heldS": 600.0}
        for controller in self.controllers:
            controller.write_settings(self.controllers)
            controller.start()
        for worker in self.fleet:
            asyncio.get_running_loop().create_task(worker.run())

    async def until(self, what, condition, seconds):
        """Waits until the condition holds; ends the case as not runnable if it never does."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if await condition():
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{what}: not within {seconds} s")

    async def all_up(self):
        for controller in self.controllers:
            if (await call(controller.addr, "GET", "/up", timeout=1.0))[0] != 200:
                return False
        return True

    def on_task(self, worker, key, state, cause):
        self.runs.append((self.record.now(), worker.name, key[0], key[1], state, cause))
        self.record.line(f"worker {worker.name}: {key[0]} attempt {key[1]} {state} {cause or ''}")

    def gang_ready(self, key):
        """Starts the tasks of a gang once all of the attempt wait."""
        job = self.jobs[key[0].split("/")[0]]
        waiting = [(w, k) for w in self.fleet for k, t in w.tasks.items()
                   if k[0].split("/")[0] == job["id"] and k[1] == key[1] and t["state"] == "waiting"]
        if len(waiting) == job["hauls"]:
            for worker, waiting_key in waiting:
                worker.begin(waiting_key)

    def job(self, number, rig="sweep", hauls=1, cores=1.0, **fields):
        job = {"id": f"wk-{number:06d}", "cargo": "noticepush", "crew": self.teams[0]["name"],
               "rig": rig, "precedence": "normal", "hauls": hauls, "cores": cores, "gpus": 0.0,
               "memoryGb": 1.0, "manifest": "img-07", "imageGb": 0.1, "hulls": None, "harbor": None,
               "together": False, "scatter": False, "charter": False, "passageS": 2.0, "fixS": 0.0,
               "stowS": 0.0, "tideS": None}
        job.update(fields)
        return job

    async def user(self, method, path, value=None, node=None, timeout=5.0, log=True):
        node = self.controllers[self.random.randrange(3)] if node is None else node
        sent = self.record.now()
        status, answer = await call(node.addr, method, path, value, timeout)
        if log:
            self.record.line(f"user: {method} {path} to {node.name} at {sent:.3f} -> {status} "
                             f"{json.dumps(answer)}")
        return status, answer

    async def submit(self, job, seconds=60.0):
        """Submits as users do: retried after 1 s for up to 60 s. Returns the last status."""
        self.jobs[job["id"]] = job
        deadline = time.monotonic() + seconds
        while True:
            status, answer = await self.user("POST", "/submissions", job)
            if status in (200, 201, 400, 422) or time.monotonic() > deadline:
                return status, answer
            await asyncio.sleep(1.0)

    async def cancel(self, job_id, seconds=60.0):
        """Cancels as users do. Returns the status of the job and the time of the answer."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            status, answer = await self.user("POST", f"/submissions/{job_id}/abort", timeout=5.0)
            if status == 200:
                return answer["status"], self.record.now()
            await asyncio.sleep(1.0)
        return None, None

    async def status(self, job_id, node=None):
        status, answer = await self.user("GET", f"/submissions/{job_id}", node=node, timeout=2.0)
        return answer["status"] if status == 200 and answer else None

    def end(self):
        """Ends the controllers and all stand-ins."""
        for controller in self.controllers:
            controller.kill()
        for worker in self.fleet:
            worker.stopped = True
        for server in [self.store, self.cloud, *self.fleet]:
            server.stop()
        for proxy in getattr(self, "proxies", []):
            proxy.refuse()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs of the controllers: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class CannotRun(Exception):
    """The case could not be brought about."""


def main(case, build_lab, limit_s=115.0):
    """Runs `await case(lab)`, which returns a text if the rule was broken and None if it held."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    if not os.path.exists(os.path.join(ROOT, "target/release/leaddeal")):
        print("target/release/leaddeal is missing: build it first")
        return 2
    lab = build_lab(folder)
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, lambda *_: sys.exit(2))

    async def limited():
        try:
            return await asyncio.wait_for(case(lab), limit_s)
        finally:
            lab.end()
            await asyncio.sleep(0.1)

    try:
        broken = asyncio.run(limited())
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        lab.record.line(f"not run: {error!r}")
        print(f"the case could not run: {error!r}")
        return 2
    finally:
        lab.end()
    lab.record.line(f"broken: {broken}" if broken else "the rule held")
    print(f"broken: {broken}" if broken else "the rule held")
    return 1 if broken else 0
