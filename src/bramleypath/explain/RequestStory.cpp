#include "bramleypath/explain/RequestStory.h"

#include <algorithm>
#include <cstdlib>
#include <optional>
#include <set>

#include "bramleypath/base/Text.h"

namespace bramleypath::explain {

namespace {

// A summary of the cell that old still says what surrounded a refusal.
constexpr std::int64_t kSummaryAgeMs = 4000;
// A front gives a request up within this after it has read it.
constexpr std::int64_t kFrontMs = 3000;
constexpr std::int64_t kForever = INT64_MAX;

// Tasks are named JOB.OCCURRENCE.STAGE.INDEX.
bool NamesJob(std::string_view aSubject, std::string_view aJob) {
  return StartsWith(aSubject, aJob) &&
         (aSubject.size() == aJob.size() || aSubject[aJob.size()] == '.');
}

bool IsOfJob(const LogLine& aLine, std::string_view aJob) {
  return FieldOf(aLine, "job") == aJob ||
         NamesJob(FieldOf(aLine, "subject"), aJob) ||
         EndsWith(FieldOf(aLine, "path"), "/" + std::string(aJob));
}

const LogLine* FindEvent(gsl::span<const LogLine> aLines,
                         std::string_view aEvent) {
  const auto found =
      std::find_if(aLines.begin(), aLines.end(),
                   [&](const LogLine& aLine) { return aLine.event == aEvent; });
  return found == aLines.end() ? nullptr : &*found;
}

std::string Seconds(std::int64_t aMillis) {
  constexpr std::int64_t kMillisPerSecond = 1000;
  std::string text = std::to_string(aMillis / kMillisPerSecond) + ".";
  text += std::to_string(aMillis % kMillisPerSecond / 100);
  return text + " s";
}

Outcome FindOutcome(gsl::span<const LogLine> aOwn) {
  if (FindEvent(aOwn, "job_completed")) {
    return Outcome::Completed;
  }
  if (FindEvent(aOwn, "job_failed")) {
    return Outcome::Failed;
  }
  if (FindEvent(aOwn, "job_cancelled")) {
    return Outcome::Cancelled;
  }
  if (FindEvent(aOwn, "job_accepted") || FindEvent(aOwn, "start_sent")) {
    return Outcome::Open;
  }
  if (FindEvent(aOwn, "job_refused")) {
    return Outcome::Refused;
  }
  return FindEvent(aOwn, "request_given_up") ? Outcome::NotTaken
                                             : Outcome::NotFound;
}

// From the first line of the job to its end.
struct Period {
  std::int64_t from = 0;
  std::int64_t to = kForever;
};

Period PeriodOf(gsl::span<const LogLine> aOwn, Outcome aOutcome) {
  Period period;
  period.from = aOwn[0].timeMs;
  if (aOutcome != Outcome::Open) {
    period.to = aOwn[aOwn.size() - 1].timeMs;
  }
  return period;
}

std::set<std::string, std::less<>> WorkersOf(gsl::span<const LogLine> aOwn) {
  std::set<std::string, std::less<>> workers;
  for (const LogLine& line : aOwn) {
    if (line.event == "start_sent") {
      workers.emplace(FieldOf(line, "worker"));
    }
  }
  return workers;
}

bool IsLeaderChange(const LogLine& aLine) {
  return aLine.event == "leadership_gained" ||
         aLine.event == "leadership_lost" || aLine.event == "commit_failed";
}

bool IsFrontsView(const LogLine& aLine) {
  return aLine.event == "leader_lost" || aLine.event == "leader_learned";
}

// Lines that don't name the job and still tell what happened to it.
std::vector<LogLine> Surroundings(gsl::span<const LogLine> aLines,
                                  gsl::span<const LogLine> aOwn,
                                  std::string_view aJob, Outcome aOutcome) {
  const Period period = PeriodOf(aOwn, aOutcome);
  const auto workers = WorkersOf(aOwn);
  std::vector<LogLine> found;
  for (const LogLine& line : aLines) {
    if (IsOfJob(line, aJob)) {
      continue;
    }
    const bool isMeanwhile =
        line.timeMs >= period.from && line.timeMs <= period.to;
    const bool isBefore =
        line.timeMs >= period.from - kFrontMs && line.timeMs <= period.to;
    const bool isWorkers = workers.count(FieldOf(line, "worker")) > 0 ||
                           workers.count(FieldOf(line, "subject")) > 0;
    if ((isMeanwhile && (IsLeaderChange(line) || isWorkers)) ||
        (aOutcome == Outcome::NotTaken && isBefore &&
         (IsLeaderChange(line) || IsFrontsView(line)))) {
      found.push_back(line);
    }
  }
  return found;
}

const LogLine* SummaryBefore(gsl::span<const LogLine> aLines,
                             std::int64_t aTimeMs) {
  const LogLine* newest = nullptr;
  for (const LogLine& line : aLines) {
    if (line.event == "cell_summary" && line.timeMs <= aTimeMs &&
        line.timeMs > aTimeMs - kSummaryAgeMs &&
        (!newest || newest->timeMs < line.timeMs)) {
      newest = &line;
    }
  }
  return newest;
}

std::string Text(const LogLine& aLine, const char* aName) {
  return std::string(FieldOf(aLine, aName));
}

void ExplainRefusal(gsl::span<const LogLine> aLines,
                    gsl::span<const LogLine> aOwn, RequestTimeline& aTimeline) {
  const LogLine& refusal = *FindEvent(aOwn, "job_refused");
  aTimeline.causes.push_back(
      "refused by " + refusal.host + ": it was expected to end after " +
      Text(refusal, "expected_ms") + " ms, and its objective is " +
      Text(refusal, "objective_ms") +
      " ms; the caller was asked to come back after " +
      Text(refusal, "retry_after_s") + " s");
  const LogLine* const summary = SummaryBefore(aLines, refusal.timeMs);
  if (summary) {
    aTimeline.causes.push_back(
        "at that time " + Text(*summary, "waiting") +
        " tasks waited, work of " + Text(*summary, "backlog_s") +
        " processor seconds was under way, and " +
        Text(*summary, "workers_in_contact") + " of " +
        Text(*summary, "workers") + " workers were in contact");
    aTimeline.lines.push_back(*summary);
  }
}

void ExplainNotTaken(gsl::span<const LogLine> aOwn,
                     RequestTimeline& aTimeline) {
  const LogLine& givenUp = *FindEvent(aOwn, "request_given_up");
  aTimeline.causes.push_back(
      "front " + givenUp.host + " reached no leader within " +
      Text(givenUp, "attempts") + " attempts and answered " +
      Text(givenUp, "status"));
}

void ExplainFailovers(gsl::span<const LogLine> aOwn, const Period& aPeriod,
                      RequestTimeline& aTimeline) {
  for (const LogLine& line : aTimeline.lines) {
    if (line.event == "leadership_gained" && line.timeMs > aPeriod.from) {
      aTimeline.causes.push_back(
          "failover: " + line.host + " became leader (epoch " +
          Text(line, "epoch") + ") " + Seconds(line.timeMs - aOwn[0].timeMs) +
          " after the acceptance");
    }
  }
}

// Lines that name a task of the job and a reason for its delay.
void ExplainAttempts(gsl::span<const LogLine> aOwn,
                     RequestTimeline& aTimeline) {
  for (const LogLine& line : aOwn) {
    const bool isDelay =
        line.event == "lease_over" || line.event == "start_not_done" ||
        line.event == "stopping" || line.event == "attempt_ended" ||
        line.event == "stray_attempt";
    if (isDelay) {
      aTimeline.causes.push_back(line.event + ": " + Text(line, "subject") +
                                 " " + Text(line, "detail"));
    }
  }
}

// The newest belief about the worker that has the job's newest attempt.
void ExplainSilence(gsl::span<const LogLine> aOwn, RequestTimeline& aTimeline) {
  const LogLine* newest = nullptr;
  for (const LogLine& line : aOwn) {
    newest = line.event == "start_sent" ? &line : newest;
  }
  if (!newest) {
    aTimeline.causes.emplace_back("no task of it was started");
    return;
  }
  const std::string worker = Text(*newest, "worker");
  std::optional<std::string> belief;
  for (const LogLine& line : aTimeline.lines) {
    if (line.timeMs < newest->timeMs) {
      continue;
    }
    if (FieldOf(line, "subject") == worker &&
        (line.event == "worker_unreachable" ||
         line.event == "worker_reachable" || line.event == "worker_replaced")) {
      belief = line.event + " " + Text(line, "detail");
    } else if (line.event == "worker_seen" &&
               FieldOf(line, "worker") == worker) {
      belief = "it started again";
    }
  }
  aTimeline.causes.push_back("the newest start went to worker " + worker +
                             "; " +
                             belief.value_or("nothing was heard of it since"));
}

void SortByTime(std::vector<LogLine>& aLines) {
  std::stable_sort(aLines.begin(), aLines.end(),
                   [](const LogLine& aLeft, const LogLine& aRight) {
                     return aLeft.timeMs < aRight.timeMs;
                   });
}

}  // namespace

std::string_view ToText(Outcome aOutcome) {
  switch (aOutcome) {
    case Outcome::NotFound:
      return "not found in these logs";
    case Outcome::Refused:
      return "refused";
    case Outcome::NotTaken:
      return "not taken by a leader";
    case Outcome::Completed:
      return "completed";
    case Outcome::Failed:
      return "failed";
    case Outcome::Cancelled:
      return "cancelled";
    case Outcome::Open:
      return "accepted; no end is logged";
  }
  return "";
}

RequestTimeline BuildRequestTimeline(gsl::span<const LogLine> aLines,
                                     std::string_view aJob) {
  std::vector<LogLine> own;
  std::copy_if(aLines.begin(), aLines.end(), std::back_inserter(own),
               [&](const LogLine& aLine) { return IsOfJob(aLine, aJob); });
  RequestTimeline timeline;
  if (own.empty()) {
    return timeline;
  }
  SortByTime(own);
  timeline.outcome = FindOutcome(own);
  timeline.lines = Surroundings(aLines, own, aJob, timeline.outcome);
  SortByTime(timeline.lines);
  switch (timeline.outcome) {
    case Outcome::Refused:
      ExplainRefusal(aLines, own, timeline);
      break;
    case Outcome::NotTaken:
      ExplainNotTaken(own, timeline);
      break;
    case Outcome::Open:
      ExplainSilence(own, timeline);
      [[fallthrough]];
    case Outcome::Completed:
    case Outcome::Failed:
    case Outcome::Cancelled:
      ExplainFailovers(own, PeriodOf(own, timeline.outcome), timeline);
      ExplainAttempts(own, timeline);
      break;
    case Outcome::NotFound:
      break;
  }
  timeline.lines.insert(timeline.lines.end(), own.begin(), own.end());
  SortByTime(timeline.lines);
  return timeline;
}

}  // namespace bramleypath::explain
