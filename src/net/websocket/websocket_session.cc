#include "net/websocket/websocket_session.h"

#include <sstream>
#include <utility>
#include <vector>
#include <websocketpp/client.hpp>
#include <websocketpp/concurrency/none.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/config/core_client.hpp>
#include <websocketpp/server.hpp>

namespace comfreyspring::net {
namespace {

// The library prescribes the names of these constants.
// NOLINTBEGIN(readability-identifier-naming)

/** Single-threaded websocketpp configuration with logging disabled. */
template <class Base>
struct single_threaded_config : public Base {
  using type = single_threaded_config;
  using concurrency_type = websocketpp::concurrency::none;
  using request_type = typename Base::request_type;
  using response_type = typename Base::response_type;
  using elog_type =
      websocketpp::log::basic<concurrency_type, websocketpp::log::elevel>;
  using alog_type =
      websocketpp::log::basic<concurrency_type, websocketpp::log::alevel>;
  // Source of the client's frame masking keys.
  using rng_type =
      websocketpp::random::random_device::int_generator<uint32_t,
                                                        concurrency_type>;
  static constexpr bool enable_multithreading = false;

  struct transport_config : public Base::transport_config {
    using concurrency_type = single_threaded_config::concurrency_type;
    using elog_type = single_threaded_config::elog_type;
    using alog_type = single_threaded_config::alog_type;
    using request_type = single_threaded_config::request_type;
    using response_type = single_threaded_config::response_type;
    static constexpr bool enable_multithreading = false;
  };
  using transport_type =
      websocketpp::transport::iostream::endpoint<transport_config>;

  static constexpr websocketpp::log::level elog_level =
      websocketpp::log::elevel::none;
  static constexpr websocketpp::log::level alog_level =
      websocketpp::log::alevel::none;
  // An upgrade request has no body.
  static constexpr std::size_t max_http_body_size = 1024;
};

// NOLINTEND(readability-identifier-naming)

using server_endpoint =
    websocketpp::server<single_threaded_config<websocketpp::config::core>>;
using client_endpoint = websocketpp::client<
    single_threaded_config<websocketpp::config::core_client>>;

template <class Endpoint>
class session final : public websocket_session {
 public:
  using connection_ptr = typename Endpoint::connection_ptr;

  session(std::size_t maximum_frame_bytes, callbacks handlers)
      : handlers_(std::move(handlers)) {
    endpoint_.clear_access_channels(websocketpp::log::alevel::all);
    endpoint_.clear_error_channels(websocketpp::log::elevel::all);
    endpoint_.set_max_message_size(maximum_frame_bytes);
    endpoint_.set_open_handler([this](websocketpp::connection_hdl) {
      if (handlers_.on_open) handlers_.on_open();
    });
    endpoint_.set_message_handler(
        [this](websocketpp::connection_hdl,
               typename Endpoint::message_ptr message) {
          if (message->get_opcode() == websocketpp::frame::opcode::binary) {
            handlers_.on_frame(message->get_payload());
          }
        });
  }

  ~session() override {
    if (!connection_) return;
    handlers_ = {};
    // The library's pending read owns the connection; failing it releases the
    // connection.
    if (connection_->get_state() != websocketpp::session::state::closed) {
      connection_->fatal_error();
    }
  }
  session(const session&) = delete;
  session& operator=(const session&) = delete;

  void Start(connection_ptr connection) {
    connection_ = std::move(connection);
    connection_->set_write_handler([this](websocketpp::connection_hdl,
                                          const char* data, std::size_t size) {
      Output(data, size);
      return std::error_code();
    });
    connection_->set_vector_write_handler(
        [this](websocketpp::connection_hdl,
               const std::vector<websocketpp::transport::buffer>& buffers) {
          for (const auto& buffer : buffers) {
            Output(buffer.buf, buffer.len);
          }
          return std::error_code();
        });
  }

  Endpoint& GetEndpoint() { return endpoint_; }

  bool Receive(const char* data, std::size_t size) override {
    connection_->read_all(data, size);
    return connection_->get_state() != websocketpp::session::state::closed;
  }

  bool Send(const std::string& frame) override {
    return !connection_->send(frame, websocketpp::frame::opcode::binary);
  }

  void Close() override {
    std::error_code ignored;
    connection_->close(websocketpp::close::status::normal, "", ignored);
  }

  bool IsOpen() const override {
    return connection_->get_state() == websocketpp::session::state::open;
  }

  std::string CloseReason() const override {
    std::ostringstream text;
    text << connection_->get_ec().message();
    const auto local = connection_->get_local_close_code();
    const auto remote = connection_->get_remote_close_code();
    if (local != websocketpp::close::status::blank) {
      text << ", local close code " << local << ' '
           << connection_->get_local_close_reason();
    }
    if (remote != websocketpp::close::status::blank) {
      text << ", remote close code " << remote << ' '
           << connection_->get_remote_close_reason();
    }
    return text.str();
  }

 private:
  void Output(const char* data, std::size_t size) {
    if (handlers_.on_output) handlers_.on_output(data, size);
  }

  callbacks handlers_;
  Endpoint endpoint_;
  connection_ptr connection_;
};

}  // namespace

std::unique_ptr<websocket_session> websocket_session::MakeServer(
    std::size_t maximum_frame_bytes, callbacks handlers) {
  auto result = std::make_unique<session<server_endpoint>>(maximum_frame_bytes,
                                                           std::move(handlers));
  auto connection = result->GetEndpoint().get_connection();
  result->Start(connection);
  connection->start();
  return result;
}

std::unique_ptr<websocket_session> websocket_session::MakeClient(
    const std::string& address, std::uint16_t port,
    std::size_t maximum_frame_bytes, callbacks handlers) {
  auto result = std::make_unique<session<client_endpoint>>(maximum_frame_bytes,
                                                           std::move(handlers));
  const bool is_ipv6 = address.find(':') != std::string::npos;
  const std::string host = is_ipv6 ? '[' + address + ']' : address;
  std::error_code failure;
  auto connection = result->GetEndpoint().get_connection(
      "ws://" + host + ':' + std::to_string(port) + "/", failure);
  if (failure) return nullptr;
  result->Start(connection);
  result->GetEndpoint().connect(connection);
  return result;
}

}  // namespace comfreyspring::net
