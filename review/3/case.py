"""A subtask that a worker was told across its crash runs on two workers."""

import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import stand_ins  # noqa: E402

RUN_S = 6.0
# A worker comes back after this time, and reports within a heartbeat of its start.
RESTART_S = 0.1
FIRST_REPORT_S = 0.9
# A stop takes at most `stop_timeout_ms`, 200 here.
STOP_S = 0.19


def play(
    deployment: stand_ins.Deployment, record: stand_ins.Record, has_trouble: bool
) -> bool:
    """Let a worker crash as it is told a subtask, and start again under its id."""
    first = deployment.add_worker("i-7f3a91c2", RUN_S)
    first.crashes_on_start = has_trouble
    time.sleep(1.0)
    job = stand_ins.make_job_id(1)
    step = {"count": 1, "cpu": 4000, "mem_mb": 1000, "gpu": 1, "estimate_ms": 6000}
    if not deployment.submit(job, [step]):
        raise stand_ins.CannotRunError("the job was not accepted")
    if has_trouble:
        if not first.has_crashed.wait(3.0):
            raise stand_ins.CannotRunError("the worker was told nothing")
        port = int(first.address.rpartition(":")[2])
        first.end()
        time.sleep(RESTART_S)
        second = stand_ins.Worker(
            record, first.worker_id, RUN_S, port=port, stop_s=STOP_S
        )
        deployment.workers.append(second)
        record.note(f"{second.worker_id} starts again, born {second.born_ms}")
    deployment.add_worker("i-other", RUN_S)
    if has_trouble:
        time.sleep(FIRST_REPORT_S)
        second.report(deployment.controls)
        record.note(f"{second.worker_id} reports")
        second.report_always(deployment.controls)
    state = deployment.wait_for_state(job, {"completed", "failed"}, 30.0)
    record.note(f"job {job} is shown as {state}")
    doubles = stand_ins.find_doubles(deployment.workers)
    for double in doubles:
        record.note(f"twice: {double}")
    return not doubles


if __name__ == "__main__":
    sys.exit(stand_ins.run_case(FOLDER, play))
