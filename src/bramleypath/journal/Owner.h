#pragma once

#include <optional>
#include <string_view>

#include "bramleypath/base/Ids.h"
#include "bramleypath/config/Types.h"

namespace bramleypath::journal {

// The data centre that coordinates the requests with one key.
struct KeyOwner {
  DataCentreId dataCentre;
  // The generation of the key owners. Requests carry it, and the owner compares
  // it with its own.
  std::uint64_t generation = 0;
  // False while the key moves to another owner. The owner then only returns
  // stored answers, and refuses other requests without running them.
  bool acceptsNew = true;
};

// Returns the owner of a key by rendezvous hashing, or nothing when no owners
// are configured.
std::optional<KeyOwner> OwnerOf(const ClientAccountId& aClientAccount,
                                std::string_view aKey,
                                const config::KeyOwners& aOwners);

}  // namespace bramleypath::journal
