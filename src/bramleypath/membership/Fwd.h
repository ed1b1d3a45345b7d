#pragma once

namespace bramleypath::membership {

struct TargetRecord;
struct HostInfo;
struct TargetLoad;
struct DataCentreSummary;
struct GossipMessage;
struct Members;
struct Settings;

}  // namespace bramleypath::membership
