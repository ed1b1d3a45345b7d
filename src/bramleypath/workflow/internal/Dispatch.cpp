#include <algorithm>
#include <utility>

#include "bramleypath/workflow/JobOrder.h"
#include "bramleypath/workflow/internal/CandidateHosts.h"
#include "bramleypath/workflow/internal/SchedulerDetail.h"
#include "bramleypath/workflow/internal/Suspects.h"

namespace bramleypath::workflow::detail {

namespace {

// A pass places no fewer tasks than this because of kStartWindow, so that a
// full window does not cost a pass for each answer.
constexpr std::size_t kMinStartRoom = 64;
// Limits on the stages that one pass tries in vain: in the order of the
// ranking, and after those, continuing where the pass before ended, so that no
// stage starves behind others that fit nowhere.
constexpr std::size_t kMaxVainStages = 32;
constexpr std::size_t kMaxVainStagesInTurn = 32;
// Limit on the rated lists of workers that a pass keeps.
constexpr std::size_t kMaxRatedLists = 16;
// Between two surveys, a pass adds only its own placements to the tasks of the
// workers. Their resources are read in each pass.
constexpr Duration kSurveyInterval = Millis(100);
// See HasIdled.
constexpr Duration kMaxIdleTime = Millis(1200);

// The demand of a task that fits on no worker in this pass. Available resources
// only shrink during a pass, so that a task with at least this demand fits on
// none either.
struct UnplaceableDemand {
  ServiceId service;
  bool filler = false;
  bool longRunning = false;  // tried on avoided workers too
  std::string image;         // of a filler
  std::int64_t processorsMilli = 0;
  Resources reserved;
  bool relaxed = false;  // see HasIdled
};

// What a rating of the workers depends on, apart from the limits of one stage.
struct RatingKey {
  ServiceId service;
  std::string requiredLabel;
  RackId dataRack;
  bool relaxed = false;  // see HasIdled
  bool filler = false;
  // Of fillers and serving tasks, which interfere with others.
  std::string image;
  std::int64_t processorsMilli = 0;
  // Of serving tasks, which avoid those of their own job.
  JobNumber job = 0;
};

bool operator==(const RatingKey& aLeft, const RatingKey& aRight) {
  return aLeft.job == aRight.job && aLeft.filler == aRight.filler &&
         aLeft.relaxed == aRight.relaxed &&
         aLeft.processorsMilli == aRight.processorsMilli &&
         aLeft.image == aRight.image && aLeft.service == aRight.service &&
         aLeft.requiredLabel == aRight.requiredLabel &&
         aLeft.dataRack == aRight.dataRack;
}

// The views of the workers for all stages with the same key.
struct RatedHosts {
  RatingKey key;
  StageRating rating;
  std::vector<HostView> views;
  // Entries of PlacementPass::changedHosts that the views include.
  std::size_t changesSeen = 0;
};

struct PlacementPass {
  Scheduler& scheduler;
  const State& state;
  TimePoint now;
  CandidateHosts hosts;
  PlaceTasks places;
  std::optional<RequestTickets> tickets;
  std::vector<UnplaceableDemand> unplaceable;
  bool isLimited = false;  // a stage did not fit into kStartWindow
  std::vector<RatedHosts> rated;
  std::size_t nextRated = 0;  // to be replaced next
  // Workers on which tasks were placed, in that order.
  std::vector<std::size_t> changedHosts;
  std::size_t vainStages = 0;  // examined without placing a task
  SuspectHosts suspectHosts;
};

// Whether the start window has room for so many further placements. A gang
// larger than the window is placed when little else is unstarted.
bool HasStartRoom(const Scheduler& aScheduler, std::size_t aPlacements,
                  std::size_t aWindow = kStartWindow) {
  constexpr std::size_t kLargestGang = kStartWindow - kMinStartRoom;
  return CountUnstarted(aScheduler) + std::min(aPlacements, kLargestGang) <=
         aWindow;
}

// Long-running tasks have a part of the window to themselves.
std::size_t WindowFor(const StageSpec& aStage) {
  constexpr std::size_t kLongRunningRoom = 64;
  return kStartWindow + (aStage.longRunning ? kLongRunningRoom : 0);
}

// Whether a pass may place long-running tasks although the window is full for
// all others. The pass ends at the first stage of another kind, since
// long-running jobs rank first.
bool IsLongRunningPassDue(Scheduler& aScheduler, const State& aState,
                          TimePoint aNow) {
  constexpr Duration kLongRunningPassInterval = Millis(100);
  if (aNow < aScheduler.nextLongRunningPassAt) {
    return false;
  }
  aScheduler.nextLongRunningPassAt = aNow + kLongRunningPassInterval;
  return HasUnplacedLongRunningTask(aScheduler, aState);
}

bool HasLabel(const Worker& aWorker, const std::string& aLabel) {
  const std::vector<std::string>& labels = aWorker.spec.labels;
  return std::find(labels.begin(), labels.end(), aLabel) != labels.end();
}

bool IsSameStage(const TaskKey& aLeft, const TaskKey& aRight) {
  return aLeft.job == aRight.job && aLeft.occurrence == aRight.occurrence &&
         aLeft.stage == aRight.stage;
}

// Calls aVisit for each task of the stage that is placed or whose placement is
// being committed.
template <typename Visit>
void ForEachPlaced(PlacementPass& aPass, const TaskKey& aStage,
                   const StageState& aState, Visit aVisit) {
  for (const TaskState& task : aState.tasks) {
    if (task.phase == TaskPhase::Placed) {
      aVisit(task.worker);
    }
  }
  const auto& pending = aPass.scheduler.pendingPlacements;
  for (auto it = pending.lower_bound(aStage);
       it != pending.end() && IsSameStage(it->first, aStage); ++it) {
    ++aPass.scheduler.work.pendingRead;
    aVisit(it->second.worker);
  }
}

// The number of tasks of the stage on each worker, by the worker's index.
std::vector<std::uint32_t> CountByWorker(PlacementPass& aPass,
                                         const TaskKey& aStage,
                                         const StageState& aState) {
  const std::vector<WorkerNumber>& numbers = aPass.hosts.numbers;
  std::vector<std::uint32_t> counts(numbers.size(), 0);
  ForEachPlaced(aPass, aStage, aState, [&](WorkerNumber aWorker) {
    const auto found =
        std::lower_bound(numbers.begin(), numbers.end(), aWorker);
    if (found != numbers.end() && *found == aWorker) {
      ++counts[static_cast<std::size_t>(found - numbers.begin())];
    }
  });
  return counts;
}

// The rack in which tasks of the stage are placed already; empty if none is.
RackId RackOfStage(PlacementPass& aPass, const TaskKey& aStage,
                   const StageState& aState) {
  RackId rack;
  ForEachPlaced(aPass, aStage, aState, [&](WorkerNumber aWorker) {
    const auto worker = aPass.state.workers.find(aWorker);
    if (rack.empty() && worker != aPass.state.workers.end()) {
      rack = worker->second.spec.rack;
    }
  });
  return rack;
}

// The rack with the most free processors.
RackId RackWithMostFreeProcessors(const PlacementPass& aPass) {
  std::map<RackId, std::int64_t> freeByRack;
  for (std::size_t index = 0; index < aPass.hosts.views.size(); ++index) {
    if (!aPass.hosts.views[index].excluded &&
        !aPass.hosts.views[index].avoided) {
      freeByRack[aPass.hosts.workers[index]->spec.rack] +=
          aPass.hosts.views[index].available.processorsMilli;
    }
  }
  const auto best = std::max_element(freeByRack.begin(), freeByRack.end(),
                                     [](const auto& aLeft, const auto& aRight) {
                                       return aLeft.second < aRight.second;
                                     });
  return best == freeByRack.end() ? RackId() : best->first;
}

RatingKey KeyFor(const Job& aJob, const StageSpec& aSpec,
                 const QueueSettings& aQueue, bool aRelaxed) {
  const bool isServing = !aSpec.filler && aSpec.tailTargetMs > 0;
  RatingKey key;
  key.service = aQueue.service;
  key.requiredLabel = aSpec.requiredLabel;
  key.dataRack = aSpec.dataRack;
  key.filler = aSpec.filler;
  if (aSpec.filler || isServing) {
    key.image = aSpec.image;
    key.processorsMilli = aSpec.demand.processorsMilli;
    key.relaxed = aRelaxed;
    key.job = aSpec.tailTargetMs > 0 ? aJob.number : 0;
  }
  return key;
}

// The view of one worker for the stages with the key of aRated.
HostView RatedView(PlacementPass& aPass, const RatedHosts& aRated,
                   std::size_t aHost) {
  const RatingKey& key = aRated.key;
  HostView view = aPass.hosts.views[aHost];
  const Worker& worker = *aPass.hosts.workers[aHost];
  if (worker.spec.service != key.service ||
      (!key.requiredLabel.empty() && !HasLabel(worker, key.requiredLabel))) {
    view.excluded = true;
  }
  view.isDataRack = key.dataRack.empty() || worker.spec.rack == key.dataRack;
  RateHost(aPass.scheduler, aRated.rating, aPass.hosts.neighbours[aHost], view);
  return view;
}

RatedHosts RateAll(PlacementPass& aPass, const Job& aJob,
                   const StageSpec& aSpec, const RatingKey& aKey) {
  RatedHosts rated;
  rated.key = aKey;
  rated.rating =
      MakeStageRating(aPass.scheduler, aJob.number, aSpec, aKey.relaxed);
  rated.changesSeen = aPass.changedHosts.size();
  rated.views.reserve(aPass.hosts.views.size());
  for (std::size_t host = 0; host < aPass.hosts.views.size(); ++host) {
    rated.views.push_back(RatedView(aPass, rated, host));
  }
  return rated;
}

RatedHosts& StoreRated(PlacementPass& aPass, RatedHosts aRated) {
  if (aPass.rated.size() < kMaxRatedLists) {
    aPass.rated.push_back(std::move(aRated));
    return aPass.rated.back();
  }
  RatedHosts& replaced = aPass.rated[aPass.nextRated++ % kMaxRatedLists];
  replaced = std::move(aRated);
  return replaced;
}

// The rated workers for the stage. All workers are rated once for each key, and
// after that only those on which tasks were placed since.
const RatedHosts& RatedFor(PlacementPass& aPass, const Job& aJob,
                           const StageSpec& aSpec, const RatingKey& aKey) {
  const auto found = std::find_if(
      aPass.rated.begin(), aPass.rated.end(),
      [&](const RatedHosts& aRated) { return aRated.key == aKey; });
  if (found == aPass.rated.end()) {
    return StoreRated(aPass, RateAll(aPass, aJob, aSpec, aKey));
  }
  for (; found->changesSeen < aPass.changedHosts.size(); ++found->changesSeen) {
    const std::size_t host = aPass.changedHosts[found->changesSeen];
    found->views[host] = RatedView(aPass, *found, host);
  }
  return *found;
}

// Excludes the workers with as many tasks of the stage as it allows, and marks
// the rack of the stage's tasks if they must share one.
void ApplyStageLimits(PlacementPass& aPass, const StageSpec& aSpec,
                      const TaskKey& aStage, const StageState& aState,
                      gsl::span<const std::uint32_t> aUsed,
                      gsl::span<HostView> aViews) {
  for (std::size_t host = 0; aSpec.maxPerWorker > 0 && host < aViews.size();
       ++host) {
    aViews[host].excluded =
        aViews[host].excluded || aUsed[host] >= aSpec.maxPerWorker;
  }
  if (!aSpec.sameRack) {
    return;
  }
  RackId stageRack = RackOfStage(aPass, aStage, aState);
  if (stageRack.empty()) {
    stageRack = RackWithMostFreeProcessors(aPass);
  }
  for (std::size_t host = 0; host < aViews.size(); ++host) {
    aViews[host].isStageRack =
        aPass.hosts.workers[host]->spec.rack == stageRack;
  }
}

void Reserve(PlacementPass& aPass, const StageSpec& aSpec, std::size_t aHost,
             const PlacedTask& aPlaced) {
  HostView& view = aPass.hosts.views[aHost];
  const Resources reserved = Reservation(aSpec);
  view.available = view.available - reserved;
  aPass.changedHosts.push_back(aHost);
  Resources& pending = aPass.scheduler.pendingReservations[aPlaced.worker];
  pending = pending + reserved;
  aPass.scheduler.pendingPlacements[aPlaced.task] = aPlaced;
  aPass.scheduler.pendingSince =
      aPass.scheduler.pendingSince.value_or(aPass.now);
  aPass.places.tasks.push_back(aPlaced);
}

void ReserveInViews(Scheduler& aScheduler, const StageRating& aRating,
                    const StageSpec& aSpec, std::size_t aHost,
                    std::uint32_t aUsed, gsl::span<HostView> aViews,
                    gsl::span<Neighbours> aNeighbours) {
  HostView& view = aViews[aHost];
  view.available = view.available - Reservation(aSpec);
  Neighbours& neighbours = aNeighbours[aHost];
  constexpr std::uint32_t kFullPace = 100;
  AddNeighbour(aScheduler, aRating.job, aSpec, neighbours, kFullPace,
               std::nullopt);
  if (aRating.filler) {
    for (ServingTask& serving : neighbours.serving) {
      serving.level += aRating.addedLevels[serving.image];
    }
  }
  RateHost(aScheduler, aRating, neighbours, view);
  if (aSpec.maxPerWorker > 0 && aUsed >= aSpec.maxPerWorker) {
    view.excluded = true;
  }
}

std::vector<TaskKey> WaitingTasks(const PlacementPass& aPass,
                                  const TaskKey& aStage,
                                  const StageState& aState) {
  std::vector<TaskKey> waiting;
  for (std::uint32_t index = 0; index < aState.tasks.size(); ++index) {
    TaskKey key = aStage;
    key.index = index;
    if (aState.tasks[index].phase == TaskPhase::Waiting &&
        aPass.scheduler.pendingPlacements.count(key) == 0) {
      waiting.push_back(key);
    }
  }
  return waiting;
}

TaskView ViewOfTask(const Scheduler& aScheduler, const StageSpec& aSpec) {
  TaskView view;
  view.demand = aSpec.demand;
  view.filler = aSpec.filler;
  view.longRunning = aSpec.longRunning;
  view.farFactor = aScheduler.settings.farFactor;
  return view;
}

AttemptNumber NextAttempt(const StageState& aState, const TaskKey& aKey,
                          bool aGang) {
  AttemptNumber next = aState.tasks[aKey.index].attempt + 1;
  if (aGang) {
    for (const TaskState& task : aState.tasks) {
      next = std::max(next, task.attempt + 1);
    }
  }
  return next;
}

// Whether no task of the job has been placed for kMaxIdleTime although a stage
// could start. Interference limits are relaxed for its fillers, and one of them
// is placed even where it will be slowed.
bool HasIdled(const PlacementPass& aPass, const Job& aJob) {
  const auto idle = aPass.scheduler.idleSince.find(aJob.number);
  return aJob.placed == 0 && idle != aPass.scheduler.idleSince.end() &&
         kMaxIdleTime < aPass.now - idle->second;
}

// Excludes workers without a valid ticket, and prepares a request for more
// tickets.
void RestrictToTicketHolders(PlacementPass& aPass, const Job& aJob,
                             const TaskKey& aStage, std::size_t aWaiting,
                             std::vector<HostView>& aViews) {
  const TicketCache& cache = aPass.scheduler.tickets;
  const Resources reserved = Reservation(aJob.spec.stages[aStage.stage]);
  std::vector<WorkerNumber> candidates;
  for (std::size_t index = 0; index < aViews.size(); ++index) {
    const WorkerNumber number = aPass.hosts.numbers[index];
    if (!aViews[index].excluded && !aViews[index].avoided &&
        Fits(reserved, aViews[index].available)) {
      candidates.push_back(number);
    }
    if (!FindTicket(cache, aStage, number, aPass.now)) {
      aViews[index].excluded = true;
    }
  }
  std::vector<WorkerNumber> toQuery =
      SelectWorkersToQuery(cache, aStage, candidates,
                           static_cast<std::uint32_t>(aWaiting), aPass.now);
  if (toQuery.empty() || aPass.tickets) {
    return;
  }
  RequestTickets request;
  request.stage = aStage;
  request.request.job = aJob.id;
  request.request.occurrence = aStage.occurrence;
  request.request.stage = aStage.stage;
  for (const WorkerNumber number : toQuery) {
    request.request.workers.push_back(aPass.state.workers.at(number).spec.id);
  }
  request.workers = std::move(toQuery);
  aPass.tickets = std::move(request);
}

bool DemandsAtLeast(const StageSpec& aSpec, const QueueSettings& aQueue,
                    bool aRelaxed, const UnplaceableDemand& aUnplaceable) {
  const bool isEasier = (aRelaxed && !aUnplaceable.relaxed) ||
                        (aSpec.longRunning && !aUnplaceable.longRunning);
  return !isEasier && aUnplaceable.service == aQueue.service &&
         aUnplaceable.filler == aSpec.filler &&
         (!aSpec.filler || aUnplaceable.image == aSpec.image) &&
         aSpec.demand.processorsMilli >= aUnplaceable.processorsMilli &&
         Fits(aUnplaceable.reserved, Reservation(aSpec));
}

// Whether an equal or smaller demand has fitted on no worker in this pass.
// Under a backlog this saves rating all workers again for most stages.
bool IsKnownUnplaceable(const PlacementPass& aPass, const QueueSettings& aQueue,
                        const StageSpec& aSpec, bool aRelaxed) {
  return std::any_of(aPass.unplaceable.begin(), aPass.unplaceable.end(),
                     [&](const UnplaceableDemand& aUnplaceable) {
                       return DemandsAtLeast(aSpec, aQueue, aRelaxed,
                                             aUnplaceable);
                     });
}

void RecordUnplaceable(PlacementPass& aPass, const QueueSettings& aQueue,
                       const StageSpec& aSpec, bool aRelaxed) {
  // A stage with special conditions may fit on no worker where others do fit.
  if (aQueue.needsTicket || aSpec.gang || aSpec.maxPerWorker > 0 ||
      !aSpec.requiredLabel.empty()) {
    return;
  }
  aPass.unplaceable.push_back({aQueue.service, aSpec.filler, aSpec.longRunning,
                               aSpec.image, aSpec.demand.processorsMilli,
                               Reservation(aSpec), aRelaxed});
}

// Keeps other suspects off the worker, and other tasks as well if the suspect
// needs it for itself.
void MarkSuspectHost(PlacementPass& aPass, const TaskState& aTask,
                     std::size_t aHost, gsl::span<HostView> aViews) {
  aPass.suspectHosts.occupied[aHost] = true;
  if (NeedsOwnHost(aTask)) {
    aPass.hosts.views[aHost].excluded = true;
    aViews[aHost].excluded = true;
  }
}

// Places the waiting tasks of the stage that fit on a worker; of a gang, all
// tasks or none.
void PlaceStage(PlacementPass& aPass, const Job& aJob, TaskKey aStage,
                const StageState& aState) {
  const StageSpec& spec = aJob.spec.stages[aStage.stage];
  const QueueSettings* const queue = FindQueue(aPass.state, aJob.spec.queue);
  const bool relaxed = HasIdled(aPass, aJob);
  if (!queue || IsKnownUnplaceable(aPass, *queue, spec, relaxed)) {
    return;
  }
  const std::vector<TaskKey> waiting = WaitingTasks(aPass, aStage, aState);
  if (waiting.empty() || (spec.gang && waiting.size() != aState.tasks.size())) {
    return;
  }
  ++aPass.scheduler.work.stagesExamined;
  std::vector<std::uint32_t> used = CountByWorker(aPass, aStage, aState);
  const RatedHosts& rated =
      RatedFor(aPass, aJob, spec, KeyFor(aJob, spec, *queue, relaxed));
  std::vector<HostView> views = rated.views;
  ApplyStageLimits(aPass, spec, aStage, aState, used, views);
  if (queue->needsTicket) {
    RestrictToTicketHolders(aPass, aJob, aStage, waiting.size(), views);
  }
  const TaskView task = ViewOfTask(aPass.scheduler, spec);
  std::vector<std::pair<PlacedTask, std::size_t>> chosen;
  const gsl::span<Neighbours> neighbours = aPass.hosts.neighbours;
  // Restored if not all tasks of a gang can be placed.
  std::vector<std::pair<std::size_t, Neighbours>> before;
  for (const TaskKey& key : waiting) {
    if (!spec.gang &&
        !HasStartRoom(aPass.scheduler, chosen.size() + 1, WindowFor(spec))) {
      aPass.isLimited = true;
      break;
    }
    const TaskState& taskState = aState.tasks[key.index];
    const bool isApart = !spec.gang && !taskState.crashes.empty() &&
                         aPass.suspectHosts.placesApart;
    const auto host =
        isApart ? ChooseHostForSuspect(aPass.scheduler, aPass.hosts,
                                       aPass.suspectHosts, views, task, key,
                                       taskState, aPass.now)
                : ChooseHost(views, task);
    if (!host && isApart) {
      continue;
    }
    if (!host) {
      RecordUnplaceable(aPass, *queue, spec, relaxed);
      break;
    }
    ++used[*host];
    if (spec.gang) {
      before.emplace_back(*host, neighbours[*host]);
    }
    ReserveInViews(aPass.scheduler, rated.rating, spec, *host, used[*host],
                   views, neighbours);
    const PlacedTask placed{key, NextAttempt(aState, key, spec.gang),
                            aPass.hosts.numbers[*host]};
    chosen.emplace_back(placed, *host);
    if (isApart) {
      MarkSuspectHost(aPass, taskState, *host, views);
    }
    if (relaxed && spec.filler) {
      break;
    }
  }
  const bool isComplete = chosen.size() == waiting.size();
  if (spec.gang && isComplete) {
    aPass.isLimited = !HasStartRoom(aPass.scheduler, chosen.size());
  }
  if (spec.gang && (!isComplete || aPass.isLimited)) {
    aPass.vainStages += isComplete ? 0 : 1;
    std::for_each(before.rbegin(), before.rend(), [&](auto& aBefore) {
      neighbours[aBefore.first] = std::move(aBefore.second);
    });
    return;
  }
  aPass.vainStages += chosen.empty() ? 1 : 0;
  for (const auto& [placed, host] : chosen) {
    Reserve(aPass, spec, host, placed);
  }
}

void SurveyIfDue(PlacementPass& aPass) {
  HostSurvey& survey = aPass.scheduler.survey;
  if (aPass.now < survey.nextAt && IsSurveyed(aPass.scheduler, aPass.hosts)) {
    return;
  }
  survey.nextAt = aPass.now + kSurveyInterval;
  SurveyNeighbours(aPass.scheduler, aPass.state, aPass.hosts);
  MeasureCapacity(aPass.scheduler, aPass.state, aPass.hosts,
                  aPass.scheduler.cellLoad);
}

void PlaceJob(PlacementPass& aPass, JobNumber aNumber) {
  const auto found = aPass.state.jobs.find(aNumber);
  if (found == aPass.state.jobs.end() ||
      found->second.phase != JobPhase::Active) {
    return;
  }
  const Job& job = found->second;
  for (const auto& [number, occurrence] : job.occurrences) {
    for (std::uint32_t stage = 0; stage < occurrence.stages.size(); ++stage) {
      if (occurrence.stages[stage].waiting > 0 &&
          IsStageOpen(job, occurrence, stage)) {
        PlaceStage(aPass, job, {job.number, number, stage, 0},
                   occurrence.stages[stage]);
      }
    }
  }
}

// Places tasks of the ranked jobs from aFirst on, until the start window is
// full or the pass has tried aMaxVain stages in vain. Returns the index of the
// first job that was not reached.
std::size_t PlaceFrom(PlacementPass& aPass, std::size_t aFirst,
                      std::size_t aMaxVain) {
  const std::vector<RankedJob>& jobs = aPass.scheduler.ranking.jobs;
  std::size_t index = aFirst;
  while (index < jobs.size() && aPass.vainStages < aMaxVain &&
         !aPass.isLimited) {
    PlaceJob(aPass, jobs[index++].number);
  }
  return index;
}

// Places tasks in the order of the ranking. Once too many stages were tried in
// vain, continues with the jobs that the pass before did not reach.
void PlaceInOrder(PlacementPass& aPass) {
  Scheduler& scheduler = aPass.scheduler;
  const std::size_t reached = PlaceFrom(aPass, 0, kMaxVainStages);
  const std::size_t turn =
      PlaceFrom(aPass, std::max(reached, scheduler.nextJobInTurn),
                kMaxVainStages + kMaxVainStagesInTurn);
  const bool isComplete = turn >= scheduler.ranking.jobs.size();
  scheduler.nextJobInTurn = isComplete ? 0 : turn;
  // With a full window, the next answer of a start asks for a pass.
  if (!isComplete && !aPass.isLimited) {
    scheduler.dispatchWanted = true;
  }
}

}  // namespace

void Dispatch(Scheduler& aScheduler, const State& aState, TimePoint aNow,
              std::int64_t aUnixMs, SchedulerActions& aActions) {
  aScheduler.isStartWindowFull = !HasStartRoom(aScheduler, kMinStartRoom);
  if (aScheduler.isStartWindowFull &&
      !IsLongRunningPassDue(aScheduler, aState, aNow)) {
    return;
  }
  ++aScheduler.work.passes;
  PlacementPass pass{
      aScheduler, aState,
      aNow,       CollectCandidateHosts(aScheduler, aState, aNow),
      {},         std::nullopt,
      {},         false,
      {},         0,
      {},         0,
      {}};
  pass.suspectHosts = CollectSuspectHosts(aScheduler, aState, pass.hosts);
  SurveyIfDue(pass);
  RankJobs(aScheduler, aState, aNow, aUnixMs);
  PlaceInOrder(pass);
  aScheduler.isStartWindowFull = pass.isLimited;
  if (pass.tickets) {
    aScheduler.tickets.requestInFlight = true;
    aActions.push_back(std::move(*pass.tickets));
  }
  if (!pass.places.tasks.empty()) {
    Commit commit;
    commit.commands.emplace_back(std::move(pass.places));
    aActions.push_back(std::move(commit));
  }
}

}  // namespace bramleypath::workflow::detail
