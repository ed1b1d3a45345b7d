#include <algorithm>
#include <utility>

#include "bramleypath/cli/internal/Commands.h"
#include "bramleypath/codec/Bounded.h"
#include "bramleypath/config/Codec.h"

namespace bramleypath::cli::detail {

namespace {

constexpr const char* kConfigPath = "/v1/ops/config";

struct CurrentConfiguration {
  std::uint64_t version = 0;
  Json configuration;
};

// Requests the configuration from the first host that answers.
std::optional<CurrentConfiguration> ReadCurrent(const Session& aSession,
                                                ExitCode& aCode) {
  SendReason reason;
  const auto reply = Get(aSession, kConfigPath, reason);
  if (const auto failure = FindFailure(aSession, reply, reason)) {
    aCode = *failure;
    return std::nullopt;
  }
  const Json& body = reply->body;
  if (!body.contains("version") || !body["version"].is_number_unsigned() ||
      !body.contains("configuration") || !body["configuration"].is_object()) {
    aCode = Fail(aSession, ExitCode::UnexpectedReply,
                 reply->host + " gave no configuration");
    return std::nullopt;
  }
  return CurrentConfiguration{body["version"].get<std::uint64_t>(),
                              body["configuration"]};
}

// The version that the change expects: the one given by --expected-version, or
// the current one of an entry host.
std::optional<std::uint64_t> ChooseVersion(const Session& aSession,
                                           ExitCode& aCode) {
  if (!HasOption(aSession.arguments, "expected-version")) {
    const auto current = ReadCurrent(aSession, aCode);
    return current ? std::optional(current->version) : std::nullopt;
  }
  const auto version =
      ParseNumber(OptionValue(aSession.arguments, "expected-version"));
  if (!version) {
    aCode =
        Fail(aSession, ExitCode::Usage, "--expected-version must be a number");
  }
  return version;
}

std::string ShellQuoted(const std::string& aText) {
  std::string quoted = "'";
  for (const char character : aText) {
    quoted +=
        character == '\'' ? std::string("'\\''") : std::string(1, character);
  }
  return quoted + "'";
}

// Tells the operator which command sends exactly this request again.
std::string ResendHint(const Json& aBody) {
  return "resend it with: bramleypath config change " +
         ShellQuoted(codec::DumpJson(aBody["change"])) + " --request-id " +
         ShellQuoted(aBody["request_id"].get<std::string>()) +
         " --expected-version " + codec::DumpJson(aBody["expected_version"]);
}

// The result of a change, with the new version if it was accepted.
struct ChangeResult {
  ExitCode code = ExitCode::Success;
  std::uint64_t version = 0;
  Json body = Json::object();
};

ChangeResult ReportOutcome(const Session& aSession, const HostReply& aReply,
                           const Json& aBody) {
  config::JsonReason reason;
  const auto outcome =
      config::OutcomeFromJson(codec::DumpJson(aReply.body), reason);
  if (!outcome || !outcome->accepted) {
    return {FailWithReply(aSession, aReply)};
  }
  ChangeResult result{ExitCode::Success, outcome->version, aReply.body};
  result.body["request_id"] = aBody["request_id"];
  result.body["dry_run"] = aBody.contains("dry_run");
  return result;
}

// Prints an accepted change. The error of a refused one was already printed.
ExitCode PrintResult(const Session& aSession, const ChangeResult& aResult) {
  if (aResult.code != ExitCode::Success) {
    return aResult.code;
  }
  if (aSession.json) {
    PrintJson(aSession, aResult.body);
  } else {
    const bool dryRun = aResult.body.value("dry_run", false);
    aSession.environment.out
        << (dryRun ? "would be accepted as version " : "accepted: version ")
        << aResult.version << "\n";
  }
  return ExitCode::Success;
}

ChangeResult SendChange(const Session& aSession, const Json& aChange,
                        std::uint64_t aVersion) {
  Json body{{"request_id", ChooseRequestId(aSession)},
            {"expected_version", aVersion},
            {"change", aChange}};
  if (HasOption(aSession.arguments, "dry-run")) {
    body["dry_run"] = true;
  }
  SendReason reason;
  const auto reply = Send(aSession, "POST", kConfigPath, body, reason);
  if (reply) {
    return ReportOutcome(aSession, *reply, body);
  }
  if (reason.code == ExitCode::OutcomeUnknown) {
    reason.detail += "; " + ResendHint(body);
  }
  return {Fail(aSession, reason)};
}

ChangeResult MakeChange(const Session& aSession, const Json& aChange) {
  // A resend must be byte for byte the same request. The current version can't
  // be used for it, since it may have increased since the first request.
  if (HasOption(aSession.arguments, "request-id") &&
      !HasOption(aSession.arguments, "expected-version")) {
    return {Fail(aSession, ExitCode::Usage,
                 "--request-id needs --expected-version, since a resend must "
                 "equal the first request")};
  }
  ExitCode code = ExitCode::Success;
  const auto version = ChooseVersion(aSession, code);
  if (!version) {
    return {code};
  }
  return SendChange(aSession, aChange, *version);
}

const std::string& Operand(const Session& aSession) {
  return aSession.arguments.operands.front();
}

// Changes one entry of a list in the configuration. Fields for which no option
// was given keep their values; a new entry starts with aDefaults.
ExitCode SetEntry(const Session& aSession, const char* aList, const char* aKind,
                  const char* aField, Json aDefaults,
                  const std::vector<OptionField>& aFields) {
  if (HasOption(aSession.arguments, "request-id")) {
    return Fail(aSession, ExitCode::Usage,
                "to resend this change, use `bramleypath config change`; the "
                "fields that aren't given may have changed since");
  }
  ExitCode code = ExitCode::Success;
  const auto current = ReadCurrent(aSession, code);
  if (!current) {
    return code;
  }
  Json entry = std::move(aDefaults);
  entry["name"] = Operand(aSession);
  const Json list = current->configuration.value(aList, Json::array());
  for (const Json& existing : list) {
    if (TextOf(existing, "name") == Operand(aSession)) {
      entry = existing;
    }
  }
  if (!PutOptions(aSession, aFields, entry)) {
    return ExitCode::Usage;
  }
  const std::string expectedVersion =
      OptionValue(aSession.arguments, "expected-version");
  if (!expectedVersion.empty() &&
      expectedVersion != std::to_string(current->version)) {
    return Fail(aSession, ExitCode::Conflict,
                "the current version is " + std::to_string(current->version) +
                    ", not " + expectedVersion);
  }
  return PrintResult(
      aSession, SendChange(aSession, Json{{"kind", aKind}, {aField, entry}},
                           current->version));
}

ExitCode ChangeByName(const Session& aSession, const char* aKind,
                      const char* aField) {
  return PrintResult(
      aSession,
      MakeChange(aSession, Json{{"kind", aKind}, {aField, Operand(aSession)}}));
}

ExitCode Drain(const Session& aSession, const char* aKind, const char* aField) {
  return PrintResult(
      aSession,
      MakeChange(aSession,
                 Json{{"kind", aKind},
                      {aField, Operand(aSession)},
                      {"draining", !HasOption(aSession.arguments, "off")}}));
}

// Whether the host that a status row describes has this version or a later one
// in force.
bool IsInForce(const Json& aRow, std::uint64_t aVersion) {
  return aRow.is_object() && aRow.value("known", false) &&
         aRow.contains("version") && aRow["version"].is_number_unsigned() &&
         aRow["version"].get<std::uint64_t>() >= aVersion;
}

// Adds a column that tells for each host whether the version is in force.
Json AddInForceColumn(const Json& aRows, std::uint64_t aVersion) {
  Json rows = Json::array();
  for (Json row : aRows) {
    row["in_force"] = IsInForce(row, aVersion)    ? "yes"
                      : row.value("known", false) ? "not yet"
                                                  : "no report";
    rows.push_back(std::move(row));
  }
  return rows;
}

ExitCode WaitUntilInForce(const Session& aSession, const ChangeResult& aResult,
                          Duration aMaxWait) {
  constexpr Duration kPollInterval = Millis(200);
  const std::uint64_t version = aResult.version;
  const Environment& environment = aSession.environment;
  const TimePoint deadline = environment.now() + aMaxWait;
  Json rows = Json::array();
  SendReason reason;
  while (true) {
    const auto reply = Get(aSession, "/v1/ops/status", reason);
    if (reply && reply->status == kOk) {
      rows = reply->body.value("hosts", Json::array());
    }
    const bool inForceEverywhere =
        !rows.empty() &&
        std::all_of(rows.begin(), rows.end(),
                    [&](const Json& aRow) { return IsInForce(aRow, version); });
    if (inForceEverywhere || environment.now() >= deadline) {
      const Json described = AddInForceColumn(rows, version);
      if (aSession.json) {
        Json body = aResult.body;
        body["in_force_everywhere"] = inForceEverywhere;
        body["hosts"] = described;
        PrintJson(aSession, body);
      } else {
        PrintTable(aSession, described,
                   {"data_centre", "host", "version", "preset", "in_force"});
      }
      return inForceEverywhere
                 ? ExitCode::Success
                 : Fail(aSession, ExitCode::NotInForce,
                        "version " + std::to_string(version) +
                            " was accepted and is not in force on every host "
                            "yet; `bramleypath host list` shows its progress");
    }
    environment.sleep(kPollInterval);
  }
}

}  // namespace

bool PutOptions(const Session& aSession,
                const std::vector<OptionField>& aFields, Json& aObject) {
  for (const OptionField& field : aFields) {
    if (!HasOption(aSession.arguments, field.option)) {
      continue;
    }
    const std::string text = OptionValue(aSession.arguments, field.option);
    Json& place = aObject[Json::json_pointer(field.pointer)];
    const auto number = ParseNumber(text);
    if (field.kind == ValueKind::Text) {
      place = text;
    } else if (field.kind == ValueKind::Number && number) {
      place = *number;
    } else if (field.kind == ValueKind::Boolean &&
               (text == "true" || text == "false")) {
      place = text == "true";
    } else {
      Fail(
          aSession, ExitCode::Usage,
          std::string("--") + field.option + " must be " +
              (field.kind == ValueKind::Number ? "a number" : "true or false") +
              ", not \"" + text + "\"");
      return false;
    }
  }
  return true;
}

ExitCode ConfigGet(const Session& aSession) {
  SendReason reason;
  const auto reply = Get(aSession, kConfigPath, reason);
  if (const auto failure = FindFailure(aSession, reply, reason)) {
    return *failure;
  }
  if (aSession.json) {
    PrintJson(aSession, reply->body);
    return ExitCode::Success;
  }
  // The configuration is printed as JSON because a table can't show nested
  // lists, and because it can be edited and passed to `config apply`.
  aSession.environment.err << "version " << TextOf(reply->body, "version")
                           << " on " << TextOf(reply->body, "host") << "\n";
  PrintJson(aSession, reply->body.value("configuration", Json::object()));
  return ExitCode::Success;
}

ExitCode ConfigApply(const Session& aSession) {
  const std::string& file = Operand(aSession);
  const auto text = aSession.environment.readFile(file);
  if (!text) {
    return Fail(aSession, ExitCode::FaultyFile, file + " can't be read");
  }
  config::JsonReason reason;
  const auto configuration = config::ConfigurationFromJson(*text, reason);
  if (!configuration) {
    const std::string field = reason.field.empty() ? "" : reason.field + ": ";
    return Fail(aSession, ExitCode::FaultyFile,
                file + ": " + field + reason.detail);
  }
  const Json document =
      Json::parse(config::ConfigurationToJson(*configuration));
  return PrintResult(aSession,
                     MakeChange(aSession, Json{{"kind", "replace"},
                                               {"configuration", document}}));
}

ExitCode ConfigChange(const Session& aSession) {
  const Json change = codec::ParseJson(Operand(aSession));
  if (!change.is_object()) {
    return Fail(aSession, ExitCode::Usage, "the change is not a JSON object");
  }
  return PrintResult(aSession, MakeChange(aSession, change));
}

ExitCode PresetList(const Session& aSession) {
  ExitCode code = ExitCode::Success;
  const auto current = ReadCurrent(aSession, code);
  if (!current) {
    return code;
  }
  const std::string used = TextOf(current->configuration, "preset_in_force");
  Json rows = Json::array();
  for (Json row : current->configuration.value("presets", Json::array())) {
    row["in_force"] = TextOf(row, "name") == used;
    const Json weights = row.value("weights", Json::object());
    for (const char* const name : {"tail_latency", "evictions", "throughput"}) {
      row[name] = weights.value(name, Json());
    }
    rows.push_back(std::move(row));
  }
  if (aSession.json) {
    PrintJson(aSession, rows);
  } else {
    PrintTable(aSession, rows,
               {"name", "in_force", "tail_latency", "evictions", "throughput"});
  }
  return ExitCode::Success;
}

ExitCode PresetUse(const Session& aSession) {
  constexpr std::uint64_t kDefaultWaitMs = 13000;
  const std::string text = OptionValue(aSession.arguments, "wait-ms");
  const auto waitMs =
      text.empty() ? std::optional(kDefaultWaitMs) : ParseNumber(text);
  if (!waitMs) {
    return Fail(aSession, ExitCode::Usage, "--wait-ms must be a number");
  }
  const ChangeResult result = MakeChange(
      aSession, Json{{"kind", "use_preset"}, {"preset", Operand(aSession)}});
  const bool waits = HasOption(aSession.arguments, "wait") &&
                     !HasOption(aSession.arguments, "dry-run");
  if (result.code != ExitCode::Success || !waits) {
    return PrintResult(aSession, result);
  }
  return WaitUntilInForce(aSession, result,
                          Millis(static_cast<std::int64_t>(*waitMs)));
}

ExitCode PresetSet(const Session& aSession) {
  const Json defaults{
      {"weights", {{"tail_latency", 1}, {"evictions", 1}, {"throughput", 1}}}};
  return SetEntry(
      aSession, "presets", "set_preset", "preset", defaults,
      {{"tail-latency", "/weights/tail_latency", ValueKind::Number},
       {"evictions", "/weights/evictions", ValueKind::Number},
       {"throughput", "/weights/throughput", ValueKind::Number},
       {"queued-calls", "/admission/queued_calls_per_member",
        ValueKind::Number},
       {"target-utilisation", "/admission/target_utilisation_percent",
        ValueKind::Number},
       {"worker-utilisation", "/batch/worker_utilisation_percent",
        ValueKind::Number},
       {"running-tasks", "/batch/running_tasks_per_cell", ValueKind::Number},
       {"starts-per-second", "/batch/starts_per_second_per_cell",
        ValueKind::Number},
       {"evictions-per-job", "/batch/evictions_per_job", ValueKind::Number}});
}

ExitCode PresetRemove(const Session& aSession) {
  return ChangeByName(aSession, "remove_preset", "preset");
}

ExitCode ServiceSet(const Session& aSession) {
  return SetEntry(
      aSession, "services", "set_service", "service", Json::object(),
      {{"member", "/member", ValueKind::Text},
       {"slots", "/slots_per_target", ValueKind::Number},
       {"connections", "/connections_per_target", ValueKind::Number}});
}

ExitCode ServiceRemove(const Session& aSession) {
  return ChangeByName(aSession, "remove_service", "service");
}

ExitCode ClassSet(const Session& aSession) {
  return SetEntry(
      aSession, "classes", "set_class", "class", Json::object(),
      {{"service", "/service", ValueKind::Text},
       {"reserved-slots", "/reserved_slots", ValueKind::Number},
       {"expected-service-ms", "/expected_service_ms", ValueKind::Number},
       {"idempotent", "/idempotent_default", ValueKind::Boolean}});
}

ExitCode ClassRemove(const Session& aSession) {
  return ChangeByName(aSession, "remove_class", "class");
}

ExitCode ClientAccountSet(const Session& aSession) {
  const Json defaults{{"quota", {{"processors_milli", 0}, {"memory_mb", 0}}}};
  return SetEntry(
      aSession, "members", "set_member", "member", defaults,
      {{"weight", "/weight", ValueKind::Number},
       {"processors-milli", "/quota/processors_milli", ValueKind::Number},
       {"memory-mb", "/quota/memory_mb", ValueKind::Number},
       {"accelerators", "/quota/accelerators", ValueKind::Number},
       {"queued-jobs", "/quota/queued_jobs", ValueKind::Number}});
}

ExitCode ClientAccountRemove(const Session& aSession) {
  return ChangeByName(aSession, "remove_member", "member");
}

ExitCode OwnersSet(const Session& aSession) {
  Json change{{"kind", "set_key_owners"},
              {"data_centres", aSession.arguments.operands}};
  const auto lost = aSession.arguments.options.find("lost");
  if (lost != aSession.arguments.options.end()) {
    change["lost"] = lost->second;
  }
  if (!PutOptions(aSession,
                  {{"move-wait-ms", "/move_wait_ms", ValueKind::Number}},
                  change)) {
    return ExitCode::Usage;
  }
  return PrintResult(aSession, MakeChange(aSession, change));
}

ExitCode TargetDrain(const Session& aSession) {
  return Drain(aSession, "drain_target", "target");
}

ExitCode HostAdd(const Session& aSession) {
  return SetEntry(aSession, "hosts", "set_host", "host", Json::object(),
                  {{"data-centre", "/data_centre", ValueKind::Text},
                   {"callers", "/addresses/callers", ValueKind::Text},
                   {"targets", "/addresses/targets", ValueKind::Text},
                   {"peers", "/addresses/peers", ValueKind::Text},
                   {"operators", "/addresses/operators", ValueKind::Text},
                   {"disk", "/has_disk", ValueKind::Boolean}});
}

ExitCode HostRemove(const Session& aSession) {
  return ChangeByName(aSession, "remove_host", "host");
}

ExitCode HostDrain(const Session& aSession) {
  return Drain(aSession, "drain_host", "host");
}

}  // namespace bramleypath::cli::detail
