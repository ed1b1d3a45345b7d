#include "bramleypath/explain/LogLine.h"

#include <algorithm>

#include "bramleypath/codec/Bounded.h"
#include "bramleypath/codec/Fields.h"

namespace bramleypath::explain {

namespace {

using codec::Json;

constexpr const char* kTime = "time_ms";
constexpr const char* kHost = "host";
constexpr const char* kEvent = "event";

std::string ValueText(const Json& aValue) {
  return aValue.is_string() ? aValue.get<std::string>()
                            : codec::DumpJson(aValue);
}

}  // namespace

std::optional<LogLine> ParseLine(std::string_view aText, std::string& aReason) {
  const Json json = codec::ParseJson(aText);
  if (!json.is_object()) {
    aReason = "is not a JSON object";
    return std::nullopt;
  }
  const auto time = json.find(kTime);
  const auto host = json.find(kHost);
  const auto event = json.find(kEvent);
  if (time == json.end() || !time->is_number_integer()) {
    aReason = "time_ms: is missing or not an integer";
    return std::nullopt;
  }
  if (host == json.end() || !host->is_string() || event == json.end() ||
      !event->is_string()) {
    aReason = "host, event: one is missing or not a string";
    return std::nullopt;
  }
  LogLine line;
  line.timeMs = time->get<std::int64_t>();
  line.host = host->get<std::string>();
  line.event = event->get<std::string>();
  for (const auto& [name, value] : json.items()) {
    if (name != kTime && name != kHost && name != kEvent) {
      line.fields.push_back({name, ValueText(value)});
    }
  }
  line.text = std::string(aText);
  return line;
}

std::string_view FieldOf(const LogLine& aLine, std::string_view aName) {
  const auto found = std::find_if(
      aLine.fields.begin(), aLine.fields.end(),
      [&](const LogLine::Field& aField) { return aField.name == aName; });
  return found == aLine.fields.end() ? std::string_view()
                                     : std::string_view(found->value);
}

}  // namespace bramleypath::explain
