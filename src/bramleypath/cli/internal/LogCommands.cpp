#include <sstream>
#include <utility>

#include "bramleypath/cli/internal/Commands.h"
#include "bramleypath/codec/Bounded.h"
#include "bramleypath/explain/RequestTimeline.h"

namespace bramleypath::cli::detail {

namespace {

struct ParsedLog {
  std::vector<explain::LogLine> lines;
  std::size_t unreadable = 0;
};

void AddLines(const std::string& aText, ParsedLog& aLog) {
  std::istringstream stream(aText);
  std::string text;
  while (std::getline(stream, text)) {
    if (text.empty()) {
      continue;
    }
    // The output of a host may contain lines that the event log didn't write.
    std::string reason;
    auto line = explain::ParseLine(text, reason);
    if (line) {
      aLog.lines.push_back(std::move(*line));
    } else {
      ++aLog.unreadable;
    }
  }
}

void PrintRequestTimeline(const Session& aSession, const std::string& aJob,
                          const explain::RequestTimeline& aTimeline) {
  std::ostream& out = aSession.environment.out;
  if (aSession.json) {
    Json lines = Json::array();
    for (const explain::LogLine& line : aTimeline.lines) {
      lines.push_back(codec::ParseJson(line.text));
    }
    PrintJson(aSession,
              Json{{"job", aJob},
                   {"outcome", std::string(explain::ToText(aTimeline.outcome))},
                   {"causes", aTimeline.causes},
                   {"lines", std::move(lines)}});
    return;
  }
  out << aJob << ": " << explain::ToText(aTimeline.outcome) << "\n";
  for (const std::string& cause : aTimeline.causes) {
    out << "  " << cause << "\n";
  }
  for (const explain::LogLine& line : aTimeline.lines) {
    out << line.text << "\n";
  }
}

}  // namespace

ExitCode ExplainRequest(const Session& aSession) {
  const std::vector<std::string>& operands = aSession.arguments.operands;
  ParsedLog log;
  for (std::size_t index = 1; index < operands.size(); ++index) {
    const auto text = aSession.environment.readFile(operands[index]);
    if (!text) {
      return Fail(aSession, ExitCode::FaultyFile,
                  operands[index] + ": can't be read");
    }
    AddLines(*text, log);
  }
  if (log.unreadable > 0) {
    aSession.environment.err << "bramleypath: " << log.unreadable
                             << " lines are not event log entries\n";
  }
  const explain::RequestTimeline timeline =
      explain::BuildRequestTimeline(log.lines, operands[0]);
  PrintRequestTimeline(aSession, operands[0], timeline);
  return timeline.outcome == explain::JobOutcome::NotFound ? ExitCode::Refused
                                                           : ExitCode::Success;
}

}  // namespace bramleypath::cli::detail
