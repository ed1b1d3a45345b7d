#include "bramleypath/explain/RequestTimeline.h"

#include <algorithm>
#include <cstdlib>
#include <optional>
#include <set>

#include "bramleypath/base/Text.h"

namespace bramleypath::explain {

namespace {

// A cell_summary event below this age describes the state of the cell at a
// refusal.
constexpr std::int64_t kMaxSummaryAgeMs = 4000;
// Longest time for which a front retries a request after reading it.
constexpr std::int64_t kMaxFrontRetryMs = 3000;
constexpr std::int64_t kNoEnd = INT64_MAX;

// True for the job itself and for its tasks, which are named
// JOB.OCCURRENCE.STAGE.INDEX.
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

JobOutcome FindOutcome(gsl::span<const LogLine> aJobLines) {
  if (FindEvent(aJobLines, "job_completed")) {
    return JobOutcome::Completed;
  }
  if (FindEvent(aJobLines, "job_failed") ||
      FindEvent(aJobLines, "job_given_up")) {
    return JobOutcome::Failed;
  }
  if (FindEvent(aJobLines, "job_cancelled")) {
    return JobOutcome::Cancelled;
  }
  if (FindEvent(aJobLines, "job_accepted") ||
      FindEvent(aJobLines, "start_sent")) {
    return JobOutcome::Open;
  }
  if (FindEvent(aJobLines, "job_refused") ||
      FindEvent(aJobLines, "job_refused_for_load")) {
    return JobOutcome::Refused;
  }
  return FindEvent(aJobLines, "request_given_up") ? JobOutcome::NotAccepted
                                                  : JobOutcome::NotFound;
}

// The time from the first line of the job to its last one, in Unix
// milliseconds. It has no end while the job is open.
struct Period {
  std::int64_t from = 0;
  std::int64_t to = kNoEnd;
};

Period PeriodOf(gsl::span<const LogLine> aJobLines, JobOutcome aOutcome) {
  Period period;
  period.from = aJobLines[0].timeMs;
  if (aOutcome != JobOutcome::Open) {
    period.to = aJobLines[aJobLines.size() - 1].timeMs;
  }
  return period;
}

std::set<std::string, std::less<>> WorkersOf(
    gsl::span<const LogLine> aJobLines) {
  std::set<std::string, std::less<>> workers;
  for (const LogLine& line : aJobLines) {
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

bool IsFrontLeaderEvent(const LogLine& aLine) {
  return aLine.event == "leader_lost" || aLine.event == "leader_learned";
}

// Lines that don't name the job but concern its leaders or workers in the same
// period.
std::vector<LogLine> RelatedLines(gsl::span<const LogLine> aLines,
                                  gsl::span<const LogLine> aJobLines,
                                  std::string_view aJob, JobOutcome aOutcome) {
  const Period period = PeriodOf(aJobLines, aOutcome);
  const auto workers = WorkersOf(aJobLines);
  std::vector<LogLine> found;
  for (const LogLine& line : aLines) {
    if (IsOfJob(line, aJob)) {
      continue;
    }
    const bool isInPeriod =
        line.timeMs >= period.from && line.timeMs <= period.to;
    const bool isInRetryPeriod =
        line.timeMs >= period.from - kMaxFrontRetryMs &&
        line.timeMs <= period.to;
    const bool concernsItsWorkers =
        workers.count(FieldOf(line, "worker")) > 0 ||
        workers.count(FieldOf(line, "subject")) > 0;
    if ((isInPeriod && (IsLeaderChange(line) || concernsItsWorkers)) ||
        (aOutcome == JobOutcome::NotAccepted && isInRetryPeriod &&
         (IsLeaderChange(line) || IsFrontLeaderEvent(line)))) {
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
        line.timeMs > aTimeMs - kMaxSummaryAgeMs &&
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
                    gsl::span<const LogLine> aJobLines,
                    RequestTimeline& aTimeline) {
  if (const LogLine* const load =
          FindEvent(aJobLines, "job_refused_for_load")) {
    aTimeline.causes.push_back(
        "refused by " + load->host + ": events waited " +
        Text(*load, "loop_delay_ms") +
        " ms for the processor there, so that it refused a share of " +
        Text(*load, "refused_share") +
        " of all new jobs; the caller was asked to retry after " +
        Text(*load, "retry_after_s") + " s");
  }
  const LogLine* const expected = FindEvent(aJobLines, "job_refused");
  if (!expected) {
    return;
  }
  const LogLine& refusal = *expected;
  aTimeline.causes.push_back(
      "refused by " + refusal.host + ": it was expected to end after " +
      Text(refusal, "expected_ms") + " ms, and its objective is " +
      Text(refusal, "objective_ms") +
      " ms; the caller was asked to retry after " +
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

void ExplainNotAccepted(gsl::span<const LogLine> aJobLines,
                        RequestTimeline& aTimeline) {
  const LogLine& abandoned = *FindEvent(aJobLines, "request_given_up");
  aTimeline.causes.push_back(
      "front " + abandoned.host + " reached no leader within " +
      Text(abandoned, "attempts") + " attempts and answered " +
      Text(abandoned, "status"));
}

void ExplainFailovers(gsl::span<const LogLine> aJobLines, const Period& aPeriod,
                      RequestTimeline& aTimeline) {
  for (const LogLine& line : aTimeline.lines) {
    if (line.event == "leadership_gained" && line.timeMs > aPeriod.from) {
      aTimeline.causes.push_back(
          "failover: " + line.host + " became leader (epoch " +
          Text(line, "epoch") + ") " +
          Seconds(line.timeMs - aJobLines[0].timeMs) + " after the acceptance");
    }
  }
}

// Adds the events that delayed a task of the job.
void ExplainAttempts(gsl::span<const LogLine> aJobLines,
                     RequestTimeline& aTimeline) {
  for (const LogLine& line : aJobLines) {
    const bool isDelay =
        line.event == "lease_over" || line.event == "start_not_done" ||
        line.event == "stopping" || line.event == "attempt_ended" ||
        line.event == "stray_attempt" || line.event == "task_suspected" ||
        line.event == "job_given_up";
    if (isDelay) {
      aTimeline.causes.push_back(line.event + ": " + Text(line, "subject") +
                                 " " + Text(line, "detail"));
    }
  }
}

// Adds the worker to which the job's newest attempt was sent and the last event
// about the contact with this worker.
void ExplainOpenJob(gsl::span<const LogLine> aJobLines,
                    RequestTimeline& aTimeline) {
  const LogLine* newest = nullptr;
  for (const LogLine& line : aJobLines) {
    newest = line.event == "start_sent" ? &line : newest;
  }
  if (!newest) {
    aTimeline.causes.emplace_back("none of its tasks was started");
    return;
  }
  const std::string worker = Text(*newest, "worker");
  std::optional<std::string> contact;
  for (const LogLine& line : aTimeline.lines) {
    if (line.timeMs < newest->timeMs) {
      continue;
    }
    if (FieldOf(line, "subject") == worker &&
        (line.event == "worker_unreachable" ||
         line.event == "worker_reachable" || line.event == "worker_replaced")) {
      contact = line.event + " " + Text(line, "detail");
    } else if (line.event == "worker_seen" &&
               FieldOf(line, "worker") == worker) {
      contact = "the worker restarted";
    }
  }
  aTimeline.causes.push_back(
      "the newest start went to worker " + worker + "; " +
      contact.value_or("the logs have no later event about the worker"));
}

void SortByTime(std::vector<LogLine>& aLines) {
  std::stable_sort(aLines.begin(), aLines.end(),
                   [](const LogLine& aLeft, const LogLine& aRight) {
                     return aLeft.timeMs < aRight.timeMs;
                   });
}

}  // namespace

std::string_view ToText(JobOutcome aOutcome) {
  switch (aOutcome) {
    case JobOutcome::NotFound:
      return "not found in these logs";
    case JobOutcome::Refused:
      return "refused";
    case JobOutcome::NotAccepted:
      return "not taken by a leader";
    case JobOutcome::Completed:
      return "completed";
    case JobOutcome::Failed:
      return "failed";
    case JobOutcome::Cancelled:
      return "cancelled";
    case JobOutcome::Open:
      return "accepted; no end is logged";
  }
  return "";
}

RequestTimeline BuildRequestTimeline(gsl::span<const LogLine> aLines,
                                     std::string_view aJob) {
  std::vector<LogLine> jobLines;
  std::copy_if(aLines.begin(), aLines.end(), std::back_inserter(jobLines),
               [&](const LogLine& aLine) { return IsOfJob(aLine, aJob); });
  RequestTimeline timeline;
  if (jobLines.empty()) {
    return timeline;
  }
  SortByTime(jobLines);
  timeline.outcome = FindOutcome(jobLines);
  timeline.lines = RelatedLines(aLines, jobLines, aJob, timeline.outcome);
  SortByTime(timeline.lines);
  switch (timeline.outcome) {
    case JobOutcome::Refused:
      ExplainRefusal(aLines, jobLines, timeline);
      break;
    case JobOutcome::NotAccepted:
      ExplainNotAccepted(jobLines, timeline);
      break;
    case JobOutcome::Open:
      ExplainOpenJob(jobLines, timeline);
      [[fallthrough]];
    case JobOutcome::Completed:
    case JobOutcome::Failed:
    case JobOutcome::Cancelled:
      ExplainFailovers(jobLines, PeriodOf(jobLines, timeline.outcome),
                       timeline);
      ExplainAttempts(jobLines, timeline);
      break;
    case JobOutcome::NotFound:
      break;
  }
  timeline.lines.insert(timeline.lines.end(), jobLines.begin(), jobLines.end());
  SortByTime(timeline.lines);
  return timeline;
}

}  // namespace bramleypath::explain
