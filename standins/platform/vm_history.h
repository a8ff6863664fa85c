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

/** History of the VM list; readers see changes after a configurable lag. */
class vm_history {
 public:
  void SetLag(core::milliseconds lag) { lag_ = lag; }
  void Put(vm_snapshot list, core::time_point now);
  /** List that was current one lag before `now`; empty if there was none. */
  vm_snapshot VisibleAt(core::time_point now) const;
  std::int64_t LatestRevision() const;

 private:
  struct entry {
    core::time_point changed_at;
    vm_snapshot list;
  };

  core::milliseconds lag_{0};
  std::deque<entry> entries_;
};

}  // namespace comfreyspring::standins
