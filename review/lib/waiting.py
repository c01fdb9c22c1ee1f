"""Watches for a job that is left waiting while a machine that fits has room and its team is under its limit."""
import asyncio, time

LIMIT_S = 90.0


def room(w, spec):
    """Machines that are up, that the job allows, and that have room for one more of its tasks."""
    out = []
    for m in w.cloud.machines.values():
        on = [t["spec"] for t in m.tasks.values() if t["status"] != "ended" and "spec" in t]
        if m.state == "up" and spec["hall"] in (None, m.zone) and (spec["lendable"] or not m.spot) \
                and sum(s["vcpus"] for s in on) + spec["vcpus"] <= w.flavor["vcpus"] \
                and sum(s["ramGb"] for s in on) + spec["ramGb"] <= w.flavor["ramGb"]:
            out.append(m.id)
    return out


async def watch(w, spec, trouble_over, end_s):
    """Returns 1 if the job waited for longer than the limit, 0 once it is done, and 2 if neither happened in time."""
    job, waiting_since, longest, view = spec["nameId"], None, 0.0, None
    team = next(t for t in w.params["teams"] if t["name"] == spec["owner"])
    code, next_poll = 2, 0.0
    while w.now() < end_s:
        await asyncio.sleep(0.5)
        if w.now() >= next_poll:
            next_poll = w.now() + 5.0
            view = await w.poll(job) or view
        if view and view["status"] == "done":
            code = 0
            break
        missing = [f"{job}/{i}" for i in range(spec["legs"]) if f"{job}/{i}" not in w.results]
        on_way = {t["leg"] for m in w.cloud.machines.values() for t in m.tasks.values() if t["status"] != "ended"}
        idle = [leg for leg in missing if leg not in on_way]
        used = sum(t["spec"]["vcpus"] for r in w.on.values() for t in r.values() if t["spec"]["owner"] == spec["owner"])
        if idle and trouble_over() and room(w, spec) and used + spec["vcpus"] <= team["cpus_max"]:
            waiting_since = waiting_since or time.monotonic()
            longest = max(longest, time.monotonic() - waiting_since)
            if longest > LIMIT_S:
                w.broken("left_waiting", job=job, tasks=idle, waited_s=round(longest, 1), room_on=room(w, spec),
                         team_uses=used, answer=view)
                code = 1
                break
        else:
            waiting_since = None
    w.note("end", longest_wait_s=round(longest, 1), answer=view, results=sorted(w.results))
    print(f"{job}: longest wait beside free room {longest:.1f} s, last answer {view}", flush=True)
    return 1 if w.breaks else code
