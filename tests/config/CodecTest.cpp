#include "bramleypath/config/Codec.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "bramleypath/config/Distribution.h"
#include "tests/config/Samples.h"

namespace bramleypath::config {

namespace {

std::vector<Change> AllChanges() {
  const Configuration all = SampleConfiguration();
  const ServiceId service{"s"};
  return {SetService{all.services.at(service)},
          RemoveService{service},
          SetClass{all.classes.at(ClassId{"c"})},
          RemoveClass{ClassId{"c"}},
          SetPreset{MakePreset("p")},
          RemovePreset{PresetId{"p"}},
          UsePreset{PresetId{"p"}},
          SetClientAccount{all.clientAccounts.at(ClientAccountId{"m"})},
          RemoveClientAccount{ClientAccountId{"m"}},
          SetHost{all.hosts.at(HostId{"a1"})},
          RemoveHost{HostId{"a1"}},
          DrainHost{HostId{"a1"}, false},
          DrainTarget{TargetId{"t"}, true},
          SetKeyOwners{{DataCentreId{"a"}}, {DataCentreId{"b"}}, 800000},
          ActivateKeyOwners{3},
          Replace{all}};
}

}  // namespace

class CodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CodecTest);
  CPPUNIT_TEST(testRoundTrips);
  CPPUNIT_TEST(testJsonFaultsNameTheField);
  CPPUNIT_TEST(testDamagedBytesAreRefusedOrRead);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a field that is lost when a command or an outcome is encoded
  // and decoded.
  void testRoundTrips() {
    const std::vector<Change> changes = AllChanges();
    CPPUNIT_ASSERT_EQUAL(std::variant_size_v<Change>, changes.size());
    for (const Change& change : changes) {
      const Command command = MakeCommand("id", 7, change);
      const auto decoded = DecodeCommand(EncodeCommand(command));
      CPPUNIT_ASSERT(decoded.has_value());
      CPPUNIT_ASSERT_EQUAL(CommandToJson(command), CommandToJson(*decoded));
      JsonReason reason;
      const auto fromJson = CommandFromJson(CommandToJson(command), reason);
      // ActivateKeyOwners is refused in JSON, since only the system proposes
      // it.
      const bool internal = std::holds_alternative<ActivateKeyOwners>(change);
      CPPUNIT_ASSERT_EQUAL(!internal, fromJson.has_value());
      if (!internal) {
        CPPUNIT_ASSERT(EncodeCommand(*fromJson) == EncodeCommand(command));
      }
    }
    const Outcome refused{false, 9, RefusalCode::InUse, "f", "d"};
    CPPUNIT_ASSERT(DecodeOutcome(EncodeOutcome(refused)) == refused);
    JsonReason reason;
    CPPUNIT_ASSERT(OutcomeFromJson(OutcomeToJson(refused), reason) == refused);
  }

  // Guards against invalid requests of operators that are accepted, or refused
  // without the path of the invalid field.
  void testJsonFaultsNameTheField() {
    struct Row {
      const char* text;
      const char* field;
    };
    const Row rows[] = {
        {"{", ""},
        {"[]", ""},
        {R"({"expected_version":1,"change":{"kind":"use_preset"}})",
         "request_id"},
        {R"({"request_id":"r","expected_version":-1,"change":{}})",
         "expected_version"},
        {R"({"request_id":"r","expected_version":1})", "change"},
        {R"({"request_id":"r","expected_version":1,"change":{"kind":"x"}})",
         "change.kind"},
        {R"({"request_id":"r","expected_version":1,
             "change":{"kind":"use_preset"}})",
         "change.preset"},
        {R"({"request_id":"r","expected_version":1,
             "change":{"kind":"use_preset","preset":"p","presett":1}})",
         "change.presett"},
        {R"({"request_id":"r","expected_version":1,"change":
             {"kind":"set_class","class":{"name":"c","reserved_slots":1.5}}})",
         "change.class.reserved_slots"},
        {R"({"request_id":"r","expected_version":1,"change":
             {"kind":"set_class","class":{"name":"c",
                                          "reserved_slots":4294967296}}})",
         "change.class.reserved_slots"},
        {R"({"request_id":"r","expected_version":1,"dry_run":1,
             "change":{"kind":"use_preset","preset":"p"}})",
         "dry_run"},
    };
    for (const Row& row : rows) {
      JsonReason reason{"not set", ""};
      CPPUNIT_ASSERT_MESSAGE(row.text,
                             !ChangeRequestFromJson(row.text, reason));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.text, std::string(row.field),
                                   reason.field);
    }
    JsonReason reason;
    const auto request = ChangeRequestFromJson(
        R"({"request_id":"r","expected_version":1,"dry_run":true,
            "change":{"kind":"use_preset","preset":"p"}})",
        reason);
    CPPUNIT_ASSERT(request && request->dryRun);
  }

  // Guards against corrupted bytes that crash the process.
  void testDamagedBytesAreRefusedOrRead() {
    const ConfigState state = SampleState();
    const std::vector<Bytes> samples{
        EncodeCommand(MakeCommand("id", 1, Replace{SampleConfiguration()})),
        TakeSnapshot(state),
        EncodeMessage(StateTransfer{4, TakeSnapshot(state)}),
        EncodeMessage(Digest{
            {HostId{"a1"}, DataCentreId{"a"}, 1, 2, 3, PresetId{"p"}, true}})};
    CPPUNIT_ASSERT(rc::check("damaged bytes", [&] {
      Bytes bytes = *rc::gen::elementOf(samples);
      const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
      if (*rc::gen::arbitrary<bool>()) {
        bytes.resize(at);
        RC_ASSERT(!DecodeCommand(bytes) && !RestoreSnapshot(bytes) &&
                  !DecodeMessage(bytes));
      } else {
        bytes[at] = *rc::gen::arbitrary<std::uint8_t>();
        DecodeCommand(bytes);
        RestoreSnapshot(bytes);
        DecodeMessage(bytes);
        DecodeOutcome(bytes);
      }
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CodecTest);

}  // namespace bramleypath::config
