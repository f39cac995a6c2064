// The table of all settings: name, type, unit, range, default and meaning of
// each key. Parsing, validation and the reference page docs/SETTINGS.md are
// derived from it.
#ifndef LAVENDERTACK_CONFIG_SETTING_KEYS_H_
#define LAVENDERTACK_CONFIG_SETTING_KEYS_H_

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "Config/settings.h"
#include "Json/object_reader.h"

namespace lavendertack {

// One key of `Object`. Its default value is the member's initialiser.
template <typename Object>
struct setting_key {
  using member_pointer =
      std::variant<std::string Object::*, instance_name Object::*,
                   data_centre_name Object::*, endpoint Object::*,
                   bool Object::*, std::uint32_t Object::*,
                   milliseconds Object::*>;

  std::string_view name;
  member_pointer member;
  bool required = false;
  number_range range;  // Range of a number; unused for other types.
  std::string_view unit;
  std::string_view meaning;
};

// Keys of the top-level object, without `instances`.
const std::vector<setting_key<settings>>& SettingKeys();
// Keys of one item of `instances`.
const std::vector<setting_key<instance_settings>>& InstanceKeys();

// Returns the reference page of all settings, in Markdown.
std::string SettingsReference();

}  // namespace lavendertack

#endif  // LAVENDERTACK_CONFIG_SETTING_KEYS_H_
