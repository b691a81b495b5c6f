#include "app/command_line.h"

#include <httplib.h>
#include <pthread.h>

#include <CLI/CLI.hpp>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>

#include "app/instance.h"
#include "app/settings.h"
#include "app/version.h"
#include "http/http_status.h"

namespace rosemarycove {
namespace {

using nlohmann::json;

// The instance that an operator command connects to.
struct OperatorTarget {
  std::string address = "127.0.0.1:8081";
  std::string token;
};

void PrintErrors(const SettingsErrors& errors) {
  for (const SettingsError& error : errors) {
    std::cerr << error.ToString() << "\n";
  }
}

// Waits for SIGTERM or SIGINT, which BlockSignals blocks in every thread.
int WaitForStopSignal() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  int signal = 0;
  sigwait(&signals, &signal);
  return signal;
}

// Returns true when a further SIGTERM or SIGINT is pending.
bool IsStopSignalPending() {
  sigset_t pending;
  sigpending(&pending);
  return sigismember(&pending, SIGTERM) == 1 ||
         sigismember(&pending, SIGINT) == 1;
}

void BlockSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

ExitStatus Serve(const std::string& file) {
  tl::expected<Settings, SettingsErrors> settings = LoadSettings(file);
  if (!settings) {
    PrintErrors(settings.error());
    return ExitStatus::kInvalid;
  }
  BlockSignals();
  Instance instance(std::move(*settings));
  if (!instance.Start()) {
    std::_Exit(static_cast<int>(ExitStatus::kFailed));
  }
  WaitForStopSignal();
  if (!instance.Drain(IsStopSignalPending)) {
    std::_Exit(static_cast<int>(ExitStatus::kCutOff));
  }
  return ExitStatus::kOk;
}

ExitStatus Check(const std::string& file) {
  const tl::expected<std::string, SettingsErrors> text = ReadFile(file);
  if (!text) {
    PrintErrors(text.error());
    return ExitStatus::kInvalid;
  }
  const bool is_settings = text->find("[instance]") != std::string::npos;
  SettingsErrors errors;
  if (is_settings) {
    const auto settings = ParseSettings(*text, file);
    errors = settings ? SettingsErrors() : settings.error();
  } else {
    const auto resources = ParseResources(*text, file);
    errors = resources ? SettingsErrors() : resources.error();
  }
  if (!errors.empty()) {
    PrintErrors(errors);
    return ExitStatus::kInvalid;
  }
  std::cout << file << ": " << (is_settings ? "settings" : "resources")
            << " are valid\n";
  return ExitStatus::kOk;
}

// HTTP client of one instance's operator API.
class OperatorClient {
 public:
  explicit OperatorClient(const OperatorTarget& target)
      : client("http://" + target.address),
        headers({{"Authorization", "Bearer " + target.token},
                 {"Accept", "application/json"}}) {}

  httplib::Result Get(const std::string& path) {
    return this->client.Get(path, this->headers);
  }

  httplib::Result Put(const std::string& path, const std::string& body,
                      const std::string& revision) {
    httplib::Headers put_headers = this->headers;
    if (!revision.empty()) {
      put_headers.emplace("If-Match", revision);
    }
    return this->client.Put(path, put_headers, body, "application/toml");
  }

 private:
  httplib::Client client;
  httplib::Headers headers;
};

// Prints an unsuccessful response to standard error. Returns the exit status
// that corresponds to the response.
ExitStatus CheckResponse(const httplib::Result& result) {
  if (!result) {
    std::cerr << "the instance can't be reached: "
              << httplib::to_string(result.error()) << "\n";
    return ExitStatus::kUnreachable;
  }
  if (result->status == http_status::kAccepted) {
    std::cerr << result->body;
    return ExitStatus::kOutcomeUnknown;
  }
  if (result->status >= http_status::kFirstNonSuccess) {
    std::cerr << result->body;
  }
  switch (result->status) {
    case http_status::kUnprocessable:
      return ExitStatus::kInvalid;
    case http_status::kConflict:
      return ExitStatus::kConflict;
    default:
      return result->status < http_status::kFirstNonSuccess
                 ? ExitStatus::kOk
                 : ExitStatus::kFailed;
  }
}

ExitStatus Apply(const OperatorTarget& target, const std::string& file,
                 const std::string& revision) {
  const tl::expected<std::string, SettingsErrors> text = ReadFile(file);
  if (!text) {
    PrintErrors(text.error());
    return ExitStatus::kInvalid;
  }
  if (const auto resources = ParseResources(*text, file); !resources) {
    PrintErrors(resources.error());
    return ExitStatus::kInvalid;
  }
  const httplib::Result result =
      OperatorClient(target).Put("/operator/v1/resources", *text, revision);
  const ExitStatus status = CheckResponse(result);
  if (status == ExitStatus::kOk) {
    std::cout << result->body;
  }
  return status;
}

ExitStatus Get(const OperatorTarget& target, const std::string& kind,
               const std::string& name) {
  std::string path = "/operator/v1/" + (kind.empty() ? "resources" : kind);
  if (!name.empty()) {
    path += "/" + name;
  }
  const httplib::Result result = OperatorClient(target).Get(path);
  const ExitStatus status = CheckResponse(result);
  if (status == ExitStatus::kOk) {
    std::cout << result->body;
  }
  return status;
}

void PrintStatus(const json& status) {
  std::printf("instance %s  %s  revision %s  waiting %d  running %d\n\n",
              status.value("instance", "?").c_str(),
              status.value("ready", false) ? "ready" : "not ready",
              status["revision"].dump().c_str(), status.value("waiting", 0),
              status.value("running", 0));
  std::printf("%-20s %4s %10s %10s %10s\n", "class", "tier", "1 min", "10 min",
              "60 min");
  for (const json& item : status["classes"]) {
    const json& windows = item["attainment"];
    std::printf("%-20s %4d %9.1f%% %9.1f%% %9.1f%%\n",
                item.value("name", "?").c_str(), item.value("tier", 0),
                100 * windows["1m"].value("attainment", 0.0),
                100 * windows["10m"].value("attainment", 0.0),
                100 * windows["60m"].value("attainment", 0.0));
  }
  std::printf("\n%-20s %10s %8s %8s %9s\n", "backend", "health", "own", "all",
              "slowness");
  for (const json& item : status["backends"]) {
    std::printf("%-20s %10s %8d %8d %9.2f\n", item.value("name", "?").c_str(),
                item.value("health", "?").c_str(), item.value("own_running", 0),
                item.value("estimated_running", 0),
                item.value("slowness", 0.0));
  }
}

ExitStatus Status(const OperatorTarget& target, bool as_json) {
  const httplib::Result result =
      OperatorClient(target).Get("/operator/v1/status");
  const ExitStatus status = CheckResponse(result);
  if (status != ExitStatus::kOk) {
    return status;
  }
  if (as_json) {
    std::cout << result->body;
  } else {
    PrintStatus(json::parse(result->body));
  }
  return status;
}

void AddTargetOptions(CLI::App& command, OperatorTarget& target) {
  command
      .add_option("--operator", target.address,
                  "Operators' address of an instance")
      ->capture_default_str();
  command.add_option("--token", target.token, "The operators' token")
      ->envname("ROSEMARYCOVE_OPERATOR_TOKEN");
}

}  // namespace

int RunCommandLine(int argc, char** argv,
                   const CommandRegistrar& add_commands) {
  CLI::App app("rosemarycove routes language-model traffic by service level");
  app.require_subcommand(1);
  app.footer(
      "Exit status: 0 done, 1 failed, 2 wrong usage, 3 invalid settings or\n"
      "resources, 4 conflict, 5 instance not reached, 6 outcome not known,\n"
      "7 stopped before all requests had ended.");
  ExitStatus status = ExitStatus::kOk;
  std::string file;
  std::string kind;
  std::string name;
  std::string revision;
  bool as_json = false;
  OperatorTarget target;

  CLI::App* serve = app.add_subcommand("serve", "Run one instance");
  serve->add_option("--config", file, "Settings file (TOML)")->required();
  serve->callback([&] { status = Serve(file); });

  CLI::App* check =
      app.add_subcommand("check", "Check a settings or resource file");
  check->add_option("file", file, "The file (TOML)")->required();
  check->callback([&] { status = Check(file); });

  CLI::App* apply =
      app.add_subcommand("apply", "Declare all resources from a file");
  apply->add_option("file", file, "Resource file (TOML)")->required();
  apply->add_option("--if-match", revision,
                    "Only when this is the revision in the store");
  AddTargetOptions(*apply, target);
  apply->callback([&] { status = Apply(target, file, revision); });

  CLI::App* get = app.add_subcommand("get", "Read resources and their state");
  get->add_option("kind", kind, "class, customer, service, backend or limits")
      ->check(
          CLI::IsMember({"class", "customer", "service", "backend", "limits"}));
  get->add_option("name", name, "One resource's name");
  AddTargetOptions(*get, target);
  get->callback([&] { status = Get(target, kind, name); });

  CLI::App* show =
      app.add_subcommand("status", "Show the status of an instance");
  show->add_flag("--json", as_json, "Print JSON");
  AddTargetOptions(*show, target);
  show->callback([&] { status = Status(target, as_json); });

  CLI::App* version = app.add_subcommand("version", "Print the version");
  version->callback([] { std::cout << "rosemarycove " << kVersion << "\n"; });

  add_commands(app, status);

  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : static_cast<int>(ExitStatus::kUsage);
  }
  return static_cast<int>(status);
}

}  // namespace rosemarycove
