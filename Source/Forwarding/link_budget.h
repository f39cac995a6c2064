// Limits what an entry instance sends over its network link.
//
// Load pattern: callers send several times the requests that the link can
// carry. Sent packets then wait in the link's queue for longer than the
// callers' retransmission timeout. Copies of packets and resets of refused
// connections take the room of the packets themselves, so nearly nothing is
// served in time, and that lasts until the load has ended. A new connection
// takes many times the bytes of its refusal, so connections are refused before
// the queue builds up, those of the lowest priority first.
#ifndef LAVENDERTACK_FORWARDING_LINK_BUDGET_H_
#define LAVENDERTACK_FORWARDING_LINK_BUDGET_H_

#include <cstdint>
#include <map>
#include <optional>

#include "Common/instant.h"
#include "Forwarding/decayed_count.h"

namespace lavendertack {

using bytes_per_s = double;

// A token bucket: a number of bytes that grows at a fixed rate up to a maximum.
class token_bucket {
 public:
  // The bucket holds what arrives within `size` and starts full. It may be
  // overdrawn by `max_debt` times its size.
  token_bucket(bytes_per_s rate, milliseconds size, double max_debt);

  void Take(instant now, double bytes);
  // Bytes left, as a share of the size; negative if the bucket is overdrawn.
  double Fill(instant now) const;
  double size_bytes() const { return size_bytes_; }

 private:
  double LevelAt(instant now) const;

  bytes_per_s rate_;
  double size_bytes_;
  double max_debt_bytes_;
  double level_;  // At `updated_`.
  instant updated_;
};

// Packets without data always pass and are charged: they complete requests that
// have been sent. New connections are admitted, refused ones are reset, and
// requests on open connections are forwarded while there are bytes left for it.
class link_budget {
 public:
  // `capacity` is the rate of the link; without it, there is no limit.
  explicit link_budget(std::optional<bytes_per_s> capacity);

  // Whether a new connection of a route with `priority` may be opened. A lower
  // number is a higher priority. A retransmitted opening packet gets less room
  // than a first one, since its caller has waited already and more likely gets
  // a late answer. Records that the priority is in use.
  bool CanOpen(instant now, std::uint32_t priority, bool retransmitted);
  // Whether a packet with data of an open connection fits the link. If not, it
  // should be dropped: it would wait in the queue until its caller retransmits
  // it, and delay all others. A retransmitted one gets less room than a first
  // one. Records that the priority is in use.
  bool CanSendRequest(instant now, std::uint32_t priority, bool retransmitted);
  // An opening packet of `datagram_bytes` was forwarded.
  void RecordOpened(instant now, std::uint32_t datagram_bytes);
  // A packet of an open connection was forwarded or answered.
  void RecordFollowing(instant now, std::uint32_t datagram_bytes);
  // Whether the reset of a refused connection fits the link, and its charge.
  // Callers of a high priority are reset first: they try again at once and may
  // still be served in time.
  bool TakeReset(instant now, std::uint32_t priority);
  // Forgets priorities that aren't in use any more.
  void Tick(instant now);

  // Bytes that can be spent, as a share of the bucket; at most 1, and negative
  // while more was sent than the limit allows. 1 without a limit.
  double Fill(instant now) const;

 private:
  // Position of the priority among those in use, from 0 for the highest to 1
  // for the lowest one.
  double RankOf(std::uint32_t priority) const;
  // Bytes that a connection sends after its opening packet.
  double BytesPerConnection(instant now) const;

  bool is_limited_;
  token_bucket packets_;
  token_bucket resets_;
  decayed_count following_bytes_;
  decayed_count opened_;       // Connections, over the same window.
  decayed_count just_opened_;  // Connections whose request is on its way.
  // Priorities of the routes with new connections, and the last of these.
  std::map<std::uint32_t, instant> priorities_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_FORWARDING_LINK_BUDGET_H_
