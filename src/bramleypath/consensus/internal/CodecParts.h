#pragma once

#include <nlohmann/json.hpp>

#include "bramleypath/consensus/CborReader.h"
#include "bramleypath/consensus/Types.h"

namespace bramleypath::consensus::detail {

using Json = nlohmann::json;

// Parts shared by the codecs of messages and of stored records.

Json EncodeMembership(const Membership& aMembership);
Membership DecodeMembership(CborReader& aReader);

// Appends kind, term and content to an array; the index is stored by the
// caller, since the entries of a message or record follow one another.
void EncodeEntry(const LogEntry& aEntry, Json& aArray);
LogEntry DecodeEntry(CborReader& aReader, LogIndex aIndex);
constexpr std::size_t kEntryFields = 3;

ReplicaId DecodeReplicaId(CborReader& aReader);
Json EncodeBinary(const Bytes& aBytes);

}  // namespace bramleypath::consensus::detail
