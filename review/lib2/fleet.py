"""The cloud and the workers of PROTOCOL."""

import asyncio
import random
import time

import cbor
import web
from state import Bucket


class Worker:
    """One machine's worker. `fleet` says where the controllers are and what the jobs do."""

    def __init__(self, fleet, name, flavor, hall, lendable, port):
        self.fleet, self.name, self.flavor, self.hall, self.lendable = fleet, name, flavor, hall, lendable
        self.port = port
        self.tenure, self.tally, self.baton = 1, 0, 0
        self.legs = {}  # (leg, try) -> {"status", "exitCause", "timer"}
        self.images = set()
        self.renewed = time.monotonic()
        self.node = random.randrange(len(fleet.nodes))
        self.connection = None
        self.nudge = asyncio.Event()
        self.told_baton = 0.0
        self.tasks = []

    async def start(self):
        self.server = await web.serve(self.port, self._serve)
        self.tasks = [asyncio.create_task(self._report_loop()), asyncio.create_task(self._lease_loop())]

    def stop(self):
        for task in self.tasks:
            task.cancel()
        self.server.close()
        self._drop_legs()

    def _drop_legs(self):
        for leg in self.legs.values():
            leg["timer"].cancel() if leg.get("timer") else None
        for (leg, attempt), entry in self.legs.items():
            if entry["status"] in ("running", "saving"):
                self.fleet.note("gone", self.name, leg, attempt)
        self.legs = {}

    def report(self):
        self.tally += 1
        legs = []
        for (leg, attempt), entry in self.legs.items():
            row = {"leg": leg, "try": attempt, "status": entry["status"]}
            if entry["status"] == "ended":
                row["exitCause"] = entry["exitCause"]
            legs.append(row)
        return {"spindle": self.name, "address": f"{web.HOST}:{self.port}", "flavor": self.flavor, "hall": self.hall,
                "lendable": self.lendable, "tenure": self.tenure, "tally": self.tally, "baton": self.baton,
                "recallS": None, "legs": legs}

    def report_bytes(self):
        """The size of a report as it is sent, without counting it as a report."""
        self.tally -= 1
        return len(cbor.encode(self.report()))

    async def _lease_loop(self):
        while True:
            await asyncio.sleep(0.05)
            if time.monotonic() - self.renewed > self.fleet.lease_s:
                self._drop_legs()
                self.tenure += 1
                self.renewed = time.monotonic()
                self.nudge.set()

    async def _report_loop(self):
        while True:
            wait = self.fleet.report_s * random.uniform(0.75, 1.25)
            try:
                await asyncio.wait_for(self.nudge.wait(), wait)
            except asyncio.TimeoutError:
                pass
            self.nudge.clear()
            await self._report()
            await asyncio.sleep(0.5)

    async def _report(self):
        name, port = self.fleet.nodes[self.node]
        if self.connection is None or self.connection.port != port:
            self.connection = web.Connection(port)
        sent, tenure, body = time.monotonic(), self.tenure, cbor.encode(self.report())
        status, _, out = await self.connection.request("POST", "/hello", body, timeout=4.0)
        if status == 200:
            answer = cbor.decode(out)
            if tenure == self.tenure and answer.get("baton", -1) >= self.baton:
                self._see(answer["baton"])
                self.renewed = max(self.renewed, sent)
                self._execute(answer.get("orders") or [])
            return
        self.connection.close()
        names = [node for node, _ in self.fleet.nodes]
        foreman = cbor.decode(out).get("foreman") if status == 421 and out else None
        if foreman in names and foreman != name:
            self.node = names.index(foreman)
            self.nudge.set()
            return
        self.node = (self.node + 1) % len(names)
        await asyncio.sleep(0.5)
        self.nudge.set()

    def _see(self, baton):
        if baton > self.baton:
            self.baton = baton
            if time.monotonic() - self.told_baton > self.fleet.lease_s / 2:
                self.told_baton = time.monotonic()
                self.nudge.set()

    async def _serve(self, method, target, body):
        if target == "/status":
            return 200, cbor.encode(self.report())
        message = cbor.decode(body)
        if message.get("baton") is None or message.get("tenure") is None:
            return 400, b""
        if message["baton"] < self.baton or message["tenure"] != self.tenure:
            return 409, cbor.encode(self.report())
        self._see(message["baton"])
        self._execute(message.get("orders") or [])
        return 200, cbor.encode(self.report())

    def _execute(self, orders):
        for order in orders:
            key = (order["leg"], order["try"])
            if order["verb"] == "run":
                self._run(*key)
            elif order["verb"] == "halt":
                entry = self.legs.get(key)
                if entry is not None and entry["status"] != "ended":
                    self._end(key, "halted")
            elif order["verb"] == "forget":
                if key in self.legs and self.legs[key]["status"] == "ended":
                    del self.legs[key]

    def _end(self, key, cause):
        entry = self.legs[key]
        if entry.get("timer"):
            entry["timer"].cancel()
        if entry["status"] in ("running", "saving"):
            self.fleet.note("ended:" + cause, self.name, *key)
        if cause == "done":
            self.fleet.done.add(key[0])
        self.legs[key] = {"status": "ended", "exitCause": cause}
        self.nudge.set()

    def _run(self, leg, attempt):
        if (leg, attempt) in self.legs:
            return
        job = self.fleet.jobs.get(leg.rsplit("/", 1)[0])
        taken = [self.fleet.jobs[l.rsplit("/", 1)[0]] for (l, _), e in self.legs.items() if e["status"] != "ended"]
        refused = None
        if job is None:
            refused = "no_such"
        elif any(l == leg and e["status"] != "ended" for (l, _), e in self.legs.items()):
            refused = "in_use"
        elif any(sum(j[what] for j in taken) + job[what] > room for what, room in self.fleet.room.items()):
            refused = "no_room"
        if refused:
            self.legs[leg, attempt] = {"status": "ended", "exitCause": refused}
            self.nudge.set()
            return
        pull = 0.0 if job["bundle"] in self.images else job["imageGb"] / self.fleet.pull_gb_per_s
        timer = asyncio.get_running_loop().call_later(pull, self._begin, leg, attempt)
        self.legs[leg, attempt] = {"status": "pulling", "timer": timer}
        self.nudge.set()

    def _begin(self, leg, attempt):
        job = self.fleet.jobs[leg.rsplit("/", 1)[0]]
        self.images.add(job["bundle"])
        entry = self.legs[leg, attempt]
        entry["status"] = "running"
        if leg in self.fleet.done:
            return self._end((leg, attempt), "done")
        self.fleet.note("started", self.name, leg, attempt)
        if job["shape"] == "sweep":
            run_s = job["runS"] if "runS" in job else job["expectS"]
            entry["timer"] = asyncio.get_running_loop().call_later(run_s, self._end, (leg, attempt), "done")
        self.nudge.set()


class Fleet:
    """The cloud with its machines. `capacity` maps (hall, lendable) to the number of machines that can be rented."""

    def __init__(self, nodes, params, record, flavor, capacity, boot_s=1.0):
        self.nodes = nodes  # [(name, port)] as the workers know them
        self.record = record
        self.report_s, self.lease_s = params["workers"]["report_s"], params["workers"]["lease_s"]
        self.flavor, self.capacity, self.boot_s = flavor, dict(capacity), boot_s
        self.pull_gb_per_s = flavor["pullGbPerS"]
        self.room = {"vcpus": flavor["vcpus"], "ramGb": flavor["ramGb"]}
        self.requests = Bucket(params["cloud"]["rps"] * 2)
        self.jobs = {}  # name -> description
        self.done = set()
        self.machines = {}  # name -> [Worker or None, hall, lendable, rented at]
        self.hires = {}
        self.count = 0

    def note(self, what, machine, leg, attempt):
        self.record(f"worker {machine}: {what} {leg} try {attempt}")

    async def start(self, port):
        self.server = await web.serve(port, self.handle)

    async def handle(self, method, target, body):
        path = target.partition("?")[0]
        if path == "/flavors":
            return 200, cbor.encode({"flavors": [self.flavor]})
        if path == "/hosts" and method == "GET":
            rows = [{"nameId": name, "address": f"{web.HOST}:{w.port}" if w else None, "flavor": self.flavor["name"],
                     "hall": hall, "lendable": lendable, "status": "running" if w else "starting",
                     "heldS": time.monotonic() - at}
                    for name, (w, hall, lendable, at) in sorted(self.machines.items())]
            return 200, cbor.encode({"spindles": rows, "truncated": False})
        message = cbor.decode(body)
        if path == "/hosts/delete":
            for name in message["spindles"]:
                if name in self.machines:
                    worker, hall, lendable, _ = self.machines.pop(name)
                    self.capacity[hall, lendable] += 1
                    if worker:
                        worker.stop()
                    self.record(f"cloud: deleted {name}")
            return 200, cbor.encode({})
        if path == "/hosts":
            if message["hire"] in self.hires:
                return 200, cbor.encode({"spindles": self.hires[message["hire"]]})
            pool = (message["hall"], message["lendable"])
            count = min(message["count"], self.capacity.get(pool, 0))
            if count == 0:
                return 503, cbor.encode({"error": "no capacity"})
            self.capacity[pool] -= count
            names = []
            for _ in range(count):
                self.count += 1
                name = f"i-{self.count:06}"
                names.append(name)
                self.machines[name] = [None, *pool, time.monotonic()]
                asyncio.create_task(self._boot(name))
            self.hires[message["hire"]] = names
            self.record(f"cloud: rented {names} {pool}")
            return 200, cbor.encode({"spindles": names})
        return 400, b""

    async def _boot(self, name):
        await asyncio.sleep(self.boot_s * random.uniform(0.6, 1.5))
        if name in self.machines:
            _, hall, lendable, _ = self.machines[name]
            worker = Worker(self, name, self.flavor["name"], hall, lendable, web.free_ports(1)[0])
            await worker.start()
            if name not in self.machines:
                return worker.stop()
            self.machines[name][0] = worker
