#include <cppunit/extensions/HelperMacros.h>

#include "tests/config/Samples.h"

namespace bramleypath::config {

namespace {

DataCentreId Centre(const char* aName) { return DataCentreId{aName}; }

}  // namespace

class ConfigStateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigStateTest);
  CPPUNIT_TEST(testRefusalsNameTheField);
  CPPUNIT_TEST(testDisplacedOutcomeIsNeverAppliedAgain);
  CPPUNIT_TEST(testRefusalsDontDisplaceAcceptedOutcomes);
  CPPUNIT_TEST(testOperatorsCantUseIdsOfTheSystem);
  CPPUNIT_TEST(testKeyOwnersChangeInTwoSteps);
  CPPUNIT_TEST(testReplaceLeavesKeyOwners);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an invalid change that is accepted, or is refused without
  // the name of the invalid field.
  void testRefusalsNameTheField() {
    struct Row {
      const char* label;
      Change change;
      RefusalCode code;
      const char* field;
    };
    Preset noWeights = MakePreset("x");
    noWeights.weights = GoalWeights{0, 0, 0};
    Preset utilisation = MakePreset("x");
    utilisation.batch.workerUtilisationPercent = 101;
    EntryHost badAddress = MakeHost("x", "a", 9);
    badAddress.addresses.peers = "example.org:1";
    EntryHost takenAddress = MakeHost("x", "a", 1);
    EntryHost sameAddress = MakeHost("x", "a", 9);
    sameAddress.addresses.peers = sameAddress.addresses.callers;
    const ServiceId s{"s"};
    const ClassId x{"x"};
    Configuration noPreset = SampleConfiguration();
    noPreset.presetInForce = PresetId{"none"};
    Configuration badClientAccount = SampleConfiguration();
    badClientAccount.clientAccounts.begin()->second.weight = 0;
    const Row rows[] = {
        {"name", SetService{{ServiceId{"a b"}, {}, 8, 60}},
         RefusalCode::Invalid, "change.service.name"},
        {"member", SetService{{ServiceId{"t"}, ClientAccountId{"none"}, 8, 60}},
         RefusalCode::UnknownName, "change.service.member"},
        {"fewer slots than reserved", SetService{{s, {}, 2, 60}},
         RefusalCode::Invalid, "change.service.slots_per_target"},
        {"more reserved than slots", SetClass{{x, s, 6, 1, false}},
         RefusalCode::Invalid, "change.class.reserved_slots"},
        {"batch class with slots", SetClass{{x, {}, 1, 1, false}},
         RefusalCode::Invalid, "change.class.reserved_slots"},
        {"service of class", SetClass{{x, ServiceId{"none"}, 0, 1, false}},
         RefusalCode::UnknownName, "change.class.service"},
        {"service time", SetClass{{x, s, 0, 0, false}}, RefusalCode::Invalid,
         "change.class.expected_service_ms"},
        {"service in use", RemoveService{s}, RefusalCode::InUse,
         "change.service"},
        {"member in use", RemoveClientAccount{ClientAccountId{"m"}},
         RefusalCode::InUse, "change.member"},
        {"weights", SetPreset{noWeights}, RefusalCode::Invalid,
         "change.preset.weights"},
        {"utilisation", SetPreset{utilisation}, RefusalCode::Invalid,
         "change.preset.batch.worker_utilisation_percent"},
        {"preset in force", RemovePreset{PresetId{"ordinary"}},
         RefusalCode::InUse, "change.preset"},
        {"unknown preset", UsePreset{PresetId{"none"}},
         RefusalCode::UnknownName, "change.preset"},
        {"member weight", SetClientAccount{{ClientAccountId{"n"}, 0, {}}},
         RefusalCode::Invalid, "change.member.weight"},
        {"address", SetHost{badAddress}, RefusalCode::Invalid,
         "change.host.addresses.peers"},
        {"address of another host", SetHost{takenAddress}, RefusalCode::Invalid,
         "change.host.addresses.callers"},
        {"equal addresses", SetHost{sameAddress}, RefusalCode::Invalid,
         "change.host.addresses"},
        {"last host of a key owner", RemoveHost{HostId{"b1"}},
         RefusalCode::InUse, "change.host"},
        {"last host moved away", SetHost{MakeHost("b1", "a", 3)},
         RefusalCode::InUse, "change.host.data_centre"},
        {"unknown host", DrainHost{HostId{"none"}, true},
         RefusalCode::UnknownName, "change.host"},
        {"no owners", SetKeyOwners{{}, {}, kMinMoveWaitMs},
         RefusalCode::Invalid, "change.data_centres"},
        {"owner without host", SetKeyOwners{{Centre("z")}, {}, kMinMoveWaitMs},
         RefusalCode::UnknownName, "change.data_centres"},
        {"short wait", SetKeyOwners{{Centre("a")}, {}, kMinMoveWaitMs - 1},
         RefusalCode::Invalid, "change.move_wait_ms"},
        {"lost owner kept",
         SetKeyOwners{{Centre("a")}, {Centre("a")}, kMinMoveWaitMs},
         RefusalCode::Invalid, "change.lost"},
        {"unknown preset in force", Replace{noPreset}, RefusalCode::UnknownName,
         "change.configuration.preset_in_force"},
        {"entry of a list", Replace{badClientAccount}, RefusalCode::Invalid,
         "change.configuration.members[m].weight"},
    };
    for (const Row& row : rows) {
      ConfigState state = SampleState();
      const Outcome outcome = Apply(state, MakeCommand("r", 1, row.change));
      CPPUNIT_ASSERT_MESSAGE(row.label, !outcome.accepted);
      CPPUNIT_ASSERT_MESSAGE(row.label, outcome.code == row.code);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.label, std::string(row.field),
                                   outcome.field);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.label, Version{1}, state.version);
    }
  }

  // Guards against a retry that is applied a second time because its outcome
  // was displaced from the bounded table.
  void testDisplacedOutcomeIsNeverAppliedAgain() {
    ConfigState state = SampleState();
    const Command first =
        MakeCommand("oldest", 1, SetPreset{MakePreset("p", 0)});
    CPPUNIT_ASSERT(Apply(state, first).accepted);
    for (std::uint32_t index = 0; index < kMaxAcceptedOutcomes; ++index) {
      const auto outcome =
          Apply(state, MakeCommand(std::to_string(index), state.version,
                                   SetPreset{MakePreset("p", index % 1000)}));
      CPPUNIT_ASSERT(outcome.accepted);
    }
    CPPUNIT_ASSERT_EQUAL(kMaxAcceptedOutcomes, state.outcomes.size());
    const Version before = state.version;
    CPPUNIT_ASSERT(Apply(state, first).code == RefusalCode::Conflict);
    CPPUNIT_ASSERT_EQUAL(before, state.version);
  }

  // Guards against a burst of refused requests that displaces the recorded
  // outcome of an accepted one.
  void testRefusalsDontDisplaceAcceptedOutcomes() {
    ConfigState state = SampleState();
    const Command accepted = MakeCommand("kept", 1, SetPreset{MakePreset("p")});
    const Outcome first = Apply(state, accepted);
    for (std::size_t index = 0; index < 2 * kMaxRefusedOutcomes; ++index) {
      Apply(state, MakeCommand("r" + std::to_string(index), 0,
                               UsePreset{PresetId{"peak"}}));
    }
    CPPUNIT_ASSERT_EQUAL(kMaxRefusedOutcomes, state.refused.size());
    CPPUNIT_ASSERT(Apply(state, accepted) == first);
  }

  // Guards against an operator's command with the request id of a later change
  // of the system, which would then be refused as a reuse of the id.
  void testOperatorsCantUseIdsOfTheSystem() {
    ConfigState state = SampleState();
    const Outcome outcome = Apply(
        state,
        MakeCommand("system:key-owners-2", 1, UsePreset{PresetId{"peak"}}));
    CPPUNIT_ASSERT(outcome.code == RefusalCode::Invalid);
    CPPUNIT_ASSERT(state.outcomes.count(RequestId{"system:key-owners-2"}) == 0);
  }

  // Guards against a key that has two owners, or whose owner changes without
  // the wait.
  void testKeyOwnersChangeInTwoSteps() {
    ConfigState state = SampleState();
    const KeyOwners& owners = state.configuration.keyOwners;
    const SetKeyOwners change{{Centre("a")}, {}, kMinMoveWaitMs};
    CPPUNIT_ASSERT(Apply(state, MakeCommand("move", 1, change)).accepted);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, owners.current.size());
    CPPUNIT_ASSERT(IsPending(owners));
    CPPUNIT_ASSERT(DataCentresToConfirm(owners) == std::set{Centre("b")});
    CPPUNIT_ASSERT(Apply(state, MakeCommand("again", 2, change)).code ==
                   RefusalCode::KeyOwnersPending);
    const std::uint64_t generation = owners.generation;
    const auto activate = [&](const char* aId, std::uint64_t aGeneration) {
      return Apply(state, MakeCommand(std::string(kSystemRequestPrefix) + aId,
                                      0, ActivateKeyOwners{aGeneration}));
    };
    CPPUNIT_ASSERT(!activate("old", generation - 1).accepted);
    CPPUNIT_ASSERT(activate("now", generation).accepted);
    CPPUNIT_ASSERT(owners.current == std::set{Centre("a")});
    CPPUNIT_ASSERT(!IsPending(owners));
    CPPUNIT_ASSERT_EQUAL(generation + 1, owners.generation);
  }

  // Guards against a configuration file that changes the key owners without the
  // wait.
  void testReplaceLeavesKeyOwners() {
    ConfigState state = SampleState();
    Configuration other = SampleConfiguration();
    other.keyOwners.current = {Centre("a")};
    CPPUNIT_ASSERT_EQUAL(
        std::string("change.configuration.key_owners"),
        Apply(state, MakeCommand("moved", 1, Replace{other})).field);
    Configuration same = SampleConfiguration();
    CPPUNIT_ASSERT(
        Apply(state, MakeCommand("same", 1, Replace{same})).accepted);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                         state.configuration.keyOwners.generation);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigStateTest);

}  // namespace bramleypath::config
