#include "bramleypath/journal/State.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <map>

#include "bramleypath/journal/Codec.h"
#include "bramleypath/journal/Owner.h"

namespace bramleypath::journal {

namespace {

const RequestKey kKey{ClientAccountId{"m"}, "order-1"};
const Fingerprint kBody{1, 2};
const Holder kFirst{HostId{"e1"}, 1};
const Holder kSecond{HostId{"e2"}, 2};
const StoredAnswer kAnswer{200, "text/plain", {1, 2, 3}, false};

Result Run(JournalState& aState, decltype(Command::body) aBody,
           TimePoint aNow = {}) {
  return Apply(aState, Command{std::move(aBody)}, aNow).result;
}

Reserve ReserveBy(const Holder& aHolder, bool aDispatch = false,
                  Fingerprint aBody = kBody) {
  return Reserve{kKey, aBody, aHolder, aDispatch};
}

void ExpireAll(JournalState& aState, TimePoint aNow) {
  for (const Expire& expire : DueExpiries(aState, aNow, 100)) {
    Run(aState, expire, aNow);
  }
}

}  // namespace

class JournalStateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JournalStateTest);
  CPPUNIT_TEST(testOnlyTheHolderMayAct);
  CPPUNIT_TEST(testExpiredGrantMayNotBeDispatched);
  CPPUNIT_TEST(testOwnerLostBetweenDispatchAndAnswer);
  CPPUNIT_TEST(testReleasedAttemptIsNotGrantedAgain);
  CPPUNIT_TEST(testKeyWithAnotherBody);
  CPPUNIT_TEST(testLateExpiryHasNoEffect);
  CPPUNIT_TEST(testBounds);
  CPPUNIT_TEST(testCodecRoundTripsAndDamage);
  CPPUNIT_TEST(testSnapshotKeepsAnswersOfEachLength);
  CPPUNIT_TEST(testOwnersAreSpreadAndStable);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against two entry hosts that both run a request.
  void testOnlyTheHolderMayAct() {
    JournalState state;
    CPPUNIT_ASSERT(Run(state, ReserveBy(kFirst)) == Result::Granted);
    CPPUNIT_ASSERT(Run(state, ReserveBy(kFirst)) == Result::Granted);
    CPPUNIT_ASSERT(Run(state, ReserveBy(kSecond)) == Result::Running);
    CPPUNIT_ASSERT(Run(state, Dispatch{kKey, kSecond}) == Result::NotHolder);
    CPPUNIT_ASSERT(Run(state, Dispatch{kKey, kFirst}) == Result::Granted);
    CPPUNIT_ASSERT(Run(state, Release{kKey, kSecond}) == Result::NotHolder);
    CPPUNIT_ASSERT(Run(state, Answer{kKey, kSecond, kAnswer}) ==
                   Result::NotHolder);
    CPPUNIT_ASSERT(Run(state, Answer{kKey, kFirst, kAnswer}) ==
                   Result::Answered);
    const Outcome repeat = Apply(state, Command{ReserveBy(kSecond)}, {});
    CPPUNIT_ASSERT(repeat == (Outcome{Result::Answered, kAnswer}));
  }

  // Guards against a dispatch by a holder whose grant expired and was given to
  // another holder.
  void testExpiredGrantMayNotBeDispatched() {
    JournalState state;
    Run(state, ReserveBy(kFirst));
    ExpireAll(state, TimePoint{} + Seconds(11));
    CPPUNIT_ASSERT(Run(state, ReserveBy(kSecond, true)) == Result::Granted);
    CPPUNIT_ASSERT(Run(state, Dispatch{kKey, kFirst}) == Result::NotHolder);
  }

  // Guards against a second run after the leader that recorded the dispatch
  // crashed, and against the loss of an answer that arrives after the expiry.
  void testOwnerLostBetweenDispatchAndAnswer() {
    JournalState old;
    Run(old, ReserveBy(kFirst, true));
    const TimePoint start = TimePoint{} + Seconds(1000);
    auto state = RestoreSnapshot(TakeSnapshot(old), Periods{}, start);
    CPPUNIT_ASSERT(state.has_value());
    CPPUNIT_ASSERT(DueExpiries(*state, start + Seconds(119), 9).empty());
    ExpireAll(*state, start + Seconds(121));
    CPPUNIT_ASSERT(Run(*state, ReserveBy(kSecond, true)) == Result::Unknown);
    CPPUNIT_ASSERT(Run(*state, Answer{kKey, kFirst, kAnswer}) ==
                   Result::Answered);
    CPPUNIT_ASSERT(Run(*state, ReserveBy(kSecond, true)) == Result::Answered);
  }

  // Guards against a duplicate message that gets the grant for a call that has
  // ended, which would block the key until the grant expires.
  void testReleasedAttemptIsNotGrantedAgain() {
    JournalState state;
    Run(state, ReserveBy(kFirst, true));
    CPPUNIT_ASSERT(Run(state, Release{kKey, kFirst}) == Result::Done);
    CPPUNIT_ASSERT(Run(state, Release{kKey, kFirst}) == Result::Done);
    CPPUNIT_ASSERT(Run(state, ReserveBy(kFirst, true)) == Result::NotHolder);
    CPPUNIT_ASSERT(Run(state, ReserveBy(kSecond, true)) == Result::Granted);
  }

  // Guards against the answer to one request being returned for another request
  // with the same key.
  void testKeyWithAnotherBody() {
    JournalState state;
    Run(state, ReserveBy(kFirst, true));
    const Reserve other = ReserveBy(kSecond, true, Fingerprint{1, 3});
    CPPUNIT_ASSERT(Run(state, other) == Result::KeyReused);
    Run(state, Answer{kKey, kFirst, kAnswer});
    CPPUNIT_ASSERT(Run(state, other) == Result::KeyReused);
    CPPUNIT_ASSERT(!(FingerprintOf(ServiceId{"s"}, ClassId{"ab"}, "c") ==
                     FingerprintOf(ServiceId{"s"}, ClassId{"a"}, "bc")));
  }

  // Guards against an expiry that ends a newer stage than the one it was
  // proposed for.
  void testLateExpiryHasNoEffect() {
    JournalState state;
    Run(state, ReserveBy(kFirst));
    const Expire late{kKey, FindRecord(state, kKey)->revision};
    Run(state, Dispatch{kKey, kFirst});
    CPPUNIT_ASSERT(Run(state, late) == Result::Done);
    CPPUNIT_ASSERT(StageName(*FindRecord(state, kKey)) == "Dispatched");
  }

  // Guards against a journal that exceeds its limits and thereby the memory of
  // a host, and against one whose size doesn't return to zero when all records
  // have expired.
  void testBounds() {
    JournalState state;
    state.limits = Limits{3, 2000, 1000};
    const auto reserve = [&](const std::string& aKey) {
      return Run(state,
                 Reserve{{ClientAccountId{"m"}, aKey}, kBody, kFirst, true});
    };
    CPPUNIT_ASSERT(reserve("") == Result::Invalid);
    CPPUNIT_ASSERT(reserve(std::string(kMaxKeyBytes + 1, 'k')) ==
                   Result::Invalid);
    CPPUNIT_ASSERT(reserve("a") == Result::Granted);
    CPPUNIT_ASSERT(reserve("b") == Result::Granted);
    // The answer for "a" exceeds the limit for one answer, and the answer for
    // "c" exceeds the limit for the whole journal.
    Run(state, Answer{{ClientAccountId{"m"}, "a"},
                      kFirst,
                      {200, "", Bytes(1001), false}});
    CPPUNIT_ASSERT(
        FindRecord(state, {ClientAccountId{"m"}, "a"})->answer->omitted);
    CPPUNIT_ASSERT(reserve("c") == Result::Granted);
    CPPUNIT_ASSERT(reserve("d") == Result::Full);
    Run(state, Answer{{ClientAccountId{"m"}, "b"},
                      kFirst,
                      {200, "", Bytes(1000), false}});
    Run(state, Answer{{ClientAccountId{"m"}, "c"},
                      kFirst,
                      {200, "", Bytes(1000), false}});
    CPPUNIT_ASSERT(
        !FindRecord(state, {ClientAccountId{"m"}, "b"})->answer->omitted);
    CPPUNIT_ASSERT(
        FindRecord(state, {ClientAccountId{"m"}, "c"})->answer->omitted);
    CPPUNIT_ASSERT(state.bytes <= state.limits.bytes);
    ExpireAll(state, TimePoint{} + Seconds(601));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, state.bytes);
    CPPUNIT_ASSERT(state.records.empty() && state.deadlines.empty());
  }

  // Guards against a command that is changed by encoding and decoding, and
  // against a crash on damaged bytes.
  void testCodecRoundTripsAndDamage() {
    const std::vector<Command> commands{{ReserveBy(kFirst, true)},
                                        {Dispatch{kKey, kFirst}},
                                        {Answer{kKey, kFirst, kAnswer}},
                                        {Release{kKey, kFirst}},
                                        {Expire{kKey, 7}}};
    CPPUNIT_ASSERT_EQUAL(std::variant_size_v<decltype(Command::body)>,
                         commands.size());
    for (const Command& command : commands) {
      const auto decoded = DecodeCommand(EncodeCommand(command));
      CPPUNIT_ASSERT(decoded.has_value());
      CPPUNIT_ASSERT(EncodeCommand(*decoded) == EncodeCommand(command));
    }
    const Outcome outcome{Result::Answered, kAnswer};
    CPPUNIT_ASSERT(DecodeOutcome(EncodeOutcome(outcome)) == outcome);
    JournalState state;
    Run(state, ReserveBy(kFirst, true));
    Run(state, Answer{kKey, kFirst, kAnswer});
    const std::vector<Bytes> samples{EncodeCommand(commands[2]),
                                     EncodeOutcome(outcome),
                                     TakeSnapshot(state)};
    CPPUNIT_ASSERT(rc::check("damaged bytes", [&] {
      Bytes bytes = *rc::gen::elementOf(samples);
      const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
      bytes[at] = *rc::gen::arbitrary<std::uint8_t>();
      DecodeCommand(bytes);
      DecodeOutcome(bytes);
      RestoreSnapshot(bytes, Periods{}, {});
      bytes.resize(at);
      RC_ASSERT(!DecodeCommand(bytes) && !DecodeOutcome(bytes) &&
                !RestoreSnapshot(bytes, Periods{}, {}));
    }));
  }

  // Guards against a length or number that is written with too few bytes.
  void testSnapshotKeepsAnswersOfEachLength() {
    for (const std::size_t length :
         {0U, 23U, 24U, 255U, 256U, 65535U, 65536U}) {
      const std::string label = std::to_string(length);
      JournalState state;
      const Holder holder{HostId{"e1"}, std::uint64_t{length} << 32U};
      const StoredAnswer answer{200, "text/plain", Bytes(length, 7), false};
      Run(state, ReserveBy(holder, true));
      Run(state, Answer{kKey, holder, answer});
      state.revision = length;
      const auto restored = RestoreSnapshot(TakeSnapshot(state), Periods{}, {});
      CPPUNIT_ASSERT_MESSAGE(label, restored && restored->records.size() == 1);
      const Record& record = restored->records.begin()->second;
      CPPUNIT_ASSERT_MESSAGE(label, record.answer == answer);
      CPPUNIT_ASSERT_MESSAGE(label, record.holder == holder);
      CPPUNIT_ASSERT_MESSAGE(label, restored->revision == length);
    }
  }

  // Guards against an uneven spread of keys over data centres, against keys
  // that move although their owner remains, and against new grants for keys
  // that move.
  void testOwnersAreSpreadAndStable() {
    config::KeyOwners owners;
    CPPUNIT_ASSERT(!OwnerOf(kKey.clientAccount, "k", owners));
    owners.current = {DataCentreId{"a"}, DataCentreId{"b"}, DataCentreId{"c"}};
    config::KeyOwners moving = owners;
    moving.next = {DataCentreId{"a"}, DataCentreId{"b"}};
    std::map<DataCentreId, int> counts;
    for (int index = 0; index < 3000; ++index) {
      const std::string key = "key-" + std::to_string(index);
      const KeyOwner settled = *OwnerOf(kKey.clientAccount, key, owners);
      ++counts[settled.dataCentre];
      const KeyOwner whileMoving = *OwnerOf(kKey.clientAccount, key, moving);
      CPPUNIT_ASSERT(settled.acceptsNew);
      CPPUNIT_ASSERT(whileMoving.dataCentre == settled.dataCentre);
      CPPUNIT_ASSERT_EQUAL(settled.dataCentre != DataCentreId{"c"},
                           whileMoving.acceptsNew);
    }
    for (const auto& [centre, count] : counts) {
      CPPUNIT_ASSERT(count > 850 && count < 1150);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JournalStateTest);

}  // namespace bramleypath::journal
