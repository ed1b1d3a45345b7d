#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <memory>
#include <vector>

#include <asio/execution_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include "bramleypath/net/ConnectionBounds.h"

namespace asio {
class io_context;
}

namespace bramleypath::net {

// Sets the bounds over all listeners of the io_context, and reads the counters.
// Of more than aMaxDescriptors of the process, those of listeners are closed.
void SetByteBounds(asio::io_context& aContext, const ByteBounds& aBounds);
void SetMaxDescriptors(asio::io_context& aContext, std::size_t aMaxDescriptors);
ConnectionCounters ReadConnectionCounters(asio::io_context& aContext);

namespace detail {

class ConnectionRegistry;

// The registration of one open connection, from its start to the close of its
// socket.
class TrackedConnection {
 public:
  TrackedConnection(ConnectionRegistry& aRegistry, int aSocket);
  ~TrackedConnection();
  TrackedConnection(const TrackedConnection&) = delete;
  TrackedConnection& operator=(const TrackedConnection&) = delete;

  void SetListener(std::uint32_t aListener, std::size_t aMaxConnections);
  bool IsClosing() const;
  void OnReceived(std::size_t aBytes, std::size_t aLineFeeds);
  void OnWritten(std::size_t aBytes);
  // A complete request was received. Returns its charge.
  std::size_t OnRequest();
  void OnResponse(std::size_t aBytes);
  void OnResponseDone();
  // The socket is closed; the connection no longer counts.
  void Release();

 private:
  friend class ConnectionRegistry;
  ConnectionUse& Use() const;

  ConnectionRegistry* registry;
  int socket;
  std::size_t index = 0;
};

// The charge of a request from its arrival to its answer.
class HandledCharge {
 public:
  HandledCharge(ConnectionRegistry& aRegistry, std::size_t aBytes);
  ~HandledCharge();
  HandledCharge(const HandledCharge&) = delete;
  HandledCharge& operator=(const HandledCharge&) = delete;

 private:
  ConnectionRegistry& registry;
  std::size_t bytes;
};

// Knows the open connections of all listeners of one io_context, closes those
// that ConnectionBounds chooses, and is used on the thread of that context. It
// is a service of the context, so that it outlives the handlers that hold
// connections.
class ConnectionRegistry : public asio::execution_context::service {
 public:
  inline static asio::execution_context::id id;  // NOLINT
  explicit ConnectionRegistry(asio::execution_context& aContext);
  ~ConnectionRegistry() override;

  std::uint32_t NextListener() { return ++this->lastListener; }
  // Returns null if the bytes of requests that are being handled exceed their
  // bound.
  std::shared_ptr<HandledCharge> AdmitRequest(std::size_t aCharge);

  ByteBounds bounds;
  std::size_t maxDescriptors = std::numeric_limits<std::size_t>::max();
  ConnectionCounters counters;
  // The connection that is being started, so that the state listener of its
  // server can take it over.
  std::shared_ptr<TrackedConnection> starting;

 private:
  friend class TrackedConnection;
  friend class HandledCharge;

  void shutdown() override;  // NOLINT
  void Add(TrackedConnection& aConnection);
  void Remove(TrackedConnection& aConnection);
  void AddHeld(std::size_t aBytes);
  void SubtractHeld(std::size_t aBytes);
  void CloseForCount(std::uint32_t aListener, std::size_t aMaxConnections);
  // aNewDescriptor is the lowest number that was free.
  void CloseForDescriptors(int aNewDescriptor);
  void CheckDescriptors();
  void CloseAll(const std::vector<std::size_t>& aIndices,
                std::uint64_t& aCounter);
  void ArmTimer();

  asio::io_context& context;
  // Both have one element per connection, in the same order.
  std::vector<ConnectionUse> uses;
  std::vector<TrackedConnection*> connections;
  std::size_t held = 0;
  std::size_t handled = 0;
  std::uint32_t lastListener = 0;
  std::unique_ptr<asio::steady_timer> timer;
  bool isArmed = false;
};

}  // namespace detail

}  // namespace bramleypath::net
