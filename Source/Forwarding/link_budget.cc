#include "Forwarding/link_budget.h"

#include <algorithm>
#include <iterator>

namespace lavendertack {
namespace {

// Shares of the link's rate for callers' packets and for resets of refused
// connections. The rest is for control messages and as a margin.
constexpr double kPacketShare = 0.8;
constexpr double kResetShare = 0.12;
// Size of the buckets, as time at their rate: a fraction of the 200 ms after
// which callers retransmit.
constexpr milliseconds kBucketTime{40};
// Headers and framing of a packet on an Ethernet link: 20 bytes of IPv4, 8 of
// UDP, 18 of Ethernet.
constexpr double kFramingBytes = 46;
// Bytes added to a packet that is forwarded to a target, and size of a reset.
constexpr double kTargetPrefixBytes = 8;
constexpr double kResetBytes = 34;
// Window in which the bytes of a connection are averaged.
constexpr milliseconds kAverageWindow{2000};
// Time in which most of the bytes of a new connection are sent.
constexpr milliseconds kReservationWindow{20};
// Most bytes that are reserved for a connection. A long connection sends its
// bytes over a longer time.
constexpr double kMaxReservedBytes = 3000;
// Connections of the highest priority may overdraw the bucket by this share of
// its size; those of the lowest one need this share of it.
constexpr double kMaxOverdraft = 1.0;
constexpr double kLowestPriorityFill = 0.5;
// Requests on open connections may overdraw it further: a new connection is
// refused before a request whose connection has been paid for.
constexpr double kHighestRequestFill = -1.5;
constexpr double kLowestRequestFill = -1.1;
// A retransmitted request needs this share in addition: it yields to the first
// ones of all priorities, which can still be answered in time.
constexpr double kRetransmittedRequestFill = 0.5;
// Retransmitted opening packets need this share of the bucket in addition.
constexpr double kRetransmittedFill = 0.3;
// Resets of the lowest priority need this share of the bucket for resets.
constexpr double kLowestResetFill = 0.5;
// Further debt isn't counted, so that it's paid soon after the load has ended.
constexpr double kMaxDebt = 2.0;
// A priority without a new connection for this time isn't in use.
constexpr milliseconds kPriorityLifetime{5000};

}  // namespace

token_bucket::token_bucket(bytes_per_s rate, milliseconds size, double max_debt)
    : rate_(rate),
      size_bytes_(rate * std::chrono::duration<double>(size).count()),
      max_debt_bytes_(max_debt * size_bytes_),
      level_(size_bytes_) {}

double token_bucket::LevelAt(instant now) const {
  const std::chrono::duration<double> elapsed = now - updated_;
  return std::min(size_bytes_, level_ + rate_ * elapsed.count());
}

void token_bucket::Take(instant now, double bytes) {
  level_ = std::max(LevelAt(now) - bytes, -max_debt_bytes_);
  updated_ = now;
}

double token_bucket::Fill(instant now) const {
  return LevelAt(now) / size_bytes_;
}

link_budget::link_budget(std::optional<bytes_per_s> capacity)
    : is_limited_(capacity.value_or(0) > 0),
      packets_(capacity.value_or(0) * kPacketShare, kBucketTime, kMaxDebt),
      resets_(capacity.value_or(0) * kResetShare, kBucketTime, 0),
      following_bytes_(kAverageWindow),
      opened_(kAverageWindow),
      just_opened_(kReservationWindow) {}

bool link_budget::CanOpen(instant now, std::uint32_t priority,
                          bool retransmitted) {
  if (!is_limited_) return true;
  priorities_[priority] = now;
  const double needed =
      RankOf(priority) * (kMaxOverdraft + kLowestPriorityFill) - kMaxOverdraft +
      (retransmitted ? kRetransmittedFill : 0);
  return Fill(now) >= needed;
}

bool link_budget::CanSendRequest(instant now, std::uint32_t priority,
                                 bool retransmitted) {
  if (!is_limited_) return true;
  priorities_[priority] = now;
  const double needed =
      kHighestRequestFill +
      RankOf(priority) * (kLowestRequestFill - kHighestRequestFill) +
      (retransmitted ? kRetransmittedRequestFill : 0);
  return packets_.Fill(now) >= needed;
}

double link_budget::RankOf(std::uint32_t priority) const {
  if (priorities_.size() < 2) return 0;
  const auto rank = static_cast<double>(
      std::distance(priorities_.begin(), priorities_.lower_bound(priority)));
  return std::min(1.0, rank / static_cast<double>(priorities_.size() - 1));
}

void link_budget::RecordOpened(instant now, std::uint32_t datagram_bytes) {
  if (!is_limited_) return;
  packets_.Take(now, datagram_bytes + kTargetPrefixBytes + kFramingBytes);
  opened_.Add(now, 1);
  just_opened_.Add(now, 1);
}

void link_budget::RecordFollowing(instant now, std::uint32_t datagram_bytes) {
  if (!is_limited_) return;
  const double bytes = datagram_bytes + kTargetPrefixBytes + kFramingBytes;
  packets_.Take(now, bytes);
  following_bytes_.Add(now, bytes);
}

bool link_budget::TakeReset(instant now, std::uint32_t priority) {
  if (!is_limited_) return true;
  const double bytes = kResetBytes + kFramingBytes;
  const double needed =
      bytes / resets_.size_bytes() + RankOf(priority) * kLowestResetFill;
  if (resets_.Fill(now) < needed) return false;
  resets_.Take(now, bytes);
  return true;
}

void link_budget::Tick(instant now) {
  std::erase_if(priorities_, [now](const auto& entry) {
    return now - entry.second > kPriorityLifetime;
  });
}

double link_budget::BytesPerConnection(instant now) const {
  const double opened = opened_.ValueAt(now);
  if (opened < 1) return 0;
  return std::min(following_bytes_.ValueAt(now) / opened, kMaxReservedBytes);
}

double link_budget::Fill(instant now) const {
  if (!is_limited_) return 1;
  const double reserved = just_opened_.ValueAt(now) * BytesPerConnection(now);
  return packets_.Fill(now) - reserved / packets_.size_bytes();
}

}  // namespace lavendertack
