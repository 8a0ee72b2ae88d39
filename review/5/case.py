"""A gang of a team with a limit, whose machines fail every task for 15 s, never starts again."""
import asyncio
import copy
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin-2"))
from world import CannotRun, main, now, small_settings

SICK_S = 15.0
WAIT_S = 90.0
LIMIT = float(os.environ.get("CPUS_MAX", "120"))  # 0: no limit, for comparison


async def case(make, trouble):
    settings = copy.deepcopy(small_settings())
    settings["teams"] = [{"name": "hydrodesk", "cpus": 0.0, "cpus_max": LIMIT, "gpus": 0.0, "gpus_max": 0.0}]
    world = make(settings=settings)
    world.fleet("skiff", "puget", 63)
    world.fleet("skiff", "haro", 3)
    ice = world.fleet("icebreaker", "puget", 9)
    await world.start()
    if not await world.ready():
        raise CannotRun("no controllers")
    gang = world.job("wk-000412", 3, cargo="bathymodel", rig="group", cores=10.0, gpus=2.0, memoryGb=38.0,
                     hulls=["icebreaker"], together=True, passageS=20.0, manifest="img-01", imageGb=1.0)
    if await world.submit(gang) != 201:
        raise CannotRun("not accepted")
    if trouble:
        # The machines that got the gang's tasks turn sick while they fetch the image.
        deadline = now() + 10
        while sum(bool(world.workers[n].tasks) for n in ice) < 3:
            if now() > deadline:
                raise CannotRun("the gang was not placed")
            await asyncio.sleep(0.02)
        sick = [n for n in ice if world.workers[n].tasks]
        for name in sick:
            world.workers[name].sick = True
        world.record(f"sick: {sick}")
        await asyncio.sleep(SICK_S)
        for name in sick:
            world.workers[name].sick = False
        world.record("no machine is sick any more")
    over = now()
    while now() < over + WAIT_S:
        if any(t.state == "running" for w in world.workers.values() for t in w.tasks.values()) or world.done:
            world.record(f"the gang runs {now() - over:.1f} s after the trouble")
            return None
        free = [n for n in ice if all(t.state == "exited" for t in world.workers[n].tasks.values())]
        if len(free) < 3:
            over = now()  # counted only while machines that fit have room
        await asyncio.sleep(0.5)
    await world.poll("wk-000412")
    return f"the gang waits for {WAIT_S:.0f} s after the trouble, beside {len(free)} free machines that fit, in a team that uses 0 of {LIMIT:.0f} CPUs"


main(case, HERE)
