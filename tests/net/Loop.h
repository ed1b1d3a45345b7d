#pragma once

#include <asio/io_context.hpp>
#include <chrono>
#include <functional>

namespace net_test {

// Runs the context until the condition holds; false after ten seconds.
inline bool RunUntil(asio::io_context& aContext,
                     const std::function<bool()>& aCondition) {
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    aContext.restart();
    aContext.run_for(std::chrono::milliseconds(5));
  }
  return true;
}

}  // namespace net_test
