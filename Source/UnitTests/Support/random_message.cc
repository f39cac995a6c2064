#include "UnitTests/Support/random_message.h"

#include <google/protobuf/stubs/logging.h>

#include <algorithm>
#include <limits>

namespace lavendertack::testing {
namespace {

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;

constexpr std::uint64_t kMaxRepeatedItems = 4;

}  // namespace

message_generator::message_generator(std::uint64_t seed,
                                     std::vector<std::string> known_texts)
    : random_(seed), known_texts_(std::move(known_texts)) {
  // Corrupted texts that aren't UTF-8 are expected and not logged.
  google::protobuf::SetLogHandler(nullptr);
}

std::uint64_t message_generator::RandomNumber() {
  switch (RandomBelow(4)) {
    case 0:
      return RandomBelow(4);
    case 1:
      return std::numeric_limits<std::uint64_t>::max() - RandomBelow(3);
    case 2:
      return RandomBelow(2000);
    default:
      return random_();
  }
}

std::string message_generator::RandomText() {
  if (!known_texts_.empty() && RandomBelow(8) != 0) {
    return known_texts_[RandomBelow(known_texts_.size())];
  }
  std::string text(RandomBelow(80), 'x');
  for (char& c : text) c = static_cast<char>(1 + RandomBelow(126));
  return text;
}

void message_generator::SetField(Message* message, const FieldDescriptor* field,
                                 int depth) {
  const auto* reflection = message->GetReflection();
  const bool is_repeated = field->is_repeated();
  const auto number32 = static_cast<std::uint32_t>(RandomNumber());
  switch (field->cpp_type()) {
    case FieldDescriptor::CPPTYPE_UINT64:
      is_repeated ? reflection->AddUInt64(message, field, RandomNumber())
                  : reflection->SetUInt64(message, field, RandomNumber());
      break;
    case FieldDescriptor::CPPTYPE_UINT32:
      is_repeated ? reflection->AddUInt32(message, field, number32)
                  : reflection->SetUInt32(message, field, number32);
      break;
    case FieldDescriptor::CPPTYPE_BOOL:
      reflection->SetBool(message, field, RandomBelow(2) == 0);
      break;
    case FieldDescriptor::CPPTYPE_ENUM:
      reflection->SetEnumValue(message, field,
                               static_cast<int>(RandomBelow(20)));
      break;
    case FieldDescriptor::CPPTYPE_STRING:
      is_repeated ? reflection->AddString(message, field, RandomText())
                  : reflection->SetString(message, field, RandomText());
      break;
    case FieldDescriptor::CPPTYPE_MESSAGE:
      Fill(is_repeated ? reflection->AddMessage(message, field)
                       : reflection->MutableMessage(message, field),
           depth - 1);
      break;
    default:
      break;
  }
}

void message_generator::Fill(Message* message, int depth) {
  const auto* descriptor = message->GetDescriptor();
  for (int i = 0; i < descriptor->field_count(); ++i) {
    const FieldDescriptor* field = descriptor->field(i);
    const bool is_message =
        field->cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE;
    if ((is_message && depth == 0) || RandomBelow(8) == 0) continue;
    const std::uint64_t count =
        field->is_repeated() ? RandomBelow(kMaxRepeatedItems + 1) : 1;
    for (std::uint64_t n = 0; n < count; ++n) SetField(message, field, depth);
  }
  // The last field of each oneof overwrites the others, so one is chosen at
  // random and set again.
  for (int i = 0; i < descriptor->oneof_decl_count(); ++i) {
    const auto* oneof = descriptor->oneof_decl(i);
    const auto index = static_cast<int>(
        RandomBelow(static_cast<std::uint64_t>(oneof->field_count())));
    const FieldDescriptor* field = oneof->field(index);
    if (depth > 0 || field->cpp_type() != FieldDescriptor::CPPTYPE_MESSAGE) {
      SetField(message, field, depth);
    }
  }
}

std::string message_generator::Corrupt(std::string bytes) {
  const std::uint64_t changes = 1 + RandomBelow(4);
  for (std::uint64_t i = 0; i < changes && !bytes.empty(); ++i) {
    const std::uint64_t at = RandomBelow(bytes.size());
    switch (RandomBelow(3)) {
      case 0:
        bytes[at] = static_cast<char>(RandomBelow(256));
        break;
      case 1:
        bytes.resize(at);
        break;
      default:
        bytes.insert(at, 1, static_cast<char>(RandomBelow(256)));
    }
  }
  return bytes;
}

}  // namespace lavendertack::testing
