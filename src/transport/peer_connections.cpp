#include "transport/peer_connections.hpp"

#include <spdlog/spdlog.h>

#include <stdexcept>
#include <utility>

#include "constants.hpp"

namespace poppystile::transport {

namespace {

std::string with_length(const std::string& frame) {
  const auto size = static_cast<std::uint32_t>(frame.size());
  std::string out;
  for (int shift = 24; shift >= 0; shift -= 8) out.push_back(static_cast<char>(size >> shift));
  return out + frame;
}

}  // namespace

class PeerConnections::Outgoing {
 public:
  Outgoing(EventLoop& loop, Endpoint to) : loop_(loop), to_(std::move(to)) {}

  void send(const std::string& frame) {
    if (wire_ == nullptr) return connect();
    if (!wire_->ready) return give_up_if_stuck();
    // A cut connection swallows writes without an error; a queue that grows is the only sign.
    if (uv_stream_get_write_queue_size(reinterpret_cast<uv_stream_t*>(&wire_->tcp)) >
        4 * frame.size() + 4096)
      return drop();
    auto write = std::make_unique<Write>();
    write->data = with_length(frame);
    uv_buf_t buffer = uv_buf_init(write->data.data(), static_cast<unsigned>(write->data.size()));
    write->request.data = write.get();
    if (uv_write(&write->request, reinterpret_cast<uv_stream_t*>(&wire_->tcp), &buffer, 1,
                 [](uv_write_t* done, int) {
                   std::unique_ptr<Write>(static_cast<Write*>(done->data));
                 }) == 0) {
      (void)write.release();
    } else {
      drop();
    }
  }

 private:
  struct Write {
    uv_write_t request{};
    std::string data;
  };
  // Lives until libuv has closed it, which may be after this object forgot it.
  struct Wire {
    uv_tcp_t tcp{};
    uv_connect_t connect{};
    Outgoing* owner = nullptr;
    bool ready = false;
    SteadyTime since;
    char scratch[64];
  };

  void connect() {
    wire_ = std::make_unique<Wire>().release();
    wire_->owner = this;
    wire_->since = loop_.now();
    uv_tcp_init(loop_.raw(), &wire_->tcp);
    wire_->tcp.data = wire_;
    wire_->connect.data = wire_;
    sockaddr_in address{};
    uv_ip4_addr(to_.host.c_str(), to_.port, &address);
    const int rc =
        uv_tcp_connect(&wire_->connect, &wire_->tcp, reinterpret_cast<const sockaddr*>(&address),
                       [](uv_connect_t* request, int status) {
                         auto* wire = static_cast<Wire*>(request->data);
                         if (wire->owner != nullptr) wire->owner->connected(status);
                       });
    if (rc != 0) drop();
  }

  void connected(int status) {
    if (status != 0) return drop();
    wire_->ready = true;
    // Nothing is expected back; reading tells when the other side has gone.
    uv_read_start(
        reinterpret_cast<uv_stream_t*>(&wire_->tcp),
        [](uv_handle_t* handle, std::size_t, uv_buf_t* buffer) {
          auto* wire = static_cast<Wire*>(handle->data);
          *buffer = uv_buf_init(wire->scratch, sizeof(wire->scratch));
        },
        [](uv_stream_t* stream, ssize_t count, const uv_buf_t*) {
          auto* wire = static_cast<Wire*>(stream->data);
          if (count < 0 && wire->owner != nullptr) wire->owner->drop();
        });
  }

  void give_up_if_stuck() {
    if (loop_.now() - wire_->since > constants::max_peer_status_age) drop();
  }

  void drop() {
    auto* gone = std::exchange(wire_, nullptr);
    gone->owner = nullptr;
    uv_close(reinterpret_cast<uv_handle_t*>(&gone->tcp),
             [](uv_handle_t* handle) { std::unique_ptr<Wire>(static_cast<Wire*>(handle->data)); });
  }

  EventLoop& loop_;
  Endpoint to_;
  Wire* wire_ = nullptr;
};

class PeerConnections::Incoming {
 public:
  static void accept(PeerConnections& link) {
    auto* self = std::make_unique<Incoming>(link).release();  // libuv's until closed
    uv_tcp_init(link.loop_.raw(), &self->tcp_);
    self->tcp_.data = self;
    const auto rc = uv_accept(reinterpret_cast<uv_stream_t*>(&link.listener_),
                              reinterpret_cast<uv_stream_t*>(&self->tcp_));
    if (rc != 0 || link.incoming_ > constants::max_peer_connections) return self->close();
    uv_read_start(
        reinterpret_cast<uv_stream_t*>(&self->tcp_),
        [](uv_handle_t* handle, std::size_t, uv_buf_t* buffer) {
          auto* each = static_cast<Incoming*>(handle->data);
          *buffer = uv_buf_init(each->input_, sizeof(each->input_));
        },
        [](uv_stream_t* stream, ssize_t count, const uv_buf_t* buffer) {
          static_cast<Incoming*>(stream->data)->received(count, buffer->base);
        });
  }

  explicit Incoming(PeerConnections& link) : link_(link) { ++link_.incoming_; }
  ~Incoming() { --link_.incoming_; }

 private:
  void received(ssize_t count, const char* data) {
    if (closing_ || count == 0) return;
    if (count < 0) return close();
    pending_.append(data, static_cast<std::size_t>(count));
    while (pending_.size() >= 4) {
      std::size_t size = 0;
      for (int i = 0; i < 4; ++i) size = (size << 8) | static_cast<unsigned char>(pending_[i]);
      if (size > constants::max_peer_frame_bytes) {
        spdlog::info("peer frame refused bytes={}", size);
        return close();
      }
      if (pending_.size() < 4 + size) return;
      const std::string frame = pending_.substr(4, size);
      pending_.erase(0, 4 + size);
      if (link_.handler_) link_.handler_(frame);
    }
  }

  void close() {
    if (std::exchange(closing_, true)) return;
    uv_close(reinterpret_cast<uv_handle_t*>(&tcp_), [](uv_handle_t* handle) {
      std::unique_ptr<Incoming>(static_cast<Incoming*>(handle->data));
    });
  }

  PeerConnections& link_;
  uv_tcp_t tcp_{};
  char input_[4096];
  std::string pending_;
  bool closing_ = false;
};

PeerConnections::PeerConnections(EventLoop& loop, const Endpoint& listen,
                                 const std::vector<Endpoint>& peers)
    : loop_(loop) {
  for (const auto& each : peers) outgoing_.push_back(std::make_unique<Outgoing>(loop, each));
  uv_tcp_init(loop.raw(), &listener_);
  listener_.data = this;
  sockaddr_in address{};
  uv_ip4_addr(listen.host.c_str(), listen.port, &address);
  int rc = uv_tcp_bind(&listener_, reinterpret_cast<const sockaddr*>(&address), 0);
  if (rc == 0)
    rc = uv_listen(reinterpret_cast<uv_stream_t*>(&listener_), 16,
                   [](uv_stream_t* stream, int status) {
                     if (status == 0)
                       Incoming::accept(*static_cast<PeerConnections*>(stream->data));
                   });
  if (rc != 0)
    throw std::runtime_error("cannot listen for siblings on " + listen.host + ":" +
                             std::to_string(listen.port) + ": " + uv_strerror(rc));
}

PeerConnections::~PeerConnections() = default;

void PeerConnections::broadcast(const std::string& frame) {
  for (auto& each : outgoing_) each->send(frame);
}

void PeerConnections::on_frame(std::function<void(const std::string&)> handler) {
  handler_ = std::move(handler);
}

}  // namespace poppystile::transport
