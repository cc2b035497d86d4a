#ifndef BASE_BYTE_BUDGET_H_
#define BASE_BYTE_BUDGET_H_

#include <atomic>
#include <cstddef>

namespace samphire {

// Bytes that concurrent readers may hold together. Thread-safe.
class byte_budget {
 public:
  explicit byte_budget(std::size_t bytes) : left_(bytes) {}

  // Takes bytes from the budget. Returns false, and takes none, if fewer are
  // left.
  bool Take(std::size_t bytes);
  void Return(std::size_t bytes) { left_ += bytes; }
  std::size_t left() const { return left_; }

 private:
  std::atomic<std::size_t> left_;
};

// What one reader has taken from a budget; returned when it ends. Not
// thread-safe.
class budget_share {
 public:
  explicit budget_share(byte_budget& budget) : budget_(budget) {}
  ~budget_share() { budget_.Return(taken_); }
  budget_share(const budget_share&) = delete;
  budget_share& operator=(const budget_share&) = delete;

  // Takes more bytes. Returns false if the budget has too few.
  bool Add(std::size_t bytes);

 private:
  byte_budget& budget_;
  std::size_t taken_ = 0;
};

}  // namespace samphire

#endif  // BASE_BYTE_BUDGET_H_
