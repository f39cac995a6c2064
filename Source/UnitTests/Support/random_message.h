// Random protobuf messages: every field of every kind that the schema has, so
// that a message added later is covered without a change here.
#ifndef LAVENDERTACK_UNITTESTS_SUPPORT_RANDOM_MESSAGE_H_
#define LAVENDERTACK_UNITTESTS_SUPPORT_RANDOM_MESSAGE_H_

#include <google/protobuf/message.h>

#include <random>
#include <string>
#include <vector>

namespace lavendertack::testing {

class message_generator {
 public:
  // Strings and bytes are taken from `texts` most of the time, so that names
  // match those of the state under test.
  message_generator(std::uint64_t seed, std::vector<std::string> texts);

  void Fill(google::protobuf::Message* message, int depth = 4);
  // Changes, cuts or lengthens some bytes.
  std::string Damage(std::string bytes);
  std::uint64_t Number();
  std::string Text();
  std::uint64_t Below(std::uint64_t bound) { return random_() % bound; }

 private:
  void Set(google::protobuf::Message* message,
           const google::protobuf::FieldDescriptor* field, int depth);

  std::mt19937_64 random_;
  std::vector<std::string> texts_;
};

}  // namespace lavendertack::testing

#endif  // LAVENDERTACK_UNITTESTS_SUPPORT_RANDOM_MESSAGE_H_
