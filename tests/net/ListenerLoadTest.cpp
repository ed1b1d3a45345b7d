#include "bramleypath/net/HttpListener.h"

#include <cppunit/extensions/HelperMacros.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>
#include <functional>
#include <string>
#include <vector>

#include "tests/net/Loop.h"

using namespace bramleypath;
using namespace bramleypath::net;
using net_test::RunUntil;

namespace {

// Connections that 490 workers with a heartbeat every 1.5 s open in 0.2 s.
constexpr int kConnections = 65;
// A caller waits one second for its answer, and a turn of a busy event loop
// takes up to 50 ms.
constexpr int kMaxTurns = 20;

// Counts the turns of an event loop that always has work.
class TurnCounter {
 public:
  explicit TurnCounter(asio::io_context& aContext) : context(aContext) {}
  void Count() {
    ++this->turns;
    asio::post(this->context, [this] { this->Count(); });
  }
  int Turns() const { return this->turns; }

 private:
  asio::io_context& context;
  int turns = 0;
};

class ListenerLoadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ListenerLoadTest);
  CPPUNIT_TEST(testNewConnectionsDoNotWaitForEachOther);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against calls that wait for as many turns of the loop as there are
  // connections before theirs, so that callers leave before they are accepted.
  void testNewConnectionsDoNotWaitForEachOther() {
    asio::io_context context;
    TurnCounter counter(context);
    std::vector<int> answeredAfter;
    HttpListener listener(
        context, "127.0.0.1:0", HttpLimits(),
        [&](const HttpRequest&, const HttpResponder& aResponder) {
          answeredAfter.push_back(counter.Turns());
          aResponder.Send(HttpResponse());
        });
    NetReason reason;
    CPPUNIT_ASSERT(listener.Open(reason));
    std::string ip;
    std::uint16_t port = 0;
    CPPUNIT_ASSERT(SplitAddress(listener.BoundAddress(), ip, port));
    asio::io_context clientContext;
    std::vector<asio::ip::tcp::socket> clients;
    for (int index = 0; index < kConnections; ++index) {
      clients.emplace_back(clientContext)
          .connect({asio::ip::make_address(ip), port});
      asio::write(
          clients.back(),
          asio::buffer(std::string("GET / HTTP/1.1\r\nHost: h\r\n\r\n")));
    }
    counter.Count();
    CPPUNIT_ASSERT(RunUntil(context, [&answeredAfter] {
      return answeredAfter.size() == kConnections;
    }));
    CPPUNIT_ASSERT_MESSAGE("the last call was answered after " +
                               std::to_string(answeredAfter.back()) + " turns",
                           answeredAfter.back() <= kMaxTurns);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ListenerLoadTest);

}  // namespace
