#include "core/resources.h"

#include <algorithm>
#include <set>

namespace rosemarycove {
namespace {

template <typename T>
const T* FindByName(const std::vector<T>& items, std::string_view name) {
  const auto found =
      std::find_if(items.begin(), items.end(),
                   [&](const T& item) { return item.name == name; });
  return found == items.end() ? nullptr : &*found;
}

bool Contains(const std::vector<std::string>& items, std::string_view item) {
  return std::find(items.begin(), items.end(), item) != items.end();
}

// Collects the errors of a resource set.
class Validator {
 public:
  explicit Validator(const ResourceSet& resources) : resources(resources) {}

  std::vector<ResourceError> Run() {
    this->CheckClasses();
    this->CheckCustomers();
    this->CheckServices();
    this->CheckBackends();
    return std::move(this->errors);
  }

 private:
  void AddError(std::string kind, std::string name, std::string field,
                std::string message) {
    this->errors.push_back({.kind = std::move(kind),
                            .name = std::move(name),
                            .field = std::move(field),
                            .message = std::move(message)});
  }

  template <typename T>
  void CheckNames(const std::string& kind, const std::vector<T>& items) {
    std::set<std::string> seen;
    for (const T& item : items) {
      if (item.name.empty()) {
        this->AddError(kind, item.name, "name", "must not be empty");
      }
      if (!seen.insert(item.name).second) {
        this->AddError(kind, item.name, "name", "is declared twice");
      }
    }
  }

  void CheckClasses() {
    this->CheckNames("class", this->resources.classes);
    double share_sum = 0;
    for (const RequestClass& request_class : this->resources.classes) {
      const LatencyTarget& target = request_class.target;
      if (!target.first_token && !target.between_tokens && !target.whole) {
        this->AddError(
            "class", request_class.name, "first_token",
            "one of first_token, between_tokens and whole must be set");
      }
      share_sum += request_class.guaranteed_share;
    }
    if (share_sum > kMaxGuaranteedShares) {
      this->AddError("class", "", "guaranteed_share",
                     "the shares of all classes together must not exceed 0.5");
    }
  }

  void CheckCustomers() {
    this->CheckNames("customer", this->resources.customers);
    std::set<std::string> key_hashes;
    for (const Customer& customer : this->resources.customers) {
      for (const std::string& name : customer.classes) {
        if (FindByName(this->resources.classes, name) == nullptr) {
          this->AddError("customer", customer.name, "classes",
                         "names class '" + name + "', which is not declared");
        }
      }
      if (!Contains(customer.classes, customer.default_class)) {
        this->AddError("customer", customer.name, "default_class",
                       "must be one of the customer's classes");
      }
      if (!key_hashes.insert(customer.key_hash).second) {
        this->AddError("customer", customer.name, "key",
                       "is the API key of another customer");
      }
    }
  }

  void CheckServices() {
    this->CheckNames("service", this->resources.services);
    for (const Service& service : this->resources.services) {
      const bool is_model = service.kind == ServiceKind::kModel;
      if (is_model == service.models.empty()) {
        this->AddError("service", service.name, "models",
                       is_model
                           ? "a model service must offer at least one model"
                           : "a plain service has no models");
      }
    }
  }

  void CheckBackends() {
    this->CheckNames("backend", this->resources.backends);
    for (const Backend& backend : this->resources.backends) {
      const Service* service =
          FindByName(this->resources.services, backend.service);
      if (service == nullptr) {
        this->AddError(
            "backend", backend.name, "service",
            "names service '" + backend.service + "', which is not declared");
        continue;
      }
      for (const std::string& model : backend.models) {
        if (!Contains(service->models, model)) {
          this->AddError(
              "backend", backend.name, "models",
              "names model '" + model + "', which its service does not offer");
        }
      }
    }
  }

  const ResourceSet& resources;
  std::vector<ResourceError> errors;
};

}  // namespace

std::vector<ResourceError> Validate(const ResourceSet& resources) {
  return Validator(resources).Run();
}

const RequestClass* FindClass(const ResourceSet& resources,
                              std::string_view name) {
  return FindByName(resources.classes, name);
}

const Service* FindService(const ResourceSet& resources,
                           std::string_view name) {
  return FindByName(resources.services, name);
}

}  // namespace rosemarycove
