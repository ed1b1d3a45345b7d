"""Runs the three diagnoses of docs/OPERATIONS.md with real processes.

Each causes a request to fail or to be late and finds the reason in the logs,
through `bramleypath explain request`, and in the metrics only. Guards against
logs and metrics from which an on-call engineer can't find the cause.
"""

import http.client
import subprocess
import sys
import tempfile
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1] / "standins"))

from deployment import Failed, Programs, wait_for  # noqa: E402
from platform_path import Cell  # noqa: E402
from platform_standin import call_control, platform_configuration  # noqa: E402

METRICS_PORT = 9464
# The log is flushed every 100 ms.
FLUSH_S = 0.4


def explain(cell, job_id):
    time.sleep(FLUSH_S)
    logs = [str(node.log) for node in cell.nodes()]
    done = subprocess.run([Programs.cli, "explain", "request", job_id, *logs],
                          capture_output=True, text=True, timeout=20,
                          check=False)
    if done.returncode != 0:
        raise Failed(f"explain request {job_id}: status {done.returncode}, "
                     f"{done.stdout} {done.stderr}")
    return done.stdout


def require_text(text, *parts):
    for part in parts:
        if part not in text:
            raise Failed(f"'{part}' is missing in:\n{text}")


def metrics(node):
    connection = http.client.HTTPConnection(node.ip, METRICS_PORT, timeout=5)
    connection.request("GET", "/metrics")
    lines = connection.getresponse().read().decode().splitlines()
    connection.close()
    return {line.rpartition(" ")[0]: float(line.rpartition(" ")[2])
            for line in lines if not line.startswith("#")}


def leader_metric(cell, name):
    leader = cell.leader()
    return metrics(leader).get(f"bramleypath_{name}") if leader else None


def long_job(tasks, task_ms):
    return {"specification": "text",
            "steps": [{"count": tasks, "cpu": 4000, "memoryRequestMb": 100,
                       "estimatedMs": task_ms}]}


def check_refused(cell):
    """Jobs with several minutes of work arrive at the same time."""
    statuses = {}
    for number in range(30):
        job_id = f"refused{number}"
        statuses[job_id] = cell.request_job(
            "POST", job_id, long_job(40, 5000))[0]
    refused = [job_id for job_id, status in statuses.items() if status == 429]
    if not refused:
        raise Failed(f"no job was refused: {statuses}")
    require_text(explain(cell, refused[-1]), ": refused\n",
           "it was expected to end after", "processor seconds was under way",
           "workers were in contact")
    wait_for("the refusals are counted",
             lambda: leader_metric(cell, "jobs_refused") >= len(refused))
    if leader_metric(cell, 'active_jobs{queue="r"}') < 1:
        raise Failed("the queue's jobs are not on the metrics address")
    for job_id, status in statuses.items():
        if status == 200:
            cell.request_job("DELETE", job_id)


def check_late_after_failover(cell):
    """The leader is killed right after it accepted the job."""
    wait_for("the job is accepted", lambda: cell.submit("late", 6) == 200)
    leader = wait_for("there is a leader", cell.leader)
    leader.kill()
    wait_for("the job completes", lambda: cell.state("late") == "completed")
    leader.start()
    require_text(explain(cell, "late"), ": completed\n", "failover: ",
           "became leader (epoch ")
    wait_for("the failover is counted", lambda: sum(
        metrics(node)["bramleypath_leaderships"]
        for node in cell.controllers if node is not leader) >= 1)


def check_unreported_end(cell):
    """All workers that run tasks of the job stop, so no end is reported."""
    for worker in cell.workers:
        worker.run_s = 60
    wait_for("the job is accepted", lambda: cell.submit("unheard", 3) == 200)
    time.sleep(1)
    for worker in cell.workers:
        worker.shut_down()
    wait_for("no worker is in contact",
             lambda: leader_metric(cell, "workers_in_contact") == 0)
    require_text(explain(cell, "unheard"), ": accepted; no end is logged\n",
           "the newest start went to worker w", "worker_unreachable")


def main():
    with tempfile.TemporaryDirectory() as folder:
        cell = Cell(Path(folder))
        try:
            wait_for("the configuration is accepted", lambda: call_control(
                cell.controls, "POST", "/-/Configuration.Replace",
                platform_configuration(3))[0] == 200)
            wait_for("the workers are in contact", lambda: leader_metric(
                cell, "workers_in_contact") == len(cell.workers))
            for check in (check_refused, check_late_after_failover,
                          check_unreported_end):
                check(cell)
                print(f"{check.__name__}: ok", flush=True)
        finally:
            cell.stop()


if __name__ == "__main__":
    main()
