"""An array loses two machines, and waits beside idle machines with GPUs, since GPU work was asked for before."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin-2"))
from world import CannotRun, main, now

WAIT_S = 90.0


async def until(what, condition, seconds):
    deadline = now() + seconds
    while not condition():
        if now() > deadline:
            raise CannotRun(what)
        await asyncio.sleep(0.02)


async def case(make, trouble):
    world = make(capacity={})
    skiffs, ice = [], []
    for harbor in ("haro", "juan", "puget", "puget"):
        skiffs += world.fleet("skiff", harbor, 4)
        ice += world.fleet("icebreaker", harbor, 2)
    await world.start()
    if not await world.ready():
        raise CannotRun("no controllers")
    running = lambda job: [t for w in world.workers.values() for t in w.tasks.values()
                           if t.job["id"] == job and t.state == "running"]
    training = world.job("wk-000400", 1, cargo="bathymodel", rig="group", cores=10.0, gpus=2.0, memoryGb=38.0,
                         hulls=["icebreaker"], passageS=300.0, manifest="img-01")
    array = world.job("wk-000412", 8, cargo="soundgrid", cores=1.0, memoryGb=3.1, passageS=60.0, manifest="img-02")
    other = world.job("wk-000500", 56, cargo="soundgrid", cores=1.0, memoryGb=3.1, passageS=300.0, manifest="img-03")
    for job in (training, array, other):
        if await world.submit(job) != 201:
            raise CannotRun("not accepted")
        await until(f"{job['id']} does not run", lambda: len(running(job["id"])) == job["hauls"], 15)
    if trouble:
        lost = [n for n in skiffs if any(t.job is array for t in world.workers[n].tasks.values())][:2]
        for name in lost:
            world.record(f"{name} stops, with all that is on it")
            world.workers.pop(name).destroy()
            world.cloud.machines.pop(name)
        world.cloud.snapshot()
    # What was on the lost machines counts as there until their lease is over.
    over = now() + (world.settings["workers"]["lease_s"] if trouble else 0)
    while now() < over + WAIT_S:
        missing = [i for i in range(8) if f"wk-000412/{i}" not in world.done]
        if not missing or (now() > over and len(running("wk-000412")) == len(missing)):
            world.record(f"all tasks run or are done {now() - over:.1f} s after the trouble")
            return None
        await asyncio.sleep(0.25)
    await world.poll("wk-000412")
    idle = [n for n in ice if all(t.state == "exited" for t in world.workers[n].tasks.values())]
    return f"{len(missing) - len(running('wk-000412'))} tasks of the array wait for {WAIT_S:.0f} s beside {len(idle)} idle machines of 12 CPUs that fit"


main(case, HERE)
