#include "bramleypath/membership/Codec.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace bramleypath::membership {

namespace {

GossipMessage MakeMessage(std::uint32_t aNumber) {
  Delta delta;
  TargetRecord target;
  target.target = TargetId("t" + std::to_string(aNumber));
  target.incarnation = aNumber * 1000003ULL;
  target.service = ServiceId("ledger");
  target.clientAccount = ClientAccountId("assay");
  target.address = "10.0.0.1:80";
  target.slots = 8;
  target.connections = 60;
  delta.targets.push_back(GossipedTarget{aNumber, Millis(aNumber), target});
  delta.targetRefreshes.push_back(Refresh{aNumber, Millis(40), 3});
  delta.departures.push_back(Departure{"gone", 9, Millis(60)});
  delta.hasLoads = true;
  delta.loads.push_back(NumberedLoad{aNumber, 6});
  GossipMessage message;
  message.from = HostId("e1");
  message.to = HostId("e2");
  message.session = 99;
  message.sequence = aNumber;
  message.sinceStart = Millis(123456);
  message.stopping = aNumber % 2 == 0;
  message.body = delta;
  return message;
}

}  // namespace

class CodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CodecTest);
  CPPUNIT_TEST(testKeepsEveryField);
  CPPUNIT_TEST(testRefusesMalformedBytes);
  CPPUNIT_TEST(testRefusesTruncatedAndChangedMessages);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a field that only the encoder or only the decoder handles.
  void testKeepsEveryField() {
    GossipMessage messages[4] = {MakeMessage(1), MakeMessage(300),
                                 MakeMessage(70000), MakeMessage(2)};
    messages[1].body = Digest{{1, ~0ULL, 3}};
    messages[2].body = BucketRequest{{0, 31}};
    messages[3].body = DataCentreSummary{
        DataCentreId("d"), {HostId("e1")}, {{ServiceId("s"), 4, 5}}};
    for (const GossipMessage& message : messages) {
      CodecReason reason;
      const Bytes bytes = EncodeGossip(message);
      const auto decoded = DecodeGossip(bytes, reason);
      CPPUNIT_ASSERT(decoded.has_value());
      CPPUNIT_ASSERT(EncodeGossip(*decoded) == bytes);
      CPPUNIT_ASSERT(decoded->body.index() == message.body.index());
      CPPUNIT_ASSERT(decoded->stopping == message.stopping);
    }
  }

  // Guards against a crash or an unbounded allocation caused by a faulty peer.
  void testRefusesMalformedBytes() {
    struct Row {
      const char* label;
      Bytes bytes;
      CodecError expected;
    };
    const Row rows[] = {
        {"empty", {}, CodecError::NotCbor},
        {"too large", Bytes(kMaxGossipBytes + 1, 0), CodecError::TooLarge},
        {"deep nesting", Bytes(kMaxGossipBytes, 0x81), CodecError::NotCbor},
        {"no array", {0x01}, CodecError::WrongType},
        {"too few fields", {0x81, 0x01}, CodecError::MissingField},
        {"huge array",
         {0x9b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
         CodecError::NotCbor},
        {"unknown kind",
         {0x88, 0x61, 'a', 0x61, 'b', 1, 1, 1, 0xf4, 9, 0x80},
         CodecError::WrongType},
    };
    for (const Row& row : rows) {
      CodecReason reason;
      CPPUNIT_ASSERT_MESSAGE(row.label, !DecodeGossip(row.bytes, reason));
      CPPUNIT_ASSERT_MESSAGE(row.label, reason.code == row.expected);
    }
  }

  void testRefusesTruncatedAndChangedMessages() {
    const Bytes whole = EncodeGossip(MakeMessage(5));
    for (std::size_t length = 0; length < whole.size(); ++length) {
      CodecReason reason;
      const Bytes part(whole.begin(),
                       whole.begin() + static_cast<std::ptrdiff_t>(length));
      CPPUNIT_ASSERT(!DecodeGossip(part, reason));
    }
    CPPUNIT_ASSERT(rc::check("changed bytes never crash the decoder", [&] {
      Bytes changed = whole;
      const auto places = *rc::gen::container<std::vector<std::size_t>>(
          rc::gen::inRange<std::size_t>(0, whole.size()));
      for (const std::size_t place : places) {
        changed[place] = *rc::gen::arbitrary<std::uint8_t>();
      }
      CodecReason reason;
      const auto decoded = DecodeGossip(changed, reason);
      // Evaluated outside RC_ASSERT, whose expression capture would evaluate
      // both operands of ||.
      const bool same =
          !decoded || DecodeGossip(EncodeGossip(*decoded), reason).has_value();
      RC_ASSERT(same);
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CodecTest);

}  // namespace bramleypath::membership
