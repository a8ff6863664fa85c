#pragma once

#include <curl/curl.h>

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "net/connection_table.h"
#include "net/http_client.h"
#include "net/read_pacer.h"
#include "net/response_head.h"

namespace comfreyspring::net {

/** One call of the HTTP client: its libcurl handle and the response so far. */
class http_transfer {
 public:
  /** The referenced objects must outlive the transfer's connection. */
  http_transfer(event_loop& loop, connection_table& connections,
                read_pacer& pacer, http_call_id id, http_call call,
                http_callbacks callbacks);
  ~http_transfer();
  http_transfer(const http_transfer&) = delete;
  http_transfer& operator=(const http_transfer&) = delete;

  http_call_id Id() const { return id_; }
  /**
   * Null if libcurl could not create a handle, or if the head of the request
   * would be malformed.
   */
  CURL* Easy() const { return easy_.get(); }
  /** Id of the call that a libcurl handle belongs to. */
  static http_call_id IdOf(CURL* easy);

  /** Sets the callback for the call's total and idle timeout. */
  void OnTimeout(std::function<void()> callback);
  /**
   * Sets the callback for a body of which the loop has read enough for now: for
   * one turn, or until the given time has passed. No more is read until Resume.
   */
  void OnHold(std::function<void(core::milliseconds wait)> callback);
  /** Reads no more of the body until Release. */
  void Hold();
  /** @returns true if reading has stopped, so that Resume must be called. */
  bool Release();
  /** Continues to read the body; passes on what the library has kept. */
  CURLcode Resume();
  /**
   * Called after the library has used the call's connection.
   * @returns false if the call must fail, since its peer sends mostly framing.
   */
  bool CheckFraming(int descriptor);
  /** Suppresses all further callbacks; the library aborts the transfer. */
  void MarkCancelled();
  /**
   * Prepares a retry on a new connection.
   * @returns false unless the call was not sent because its reused connection
   *     held unsolicited bytes.
   */
  bool UseFreshConnection();
  /** Calls `on_done`. */
  void ReportDone(CURLcode code);

 private:
  struct list_deleter {
    void operator()(curl_slist* list) const { curl_slist_free_all(list); }
  };
  struct easy_deleter {
    void operator()(CURL* easy) const { curl_easy_cleanup(easy); }
  };

  static std::size_t OnHeader(char* data, std::size_t size, std::size_t count,
                              void* self) noexcept;
  static std::size_t OnBody(char* data, std::size_t size, std::size_t count,
                            void* self) noexcept;
  static int OnBeforeRequest(void* self, char* peer_address,
                             char* local_address, int peer_port,
                             int local_port) noexcept;

  static int OnOpenSocket(void* table, curlsocktype purpose,
                          curl_sockaddr* address) noexcept;
  static int OnCloseSocket(void* table, curl_socket_t descriptor) noexcept;

  void SetUrlAndMethod();
  void SetHeaders();
  void SetLimits();
  bool IsSafeToRepeat() const;
  /** @returns false if the call must fail, since the body is too large. */
  bool AcceptsBody(std::size_t bytes);
  /** @returns 0 if the response does not name its length. */
  std::size_t AnnouncedBytes() const;
  void ReadHeaderLine(std::string_view line);
  /** @returns for how long a piece of the body has to wait; nothing if it may
   * be read now. */
  std::optional<core::milliseconds> HoldFor(std::size_t bytes);
  /** The response has no body, whatever its headers say. */
  bool HasNoBody() const;
  body_end BodyEnd() const;
  /** Runs `step`. @returns false if it threw, so that the call must fail. */
  bool Guarded(const std::function<void()>& step) noexcept;
  void ScheduleIdleCheck(core::milliseconds delay);

  event_loop& loop_;
  connection_table& connections_;
  read_pacer& pacer_;
  read_pacer::usage pace_;
  http_call_id id_;
  http_call call_;
  http_callbacks callbacks_;
  std::unique_ptr<curl_slist, list_deleter> header_list_;
  std::unique_ptr<CURL, easy_deleter> easy_;
  std::array<char, CURL_ERROR_SIZE> error_text_{};
  /** Why the client aborted the call. */
  std::string abort_reason_;
  std::size_t header_bytes_ = 0;
  /** Bytes of headers and body since the latest check of the framing. */
  std::uint64_t delivered_bytes_ = 0;
  response_head head_;
  http_result result_;
  int times_sent_ = 0;
  bool needs_fresh_connection_ = false;
  bool cancelled_ = false;
  std::function<void()> on_timeout_;
  std::function<void(core::milliseconds wait)> on_hold_;
  int pieces_until_hold_;
  bool is_held_ = false;
  /** The library keeps a piece of the body that was not taken on hold. */
  bool has_stopped_ = false;
  core::time_point last_activity_;
  timer_id idle_timer_ = 0;
  timer_id total_timer_ = 0;
};

}  // namespace comfreyspring::net
