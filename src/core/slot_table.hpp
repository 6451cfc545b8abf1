// Tables of numbered slots. A handle consists of a slot's index and generation. The generation changes when
// the slot is freed, so a late callback with the handle of a removed value finds nothing, even if the slot
// has been reused.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <utility>
#include <vector>

#include "fault_injection.hpp"

namespace cometdeal::net {

struct Handle {
  std::uint32_t index = UINT32_MAX;
  std::uint32_t generation = 0;
  bool operator==(const Handle&) const = default;
};

// Copying the table copies all values. The address of a value does not change while others are added or
// removed.
template <typename T>
class SlotTable {
 public:
  SlotTable() = default;
  SlotTable(SlotTable&&) noexcept = default;
  SlotTable& operator=(SlotTable&&) noexcept = default;
  SlotTable(const SlotTable& other)
      : free_(other.free_), generations_(other.generations_), size_(other.size_) {
    slots_.reserve(other.slots_.size());
    for (const auto& slot : other.slots_) slots_.push_back(slot ? std::make_unique<T>(*slot) : nullptr);
  }
  SlotTable& operator=(const SlotTable& other) { return *this = SlotTable(other); }
  ~SlotTable() = default;

  Handle add() {
    std::uint32_t index;
    if (free_.empty()) {
      index = static_cast<std::uint32_t>(slots_.size());
      slots_.emplace_back();
      generations_.push_back(0);
    } else {
      index = free_.back();
      free_.pop_back();
    }
    slots_[index] = std::make_unique<T>();
    ++size_;
    return {index, generations_[index]};
  }
  // nullptr if the value was removed or the handle is invalid.
  T* get(Handle h) const {
    if (h.index >= slots_.size() || generations_[h.index] != h.generation) return nullptr;
    return slots_[h.index].get();
  }
  bool remove(Handle h) {
    if (!get(h)) return false;
    if (!FAULT_INJECTED(slotWithoutNewGeneration)) ++generations_[h.index];
    slots_[h.index].reset();
    free_.push_back(h.index);
    --size_;
    return true;
  }
  std::size_t size() const { return size_; }
  std::vector<Handle> all() const {
    std::vector<Handle> out;
    for (std::uint32_t index = 0; index < slots_.size(); ++index)
      if (slots_[index]) out.push_back({index, generations_[index]});
    return out;
  }

 private:
  std::vector<std::unique_ptr<T>> slots_;
  std::vector<std::uint32_t> free_, generations_;
  std::size_t size_ = 0;
};

// A table for values that may have to outlive their slot, such as the buffers of a pending I/O operation.
template <typename T>
class SharedSlotTable {
 public:
  template <typename... Args>
  Handle add(Args&&... args) {
    const Handle h = table_.add();
    *table_.get(h) = std::make_shared<T>(std::forward<Args>(args)...);
    return h;
  }
  T* get(Handle h) const { return getShared(h).get(); }
  std::shared_ptr<T> getShared(Handle h) const {
    const std::shared_ptr<T>* value = table_.get(h);
    return value ? *value : nullptr;
  }
  bool remove(Handle h) { return table_.remove(h); }
  std::size_t size() const { return table_.size(); }
  std::vector<Handle> all() const { return table_.all(); }

 private:
  SlotTable<std::shared_ptr<T>> table_;
};

// The handle as one integer, for use as a key.
inline std::uint64_t toNumber(Handle h) { return (std::uint64_t(h.generation) << 32) | h.index; }
inline Handle fromNumber(std::uint64_t number) {
  return {std::uint32_t(number), std::uint32_t(number >> 32)};
}

}  // namespace cometdeal::net
