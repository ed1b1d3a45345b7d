#include "bramleypath/net/ConnectionRegistry.h"

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include <asio/io_context.hpp>

#include "bramleypath/net/Clock.h"

namespace bramleypath::net {

namespace {

using detail::ConnectionRegistry;

constexpr std::chrono::seconds kStallCheckInterval{1};

ConnectionRegistry& RegistryOf(asio::io_context& aContext) {
  return asio::use_service<ConnectionRegistry>(aContext);
}

}  // namespace

void SetByteBounds(asio::io_context& aContext, const ByteBounds& aBounds) {
  RegistryOf(aContext).bounds = aBounds;
}

void SetMaxDescriptors(asio::io_context& aContext,
                       std::size_t aMaxDescriptors) {
  RegistryOf(aContext).maxDescriptors = aMaxDescriptors;
}

ConnectionCounters ReadConnectionCounters(asio::io_context& aContext) {
  return RegistryOf(aContext).counters;
}

namespace detail {

TrackedConnection::TrackedConnection(ConnectionRegistry& aRegistry, int aSocket)
    : registry(&aRegistry), socket(aSocket) {
  this->registry->Add(*this);
}

TrackedConnection::~TrackedConnection() { this->Release(); }

void TrackedConnection::Release() {
  if (this->registry) {
    std::exchange(this->registry, nullptr)->Remove(*this);
  }
}

ConnectionUse& TrackedConnection::Use() const {
  return this->registry->uses[this->index];
}

void TrackedConnection::SetListener(std::uint32_t aListener,
                                    std::size_t aMaxConnections) {
  if (this->registry) {
    this->Use().listener = aListener;
    this->registry->CloseForCount(aListener, aMaxConnections);
    this->registry->CloseForDescriptors(this->socket);
  }
}

bool TrackedConnection::IsClosing() const {
  return !this->registry || this->Use().closing;
}

void TrackedConnection::OnReceived(std::size_t aBytes, std::size_t aLineFeeds) {
  if (this->IsClosing()) {
    return;
  }
  const std::size_t charge = ChargeOf(aBytes, aLineFeeds);
  this->Use().received += charge;
  this->Use().progressAt = Now();
  this->registry->AddHeld(charge);
}

void TrackedConnection::OnWritten(std::size_t aBytes) {
  if (this->IsClosing()) {
    return;
  }
  ConnectionUse& use = this->Use();
  const std::size_t written = std::min(aBytes, use.unsent);
  use.unsent -= written;
  use.progressAt = Now();
  this->registry->SubtractHeld(written);
}

std::size_t TrackedConnection::OnRequest() {
  if (this->IsClosing()) {
    return 0;
  }
  ConnectionUse& use = this->Use();
  use.handling = true;
  const std::size_t charge = std::exchange(use.received, 0);
  this->registry->SubtractHeld(charge);
  return charge;
}

void TrackedConnection::OnResponse(std::size_t aBytes) {
  if (this->IsClosing()) {
    return;
  }
  this->Use().handling = false;
  this->Use().unsent += aBytes;
  this->Use().progressAt = Now();
  this->registry->AddHeld(aBytes);
}

void TrackedConnection::OnResponseDone() {
  if (this->IsClosing()) {
    return;
  }
  this->registry->SubtractHeld(std::exchange(this->Use().unsent, 0));
}

HandledCharge::HandledCharge(ConnectionRegistry& aRegistry, std::size_t aBytes)
    : registry(aRegistry), bytes(aBytes) {
  this->registry.handled += this->bytes;
}

HandledCharge::~HandledCharge() { this->registry.handled -= this->bytes; }

ConnectionRegistry::ConnectionRegistry(asio::execution_context& aContext)
    : asio::execution_context::service(aContext),
      // Only io_contexts have connections.
      context(static_cast<asio::io_context&>(aContext)),
      timer(std::make_unique<asio::steady_timer>(this->context)) {}

ConnectionRegistry::~ConnectionRegistry() = default;

void ConnectionRegistry::shutdown() {
  this->timer.reset();
  this->starting.reset();
}

std::shared_ptr<HandledCharge> ConnectionRegistry::AdmitRequest(
    std::size_t aCharge) {
  if (!AdmitsRequest(this->handled, aCharge, this->bounds.maxHandled)) {
    ++this->counters.refusedForMemory;
    return nullptr;
  }
  return std::make_shared<HandledCharge>(*this, aCharge);
}

void ConnectionRegistry::Add(TrackedConnection& aConnection) {
  aConnection.index = this->uses.size();
  ConnectionUse use;
  use.progressAt = Now();
  this->uses.push_back(use);
  this->connections.push_back(&aConnection);
  this->ArmTimer();
}

void ConnectionRegistry::Remove(TrackedConnection& aConnection) {
  const std::size_t index = aConnection.index;
  const ConnectionUse& use = this->uses[index];
  if (!use.closing) {
    this->SubtractHeld(use.received + use.unsent);
  }
  this->uses[index] = this->uses.back();
  this->connections[index] = this->connections.back();
  this->connections[index]->index = index;
  this->uses.pop_back();
  this->connections.pop_back();
}

void ConnectionRegistry::AddHeld(std::size_t aBytes) {
  this->held += aBytes;
  if (this->held > this->bounds.maxHeld) {
    this->CloseAll(
        ChooseForMemory(this->uses, this->held, this->bounds.maxHeld),
        this->counters.closedForMemory);
  }
}

void ConnectionRegistry::SubtractHeld(std::size_t aBytes) {
  this->held -= std::min(aBytes, this->held);
}

void ConnectionRegistry::CloseForCount(std::uint32_t aListener,
                                       std::size_t aMaxConnections) {
  this->CloseAll(ChooseForCount(this->uses, aListener, aMaxConnections),
                 this->counters.closedForCount);
}

void ConnectionRegistry::CloseForDescriptors(int aNewDescriptor) {
  const std::size_t excess = ExcessDescriptors(
      static_cast<std::size_t>(aNewDescriptor), this->maxDescriptors);
  if (excess == 0) {
    return;
  }
  const auto isOpen = [](const ConnectionUse& aUse) { return !aUse.closing; };
  const auto open = static_cast<std::size_t>(
      std::count_if(this->uses.begin(), this->uses.end(), isOpen));
  // Connections that were closed in this turn of the event loop still have
  // their descriptors.
  const std::size_t closing = this->uses.size() - open;
  const std::size_t wanted = excess - std::min(excess, closing);
  this->CloseAll(
      ChooseForCount(this->uses, std::nullopt, open - std::min(open, wanted)),
      this->counters.closedForCount);
}

// Notices descriptors that the process has opened since the last connection
// came in.
void ConnectionRegistry::CheckDescriptors() {
  if (this->connections.empty()) {
    return;
  }
  const int lowest =
      ::fcntl(this->connections.front()->socket, F_DUPFD_CLOEXEC, 0);
  if (lowest >= 0) {
    ::close(lowest);
    this->CloseForDescriptors(lowest);
  }
}

// Shuts the sockets down, so that the server sees the end of each connection
// and closes it in its usual way.
void ConnectionRegistry::CloseAll(const std::vector<std::size_t>& aIndices,
                                  std::uint64_t& aCounter) {
  for (const std::size_t index : aIndices) {
    ConnectionUse& use = this->uses[index];
    this->SubtractHeld(use.received + use.unsent);
    use.closing = true;
    ++aCounter;
    ::shutdown(this->connections[index]->socket, SHUT_RDWR);
  }
}

void ConnectionRegistry::ArmTimer() {
  if (this->isArmed || !this->timer) {
    return;
  }
  this->isArmed = true;
  this->timer->expires_after(kStallCheckInterval);
  this->timer->async_wait([this](const asio::error_code& aError) {
    this->isArmed = false;
    if (aError) {
      return;
    }
    this->CloseAll(ChooseStalled(this->uses, Now()),
                   this->counters.closedStalled);
    this->CheckDescriptors();
    if (!this->uses.empty()) {
      this->ArmTimer();
    }
  });
}

}  // namespace detail

}  // namespace bramleypath::net
