#pragma once

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>

namespace net_test {

// A timer that fires every 20 ms, as that of a consensus replica does, and
// records by how much it was late at most.
class TimerProbe {
 public:
  explicit TimerProbe(asio::io_context& aContext) : timer(aContext) {
    this->Arm();
  }
  std::chrono::milliseconds Latest() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::max(this->latest, Clock::now() - this->dueAt));
  }

 private:
  using Clock = std::chrono::steady_clock;

  void Arm() {
    constexpr std::chrono::milliseconds kInterval(20);
    this->dueAt = Clock::now() + kInterval;
    this->timer.expires_at(this->dueAt);
    this->timer.async_wait([this](const asio::error_code& aError) {
      if (!aError) {
        this->latest = std::max(this->latest, Clock::now() - this->dueAt);
        this->Arm();
      }
    });
  }

  asio::steady_timer timer;
  Clock::time_point dueAt;
  Clock::duration latest{};
};

// A leader sends heartbeats every 100 ms and holds its lease for 400 ms after
// one that was answered. Sending and receiving may each be late by this much.
constexpr std::chrono::milliseconds kMaxTimerDelay(150);

// Blocks the thread, as a handler that computes for this long does.
inline void Compute(std::chrono::milliseconds aLength) {
  const auto end = std::chrono::steady_clock::now() + aLength;
  while (std::chrono::steady_clock::now() < end) {
  }
}

}  // namespace net_test
