"""Runs a small deployment on loopback under calls, batch jobs and failures.

Prints its progress, tables per client account and class, and a last line with
counts that come from the ledgers of callers, targets and workers only. Exits
with status 1 when a guarantee is broken.
"""

import argparse
import random
import signal
import sys
import threading
import time
from collections import defaultdict
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1] / "standins"))

from caller import Caller  # noqa: E402
from counts import Counts  # noqa: E402
import deployment as deployments  # noqa: E402
from deployment import Deployment, Failed, read_ledger, wait_for  # noqa: E402

SEED = 7
# The minimum number of calls. Some keyed calls are sent twice.
MIN_CALLS = 2400
MAX_CALLS = 20000
CALLERS = 24
# Mean pause of a caller between two calls.
MEAN_PAUSE_S = 0.08
TASKS = 200
TASKS_PER_JOB = 10
CANCELLED_JOBS = 4
CLIENT_ACCOUNTS = ("leith-assay", "dundee-assay")
TASK_MS = 1200
BATCH_DEADLINE_S = 40
# Number of calls sent before each injected failure and before the drain.
STEP_CALLS = 250


def log(started, text):
    print(f"[{time.monotonic() - started:5.1f} s] {text}", flush=True)


def percentile(values, share):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


class Load:
    """Callers in threads, which choose a running entry host for each call."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.caller = Caller(deployment.folder / "caller.ledger")
        self.next_number = 0
        self.lock = threading.Lock()
        # Once set, the callers stop after MIN_CALLS calls.
        self.enough = threading.Event()
        # Once set, the callers stop after their current call.
        self.abandoned = threading.Event()
        self.threads = [threading.Thread(daemon=True, target=self.run, args=(number,))
                        for number in range(CALLERS)]

    def start(self):
        for thread in self.threads:
            thread.start()

    def done(self):
        with self.lock:
            return self.next_number

    def wait_for_more(self, count):
        goal = min(self.done() + count, MAX_CALLS)
        wait_for(f"{goal} calls", lambda: self.done() >= goal)

    def join(self):
        for thread in self.threads:
            thread.join()

    def entries(self, source):
        """Returns the running hosts in random order. Like a load balancer, it
        leaves out hosts that were killed."""
        hosts = [host for host in self.deployment.hosts.values()
                 if host.running()]
        source.shuffle(hosts)
        return hosts

    def run(self, thread):
        source = random.Random(SEED * 1000 + thread)
        while True:
            with self.lock:
                number = self.next_number
                if ((number >= MIN_CALLS and self.enough.is_set())
                        or number >= MAX_CALLS):
                    return
                self.next_number += 1
            self.send_call(source, number)
            if self.abandoned.wait(source.expovariate(1 / MEAN_PAUSE_S)):
                return

    def send_call(self, source, number):
        member = source.choice(CLIENT_ACCOUNTS)
        share = source.random()
        call_class = "check" if source.random() < 0.75 else "recon"
        hosts = self.entries(source)
        body = f"call-{number}-{source.randrange(10**9)}"
        common = {"member": member, "call_class": call_class}
        if share < 0.5:
            self.caller.call(hosts[0].callers, number, body, idempotent=True,
                             **common)
        elif share < 0.75:
            self.caller.call(hosts[0].callers, number, body, idempotent=False,
                             **common)
        elif share < 0.9:
            self.caller.call(hosts[0].callers, number, body, idempotent=False,
                             key=f"key-{number}", **common)
        else:
            # Sends the same keyed call concurrently through two entry hosts.
            second = threading.Thread(daemon=True, target=self.caller.call, args=(
                hosts[1].callers, number, body), kwargs={
                    "idempotent": False, "key": f"key-{number}", **common})
            second.start()
            self.caller.call(hosts[0].callers, number, body, idempotent=False,
                             key=f"key-{number}", **common)
            second.join()


def print_table(counts):
    rows = defaultdict(list)
    for call in counts.calls:
        rows[(call["member"], call["class"])].append(call)
    print(f"\n{'member':<14}{'class':<8}{'calls':>7}{'p50 ms':>9}"
          f"{'p99 ms':>9}{'p99.9 ms':>10}{'refused':>9}{'unknown':>9}")
    for (member, call_class), calls in sorted(rows.items()):
        seconds = [call["seconds"] * 1000 for call in calls
                   if call["outcome"] == "completed"] or [0]
        refused = sum(call["outcome"] == "not_run" for call in calls)
        unknown = sum(call["outcome"] in ("outcome_unknown", "broken")
                      for call in calls)
        print(f"{member:<14}{call_class:<8}{len(calls):>7}"
              f"{percentile(seconds, 0.5):>9.1f}"
              f"{percentile(seconds, 0.99):>9.1f}"
              f"{percentile(seconds, 0.999):>10.1f}"
              f"{refused:>9}{unknown:>9}")
    print(f"\n{'member':<14}{'class':<8}{'attempts':>9}{'evictions':>11}"
          f"{'failures':>10}{'tasks ended':>13}")
    by_member = defaultdict(lambda: [0, 0, 0, 0])
    for (job, _), entries in counts.attempts.items():
        row = by_member[client_account_of(job)]
        row[0] += sum(entry["event"] == "start" for entry in entries)
        row[1] += sum(entry["event"] == "end"
                      and entry["detail"] == "stopped" for entry in entries)
        row[2] += sum(entry["event"] == "end"
                      and entry["detail"] == "failed" for entry in entries)
        row[3] += any(entry["event"] == "end"
                      and entry["detail"] == "finished" for entry in entries)
    for member, row in sorted(by_member.items()):
        print(f"{member:<14}{'batch':<8}{row[0]:>9}{row[1]:>11}{row[2]:>10}"
              f"{row[3]:>13}")
    print()


def client_account_of(job):
    return CLIENT_ACCOUNTS[int(job.split("-")[1]) % len(CLIENT_ACCOUNTS)]


def job_name(number):
    return f"job-{number}"


def submit_jobs(deployment):
    """Returns the names of the jobs by data centre."""
    names = deployment.data_centres()
    jobs = {name: [] for name in names}
    for number in range(TASKS // TASKS_PER_JOB + CANCELLED_JOBS):
        data_centre = names[number % len(names)]
        status, body = deployment.submit(
            job_name(number), data_centre, tasks=TASKS_PER_JOB,
            processors=1000, memory=1000,
            member=client_account_of(job_name(number)),
            checkpointable=True, eviction_budget=10,
            declared_run_ms=TASK_MS)
        if status != 200:
            raise Failed(f"job {number} refused: {status} {body}")
        jobs[data_centre].append(job_name(number))
    return jobs


def submit_urgent(deployment):
    """Submits an urgent job to each data centre, with one task that needs all
    processors of a worker. Returns the job names by data centre."""
    jobs = {}
    for number, data_centre in enumerate(deployment.data_centres()):
        job = f"urgent-{number}"
        status, body = deployment.submit(
            job, data_centre, processors=8000, memory=8000, urgent=True,
            member=client_account_of(job), checkpointable=True,
            eviction_budget=10, declared_run_ms=TASK_MS)
        if status != 200:
            raise Failed(f"urgent job refused: {status} {body}")
        jobs[data_centre] = job
    return jobs


def urgent_starts(deployment):
    return [entry["at"] / 1e6 for worker in deployment.workers.values()
            for entry in read_ledger(worker.ledger)
            if entry["event"] == "start" and entry["job"].startswith("urgent")]


def switch_presets(deployment):
    """Switches the preset three times. In the second switch, two operators send
    changes with the same expected version. Returns the longest time in ms until
    a switch was in force on every host."""
    slowest = 0.0

    def switch(preset, hosts):
        version = deployment.version(hosts[0])
        answers = []

        def send(host, name):
            answers.append(deployment.change(
                {"kind": "use_preset", "preset": name}, host, version))
        started = time.monotonic()
        threads = [threading.Thread(daemon=True, target=send, args=(host, name))
                   for host, name in zip(hosts, preset)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        accepted = [body for status, body in answers if status == 200]
        refused = [body for status, body in answers if status == 409]
        if len(accepted) != 1 or len(refused) != len(hosts) - 1:
            raise Failed(f"racing operators got {answers}")
        deployment.wait_in_force(accepted[0]["version"])
        return time.monotonic() - started

    running = [host for host in deployment.hosts.values() if host.running()]
    for presets in (["peak"], ["maintenance", "ordinary"], ["peak"]):
        slowest = max(slowest, switch(presets, running[:len(presets)]))
    return round(slowest * 1000)


def run(deployment, started):
    deployment.start_hosts()
    deployment.wait_ready()
    log(started, f"{len(deployment.hosts)} entry hosts are ready")
    deployment.configure_default()
    names = deployment.data_centres()
    for number in range(12):
        deployment.add_target(f"target-{number}", names[number % 3],
                              member=CLIENT_ACCOUNTS[number % 2],
                              times="check=4,recon=25")
        deployment.add_worker(f"worker-{number}", names[number % 3],
                              rack=f"rack-{number % 4}", processors=8000,
                              memory=16000, run_ms=TASK_MS,
                              fail=1 if number == 11 else 0)
    for name in deployment.targets:
        deployment.wait_target_seen(name)
    log(started, "12 targets and 12 workers announced themselves; "
        "worker-11 fails everything")

    load = Load(deployment)
    load.start()
    try:
        return run_under_load(deployment, load, started)
    finally:
        load.abandoned.set()


def run_under_load(deployment, load, started):
    jobs = submit_jobs(deployment)
    log(started, f"{sum(map(len, jobs.values()))} jobs of {TASKS_PER_JOB} tasks "
        "accepted")
    # A cell that knows no worker yet accepts any job, since a worker of
    # sufficient size may still announce itself.
    wait_for("the cell of leith starts tasks",
             lambda: any(job["running"] + job["finished"] > 0
                         for job in deployment.jobs("leith").values()))
    status, body = deployment.submit("job-0-never", "leith", processors=64000)
    if status == 200:
        raise Failed("a job that fits on no worker was accepted")
    log(started, f"a job that can never run was refused: {body['detail']}")
    cancelled = [job_name(TASKS // TASKS_PER_JOB + number)
                 for number in range(CANCELLED_JOBS)]
    for data_centre, local in jobs.items():
        wave = [job for job in local if job in cancelled]
        if wave:
            status, body = deployment.any_host().post(
                "/v1/ops/jobs/cancel",
                {"request_id": f"cancel-{data_centre}",
                 "data_centre": data_centre, "jobs": wave})
            if status != 200:
                raise Failed(f"cancellation refused: {status} {body}")
    log(started, f"{len(cancelled)} jobs were cancelled in waves")

    # Urgent jobs are submitted when all workers run batch tasks.
    wait_for("batch tasks run on all workers", lambda: all(
        any(entry["event"] == "start" for entry in read_ledger(worker.ledger))
        for worker in deployment.workers.values()))
    urgent_at = time.time()
    urgent = submit_urgent(deployment)
    wait_for("urgent tasks start", lambda: len(urgent_starts(deployment))
             == len(urgent))
    slowest = max(urgent_starts(deployment)) - urgent_at
    log(started, f"{len(urgent)} urgent tasks that need a whole worker started "
        f"after at most {slowest * 1000:.0f} ms; batch tasks released their resources")

    in_force_ms = switch_presets(deployment)
    log(started, "three presets switched, two operators raced in one; slowest "
        f"in force everywhere after {in_force_ms} ms")

    load.wait_for_more(STEP_CALLS)
    killed = deployment.hosts["leith-2"]
    killed.kill()
    log(started, "entry host leith-2 was killed")
    load.wait_for_more(STEP_CALLS)
    deployment.targets["target-1"].kill()
    log(started, "target-1 was killed")
    load.wait_for_more(STEP_CALLS)
    drain_request = {"request_id": "drain-2",
                     "expected_version": deployment.version(),
                     "draining": True}

    def drain():
        status, body = deployment.any_host().post(
            "/v1/ops/targets/target-2/drain", drain_request)
        return None if status == 503 else (status, body)
    status, body = wait_for("an answer to the drain", drain, interval_s=0.1)
    if status != 200:
        raise Failed(f"drain refused: {status} {body}")
    deployment.wait_in_force(body["version"])
    drained_at = time.time()
    log(started, "target-2 was drained")

    expected = {job: TASKS_PER_JOB for local in jobs.values() for job in local
                if job not in cancelled}
    for data_centre, job in urgent.items():
        jobs[data_centre].append(job)
        expected[job] = 1

    def all_ended():
        for data_centre, local in jobs.items():
            listed = deployment.jobs(data_centre)
            for job in local:
                if job in listed and listed[job]["state"] not in ("Ended",
                                                                  "Cancelled"):
                    return False
        return True
    wait_for("all jobs end", all_ended, BATCH_DEADLINE_S, interval_s=0.2)
    log(started, f"all jobs ended; {load.done()} calls were sent so far")
    load.enough.set()
    load.join()
    load.caller.close()
    log(started, "all calls ended")

    for target in deployment.targets.values():
        if target.running():
            target.signal(signal.SIGTERM)
    for target in deployment.targets.values():
        target.wait()
    for worker in deployment.workers.values():
        worker.signal(signal.SIGTERM)
        worker.wait()
    running = [host for host in deployment.hosts.values() if host.running()]
    for host in running:
        host.signal(signal.SIGTERM)
    for host in running:
        status = host.wait()
        if status != 0:
            raise Failed(f"{host.name} stopped with status {status}")
    log(started, "everything was stopped gracefully")
    return expected, cancelled, in_force_ms, drained_at


def check_drained(deployment, drained_at, counts):
    """Checks that the drained target got no call later than 3 s after the drain
    was in force."""
    late = [entry for entry in read_ledger(deployment.targets["target-2"].ledger)
            if entry["event"] == "run" and entry["at"] / 1e6 > drained_at + 3]
    if late:
        counts.faults.append(f"{len(late)} calls reached the drained target")


def main():
    started = time.monotonic()
    with Deployment({"leith": 3, "paisley": 2, "dundee": 2}) as deployment:
        expected, cancelled, in_force_ms, drained_at = run(deployment, started)
        counts = Counts(deployment, expected, cancelled)
        print_table(counts)
        lost = counts.lost()
        duplicated = counts.duplicated()
        wrong = counts.wrong_answers()
        ended_once = counts.ended_once()
        two_places = counts.two_places()
        overcommitted = counts.overcommitted()
        check_drained(deployment, drained_at, counts)
        tasks = sum(expected.values())
        broken = (lost or duplicated or wrong or two_places or overcommitted
                  or ended_once != tasks or counts.faults)
        for fault in counts.faults[:20]:
            print(f"broken: {fault}")
        print(f"demo: calls={len(counts.calls)} "
              f"completed={counts.count('completed')} "
              f"not_run={counts.count('not_run')} unknown={counts.unknown()} "
              f"lost={lost} duplicated={duplicated} wrong_answer={wrong} "
              f"tasks={tasks} ended_once={ended_once} two_places={two_places} "
              f"overcommitted={overcommitted} preset_in_force_ms={in_force_ms}",
              flush=True)
        if broken:
            raise Failed("a guarantee is broken")


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build-dir", default="build")
    deployments.use_build(parser.parse_args().build_dir)
    try:
        main()
    except Failed as failure:
        print(f"demo failed: {failure}", file=sys.stderr)
        sys.exit(1)
