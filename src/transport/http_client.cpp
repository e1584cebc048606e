#include "transport/http_client.hpp"

#include <http_parser.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "constants.hpp"

namespace poppystile::transport {

// One call. The deadline timer and the connection both hold it; whichever is first settles it.
struct HttpClient::Exchange {
  HttpRequest request;
  std::function<void(HttpResponse)> done;
  bool settled = false;
  Connection* connection = nullptr;

  void settle(HttpResponse response) {
    if (std::exchange(settled, true)) return;
    auto callback = std::move(done);
    callback(std::move(response));
  }
};

struct HttpClient::Pool {
  Endpoint endpoint;
  std::deque<std::shared_ptr<Exchange>> waiting;
  std::vector<Connection*> open;  // owned by libuv until their close callback
};

class HttpClient::Connection {
 public:
  Connection(HttpClient& client, Pool& pool) : client_(client), pool_(pool) {
    uv_tcp_init(client.loop_.raw(), &tcp_);
    tcp_.data = this;
    http_parser_init(&parser_, HTTP_RESPONSE);
    parser_.data = this;
    sockaddr_in address{};
    uv_ip4_addr(pool.endpoint.host.c_str(), pool.endpoint.port, &address);
    connect_.data = this;
    const int rc = uv_tcp_connect(&connect_, &tcp_, reinterpret_cast<const sockaddr*>(&address),
                                  [](uv_connect_t* request, int status) {
                                    static_cast<Connection*>(request->data)->connected(status);
                                  });
    if (rc != 0) failed_at_once_ = true;
  }

  bool idle() const { return !closing_ && ready_ && !current_; }
  bool free_to_take() const { return !closing_ && !current_; }
  bool failed_at_once() const { return failed_at_once_; }

  void take(std::shared_ptr<Exchange> exchange) {
    current_ = std::move(exchange);
    current_->connection = this;
    if (ready_) send();
  }

  void close() {
    if (std::exchange(closing_, true)) return;
    uv_close(reinterpret_cast<uv_handle_t*>(&tcp_), [](uv_handle_t* handle) {
      auto* self = static_cast<Connection*>(handle->data);
      std::unique_ptr<Connection> owned(self);
    });
    auto lost = std::move(current_);
    current_ = nullptr;
    client_.closed(pool_, this);
    if (lost) {
      lost->connection = nullptr;
      lost->settle({});
    }
  }

 private:
  struct Write {
    uv_write_t request{};
    std::string data;
  };

  void connected(int status) {
    if (closing_) return;
    if (status != 0) return close();
    ready_ = true;
    uv_tcp_nodelay(&tcp_, 1);
    uv_read_start(
        reinterpret_cast<uv_stream_t*>(&tcp_),
        [](uv_handle_t* handle, std::size_t, uv_buf_t* buffer) {
          auto* self = static_cast<Connection*>(handle->data);
          *buffer = uv_buf_init(self->input_, sizeof(self->input_));
        },
        [](uv_stream_t* stream, ssize_t count, const uv_buf_t* buffer) {
          static_cast<Connection*>(stream->data)->received(count, buffer->base);
        });
    if (current_) send();
  }

  void send() {
    auto write = std::make_unique<Write>();
    const auto& request = current_->request;
    write->data = request.method + " " + request.target +
                  " HTTP/1.1\r\nHost: " + pool_.endpoint.host + ":" +
                  std::to_string(pool_.endpoint.port) + "\r\n";
    if (!request.body.empty()) write->data += "Content-Type: application/json\r\n";
    if (!request.body.empty() || request.method != "GET")
      write->data += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    write->data += "\r\n" + request.body;
    uv_buf_t buffer = uv_buf_init(write->data.data(), static_cast<unsigned>(write->data.size()));
    write->request.data = write.get();
    const int rc = uv_write(
        &write->request, reinterpret_cast<uv_stream_t*>(&tcp_), &buffer, 1,
        [](uv_write_t* done, int) { std::unique_ptr<Write>(static_cast<Write*>(done->data)); });
    if (rc == 0) {
      (void)write.release();
    } else {
      close();
    }
  }

  void received(ssize_t count, const char* data) {
    if (closing_ || count == 0) return;
    if (count < 0) {
      http_parser_execute(&parser_, &parser_settings(), nullptr, 0);
      return close();
    }
    const auto used = http_parser_execute(&parser_, &parser_settings(), data, count);
    if (closing_) return;
    if (used != static_cast<std::size_t>(count) ||
        body_.size() > constants::max_response_body_bytes)
      close();
  }

  void complete() {
    const bool keep = http_should_keep_alive(&parser_) != 0;
    auto finished = std::move(current_);
    current_ = nullptr;
    HttpResponse response{static_cast<int>(parser_.status_code), std::move(body_)};
    body_.clear();
    if (finished) finished->connection = nullptr;
    if (!keep || !finished) close();
    if (finished) finished->settle(std::move(response));
    if (!closing_) client_.pump(pool_);
  }

  static const http_parser_settings& parser_settings() {
    static const http_parser_settings settings = [] {
      http_parser_settings made;
      http_parser_settings_init(&made);
      made.on_body = [](http_parser* parser, const char* at, std::size_t length) {
        static_cast<Connection*>(parser->data)->body_.append(at, length);
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

  HttpClient& client_;
  Pool& pool_;
  uv_tcp_t tcp_{};
  uv_connect_t connect_{};
  http_parser parser_{};
  char input_[16384];
  std::string body_;
  std::shared_ptr<Exchange> current_;
  bool ready_ = false;
  bool closing_ = false;
  bool failed_at_once_ = false;
};

HttpClient::HttpClient(EventLoop& loop) : loop_(loop) {}
HttpClient::~HttpClient() = default;

void HttpClient::call(const Endpoint& to, HttpRequest request, Seconds timeout,
                      std::function<void(HttpResponse)> done) {
  auto& slot = pools_[to.host + ":" + std::to_string(to.port)];
  if (!slot) {
    slot = std::make_unique<Pool>();
    slot->endpoint = to;
  }
  auto exchange = std::make_shared<Exchange>();
  exchange->request = std::move(request);
  exchange->done = std::move(done);
  if (slot->waiting.size() >= constants::client_backlog) {
    loop_.after(Seconds{0}, [exchange] { exchange->settle({}); });
    return;
  }
  loop_.after(timeout, [exchange] {
    if (exchange->settled) return;
    // The connection may be cut without an error: never reuse it.
    if (exchange->connection != nullptr) return exchange->connection->close();
    exchange->settle({});
  });
  slot->waiting.push_back(std::move(exchange));
  pump(*slot);
}

void HttpClient::pump(Pool& pool) {
  while (!pool.waiting.empty()) {
    if (pool.waiting.front()->settled) {
      pool.waiting.pop_front();
      continue;
    }
    const auto idle = std::find_if(pool.open.begin(), pool.open.end(),
                                   [](const Connection* each) { return each->idle(); });
    Connection* chosen = idle == pool.open.end() ? nullptr : *idle;
    if (chosen == nullptr) {
      if (pool.open.size() >= constants::client_connections) return;
      chosen = std::make_unique<Connection>(*this, pool).release();
      pool.open.push_back(chosen);
    }
    auto next = std::move(pool.waiting.front());
    pool.waiting.pop_front();
    chosen->take(std::move(next));
    if (chosen->failed_at_once()) chosen->close();
  }
}

void HttpClient::closed(Pool& pool, Connection* connection) {
  std::erase(pool.open, connection);
  loop_.after(Seconds{0}, [this, &pool] { pump(pool); });
}

}  // namespace poppystile::transport
