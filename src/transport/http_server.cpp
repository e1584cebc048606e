#include "transport/http_server.hpp"

#include <http_parser.h>
#include <spdlog/spdlog.h>

#include <optional>
#include <stdexcept>
#include <utility>

#include "constants.hpp"

namespace poppystile::transport {

class HttpServer::Connection : public std::enable_shared_from_this<HttpServer::Connection> {
 public:
  explicit Connection(HttpServer& server) : server_(server) {
    ++server_.open_;
    http_parser_init(&parser_, HTTP_REQUEST);
    parser_.data = this;
    place_ = server_.ordinary_.insert(server_.ordinary_.end(), this);
  }
  ~Connection() { --server_.open_; }

  void shed() { close(); }

  bool open() {
    uv_tcp_init(server_.loop_.raw(), &tcp_);
    uv_timer_init(server_.loop_.raw(), &idle_);
    tcp_.data = this;
    idle_.data = this;
    self_ = shared_from_this();
    if (uv_accept(reinterpret_cast<uv_stream_t*>(&server_.listener_),
                  reinterpret_cast<uv_stream_t*>(&tcp_)) != 0) {
      close();
      return false;
    }
    uv_tcp_nodelay(&tcp_, 1);
    watch_idle();
    uv_read_start(
        reinterpret_cast<uv_stream_t*>(&tcp_),
        [](uv_handle_t* handle, std::size_t, uv_buf_t* buffer) {
          auto* self = static_cast<Connection*>(handle->data);
          *buffer = uv_buf_init(self->input_, sizeof(self->input_));
        },
        [](uv_stream_t* stream, ssize_t count, const uv_buf_t* buffer) {
          static_cast<Connection*>(stream->data)->received(count, buffer->base);
        });
    return true;
  }

 private:
  struct Write {
    uv_write_t request{};
    std::string data;
  };

  void watch_idle() {
    uv_timer_start(
        &idle_, [](uv_timer_t* timer) { static_cast<Connection*>(timer->data)->close(); },
        static_cast<std::uint64_t>(constants::server_idle_timeout.count() * 1000), 0);
  }

  void received(ssize_t count, const char* data) {
    if (closing_ || count == 0) return;
    if (count < 0) return close();
    watch_idle();
    const auto used = http_parser_execute(&parser_, &parser_settings(), data, count);
    if (!closing_ && used != static_cast<std::size_t>(count)) close();
  }

  void complete() {
    const bool keep = http_should_keep_alive(&parser_) != 0;
    HttpRequest request{http_method_str(static_cast<http_method>(parser_.method)),
                        std::move(target_), std::move(body_)};
    target_.clear();
    body_.clear();
    if (server_.vital_(request)) leave_ordinary();
    // Just heard, so not the longest silent any more.
    if (place_) server_.ordinary_.splice(server_.ordinary_.end(), server_.ordinary_, *place_);
    if (std::exchange(too_large_, false)) {
      return reply({400, R"({"error":"body over 64 KiB"})"}, keep);
    }
    std::weak_ptr<Connection> weak = weak_from_this();
    server_.handler_(request, [weak, keep](const HttpResponse& response) {
      if (auto self = weak.lock()) self->reply(response, keep);
    });
  }

  void leave_ordinary() {
    if (place_) server_.ordinary_.erase(*place_);
    place_.reset();
  }

  void reply(const HttpResponse& response, bool keep) {
    if (closing_) return;
    auto write = std::make_unique<Write>();
    write->data = "HTTP/1.1 " + std::to_string(response.status) + " " +
                  http_status_str(static_cast<http_status>(response.status)) +
                  "\r\nContent-Type: application/json\r\nContent-Length: " +
                  std::to_string(response.body.size()) + "\r\n";
    if (response.retry_after > std::chrono::seconds{0})
      write->data += "Retry-After: " + std::to_string(response.retry_after.count()) + "\r\n";
    if (!keep) write->data += "Connection: close\r\n";
    write->data += "\r\n" + response.body;
    close_after_write_ = !keep;
    uv_buf_t buffer = uv_buf_init(write->data.data(), static_cast<unsigned>(write->data.size()));
    write->request.data = write.get();
    const int rc = uv_write(&write->request, reinterpret_cast<uv_stream_t*>(&tcp_), &buffer, 1,
                            [](uv_write_t* done, int status) {
                              auto* stream = done->handle;
                              const std::unique_ptr<Write> owned(static_cast<Write*>(done->data));
                              auto* self = static_cast<Connection*>(stream->data);
                              if (status != 0 || self->close_after_write_) self->close();
                            });
    if (rc == 0) {
      (void)write.release();
    } else {
      close();
    }
  }

  void close() {
    if (std::exchange(closing_, true)) return;
    leave_ordinary();
    handles_ = 2;
    const auto closed = [](uv_handle_t* handle) {
      auto* self = static_cast<Connection*>(handle->data);
      if (--self->handles_ == 0) self->self_.reset();
    };
    uv_close(reinterpret_cast<uv_handle_t*>(&tcp_), closed);
    uv_close(reinterpret_cast<uv_handle_t*>(&idle_), closed);
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
        auto* self = static_cast<Connection*>(parser->data);
        // An oversized body is read to its end, so that the sender sees the answer, but not kept.
        if (self->body_.size() + length > constants::max_request_body_bytes) {
          self->too_large_ = true;
        } else {
          self->body_.append(at, length);
        }
        return 0;
      };
      made.on_message_complete = [](http_parser* parser) {
        static_cast<Connection*>(parser->data)->complete();
        return 0;
      };
      return made;
    }();
    return settings;
  }

  HttpServer& server_;
  uv_tcp_t tcp_{};
  uv_timer_t idle_{};
  http_parser parser_{};
  char input_[4096];
  std::string target_;
  std::string body_;
  bool too_large_ = false;
  std::optional<std::list<Connection*>::iterator> place_;  // among the ordinary ones
  bool closing_ = false;
  bool close_after_write_ = false;
  int handles_ = 0;
  std::shared_ptr<Connection> self_;  // held until libuv has let go of both handles
};

HttpServer::HttpServer(EventLoop& loop, const Endpoint& listen, std::size_t max_connections,
                       std::function<bool(const HttpRequest&)> vital, HttpHandler handler)
    : loop_(loop),
      vital_(std::move(vital)),
      handler_(std::move(handler)),
      max_connections_(max_connections) {
  uv_tcp_init(loop.raw(), &listener_);
  listener_.data = this;
  sockaddr_in address{};
  uv_ip4_addr(listen.host.c_str(), listen.port, &address);
  int rc = uv_tcp_bind(&listener_, reinterpret_cast<const sockaddr*>(&address), 0);
  if (rc == 0)
    // After the loss of all siblings everybody may knock within a second.
    rc = uv_listen(reinterpret_cast<uv_stream_t*>(&listener_), static_cast<int>(max_connections_),
                   [](uv_stream_t* stream, int status) {
                     if (status == 0) static_cast<HttpServer*>(stream->data)->accept();
                   });
  if (rc != 0)
    throw std::runtime_error("cannot listen on " + listen.host + ":" + std::to_string(listen.port) +
                             ": " + uv_strerror(rc));
}

HttpServer::~HttpServer() = default;

void HttpServer::accept() {
  auto connection = std::make_shared<Connection>(*this);
  // Over the budget a connection is taken and closed: left in the queue it would hang its peer. The
  // newcomer may be a worker, whose lease hangs on it, so it goes only if there is no other.
  const bool fits = open_ <= max_connections_;
  if (connection->open() && !fits) {
    spdlog::debug("connection shed open={} most={}", open_, max_connections_);
    ordinary_.front()->shed();
  }
}

}  // namespace poppystile::transport
