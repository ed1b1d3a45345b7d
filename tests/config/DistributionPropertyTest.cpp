#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <set>
#include <tuple>
#include <vector>

#include "bramleypath/config/Codec.h"
#include "bramleypath/config/Distribution.h"
#include "tests/config/Samples.h"

namespace bramleypath::config {

namespace {

// (kind of operation, first argument, second argument)
using Operation = std::tuple<unsigned char, unsigned char, unsigned char>;

constexpr std::size_t kHosts = 5;
constexpr std::size_t kVoters = 2;  // host 0 leads, host 1 follows

HostId NameOf(std::size_t aHost) { return HostId{"h" + std::to_string(aHost)}; }
DataCentreId CentreOf(std::size_t aHost) {
  return DataCentreId{aHost < 3 ? "a" : "b"};
}

struct InFlight {
  std::size_t from = 0;
  std::size_t to = 0;
  Bytes bytes;
};

// Hosts connected by a network that drops, repeats, delays and reorders
// messages and cuts hosts off. Hosts 2 to 4 have no disk and restart with an
// empty state.
struct World {
  TimePoint now;
  std::vector<Peer> peers;
  std::vector<Distribution> hosts;
  std::vector<Command> log;       // committed commands; log[0] has index 1
  std::vector<Bytes> states;      // the snapshot at each index
  std::size_t followerIndex = 0;  // highest index of the log on host 1
  std::vector<InFlight> network;
  std::set<std::size_t> cutOff;
  std::vector<LogIndex> startedAtIndex;  // committed index at the host's start
  std::vector<LogIndex> highest;  // highest index applied since the start
  std::uint64_t incarnation = 0;

  World() {
    this->states.push_back(TakeSnapshot(ConfigState{}));
    for (std::size_t host = 0; host < kHosts; ++host) {
      this->peers.push_back(Peer{NameOf(host), CentreOf(host)});
    }
    this->hosts.resize(kHosts);
    this->startedAtIndex.resize(kHosts);
    this->highest.resize(kHosts);
    for (std::size_t host = 0; host < kHosts; ++host) {
      this->Start(host);
    }
    this->Commit(Replace{SampleConfiguration()});
  }

  LogIndex Committed() const { return this->log.size(); }

  void Start(std::size_t aHost) {
    this->hosts[aHost] =
        MakeDistribution(NameOf(aHost), CentreOf(aHost), ++this->incarnation,
                         {}, this->peers, this->now);
    this->startedAtIndex[aHost] = this->Committed();
    this->highest[aHost] = 0;
  }

  void Restart(std::size_t aHost) {
    const LogIndex durable =
        aHost == 0 ? this->Committed() : this->followerIndex;
    this->Start(aHost);
    if (aHost < kVoters) {
      this->Handle(aHost, LocallyRestored{durable, this->states[durable]});
    }
  }

  void Commit(Change aChange) {
    const Version version = this->hosts[0].state.version;
    const std::string id = "c" + std::to_string(this->log.size());
    this->log.push_back(MakeCommand(id, version, std::move(aChange)));
    this->Handle(0, LocallyApplied{this->Committed(), this->log.back(), true});
    this->states.push_back(TakeSnapshot(this->hosts[0].state));
  }

  void Handle(std::size_t aHost, const DistributionEvent& aEvent) {
    Distribution& host = this->hosts[aHost];
    const DistributionActions actions = Step(host, aEvent, this->now);
    for (const DistributionAction& action : actions) {
      if (const auto* const send = std::get_if<SendTo>(&action)) {
        const std::size_t to = send->to.value[1] - '0';
        this->network.push_back(
            InFlight{aHost, to, EncodeMessage(send->message)});
      }
      if (const auto* const ready = std::get_if<BecameReady>(&action)) {
        this->CheckReady(aHost, *ready);
      }
    }
    // The applied index never decreases, and the state is always the one that
    // was committed at that index.
    RC_ASSERT(host.appliedIndex >= this->highest[aHost]);
    if (host.appliedIndex != this->highest[aHost] &&
        host.appliedIndex < this->states.size()) {
      RC_ASSERT(TakeSnapshot(host.state) == this->states[host.appliedIndex]);
    }
    this->highest[aHost] = host.appliedIndex;
  }

  void CheckReady(std::size_t aHost, const BecameReady& aReady) {
    if (aReady.reason == ReadyReason::QuorumConfirmed) {
      RC_ASSERT(aReady.index >= this->startedAtIndex[aHost]);
    } else {
      // DistributionTest checks which index a cut-off host must have applied.
      RC_ASSERT(aReady.index > 0);
    }
  }

  void Deliver(std::size_t aPlace, bool aKeep) {
    const InFlight message = this->network[aPlace];
    if (!aKeep) {
      this->network.erase(this->network.begin() + static_cast<long>(aPlace));
    }
    const bool cut = this->cutOff.count(message.from) != 0 ||
                     this->cutOff.count(message.to) != 0;
    const auto decoded = DecodeMessage(message.bytes);
    RC_ASSERT(decoded.has_value());
    if (!cut) {
      // Host 0 always holds the lease, since it is never cut off.
      this->Handle(message.to, MessageArrived{NameOf(message.from), *decoded,
                                              message.to == 0});
    }
  }

  void Run(const Operation& aOperation) {
    const auto& [kind, first, second] = aOperation;
    const std::size_t place =
        this->network.empty() ? 0
                              : (first * 256U + second) % this->network.size();
    switch (kind % 12) {
      case 0:
        this->Commit(SetPreset{MakePreset("p", first)});
        break;
      case 1:
        if (this->followerIndex < this->log.size()) {
          const Command& command = this->log[this->followerIndex++];
          this->Handle(1, LocallyApplied{this->followerIndex, command, false});
        }
        break;
      case 2:
        this->Restart(first % kHosts);
        break;
      case 3:
        this->cutOff.insert(1 + first % (kHosts - 1));
        break;
      case 4:
        this->cutOff.clear();
        break;
      case 5:
        if (!this->network.empty()) {
          this->network.erase(this->network.begin() + static_cast<long>(place));
        }
        break;
      case 6:
        this->now = this->now + Millis(first * 8);
        this->TickAll();
        break;
      default:
        if (!this->network.empty()) {
          this->Deliver(place, kind % 12 == 7);
        }
    }
  }

  void TickAll() {
    for (std::size_t host = 0; host < kHosts; ++host) {
      this->Handle(host, DistributionTick{});
    }
  }

  // Stops all faults of the network. Each host must then have the last change
  // within 40 ticks, which are 8 seconds.
  void Settle() {
    this->cutOff.clear();
    this->network.clear();
    for (int step = 0; step < 40; ++step) {
      this->now = this->now + Millis(200);
      this->TickAll();
      while (!this->network.empty()) {
        this->Deliver(0, false);
      }
    }
    for (const Distribution& host : this->hosts) {
      RC_ASSERT(host.appliedIndex == this->Committed());
      RC_ASSERT(host.ready);
      for (const HostInForce& row : ListInForce(host, this->now)) {
        RC_ASSERT(row.known && !row.stale);
        RC_ASSERT(row.version == this->hosts[0].state.version);
      }
    }
  }
};

}  // namespace

class DistributionPropertyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DistributionPropertyTest);
  CPPUNIT_TEST(testNeverBackAndReadyOnlyWhenConfirmed);
  CPPUNIT_TEST(testManyMissedChangesComeAsOneState);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a host that reverts to an older configuration, that is ready
  // with a configuration older than one accepted before its start, or that
  // never receives a change.
  void testNeverBackAndReadyOnlyWhenConfirmed() {
    CPPUNIT_ASSERT(rc::check("the configuration never goes back", [] {
      const auto operations =
          *rc::gen::resize(300, rc::gen::arbitrary<std::vector<Operation>>());
      World world;
      for (const Operation& operation : operations) {
        world.Run(operation);
      }
      world.Settle();
    }));
  }

  // Guards against a host that missed 1,000 changes and can't catch up with all
  // of them by one state transfer.
  void testManyMissedChangesComeAsOneState() {
    World world;
    for (std::uint32_t change = 0; change < 1000; ++change) {
      world.Commit(SetPreset{MakePreset("p", change % 1000)});
      world.network.clear();
    }
    world.Settle();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DistributionPropertyTest);

}  // namespace bramleypath::config
