#include "bramleypath/net/HttpClient.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <optional>
#include <string>
#include <thread>

#include "bramleypath/net/Clock.h"
#include "tests/net/FullListener.h"
#include "tests/net/Loop.h"
#include "tests/net/RawServer.h"
#include "tests/net/TimerProbe.h"

using namespace bramleypath;
using namespace bramleypath::net;
using net_test::RawServer;
using net_test::RunUntil;

namespace {

ClientRequest RequestTo(const std::string& aAddress) {
  ClientRequest request;
  request.address = aAddress;
  request.path = "/v1/run";
  request.body = "body";
  request.connectBy = Now() + Seconds(5);
  request.deadline = Now() + Seconds(5);
  return request;
}

constexpr const char* kWhole =
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Name: v\r\n\r\nwhole";

// Guards against a request that is reported as not sent although some of its
// bytes may have been, and against an incomplete answer that is reported as
// complete (P4, P5, P6).
class HttpClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpClientTest);
  CPPUNIT_TEST(testDeliveries);
  CPPUNIT_TEST(testRefusedConnectionSendsNothing);
  CPPUNIT_TEST(testEvidenceOfRequestsNotSent);
  CPPUNIT_TEST(testRefusalIsNoticedSoon);
  CPPUNIT_TEST(testWaitForTheOwnConnectionLimitIsADelay);
  CPPUNIT_TEST(testClosedIdleConnectionIsNotUsedTwice);
  CPPUNIT_TEST(testConnectionLimitDelaysRequests);
  CPPUNIT_TEST(testCancelAndDeadline);
  CPPUNIT_TEST(testManyResultsDoNotDelayTimers);
  CPPUNIT_TEST_SUITE_END();

 public:
  void testDeliveries() {
    struct Row {
      const char* what;
      const char* answer;  // then the connection is closed
      Delivery delivery;
      bool truncated;
    };
    const Row rows[] = {
        {"whole answer", kWhole, Delivery::Answered, false},
        {"chunked answer",
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
         "5\r\nwhole\r\n0\r\n\r\n",
         Delivery::Answered, false},
        {"closed after the request", "", Delivery::Unknown, false},
        {"cut in the headers", "HTTP/1.1 200 OK\r\nContent-Le",
         Delivery::Unknown, true},
        {"cut in the body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nwho",
         Delivery::Unknown, true},
        {"cut in a chunk",
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nwho",
         Delivery::Unknown, true},
        {"without a length", "HTTP/1.1 200 OK\r\n\r\nwhole", Delivery::Unknown,
         true},
        {"larger than the limit",
         "HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n", Delivery::Unknown,
         true},
        {"not HTTP", "garbage garbage\r\n\r\n", Delivery::Unknown, false},
    };
    for (const Row& row : rows) {
      asio::io_context context;
      const std::string text = row.answer;
      RawServer server(context, [&text](const auto& aSocket, std::size_t,
                                        const std::string&) {
        net_test::Write(*aSocket, text);
        net_test::Close(*aSocket);
      });
      HttpClientLimits limits;
      limits.maxAnswerBytes = 1000;
      HttpClient client(context, limits);
      std::optional<ClientResult> result;
      client.Send(RequestTo(server.Address()),
                  [&result](ClientResult aEnd) { result = std::move(aEnd); });
      CPPUNIT_ASSERT_MESSAGE(row.what, RunUntil(context, [&result] {
                               return result.has_value();
                             }));
      CPPUNIT_ASSERT_MESSAGE(std::string(row.what) + ": " + result->detail,
                             result->delivery == row.delivery);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.what, row.truncated, result->truncated);
      if (row.delivery == Delivery::Answered) {
        CPPUNIT_ASSERT_EQUAL(std::string("whole"), result->response.body);
      }
    }
  }

  void testRefusedConnectionSendsNothing() {
    asio::io_context context;
    std::string address;
    {
      RawServer server(context, nullptr);
      address = server.Address();
      server.Close();
    }
    HttpClient client(context, HttpClientLimits());
    std::optional<ClientResult> result;
    client.Send(RequestTo(address),
                [&result](ClientResult aEnd) { result = std::move(aEnd); });
    CPPUNIT_ASSERT(RunUntil(context, [&result] { return result.has_value(); }));
    CPPUNIT_ASSERT(result->delivery == Delivery::NothingSent);
  }

  // A leader that sends a request too late must not take that for a peer that
  // accepts no connection.
  void testEvidenceOfRequestsNotSent() {
    enum class Peer { Accepts, Refuses, DropsConnections };
    struct Row {
      const char* what;
      Peer peer;
      Duration connectTimeout;
      bool delayedLocally;
    };
    const Row rows[] = {
        {"taken up after the deadline", Peer::Accepts, Millis(-1), true},
        {"unreachable, but taken up late", Peer::DropsConnections, Millis(5),
         true},
        {"unreachable", Peer::DropsConnections, Millis(400), false},
        // A refusal comes at once. The time limit is only there to be later
        // than it, on a busy host as well.
        {"refused", Peer::Refuses, Seconds(4), false},
    };
    for (const Row& row : rows) {
      asio::io_context context;
      RawServer server(context, nullptr);
      const net_test::FullListener full(context);
      const std::string address = row.peer == Peer::DropsConnections
                                      ? full.Address()
                                      : server.Address();
      if (row.peer == Peer::Refuses) {
        server.Close();
      }
      HttpClient client(context, HttpClientLimits());
      ClientRequest request = RequestTo(address);
      request.connectBy = Now() + row.connectTimeout;
      std::optional<ClientResult> result;
      client.Send(std::move(request),
                  [&result](ClientResult aEnd) { result = std::move(aEnd); });
      CPPUNIT_ASSERT_MESSAGE(row.what, RunUntil(context, [&result] {
                               return result.has_value();
                             }));
      CPPUNIT_ASSERT_MESSAGE(row.what,
                             result->delivery == Delivery::NothingSent);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.what, row.delayedLocally,
                                   result->delayedLocally);
      // Silence must not be taken for the end of the peer's process.
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.what, row.peer == Peer::Refuses,
                                   result->isConnectionRefused);
    }
  }

  // A refused connection must not be noticed only at the end of a time limit.
  // On a busy host, any one request may be late.
  void testRefusalIsNoticedSoon() {
    constexpr int kRequests = 10;
    constexpr Duration kSoon = Millis(400);
    asio::io_context context;
    RawServer server(context, nullptr);
    const std::string address = server.Address();
    server.Close();
    HttpClient client(context, HttpClientLimits());
    Duration fastest = Seconds(60);
    for (int number = 0; number < kRequests; ++number) {
      const TimePoint sentAt = Now();
      std::optional<ClientResult> result;
      client.Send(RequestTo(address),
                  [&result](ClientResult aEnd) { result = std::move(aEnd); });
      CPPUNIT_ASSERT(
          RunUntil(context, [&result] { return result.has_value(); }));
      CPPUNIT_ASSERT(result->isConnectionRefused && !result->delayedLocally);
      fastest = std::min(fastest, Now() - sentAt);
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(ToMillis(fastest)) + " ms",
                           fastest < kSoon);
  }

  // A request that waits for a connection of the pool was never shown to the
  // peer.
  void testWaitForTheOwnConnectionLimitIsADelay() {
    asio::io_context context;
    RawServer server(context, [](const auto& /*aSocket*/, std::size_t,
                                 const std::string&) {});
    HttpClientLimits limits;
    limits.maxConnectionsPerHost = 1;
    HttpClient client(context, limits);
    client.Send(RequestTo(server.Address()), [](const ClientResult&) {});
    ClientRequest second = RequestTo(server.Address());
    second.connectBy = Now() + Millis(400);
    std::optional<ClientResult> result;
    client.Send(std::move(second),
                [&result](ClientResult aEnd) { result = std::move(aEnd); });
    CPPUNIT_ASSERT(RunUntil(context, [&result] { return result.has_value(); }));
    CPPUNIT_ASSERT(result->delivery == Delivery::NothingSent);
    CPPUNIT_ASSERT(result->delayedLocally);
  }

  // libcurl sends a request again on a new connection when a connection of its
  // pool is closed before an answer. The server may have run the request by
  // then.
  void testClosedIdleConnectionIsNotUsedTwice() {
    asio::io_context context;
    std::size_t requests = 0;
    RawServer server(context, [&requests](const auto& aSocket, std::size_t,
                                          const std::string&) {
      if (++requests == 1) {
        net_test::Write(*aSocket, kWhole);
      } else {
        net_test::Close(*aSocket);
      }
    });
    HttpClient client(context, HttpClientLimits());
    std::optional<ClientResult> first;
    client.Send(RequestTo(server.Address()),
                [&first](ClientResult aEnd) { first = std::move(aEnd); });
    CPPUNIT_ASSERT(RunUntil(context, [&first] { return first.has_value(); }));
    CPPUNIT_ASSERT(first->delivery == Delivery::Answered);
    std::optional<ClientResult> second;
    client.Send(RequestTo(server.Address()),
                [&second](ClientResult aEnd) { second = std::move(aEnd); });
    CPPUNIT_ASSERT(RunUntil(context, [&second] { return second.has_value(); }));
    CPPUNIT_ASSERT(second->delivery == Delivery::Unknown);
    context.restart();
    context.run_for(std::chrono::milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, requests);
  }

  void testConnectionLimitDelaysRequests() {
    asio::io_context context;
    std::vector<std::shared_ptr<RawServer::Socket>> waiting;
    RawServer server(context, [&waiting](const auto& aSocket, std::size_t,
                                         const std::string&) {
      waiting.push_back(aSocket);
    });
    HttpClientLimits limits;
    limits.maxConnectionsPerHost = 2;
    HttpClient client(context, limits);
    std::size_t answered = 0;
    std::size_t notSent = 0;
    for (int i = 0; i < 4; ++i) {
      ClientRequest request = RequestTo(server.Address());
      if (i == 3) {
        request.connectBy = Now() + Millis(100);
      }
      client.Send(std::move(request), [&](const ClientResult& aEnd) {
        answered += aEnd.delivery == Delivery::Answered ? 1 : 0;
        notSent += aEnd.delivery == Delivery::NothingSent ? 1 : 0;
      });
    }
    CPPUNIT_ASSERT(RunUntil(context, [&notSent] { return notSent == 1; }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, waiting.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, server.Connections());
    net_test::Write(*waiting[0], kWhole);
    net_test::Write(*waiting[1], kWhole);
    CPPUNIT_ASSERT(
        RunUntil(context, [&waiting] { return waiting.size() == 3; }));
    net_test::Write(*waiting[2], kWhole);
    CPPUNIT_ASSERT(RunUntil(context, [&answered] { return answered == 3; }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, server.Connections());
  }

  void testCancelAndDeadline() {
    asio::io_context context;
    bool arrived = false;
    RawServer server(context,
                     [&arrived](const auto&, std::size_t, const std::string&) {
                       arrived = true;
                     });
    HttpClient client(context, HttpClientLimits());
    std::vector<Delivery> ends;
    const auto onEnd = [&ends](const ClientResult& aEnd) {
      ends.push_back(aEnd.delivery);
    };
    const ClientRequestId id = client.Send(RequestTo(server.Address()), onEnd);
    CPPUNIT_ASSERT(RunUntil(context, [&arrived] { return arrived; }));
    client.Cancel(id);
    CPPUNIT_ASSERT(RunUntil(context, [&ends] { return ends.size() == 1; }));
    ClientRequest late = RequestTo(server.Address());
    late.deadline = Now() + Millis(50);
    client.Send(std::move(late), onEnd);
    CPPUNIT_ASSERT(RunUntil(context, [&ends] { return ends.size() == 2; }));
    CPPUNIT_ASSERT(ends[0] == Delivery::Unknown);
    CPPUNIT_ASSERT(ends[1] == Delivery::Unknown);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, client.OpenRequests());
  }

  // Answers of hundreds of workers that waited while the leader was busy were
  // all handled before its heartbeats, so that it lost its lease.
  void testManyResultsDoNotDelayTimers() {
    asio::io_context context;
    std::string address;
    {
      RawServer server(context, nullptr);
      address = server.Address();
      server.Close();
    }
    HttpClient client(context, HttpClientLimits());
    constexpr int kRequests = 200;
    int results = 0;
    net_test::TimerProbe probe(context);
    for (int i = 0; i < kRequests; ++i) {
      client.Send(RequestTo(address), [&](const ClientResult&) {
        probe.RunHandler();
        ++results;
      });
    }
    // All results wait for the io_context by then.
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    CPPUNIT_ASSERT(
        RunUntil(context, [&results] { return results == kRequests; }));
    CPPUNIT_ASSERT(probe.MostOverdue() < net_test::kMaxOverdueHandlers);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpClientTest);

}  // namespace
