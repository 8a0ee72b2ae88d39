"""A shard whose acquisition is carried out just before an outage of the state service."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
import lab as stand

SLOW_S = 0.3      # "Responses normally take under 10 ms, occasionally a few hundred."
OUTAGE_S = 6.0    # the site files have outages of 25 s
BACK_S = 3.0      # "back about 3 s after an end"
WAIT_S = 90.0     # "no job is left waiting for 90 s"
JOBS = 12


def build(folder):
    return stand.Lab(folder)


async def trouble(lab):
    """Kills a controller. When a sibling takes over its work, the state service, slow by then, carries
    out the transaction and is down before it has answered."""
    store, taken = lab.store, asyncio.Event()

    async def hold(method, path, body):
        if path == "/multi" and any(c.get("write", "").startswith("seat/") for c in body["then"]):
            taken.set()
        return None

    lab.controllers[1].kill()
    await asyncio.sleep(3.0)
    store.answer_delay_s = SLOW_S
    store.hold = hold
    await asyncio.wait_for(taken.wait(), 10)
    await asyncio.sleep(SLOW_S / 3)
    store.outage(True)
    lab.controllers[1].start()
    await asyncio.sleep(OUTAGE_S)
    store.answer_delay_s = 0.0
    store.outage(False)


async def case(lab):
    await lab.begin(6, lambda job: 2.0)
    await lab.until("all controllers are up", lab.all_up, 15)
    await asyncio.sleep(4.0)
    if lab.trouble:
        await trouble(lab)
    await asyncio.sleep(1.0)
    jobs = [lab.job(n) for n in range(1, JOBS + 1)]
    answers = await asyncio.gather(*(lab.submit(job, 20) for job in jobs))
    if any(status not in (200, 201) for status, _ in answers):
        raise stand.CannotRun("a submission was not accepted")
    accepted_at = lab.record.now()
    left = [job["id"] for job in jobs]
    while left and lab.record.now() < accepted_at + WAIT_S:
        await asyncio.sleep(2.5)
        states = {i: await lab.status(i) for i in left}
        left = [i for i in left if states[i] != "done"]
    begun = {haul.split("/")[0] for _, _, haul, _, state, _ in lab.runs if state == "running"}
    waiting = [i for i in left if i not in begun]
    if waiting:
        for node in lab.controllers:  # for the record only
            await lab.user("POST", f"/submissions/{waiting[0]}/abort", node=node, timeout=3.0)
        return f"{len(waiting)} of {JOBS} accepted jobs did not start within {WAIT_S:.0f} s: {waiting}"
    return None


if __name__ == "__main__":
    sys.exit(stand.main(case, build, 119.0))
