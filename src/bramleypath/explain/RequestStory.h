#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <gsl/span>

#include "bramleypath/explain/LogLine.h"

namespace bramleypath::explain {

// What became of a job, as far as the log says.
enum class Outcome : std::uint8_t {
  NotFound,
  Refused,
  // A front gave it up before a leader took it.
  NotTaken,
  Completed,
  Failed,
  Cancelled,
  // Accepted, and no end is logged.
  Open
};
std::string_view ToText(Outcome aOutcome);

struct RequestTimeline {
  Outcome outcome = Outcome::NotFound;
  // What the log shows as reasons, the most telling one first.
  std::vector<std::string> causes;
  // The lines that it follows from, in order of time: those that name the job,
  // and those of its leaders and workers meanwhile.
  std::vector<LogLine> lines;
};

// Follows a job's id through the collected lines of all hosts, in any order.
// The clocks of the hosts are taken as equal.
RequestTimeline BuildRequestTimeline(gsl::span<const LogLine> aLines,
                                     std::string_view aJob);

}  // namespace bramleypath::explain
