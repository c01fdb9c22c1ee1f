"""The state service of PROTOCOL, with the limits that the settings name."""

import asyncio
import json
import time
from collections import deque
from urllib.parse import parse_qs

import cbor
import web

KEPT_CHANGES = 10_000
PAGE_ROWS, PAGE_BYTES, BODY_BYTES = 1000, 512 * 1024, 64 * 1024


class Bucket:
    """A rate with bursts of one second's worth."""

    def __init__(self, rate):
        self.rate, self.tokens, self.at = rate, rate, time.monotonic()

    def take(self, n):
        now = time.monotonic()
        self.tokens = min(self.rate, self.tokens + (now - self.at) * self.rate)
        self.at = now
        if self.tokens < n:
            return False
        self.tokens -= n
        return True


class State:
    def __init__(self, limits):
        self.limits = limits
        self.rev = 1
        self.keys = {}  # key -> (encoded value, revision, lease)
        self.log = deque()  # (revision, key, encoded change)
        self.dropped_rev = 0
        self.leases = {}  # id -> [seconds, end]
        self.next_lease = 0
        self.requests, self.writes = Bucket(limits["rps"]), Bucket(limits["write_rps"])
        self.changed = asyncio.Event()
        self.largest_follow = 0
        self.refused = 0

    async def start(self, port):
        self.server = await web.serve(port, self.handle)
        self.timer = asyncio.create_task(self._expire_leases())

    async def _expire_leases(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [lease for lease, (_, end) in self.leases.items() if end <= now]:
                self._end_lease(lease)

    def _end_lease(self, lease):
        del self.leases[lease]
        attached = [key for key, (_, _, hold) in self.keys.items() if hold == lease]
        if attached:
            self.rev += 1
            for key in attached:
                del self.keys[key]
                self._log(key, {"remove": key, "keyRev": self.rev})
            self._wake()

    def _log(self, key, change):
        self.log.append((self.rev, key, cbor.encode(change)))
        while len(self.log) > KEPT_CHANGES:
            self.dropped_rev = self.log.popleft()[0]

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, method, target, body):
        if not self.requests.take(1):
            self.refused += 1
            return 429, b""
        path, _, query = target.partition("?")
        query = {name: values[0] for name, values in parse_qs(query).items()}
        if path == "/follow":
            return await self._follow(query)
        if path == "/commit":
            return self._commit(body)
        if path == "/kv":
            return self._range(query)
        if path.startswith("/kv/"):
            found = self.keys.get(path[4:])
            if found is None:
                return 404, cbor.encode({"storeRev": self.rev})
            data, rev, hold = found
            return 200, cbor.encode({"key": path[4:], "data": cbor.decode(data), "keyRev": rev, "hold": hold})
        if path == "/leases" and method == "POST":
            life = cbor.decode(body)["lifeMs"] / 1000
            self.next_lease += 1
            self.leases[self.next_lease] = [life, time.monotonic() + life]
            return 200, cbor.encode({"hold": self.next_lease})
        if path.startswith("/leases/"):
            lease = int(path.split("/")[2])
            if lease not in self.leases:
                return 404, b""
            if method == "DELETE":
                self._end_lease(lease)
            else:
                self.leases[lease][1] = time.monotonic() + self.leases[lease][0]
            return 200, cbor.encode({})
        return 400, b""

    def _commit(self, body):
        try:
            txn = cbor.decode(body)
            guards, writes = txn["guards"], txn.get("writes") or []
        except (ValueError, KeyError, IndexError):
            return 400, b""
        if not self.writes.take(len(writes)):
            self.refused += 1
            return 429, b""
        limits = self.limits
        too_long = any(
            "write" in write and len(json.dumps(write["data"], separators=(",", ":"))) > limits["value_kb"] * 1024
            for write in writes
        )
        if len(writes) > limits["txn_ops"] or len(guards) > 4 * limits["txn_ops"] or too_long or len(body) > BODY_BYTES:
            return 400, b""
        failed = [g["key"] for g in guards if self.keys.get(g["key"], (None, 0, None))[1] != g["keyRev"]]
        if failed:
            return 409, cbor.encode({"failed": failed, "storeRev": self.rev})
        if any(write.get("hold") is not None and write["hold"] not in self.leases for write in writes):
            return 400, cbor.encode({"error": "no such lease"})
        if writes:
            self.rev += 1
            for write in writes:
                if "write" in write:
                    key = write["write"]
                    self.keys[key] = (cbor.encode(write["data"]), self.rev, write.get("hold"))
                    self._log(key, {"write": key, "data": write["data"], "keyRev": self.rev})
                else:
                    self.keys.pop(write["remove"], None)
                    self._log(write["remove"], {"remove": write["remove"], "keyRev": self.rev})
            self._wake()
        return 200, cbor.encode({"storeRev": self.rev})

    def _range(self, query):
        prefix, after = query.get("starts", ""), query.get("after", "")
        most = min(int(query.get("most", PAGE_ROWS)), PAGE_ROWS)
        rows, size, truncated = [], 0, False
        for key in sorted(k for k in self.keys if k.startswith(prefix) and k > after):
            data, rev, _ = self.keys[key]
            size += len(data) + len(key) + 30
            if len(rows) >= most or size > PAGE_BYTES:
                truncated = True
                break
            rows.append({"key": key, "data": cbor.decode(data), "keyRev": rev})
        return 200, cbor.encode({"rows": rows, "truncated": truncated, "storeRev": self.rev})

    async def _follow(self, query):
        prefix, after = query.get("starts", ""), int(query["after"])
        until = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while True:
            if after < self.dropped_rev:
                return 410, b""
            news = []
            for rev, key, change in reversed(self.log):
                if rev <= after:
                    break
                if key.startswith(prefix):
                    news.append(change)
            left = until - time.monotonic()
            if news or left <= 0:
                out = b"\xa2" + cbor.encode("storeRev") + cbor.encode(self.rev) + cbor.encode("news")
                out += cbor.list_head(len(news)) + b"".join(reversed(news))
                self.largest_follow = max(self.largest_follow, len(out))
                return 200, out
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
