"""A gang bound to one zone loses a machine and never starts again, beside two free machines of its zone."""
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
    # Machines are numbered as they are created; every third one is an icebreaker.
    ice = []
    for harbor in ("haro", "juan", "juan", "juan"):
        world.fleet("skiff", "puget", 2)
        ice += world.fleet("icebreaker", harbor, 1)
    world.fleet("skiff", "haro", 6)
    world.fleet("skiff", "juan", 6)
    await world.start()
    if not await world.ready():
        raise CannotRun("no controllers")
    on = lambda name, job: any(t.job["id"] == job and t.state == "running" for t in world.workers[name].tasks.values())
    shape = dict(cargo="bathymodel", rig="group", cores=10.0, gpus=2.0, memoryGb=38.0, hulls=["icebreaker"],
                 together=True, manifest="img-01", imageGb=0.2)
    first = world.job("wk-000411", 1, harbor="haro", passageS=2.5, **shape)
    if await world.submit(first) != 201:
        raise CannotRun("not accepted")
    await until("the first job is not launched", lambda: world.workers[ice[0]].tasks, 10)
    gang = world.job("wk-000412", 2, passageS=40.0, **shape)
    if await world.submit(gang) != 201:
        raise CannotRun("not accepted")
    await until("the gang does not run", lambda: sum(on(n, "wk-000412") for n in ice) == 2, 10)
    await until("the first job does not end", lambda: "wk-000411/0" in world.done, 10)
    if trouble:
        lost = next(n for n in ice if on(n, "wk-000412"))
        world.record(f"{lost} stops, with all that is on it")
        world.workers.pop(lost).destroy()
        world.cloud.machines.pop(lost)
        world.cloud.snapshot()
        ice.remove(lost)
    # What was on the lost machine counts as there until its lease is over.
    over = now() + (world.settings["workers"]["lease_s"] if trouble else 0)
    empty = lambda n: all(t.state == "exited" for t in world.workers[n].tasks.values())
    while now() < over + WAIT_S:
        if "wk-000412/0" in world.done or (trouble and sum(on(n, "wk-000412") for n in ice) == 2 and now() > over):
            world.record(f"the gang runs or is done {now() - over:.1f} s after the trouble")
            return None
        await asyncio.sleep(0.25)
        free = [n for n in ice if empty(n) and world.workers[n].harbor == "juan"]
        if trouble and now() > over and len(free) < 2:
            over = now()  # counted only while two machines that fit have room
    await world.poll("wk-000412")
    return f"the gang of two waits for {WAIT_S:.0f} s beside free machines of its zone: {free}"


main(case, HERE)
