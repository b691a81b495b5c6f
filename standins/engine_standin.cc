#include "standins/engine_standin.h"

#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

namespace standins {
namespace {

using nlohmann::json;

constexpr std::size_t kEndlessLineBytes = 1U << 20U;

std::string MakeEvent(const json& data) {
  return "data: " + data.dump() + "\n\n";
}

}  // namespace

EngineStandin::EngineStandin(EngineOptions options)
    : options(std::move(options)) {
  this->server->Post(
      "/v1/chat/completions",
      [this](const httplib::Request& request, httplib::Response& response) {
        this->HandleChat(request, response);
      });
  this->server->Get("/load", [this](const httplib::Request& /*request*/,
                                    httplib::Response& response) {
    this->HandleLoad(response);
  });
}

EngineStandin::~EngineStandin() {
  this->is_stopping = true;
  this->Stop();
}

void EngineStandin::HandleLoad(httplib::Response& response) {
  const json load = {{"running", this->running_count.load()},
                     {"age_ms", this->switches.Value("load_lag_ms", 0)}};
  response.set_content(load.dump(), "application/json");
}

void EngineStandin::WaitTokenTime() {
  const double factor = this->switches.Value("slow", 1);
  const auto time =
      this->options.token_time_base +
      this->options.token_time_per_stream * this->running_count.load();
  std::this_thread::sleep_for(time * factor);
}

void EngineStandin::Stall() {
  while (!this->is_stopping) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
}

bool EngineStandin::SendToken(httplib::DataSink& sink, int index, int count,
                              const std::string& id) {
  if (index == count / 2) {
    if (this->switches.Consume("crash")) {
      StandinServer::CutConnection();
      return false;
    }
    if (this->switches.Consume("stall")) {
      this->Stall();
      return false;
    }
    if (this->switches.Consume("garbage")) {
      const std::string garbage = "\x01\x02 this is no event\n\n";
      return sink.write(garbage.data(), garbage.size());
    }
    if (this->switches.Consume("endless_line")) {
      const std::string line = "data: " + std::string(kEndlessLineBytes, 'x');
      return sink.write(line.data(), line.size());
    }
  }
  this->WaitTokenTime();
  const std::string padding(
      static_cast<std::size_t>(this->switches.Value("token_bytes", 0)), 'p');
  const std::string content = "t" + std::to_string(index) + " " + padding;
  const std::string event = MakeEvent(
      {{"id", id},
       {"object", "chat.completion.chunk"},
       {"choices", {{{"index", 0}, {"delta", {{"content", content}}}}}}});
  return !this->is_stopping && sink.write(event.data(), event.size());
}

void EngineStandin::HandleChat(const httplib::Request& request,
                               httplib::Response& response) {
  const json body = json::parse(request.body, nullptr, false);
  std::string id = request.get_header_value("X-Request-Id");
  if (this->switches.Consume("wrong_id")) {
    id = "someone-else-1";
  }
  response.set_header("X-Request-Id", id);
  if (this->switches.Consume("busy")) {
    response.status = 503;
    response.set_header("X-Ran", "no");
    return;
  }
  if (this->switches.Consume("error")) {
    response.status = 500;
    response.set_content(R"({"error":{"message":"engine fault"}})",
                         "application/json");
    return;
  }
  ++this->started_count;
  ++this->running_count;
  const int count = body.value("max_tokens", this->options.default_tokens);
  if (!body.value("stream", false)) {
    std::string text;
    for (int i = 0; i < count && !this->is_stopping; ++i) {
      this->WaitTokenTime();
      text += "t" + std::to_string(i) + " ";
    }
    --this->running_count;
    if (this->switches.Consume("crash")) {
      StandinServer::CutConnection();
      return;
    }
    const bool garbage = this->switches.Consume("garbage");
    const json completion = {
        {"id", id},
        {"object", "chat.completion"},
        {"choices",
         {{{"index", 0},
           {"message", {{"role", "assistant"}, {"content", text}}},
           {"finish_reason", "stop"}}}},
        {"usage", {{"completion_tokens", count}}}};
    response.set_content(garbage ? "no json" : completion.dump(),
                         "application/json");
    return;
  }
  response.set_chunked_content_provider(
      "text/event-stream",
      [this, id, count, index = 0](size_t /*offset*/,
                                   httplib::DataSink& sink) mutable {
        if (index < count) {
          return this->SendToken(sink, index++, count, id);
        }
        if (!this->switches.Consume("no_final")) {
          const std::string done = "data: [DONE]\n\n";
          sink.write(done.data(), done.size());
        }
        sink.done();
        return true;
      },
      [this](bool /*success*/) { --this->running_count; });
}

}  // namespace standins
