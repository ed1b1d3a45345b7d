// A stand-in for a target. It announces itself to entry hosts, serves POST
// /v1/run with a service time per class, refuses calls when all slots are in
// use, and records each execution in its ledger.
//
// standin_target --name T --service S --member M --address IP:PORT
//   --entries IP:PORT,... --ledger FILE [--slots 8] [--times class=ms,...]
//   [--incarnation N]
// On SIGTERM, it announces that it leaves, finishes its running calls and
// exits. The body of an answer is "answer:" followed by the body of the
// request.

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
#include "bramleypath/wire/CallHeaders.h"
#include "bramleypath/wire/TargetMessages.h"
#include "tests/standins/Ledger.h"

namespace net = bramleypath::net;
namespace wire = bramleypath::wire;
using bramleypath::Millis;
using bramleypath::Seconds;

namespace {

class Target {
 public:
  Target(asio::io_context& aContext, int aCount, char** aValues)
      : context(aContext),
        ledger(standins::Argument(aCount, aValues, "ledger")),
        entries(
            standins::Split(standins::Argument(aCount, aValues, "entries"))),
        client(aContext, net::HttpClientLimits()),
        listener(
            aContext, standins::Argument(aCount, aValues, "address"), Limits(),
            [this](net::HttpRequest aRequest, const net::HttpResponder& aOut) {
              this->OnRequest(std::move(aRequest), aOut);
            }),
        announceTimer(aContext) {
    this->record.target.value = standins::Argument(aCount, aValues, "name");
    this->record.service.value = standins::Argument(aCount, aValues, "service");
    this->record.clientAccount.value =
        standins::Argument(aCount, aValues, "member");
    this->record.slots =
        std::stoul(standins::Argument(aCount, aValues, "slots", "8"));
    this->record.connections = 60;
    this->record.incarnation = std::stoull(
        standins::Argument(aCount, aValues, "incarnation",
                           std::to_string(standins::WallMicros()).c_str()));
    for (const std::string& pair :
         standins::Split(standins::Argument(aCount, aValues, "times", ""))) {
      const std::size_t equals = pair.find('=');
      this->serviceTimesMs[pair.substr(0, equals)] =
          std::stoi(pair.substr(equals + 1));
    }
  }

  bool Start() {
    net::NetReason reason;
    if (!this->listener.Open(reason)) {
      std::fprintf(stderr, "%s\n", reason.detail.c_str());
      return false;
    }
    this->record.address = this->listener.BoundAddress();
    this->Announce();
    return true;
  }

  void Leave() {
    this->leaving = true;
    this->announceTimer.cancel();
    this->ledger.Write("\"event\":\"leave\"");
    this->Post("/v1/targets/leave",
               wire::ToJson(bramleypath::membership::TargetLeft{
                   this->record.target, this->record.incarnation}));
    this->WaitUntilIdle();
  }

 private:
  static net::HttpLimits Limits() {
    net::HttpLimits limits;
    limits.maxConnections = 1024;
    return limits;
  }

  void Post(const std::string& aPath, const std::string& aBody) {
    // Each announcement is sent to the next entry host in turn, as a load
    // balancer would do.
    const std::string& entry =
        this->entries[this->nextEntry++ % this->entries.size()];
    net::ClientRequest request;
    request.address = entry;
    request.path = aPath;
    request.body = aBody;
    request.deadline = net::Now() + Millis(400);
    this->client.Send(std::move(request),
                      [this, aPath, aBody](const net::ClientResult& aResult) {
                        // Like a load balancer, this tries another entry host.
                        if (aResult.delivery != net::Delivery::Answered &&
                            this->retries++ < 3 * this->entries.size()) {
                          this->Post(aPath, aBody);
                        } else {
                          this->retries = 0;
                          this->leaveSent = this->leaving;
                        }
                      });
  }

  void Announce() {
    if (this->leaving) {
      return;
    }
    this->record.outstanding = this->runningCalls;
    this->Post("/v1/targets/announce", wire::ToJson(this->record));
    this->announceTimer.expires_after(std::chrono::milliseconds(500));
    this->announceTimer.async_wait([this](const asio::error_code& aError) {
      if (!aError) {
        this->Announce();
      }
    });
  }

  void OnRequest(net::HttpRequest aRequest, const net::HttpResponder& aOut) {
    const auto header = [&aRequest](const char* aName) {
      const std::string* const value = net::FindHeader(aRequest.headers, aName);
      return value ? *value : std::string();
    };
    const std::string id = header(wire::kRequestIdHeader);
    const std::string callClass = header(wire::kClassHeader);
    net::HttpResponse response;
    response.contentType = "text/plain";
    response.headers = {{wire::kRequestIdHeader, id}};
    if (this->runningCalls >= this->record.slots) {
      response.status = 503;
      response.headers.push_back({wire::kOutcomeHeader, wire::kNotRun});
      this->ledger.Write("\"event\":\"refused\",\"request\":\"" + id + "\"");
      aOut.Send(response);
      return;
    }
    ++this->runningCalls;
    const std::string fields = nlohmann::json{
        {"event", "run"},
        {"request", id},
        {"class", callClass},
        {"body", aRequest.body.substr(
                     0, 200)}}.dump();
    this->ledger.Write(fields.substr(1, fields.size() - 2));
    response.body = "answer:" + aRequest.body;
    const auto found = this->serviceTimesMs.find(callClass);
    const int serviceTimeMs =
        found == this->serviceTimesMs.end() ? 5 : found->second;
    auto timer = std::make_shared<asio::steady_timer>(this->context);
    timer->expires_after(std::chrono::milliseconds(serviceTimeMs));
    timer->async_wait([this, timer, aOut, response](const asio::error_code&) {
      --this->runningCalls;
      aOut.Send(response);
    });
  }

  void WaitUntilIdle() {
    auto timer = std::make_shared<asio::steady_timer>(this->context);
    timer->expires_after(std::chrono::milliseconds(20));
    timer->async_wait([this, timer](const asio::error_code&) {
      // Entry hosts that have not learned about the leave yet may still send
      // calls, so the target waits until none arrived for one second.
      const bool noRecentRequest =
          this->listener.LastRequestAt() + Seconds(1) < net::Now();
      if (this->leaveSent && this->runningCalls == 0 &&
          this->listener.OpenRequests() == 0 && noRecentRequest) {
        this->ledger.Write("\"event\":\"stopped\"");
        this->context.stop();
      } else {
        this->WaitUntilIdle();
      }
    });
  }

  asio::io_context& context;
  standins::Ledger ledger;
  std::vector<std::string> entries;
  std::map<std::string, int> serviceTimesMs;
  bramleypath::membership::TargetRecord record;
  net::HttpClient client;
  net::HttpListener listener;
  asio::steady_timer announceTimer;
  std::size_t nextEntry = 0;
  std::size_t retries = 0;
  std::uint32_t runningCalls = 0;
  bool leaving = false;
  bool leaveSent = false;
};

}  // namespace

int main(int aCount, char** aValues) {
  asio::io_context context;
  Target target(context, aCount, aValues);
  if (!target.Start()) {
    return 1;
  }
  asio::signal_set signals(context, SIGTERM);
  signals.async_wait([&target](const asio::error_code& aError, int) {
    if (!aError) {
      target.Leave();
    }
  });
  context.run();
  return 0;
}
