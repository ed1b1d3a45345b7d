#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "bramleypath/gateway/Environment.h"
#include "bramleypath/gateway/Messages.h"
#include "bramleypath/workflow/Driver.h"

namespace bramleypath::gateway {

struct GatewayCounters {
  std::uint64_t executed = 0;
  // Not sent, because they came too late or not from the known leader.
  std::uint64_t rejected = 0;
};

// Sends the leader's requests to workers and returns their answers, those of
// 10 ms in one frame.
class Gateway {
 public:
  // aProcess is random. aDriver sends the requests from this host.
  Gateway(Environment aEnvironment, std::uint64_t aProcess,
          workflow::WorkerDriver aDriver);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  void OnProbe(const HostId& aFrom);
  void OnRequests(const HostId& aFrom, gsl::span<const std::uint8_t> aPayload);
  // Rejects further requests, before the process ends.
  void Close() { this->closed = true; }
  const GatewayCounters& Counters() const { return this->counters; }

 private:
  // The process of a leader that waits for answers.
  using Receiver = std::pair<HostId, std::uint64_t>;

  Stamp MakeStamp() const;
  bool MaySend(const Requests& aRequests, const Request& aRequest) const;
  void Execute(const Receiver& aReceiver, const Request& aRequest);
  void AddAnswer(const Receiver& aReceiver, Answer aAnswer);
  void SendAnswers();

  Environment environment;
  std::uint64_t process;
  workflow::WorkerDriver driver;
  std::map<Receiver, std::vector<Answer>> answers;
  bool closed = false;
  GatewayCounters counters;
  // Set to false by the destructor, so that answers that come later are
  // dropped.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace bramleypath::gateway
