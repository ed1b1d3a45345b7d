#include "bramleypath/membership/Codec.h"

#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

#include "bramleypath/codec/CborNesting.h"

namespace bramleypath::membership {

namespace {

using Json = nlohmann::json;

// Index of each alternative of GossipMessage::body, used as the message kind on
// the wire.
constexpr std::size_t kDelta = 0;
constexpr std::size_t kDigest = 1;
constexpr std::size_t kBucketRequest = 2;
constexpr std::size_t kSummary = 3;

constexpr std::size_t kMaxItems = 16384;
constexpr std::size_t kMaxTextBytes = 512;
// Limit of nested CBOR arrays. The deepest valid message has five: message,
// body, list, item, record.
constexpr std::size_t kMaxDepth = 8;
constexpr std::int64_t kMaxAgeMillis = 1000LL * 3600 * 24 * 365;

Json Millis(Duration aLength) { return ToMillis(aLength); }

Json ToWire(const TargetRecord& aRecord) {
  return Json::array({aRecord.target.value, aRecord.incarnation,
                      aRecord.service.value, aRecord.clientAccount.value,
                      aRecord.address, aRecord.slots, aRecord.connections,
                      aRecord.outstanding});
}

Json ToWire(const GossipedTarget& aItem) {
  return Json::array({aItem.number, Millis(aItem.age), ToWire(aItem.record)});
}

Json ToWire(const Refresh& aItem) {
  return Json::array({aItem.number, Millis(aItem.age), aItem.outstanding});
}

Json ToWire(const Departure& aItem) {
  return Json::array({aItem.id, aItem.incarnation, Millis(aItem.age)});
}

Json ToWire(const NumberedLoad& aItem) {
  return Json::array({aItem.number, aItem.outstanding});
}

Json ToWire(const ServiceSummary& aItem) {
  return Json::array({aItem.service.value, aItem.freeSlots, aItem.outstanding});
}

Json ToWire(const HostId& aHost) { return aHost.value; }
Json ToWire(std::uint64_t aValue) { return aValue; }
Json ToWire(std::uint32_t aValue) { return aValue; }

template <typename Item>
Json ListToWire(const std::vector<Item>& aItems) {
  Json list = Json::array();
  for (const Item& item : aItems) {
    list.push_back(ToWire(item));
  }
  return list;
}

Json BodyToWire(const Delta& aBody) {
  return Json::array(
      {ListToWire(aBody.targets), ListToWire(aBody.targetRefreshes),
       ListToWire(aBody.departures), aBody.hasLoads, ListToWire(aBody.loads)});
}
Json BodyToWire(const Digest& aBody) {
  return Json::array({ListToWire(aBody.buckets)});
}
Json BodyToWire(const BucketRequest& aBody) {
  return Json::array({ListToWire(aBody.buckets)});
}
Json BodyToWire(const DataCentreSummary& aBody) {
  return Json::array({aBody.dataCentre.value, ListToWire(aBody.hosts),
                      ListToWire(aBody.services)});
}

// Reads the fields of one array in order. After the first error, further reads
// have no effect.
struct Reader {
  const Json& items;
  CodecReason& reason;
  std::size_t next = 0;
  bool valid = true;
};

void Fail(Reader& aReader, CodecError aCode, const char* aDetail) {
  if (aReader.valid) {
    aReader.valid = false;
    aReader.reason = CodecReason{aCode, aDetail};
  }
}

Reader Open(const Json& aItems, std::size_t aFields, CodecReason& aReason) {
  Reader reader{aItems, aReason};
  if (!aItems.is_array()) {
    Fail(reader, CodecError::WrongType, "array");
  } else if (aItems.size() != aFields) {
    Fail(reader, CodecError::MissingField, "number of fields");
  }
  return reader;
}

const Json* Next(Reader& aReader) {
  return aReader.valid ? &aReader.items[aReader.next++] : nullptr;
}

template <typename Number>
void Read(Reader& aReader, Number& aOut) {
  const Json* item = Next(aReader);
  if (item == nullptr) {
    return;
  }
  if (!item->is_number_unsigned() ||
      item->get<std::uint64_t>() > std::numeric_limits<Number>::max()) {
    Fail(aReader, CodecError::WrongType, "number");
    return;
  }
  aOut = static_cast<Number>(item->get<std::uint64_t>());
}

void Read(Reader& aReader, bool& aOut) {
  const Json* item = Next(aReader);
  if (item == nullptr) {
    return;
  }
  if (!item->is_boolean()) {
    Fail(aReader, CodecError::WrongType, "boolean");
    return;
  }
  aOut = item->get<bool>();
}

void Read(Reader& aReader, std::string& aOut) {
  const Json* item = Next(aReader);
  if (item == nullptr) {
    return;
  }
  if (!item->is_string()) {
    Fail(aReader, CodecError::WrongType, "text");
  } else if (item->get_ref<const std::string&>().size() > kMaxTextBytes) {
    Fail(aReader, CodecError::TooLarge, "text");
  } else {
    aOut = item->get<std::string>();
  }
}

template <typename Tag>
void Read(Reader& aReader, StrongId<Tag>& aOut) {
  Read(aReader, aOut.value);
}

void Read(Reader& aReader, Duration& aOut) {
  std::uint64_t millis = 0;
  Read(aReader, millis);
  if (millis > kMaxAgeMillis) {
    Fail(aReader, CodecError::WrongType, "length of time");
    return;
  }
  aOut = bramleypath::Millis(static_cast<std::int64_t>(millis));
}

bool FromWire(const Json& aItem, TargetRecord& aOut, CodecReason& aReason) {
  Reader reader = Open(aItem, 8, aReason);
  Read(reader, aOut.target);
  Read(reader, aOut.incarnation);
  Read(reader, aOut.service);
  Read(reader, aOut.clientAccount);
  Read(reader, aOut.address);
  Read(reader, aOut.slots);
  Read(reader, aOut.connections);
  Read(reader, aOut.outstanding);
  return reader.valid;
}

template <typename Gossiped>
bool GossipedFromWire(const Json& aItem, Gossiped& aOut, CodecReason& aReason) {
  Reader reader = Open(aItem, 3, aReason);
  Read(reader, aOut.number);
  Read(reader, aOut.age);
  const Json* record = Next(reader);
  return record != nullptr && FromWire(*record, aOut.record, aReason);
}

bool FromWire(const Json& aItem, GossipedTarget& aOut, CodecReason& aReason) {
  return GossipedFromWire(aItem, aOut, aReason);
}

bool FromWire(const Json& aItem, Refresh& aOut, CodecReason& aReason) {
  Reader reader = Open(aItem, 3, aReason);
  Read(reader, aOut.number);
  Read(reader, aOut.age);
  Read(reader, aOut.outstanding);
  return reader.valid;
}

bool FromWire(const Json& aItem, Departure& aOut, CodecReason& aReason) {
  Reader reader = Open(aItem, 3, aReason);
  Read(reader, aOut.id);
  Read(reader, aOut.incarnation);
  Read(reader, aOut.age);
  return reader.valid;
}

bool FromWire(const Json& aItem, NumberedLoad& aOut, CodecReason& aReason) {
  Reader reader = Open(aItem, 2, aReason);
  Read(reader, aOut.number);
  Read(reader, aOut.outstanding);
  return reader.valid;
}

bool FromWire(const Json& aItem, ServiceSummary& aOut, CodecReason& aReason) {
  Reader reader = Open(aItem, 3, aReason);
  Read(reader, aOut.service);
  Read(reader, aOut.freeSlots);
  Read(reader, aOut.outstanding);
  return reader.valid;
}

// Reads a single value where other items are arrays of fields.
template <typename Value>
bool ValueFromWire(const Json& aItem, Value& aOut, CodecReason& aReason) {
  const Json wrapped = Json::array({aItem});
  Reader reader = Open(wrapped, 1, aReason);
  Read(reader, aOut);
  return reader.valid;
}
bool FromWire(const Json& aItem, HostId& aOut, CodecReason& aReason) {
  return ValueFromWire(aItem, aOut, aReason);
}
bool FromWire(const Json& aItem, std::uint64_t& aOut, CodecReason& aReason) {
  return ValueFromWire(aItem, aOut, aReason);
}
bool FromWire(const Json& aItem, std::uint32_t& aOut, CodecReason& aReason) {
  return ValueFromWire(aItem, aOut, aReason);
}

template <typename Item>
void ReadList(Reader& aReader, std::vector<Item>& aOut) {
  const Json* list = Next(aReader);
  if (list == nullptr) {
    return;
  }
  if (!list->is_array()) {
    Fail(aReader, CodecError::WrongType, "list");
    return;
  }
  if (list->size() > kMaxItems) {
    Fail(aReader, CodecError::TooMany, "list");
    return;
  }
  for (const Json& item : *list) {
    Item value{};
    if (!FromWire(item, value, aReader.reason)) {
      aReader.valid = false;
      return;
    }
    aOut.push_back(std::move(value));
  }
}

bool BodyFromWire(const Json& aItem, Delta& aOut, CodecReason& aReason) {
  Reader reader = Open(aItem, 5, aReason);
  ReadList(reader, aOut.targets);
  ReadList(reader, aOut.targetRefreshes);
  ReadList(reader, aOut.departures);
  Read(reader, aOut.hasLoads);
  ReadList(reader, aOut.loads);
  return reader.valid;
}

bool BodyFromWire(const Json& aItem, Digest& aOut, CodecReason& aReason) {
  Reader reader = Open(aItem, 1, aReason);
  ReadList(reader, aOut.buckets);
  return reader.valid;
}

bool BodyFromWire(const Json& aItem, BucketRequest& aOut,
                  CodecReason& aReason) {
  Reader reader = Open(aItem, 1, aReason);
  ReadList(reader, aOut.buckets);
  return reader.valid;
}

bool BodyFromWire(const Json& aItem, DataCentreSummary& aOut,
                  CodecReason& aReason) {
  Reader reader = Open(aItem, 3, aReason);
  Read(reader, aOut.dataCentre);
  ReadList(reader, aOut.hosts);
  ReadList(reader, aOut.services);
  return reader.valid;
}

template <typename Body>
bool ReadBody(const Json& aItem, GossipMessage& aOut, CodecReason& aReason) {
  Body body;
  if (!BodyFromWire(aItem, body, aReason)) {
    return false;
  }
  aOut.body = std::move(body);
  return true;
}

bool ReadBodyOfKind(std::size_t aKind, const Json& aItem, GossipMessage& aOut,
                    CodecReason& aReason) {
  switch (aKind) {
    case kDelta:
      return ReadBody<Delta>(aItem, aOut, aReason);
    case kDigest:
      return ReadBody<Digest>(aItem, aOut, aReason);
    case kBucketRequest:
      return ReadBody<BucketRequest>(aItem, aOut, aReason);
    case kSummary:
      return ReadBody<DataCentreSummary>(aItem, aOut, aReason);
    default:
      aReason = CodecReason{CodecError::WrongType, "kind"};
      return false;
  }
}

}  // namespace

Bytes EncodeGossip(const GossipMessage& aMessage) {
  const Json body = std::visit(
      [](const auto& aBody) { return BodyToWire(aBody); }, aMessage.body);
  return Json::to_cbor(
      Json::array({aMessage.from.value, aMessage.to.value, aMessage.session,
                   aMessage.sequence, Millis(aMessage.sinceStart),
                   aMessage.stopping, aMessage.body.index(), body}));
}

std::optional<GossipMessage> DecodeGossip(const Bytes& aBytes,
                                          CodecReason& aReason) {
  if (aBytes.size() > kMaxGossipBytes) {
    aReason = CodecReason{CodecError::TooLarge, "message"};
    return std::nullopt;
  }
  if (!codec::CborNestsWithin(aBytes, kMaxDepth)) {
    aReason = CodecReason{CodecError::NotCbor, "message"};
    return std::nullopt;
  }
  const Json root = Json::from_cbor(aBytes, true, false);
  if (root.is_discarded()) {
    aReason = CodecReason{CodecError::NotCbor, "message"};
    return std::nullopt;
  }
  GossipMessage message;
  std::size_t kind = 0;
  Reader reader = Open(root, 8, aReason);
  Read(reader, message.from);
  Read(reader, message.to);
  Read(reader, message.session);
  Read(reader, message.sequence);
  Read(reader, message.sinceStart);
  Read(reader, message.stopping);
  Read(reader, kind);
  const Json* body = Next(reader);
  if (body == nullptr || !ReadBodyOfKind(kind, *body, message, aReason)) {
    return std::nullopt;
  }
  return message;
}

}  // namespace bramleypath::membership
