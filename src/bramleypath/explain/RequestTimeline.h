#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <gsl/span>

#include "bramleypath/explain/LogLine.h"

namespace bramleypath::explain {

// The outcome of a job as far as the log shows it.
enum class JobOutcome : std::uint8_t {
  NotFound,
  Refused,
  // A front stopped retrying the request before a leader accepted it.
  NotAccepted,
  Completed,
  Failed,
  Cancelled,
  // The job was accepted, and the log has no event of its end.
  Open
};
// A text for operators.
std::string_view ToText(JobOutcome aOutcome);

struct RequestTimeline {
  JobOutcome outcome = JobOutcome::NotFound;
  // Causes of the outcome or of a delay, as texts for operators. The most
  // significant one comes first.
  std::vector<std::string> causes;
  // The log lines from which outcome and causes were derived, sorted by time:
  // the lines that name the job, and the lines about its leaders and workers in
  // the same period.
  std::vector<LogLine> lines;
};

// Collects the lines about a job from the logs of all hosts, which may be in
// any order. The clocks of the hosts are assumed to be synchronised. Without a
// line about the job the outcome is NotFound.
RequestTimeline BuildRequestTimeline(gsl::span<const LogLine> aLines,
                                     std::string_view aJob);

}  // namespace bramleypath::explain
