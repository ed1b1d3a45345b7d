"""Changes the configuration while operators race or resend and hosts are lost.

Guards against: two changes with the same expected version that both succeed, a
resend that is applied twice or gets another answer, a process that a malformed
body ends, a host whose configuration returns to an older version, a host that
returns after 1,000 changes with a different configuration, and a host with an
emptied data folder that votes under its old identity.
"""

import shutil
import sys
import threading
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1] / "standins"))

from deployment import Deployment, Failed, request, wait_for  # noqa: E402

MISSED_CHANGES = 1000
CHANGERS = 8
# Deep enough that a recursive reader or writer overflows its stack.
NESTING = 200000


def racing_operators(deployment):
    for round_number in range(5):
        version = deployment.version()
        answers = []
        hosts = list(deployment.hosts.values())[:4]
        threads = [threading.Thread(daemon=True, target=lambda host=host, name=name:
                   answers.append((name, deployment.change(
                       {"kind": "use_preset", "preset": name}, host, version,
                       request_id=f"race-{round_number}-{host.name}"))))
                   for host, name in zip(hosts, ("peak", "maintenance",
                                                 "ordinary", "peak"))]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        accepted = [(name, body) for name, (status, body) in answers
                    if status == 200]
        refused = [body for _, (status, body) in answers if status == 409]
        if len(accepted) != 1 or len(refused) != len(hosts) - 1:
            raise Failed(f"round {round_number}: {answers}")
        if any(body["code"] != "conflict" or body["version"] != version + 1
               for body in refused):
            raise Failed(f"a conflict without the current version: {refused}")
        deployment.wait_in_force(version + 1)
        preset = deployment.any_host().status()["config"]["preset"]
        if preset != accepted[0][0]:
            raise Failed(f"{preset} is in force, not {accepted[0][0]}")


def resending_operator(deployment):
    """A resend through another host gets the first answer, even after a later
    change."""
    version = deployment.version()
    hosts = list(deployment.hosts.values())
    change = {"kind": "use_preset", "preset": "ordinary"}
    first = deployment.change(change, hosts[0], version, "resend-1")
    deployment.must_change({"kind": "use_preset", "preset": "peak"})
    again = deployment.change(change, hosts[5], version, "resend-1")
    if first != again or first[0] != 200:
        raise Failed(f"first answer {first}, resend {again}")
    reused = deployment.change({"kind": "use_preset", "preset": "maintenance"},
                               hosts[1], version + 2, "resend-1")
    if reused[0] != 409 or reused[1]["code"] != "request_id_reused":
        raise Failed(f"a reused request id got {reused}")
    if deployment.version() != version + 2:
        raise Failed("the resend changed the configuration")


def missed_changes(deployment):
    """A voter that was down during 1,000 changes catches up from a snapshot."""
    stopped = next(deployment.hosts[name] for name in
                deployment.configuration_voters
                if deployment.leader_of("config") is not deployment.hosts[name])
    stopped.kill()
    deployment.wait_leader("config")
    goal = deployment.version() + MISSED_CHANGES
    lock = threading.Lock()

    def change_many(number):
        host = [host for host in deployment.hosts.values()
                if host.running()][number % 4]
        count = 0
        while deployment.version(host) < goal and count < MISSED_CHANGES * 2:
            count += 1
            target = f"target-{number}-{count}"
            with lock:
                deployment.change({"kind": "drain_target", "target": target,
                                   "draining": count % 2 == 1}, host)
    threads = [threading.Thread(daemon=True, target=change_many, args=(number,))
               for number in range(1)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    print(f"version {deployment.version()}", flush=True)
    stopped.start()
    deployment.wait_in_force(goal)
    wait_for(f"{stopped.name} is ready", stopped.is_ready)
    expected = deployment.any_host().get("/v1/ops/config")[1]
    actual = stopped.get("/v1/ops/config")[1]
    if expected["configuration"] != actual["configuration"]:
        raise Failed("the returned host has another configuration")


def emptied_data_folder(deployment):
    """A voter whose data folder was emptied rejoins under a new identity."""
    lost = next(deployment.hosts[name] for name in
                deployment.configuration_voters
                if deployment.leader_of("config") is not deployment.hosts[name])
    lost.kill()
    shutil.rmtree(lost.data_folder)
    lost.start()
    wait_for(f"{lost.name} is ready", lost.is_ready)

    def replaced():
        leader = deployment.leader_of("config")
        voters = next(group["voters"] for group in leader.status()["groups"]
                      if group["group"] == "config")
        identities = [voter for voter in voters
                      if voter.startswith(lost.name + "/")]
        return (len(identities) == 1
                and identities[0] != f"{lost.name}/initial" and identities)
    identity = wait_for("the new identity votes instead of the old", replaced)
    print(f"{lost.name} votes as {identity[0]}", flush=True)
    # A second voter loses its data right after the first was replaced. All
    # committed changes must still be there.
    version = deployment.must_change({"kind": "use_preset",
                                      "preset": "maintenance"})
    second = next(deployment.hosts[name] for name in
                  deployment.configuration_voters
                  if deployment.hosts[name] not in (
                      lost, deployment.leader_of("config")))
    second.kill()
    shutil.rmtree(second.data_folder)
    deployment.wait_leader("config")
    version = deployment.must_change({"kind": "use_preset", "preset": "peak"})
    second.start()
    deployment.wait_in_force(version)


def leader_killed(deployment):
    """No accepted change is lost when the leader is killed."""
    leader = deployment.wait_leader("config")
    version = deployment.must_change({"kind": "use_preset",
                                      "preset": "ordinary"})
    leader.kill()
    deployment.wait_leader("config")
    deployment.wait_in_force(version)
    version = deployment.must_change({"kind": "use_preset", "preset": "peak"})
    leader.start()
    deployment.wait_in_force(version)


def wait_for_cell_leader(host):
    """The host that was killed before may have led the cell group too. Until its
    next leader is known, requests about jobs are answered with 503."""
    def reached():
        status, _, _ = request(host.operators, "POST", "/v1/ops/jobs", b"{}")
        return status != 503
    wait_for(f"{host.name} reaches the leader of its cell group", reached)


def nested_bodies(deployment):
    """A body that nests too deeply is refused and ends no process."""
    nested = "[" * NESTING + "]" * NESTING
    host = deployment.any_host()
    wait_for_cell_leader(host)
    for path in ("/v1/ops/config", "/v1/ops/targets/t1/drain", "/v1/ops/jobs",
                 "/v1/ops/jobs/cancel", "/v1/ops/log-level"):
        for body in (nested, '{"draining": %s, "dry_run": true}' % nested):
            try:
                status, _, _ = request(host.operators, "POST", path,
                                       body.encode())
            except OSError as error:
                raise Failed(f"{path}: no answer: {error}") from error
            if not 400 <= status < 500:
                raise Failed(f"{path}: answered {status}")
    if not host.running():
        raise Failed("the host has ended")


def main():
    with Deployment({"leith": 3, "paisley": 2, "dundee": 2}) as deployment:
        deployment.start_hosts()
        deployment.wait_ready()
        deployment.configure_default()
        for step in (racing_operators, resending_operator, leader_killed,
                     nested_bodies, missed_changes, emptied_data_folder):
            step(deployment)
            print(f"{step.__name__} done", flush=True)


if __name__ == "__main__":
    main()
