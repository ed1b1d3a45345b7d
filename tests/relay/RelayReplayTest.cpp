#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "bramleypath/net/Clock.h"
#include "tests/net/Loop.h"
#include "tests/relay/Hosts.h"

// Replays outages of the control plane against one front and compares what its
// callers hear with what was stored.
namespace bramleypath::relay {

namespace {

using relay_test::ControlHost;
using relay_test::Front;
using relay_test::MakeNotLeaderResponse;
using relay_test::MakeResponse;

const std::vector<HostId> kHosts = {HostId("127.0.0.2"), HostId("127.0.0.3"),
                                    HostId("127.0.0.4")};
constexpr std::size_t kNoLeader = 9;

// Three hosts with the rules of the leader that requests depend on. Hosts of
// the previous version don't know terms.
class Cell {
 public:
  Cell(asio::io_context& aContext, bool aIsPrevious)
      : context(aContext), isPrevious(aIsPrevious) {
    this->hosts.resize(kHosts.size());
    this->StartAll();
  }

  void StartAll() {
    for (std::size_t i = 0; i < kHosts.size(); ++i) {
      this->hosts[i] = std::make_unique<ControlHost>(
          this->context, kHosts[i].value + ":" + std::to_string(this->port),
          [this, i](std::size_t aNumber) { return this->Answer(i, aNumber); });
      this->port = this->hosts[i]->Port();
    }
  }
  void StopAll() {
    for (auto& host : this->hosts) {
      host.reset();
    }
  }
  void SetLeader(std::size_t aLeader) {
    this->leader = aLeader;
    this->term += 1;
    for (std::size_t i = 0; i < this->hosts.size(); ++i) {
      const bool leads = i == aLeader;
      if (!this->isPrevious) {
        this->hosts[i]->term = leads ? this->term : 0;
      }
      this->hosts[i]->named =
          aLeader < kHosts.size() ? kHosts[aLeader] : HostId();
    }
  }

  asio::io_context& context;
  bool isPrevious;
  std::uint16_t port = 0;
  std::vector<std::unique_ptr<ControlHost>> hosts;
  std::size_t leader = kNoLeader;
  std::uint64_t term = 0;
  std::set<std::string> stored;
  bool isFull = false;         // refuses what it hasn't stored
  bool losesAnswers = false;   // stores it, and doesn't answer
  bool losesRequests = false;  // neither
  bool holdsRequests = false;  // carries them out after Release()
  std::vector<net::HttpRequest> held;

  // Carries out what the leader has not read yet.
  void Release() {
    this->holdsRequests = false;
    for (const net::HttpRequest& request : std::exchange(this->held, {})) {
      this->Accept(request);
    }
  }

 private:
  bool IsRuledOut(const net::HttpRequest& aRequest) const {
    const auto limit = FindTerm(aRequest.headers, kTermHeader);
    const auto expires = FindMillis(aRequest.headers, kExpiresHeader);
    return (!this->isPrevious && limit && *limit != this->term) ||
           (expires && net::UnixMs() > *expires);
  }

  net::HttpResponse Accept(const net::HttpRequest& aRequest) {
    net::HttpResponse response;
    const bool isStored = this->stored.count(aRequest.path) > 0;
    if (this->IsRuledOut(aRequest)) {
      response = MakeResponse(kExpiredStatus, "{}");
      response.headers.push_back({kExpiredHeader, "1"});
    } else if (this->isFull && !isStored) {
      response = MakeResponse(429, "{}");
      if (!this->isPrevious) {
        response.headers.push_back(
            {kNotStoredHeader, std::to_string(this->term)});
      }
    } else {
      this->stored.insert(aRequest.path);
      response = MakeResponse(200, "{}");
    }
    response.headers.push_back(
        {kGroupTimeHeader, std::to_string(net::UnixMs())});
    if (!this->isPrevious) {
      response.headers.push_back({kTermHeader, std::to_string(this->term)});
    }
    return response;
  }

  std::optional<net::HttpResponse> Answer(std::size_t aHost,
                                          std::size_t aNumber) {
    const net::HttpRequest& request = this->hosts[aHost]->requests[aNumber];
    if (aHost != this->leader) {
      return MakeNotLeaderResponse(this->hosts[aHost]->named);
    }
    if (this->holdsRequests || this->losesRequests) {
      if (this->holdsRequests) {
        this->held.push_back(request);
      }
      return std::nullopt;
    }
    const net::HttpResponse response = this->Accept(request);
    return this->losesAnswers ? std::nullopt : std::optional(response);
  }
};

struct Heard {
  std::string path;
  std::uint32_t status = 0;
  TimePoint sentAt;
  TimePoint answeredAt;
};

// At these times, in ms, something happens to the cell.
using Faults = std::map<std::int64_t, std::function<void(Cell&)>>;

struct Row {
  const char* label;
  Faults faults;
  std::int64_t lengthMs;
  std::size_t mostUnknown;  // answers 504
  std::size_t fewestStored;
  // Requests sent between these times are refused at once; 0: none.
  std::int64_t refusedFromMs = 0;
  std::int64_t refusedToMs = 0;
};

Faults PowerLoss(std::int64_t aLengthMs) {
  return {{1000, [](Cell& aCell) { aCell.StopAll(); }},
          {1000 + aLengthMs,
           [](Cell& aCell) {
             aCell.StartAll();
             aCell.SetLeader(kNoLeader);
           }},
          {1800 + aLengthMs, [](Cell& aCell) { aCell.SetLeader(1); }}};
}

const Row kRows[] = {
    {"the leader is frozen for 6 s and replaced after 1 s",
     {{1000, [](Cell& aCell) { aCell.hosts[0]->Freeze(); }},
      {2000, [](Cell& aCell) { aCell.SetLeader(1); }},
      {7000, [](Cell& aCell) { aCell.hosts[0]->Resume(); }}},
     8000,
     0,
     75},
    {"all hosts lose power for 1.5 s", PowerLoss(1500), 5000, 1, 20},
    {"all hosts lose power for 4 s", PowerLoss(4000), 8000, 1, 20, 2700, 4500},
    {"all hosts lose power for 9 s", PowerLoss(9000), 13000, 1, 20, 2700, 9500},
    {"answers are lost after the commit",
     {{1000, [](Cell& aCell) { aCell.losesAnswers = true; }},
      {1500, [](Cell& aCell) { aCell.losesAnswers = false; }}},
     3000,
     0,
     30},
    {"requests are lost, and then all new ones are refused",
     {{1000, [](Cell& aCell) { aCell.losesRequests = true; }},
      {1500,
       [](Cell& aCell) {
         aCell.losesRequests = false;
         aCell.isFull = true;
       }}},
     4000,
     0,
     9},
    {"a busy leader reads requests after it has refused their repetitions",
     {{1000, [](Cell& aCell) { aCell.holdsRequests = true; }},
      {1300,
       [](Cell& aCell) {
         aCell.holdsRequests = false;
         aCell.isFull = true;
       }},
      {3500,
       [](Cell& aCell) {
         aCell.isFull = false;
         aCell.Release();
       }}},
     4000,
     0,
     9},
};

}  // namespace

class RelayReplayTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RelayReplayTest);
  CPPUNIT_TEST(testCallersHearTheTruth);
  CPPUNIT_TEST(testCallersOfThePreviousVersionHearTheTruth);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against refusals of submissions that are stored, against 504 for
  // those that certainly aren't, and against refusals that come late. The times
  // of a replay in which this process was held up say nothing, so that it is
  // repeated.
  void testCallersHearTheTruth() {
    constexpr int kMostReplays = 2;
    for (const Row& row : kRows) {
      for (int i = 0; i < kMostReplays; ++i) {
        const std::vector<Heard> heard = this->Replay(row, false);
        if (!this->wasHeldUp) {
          this->CheckTimes(row, heard);
          break;
        }
        std::printf("%s: held up, times not checked\n", row.label);
      }
    }
  }

  // Guards against a proof that relies on what hosts of the previous version
  // don't do, as during a rolling restart.
  void testCallersOfThePreviousVersionHearTheTruth() {
    constexpr std::int64_t kLongestMs = 5000;
    for (const Row& row : kRows) {
      if (row.lengthMs <= kLongestMs) {
        this->Replay(row, true);
      }
    }
  }

 private:
  void CheckTimes(const Row& aRow, const std::vector<Heard>& aHeard) {
    const auto unknown =
        std::count_if(aHeard.begin(), aHeard.end(),
                      [](const Heard& aOne) { return aOne.status == 504; });
    CPPUNIT_ASSERT_MESSAGE(
        aRow.label, static_cast<std::size_t>(unknown) <= aRow.mostUnknown);
    CPPUNIT_ASSERT_MESSAGE(aRow.label, this->stored >= aRow.fewestStored);
    for (const Heard& one : aHeard) {
      const std::int64_t sentMs = ToMillis(one.sentAt - this->begin);
      const bool isAtOnce =
          sentMs >= aRow.refusedFromMs && sentMs < aRow.refusedToMs;
      const bool isRefused =
          one.status == 503 && one.answeredAt - one.sentAt < Millis(200);
      CPPUNIT_ASSERT_MESSAGE(aRow.label, !isAtOnce || isRefused);
    }
  }

  std::vector<Heard> Replay(const Row& aRow, bool aIsPrevious) {
    constexpr Duration kCallInterval = Millis(100);
    constexpr Duration kLongestCall = Millis(10000);
    constexpr Duration kLongestTurn = Millis(60);
    Cell cell(this->context, aIsPrevious);
    cell.SetLeader(0);
    Front front(this->context, kHosts, cell.port);
    this->begin = net::Now();
    const TimePoint end = this->begin + Millis(aRow.lengthMs);
    TimePoint callAt = this->begin;
    TimePoint tickAt = this->begin;
    Faults faults = aRow.faults;
    std::vector<Heard> heard;
    std::size_t sent = 0;
    const auto isOver = [&] {
      const TimePoint now = net::Now();
      while (!faults.empty() &&
             now >= this->begin + Millis(faults.begin()->first)) {
        faults.begin()->second(cell);
        faults.erase(faults.begin());
      }
      if (now >= tickAt) {
        tickAt = now + Millis(100);
        front.relay.Tick(now);
      }
      if (now >= callAt && now < end) {
        callAt = callAt + kCallInterval;
        front.Submit("/jobs/" + std::to_string(sent++), [&heard, now](
                                                            const std::string&
                                                                aPath,
                                                            const net::
                                                                ClientResult&
                                                                    aResult) {
          heard.push_back({aPath, aResult.response.status, now, net::Now()});
        });
      }
      return now >= end && heard.size() == sent && faults.empty();
    };
    this->wasHeldUp = false;
    while (!isOver()) {
      const TimePoint turnAt = net::Now();
      CPPUNIT_ASSERT_MESSAGE(aRow.label, net::Now() < end + kLongestCall);
      this->context.restart();
      this->context.run_for(std::chrono::milliseconds(5));
      this->wasHeldUp |= net::Now() > turnAt + kLongestTurn;
    }
    this->CheckTruth(aRow, cell, heard);
    return heard;
  }

  void CheckTruth(const Row& aRow, const Cell& aCell,
                  const std::vector<Heard>& aHeard) {
    std::map<std::uint32_t, int> counts;
    for (const Heard& one : aHeard) {
      ++counts[one.status];
      const bool isStored = aCell.stored.count(one.path) > 0;
      const std::string what = std::string(aRow.label) + ": " + one.path +
                               " heard " + std::to_string(one.status);
      CPPUNIT_ASSERT_MESSAGE(what, one.status != 200 || isStored);
      CPPUNIT_ASSERT_MESSAGE(
          what, one.status == 200 || one.status == 504 || !isStored);
    }
    std::printf("%s, previous version %d:", aRow.label, aCell.isPrevious);
    for (const auto& [status, count] : counts) {
      std::printf(" %u: %d", status, count);
    }
    std::printf("\n");
    this->stored = aCell.stored.size();
  }

  asio::io_context context;
  TimePoint begin;
  std::size_t stored = 0;
  bool wasHeldUp = false;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayReplayTest);

}  // namespace bramleypath::relay
