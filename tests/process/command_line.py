"""Operates a deployment through the command line only.

Guards against a command line and daemons that disagree on the operator API, and
against a preset that is reported as in force before every host uses it.
"""

import json
import subprocess
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1] / "standins"))

from deployment import Deployment, Failed, Programs, wait_for  # noqa: E402


def run(deployment, *arguments, expected=0):
    hosts = [part for host in deployment.hosts.values() if host.running()
             for part in ("--host", host.operators)]
    command = [str(Programs.cli), *arguments, *hosts]
    done = subprocess.run(command, capture_output=True, text=True, timeout=60,
                          check=False)
    print(f"$ bramleypath {' '.join(arguments)} -> {done.returncode}",
          flush=True)
    if done.returncode != expected:
        raise Failed(f"status {done.returncode}, expected {expected}:\n"
                     f"{done.stdout}{done.stderr}")
    return done.stdout


def configuration_file(deployment):
    file = deployment.folder / "configuration.json"
    file.write_text(json.dumps({
        "services": [{"name": "ledger"}],
        "classes": [{"name": "batch", "expected_service_ms": 300}],
        "members": [{"name": "leith-assay", "weight": 1,
                     "quota": {"processors_milli": 100000,
                               "memory_mb": 100000}}],
        "presets": [{"name": name, "weights": {"tail_latency": 1, "evictions": 1,
                                               "throughput": 1}}
                    for name in ("ordinary", "peak")],
        "preset_in_force": "ordinary",
        "hosts": [host.configuration_entry()
                  for host in deployment.hosts.values()],
        "key_owners": {"current": deployment.data_centres()}}))
    return str(file)


def main():
    with Deployment({"leith": 3, "paisley": 2, "dundee": 2}) as deployment:
        deployment.start_hosts()
        deployment.wait_ready()
        run(deployment, "config", "apply", configuration_file(deployment))
        deployment.add_worker("worker-1", "leith")
        deployment.add_target("target-1", "leith")
        deployment.wait_target_seen("target-1")
        run(deployment, "preset", "use", "peak", "--wait")
        for host in deployment.hosts.values():
            if host.status()["config"]["preset"] != "peak":
                raise Failed(f"{host.name} has another preset in force")
        wait_for("the worker is registered", lambda: deployment.submit(
            "probe", "leith", request_id="probe")[0] == 200)
        run(deployment, "job", "submit", "job-1", "--data-centre", "leith",
            "--member", "leith-assay", "--class", "batch", "--tasks", "2",
            "--processors-milli", "1000", "--memory-mb", "100",
            "--checkpointable", "true")
        wait_for("the job ends", lambda: deployment.jobs("leith")["job-1"][
            "state"] == "Ended")
        run(deployment, "job", "submit", "never", "--data-centre", "leith",
            "--member", "leith-assay", "--class", "batch",
            "--processors-milli", "99000000", "--memory-mb", "1", expected=4)
        for command in (["status"], ["host", "list"], ["target", "list"],
                        ["preset", "list"], ["config", "get"],
                        ["job", "list", "--data-centre", "leith"],
                        ["job", "explain", "job-1", "--data-centre", "leith"],
                        ["explain", "pairs", "--data-centre", "leith"]):
            run(deployment, *command)
        run(deployment, "config", "change",
            '{"kind": "use_preset", "preset": "ordinary"}',
            "--expected-version", "1", "--request-id", "late", expected=3)
        run(deployment, "job", "cancel", "job-1", "--data-centre", "leith")
        run(deployment, "target", "drain", "target-1")
        run(deployment, "host", "stop", "dundee-2")
        if deployment.hosts["dundee-2"].wait() != 0:
            raise Failed("the host did not stop as planned")


if __name__ == "__main__":
    main()
