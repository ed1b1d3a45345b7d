#include "tests/platform/ControlCell.h"

#include <unistd.h>

#include <chrono>
#include <stdexcept>
#include <utility>

#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>

#include "bramleypath/controller/ControlGroup.h"
#include "bramleypath/net/Clock.h"
#include "bramleypath/relay/Relay.h"
#include "tests/net/Loop.h"

namespace bramleypath::platform_test {

namespace {

constexpr std::size_t kHosts = 3;
constexpr Duration kOperatorWait = Seconds(1);
constexpr std::chrono::milliseconds kPauseBetweenCalls(50);
constexpr int kMaxRedirects = 2;
constexpr std::uint32_t kRedirect = 307;
constexpr std::uint32_t kOk = 200;

std::uint16_t FreePort(const std::string& aIp) {
  asio::io_context context;
  const asio::ip::tcp::acceptor probe(context,
                                      {asio::ip::make_address(aIp), 0});
  return probe.local_endpoint().port();
}

}  // namespace

Host::Host(platform::NodeSettings aSettings)
    : settings(std::move(aSettings)),
      context(std::make_unique<asio::io_context>(1)) {
  this->node = std::make_unique<platform::ControlNode>(
      *this->context, this->settings, [](const std::string&) {});
  std::string reason;
  if (!this->node->Open(reason)) {
    throw std::runtime_error(reason);
  }
  asio::post(*this->context, [this] { this->OccupyTurn(); });
  this->thread = std::thread([this] { this->context->run(); });
}

Host::~Host() { this->Kill(); }

void Host::SetTurnTime(std::chrono::milliseconds aTime) {
  this->turnMs = aTime.count();
}

void Host::Kill() {
  if (!this->thread.joinable()) {
    return;
  }
  this->context->stop();
  this->thread.join();
  this->node.reset();
  this->context.reset();
}

// Runs once in each turn; an unloaded loop has a turn at least each ms.
void Host::OccupyTurn() {
  constexpr std::int64_t kIdleMs = 1;
  std::this_thread::sleep_for(
      std::chrono::milliseconds(std::max<std::int64_t>(kIdleMs, this->turnMs)));
  asio::post(*this->context, [this] { this->OccupyTurn(); });
}

Callers::Callers(std::string aAddress, int aCallsPerSecond)
    : address(std::move(aAddress)), callsPerSecond(aCallsPerSecond) {
  this->thread = std::thread([this] { this->Run(); });
}

Callers::~Callers() {
  this->stopping = true;
  this->thread.join();
}

void Callers::Run() {
  constexpr int kStepsPerSecond = 50;
  constexpr std::size_t kMaxConnections = 1000;
  asio::io_context context;
  const auto work = asio::make_work_guard(context);
  net::HttpClientLimits limits;
  limits.maxConnectionsPerHost = kMaxConnections;
  net::HttpClient client(context, limits);
  while (!this->stopping) {
    for (int call = 0; call < this->callsPerSecond / kStepsPerSecond; ++call) {
      net::ClientRequest request;
      request.method = "GET";
      request.address = this->address;
      request.path = "/none";
      request.deadline = net::Now() + kOperatorWait;
      request.headers.push_back({"Connection", "close"});
      client.Send(std::move(request), [](const net::ClientResult&) {});
    }
    context.restart();
    context.run_for(std::chrono::milliseconds(1000 / kStepsPerSecond));
  }
}

ControlCell::ControlCell()
    : folder(std::filesystem::temp_directory_path() /
             ("bramleypath-cell-" + std::to_string(getpid()))),
      hosts(kHosts),
      work(asio::make_work_guard(this->context)),
      client(std::make_unique<net::HttpClient>(this->context,
                                               net::HttpClientLimits())) {
  // Each process has its own addresses, so that tests can run in parallel.
  constexpr int kFirstNet = 60;
  constexpr int kNets = 150;
  const std::string net = "127." +
                          std::to_string(kFirstNet + getpid() % kNets) + "." +
                          std::to_string(getpid() / kNets % 250) + ".";
  const std::string firstIp = net + "1";
  const std::uint16_t controlPort = FreePort(firstIp);
  std::uint16_t peerPort = controlPort;
  while (peerPort == controlPort) {
    peerPort = FreePort(firstIp);
  }
  std::vector<std::string> seeds;
  for (std::size_t index = 0; index < kHosts; ++index) {
    const std::string ip = net + std::to_string(index + 1);
    seeds.push_back(ip + ":" + std::to_string(controlPort));
  }
  for (std::size_t index = 0; index < kHosts; ++index) {
    platform::NodeSettings one;
    one.host = "core-" + std::to_string(index);
    one.address = net + std::to_string(index + 1);
    one.dataCentre = DataCentreId("dc-" + std::to_string(index));
    one.dataFolder = (this->folder / one.host).string();
    one.seeds = seeds;
    one.control = seeds[index];
    one.peerPort = peerPort;
    this->settings.push_back(one);
  }
  std::filesystem::remove_all(this->folder);
  std::filesystem::create_directories(this->folder);
}

ControlCell::~ControlCell() {
  this->KillAll();
  std::filesystem::remove_all(this->folder);
}

void ControlCell::StartAll(bool aBootstrap) {
  for (std::size_t index = 0; index < kHosts; ++index) {
    if (!this->hosts[index]) {
      this->settings[index].bootstrap = aBootstrap;
      this->hosts[index] = std::make_unique<Host>(this->settings[index]);
    }
  }
}

void ControlCell::KillAll() {
  for (auto& host : this->hosts) {
    host.reset();
  }
}

void ControlCell::LoseDisk(std::size_t aHost) {
  std::filesystem::remove_all(this->settings[aHost].dataFolder);
}

void ControlCell::SetTurnTime(std::chrono::milliseconds aTime) {
  for (const auto& host : this->hosts) {
    if (host) {
      host->SetTurnTime(aTime);
    }
  }
}

std::optional<std::size_t> ControlCell::FindLeader() {
  const TimePoint end = net::Now() + Seconds(10);
  while (net::Now() < end) {
    for (std::size_t index = 0; index < kHosts; ++index) {
      if (!this->hosts[index]) {
        continue;
      }
      const auto response =
          this->Call(index, "GET", controller::kGroupPath, "");
      const auto view = controller::DecodeView(response.body);
      if (view && view->leader.value == this->settings[index].address) {
        return index;
      }
    }
    std::this_thread::sleep_for(kPauseBetweenCalls);
  }
  return std::nullopt;
}

net::HttpResponse ControlCell::CallOnce(
    const std::string& aAddress, const std::string& aMethod,
    const std::string& aPath, const std::string& aBody,
    const std::string& aClientHost, const std::vector<net::Header>& aHeaders) {
  net::ClientRequest request;
  request.headers = aHeaders;
  request.method = aMethod;
  request.address = aAddress;
  request.path = aPath;
  request.body = aBody;
  request.deadline = net::Now() + kOperatorWait;
  // Operators open a connection for each call.
  request.headers.push_back({"Connection", "close"});
  if (!aClientHost.empty()) {
    request.headers.push_back({relay::kHostHeader, aClientHost});
  }
  std::optional<net::ClientResult> result;
  this->client->Send(std::move(request), [&result](net::ClientResult aResult) {
    result = std::move(aResult);
  });
  net_test::RunUntil(this->context, [&result] { return result.has_value(); });
  if (!result || result->delivery != net::Delivery::Answered) {
    net::HttpResponse none;
    none.status = 0;
    return none;
  }
  return result->response;
}

net::HttpResponse ControlCell::Call(std::size_t aHost,
                                    const std::string& aMethod,
                                    const std::string& aPath,
                                    const std::string& aBody,
                                    const std::string& aClientHost,
                                    const std::vector<net::Header>& aHeaders) {
  std::string address = this->settings[aHost].control;
  net::HttpResponse response;
  for (int redirects = 0; redirects <= kMaxRedirects; ++redirects) {
    response =
        this->CallOnce(address, aMethod, aPath, aBody, aClientHost, aHeaders);
    const std::string* const location =
        net::FindHeader(response.headers, "Location");
    if (response.status != kRedirect || !location) {
      break;
    }
    constexpr std::size_t kSchemeLength = 7;  // "http://"
    address = location->substr(
        kSchemeLength, location->find('/', kSchemeLength) - kSchemeLength);
  }
  return response;
}

std::optional<net::HttpResponse> ControlCell::CallUntilDone(
    const std::string& aMethod, const std::string& aPath,
    const std::string& aBody, Duration aTimeout) {
  const TimePoint end = net::Now() + aTimeout;
  while (net::Now() < end) {
    const std::size_t host = this->nextHost++ % kHosts;
    if (!this->hosts[host]) {
      continue;
    }
    net::HttpResponse response = this->Call(host, aMethod, aPath, aBody);
    if (response.status == kOk && net::Now() < end) {
      return response;
    }
    std::this_thread::sleep_for(kPauseBetweenCalls);
  }
  return std::nullopt;
}

}  // namespace bramleypath::platform_test
