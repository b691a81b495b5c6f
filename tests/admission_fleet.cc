#include "admission_fleet.h"

#include <algorithm>
#include <utility>

#include "core/admission_gate.h"
#include "core/placement_queues.h"

namespace rosemarycove {
namespace {

using std::chrono::milliseconds;

constexpr Duration kStep = milliseconds(5);
constexpr Duration kPlacementInterval = milliseconds(50);
constexpr double kMaxWaitFraction = 0.4;
constexpr double kAffinityWaitFraction = 0.15;
constexpr int kMaxFailedPlacements = 3;
constexpr int kRepeats = 3;
constexpr Duration kRepeatTime = milliseconds(5);
constexpr double kCallersPatience = 1.0 / 3;
constexpr double kLateRefusalShare = 1.0 / 8;
constexpr Duration kReturnSlice = milliseconds(100);

class EngineDecoder : public ServerDecoder {
 public:
  explicit EngineDecoder(int slots) : slots(slots) {}

  [[nodiscard]] tl::expected<RegisteredServer, std::string> Decode(
      const SharedDocument& document) const override {
    return RegisteredServer{.id = document.key,
                            .incarnation = 1,
                            .service = "model",
                            .address = "a-" + document.key,
                            .data_centre = "here",
                            .slots = this->slots};
  }

 private:
  int slots;
};

}  // namespace

struct AdmissionFleet::Request {
  std::size_t class_index = 0;
  std::uint64_t id = 0;
  std::size_t customer = 0;
  bool is_impatient = false;
  TimePoint first_arrived_at;
  // Of this attempt.
  TimePoint arrived_at;
  TimePoint deadline;
  int repeats_left = 0;
  // The time at which the caller was told to return.
  TimePoint told;
  bool returns_as_told = false;
  PlacementQuery query;
  AdmissionRequest admission;
  std::optional<AdmissionGate> gate;
  std::optional<std::size_t> instance;
  TimePoint wait_deadline;
  std::optional<ServerChoice> choice;
  TimePoint sent_at;
  TimePoint last_token_at;
  bool has_first_event = false;
  bool is_late = false;
  bool is_late_after_return = false;
  bool is_lost = false;
  int refusals = 0;
  int late_refusals = 0;
  int refused_again = 0;
  int returns = 0;
};

struct AdmissionFleet::Engine {
  explicit Engine(const bench::VirtualEngineOptions& options)
      : engine(options) {}

  bench::VirtualEngine engine;
  std::set<std::uint64_t> cached_parts;
  std::map<std::uint64_t, std::unique_ptr<Request>> requests;
};

struct AdmissionFleet::Instance {
  Instance(const PlacerOptions& options, const BackendDirectory& directory,
           std::uint64_t seed)
      : placer(options, directory), admission(seed) {}

  Placer placer;
  AdmissionController admission;
  PlacementQueues queues;
  std::map<RequestId, std::unique_ptr<Request>> waiting;
};

AdmissionFleet::AdmissionFleet(const AdmissionFleetOptions& options,
                               std::vector<CallerClass> classes)
    : options(options),
      classes(std::move(classes)),
      random(options.seed),
      service{.name = "model",
              .batch_slots = options.slots,
              .kv_capacity_tokens = options.kv_tokens},
      decoder(std::make_unique<EngineDecoder>(options.slots)),
      directory(std::make_unique<BackendDirectory>(*this->decoder)) {
  std::vector<SharedDocument> documents;
  for (int i = 0; i < options.engines; ++i) {
    documents.push_back({.key = "e" + std::to_string(i),
                         .revision = static_cast<std::uint64_t>(i + 1),
                         .value = "engine"});
    bench::VirtualEngineOptions engine = options.engine;
    engine.max_streams = options.slots;
    this->engines.push_back(std::make_unique<Engine>(engine));
  }
  this->directory->Replace(documents, 100, this->now, this->now);
  for (int i = 0; i < options.instances; ++i) {
    this->instances.push_back(std::make_unique<Instance>(
        PlacerOptions{.data_centre = "here",
                      .instance = "i" + std::to_string(i)},
        *this->directory, options.seed * 1000 + static_cast<unsigned>(i)));
    Instance& instance = *this->instances.back();
    instance.placer.SetFleet(options.instances, options.report_interval);
    if (options.has_admission) {
      instance.admission.Cover("model");
    }
  }
}

AdmissionFleet::~AdmissionFleet() = default;

void AdmissionFleet::Run(Duration duration) {
  const TimePoint end = this->now + duration;
  const auto has_open = [this] {
    return !this->returning.empty() ||
           std::any_of(this->engines.begin(), this->engines.end(),
                       [](const auto& e) { return !e->requests.empty(); }) ||
           std::any_of(this->instances.begin(), this->instances.end(),
                       [](const auto& i) { return !i->waiting.empty(); });
  };
  for (; this->now < end || has_open(); this->now += kStep) {
    this->Report();
    this->ComeBack();
    if (this->now < end) {
      for (std::size_t index = 0; index < this->classes.size(); ++index) {
        this->Arrive(index);
      }
    }
    if (this->now.time_since_epoch() % kPlacementInterval < kStep) {
      for (auto& instance : this->instances) {
        this->AdmitWaiting(*instance);
        instance->admission.Expire(this->now);
      }
    }
    for (std::size_t i = 0; i < this->engines.size(); ++i) {
      this->AdvanceEngine(i);
    }
  }
}

void AdmissionFleet::Report() {
  const auto round = [this](std::size_t from, TimePoint at) {
    const Duration shift = this->options.report_interval *
                           static_cast<int>(from) /
                           static_cast<int>(this->instances.size());
    return (at.time_since_epoch() + shift) / this->options.report_interval;
  };
  for (std::size_t from = 0; from < this->instances.size(); ++from) {
    if (round(from, this->now) == round(from, this->now - kStep)) {
      continue;
    }
    const std::string name = "i" + std::to_string(from);
    Instance& sender = *this->instances[from];
    const auto partitions = sender.placer.Partitions(this->now);
    const auto loads = sender.placer.ledger().OwnLoads();
    const AdmissionReport report = sender.admission.Report(this->now);
    for (std::size_t to = 0; to < this->instances.size(); ++to) {
      if (from == to) {
        continue;
      }
      Instance& receiver = *this->instances[to];
      receiver.placer.ledger().SetPeerLoads(name, loads, this->now);
      receiver.placer.SetPeerWork(name, partitions, this->now);
      receiver.placer.caches().Merge(sender.placer.caches().untold(),
                                     this->now);
      if (from == 0) {
        receiver.placer.FollowPartitions(partitions);
      }
      if (this->options.has_admission) {
        receiver.admission.ApplyReport(name, report, this->now);
      }
    }
    sender.placer.caches().MarkTold();
    sender.admission.RecordReportSent();
  }
}

void AdmissionFleet::Arrive(std::size_t index) {
  const CallerClass& traits = this->classes[index];
  const Duration at = this->now - this->start;
  const double heavy = traits.heavy_factor(at);
  const double others = this->options.customers - 1;
  const double all =
      traits.rate(at) * (others + heavy) / this->options.customers;
  const int count =
      std::poisson_distribution<int>(all * ToSeconds(kStep))(this->random);
  std::uniform_real_distribution<double> share(0, 1);
  for (int i = 0; i < count; ++i) {
    auto request = std::make_unique<Request>();
    request->class_index = index;
    request->id = this->next_id++;
    request->customer =
        share(this->random) < heavy / (heavy + others)
            ? 0
            : std::uniform_int_distribution<std::size_t>(
                  1, static_cast<std::size_t>(this->options.customers - 1))(
                  this->random);
    request->is_impatient = share(this->random) < this->options.impatient_share;
    request->repeats_left = request->is_impatient ? kRepeats : 0;
    request->first_arrived_at = this->now;
    request->deadline = this->now + traits.route.timeout;
    const auto subject = std::uniform_int_distribution<std::uint64_t>(
        0, static_cast<std::uint64_t>(traits.subjects - 1))(this->random);
    const std::uint64_t first_part =
        (index * 2 + (at >= traits.cold_from ? 2 : 1)) << 40U;
    request->query = {
        .route = &traits.route,
        .service = &this->service,
        .tier = traits.route.tier,
        .parts = {{.id = first_part, .tokens = traits.common_tokens},
                  {.id = first_part + 1 + subject,
                   .tokens = traits.subject_tokens},
                  {.id = (std::uint64_t{1} << 60U) + request->id,
                   .tokens = traits.own_tokens}},
        .prompt_tokens =
            traits.common_tokens + traits.subject_tokens + traits.own_tokens,
        .expected_output_tokens = traits.output_tokens,
        .tolerates_pauses = traits.tolerates_pauses,
        .shortest_target = this->classes.front().route.target};
    request->admission = {
        .service = "model",
        .tolerates_pauses = traits.tolerates_pauses,
        .urgency = {.tier = traits.route.tier, .route_tier = traits.route.tier},
        .customer = request->customer + 1,
        .identity = request->id,
        .kv_tokens = request->query.prompt_tokens + traits.output_tokens,
        .target = traits.route.target,
        .time_limit = traits.route.timeout};
    this->Place(std::move(request));
  }
}

void AdmissionFleet::ComeBack() {
  while (!this->returning.empty() &&
         this->returning.begin()->first <= this->now) {
    auto node = this->returning.extract(this->returning.begin());
    this->Place(std::move(node.mapped()));
  }
}

std::optional<ServerChoice> AdmissionFleet::Choose(Request& request,
                                                   NoChoiceReason& why_not,
                                                   bool is_waiting) {
  Instance& instance = *this->instances[*request.instance];
  const Urgency urgency = request.admission.urgency;
  request.query.withheld =
      is_waiting ? instance.queues.WithheldWhileWaiting(
                       "model", request.query.tolerates_pauses, urgency)
                 : instance.queues.WithheldOnArrival("model", urgency);
  request.gate->Prepare(request.query, this->now);
  return instance.placer.Choose(request.query, this->now, why_not);
}

void AdmissionFleet::Place(std::unique_ptr<Request> request) {
  std::uniform_real_distribution<double> share(0, 1);
  if (!request->instance ||
      share(this->random) >= this->options.same_instance_share) {
    request->instance = std::uniform_int_distribution<std::size_t>(
        0, this->instances.size() - 1)(this->random);
  }
  request->arrived_at = this->now;
  request->query.affinity_wait_until =
      this->now + FromSeconds(kAffinityWaitFraction *
                              ToSeconds(request->query.route->target));
  Instance& instance = *this->instances[*request->instance];
  instance.placer.RecordRequest(request->query, this->now);
  request->gate.emplace(instance.admission, instance.placer);
  request->gate->Arrive(request->admission, request->query, this->now);
  NoChoiceReason why_not{};
  const std::optional<ServerChoice> choice =
      this->Choose(*request, why_not, false);
  if (choice) {
    this->Send(std::move(request), *choice);
    return;
  }
  PlacementQueue& queue =
      instance.queues.Of("model", request->query.tolerates_pauses);
  const Urgency urgency = request->admission.urgency;
  const bool needs_capacity = why_not == NoChoiceReason::kHeldBack;
  if (!needs_capacity && why_not != NoChoiceReason::kAwaitsAffinity) {
    const Duration retry_after = this->RetryAfter(*request);
    this->Refuse(std::move(request), retry_after);
    return;
  }
  Duration max_wait =
      FromSeconds(kMaxWaitFraction * ToSeconds(request->query.route->target));
  Duration order_delay{};
  bool waits = queue.ExpectedWait(urgency, this->now) <= max_wait;
  const std::optional<WaitDecision> decision =
      needs_capacity
          ? request->gate->DecideWait(queue.CountAhead(urgency), this->now)
          : std::nullopt;
  if (decision) {
    waits = decision->waits;
    max_wait = decision->max_wait;
    order_delay = decision->order_delay;
  }
  if (needs_capacity && !waits) {
    const Duration retry_after = this->RetryAfter(*request);
    this->Refuse(std::move(request), retry_after);
    return;
  }
  request->wait_deadline = this->now + max_wait;
  queue.Add(request->id, urgency, request->wait_deadline + order_delay,
            needs_capacity ? WaitReason::kCapacity : WaitReason::kAffinity);
  const RequestId id = request->id;
  instance.waiting.emplace(id, std::move(request));
}

Duration AdmissionFleet::RetryAfter(Request& request) {
  Instance& instance = *this->instances[*request.instance];
  const int ahead = instance.queues.Of("model", request.query.tolerates_pauses)
                        .CountAhead(request.admission.urgency);
  if (const std::optional<Duration> retry_after =
          request.gate->Refuse(ahead, this->now)) {
    return *retry_after;
  }
  return FromSeconds(
      ToSeconds(instance.placer.EstimateRetryDelay(request.query, this->now)) *
      std::uniform_real_distribution<double>(1.0, 1.6)(this->random));
}

void AdmissionFleet::Refuse(std::unique_ptr<Request> request,
                            Duration retry_after) {
  ++request->refusals;
  if (this->now - request->arrived_at >
      FromSeconds(kLateRefusalShare *
                  ToSeconds(request->query.route->target))) {
    ++request->late_refusals;
  }
  request->refused_again += request->returns_as_told ? 1 : 0;
  request->returns_as_told = false;
  if (request->repeats_left > 0) {
    --request->repeats_left;
    this->returning.emplace(this->now + kRepeatTime, std::move(request));
    return;
  }
  const Duration patience =
      FromSeconds(kCallersPatience * ToSeconds(request->deadline - this->now));
  const TimePoint at = this->now + std::min(retry_after, patience);
  if (at + milliseconds(30) >= request->deadline ||
      patience < milliseconds(30)) {
    request->is_lost = true;
    this->ended.push_back(std::move(request));
    return;
  }
  request->returns_as_told = retry_after <= patience;
  request->returns += request->returns_as_told ? 1 : 0;
  if (request->returns_as_told) {
    ++this->returns_by_slice[(at - this->start) / kReturnSlice];
  }
  this->returning.emplace(at, std::move(request));
}

void AdmissionFleet::AdmitWaiting(Instance& instance) {
  for (const bool tolerates_pauses : {false, true}) {
    PlacementQueue& queue = instance.queues.Of("model", tolerates_pauses);
    int failed = 0;
    for (const RequestId id : queue.OrderedIds()) {
      Request& request = *instance.waiting.at(id);
      if (this->now >= request.wait_deadline) {
        queue.Remove(id, false, this->now);
        const Duration retry_after = this->RetryAfter(request);
        this->Refuse(std::move(instance.waiting.extract(id).mapped()),
                     retry_after);
        continue;
      }
      if (failed >= kMaxFailedPlacements) {
        continue;
      }
      NoChoiceReason why_not{};
      const std::optional<ServerChoice> choice =
          this->Choose(request, why_not, true);
      if (choice) {
        queue.Remove(id, true, this->now);
        this->Send(std::move(instance.waiting.extract(id).mapped()), *choice);
      } else if (why_not == NoChoiceReason::kAwaitsAffinity) {
        queue.SetReason(id, WaitReason::kAffinity);
      } else {
        queue.SetReason(id, WaitReason::kCapacity);
        ++failed;
      }
    }
  }
}

void AdmissionFleet::Send(std::unique_ptr<Request> request,
                          const ServerChoice& choice) {
  Instance& instance = *this->instances[*request->instance];
  request->gate->Admit(this->now);
  request->choice = choice;
  instance.placer.RecordSend(request->query, choice, this->now);
  request->sent_at = this->now;
  request->last_token_at = this->now;
  Engine& engine = *this->engines[std::stoul(choice.server.id.substr(1))];
  const int unread = this->ReadPrompt(engine, *request);
  engine.engine.AddStream(request->id, unread,
                          request->query.expected_output_tokens,
                          request->query.route->tier, this->now);
  engine.requests.emplace(request->id, std::move(request));
}

int AdmissionFleet::ReadPrompt(Engine& engine, const Request& request) {
  int unread = 0;
  for (const PromptPart& part : request.query.parts) {
    if (engine.cached_parts.insert(part.id).second) {
      unread += part.tokens;
    }
  }
  return unread;
}

void AdmissionFleet::AdvanceEngine(std::size_t index) {
  Engine& engine = *this->engines[index];
  while (engine.engine.step_end_time() <= this->now) {
    const TimePoint at = engine.engine.step_end_time();
    for (const bench::StreamProgress& progress : engine.engine.FinishStep(at)) {
      Request& request = *engine.requests.at(progress.id);
      Placer& placer = this->instances[*request.instance]->placer;
      if (!request.has_first_event) {
        request.has_first_event = true;
        request.is_late =
            at - request.first_arrived_at > request.query.route->target;
        request.is_late_after_return =
            at - request.arrived_at > request.query.route->target;
        placer.RecordFirstEvent(request.query, *request.choice,
                                at - request.sent_at, at);
      } else if (at - request.last_token_at >
                 *request.query.route->gap_target) {
        request.is_late = true;
        request.is_late_after_return = true;
      }
      request.last_token_at = at;
      if (progress.has_ended) {
        placer.RecordEnd(*request.choice, at - request.sent_at);
        this->ended.push_back(
            std::move(engine.requests.extract(progress.id).mapped()));
      }
    }
  }
}

ClassCounts AdmissionFleet::Counts(std::size_t index, Duration from,
                                   Duration to, Who who) const {
  ClassCounts counts;
  for (const auto& request : this->ended) {
    const Duration arrival = request->first_arrived_at - this->start;
    const bool is_first = request->customer == 0;
    if (request->class_index != index || arrival < from || arrival >= to ||
        (who == Who::kFirstCustomer && !is_first) ||
        (who == Who::kOthers && is_first) ||
        (who == Who::kImpatient && !request->is_impatient) ||
        (who == Who::kPatient && request->is_impatient)) {
      continue;
    }
    ++counts.asked;
    if (request->is_lost) {
      ++counts.lost;
    } else {
      ++(request->is_late ? counts.late : counts.on_time);
      counts.on_time_of_attempt += request->is_late_after_return ? 0 : 1;
    }
    counts.refusals += request->refusals;
    counts.late_refusals += request->late_refusals;
    counts.refused_again += request->refused_again;
    counts.returns += request->returns;
  }
  return counts;
}

int AdmissionFleet::MaxReturnsPerSlice() const {
  int most = 0;
  for (const auto& [slice, count] : this->returns_by_slice) {
    most = std::max(most, count);
  }
  return most;
}

double AdmissionFleet::MeanReturnsPerSlice() const {
  int sum = 0;
  for (const auto& [slice, count] : this->returns_by_slice) {
    sum += count;
  }
  return static_cast<double>(sum) /
         std::max<double>(1,
                          static_cast<double>(this->returns_by_slice.size()));
}

}  // namespace rosemarycove
