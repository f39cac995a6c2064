// The newest chosen entries, for instances that are a little behind. Others
// get the whole state.
#ifndef LAVENDERTACK_AGREEMENT_ENTRY_LOG_H_
#define LAVENDERTACK_AGREEMENT_ENTRY_LOG_H_

#include <deque>
#include <string>
#include <vector>

#include "Common/strong_type.h"

namespace lavendertack {

// Entries that are kept; at one every 12 s they reach back three hours.
inline constexpr std::size_t kKeptEntries = 1024;

class entry_log {
 public:
  explicit entry_log(std::size_t max_kept = kKeptEntries)
      : max_kept_(max_kept) {}

  // Index of the newest chosen entry; 0 when there is none.
  log_index last() const { return last_; }
  // Index of the oldest entry that is kept.
  log_index first() const { return {last_.value + 1 - kept_.size()}; }
  log_index next() const { return {last_.value + 1}; }

  void Append(std::string value);
  // Continues after a snapshot of the entries up to `last`.
  void RestartAfter(log_index last);
  bool Holds(log_index index) const;
  const std::string& At(log_index index) const;
  // Entries from `first` on, as many as fit one message; at least one.
  std::vector<std::string> From(log_index first) const;

 private:
  std::size_t max_kept_;
  log_index last_;
  std::deque<std::string> kept_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_AGREEMENT_ENTRY_LOG_H_
