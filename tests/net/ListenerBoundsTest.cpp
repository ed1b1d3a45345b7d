#include <cppunit/extensions/HelperMacros.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <optional>
#include <string>
#include <vector>

#include "bramleypath/net/ConnectionRegistry.h"
#include "bramleypath/net/HttpListener.h"
#include "tests/net/Loop.h"

using namespace bramleypath;
using namespace bramleypath::net;
using net_test::RunUntil;

namespace {

std::string Head(std::size_t aLength) {
  return "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: " +
         std::to_string(aLength) + "\r\n\r\n";
}

// A listener that keeps its requests open, and blocking clients.
class Fixture {
 public:
  explicit Fixture(const HttpLimits& aLimits = HttpLimits())
      : listener(this->context, "127.0.0.1:0", aLimits,
                 [this](const HttpRequest&, const HttpResponder& aResponder) {
                   this->waiting.push_back(aResponder);
                 }) {
    NetReason reason;
    CPPUNIT_ASSERT(this->listener.Open(reason));
  }

  asio::ip::tcp::socket& Connect(const std::string& aText) {
    std::string ip;
    std::uint16_t port = 0;
    SplitAddress(this->listener.BoundAddress(), ip, port);
    this->clients.emplace_back(this->clientContext)
        .connect({asio::ip::make_address(ip), port});
    asio::write(this->clients.back(), asio::buffer(aText));
    return this->clients.back();
  }

  ConnectionCounters Counters() {
    return ReadConnectionCounters(this->context);
  }

  bool Run(const std::function<bool()>& aCondition) {
    return RunUntil(this->context, aCondition);
  }

  asio::io_context context;
  asio::io_context clientContext;
  std::vector<HttpResponder> waiting;
  HttpListener listener;
  std::vector<asio::ip::tcp::socket> clients;
};

std::string ReadSome(asio::ip::tcp::socket& aSocket) {
  std::string text(4096, '\0');
  asio::error_code error;
  text.resize(aSocket.read_some(asio::buffer(text), error));
  return text;
}

}  // namespace

// Guards against connections that outlive their close by a bound, and against a
// refusal of a request that was handled all the same.
class ListenerBoundsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ListenerBoundsTest);
  CPPUNIT_TEST(testUnfinishedBodiesOverTheBoundAreClosed);
  CPPUNIT_TEST(testRequestOverTheBoundIsRefused);
  CPPUNIT_TEST(testLongestIdleConnectionGivesWay);
  CPPUNIT_TEST(testOwnDescriptorsTakeTheRoomOfIdleClients);
  CPPUNIT_TEST(testResetsBeforeTheAcceptLoseNoSlot);
  CPPUNIT_TEST(testManyValuesAreRefused);
  CPPUNIT_TEST(testSendAfterTheClientLeft);
  CPPUNIT_TEST_SUITE_END();

 public:
  void testUnfinishedBodiesOverTheBoundAreClosed() {
    Fixture fixture;
    SetByteBounds(fixture.context, {64 * 1024, 64 * 1024});
    fixture.clients.reserve(3);
    auto& first = fixture.Connect(Head(30000) + std::string(20000, 'x'));
    CPPUNIT_ASSERT(fixture.Run(
        [&fixture] { return fixture.listener.Counters().connections == 1; }));
    auto& second = fixture.Connect(Head(30000) + std::string(20000, 'x'));
    CPPUNIT_ASSERT(fixture.Run(
        [&fixture] { return fixture.Counters().closedForMemory == 1; }));
    fixture.context.poll();
    CPPUNIT_ASSERT_EQUAL(std::string(), ReadSome(first));
    asio::write(second, asio::buffer(std::string(10000, 'x')));
    CPPUNIT_ASSERT(
        fixture.Run([&fixture] { return fixture.waiting.size() == 1; }));
  }

  void testRequestOverTheBoundIsRefused() {
    Fixture fixture;
    SetByteBounds(fixture.context, {256 * 1024, 64 * 1024});
    fixture.clients.reserve(3);
    fixture.Connect(Head(20000) + std::string(20000, 'x'));
    CPPUNIT_ASSERT(
        fixture.Run([&fixture] { return fixture.waiting.size() == 1; }));
    auto& second = fixture.Connect(Head(20000) + std::string(20000, 'x'));
    CPPUNIT_ASSERT(fixture.Run(
        [&fixture] { return fixture.Counters().refusedForMemory == 1; }));
    fixture.context.poll();
    const std::string answer = ReadSome(second);
    CPPUNIT_ASSERT(answer.find("HTTP/1.1 503") == 0);
    CPPUNIT_ASSERT(answer.find("Retry-After: 1") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.waiting.size());
    fixture.waiting.front().Send(HttpResponse());
    fixture.Connect(Head(20000) + std::string(20000, 'x'));
    CPPUNIT_ASSERT(
        fixture.Run([&fixture] { return fixture.waiting.size() == 2; }));
  }

  void testLongestIdleConnectionGivesWay() {
    HttpLimits limits;
    limits.maxConnections = 2;
    Fixture fixture(limits);
    fixture.clients.reserve(3);
    fixture.Connect(Head(0));
    CPPUNIT_ASSERT(
        fixture.Run([&fixture] { return fixture.waiting.size() == 1; }));
    auto& idle = fixture.Connect("");
    fixture.Connect(Head(0));
    CPPUNIT_ASSERT(
        fixture.Run([&fixture] { return fixture.waiting.size() == 2; }));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, fixture.Counters().closedForCount);
    CPPUNIT_ASSERT_EQUAL(std::string(), ReadSome(idle));
  }

  void testOwnDescriptorsTakeTheRoomOfIdleClients() {
    Fixture fixture;
    auto& idle = fixture.Connect("");
    CPPUNIT_ASSERT(fixture.Run(
        [&fixture] { return fixture.listener.Counters().connections == 1; }));
    constexpr std::size_t kOwn = 8;
    std::vector<asio::ip::tcp::socket> own;
    own.reserve(kOwn);
    for (std::size_t index = 0; index < kOwn; ++index) {
      own.emplace_back(fixture.clientContext, asio::ip::tcp::v4());
    }
    SetMaxDescriptors(fixture.context,
                      static_cast<std::size_t>(own.back().native_handle()));
    CPPUNIT_ASSERT(fixture.Run(
        [&fixture] { return fixture.Counters().closedForCount == 1; }));
    CPPUNIT_ASSERT_EQUAL(std::string(), ReadSome(idle));
  }

  // Guards against a listener that accepts nothing any more after clients have
  // reset connections that were waiting to be accepted.
  void testResetsBeforeTheAcceptLoseNoSlot() {
    HttpLimits limits;
    limits.maxConnections = 4;
    Fixture fixture(limits);
    constexpr std::size_t kResets = 40;
    fixture.clients.reserve(kResets + 1);
    for (std::size_t index = 0; index < kResets; ++index) {
      auto& client = fixture.Connect("");
      client.set_option(asio::socket_base::linger(true, 0));
      client.close();
    }
    fixture.Connect(Head(0));
    CPPUNIT_ASSERT(
        fixture.Run([&fixture] { return fixture.waiting.size() == 1; }));
  }

  void testManyValuesAreRefused() {
    HttpLimits limits;
    limits.maxBodyValues = 3;
    Fixture fixture(limits);
    auto& client = fixture.Connect(Head(9) + "[0,0,0,0]");
    CPPUNIT_ASSERT(fixture.Run(
        [&fixture] { return fixture.listener.Counters().tooLarge == 1; }));
    fixture.context.poll();
    CPPUNIT_ASSERT(ReadSome(client).find("HTTP/1.1 413") == 0);
    CPPUNIT_ASSERT(fixture.waiting.empty());
  }

  void testSendAfterTheClientLeft() {
    Fixture fixture;
    auto& client = fixture.Connect(Head(0));
    CPPUNIT_ASSERT(
        fixture.Run([&fixture] { return fixture.waiting.size() == 1; }));
    client.set_option(asio::socket_base::linger(true, 0));
    client.close();
    HttpResponse large;
    large.body.assign(1024 * 1024, 'x');
    fixture.waiting.front().Send(std::move(large));
    CPPUNIT_ASSERT(fixture.Run(
        [&fixture] { return fixture.listener.OpenRequests() == 0; }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ListenerBoundsTest);
