#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <sstream>

#include "tests/consensus/Cluster.h"

namespace bramleypath::consensus {

namespace {

enum class CommandKind {
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
constexpr const char* kCommandNames[] = {
    "Run",      "Propose",  "Crash",  "Restart",  "LoseDisk", "Pause",
    "Resume",   "Cut",      "Uncut",  "CutHost",  "Lossy",    "Calm",
    "Transfer", "Snapshot", "Repair", "SlowDisk", "Recover",  "PowerLoss"};

struct NoModel {};

// One random command on the cluster. A command that is not applicable in the
// current state does nothing, so that shrinking may remove any other command.
struct FaultCommand : rc::state::Command<NoModel, Cluster> {
  FaultCommand(CommandKind aKind, std::size_t aFirst, std::size_t aSecond)
      : kind(aKind), first(aFirst), second(aSecond) {}

  void run(const NoModel&, Cluster& aCluster) const override {
    const std::size_t count = aCluster.hosts.size();
    const std::size_t host = this->first % count;
    const std::size_t other = this->second % count;
    switch (this->kind) {
      case CommandKind::Propose:
        // Every host gets a burst of proposals, since any of them may take
        // itself for the leader.
        for (std::size_t i = 0; i < count * (1 + this->first % 6); ++i) {
          aCluster.Propose(i % count, this->second % 50);
        }
        break;
      case CommandKind::Crash:
        aCluster.Crash(host, this->second % 2 == 0);
        break;
      case CommandKind::Restart:
        aCluster.Restart(host);
        break;
      case CommandKind::LoseDisk:
        aCluster.LoseDisk(host);
        break;
      case CommandKind::Pause:
        aCluster.SetPaused(host, true);
        break;
      case CommandKind::Resume:
        aCluster.SetPaused(host, false);
        break;
      case CommandKind::Cut:
        aCluster.Cut(host, other, true);
        break;
      case CommandKind::Uncut:
        aCluster.cuts.clear();
        break;
      case CommandKind::CutHost:
        for (std::size_t i = 0; i < count; ++i) {
          aCluster.Cut(host, i, true);
          aCluster.Cut(i, host, true);
        }
        break;
      case CommandKind::Lossy:
        aCluster.faults.dropPercent = this->first % 30;
        aCluster.faults.duplicatePercent = this->second % 30;
        aCluster.faults.maxDelay = Millis(1 + (this->first * 37) % 700);
        break;
      case CommandKind::Calm:
        aCluster.faults = Faults{};
        break;
      case CommandKind::Transfer:
        aCluster.Transfer(host);
        break;
      case CommandKind::Snapshot:
        aCluster.Snapshot(host);
        break;
      case CommandKind::Repair:
        aCluster.Repair();
        break;
      case CommandKind::SlowDisk:
        aCluster.syncTime = Millis(1 + (this->first * 13) % 300);
        break;
      case CommandKind::Recover:
        aCluster.Heal();
        aCluster.Run(Seconds(2));
        break;
      case CommandKind::PowerLoss:
        for (std::size_t i = 0; i < count; ++i) {
          aCluster.Crash(i, this->second % 2 == 0);
        }
        for (std::size_t i = 0; i < count; ++i) {
          aCluster.Restart(i);
        }
        break;
      case CommandKind::Run:
      case CommandKind::Count:
        break;
    }
    // The run between two commands is often short, so that faults occur while
    // messages are in flight and writes are pending.
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
    aOut << kCommandNames[static_cast<int>(this->kind)] << "(" << this->first
         << ", " << this->second << ")";
  }

  CommandKind kind;
  std::size_t first;
  std::size_t second;
};

using CommandPointer =
    std::shared_ptr<const rc::state::Command<NoModel, Cluster>>;

rc::Gen<CommandPointer> AnyCommand(const NoModel&) {
  return rc::gen::map(
      rc::gen::tuple(
          rc::gen::weightedElement<CommandKind>({{6, CommandKind::Run},
                                                 {12, CommandKind::Propose},
                                                 {5, CommandKind::Recover},
                                                 {2, CommandKind::PowerLoss},
                                                 {3, CommandKind::Crash},
                                                 {3, CommandKind::Restart},
                                                 {1, CommandKind::LoseDisk},
                                                 {2, CommandKind::Pause},
                                                 {2, CommandKind::Resume},
                                                 {2, CommandKind::Cut},
                                                 {2, CommandKind::Uncut},
                                                 {2, CommandKind::CutHost},
                                                 {2, CommandKind::Lossy},
                                                 {2, CommandKind::Calm},
                                                 {2, CommandKind::Transfer},
                                                 {5, CommandKind::Snapshot},
                                                 {6, CommandKind::Repair},
                                                 {3, CommandKind::SlowDisk}}),
          rc::gen::inRange<std::size_t>(0, 1000),
          rc::gen::inRange<std::size_t>(0, 1000)),
      [](const std::tuple<CommandKind, std::size_t, std::size_t>& aDrawn) {
        return CommandPointer(std::make_shared<FaultCommand>(
            std::get<0>(aDrawn), std::get<1>(aDrawn), std::get<2>(aDrawn)));
      });
}

// Applies a random sequence of faults to a group and then ends all faults. No
// committed entry may be lost or changed, at most one replica may hold a lease
// at a time, and the group must commit proposals again at the end.
bool HoldsUnderFaults(std::size_t aHosts, std::size_t aVoters) {
  return rc::check("group under faults", [=](std::uint64_t aSeed) {
    Cluster cluster(aHosts, aVoters, aSeed);
    // The sequences are long for test cases of every size, since most faults
    // need several commands on a working group to have an effect.
    constexpr int kSequenceSize = 250;
    const auto commands = *rc::gen::resize(
        kSequenceSize, rc::state::gen::commands(NoModel{}, AnyCommand));
    rc::state::runAll(commands, NoModel{}, cluster);
    cluster.Heal();
    const bool settled = cluster.RunUntilSettled(Seconds(30));
    const auto leader = cluster.LeaderWithLease();
    std::ostringstream text;
    text << cluster;
    if (!settled || !leader || !cluster.failure.empty()) {
      RC_FAIL("not settled after all faults ended: " + text.str());
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
  // In the consensus module a witness is a voter like the others. It differs
  // only in that it passes leadership on, which the group module does.
  void testTwoVotersAndWitness() { CPPUNIT_ASSERT(HoldsUnderFaults(3, 3)); }
  void testOneVoter() { CPPUNIT_ASSERT(HoldsUnderFaults(2, 1)); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NodePropertyTest);

}  // namespace bramleypath::consensus
