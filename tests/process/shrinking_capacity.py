"""Runs workers whose capacity shrinks and grows while they run.

Guards against a start that brings a worker over a capacity that it no longer
has, against a job that waits for a capacity that has come back, and against
both under a new leader.
"""

import sys
import tempfile
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1] / "standins"))

from deployment import Failed, wait_for  # noqa: E402
from platform_path import Cell  # noqa: E402
from platform_standin import (CONTACT_WINDOW_S, HEARTBEAT_S,  # noqa: E402
                              TASK_CPU, WORKER_CPU, call, call_control,
                              platform_configuration)

JOBS = 2
TASKS = 24


def run_jobs(cell, name):
    """Hands in jobs that need more than the small capacities at a time."""
    ids = [f"{name}{number}" for number in range(JOBS)]
    for job_id in ids:
        wait_for(f"{job_id} is accepted",
                 lambda job_id=job_id: cell.submit(job_id, TASKS) == 200)
    for job_id in ids:
        wait_for(f"{job_id} completes",
                 lambda job_id=job_id: cell.state(job_id) == "completed",
                 deadline_s=30)
    cell.check()


def resize(cell, cpu):
    for worker in cell.workers:
        worker.set_cpu(cpu)
    time.sleep(CONTACT_WINDOW_S + HEARTBEAT_S)


def most_running(cell):
    return max(worker.most_running for worker in cell.workers)


def check_full(cell):
    run_jobs(cell, "full")
    if most_running(cell) <= 2:
        raise Failed("the full capacity is not used")


def check_shrink(cell):
    resize(cell, 2 * TASK_CPU)
    run_jobs(cell, "small")
    if most_running(cell) > 2:
        raise Failed(f"{most_running(cell)} tasks ran where 2 fit")


def check_new_leader(cell):
    wait_for("a leader is known", cell.leader).kill()
    run_jobs(cell, "failover")
    if most_running(cell) > 2:
        raise Failed(f"{most_running(cell)} tasks ran where 2 fit")


def check_growth(cell):
    resize(cell, WORKER_CPU)
    run_jobs(cell, "large")
    if most_running(cell) <= 2:
        raise Failed("the capacity that has come back is not used")


def main():
    with tempfile.TemporaryDirectory() as folder:
        cell = Cell(Path(folder))
        try:
            wait_for("a front is ready", lambda: call(
                cell.fronts[0].readiness, "GET", "/-/readiness")[0] == 200)
            wait_for("the configuration is accepted", lambda: call_control(
                cell.controls, "POST", "/-/Configuration.Replace",
                platform_configuration(3))[0] == 200)
            for check in (check_full, check_shrink, check_new_leader,
                          check_growth):
                check(cell)
                print(f"{check.__name__}: ok", flush=True)
        except Failed:
            for node in cell.nodes():
                print(f"--- {node.name}")
                print("\n".join(node.log.read_text().splitlines()[-12:]))
            raise
        finally:
            cell.stop()


if __name__ == "__main__":
    main()
