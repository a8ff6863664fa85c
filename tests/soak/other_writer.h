#pragma once

#include <random>
#include <string>
#include <vector>

#include "net/event_loop.h"
#include "store_stand_in.h"

namespace comfreyspring::soak {

/**
 * Puts, changes and removes items that are neither the operator's nor an
 * endpoint's, under keys of any bytes and with values of any form. The keys are
 * drawn once, so that their number is bounded whatever the store restores.
 */
class other_writer {
 public:
  other_writer(net::event_loop& loop, process_test::store_stand_in& store,
               unsigned seed);
  ~other_writer();
  other_writer(const other_writer&) = delete;
  other_writer& operator=(const other_writer&) = delete;

  /** Writes all keys, and from then on some now and then. */
  void Start();
  /** Puts or removes an item. */
  void Write();

 private:
  std::string DrawKey();
  std::string DrawValue();
  std::size_t Pick(std::size_t count);

  net::event_loop& loop_;
  process_test::store_stand_in& store_;
  std::mt19937 random_;
  std::vector<std::string> keys_;
  net::timer_id timer_{};
};

}  // namespace comfreyspring::soak
