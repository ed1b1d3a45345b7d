#include "bramleypath/net/PeerLinks.h"

#include <cppunit/extensions/HelperMacros.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include "bramleypath/net/Http.h"
#include "tests/net/Loop.h"
#include "tests/net/RawServer.h"

using namespace bramleypath;
using namespace bramleypath::net;
using net_test::RunUntil;

namespace {

const HostId kLeft("left");
const HostId kRight("right");

PeerFrame FrameTo(const HostId& aTo, const std::string& aKind,
                  std::size_t aBytes = 4) {
  PeerFrame frame;
  frame.group = "config";
  frame.to = aTo;
  frame.kind = aKind;
  frame.payload = Bytes(aBytes, 7);
  return frame;
}

// A free address; the port is bound for a moment to find it.
std::string FreeAddress(asio::io_context& aContext) {
  net_test::RawServer server(aContext, nullptr);
  std::string address = server.Address();
  server.Close();
  return address;
}

// Guards against peers that make memory grow without bound, and against
// accepting frames from hosts that are not peers.
class PeerLinksTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerLinksTest);
  CPPUNIT_TEST(testFramesArriveInOrderAndReconnect);
  CPPUNIT_TEST(testUnknownSenderIsRefused);
  CPPUNIT_TEST(testQueueOfSilentPeerIsBounded);
  CPPUNIT_TEST(testStrangersDoNotDisplaceAPeer);
  CPPUNIT_TEST(testOversizedAndMalformedInput);
  CPPUNIT_TEST(testFrameCodec);
  CPPUNIT_TEST_SUITE_END();

 public:
  void testFramesArriveInOrderAndReconnect() {
    asio::io_context context;
    const std::string leftAddress = FreeAddress(context);
    const std::string rightAddress = FreeAddress(context);
    std::vector<PeerFrame> received;
    NetReason reason;
    PeerLinks left(context, kLeft, leftAddress, PeerLimits(),
                   [](const PeerFrame&) {});
    CPPUNIT_ASSERT(left.Open(reason));
    left.SetPeers({{kRight, rightAddress}, {kLeft, leftAddress}});
    const auto onFrame = [&received](const PeerFrame& aFrame) {
      received.push_back(aFrame);
    };
    {
      PeerLinks right(context, kRight, rightAddress, PeerLimits(), onFrame);
      CPPUNIT_ASSERT(right.Open(reason));
      right.SetPeers({{kLeft, leftAddress}});
      CPPUNIT_ASSERT(
          RunUntil(context, [&left] { return left.IsConnected(kRight); }));
      constexpr std::size_t kCount = 200;
      for (std::size_t i = 0; i < kCount; ++i) {
        left.Send(FrameTo(kRight, std::to_string(i), 10000),
                  FramePriority::Normal);
      }
      CPPUNIT_ASSERT(
          RunUntil(context, [&received] { return received.size() == kCount; }));
      for (std::size_t i = 0; i < kCount; ++i) {
        CPPUNIT_ASSERT_EQUAL(std::to_string(i), received[i].kind);
      }
      CPPUNIT_ASSERT(received[0].from == kLeft);
    }
    CPPUNIT_ASSERT(
        RunUntil(context, [&left] { return !left.IsConnected(kRight); }));
    received.clear();
    PeerLinks again(context, kRight, rightAddress, PeerLimits(), onFrame);
    CPPUNIT_ASSERT(again.Open(reason));
    again.SetPeers({{kLeft, leftAddress}});
    CPPUNIT_ASSERT(
        RunUntil(context, [&left] { return left.IsConnected(kRight); }));
    left.Send(FrameTo(kRight, "after"), FramePriority::Normal);
    CPPUNIT_ASSERT(RunUntil(context, [&received] {
      return !received.empty() && received.back().kind == "after";
    }));
    CPPUNIT_ASSERT(
        !left.Send(FrameTo(HostId("unknown"), "x"), FramePriority::Normal));
  }

  void testUnknownSenderIsRefused() {
    asio::io_context context;
    const std::string address = FreeAddress(context);
    std::size_t received = 0;
    NetReason reason;
    PeerLinks right(context, kRight, address, PeerLimits(),
                    [&received](const PeerFrame&) { ++received; });
    CPPUNIT_ASSERT(right.Open(reason));
    PeerLinks stranger(context, HostId("stranger"), FreeAddress(context),
                       PeerLimits(), [](const PeerFrame&) {});
    CPPUNIT_ASSERT(stranger.Open(reason));
    stranger.SetPeers({{kRight, address}});
    CPPUNIT_ASSERT(RunUntil(
        context, [&stranger] { return stranger.IsConnected(kRight); }));
    stranger.Send(FrameTo(kRight, "x"), FramePriority::Normal);
    CPPUNIT_ASSERT(RunUntil(
        context, [&right] { return right.Counters().refusedSender == 1; }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, received);
  }

  // Strangers that connect and send nothing must neither take descriptors
  // without bound nor close the connection of a peer.
  void testStrangersDoNotDisplaceAPeer() {
    asio::io_context context;
    const std::string address = FreeAddress(context);
    std::size_t received = 0;
    NetReason reason;
    PeerLimits limits;
    limits.maxIncomingConnections = 4;
    PeerLinks right(context, kRight, address, limits,
                    [&received](const PeerFrame&) { ++received; });
    CPPUNIT_ASSERT(right.Open(reason));
    right.SetPeers({{kLeft, "127.0.0.1:1"}});
    PeerLinks left(context, kLeft, FreeAddress(context), PeerLimits(),
                   [](const PeerFrame&) {});
    CPPUNIT_ASSERT(left.Open(reason));
    left.SetPeers({{kRight, address}});
    left.Send(FrameTo(kRight, "before"), FramePriority::Normal);
    CPPUNIT_ASSERT(RunUntil(context, [&received] { return received == 1; }));
    std::string ip;
    std::uint16_t port = 0;
    CPPUNIT_ASSERT(SplitAddress(address, ip, port));
    constexpr std::size_t kStrangers = 12;
    std::vector<asio::ip::tcp::socket> strangers;
    for (std::size_t i = 0; i < kStrangers; ++i) {
      strangers.emplace_back(context).connect(
          {asio::ip::make_address(ip), port});
    }
    CPPUNIT_ASSERT(RunUntil(context, [&right] {
      return right.Counters().closedForCount == kStrangers - 3;
    }));
    left.Send(FrameTo(kRight, "after"), FramePriority::Normal);
    CPPUNIT_ASSERT(RunUntil(context, [&received] { return received == 2; }));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, left.Counters().connectionsOpened);
  }

  // A peer that never answers must not let the queue grow without bound: gossip
  // is dropped first, then other messages.
  void testQueueOfSilentPeerIsBounded() {
    asio::io_context context;
    // This server accepts connections and never answers the WebSocket
    // handshake.
    net_test::RawServer silent(
        context, [](const auto&, std::size_t, const std::string&) {});
    NetReason reason;
    PeerLinks left(context, kLeft, FreeAddress(context), PeerLimits(),
                   [](const PeerFrame&) {});
    CPPUNIT_ASSERT(left.Open(reason));
    left.SetPeers({{kRight, silent.Address()}});
    constexpr std::size_t kBytes = 10000;
    for (int i = 0; i < 30; ++i) {
      left.Send(FrameTo(kRight, "gossip", kBytes), FramePriority::Gossip);
      left.Send(FrameTo(kRight, "raft", kBytes), FramePriority::Normal);
    }
    CPPUNIT_ASSERT(left.Counters().droppedGossip > 0);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, left.Counters().droppedOther);
    for (int i = 0; i < 300; ++i) {
      left.Send(FrameTo(kRight, "raft", kBytes), FramePriority::Normal);
    }
    CPPUNIT_ASSERT(left.Counters().droppedOther > 0);
    CPPUNIT_ASSERT(left.QueuedBytes(kRight) <= 512 * 1024);
    CPPUNIT_ASSERT(!left.IsConnected(kRight));
  }

  void testOversizedAndMalformedInput() {
    asio::io_context context;
    const std::string address = FreeAddress(context);
    std::size_t received = 0;
    NetReason reason;
    PeerLimits limits;
    limits.maxMessageBytes = 1000;
    PeerLinks right(context, kRight, address, limits,
                    [&received](const PeerFrame&) { ++received; });
    CPPUNIT_ASSERT(right.Open(reason));
    right.SetPeers({{kLeft, "127.0.0.1:1"}});
    PeerLinks left(context, kLeft, FreeAddress(context), PeerLimits(),
                   [](const PeerFrame&) {});
    CPPUNIT_ASSERT(left.Open(reason));
    left.SetPeers({{kRight, address}});
    CPPUNIT_ASSERT(
        RunUntil(context, [&left] { return left.IsConnected(kRight); }));
    left.Send(FrameTo(kRight, "large", 5000), FramePriority::Normal);
    // The receiver closes the connection, and the sender connects again.
    CPPUNIT_ASSERT(RunUntil(
        context, [&left] { return left.Counters().connectionsOpened >= 2; }));
    left.Send(FrameTo(kRight, "small", 5), FramePriority::Normal);
    CPPUNIT_ASSERT(RunUntil(context, [&received] { return received == 1; }));
  }

  void testFrameCodec() {
    PeerFrame frame = FrameTo(kRight, "raft", 300);
    frame.from = kLeft;
    const Bytes bytes = EncodeFrame(frame);
    const auto decoded = DecodeFrame(bytes);
    CPPUNIT_ASSERT(decoded);
    CPPUNIT_ASSERT(decoded->from == kLeft && decoded->to == kRight);
    CPPUNIT_ASSERT(decoded->payload == frame.payload);
    for (std::size_t length = 0; length < bytes.size(); ++length) {
      CPPUNIT_ASSERT(
          !DecodeFrame(Bytes(bytes.begin(), bytes.begin() + length)));
    }
    CPPUNIT_ASSERT(!DecodeFrame({0x80}));
    CPPUNIT_ASSERT(!DecodeFrame({0xa1, 0x61, 0x78, 0x01}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerLinksTest);

}  // namespace
