#include "bramleypath/net/HttpListener.h"

#include <cppunit/extensions/HelperMacros.h>

#include <asio/connect.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <deque>

#include "bramleypath/net/Clock.h"
#include "tests/net/Loop.h"

using namespace bramleypath;
using namespace bramleypath::net;
using net_test::RunUntil;

namespace {

// A TCP client that sends raw bytes and collects what it receives.
class RawClient {
 public:
  RawClient(asio::io_context& aContext, const std::string& aAddress)
      : socket(aContext) {
    std::string ip;
    std::uint16_t port = 0;
    SplitAddress(aAddress, ip, port);
    this->socket.connect({asio::ip::make_address(ip), port});
    this->Read();
  }

  void Send(const std::string& aText) {
    asio::error_code ignored;
    asio::write(this->socket, asio::buffer(aText), ignored);
  }

  std::string received;
  bool closed = false;

 private:
  void Read() {
    this->socket.async_read_some(
        asio::buffer(this->buffer),
        [this](const asio::error_code& aError, std::size_t aBytes) {
          this->received.append(this->buffer.data(), aBytes);
          if (aError) {
            this->closed = true;
          } else {
            this->Read();
          }
        });
  }

  asio::ip::tcp::socket socket;
  std::array<char, 4096> buffer{};
};

std::string Post(const std::string& aBody) {
  return "POST /v1/call/s?a=1 HTTP/1.1\r\nHost: h\r\nX-Name: value\r\n"
         "Content-Length: " +
         std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

std::size_t Count(const std::string& aText, const std::string& aPart) {
  std::size_t count = 0;
  for (std::size_t at = aText.find(aPart); at != std::string::npos;
       at = aText.find(aPart, at + 1)) {
    ++count;
  }
  return count;
}

// Guards against a listener that accepts unbounded input, and against one that
// drops responses when it closes (P8).
class HttpListenerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpListenerTest);
  CPPUNIT_TEST(testRequestAndKeepAlive);
  CPPUNIT_TEST(testLimits);
  CPPUNIT_TEST(testRateLimit);
  CPPUNIT_TEST(testGracefulClose);
  CPPUNIT_TEST(testUnansweredRequestGets500);
  CPPUNIT_TEST(testAddresses);
  CPPUNIT_TEST_SUITE_END();

 public:
  void testRequestAndKeepAlive() {
    asio::io_context context;
    HttpRequest seen;
    HttpListener listener(
        context, "127.0.0.1:0", HttpLimits(),
        [&seen](HttpRequest aRequest, const HttpResponder& aOut) {
          seen = std::move(aRequest);
          HttpResponse response;
          response.body = "hello";
          aOut.Send(response);
          aOut.Send(response);  // has no effect
        });
    NetReason reason;
    CPPUNIT_ASSERT(listener.Open(reason));
    RawClient client(context, listener.BoundAddress());
    for (std::size_t sent = 1; sent <= 2; ++sent) {
      client.Send(Post("body"));
      CPPUNIT_ASSERT(RunUntil(context, [&client, sent] {
        return Count(client.received, "hello") == sent;
      }));
    }
    CPPUNIT_ASSERT(!client.closed);
    CPPUNIT_ASSERT_EQUAL(std::string("/v1/call/s"), seen.path);
    CPPUNIT_ASSERT_EQUAL(std::string("a=1"), seen.query);
    CPPUNIT_ASSERT_EQUAL(std::string("body"), seen.body);
    CPPUNIT_ASSERT_EQUAL(std::string("value"),
                         *FindHeader(seen.headers, "x-name"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, listener.OpenRequests());
  }

  void testLimits() {
    struct Row {
      const char* what;
      std::string bytes;
      const char* expected;  // status; empty: no answer, only a close
    };
    const Row rows[] = {
        {"body over the limit", Post(std::string(200, 'x')), "413"},
        {"body over what is read", Post(std::string(2000, 'x')), ""},
        {"long header",
         "GET / HTTP/1.1\r\nHost: h\r\nA: " + std::string(400, 'x') +
             "\r\n\r\n",
         ""},
        {"many headers",
         "GET / HTTP/1.1\r\nA: 1\r\nB: 1\r\nC: 1\r\nD: 1\r\nE: 1\r\n\r\n", ""},
        {"long path", "GET /" + std::string(400, 'x') + " HTTP/1.1\r\n\r\n",
         ""},
        {"not HTTP", std::string("\x16\x03\x01 garbage\r\n\r\n"), ""},
    };
    for (const Row& row : rows) {
      asio::io_context context;
      HttpLimits limits;
      limits.maxBodyBytes = 100;
      limits.maxReadBytes = 1000;
      limits.maxHeaderValueBytes = 300;
      limits.maxUrlBytes = 300;
      limits.maxHeaders = 4;
      std::size_t handled = 0;
      HttpListener listener(
          context, "127.0.0.1:0", limits,
          [&handled](const HttpRequest&, const HttpResponder&) { ++handled; });
      NetReason reason;
      CPPUNIT_ASSERT(listener.Open(reason));
      RawClient client(context, listener.BoundAddress());
      client.Send(row.bytes);
      CPPUNIT_ASSERT_MESSAGE(
          row.what, RunUntil(context, [&client] { return client.closed; }));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.what, std::size_t{0}, handled);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          row.what, *row.expected != '\0',
          client.received.find(std::string("HTTP/1.1 ") + row.expected) == 0);
    }
  }

  void testRateLimit() {
    asio::io_context context;
    HttpLimits limits;
    limits.maxRequestsPerSecond = 2;
    HttpListener listener(context, "127.0.0.1:0", limits,
                          [](const HttpRequest&, const HttpResponder& aOut) {
                            aOut.Send(HttpResponse());
                          });
    NetReason reason;
    CPPUNIT_ASSERT(listener.Open(reason));
    RawClient client(context, listener.BoundAddress());
    for (std::size_t sent = 1; sent <= 5; ++sent) {
      client.Send(Post(""));
      CPPUNIT_ASSERT(RunUntil(context, [&client, sent] {
        return Count(client.received, "HTTP/1.1") == sent;
      }));
    }
    CPPUNIT_ASSERT(Count(client.received, "HTTP/1.1 429") >= 2);
    CPPUNIT_ASSERT_EQUAL(
        Count(client.received, "HTTP/1.1 429"),
        static_cast<std::size_t>(listener.Counters().rateLimited));
  }

  void testGracefulClose() {
    asio::io_context context;
    std::deque<HttpResponder> waiting;
    HttpListener listener(
        context, "127.0.0.1:0", HttpLimits(),
        [&waiting](const HttpRequest&, const HttpResponder& aOut) {
          waiting.push_back(aOut);
        });
    NetReason reason;
    CPPUNIT_ASSERT(listener.Open(reason));
    RawClient client(context, listener.BoundAddress());
    client.Send(Post("in flight"));
    CPPUNIT_ASSERT(RunUntil(context, [&waiting] { return !waiting.empty(); }));
    listener.CloseConnectionsAfterResponse();
    listener.StopAccepting();
    bool refused = false;
    try {
      RawClient late(context, listener.BoundAddress());
    } catch (const std::system_error&) {
      refused = true;
    }
    CPPUNIT_ASSERT(refused);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, listener.OpenRequests());
    HttpResponse response;
    response.body = "finished";
    waiting.front().Send(response);
    CPPUNIT_ASSERT(RunUntil(context, [&client] { return client.closed; }));
    CPPUNIT_ASSERT(client.received.find("finished") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, listener.OpenRequests());
  }

  void testUnansweredRequestGets500() {
    asio::io_context context;
    HttpListener listener(context, "127.0.0.1:0", HttpLimits(),
                          [](const HttpRequest&, const HttpResponder&) {});
    NetReason reason;
    CPPUNIT_ASSERT(listener.Open(reason));
    RawClient client(context, listener.BoundAddress());
    client.Send(Post(""));
    CPPUNIT_ASSERT(RunUntil(context, [&client] {
      return client.received.find("HTTP/1.1 500") == 0;
    }));
  }

  void testAddresses() {
    asio::io_context context;
    const auto handler = [](const HttpRequest&, const HttpResponder&) {};
    for (const char* address : {"", "127.0.0.1", "127.0.0.1:x", "name:80",
                                "127.0.0.1:70000", ":80"}) {
      HttpListener listener(context, address, HttpLimits(), handler);
      NetReason reason;
      CPPUNIT_ASSERT_MESSAGE(address, !listener.Open(reason));
      CPPUNIT_ASSERT_MESSAGE(address, reason.code == NetError::InvalidAddress);
    }
    HttpListener first(context, "127.0.0.1:0", HttpLimits(), handler);
    NetReason reason;
    CPPUNIT_ASSERT(first.Open(reason));
    HttpListener second(context, first.BoundAddress(), HttpLimits(), handler);
    CPPUNIT_ASSERT(!second.Open(reason));
    CPPUNIT_ASSERT(reason.code == NetError::CannotBind);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpListenerTest);

}  // namespace
