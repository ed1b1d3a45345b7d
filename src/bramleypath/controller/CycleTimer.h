#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include "bramleypath/base/TimePoint.h"

namespace bramleypath::controller {

// A timer whose due time is set again many times before it passes. Putting it
// off costs no system call: the pending expiry then finds that the time has not
// come, and waits for the rest.
class CycleTimer {
 public:
  // aOnDue is called with the due time that has passed. The timer may be set
  // again in that call.
  CycleTimer(asio::io_context& aContext, std::function<void(TimePoint)> aOnDue);
  ~CycleTimer();
  CycleTimer(const CycleTimer&) = delete;
  CycleTimer& operator=(const CycleTimer&) = delete;

  // Replaces the due time.
  void Set(TimePoint aDueAt, TimePoint aNow);
  // How often an expiry was requested from the io_context.
  std::uint64_t Armings() const { return this->armings; }

 private:
  void Arm(TimePoint aNow);
  void OnExpired();

  asio::steady_timer timer;
  std::function<void(TimePoint)> onDue;
  TimePoint dueAt = kNever;
  TimePoint pendingAt = kNever;  // when the pending expiry comes, if any
  std::uint64_t armings = 0;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace bramleypath::controller
