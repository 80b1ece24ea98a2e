#include "core/log_event.hpp"

#include <fmt/format.h>
#include <fstream>
#include <gtest/gtest.h>
#include <set>
#include <sstream>

namespace pomelohinge {
namespace {

class log_event_test : public testing::Test
{
protected:
    static std::string page_text()
    {
        std::ifstream file(POMELOHINGE_SOURCE_DIR "/docs/EVENTS.md");
        std::ostringstream text;
        text << file.rdbuf();
        return text.str();
    }

    /// Rows of the catalogue page, `| NUMBER | NAME | LEVEL | ...`, as texts
    /// `NUMBER NAME LEVEL`.
    static std::set<std::string> page_rows()
    {
        std::set<std::string> rows;
        std::istringstream lines(page_text());
        for (std::string line; std::getline(lines, line);) {
            std::istringstream cells(line);
            std::string separator, number, name, level;
            cells >> separator >> number >> separator >> name >> separator >>
                level;
            if (!number.empty() && std::isdigit(number.front()))
                rows.insert(number + " " + name + " " + level);
        }
        return rows;
    }
};

TEST_F(log_event_test, catalogue_in_code_equals_catalogue_page)
{
    std::set<std::string> rows;
    for (auto const& it : log_catalogue)
        rows.insert(fmt::format(
            "{} {} {}", it.number, to_name(it.event), to_name(it.level)));
    EXPECT_EQ(rows, page_rows());
}

TEST_F(log_event_test, catalogue_entries_are_in_order_with_unique_numbers)
{
    std::set<int> numbers;
    for (std::size_t n = 0; n < enum_count<log_event>; ++n) {
        EXPECT_EQ(index_of(log_catalogue[n].event), n);
        EXPECT_TRUE(numbers.insert(log_catalogue[n].number).second);
    }
}

} // namespace
} // namespace pomelohinge
