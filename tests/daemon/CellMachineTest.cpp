#include "bramleypath/daemon/CellMachine.h"

#include <cppunit/extensions/HelperMacros.h>

#include "bramleypath/journal/Codec.h"

using namespace bramleypath;
using namespace bramleypath::daemon;

namespace {

cell::Command Register(const char* aWorker) {
  cell::RegisterWorker command;
  command.worker = WorkerId(aWorker);
  command.incarnation = 1;
  command.capacity = {1000, 1000, 0};
  return command;
}

journal::Command Reserve(const char* aKey) {
  journal::Reserve reserve;
  reserve.key = {ClientAccountId("m"), aKey};
  reserve.holder = {HostId("h"), 1};
  reserve.dispatch = true;
  return {reserve};
}

consensus::Bytes ApplyTo(CellMachine& aMachine, const consensus::Bytes& aBytes,
                         consensus::LogIndex aIndex) {
  return aMachine.Apply(
      {aIndex, 1, gsl::span<const std::uint8_t>(aBytes.data(), aBytes.size())});
}

// Guards against tokens of other processes that are taken for tokens of this
// one, and against snapshots that omit the cell's state or the journal.
class CellMachineTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CellMachineTest);
  CPPUNIT_TEST(testTokensOfOtherProcesses);
  CPPUNIT_TEST(testSnapshotHoldsBothParts);
  CPPUNIT_TEST(testMalformedInput);
  CPPUNIT_TEST_SUITE_END();

 public:
  void testTokensOfOtherProcesses() {
    CellMachine own(11, journal::Periods());
    const CellMachine other(12, journal::Periods());
    std::vector<std::uint64_t> tokens;
    own.onApplied = [&tokens](std::uint64_t aToken, const cell::Command&,
                              const cell::Outcome& aOutcome) {
      CPPUNIT_ASSERT(aOutcome.accepted);
      tokens.push_back(aToken);
    };
    ApplyTo(own, own.Encode(Register("a"), 5), 1);
    ApplyTo(own, other.Encode(Register("b"), 5), 2);
    CPPUNIT_ASSERT(tokens == (std::vector<std::uint64_t>{5, 0}));
  }

  void testSnapshotHoldsBothParts() {
    CellMachine machine(1, journal::Periods());
    ApplyTo(machine, machine.Encode(Register("a"), 1), 1);
    const auto result = journal::DecodeOutcome(
        ApplyTo(machine, machine.Encode(Reserve("k")), 2));
    CPPUNIT_ASSERT(result && result->result == journal::Result::Granted);
    const consensus::Bytes snapshot = machine.TakeSnapshot();
    CellMachine restored(2, journal::Periods());
    std::string reason;
    CPPUNIT_ASSERT(restored.Restore(
        2, gsl::span<const std::uint8_t>(snapshot.data(), snapshot.size()),
        reason));
    CPPUNIT_ASSERT(cell::FindWorker(restored.Cell(), WorkerId("a")));
    CPPUNIT_ASSERT(
        journal::FindRecord(restored.Journal(), {ClientAccountId("m"), "k"}));
    CPPUNIT_ASSERT(snapshot == restored.TakeSnapshot());
    for (std::size_t length = 0; length < snapshot.size(); ++length) {
      CellMachine cut(3, journal::Periods());
      CPPUNIT_ASSERT(!cut.Restore(
          2, gsl::span<const std::uint8_t>(snapshot.data(), length), reason));
    }
  }

  void testMalformedInput() {
    CellMachine machine(1, journal::Periods());
    const consensus::Bytes whole = machine.Encode(Register("a"), 1);
    for (std::size_t length = 0; length < whole.size(); ++length) {
      CPPUNIT_ASSERT(
          ApplyTo(machine,
                  {whole.begin(),
                   whole.begin() + static_cast<std::ptrdiff_t>(length)},
                  1)
              .empty());
    }
    CPPUNIT_ASSERT(machine.Cell().workers.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CellMachineTest);

}  // namespace
