"""A DELETE that a machine carries out after a freeze ends the runs of a later life."""

import pathlib
import signal
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import stand_ins  # noqa: E402

WORKER_ID = "i-7f3a91c2"
RUN_S = 9.0
# The sites freeze single machines for 3.5 to 7.9 s.
FREEZE_S = 6.0
RESTART_S = 0.5


def _choose_machine(deployment: stand_ins.Deployment) -> int:
    """Return the number of a machine that doesn't lead."""
    leader = deployment.find_leader()
    return next(
        number
        for number, program in enumerate(deployment.control_programs)
        if program is not leader
    )


def _leave(
    record: stand_ins.Record, addresses: list[str], worker: stand_ins.Worker
) -> None:
    """Announce the end of a worker to the first machine that answers, and end it."""
    for address in addresses:
        path = f"/instances/{worker.worker_id}"
        status, _ = stand_ins.exchange(address, "DELETE", path)
        record.note(f"DELETE to {address} answered {status or 'nothing within 1 s'}")
        if status // 100 == 2:
            break
    worker.end()
    record.note("the first life has ended")


def play(
    deployment: stand_ins.Deployment, record: stand_ins.Record, has_trouble: bool
) -> bool:
    """Replace a worker under its id while a machine is frozen."""
    number = _choose_machine(deployment)
    frozen = [deployment.control_programs[number], deployment.entry_programs[number]]
    others = [one for one in deployment.controls if one != deployment.controls[number]]
    first = deployment.add_worker(WORKER_ID, RUN_S)
    first.state = "draining"
    if not first.report(others):
        raise stand_ins.CannotRunError("the report of draining was not acknowledged")
    record.note("the first life is draining, acknowledged")
    time.sleep(stand_ins.BOUNDS["drain_ms"] / 1000 + 0.5)
    thawed = threading.Event()

    def thaw() -> None:
        for program in frozen:
            program.process.send_signal(signal.SIGCONT)
        record.note(f"machine {number + 1} wakes")
        thawed.set()

    if has_trouble:
        for program in frozen:
            program.process.send_signal(signal.SIGSTOP)
        record.note(f"machine {number + 1} freezes for {FREEZE_S:g} s")
        threading.Timer(FREEZE_S, thaw).start()
    _leave(record, [deployment.controls[number], *others], first)
    time.sleep(RESTART_S)
    # A worker may start again under the id that it had.
    second = deployment.add_worker(WORKER_ID, RUN_S, reports_to=others)
    job = stand_ins.make_job_id(1)
    step = {"count": 3, "cpu": 4000, "mem_mb": 1000, "gpu": 1, "estimate_ms": 9000}
    if not deployment.submit(job, [step]):
        raise stand_ins.CannotRunError("the job was not accepted")
    until_s = time.monotonic() + 3.0
    while len(second.runs) < 3:
        if time.monotonic() > until_s:
            raise stand_ins.CannotRunError("the second life was given no work")
        time.sleep(0.05)
    if thawed.is_set():
        raise stand_ins.CannotRunError("the machine woke before there was work")
    deployment.add_worker("i-other", RUN_S, reports_to=others)
    state = deployment.wait_for_state(job, {"completed", "failed"}, 30.0)
    record.note(f"job {job} is shown as {state}")
    doubles = stand_ins.find_doubles(deployment.workers)
    for double in doubles:
        record.note(f"twice: {double}")
    return not doubles


if __name__ == "__main__":
    sys.exit(stand_ins.run_case(FOLDER, play))
