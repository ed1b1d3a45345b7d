#include "bramleypath/relay/Relay.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "bramleypath/net/Clock.h"
#include "tests/net/Loop.h"
#include "tests/relay/Hosts.h"

namespace bramleypath::relay {

namespace {

using net_test::RunUntil;
using relay_test::ControlHost;
using relay_test::Front;
using relay_test::MakeNotLeaderResponse;
using relay_test::MakeResponse;

const HostId kFirst("127.0.0.2");
const HostId kSecond("127.0.0.3");
// The host reads the first attempt and never answers it. `second` is its answer
// to the second attempt, `expected` the status that the caller gets.
struct LostAnswerCase {
  std::uint32_t second;
  std::uint32_t expected;
};

const LostAnswerCase kLostAnswers[] = {
    {200, 200},  // the leader recognises the id
    {410, 410},
    // The first attempt may have been accepted before the configuration
    // changed, or may still arrive and be accepted.
    {400, 504},
    {404, 504},
    {405, 504},
    {413, 504},
    {429, 504},
    {500, 504},
    {503, 504},
};

}  // namespace

class RelayTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RelayTest);
  CPPUNIT_TEST(testAnswerIsPassedOn);
  CPPUNIT_TEST(testRequestGoesToNamedLeader);
  CPPUNIT_TEST(testRefusalAfterALostAnswer);
  CPPUNIT_TEST(testRepetitionsSayForHowLongTheyAreUnderWay);
  CPPUNIT_TEST(testSubmissionsExpireByTheClockOfTheLeader);
  CPPUNIT_TEST(testRefusalThatTheLeaderProves);
  CPPUNIT_TEST(testUnansweredReadIsNotCalledUnknown);
  CPPUNIT_TEST(testRefusedReadIsPassedOnAfterALostAnswer);
  CPPUNIT_TEST(testNoHostIsReachable);
  CPPUNIT_TEST(testOwnPauseIsNoLossOfTheLeader);
  CPPUNIT_TEST_SUITE_END();

 public:
  void testAnswerIsPassedOn() {
    ControlHost host(this->context, kFirst.value + ":0", [](std::size_t) {
      net::HttpResponse response = MakeResponse(429, "later");
      response.headers.push_back({"Retry-After", "4"});
      return response;
    });
    Front front(this->context, {kFirst}, host.Port());
    const net::ClientResult result = front.Call("/jobs/1");
    CPPUNIT_ASSERT_EQUAL(429U, result.response.status);
    CPPUNIT_ASSERT_EQUAL(std::string("later"), result.response.body);
    const std::string* const retry =
        net::FindHeader(result.response.headers, "Retry-After");
    CPPUNIT_ASSERT(retry && *retry == "4");
    CPPUNIT_ASSERT_EQUAL(std::string("/jobs/1"), host.requests.at(0).path);
    CPPUNIT_ASSERT(net::FindHeader(host.requests[0].headers, kHostHeader));
    CPPUNIT_ASSERT(front.relay.HasLeaderContact(net::Now()));
  }

  void testRequestGoesToNamedLeader() {
    ControlHost follower(this->context, kFirst.value + ":0", [](std::size_t) {
      return MakeNotLeaderResponse(kSecond);
    });
    ControlHost leader(this->context,
                       kSecond.value + ":" + std::to_string(follower.Port()),
                       [](std::size_t) { return MakeResponse(200, "done"); });
    Front front(this->context, {kFirst}, follower.Port());
    CPPUNIT_ASSERT_EQUAL(200U, front.Call("/jobs/1").response.status);
    CPPUNIT_ASSERT_EQUAL(200U, front.Call("/jobs/2").response.status);
    // The second request goes straight to the leader, which is known by then.
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, follower.requests.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, leader.requests.size());
  }

  // Guards against telling a caller that its request was not carried out
  // although the leader may have run the attempt whose answer was lost.
  void testRefusalAfterALostAnswer() {
    for (const LostAnswerCase& one : kLostAnswers) {
      ControlHost host(
          this->context, kFirst.value + ":0",
          [&one](std::size_t aNumber) -> std::optional<net::HttpResponse> {
            if (aNumber == 0) {
              return std::nullopt;
            }
            return MakeResponse(one.second, "{}");
          });
      Front front(this->context, {kFirst}, host.Port());
      CPPUNIT_ASSERT_EQUAL(one.expected, front.Call("/jobs/1").response.status);
    }
  }

  // Guards against a leader that can't tell a repetition of a submission that
  // it accepted from a new one that its configuration refuses.
  void testRepetitionsSayForHowLongTheyAreUnderWay() {
    ControlHost host(
        this->context, kFirst.value + ":0",
        [](std::size_t aNumber) -> std::optional<net::HttpResponse> {
          return aNumber == 0 ? std::nullopt
                              : std::optional(MakeResponse(200, "{}"));
        });
    Front front(this->context, {kFirst}, host.Port());
    CPPUNIT_ASSERT_EQUAL(200U, front.Call("/jobs/1").response.status);
    CPPUNIT_ASSERT(
        !net::FindHeader(host.requests.at(0).headers, kRepeatHeader));
    const std::string* const underWay =
        net::FindHeader(host.requests.at(1).headers, kRepeatHeader);
    // An attempt is given up after 600 ms.
    CPPUNIT_ASSERT(underWay && std::stoi(*underWay) >= 600);
    CPPUNIT_ASSERT_EQUAL(200U, front.Call("/jobs/2").response.status);
    CPPUNIT_ASSERT(
        !net::FindHeader(host.requests.at(2).headers, kRepeatHeader));
  }

  // Guards against submissions that are accepted after their callers have gone,
  // and against fresh ones that are refused as too late by a clock that this
  // process doesn't know well.
  void testSubmissionsExpireByTheClockOfTheLeader() {
    constexpr std::int64_t kFirstUnixMs = 1700000000000;
    constexpr std::int64_t kJumpMs = 60000;
    // The clock jumps ahead before the third request arrives.
    ControlHost host(
        this->context, kFirst.value + ":0",
        [](std::size_t aNumber) -> std::optional<net::HttpResponse> {
          net::HttpResponse response = MakeResponse(200, "{}");
          const std::int64_t unixMs =
              kFirstUnixMs + (aNumber < 2 ? 0 : kJumpMs);
          if (aNumber == 2) {
            response = MakeResponse(kExpiredStatus, "{}");
            response.headers.push_back({kExpiredHeader, "1"});
          }
          response.headers.push_back(
              {kGroupTimeHeader, std::to_string(unixMs)});
          return response;
        });
    Front front(this->context, {kFirst}, host.Port());
    for (const char* const path : {"/jobs/1", "/jobs/2", "/jobs/3"}) {
      CPPUNIT_ASSERT_EQUAL(200U, front.Call(path).response.status);
    }
    CPPUNIT_ASSERT_EQUAL(200U, front.Call("/jobs/4", "GET").response.status);
    const auto expires = [&](std::size_t aNumber) {
      return FindMillis(host.requests.at(aNumber).headers, kExpiresHeader);
    };
    CPPUNIT_ASSERT(!expires(0));  // the clock isn't known yet
    // An attempt is given up after 600 ms, and an answer takes less than one
    // second.
    CPPUNIT_ASSERT(expires(1) && *expires(1) >= kFirstUnixMs + 600 &&
                   *expires(1) < kFirstUnixMs + 1600);
    CPPUNIT_ASSERT(expires(3) && *expires(3) > kFirstUnixMs + kJumpMs);
    CPPUNIT_ASSERT(!expires(4));  // a read does no harm later
  }

  // Guards against 504 for a request that certainly was not accepted, and
  // against a refusal while the first attempt may still be carried out. The
  // host leads, answers the first request, leaves the next one unanswered and
  // refuses from then on.
  void testRefusalThatTheLeaderProves() {
    struct Row {
      const char* label;
      std::uint64_t termAfterwards;
      std::int64_t clockLateMs;  // the clock afterwards, less the true time
      bool saysNotStored;
      std::uint32_t expected;
    };
    constexpr std::uint64_t kTerm = 3;
    const Row rows[] = {
        {"a new leader", kTerm + 1, -10000, true, 429},
        {"the same leader, after the time limit", kTerm, 0, true, 429},
        {"the time limit is never reached", kTerm, -10000, true, 504},
        {"the job may be stored", kTerm + 1, 0, false, 504},
    };
    for (const Row& row : rows) {
      ControlHost* leader = nullptr;
      ControlHost host(
          this->context, kFirst.value + ":0",
          [&row,
           &leader](std::size_t aNumber) -> std::optional<net::HttpResponse> {
            if (aNumber == 1) {
              leader->term = row.termAfterwards;
              return std::nullopt;
            }
            const bool isRefused = aNumber > 1;
            const std::uint64_t term = isRefused ? row.termAfterwards : kTerm;
            net::HttpResponse response =
                MakeResponse(isRefused ? 429 : 200, "{}");
            response.headers = {
                {kTermHeader, std::to_string(term)},
                {kGroupTimeHeader,
                 std::to_string(net::UnixMs() +
                                (isRefused ? row.clockLateMs : 0))}};
            if (isRefused && row.saysNotStored) {
              response.headers.push_back(
                  {kNotStoredHeader, std::to_string(term)});
            }
            return response;
          });
      Front front(this->context, {kFirst}, host.Port());
      leader = &host;
      host.term = kTerm;
      CPPUNIT_ASSERT_EQUAL(200U, front.Call("/jobs/1").response.status);
      const TimePoint begin = net::Now();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.label, row.expected,
                                   front.Call("/jobs/2").response.status);
      const std::string* const term =
          net::FindHeader(host.requests.at(1).headers, kTermHeader);
      CPPUNIT_ASSERT(term && *term == std::to_string(kTerm));
      // A refusal isn't held until the caller's time limit.
      CPPUNIT_ASSERT(row.expected != 429 || net::Now() - begin < Millis(1500));
    }
  }

  // Guards against 504 for reads, which callers can always repeat.
  void testUnansweredReadIsNotCalledUnknown() {
    ControlHost host(this->context, kFirst.value + ":0",
                     [](std::size_t) { return std::nullopt; });
    Front front(this->context, {kFirst}, host.Port());
    const net::ClientResult result = front.Call("/jobs/1", "GET");
    CPPUNIT_ASSERT_EQUAL(503U, result.response.status);
    CPPUNIT_ASSERT(net::FindHeader(result.response.headers, "Retry-After"));
  }

  // Guards against reads whose outcome is called unknown although they change
  // nothing.
  void testRefusedReadIsPassedOnAfterALostAnswer() {
    ControlHost host(
        this->context, kFirst.value + ":0",
        [](std::size_t aNumber) -> std::optional<net::HttpResponse> {
          return aNumber == 0 ? std::nullopt
                              : std::optional(MakeResponse(404, "{}"));
        });
    Front front(this->context, {kFirst}, host.Port());
    CPPUNIT_ASSERT_EQUAL(404U, front.Call("/jobs/1", "GET").response.status);
  }

  // No connection could be opened, so the caller is told that its request was
  // not carried out.
  void testNoHostIsReachable() {
    std::uint16_t unusedPort = 0;
    {
      const ControlHost gone(this->context, kFirst.value + ":0",
                             [](std::size_t) { return std::nullopt; });
      unusedPort = gone.Port();
    }
    Front front(this->context, {kFirst, kSecond}, unusedPort);
    const TimePoint begin = net::Now();
    const net::ClientResult result = front.Call("/jobs/1");
    CPPUNIT_ASSERT_EQUAL(503U, result.response.status);
    CPPUNIT_ASSERT(net::FindHeader(result.response.headers, "Retry-After"));
    // Callers wait 3 s at most and need time to try another front.
    CPPUNIT_ASSERT(net::Now() - begin < Millis(2600));
    CPPUNIT_ASSERT(!front.relay.HasLeaderContact(net::Now()));
  }

  // Guards against refusing the requests that waited while this process was
  // paused, as if the leader were unreachable.
  void testOwnPauseIsNoLossOfTheLeader() {
    struct Row {
      const char* label;
      bool paused;
      std::uint32_t expected;
    };
    const Row rows[] = {
        {"paused", true, 200},
        {"the leader is silent", false, 503},
    };
    constexpr Duration kSilence = Millis(3200);
    for (const Row& row : rows) {
      ControlHost host(this->context, kFirst.value + ":0",
                       [](std::size_t) { return MakeResponse(200, "done"); });
      Front front(this->context, {kFirst}, host.Port());
      CPPUNIT_ASSERT_EQUAL(200U, front.Call("/jobs/1").response.status);
      front.relay.Tick(net::Now());
      const TimePoint end = net::Now() + kSilence;
      if (row.paused) {
        std::this_thread::sleep_for(std::chrono::microseconds(kSilence.micros));
      } else {
        host.Freeze();
        RunUntil(this->context, [&] {
          front.relay.Tick(net::Now());
          return net::Now() >= end;
        });
      }
      const TimePoint begin = net::Now();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.label, row.expected,
                                   front.Call("/jobs/2").response.status);
      // A refusal is given without waiting and without an attempt.
      CPPUNIT_ASSERT(row.paused || net::Now() - begin < Millis(200));
      CPPUNIT_ASSERT(row.paused || host.requests.size() == 1);
    }
  }

 private:
  asio::io_context context;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayTest);

}  // namespace bramleypath::relay
