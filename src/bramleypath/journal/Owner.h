#pragma once

#include <optional>
#include <string_view>

#include "bramleypath/base/Ids.h"
#include "bramleypath/config/Types.h"

namespace bramleypath::journal {

struct KeyOwner {
  DataCentreId dataCentre;
  // The generation of the key owners, to be carried in requests and checked
  // by the owner against its own.
  std::uint64_t generation = 0;
  // False while the key moves to another owner: only stored answers are given
  // out, and a key without one is refused as not run.
  bool acceptsNew = true;
};

// The owner of a key by rendezvous hash; none when no owners are configured.
std::optional<KeyOwner> OwnerOf(const ClientAccountId& aClientAccount,
                                std::string_view aKey,
                                const config::KeyOwners& aOwners);

}  // namespace bramleypath::journal
