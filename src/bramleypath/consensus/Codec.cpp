#include "bramleypath/consensus/Codec.h"

#include <utility>

#include "bramleypath/consensus/CborReader.h"
#include "bramleypath/consensus/internal/CodecParts.h"

namespace bramleypath::consensus {

namespace {

using detail::Json;

// Bounds the memory that decoding a message takes. A log entry is three tokens.
constexpr std::size_t kMaxTokens = 256 * 1024;
constexpr std::size_t kMaxEntries = kMaxTokens / detail::kEntryFields;
constexpr std::size_t kMaxFields = 8;

// A time may be negative, but the reader accepts unsigned numbers only, so the
// bits are reinterpreted.
std::uint64_t EncodeTime(TimePoint aTime) {
  return static_cast<std::uint64_t>(aTime.micros);
}
TimePoint DecodeTime(CborReader& aReader) {
  return TimePoint{static_cast<std::int64_t>(ReadUnsigned(aReader))};
}

void Encode(const VoteRequest& aBody, Json& aArray) {
  aArray.insert(aArray.end(), {aBody.preVote, aBody.transfer, aBody.lastIndex,
                               aBody.lastTerm});
}
void Decode(CborReader& aReader, VoteRequest& aBody) {
  aBody.preVote = ReadBoolean(aReader);
  aBody.transfer = ReadBoolean(aReader);
  aBody.lastIndex = ReadUnsigned(aReader);
  aBody.lastTerm = ReadUnsigned(aReader);
}

void Encode(const VoteReply& aBody, Json& aArray) {
  aArray.insert(aArray.end(), {aBody.preVote, aBody.granted});
}
void Decode(CborReader& aReader, VoteReply& aBody) {
  aBody.preVote = ReadBoolean(aReader);
  aBody.granted = ReadBoolean(aReader);
}

void Encode(const AppendRequest& aBody, Json& aArray) {
  aArray.insert(aArray.end(), {aBody.previousIndex, aBody.previousTerm,
                               aBody.commitIndex, EncodeTime(aBody.sentAt)});
  Json entries = Json::array();
  for (const LogEntry& entry : aBody.entries) {
    detail::EncodeEntry(entry, entries);
  }
  aArray.push_back(std::move(entries));
}
void Decode(CborReader& aReader, AppendRequest& aBody) {
  aBody.previousIndex = ReadUnsigned(aReader);
  aBody.previousTerm = ReadUnsigned(aReader);
  aBody.commitIndex = ReadUnsigned(aReader);
  aBody.sentAt = DecodeTime(aReader);
  const std::size_t fields =
      ReadArray(aReader, kMaxEntries * detail::kEntryFields);
  if (fields % detail::kEntryFields != 0) {
    aReader.good = false;
  }
  const std::size_t count = fields / detail::kEntryFields;
  for (std::size_t i = 0; i < count && aReader.good; ++i) {
    aBody.entries.push_back(
        detail::DecodeEntry(aReader, aBody.previousIndex + 1 + i));
  }
}

void Encode(const AppendReply& aBody, Json& aArray) {
  aArray.insert(aArray.end(),
                {aBody.accepted, aBody.index, EncodeTime(aBody.sentAt)});
}
void Decode(CborReader& aReader, AppendReply& aBody) {
  aBody.accepted = ReadBoolean(aReader);
  aBody.index = ReadUnsigned(aReader);
  aBody.sentAt = DecodeTime(aReader);
}

void Encode(const SnapshotChunk& aBody, Json& aArray) {
  aArray.insert(aArray.end(),
                {aBody.index, aBody.term, aBody.offset, aBody.totalBytes});
  aArray.push_back(detail::EncodeMembership(aBody.membership));
  aArray.push_back(detail::EncodeBinary(aBody.data));
}
void Decode(CborReader& aReader, SnapshotChunk& aBody) {
  aBody.index = ReadUnsigned(aReader);
  aBody.term = ReadUnsigned(aReader);
  aBody.offset = ReadUnsigned(aReader);
  aBody.totalBytes = ReadUnsigned(aReader);
  aBody.membership = detail::DecodeMembership(aReader);
  aBody.data = ReadBinary(aReader);
  if (aBody.offset > aBody.totalBytes ||
      aBody.data.size() > aBody.totalBytes - aBody.offset) {
    aReader.good = false;
  }
}

void Encode(const SnapshotReply& aBody, Json& aArray) {
  aArray.insert(aArray.end(), {aBody.index, aBody.nextOffset, aBody.installed});
}
void Decode(CborReader& aReader, SnapshotReply& aBody) {
  aBody.index = ReadUnsigned(aReader);
  aBody.nextOffset = ReadUnsigned(aReader);
  aBody.installed = ReadBoolean(aReader);
}

void Encode(const TransferRequest&, Json&) {}
void Decode(CborReader&, TransferRequest&) {}

using Body = decltype(Message::body);

// Decodes the body whose position in the variant is aKind.
template <std::size_t Index = 0>
void DecodeBody(CborReader& aReader, std::uint64_t aKind, Body& aBody) {
  if constexpr (Index < std::variant_size_v<Body>) {
    if (aKind != Index) {
      DecodeBody<Index + 1>(aReader, aKind, aBody);
      return;
    }
    Decode(aReader, aBody.emplace<Index>());
  } else {
    aReader.good = false;
  }
}

}  // namespace

Bytes EncodeMessage(const Message& aMessage) {
  Json array = Json::array({aMessage.body.index(), aMessage.from.value,
                            aMessage.to.value, aMessage.term});
  std::visit([&array](const auto& aBody) { Encode(aBody, array); },
             aMessage.body);
  return Json::to_cbor(array);
}

std::optional<Message> DecodeMessage(gsl::span<const std::uint8_t> aBytes) {
  if (aBytes.size() > kMaxEncodedMessageBytes) {
    return std::nullopt;
  }
  std::optional<CborReader> reader = ParseCbor(aBytes, kMaxTokens);
  if (!reader) {
    return std::nullopt;
  }
  constexpr std::size_t kHeadFields = 4;
  Message message;
  ReadArray(*reader, kHeadFields + kMaxFields);
  const std::uint64_t kind = ReadUnsigned(*reader);
  message.from = detail::DecodeReplicaId(*reader);
  message.to = detail::DecodeReplicaId(*reader);
  message.term = ReadUnsigned(*reader);
  DecodeBody(*reader, kind, message.body);
  // The length of the array is not checked on its own: a wrong one leaves
  // tokens unread or makes a read fail.
  if (!IsFinished(*reader)) {
    return std::nullopt;
  }
  return message;
}

}  // namespace bramleypath::consensus
