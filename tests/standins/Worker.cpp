// A stand-in for a worker. It announces itself, simulates attempts with timers
// under the leases of its agent, and records the start and the end of each
// attempt with wall-clock time in its ledger.
//
// standin_worker --name W --address IP:PORT --entries IP:PORT,... --rack R
//   --ledger FILE [--processors 32000] [--memory 128000] [--accelerators 0]
//   [--run-ms 300] [--fail 0|1] [--incarnation N] [--announce-ms 500]
// An attempt runs for run-ms milliseconds. A checkpoint holds the milliseconds
// already run, and an attempt that resumes from it runs for the rest.

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include <chrono>
#include <csignal>
#include <cstdio>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

#include "bramleypath/net/Clock.h"
#include "bramleypath/net/HttpClient.h"
#include "bramleypath/net/HttpListener.h"
#include "bramleypath/wire/WorkerMessages.h"
#include "bramleypath/workeragent/WorkerAgent.h"
#include "tests/standins/Ledger.h"

namespace net = bramleypath::net;
namespace wire = bramleypath::wire;
namespace cell = bramleypath::cell;
namespace agent = bramleypath::workeragent;
using bramleypath::Millis;
using bramleypath::TimePoint;

namespace {

// An attempt, which a timer simulates.
struct RunningAttempt {
  std::shared_ptr<asio::steady_timer> timer;
  TimePoint startedAt;
  long long completedBeforeMs = 0;
};

class Worker {
 public:
  Worker(asio::io_context& aContext, int aCount, char** aValues)
      : context(aContext),
        ledger(standins::Argument(aCount, aValues, "ledger")),
        entries(
            standins::Split(standins::Argument(aCount, aValues, "entries"))),
        client(aContext, net::HttpClientLimits()),
        listener(aContext, standins::Argument(aCount, aValues, "address"),
                 net::HttpLimits(),
                 [this](const net::HttpRequest& aRequest,
                        const net::HttpResponder& aOut) {
                   this->OnRequest(aRequest, aOut);
                 }),
        tickTimer(aContext),
        announceTimer(aContext) {
    const auto number = [&](const char* aName, const char* aDefault) {
      return std::stoll(standins::Argument(aCount, aValues, aName, aDefault));
    };
    this->agentState.worker.value = standins::Argument(aCount, aValues, "name");
    this->agentState.incarnation =
        number("incarnation", std::to_string(standins::WallMicros()).c_str());
    this->agentState.capacity = {number("processors", "32000"),
                                 number("memory", "128000"),
                                 number("accelerators", "0")};
    this->rack = standins::Argument(aCount, aValues, "rack");
    this->runMs = number("run-ms", "300");
    this->fails = number("fail", "0") != 0;
    this->announceMs = number("announce-ms", "500");
  }

  bool Start() {
    net::NetReason reason;
    if (!this->listener.Open(reason)) {
      std::fprintf(stderr, "%s\n", reason.detail.c_str());
      return false;
    }
    this->ledger.Write(
        "\"event\":\"up\",\"processors\":" +
        std::to_string(this->agentState.capacity.processorsMilli) +
        ",\"memory\":" + std::to_string(this->agentState.capacity.memoryMb));
    this->Announce();
    this->Tick();
    return true;
  }

 private:
  void Send(const std::string& aPath, const std::string& aBody,
            std::size_t aTries) {
    net::ClientRequest request;
    request.address = this->entries[this->nextEntry++ % this->entries.size()];
    request.path = aPath;
    request.body = aBody;
    request.deadline = net::Now() + Millis(800);
    this->client.Send(
        std::move(request),
        [this, aPath, aBody, aTries](const net::ClientResult& aResult) {
          const bool accepted = aResult.delivery == net::Delivery::Answered &&
                                aResult.response.status == 200;
          if (!accepted && aTries > 1) {
            this->Send(aPath, aBody, aTries - 1);
          }
        });
  }

  void Announce() {
    wire::WorkerAnnounce announce;
    announce.message = agent::TakeMessage(this->agentState, net::Now());
    announce.record.worker = this->agentState.worker;
    announce.record.incarnation = this->agentState.incarnation;
    announce.record.address = this->listener.BoundAddress();
    announce.record.rack.value = this->rack;
    announce.record.processorsMilli = this->agentState.capacity.processorsMilli;
    announce.record.memoryMb = this->agentState.capacity.memoryMb;
    announce.record.accelerators = this->agentState.capacity.accelerators;
    this->Send("/v1/workers/announce", wire::ToJson(announce), 2);
    this->announceTimer.expires_after(
        std::chrono::milliseconds(this->announceMs));
    this->announceTimer.async_wait([this](const asio::error_code& aError) {
      if (!aError) {
        this->Announce();
      }
    });
  }

  // Runs every 20 ms: ends attempts whose lease has expired, and reports
  // attempts that have changed since the last report.
  void Tick() {
    this->ApplyEffects(agent::Expire(this->agentState, net::Now()),
                       "lease_expired");
    if (this->reportPending) {
      this->reportPending = false;
      wire::WorkerReport report;
      report.message = agent::TakeMessage(this->agentState, net::Now());
      for (const auto& [id, running] : this->running) {
        report.usage.push_back({id, 100, 100, 0});
      }
      this->Send("/v1/workers/report", wire::ToJson(report), 2);
    }
    this->tickTimer.expires_after(std::chrono::milliseconds(20));
    this->tickTimer.async_wait([this](const asio::error_code& aError) {
      if (!aError) {
        this->Tick();
      }
    });
  }

  void OnRequest(const net::HttpRequest& aRequest,
                 const net::HttpResponder& aOut) {
    wire::WireReason reason;
    const auto batch = wire::ParseCommandBatch(aRequest.body, reason);
    if (aRequest.path != "/v1/commands" || !batch) {
      aOut.Send(net::ErrorResponse(400, reason.field, reason.detail));
      return;
    }
    this->ApplyEffects(agent::HandleBatch(this->agentState, *batch, net::Now()),
                       "stopped");
    net::HttpResponse response;
    response.body =
        wire::ToJson(agent::TakeMessage(this->agentState, net::Now()));
    aOut.Send(response);
  }

  void ApplyEffects(const std::vector<agent::Effect>& aEffects,
                    const char* aStopEvent) {
    for (const agent::Effect& effect : aEffects) {
      const cell::AttemptId& id = effect.command.attempt;
      switch (effect.kind) {
        case agent::EffectKind::Start:
          this->StartAttempt(effect.command);
          break;
        case agent::EffectKind::Throttle:
          break;
        case agent::EffectKind::Checkpoint: {
          const auto found = this->running.find(id);
          if (found != this->running.end()) {
            agent::ReportCheckpoint(
                this->agentState, id,
                std::to_string(this->CompletedMs(found->second)));
            this->reportPending = true;
          }
          break;
        }
        case agent::EffectKind::Stop: {
          const auto found = this->running.find(id);
          if (found != this->running.end()) {
            found->second.timer->cancel();
            this->running.erase(found);
            this->Record(id, "end", aStopEvent, nullptr);
            this->reportPending = true;
          }
          break;
        }
      }
    }
  }

  long long CompletedMs(const RunningAttempt& aRunning) const {
    return aRunning.completedBeforeMs +
           bramleypath::ToMillis(net::Now() - aRunning.startedAt);
  }

  void StartAttempt(const cell::WorkerCommand& aCommand) {
    const cell::AttemptId id = aCommand.attempt;
    RunningAttempt running;
    running.timer = std::make_shared<asio::steady_timer>(this->context);
    running.startedAt = net::Now();
    if (!aCommand.checkpoint.empty()) {
      running.completedBeforeMs = std::stoll(aCommand.checkpoint);
    }
    this->Record(id, "start", aCommand.checkpoint.c_str(), &aCommand.resources);
    const long long remainingMs =
        this->fails ? 5
                    : std::max(1LL, this->runMs - running.completedBeforeMs);
    running.timer->expires_after(std::chrono::milliseconds(remainingMs));
    running.timer->async_wait([this, id](const asio::error_code& aError) {
      if (aError || this->running.erase(id) == 0) {
        return;
      }
      this->Record(id, "end", this->fails ? "failed" : "finished", nullptr);
      agent::ReportEnd(this->agentState, id, !this->fails, net::Now());
      this->reportPending = true;
    });
    this->running[id] = std::move(running);
  }

  void Record(const cell::AttemptId& aId, const char* aEvent,
              const char* aDetail, const cell::Resources* aResources) {
    nlohmann::json fields{{"event", aEvent},
                          {"job", aId.task.job.value},
                          {"index", aId.task.index},
                          {"attempt", aId.number},
                          {"detail", aDetail}};
    if (aResources) {
      fields["processors"] = aResources->processorsMilli;
      fields["memory"] = aResources->memoryMb;
    }
    const std::string text = fields.dump();
    this->ledger.Write(text.substr(1, text.size() - 2));
  }

  asio::io_context& context;
  standins::Ledger ledger;
  std::vector<std::string> entries;
  agent::WorkerAgent agentState;
  std::string rack;
  long long runMs = 300;
  long long announceMs = 500;
  bool fails = false;
  std::map<cell::AttemptId, RunningAttempt> running;
  bool reportPending = false;
  net::HttpClient client;
  net::HttpListener listener;
  asio::steady_timer tickTimer;
  asio::steady_timer announceTimer;
  std::size_t nextEntry = 0;
};

}  // namespace

int main(int aCount, char** aValues) {
  asio::io_context context;
  Worker worker(context, aCount, aValues);
  if (!worker.Start()) {
    return 1;
  }
  asio::signal_set signals(context, SIGTERM);
  signals.async_wait(
      [&context](const asio::error_code&, int) { context.stop(); });
  context.run();
  return 0;
}
