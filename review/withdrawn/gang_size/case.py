"""A gang on idle machines that have room for all of it. No disruption: `CASE` chooses the gang.

CASE=size     130 tasks of one core on 192 free cores; TROUBLE=0: 120 tasks
CASE=amount   3 tasks of 3.3333 cores of a team that is limited to 10; TROUBLE=0: of 3.333 cores
"""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "standin"))
import lab as stand

WAIT_S = 90.0
CASE = os.environ.get("CASE", "size")


def build(folder):
    camel = {"label": "camel", "cores": 64.0, "gpus": 0.0, "memoryGb": 256.0, "localGb": 200.0,
             "pullGbPerS": 0.3, "price": 4.03, "marketPrice": 1.73, "startupS": 40.0,
             "harbors": ["puget"]}
    limit = 10.0 if CASE == "amount" else 0.0
    team = {"name": "hydrodesk", "cpus": 0.0, "cpus_max": limit, "gpus": 0.0, "gpus_max": 0.0}
    return stand.Lab(folder, types=[camel], teams=[team])


async def case(lab):
    await lab.begin(3, lambda job: 2.0)
    await lab.until("all controllers are up", lab.all_up, 15)

    async def all_heard():
        return all(worker.token > 0 for worker in lab.fleet)

    await lab.until("all workers are answered", all_heard, 15)
    await asyncio.sleep(3.0)
    if CASE == "size":
        gang = lab.job(1, rig="group", hauls=130 if lab.trouble else 120)
    else:
        gang = lab.job(1, rig="group", hauls=3, cores=3.3333 if lab.trouble else 3.333)
    status, _ = await lab.submit(gang, 20)
    if status not in (200, 201):
        raise stand.CannotRun(f"the gang was answered {status}")
    accepted_at = lab.record.now()
    while lab.record.now() < accepted_at + WAIT_S:
        await asyncio.sleep(2.5)
        if await lab.status(gang["id"]) == "done":
            return None
    return f"the accepted gang of {gang['hauls']} tasks did not start within {WAIT_S:.0f} s"


if __name__ == "__main__":
    sys.exit(stand.main(case, build, 119.0))
