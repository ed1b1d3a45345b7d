#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <map>
#include <tuple>
#include <vector>

#include "tests/config/Samples.h"

namespace bramleypath::config {

namespace {

// (kind of operation, replica, number of an earlier command or of a change)
using Operation = std::tuple<unsigned char, unsigned char, unsigned char>;

Change ChangeFor(unsigned char aNumber) {
  const std::uint32_t weight = aNumber / 4 + 1;
  switch (aNumber % 4) {
    case 0:
      return UsePreset{PresetId{aNumber % 8 == 0 ? "peak" : "ordinary"}};
    case 1:
      return SetPreset{MakePreset("p", weight)};
    case 2:
      return SetClientAccount{{ClientAccountId{"n"}, weight, {}}};
    default:
      return RemovePreset{PresetId{"none"}};  // refused
  }
}

// A log of committed commands and three replicas that apply it, each at its
// own pace.
struct Model {
  std::vector<Command> log;
  std::vector<ConfigState> replicas{3, SampleState()};
  std::vector<std::size_t> applied{0, 0, 0};
  // The outcome of each log entry on the replica that applied it first.
  std::map<std::size_t, Outcome> outcomes;

  void ApplyNext(std::size_t aReplica) {
    const std::size_t place = this->applied[aReplica];
    if (place == this->log.size()) {
      return;
    }
    const Outcome outcome = Apply(this->replicas[aReplica], this->log[place]);
    const auto [known, isNew] = this->outcomes.emplace(place, outcome);
    RC_ASSERT(known->second == outcome);
    ++this->applied[aReplica];
  }

  void Run(const Operation& aOperation) {
    const auto& [kind, replicaNumber, number] = aOperation;
    const std::size_t replica = replicaNumber % this->replicas.size();
    const Version seen = this->replicas[replica].version;
    const std::string id = "r" + std::to_string(this->log.size());
    switch (kind % 8) {
      case 0:
      case 1: {
        // Two operators send changes that are based on the same version.
        this->log.push_back(MakeCommand(id, seen, ChangeFor(number)));
        this->log.push_back(MakeCommand(id + "b", seen, ChangeFor(number + 1)));
        break;
      }
      case 2:
      case 3:
        if (!this->log.empty()) {
          this->log.push_back(this->log[number % this->log.size()]);
        }
        break;
      case 4:
        if (!this->log.empty()) {
          Command reused = this->log[number % this->log.size()];
          reused.expectedVersion += 1;
          this->log.push_back(reused);
        }
        break;
      case 5: {
        const auto restored =
            RestoreSnapshot(TakeSnapshot(this->replicas[replica]));
        RC_ASSERT(restored.has_value());
        this->replicas[replica] = *restored;
        break;
      }
      case 6: {
        // A replica that lost its disk is restored from another one's snapshot.
        const std::size_t source = number % this->replicas.size();
        if (this->applied[source] > this->applied[replica]) {
          this->replicas[replica] =
              *RestoreSnapshot(TakeSnapshot(this->replicas[source]));
          this->applied[replica] = this->applied[source];
        }
        break;
      }
      default:
        this->ApplyNext(replica);
        this->ApplyNext(replica);
    }
  }

  void Finish() {
    for (std::size_t replica = 0; replica < this->replicas.size(); ++replica) {
      while (this->applied[replica] < this->log.size()) {
        this->ApplyNext(replica);
      }
    }
    const Bytes first = TakeSnapshot(this->replicas[0]);
    RC_ASSERT(TakeSnapshot(this->replicas[1]) == first);
    RC_ASSERT(TakeSnapshot(this->replicas[2]) == first);
  }
};

}  // namespace

class ConfigPropertyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigPropertyTest);
  CPPUNIT_TEST(testOneWinnerAndSameAnswerAgain);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against two accepted changes that are based on the same version, and
  // against a retry that gets another outcome or is applied again, also after
  // snapshots and on restored replicas.
  void testOneWinnerAndSameAnswerAgain() {
    CPPUNIT_ASSERT(rc::check("one winner, same answer again", [] {
      const auto operations =
          *rc::gen::resize(200, rc::gen::arbitrary<std::vector<Operation>>());
      Model model;
      for (const Operation& operation : operations) {
        model.Run(operation);
      }
      model.Finish();

      std::map<Version, RequestId> winners;
      std::map<RequestId, std::pair<Version, Outcome>> firsts;
      for (const auto& [place, outcome] : model.outcomes) {
        const Command& command = model.log[place];
        const auto [first, isNew] = firsts.emplace(
            command.requestId, std::pair{command.expectedVersion, outcome});
        if (!isNew && first->second.first == command.expectedVersion) {
          RC_ASSERT(first->second.second == outcome);
        } else if (!isNew) {
          RC_ASSERT(outcome.code == RefusalCode::RequestIdReused);
        } else if (outcome.accepted) {
          RC_ASSERT(outcome.version == command.expectedVersion + 1);
          RC_ASSERT(winners.emplace(outcome.version, command.requestId).second);
        }
      }
      // The sample state is version 1.
      RC_ASSERT(model.replicas[0].version == winners.size() + 1);
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigPropertyTest);

}  // namespace bramleypath::config
