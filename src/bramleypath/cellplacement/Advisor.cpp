#include "bramleypath/cellplacement/Advisor.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace bramleypath::cellplacement {

namespace {

// Cost of a stop in addition to the work since the last checkpoint.
constexpr double kRestartSeconds = 20;
constexpr double kMicrosPerSecond = 1e6;
constexpr double kMillisPerSecond = 1e3;
constexpr std::int64_t kFullPercent = 100;

double SecondsBetween(TimePoint aFrom, TimePoint aTo) {
  return static_cast<double>((aTo - aFrom).micros) / kMicrosPerSecond;
}

double CompositionWeight(const AttemptRecord& aAttempt,
                         const placement::TailSettings& aSettings) {
  return aAttempt.throttled ? aSettings.throttleShare : 1;
}

// Returns the last load of the service class; it is kept when the other
// attempts on the worker change.
double LastLoad(const WorkerRecord& aRecord, placement::ClassIndex aClass) {
  for (const placement::ServiceView& service : aRecord.services) {
    if (service.classIndex == aClass) {
      return service.load;
    }
  }
  return 0;
}

void RefreshViews(Advisor& aAdvisor, WorkerRecord& aRecord, TimePoint aNow) {
  placement::Composition batch;
  std::vector<placement::ServiceView> services;
  for (const auto& [id, attempt] : aRecord.attempts) {
    if (attempt.kind == cell::JobKind::Service) {
      services.push_back(
          {attempt.classIndex, LastLoad(aRecord, attempt.classIndex)});
    } else {
      placement::AddToComposition(
          batch, attempt.classIndex,
          CompositionWeight(attempt, aAdvisor.settings.tail));
    }
  }
  aRecord.services = std::move(services);
  aRecord.batch = batch;
  placement::RecordComposition(aRecord.history, std::move(batch), aNow);
}

double RatioOf(std::int64_t aUsed, std::int64_t aDeclared) {
  return aDeclared > 0
             ? static_cast<double>(aUsed) / static_cast<double>(aDeclared)
             : 1;
}

void ObserveSizes(Advisor& aAdvisor, const AttemptRecord& aAttempt,
                  TimePoint aNow) {
  const bool sampled = aAttempt.peakProcessorsMilli > 0;
  if (aAttempt.kind == cell::JobKind::Service || !sampled) {
    return;
  }
  placement::CorrectionFactors ratios;
  ratios.processors =
      RatioOf(aAttempt.peakProcessorsMilli, aAttempt.declared.processorsMilli);
  ratios.memory = RatioOf(aAttempt.peakMemoryMb, aAttempt.declared.memoryMb);
  if (aAttempt.declaredRunMs > 0) {
    ratios.runTime = SecondsBetween(aAttempt.startedAt, aNow) *
                     kMillisPerSecond /
                     static_cast<double>(aAttempt.declaredRunMs);
  }
  placement::ObserveAttempt(aAdvisor.sizes, aAttempt.classIndex, ratios);
}

AttemptRecord RecordOf(Advisor& aAdvisor, const cell::CellState& aState,
                       const cell::AttemptId& aId,
                       const cell::Resources& aReserved, TimePoint aNow) {
  AttemptRecord record;
  record.declared = aReserved;
  record.startedAt = aNow;
  record.number = ++aAdvisor.lastAttemptNumber;
  const cell::Job* const job = cell::FindJob(aState, aId.task.job);
  if (job != nullptr) {
    record.classIndex = IndexOf(aAdvisor.classes, job->spec.classId);
    record.kind = job->spec.kind;
    record.declared = job->spec.perTask;
    record.declaredRunMs = job->spec.declaredRunMs;
    record.evictions = job->evictionsUsed;
  }
  return record;
}

void UpdatePeakUsage(WorkerRecord& aRecord, const UsageSample& aSample) {
  const auto found = aRecord.attempts.find(aSample.attempt);
  if (found == aRecord.attempts.end()) {
    return;
  }
  AttemptRecord& attempt = found->second;
  attempt.peakProcessorsMilli =
      std::max(attempt.peakProcessorsMilli, aSample.processorsMilli);
  attempt.peakMemoryMb = std::max(attempt.peakMemoryMb, aSample.memoryMb);
}

std::vector<placement::AttemptView> BatchViews(const WorkerRecord& aRecord,
                                               TimePoint aNow) {
  std::vector<placement::AttemptView> views;
  for (const auto& [id, attempt] : aRecord.attempts) {
    if (attempt.kind == cell::JobKind::Service) {
      continue;
    }
    placement::AttemptView view;
    view.attempt = attempt.number;
    view.classIndex = attempt.classIndex;
    view.throttled = attempt.throttled;
    // A checkpoint is taken before the stop, so the work since the start is
    // lost only in part; a tenth of it stands for taking and loading the
    // checkpoint.
    view.lostSeconds =
        kRestartSeconds + SecondsBetween(attempt.startedAt, aNow) / 10;
    view.evictions = attempt.evictions;
    views.push_back(view);
  }
  return views;
}

std::optional<cell::MitigationRequested> ToMitigationRequest(
    WorkerRecord& aRecord, const placement::Mitigation& aStep) {
  for (auto& [id, attempt] : aRecord.attempts) {
    if (attempt.number != aStep.attempt) {
      continue;
    }
    switch (aStep.kind) {
      case placement::MitigationKind::Throttle:
        attempt.throttled = true;
        return cell::MitigationRequested{id.task, cell::AttemptMark::Throttle};
      case placement::MitigationKind::Unthrottle:
        attempt.throttled = false;
        return cell::MitigationRequested{id.task,
                                         cell::AttemptMark::Unthrottle};
      case placement::MitigationKind::Evict:
        return cell::MitigationRequested{id.task, cell::AttemptMark::Evict};
      case placement::MitigationKind::StopAdmission:
      case placement::MitigationKind::ResumeAdmission:
        return std::nullopt;
    }
  }
  return std::nullopt;
}

void SetLoad(WorkerRecord& aRecord, placement::ClassIndex aClass,
             double aLoad) {
  for (placement::ServiceView& service : aRecord.services) {
    if (service.classIndex == aClass) {
      service.load = aLoad;
    }
  }
}

// Updates the estimates from one sample of a service. Returns its tail latency
// as a report once the class has a baseline.
std::optional<placement::TailReport> ObserveTail(Advisor& aAdvisor,
                                                 WorkerRecord& aRecord,
                                                 const UsageSample& aSample,
                                                 TimePoint aSampledAt) {
  const auto found = aRecord.attempts.find(aSample.attempt);
  if (found == aRecord.attempts.end() || aSample.p99Micros <= 0 ||
      found->second.kind != cell::JobKind::Service) {
    return std::nullopt;
  }
  const AttemptRecord& attempt = found->second;
  const double load = std::clamp(
      RatioOf(aSample.processorsMilli, attempt.declared.processorsMilli), 0.0,
      1.0);
  const placement::LoadBand band = placement::BandOf(load);
  SetLoad(aRecord, attempt.classIndex, load);
  AddTailSample(aAdvisor.baseline, attempt.classIndex, band, aSample.p99Micros);
  const auto slowdown = SlowdownOf(aAdvisor.baseline, attempt.classIndex, band,
                                   aSample.p99Micros);
  if (!slowdown) {
    return std::nullopt;
  }
  const auto neighbours = placement::CompositionAt(
      aRecord.history, aSampledAt, aAdvisor.settings.settleTime);
  if (neighbours) {
    placement::Observe(aAdvisor.interference, attempt.classIndex, *neighbours,
                       band, std::log(*slowdown));
  }
  placement::TailReport report;
  report.service = attempt.classIndex;
  report.load = load;
  report.slowdown = *slowdown;
  report.sampledAt = aSampledAt;
  return report;
}

cell::WaitReason ToWaitReason(placement::NoWorkerReason aReason) {
  switch (aReason) {
    case placement::NoWorkerReason::NoSuchWorker:
      return cell::WaitReason::NoWorkerLargeEnough;
    case placement::NoWorkerReason::InsufficientResources:
      return cell::WaitReason::InsufficientResources;
    case placement::NoWorkerReason::WouldDegradeService:
      return cell::WaitReason::WouldDegradeService;
    case placement::NoWorkerReason::Excluded:
      return cell::WaitReason::WorkersExcluded;
  }
  return cell::WaitReason::InsufficientResources;
}

// Subtracts the processors that the preset keeps free of batch work.
void LimitBatchResources(const Advisor& aAdvisor,
                         placement::WorkerView& aView) {
  const auto allowed =
      static_cast<std::int64_t>(aAdvisor.batchUtilisationPercent);
  aView.available.processorsMilli -=
      aView.capacity.processorsMilli * (kFullPercent - allowed) / kFullPercent;
}

void FillView(const Advisor& aAdvisor, const cell::WorkerCandidate& aCandidate,
              gsl::span<const WorkerId> aAvoided,
              placement::WorkerView& aView) {
  aView.capacity = aCandidate.capacity;
  aView.available = aCandidate.available;
  aView.rack = aCandidate.rack;
  aView.excluded =
      aCandidate.excluded || std::find(aAvoided.begin(), aAvoided.end(),
                                       aCandidate.worker) != aAvoided.end();
  aView.admissionStopped = false;
  aView.services.clear();
  aView.batch.classes.clear();
  const auto found = aAdvisor.workers.find(aCandidate.worker);
  if (found == aAdvisor.workers.end()) {
    return;
  }
  aView.admissionStopped = found->second.response.admissionStopped;
  aView.services.assign(found->second.services.begin(),
                        found->second.services.end());
  aView.batch.classes.assign(found->second.batch.classes.begin(),
                             found->second.batch.classes.end());
}

std::optional<std::size_t> Choose(
    Advisor& aAdvisor, gsl::span<const cell::WorkerCandidate> aCandidates,
    const cell::PlacementRequest& aRequest, gsl::span<const WorkerId> aAvoided,
    cell::WaitReason& aReason) {
  aAdvisor.views.resize(aCandidates.size());
  for (std::size_t index = 0; index < aCandidates.size(); ++index) {
    FillView(aAdvisor, aCandidates[index], aAvoided, aAdvisor.views[index]);
    aAdvisor.largestMemoryMb = std::max(aAdvisor.largestMemoryMb,
                                        aCandidates[index].capacity.memoryMb);
  }
  const cell::JobSpec& job = *aRequest.job;
  const bool limited = job.kind == cell::JobKind::Batch && !job.urgent &&
                       aAdvisor.batchUtilisationPercent < kFullPercent;
  if (limited) {
    for (placement::WorkerView& view : aAdvisor.views) {
      LimitBatchResources(aAdvisor, view);
    }
  }
  placement::TaskRequest task;
  task.demand = aRequest.demand;
  task.classIndex = IndexOf(aAdvisor.classes, job.classId);
  task.isService = job.kind == cell::JobKind::Service;
  task.urgent = job.urgent;
  task.spreadRacks = job.rackSpread;
  task.usedRacks = aRequest.usedRacks;
  task.waitedSeconds =
      static_cast<double>(aRequest.waited.micros) / kMicrosPerSecond;
  placement::NoWorkerReason reason = placement::NoWorkerReason::NoSuchWorker;
  const auto choice = placement::ChooseWorker(
      aAdvisor.views, aAdvisor.interference, task, aAdvisor.weights, reason);
  if (choice) {
    return choice->worker;
  }
  aReason = ToWaitReason(reason);
  // After InsufficientResources, the placement pass would also skip urgent work
  // and services, which the preset does not limit.
  if (limited && aReason == cell::WaitReason::InsufficientResources) {
    aReason = cell::WaitReason::PresetLimit;
  }
  return std::nullopt;
}

std::vector<ClientAccountId> ClientAccountsOf(const Advisor& aAdvisor,
                                              const cell::CellState& aState,
                                              placement::ClassIndex aClass) {
  std::set<ClientAccountId> clientAccounts;
  for (const auto& [worker, record] : aAdvisor.workers) {
    for (const auto& [id, attempt] : record.attempts) {
      if (attempt.classIndex != aClass) {
        continue;
      }
      const cell::Job* const job = cell::FindJob(aState, id.task.job);
      if (job != nullptr) {
        clientAccounts.insert(job->spec.clientAccount);
      }
    }
  }
  return {clientAccounts.begin(), clientAccounts.end()};
}

}  // namespace

Advisor MakeAdvisor(const AdvisorSettings& aSettings) {
  Advisor advisor;
  advisor.settings = aSettings;
  advisor.classes.maxClasses = aSettings.maxClasses;
  placement::InterferenceSettings interference;
  interference.maxClasses = aSettings.maxClasses;
  advisor.interference =
      placement::MakeInterference(aSettings.maxClasses, interference);
  advisor.sizes =
      placement::MakeSizeCorrection(aSettings.maxClasses, aSettings.sizes);
  return advisor;
}

void Rebuild(Advisor& aAdvisor, const cell::CellState& aState, TimePoint aNow) {
  aAdvisor.workers.clear();
  for (const auto& [id, worker] : aState.workers) {
    OnWorkerChanged(aAdvisor, aState, id, aNow);
  }
}

void OnWorkerChanged(Advisor& aAdvisor, const cell::CellState& aState,
                     const WorkerId& aWorker, TimePoint aNow) {
  const cell::Worker* const worker = cell::FindWorker(aState, aWorker);
  if (worker == nullptr) {
    aAdvisor.workers.erase(aWorker);
    return;
  }
  WorkerRecord& record = aAdvisor.workers[aWorker];
  for (auto entry = record.attempts.begin(); entry != record.attempts.end();) {
    if (worker->reservations.count(entry->first) != 0) {
      ++entry;
      continue;
    }
    ObserveSizes(aAdvisor, entry->second, aNow);
    entry = record.attempts.erase(entry);
  }
  for (const auto& [id, reserved] : worker->reservations) {
    if (record.attempts.count(id) == 0) {
      record.attempts.emplace(id,
                              RecordOf(aAdvisor, aState, id, reserved, aNow));
    }
  }
  RefreshViews(aAdvisor, record, aNow);
}

std::vector<cell::MitigationRequested> OnUsage(
    Advisor& aAdvisor, const WorkerId& aWorker,
    gsl::span<const UsageSample> aSamples, TimePoint aSampledAt,
    TimePoint aNow) {
  std::vector<cell::MitigationRequested> requests;
  const auto found = aAdvisor.workers.find(aWorker);
  if (found == aAdvisor.workers.end()) {
    return requests;
  }
  WorkerRecord& record = found->second;
  std::optional<placement::TailReport> worst;
  for (const UsageSample& sample : aSamples) {
    UpdatePeakUsage(record, sample);
    const auto report = ObserveTail(aAdvisor, record, sample, aSampledAt);
    if (report && (!worst || report->slowdown > worst->slowdown)) {
      worst = report;
    }
  }
  if (!worst) {
    return requests;
  }
  const auto steps = placement::RespondToTail(
      record.response, aAdvisor.settings.tail, aAdvisor.interference, *worst,
      BatchViews(record, aNow), aNow);
  for (const placement::Mitigation& step : steps) {
    auto request = ToMitigationRequest(record, step);
    if (request) {
      requests.push_back(std::move(*request));
    }
  }
  if (!requests.empty()) {
    RefreshViews(aAdvisor, record, aNow);
  }
  return requests;
}

cell::ChooseWorkerFunction MakeChooser(Advisor& aAdvisor) {
  return [&aAdvisor](gsl::span<const cell::WorkerCandidate> aCandidates,
                     const cell::PlacementRequest& aRequest,
                     cell::WaitReason& aReason) {
    const auto choice =
        Choose(aAdvisor, aCandidates, aRequest, aRequest.avoided, aReason);
    if (choice || aRequest.avoided.empty()) {
      return choice;
    }
    // A worker on which the task failed is better than none.
    return Choose(aAdvisor, aCandidates, aRequest, {}, aReason);
  };
}

cell::SizeTaskFunction MakeSizeTaskFunction(Advisor& aAdvisor) {
  return [&aAdvisor](const cell::JobSpec& aJob) {
    const placement::CorrectionFactors factors = placement::FactorsFor(
        aAdvisor.sizes, IndexOf(aAdvisor.classes, aJob.classId));
    const auto scale = [](std::int64_t aAmount, double aFactor) {
      return static_cast<std::int64_t>(
          std::ceil(static_cast<double>(aAmount) * aFactor));
    };
    cell::Resources sized = aJob.perTask;
    sized.processorsMilli = scale(sized.processorsMilli, factors.processors);
    // A correction must not make a task too large for every worker.
    const std::int64_t limit =
        std::max(aJob.perTask.memoryMb, aAdvisor.largestMemoryMb / 2);
    sized.memoryMb = std::min(limit, scale(sized.memoryMb, factors.memory));
    return sized;
  };
}

std::vector<PairDescription> DescribeWorstPairs(const Advisor& aAdvisor,
                                                const cell::CellState& aState,
                                                std::size_t aCount) {
  std::vector<PairDescription> pairs;
  for (const placement::PairReport& report :
       placement::WorstPairs(aAdvisor.interference, aCount)) {
    const auto victim = NameOf(aAdvisor.classes, report.victim);
    const auto aggressor = NameOf(aAdvisor.classes, report.aggressor);
    if (!victim || !aggressor) {
      continue;
    }
    PairDescription pair;
    pair.victim = *victim;
    pair.aggressor = *aggressor;
    pair.band = report.band;
    pair.slowdown = std::exp(report.estimate.mean);
    pair.deviation = std::sqrt(report.estimate.variance);
    pair.samples = report.estimate.samples;
    pair.clientAccounts = ClientAccountsOf(aAdvisor, aState, report.aggressor);
    pairs.push_back(std::move(pair));
  }
  return pairs;
}

}  // namespace bramleypath::cellplacement
