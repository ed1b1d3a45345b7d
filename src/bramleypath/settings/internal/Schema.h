#pragma once

#include <string>
#include <string_view>

#include "bramleypath/codec/Fields.h"
#include "bramleypath/settings/Settings.h"

namespace bramleypath::settings::detail {

// The text of schema.json.
std::string_view SchemaText();

// Adds a fault for each part of the document that the schema doesn't allow. An
// unknown key is reported with a suggestion and removed from the document.
void CheckSchema(codec::Json& aDocument, const std::string& aFile,
                 Report& aReport);

// The known name with the smallest edit distance to aName; empty when no name
// is close enough.
std::string SuggestName(std::string_view aName,
                        const std::vector<std::string>& aKnown);

}  // namespace bramleypath::settings::detail
