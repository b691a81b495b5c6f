#include "wire/fleet_codec.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstring>
#include <limits>
#include <map>
#include <utility>

#include "wire/fleet_generated.h"

namespace rosemarycove {
namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

// The builder's buffer grows if a report needs more.
constexpr std::size_t kInitialBufferBytes = 512;
// More prompt tokens than any service reads.
constexpr float kMaxWork = 1e12F;
// More engines than the requests of one instance keep busy.
constexpr float kMaxEngines = 1e4F;
// The value of a limit that has ended.
constexpr double kNoRateLimit = -1;
// A fencing token fits the 52 bits that a JSON number keeps exact.
constexpr std::uint64_t kMaxFencingToken = (std::uint64_t{1} << 52U) - 1;
// The value of the tolerated rejections of a server that is not brittle.
constexpr std::uint16_t kNotBrittle = 65535;
// Units of a speed sample, and the bounds of a report's samples: an instance
// has fewer engines, and sees fewer responses of one, between two reports.
constexpr double kSpeedRatioUnits = 1000;
constexpr double kSpeedWeightUnits = 10;
constexpr std::size_t kMaxSpeedSamples = 4096;
constexpr double kMaxSpeedWeight = 100;

// Clamps a number to the range of T, the type of a field.
template <typename T>
T Saturate(int value) {
  return static_cast<T>(
      std::clamp<std::int64_t>(value, 0, std::numeric_limits<T>::max()));
}

// Converts a count of tokens; the sum over all instances fits an int.
int DecodeTokens(std::uint32_t tokens) {
  constexpr std::uint32_t kMaxTokens = 10'000'000;
  return static_cast<int>(std::min(tokens, kMaxTokens));
}

// Returns 0 if the number is not a number.
double DecodeNumber(float number, float max) {
  return std::isnan(number) ? 0 : std::clamp(number, 0.0F, max);
}

std::string ToString(const flatbuffers::String* text) {
  return text == nullptr ? std::string() : text->str();
}

Offset<wire::Document> EncodeDocument(FlatBufferBuilder& builder,
                                      const SharedDocument& document) {
  const auto key = builder.CreateString(document.key);
  const auto value = builder.CreateVector(
      reinterpret_cast<const std::uint8_t*>(document.value.data()),
      document.value.size());
  return wire::CreateDocument(builder, key, document.revision,
                              document.is_removed, value);
}

Offset<wire::ConfigurationUpdate> EncodeUpdate(
    FlatBufferBuilder& builder, const ConfigurationUpdate& update) {
  const auto key = builder.CreateString(update.key);
  const auto bytes = builder.CreateVector(
      reinterpret_cast<const std::uint8_t*>(update.bytes.data()),
      update.bytes.size());
  return wire::CreateConfigurationUpdate(
      builder, key, update.revision, update.base_hash, update.hash,
      static_cast<std::uint32_t>(update.size), bytes);
}

ConfigurationUpdate DecodeUpdate(const wire::ConfigurationUpdate& update) {
  ConfigurationUpdate result{.key = ToString(update.key()),
                             .revision = update.revision(),
                             .base_hash = update.base_hash(),
                             .hash = update.hash(),
                             .size = update.size()};
  if (update.bytes() != nullptr) {
    result.bytes.assign(reinterpret_cast<const char*>(update.bytes()->data()),
                        update.bytes()->size());
  }
  return result;
}

SharedDocument DecodeDocument(const wire::Document& document) {
  SharedDocument result{.key = ToString(document.key()),
                        .revision = document.revision(),
                        .is_removed = document.removed()};
  if (document.value() != nullptr) {
    result.value.assign(reinterpret_cast<const char*>(document.value()->data()),
                        document.value()->size());
  }
  return result;
}

// Converts a time to the whole milliseconds of a field.
std::uint32_t EncodeAge(Duration age) {
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(age).count(), 0,
      std::numeric_limits<std::uint32_t>::max()));
}

// 0 stands for an unknown age.
std::uint32_t EncodeOptionalAge(std::optional<Duration> age) {
  return age ? EncodeAge(*age + std::chrono::milliseconds(1)) : 0;
}

std::optional<Duration> DecodeOptionalAge(std::uint32_t field) {
  if (field == 0) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(field - 1);
}

// Wall times are whole microseconds since the start of 1970.
std::int64_t EncodeWallTime(Duration wall) {
  return std::chrono::duration_cast<std::chrono::microseconds>(wall).count();
}

// Returns at most the time in 200 years, which fits a Duration.
Duration DecodeWallTime(std::int64_t field) {
  constexpr std::int64_t kMaxWallTime =
      std::chrono::microseconds(std::chrono::years(200)).count();
  return std::chrono::microseconds(
      std::clamp<std::int64_t>(field, 0, kMaxWallTime));
}

std::uint16_t EncodeShortTime(Duration time) {
  return Saturate<std::uint16_t>(static_cast<int>(EncodeAge(time)));
}

Offset<wire::PartCrashes> EncodeSuspect(FlatBufferBuilder& builder,
                                        const SuspectCrashes& record) {
  std::vector<wire::ServerCrash> crashes;
  for (const ServerCrash& crash : record.crashes) {
    crashes.emplace_back(crash.id, crash.server_hash, EncodeAge(crash.age),
                         Saturate<std::uint16_t>(crash.position),
                         EncodeShortTime(crash.running));
  }
  const auto crash_vector = builder.CreateVectorOfStructs(crashes);
  return wire::CreatePartCrashes(
      builder, record.suspect, record.survival_age.has_value(),
      EncodeAge(record.survival_age.value_or(Duration{})), crash_vector);
}

SuspectCrashes DecodeSuspect(const wire::PartCrashes& frame) {
  SuspectCrashes record{.suspect = frame.part()};
  if (frame.survived()) {
    record.survival_age = std::chrono::milliseconds(frame.survival_age_ms());
  }
  if (frame.crashes() != nullptr) {
    for (const wire::ServerCrash* crash : *frame.crashes()) {
      record.crashes.push_back(
          {.id = crash->id(),
           .server_hash = crash->server(),
           .position = crash->position(),
           .running = std::chrono::milliseconds(crash->running_ms()),
           .age = std::chrono::milliseconds(crash->age_ms())});
    }
  }
  return record;
}

wire::ServerLimit EncodeRateLimit(const RateLimitReport& report) {
  return {report.server_hash,
          report.observation,
          EncodeAge(report.age),
          report.per_second.value_or(kNoRateLimit),
          Saturate<std::uint16_t>(report.sent),
          Saturate<std::uint16_t>(report.refused_tier ? 1 + *report.refused_tier
                                                      : 0)};
}

RateLimitReport DecodeRateLimit(const wire::ServerLimit& frame) {
  RateLimitReport report{.server_hash = frame.server(),
                         .observation = frame.observation(),
                         .age = std::chrono::milliseconds(frame.age_ms()),
                         .sent = frame.sent()};
  if (frame.per_second() >= 0 && std::isfinite(frame.per_second())) {
    report.per_second = frame.per_second();
  }
  if (frame.refused() > 0) {
    report.refused_tier = frame.refused() - 1;
  }
  return report;
}

wire::BrittleServer EncodeBrittleness(const BrittlenessReport& report) {
  const auto tolerated = static_cast<std::uint16_t>(
      std::clamp<int>(report.tolerated.value_or(0), 0, kNotBrittle - 1));
  return {report.server_hash, EncodeAge(report.age),
          report.tolerated ? tolerated : kNotBrittle,
          Saturate<std::uint16_t>(report.rejected),
          Saturate<std::uint16_t>(report.room)};
}

Offset<flatbuffers::Vector<const wire::SpeedSample*>> EncodeSpeedSamples(
    FlatBufferBuilder& builder, const std::vector<SpeedSample>& samples) {
  if (samples.empty()) {
    return {};
  }
  constexpr double kMaxNumber = std::numeric_limits<std::uint16_t>::max();
  std::vector<wire::SpeedSample> encoded;
  encoded.reserve(samples.size());
  for (const SpeedSample& sample : samples) {
    encoded.emplace_back(
        sample.server,
        static_cast<std::uint16_t>(
            std::clamp(sample.ratio * kSpeedRatioUnits, 1.0, kMaxNumber)),
        static_cast<std::uint16_t>(
            std::clamp(sample.weight * kSpeedWeightUnits, 0.0, kMaxNumber)));
  }
  return builder.CreateVectorOfStructs(encoded);
}

std::vector<SpeedSample> DecodeSpeedSamples(
    const flatbuffers::Vector<const wire::SpeedSample*>* frames) {
  std::vector<SpeedSample> samples;
  if (frames == nullptr) {
    return samples;
  }
  for (const wire::SpeedSample* frame : *frames) {
    if (samples.size() >= kMaxSpeedSamples) {
      break;
    }
    samples.push_back(
        {.server = frame->server(),
         .ratio = std::max<double>(1, frame->ratio()) / kSpeedRatioUnits,
         .weight =
             std::min(frame->weight() / kSpeedWeightUnits, kMaxSpeedWeight)});
  }
  return samples;
}

BrittlenessReport DecodeBrittleness(const wire::BrittleServer& frame) {
  BrittlenessReport report{.server_hash = frame.server(),
                           .age = std::chrono::milliseconds(frame.age_ms()),
                           .rejected = frame.rejected(),
                           .room = frame.room()};
  if (frame.tolerated() != kNotBrittle) {
    report.tolerated = frame.tolerated();
  }
  return report;
}

Offset<wire::SoftwareHistory> EncodeSoftware(FlatBufferBuilder& builder,
                                             const SoftwareReport& report) {
  std::vector<wire::SoftwareUse> uses;
  for (const SoftwareUse& use : report.uses) {
    uses.emplace_back(use.software, use.service_hash, EncodeAge(use.age));
  }
  return wire::CreateSoftwareHistory(builder, EncodeAge(report.known_for),
                                     builder.CreateVectorOfStructs(uses));
}

SoftwareReport DecodeSoftware(const wire::SoftwareHistory& frame) {
  SoftwareReport report{.known_for =
                            std::chrono::milliseconds(frame.known_ms())};
  if (frame.uses() != nullptr) {
    for (const wire::SoftwareUse* use : *frame.uses()) {
      report.uses.push_back({.software = use->software(),
                             .service_hash = use->service(),
                             .age = std::chrono::milliseconds(use->age_ms())});
    }
  }
  return report;
}

Offset<flatbuffers::Vector<Offset<wire::BegunStreams>>> EncodeOrigins(
    FlatBufferBuilder& builder, const std::vector<StreamOrigin>& origins) {
  if (origins.empty()) {
    return {};
  }
  std::map<std::uint64_t, std::vector<std::uint64_t>> streams_by_software;
  for (const StreamOrigin& origin : origins) {
    streams_by_software[origin.software].push_back(origin.stream);
  }
  std::vector<Offset<wire::BegunStreams>> groups;
  groups.reserve(streams_by_software.size());
  for (const auto& [software, streams] : streams_by_software) {
    groups.push_back(wire::CreateBegunStreams(builder, software,
                                              builder.CreateVector(streams)));
  }
  return builder.CreateVector(groups);
}

std::vector<StreamOrigin> DecodeOrigins(
    const flatbuffers::Vector<Offset<wire::BegunStreams>>* groups) {
  std::vector<StreamOrigin> origins;
  if (groups == nullptr) {
    return origins;
  }
  for (const wire::BegunStreams* group : *groups) {
    if (group->streams() == nullptr) {
      continue;
    }
    for (const std::uint64_t stream : *group->streams()) {
      origins.push_back({.stream = stream, .software = group->software()});
    }
  }
  return origins;
}

Offset<wire::DutyState> EncodeDuties(FlatBufferBuilder& builder,
                                     const DutyState& state) {
  Offset<wire::UsageUpdate> usage;
  if (state.usage) {
    std::vector<wire::UsageCount> counts;
    counts.reserve(state.usage->counts.size());
    for (const UsageCount& count : state.usage->counts) {
      counts.emplace_back(count.customer_hash, count.window, count.requests);
    }
    const auto customers =
        builder.CreateVectorOfStrings(state.usage->customers);
    const auto count_vector = builder.CreateVectorOfStructs(counts);
    usage = wire::CreateUsageUpdate(builder,
                                    EncodeWallTime(state.usage->complete_to),
                                    customers, count_vector);
  }
  return wire::CreateDutyState(
      builder, state.process, EncodeWallTime(state.wall_time), state.token,
      EncodeAge(state.lease_age), state.reported_through.has_value(),
      state.reported_through.value_or(0), usage);
}

DutyState DecodeDuties(const wire::DutyState& frame) {
  DutyState state{.process = frame.process(),
                  .wall_time = DecodeWallTime(frame.wall_us()),
                  .token = frame.token() > kMaxFencingToken ? 0 : frame.token(),
                  .lease_age = std::chrono::milliseconds(frame.lease_age_ms())};
  if (frame.knows_reported()) {
    state.reported_through = frame.reported_through();
  }
  const wire::UsageUpdate* usage = frame.usage();
  if (usage == nullptr) {
    return state;
  }
  state.usage.emplace();
  state.usage->complete_to = DecodeWallTime(usage->complete_to_us());
  if (usage->customers() != nullptr) {
    for (const flatbuffers::String* customer : *usage->customers()) {
      state.usage->customers.push_back(ToString(customer));
    }
  }
  if (usage->counts() != nullptr) {
    for (const wire::UsageCount* count : *usage->counts()) {
      state.usage->counts.push_back({.customer_hash = count->customer(),
                                     .window = count->window(),
                                     .requests = count->requests()});
    }
  }
  return state;
}

wire::EngineDemand EncodeDemand(const EngineDemand& demand) {
  return {demand.service_hash, static_cast<float>(demand.urgent.busy),
          static_cast<float>(demand.urgent.unserved),
          static_cast<float>(demand.other.busy),
          static_cast<float>(demand.other.unserved)};
}

EngineDemand DecodeDemand(const wire::EngineDemand& frame) {
  return {
      .service_hash = frame.service(),
      .urgent = {.busy = DecodeNumber(frame.urgent_busy(), kMaxEngines),
                 .unserved =
                     DecodeNumber(frame.urgent_unserved(), kMaxEngines)},
      .other = {.busy = DecodeNumber(frame.other_busy(), kMaxEngines),
                .unserved = DecodeNumber(frame.other_unserved(), kMaxEngines)}};
}

Offset<wire::Admission> EncodeAdmission(FlatBufferBuilder& builder,
                                        const AdmissionReport& report) {
  if (report.empty()) {
    return {};
  }
  std::vector<wire::RefusedRequest> promises;
  for (const AdmissionReport::Promise& promise : report.promises) {
    promises.emplace_back(promise.identity, EncodeAge(promise.remaining));
  }
  std::vector<wire::CustomerDemand> demands;
  for (const AdmissionReport::Demand& demand : report.demands) {
    demands.emplace_back(demand.service_hash, demand.customer,
                         static_cast<float>(demand.count),
                         Saturate<std::uint16_t>(demand.tier));
  }
  std::vector<wire::RefusedTier> refusals;
  for (const AdmissionReport::Refusal& refusal : report.refusals) {
    refusals.emplace_back(refusal.service_hash,
                          Saturate<std::uint32_t>(refusal.count),
                          Saturate<std::uint16_t>(refusal.urgency.tier),
                          Saturate<std::uint16_t>(refusal.urgency.route_tier),
                          refusal.tolerates_pauses);
  }
  const auto promise_vector = builder.CreateVectorOfStructs(promises);
  const auto demand_vector = builder.CreateVectorOfStructs(demands);
  const auto refusal_vector = builder.CreateVectorOfStructs(refusals);
  return wire::CreateAdmission(builder, promise_vector, demand_vector,
                               refusal_vector);
}

AdmissionReport DecodeAdmission(const wire::Admission& frame) {
  // Longer times and larger counts than any sender of a sound report has.
  constexpr std::uint32_t kMaxRemainingMs = 600'000;
  constexpr float kMaxDemand = 1e6F;
  constexpr std::uint32_t kMaxRefusals = 1'000'000;
  AdmissionReport report;
  if (frame.promises() != nullptr) {
    for (const wire::RefusedRequest* promise : *frame.promises()) {
      report.promises.push_back(
          {.identity = promise->request(),
           .remaining = std::chrono::milliseconds(
               std::min(promise->remaining_ms(), kMaxRemainingMs))});
    }
  }
  if (frame.demands() != nullptr) {
    for (const wire::CustomerDemand* demand : *frame.demands()) {
      report.demands.push_back(
          {.service_hash = demand->service(),
           .tier = demand->tier(),
           .customer = demand->customer(),
           .count = DecodeNumber(demand->count(), kMaxDemand)});
    }
  }
  if (frame.refusals() != nullptr) {
    for (const wire::RefusedTier* refusal : *frame.refusals()) {
      report.refusals.push_back(
          {.service_hash = refusal->service(),
           .tolerates_pauses = refusal->tolerates_pauses(),
           .urgency = {.tier = refusal->tier(),
                       .route_tier = refusal->route_tier()},
           .count =
               static_cast<int>(std::min(refusal->count(), kMaxRefusals))});
    }
  }
  return report;
}

FleetReport DecodeReport(const wire::FleetReport& frame) {
  FleetReport report{
      .is_draining = frame.leaving(),
      .configuration_revision = frame.configuration_revision(),
      .configuration_version = frame.configuration_version(),
      .directory_revision = frame.directory_revision(),
      .directory_age = std::chrono::milliseconds(frame.directory_age_ms()),
      .directory_read_id = {.reader = frame.directory_reader(),
                            .sequence = frame.directory_reading()},
      .directory_update = {.base_revision = frame.servers_since(),
                           .is_snapshot = frame.servers_whole()}};
  if (const auto* identity = frame.identity()) {
    report.identity = InstanceIdentity{
        .instance = ToString(identity->instance()),
        .address = ToString(identity->address()),
        .data_centre = ToString(identity->data_centre()),
        .relay_address = ToString(identity->relay_address()),
        .link_bytes_per_second = identity->link_bytes_per_second()};
  }
  if (frame.shares() != nullptr) {
    for (const wire::ServerShare* share : *frame.shares()) {
      report.server_loads.push_back(
          {.server_hash = share->server(),
           .load = {
               .running = share->running(),
               .prefill_tokens = DecodeTokens(share->unread_tokens()),
               .kv_tokens = DecodeTokens(share->held_tokens()),
               .long_prefill_tokens = DecodeTokens(share->long_unread_tokens()),
               .gap_sensitive_streams = share->brittle_streams()}});
    }
  }
  if (frame.divisions() != nullptr) {
    for (const wire::ServiceDivision* division : *frame.divisions()) {
      report.partitions.push_back(
          {.service_hash = division->service(),
           .reserved_share = DecodeNumber(division->share(), 1),
           .pause_tolerant_work = DecodeNumber(division->long_work(), kMaxWork),
           .other_work = DecodeNumber(division->other_work(), kMaxWork)});
    }
  }
  if (frame.suspected_parts() != nullptr) {
    for (const wire::PartCrashes* record : *frame.suspected_parts()) {
      report.suspected_parts.push_back(DecodeSuspect(*record));
    }
  }
  if (frame.limits() != nullptr) {
    for (const wire::ServerLimit* limit : *frame.limits()) {
      report.rate_limits.push_back(DecodeRateLimit(*limit));
    }
  }
  if (frame.brittle_servers() != nullptr) {
    for (const wire::BrittleServer* server : *frame.brittle_servers()) {
      report.brittle_servers.push_back(DecodeBrittleness(*server));
    }
  }
  report.speed_samples = DecodeSpeedSamples(frame.speed_samples());
  if (frame.software() != nullptr) {
    report.software = DecodeSoftware(*frame.software());
  }
  if (frame.duties() != nullptr) {
    report.duties = DecodeDuties(*frame.duties());
  }
  report.known_peer_count = frame.known_peers();
  report.configuration_age = DecodeOptionalAge(frame.configuration_age_ms());
  report.stream_origins = DecodeOrigins(frame.begun_streams());
  if (frame.cached_parts() != nullptr) {
    report.cached_parts.assign(frame.cached_parts()->begin(),
                               frame.cached_parts()->end());
  }
  if (frame.unreachable_services() != nullptr) {
    report.unreachable_services.assign(frame.unreachable_services()->begin(),
                                       frame.unreachable_services()->end());
  }
  if (frame.engine_demand() != nullptr) {
    report.engine_demand.emplace();
    for (const wire::EngineDemand* demand : *frame.engine_demand()) {
      report.engine_demand->push_back(DecodeDemand(*demand));
    }
  }
  if (frame.admission() != nullptr) {
    report.admission = DecodeAdmission(*frame.admission());
  }
  if (frame.neighbours() != nullptr) {
    for (const flatbuffers::String* address : *frame.neighbours()) {
      report.peer_addresses.push_back(ToString(address));
    }
  }
  report.configuration_hash = frame.configuration_hash();
  report.takes_configuration_updates = frame.takes_configuration_updates();
  report.wants_configuration = frame.wants_configuration();
  report.is_configuration_only = frame.configuration_only();
  if (frame.configuration_update() != nullptr) {
    report.configuration_update = DecodeUpdate(*frame.configuration_update());
  }
  if (frame.configuration() != nullptr) {
    report.configuration = DecodeDocument(*frame.configuration());
  }
  if (frame.servers() != nullptr) {
    for (const wire::Document* document : *frame.servers()) {
      report.directory_update.documents.push_back(DecodeDocument(*document));
    }
  }
  return report;
}

}  // namespace

std::string EncodeFleetFrame(const FleetReport& report) {
  FlatBufferBuilder builder(kInitialBufferBytes);
  Offset<wire::Identity> identity;
  if (report.identity) {
    const auto instance = builder.CreateString(report.identity->instance);
    const auto address = builder.CreateString(report.identity->address);
    const auto centre = builder.CreateString(report.identity->data_centre);
    Offset<flatbuffers::String> relay_address;
    if (!report.identity->relay_address.empty()) {
      relay_address = builder.CreateString(report.identity->relay_address);
    }
    identity =
        wire::CreateIdentity(builder, instance, address, centre, relay_address,
                             report.identity->link_bytes_per_second);
  }
  std::vector<wire::ServerShare> shares;
  shares.reserve(report.server_loads.size());
  for (const ServerLoadEntry& item : report.server_loads) {
    const ServerLoad& load = item.load;
    shares.emplace_back(item.server_hash,
                        Saturate<std::uint32_t>(load.prefill_tokens),
                        Saturate<std::uint32_t>(load.kv_tokens),
                        Saturate<std::uint32_t>(load.long_prefill_tokens),
                        Saturate<std::uint16_t>(load.running),
                        Saturate<std::uint16_t>(load.gap_sensitive_streams));
  }
  Offset<flatbuffers::Vector<Offset<flatbuffers::String>>> neighbours;
  if (!report.peer_addresses.empty()) {
    neighbours = builder.CreateVectorOfStrings(report.peer_addresses);
  }
  Offset<wire::Document> configuration;
  if (report.configuration) {
    configuration = EncodeDocument(builder, *report.configuration);
  }
  Offset<wire::ConfigurationUpdate> configuration_update;
  if (report.configuration_update) {
    configuration_update = EncodeUpdate(builder, *report.configuration_update);
  }
  std::vector<Offset<wire::Document>> servers;
  for (const SharedDocument& document : report.directory_update.documents) {
    servers.push_back(EncodeDocument(builder, document));
  }
  const auto share_vector = builder.CreateVectorOfStructs(shares);
  std::vector<wire::ServiceDivision> divisions;
  for (const ServicePartition& partition : report.partitions) {
    divisions.emplace_back(partition.service_hash,
                           static_cast<float>(partition.reserved_share),
                           static_cast<float>(partition.pause_tolerant_work),
                           static_cast<float>(partition.other_work));
  }
  const auto division_vector = builder.CreateVectorOfStructs(divisions);
  Offset<flatbuffers::Vector<Offset<wire::Document>>> server_vector;
  if (!servers.empty()) {
    server_vector = builder.CreateVector(servers);
  }
  std::vector<Offset<wire::PartCrashes>> suspected_parts;
  for (const SuspectCrashes& record : report.suspected_parts) {
    suspected_parts.push_back(EncodeSuspect(builder, record));
  }
  Offset<flatbuffers::Vector<Offset<wire::PartCrashes>>> part_vector;
  if (!suspected_parts.empty()) {
    part_vector = builder.CreateVector(suspected_parts);
  }
  std::vector<wire::ServerLimit> limits;
  for (const RateLimitReport& limit : report.rate_limits) {
    limits.push_back(EncodeRateLimit(limit));
  }
  Offset<flatbuffers::Vector<const wire::ServerLimit*>> limit_vector;
  if (!limits.empty()) {
    limit_vector = builder.CreateVectorOfStructs(limits);
  }
  std::vector<wire::BrittleServer> brittle_servers;
  for (const BrittlenessReport& server : report.brittle_servers) {
    brittle_servers.push_back(EncodeBrittleness(server));
  }
  Offset<flatbuffers::Vector<const wire::BrittleServer*>> brittle_vector;
  if (!brittle_servers.empty()) {
    brittle_vector = builder.CreateVectorOfStructs(brittle_servers);
  }
  Offset<wire::SoftwareHistory> software;
  if (report.software) {
    software = EncodeSoftware(builder, *report.software);
  }
  const auto origin_vector = EncodeOrigins(builder, report.stream_origins);
  Offset<flatbuffers::Vector<std::uint64_t>> cached_parts;
  if (!report.cached_parts.empty()) {
    cached_parts = builder.CreateVector(report.cached_parts);
  }
  Offset<flatbuffers::Vector<std::uint64_t>> unreachable_services;
  if (!report.unreachable_services.empty()) {
    unreachable_services = builder.CreateVector(report.unreachable_services);
  }
  Offset<wire::DutyState> duties;
  if (report.duties) {
    duties = EncodeDuties(builder, *report.duties);
  }
  Offset<flatbuffers::Vector<const wire::EngineDemand*>> demand_vector;
  if (report.engine_demand) {
    std::vector<wire::EngineDemand> demand;
    for (const EngineDemand& item : *report.engine_demand) {
      demand.push_back(EncodeDemand(item));
    }
    demand_vector = builder.CreateVectorOfStructs(demand);
  }
  const auto admission = EncodeAdmission(builder, report.admission);
  const auto speed_samples = EncodeSpeedSamples(builder, report.speed_samples);
  builder.Finish(wire::CreateFleetReport(
      builder, kFleetProtocolVersion, identity, report.is_draining,
      report.configuration_revision, report.directory_revision,
      EncodeAge(report.directory_age), report.directory_read_id.reader,
      report.directory_read_id.sequence, report.directory_update.base_revision,
      report.directory_update.is_snapshot, share_vector, division_vector,
      neighbours, configuration, server_vector, part_vector, limit_vector,
      software, origin_vector, report.configuration_version, cached_parts,
      report.known_peer_count, unreachable_services, brittle_vector,
      EncodeOptionalAge(report.configuration_age), duties, demand_vector,
      admission, speed_samples, report.configuration_hash,
      report.takes_configuration_updates, report.wants_configuration,
      configuration_update, report.is_configuration_only));
  return PrependLength(builder.GetBufferPointer(), builder.GetSize());
}

tl::expected<std::optional<FleetReport>, FrameError> DecodeFleetFrame(
    std::string& bytes) {
  const auto body = ExtractFrameBody(bytes, kMaxFleetFrameBytes);
  if (!body) {
    return tl::unexpected(body.error());
  }
  if (!*body) {
    return std::nullopt;
  }
  const std::uint8_t* data = (*body)->data();
  flatbuffers::Verifier verifier(data, (*body)->size());
  if (!wire::VerifyFleetReportBuffer(verifier) ||
      wire::GetFleetReport(data)->version() != kFleetProtocolVersion) {
    return tl::unexpected(FrameError::kMalformed);
  }
  return DecodeReport(*wire::GetFleetReport(data));
}

}  // namespace rosemarycove
