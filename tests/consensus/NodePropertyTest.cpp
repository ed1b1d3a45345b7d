#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <sstream>

#include "tests/consensus/Cluster.h"

namespace bramleypath::consensus {

namespace {

enum class Act {
  Run,
  Propose,
  Crash,
  Restart,
  LoseDisk,
  Pause,
  Resume,
  Cut,
  Uncut,
  CutHost,
  Lossy,
  Calm,
  Transfer,
  Snapshot,
  Repair,
  SlowDisk,
  Recover,
  PowerLoss,
  Count,
};
constexpr const char* kActNames[] = {
    "Run",      "Propose",  "Crash",  "Restart",  "LoseDisk", "Pause",
    "Resume",   "Cut",      "Uncut",  "CutHost",  "Lossy",    "Calm",
    "Transfer", "Snapshot", "Repair", "SlowDisk", "Recover",  "PowerLoss"};

struct NoModel {};

// One command of the model; commands that don't fit the state do nothing, so
// that shrinking may remove any of them.
struct FaultCommand : rc::state::Command<NoModel, Cluster> {
  FaultCommand(Act aAct, std::size_t aFirst, std::size_t aSecond)
      : act(aAct), first(aFirst), second(aSecond) {}

  void run(const NoModel&, Cluster& aCluster) const override {
    const std::size_t count = aCluster.hosts.size();
    const std::size_t host = this->first % count;
    const std::size_t other = this->second % count;
    switch (this->act) {
      case Act::Propose:
        // A burst at every host, since any of them may believe it leads.
        for (std::size_t i = 0; i < count * (1 + this->first % 6); ++i) {
          aCluster.Propose(i % count, this->second % 50);
        }
        break;
      case Act::Crash:
        aCluster.Crash(host, this->second % 2 == 0);
        break;
      case Act::Restart:
        aCluster.Restart(host);
        break;
      case Act::LoseDisk:
        aCluster.LoseDisk(host);
        break;
      case Act::Pause:
        aCluster.SetPaused(host, true);
        break;
      case Act::Resume:
        aCluster.SetPaused(host, false);
        break;
      case Act::Cut:
        aCluster.Cut(host, other, true);
        break;
      case Act::Uncut:
        aCluster.cuts.clear();
        break;
      case Act::CutHost:
        for (std::size_t i = 0; i < count; ++i) {
          aCluster.Cut(host, i, true);
          aCluster.Cut(i, host, true);
        }
        break;
      case Act::Lossy:
        aCluster.faults.dropPercent = this->first % 30;
        aCluster.faults.duplicatePercent = this->second % 30;
        aCluster.faults.maxDelay = Millis(1 + (this->first * 37) % 700);
        break;
      case Act::Calm:
        aCluster.faults = Faults{};
        break;
      case Act::Transfer:
        aCluster.Transfer(host);
        break;
      case Act::Snapshot:
        aCluster.Snapshot(host);
        break;
      case Act::Repair:
        aCluster.Repair();
        break;
      case Act::SlowDisk:
        aCluster.syncTime = Millis(1 + (this->first * 13) % 300);
        break;
      case Act::Recover:
        aCluster.Heal();
        aCluster.Run(Seconds(2));
        break;
      case Act::PowerLoss:
        for (std::size_t i = 0; i < count; ++i) {
          aCluster.Crash(i, this->second % 2 == 0);
        }
        for (std::size_t i = 0; i < count; ++i) {
          aCluster.Restart(i);
        }
        break;
      case Act::Run:
      case Act::Count:
        break;
    }
    // Often short, so that faults meet messages and writes under way.
    const auto length =
        static_cast<std::int64_t>((this->first * this->second * 7) % 600);
    aCluster.Run(Millis(this->first % 2 == 0 ? length % 40 : length));
    if (!aCluster.failure.empty()) {
      std::ostringstream text;
      text << aCluster;
      RC_FAIL(text.str());
    }
  }

  void show(std::ostream& aOut) const override {
    aOut << kActNames[static_cast<int>(this->act)] << "(" << this->first << ", "
         << this->second << ")";
  }

  Act act;
  std::size_t first;
  std::size_t second;
};

using CommandPointer =
    std::shared_ptr<const rc::state::Command<NoModel, Cluster>>;

rc::Gen<CommandPointer> AnyCommand(const NoModel&) {
  return rc::gen::map(
      rc::gen::tuple(rc::gen::weightedElement<Act>({{6, Act::Run},
                                                    {12, Act::Propose},
                                                    {5, Act::Recover},
                                                    {2, Act::PowerLoss},
                                                    {3, Act::Crash},
                                                    {3, Act::Restart},
                                                    {1, Act::LoseDisk},
                                                    {2, Act::Pause},
                                                    {2, Act::Resume},
                                                    {2, Act::Cut},
                                                    {2, Act::Uncut},
                                                    {2, Act::CutHost},
                                                    {2, Act::Lossy},
                                                    {2, Act::Calm},
                                                    {2, Act::Transfer},
                                                    {5, Act::Snapshot},
                                                    {6, Act::Repair},
                                                    {3, Act::SlowDisk}}),
                     rc::gen::inRange<std::size_t>(0, 1000),
                     rc::gen::inRange<std::size_t>(0, 1000)),
      [](const std::tuple<Act, std::size_t, std::size_t>& aDrawn) {
        return CommandPointer(std::make_shared<FaultCommand>(
            std::get<0>(aDrawn), std::get<1>(aDrawn), std::get<2>(aDrawn)));
      });
}

// Any mix of faults on a group, then the heal: nothing committed is lost or
// changed, at most one lease at a time, and the group works again.
bool HoldsUnderFaults(std::size_t aHosts, std::size_t aVoters) {
  return rc::check("group under faults", [=](std::uint64_t aSeed) {
    Cluster cluster(aHosts, aVoters, aSeed);
    // Long rows whatever the size of the case: most faults need several
    // commands on a group that works.
    constexpr int kRowSize = 250;
    const auto commands = *rc::gen::resize(
        kRowSize, rc::state::gen::commands(NoModel{}, AnyCommand));
    rc::state::runAll(commands, NoModel{}, cluster);
    cluster.Heal();
    const bool settled = cluster.RunUntilSettled(Seconds(30));
    const auto leader = cluster.LeaderWithLease();
    std::ostringstream text;
    text << cluster;
    if (!settled || !leader || !cluster.failure.empty()) {
      RC_FAIL("not settled after the heal: " + text.str());
    }
    const LogIndex before = cluster.hosts[*leader].appliedIndex;
    cluster.Propose(*leader, 10);
    cluster.RunUntilSettled(Seconds(5));
    RC_ASSERT(cluster.hosts[*leader].appliedIndex > before);
    RC_ASSERT(cluster.failure.empty());
  });
}

}  // namespace

class NodePropertyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NodePropertyTest);
  CPPUNIT_TEST(testThreeVoters);
  CPPUNIT_TEST(testFiveVoters);
  CPPUNIT_TEST(testTwoVotersAndWitness);
  CPPUNIT_TEST(testOneVoter);
  CPPUNIT_TEST_SUITE_END();

 public:
  void testThreeVoters() { CPPUNIT_ASSERT(HoldsUnderFaults(5, 3)); }
  void testFiveVoters() { CPPUNIT_ASSERT(HoldsUnderFaults(6, 5)); }
  // A witness votes like the others; only what runs beside the core differs.
  void testTwoVotersAndWitness() { CPPUNIT_ASSERT(HoldsUnderFaults(3, 3)); }
  void testOneVoter() { CPPUNIT_ASSERT(HoldsUnderFaults(2, 1)); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NodePropertyTest);

}  // namespace bramleypath::consensus
