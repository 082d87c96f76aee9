"""Jobs that are accepted while their route is removed are never run.

A configuration has some routes without traffic. New versions remove one after the
other, and a client hands a job in to each of them while its removal is on its way.
"""

import asyncio
import json
import os
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stand_ins_2 import (  # noqa: E402
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
# A storm of changes on the site has one each 0.33 s for 4 s.
ROUTES = 12
GAP_S = 0.33
# A job is sent this long after the change that removes its route, at most.
MAX_DELAY_S = 0.012
FINISH_S = 14.0


def configure(version: int, routes: range) -> dict:
    """Return a configuration with the routes of these numbers."""
    given = make_configuration(version)
    first = given["routes"][0]
    given["routes"] += [
        {**first, "name": f"r-x{number}", "path_prefix": f"/x{number}/"}
        for number in routes
    ]
    return given


async def hand_in(record: Record, entry: str, path: str, delay_s: float) -> int | None:
    """Hand a job in; return the status of the answer."""
    step = {"count": 1, "cpu": 1000, "mem_mb": 1000, "gpu": 1, "estimate_ms": 200}
    job = {"spec": json.dumps({"work_s": 0.2}), "steps": [step]}
    await asyncio.sleep(delay_s)
    headers = {"Host": HOST, "X-Api-Key": KEY, "X-Deadline-Ms": "3000"}
    reply = await send(entry, "POST", path, job, headers, 3.0)
    status = reply[0] if reply else None
    record.note(f"POST {path}, {delay_s * 1000:.1f} ms after the change: {status}")
    return status


async def play(record: Record) -> int:
    """Run the case; return the exit status."""
    deployment = Deployment(record, controls=3, entries=3)
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
        whole = configure(1, range(ROUTES))
        stored = await call_until(record, controls, "PUT", "/config", whole, 30.0)
        if stored is None:
            return 2
        await asyncio.sleep(4.0)
        return await remove_routes(record, deployment, fleet)
    finally:
        platform.stop()
        for worker in fleet.workers.values():
            worker.end()
        await deployment.stop()


async def remove_routes(record: Record, deployment: Deployment, fleet: Fleet) -> int:
    """Remove the routes, and look at which jobs have run."""
    accepted: dict[str, float] = {}
    version = 1
    for number in range(ROUTES):
        version += 1
        job = make_id()
        entry = random.choice(deployment.entry_addresses)
        delay_s = random.uniform(0.0, MAX_DELAY_S)
        calls = [hand_in(record, entry, f"/x{number}/{job}", delay_s)]
        if HAS_TROUBLE:
            rest = configure(version, range(number + 1, ROUTES))
            controls = random.sample(deployment.control_addresses, 3)
            calls.append(call_until(record, controls, "PUT", "/config", rest))
        status, *_ = await asyncio.gather(*calls)
        if status is not None and 200 <= status < 300:
            accepted[job] = record.now_s()
        await asyncio.sleep(GAP_S)
    await asyncio.sleep(FINISH_S)
    started = {task.partition(".")[0] for _, task, _, _ in fleet.starts}
    lost = [job for job in accepted if job not in started]
    for job in lost:
        record.note(f"job {job}, accepted at {accepted[job]:.3f} s, has not begun")
    record.note(f"{len(accepted)} jobs accepted, {len(lost)} of them have not begun")
    if lost:
        record.note("rule LOST broken")
    return int(bool(lost))


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
