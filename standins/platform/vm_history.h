#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "core/time.h"

namespace comfreyspring::standins {

struct vm_item {
  std::string id;
  /** `live` or `leaving`. */
  std::string state;
};

struct vm_snapshot {
  std::int64_t revision = 0;
  std::vector<vm_item> vms;
};

/** The VM list as readers see it: late by a settable lag. */
class vm_history {
 public:
  void SetLag(core::milliseconds lag) { lag_ = lag; }
  void Put(vm_snapshot list, core::time_point now);
  /** The list that was in force one lag ago; empty before the first. */
  vm_snapshot Shown(core::time_point now) const;
  std::int64_t LatestRevision() const;

 private:
  struct entry {
    core::time_point since;
    vm_snapshot list;
  };

  core::milliseconds lag_{0};
  std::deque<entry> entries_;
};

}  // namespace comfreyspring::standins
