// Tables for people.
#ifndef LAVENDERTACK_CTL_TABLE_H_
#define LAVENDERTACK_CTL_TABLE_H_

#include <nlohmann/json.hpp>
#include <ostream>
#include <string>
#include <vector>

namespace lavendertack {

// Prints `rows`, a list of objects, with one column for each of `keys`. A
// value that is missing shows as "-".
void PrintTable(const nlohmann::json& rows,
                const std::vector<std::string>& keys, std::ostream& out);

}  // namespace lavendertack

#endif  // LAVENDERTACK_CTL_TABLE_H_
