#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include <gsl/span>

#include "bramleypath/base/TimePoint.h"

// Decides which connections of a process are closed and which requests are
// refused, so that clients that the process can't control don't take its memory
// or its descriptors. The functions do no I/O.
namespace bramleypath::net {

// Bounds over all connections of a process, in charged bytes.
struct ByteBounds {
  // Unfinished requests, and responses that are not written yet.
  std::size_t maxHeld = std::size_t{128} * 1024 * 1024;
  // Requests that the handlers have not answered yet, with their copies.
  std::size_t maxHandled = std::size_t{256} * 1024 * 1024;
};

// What one connection takes up.
struct ConnectionUse {
  std::uint32_t listener = 0;
  // Charge of what was received since the last complete request.
  std::size_t received = 0;
  std::size_t unsent = 0;  // bytes of a response
  // A request was passed to the handler, which has not answered yet.
  bool handling = false;
  // The connection ends as soon as the event loop runs.
  bool closing = false;
  // When bytes were last received or written.
  TimePoint progressAt;
};

// Why a connection was closed or a request was refused.
struct ConnectionCounters {
  std::uint64_t closedForMemory = 0;
  std::uint64_t closedForCount = 0;
  std::uint64_t closedStalled = 0;
  std::uint64_t refusedForMemory = 0;
};

// A connection may not stand still for longer in an unfinished request.
constexpr Duration kMaxStall = Seconds(15);

// The memory that received bytes may take, in bytes. A body is held in a string
// whose capacity is up to twice its length. The parser keeps 48 bytes per chunk
// of a chunked body, in a vector of up to twice that size; a chunk has two line
// feeds.
constexpr std::size_t ChargeOf(std::size_t aBytes, std::size_t aLineFeeds) {
  constexpr std::size_t kGrowth = 2;
  constexpr std::size_t kBytesPerLineFeed = 48;
  return kGrowth * aBytes + kBytesPerLineFeed * aLineFeeds;
}

// Whether a complete request may be passed to its handler. One that is alone
// always may, so that a request of legal size is served however low the bound.
constexpr bool AdmitsRequest(std::size_t aHandled, std::size_t aCharge,
                             std::size_t aMaxHandled) {
  return aHandled == 0 || aHandled + aCharge <= aMaxHandled;
}

// The indices of the connections to be closed when aHeld bytes exceed the
// bound. Handles a crowd that sends bodies and stops before their end: those
// without progress for the longest time go first, until an eighth of the bound
// is free, so that the choice is not made again for each read. A connection
// whose request is being handled is never chosen.
std::vector<std::size_t> ChooseForMemory(gsl::span<const ConnectionUse> aUses,
                                         std::size_t aHeld,
                                         std::size_t aMaxHeld);

// The indices of the connections to be closed when the listener, or all
// listeners together if there is none, have more than aMaxConnections. Handles
// a crowd that connects and sends nothing: those that have been idle longest go
// first, then those without progress for the longest time in an unfinished
// request or response. Fewer than needed if all others are being handled.
std::vector<std::size_t> ChooseForCount(gsl::span<const ConnectionUse> aUses,
                                        std::optional<std::uint32_t> aListener,
                                        std::size_t aMaxConnections);

// How many descriptors have to be closed. The kernel gives the lowest free
// number to a new descriptor, so at least that many are open. Handles clients
// that fill the listeners while the process opens connections of its own.
constexpr std::size_t ExcessDescriptors(std::size_t aNewDescriptor,
                                        std::size_t aMaxDescriptors) {
  return aNewDescriptor < aMaxDescriptors
             ? 0
             : aNewDescriptor - aMaxDescriptors + 1;
}

// The indices of the connections that have made no progress for kMaxStall in an
// unfinished request. Handles half requests that stop.
std::vector<std::size_t> ChooseStalled(gsl::span<const ConnectionUse> aUses,
                                       TimePoint aNow);

}  // namespace bramleypath::net
