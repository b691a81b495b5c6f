#include "proxy/message_writer.h"

#include <fmt/format.h>

namespace rosemarycove {
namespace {

void AddField(std::string& text, std::string_view name,
              std::string_view value) {
  text.append(name).append(": ").append(value).append("\r\n");
}

}  // namespace

std::string WriteRequestHead(const RequestHead& head, std::size_t body_bytes,
                             const CallDialect& dialect,
                             const RequestInfo& info,
                             const AttemptInfo& attempt) {
  std::string text;
  text.reserve(1024);
  text.append(head.method).append(" ").append(head.target);
  text.append(" HTTP/1.1\r\n");
  for (const HeaderFieldView field : head.fields) {
    if (TokensEqual(field.name, "content-length") ||
        !dialect.Forwards(field.name)) {
      continue;
    }
    if (field.is_hop_by_hop && !dialect.AlwaysForwards(field.name)) {
      continue;
    }
    AddField(text, field.name, field.value);
  }
  for (const HeaderField& field : dialect.AttemptFields(info, attempt)) {
    AddField(text, field.name, field.value);
  }
  const bool has_body = body_bytes > 0 ||
                        head.fields.Count("content-length") > 0 ||
                        head.fields.Count("transfer-encoding") > 0;
  if (has_body) {
    AddField(text, "Content-Length", std::to_string(body_bytes));
  }
  text.append("\r\n");
  return text;
}

std::string WriteResponseHead(const ResponseHead& head, BodyFraming framing,
                              bool close) {
  std::string text;
  text.reserve(512);
  text.append(fmt::format("HTTP/1.1 {} {}\r\n", head.status, head.reason));
  for (const HeaderFieldView field : head.fields) {
    if (TokensEqual(field.name, "content-length") || field.is_hop_by_hop) {
      continue;
    }
    AddField(text, field.name, field.value);
  }
  if (framing == BodyFraming::kLength) {
    AddField(text, "Content-Length", std::to_string(head.length.value_or(0)));
  } else if (framing == BodyFraming::kChunked) {
    AddField(text, "Transfer-Encoding", "chunked");
  }
  if (close || framing == BodyFraming::kUntilClose) {
    AddField(text, "Connection", "close");
  }
  text.append("\r\n");
  return text;
}

std::string WriteLocalResponse(const LocalResponse& response) {
  std::string text = fmt::format("HTTP/1.1 {} {}\r\n", response.status,
                                 ReasonPhrase(response.status));
  if (!response.body.empty()) {
    AddField(text, "Content-Type", response.content_type);
  }
  AddField(text, "Content-Length", std::to_string(response.body.size()));
  if (response.retry_after) {
    AddField(text, "Retry-After",
             fmt::format("{:.3f}", ToSeconds(*response.retry_after)));
  }
  for (const HeaderField& field : response.fields) {
    AddField(text, field.name, field.value);
  }
  if (response.close) {
    AddField(text, "Connection", "close");
  }
  text.append("\r\n");
  if (!response.head_only) {
    text.append(response.body);
  }
  return text;
}

std::string WriteChunk(std::string_view bytes) {
  std::string text = fmt::format("{:x}\r\n", bytes.size());
  text.append(bytes).append("\r\n");
  return text;
}

}  // namespace rosemarycove
