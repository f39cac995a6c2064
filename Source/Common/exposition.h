// The text exposition format that Prometheus and OpenMetrics collectors read.
#ifndef LAVENDERTACK_COMMON_EXPOSITION_H_
#define LAVENDERTACK_COMMON_EXPOSITION_H_

#include <sstream>
#include <string>
#include <string_view>

namespace lavendertack {

// Writes one metric family after the other.
class exposition {
 public:
  void Family(const std::string& name, const std::string& type,
              const std::string& help) {
    name_ = "lavendertack_" + name;
    out_ << "# HELP " << name_ << " " << help << "\n# TYPE " << name_ << " "
         << type << "\n";
  }
  template <typename Value>
  void Sample(const std::string& labels, Value value,
              const std::string& suffix = "") {
    out_ << name_ << suffix;
    if (!labels.empty()) out_ << "{" << labels << "}";
    out_ << " " << value << "\n";
  }
  template <typename Value>
  void Single(const std::string& name, const std::string& type,
              const std::string& help, Value value) {
    Family(name, type, help);
    Sample("", value);
  }
  std::string Text() const { return out_.str(); }

 private:
  std::ostringstream out_;
  std::string name_;
};

// One label of a sample.
inline std::string Label(const std::string& key, std::string_view value) {
  std::string text = key + "=\"";
  for (const char c : value) {
    if (c == '"' || c == '\\') text += '\\';
    if (c == '\n') {
      text += "\\n";
    } else {
      text += c;
    }
  }
  return text + "\"";
}

}  // namespace lavendertack

#endif  // LAVENDERTACK_COMMON_EXPOSITION_H_
