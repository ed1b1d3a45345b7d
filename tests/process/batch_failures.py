"""Runs batch jobs while cell leaders are paused or killed and a worker dies.

Guards against: a leader that is paused past the end of its lease and still
issues commands when it resumes, a task that runs in two places or is lost when
its leader or its worker is killed, a worker committed beyond its capacity, and
a job that is accepted twice when the operator resends it.
"""

import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1] / "standins"))

from counts import Counts  # noqa: E402
from deployment import Deployment, Failed, read_ledger, wait_for  # noqa: E402

CELL_GROUP = "cell-leith"
TASKS = 24


def count_starts(deployment):
    return sum(entry["event"] == "start"
               for worker in deployment.workers.values()
               for entry in read_ledger(worker.ledger))


def submit(deployment, job):
    status, body = deployment.submit(job, "leith", tasks=TASKS,
                                     request_id=f"request-{job}")
    if status != 200:
        raise Failed(f"job {job} refused: {status} {body}")


def wait_ended(deployment, job, deadline_s=60):
    wait_for(f"{job} ends",
             lambda: deployment.jobs("leith")[job]["state"] == "Ended",
             deadline_s)


def pause_leader(deployment):
    leader = deployment.wait_leader(CELL_GROUP)
    before = count_starts(deployment)
    submit(deployment, "paused")
    wait_for("tasks start", lambda: count_starts(deployment) > before)
    leader.signal(signal.SIGSTOP)
    others = [host for host in deployment.in_data_centre("leith")
              if host is not leader]
    new = wait_for("another leader", lambda: next(
        (host for host in others for group in host.status()["groups"]
         if group["group"] == CELL_GROUP and group["role"] == "leader"), None))
    print(f"paused {leader.name}; {new.name} leads", flush=True)
    before = count_starts(deployment)
    submit_to(deployment, "after-pause", new)
    wait_for("the new leader starts tasks",
             lambda: count_starts(deployment) > before)
    leader.signal(signal.SIGCONT)
    wait_for("the paused leader steps down", lambda: all(
        group["role"] == "follower" for group in leader.status()["groups"]
        if group["group"] == CELL_GROUP))
    for job in ("paused", "after-pause"):
        wait_ended(deployment, job)


def submit_to(deployment, job, host):
    status, body = deployment.submit(job, "leith", host=host, tasks=TASKS,
                                     request_id=f"request-{job}")
    if status != 200:
        raise Failed(f"job {job} refused: {status} {body}")


def kill_leader(deployment):
    leader = deployment.wait_leader(CELL_GROUP)
    before = count_starts(deployment)
    submit(deployment, "killed")
    wait_for("tasks start", lambda: count_starts(deployment) > before)
    leader.kill()
    print(f"killed {leader.name}", flush=True)
    # An operator whose answer was lost resends the request, which must not
    # create a second job.
    submit(deployment, "killed")
    wait_ended(deployment, "killed")
    leader.start()
    wait_for(f"{leader.name} is ready again", leader.is_ready)


def kill_worker(deployment):
    worker = deployment.workers["worker-0"]
    before = count_starts(deployment)
    submit(deployment, "worker-dies")
    wait_for("tasks start on the worker", lambda: any(
        entry["event"] == "start" and entry["job"] == "worker-dies"
        for entry in read_ledger(worker.ledger)))
    if count_starts(deployment) == before:
        raise Failed("no start")
    worker.kill()
    worker.killed_at = read_ledger(worker.ledger)[-1]["at"]
    print("killed worker-0", flush=True)
    wait_ended(deployment, "worker-dies", deadline_s=90)


def check(deployment):
    """Checks the ledgers. Killing a worker also ends the attempts it runs."""
    jobs = {job: TASKS for job in ("paused", "after-pause", "killed",
                                   "worker-dies")}
    counts = Counts(deployment, jobs)
    killed = deployment.workers["worker-0"]
    for attempts in counts.attempts.values():
        on_killed = [entry for entry in attempts if entry["worker"] is killed]
        ended = {(entry["attempt"]) for entry in on_killed
                 if entry["event"] == "end"}
        for entry in list(on_killed):
            if entry["event"] == "start" and entry["attempt"] not in ended:
                attempts.append({**entry, "event": "end", "detail": "killed",
                                 "at": max(entry["at"], killed.killed_at) + 1})
    ended_once = counts.ended_once()
    two_places = counts.two_places()
    overcommitted = counts.overcommitted()
    print(f"ended_once={ended_once} two_places={two_places} "
          f"overcommitted={overcommitted}", flush=True)
    if counts.faults or ended_once != TASKS * len(jobs):
        raise Failed("\n".join(counts.faults))


def main():
    with Deployment({"leith": 3, "paisley": 2, "dundee": 2}) as deployment:
        deployment.start_hosts()
        deployment.wait_ready()
        deployment.configure_default()
        for number in range(3):
            deployment.add_worker(f"worker-{number}", "leith", run_ms=700,
                                  processors=6000)
        pause_leader(deployment)
        kill_leader(deployment)
        kill_worker(deployment)
        check(deployment)


if __name__ == "__main__":
    main()
