#include "Runtime/process_time.h"

#include <glog/logging.h>
#include <sys/random.h>

#include <ctime>

namespace lavendertack {

instant Now() {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return instant(seconds(time.tv_sec) + microseconds(time.tv_nsec / 1000));
}

std::uint64_t RandomNumber() {
  std::uint64_t number = 0;
  PCHECK(getrandom(&number, sizeof(number), 0) == sizeof(number));
  return number;
}

}  // namespace lavendertack
