#include "engine_fleet.h"

#include <algorithm>
#include <utility>

namespace rosemarycove {
namespace {

using std::chrono::milliseconds;

constexpr Duration kStep = milliseconds(10);
// Callers come back this often, and after this time.
constexpr int kMaxTries = 3;
constexpr Duration kMinReturnTime = milliseconds(300);
constexpr Duration kMaxReturnTime = milliseconds(900);
constexpr int kKvTokens = 470'000;

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

const RoutedService kModel{
    .name = "model", .batch_slots = 64, .kv_capacity_tokens = kKvTokens};

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
  bool is_late = false;
  bool is_refused = false;
};

struct EngineFleet::Engine {
  explicit Engine(const bench::VirtualEngineOptions& options)
      : engine(options) {}

  bench::VirtualEngine engine;
  std::set<std::uint64_t> cached_parts;
  std::map<std::uint64_t, std::unique_ptr<Request>> requests;
};

EngineFleet::EngineFleet(const EngineFleetOptions& options,
                         std::vector<RequestKind> kinds)
    : options(options),
      kinds(std::move(kinds)),
      random(options.seed),
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
    this->placers.push_back(std::make_unique<Placer>(
        PlacerOptions{.data_centre = "here",
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
      if (from == to) {
        continue;
      }
      Placer& receiver = *this->placers[to];
      receiver.ledger().SetPeerLoads(name, sender.ledger().OwnLoads(),
                                     this->now);
      receiver.SetPeerWork(name, partitions, this->now);
      receiver.caches().Merge(sender.caches().untold(), this->now);
      if (from == 0) {
        receiver.FollowPartitions(partitions);
      }
    }
    sender.caches().MarkTold();
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
    const auto subject = std::uniform_int_distribution<std::uint64_t>(
        0, static_cast<std::uint64_t>(traits.subjects - 1))(this->random);
    const std::uint64_t first_part = (kind + 1) << 40U;
    request->query = {
        .route = &traits.route,
        .service = &kModel,
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

void EngineFleet::Place(std::unique_ptr<Request> request) {
  request->instance = std::uniform_int_distribution<std::size_t>(
      0, this->placers.size() - 1)(this->random);
  Placer& placer = *this->placers[request->instance];
  placer.RecordRequest(request->query, this->now);
  NoChoiceReason why_not{};
  request->choice = placer.Choose(request->query, this->now, why_not);
  if (!request->choice) {
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
  placer.RecordSend(request->query, *request->choice, this->now);
  request->sent_at = this->now;
  request->last_token_at = this->now;
  Engine& engine =
      *this->engines[std::stoul(request->choice->server.id.substr(1))];
  const int unread = this->ReadPrompt(engine, *request);
  engine.engine.AddStream(request->id, unread,
                          request->query.expected_output_tokens,
                          request->query.route->tier, this->now);
  engine.requests.emplace(request->id, std::move(request));
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
  while (engine.engine.step_end_time() <= this->now) {
    const TimePoint at = engine.engine.step_end_time();
    for (const bench::StreamProgress& progress : engine.engine.FinishStep(at)) {
      Request& request = *engine.requests.at(progress.id);
      Placer& placer = *this->placers[request.instance];
      if (!request.has_first_event) {
        request.has_first_event = true;
        request.is_late = at - request.arrived_at > request.query.route->target;
        placer.RecordFirstEvent(request.query, *request.choice,
                                at - request.sent_at, at);
      } else if (at - request.last_token_at >
                 *request.query.route->gap_target) {
        request.is_late = true;
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

RequestCounts EngineFleet::Counts(std::size_t kind, Duration from,
                                  Duration to) const {
  RequestCounts counts;
  for (const auto& request : this->ended) {
    const Duration arrival = request->arrived_at - this->start;
    if (request->kind != kind || arrival < from || arrival >= to) {
      continue;
    }
    ++counts.asked;
    if (request->is_refused) {
      ++counts.refused;
    } else {
      ++(request->is_late ? counts.late : counts.on_time);
    }
  }
  return counts;
}

double EngineFleet::ReadAgainShare() const {
  return this->tokens_read <= 0 ? 0
                                : this->tokens_read_again / this->tokens_read;
}

}  // namespace rosemarycove
