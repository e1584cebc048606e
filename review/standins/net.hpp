// Plain blocking HTTP over loopback TCP for the stand-ins: one thread per connection.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>

namespace standin {

using Json = nlohmann::json;

inline double now() {
  using namespace std::chrono;
  static const auto start = steady_clock::now();
  return duration<double>(steady_clock::now() - start).count();
}

inline void sleep_s(double seconds) {
  if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

/// The file record.txt: one line for each event, with the seconds since the start.
class Record {
 public:
  void open(const std::string& path) { out_.open(path, std::ios::trunc); }
  void line(const std::string& text) {
    const std::lock_guard lock(mutex_);
    char stamp[32];
    std::snprintf(stamp, sizeof stamp, "%8.3f ", now());
    out_ << stamp << text << "\n" << std::flush;
  }

 private:
  std::mutex mutex_;
  std::ofstream out_;
};

inline Record& record() {
  static Record one;
  return one;
}

struct Response {
  int status = 0;  // 0: no response (client), or: close the connection unanswered (server).
  std::string body;
};

struct Request {
  std::string method, target, body;
  int peer = 0;  // Which gate the request came through.
};

inline sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

/// A port of 127.0.0.1 that is free at present.
inline int free_port() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = loopback(0);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0)
    throw std::runtime_error("no free port");
  socklen_t size = sizeof address;
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  close(fd);
  return ntohs(address.sin_port);
}

/// A listening socket that can be cut off: then its connections are reset, and new ones hang
/// without an error, as with a host behind a cut.
class Gate {
 public:
  using OnConnection = std::function<void(int fd)>;

  explicit Gate(OnConnection on_connection) : on_connection_(std::move(on_connection)) {
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address = loopback(0);
    if (bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
        listen(listener_, 256) != 0)
      throw std::runtime_error("cannot listen");
    socklen_t size = sizeof address;
    getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
    std::thread([this] { accept_loop(); }).detach();
  }

  int port() const { return port_; }
  bool is_cut() const { return cut_; }

  void cut() {
    cut_ = true;
    sleep_s(0.03);  // The accept loop sees it.
    listen(listener_, 0);
    filler_ = connect_raw();
    const std::lock_guard lock(mutex_);
    for (const int fd : open_) reset(fd);
  }

  void heal() {
    listen(listener_, 256);
    if (filler_ >= 0) close(filler_);
    filler_ = -1;
    cut_ = false;
  }

  void add(int fd) {
    const std::lock_guard lock(mutex_);
    open_.insert(fd);
  }
  void close_fd(int fd) {
    const std::lock_guard lock(mutex_);
    if (open_.erase(fd) > 0) close(fd);
  }

 private:
  int connect_raw() const {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in address = loopback(port_);
    (void)connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address);
    return fd;
  }

  static void reset(int fd) {
    const linger hard{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    shutdown(fd, SHUT_RDWR);
  }

  void accept_loop() {
    for (;;) {
      pollfd ready{listener_, POLLIN, 0};
      if (cut_ || poll(&ready, 1, 10) <= 0) {
        if (cut_) sleep_s(0.005);
        continue;
      }
      if (cut_) continue;
      const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      add(fd);
      std::thread([this, fd] {
        on_connection_(fd);
        close_fd(fd);
      }).detach();
    }
  }

  OnConnection on_connection_;
  int listener_ = -1;
  int port_ = 0;
  int filler_ = -1;
  std::atomic<bool> cut_ = false;
  std::mutex mutex_;
  std::set<int> open_;
};

inline bool send_all(int fd, const std::string& data) {
  std::size_t sent = 0;
  while (sent < data.size()) {
    const ssize_t count = send(fd, data.data() + sent, data.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) return false;
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

/// Reads one HTTP message from `fd`; `buffer` keeps what follows it. False at the end or when
/// `deadline` has passed.
inline bool read_message(int fd, std::string& buffer, std::string& head, std::string& body,
                         double deadline) {
  std::size_t end = std::string::npos;
  std::size_t length = 0;
  for (;;) {
    if (end == std::string::npos) {
      end = buffer.find("\r\n\r\n");
      if (end != std::string::npos) {
        head = buffer.substr(0, end + 2);
        std::size_t at = 0;
        while ((at = head.find("\r\n", at)) != std::string::npos) {
          at += 2;
          if (strncasecmp(head.c_str() + at, "content-length:", 15) == 0)
            length = std::strtoul(head.c_str() + at + 15, nullptr, 10);
        }
      }
    }
    if (end != std::string::npos && buffer.size() >= end + 4 + length) {
      body = buffer.substr(end + 4, length);
      buffer.erase(0, end + 4 + length);
      return true;
    }
    const double left = deadline - now();
    if (left <= 0) return false;
    pollfd ready{fd, POLLIN, 0};
    if (poll(&ready, 1, static_cast<int>(left * 1000) + 1) <= 0) continue;
    char chunk[16384];
    const ssize_t count = recv(fd, chunk, sizeof chunk, 0);
    if (count <= 0) return false;
    buffer.append(chunk, static_cast<std::size_t>(count));
  }
}

/// Serves HTTP on one accepted connection until it ends.
inline void serve_http(int fd, int peer, const std::function<Response(const Request&)>& handler) {
  std::string buffer;
  std::string head;
  Request request;
  request.peer = peer;
  while (read_message(fd, buffer, head, request.body, now() + 3600)) {
    const auto space = head.find(' ');
    request.method = head.substr(0, space);
    request.target = head.substr(space + 1, head.find(' ', space + 1) - space - 1);
    const Response response = handler(request);
    if (response.status == 0) return;
    const std::string text = "HTTP/1.1 " + std::to_string(response.status) +
                             " X\r\nContent-Type: application/json\r\nContent-Length: " +
                             std::to_string(response.body.size()) + "\r\n\r\n" + response.body;
    if (!send_all(fd, text)) return;
  }
}

/// A client that keeps one connection. Status 0: no response within the time.
class Client {
 public:
  explicit Client(int port) : port_(port) {}
  ~Client() { drop(); }
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  Response call(const std::string& method, const std::string& target, const std::string& body,
                double timeout) {
    const double deadline = now() + timeout;
    if (fd_ < 0 && !open(deadline)) return {};
    std::string text = method + " " + target + " HTTP/1.1\r\nHost: 127.0.0.1\r\n";
    if (method != "GET") text += "Content-Type: application/json\r\nContent-Length: " +
                                 std::to_string(body.size()) + "\r\n";
    Response response;
    std::string head;
    if (!send_all(fd_, text + "\r\n" + body) ||
        !read_message(fd_, buffer_, head, response.body, deadline)) {
      drop();
      return {};
    }
    response.status = std::atoi(head.c_str() + head.find(' ') + 1);
    if (head.find("onnection: close") != std::string::npos) drop();
    return response;
  }

  void drop() {
    if (fd_ >= 0) close(fd_);
    fd_ = -1;
    buffer_.clear();
  }

 private:
  bool open(double deadline) {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in address = loopback(port_);
    if (connect(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
      pollfd ready{fd_, POLLOUT, 0};
      int error = errno == EINPROGRESS ? 0 : errno;
      socklen_t size = sizeof error;
      if (error == 0 &&
          poll(&ready, 1, std::max(1, static_cast<int>((deadline - now()) * 1000))) > 0)
        getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size);
      else if (error == 0)
        error = ETIMEDOUT;
      if (error != 0) {
        drop();
        return false;
      }
    }
    const int flags = 0;
    (void)flags;
    const int on = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    // Blocking again: reads poll before they receive.
    const int mode = fcntl_blocking();
    return mode == 0;
  }
  int fcntl_blocking();

  int port_;
  int fd_ = -1;
  std::string buffer_;
};

}  // namespace standin

#include <fcntl.h>

inline int standin::Client::fcntl_blocking() {
  const int flags = fcntl(fd_, F_GETFL);
  return fcntl(fd_, F_SETFL, flags & ~O_NONBLOCK);
}
