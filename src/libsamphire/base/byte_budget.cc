#include "base/byte_budget.h"

namespace samphire {

bool byte_budget::Take(std::size_t bytes) {
  auto left = left_.load();
  do {
    if (left < bytes)
      return false;
  } while (!left_.compare_exchange_weak(left, left - bytes));
  return true;
}

bool budget_share::Add(std::size_t bytes) {
  if (!budget_.Take(bytes))
    return false;
  taken_ += bytes;
  return true;
}

}  // namespace samphire
