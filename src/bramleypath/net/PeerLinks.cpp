#include "bramleypath/net/PeerLinks.h"

#include <algorithm>
#include <chrono>
#include <deque>
#include <set>
#include <utility>

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include "bramleypath/net/Clock.h"
#include "bramleypath/net/Http.h"

namespace bramleypath::net {

namespace {

using Server = websocketpp::server<websocketpp::config::asio>;
using Client = websocketpp::client<websocketpp::config::asio_client>;
using ConnectionHandle = websocketpp::connection_hdl;
// A connection that another host opened.
struct Incoming {
  HostId sender;         // empty until the first frame
  TimePoint progressAt;  // when it was opened, or gave the last frame
};
using IncomingConnections =
    std::map<ConnectionHandle, Incoming, std::owner_less<ConnectionHandle>>;

// The connection that is closed for a new one, which must not be the new one
// itself: one that gave no frame of a peer before those that did, and among
// them the one without progress for the longest time. Handles strangers that
// connect and send nothing, so that they can't keep peers out.
IncomingConnections::const_iterator ChooseToClose(
    const IncomingConnections& aIncoming) {
  return std::min_element(aIncoming.begin(), aIncoming.end(),
                          [](const auto& aLeft, const auto& aRight) {
                            const Incoming& left = aLeft.second;
                            const Incoming& right = aRight.second;
                            return left.sender.empty() == right.sender.empty()
                                       ? left.progressAt < right.progressAt
                                       : left.sender.empty();
                          });
}

constexpr std::chrono::milliseconds kIdleTimerInterval{20};
constexpr std::chrono::milliseconds kBusyTimerInterval{2};
constexpr Duration kPingInterval = Seconds(1);
constexpr long kHandshakeTimeoutMs = 2000;
// Bytes that are queued for a peer that is not connected: enough for one
// message of each kind, since older messages are outdated once the peer is
// connected again.
constexpr std::size_t kMaxQueuedWhileClosed = 512 * 1024;

struct FrameQueue {
  std::deque<Bytes> frames;
  std::size_t bytes = 0;
};

void Push(FrameQueue& aQueue, Bytes aFrame) {
  aQueue.bytes += aFrame.size();
  aQueue.frames.push_back(std::move(aFrame));
}

void DropOldest(FrameQueue& aQueue) {
  aQueue.bytes -= aQueue.frames.front().size();
  aQueue.frames.pop_front();
}

// The outgoing connection to one peer.
struct Link {
  std::string address;
  Client::connection_ptr connection;
  bool open = false;
  // Changes with each connection, so that callbacks of earlier connections are
  // ignored.
  std::uint64_t generation = 0;
  TimePoint retryAt;
  Duration backOff;
  TimePoint pingAt;
  TimePoint closeAt;  // the link is closed then unless a pong arrives
  FrameQueue normal;
  FrameQueue gossip;
};

}  // namespace

struct PeerLinks::State : std::enable_shared_from_this<PeerLinks::State> {
  State(asio::io_context& aContext, HostId aSelf, std::string aAddress,
        const PeerLimits& aLimits, FrameHandler aHandler)
      : context(aContext),
        self(std::move(aSelf)),
        address(std::move(aAddress)),
        limits(aLimits),
        handler(std::move(aHandler)),
        timer(aContext) {}

  asio::io_context& context;
  HostId self;
  std::string address;
  PeerLimits limits;
  FrameHandler handler;
  asio::steady_timer timer;
  Server server;
  Client client;
  std::map<HostId, Link> links;
  // Incoming connections, from their acceptance on.
  IncomingConnections incoming;
  PeerCounters counters;
  bool closed = false;

  bool Listen(NetReason& aReason) {
    std::string ip;
    std::uint16_t port = 0;
    websocketpp::lib::error_code error;
    asio::error_code parseError;
    if (!SplitAddress(this->address, ip, port)) {
      aReason = {NetError::InvalidAddress,
                 "\"" + this->address + "\" is not an address ip:port"};
      return false;
    }
    const auto parsed = asio::ip::make_address(ip, parseError);
    if (parseError) {
      aReason = {NetError::InvalidAddress, ip + " is not an IP address"};
      return false;
    }
    this->SetUpServer();
    this->server.listen(asio::ip::tcp::endpoint(parsed, port), error);
    if (error) {
      aReason = {NetError::CannotBind, this->address + ": " + error.message()};
      return false;
    }
    this->server.start_accept(error);
    if (error) {
      aReason = {NetError::CannotStart, this->address + ": " + error.message()};
      return false;
    }
    this->SetUpClient();
    this->ScheduleTimer();
    return true;
  }

  void SetUpServer() {
    this->server.clear_access_channels(websocketpp::log::alevel::all);
    this->server.clear_error_channels(websocketpp::log::elevel::all);
    this->server.init_asio(&this->context);
    this->server.set_reuse_addr(true);
    this->server.set_max_message_size(this->limits.maxMessageBytes);
    this->server.set_open_handshake_timeout(kHandshakeTimeoutMs);
    const std::weak_ptr<State> weak = this->weak_from_this();
    this->server.set_tcp_post_init_handler(
        [weak](const ConnectionHandle& aHandle) {
          if (const auto state = weak.lock()) {
            SetNoDelay(state->server, aHandle);
            state->AddIncoming(aHandle);
          }
        });
    const auto onClosed = [weak](const ConnectionHandle& aHandle) {
      if (const auto state = weak.lock()) {
        state->incoming.erase(aHandle);
      }
    };
    this->server.set_fail_handler(onClosed);
    this->server.set_close_handler(onClosed);
    this->server.set_message_handler(
        [weak](const ConnectionHandle& aHandle,
               const Server::message_ptr& aMessage) {
          if (const auto state = weak.lock()) {
            state->OnMessage(aHandle, aMessage->get_raw_payload());
          }
        });
  }

  void SetUpClient() {
    this->client.clear_access_channels(websocketpp::log::alevel::all);
    this->client.clear_error_channels(websocketpp::log::elevel::all);
    this->client.init_asio(&this->context);
    this->client.set_max_message_size(this->limits.maxMessageBytes);
    this->client.set_open_handshake_timeout(kHandshakeTimeoutMs);
    const std::weak_ptr<State> weak = this->weak_from_this();
    this->client.set_tcp_post_init_handler(
        [weak](const ConnectionHandle& aHandle) {
          if (const auto state = weak.lock()) {
            SetNoDelay(state->client, aHandle);
          }
        });
  }

  template <typename Endpoint>
  static void SetNoDelay(Endpoint& aEndpoint, const ConnectionHandle& aHandle) {
    websocketpp::lib::error_code error;
    const auto connection = aEndpoint.get_con_from_hdl(aHandle, error);
    if (connection && !error) {
      asio::error_code ignored;
      connection->get_raw_socket().set_option(asio::ip::tcp::no_delay(true),
                                              ignored);
    }
  }

  void OnMessage(const ConnectionHandle& aHandle, const std::string& aPayload) {
    std::optional<PeerFrame> frame =
        DecodeFrame(Bytes(aPayload.begin(), aPayload.end()));
    if (!frame) {
      ++this->counters.refusedMalformed;
      this->CloseIncoming(aHandle);
      return;
    }
    const auto found = this->incoming.find(aHandle);
    if (found == this->incoming.end()) {
      return;  // closed for a newer connection
    }
    HostId& sender = found->second.sender;
    const bool known = this->links.count(frame->from) != 0;
    if (!known || frame->to != this->self ||
        (!sender.empty() && sender != frame->from)) {
      ++this->counters.refusedSender;
      return;
    }
    sender = frame->from;
    found->second.progressAt = Now();
    ++this->counters.received;
    this->counters.receivedBytes += aPayload.size();
    this->handler(std::move(*frame));
  }

  void AddIncoming(const ConnectionHandle& aHandle) {
    if (!this->incoming.empty() &&
        this->incoming.size() >= this->limits.maxIncomingConnections) {
      const auto victim = ChooseToClose(this->incoming);
      const ConnectionHandle handle = victim->first;
      this->incoming.erase(victim);
      ++this->counters.closedForCount;
      this->ShutDown(handle);
    }
    this->incoming.emplace(aHandle, Incoming{HostId(), Now()});
  }

  // Ends a connection without the closing handshake, which a stranger need not
  // answer.
  void ShutDown(const ConnectionHandle& aHandle) {
    websocketpp::lib::error_code error;
    const auto connection = this->server.get_con_from_hdl(aHandle, error);
    if (connection && !error) {
      asio::error_code ignored;
      connection->get_raw_socket().shutdown(
          asio::ip::tcp::socket::shutdown_both, ignored);
    }
  }

  void CloseIncoming(const ConnectionHandle& aHandle) {
    websocketpp::lib::error_code ignored;
    this->server.close(aHandle, websocketpp::close::status::protocol_error,
                       "malformed message", ignored);
  }

  void Connect(const HostId& aPeer, Link& aLink, TimePoint aNow) {
    websocketpp::lib::error_code error;
    const auto connection =
        this->client.get_connection("ws://" + aLink.address + "/peer", error);
    const std::uint64_t generation = ++aLink.generation;
    aLink.retryAt = kNever;
    if (error || !connection) {
      this->BackOff(aLink, aNow);
      return;
    }
    const std::weak_ptr<State> weak = this->weak_from_this();
    connection->set_open_handler([weak, aPeer,
                                  generation](const ConnectionHandle&) {
      const auto state = weak.lock();
      if (Link* const link = state ? state->Find(aPeer, generation) : nullptr) {
        state->OnOpen(*link);
      }
    });
    const auto onClosed = [weak, aPeer, generation](const ConnectionHandle&) {
      const auto state = weak.lock();
      if (Link* const link = state ? state->Find(aPeer, generation) : nullptr) {
        state->OnClosed(*link);
      }
    };
    connection->set_fail_handler(onClosed);
    connection->set_close_handler(onClosed);
    connection->set_pong_handler(
        [weak, aPeer, generation](const ConnectionHandle&, const std::string&) {
          const auto state = weak.lock();
          if (Link* const link =
                  state ? state->Find(aPeer, generation) : nullptr) {
            link->closeAt = Now() + state->limits.pongTimeout;
          }
        });
    aLink.connection = connection;
    this->client.connect(connection);
  }

  Link* Find(const HostId& aPeer, std::uint64_t aGeneration) {
    const auto found = this->links.find(aPeer);
    if (this->closed || found == this->links.end() ||
        found->second.generation != aGeneration) {
      return nullptr;
    }
    return &found->second;
  }

  void OnOpen(Link& aLink) {
    const TimePoint now = Now();
    ++this->counters.connectionsOpened;
    aLink.open = true;
    aLink.backOff = this->limits.firstBackOff;
    aLink.pingAt = now;
    aLink.closeAt = now + this->limits.pongTimeout;
    this->FlushQueues(aLink);
  }

  void OnClosed(Link& aLink) {
    aLink.open = false;
    aLink.connection.reset();
    ++aLink.generation;
    this->BackOff(aLink, Now());
  }

  void BackOff(Link& aLink, TimePoint aNow) {
    aLink.retryAt = aNow + aLink.backOff;
    aLink.backOff = std::min(
        aLink.backOff * 2, this->limits.maxBackOff,
        [](Duration aLeft, Duration aRight) { return aLeft < aRight; });
  }

  void Disconnect(Link& aLink) {
    const auto connection = std::move(aLink.connection);
    aLink.connection.reset();
    aLink.open = false;
    ++aLink.generation;
    if (connection) {
      websocketpp::lib::error_code ignored;
      connection->close(websocketpp::close::status::going_away, "", ignored);
    }
  }

  // Passes queued frames to the connection until maxBufferedBytes of it are
  // unsent.
  void FlushQueues(Link& aLink) {
    while (aLink.open && aLink.connection->get_buffered_amount() <
                             this->limits.maxBufferedBytes) {
      FrameQueue& queue =
          aLink.normal.frames.empty() ? aLink.gossip : aLink.normal;
      if (queue.frames.empty()) {
        return;
      }
      const Bytes& frame = queue.frames.front();
      const auto error = aLink.connection->send(
          frame.data(), frame.size(), websocketpp::frame::opcode::binary);
      if (error) {
        return;
      }
      ++this->counters.sent;
      this->counters.sentBytes += frame.size();
      DropOldest(queue);
    }
  }

  void Enqueue(Link& aLink, Bytes aFrame, FramePriority aPriority) {
    Push(aPriority == FramePriority::Gossip ? aLink.gossip : aLink.normal,
         std::move(aFrame));
    const std::size_t limit =
        aLink.open ? this->limits.maxQueuedBytes : kMaxQueuedWhileClosed;
    while (aLink.gossip.bytes + aLink.normal.bytes > limit) {
      if (!aLink.gossip.frames.empty()) {
        DropOldest(aLink.gossip);
        ++this->counters.droppedGossip;
      } else {
        DropOldest(aLink.normal);
        ++this->counters.droppedOther;
      }
    }
  }

  void ScheduleTimer() {
    const bool busy =
        std::any_of(this->links.begin(), this->links.end(), [](auto& aPair) {
          const Link& link = aPair.second;
          return link.open && link.normal.bytes + link.gossip.bytes > 0;
        });
    this->timer.expires_after(busy ? kBusyTimerInterval : kIdleTimerInterval);
    const std::weak_ptr<State> weak = this->weak_from_this();
    this->timer.async_wait([weak](const asio::error_code& aError) {
      const auto state = weak.lock();
      if (!aError && state && !state->closed) {
        state->OnTimer(Now());
        state->ScheduleTimer();
      }
    });
  }

  void OnTimer(TimePoint aNow) {
    for (auto& [peer, link] : this->links) {
      if (link.open) {
        this->KeepAlive(link, aNow);
        this->FlushQueues(link);
      } else if (link.retryAt <= aNow) {
        this->Connect(peer, link, aNow);
      }
    }
  }

  void KeepAlive(Link& aLink, TimePoint aNow) {
    if (aLink.closeAt <= aNow) {
      this->Disconnect(aLink);
      this->BackOff(aLink, aNow);
      return;
    }
    if (aLink.pingAt <= aNow) {
      aLink.pingAt = aNow + kPingInterval;
      websocketpp::lib::error_code ignored;
      aLink.connection->ping("", ignored);
    }
  }

  void Close() {
    if (this->closed) {
      return;
    }
    this->closed = true;
    this->timer.cancel();
    websocketpp::lib::error_code ignored;
    this->server.stop_listening(ignored);
    for (auto& [peer, link] : this->links) {
      this->Disconnect(link);
    }
    for (const auto& [handle, host] : this->incoming) {
      this->server.close(handle, websocketpp::close::status::going_away, "",
                         ignored);
    }
  }
};

PeerLinks::PeerLinks(asio::io_context& aContext, HostId aSelf,
                     std::string aAddress, const PeerLimits& aLimits,
                     FrameHandler aHandler)
    : state(std::make_shared<State>(aContext, std::move(aSelf),
                                    std::move(aAddress), aLimits,
                                    std::move(aHandler))) {}

PeerLinks::~PeerLinks() { this->state->Close(); }

bool PeerLinks::Open(NetReason& aReason) {
  return this->state->Listen(aReason);
}

void PeerLinks::SetPeers(const std::map<HostId, std::string>& aAddresses) {
  auto& links = this->state->links;
  for (auto link = links.begin(); link != links.end();) {
    const auto found = aAddresses.find(link->first);
    if (found == aAddresses.end() || found->second != link->second.address) {
      this->state->Disconnect(link->second);
      link = links.erase(link);
    } else {
      ++link;
    }
  }
  for (const auto& [peer, address] : aAddresses) {
    if (peer == this->state->self || links.count(peer) != 0) {
      continue;
    }
    Link& link = links[peer];
    link.address = address;
    link.backOff = this->state->limits.firstBackOff;
  }
}

bool PeerLinks::Send(PeerFrame aFrame, FramePriority aPriority) {
  aFrame.from = this->state->self;
  if (aFrame.to == this->state->self) {
    const std::weak_ptr<State> weak = this->state;
    asio::post(this->state->context, [weak, frame = std::move(aFrame)] {
      const auto target = weak.lock();
      if (target && !target->closed) {
        target->handler(frame);
      }
    });
    return true;
  }
  const auto found = this->state->links.find(aFrame.to);
  if (found == this->state->links.end()) {
    return false;
  }
  this->state->Enqueue(found->second, EncodeFrame(aFrame), aPriority);
  this->state->FlushQueues(found->second);
  return true;
}

bool PeerLinks::IsConnected(const HostId& aPeer) const {
  const auto found = this->state->links.find(aPeer);
  return found != this->state->links.end() && found->second.open;
}

std::size_t PeerLinks::QueuedBytes(const HostId& aPeer) const {
  const auto found = this->state->links.find(aPeer);
  return found == this->state->links.end()
             ? 0
             : found->second.normal.bytes + found->second.gossip.bytes;
}

const PeerCounters& PeerLinks::Counters() const {
  return this->state->counters;
}

void PeerLinks::Close() { this->state->Close(); }

}  // namespace bramleypath::net
