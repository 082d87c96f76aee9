"""A gang never starts on idle workers, as other jobs that last fail again and again.

Some jobs that last have an image that fails soon after each start, on every worker. A
gang that is handed in beside them stands still, long after all other work has ended.
"""

import asyncio
import json
import os
import pathlib
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
WORKERS = 16
CAPACITY = {"cpu": 8000, "mem_mb": 64000, "gpu": 8}
# The gang needs half of the workers, so that there is room for it twice over.
GANG = {
    "count": WORKERS // 2,
    "gang": True,
    "anti_affinity": 1,
    "cpu": 4000,
    "mem_mb": 1000,
    "gpu": 4,
    "estimate_ms": 3000,
}
FAILING_JOBS = 4
FAILING = {"count": WORKERS, "cpu": 100, "mem_mb": 100, "long_running": True}
FAILS_WITHIN_S = (0.6, 2.0)
ORDINARY = {"count": 1, "cpu": 1000, "mem_mb": 100, "gpu": 1, "estimate_ms": 1000}
ORDINARY_JOBS = 80
GAP_S = 0.25
# The gang is the last job; the ordinary ones have ended by then.
GANG_AFTER_S = 1.5
FINISH_S = BOUNDS["finish_s"]
STANDS_S = 3.0


class Client:
    """Hands jobs in at one entry."""

    def __init__(self, record: Record, entry: str) -> None:
        self._record, self._entry = record, entry

    async def hand_in(self, what: str, spec: dict, step: dict) -> str:
        """Hand a job in until it is accepted; return its ID."""
        job = make_id()
        body = {"spec": json.dumps(spec), "steps": [step]}
        headers = {"Host": HOST, "X-Api-Key": KEY, "X-Deadline-Ms": "3000"}
        reply = None
        while reply is None or reply[0] != 200:
            reply = await send(self._entry, "POST", f"/sort/{job}", body, headers, 3.0)
            self._record.note(f"POST /sort/{job} ({what}): {reply}")
        return job


async def play(record: Record) -> int:
    """Run the case; return the exit status."""
    deployment = Deployment(record, controls=3, entries=1)
    fleet = Fleet(record, "zone-a", CAPACITY)
    fleet.controls = deployment.control_addresses
    host = f"{deployment.network}.200"
    platform = Platform(fleet, host, pick_port(host))
    try:
        await platform.start()
        deployment.write_settings(platform.address)
        await deployment.start()
        for place in range(WORKERS):
            await fleet.add(f"m-{place}", f"{deployment.network}.{100 + place}", 8080)
        controls = deployment.control_addresses
        given = make_configuration(1)
        stored = await call_until(record, controls, "PUT", "/config", given, 30.0)
        if stored is None:
            return 2
        await asyncio.sleep(4.0)
        client = Client(record, deployment.entry_addresses[0])
        gang = await send_jobs(client)
        return await judge(record, fleet, gang)
    finally:
        platform.stop()
        for worker in fleet.workers.values():
            worker.end()
        await deployment.stop()


async def send_jobs(client: Client) -> str:
    """Hand all jobs in; return the ID of the gang."""
    if HAS_TROUBLE:
        for number in range(FAILING_JOBS):
            step = {**FAILING, "image": f"failing-{number}"}
            await client.hand_in("fails", {"fails_within_s": FAILS_WITHIN_S}, step)
    for _ in range(ORDINARY_JOBS):
        await client.hand_in("ordinary", {"work_s": 1.0}, ORDINARY)
        await asyncio.sleep(GAP_S)
    await asyncio.sleep(GANG_AFTER_S)
    return await client.hand_in("gang", {"work_s": 3.0}, GANG)


async def judge(record: Record, fleet: Fleet, gang: str) -> int:
    """Return whether the gang stands still `FINISH_S` after the last job."""
    await asyncio.sleep(FINISH_S + STANDS_S)
    starts = [at_s for at_s, task, _, _ in fleet.starts if task.startswith(gang)]
    taken = {name: 0 for name in CAPACITY}
    for worker in fleet.workers.values():
        for _run in worker.runs.values():
            taken["cpu"] += FAILING["cpu"]
            taken["mem_mb"] += FAILING["mem_mb"]
    whole = {name: WORKERS * amount for name, amount in CAPACITY.items()}
    record.note(f"in use: {taken} of {whole}, {len(fleet.workers)} workers are up")
    record.note(f"members of the gang began at {[round(at, 2) for at in starts]} s")
    if not starts:
        record.note("rule LOST broken: the gang has nothing running")
    return int(not starts)


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
