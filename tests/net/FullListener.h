#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstddef>
#include <string>
#include <vector>

namespace net_test {

// A listening socket on the loopback interface whose queue of connections is
// full, so that the kernel drops further attempts to connect, as for a host
// that is cut off.
class FullListener {
 public:
  explicit FullListener(asio::io_context& aContext) : acceptor(aContext) {
    const asio::ip::tcp::endpoint any(asio::ip::make_address("127.0.0.1"), 0);
    this->acceptor.open(any.protocol());
    this->acceptor.bind(any);
    this->acceptor.listen(0);
    // One more than the queue holds.
    constexpr std::size_t kFillers = 3;
    for (std::size_t i = 0; i < kFillers; ++i) {
      this->fillers.emplace_back(aContext).async_connect(
          this->acceptor.local_endpoint(), [](const asio::error_code&) {});
    }
  }

  std::string Address() const {
    return "127.0.0.1:" +
           std::to_string(this->acceptor.local_endpoint().port());
  }

 private:
  asio::ip::tcp::acceptor acceptor;
  std::vector<asio::ip::tcp::socket> fillers;
};

}  // namespace net_test
