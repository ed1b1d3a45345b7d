#pragma once

#include <functional>
#include <memory>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include "bramleypath/base/TimePoint.h"

namespace bramleypath::net {

constexpr Duration kLoopSampleInterval = Millis(100);

// Measures in each kLoopSampleInterval how long an event of the io_context
// waits until it is handled. A message or connection that arrives meanwhile
// waits as long at each of the steps by which it is handled.
class LoopProbe {
 public:
  // aOnSample is called with the wait of the last event.
  LoopProbe(asio::io_context& aContext,
            std::function<void(Duration)> aOnSample);
  ~LoopProbe();
  LoopProbe(const LoopProbe&) = delete;
  LoopProbe& operator=(const LoopProbe&) = delete;

  void Start();

 private:
  asio::steady_timer timer;
  std::function<void(Duration)> onSample;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace bramleypath::net
