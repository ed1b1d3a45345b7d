#pragma once

#include <string>
#include <string_view>

#include "bramleypath/codec/Fields.h"
#include "bramleypath/settings/Settings.h"

namespace bramleypath::settings::detail {

std::string_view SchemaText();

// Adds a fault for each part of the document that the schema doesn't allow.
// Unknown keys get a suggestion and are removed from the document.
void CheckSchema(codec::Json& aDocument, const std::string& aFile,
                 Report& aReport);

// The known name that is the fewest edits away, if it is close; else empty.
std::string SuggestName(std::string_view aName,
                        const std::vector<std::string>& aKnown);

}  // namespace bramleypath::settings::detail
