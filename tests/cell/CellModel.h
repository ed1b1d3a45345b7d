#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "bramleypath/base/Random.h"
#include "bramleypath/cell/CellState.h"
#include "bramleypath/cell/Scheduler.h"
#include "bramleypath/workeragent/WorkerAgent.h"

namespace bramleypath::cell {

// What must hold whatever happens; watches processes and commits only.
struct Oracle {
  std::vector<std::string> violations;
  // Processes by task: at most one at any instant.
  std::map<TaskId, AttemptId> running;
  std::map<WorkerId, Resources> usage;
  std::set<AttemptId> started;
  std::map<AttemptId, WorkerId> committedStarts;
  std::set<TaskId> ended;
  std::set<AttemptId> checkpointed;
  std::map<TaskId, std::string> resumeFrom;
};

// A host of the cell group: scheduler and copy of the state.
struct Replica {
  Scheduler scheduler;
  CellState state;
  std::size_t applied = 0;
  double clockRate = 1;
  bool believesToLead = false;
  bool paused = false;
  // Events that arrived while it was paused.
  std::deque<EventBody> inbox;
};

struct Process {
  std::int64_t endsAt = 0;  // true time, microseconds
  std::int64_t checkpointAt = 0;
  Resources resources;
};

struct Host {
  workeragent::WorkerAgent agent;
  double clockRate = 1;
  std::int64_t clockOffset = 0;
  bool up = true;
  bool failsEverything = false;
  bool cutOff = false;
  // Set: it reaches only this replica, as when a switch is cut off.
  std::optional<std::size_t> onlyReplica;
  std::int64_t nextReport = 0;
  std::map<AttemptId, Process> processes;
};

struct LogEntry {
  std::int64_t commitAt = 0;
  std::size_t proposer = 0;
  std::uint64_t token = 0;
  Command command;
};

enum class FaultKind : std::uint8_t {
  None,
  SubmitJob,
  SubmitUrgent,
  SubmitFailingJob,
  SubmitImpossible,
  CancelHalf,
  CrashWorker,
  ReturnWorkers,
  CutOffWorker,
  MakeWorkerBad,
  ChangeLeader,
  PauseLeader,
  IsolateLeader,
  ResumeReplicas,
  EvictSome,
  ThrottleSome,
  ChangeQuota,
  NetworkGood,
  NetworkBad,
  Last
};

// A fault or request and a number that picks its details.
struct Fault {
  FaultKind kind = FaultKind::None;
  std::uint32_t pick = 0;
};

// Replicas, workers with clocks 1% off, a network and a replicated log, all in
// one thread on true time.
struct CellModel {
  explicit CellModel(std::uint64_t aSeed);

  void Inject(const Fault& aFault);
  void Run(std::int64_t aMicros);
  // Ends all faults but a worker that fails everything, and runs until each
  // job has ended or the time is up.
  bool RunToEnd(std::int64_t aMaxMicros);

  Random random;
  std::int64_t now = 0;
  std::vector<Replica> replicas;
  std::vector<Host> hosts;
  std::size_t leader = 0;
  Epoch epoch = 0;
  std::vector<LogEntry> log;
  std::deque<LogEntry> proposed;
  CellState truth;
  std::multimap<std::int64_t, std::function<void()>> network;
  bool networkBad = true;
  std::set<JobId> failingJobs;
  std::uint32_t submitted = 0;
  Oracle oracle;
  // Mutations: the leader lease is not checked; starts are sent at once.
  bool ignoreLeaderLease = false;
  bool startBeforeCommit = false;

 private:
  std::int64_t Below(std::int64_t aBound);
  void Violate(const std::string& aText);
  TimePoint LocalTime(const Replica& aReplica) const;
  TimePoint LocalTime(const Host& aHost) const;
  void Transmit(const std::function<void()>& aDeliver);
  void Deliver(std::size_t aReplica, const EventBody& aEvent);
  void StepReplica(std::size_t aReplica, const EventBody& aEvent);
  void SendToWorker(std::size_t aReplica, const CommandBatch& aBatch);
  void SendToLeader(std::size_t aHost, bool aAnnounce);
  void CarryOut(Host& aHost, const std::vector<workeragent::Effect>& aEffects,
                bool aOnCommand);
  void StartProcess(Host& aHost, const WorkerCommand& aCommand);
  void EndProcess(Host& aHost, const AttemptId& aAttempt);
  void StepHost(std::size_t aHost);
  void Client(const Command& aCommand);
  void Commit(const LogEntry& aEntry);
  void CheckCommit(const Command& aCommand, const CellState& aBefore);
  void CatchUp(std::size_t aReplica);
  void Resume(std::size_t aReplica);
  void ElectLeader(std::size_t aReplica, bool aTellOld);
  JobSpec MakeJob(std::uint32_t aPick);
  void Mark(AttemptMark aMark, std::uint32_t aPick);
};

}  // namespace bramleypath::cell
