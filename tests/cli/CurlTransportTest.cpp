#include "bramleypath/cli/CurlTransport.h"

#include <arpa/inet.h>
#include <cppunit/extensions/HelperMacros.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <thread>

namespace bramleypath::cli {

namespace {

// A server that accepts one connection on a loopback port, reads part of the
// request, writes a text and closes the connection. With aWait, it reads until
// the client has closed the connection.
struct OneShotServer {
  int listener = -1;
  std::uint16_t port = 0;
  std::thread thread;

  OneShotServer(std::string aText, bool aWait) {
    this->listener = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    auto* const plain = reinterpret_cast<sockaddr*>(&address);
    CPPUNIT_ASSERT(bind(this->listener, plain, length) == 0);
    CPPUNIT_ASSERT(listen(this->listener, 1) == 0);
    CPPUNIT_ASSERT(getsockname(this->listener, plain, &length) == 0);
    this->port = ntohs(address.sin_port);
    this->thread = std::thread([this, text = std::move(aText), aWait] {
      const int connection = accept(this->listener, nullptr, nullptr);
      char buffer[4096];
      while (read(connection, buffer, sizeof(buffer)) > 0 && aWait) {
      }
      if (write(connection, text.data(), text.size()) < 0) {
        // Some of the tests let the client disconnect first.
      }
      close(connection);
    });
  }

  ~OneShotServer() {
    this->thread.join();
    close(this->listener);
  }

  std::string Url() const {
    return "http://127.0.0.1:" + std::to_string(this->port) + "/x";
  }
};

HttpReply Post(const std::string& aUrl) {
  return SendWithCurl(HttpRequest{"POST", aUrl, "{}", Millis(300)});
}

}  // namespace

class CurlTransportTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CurlTransportTest);
  CPPUNIT_TEST(testReportsWhetherRequestMayHaveBeenReceived);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a received request that is reported as not sent, and against
  // a truncated reply that is accepted as complete.
  void testReportsWhetherRequestMayHaveBeenReceived() {
    std::string closedUrl;
    {
      const OneShotServer server(
          "HTTP/1.1 409 x\r\nContent-Length: 2\r\n\r\n{}", false);
      closedUrl = server.Url();
      const HttpReply reply = Post(closedUrl);
      CPPUNIT_ASSERT(reply.transfer == Transfer::Answered);
      CPPUNIT_ASSERT_EQUAL(409L, reply.status);
      CPPUNIT_ASSERT_EQUAL(std::string("{}"), reply.body);
    }
    CPPUNIT_ASSERT(Post(closedUrl).transfer == Transfer::NotSent);
    {
      const OneShotServer server("", false);
      CPPUNIT_ASSERT(Post(server.Url()).transfer == Transfer::Unanswered);
    }
    {
      const OneShotServer server("", true);
      CPPUNIT_ASSERT(Post(server.Url()).transfer == Transfer::Unanswered);
    }
    {
      const OneShotServer server(
          "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}", false);
      const HttpReply reply = Post(server.Url());
      CPPUNIT_ASSERT(reply.transfer == Transfer::Unanswered);
      CPPUNIT_ASSERT(reply.body.empty());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CurlTransportTest);

}  // namespace bramleypath::cli
