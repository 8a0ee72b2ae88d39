"""Replicas begin to run while the controllers refuse each other's connections."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "standin"))
import lab as stand

FETCH_S = 5.0     # an image of 1.5 GB at 0.3 GB/s
REFUSED_S = 12.0  # the site files have 20 s and 40 s
LAG_S = 3.0       # "The state may lag by up to 3 s"
SETTLE_S = 10.0   # polls are judged from this long after the trouble on
POLLED_S = 40.0
SERVICES = 6


def build(folder):
    return stand.Lab(folder)


def since(lab, job):
    """Returns since when a task of the job runs without a break; None if none does."""
    begun = None
    for at, _, haul, _, state, _ in lab.runs:
        if haul.startswith(job["id"] + "/"):
            begun = at if state == "running" else None
    return begun


async def case(lab):
    await lab.begin(6, lambda job: 2.0, proxies=True)
    for worker in lab.fleet:
        worker.fetch_s = FETCH_S
    await lab.until("all controllers are up", lab.all_up, 15)

    async def all_heard():
        return all(worker.token > 0 for worker in lab.fleet)

    await lab.until("all workers are answered", all_heard, 15)
    await asyncio.sleep(3.0)
    services = [lab.job(n, rig="service", manifest=f"img-{n:02d}", imageGb=1.5, passageS=0.0)
                for n in range(1, SERVICES + 1)]
    for service in services:
        await lab.submit(service, 20)

    async def all_fetch():
        fetching = {haul for _, _, haul, _, state, _ in lab.runs if state == "fetching"}
        return len(fetching) == SERVICES

    await lab.until("the tasks fetch their images", all_fetch, 15)
    await asyncio.sleep(1.5)
    if any(since(lab, service) is not None for service in services):
        raise stand.CannotRun("a task ran too early")
    if lab.trouble:
        for proxy in lab.proxies:
            proxy.refuse()
        lab.record.line("controllers refuse each other's connections")
    await asyncio.sleep(REFUSED_S)
    if lab.trouble:
        for proxy in lab.proxies:
            await proxy.allow()
        lab.record.line("controllers accept each other's connections")
    if any(since(lab, service) is None for service in services):
        raise stand.CannotRun("a task does not run")
    await asyncio.sleep(SETTLE_S)
    wrong = {}
    end = lab.record.now() + POLLED_S
    while lab.record.now() < end:
        for service in services:
            for node in lab.controllers:
                sent = lab.record.now()
                state = await lab.status(service["id"], node)
                begun = since(lab, service)
                if state == "queued" and begun is not None and begun < sent - LAG_S:
                    wrong[service["id"]] = sent - begun
        await asyncio.sleep(5.0)
    if wrong:
        longest = ", ".join(f"{job} ({age:.0f} s)" for job, age in wrong.items())
        return f"called queued although a task runs, and for how long it has run then: {longest}"
    return None


if __name__ == "__main__":
    sys.exit(stand.main(case, build, 119.0))
