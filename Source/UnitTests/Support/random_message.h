// Generates random protobuf messages through reflection: fields and messages
// that are added to the schema later are covered without a change here.
#ifndef LAVENDERTACK_UNITTESTS_SUPPORT_RANDOM_MESSAGE_H_
#define LAVENDERTACK_UNITTESTS_SUPPORT_RANDOM_MESSAGE_H_

#include <google/protobuf/message.h>

#include <random>
#include <string>
#include <vector>

namespace lavendertack::testing {

class message_generator {
 public:
  // Strings and bytes are chosen from `known_texts` most of the time, so that
  // names match those of the state under test.
  message_generator(std::uint64_t seed, std::vector<std::string> known_texts);

  // Sets most fields of `message`, with at most `depth` levels of nested
  // messages.
  void Fill(google::protobuf::Message* message, int depth = 4);
  // Changes, inserts or cuts off bytes at 1 to 4 random positions.
  std::string Corrupt(std::string bytes);
  // A random number: below 4, below 2000, one of the three largest, or any.
  std::uint64_t RandomNumber();
  // One of the known texts, or up to 79 random ASCII characters.
  std::string RandomText();
  // A number from 0 to `bound` - 1.
  std::uint64_t RandomBelow(std::uint64_t bound) { return random_() % bound; }

 private:
  void SetField(google::protobuf::Message* message,
                const google::protobuf::FieldDescriptor* field, int depth);

  std::mt19937_64 random_;
  std::vector<std::string> known_texts_;
};

}  // namespace lavendertack::testing

#endif  // LAVENDERTACK_UNITTESTS_SUPPORT_RANDOM_MESSAGE_H_
