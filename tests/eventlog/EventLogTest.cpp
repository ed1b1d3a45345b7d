#include "bramleypath/eventlog/EventLog.h"

#include <fcntl.h>
#include <unistd.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>

#include "bramleypath/codec/Fields.h"
#include "bramleypath/net/Clock.h"

namespace bramleypath::eventlog {

class EventLogTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EventLogTest);
  CPPUNIT_TEST(testLineIsJson);
  CPPUNIT_TEST(testLinesPerEventAreLimited);
  CPPUNIT_TEST(testFlushIsRequestedOncePerBatch);
  CPPUNIT_TEST(testFullPipeDropsLinesWithoutBlocking);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    CPPUNIT_ASSERT_EQUAL(0, pipe(this->pipeEnds));
    fcntl(this->pipeEnds[0], F_SETFL, O_NONBLOCK);
    LogSettings settings;
    settings.host = "host-1";
    settings.output = this->pipeEnds[1];
    settings.linesPerSecond = 10;
    Start(settings);
  }

  void tearDown() override {
    close(this->pipeEnds[0]);
    close(this->pipeEnds[1]);
  }

  void testLineIsJson() {
    Write("job_refused", {{"job", "a \"quoted\"\nid"}, {"reason", "load"}});
    Flush();
    const codec::Json line =
        codec::Json::parse(this->ReadAll(), nullptr, false);
    CPPUNIT_ASSERT(line.is_object());
    CPPUNIT_ASSERT_EQUAL(std::string("host-1"),
                         line["host"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(std::string("a \"quoted\"\nid"),
                         line["job"].get<std::string>());
  }

  // Guards against a burst of one event that suppresses other events.
  void testLinesPerEventAreLimited() {
    for (int line = 0; line < 100; ++line) {
      Write("frequent");
    }
    Write("rare");
    Flush();
    const std::string text = this->ReadAll();
    CPPUNIT_ASSERT(std::count(text.begin(), text.end(), '\n') <= 21);
    CPPUNIT_ASSERT(text.find("\"rare\"") != std::string::npos);
    CPPUNIT_ASSERT(ReadCounters().rateLimited >= 80);
  }

  // Guards against lines that wait for a timer: a process that is killed would
  // lose the lines of its last 100 ms.
  void testFlushIsRequestedOncePerBatch() {
    int requests = 0;
    LogSettings settings;
    settings.output = this->pipeEnds[1];
    settings.requestFlush = [&requests] { ++requests; };
    Start(settings);
    Write("first");
    Write("second");
    CPPUNIT_ASSERT_EQUAL(1, requests);
    Flush();
    Write("third");
    CPPUNIT_ASSERT_EQUAL(2, requests);
  }

  // Guards against blocking in Write or Flush when nobody reads the output.
  void testFullPipeDropsLinesWithoutBlocking() {
    const TimePoint begin = net::Now();
    const std::string value(1000, 'x');
    for (int event = 0; event < 400; ++event) {
      Write("event" + std::to_string(event), {{"value", value}});
      Flush();
    }
    CPPUNIT_ASSERT(net::Now() - begin < Seconds(2));
    CPPUNIT_ASSERT(ReadCounters().dropped > 0);
  }

 private:
  std::string ReadAll() {
    std::string text;
    char buffer[4096];
    ssize_t bytes = 0;
    while ((bytes = read(this->pipeEnds[0], buffer, sizeof(buffer))) > 0) {
      text.append(buffer, static_cast<std::size_t>(bytes));
    }
    return text;
  }

  int pipeEnds[2] = {-1, -1};
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventLogTest);

}  // namespace bramleypath::eventlog
