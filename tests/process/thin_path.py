"""Runs a call, a batch job and a preset switch with real processes.

Guards against: a call that doesn't reach a target or that gets the answer of
another call, a batch job that doesn't end exactly once, and a preset switch
that is not in force on every entry host.
"""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1] / "standins"))

from caller import Caller, expected_answer  # noqa: E402
from deployment import Deployment, Failed, read_ledger, wait_for  # noqa: E402


def check_calls(deployment):
    caller = Caller(deployment.folder / "caller.ledger")
    # Sends one call through each entry host. The only target is in one data
    # centre, so the hosts of the other data centres forward the call.
    for number, host in enumerate(deployment.hosts.values()):
        body = f"check-{number}"

        def completed(host=host, number=number, body=body):
            entry = caller.call(host.callers, number, body, idempotent=True)
            return entry if entry["outcome"] == "completed" else None
        entry = wait_for(f"a call through {host.name} completes", completed)
        if entry["answer"] != expected_answer(body):
            raise Failed(f"wrong answer: {entry}")


def check_job(deployment):
    status, body = deployment.submit("job-1", "leith", tasks=3)
    if status != 200:
        raise Failed(f"job refused: {status} {body}")
    wait_for("the job ends", lambda: deployment.jobs("leith")["job-1"]["state"]
             == "Ended")
    entries = [entry for worker in deployment.workers.values()
               for entry in read_ledger(worker.ledger)]
    starts = sorted(entry["index"] for entry in entries
                    if entry["event"] == "start")
    ends = sorted(entry["index"] for entry in entries
                  if entry["event"] == "end" and entry["detail"] == "finished")
    if starts != [0, 1, 2] or ends != [0, 1, 2]:
        raise Failed(f"starts {starts}, ends {ends}")


def check_preset(deployment):
    version = deployment.must_change({"kind": "use_preset", "preset": "peak"})
    deployment.wait_in_force(version)
    for host in deployment.hosts.values():
        preset = host.status()["config"]["preset"]
        if preset != "peak":
            raise Failed(f"{host.name} has preset {preset} in force")


def check_restarted_without_disk(deployment):
    """A host that restarts without a disk becomes ready only when it has the
    newest configuration."""
    host = deployment.hosts["dundee-3"]
    host.kill()
    version = deployment.must_change({"kind": "use_preset",
                                      "preset": "maintenance"})
    host.start()
    wait_for("the restarted host is ready", host.is_ready)
    if deployment.version(host) < version:
        raise Failed("ready with an old configuration")


def main():
    # One host has no disk. It votes in no group and gets the configuration from
    # the other hosts.
    with Deployment({"leith": 3, "paisley": 2, "dundee": 3},
                    diskless=("dundee-3",)) as deployment:
        deployment.start_hosts()
        deployment.wait_ready()
        print("ready", flush=True)
        deployment.configure_default()
        print("configured", flush=True)
        deployment.add_target("target-1", "leith")
        deployment.add_worker("worker-1", "leith")
        deployment.add_worker("worker-2", "leith")
        deployment.wait_target_seen("target-1")
        check_calls(deployment)
        print("calls", flush=True)
        check_job(deployment)
        print("job", flush=True)
        check_preset(deployment)
        check_restarted_without_disk(deployment)
        print("preset", flush=True)


if __name__ == "__main__":
    main()
