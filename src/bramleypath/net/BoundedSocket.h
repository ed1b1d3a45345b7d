#pragma once

#include <algorithm>
#include <cstddef>
#include <memory>
#include <type_traits>
#include <utility>

#include <asio/associated_executor.hpp>
#include <asio/bind_executor.hpp>
#include <asio/buffer.hpp>
#include <asio/error.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include "bramleypath/net/ConnectionRegistry.h"

namespace bramleypath::net::detail {

// The stream socket of a server connection, which reports to the process's
// registry what it reads and writes. When the registry has closed the
// connection, the next read gives the end of the stream, so that bytes that the
// kernel still holds are not taken in.
class BoundedSocket : public asio::ip::tcp::socket {
 public:
  using Base = asio::ip::tcp::socket;

  explicit BoundedSocket(asio::io_context& aContext)
      : Base(aContext),
        registry(&asio::use_service<ConnectionRegistry>(aContext)) {}
  BoundedSocket(BoundedSocket&& aOther) = default;
  BoundedSocket& operator=(BoundedSocket&& aOther) = default;
  ~BoundedSocket() { this->Release(); }

  // RESTinio reads the endpoint of an accepted connection in this way. An
  // exception for one that is reset already would cost its connection limiter a
  // slot for good, so such a connection is started and fails at its first read.
  BoundedSocket& lowest_layer() { return *this; }  // NOLINT
  endpoint_type remote_endpoint() const {          // NOLINT
    asio::error_code ignored;
    return Base::remote_endpoint(ignored);
  }

  // Registers the connection while aStart runs.
  template <typename Start>
  void Track(Start aStart) {
    this->tracked = std::make_shared<TrackedConnection>(*this->registry,
                                                        this->native_handle());
    this->registry->starting = this->tracked;
    aStart();
    this->registry->starting.reset();
  }

  void close() {  // NOLINT
    this->Release();
    Base::close();
  }

  template <typename Buffers, typename Handler>
  void async_read_some(const Buffers& aBuffers, Handler&& aHandler) {  // NOLINT
    const auto executor =
        asio::get_associated_executor(aHandler, this->get_executor());
    Base::async_read_some(
        aBuffers,
        asio::bind_executor(
            executor,
            [tracked = this->tracked, aBuffers,
             handler = std::decay_t<Handler>(std::forward<Handler>(aHandler))](
                const asio::error_code& aError, std::size_t aBytes) mutable {
              if (tracked && !aError) {
                tracked->OnReceived(aBytes, CountLineFeeds(aBuffers, aBytes));
              }
              if (tracked && !aError && tracked->IsClosing()) {
                handler(asio::error_code(asio::error::eof), 0);
              } else {
                handler(aError, aBytes);
              }
            }));
  }

  template <typename Buffers, typename Handler>
  void async_write_some(const Buffers& aBuffers,  // NOLINT
                        Handler&& aHandler) {
    const auto executor =
        asio::get_associated_executor(aHandler, this->get_executor());
    Base::async_write_some(
        aBuffers,
        asio::bind_executor(
            executor,
            [tracked = this->tracked,
             handler = std::decay_t<Handler>(std::forward<Handler>(aHandler))](
                const asio::error_code& aError, std::size_t aBytes) mutable {
              if (tracked) {
                tracked->OnWritten(aBytes);
              }
              handler(aError, aBytes);
            }));
  }

 private:
  void Release() {
    if (this->tracked) {
      this->tracked->Release();
    }
  }

  template <typename Buffers>
  static std::size_t CountLineFeeds(const Buffers& aBuffers,
                                    std::size_t aBytes) {
    std::size_t count = 0;
    std::size_t left = aBytes;
    for (auto one = asio::buffer_sequence_begin(aBuffers);
         one != asio::buffer_sequence_end(aBuffers); ++one) {
      const asio::const_buffer buffer(*one);
      const auto* const first = static_cast<const char*>(buffer.data());
      const std::size_t size = std::min(left, buffer.size());
      count += static_cast<std::size_t>(std::count(first, first + size, '\n'));
      left -= size;
    }
    return count;
  }

  ConnectionRegistry* registry;
  std::shared_ptr<TrackedConnection> tracked;
};

// Called by RESTinio, which finds it by its arguments, for each new connection.
template <typename Connection, typename Start, typename Failed>
void prepare_connection_and_start_read(BoundedSocket& aSocket,  // NOLINT
                                       Connection& /*aConnection*/,
                                       Start aStart, Failed /*aFailed*/) {
  aSocket.Track(aStart);
}

}  // namespace bramleypath::net::detail
