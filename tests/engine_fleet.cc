#include "engine_fleet.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace rosemarycove {
namespace {

using std::chrono::milliseconds;

constexpr Duration kStep = milliseconds(10);
// Callers come back this often, and after this time.
constexpr int kMaxTries = 3;
constexpr Duration kMinReturnTime = milliseconds(300);
constexpr Duration kMaxReturnTime = milliseconds(900);
// Attempts of a request whose servers are out of reach.
constexpr int kMaxAttempts = 3;
// Bytes of a request for each token of its prompt, of a response for each of
// its tokens, and of the head and the framing of both.
constexpr double kKilobytesPerPromptToken = 0.001;
constexpr double kKilobytesPerOutputToken = 0.012;
constexpr double kKilobytesPerRequest = 0.8;

std::string CentreName(int centre) {
  return centre == 0 ? "here" : "dc" + std::to_string(centre);
}

class EngineDecoder : public ServerDecoder {
 public:
  EngineDecoder(int slots, int data_centres)
      : slots(slots), data_centres(data_centres) {}

  [[nodiscard]] tl::expected<RegisteredServer, std::string> Decode(
      const SharedDocument& document) const override {
    return RegisteredServer{
        .id = document.key,
        .incarnation = 1,
        .service = "model",
        .address = "a-" + document.key,
        .data_centre =
            CentreName(std::stoi(document.key.substr(1)) % this->data_centres),
        .slots = this->slots};
  }

 private:
  int slots;
  int data_centres;
};

}  // namespace

struct EngineFleet::Request {
  std::size_t kind = 0;
  std::uint64_t id = 0;
  TimePoint arrived_at;
  int tries = 0;
  PlacementQuery query;
  std::size_t instance = 0;
  std::optional<ServerChoice> choice;
  TimePoint sent_at;
  TimePoint last_token_at;
  bool has_first_event = false;
  Duration first_event{};
  Duration longest_gap{};
  int events = 0;
  bool is_late = false;
  bool is_late_gap = false;
  bool is_refused = false;
};

struct EngineFleet::Engine {
  explicit Engine(const bench::VirtualEngineOptions& options)
      : engine(options) {}

  bench::VirtualEngine engine;
  double speed = 1;
  int kv_tokens = 0;
  std::set<std::uint64_t> cached_parts;
  std::map<std::uint64_t, std::unique_ptr<Request>> requests;
};

EngineFleet::EngineFleet(const EngineFleetOptions& options,
                         std::vector<RequestKind> kinds)
    : options(options),
      kinds(std::move(kinds)),
      random(options.seed),
      decoder(
          std::make_unique<EngineDecoder>(options.slots, options.data_centres)),
      directory(std::make_unique<BackendDirectory>(*this->decoder)) {
  std::vector<SharedDocument> documents;
  for (int i = 0; i < options.engines; ++i) {
    documents.push_back({.key = "e" + std::to_string(i),
                         .revision = static_cast<std::uint64_t>(i + 1),
                         .value = "engine"});
    bench::VirtualEngineOptions engine = options.engine;
    engine.max_streams = options.slots;
    this->engines.push_back(std::make_unique<Engine>(engine));
    if (!options.speeds.empty()) {
      this->engines.back()->speed =
          options.speeds[static_cast<std::size_t>(i / options.data_centres) %
                         options.speeds.size()];
    }
  }
  this->service = {.name = "model",
                   .batch_slots = options.slots,
                   .kv_capacity_tokens = options.kv_tokens,
                   .tokens_per_event = options.tokens_per_event};
  for (const RequestKind& kind : this->kinds) {
    std::vector<double> weights;
    for (int rank = 1; rank <= kind.subjects; ++rank) {
      weights.push_back(std::pow(rank, -kind.subject_skew));
    }
    this->subject_pickers.emplace_back(weights.begin(), weights.end());
  }
  this->directory->Replace(documents, 100, this->now, this->now);
  for (int i = 0; i < options.instances; ++i) {
    this->placers.push_back(std::make_unique<Placer>(
        PlacerOptions{.data_centre = CentreName(i % options.data_centres),
                      .instance = "i" + std::to_string(i)},
        *this->directory));
    this->placers.back()->SetFleet(options.instances, options.report_interval);
  }
}

EngineFleet::~EngineFleet() = default;

void EngineFleet::Run(Duration duration) {
  const TimePoint end = this->now + duration;
  for (; this->now < end; this->now += kStep) {
    this->Report();
    this->ComeBack();
    for (std::size_t kind = 0; kind < this->kinds.size(); ++kind) {
      this->Arrive(kind);
    }
    for (std::size_t i = 0; i < this->engines.size(); ++i) {
      this->AdvanceEngine(i);
    }
  }
}

void EngineFleet::Report() {
  const auto round = [this](std::size_t from, TimePoint at) {
    const Duration shift = this->options.report_interval *
                           static_cast<int>(from) /
                           static_cast<int>(this->placers.size());
    return (at.time_since_epoch() + shift) / this->options.report_interval;
  };
  for (std::size_t from = 0; from < this->placers.size(); ++from) {
    if (round(from, this->now) == round(from, this->now - kStep)) {
      continue;
    }
    const std::string name = "i" + std::to_string(from);
    Placer& sender = *this->placers[from];
    const auto partitions = sender.Partitions(this->now);
    for (std::size_t to = 0; to < this->placers.size(); ++to) {
      if (from == to || this->IsCut(this->CentreOf(from), this->CentreOf(to))) {
        continue;
      }
      Placer& receiver = *this->placers[to];
      receiver.ledger().SetPeerLoads(name, sender.ledger().OwnLoads(),
                                     this->now);
      receiver.SetPeerWork(name, partitions, this->now);
      receiver.caches().Merge(sender.caches().untold(), this->now);
      receiver.engine_speed().Merge(sender.engine_speed().Untold(), this->now);
      if (from == 0) {
        receiver.FollowPartitions(partitions);
      }
    }
    sender.caches().MarkTold();
    sender.engine_speed().MarkTold();
  }
}

void EngineFleet::Arrive(std::size_t kind) {
  const RequestKind& traits = this->kinds[kind];
  const double rate = traits.rate(this->now - this->start);
  const int count =
      std::poisson_distribution<int>(rate * ToSeconds(kStep))(this->random);
  for (int i = 0; i < count; ++i) {
    auto request = std::make_unique<Request>();
    request->kind = kind;
    request->id = this->next_id++;
    request->arrived_at = this->now;
    const auto subject = traits.subject_skew > 0
                             ? this->subject_pickers[kind](this->random)
                             : std::uniform_int_distribution<std::uint64_t>(
                                   0, static_cast<std::uint64_t>(
                                          traits.subjects - 1))(this->random);
    const std::uint64_t first_part = (kind + 1) << 40U;
    request->query = {
        .route = &traits.route,
        .service = &this->service,
        // The tier of the customers.
        .tier = 1,
        .parts = {{.id = first_part, .tokens = traits.common_tokens},
                  {.id = first_part + 1 + subject,
                   .tokens = traits.subject_tokens},
                  {.id = (std::uint64_t{1} << 60U) + request->id,
                   .tokens = traits.own_tokens}},
        .prompt_tokens =
            traits.common_tokens + traits.subject_tokens + traits.own_tokens,
        .expected_output_tokens = traits.output_tokens,
        .tolerates_pauses = traits.tolerates_pauses,
        .shortest_target = this->kinds.front().route.target};
    this->Place(std::move(request));
  }
}

void EngineFleet::ComeBack() {
  while (!this->returning.empty() &&
         this->returning.begin()->first <= this->now) {
    auto node = this->returning.extract(this->returning.begin());
    this->Place(std::move(node.mapped()));
  }
}

std::size_t EngineFleet::PickInstance(const RequestKind& traits) {
  std::vector<double> weights;
  for (int centre = 0;
       traits.centre_share && centre < this->options.data_centres; ++centre) {
    weights.push_back(traits.centre_share(this->now - this->start, centre));
  }
  if (weights.empty()) {
    return std::uniform_int_distribution<std::size_t>(
        0, this->placers.size() - 1)(this->random);
  }
  const auto centre = std::discrete_distribution<std::size_t>(
      weights.begin(), weights.end())(this->random);
  const std::size_t centres = weights.size();
  const std::size_t count =
      (this->placers.size() + centres - 1 - centre) / centres;
  return centre + centres * std::uniform_int_distribution<std::size_t>(
                                0, count - 1)(this->random);
}

bool EngineFleet::IsCut(int centre, int other_centre) const {
  if (!this->options.cut_centre || centre == other_centre) {
    return false;
  }
  const int cut = this->options.cut_centre(this->now - this->start);
  return centre == cut || other_centre == cut;
}

double EngineFleet::NoiseOf(std::size_t engine) const {
  const std::string id = "e" + std::to_string(engine);
  // The periods of different engines begin at different times.
  const Duration shift = FromSeconds(UnitScore(this->options.seed, id) *
                                     ToSeconds(this->options.noise_period));
  const auto period = static_cast<std::uint64_t>(
      (this->now.time_since_epoch() + shift) / this->options.noise_period);
  return UnitScore(period * 1000 + this->options.seed, id) <
                 this->options.noise_share
             ? this->options.noise_factor
             : 1;
}

void EngineFleet::Place(std::unique_ptr<Request> request) {
  request->instance = this->PickInstance(this->kinds[request->kind]);
  this->placers[request->instance]->RecordRequest(request->query, this->now);
  if (!this->TrySend(*request)) {
    if (++request->tries < kMaxTries) {
      const double share =
          std::uniform_real_distribution<double>(0, 1)(this->random);
      this->returning.emplace(
          this->now + kMinReturnTime +
              FromSeconds(share * ToSeconds(kMaxReturnTime - kMinReturnTime)),
          std::move(request));
    } else {
      request->is_refused = true;
      this->ended.push_back(std::move(request));
    }
    return;
  }
  request->sent_at = this->now;
  request->last_token_at = this->now;
  const std::size_t index = std::stoul(request->choice->server.id.substr(1));
  constexpr std::uint64_t kHashFactor = 1099511628211U;
  this->placement_hash =
      (this->placement_hash ^ (request->id * this->engines.size() + index)) *
      kHashFactor;
  Engine& engine = *this->engines[index];
  const int unread = this->ReadPrompt(engine, *request);
  engine.kv_tokens +=
      request->query.prompt_tokens + request->query.expected_output_tokens;
  this->max_memory_share =
      std::max(this->max_memory_share,
               static_cast<double>(engine.kv_tokens) / this->options.kv_tokens);
  if (this->CentreOf(index) != this->CentreOf(request->instance)) {
    ++this->entered[{this->CentreOf(index), this->now.time_since_epoch() /
                                                this->options.report_interval}];
  }
  engine.engine.AddStream(request->id, unread,
                          request->query.expected_output_tokens,
                          request->query.route->tier, this->now);
  engine.requests.emplace(request->id, std::move(request));
  this->max_load =
      std::max(this->max_load, static_cast<int>(engine.requests.size()));
}

bool EngineFleet::TrySend(Request& request) {
  Placer& placer = *this->placers[request.instance];
  request.query.tried_servers.clear();
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    NoChoiceReason why_not{};
    request.choice = placer.Choose(request.query, this->now, why_not);
    if (!request.choice) {
      return false;
    }
    placer.RecordSend(request.query, *request.choice, this->now);
    const std::string& id = request.choice->server.id;
    if (!this->IsCut(this->CentreOf(request.instance),
                     this->CentreOf(std::stoul(id.substr(1))))) {
      return true;
    }
    placer.RecordResult(*request.choice, SendResult::kUnreachable, this->now);
    placer.RecordEnd(*request.choice, Duration{});
    request.query.tried_servers.push_back(id);
  }
  return false;
}

int EngineFleet::ReadPrompt(Engine& engine, const Request& request) {
  int unread = 0;
  for (const PromptPart& part : request.query.parts) {
    if (engine.cached_parts.insert(part.id).second) {
      unread += part.tokens;
      if (!this->parts_read.insert(part.id).second) {
        this->tokens_read_again += part.tokens;
      }
    }
  }
  this->tokens_read += unread;
  return unread;
}

void EngineFleet::AdvanceEngine(std::size_t index) {
  Engine& engine = *this->engines[index];
  engine.engine.set_slow_factor(this->NoiseOf(index) / engine.speed);
  while (engine.engine.step_end_time() <= this->now) {
    const TimePoint at = engine.engine.step_end_time();
    for (const bench::StreamProgress& progress : engine.engine.FinishStep(at)) {
      Request& request = *engine.requests.at(progress.id);
      if (progress.has_ended ||
          progress.tokens % this->options.tokens_per_event == 0) {
        this->RecordEvent(index, request, at);
      }
      if (progress.has_ended) {
        if (request.events >= 3) {
          this->placers[request.instance]->RecordGaps(
              request.query, *request.choice,
              {.mean = (at - request.arrived_at - request.first_event) /
                       (request.events - 1),
               .longest = request.longest_gap},
              at);
        }
        this->placers[request.instance]->RecordEnd(*request.choice,
                                                   at - request.sent_at);
        engine.kv_tokens -=
            request.query.prompt_tokens + request.query.expected_output_tokens;
        this->ended.push_back(
            std::move(engine.requests.extract(progress.id).mapped()));
      }
    }
  }
}

void EngineFleet::RecordEvent(std::size_t engine, Request& request,
                              TimePoint at) {
  Placer& placer = *this->placers[request.instance];
  ++request.events;
  if (!request.has_first_event) {
    request.has_first_event = true;
    request.first_event = at - request.arrived_at;
    request.is_late = request.first_event > request.query.route->target;
    if (this->options.others_state_slowdown) {
      placer.ObserveSlowdown({.id = "other", .service = "other"},
                             this->NoiseOf(engine), at);
    }
    if (this->options.states_slowdown) {
      const double speed = this->engines[engine]->speed;
      placer.ObserveSlowdown(
          request.choice->server,
          this->NoiseOf(engine) / (this->options.states_speed ? speed : 1), at);
    }
    placer.RecordFirstEvent(request.query, *request.choice,
                            at - request.sent_at, at);
  } else {
    request.longest_gap =
        std::max(request.longest_gap, at - request.last_token_at);
    request.is_late_gap =
        request.longest_gap > *request.query.route->gap_target;
  }
  request.last_token_at = at;
}

RequestCounts EngineFleet::Counts(std::size_t kind, Duration from,
                                  Duration to) const {
  RequestCounts counts;
  double first_sum = 0;
  double gap_sum = 0;
  for (const auto& request : this->ended) {
    const Duration arrival = request->arrived_at - this->start;
    if (request->kind != kind || arrival < from || arrival >= to) {
      continue;
    }
    ++counts.asked;
    if (request->is_refused) {
      ++counts.refused;
      continue;
    }
    ++(request->is_late || request->is_late_gap ? counts.late : counts.on_time);
    counts.late_first += request->is_late ? 1 : 0;
    counts.late_gap += request->is_late_gap ? 1 : 0;
    first_sum += ToSeconds(request->first_event);
    gap_sum += ToSeconds(request->longest_gap);
    const std::size_t engine = std::stoul(request->choice->server.id.substr(1));
    ++(this->engines[engine]->speed > 1 ? counts.per_fast_engine
                                        : counts.per_slow_engine);
    if (this->CentreOf(engine) != this->CentreOf(request->instance)) {
      ++counts.left;
      counts.left_kilobytes +=
          kKilobytesPerRequest +
          kKilobytesPerPromptToken * request->query.prompt_tokens +
          kKilobytesPerOutputToken * request->query.expected_output_tokens;
    }
  }
  const double served = std::max(1, counts.on_time + counts.late);
  counts.mean_first = FromSeconds(first_sum / served);
  counts.mean_longest_gap = FromSeconds(gap_sum / served);
  const auto fast = static_cast<double>(
      std::count_if(this->engines.begin(), this->engines.end(),
                    [](const auto& engine) { return engine->speed > 1; }));
  counts.per_fast_engine /= std::max(1.0, fast);
  counts.per_slow_engine /=
      std::max(1.0, static_cast<double>(this->engines.size()) - fast);
  return counts;
}

int EngineFleet::MaxEnteredPerInterval() const {
  int most = 0;
  for (const auto& [key, count] : this->entered) {
    most = std::max(most, count);
  }
  return most;
}

double EngineFleet::ReadAgainShare() const {
  return this->tokens_read <= 0 ? 0
                                : this->tokens_read_again / this->tokens_read;
}

}  // namespace rosemarycove
