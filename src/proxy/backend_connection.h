// A connection to a backend server, used for one request after another.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>

#include "core/types.h"
#include "proxy/http_reader.h"

namespace rosemarycove {

// How far a request had come when its connection broke.
enum class BrokenWhen : std::uint8_t {
  kNotSent,     // No byte of the request was written: it did not run.
  kUnanswered,  // It may have run.
  kMalformed,   // Bytes came that are no response.
  kInAnswer,    // The head had come.
};

// What becomes of a response whose head has come.
enum class HeadVerdict : std::uint8_t {
  kTake,
  kSkip,  // It belongs to another request; the next one is awaited.
};

// Takes the answer to a request.
class AnswerListener {
 public:
  virtual ~AnswerListener() = default;
  virtual void OnSendBegun() = 0;
  virtual HeadVerdict OnHead(const ResponseHead& head) = 0;
  virtual void OnBody(std::string bytes) = 0;
  virtual void OnWhole() = 0;
  virtual void OnBroken(BrokenWhen when, const std::string& why) = 0;
};

// One TCP connection that serves one request at a time.
//
// Shared ownership: a connection lives as long as an operation on its socket
// is pending, which may be longer than its user.
class BackendConnection
    : public std::enable_shared_from_this<BackendConnection> {
 public:
  BackendConnection(boost::asio::io_context& io,
                    boost::asio::ip::tcp::endpoint endpoint);

  // Sends a request, once the connection stands, and reports to the listener
  // until its answer is whole or broken. `to_head`: the answer has no body.
  void Send(std::string request, bool to_head, AnswerListener& listener);
  // Closes; nothing more is reported.
  void Abort();
  // Stops and resumes reading, so that a slow caller slows the server.
  void PauseReading();
  void ResumeReading();

  [[nodiscard]] bool connected() const { return this->stands; }
  // Whether it stands idle and may take another request.
  [[nodiscard]] bool Reusable() const;
  [[nodiscard]] bool closed() const { return this->is_closed; }
  // When it became idle.
  [[nodiscard]] TimePoint idle_since() const { return this->idle_from; }
  // How long the server keeps it when idle.
  [[nodiscard]] Duration idle_limit() const { return this->idle_for; }

 private:
  void Connect();
  void Write();
  void Read();
  void TakeBytes(std::size_t count);
  void TakeResponse();
  void FinishResponse();
  void Break(BrokenWhen when, const std::string& why);
  void Close();
  [[nodiscard]] BrokenWhen BrokenNow() const;

  boost::asio::ip::tcp::socket socket;
  boost::asio::ip::tcp::endpoint endpoint;
  AnswerListener* listener = nullptr;
  std::string request;
  std::size_t written = 0;
  std::string received;
  std::string block;
  std::unique_ptr<ResponseReader> reader;
  bool to_head = false;
  bool head_told = false;
  bool skipping = false;
  bool stands = false;
  bool connecting = false;
  bool writing = false;
  bool reading = false;
  bool paused = false;
  bool is_closed = false;
  bool single_use = false;
  TimePoint idle_from;
  Duration idle_for{};
};

}  // namespace rosemarycove
