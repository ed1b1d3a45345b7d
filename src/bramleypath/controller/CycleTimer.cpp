#include "bramleypath/controller/CycleTimer.h"

#include <chrono>
#include <utility>

#include "bramleypath/net/Clock.h"

namespace bramleypath::controller {

CycleTimer::CycleTimer(asio::io_context& aContext,
                       std::function<void(TimePoint)> aOnDue)
    : timer(aContext), onDue(std::move(aOnDue)) {}

CycleTimer::~CycleTimer() { *this->alive = false; }

void CycleTimer::Set(TimePoint aDueAt, TimePoint aNow) {
  this->dueAt = aDueAt;
  if (aDueAt < this->pendingAt) {
    this->Arm(aNow);
  }
}

void CycleTimer::Arm(TimePoint aNow) {
  ++this->armings;
  this->pendingAt = this->dueAt;
  this->timer.expires_after(
      std::chrono::microseconds((this->dueAt - aNow).micros));
  this->timer.async_wait(
      [this, isAlive = this->alive](const asio::error_code& aError) {
        if (*isAlive && !aError) {
          this->OnExpired();
        }
      });
}

void CycleTimer::OnExpired() {
  this->pendingAt = kNever;
  const TimePoint now = net::Now();
  if (now < this->dueAt) {
    this->Arm(now);
    return;
  }
  this->onDue(std::exchange(this->dueAt, kNever));
}

}  // namespace bramleypath::controller
