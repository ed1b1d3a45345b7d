#pragma once

#include "bramleypath/cli/internal/Session.h"

namespace bramleypath::cli::detail {

// Each function runs one command of the command table. The functions of this
// group are defined in ConfigCommands.cpp.
ExitCode ConfigGet(const Session& aSession);
ExitCode ConfigApply(const Session& aSession);
ExitCode ConfigChange(const Session& aSession);
ExitCode PresetList(const Session& aSession);
ExitCode PresetUse(const Session& aSession);
ExitCode PresetSet(const Session& aSession);
ExitCode PresetRemove(const Session& aSession);
ExitCode ServiceSet(const Session& aSession);
ExitCode ServiceRemove(const Session& aSession);
ExitCode ClassSet(const Session& aSession);
ExitCode ClassRemove(const Session& aSession);
ExitCode ClientAccountSet(const Session& aSession);
ExitCode ClientAccountRemove(const Session& aSession);
ExitCode OwnersSet(const Session& aSession);
ExitCode TargetDrain(const Session& aSession);
ExitCode HostAdd(const Session& aSession);
ExitCode HostRemove(const Session& aSession);
ExitCode HostDrain(const Session& aSession);

// Defined in WorkCommands.cpp.
ExitCode JobSubmit(const Session& aSession);
ExitCode JobCancel(const Session& aSession);
ExitCode JobList(const Session& aSession);
ExitCode JobExplain(const Session& aSession);
ExitCode TargetList(const Session& aSession);
ExitCode HostList(const Session& aSession);
ExitCode HostStop(const Session& aSession);
ExitCode Status(const Session& aSession);
ExitCode ExplainPairs(const Session& aSession);

// Defined in LogCommands.cpp.
ExitCode ExplainRequest(const Session& aSession);

// Defined in BootstrapCommands.cpp.
ExitCode BootstrapCheck(const Session& aSession);
ExitCode Completion(const Session& aSession);

enum class ValueKind { Text, Number, Boolean };
// Maps an option to the field of a JSON object that its value is stored in.
struct OptionField {
  const char* option;
  const char* pointer;  // JSON pointer of the field
  ValueKind kind;
};
// Stores the values of the given options in an object. Prints an error and
// returns false when a value has the wrong type.
bool PutOptions(const Session& aSession,
                const std::vector<OptionField>& aFields, Json& aObject);

}  // namespace bramleypath::cli::detail
