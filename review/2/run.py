"""One task of an array fails once; it is then left waiting for ever beside a machine that has room for it."""
import asyncio, os, sys
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
os.environ.setdefault("RECORD", os.path.join(HERE, "record.txt"))
import world
from waiting import watch
from world import Machine, World

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ARRAY, FAILS = "wk-000002", "wk-000002/0"


class FailingMachine(Machine):
    """A worker on which the first attempt of one task ends with `error` soon after its start. Later attempts are sound."""
    chosen = failed = False

    async def task(self, t, job):
        if TROUBLE and t["leg"] == FAILS and not FailingMachine.chosen:
            FailingMachine.chosen = True
            asyncio.get_running_loop().call_later(0.5 + self.w.fetch_s(t["spec"], self), self.fail, t)
        await super().task(t, job)

    def fail(self, t):
        FailingMachine.failed = True
        self.end(t, "error")


world.Machine = FailingMachine


async def main():
    w = World(seed=int(os.environ.get("SEED", "1")))
    # A small deployment: the cloud has one ordinary machine in each zone.
    w.caps = {(z, s): 0 if s else 1 for z in w.zones for s in (True, False)}
    try:
        await w.start()
        await w.balance()
        quote = w.spec(1, shape="service", runKind="rate-quote", legs=2, vcpus=1.0, ramGb=3.0, urgency="critical",
                       expectS=0.0, lendable=False, spread=True, bundle="img-00")
        if not await w.submit(quote):
            return 2
        for _ in range(60):
            if sum(len(r) for r in w.on.values()) == 2:
                break
            await asyncio.sleep(0.25)
        else:
            return 2
        array = w.spec(2, legs=3, vcpus=4.0, ramGb=12.0, owner="kiosk-core-01", hall="hlz-south", lendable=False,
                       bundle="img-00", expectS=5.0)
        w.run_times[ARRAY] = 4.0
        if not await w.submit(array):
            return 2
        return await watch(w, array, lambda: not TROUBLE or FailingMachine.failed, 113.0)
    finally:
        w.close()


world.run(main)
