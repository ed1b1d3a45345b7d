#include "bramleypath/settings/internal/Schema.h"

#include <algorithm>
#include <utility>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>
#include <vector>

namespace bramleypath::settings::detail {

namespace {

using codec::Json;

std::size_t EditDistance(std::string_view aLeft, std::string_view aRight) {
  std::vector<std::size_t> row(aRight.size() + 1);
  for (std::size_t column = 0; column < row.size(); ++column) {
    row[column] = column;
  }
  for (std::size_t line = 1; line <= aLeft.size(); ++line) {
    std::size_t diagonal = row[0];
    row[0] = line;
    for (std::size_t column = 1; column < row.size(); ++column) {
      const std::size_t changed =
          diagonal + (aLeft[line - 1] == aRight[column - 1] ? 0 : 1);
      diagonal = row[column];
      row[column] = std::min({changed, row[column] + 1, row[column - 1] + 1});
    }
  }
  return row.back();
}

std::vector<std::string> NamesOf(const Json& aProperties) {
  std::vector<std::string> names;
  for (const auto& [name, schema] : aProperties.items()) {
    names.push_back(name);
  }
  return names;
}

std::string DescribeUnknown(const std::string& aName,
                            const std::vector<std::string>& aKnown) {
  const std::string near = SuggestName(aName, aKnown);
  if (!near.empty()) {
    return "unknown key; did you mean \"" + near + "\"?";
  }
  std::string list;
  for (const std::string& name : aKnown) {
    list += (list.empty() ? "" : ", ") + name;
  }
  return "unknown key; the keys here are " + list;
}

struct UnknownKeyFinder {
  const std::string& file;
  Report& report;

  void Visit(const Json& aSchema, Json& aDocument, const std::string& aPath) {
    if (aDocument.is_array() && aSchema.contains("items")) {
      std::size_t index = 0;
      for (Json& item : aDocument) {
        this->Visit(aSchema["items"], item,
                    aPath + "[" + std::to_string(index++) + "]");
      }
    }
    if (!aDocument.is_object() || !aSchema.contains("properties")) {
      return;
    }
    const Json& properties = aSchema["properties"];
    for (const std::string& name : NamesOf(aDocument)) {
      const std::string path = codec::detail::JoinPath(aPath, name);
      if (properties.contains(name)) {
        this->Visit(properties[name], aDocument[name], path);
        continue;
      }
      this->report.faults.push_back(
          Fault{Severity::Error, this->file, path,
                DescribeUnknown(name, NamesOf(properties))});
      aDocument.erase(name);
    }
  }
};

// Turns valijson's context, such as {"<root>", "[cells]", "[0]", "[voters]"},
// into a field path, such as "cells[0].voters".
std::string PathOf(const std::vector<std::string>& aContext) {
  std::string path;
  for (const std::string& part : aContext) {
    if (part.size() < 2 || part.front() != '[') {
      continue;
    }
    const std::string name = part.substr(1, part.size() - 2);
    const bool isIndex = std::all_of(name.begin(), name.end(), [](char aOne) {
      return aOne >= '0' && aOne <= '9';
    });
    if (isIndex) {
      path += part;
    } else {
      path = codec::detail::JoinPath(path, name);
    }
  }
  return path;
}

// Whether an error of valijson only states that a nested part is invalid; the
// error of that part itself is reported as well.
bool IsSummary(const std::string& aDescription) {
  return aDescription.rfind("Failed to validate", 0) == 0 &&
         aDescription.find("enum") == std::string::npos;
}

// The subschema for the location that valijson's context gives; null when there
// is none.
const Json* FindSubschema(const Json& aSchema,
                          const std::vector<std::string>& aContext) {
  const Json* subschema = &aSchema;
  for (const std::string& step : aContext) {
    if (step.size() < 2 || step.front() != '[') {
      continue;
    }
    const std::string name = step.substr(1, step.size() - 2);
    const bool isObject = subschema->contains("properties") &&
                          (*subschema)["properties"].contains(name);
    if (!isObject && !subschema->contains("items")) {
      return nullptr;
    }
    subschema =
        isObject ? &(*subschema)["properties"][name] : &(*subschema)["items"];
  }
  return subschema;
}

std::string Range(const Json& aSubschema, const char* aLow, const char* aHigh) {
  return aSubschema[aLow].dump() + " to " + aSubschema[aHigh].dump();
}

// Describes what a subschema allows, such as "must be of type integer from 1 to
// 9".
std::string DescribeAllowed(const Json& aSubschema) {
  if (aSubschema.contains("enum")) {
    std::string values;
    for (const Json& value : aSubschema["enum"]) {
      values += values.empty() ? "" : ", ";
      values += value.get<std::string>();
    }
    return "must be one of " + values;
  }
  std::string text = "must be of type " + aSubschema.value("type", "object");
  if (aSubschema.contains("minimum")) {
    text += " from " + Range(aSubschema, "minimum", "maximum");
  }
  if (aSubschema.contains("minItems")) {
    text += " with " + Range(aSubschema, "minItems", "maxItems") + " items";
  }
  if (aSubschema.contains("minLength")) {
    text += " with " + Range(aSubschema, "minLength", "maxLength") + " bytes";
  }
  return text;
}

// Turns an error of valijson, which names the violated constraint, into a
// fault that says what is allowed.
Fault ToFault(const valijson::ValidationResults::Error& aError,
              const Json& aSchema, const std::string& aFile) {
  Fault fault{Severity::Error, aFile, PathOf(aError.context),
              aError.description};
  const std::string missing = "Missing required property '";
  if (fault.reason.rfind(missing, 0) == 0) {
    const std::string name = fault.reason.substr(
        missing.size(), fault.reason.rfind('\'') - missing.size());
    fault.path = codec::detail::JoinPath(fault.path, name);
    fault.reason = "is missing";
    return fault;
  }
  const Json* const subschema = FindSubschema(aSchema, aError.context);
  if (subschema != nullptr) {
    fault.reason = DescribeAllowed(*subschema);
  }
  return fault;
}

}  // namespace

std::string SuggestName(std::string_view aName,
                        const std::vector<std::string>& aKnown) {
  std::string best;
  // A third of the letters, and one more, may differ.
  std::size_t bestDistance = aName.size() / 3 + 2;
  for (const std::string& name : aKnown) {
    const std::size_t distance = EditDistance(aName, name);
    if (distance < bestDistance) {
      best = name;
      bestDistance = distance;
    }
  }
  return best;
}

void CheckSchema(Json& aDocument, const std::string& aFile, Report& aReport) {
  const Json schemaDocument = Json::parse(SchemaText());
  UnknownKeyFinder{aFile, aReport}.Visit(schemaDocument, aDocument, "");

  valijson::Schema schema;
  valijson::SchemaParser parser;
  parser.populateSchema(valijson::adapters::NlohmannJsonAdapter(schemaDocument),
                        schema);
  valijson::Validator validator;
  valijson::ValidationResults results;
  validator.validate(schema, valijson::adapters::NlohmannJsonAdapter(aDocument),
                     &results);
  valijson::ValidationResults::Error error;
  while (results.popError(error)) {
    if (!IsSummary(error.description)) {
      aReport.faults.push_back(ToFault(error, schemaDocument, aFile));
    }
  }
}

}  // namespace bramleypath::settings::detail
