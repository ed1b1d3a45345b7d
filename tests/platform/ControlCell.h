#pragma once

#include <atomic>
#include <filesystem>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>

#include "bramleypath/net/HttpClient.h"
#include "platform/ControlNode.h"

namespace bramleypath::platform_test {

// A control-plane host with its own thread and event loop.
class Host {
 public:
  explicit Host(platform::NodeSettings aSettings);
  ~Host();
  Host(const Host&) = delete;
  Host& operator=(const Host&) = delete;

  // Each turn of the event loop takes at least this long from now on.
  void SetTurnTime(std::chrono::milliseconds aTime);
  // Ends the process without any further write, as a loss of power does.
  void Kill();
  const platform::NodeSettings& Settings() const { return this->settings; }

 private:
  void OccupyTurn();

  platform::NodeSettings settings;
  std::unique_ptr<asio::io_context> context;
  std::unique_ptr<platform::ControlNode> node;
  std::atomic<std::int64_t> turnMs{0};
  std::thread thread;
};

// Callers that each open a connection to one host, as workers' announcements
// do.
class Callers {
 public:
  Callers(std::string aAddress, int aCallsPerSecond);
  ~Callers();
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;

 private:
  void Run();

  std::string address;
  int callsPerSecond;
  std::atomic<bool> stopping{false};
  std::thread thread;
};

// Three control-plane hosts on loopback addresses, and an operator and a client
// that call them.
class ControlCell {
 public:
  ControlCell();
  ~ControlCell();

  void StartAll(bool aBootstrap);
  void Kill(std::size_t aHost) { this->hosts[aHost].reset(); }
  void KillAll();
  void LoseDisk(std::size_t aHost);
  void SetTurnTime(std::chrono::milliseconds aTime);
  // The host that leads; none within the time that an operator waits.
  std::optional<std::size_t> FindLeader();

  // Sends a call to the host and follows redirects, as the platform's callers
  // do; status 0 without an answer after a second.
  net::HttpResponse Call(std::size_t aHost, const std::string& aMethod,
                         const std::string& aPath, const std::string& aBody,
                         const std::string& aClientHost = "",
                         const std::vector<net::Header>& aHeaders = {});
  // Calls the hosts in turn until one answers with 200.
  std::optional<net::HttpResponse> CallUntilDone(const std::string& aMethod,
                                                 const std::string& aPath,
                                                 const std::string& aBody,
                                                 Duration aTimeout);
  const std::string& AddressOf(std::size_t aHost) const {
    return this->settings[aHost].control;
  }
  std::size_t Size() const { return this->hosts.size(); }
  bool IsUp(std::size_t aHost) const { return this->hosts[aHost] != nullptr; }

 private:
  net::HttpResponse CallOnce(const std::string& aAddress,
                             const std::string& aMethod,
                             const std::string& aPath, const std::string& aBody,
                             const std::string& aClientHost,
                             const std::vector<net::Header>& aHeaders);

  std::filesystem::path folder;
  std::vector<platform::NodeSettings> settings;
  std::vector<std::unique_ptr<Host>> hosts;
  asio::io_context context;
  // Results are posted from another thread; without it a run would not wait.
  asio::executor_work_guard<asio::io_context::executor_type> work;
  std::unique_ptr<net::HttpClient> client;
  std::size_t nextHost = 0;
};

}  // namespace bramleypath::platform_test
