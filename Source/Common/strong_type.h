// Strong types for identifiers and counts: a value of one kind can't be passed
// where another kind is expected.
#ifndef LAVENDERTACK_COMMON_STRONG_TYPE_H_
#define LAVENDERTACK_COMMON_STRONG_TYPE_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>

namespace lavendertack {

// Wraps `Rep` so that only values with the same `Tag` compare and assign.
template <typename Tag, typename Rep>
struct strong_type {
  using rep = Rep;
  Rep value{};

  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy misreads operator<=>.
  friend auto operator<=>(const strong_type&, const strong_type&) = default;
  friend std::ostream& operator<<(std::ostream& out, const strong_type& id) {
    return out << id.value;
  }
};

// Names, as written in settings and tickets.
using instance_name = strong_type<struct instance_name_tag, std::string>;
using data_centre_name = strong_type<struct data_centre_name_tag, std::string>;
using service_name = strong_type<struct service_name_tag, std::string>;
using class_name = strong_type<struct class_name_tag, std::string>;
using target_name = strong_type<struct target_name_tag, std::string>;

// Identifies one run of a target process; a restarted target has another one.
using boot_id = strong_type<struct boot_id_tag, std::uint64_t>;
// Identifies a caller's flow; chosen at random by the caller.
using flow_id = strong_type<struct flow_id_tag, std::uint64_t>;
// Number of a request within its flow: 1, 2, 3 and so on.
using request_number = strong_type<struct request_number_tag, std::uint64_t>;
// Number of a change ticket, assigned by the operators.
using ticket_number = strong_type<struct ticket_number_tag, std::uint64_t>;
// Index in the agreed log. The first entry has index 1; 0 means none.
using log_index = strong_type<struct log_index_tag, std::uint64_t>;
// Identifies the storage of a replica. A replica that has lost its disk gets a
// new id. 0 means none.
using storage_id = strong_type<struct storage_id_tag, std::uint64_t>;
// Price of a service class per request. Requests with a higher price are served
// first.
using class_price = strong_type<struct class_price_tag, std::uint32_t>;

}  // namespace lavendertack

template <typename Tag, typename Rep>
struct std::hash<lavendertack::strong_type<Tag, Rep>> {
  std::size_t operator()(
      const lavendertack::strong_type<Tag, Rep>& id) const noexcept {
    return std::hash<Rep>{}(id.value);
  }
};

#endif  // LAVENDERTACK_COMMON_STRONG_TYPE_H_
