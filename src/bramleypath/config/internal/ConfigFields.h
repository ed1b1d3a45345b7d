#pragma once

#include "bramleypath/codec/Fields.h"
#include "bramleypath/config/Change.h"
#include "bramleypath/config/State.h"
#include "bramleypath/config/Types.h"

// The field names of the configuration and of its changes in JSON and CBOR.

namespace bramleypath::config {

template <typename Visitor>
void VisitFields(Visitor& aVisitor, Service& aValue) {
  aVisitor.Required("name", aValue.name);
  aVisitor.Optional("member", aValue.clientAccount);
  aVisitor.Optional("slots_per_target", aValue.slotsPerTarget);
  aVisitor.Optional("connections_per_target", aValue.connectionsPerTarget);
}

template <typename Visitor>
void VisitFields(Visitor& aVisitor, ServiceClass& aValue) {
  aVisitor.Required("name", aValue.name);
  aVisitor.Optional("service", aValue.service);
  aVisitor.Optional("reserved_slots", aValue.reservedSlots);
  aVisitor.Optional("expected_service_ms", aValue.expectedServiceMs);
  aVisitor.Optional("idempotent_default", aValue.idempotentDefault);
}

template <typename Visitor>
void VisitFields(Visitor& aVisitor, GoalWeights& aValue) {
  aVisitor.Required("tail_latency", aValue.tailLatency);
  aVisitor.Required("evictions", aValue.evictions);
  aVisitor.Required("throughput", aValue.throughput);
}

template <typename Visitor>
void VisitFields(Visitor& aVisitor, AdmissionLimits& aValue) {
  aVisitor.Optional("queued_calls_per_member",
                    aValue.queuedCallsPerClientAccount);
  aVisitor.Optional("target_utilisation_percent",
                    aValue.targetUtilisationPercent);
}

template <typename Visitor>
void VisitFields(Visitor& aVisitor, BatchLimits& aValue) {
  aVisitor.Optional("worker_utilisation_percent",
                    aValue.workerUtilisationPercent);
  aVisitor.Optional("running_tasks_per_cell", aValue.runningTasksPerCell);
  aVisitor.Optional("starts_per_second_per_cell",
                    aValue.startsPerSecondPerCell);
  aVisitor.Optional("evictions_per_job", aValue.evictionsPerJob);
}

template <typename Visitor>
void VisitFields(Visitor& aVisitor, Preset& aValue) {
  aVisitor.Required("name", aValue.name);
  aVisitor.Required("weights", aValue.weights);
  aVisitor.Optional("admission", aValue.admission);
  aVisitor.Optional("batch", aValue.batch);
}

template <typename Visitor>
void VisitFields(Visitor& aVisitor, Quota& aValue) {
  aVisitor.Required("processors_milli", aValue.processorsMilli);
  aVisitor.Required("memory_mb", aValue.memoryMb);
  aVisitor.Optional("accelerators", aValue.accelerators);
  aVisitor.Optional("queued_jobs", aValue.queuedJobs);
}

template <typename Visitor>
void VisitFields(Visitor& aVisitor, ClientAccount& aValue) {
  aVisitor.Required("name", aValue.name);
  aVisitor.Optional("weight", aValue.weight);
  aVisitor.Required("quota", aValue.quota);
}

template <typename Visitor>
void VisitFields(Visitor& aVisitor, HostAddresses& aValue) {
  aVisitor.Required("callers", aValue.callers);
  aVisitor.Required("targets", aValue.targets);
  aVisitor.Required("peers", aValue.peers);
  aVisitor.Required("operators", aValue.operators);
}

template <typename Visitor>
void VisitFields(Visitor& aVisitor, EntryHost& aValue) {
  aVisitor.Required("name", aValue.name);
  aVisitor.Required("data_centre", aValue.dataCentre);
  aVisitor.Required("addresses", aValue.addresses);
  aVisitor.Optional("has_disk", aValue.hasDisk);
  aVisitor.Optional("draining", aValue.draining);
}

template <typename Visitor>
void VisitFields(Visitor& aVisitor, KeyOwners& aValue) {
  aVisitor.Optional("generation", aValue.generation);
  aVisitor.Optional("current", aValue.current);
  aVisitor.Optional("next", aValue.next);
  aVisitor.Optional("lost", aValue.lost);
  aVisitor.Optional("move_wait_ms", aValue.moveWaitMs);
  aVisitor.Optional("pending_since", aValue.pendingSince);
}

template <typename Visitor>
void VisitFields(Visitor& aVisitor, Configuration& aValue) {
  aVisitor.Optional("services", aValue.services);
  aVisitor.Optional("classes", aValue.classes);
  aVisitor.Optional("presets", aValue.presets);
  aVisitor.Optional("preset_in_force", aValue.presetInForce);
  aVisitor.Optional("members", aValue.clientAccounts);
  aVisitor.Optional("hosts", aValue.hosts);
  aVisitor.Optional("drained_targets", aValue.drainedTargets);
  aVisitor.Optional("key_owners", aValue.keyOwners);
}

template <typename Visitor>
void VisitFields(Visitor& aVisitor, SetService& aValue) {
  aVisitor.Required("service", aValue.service);
}
template <typename Visitor>
void VisitFields(Visitor& aVisitor, RemoveService& aValue) {
  aVisitor.Required("service", aValue.service);
}
template <typename Visitor>
void VisitFields(Visitor& aVisitor, SetClass& aValue) {
  aVisitor.Required("class", aValue.serviceClass);
}
template <typename Visitor>
void VisitFields(Visitor& aVisitor, RemoveClass& aValue) {
  aVisitor.Required("class", aValue.serviceClass);
}
template <typename Visitor>
void VisitFields(Visitor& aVisitor, SetPreset& aValue) {
  aVisitor.Required("preset", aValue.preset);
}
template <typename Visitor>
void VisitFields(Visitor& aVisitor, RemovePreset& aValue) {
  aVisitor.Required("preset", aValue.preset);
}
template <typename Visitor>
void VisitFields(Visitor& aVisitor, UsePreset& aValue) {
  aVisitor.Required("preset", aValue.preset);
}
template <typename Visitor>
void VisitFields(Visitor& aVisitor, SetClientAccount& aValue) {
  aVisitor.Required("member", aValue.clientAccount);
}
template <typename Visitor>
void VisitFields(Visitor& aVisitor, RemoveClientAccount& aValue) {
  aVisitor.Required("member", aValue.clientAccount);
}
template <typename Visitor>
void VisitFields(Visitor& aVisitor, SetHost& aValue) {
  aVisitor.Required("host", aValue.host);
}
template <typename Visitor>
void VisitFields(Visitor& aVisitor, RemoveHost& aValue) {
  aVisitor.Required("host", aValue.host);
}
template <typename Visitor>
void VisitFields(Visitor& aVisitor, DrainHost& aValue) {
  aVisitor.Required("host", aValue.host);
  aVisitor.Required("draining", aValue.draining);
}
template <typename Visitor>
void VisitFields(Visitor& aVisitor, DrainTarget& aValue) {
  aVisitor.Required("target", aValue.target);
  aVisitor.Required("draining", aValue.draining);
}
template <typename Visitor>
void VisitFields(Visitor& aVisitor, SetKeyOwners& aValue) {
  aVisitor.Required("data_centres", aValue.dataCentres);
  aVisitor.Optional("lost", aValue.lost);
  aVisitor.Optional("move_wait_ms", aValue.moveWaitMs);
}
template <typename Visitor>
void VisitFields(Visitor& aVisitor, ActivateKeyOwners& aValue) {
  aVisitor.Required("generation", aValue.generation);
}
template <typename Visitor>
void VisitFields(Visitor& aVisitor, Replace& aValue) {
  aVisitor.Required("configuration", aValue.configuration);
}

}  // namespace bramleypath::config

namespace bramleypath::config::detail {

codec::Json CommandToJsonValue(const Command& aCommand);
bool CommandFromJsonValue(const codec::Json& aJson, Command& aCommand,
                          codec::FieldError& aError);
codec::Json OutcomeToJsonValue(const Outcome& aOutcome);
bool OutcomeFromJsonValue(const codec::Json& aJson, Outcome& aOutcome,
                          codec::FieldError& aError);

}  // namespace bramleypath::config::detail
