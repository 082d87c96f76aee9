"""A job runs after its cancellation was acknowledged.

A client hands a job in at an entry that is frozen, gets no answer, and cancels the job
at another entry. Meanwhile the leader is stopped as planned and started again. When the
first entry goes on, it passes the submission on.
"""

import asyncio
import json
import os
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stand_ins_2 import (  # noqa: E402
    BOUNDS,
    HOST,
    KEY,
    Deployment,
    Fleet,
    Platform,
    Record,
    call_until,
    make_configuration,
    make_id,
    pick_port,
    send,
)

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MACHINES = ("m-1", "m-2", "m-3", "m-4")
HEADERS = {"Host": HOST, "X-Api-Key": KEY, "X-Deadline-Ms": "3000"}
# Clients leave within half of the objective of 1 s.
PATIENCE_S = 0.5
STOP_AFTER_S = 0.2
# A machine of the site is frozen for 7.9 s at most.
MAX_FREEZE_S = 7.9
# The core counts as stable again `contact_ms` after the restart of its machine.
SETTLE_S = BOUNDS["contact_ms"] / 1000 + 0.5
CANCEL_S = BOUNDS["cancel_ms"] / 1000
STOP_S = BOUNDS["stop_timeout_ms"] / 1000
WORK_S = 6.0


async def play(record: Record) -> int:
    """Run the case; return the exit status."""
    # The last machine has an entry only.
    deployment = Deployment(record, controls=3, entries=4)
    fleet = Fleet(record, "zone-a", {"cpu": 8000, "mem_mb": 64000, "gpu": 8})
    fleet.controls = deployment.control_addresses
    host = f"{deployment.network}.200"
    platform = Platform(fleet, host, pick_port(host))
    try:
        await platform.start()
        deployment.write_settings(platform.address)
        await deployment.start()
        for place, name in enumerate(MACHINES):
            await fleet.add(name, f"{deployment.network}.{100 + place}", 8080)
        controls = deployment.control_addresses
        given = make_configuration(1)
        stored = await call_until(record, controls, "PUT", "/config", given, 30.0)
        if stored is None:
            return 2
        await asyncio.sleep(5.0)
        return await cancel_late_job(record, deployment, fleet)
    finally:
        platform.stop()
        for worker in fleet.workers.values():
            worker.end()
        await deployment.stop()


async def cancel_late_job(record: Record, deployment: Deployment, fleet: Fleet) -> int:
    """Hand a job in, cancel it, and look at whether it runs."""
    frozen = deployment.entries[-1]
    *others, late = deployment.entry_addresses
    job = make_id()
    path = f"/sort/{job}"
    step = {"count": 2, "cpu": 1000, "mem_mb": 1000, "gpu": 1, "estimate_ms": 6000}
    body = {"spec": json.dumps({"work_s": WORK_S}), "steps": [step]}
    frozen_at_s = record.now_s()
    if HAS_TROUBLE:
        deployment.signal(frozen, "entry", signal.SIGSTOP)
    reply = await send(late, "POST", path, body, HEADERS, PATIENCE_S)
    record.note(f"POST {path} at {late}: {reply or 'no answer, the client leaves'}")
    is_done = {200, 410}.__contains__
    cancelled = await call_until(
        record, others, "DELETE", path, None, 4.0, is_done, is_caller=True
    )
    if cancelled is None:
        return 2
    cancelled_at_s = record.now_s()
    if HAS_TROUBLE:
        leader = deployment.find_leader(fleet)
        if leader is None:
            return 2
        await asyncio.sleep(STOP_AFTER_S)
        deployment.signal(leader, "control", signal.SIGTERM)
        await deployment.start_again(leader, "control")
        await asyncio.sleep(SETTLE_S)
        frozen_s = record.now_s() - frozen_at_s
        deployment.signal(frozen, "entry", signal.SIGCONT)
        record.note(f"the entry was frozen for {frozen_s:.2f} s")
        if frozen_s > MAX_FREEZE_S:
            return 2
    await asyncio.sleep(CANCEL_S + WORK_S)
    return judge(record, fleet, job, cancelled_at_s)


def judge(record: Record, fleet: Fleet, job: str, cancelled_at_s: float) -> int:
    """Return whether a subtask started too long after the acknowledgement."""
    starts = [at_s for at_s, task, _, _ in fleet.starts if task.startswith(job)]
    late = [at_s for at_s in starts if at_s > cancelled_at_s + CANCEL_S]
    record.note(
        f"cancellation acknowledged at {cancelled_at_s:.3f} s, starts at "
        f"{[round(at_s, 3) for at_s in starts]} s"
    )
    if late:
        record.note("rule UNASKED broken: a subtask of the cancelled job started")
    runs_on = any(
        run.task.startswith(job)
        for worker in fleet.workers.values()
        for run in worker.runs.values()
    )
    return int(bool(late) or runs_on)


def main() -> int:
    """Run the case."""
    record = Record(FOLDER / "record.txt")

    async def limited() -> int:
        async with asyncio.timeout(115):
            return await play(record)

    try:
        status = asyncio.run(limited())
    except TimeoutError:
        status = 2
    record.note(f"exit status {status}")
    return status


if __name__ == "__main__":
    sys.exit(main())
