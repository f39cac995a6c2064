// Text tables for the terminal.
#ifndef LAVENDERTACK_CTL_TABLE_H_
#define LAVENDERTACK_CTL_TABLE_H_

#include <nlohmann/json.hpp>
#include <ostream>
#include <string>
#include <vector>

namespace lavendertack {

// Prints `rows`, an array of objects, with one column for each of `keys`, under
// a line with the keys. A missing value is printed as "-".
void PrintTable(const nlohmann::json& rows,
                const std::vector<std::string>& keys, std::ostream& out);

}  // namespace lavendertack

#endif  // LAVENDERTACK_CTL_TABLE_H_
