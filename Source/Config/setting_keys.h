// The table of all settings: name, type, unit, range, default and meaning of
// each key stand here and nowhere else. Reading, checking and the reference
// page docs/SETTINGS.md follow from it.
#ifndef LAVENDERTACK_CONFIG_SETTING_KEYS_H_
#define LAVENDERTACK_CONFIG_SETTING_KEYS_H_

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "Config/settings.h"
#include "Json/object_reader.h"

namespace lavendertack {

// One key of `Object`. Its default is the member's initialiser.
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
  number_range range;  // Of whole numbers.
  std::string_view unit;
  std::string_view meaning;
};

const std::vector<setting_key<settings>>& SettingKeys();
// Keys of one item of `instances`.
const std::vector<setting_key<instance_settings>>& InstanceKeys();

// The reference page, in Markdown.
std::string SettingsReference();

}  // namespace lavendertack

#endif  // LAVENDERTACK_CONFIG_SETTING_KEYS_H_
