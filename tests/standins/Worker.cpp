// A stand-in for a worker: announces itself, runs attempts as timers under the
// leases of its agent, and records the start and the end of each attempt with
// wall-clock time in its ledger.
//
// standin_worker --name W --address IP:PORT --entries IP:PORT,... --rack R
//   --ledger FILE [--processors 32000] [--memory 128000] [--accelerators 0]
//   [--run-ms 300] [--fail 0|1] [--incarnation N] [--announce-ms 500]
// An attempt takes run-ms; a checkpoint says how much of it is done. Resuming
// from a checkpoint takes the rest.

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

// An attempt that runs as a timer.
struct Running {
  std::shared_ptr<asio::steady_timer> timer;
  TimePoint startedAt;
  long long doneBeforeMs = 0;
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
        tick(aContext),
        announceTimer(aContext) {
    const auto number = [&](const char* aName, const char* aDefault) {
      return std::stoll(standins::Argument(aCount, aValues, aName, aDefault));
    };
    this->state.worker.value = standins::Argument(aCount, aValues, "name");
    this->state.incarnation =
        number("incarnation", std::to_string(standins::WallMicros()).c_str());
    this->state.capacity = {number("processors", "32000"),
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
        std::to_string(this->state.capacity.processorsMilli) +
        ",\"memory\":" + std::to_string(this->state.capacity.memoryMb));
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
    this->client.Send(std::move(request), [this, aPath, aBody, aTries](
                                              const net::ClientResult& aEnd) {
      const bool taken = aEnd.delivery == net::Delivery::Answered &&
                         aEnd.response.status == 200;
      if (!taken && aTries > 1) {
        this->Send(aPath, aBody, aTries - 1);
      }
    });
  }

  void Announce() {
    wire::WorkerAnnounce announce;
    announce.message = agent::TakeMessage(this->state, net::Now());
    announce.record.worker = this->state.worker;
    announce.record.incarnation = this->state.incarnation;
    announce.record.address = this->listener.BoundAddress();
    announce.record.rack.value = this->rack;
    announce.record.processorsMilli = this->state.capacity.processorsMilli;
    announce.record.memoryMb = this->state.capacity.memoryMb;
    announce.record.accelerators = this->state.capacity.accelerators;
    this->Send("/v1/workers/announce", wire::ToJson(announce), 2);
    this->announceTimer.expires_after(
        std::chrono::milliseconds(this->announceMs));
    this->announceTimer.async_wait([this](const asio::error_code& aError) {
      if (!aError) {
        this->Announce();
      }
    });
  }

  // Reports changes at once and ends attempts whose lease has passed.
  void Tick() {
    this->CarryOut(agent::Expire(this->state, net::Now()), "lease_expired");
    if (this->changed) {
      this->changed = false;
      wire::WorkerReport report;
      report.message = agent::TakeMessage(this->state, net::Now());
      for (const auto& [id, running] : this->running) {
        report.usage.push_back({id, 100, 100, 0});
      }
      this->Send("/v1/workers/report", wire::ToJson(report), 2);
    }
    this->tick.expires_after(std::chrono::milliseconds(20));
    this->tick.async_wait([this](const asio::error_code& aError) {
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
    this->CarryOut(agent::HandleBatch(this->state, *batch, net::Now()),
                   "stopped");
    net::HttpResponse response;
    response.body = wire::ToJson(agent::TakeMessage(this->state, net::Now()));
    aOut.Send(response);
  }

  void CarryOut(const std::vector<agent::Effect>& aEffects,
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
                this->state, id, std::to_string(this->DoneMs(found->second)));
            this->changed = true;
          }
          break;
        }
        case agent::EffectKind::Stop: {
          const auto found = this->running.find(id);
          if (found != this->running.end()) {
            found->second.timer->cancel();
            this->running.erase(found);
            this->Record(id, "end", aStopEvent, nullptr);
            this->changed = true;
          }
          break;
        }
      }
    }
  }

  long long DoneMs(const Running& aRunning) const {
    return aRunning.doneBeforeMs +
           bramleypath::ToMillis(net::Now() - aRunning.startedAt);
  }

  void StartAttempt(const cell::WorkerCommand& aCommand) {
    const cell::AttemptId id = aCommand.attempt;
    Running running;
    running.timer = std::make_shared<asio::steady_timer>(this->context);
    running.startedAt = net::Now();
    if (!aCommand.checkpoint.empty()) {
      running.doneBeforeMs = std::stoll(aCommand.checkpoint);
    }
    this->Record(id, "start", aCommand.checkpoint.c_str(), &aCommand.resources);
    const long long left =
        this->fails ? 5 : std::max(1LL, this->runMs - running.doneBeforeMs);
    running.timer->expires_after(std::chrono::milliseconds(left));
    running.timer->async_wait([this, id](const asio::error_code& aError) {
      if (aError || this->running.erase(id) == 0) {
        return;
      }
      this->Record(id, "end", this->fails ? "failed" : "finished", nullptr);
      agent::ReportEnd(this->state, id, !this->fails, net::Now());
      this->changed = true;
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
  agent::WorkerAgent state;
  std::string rack;
  long long runMs = 300;
  long long announceMs = 500;
  bool fails = false;
  std::map<cell::AttemptId, Running> running;
  bool changed = false;
  net::HttpClient client;
  net::HttpListener listener;
  asio::steady_timer tick;
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
