#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <ctime>
#include <string>
#include <vector>

#include "bramleypath/workflow/Admission.h"
#include "bramleypath/workflow/BacklogAhead.h"
#include "bramleypath/workflow/JobOrder.h"
#include "bramleypath/workflow/Promises.h"
#include "bramleypath/workflow/Refusals.h"

// Plays loads on a model of a cell without a network, with the decisions of
// commit ab62777 and with those of this tree, and prints what callers get by
// kind and size. Also measures an admission decision and the ranking of 3,000
// jobs. In the model, a class of work has a number of places, a place runs one
// task at a time, and fillers run slower than their callers estimate.
namespace bramleypath::workflow {
namespace {

constexpr double kStepMs = 20;
constexpr double kLoadMs = 60000;
constexpr double kEndMs = 180000;
constexpr double kUsefulObjectives = 3;
constexpr double kUsableShare = 0.9;
constexpr int kStages = 2;
constexpr int kMaxAttempts = 5;  // of a caller

struct Kind {
  const char* name;
  std::uint32_t level;
  bool filler;
  int places;  // at full capacity
  int tasks;   // of a stage
  double processorsMilli;
  double runMs;
  double stretch;
  double targetMs;
  double perSecond;
  double slowdown;  // actual over true run time alone
};

const Kind kKinds[] = {
    {"small", 0, false, 620, 8, 7500, 590, 1.5, 275, 16, 1},
    {"wide", 2, true, 1180, 20, 7000, 2000, 2, 1000, 10, 1.35},
};
constexpr std::size_t kKindCount = 2;

// What changes for a time: arrivals of the kind, and the share of its places.
struct Load {
  const char* name;
  double arrivals;
  double fromMs;
  double untilMs;
  double placesShare;
};

const Load kLoads[] = {
    {"nothing short", 0.5, 0, kLoadMs, 1},
    {"burst of 2.6 for 4 s", 2.6, 20000, 24000, 1},
    {"burst of 2 for 7 s", 2, 20000, 27000, 1},
    {"wave of 0.55 in one of three data centres", 1 + 0.55 / 3, 10000, 50000,
     1},
    {"a seventh of the workers fails", 1, 15000, 45000, 6.0 / 7},
    {"steady overload of 1.5", 1.5, 0, kLoadMs, 1},
};

struct Job {
  std::size_t kind = 0;
  double atMs = 0;  // first attempt
  double sizeFactor = 1;
  double estimateFactor = 1;
  int tasks = 0;
  int attempts = 0;
  double nextAttemptMs = 0;
  bool accepted = false;
  bool done = false;
  bool givenUp = false;
  double acceptedMs = 0;
  double firstPlacedMs = -1;
  double endMs = 0;
  int stage = 0;
  int waiting = 0;
  std::vector<double> runningUntil;

  double TrueRunMs() const {
    return kKinds[this->kind].runMs * this->sizeFactor;
  }
  double EstimatedRunMs() const {
    return this->TrueRunMs() * this->estimateFactor;
  }
  double ChainMs() const { return kStages * this->EstimatedRunMs(); }
  double Objective(double aRunMs) const {
    const Kind& kind = kKinds[this->kind];
    return kind.stretch * kStages * aRunMs + kind.targetMs;
  }
  double StageWork() const {
    return this->tasks * kKinds[this->kind].processorsMilli *
           this->EstimatedRunMs();
  }
};

// The decisions of ab62777, kept here as the baseline.
namespace baseline {

double StartRank(const WaitingJob& aJob) {
  constexpr double kGroupOffset = 1e12;
  const double endMs = aJob.ageMs + aJob.remainingMs;
  const double slackMs = aJob.objectiveMs - endMs;
  if (slackMs >= 0) {
    return slackMs;
  }
  const double usefulMs = aJob.objectiveMs * kUsefulObjectives - endMs;
  return usefulMs >= 0 ? kGroupOffset + usefulMs
                       : 2 * kGroupOffset - aJob.ageMs;
}

AdmissionDecision Decide(const AdmissionView& aView, Random& aRandom) {
  AdmissionDecision decision;
  const double rate = aView.capacityMilli * kUsableShare;
  decision.expectedMs =
      (aView.classWork + aView.jobWork) / rate + aView.chainMs;
  const double usefulMs = aView.objectiveMs * kUsefulObjectives;
  decision.accepted = decision.expectedMs <= usefulMs;
  const double excess = (decision.expectedMs - usefulMs) / 1000;
  decision.retryAfterSeconds = static_cast<std::uint32_t>(
      std::ceil(std::clamp(excess * (0.5 + NextUnit(aRandom)), 1.0, 8.0)));
  return decision;
}

}  // namespace baseline

std::vector<Job> MakeArrivals(const Load& aLoad) {
  Random random{7};
  std::vector<Job> jobs;
  for (std::size_t kind = 0; kind < kKindCount; ++kind) {
    double nowMs = 0;
    while (nowMs < kLoadMs) {
      const bool isLoaded = nowMs >= aLoad.fromMs && nowMs < aLoad.untilMs;
      const double rate =
          kKinds[kind].perSecond * (isLoaded ? aLoad.arrivals : 1);
      nowMs += -std::log(1 - NextUnit(random)) * 1000 / rate;
      Job job;
      job.kind = kind;
      job.atMs = nowMs;
      job.nextAttemptMs = nowMs;
      job.sizeFactor = 0.6 + 0.9 * NextUnit(random);
      job.estimateFactor = std::exp2(2 * NextUnit(random) - 1);
      job.tasks = std::max(1, static_cast<int>(kKinds[kind].tasks *
                                               (0.4 + 1.2 * NextUnit(random))));
      jobs.push_back(job);
    }
  }
  return jobs;
}

struct Replay {
  const Load& load;
  bool isNew;
  std::vector<Job> jobs;
  Random random{1};
  ClassOrder orders[kKindCount];
  BacklogAhead backlogs[kKindCount];
  double work[kKindCount] = {0, 0};
  ChainFactor factors[kKindCount];
  std::vector<std::size_t> active[kKindCount];

  Replay(const Load& aLoad, bool aIsNew)
      : load(aLoad), isNew(aIsNew), jobs(MakeArrivals(aLoad)) {}

  double Factor(std::size_t aKind) const {
    return this->isNew ? FactorOf(this->factors[aKind]) : 1;
  }

  WaitingJob ViewOf(const Job& aJob, double aNowMs) const {
    WaitingJob view;
    view.level = kKinds[aJob.kind].level;
    view.ageMs = aNowMs - (this->isNew ? aJob.atMs : aJob.acceptedMs);
    view.objectiveMs = aJob.Objective(aJob.EstimatedRunMs());
    view.remainingMs = (kStages - aJob.stage) * aJob.EstimatedRunMs() *
                       this->Factor(aJob.kind);
    return view;
  }

  static bool IsHeld(const Job& aJob, double aNowMs) {
    return aJob.firstPlacedMs < 0 &&
           aNowMs - aJob.acceptedMs > static_cast<double>(ToMillis(kHeldTime));
  }

  OrderedWork WorkOf(const Job& aJob) const {
    const double task = aJob.StageWork() / aJob.tasks;
    OrderedWork work;
    work.placed = static_cast<double>(aJob.runningUntil.size()) / 2 * task;
    work.waiting =
        aJob.waiting * task + (kStages - 1 - aJob.stage) * aJob.StageWork();
    return work;
  }

  void Rank(std::size_t aKind, double aNowMs) {
    std::vector<std::pair<OrderedWork, std::size_t>> ranked;
    ClassOrder measured;
    this->work[aKind] = 0;
    for (const std::size_t index : this->active[aKind]) {
      WaitingJob view = this->ViewOf(this->jobs[index], aNowMs);
      OrderedWork one = this->WorkOf(this->jobs[index]);
      const double sum = one.waiting + one.placed;
      view.workRatio = WorkRatio(this->orders[aKind], sum);
      one.rank = this->isNew ? StartRank(view) : baseline::StartRank(view);
      ++measured.jobs;
      measured.late += OutlookOf(view) == Outlook::InTime ? 0 : 1;
      measured.work += sum;
      measured.held += this->IsHeld(this->jobs[index], aNowMs) ? 1 : 0;
      this->work[aKind] += sum;
      ranked.emplace_back(one, index);
    }
    std::sort(ranked.begin(), ranked.end(),
              [](const auto& aLeft, const auto& aRight) {
                return aLeft.first.rank < aRight.first.rank;
              });
    std::vector<OrderedWork> works;
    for (std::size_t at = 0; at < ranked.size(); ++at) {
      works.push_back(ranked[at].first);
      this->active[aKind][at] = ranked[at].second;
    }
    this->orders[aKind] = measured;
    this->backlogs[aKind] = SumBacklog(works);
  }

  double Places(std::size_t aKind, double aNowMs) const {
    const bool isLoaded =
        aNowMs >= this->load.fromMs && aNowMs < this->load.untilMs;
    return kKinds[aKind].places * (isLoaded ? this->load.placesShare : 1);
  }

  void Submit(std::size_t aIndex, double aNowMs) {
    Job& job = this->jobs[aIndex];
    AdmissionView view;
    view.capacityMilli =
        this->Places(job.kind, aNowMs) * kKinds[job.kind].processorsMilli;
    view.classWork = this->work[job.kind];
    view.jobWork = kStages * job.StageWork();
    view.chainMs = job.ChainMs();
    view.chainFactor = this->Factor(job.kind);
    view.objectiveMs = job.Objective(job.EstimatedRunMs());
    view.level = kKinds[job.kind].level;
    view.isShort = IsShort(this->orders[job.kind]);
    view.workRatio = WorkRatio(this->orders[job.kind], view.jobWork);
    view.waitedMs = aNowMs - job.atMs;
    WaitingJob waiting = this->ViewOf(job, aNowMs);
    waiting.workRatio = view.workRatio;
    view.backlogWork = WorkAhead(this->backlogs[job.kind], StartRank(waiting));
    const AdmissionDecision decision =
        this->isNew ? DecideAdmission(view, this->random)
                    : baseline::Decide(view, this->random);
    if (decision.accepted) {
      job.accepted = true;
      job.acceptedMs = aNowMs;
      job.waiting = job.tasks;
      this->active[job.kind].push_back(aIndex);
      return;
    }
    ++job.attempts;
    job.nextAttemptMs = aNowMs + decision.retryAfterSeconds * 1000.0;
    job.givenUp = job.attempts >= kMaxAttempts;
  }

  void EndTasks(Job& aJob, double aNowMs) {
    auto& running = aJob.runningUntil;
    running.erase(
        std::remove_if(running.begin(), running.end(),
                       [&](double aUntil) { return aUntil <= aNowMs; }),
        running.end());
    if (aJob.waiting > 0 || !running.empty()) {
      return;
    }
    if (++aJob.stage < kStages) {
      aJob.waiting = aJob.tasks;
      return;
    }
    aJob.done = true;
    aJob.endMs = aNowMs;
    Learn(this->factors[aJob.kind],
          {QueueId(), 0, 0, aNowMs - aJob.firstPlacedMs, aJob.ChainMs()});
  }

  void Step(double aNowMs) {
    for (std::size_t kind = 0; kind < kKindCount; ++kind) {
      int used = 0;
      std::vector<std::size_t>& list = this->active[kind];
      for (const std::size_t index : list) {
        this->EndTasks(this->jobs[index], aNowMs);
      }
      list.erase(std::remove_if(list.begin(), list.end(),
                                [&](std::size_t aIndex) {
                                  return this->jobs[aIndex].done;
                                }),
                 list.end());
      this->Rank(kind, aNowMs);
      for (const std::size_t index : list) {
        used += static_cast<int>(this->jobs[index].runningUntil.size());
      }
      int free = static_cast<int>(this->Places(kind, aNowMs)) - used;
      for (const std::size_t index : list) {
        Job& job = this->jobs[index];
        for (; job.waiting > 0 && free > 0; --job.waiting, --free) {
          job.firstPlacedMs =
              job.firstPlacedMs < 0 ? aNowMs : job.firstPlacedMs;
          job.runningUntil.push_back(aNowMs +
                                     job.TrueRunMs() * kKinds[kind].slowdown);
        }
      }
    }
  }

  void Run() {
    for (double nowMs = 0; nowMs < kEndMs; nowMs += kStepMs) {
      this->Step(nowMs);
      for (std::size_t index = 0; index < this->jobs.size(); ++index) {
        const Job& job = this->jobs[index];
        if (!job.accepted && !job.givenUp && job.nextAttemptMs <= nowMs) {
          this->Submit(index, nowMs);
        }
      }
    }
  }
};

// What callers get of all jobs of a kind; a late job is worth a seventh.
void PrintTotals(const Replay& aReplay) {
  constexpr double kLateValue = 1.0 / 7;
  for (std::size_t kind = 0; kind < kKindCount; ++kind) {
    double value = 0;
    int jobs = 0;
    for (const Job& job : aReplay.jobs) {
      if (job.kind != kind) {
        continue;
      }
      ++jobs;
      const double objective = job.Objective(job.TrueRunMs());
      const double took = job.done ? job.endMs - job.atMs : kEndMs;
      const bool isLate = took > objective;
      const bool isUseful = took <= kUsefulObjectives * objective;
      value += !isLate ? 1 : isUseful ? kLateValue : 0;
    }
    std::printf("  %-8s %-6s worth %.0f of %d\n",
                aReplay.isNew ? "new" : "ab62777", kKinds[kind].name, value,
                jobs);
  }
}

void Print(const Replay& aReplay) {
  for (std::size_t kind = 0; kind < kKindCount; ++kind) {
    std::vector<double> sizes;
    for (const Job& job : aReplay.jobs) {
      if (job.kind == kind) {
        sizes.push_back(job.TrueRunMs() * job.tasks);
      }
    }
    std::sort(sizes.begin(), sizes.end());
    const double limits[] = {0, sizes[sizes.size() * 7 / 10],
                             sizes[sizes.size() * 9 / 10], 1e18};
    const char* const names[] = {"the rest", "fifth below", "largest tenth"};
    for (int size = 0; size < 3; ++size) {
      int counts[4] = {0, 0, 0, 0};  // in time, late, useless, refused
      for (const Job& job : aReplay.jobs) {
        const double work = job.TrueRunMs() * job.tasks;
        if (job.kind != kind || work < limits[size] ||
            work >= limits[size + 1]) {
          continue;
        }
        const double objective = job.Objective(job.TrueRunMs());
        const double took = job.done ? job.endMs - job.atMs : kEndMs;
        const int useful = took <= kUsefulObjectives * objective ? 1 : 2;
        ++counts[!job.accepted ? 3 : took <= objective ? 0 : useful];
      }
      std::printf(
          "  %-8s %-6s priority %u %-14s in time %4d late %4d "
          "useless %4d refused %4d\n",
          aReplay.isNew ? "new" : "ab62777", kKinds[kind].name,
          kKinds[kind].level, names[size], counts[0], counts[1], counts[2],
          counts[3]);
    }
  }
}

double ProcessorMicros() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e6 +
         static_cast<double>(time.tv_nsec) / 1e3;
}

void MeasureCosts() {
  constexpr int kDecisions = 100000;
  constexpr std::size_t kJobs = 3000;
  Replay replay(kLoads[5], true);
  replay.jobs.resize(std::max(replay.jobs.size(), kJobs));
  for (std::size_t index = 0; index < kJobs; ++index) {
    replay.jobs[index].kind = 1;
    replay.jobs[index].tasks = std::max(1, replay.jobs[index].tasks);
    replay.jobs[index].waiting = replay.jobs[index].tasks;
    replay.active[1].push_back(index);
  }
  double begin = ProcessorMicros();
  replay.Rank(1, 20000);
  std::printf("ranking %zu jobs: %.0f us\n", kJobs, ProcessorMicros() - begin);
  AdmissionView view;
  view.capacityMilli = 8e6;
  view.jobWork = 5e8;
  view.chainMs = 4000;
  view.objectiveMs = 9000;
  double sum = 0;
  begin = ProcessorMicros();
  for (int one = 0; one < kDecisions; ++one) {
    WaitingJob job;
    job.objectiveMs = one;
    view.backlogWork = WorkAhead(replay.backlogs[1], StartRank(job));
    sum += DecideAdmission(view, replay.random).expectedMs;
  }
  std::printf("admission decision: %.3f us (%g)\n",
              (ProcessorMicros() - begin) / kDecisions, sum);
}

}  // namespace
}  // namespace bramleypath::workflow

int main() {
  using namespace bramleypath::workflow;
  for (const Load& load : kLoads) {
    std::printf("%s\n", load.name);
    for (const bool isNew : {false, true}) {
      Replay replay(load, isNew);
      replay.Run();
      Print(replay);
      PrintTotals(replay);
    }
  }
  MeasureCosts();
  return 0;
}
