"""An upkeep takes a subtask away while another one of its step is gone.

A step of four lasting subtasks allows one to be away. The worker of one of them
crashes; some seconds later a wave takes the machine of another one.
"""

import asyncio
import json
import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stand_ins_2 import (  # noqa: E402
    BOUNDS,
    Deployment,
    Fleet,
    Platform,
    Record,
    call_until,
    make_configuration,
    make_id,
    pick_port,
)

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MACHINES = ("m-1", "m-2", "m-3", "m-4", "m-5", "m-6")
COUNT = 4
MISS_ALLOWED = 1
NOTICE_S = BOUNDS["notice_ms"] / 1000
WAVE = 1
WAVE_AFTER_S = 2.5
WAVE_DURATION_S = 5.0
WATCH_S = 10.0
TICK_S = 0.02


async def play(record: Record) -> int:
    """Run the case; return the exit status."""
    deployment = Deployment(record, controls=3, entries=1)
    fleet = Fleet(record, "zone-a", {"cpu": 8000, "mem_mb": 64000, "gpu": 8})
    fleet.controls = deployment.control_addresses
    host = f"{deployment.network}.200"
    platform = Platform(fleet, host, pick_port(host))
    # The machine stays up; only the process of the worker has crashed.
    platform.notices_crashes = False
    try:
        await platform.start()
        deployment.write_settings(platform.address)
        await deployment.start()
        for place, name in enumerate(MACHINES):
            await fleet.add(name, f"{deployment.network}.{100 + place}", 8080)
        controls, entries = deployment.control_addresses, deployment.entry_addresses
        given = make_configuration(1)
        stored = await call_until(record, controls, "PUT", "/config", given, 30.0)
        if stored is None:
            return 2
        await asyncio.sleep(4.0)
        return await play_wave(record, fleet, platform, controls, entries)
    finally:
        platform.stop()
        for worker in fleet.workers.values():
            worker.end()
        await deployment.stop()


async def play_wave(
    record: Record,
    fleet: Fleet,
    platform: Platform,
    controls: list[str],
    entries: list[str],
) -> int:
    """Start the job, crash a worker, and send a wave; return the exit status."""
    job = make_id()
    step = {
        "count": COUNT,
        "cpu": 1000,
        "mem_mb": 1000,
        "gpu": 1,
        "long_running": True,
        "miss_allowed": MISS_ALLOWED,
        "anti_affinity": 1,
    }
    body = {"spec": json.dumps({}), "steps": [step]}
    path = f"/sort/{job}"
    await call_until(record, entries, "POST", path, body, 5.0, is_caller=True)
    await asyncio.sleep(4.0)
    places = list_places(fleet)
    if len(places) < COUNT:
        return 2
    first, second, *_ = sorted(set(places.values()))
    last_s = dict.fromkeys(places, record.now_s())
    watch = asyncio.create_task(watch_step(record, fleet, last_s))
    if HAS_TROUBLE:
        fleet.workers[first].end()
        record.note(f"the worker of {first} crashes")
    await asyncio.sleep(WAVE_AFTER_S)
    platform.waves[WAVE] = [second]
    order = {
        "wave": WAVE,
        "machines": [second],
        "duration_s": WAVE_DURATION_S,
        "cap": 1,
    }
    if await call_until(record, controls, "POST", "/wave-start", order) is None:
        return 2
    return int(await watch)


def list_places(fleet: Fleet) -> dict[str, str]:
    """Return the machine of each subtask that is at work now."""
    now_s = time.monotonic()
    return {
        run.task: worker.machine
        for worker in fleet.workers.values()
        for run in worker.runs.values()
        if run.find_percent(now_s) >= 100
    }


async def watch_step(record: Record, fleet: Fleet, last_s: dict[str, float]) -> bool:
    """Watch the subtasks; return whether one was stopped while too many were away."""
    until_s = record.now_s() + WATCH_S
    seen = len(fleet.ends)
    while record.now_s() < until_s:
        await asyncio.sleep(TICK_S)
        for at_s, task, _, machine, how in fleet.ends[seen:]:
            away = [
                other
                for other, last in last_s.items()
                if other != task and at_s - last > NOTICE_S
            ]
            record.note(f"{task} ended {how} on {machine}; others away: {away}")
            if how == "stopped" and len(away) >= MISS_ALLOWED:
                record.note("rule AVAIL broken: too many others were away")
                return True
        seen = len(fleet.ends)
        for task in list_places(fleet):
            last_s[task] = record.now_s()
    return False


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
