#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "bramleypath/base/Ids.h"
#include "bramleypath/base/TimePoint.h"
#include "bramleypath/net/NetReason.h"
#include "bramleypath/net/PeerFrame.h"

namespace asio {
class io_context;
}

namespace bramleypath::net {

struct PeerLimits {
  // Larger incoming messages close the connection.
  std::size_t maxMessageBytes = 2 * 1024 * 1024;
  // Bytes that are queued for one peer. Above this limit the oldest gossip is
  // dropped, and when there is none, the oldest other message.
  std::size_t maxQueuedBytes = 8 * 1024 * 1024;
  // Unsent bytes that a connection buffers; further messages stay in the queue.
  std::size_t maxBufferedBytes = 512 * 1024;
  // With more, the one that gave no frame of a peer for the longest time is
  // closed. All of them together hold at most this many messages.
  std::size_t maxIncomingConnections = 128;
  Duration firstBackOff = Millis(50);
  Duration maxBackOff = Seconds(2);
  // A link whose peer does not answer pings for this long is closed, so that a
  // connection that broke without an error is replaced.
  Duration pongTimeout = Seconds(3);
};

enum class FramePriority { Gossip, Normal };

struct PeerCounters {
  std::uint64_t sent = 0;
  std::uint64_t sentBytes = 0;
  std::uint64_t received = 0;
  std::uint64_t receivedBytes = 0;
  std::uint64_t droppedGossip = 0;
  std::uint64_t droppedOther = 0;
  std::uint64_t refusedMalformed = 0;
  std::uint64_t refusedSender = 0;
  std::uint64_t connectionsOpened = 0;
  std::uint64_t closedForCount = 0;
};

using FrameHandler = std::function<void(PeerFrame)>;

// Links between entry hosts: each host keeps one outgoing connection to each
// peer and sends on it; it receives on the connections that peers opened.
// Messages to one peer arrive in order, each at most once, or are lost. All
// calls and the handler run on the thread of the io_context.
class PeerLinks {
 public:
  PeerLinks(asio::io_context& aContext, HostId aSelf, std::string aAddress,
            const PeerLimits& aLimits, FrameHandler aHandler);
  ~PeerLinks();
  PeerLinks(const PeerLinks&) = delete;
  PeerLinks& operator=(const PeerLinks&) = delete;

  bool Open(NetReason& aReason);
  // Replaces the peers; links to others are closed. Frames from hosts that are
  // not listed are refused.
  void SetPeers(const std::map<HostId, std::string>& aAddresses);
  // Queues a frame; from is filled in. False when the peer is not listed.
  bool Send(PeerFrame aFrame, FramePriority aPriority);
  bool IsConnected(const HostId& aPeer) const;
  std::size_t QueuedBytes(const HostId& aPeer) const;
  const PeerCounters& Counters() const;
  void Close();

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace bramleypath::net
