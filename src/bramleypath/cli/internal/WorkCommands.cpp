#include <utility>

#include "bramleypath/cli/internal/Commands.h"

namespace bramleypath::cli::detail {

namespace {

const std::string& Operand(const Session& aSession) {
  return aSession.arguments.operands.front();
}

// Requests a list and prints it as a table.
ExitCode List(const Session& aSession, const std::string& aPath,
              const char* aList, const std::vector<const char*>& aNames) {
  SendReason reason;
  const auto reply = Get(aSession, aPath, reason);
  if (const auto failure = FindFailure(aSession, reply, reason)) {
    return *failure;
  }
  if (aSession.json) {
    PrintJson(aSession, reply->body);
  } else {
    PrintTable(aSession, reply->body.value(aList, Json::array()), aNames);
  }
  return ExitCode::Success;
}

// Submits or cancels a job. The cell stores the answer by request id, so a
// resend gets the first answer again.
ExitCode SendJobRequest(const Session& aSession, const char* aPath,
                        Json aBody) {
  const std::string dataCentre = OptionValue(aSession.arguments, "data-centre");
  if (!dataCentre.empty()) {
    aBody["data_centre"] = dataCentre;
  }
  aBody["request_id"] = ChooseRequestId(aSession);
  if (HasOption(aSession.arguments, "dry-run")) {
    aSession.environment.err << "would send to " << aPath << ":\n";
    PrintJson(aSession, aBody);
    return ExitCode::Success;
  }
  SendReason reason;
  const auto reply = Send(aSession, "POST", aPath, aBody, reason);
  if (!reply) {
    if (reason.code == ExitCode::OutcomeUnknown) {
      reason.detail += "; resend the same command with --request-id " +
                       aBody["request_id"].get<std::string>();
    }
    return Fail(aSession, reason);
  }
  if (reply->status != kOk || !reply->body.value("accepted", false)) {
    return FailWithReply(aSession, *reply);
  }
  if (aSession.json) {
    PrintJson(aSession, reply->body);
  } else {
    aSession.environment.out << "accepted: " << Operand(aSession) << "\n";
  }
  return ExitCode::Success;
}

// Looks up the address of a host's operators' listener in the configuration.
std::optional<std::string> FindOperatorsAddress(const Session& aSession,
                                                const std::string& aHost,
                                                ExitCode& aCode) {
  SendReason reason;
  const auto reply = Get(aSession, "/v1/ops/config", reason);
  if (!reply) {
    aCode = Fail(aSession, reason);
    return std::nullopt;
  }
  const Json configuration = reply->body.value("configuration", Json::object());
  const Json hosts = configuration.value("hosts", Json::array());
  for (const Json& host : hosts) {
    if (TextOf(host, "name") == aHost) {
      return TextOf(host.value("addresses", Json::object()), "operators");
    }
  }
  aCode = Fail(aSession, ExitCode::Refused,
               "no entry host is named \"" + aHost +
                   "\"; `bramleypath host list` lists them");
  return std::nullopt;
}

}  // namespace

ExitCode JobSubmit(const Session& aSession) {
  for (const char* const required :
       {"member", "class", "processors-milli", "memory-mb"}) {
    if (!HasOption(aSession.arguments, required)) {
      return Fail(aSession, ExitCode::Usage,
                  std::string("option --") + required + " is missing");
    }
  }
  Json job{{"job", Operand(aSession)}};
  const bool valid =
      PutOptions(aSession,
                 {{"member", "/member", ValueKind::Text},
                  {"class", "/class", ValueKind::Text},
                  {"kind", "/kind", ValueKind::Text},
                  {"tasks", "/tasks", ValueKind::Number},
                  {"processors-milli", "/processors_milli", ValueKind::Number},
                  {"memory-mb", "/memory_mb", ValueKind::Number},
                  {"accelerators", "/accelerators", ValueKind::Number},
                  {"declared-run-ms", "/declared_run_ms", ValueKind::Number},
                  {"eviction-budget", "/eviction_budget", ValueKind::Number},
                  {"urgent", "/urgent", ValueKind::Boolean},
                  {"checkpointable", "/checkpointable", ValueKind::Boolean},
                  {"rack-spread", "/rack_spread", ValueKind::Boolean}},
                 job);
  if (!valid) {
    return ExitCode::Usage;
  }
  return SendJobRequest(aSession, "/v1/ops/jobs", Json{{"job", job}});
}

ExitCode JobCancel(const Session& aSession) {
  return SendJobRequest(aSession, "/v1/ops/jobs/cancel",
                        Json{{"job", Operand(aSession)}});
}

ExitCode JobList(const Session& aSession) {
  return List(
      aSession,
      "/v1/ops/jobs" + QueryOf(aSession, {"member", "state", "data-centre"}),
      "jobs",
      {"job", "member", "class", "data_centre", "state", "tasks", "running",
       "finished", "evictions", "reason"});
}

ExitCode JobExplain(const Session& aSession) {
  SendReason reason;
  const auto reply = Get(aSession,
                         "/v1/ops/explain/job/" + UrlEscape(Operand(aSession)) +
                             QueryOf(aSession, {"data-centre"}),
                         reason);
  if (const auto failure = FindFailure(aSession, reply, reason)) {
    return *failure;
  }
  if (aSession.json) {
    PrintJson(aSession, reply->body);
    return ExitCode::Success;
  }
  aSession.environment.out << TextOf(reply->body, "job") << " in "
                           << TextOf(reply->body, "data_centre") << ": "
                           << TextOf(reply->body, "state") << ": "
                           << TextOf(reply->body, "reason") << "\n";
  PrintTable(aSession, reply->body.value("tasks", Json::array()),
             {"index", "state", "attempt", "worker", "reason"});
  return ExitCode::Success;
}

ExitCode TargetList(const Session& aSession) {
  return List(aSession, "/v1/ops/targets", "targets",
              {"target", "service", "data_centre", "address", "state", "slots",
               "outstanding", "draining"});
}

ExitCode HostList(const Session& aSession) {
  return List(
      aSession, "/v1/ops/status", "hosts",
      {"data_centre", "host", "known", "stale", "ready", "version", "preset"});
}

ExitCode HostStop(const Session& aSession) {
  const std::string& host = Operand(aSession);
  ExitCode code = ExitCode::Success;
  const auto address = FindOperatorsAddress(aSession, host, code);
  if (!address) {
    return code;
  }
  if (HasOption(aSession.arguments, "dry-run")) {
    aSession.environment.out << "would stop " << host << " at " << *address
                             << "\n";
    return ExitCode::Success;
  }
  // A host stops only on a request that it receives itself, so the request is
  // sent to no other host.
  Session direct = aSession;
  direct.hosts = {*address};
  SendReason reason;
  const Json body{{"request_id", ChooseRequestId(aSession)}};
  const auto reply = Send(direct, "POST", "/v1/ops/stop", body, reason);
  if (const auto failure = FindFailure(aSession, reply, reason)) {
    return *failure;
  }
  if (aSession.json) {
    PrintJson(aSession, reply->body);
  } else {
    aSession.environment.out << host << " is stopping\n";
  }
  return ExitCode::Success;
}

ExitCode Status(const Session& aSession) {
  SendReason reason;
  const auto reply = Get(aSession, "/v1/ops/status", reason);
  if (const auto failure = FindFailure(aSession, reply, reason)) {
    return *failure;
  }
  const Json& body = reply->body;
  if (aSession.json) {
    PrintJson(aSession, body);
    return ExitCode::Success;
  }
  std::ostream& out = aSession.environment.out;
  const Json config = body.value("config", Json::object());
  out << TextOf(body, "host") << " in " << TextOf(body, "data_centre")
      << ", ready: " << TextOf(body, "ready") << ", configuration "
      << TextOf(config, "version") << ", preset " << TextOf(config, "preset")
      << "\n\n";
  PrintTable(
      aSession, body.value("groups", Json::array()),
      {"group", "role", "leader", "term", "commit_index", "applied_index"});
  out << "\n";
  PrintTable(
      aSession, body.value("hosts", Json::array()),
      {"data_centre", "host", "known", "stale", "ready", "version", "preset"});
  for (const Json& warning : body.value("warnings", Json::array())) {
    out << "warning: "
        << (warning.is_string() ? warning.get<std::string>()
                                : codec::DumpJson(warning))
        << "\n";
  }
  return ExitCode::Success;
}

ExitCode ExplainPairs(const Session& aSession) {
  return List(aSession,
              "/v1/ops/explain/pairs" +
                  QueryOf(aSession, {"member", "class", "data-centre"}),
              "pairs",
              {"victim", "aggressor", "aggressor_members", "load_band",
               "slowdown", "samples", "deviation"});
}

}  // namespace bramleypath::cli::detail
