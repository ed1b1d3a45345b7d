#pragma once

#include <cstdint>
#include <gsl/span>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "bramleypath/base/TimePoint.h"
#include "bramleypath/cell/Placement.h"
#include "bramleypath/cell/Scheduler.h"
#include "bramleypath/cellplacement/ClassTable.h"
#include "bramleypath/cellplacement/TailBaseline.h"
#include "bramleypath/placement/ChooseWorker.h"
#include "bramleypath/placement/PlacementHistory.h"
#include "bramleypath/placement/SizeCorrection.h"
#include "bramleypath/placement/TailResponse.h"

namespace bramleypath::cellplacement {

struct AdvisorSettings {
  // Maximum number of classes with estimates of their own; 128 classes take
  // 1.2 MB.
  std::size_t maxClasses = 128;
  // A sample taken this soon after a change of the worker's attempts is not
  // used for the interference estimates, since it mixes two compositions.
  Duration settleTime = Seconds(10);
  placement::TailSettings tail;
  placement::SizeCorrectionSettings sizes;
};

// One reported usage sample of an attempt.
struct UsageSample {
  cell::AttemptId attempt;
  std::int64_t processorsMilli = 0;
  std::int64_t memoryMb = 0;
  double p99Micros = 0;  // 0 when no answer was sampled
};

// What the advisor records about one live attempt.
struct AttemptRecord {
  placement::ClassIndex classIndex = 0;
  cell::JobKind kind = cell::JobKind::Batch;
  bool throttled = false;
  std::uint64_t number = 0;  // identifies the attempt to the tail response
  std::uint32_t evictions = 0;
  cell::Resources declared;
  std::int64_t declaredRunMs = 0;
  TimePoint startedAt;
  std::int64_t peakProcessorsMilli = 0;
  std::int64_t peakMemoryMb = 0;
};

struct WorkerRecord {
  std::map<cell::AttemptId, AttemptRecord> attempts;
  placement::Composition batch;
  std::vector<placement::ServiceView> services;
  placement::PlacementHistory history;
  placement::TailResponse response;
};

// The cell leader's estimates of interference: learns them from usage reports,
// chooses workers by them and requests mitigations. Not replicated; a new
// leader starts from the cell's state and learns again.
struct Advisor {
  AdvisorSettings settings;
  // Weights of the preset in force.
  placement::Weights weights;
  // Share of a worker's processors that batch work may reserve, in percent;
  // 0 starts no batch work.
  std::uint32_t batchUtilisationPercent = 100;
  ClassTable classes;
  placement::Interference interference;
  placement::SizeCorrection sizes;
  TailBaseline baseline;
  std::unordered_map<WorkerId, WorkerRecord> workers;
  std::uint64_t lastAttemptNumber = 0;
  // Memory of the largest worker seen; the size correction raises a task to at
  // most half of it.
  std::int64_t largestMemoryMb = 0;
  // Reused between choices, so that a choice allocates nothing per worker.
  std::vector<placement::WorkerView> views;
};

Advisor MakeAdvisor(const AdvisorSettings& aSettings);

// Replaces the records of all workers by those of the state, when leadership is
// gained.
void Rebuild(Advisor& aAdvisor, const cell::CellState& aState, TimePoint aNow);

// Updates the record of one worker from the state, after a start or an end. An
// attempt that has ended is used for the size correction.
void OnWorkerChanged(Advisor& aAdvisor, const cell::CellState& aState,
                     const WorkerId& aWorker, TimePoint aNow);

// Updates the estimates from one worker's report and returns the mitigations
// for the worst tail latency in it.
std::vector<cell::MitigationRequested> OnUsage(
    Advisor& aAdvisor, const WorkerId& aWorker,
    gsl::span<const UsageSample> aSamples, TimePoint aSampledAt,
    TimePoint aNow);

// Returns the function for Scheduler::choose. The advisor must outlive it.
cell::ChooseWorkerFunction MakeChooser(Advisor& aAdvisor);

// Returns the function for Scheduler::sizeTask. The advisor must outlive it.
cell::SizeTaskFunction MakeSizeTaskFunction(Advisor& aAdvisor);

// A pair of interfering classes, as shown to an operator or a client account.
struct PairDescription {
  ClassId victim;
  ClassId aggressor;
  placement::LoadBand band = placement::LoadBand::Low;
  // Factor by which one attempt of the aggressor slows the victim.
  double slowdown = 1;
  // One standard deviation of the logarithm of the slowdown.
  double deviation = 0;
  std::uint32_t samples = 0;
  // Client accounts with running attempts of the aggressor's class at present.
  std::vector<ClientAccountId> clientAccounts;
};

std::vector<PairDescription> DescribeWorstPairs(const Advisor& aAdvisor,
                                                const cell::CellState& aState,
                                                std::size_t aCount);

}  // namespace bramleypath::cellplacement
