"""Controllers as separate processes, started by the command of the deploy file, and users with a load balancer."""

import asyncio
import copy
import json
import os
import pathlib
import shlex
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback

import cbor
import web

REPO = pathlib.Path(__file__).resolve().parents[2]

# The small deployment `kauri-fx-ops`: limits, times and resources as in its site file.
KAURI = {
    "initial_size": 3,
    "zones": ["akl-east", "hlz-south"],
    "teams": [{"name": f"kiosk-core-{n:02}", "cpus": 40.0, "cpus_max": 64.0, "gpus": 0.0, "gpus_max": 0.0} for n in range(16)],
    "objectives": [
        {"kind": "wait", "class": "spread-rebuild", "within_s": 60.0, "share": 0.85},
        {"kind": "finished", "class": "spread-rebuild", "within_s": 350.0, "share": 0.94},
        {"kind": "wait", "class": "rate-quote", "within_s": 20.0, "share": 0.92},
        {"kind": "guarantee", "within_s": 20.0, "share": 0.94},
    ],
    "workers": {"report_s": 3.0, "lease_s": 18.0, "gang_wait_s": 40.0, "gang_peer_s": 5.0, "cancel_s": 43.0},
    "state": {"rps": 150.0, "write_rps": 60.0, "value_kb": 16.0, "txn_ops": 12},
    "cloud": {"rps": 3.0, "list_lag_s": 4.0},
    "resources": {"cpu": 0.08, "memory_mb": 56.0, "max_sockets": 700},
    "time_bound_ms": 250.0,
}
KAURI_LOCATIONS = ["akl-east", "hlz-south", "akl-east"]
TUI16 = {"name": "tui16", "vcpus": 16.0, "cards": 0.0, "ramGb": 64.0, "cacheGb": 25.0, "pullGbPerS": 0.5, "price": 0.88,
         "marketPrice": 0.36, "startupS": 35.0, "halls": ["akl-east", "hlz-south"]}


STARTED = []  # all processes of this case


def execute(main):
    """Runs the case and ends this process with its exit status; 2 if it raises an exception or is ended from outside."""

    def ended():
        for process in STARTED:
            process.kill()
        os._exit(2)

    async def run():
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, ended)
        try:
            status = await main()
        except Exception:
            traceback.print_exc()
            status = 2
        sys.stderr.flush()
        os._exit(status)

    asyncio.run(run())


class Record:
    """record.txt: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)
        self.started = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.started:8.3f} {text}\n")


class Controllers:
    """`state_port(n)` and `peer_port(n, to)` may lead through proxies."""

    def __init__(self, params, locations, record, state_port, cloud_port, log_level="info"):
        count = len(locations)
        ports = web.free_ports(2 * count)
        self.listen, self.mesh = ports[:count], ports[count:]
        self.names = [f"spindle-{n}" for n in range(count)]
        self.params, self.locations, self.record = params, locations, record
        self.state_port, self.cloud_port = state_port, cloud_port
        self.peer_port = lambda n, to: self.mesh[to]
        self.log_level = log_level
        self.dir = tempfile.mkdtemp(prefix="review-")
        self.processes = [None] * count
        deploy = tomllib.loads((REPO / "deploy/service.toml").read_text())
        self.command = shlex.split(deploy["run"])

    def settings(self, n):
        others = [{"host_name": self.names[to], "location": self.locations[to],
                   "peer_addr": f"{web.HOST}:{self.peer_port(n, to)}"}
                  for to in range(len(self.names)) if to != n]
        return {"host_name": self.names[n], "location": self.locations[n], "listen": f"{web.HOST}:{self.listen[n]}",
                "mesh_addr": f"{web.HOST}:{self.mesh[n]}", "others": others,
                "external": {"cloud": f"{web.HOST}:{self.cloud_port}", "state": f"{web.HOST}:{self.state_port(n)}"},
                "params": copy.deepcopy(self.params)}

    def start(self, n):
        path = pathlib.Path(self.dir) / f"{self.names[n]}.json"
        path.write_text(json.dumps(self.settings(n)))
        log = open(pathlib.Path(self.dir) / f"{self.names[n]}.log", "a")
        env = {**os.environ, "LOG_LEVEL": self.log_level}
        self.processes[n] = subprocess.Popen([*self.command, str(path)], cwd=REPO, stderr=log, stdout=log, env=env)
        STARTED.append(self.processes[n])
        self.record(f"test: started {self.names[n]}")

    def signal(self, n, number):
        self.record(f"test: {signal.Signals(number).name} to {self.names[n]}")
        self.processes[n].send_signal(number)

    def stop_all(self):
        """Ends all processes and removes their logs, unless KEEP_LOGS is set."""
        for process in self.processes:
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        if "KEEP_LOGS" not in os.environ:
            shutil.rmtree(self.dir, ignore_errors=True)

    async def up(self, n):
        status, _, _ = await self._probe(n)
        return status == 200

    async def _probe(self, n):
        connection = web.Connection(self.listen[n])
        try:
            return await connection.request("GET", "/up", timeout=1.0)
        finally:
            connection.close()

    async def wait_ready(self, timeout=20.0):
        """Waits until every controller is up and one leads (the leader key exists, as seen by a 2xx for a submission)."""
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            if all([await self.up(n) for n in range(len(self.names))]):
                return True
            await asyncio.sleep(0.2)
        return False

    def leader(self, state):
        """The leader's number by the leader key; the test uses it only to choose which process to disturb."""
        for key, (data, _, _) in state.keys.items():
            if key.endswith("/leader"):
                value = cbor.decode(data)
                for n, name in enumerate(self.names):
                    if isinstance(value, dict) and name in value.values():
                        return n
        return None


class User:
    """A user on one connection. Every request and answer is recorded."""

    def __init__(self, record, name, port):
        self.record, self.name = record, name
        self.connection = web.Connection(port)

    async def call(self, method, target, body=b"", timeout=5.0, quiet=False):
        status, headers, out = await self.connection.request(method, target, body, timeout)
        view = cbor.decode(out) if status in (200, 201) and out else None
        if not quiet:
            self.record(f"user {self.name}: {method} {target} -> {status} {view or ''}")
        return status, view, headers

    async def submit(self, spec, quiet=False):
        """Submits until it is accepted or the 60 s of PROTOCOL are over."""
        end = time.monotonic() + 60
        while True:
            status, view, headers = await self.call("POST", "/api/jobs", cbor.encode(spec), quiet=True)
            if not quiet or status not in (200, 201):
                self.record(f"user {self.name}: POST /api/jobs {spec['nameId']} -> {status} {view or ''}")
            if status in (200, 201, 400, 422) or time.monotonic() > end:
                return status
            await asyncio.sleep(max(1.0, min(30.0, float(headers.get("retry-after", "1")))))

    async def poll(self, job):
        status, view, _ = await self.call("GET", f"/api/jobs/{job}", timeout=2.0)
        return status, view

    async def abort(self, job):
        while True:
            status, view, headers = await self.call("POST", f"/api/jobs/{job}/abort")
            if status == 200:
                return view
            await asyncio.sleep(max(1.0, min(30.0, float(headers.get("retry-after", "1")))))


class Balancer:
    """The load balancer's view of the nodes: probes once a second, two failures make a node unhealthy, two successes
    make it healthy again, no earlier than 3 s later (doubled by a further removal within two minutes). Connections of a
    node that has been unhealthy for 5 s are reset; `resets(n)` is called then."""

    def __init__(self, controllers, record, resets=lambda n: None):
        count = len(controllers.names)
        self.controllers, self.record, self.resets = controllers, record, resets
        self.healthy = [False] * count
        self.since = [0.0] * count
        self.task = asyncio.create_task(self._run())

    async def _run(self):
        await asyncio.gather(*(self._watch(n) for n in range(len(self.healthy))))

    async def _watch(self, n):
        recent, pause, removed, seen, was_reset = [], 3.0, -1e9, False, False
        while True:
            started = time.monotonic()
            recent = (recent + [await self.controllers.up(n)])[-6:]
            now = time.monotonic()
            if self.healthy[n] and (recent[-2:] == [False, False] or recent.count(False) >= 3):
                self.healthy[n], self.since[n], was_reset = False, now, False
                pause = min(60.0, pause * 2) if now - removed < 120 else 3.0
                removed = now
                self.record(f"balancer: {self.controllers.names[n]} is unhealthy")
            elif not self.healthy[n] and (recent[-2:] == [True, True] or not seen and recent[-1]) and (
                    not seen or now - removed >= pause):
                self.healthy[n], self.since[n], seen = True, now, True
                recent = recent[-1:]
                self.record(f"balancer: {self.controllers.names[n]} is healthy")
            elif not self.healthy[n] and seen and not was_reset and now - removed >= 5:
                was_reset = True
                self.resets(n)
            await asyncio.sleep(max(0.0, started + 1.0 - time.monotonic()))


def spec(name, **more):
    """A job of the class `spread-rebuild`."""
    found = {"nameId": name, "runKind": "spread-rebuild", "owner": "kiosk-core-00", "shape": "sweep", "urgency": "high",
             "legs": 4, "vcpus": 4.0, "cards": 0.0, "ramGb": 12.0, "bundle": "img-01", "imageGb": 1.2, "flavors": None,
             "hall": None, "samePlace": False, "spread": False, "lendable": True, "expectS": 50.0, "snapshotEveryS": 10.0,
             "snapshotS": 5.0, "dueS": None}
    found.update(more)
    return found
