#pragma once

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>

namespace net_test {

// How long each handler computes that is counted by a TimerProbe.
constexpr std::chrono::milliseconds kHandlerTime(3);

// A timer that fires every 20 ms, as that of a consensus replica does. Counts
// the handlers that run while it is overdue; unlike its delay, their number
// does not depend on the load of the machine.
class TimerProbe {
 public:
  explicit TimerProbe(asio::io_context& aContext) : timer(aContext) {
    this->Arm();
  }
  // Blocks the thread for kHandlerTime, as a handler that computes does.
  void RunHandler() {
    const auto end = Clock::now() + kHandlerTime;
    while (Clock::now() < end) {
    }
    this->overdue += this->dueAt < end ? 1 : 0;
    this->mostOverdue = std::max(this->mostOverdue, this->overdue);
  }
  // The most handlers that ran while the timer was overdue.
  int MostOverdue() const { return this->mostOverdue; }

 private:
  using Clock = std::chrono::steady_clock;

  void Arm() {
    constexpr std::chrono::milliseconds kInterval(20);
    this->overdue = 0;
    this->dueAt = Clock::now() + kInterval;
    this->timer.expires_at(this->dueAt);
    this->timer.async_wait([this](const asio::error_code& aError) {
      if (!aError) {
        this->Arm();
      }
    });
  }

  asio::steady_timer timer;
  Clock::time_point dueAt;
  int overdue = 0;
  int mostOverdue = 0;
};

// A leader sends heartbeats every 100 ms and holds its lease for 400 ms after
// one that was answered. Sending and receiving may each be late by 150 ms.
constexpr int kMaxOverdueHandlers =
    std::chrono::milliseconds(150) / kHandlerTime;

}  // namespace net_test
