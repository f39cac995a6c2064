#include "Ctl/table.h"

#include <algorithm>

namespace lavendertack {
namespace {

using nlohmann::json;

std::string FormatCell(const json& row, const std::string& key) {
  const auto it = row.find(key);
  if (it == row.end() || it->is_null()) return "-";
  if (it->is_string()) return it->get<std::string>();
  if (it->is_boolean()) return it->get<bool>() ? "yes" : "no";
  return it->dump();
}

void PrintLine(const std::vector<std::string>& cells,
               const std::vector<std::size_t>& widths, std::ostream& out) {
  std::string line;
  for (std::size_t i = 0; i < cells.size(); ++i) {
    line += cells[i];
    if (i + 1 < cells.size()) {
      line.append(widths[i] - cells[i].size() + 2, ' ');
    }
  }
  out << line << "\n";
}

}  // namespace

void PrintTable(const json& rows, const std::vector<std::string>& keys,
                std::ostream& out) {
  std::vector<std::vector<std::string>> lines{keys};
  for (const json& row : rows) {
    std::vector<std::string> cells;
    cells.reserve(keys.size());
    for (const std::string& key : keys) cells.push_back(FormatCell(row, key));
    lines.push_back(std::move(cells));
  }
  std::vector<std::size_t> widths(keys.size(), 0);
  for (const auto& cells : lines) {
    for (std::size_t i = 0; i < cells.size(); ++i) {
      widths[i] = std::max(widths[i], cells[i].size());
    }
  }
  for (const auto& cells : lines) PrintLine(cells, widths, out);
}

}  // namespace lavendertack
