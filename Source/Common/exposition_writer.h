// Writer of the Prometheus text exposition format, which OpenMetrics collectors
// read too.
#ifndef LAVENDERTACK_COMMON_EXPOSITION_WRITER_H_
#define LAVENDERTACK_COMMON_EXPOSITION_WRITER_H_

#include <sstream>
#include <string>
#include <string_view>

namespace lavendertack {

// Writes metric families one after the other. All names get the prefix
// "lavendertack_".
class exposition_writer {
 public:
  // Starts the metric family `name`; the following samples belong to it. `type`
  // is "counter", "gauge", "histogram" or "summary".
  void BeginFamily(const std::string& name, const std::string& type,
                   const std::string& help) {
    name_ = "lavendertack_" + name;
    out_ << "# HELP " << name_ << " " << help << "\n# TYPE " << name_ << " "
         << type << "\n";
  }
  // Writes a sample of the current family. `labels` are formatted by
  // FormatLabel() and separated by commas; `suffix` is appended to the family's
  // name.
  template <typename Value>
  void AddSample(const std::string& labels, Value value,
                 const std::string& suffix = "") {
    out_ << name_ << suffix;
    if (!labels.empty()) out_ << "{" << labels << "}";
    out_ << " " << value << "\n";
  }
  // Writes a family with a single sample without labels.
  template <typename Value>
  void AddSingleSample(const std::string& name, const std::string& type,
                       const std::string& help, Value value) {
    BeginFamily(name, type, help);
    AddSample("", value);
  }
  // Returns everything written so far.
  std::string Text() const { return out_.str(); }

 private:
  std::ostringstream out_;
  std::string name_;
};

// Formats one label of a sample and escapes its value.
inline std::string FormatLabel(const std::string& key, std::string_view value) {
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

#endif  // LAVENDERTACK_COMMON_EXPOSITION_WRITER_H_
