#pragma once

#include <cassert>
#include <cstddef>
#include <list>
#include <unordered_map>
#include <utility>

namespace comfreyspring::placement {

/** Map of bounded size that evicts the least recently used entry. */
template <class Key, class Value>
class lru_map {
 public:
  explicit lru_map(std::size_t capacity) : capacity_(capacity) {
    assert(capacity > 0);
  }

  /** @returns nullptr if absent; marks the entry as used. */
  Value* Find(const Key& key) {
    const auto found = index_.find(key);
    if (found == index_.end()) return nullptr;
    entries_.splice(entries_.begin(), entries_, found->second);
    return &found->second->second;
  }

  /** @returns nullptr if absent; does not mark the entry as used. */
  const Value* Peek(const Key& key) const {
    const auto found = index_.find(key);
    return found == index_.end() ? nullptr : &found->second->second;
  }

  /** Inserts a default value if absent. */
  Value& operator[](const Key& key) {
    if (Value* value = Find(key)) return *value;
    entries_.emplace_front(key, Value{});
    index_[key] = entries_.begin();
    if (index_.size() > capacity_) {
      index_.erase(entries_.back().first);
      entries_.pop_back();
    }
    return entries_.front().second;
  }

  void Erase(const Key& key) {
    const auto found = index_.find(key);
    if (found == index_.end()) return;
    entries_.erase(found->second);
    index_.erase(found);
  }

  void Clear() {
    entries_.clear();
    index_.clear();
  }

  std::size_t size() const { return index_.size(); }

 private:
  std::size_t capacity_;
  std::list<std::pair<Key, Value>> entries_;
  std::unordered_map<Key, typename decltype(entries_)::iterator> index_;
};

}  // namespace comfreyspring::placement
