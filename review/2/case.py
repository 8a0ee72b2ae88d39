"""A controller ends and comes back while the controllers refuse each other's connections."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
import lab as stand

REFUSED_S = 8.0   # the site files have 20 s and 40 s
BACK_S = 3.0      # "back about 3 s after an end"
WAIT_S = 90.0     # "no job is left waiting for 90 s"
SERVICES = 8


def build(folder):
    trawler = {"label": "trawler", "cores": 8.0, "gpus": 0.0, "memoryGb": 32.0, "localGb": 80.0,
               "pullGbPerS": 0.3, "price": 0.36, "marketPrice": 0.12, "startupS": 15.0,
               "harbors": ["puget"]}
    return stand.Lab(folder, types=[trawler, dict(trawler, label="skiff")])


async def trouble(lab):
    for proxy in lab.proxies:
        proxy.refuse()
    lab.record.line("controllers refuse each other's connections")
    await asyncio.sleep(0.5)
    lab.controllers[2].kill()
    await asyncio.sleep(BACK_S)
    lab.controllers[2].start()
    await asyncio.sleep(REFUSED_S - 0.5 - BACK_S)
    for proxy in lab.proxies:
        await proxy.allow()
    lab.record.line("controllers accept each other's connections")


def running(lab, job):
    """Returns how many tasks of the job run."""
    return sum(key[0].startswith(job["id"] + "/") and task["state"] == "running"
               for worker in lab.fleet for key, task in worker.tasks.items())


async def case(lab):
    # Two of the six machines are of a type of their own, for which all jobs here ask.
    await lab.begin(6, lambda job: 2.0, lambda number: int(number % 3 == 2), proxies=True)
    await lab.until("all controllers are up", lab.all_up, 15)

    async def all_heard():
        return all(worker.token > 0 for worker in lab.fleet)

    await lab.until("all workers are answered", all_heard, 15)
    await asyncio.sleep(2.0)
    # One after the other, so that each of the two machines gets every other service.
    for n in range(1, SERVICES + 1):
        service = lab.job(n, rig="service", cores=0.5, hulls=["skiff"], manifest=f"img-{n:02d}",
                          passageS=0.0)
        await lab.submit(service, 20)

        async def runs():
            return running(lab, service) == 1

        await lab.until("the service runs", runs, 10)
    await asyncio.sleep(1.0)
    if lab.trouble:
        await trouble(lab)
    await asyncio.sleep(2.0)
    job = lab.job(100, hulls=["skiff"])
    status, _ = await lab.submit(job, 20)
    if status not in (200, 201):
        raise stand.CannotRun("the job was not accepted")
    accepted_at = lab.record.now()
    while lab.record.now() < accepted_at + WAIT_S:
        await asyncio.sleep(2.5)
        if await lab.status(job["id"]) == "done":
            return None
    if any(haul.startswith(job["id"] + "/") for _, _, haul, *_ in lab.runs):
        return None
    room = [(worker.name, worker.free()[0]) for worker in lab.fleet if worker.type["label"] == "skiff"]
    lab.record.line(f"free cores of the machines that fit: {room}")
    return f"the job did not start within {WAIT_S:.0f} s; free cores where it fits: {room}"


if __name__ == "__main__":
    sys.exit(stand.main(case, build, 119.0))
