"""A small deployment on loopback: real controllers, and stand-ins for the state service, the cloud, workers and users.

Every stand-in follows PROTOCOL; faults are switched on by the test that uses it. Standard library only.
"""
import asyncio, json, os, random, re, shutil, signal, socket, struct, subprocess, sys, tempfile, time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))


# --- CBOR -------------------------------------------------------------------------------------------------------------
def _head(major, n):
    if n < 24:
        return bytes([major << 5 | n])
    for code, size, fmt in ((24, 1, ">B"), (25, 2, ">H"), (26, 4, ">I"), (27, 8, ">Q")):
        if n < 1 << (8 * size):
            return bytes([major << 5 | code]) + struct.pack(fmt, n)
    raise ValueError(n)


def enc(v):
    if v is None:
        return b"\xf6"
    if v is True:
        return b"\xf5"
    if v is False:
        return b"\xf4"
    if isinstance(v, int):
        return _head(0, v) if v >= 0 else _head(1, -1 - v)
    if isinstance(v, float):
        return b"\xfb" + struct.pack(">d", v)
    if isinstance(v, str):
        b = v.encode()
        return _head(3, len(b)) + b
    if isinstance(v, (list, tuple)):
        return _head(4, len(v)) + b"".join(map(enc, v))
    if isinstance(v, dict):
        return _head(5, len(v)) + b"".join(enc(k) + enc(x) for k, x in v.items())
    raise TypeError(type(v))


def dec(b):
    v, at = _dec(b, 0)
    if at != len(b):
        raise ValueError("trailing bytes")
    return v


_BREAK = object()


def _dec(b, at):
    first = b[at]
    major, info = first >> 5, first & 31
    at += 1
    if major == 7:
        if info in (20, 21):
            return info == 21, at
        if info in (22, 23):
            return None, at
        if info == 25:
            return struct.unpack(">e", b[at:at + 2])[0], at + 2
        if info == 26:
            return struct.unpack(">f", b[at:at + 4])[0], at + 4
        if info == 27:
            return struct.unpack(">d", b[at:at + 8])[0], at + 8
        if info == 31:
            return _BREAK, at
        raise ValueError("simple")
    indefinite = info == 31
    n = info
    if info >= 24 and not indefinite:
        size = 1 << (info - 24)
        n = int.from_bytes(b[at:at + size], "big")
        at += size
    if major == 0:
        return n, at
    if major == 1:
        return -1 - n, at
    if major in (2, 3):
        if indefinite:
            out = b""
            while True:
                v, at = _dec(b, at)
                if v is _BREAK:
                    return out.decode(), at
                out += v.encode()
        return b[at:at + n].decode(), at + n
    if major == 4:
        out = []
        while indefinite or len(out) < n:
            v, at = _dec(b, at)
            if v is _BREAK:
                break
            out.append(v)
        return out, at
    if major == 5:
        out = {}
        i = 0
        while indefinite or i < n:
            k, at = _dec(b, at)
            if k is _BREAK:
                break
            out[k], at = _dec(b, at)
            i += 1
        return out, at
    raise ValueError("major")


# --- HTTP -------------------------------------------------------------------------------------------------------------
DROP = object()  # handler result: the connection is closed without an answer


async def read_message(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            k, v = line.split(":", 1)
            headers[k.strip().lower()] = v.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


async def serve(handler):
    """Starts an HTTP server on a free port; handler(method, target, body) -> (status, object or None) or DROP."""
    async def on_connection(reader, writer):
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                result = await handler(method, target, body)
                if result is DROP:
                    break
                status, obj = result
                data = b"" if obj is None else enc(obj)
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()
    server = await asyncio.start_server(on_connection, "127.0.0.1", 0, limit=1 << 20)
    return server, server.sockets[0].getsockname()[1]


class Conn:
    """A client connection that stays open between requests."""
    def __init__(self, port):
        self.port, self.rw = port, None

    async def call(self, method, target, obj=None, timeout=5.0, raw=None):
        """Returns (status, object, headers), or None when no answer came."""
        async def go():
            if self.rw is None:
                self.rw = await asyncio.open_connection("127.0.0.1", self.port, limit=1 << 20)
            reader, writer = self.rw
            body = raw if raw is not None else (b"" if obj is None else enc(obj))
            writer.write(f"{method} {target} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
            await writer.drain()
            first, headers, data = await read_message(reader)
            if headers.get("connection", "").lower() == "close":
                self.close()
            return int(first.split(" ")[1]), (dec(data) if data else None), headers
        try:
            return await asyncio.wait_for(go(), timeout)
        except (asyncio.TimeoutError, ConnectionError, OSError, asyncio.IncompleteReadError):
            self.close()
            return None

    def close(self):
        if self.rw:
            self.rw[1].close()
        self.rw = None


class Proxy:
    """Forwards one direction of the controllers' own links. While held, bytes wait and are delivered afterwards."""
    def __init__(self, target_port):
        self.target, self.open, self.conns = target_port, asyncio.Event(), set()
        self.open.set()

    async def start(self):
        async def on_connection(reader, writer):
            await self.open.wait()
            try:
                up_r, up_w = await asyncio.open_connection("127.0.0.1", self.target)
            except OSError:
                writer.close()
                return
            pair = (writer, up_w)
            self.conns.add(pair)

            async def pump(src, dst):
                try:
                    while data := await src.read(65536):
                        await self.open.wait()
                        dst.write(data)
                        await dst.drain()
                except (ConnectionError, OSError):
                    pass
                finally:
                    for w in pair:
                        w.close()
            await asyncio.gather(pump(reader, up_w), pump(up_r, writer))
            self.conns.discard(pair)
        self.server = await asyncio.start_server(on_connection, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def hold(self):
        self.open.clear()

    def release(self):
        self.open.set()


# --- state service ----------------------------------------------------------------------------------------------------
class State:
    """The key-value store. Each controller has an address of its own, so that faults can hit one of them."""
    def __init__(self, world):
        self.w, self.kv, self.rev, self.log = world, {}, 0, []
        self.leases, self.next_lease, self.changed = {}, 1, asyncio.Condition()
        self.mode = {}  # controller -> ok | refused | hold
        self.gate = {}
        self.outage_at = None

    async def start(self, names):
        self.ports = {}
        for name in names:
            self.mode[name] = "ok"
            self.gate[name] = asyncio.Event()
            self.gate[name].set()

            async def handler(method, target, body, name=name):
                return await self.handle(name, method, target, body)
            _, self.ports[name] = await serve(handler)
        asyncio.ensure_future(self.expire())

    def set_mode(self, name, mode):
        self.mode[name] = mode
        (self.gate[name].clear if mode == "hold" else self.gate[name].set)()

    def outage(self, on):
        now = time.monotonic()
        if on:
            self.outage_at = now
        else:
            self.outage_at = None
            for lease in self.leases.values():  # every lease has its full time again
                lease["end"] = now + lease["life"]

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            if self.outage_at is not None:
                continue
            now = time.monotonic()
            for lease_id in [i for i, l in self.leases.items() if l["end"] < now]:
                await self.end_lease(lease_id)

    async def end_lease(self, lease_id):
        del self.leases[lease_id]
        keys = [k for k, v in self.kv.items() if v["hold"] == lease_id]
        if keys:
            self.rev += 1
            for k in keys:
                del self.kv[k]
                self.log.append({"remove": k, "keyRev": self.rev})
            await self.notify()

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()

    async def handle(self, name, method, target, body):
        await asyncio.sleep(0.003)
        path, _, query = target.partition("?")
        q = dict(p.split("=", 1) for p in query.split("&") if "=" in p)
        if self.mode[name] == "hold":
            await self.gate[name].wait()
        if self.outage_at is not None or self.mode[name] == "refused":
            return 503, None
        if path == "/follow":
            return await self.follow(name, q)
        if path == "/commit":
            return await self.commit(dec(body))
        if path == "/kv":
            return self.page(q)
        if path == "/leases":
            life = dec(body)["lifeMs"] / 1000
            lease_id = self.next_lease
            self.next_lease += 1
            self.leases[lease_id] = {"life": life, "end": time.monotonic() + life}
            return 200, {"hold": lease_id}
        m = re.match(r"/leases/(\d+)(/touch)?$", path)
        if m:
            lease_id = int(m[1])
            if lease_id not in self.leases:
                return 404, {"error": "no such lease"}
            if m[2]:
                lease = self.leases[lease_id]
                lease["end"] = time.monotonic() + lease["life"]
            else:
                await self.end_lease(lease_id)
            return 200, {}
        if path.startswith("/kv/"):
            row = self.kv.get(path[4:])
            if row is None:
                return 404, {"storeRev": self.rev}
            return 200, {"key": path[4:], "data": row["data"], "keyRev": row["rev"], "hold": row["hold"]}
        return 400, None

    def page(self, q):
        starts, after, most = q.get("starts", ""), q.get("after", ""), min(int(q.get("most", 1000)), 1000)
        keys = sorted(k for k in self.kv if k.startswith(starts) and k > after)
        rows = [{"key": k, "data": self.kv[k]["data"], "keyRev": self.kv[k]["rev"]} for k in keys[:most]]
        return 200, {"rows": rows, "truncated": len(keys) > most, "storeRev": self.rev}

    async def commit(self, t):
        failed = [g["key"] for g in t["guards"] if self.kv.get(g["key"], {"rev": 0})["rev"] != g["keyRev"]]
        for w in t["writes"]:
            if w.get("hold") is not None and w["hold"] not in self.leases:
                return 400, {"error": "no such lease"}
        limits = self.w.params["state"]
        if len(t["writes"]) > limits["txn_ops"] or len(t["guards"]) > 4 * limits["txn_ops"]:
            self.w.note("state", error="transaction too large")
            return 400, {"error": "too large"}
        if failed:
            return 409, {"failed": failed, "storeRev": self.rev}
        if t["writes"]:
            self.rev += 1
            for w in t["writes"]:
                if "write" in w:
                    self.kv[w["write"]] = {"data": w["data"], "rev": self.rev, "hold": w.get("hold")}
                    self.log.append({"write": w["write"], "data": w["data"], "keyRev": self.rev})
                elif w["remove"] in self.kv:
                    del self.kv[w["remove"]]
                    self.log.append({"remove": w["remove"], "keyRev": self.rev})
            await self.notify()
        return 200, {"storeRev": self.rev}

    async def follow(self, name, q):
        starts, after = q.get("starts", ""), int(q.get("after", 0))
        until = time.monotonic() + int(q.get("waitMs", 0)) / 1000
        while True:
            if len(self.log) > 10000:
                oldest = self.log[-10000]["keyRev"]
                if after < oldest - 1:
                    return 410, None
            paused = self.outage_at is not None or self.mode[name] != "ok"
            if not paused:
                news = [e for e in self.tail(after) if e.get("write", e.get("remove")).startswith(starts)]
                if news or time.monotonic() >= until:
                    return 200, {"storeRev": self.rev, "news": news}
            # During an outage open watches stay open.
            try:
                async with self.changed:
                    left = max(0.01, until - time.monotonic()) if not paused else 0.2
                    await asyncio.wait_for(self.changed.wait(), min(left, 1.0))
            except asyncio.TimeoutError:
                pass

    def tail(self, after):
        out = []
        for e in reversed(self.log):
            if e["keyRev"] <= after:
                break
            out.append(e)
        return out[::-1]


# --- cloud ------------------------------------------------------------------------------------------------------------
class Cloud:
    def __init__(self, world):
        self.w, self.machines, self.hires, self.next_id = world, {}, {}, 1
        self.out, self.history = False, []

    async def start(self):
        _, self.port = await serve(self.handle)

    def count(self, zone, spot):
        return sum(1 for m in self.machines.values() if m.zone == zone and m.spot == spot and m.state != "gone")

    async def rent(self, flavor, zone, spot):
        mid = f"i-{self.next_id:06d}"
        self.next_id += 1
        m = Machine(self.w, mid, flavor, zone, spot)
        self.machines[mid] = m
        await m.start()
        return mid

    async def handle(self, method, target, body):
        await asyncio.sleep(0.05)
        if self.out:
            return 503, {"error": "trouble"}
        path, _, query = target.partition("?")
        q = dict(p.split("=", 1) for p in query.split("&") if "=" in p)
        if path == "/flavors":
            return 200, {"flavors": [self.w.flavor]}
        if path == "/hosts" and method == "POST":
            r = dec(body)
            if r["hire"] in self.hires:
                return 200, {"spindles": self.hires[r["hire"]]}
            free = self.w.capacity(r["hall"], r["lendable"]) - self.count(r["hall"], r["lendable"])
            n = min(r["count"], free)
            if n <= 0:
                return 503, {"error": "no capacity"}
            ids = [await self.rent(r["flavor"], r["hall"], r["lendable"]) for _ in range(n)]
            self.hires[r["hire"]] = ids
            self.w.note("rented", ids=ids, zone=r["hall"], spot=r["lendable"])
            return 200, {"spindles": ids}
        if path == "/hosts/delete":
            for mid in dec(body)["spindles"]:
                if mid in self.machines and self.machines[mid].state != "gone":
                    self.w.note("deleted", machine=mid)
                    await self.machines[mid].gone()
            return 200, {}
        if path == "/hosts":
            after, most = q.get("after", ""), int(q.get("most", 500))
            then = time.monotonic() - self.w.params["cloud"]["list_lag_s"]
            rows = []
            for mid in sorted(self.machines):
                m = self.machines[mid]
                if mid > after and m.rented < then and (m.gone_at is None or m.gone_at > then):
                    up = m.up_at is not None and m.up_at < then
                    row = {"nameId": mid, "flavor": m.flavor, "hall": m.zone, "lendable": m.spot,
                           "status": "running" if up else "starting", "heldS": float(then - m.rented)}
                    row["address"] = m.address if up else None
                    rows.append(row)
            return 200, {"spindles": rows[:most], "truncated": len(rows) > most}
        return 400, None


class Machine:
    """A rented machine with its worker, as PROTOCOL describes it."""
    def __init__(self, world, mid, flavor, zone, spot):
        self.w, self.id, self.flavor, self.zone, self.spot = world, mid, flavor, zone, spot
        self.state, self.rented, self.up_at, self.gone_at = "booting", time.monotonic(), None, None
        self.tenure, self.tally, self.baton, self.tasks = 1, 0, 0, {}  # tasks: (leg, try) -> dict
        self.images, self.done = set(), set()
        self.cut = asyncio.Event()  # set: network works
        self.cut.set()
        self.do_gate = asyncio.Event()  # set: direct commands arrive
        self.do_gate.set()
        self.cut_from = set()  # controllers that it can't reach
        self.node = 0
        self.wake = asyncio.Event()
        self.jobs = []

    async def start(self):
        _, port = await serve(self.handle)
        self.address = f"127.0.0.1:{port}"
        self.jobs.append(asyncio.ensure_future(self.life()))

    async def gone(self):
        self.state, self.gone_at = "gone", time.monotonic()
        for t in list(self.tasks.values()):
            self.end(t, "gone", report=False)
        self.tasks.clear()
        for j in self.jobs:
            j.cancel()

    def report(self):
        self.tally += 1
        legs = []
        for t in self.tasks.values():
            row = {"leg": t["leg"], "try": t["try"], "status": t["status"]}
            if t["status"] == "ended":
                row["exitCause"] = t["why"]
                if t.get("saved"):
                    row["saved"] = True
            legs.append(row)
        return {"spindle": self.id, "address": self.address, "flavor": self.flavor, "hall": self.zone,
                "lendable": self.spot, "tenure": self.tenure, "tally": self.tally, "baton": self.baton,
                "recallS": None, "legs": legs}

    async def handle(self, method, target, body):
        if self.state != "up":
            return DROP
        await self.do_gate.wait()
        await self.cut.wait()
        if self.state != "up":
            return DROP
        if target == "/status":
            return 200, self.report()
        m = dec(body)
        if "baton" not in m or "tenure" not in m:
            return 400, None
        if m["baton"] < self.baton or m["tenure"] != self.tenure:
            return 409, self.report()
        self.baton = max(self.baton, m["baton"])
        self.execute(m["orders"], "do")
        return 200, self.report()

    def execute(self, orders, how):
        for o in orders:
            key = (o["leg"], o["try"])
            self.w.note("order", machine=self.id, how=how, **o)
            if o["verb"] == "run":
                if key not in self.tasks:
                    self.run(o["leg"], o["try"])
            elif o["verb"] == "halt":
                t = self.tasks.get(key)
                if t and t["status"] != "ended":
                    if t["status"] == "saving":
                        if o["windDownS"] == 0:
                            self.end(t, "halted")
                    elif t["status"] == "running" and t["spec"]["snapshotEveryS"] > 0 and o["windDownS"] >= t["spec"]["snapshotS"]:
                        t["status"] = "saving"
                        t["save"] = asyncio.ensure_future(self.save(t))
                    else:
                        self.end(t, "halted")
            elif o["verb"] == "forget":
                if key in self.tasks and self.tasks[key]["status"] == "ended":
                    del self.tasks[key]
        self.wake.set()

    async def save(self, t):
        await asyncio.sleep(t["spec"]["snapshotS"])
        if t["status"] == "saving":
            t["saved"] = True
            self.end(t, "halted")

    def run(self, leg, attempt):
        job, _, index = leg.rpartition("/")
        self.w.runs[job] = self.w.runs.get(job, 0) + 1
        t = {"leg": leg, "try": attempt, "status": "pulling", "why": None, "on": False}
        self.tasks[(leg, attempt)] = t
        spec = self.w.specs.get(job)
        others = [x for x in self.tasks.values() if x is not t and x["status"] != "ended"]
        if spec is None or int(index) >= spec["legs"]:
            self.w.broken("work nobody sent", leg=leg, machine=self.id)
            t["status"], t["why"] = "ended", "no_such"
        elif any(x["leg"] == leg for x in others):
            t["status"], t["why"] = "ended", "in_use"
        elif sum(x["spec"]["vcpus"] for x in others) + spec["vcpus"] > self.w.flavor["vcpus"] + 1e-9:
            t["status"], t["why"] = "ended", "no_room"
        else:
            t["spec"] = spec
            t["life"] = asyncio.ensure_future(self.task(t, job))
            self.jobs.append(t["life"])

    async def task(self, t, job):
        spec = t["spec"]
        await asyncio.sleep(self.w.fetch_s(spec, self))
        self.images.add(spec["bundle"])
        if t["status"] != "pulling":
            return
        t["status"], t["on"] = "running", True
        self.w.started(self, t, job)
        self.wake.set()
        if t["leg"] in self.w.results:
            self.end(t, "done")
            return
        if spec["shape"] == "service":
            return
        await asyncio.sleep(self.w.run_s(t["leg"]))
        if t["status"] == "running":
            self.end(t, "done")

    def end(self, t, why, report=True):
        if t["status"] == "ended":
            return
        t["status"], t["why"] = "ended", why
        for k in ("life", "save"):
            if k in t and t[k] is not asyncio.current_task():
                t[k].cancel()
        if t["on"]:
            t["on"] = False
            self.w.stopped(self, t, why)
        if why == "done":
            self.w.results.add(t["leg"])
        self.wake.set()

    async def life(self):
        await asyncio.sleep(self.w.boot_s())
        self.state, self.up_at = "up", time.monotonic()
        self.valid_from = time.monotonic()
        self.jobs.append(asyncio.ensure_future(self.lease()))
        conn, last = None, None
        p = self.w.params["workers"]
        names = self.w.names
        self.node = self.w.rng.randrange(len(names))
        last_report = 0
        last_shape = None
        while True:
            name = names[self.node]
            if conn is None or last != name:
                if conn:
                    conn.close()
                conn, last = Conn(self.w.listen[name]), name
            rep = self.report()
            last_shape = self.shape()
            self.wake.clear()
            sent = time.monotonic()
            answer = await self.send(conn, name, rep)
            pause = p["report_s"] * self.w.rng.uniform(0.75, 1.25)
            if answer is None or answer[0] not in (200, 421):
                self.node = (self.node + 1) % len(names)
                await asyncio.sleep(1)
                continue
            status, obj, _ = answer
            if status == 421:
                foreman = (obj or {}).get("foreman")
                conn.close()
                conn = None
                if foreman in names and foreman != name:
                    self.node = names.index(foreman)
                    await asyncio.sleep(self.w.rng.uniform(0, 0.5))
                else:
                    self.node = (self.node + 1) % len(names)
                    await asyncio.sleep(1)
                continue
            if rep["tenure"] == self.tenure and obj.get("baton") is not None and obj["baton"] >= self.baton:
                self.baton = obj["baton"]
                self.valid_from = max(self.valid_from, sent)
                self.execute(obj["orders"], f"answer of {name}")
            else:
                self.w.note("dropped", machine=self.id, node=name)
            end = sent + pause
            while time.monotonic() < end:
                try:
                    await asyncio.wait_for(self.wake.wait(), max(0.01, end - time.monotonic()))
                except asyncio.TimeoutError:
                    break
                self.wake.clear()
                if self.shape() != last_shape:
                    await asyncio.sleep(max(0, sent + 0.5 - time.monotonic()))
                    break

    def shape(self):
        return (self.tenure, tuple((k, t["status"]) for k, t in self.tasks.items()))

    async def send(self, conn, name, rep):
        if self.cut.is_set() and name not in self.cut_from:
            return await conn.call("POST", "/hello", rep, 4.0)
        conn.close()
        if self.w.hold_reports:
            asyncio.ensure_future(self.late(name, rep))
        await asyncio.sleep(4.0)
        return None

    async def late(self, name, rep):
        while not self.cut.is_set() or name in self.cut_from:
            await asyncio.sleep(0.1)
        c = Conn(self.w.listen[name])
        await c.call("POST", "/hello", rep, 4.0)
        c.close()

    async def lease(self):
        while True:
            await asyncio.sleep(0.1)
            if time.monotonic() > self.valid_from + self.w.params["workers"]["lease_s"]:
                self.w.note("lease over", machine=self.id, tasks=len(self.tasks))
                for t in list(self.tasks.values()):
                    self.end(t, "lease")
                self.tasks.clear()
                self.tenure += 1
                self.valid_from = time.monotonic()


# --- controllers ------------------------------------------------------------------------------------------------------
def free_ports(n):
    socks = [socket.socket() for _ in range(n)]
    for s in socks:
        s.bind(("127.0.0.1", 0))
    ports = [s.getsockname()[1] for s in socks]
    for s in socks:
        s.close()
    return ports


class Controller:
    def __init__(self, world, name, zone):
        self.w, self.name, self.zone, self.proc, self.stopped = world, name, zone, None, False

    def spawn(self):
        if self.proc and self.proc.poll() is None:
            return
        command = re.search(r'^run = "(.*)"', open(os.path.join(ROOT, "deploy/service.toml")).read(), re.M)[1]
        log = open(os.path.join(self.w.dir, self.name + ".log"), "ab")
        env = dict(os.environ, LOG_LEVEL=os.environ.get("REVIEW_LOG", "info"))
        self.proc = subprocess.Popen(command.split() + [self.settings], cwd=ROOT, env=env,
                                     stdout=subprocess.DEVNULL, stderr=log)
        self.w.note("controller started", name=self.name)

    def kill(self):
        self.w.note("controller killed", name=self.name)
        self.proc.kill()
        self.proc.wait()

    def stop(self):
        self.w.note("controller stands still", name=self.name)
        os.kill(self.proc.pid, signal.SIGSTOP)

    def cont(self):
        self.w.note("controller goes on", name=self.name)
        os.kill(self.proc.pid, signal.SIGCONT)


class World:
    def __init__(self, zones=("akl-east", "hlz-south", "akl-east"), seed=1, teams=None, **over):
        self.t0, self.rng = time.monotonic(), random.Random(seed)
        self.names = [f"spindle-{i}" for i in range(len(zones))]
        self.zone_of = dict(zip(self.names, zones))
        self.zones = sorted(set(zones))
        self.params = {
            "initial_size": len(zones), "zones": self.zones,
            "teams": teams or [{"name": f"kiosk-core-{i:02d}", "cpus": 40.0, "cpus_max": 64.0, "gpus": 0.0,
                                "gpus_max": 0.0} for i in range(4)],
            "objectives": [{"kind": "wait", "class": "spread-rebuild", "within_s": 60.0, "share": 0.85}],
            "workers": {"report_s": 3.0, "lease_s": 18.0, "gang_wait_s": 40.0, "gang_peer_s": 5.0, "cancel_s": 43.0},
            "state": {"rps": 150.0, "write_rps": 60.0, "value_kb": 16.0, "txn_ops": 12},
            "cloud": {"rps": 3.0, "list_lag_s": 4.0},
            "resources": {"cpu": 0.08, "memory_mb": 56.0, "max_sockets": 700},
            "time_bound_ms": 250.0,
        }
        for k, v in over.items():
            self.params[k].update(v)
        self.flavor = {"name": "tui16", "vcpus": 16.0, "cards": 0.0, "ramGb": 64.0, "cacheGb": 25.0, "pullGbPerS": 2.0,
                       "price": 0.88, "marketPrice": 0.36, "startupS": 3.0, "halls": self.zones}
        self.specs, self.results, self.on = {}, set(), {}
        self.told, self.accepted, self.asked_cancel, self.done_at = {}, {}, {}, {}
        self.breaks, self.hold_reports, self.starts = [], True, 0
        self.dir = tempfile.mkdtemp(prefix="review-")
        self.record = open(os.environ.get("RECORD", os.path.join(self.dir, "record.txt")), "w")
        self.caps, self.runs = {}, {}
        self.run_times = {}

    def now(self):
        return time.monotonic() - self.t0

    def note(self, what, **more):
        self.record.write(f"{self.now():9.3f} {what} " + " ".join(f"{k}={v}" for k, v in more.items()) + "\n")

    def broken(self, rule, **more):
        self.breaks.append((rule, more))
        self.note("BROKEN " + rule, **more)
        print(f"{self.now():8.2f} BROKEN {rule} {more}", flush=True)

    def capacity(self, zone, spot):
        return self.caps.get((zone, spot), 4)

    def fetch_s(self, spec, machine):
        return 0.0 if spec["bundle"] in machine.images else spec["imageGb"] / self.flavor["pullGbPerS"]

    def boot_s(self):
        return self.rng.uniform(1.5, 3.5)

    def run_s(self, leg):
        job = leg.rpartition("/")[0]
        return self.run_times.get(job, 5.0)

    async def start(self):
        self.state, self.cloud = State(self), Cloud(self)
        await self.state.start(self.names)
        await self.cloud.start()
        ports = free_ports(2 * len(self.names))
        self.listen = {n: ports[2 * i] for i, n in enumerate(self.names)}
        mesh = {n: ports[2 * i + 1] for i, n in enumerate(self.names)}
        self.links, self.controllers = {}, {}
        for a in self.names:
            others = []
            for b in self.names:
                if a != b:
                    proxy = Proxy(mesh[b])
                    await proxy.start()
                    self.links[(a, b)] = proxy
                    others.append({"host_name": b, "location": self.zone_of[b], "peer_addr": f"127.0.0.1:{proxy.port}"})
            settings = {"host_name": a, "location": self.zone_of[a], "listen": f"127.0.0.1:{self.listen[a]}",
                        "mesh_addr": f"127.0.0.1:{mesh[a]}", "others": others,
                        "external": {"cloud": f"127.0.0.1:{self.cloud.port}",
                                     "state": f"127.0.0.1:{self.state.ports[a]}"},
                        "params": self.params}
            c = Controller(self, a, self.zone_of[a])
            c.settings = os.path.join(self.dir, a + ".json")
            json.dump(settings, open(c.settings, "w"))
            self.controllers[a] = c
            c.spawn()
        for name in self.names:
            await self.until_up(name)

    async def until_up(self, name, timeout=20):
        c = Conn(self.listen[name])
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            r = await c.call("GET", "/up", timeout=1)
            if r and r[0] == 200:
                c.close()
                return True
            await asyncio.sleep(0.2)
        return False

    def leader(self):
        row = self.state.kv.get("t/a/leader")
        return row["data"]["node"] if row else None

    def close(self):
        for c in self.controllers.values():
            if c.proc and c.proc.poll() is None:
                c.proc.send_signal(signal.SIGCONT)
                c.proc.kill()
                c.proc.wait()
        self.record.close()
        if not os.environ.get("KEEP"):  # KEEP=1 leaves the controllers' settings and logs
            shutil.rmtree(self.dir, ignore_errors=True)

    # what runs where
    def cancelled_root(self, job):
        """The time at which a user was told that this job, or one that it needs, is cancelled."""
        times = [self.told[job][1]] if self.told.get(job, ("",))[0] == "aborted" else []
        for dep in self.specs[job].get("waitsOn") or []:
            t = self.cancelled_root(dep)
            if t is not None:
                times.append(t)
        return min(times) if times else None

    def started(self, machine, t, job):
        self.starts += 1
        spec, leg = t["spec"], t["leg"]
        self.note("task starts", leg=leg, attempt=t["try"], machine=machine.id, zone=machine.zone)
        running = self.on.setdefault(leg, {})
        for other in running:
            if other != machine.id:
                self.broken("ran_twice", leg=leg, machine=machine.id, other=other)
        running[machine.id] = t
        team = next((x for x in self.params["teams"] if x["name"] == spec["owner"]), None)
        used = sum(x["spec"]["vcpus"] for r in self.on.values() for x in r.values() if x["spec"]["owner"] == spec["owner"])
        if team and team["cpus_max"] and used > team["cpus_max"] + 1e-9:
            self.broken("quota", team=spec["owner"], used=used, limit=team["cpus_max"], leg=leg)
        others = [m for l, r in self.on.items() if l.rpartition("/")[0] == job for m in r if l != leg]
        zones = [self.cloud.machines[m].zone for m in others]
        if machine.spot and not spec["lendable"] or spec.get("hall") not in (None, machine.zone) \
                or spec["samePlace"] and any(z != machine.zone for z in zones) \
                or spec["spread"] and zones.count(machine.zone) + 1 > (spec["legs"] + 1) // 2:
            self.broken("wrong_place", leg=leg, machine=machine.id, zone=machine.zone, others=zones)
        at = self.cancelled_root(job)
        if at is not None and time.monotonic() > at + self.params["workers"]["cancel_s"]:
            self.broken("ran_cancelled (start)", leg=leg, machine=machine.id)
        for dep in spec.get("waitsOn") or []:
            if any(f"{dep}/{i}" not in self.results for i in range(self.specs[dep]["legs"])):
                self.broken("too_early", leg=leg, dep=dep)

    def stopped(self, machine, t, why):
        self.note("task ends", leg=t["leg"], attempt=t["try"], machine=machine.id, why=why)
        self.on.get(t["leg"], {}).pop(machine.id, None)
        job = t["leg"].rpartition("/")[0]
        at = self.cancelled_root(job)
        if at is not None and time.monotonic() > at + self.params["workers"]["cancel_s"]:
            self.broken("ran_cancelled (was on a machine)", leg=t["leg"], machine=machine.id)

    # users
    def spec(self, n, **over):
        spec = {"nameId": f"wk-{n:06d}", "runKind": "spread-rebuild", "owner": "kiosk-core-00", "shape": "sweep",
                "urgency": "high", "legs": 4, "vcpus": 4.0, "cards": 0.0, "ramGb": 12.0, "bundle": "img-01",
                "imageGb": 1.2, "flavors": None, "hall": None, "samePlace": False, "spread": False, "lendable": True,
                "expectS": 5.0, "snapshotEveryS": 0.0, "snapshotS": 0.0, "dueS": None}
        spec.update(over)
        self.specs[spec["nameId"]] = spec
        return spec

    def pick(self):
        """The load balancer: nodes that take connections."""
        up = [n for n in self.names if self.lb.get(n, True)]
        return self.rng.choice(up or self.names)

    async def balance(self):
        """Health checks once a second, as PROTOCOL has them (removed after two failures, back after two successes)."""
        self.lb, state = {n: True for n in self.names}, {n: [0, 0] for n in self.names}
        async def probe(n):
            while True:
                c = Conn(self.listen[n])
                r = await c.call("GET", "/up", timeout=1)
                c.close()
                ok = bool(r and r[0] == 200)
                state[n] = [0, state[n][1] + 1] if ok else [state[n][0] + 1, 0]
                if state[n][0] >= 2:
                    self.lb[n] = False
                elif state[n][1] >= 3:
                    self.lb[n] = True
                await asyncio.sleep(1)
        for n in self.names:
            asyncio.ensure_future(probe(n))

    async def request(self, method, target, obj=None, timeout=5.0, node=None):
        """One request of a user; tries up to three nodes as the load balancer does."""
        for _ in range(3):
            name = node or self.pick()
            c = Conn(self.listen[name])
            t = time.monotonic()
            r = await c.call(method, target, obj, timeout)
            c.close()
            self.note("user", method=method, target=target, node=name, answer=r and (r[0], r[1]),
                      ms=int(1000 * (time.monotonic() - t)))
            if r is not None or time.monotonic() - t > 0.5 or node:
                return r
        return None

    def hear(self, job, view, at):
        """Judges an answer that names a job's state. `at` is when the request was sent."""
        status = view["status"]
        before = self.told.get(job)
        if before and before[0] in ("done", "aborted") and before[1] < at and status != before[0]:
            self.broken("went_back", job=job, was=before[0], now=status)
        if status == "done" and any(f"{job}/{i}" not in self.results for i in range(self.specs[job]["legs"])):
            self.broken("not_done", job=job)
        if status in ("done", "aborted"):
            if not before or before[0] not in ("done", "aborted"):
                self.told[job] = (status, time.monotonic())
            if status == "aborted" and not self.cancel_wanted(job):
                self.broken("went_back (cancelled by nobody)", job=job)

    def cancel_wanted(self, job):
        return job in self.asked_cancel or any(self.cancel_wanted(d) for d in self.specs[job].get("waitsOn") or [])

    async def submit(self, spec, patience=60):
        job, end = spec["nameId"], time.monotonic() + patience
        while time.monotonic() < end:
            at = time.monotonic()
            r = await self.request("POST", "/api/jobs", spec)
            if r and r[0] in (200, 201):
                self.accepted[job] = time.monotonic()
                self.hear(job, r[1], at)
                return True
            if r and r[0] in (400, 422):
                self.broken("forgotten (repeat refused)" if job in self.accepted else "refused", job=job, status=r[0])
                return False
            await asyncio.sleep(max(1.0, float(r[2].get("retry-after", 1)) if r else 1.0))
        self.note("gave up submitting", job=job)
        return False

    async def poll(self, job, node=None):
        at = time.monotonic()
        r = await self.request("GET", f"/api/jobs/{job}", timeout=2.0, node=node)
        if r and r[0] == 200:
            if job not in self.specs:
                self.broken("invented", job=job)
            else:
                self.hear(job, r[1], at)
            return r[1]
        if r and r[0] == 404 and self.accepted.get(job, 1e18) < at:
            self.broken("forgotten (404)", job=job)
        return None

    async def cancel(self, job, patience=110):
        self.asked_cancel.setdefault(job, time.monotonic())
        end = time.monotonic() + patience
        while time.monotonic() < end:
            at = time.monotonic()
            r = await self.request("POST", f"/api/jobs/{job}/abort")
            if r and r[0] == 200:
                self.hear(job, r[1], at)
                return r[1]["status"]
            if r and r[0] == 404 and self.accepted.get(job, 1e18) < at:
                self.broken("forgotten (abort got 404)", job=job)
            await asyncio.sleep(max(1.0, float(r[2].get("retry-after", 1)) if r else 1.0))
        return None

    def settle(self):
        """At the end: tasks of cancelled jobs that are still on machines."""
        for leg, running in self.on.items():
            job = leg.rpartition("/")[0]
            at = self.cancelled_root(job)
            if at is not None and time.monotonic() > at + self.params["workers"]["cancel_s"]:
                for m in running:
                    self.broken("ran_cancelled (still on a machine)", leg=leg, machine=m)


def run(main):
    """Runs a case and ends with its code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    async def go():
        code = 2
        task = asyncio.ensure_future(asyncio.wait_for(main(), 118))
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            code = await task
        except (Exception, asyncio.CancelledError) as error:  # a case that can't run says so
            print(f"couldn't run: {error!r}")
        sys.stdout.flush()
        os._exit(code)
    asyncio.run(go())
