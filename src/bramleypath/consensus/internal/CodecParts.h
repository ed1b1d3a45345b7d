#pragma once

#include <nlohmann/json.hpp>

#include "bramleypath/consensus/CborReader.h"
#include "bramleypath/consensus/Types.h"

namespace bramleypath::consensus::detail {

using Json = nlohmann::json;

// Encoding of values that occur both in messages and in stored records.

Json EncodeMembership(const Membership& aMembership);
Membership DecodeMembership(CborReader& aReader);

// Appends kind, term and content of an entry to an array. The index is left
// out: the entries of a message or record are contiguous, so the caller stores
// only the first index.
void EncodeEntry(const LogEntry& aEntry, Json& aArray);
LogEntry DecodeEntry(CborReader& aReader, LogIndex aIndex);
// Number of array elements that EncodeEntry appends.
constexpr std::size_t kEntryFields = 3;

ReplicaId DecodeReplicaId(CborReader& aReader);
Json EncodeBinary(const Bytes& aBytes);

}  // namespace bramleypath::consensus::detail
