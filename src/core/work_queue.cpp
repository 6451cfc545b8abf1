#include "work_queue.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cometdeal::net {

void WorkQueue::forgetUse(Share& share, Micros now) {
  const double elapsed = double(std::max<Micros>(now - share.updatedAt, 0));
  share.usedMicros *= std::exp2(-elapsed / double(kHalfLife));
  share.updatedAt = now;
}

std::size_t WorkQueue::levelOf(const Share& share) {
  std::size_t level = 0;
  for (double bound = kLightUse; level + 1 < kLevels && share.usedMicros >= bound; bound *= 2) ++level;
  return level;
}

void WorkQueue::add(std::shared_ptr<Share> share, Task task) {
  const Micros now = now_();
  forgetUse(*share, now);
  std::deque<Entry>& level = levels_[levelOf(*share)];
  level.push_back({std::move(share), std::move(task), now});
  ++size_;
  if (!std::exchange(scheduled_, true)) schedule_();
}

// The level whose first task is to run next: the one that has waited too long, or else the lowest.
std::deque<WorkQueue::Entry>* WorkQueue::next(Micros now) {
  std::deque<Entry>* lowest = nullptr;
  std::deque<Entry>* overdue = nullptr;
  for (std::deque<Entry>& level : levels_) {
    if (level.empty()) continue;
    if (!lowest) lowest = &level;
    const Micros addedAt = level.front().addedAt;
    if (now - addedAt >= kMaxWait && (!overdue || addedAt < overdue->front().addedAt)) overdue = &level;
  }
  return overdue ? overdue : lowest;
}

void WorkQueue::runSlice() {
  const Micros begin = now_();
  for (Micros now = begin; now - begin < kSlice;) {
    std::deque<Entry>* level = next(now);
    if (!level) break;
    const Entry entry = std::move(level->front());
    level->pop_front();
    --size_;
    entry.task();
    const Micros end = now_();
    forgetUse(*entry.share, end);
    entry.share->usedMicros += double(end - now);
    longestTask_ = std::max(longestTask_, end - now);
    now = end;
  }
  scheduled_ = size_ > 0;
  if (scheduled_) schedule_();
}

}  // namespace cometdeal::net
