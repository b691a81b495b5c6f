#include "proxy/http_head.h"

#include <algorithm>
#include <array>
#include <cctype>

#include "http/http_status.h"

namespace rosemarycove {
namespace {

// Fields that apply to one connection only.
constexpr std::array<std::string_view, 9> kHopByHop = {
    "connection", "keep-alive", "proxy-connection",
    "te",         "trailer",    "transfer-encoding",
    "upgrade",    "expect",     "proxy-authorization"};

// Returns whether the field applies to one connection only in any message.
bool IsAlwaysHopByHop(std::string_view name) {
  return std::any_of(
      kHopByHop.begin(), kHopByHop.end(),
      [name](std::string_view hop) { return TokensEqual(hop, name); });
}

std::string ToLower(std::string_view text) {
  std::string lower(text);
  std::transform(
      lower.begin(), lower.end(), lower.begin(),
      [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return lower;
}

std::string_view Trim(std::string_view text) {
  const std::size_t first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

}  // namespace

bool TokensEqual(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](unsigned char x, unsigned char y) {
                      return std::tolower(x) == std::tolower(y);
                    });
}

bool ListContainsToken(std::string_view list, std::string_view token) {
  while (!list.empty()) {
    const std::size_t comma = list.find(',');
    if (TokensEqual(Trim(list.substr(0, comma)), token)) {
      return true;
    }
    if (comma == std::string_view::npos) {
      break;
    }
    list.remove_prefix(comma + 1);
  }
  return false;
}

void HeaderFields::Reserve(std::size_t count, std::size_t text_bytes) {
  this->ends.reserve(count);
  this->text.reserve(text_bytes);
}

void HeaderFields::Add(std::string_view name, std::string_view value) {
  this->text.append(name);
  const auto name_end = static_cast<std::uint32_t>(this->text.size());
  this->text.append(value);
  this->ends.push_back({.name = name_end,
                        .value = static_cast<std::uint32_t>(this->text.size()),
                        .is_hop_by_hop = IsAlwaysHopByHop(name) ? 1U : 0U});
}

HeaderFieldView HeaderFields::At(std::size_t index) const {
  const std::size_t begin = index == 0 ? 0 : this->ends[index - 1].value;
  const Ends& field = this->ends[index];
  const std::string_view all = this->text;
  return {.name = all.substr(begin, field.name - begin),
          .value = all.substr(field.name, field.value - field.name),
          .is_hop_by_hop = field.is_hop_by_hop != 0};
}

void HeaderFields::Remove(std::string_view name) {
  if (!this->Find(name)) {
    return;
  }
  HeaderFields kept;
  kept.Reserve(this->ends.size(), this->text.size());
  for (const HeaderFieldView field : *this) {
    if (!TokensEqual(field.name, name)) {
      kept.Add(field.name, field.value);
      kept.ends.back().is_hop_by_hop = field.is_hop_by_hop ? 1U : 0U;
    }
  }
  *this = std::move(kept);
}

std::optional<std::string_view> HeaderFields::Find(
    std::string_view name) const {
  for (const HeaderFieldView field : *this) {
    if (TokensEqual(field.name, name)) {
      return field.value;
    }
  }
  return std::nullopt;
}

int HeaderFields::Count(std::string_view name) const {
  int count = 0;
  for (const HeaderFieldView field : *this) {
    count += TokensEqual(field.name, name) ? 1 : 0;
  }
  return count;
}

std::size_t HeaderFields::HeldBytes() const {
  return this->text.capacity() + this->ends.capacity() * sizeof(Ends);
}

void HeaderFields::MarkConnectionFields() {
  std::string lists;
  for (const HeaderFieldView field : *this) {
    if (TokensEqual(field.name, "connection")) {
      lists.append(ToLower(field.value)).push_back(',');
    }
  }
  if (lists.empty()) {
    return;
  }
  std::vector<std::string_view> names;
  for (std::string_view rest = lists; !rest.empty();) {
    const std::size_t comma = rest.find(',');
    names.push_back(Trim(rest.substr(0, comma)));
    rest.remove_prefix(comma + 1);
  }
  // Callers choose how many fields and names there are.
  std::sort(names.begin(), names.end());
  for (std::size_t i = 0; i < this->size(); ++i) {
    if (std::binary_search(names.begin(), names.end(),
                           std::string_view(ToLower(this->At(i).name)))) {
      this->ends[i].is_hop_by_hop = 1;
    }
  }
}

std::string_view RequestHead::Path() const {
  return std::string_view(this->target).substr(0, this->target.find('?'));
}

bool MessageHead::KeepsAlive() const {
  const auto connection = this->fields.Find("connection");
  return !this->is_http_1_0 &&
         !(connection && ListContainsToken(*connection, "close"));
}

std::string_view MessageHead::MediaType() const {
  const std::string_view type = this->fields.Find("content-type").value_or("");
  return Trim(type.substr(0, type.find(';')));
}

std::string_view ToString(BodyFraming framing) {
  switch (framing) {
    case BodyFraming::kNone:
      return "none";
    case BodyFraming::kLength:
      return "length";
    case BodyFraming::kChunked:
      return "chunked";
    case BodyFraming::kUntilClose:
      return "until_close";
  }
  return "none";
}

std::string_view ReasonPhrase(int status) {
  switch (status) {
    case http_status::kOk:
      return "OK";
    case http_status::kBadRequest:
      return "Bad Request";
    case http_status::kUnauthorized:
      return "Unauthorized";
    case http_status::kNotFound:
      return "Not Found";
    case http_status::kRequestTimeout:
      return "Request Timeout";
    case http_status::kPayloadTooLarge:
      return "Payload Too Large";
    case http_status::kHeadersTooLarge:
      return "Request Header Fields Too Large";
    case http_status::kBadGateway:
      return "Bad Gateway";
    case http_status::kUnavailable:
      return "Service Unavailable";
    case http_status::kGatewayTimeout:
      return "Gateway Timeout";
    default:
      return "Error";
  }
}

}  // namespace rosemarycove
