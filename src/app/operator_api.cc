#include "app/operator_api.h"

#include <openssl/crypto.h>

#include <charconv>
#include <chrono>
#include <nlohmann/json.hpp>
#include <random>
#include <utility>

#include "app/toml_json.h"
#include "http/http_status.h"
#include "net/clock.h"
#include "wire/json_decoder.h"

namespace rosemarycove {
namespace {

using nlohmann::json;

// Kinds of resources that have a name; limits are one resource without it.
constexpr std::string_view kNamedKinds[] = {"class", "customer", "service",
                                            "backend"};

void Reply(httplib::Response& response, int status, const json& body) {
  response.status = status;
  response.set_content(body.dump(2) + "\n", "application/json");
}

void ReplyError(httplib::Response& response, int status, std::string_view code,
                std::string_view message) {
  Reply(response, status, {{"error", {{"code", code}, {"message", message}}}});
}

bool HasName(std::string_view kind) {
  return std::find(std::begin(kNamedKinds), std::end(kNamedKinds), kind) !=
         std::end(kNamedKinds);
}

std::string MakeChangeId() {
  std::random_device random;
  std::string id = "change-";
  for (int i = 0; i < 4; ++i) {
    id += std::to_string(random()) + (i < 3 ? "-" : "");
  }
  return id;
}

// Finds a resource in a document; null when it is not declared.
toml::table* FindResource(toml::table& document, const std::string& kind,
                          const std::string& name) {
  toml::array* array = document[kind].as_array();
  for (std::size_t i = 0; array != nullptr && i < array->size(); ++i) {
    toml::table* table = array->get_as<toml::table>(i);
    if (table != nullptr && (*table)["name"].value_or(std::string()) == name) {
      return table;
    }
  }
  return nullptr;
}

// Replaces the resources by those of an edited document if it is valid. The
// revision stays.
tl::expected<void, SettingsErrors> ReplaceResources(const toml::table& document,
                                                    ResourceSet& resources) {
  tl::expected<ResourceSet, SettingsErrors> read =
      ReadResources(document, "request");
  if (!read) {
    return tl::unexpected(read.error());
  }
  read->revision = resources.revision;
  resources = std::move(*read);
  return {};
}

// The revision that the request was made for; 0 if it names none.
std::uint64_t ExpectedRevision(const httplib::Request& request) {
  std::string text = request.get_header_value("If-Match");
  std::erase(text, '"');
  std::uint64_t revision = 0;
  std::from_chars(text.data(), text.data() + text.size(), revision);
  return revision;
}

std::string_view ToString(BackendHealth health) {
  switch (health) {
    case BackendHealth::kHealthy:
      return "healthy";
    case BackendHealth::kEjected:
      return "ejected";
    case BackendHealth::kTrial:
      return "trial";
  }
  return "invalid";
}

// The state of a backend server that the scheduler knows, else an empty object.
json DescribeBackend(const Scheduler& scheduler, const std::string& name) {
  for (std::size_t i = 0; i < scheduler.backend_count(); ++i) {
    const auto& state = scheduler.backend(static_cast<BackendIndex>(i));
    if (state.backend().name == name) {
      return {{"health", ToString(state.health())},
              {"own_running", state.own_running()},
              {"estimated_running", state.EstimatedRunning()},
              {"slowness", state.slowness()}};
    }
  }
  return json::object();
}

// The attainment of a class over the last minutes.
json DescribeClass(const Metrics& metrics, const std::string& name) {
  const TimePoint now = MonotonicNow();
  json state = json::object();
  for (const int minutes : {1, 10, 60}) {
    const AttainmentCount count =
        metrics.AttainmentOf(name, std::chrono::minutes(minutes), now);
    state[std::to_string(minutes) + "m"] = {{"ended", count.ended},
                                            {"on_target", count.on_target},
                                            {"attainment", count.Share()}};
  }
  return {{"attainment", state}};
}

}  // namespace

OperatorApi::OperatorApi(OperatorApiOptions options, HttpServer& server,
                         NodeHost& host, Metrics& metrics,
                         ConfigurationManager* configuration,
                         PeerService* peers)
    : options(std::move(options)),
      host(host),
      metrics(metrics),
      configuration(configuration),
      peers(peers) {
  constexpr char kResourcePath[] =
      R"(/operator/v1/(class|customer|service|backend|limits)/([^/]+))";
  constexpr char kKindPath[] =
      R"(/operator/v1/(class|customer|service|backend|limits))";
  server.Get("/operator/v1/resources",
             this->RequireToken(&OperatorApi::GetResources));
  server.Put("/operator/v1/resources",
             this->RequireToken(&OperatorApi::PutResources));
  server.Get(kKindPath, this->RequireToken(&OperatorApi::GetKind));
  server.Get(kResourcePath, this->RequireToken(&OperatorApi::GetResource));
  server.Put(kResourcePath, this->RequireToken(&OperatorApi::PutResource));
  server.Delete(kResourcePath,
                this->RequireToken(&OperatorApi::DeleteResource));
  server.Get(R"(/operator/v1/changes/([^/]+))",
             this->RequireToken(&OperatorApi::GetChange));
  server.Get("/operator/v1/status",
             this->RequireToken(&OperatorApi::GetStatus));
  server.Get("/metrics", [this](const httplib::Request& request,
                                httplib::Response& response) {
    this->GetMetrics(request, response);
  });
}

httplib::Server::Handler OperatorApi::RequireToken(Handler handler) {
  return [this, handler](const httplib::Request& request,
                         httplib::Response& response) {
    const std::string actual = request.get_header_value("Authorization");
    const std::string expected = "Bearer " + this->options.token;
    // The comparison takes the same time wherever the tokens differ.
    if (actual.size() != expected.size() ||
        CRYPTO_memcmp(actual.data(), expected.data(), expected.size()) != 0) {
      ReplyError(response, http_status::kUnauthorized, "wrong_token",
                 "the operator token is required: Authorization: Bearer TOKEN");
      return;
    }
    (this->*handler)(request, response);
  };
}

void OperatorApi::GetResources(const httplib::Request& request,
                               httplib::Response& response) {
  const std::shared_ptr<const ResourceSet> resources = this->host.resources();
  if (!resources) {
    ReplyError(response, http_status::kUnavailable, "not_ready",
               "no configuration yet");
    return;
  }
  response.set_header("ETag",
                      "\"" + std::to_string(resources->revision) + "\"");
  const toml::table document = WriteResources(*resources);
  if (request.get_header_value("Accept") == "application/json") {
    response.set_content(ToJsonText(document) + "\n", "application/json");
  } else {
    response.set_content(ToTomlText(document) + "\n", "application/toml");
  }
}

void OperatorApi::PutResources(const httplib::Request& request,
                               httplib::Response& response) {
  this->Change(
      request, response,
      [&](ResourceSet& resources) -> tl::expected<void, SettingsErrors> {
        auto read = ParseResources(request.body, "request");
        if (!read) {
          return tl::unexpected(read.error());
        }
        read->revision = resources.revision;
        resources = std::move(*read);
        return {};
      });
}

void OperatorApi::GetKind(const httplib::Request& request,
                          httplib::Response& response) {
  const std::shared_ptr<const ResourceSet> resources = this->host.resources();
  if (!resources) {
    ReplyError(response, http_status::kUnavailable, "not_ready",
               "no configuration yet");
    return;
  }
  const std::string kind = request.matches[1];
  const toml::table document = WriteResources(*resources);
  Reply(
      response, 200,
      {{"revision", resources->revision}, {kind, ToJson(*document.get(kind))}});
}

void OperatorApi::GetResource(const httplib::Request& request,
                              httplib::Response& response) {
  const std::shared_ptr<const ResourceSet> resources = this->host.resources();
  if (!resources) {
    ReplyError(response, http_status::kUnavailable, "not_ready",
               "no configuration yet");
    return;
  }
  const std::string kind = request.matches[1];
  const std::string name = request.matches[2];
  toml::table document = WriteResources(*resources);
  const toml::table* found = FindResource(document, kind, name);
  if (found == nullptr) {
    ReplyError(response, http_status::kNotFound, "not_found",
               kind + " " + name + " is not declared");
    return;
  }
  json state = json::object();
  if (kind == "class") {
    state = DescribeClass(this->metrics, name);
  } else if (kind == "backend") {
    this->host.Inspect([&](const Node& node) {
      state = DescribeBackend(node.scheduler(), name);
    });
  }
  response.set_header("ETag",
                      "\"" + std::to_string(resources->revision) + "\"");
  Reply(response, http_status::kOk,
        {{"revision", resources->revision},
         {kind, ToJson(*found)},
         {"state", state}});
}

void OperatorApi::PutResource(const httplib::Request& request,
                              httplib::Response& response) {
  const std::string kind = request.matches[1];
  const std::string name = request.matches[2];
  json body = JsonDecoder().Parse(request.body).value_or(json());
  if (!body.is_object()) {
    ReplyError(response, http_status::kBadRequest, "bad_request",
               "the body is not a JSON object");
    return;
  }
  if (HasName(kind) && body.contains("name") && body["name"] != name) {
    ReplyError(response, http_status::kBadRequest, "bad_request",
               "the names in the body and in the path differ");
    return;
  }
  this->Change(
      request, response,
      [&](ResourceSet& resources) -> tl::expected<void, SettingsErrors> {
        toml::table document = WriteResources(resources);
        if (!HasName(kind)) {
          document.insert_or_assign(kind, ToTomlTable(body));
          return ReplaceResources(document, resources);
        }
        body["name"] = name;
        toml::table table = ToTomlTable(body);
        if (toml::table* existing = FindResource(document, kind, name)) {
          *existing = std::move(table);
        } else {
          document[kind].as_array()->push_back(std::move(table));
        }
        return ReplaceResources(document, resources);
      });
}

void OperatorApi::DeleteResource(const httplib::Request& request,
                                 httplib::Response& response) {
  const std::string kind = request.matches[1];
  const std::string name = request.matches[2];
  this->Change(
      request, response,
      [&](ResourceSet& resources) -> tl::expected<void, SettingsErrors> {
        toml::table document = WriteResources(resources);
        toml::array* array = document[kind].as_array();
        for (std::size_t i = 0; array != nullptr && i < array->size(); ++i) {
          const toml::table& table = *array->get_as<toml::table>(i);
          if (table["name"].value_or(std::string()) == name) {
            array->erase(array->cbegin() + static_cast<std::ptrdiff_t>(i));
            return ReplaceResources(document, resources);
          }
        }
        return tl::unexpected(SettingsErrors{{.file = "request",
                                              .line = 0,
                                              .key = kind + "." + name,
                                              .message = "is not declared"}});
      });
}

void OperatorApi::Change(const httplib::Request& request,
                         httplib::Response& response,
                         const ResourceEdit& edit) {
  if (this->configuration == nullptr) {
    ReplyError(response, http_status::kConflict, "runs_alone",
               "this instance runs without a store; change its settings file");
    return;
  }
  std::string change_id = request.get_header_value("X-Change-Id");
  if (change_id.empty()) {
    change_id = MakeChangeId();
  }
  const std::string url = "/operator/v1/changes/" + change_id;
  const tl::expected<std::uint64_t, ChangeError> changed =
      this->configuration->Change(change_id, ExpectedRevision(request), edit);
  if (changed) {
    Reply(response, http_status::kOk,
          {{"change", change_id},
           {"url", url},
           {"state", "accepted"},
           {"revision", *changed}});
    return;
  }
  const ChangeError& error = changed.error();
  json faults = json::array();
  for (const SettingsError& fault : error.faults) {
    faults.push_back(
        {{"line", fault.line}, {"key", fault.key}, {"message", fault.message}});
  }
  switch (error.kind) {
    case ChangeErrorKind::kInvalid:
      Reply(response, http_status::kUnprocessable,
            {{"error", {{"code", "invalid"}, {"message", error.message}}},
             {"faults", faults}});
      return;
    case ChangeErrorKind::kConflict:
      Reply(response, http_status::kConflict,
            {{"error", {{"code", "conflict"}, {"message", error.message}}},
             {"revision", error.revision}});
      return;
    case ChangeErrorKind::kUnavailable:
      response.set_header("Retry-After", "2");
      ReplyError(response, http_status::kUnavailable, "store_unavailable",
                 error.message + "; nothing was changed");
      return;
    case ChangeErrorKind::kUnknown:
      Reply(response, http_status::kAccepted,
            {{"change", change_id},
             {"url", url},
             {"state", "unknown"},
             {"message", error.message}});
      return;
  }
}

void OperatorApi::GetChange(const httplib::Request& request,
                            httplib::Response& response) {
  if (this->configuration == nullptr) {
    ReplyError(response, http_status::kNotFound, "runs_alone",
               "this instance runs without a store and accepts no changes");
    return;
  }
  const std::string change_id = request.matches[1];
  const tl::expected<std::uint64_t, ChangeError> accepted =
      this->configuration->RevisionOf(change_id);
  if (!accepted || *accepted == 0) {
    Reply(
        response, 200,
        {{"change", change_id}, {"state", accepted ? "not_seen" : "unknown"}});
    return;
  }
  RolloutStatus rollout{
      .in_force = this->configuration->revision() >= *accepted,
      .instances_known = true,
      .unconfirmed = {}};
  if (this->peers != nullptr) {
    rollout = this->peers->RolloutOf(*accepted);
  }
  Reply(response, http_status::kOk,
        {{"change", change_id},
         {"revision", *accepted},
         {"state", rollout.in_force ? "in_force" : "accepted"},
         {"instances_known", rollout.instances_known},
         {"unconfirmed", rollout.unconfirmed}});
}

void OperatorApi::GetStatus(const httplib::Request& /*request*/,
                            httplib::Response& response) {
  json status = {{"instance", this->options.instance},
                 {"ready", this->host.ready()},
                 {"classes", json::array()},
                 {"backends", json::array()}};
  if (this->configuration != nullptr) {
    status["store_age_s"] = ToSeconds(this->configuration->TimeSinceResponse());
  }
  if (this->peers != nullptr) {
    const PeerTraffic traffic = this->peers->Traffic();
    status["peer_bytes_sent"] = traffic.bytes_sent;
    status["peer_bytes_received"] = traffic.bytes_received;
    status["peer_frames_sent"] = traffic.frames_sent;
    status["peers"] = json::array();
    for (const PeerState& peer : this->peers->Peers()) {
      status["peers"].push_back({{"name", peer.name},
                                 {"data_centre", peer.data_centre},
                                 {"revision", peer.configuration_revision},
                                 {"leaving", peer.is_draining}});
    }
  }
  const std::shared_ptr<const ResourceSet> resources = this->host.resources();
  status["revision"] = resources ? json(resources->revision) : json();
  this->host.Inspect([&](const Node& node) {
    const NodeCounters& counters = node.counters();
    status["waiting"] = node.waiting_count();
    status["running"] = node.running_count();
    status["counters"] = {{"arrived", counters.arrived},
                          {"completed", counters.completed},
                          {"refused", counters.refused},
                          {"failed", counters.failed},
                          {"cancelled", counters.cancelled},
                          {"unknown", counters.unknown},
                          {"retries", counters.retries},
                          {"wasted_tokens", counters.wasted_tokens}};
    for (std::size_t i = 0; resources && i < resources->backends.size(); ++i) {
      const std::string& name = resources->backends[i].name;
      json state = DescribeBackend(node.scheduler(), name);
      state["name"] = name;
      status["backends"].push_back(state);
    }
  });
  for (std::size_t i = 0; resources && i < resources->classes.size(); ++i) {
    const RequestClass& request_class = resources->classes[i];
    json state = DescribeClass(this->metrics, request_class.name);
    state["name"] = request_class.name;
    state["tier"] = request_class.tier;
    status["classes"].push_back(state);
  }
  Reply(response, http_status::kOk, status);
}

void OperatorApi::GetMetrics(const httplib::Request& /*request*/,
                             httplib::Response& response) {
  std::size_t waiting = 0;
  std::size_t running = 0;
  this->host.Inspect([&](const Node& node) {
    waiting = node.waiting_count();
    running = node.running_count();
  });
  response.set_content(
      this->metrics.ToPrometheus(MonotonicNow(), waiting, running),
      "text/plain; version=0.0.4");
}

}  // namespace rosemarycove
