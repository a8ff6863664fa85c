#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/time.h"

namespace comfreyspring::net {

/** Number of a body within one budget. */
using body_id = std::uint64_t;

/** Limits in bytes of all bodies together. */
struct body_budget_limits {
  /** Bodies above `body_budget::kSmallBodyBytes`. */
  std::size_t large_bytes = 256 * 1024 * 1024;
  /** The other ones, which large bodies cannot displace. */
  std::size_t small_bytes = 64 * 1024 * 1024;
};

/**
 * Decides which bodies of requests may use memory. Answers the load of many
 * clients that send large bodies at once, most of them incomplete: those that
 * hold the most are closed, complete ones never. No I/O, clock or thread.
 */
class body_budget {
 public:
  /** Bodies up to this size use the reserve for small bodies. */
  static constexpr std::size_t kSmallBodyBytes = 16 * 1024;

  enum class verdict {
    accepted,
    /** Complete bodies fill the budget; the request must not run. */
    refused,
    /** The body itself is among the closed ones. */
    closed,
  };
  struct decision {
    verdict outcome = verdict::accepted;
    /** Incomplete bodies that must be dropped; the budget has released them. */
    std::vector<body_id> closed;
  };

  explicit body_budget(const body_budget_limits& limits) : limits_(limits) {}

  /** Replaces the limits; bodies that exceed them remain until one grows. */
  void SetLimits(const body_budget_limits& limits) { limits_ = limits; }
  /**
   * An incomplete body is about to hold `bytes` in total, more than before. If
   * the outcome is not `accepted`, the budget has released it.
   */
  decision Grow(body_id body, std::size_t bytes, core::time_point now);
  /** The whole body has arrived: it is not closed from now on. */
  void Complete(body_id body);
  /** Ignores an unknown body. */
  void Release(body_id body);

  /** Bytes of all bodies, small and large. */
  std::size_t HeldBytes() const { return small_.bytes + large_.bytes; }

 private:
  struct held_body {
    std::size_t bytes = 0;
    bool is_complete = false;
    core::time_point progress_at;
  };
  struct usage {
    std::size_t bytes = 0;
    std::size_t complete_bytes = 0;
  };

  static bool IsSmall(std::size_t bytes) { return bytes <= kSmallBodyBytes; }
  usage& UsageOf(std::size_t bytes) { return IsSmall(bytes) ? small_ : large_; }
  /** The incomplete body of this class that holds most; none if 0. */
  body_id Largest(bool is_small) const;

  body_budget_limits limits_;
  usage small_;
  usage large_;
  std::unordered_map<body_id, held_body> bodies_;
};

/** Share of a budget that one body holds; releases it when destroyed. */
class body_lease {
 public:
  body_lease() = default;
  body_lease(std::shared_ptr<body_budget> budget, body_id body)
      : budget_(std::move(budget)), body_(body) {}
  body_lease(body_lease&& other) noexcept = default;
  body_lease& operator=(body_lease&& other) noexcept {
    if (this != &other) {
      Release();
      budget_ = std::move(other.budget_);
      body_ = other.body_;
    }
    return *this;
  }
  body_lease(const body_lease&) = delete;
  body_lease& operator=(const body_lease&) = delete;
  ~body_lease() { Release(); }

  void Release() {
    if (budget_) budget_->Release(body_);
    budget_.reset();
  }

 private:
  std::shared_ptr<body_budget> budget_;
  body_id body_ = 0;
};

}  // namespace comfreyspring::net
