#pragma once

#include <cstdint>
#include <type_traits>

#include "bramleypath/codec/Fields.h"
#include "bramleypath/workflow/State.h"
#include "bramleypath/workflow/Types.h"

// Fields of commands and snapshots. Their names are short because the log and
// snapshots are sent to each replica.
namespace bramleypath::workflow {

template <typename Enum, typename Visitor>
void VisitEnum(Visitor& aVisitor, const char* aName, Enum& aValue, Enum aLast) {
  auto number = static_cast<std::uint8_t>(aValue);
  aVisitor.Required(aName, number);
  if (number <= static_cast<std::uint8_t>(aLast)) {
    aValue = static_cast<Enum>(number);
  }
}

// Older replicas reject unknown fields, so that a field added later is written
// only where it says something.
template <typename Visitor, typename T>
void OptionalIf(Visitor& aVisitor, const char* aName, T& aValue, bool aIsSet) {
  if (aIsSet || std::is_same_v<Visitor, codec::Reader>) {
    aVisitor.Optional(aName, aValue);
  }
}

template <typename Visitor>
void VisitResources(Visitor& aVisitor, Resources& aResources) {
  aVisitor.Required("cpu", aResources.processorsMilli);
  aVisitor.Required("mem", aResources.memoryMb);
  aVisitor.Optional("acc", aResources.accelerators);
}

template <typename Visitor>
void VisitFields(Visitor& aVisitor, StageSpec& aStage) {
  aVisitor.Required("n", aStage.tasks);
  VisitResources(aVisitor, aStage.demand);
  aVisitor.Optional("ms", aStage.estimatedMs);
  aVisitor.Optional("after", aStage.after);
  aVisitor.Optional("ckpt", aStage.checkpoints);
  aVisitor.Optional("gang", aStage.gang);
  aVisitor.Optional("srack", aStage.sameRack);
  aVisitor.Optional("label", aStage.requiredLabel);
  aVisitor.Optional("drack", aStage.dataRack);
  aVisitor.Optional("max", aStage.maxPerWorker);
  aVisitor.Optional("dup", aStage.mayDuplicate);
  aVisitor.Optional("last", aStage.longRunning);
  aVisitor.Optional("img", aStage.image);
  aVisitor.Optional("tail", aStage.tailTargetMs);
  aVisitor.Optional("fill", aStage.filler);
  aVisitor.Optional("away", aStage.maxUnavailable);
}

template <typename Visitor>
void VisitFields(Visitor& aVisitor, JobSpec& aSpec) {
  aVisitor.Required("id", aSpec.id);
  aVisitor.Required("q", aSpec.queue);
  aVisitor.Required("text", aSpec.specification);
  aVisitor.Required("stages", aSpec.stages);
  aVisitor.Optional("reps", aSpec.repetitions);
  aVisitor.Optional("first", aSpec.firstRunUnixMs);
  aVisitor.Optional("every", aSpec.intervalMs);
}

template <typename Visitor>
void VisitFields(Visitor& aVisitor, QueueSettings& aQueue) {
  aVisitor.Required("id", aQueue.id);
  aVisitor.Required("host", aQueue.host);
  aVisitor.Required("path", aQueue.pathPrefix);
  aVisitor.Required("service", aQueue.service);
  aVisitor.Optional("prio", aQueue.priority);
  aVisitor.Optional("tries", aQueue.maxAttempts);
  aVisitor.Optional("stretch", aQueue.stretchMilli);
  aVisitor.Optional("target", aQueue.targetMs);
  aVisitor.Optional("ticket", aQueue.needsTicket);
}

template <typename Visitor>
void VisitFields(Visitor& aVisitor, Layout& aLayout) {
  aVisitor.Required("v", aLayout.version);
  aVisitor.Required("queues", aLayout.queues);
  aVisitor.Required("services", aLayout.services);
  aVisitor.Optional("max_job", aLayout.maxJobBytes);
  aVisitor.Required("doc", aLayout.document);
}

template <typename Visitor>
void VisitFields(Visitor& aVisitor, WorkerSpec& aWorker) {
  aVisitor.Required("id", aWorker.id);
  aVisitor.Required("born", aWorker.startedUnixMs);
  aVisitor.Required("addr", aWorker.address);
  aVisitor.Required("service", aWorker.service);
  aVisitor.Required("dc", aWorker.dataCentre);
  aVisitor.Required("rack", aWorker.rack);
  aVisitor.Required("labels", aWorker.labels);
  VisitResources(aVisitor, aWorker.capacity);
  aVisitor.Required("drain", aWorker.draining);
}

template <typename Visitor>
void VisitFields(Visitor& aVisitor, TaskKey& aKey) {
  aVisitor.Required("j", aKey.job);
  aVisitor.Required("k", aKey.occurrence);
  aVisitor.Required("s", aKey.stage);
  aVisitor.Required("i", aKey.index);
}

template <typename Visitor>
void VisitFields(Visitor& aVisitor, PlacedTask& aPlaced) {
  VisitFields(aVisitor, aPlaced.task);
  aVisitor.Required("a", aPlaced.attempt);
  aVisitor.Required("w", aPlaced.worker);
}

template <typename Visitor>
void VisitFields(Visitor& aVisitor, EndedTask& aEnded) {
  VisitFields(aVisitor, aEnded.task);
  aVisitor.Required("a", aEnded.attempt);
  VisitEnum(aVisitor, "how", aEnded.kind, EndKind::NeverRan);
  aVisitor.Optional("c", aEnded.checkpoint);
}

template <typename Visitor>
void VisitFields(Visitor& aVisitor, SetLayout& aCommand) {
  aVisitor.Required("layout", aCommand.layout);
}

template <typename Visitor>
void VisitFields(Visitor& aVisitor, AcceptJob& aCommand) {
  aVisitor.Required("spec", aCommand.spec);
  aVisitor.Required("at", aCommand.acceptedUnixMs);
}

template <typename Visitor>
void VisitFields(Visitor& aVisitor, CancelJob& aCommand) {
  aVisitor.Required("id", aCommand.job);
  OptionalIf(aVisitor, "at", aCommand.proposedUnixMs,
             aCommand.proposedUnixMs != 0);
}

template <typename Visitor>
void VisitFields(Visitor& aVisitor, EarlyCancel& aCancel) {
  aVisitor.Required("id", aCancel.job);
  aVisitor.Required("until", aCancel.untilUnixMs);
}

template <typename Visitor>
void VisitFields(Visitor& aVisitor, TaskAttempt& aAttempt) {
  VisitFields(aVisitor, aAttempt.task);
  aVisitor.Required("a", aAttempt.attempt);
}

template <typename Visitor>
void VisitFields(Visitor& aVisitor, CrashEvidence& aEvidence) {
  OptionalIf(aVisitor, "ran", aEvidence.ran, !aEvidence.ran.empty());
  OptionalIf(aVisitor, "unsent", aEvidence.unsent, !aEvidence.unsent.empty());
}

template <typename Visitor>
void VisitFields(Visitor& aVisitor, RegisterWorker& aCommand) {
  VisitFields(aVisitor, aCommand.worker);
  OptionalIf(aVisitor, "crash", aCommand.evidence,
             aCommand.evidence.has_value());
}

template <typename Visitor>
void VisitFields(Visitor& aVisitor, RemoveWorker& aCommand) {
  aVisitor.Required("w", aCommand.worker);
  OptionalIf(aVisitor, "x", aCommand.hasCrashed, aCommand.hasCrashed);
  OptionalIf(aVisitor, "crash", aCommand.evidence,
             aCommand.evidence.has_value());
}

template <typename Visitor>
void VisitFields(Visitor& aVisitor, LeaveWorker& aCommand) {
  aVisitor.Required("w", aCommand.worker);
}

template <typename Visitor>
void VisitFields(Visitor& aVisitor, PlaceTasks& aCommand) {
  aVisitor.Required("t", aCommand.tasks);
}

template <typename Visitor>
void VisitFields(Visitor& aVisitor, EndTasks& aCommand) {
  aVisitor.Required("t", aCommand.tasks);
  OptionalIf(aVisitor, "ok", aCommand.cleared, !aCommand.cleared.empty());
}

template <typename Visitor>
void VisitFields(Visitor& aVisitor, OpenOccurrence& aCommand) {
  aVisitor.Required("j", aCommand.job);
  aVisitor.Required("k", aCommand.occurrence);
}

template <typename Visitor>
void VisitFields(Visitor& aVisitor, ForgetJobs& aCommand) {
  aVisitor.Required("j", aCommand.jobs);
}

template <typename Visitor>
void VisitFields(Visitor& aVisitor, PermitLeases& aCommand) {
  aVisitor.Required("w", aCommand.workers);
  aVisitor.Required("ms", aCommand.remainingMs);
}

template <typename Visitor>
void VisitFields(Visitor& aVisitor, WorkerLeaseEnd& aEnd) {
  aVisitor.Required("w", aEnd.worker);
  aVisitor.Required("ms", aEnd.remainingMs);
}

template <typename Visitor>
void VisitFields(Visitor& aVisitor, LimitLeases& aCommand) {
  aVisitor.Required("w", aCommand.workers);
}

template <typename Visitor>
void VisitFields(Visitor& aVisitor, SetDrain& aCommand) {
  aVisitor.Required("dc", aCommand.dataCentre);
  aVisitor.Required("on", aCommand.drained);
}

// Types that appear only in snapshots.

template <typename Visitor>
void VisitFields(Visitor& aVisitor, TaskCrash& aCrash) {
  aVisitor.Required("a", aCrash.attempt);
  aVisitor.Required("w", aCrash.worker);
  aVisitor.Required("addr", aCrash.address);
  OptionalIf(aVisitor, "maybe", aCrash.isUnproven, aCrash.isUnproven);
}

template <typename Visitor>
void VisitFields(Visitor& aVisitor, TaskState& aTask) {
  VisitEnum(aVisitor, "p", aTask.phase, TaskPhase::Done);
  aVisitor.Required("f", aTask.failures);
  aVisitor.Required("a", aTask.attempt);
  aVisitor.Required("w", aTask.worker);
  aVisitor.Required("c", aTask.checkpoint);
  aVisitor.Optional("e", aTask.doneByEarlierAttempt);
  aVisitor.Optional("r", aTask.hasWorkerRestarted);
  aVisitor.Optional("fa", aTask.failedAttempts);
  OptionalIf(aVisitor, "cr", aTask.crashes, !aTask.crashes.empty());
}

template <typename Visitor>
void VisitFields(Visitor& aVisitor, StageState& aStage) {
  aVisitor.Required("t", aStage.tasks);
  aVisitor.Required("w", aStage.waiting);
  aVisitor.Required("p", aStage.placed);
  aVisitor.Required("d", aStage.done);
}

template <typename Visitor>
void VisitFields(Visitor& aVisitor, Occurrence& aOccurrence) {
  aVisitor.Required("s", aOccurrence.stages);
  aVisitor.Required("d", aOccurrence.stagesDone);
}

struct NumberedOccurrence {
  std::uint32_t number = 0;
  Occurrence occurrence;
};

template <typename Visitor>
void VisitFields(Visitor& aVisitor, NumberedOccurrence& aNumbered) {
  aVisitor.Required("k", aNumbered.number);
  aVisitor.Required("o", aNumbered.occurrence);
}

template <typename Visitor>
void VisitFields(Visitor& aVisitor, Job& aJob) {
  aVisitor.Required("n", aJob.number);
  aVisitor.Required("id", aJob.id);
  aVisitor.Required("spec", aJob.spec);
  VisitEnum(aVisitor, "p", aJob.phase, JobPhase::Cancelled);
  aVisitor.Required("at", aJob.acceptedUnixMs);
  std::vector<NumberedOccurrence> occurrences;
  for (const auto& [number, occurrence] : aJob.occurrences) {
    occurrences.push_back({number, occurrence});
  }
  aVisitor.Required("occ", occurrences);
  aJob.occurrences.clear();
  for (NumberedOccurrence& one : occurrences) {
    aJob.occurrences.emplace(one.number, std::move(one.occurrence));
  }
  aVisitor.Required("open", aJob.opened);
  aVisitor.Required("fin", aJob.finished);
  aVisitor.Required("run", aJob.placed);
  aVisitor.Required("began", aJob.started);
}

struct NumberedWorker {
  WorkerNumber number = 0;
  WorkerSpec spec;
  std::vector<TaskAttempt> expired;
  bool isLeaving = false;
};

template <typename Visitor>
void VisitFields(Visitor& aVisitor, NumberedWorker& aWorker) {
  aVisitor.Required("n", aWorker.number);
  aVisitor.Required("spec", aWorker.spec);
  OptionalIf(aVisitor, "x", aWorker.expired, !aWorker.expired.empty());
  OptionalIf(aVisitor, "l", aWorker.isLeaving, aWorker.isLeaving);
}

// The parts of State that a snapshot stores; DecodeState derives the rest.
struct StoredState {
  Layout layout;
  std::uint64_t layoutChanges = 0;
  JobNumber lastJob = 0;
  WorkerNumber lastWorker = 0;
  std::vector<Job> jobs;
  std::vector<NumberedWorker> workers;
  std::vector<QueueSettings> queues;
  std::vector<EarlyCancel> earlyCancels;
  std::vector<DataCentreId> drained;
};

template <typename Visitor>
void VisitFields(Visitor& aVisitor, StoredState& aStored) {
  aVisitor.Required("layout", aStored.layout);
  aVisitor.Required("changes", aStored.layoutChanges);
  aVisitor.Required("last_job", aStored.lastJob);
  aVisitor.Required("last_worker", aStored.lastWorker);
  aVisitor.Required("jobs", aStored.jobs);
  aVisitor.Required("workers", aStored.workers);
  aVisitor.Required("queues", aStored.queues);
  OptionalIf(aVisitor, "early", aStored.earlyCancels,
             !aStored.earlyCancels.empty());
  OptionalIf(aVisitor, "drained", aStored.drained, !aStored.drained.empty());
}

}  // namespace bramleypath::workflow
