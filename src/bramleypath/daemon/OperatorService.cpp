#include "bramleypath/daemon/OperatorService.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "bramleypath/base/Text.h"
#include "bramleypath/codec/Bounded.h"
#include "bramleypath/config/Codec.h"
#include "bramleypath/daemon/EventLog.h"
#include "bramleypath/daemon/StatusPage.h"
#include "bramleypath/net/Clock.h"

namespace bramleypath::daemon {

namespace {

using nlohmann::json;

// Timeout of a change of the configuration or of a job, up to its commit.
constexpr Duration kOperatorTimeout = Seconds(6);

constexpr const char* kTargetsPath = "/v1/ops/targets/";
constexpr const char* kDrainSuffix = "/drain";
constexpr const char* kExplainCallPath = "/v1/ops/explain/call/";

json ToJson(const config::HostInForce& aRow) {
  return {{"host", aRow.host.value},    {"data_centre", aRow.dataCentre.value},
          {"known", aRow.known},        {"stale", aRow.stale},
          {"ready", aRow.ready},        {"version", aRow.version},
          {"preset", aRow.preset.value}};
}

json ToJson(const GroupStatus& aGroup) {
  return {{"group", aGroup.group},
          {"role", aGroup.leading ? "leader" : "follower"},
          {"leader", aGroup.leader.value},
          {"term", aGroup.term},
          {"commit_index", aGroup.commitIndex},
          {"applied_index", aGroup.appliedIndex},
          {"storage_full", aGroup.storageFull},
          {"voters", aGroup.voters},
          {"learners", aGroup.learners}};
}

}  // namespace

OperatorService::OperatorService(OperatorDependencies aDependencies)
    : dependencies(std::move(aDependencies)) {}

void OperatorService::Handle(const net::HttpRequest& aRequest,
                             PeerRpc::Respond aRespond) {
  const std::string& path = aRequest.path;
  const bool post = aRequest.method == "POST";
  const TimePoint deadline = net::Now() + kOperatorTimeout;
  if (path == "/v1/ops/config" && post) {
    this->dependencies.config.HandleChange(aRequest.body, false, deadline,
                                           std::move(aRespond));
  } else if (path == "/v1/ops/config") {
    aRespond(this->Config());
  } else if (path == "/") {
    net::HttpResponse page;
    page.contentType = "text/html; charset=utf-8";
    page.headers.push_back(
        {"Content-Security-Policy",
         "default-src 'none'; connect-src 'self'; style-src 'unsafe-inline'; "
         "script-src 'unsafe-inline'"});
    page.body = StatusPage();
    aRespond(std::move(page));
  } else if (path == "/v1/ops/status") {
    aRespond(this->Status());
  } else if (path == "/metrics") {
    aRespond(this->Metrics());
  } else if (path == "/v1/ops/targets") {
    aRespond(this->Targets());
  } else if (post && StartsWith(path, kTargetsPath) &&
             EndsWith(path, kDrainSuffix)) {
    this->Drain(aRequest, std::move(aRespond));
  } else if (StartsWith(path, kExplainCallPath)) {
    aRespond(
        this->ExplainCall(path.substr(std::string(kExplainCallPath).size())));
  } else if (path == "/v1/ops/log-level" && post) {
    aRespond(this->ChangeLogLevel(aRequest));
  } else if (path == "/v1/ops/stop" && post) {
    aRespond(net::JsonResponse(
        200, {{"accepted", true}, {"host", this->dependencies.self.value}}));
    this->onStop();
  } else if (StartsWith(path, "/v1/ops/jobs") ||
             StartsWith(path, "/v1/ops/explain/job/") ||
             path == "/v1/ops/explain/pairs") {
    if (this->dependencies.cell) {
      this->dependencies.cell->HandleJobs(aRequest, false, deadline,
                                          std::move(aRespond));
    } else {
      aRespond(
          OperatorError(503, "no_leader", "", "this data centre has no cell"));
    }
  } else {
    aRespond(OperatorError(404, "not_found", "", "no such endpoint"));
  }
}

net::HttpResponse OperatorService::Config() const {
  const config::Distribution& state = this->dependencies.config.State();
  const std::string text =
      config::ConfigurationToJson(state.state.configuration);
  return net::JsonResponse(200, {{"host", this->dependencies.self.value},
                                 {"version", state.state.version},
                                 {"index", state.appliedIndex},
                                 {"configuration", json::parse(text)}});
}

net::HttpResponse OperatorService::Status() const {
  const config::Distribution& state = this->dependencies.config.State();
  json hosts = json::array();
  for (const config::HostInForce& row :
       config::ListInForce(state, net::Now())) {
    hosts.push_back(ToJson(row));
  }
  json groups = json::array();
  for (const GroupStatus& group : this->dependencies.groups.Status()) {
    groups.push_back(ToJson(group));
  }
  return net::JsonResponse(
      200,
      {{"host", this->dependencies.self.value},
       {"data_centre", this->dependencies.dataCentre.value},
       {"ready", this->dependencies.config.IsReady()},
       {"config",
        {{"version", state.state.version},
         {"index", state.appliedIndex},
         {"preset", state.state.configuration.presetInForce.value}}},
       {"hosts", std::move(hosts)},
       {"groups", std::move(groups)},
       {"warnings", LayoutWarnings(this->dependencies.config.CurrentHosts())}});
}

net::HttpResponse OperatorService::Targets() const {
  const membership::Members& members =
      this->dependencies.targetMembership.State();
  const auto& drained = this->dependencies.config.Current().drainedTargets;
  json targets = json::array();
  for (const auto& [id, entry] : members.targets) {
    targets.push_back({{"target", id.value},
                       {"service", entry.record.service.value},
                       {"data_centre", this->dependencies.dataCentre.value},
                       {"address", entry.record.address},
                       {"state", members.chart.chart.states[entry.state]},
                       {"slots", entry.record.slots},
                       {"outstanding", entry.record.outstanding},
                       {"draining", drained.count(id) != 0}});
  }
  return net::JsonResponse(200, {{"targets", std::move(targets)}});
}

net::HttpResponse OperatorService::Metrics() const {
  metrics::Registry& metrics = this->dependencies.metrics;
  const net::PeerCounters& links = this->dependencies.links.Counters();
  metrics.SetCounter("peer_messages_sent_total", links.sent);
  metrics.SetCounter("peer_bytes_sent_total", links.sentBytes);
  metrics.SetCounter("peer_messages_received_total", links.received);
  metrics.SetCounter("peer_bytes_received_total", links.receivedBytes);
  metrics.SetCounter("peer_gossip_dropped_total", links.droppedGossip);
  metrics.SetCounter("peer_messages_dropped_total", links.droppedOther);
  metrics.SetCounter("peer_messages_malformed_total", links.refusedMalformed);
  metrics.SetCounter("peer_messages_refused_total", links.refusedSender);
  metrics.SetCounter("peer_connections_opened_total", links.connectionsOpened);
  const routing::Counters& calls = this->dependencies.calls.State().counters;
  metrics.SetCounter("call_attempts_total", calls.attempts);
  metrics.SetCounter("call_retries_total", calls.retries);
  metrics.SetCounter("calls_forwarded_total", calls.forwarded);
  metrics.SetCounter("late_answers_total", calls.lateAnswers);
  metrics.SetCounter("mismatched_answers_total", calls.mismatchedAnswers);
  metrics.SetCounter("target_ejections_total", calls.ejections);
  metrics.SetGauge("calls_open",
                   static_cast<double>(this->dependencies.calls.OpenCalls()));
  metrics.SetGauge(
      "config_version",
      static_cast<double>(this->dependencies.config.State().state.version));
  metrics.SetGauge("ready", this->dependencies.config.IsReady() ? 1 : 0);
  bool full = false;
  for (const GroupStatus& group : this->dependencies.groups.Status()) {
    full = full || group.storageFull;
  }
  metrics.SetGauge("disk_full", full ? 1 : 0);
  if (this->dependencies.cell) {
    const CellCounters& cell = this->dependencies.cell->Counters();
    metrics.SetCounter("worker_batches_sent_total", cell.batchesSent);
    metrics.SetCounter("worker_batches_withheld_total", cell.batchesWithheld);
    metrics.SetCounter("worker_batches_failed_total", cell.batchesFailed);
    metrics.SetCounter("cell_proposals_total", cell.proposals);
    metrics.SetCounter("cell_proposals_failed_total", cell.proposalsFailed);
  }
  net::HttpResponse response;
  response.contentType = "text/plain; version=0.0.4";
  response.body = metrics.WriteExposition();
  return response;
}

net::HttpResponse OperatorService::ExplainCall(
    const std::string& aRequestId) const {
  const auto refusal = routing::ExplainCall(this->dependencies.calls.State(),
                                            RequestId(aRequestId));
  if (!refusal) {
    return OperatorError(404, "not_found", "request_id",
                         "no refusal of this call is remembered here");
  }
  return net::JsonResponse(200, {{"request_id", aRequestId},
                                 {"member", refusal->clientAccount.value},
                                 {"class", refusal->callClass.value},
                                 {"service", refusal->service.value},
                                 {"reason", routing::ToText(refusal->reason)},
                                 {"detail", routing::ToText(*refusal)}});
}

void OperatorService::Drain(const net::HttpRequest& aRequest,
                            PeerRpc::Respond aRespond) {
  const std::string prefix = kTargetsPath;
  const std::string suffix = kDrainSuffix;
  const std::string target = aRequest.path.substr(
      prefix.size(), aRequest.path.size() - prefix.size() - suffix.size());
  json body = codec::ParseJson(aRequest.body);
  if (!body.is_object() || !body.contains("draining")) {
    aRespond(OperatorError(400, "malformed", "draining",
                           "the body must be an object with draining"));
    return;
  }
  body["change"] = {{"kind", "drain_target"},
                    {"target", target},
                    {"draining", body["draining"]}};
  body.erase("draining");
  this->dependencies.config.HandleChange(
      body.dump(), false, net::Now() + kOperatorTimeout, std::move(aRespond));
}

net::HttpResponse OperatorService::ChangeLogLevel(
    const net::HttpRequest& aRequest) const {
  const json body = codec::ParseJson(aRequest.body);
  const bool valid =
      body.is_object() && body.contains("level") && body["level"].is_string();
  if (!valid || !SetLogLevel(body["level"].get<std::string>())) {
    return OperatorError(400, "malformed", "level",
                         "must be debug, info, warn or error");
  }
  LogEvent(LogLevel::Info, "daemon", "log_level_changed",
           {{"level", body["level"].get<std::string>()}});
  return net::JsonResponse(200, {{"level", body["level"]}});
}

}  // namespace bramleypath::daemon
