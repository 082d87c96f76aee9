"""One report of another writer under the id `platform` ends every control process."""

import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import stand_ins  # noqa: E402

FINISH_S = 14.0
# For the work of the jobs, and for a change of the leader.
MARGIN_S = 6.0
# Like a report of a worker of another deployment: its service is not in the
# configuration, and nothing listens at its address.
ODD_REPORT = {
    "service": "another-service",
    "address": "127.0.0.99:9",
    "zone": "a",
    "slots": 1,
    "state": "ready",
    "capacity": {"cpu": 1000, "mem_mb": 1000, "gpu": 0},
    "labels": ["a", "r1"],
    "clock_ms": 1000,
    "seq": 1,
}


def play(
    deployment: stand_ins.Deployment, record: stand_ins.Record, has_trouble: bool
) -> bool:
    """Submit jobs, send the odd report, and ask for the jobs."""
    for number in range(2):
        deployment.add_worker(f"i-{number}", 2.0)
    jobs = [stand_ins.make_job_id(number) for number in range(4)]
    step = {"count": 4, "cpu": 4000, "mem_mb": 1000, "gpu": 1, "estimate_ms": 2000}
    for job in jobs:
        if not deployment.submit(job, [step]):
            raise stand_ins.CannotRunError("a job was not accepted")
    if has_trouble:
        status, _ = stand_ins.exchange(
            deployment.controls[0], "PUT", "/instances/platform", ODD_REPORT
        )
        record.note(f"the report under the id 'platform' was answered {status}")
    states = deployment.ask_for_jobs(jobs, FINISH_S + MARGIN_S)
    own_ends = [program.own_ends for program in deployment.control_programs]
    record.note(f"ends by themselves of the control processes: {own_ends}")
    is_lost = any(state != "completed" for state in states.values())
    # A fault of the day: three ends on half of the core.
    is_fault = sum(ends >= 3 for ends in own_ends) * 2 >= len(own_ends)
    return not is_lost and not is_fault


if __name__ == "__main__":
    sys.exit(stand_ins.run_case(FOLDER, play))
