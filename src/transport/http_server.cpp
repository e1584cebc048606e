#include "transport/http_server.hpp"

#include <http_parser.h>
#include <spdlog/spdlog.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "constants.hpp"
#include "transport/timer.hpp"

namespace poppystile::transport {

namespace {

constexpr std::size_t read_buffer_bytes = 4096;

std::string encode_response(const HttpResponse& response, bool keep_alive) {
  std::string out = "HTTP/1.1 " + std::to_string(response.status) + " " +
                    http_status_str(static_cast<http_status>(response.status)) +
                    "\r\nContent-Type: application/json\r\nContent-Length: " +
                    std::to_string(response.body.size()) + "\r\n";
  if (response.retry_after > std::chrono::seconds{0})
    out += "Retry-After: " + std::to_string(response.retry_after.count()) + "\r\n";
  if (!keep_alive) out += "Connection: close\r\n";
  return out + "\r\n" + response.body;
}

}  // namespace

/// One connection. The callbacks of its stream keep it alive until libuv has closed it.
class HttpServer::Connection : public std::enable_shared_from_this<Connection> {
 public:
  explicit Connection(HttpServer& server)
      : server_(server), stream_(server.loop_), idle_timer_(server.loop_, [this] { close(); }) {
    ++server_.open_connections_;
    http_parser_init(&parser_, HTTP_REQUEST);
    parser_.data = this;
    evictable_position_ = server_.evictable_.insert(server_.evictable_.end(), this);
  }
  ~Connection() { --server_.open_connections_; }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// Accepts the next pending connection and starts to read; false if accepting failed.
  bool open() {
    if (!stream_.accept(server_.listener_)) {
      close();
      return false;
    }
    stream_.set_nodelay();
    restart_idle_timer();
    stream_.start_reading(
        read_buffer_bytes,
        [self = shared_from_this()](std::string_view data) { self->on_data(data); },
        [self = shared_from_this()] { self->close(); });
    return true;
  }

  void close() {
    if (std::exchange(closing_, true)) return;
    remove_from_evictable();
    stream_.close();
    idle_timer_.close();
  }

 private:
  void restart_idle_timer() {
    idle_timer_.restart(
        std::chrono::duration_cast<std::chrono::milliseconds>(constants::server_idle_timeout));
  }

  void on_data(std::string_view data) {
    restart_idle_timer();
    const auto parsed = http_parser_execute(&parser_, &parser_settings(), data.data(), data.size());
    if (!closing_ && parsed != data.size()) close();
  }

  void on_message_complete() {
    const bool keep_alive = http_should_keep_alive(&parser_) != 0;
    const HttpRequest request{http_method_str(static_cast<http_method>(parser_.method)),
                              std::exchange(target_, {}), std::exchange(body_, {})};
    if (server_.has_priority_(request)) remove_from_evictable();
    move_to_most_recent();
    if (std::exchange(body_too_large_, false))
      return respond({400, R"({"error":"body over 64 KiB"})"}, keep_alive);
    server_.handler_(request, [weak = weak_from_this(), keep_alive](const HttpResponse& response) {
      if (const auto self = weak.lock()) self->respond(response, keep_alive);
    });
  }

  void remove_from_evictable() {
    if (evictable_position_) server_.evictable_.erase(*evictable_position_);
    evictable_position_.reset();
  }

  void move_to_most_recent() {
    auto& evictable = server_.evictable_;
    if (evictable_position_) evictable.splice(evictable.end(), evictable, *evictable_position_);
  }

  void respond(const HttpResponse& response, bool keep_alive) {
    if (closing_) return;
    close_after_write_ = !keep_alive;
    const bool sent = stream_.write(encode_response(response, keep_alive), [this](bool written) {
      if (!written || close_after_write_) close();
    });
    if (!sent) close();
  }

  /// A body over the limit is read to its end, so that the sender receives the error response, but
  /// its excess is not stored.
  void append_body(const char* data, std::size_t length) {
    if (body_.size() + length > constants::max_request_body_bytes) {
      body_too_large_ = true;
    } else {
      body_.append(data, length);
    }
  }

  static const http_parser_settings& parser_settings() {
    static const http_parser_settings settings = [] {
      http_parser_settings made;
      http_parser_settings_init(&made);
      made.on_url = [](http_parser* parser, const char* at, std::size_t length) {
        static_cast<Connection*>(parser->data)->target_.append(at, length);
        return 0;
      };
      made.on_body = [](http_parser* parser, const char* at, std::size_t length) {
        static_cast<Connection*>(parser->data)->append_body(at, length);
        return 0;
      };
      made.on_message_complete = [](http_parser* parser) {
        static_cast<Connection*>(parser->data)->on_message_complete();
        return 0;
      };
      return made;
    }();
    return settings;
  }

  HttpServer& server_;
  TcpStream stream_;
  Timer idle_timer_;
  http_parser parser_{};
  std::string target_;
  std::string body_;
  bool body_too_large_ = false;
  bool closing_ = false;
  bool close_after_write_ = false;
  std::optional<std::list<Connection*>::iterator> evictable_position_;
};

// When all other controllers fail, all workers and users may connect to the remaining one within a
// second, so the listen backlog is as large as the connection limit.
HttpServer::HttpServer(EventLoop& loop, const Endpoint& listen, std::size_t max_connections,
                       std::function<bool(const HttpRequest&)> has_priority, HttpHandler handler)
    : loop_(loop),
      has_priority_(std::move(has_priority)),
      handler_(std::move(handler)),
      max_connections_(max_connections),
      listener_(loop, listen, static_cast<int>(max_connections), "HTTP requests",
                [this] { accept(); }) {}

HttpServer::~HttpServer() = default;

void HttpServer::accept() {
  const auto connection = std::make_shared<Connection>(*this);
  // Over the limit, every connection is still accepted, and one is closed: a connection that stayed
  // in the backlog would leave its client waiting. The newest connection may be that of a worker
  // whose lease depends on it, so it is closed only if no other can be.
  const bool within_limit = open_connections_ <= max_connections_;
  if (!connection->open() || within_limit) return;
  spdlog::debug("connection closed to stay within the limit open={} max={}", open_connections_,
                max_connections_);
  evictable_.front()->close();
}

}  // namespace poppystile::transport
