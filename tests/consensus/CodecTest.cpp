#include "bramleypath/consensus/Codec.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "bramleypath/base/Random.h"
#include "bramleypath/consensus/RecordCodec.h"

namespace bramleypath::consensus {

namespace {

std::vector<Message> OneMessagePerType() {
  const ReplicaId from{"edge-1/initial"};
  const ReplicaId to{"edge-2/0123"};
  const Membership membership{{from, to}, {ReplicaId{"edge-3/x"}}};
  AppendRequest append{10, 3, 9, {}, TimePoint{-5}};
  LogEntry command;
  command.index = 11;
  command.term = 4;
  command.payload = {0, 255, 128};
  LogEntry noOp;
  noOp.index = 12;
  noOp.term = 4;
  noOp.kind = EntryKind::NoOp;
  LogEntry change;
  change.index = 13;
  change.term = 4;
  change.kind = EntryKind::MembershipChange;
  change.membership = membership;
  append.entries = {command, noOp, change};
  std::vector<Message> messages;
  const auto add = [&](auto aBody) {
    messages.push_back(Message{from, to, 1ULL << 63, std::move(aBody)});
  };
  add(VoteRequest{true, false, 7, 2});
  add(VoteReply{false, true});
  add(append);
  add(AppendReply{true, 13, TimePoint{77}});
  add(SnapshotChunk{50, 4, membership, 3, 10, Bytes{1, 2, 3, 4}});
  add(SnapshotReply{50, 7, false});
  add(TransferRequest{});
  return messages;
}

}  // namespace

class CodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CodecTest);
  CPPUNIT_TEST(testRoundTrip);
  CPPUNIT_TEST(testShortenedOrExtendedIsRefused);
  CPPUNIT_TEST(testAnyBytesAreRefusedOrValid);
  CPPUNIT_TEST(testHostileShapesAreRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void testRoundTrip() {
    for (const Message& message : OneMessagePerType()) {
      const Bytes bytes = EncodeMessage(message);
      const auto decoded = DecodeMessage(bytes);
      CPPUNIT_ASSERT(decoded.has_value());
      CPPUNIT_ASSERT(decoded->from == message.from &&
                     decoded->to == message.to &&
                     decoded->term == message.term);
      CPPUNIT_ASSERT_EQUAL(message.body.index(), decoded->body.index());
      CPPUNIT_ASSERT(EncodeMessage(*decoded) == bytes);
    }
    const auto append = std::get<AppendRequest>(
        DecodeMessage(EncodeMessage(OneMessagePerType()[2]))->body);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, append.entries.size());
    CPPUNIT_ASSERT_EQUAL(LogIndex{12}, append.entries[1].index);
    CPPUNIT_ASSERT((append.entries[0].payload == Bytes{0, 255, 128}));
    CPPUNIT_ASSERT(append.entries[2].membership.learners.size() == 1);
    CPPUNIT_ASSERT(append.sentAt == TimePoint{-5});
  }

  void testShortenedOrExtendedIsRefused() {
    for (const Message& message : OneMessagePerType()) {
      const Bytes whole = EncodeMessage(message);
      for (std::size_t size = 0; size < whole.size(); ++size) {
        const Bytes part(whole.begin(),
                         whole.begin() + static_cast<std::ptrdiff_t>(size));
        CPPUNIT_ASSERT(!DecodeMessage(part));
      }
      Bytes longer = whole;
      longer.push_back(0);
      CPPUNIT_ASSERT(!DecodeMessage(longer));
    }
  }

  // Guards against a message of a peer that crashes the daemon. Under the
  // sanitizers the test also finds reads beyond the end of the bytes.
  void testAnyBytesAreRefusedOrValid() {
    Random random{1};
    for (int round = 0; round < 20000; ++round) {
      const auto kinds = OneMessagePerType();
      Bytes bytes = EncodeMessage(kinds[NextBelow(random, kinds.size())]);
      for (std::uint64_t flips = 1 + NextBelow(random, 4); flips > 0; --flips) {
        bytes[NextBelow(random, bytes.size())] =
            static_cast<std::uint8_t>(NextRandom(random));
      }
      if (const auto decoded = DecodeMessage(bytes)) {
        CPPUNIT_ASSERT(DecodeMessage(EncodeMessage(*decoded)).has_value());
      }
      DecodeRecords(bytes);
      DecodeSnapshotHeader(bytes);
    }
  }

  void testHostileShapesAreRefused() {
    // A million nested arrays would exhaust the stack of a recursive parser.
    CPPUNIT_ASSERT(!DecodeMessage(Bytes(1000000, 0x81)));
    // A map, and an array with a declared length of 2^60 elements.
    CPPUNIT_ASSERT(!DecodeMessage(Bytes{0xA0}));
    CPPUNIT_ASSERT(
        !DecodeMessage(Bytes{0x9B, 0x10, 0, 0, 0, 0, 0, 0, 0, 0x00}));
    // More one-byte elements than the token limit of a message.
    Bytes many(kMaxEncodedMessageBytes - 16, 0x00);
    many[0] = 0x9A;
    many[2] = 0x7F;
    many[3] = 0xFF;
    CPPUNIT_ASSERT(!DecodeMessage(many));
    CPPUNIT_ASSERT(!DecodeMessage(Bytes(kMaxEncodedMessageBytes + 1, 0)));
    Message message = OneMessagePerType()[1];
    message.from.value.assign(kMaxReplicaIdBytes + 1, 'x');
    CPPUNIT_ASSERT(!DecodeMessage(EncodeMessage(message)));
    Message chunk = OneMessagePerType()[4];
    std::get<SnapshotChunk>(chunk.body).totalBytes = 5;
    CPPUNIT_ASSERT(!DecodeMessage(EncodeMessage(chunk)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CodecTest);

}  // namespace bramleypath::consensus
