#include "bramleypath/net/LoopProbe.h"

#include <chrono>
#include <utility>

#include "bramleypath/net/Clock.h"

namespace bramleypath::net {

LoopProbe::LoopProbe(asio::io_context& aContext,
                     std::function<void(Duration)> aOnSample)
    : timer(aContext), onSample(std::move(aOnSample)) {}

LoopProbe::~LoopProbe() { *this->alive = false; }

void LoopProbe::Start() {
  const TimePoint dueAt = Now() + kLoopSampleInterval;
  this->timer.expires_after(
      std::chrono::microseconds(kLoopSampleInterval.micros));
  this->timer.async_wait(
      [this, dueAt, isAlive = this->alive](const asio::error_code& aError) {
        if (*isAlive && !aError) {
          this->onSample(Now() - dueAt);
          this->Start();
        }
      });
}

}  // namespace bramleypath::net
