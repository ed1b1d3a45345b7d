#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "bramleypath/codec/Fields.h"
#include "bramleypath/net/Clock.h"
#include "bramleypath/relay/Relay.h"
#include "tests/platform/ControlCell.h"

namespace bramleypath::platform {

namespace {

using codec::Json;
using platform_test::Callers;
using platform_test::ControlCell;

constexpr const char* kPutPath = "/-/Configuration.Replace";
constexpr const char* kGetPath = "/-/Configuration.Get";
const std::string kDrainPath = "/-/Evacuation.";
constexpr const char* kClientHost = "h.example";
// The platform's bounds: for the acknowledgement of a valid configuration, for
// a configuration to come into force, and for the read at the end.
constexpr Duration kAckTimeout = Seconds(4);
constexpr Duration kDrainAckTimeout = Seconds(5);
constexpr Duration kApplyTime = Seconds(2);
constexpr Duration kReadTimeout = Seconds(3);
constexpr Duration kStartTime = Seconds(10);
constexpr std::uint32_t kOk = 200;
constexpr std::uint32_t kBadRequest = 400;
constexpr std::uint32_t kNotFound = 404;

std::string PrefixOf(std::uint64_t aVersion) {
  return "/v" + std::to_string(aVersion) + "/";
}

// Each version has a route that no other has.
std::string MakeBody(std::uint64_t aVersion) {
  const Json route = {{"name", "r" + std::to_string(aVersion)},
                      {"host", kClientHost},
                      {"pathPrefix", PrefixOf(aVersion)},
                      {"timeoutMs", 3000},
                      {"service", "s"}};
  return Json{{"version", aVersion},
              {"routes", Json::array({route})},
              {"services", Json::array({{{"name", "s"}}})}}
      .dump();
}

// The leader's answer to a client's request for the version's route; 0: none.
std::uint32_t StatusOfRoute(ControlCell& aCell, std::uint64_t aVersion) {
  for (std::size_t host = 0; host < aCell.Size(); ++host) {
    if (!aCell.IsUp(host)) {
      continue;
    }
    const auto response =
        aCell.Call(host, "GET", PrefixOf(aVersion), "", kClientHost);
    if (response.status == kOk || response.status == kNotFound) {
      return response.status;
    }
  }
  return 0;
}

// The answer of one host to a call. A new leader doesn't know yet which hosts
// there are, and answers 503 for some seconds.
std::uint32_t AnswerOnceCertain(ControlCell& aCell, std::size_t aHost,
                                const std::string& aMethod,
                                const std::string& aPath,
                                const std::string& aBody) {
  constexpr std::uint32_t kUnavailable = 503;
  const TimePoint end = net::Now() + kStartTime;
  std::uint32_t status = 0;
  while ((status == 0 || status == kUnavailable) && net::Now() < end) {
    status = aCell.Call(aHost, aMethod, aPath, aBody).status;
  }
  return status;
}

void Acknowledge(ControlCell& aCell, std::uint64_t aVersion, Duration aTimeout,
                 const std::string& aContext) {
  CPPUNIT_ASSERT_MESSAGE(
      aContext + ": version " + std::to_string(aVersion) +
          " is not acknowledged in time",
      aCell.CallUntilDone("POST", kPutPath, MakeBody(aVersion), aTimeout));
}

// The version is read back everywhere and in force, and the one before isn't.
void CheckInForce(ControlCell& aCell, std::uint64_t aVersion,
                  const std::string& aContext) {
  const TimePoint inForceBy = net::Now() + kApplyTime;
  const auto read = aCell.CallUntilDone("GET", kGetPath, "", kReadTimeout);
  CPPUNIT_ASSERT_MESSAGE(aContext + ": no configuration in time", read);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(aContext, MakeBody(aVersion), read->body);
  for (std::size_t host = 0; host < aCell.Size(); ++host) {
    if (aCell.IsUp(host)) {
      const auto local = aCell.Call(host, "GET", kGetPath, "");
      CPPUNIT_ASSERT_MESSAGE(
          aContext + ": an older configuration is read",
          local.status != kOk || local.body == MakeBody(aVersion));
    }
  }
  std::uint32_t status = StatusOfRoute(aCell, aVersion);
  while (status == 0 && net::Now() < inForceBy) {
    status = StatusOfRoute(aCell, aVersion);
  }
  CPPUNIT_ASSERT_EQUAL_MESSAGE(aContext + ": a new route is not served", kOk,
                               status);
  CPPUNIT_ASSERT_MESSAGE(aContext + ": a dropped route is served",
                         StatusOfRoute(aCell, aVersion - 1) != kOk);
}

}  // namespace

class OperatorCallsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OperatorCallsTest);
  CPPUNIT_TEST(testChangesOnLoadedHosts);
  CPPUNIT_TEST(testChangesBesideManyNewConnections);
  CPPUNIT_TEST(testChangesSurviveLeadersAndDisks);
  CPPUNIT_TEST(testInvalidChangesAreNotInForce);
  CPPUNIT_TEST(testDrainOrdersOnLoadedHosts);
  CPPUNIT_TEST(testMalformedDrainOrdersAreRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against operators that no loaded host answers in time, and against
  // a change that isn't in force or is read back older.
  void testChangesOnLoadedHosts() {
    ControlCell cell;
    cell.StartAll(true);
    Acknowledge(cell, 1, kStartTime, "start");
    std::uint64_t version = 1;
    for (const int turnMs : {0, 20, 40}) {
      const std::string context = "turns of " + std::to_string(turnMs) + " ms";
      cell.SetTurnTime(std::chrono::milliseconds(turnMs));
      for (int change = 0; change < 3; ++change) {
        version += 2;
        Acknowledge(cell, version, kAckTimeout, context);
        // An order that was accepted is acknowledged again.
        Acknowledge(cell, version, kAckTimeout, context + ", again");
        CheckInForce(cell, version, context);
      }
    }
  }

  // Guards against operators that no host answers while callers of another kind
  // open connections to all of them.
  void testChangesBesideManyNewConnections() {
    // Announcements of 490 workers, each every 1.5 s.
    constexpr int kCallsPerSecond = 327;
    ControlCell cell;
    cell.StartAll(true);
    Acknowledge(cell, 1, kStartTime, "start");
    cell.SetTurnTime(std::chrono::milliseconds(20));
    const Callers first(cell.AddressOf(0), kCallsPerSecond);
    const Callers second(cell.AddressOf(1), kCallsPerSecond);
    const Callers third(cell.AddressOf(2), kCallsPerSecond);
    // Without enough accepts, connections wait in a queue that fills up first.
    std::this_thread::sleep_for(std::chrono::seconds(3));
    for (const std::uint64_t version : {3, 5, 7}) {
      Acknowledge(cell, version, kAckTimeout, "beside many connections");
      CheckInForce(cell, version, "beside many connections");
    }
  }

  // Guards against an acknowledged change that is lost with the leader, or with
  // a disk while all other hosts lose power at the same moment.
  void testChangesSurviveLeadersAndDisks() {
    constexpr std::size_t kHosts = 3;
    for (std::size_t lost = 0; lost < kHosts; ++lost) {
      const std::string context = "disk " + std::to_string(lost);
      ControlCell cell;
      cell.StartAll(true);
      Acknowledge(cell, 1, kStartTime, "start");
      cell.SetTurnTime(std::chrono::milliseconds(20));
      const auto leader = cell.FindLeader();
      CPPUNIT_ASSERT_MESSAGE(context, leader);
      cell.Kill(*leader);
      Acknowledge(cell, 3, kStartTime, context + ", leader lost");
      CheckInForce(cell, 3, context + ", leader lost");
      cell.StartAll(false);
      Acknowledge(cell, 5, kStartTime, context + ", leader back");
      cell.KillAll();
      cell.LoseDisk(lost);
      cell.StartAll(false);
      CPPUNIT_ASSERT_MESSAGE(
          context, cell.CallUntilDone("GET", kGetPath, "", kStartTime));
      CheckInForce(cell, 5, context + ", all lost power");
    }
  }

  // Guards against an invalid change that is acknowledged or obeyed, sent to
  // any host.
  void testInvalidChangesAreNotInForce() {
    ControlCell cell;
    cell.StartAll(true);
    Acknowledge(cell, 1, kStartTime, "start");
    Json invalid = Json::parse(MakeBody(9));
    invalid["routes"][0]["timeoutMs"] = 0;
    for (std::size_t host = 0; host < cell.Size(); ++host) {
      const auto answer = cell.Call(host, "POST", kPutPath, invalid.dump());
      CPPUNIT_ASSERT_EQUAL(kBadRequest, answer.status);
    }
    // Other contents under the version held change nothing.
    Json other = Json::parse(MakeBody(1));
    other["routes"][0]["pathPrefix"] = PrefixOf(9);
    for (std::size_t host = 0; host < cell.Size(); ++host) {
      CPPUNIT_ASSERT_EQUAL(
          kOk, cell.Call(host, "POST", kPutPath, other.dump()).status);
    }
    CheckInForce(cell, 1, "after invalid changes");
    CPPUNIT_ASSERT_EQUAL(kNotFound, StatusOfRoute(cell, 9));
  }

  // Guards against an operator that no loaded host answers in time, and against
  // an accepted order that is refused when it comes again, to any host.
  void testDrainOrdersOnLoadedHosts() {
    ControlCell cell;
    cell.StartAll(true);
    Acknowledge(cell, 1, kStartTime, "start");
    for (const int turnMs : {0, 20, 40}) {
      cell.SetTurnTime(std::chrono::milliseconds(turnMs));
      for (const std::string verb : {"Start", "Start", "End", "End"}) {
        CPPUNIT_ASSERT_MESSAGE(
            verb + ", turns of " + std::to_string(turnMs) + " ms",
            cell.CallUntilDone("POST", kDrainPath + verb + "/dc-0", "",
                               kDrainAckTimeout));
      }
    }
  }

  // Guards against a malformed order that any host takes.
  void testMalformedDrainOrdersAreRefused() {
    struct Case {
      std::string method;
      std::string path;
      std::string body;
      std::uint32_t status;
    };
    constexpr std::uint32_t kMethodNotAllowed = 405;
    ControlCell cell;
    cell.StartAll(true);
    Acknowledge(cell, 1, kStartTime, "start");
    for (const Case& one :
         {Case{"POST", "Start/", "", kBadRequest},
          Case{"POST", "End/", "", kBadRequest},
          Case{"POST", "Start/unknown", "", kBadRequest},
          Case{"POST", "End/unknown", "", kBadRequest},
          Case{"POST", "Start/dc-0", "{}", kBadRequest},
          Case{"POST", "Start/a/b", "", kBadRequest},
          Case{"POST", "Start/a%20b", "", kBadRequest},
          Case{"POST", "Start/" + std::string(257, 'a'), "", kBadRequest},
          Case{"GET", "Start/dc-0", "", kMethodNotAllowed},
          Case{"POST", "Start", "", kNotFound}}) {
      for (std::size_t host = 0; host < cell.Size(); ++host) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            one.path, one.status,
            AnswerOnceCertain(cell, host, one.method, kDrainPath + one.path,
                              one.body));
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OperatorCallsTest);

}  // namespace bramleypath::platform
