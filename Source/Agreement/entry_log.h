// In-memory tail of the log: the newest chosen entries, sent to instances that
// lag by a few entries. Instances further behind get a snapshot of the state.
#ifndef LAVENDERTACK_AGREEMENT_ENTRY_LOG_H_
#define LAVENDERTACK_AGREEMENT_ENTRY_LOG_H_

#include <deque>
#include <string>
#include <vector>

#include "Common/strong_type.h"

namespace lavendertack {

// Default number of kept entries; covers about three hours at one entry every
// 12 s.
inline constexpr std::size_t kDefaultKeptEntries = 1024;

// Keeps at most `max_kept` entries; appending to a full log drops the oldest.
class entry_log {
 public:
  explicit entry_log(std::size_t max_kept = kDefaultKeptEntries)
      : max_kept_(max_kept) {}

  // Index of the newest chosen entry; 0 if there is none.
  log_index last() const { return last_; }
  // Index of the oldest kept entry; equals next() if none is kept.
  log_index first() const { return {last_.value + 1 - kept_.size()}; }
  // Index of the next entry to be appended.
  log_index next() const { return {last_.value + 1}; }

  // Appends `value` at next().
  void Append(std::string value);
  // Drops all entries and continues after `last`, the last entry of a snapshot.
  // Aborts if `last` is lower than last().
  void ResetTo(log_index last);
  // Whether the entry at `index` is kept.
  bool Contains(log_index index) const;
  // Returns the entry at `index`. Aborts if it isn't kept.
  const std::string& At(log_index index) const;
  // Consecutive entries starting at `first`, as many as fit into one message
  // but at least one. Empty if the entry at `first` isn't kept.
  std::vector<std::string> EntriesFrom(log_index first) const;

 private:
  std::size_t max_kept_;
  log_index last_;
  std::deque<std::string> kept_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_AGREEMENT_ENTRY_LOG_H_
