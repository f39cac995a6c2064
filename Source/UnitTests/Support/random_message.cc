#include "UnitTests/Support/random_message.h"

#include <google/protobuf/stubs/logging.h>

#include <algorithm>
#include <limits>

namespace lavendertack::testing {
namespace {

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;

// Most items of a repeated field.
constexpr std::uint64_t kMaxItems = 4;

}  // namespace

message_generator::message_generator(std::uint64_t seed,
                                     std::vector<std::string> texts)
    : random_(seed), texts_(std::move(texts)) {
  // Texts that aren't UTF-8 are expected.
  google::protobuf::SetLogHandler(nullptr);
}

std::uint64_t message_generator::Number() {
  switch (Below(4)) {
    case 0:
      return Below(4);
    case 1:
      return std::numeric_limits<std::uint64_t>::max() - Below(3);
    case 2:
      return Below(2000);
    default:
      return random_();
  }
}

std::string message_generator::Text() {
  if (!texts_.empty() && Below(8) != 0) return texts_[Below(texts_.size())];
  std::string text(Below(80), 'x');
  for (char& c : text) c = static_cast<char>(1 + Below(126));
  return text;
}

void message_generator::Set(Message* message, const FieldDescriptor* field,
                            int depth) {
  const auto* reflection = message->GetReflection();
  const bool many = field->is_repeated();
  const auto narrow = static_cast<std::uint32_t>(Number());
  switch (field->cpp_type()) {
    case FieldDescriptor::CPPTYPE_UINT64:
      many ? reflection->AddUInt64(message, field, Number())
           : reflection->SetUInt64(message, field, Number());
      break;
    case FieldDescriptor::CPPTYPE_UINT32:
      many ? reflection->AddUInt32(message, field, narrow)
           : reflection->SetUInt32(message, field, narrow);
      break;
    case FieldDescriptor::CPPTYPE_BOOL:
      reflection->SetBool(message, field, Below(2) == 0);
      break;
    case FieldDescriptor::CPPTYPE_ENUM:
      reflection->SetEnumValue(message, field, static_cast<int>(Below(20)));
      break;
    case FieldDescriptor::CPPTYPE_STRING:
      many ? reflection->AddString(message, field, Text())
           : reflection->SetString(message, field, Text());
      break;
    case FieldDescriptor::CPPTYPE_MESSAGE:
      Fill(many ? reflection->AddMessage(message, field)
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
    const bool nested = field->cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE;
    if ((nested && depth == 0) || Below(8) == 0) continue;
    const std::uint64_t count = field->is_repeated() ? Below(kMaxItems + 1) : 1;
    for (std::uint64_t n = 0; n < count; ++n) Set(message, field, depth);
  }
  // The last field of a `oneof` would win each time; take one at random.
  for (int i = 0; i < descriptor->oneof_decl_count(); ++i) {
    const auto* choice = descriptor->oneof_decl(i);
    const auto pick = static_cast<int>(
        Below(static_cast<std::uint64_t>(choice->field_count())));
    const FieldDescriptor* field = choice->field(pick);
    if (depth > 0 || field->cpp_type() != FieldDescriptor::CPPTYPE_MESSAGE) {
      Set(message, field, depth);
    }
  }
}

std::string message_generator::Damage(std::string bytes) {
  const std::uint64_t changes = 1 + Below(4);
  for (std::uint64_t i = 0; i < changes && !bytes.empty(); ++i) {
    const std::uint64_t at = Below(bytes.size());
    switch (Below(3)) {
      case 0:
        bytes[at] = static_cast<char>(Below(256));
        break;
      case 1:
        bytes.resize(at);
        break;
      default:
        bytes.insert(at, 1, static_cast<char>(Below(256)));
    }
  }
  return bytes;
}

}  // namespace lavendertack::testing
